package entry

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	egretv1 "github.com/egrethoist/egrethoist/gen/egret/v1"
	"github.com/egrethoist/egrethoist/internal/attempt"
	"github.com/egrethoist/egrethoist/internal/once"
	"github.com/egrethoist/egrethoist/internal/peer"
	"github.com/egrethoist/egrethoist/internal/retry"
	"github.com/egrethoist/egrethoist/internal/routing"
	"github.com/egrethoist/egrethoist/internal/stream"
	"github.com/egrethoist/egrethoist/internal/world"
)

// bodyMessageSize is the maximum number of bytes per message of a request body that is sent at once.
const bodyMessageSize = 256 << 10

// Steps of errors that are caused by the caller.
const (
	stepAnswerCaller = "answer caller"
	stepReadBody     = "read body"
)

// result is the result of one attempt.
type result struct {
	attempt   attempt.Attempt
	failure   retry.Failure
	final     bool   // another attempt cannot succeed
	hasHead   bool   // status and headers have arrived
	keyNotRun bool   // the home confirmed that the caller's key has not run
	err       *Error // nil if the response is complete
}

// serveStream is the client side of the stream of one attempt.
type serveStream = connect.BidiStreamForClient[egretv1.ServeRequest, egretv1.ServeResponse]

// try makes one attempt at the target c. key is the idempotency key, empty for repeatable requests.
func (d *dispatch) try(ctx context.Context, c *routing.Candidate, key string) *result {
	res := &result{}
	d.attemptNumber++
	d.req.answer.target, d.req.answer.failureDomain = c.Target, c.FailureDomain
	conn := d.entry.pool.get(c.Target)
	resume, ok := d.assembler.Begin(d.attemptNumber)
	if conn == nil || !ok {
		d.applyEvent(res, attempt.DialFailed)
		res.err = notRun(CodeUnavailable, "dial", c.Target, "no connection")
		return res
	}
	if err := d.bufferBody(ctx, conn); err != nil {
		d.assembler.AbandonAttempt()
		d.applyEvent(res, attempt.Cancelled)
		res.err = d.bodyError(err)
		return res
	}
	// However this attempt ends, cancelling also ends the stream at the sidecar.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	start := time.Now()
	c.Stats.Start()
	endCall := conn.beginCall()
	defer endCall()
	ramped := c.Ramp != nil && c.Ramp.TryAcquire()
	d.sendAndReceive(ctx, conn, c, key, resume, res)
	switch {
	case ramped && res.attempt.State() == attempt.Refused:
		c.Ramp.ReleaseRefused()
	case ramped:
		c.Ramp.Release(res.attempt.Complete())
	}
	c.Stats.Finish(d.completedDuration(res, start))
	return res
}

// completedDuration returns the duration of an attempt since start, or zero if its response is incomplete, so that fast
// refusals do not lower the target's average response time.
func (d *dispatch) completedDuration(res *result, start time.Time) time.Duration {
	if !res.attempt.Complete() {
		return 0
	}
	return time.Since(start)
}

// sendAndReceive sends the request on a new stream and reads the response into res. resume is the offset from which the
// response is needed.
func (d *dispatch) sendAndReceive(ctx context.Context, conn *sidecarConn, c *routing.Candidate, key string, resume uint64, res *result) {
	// Sent is applied before the first write, because a later error does not prove that nothing was received.
	d.applyEvent(res, attempt.Sent)
	streamCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := conn.rpc.Serve(streamCtx)
	defer s.CloseResponse()
	open := d.openMessage(c, key, resume)
	if d.streamsBody(conn) {
		// The HTTP/2 client ignores the context while it waits for more of the body, so the request side must be
		// closed when the context ends. The sidecar treats a body without the end message as truncated.
		closed := context.AfterFunc(streamCtx, func() { s.CloseRequest() })
		defer closed()
		d.exchangeStreamed(ctx, cancel, s, open, conn, c, res)
		return
	}
	err := d.sendBuffered(s, open)
	if err != nil && !errors.Is(err, io.EOF) {
		d.connectionFailed(ctx, c, res, "send", err)
		return
	}
	// io.EOF from a send means that the peer has ended the stream; the reason is in its response.
	d.receive(ctx, s, conn, c, res)
}

// exchangeStreamed sends the body as it arrives from the caller while it reads the response. cancel ends the stream.
func (d *dispatch) exchangeStreamed(ctx context.Context, cancel func(), s *serveStream, open *egretv1.Open, conn *sidecarConn, c *routing.Candidate, res *result) {
	open.StreamedBody = true
	if n := d.req.Body.contentLength; n >= 0 {
		open.BodyLength = proto.Uint64(uint64(n))
	}
	err := s.Send(&egretv1.ServeRequest{Kind: &egretv1.ServeRequest_Open{Open: open}})
	if err != nil && !errors.Is(err, io.EOF) {
		d.connectionFailed(ctx, c, res, "send", err)
		return
	}
	d.sender = newBodySender(d.req.Body, s)
	sendCtx, stop := context.WithCancel(ctx)
	var sender sync.WaitGroup
	sender.Go(func() { d.sender.run(sendCtx, cancel) })
	d.receive(ctx, s, conn, c, res)
	stop()
	// The next attempt reads the same body, which only one goroutine may use.
	sender.Wait()
	d.sender = nil
}

// sendBuffered sends a request whose complete body is buffered. It returns io.EOF if the peer ended the stream.
func (d *dispatch) sendBuffered(s *serveStream, open *egretv1.Open) error {
	if err := s.Send(&egretv1.ServeRequest{Kind: &egretv1.ServeRequest_Open{Open: open}}); err != nil {
		return err
	}
	for body := d.req.Body.buffered; len(body) > 0; {
		n := min(len(body), bodyMessageSize)
		if err := s.Send(bodyMessage(body[:n])); err != nil {
			return err
		}
		body = body[n:]
	}
	if err := s.Send(bodyEndMessage()); err != nil {
		return err
	}
	return s.CloseRequest()
}

// openMessage returns the first message of an attempt at c.
func (d *dispatch) openMessage(c *routing.Candidate, key string, resume uint64) *egretv1.Open {
	r := d.req
	o := &egretv1.Open{
		RequestId:      r.ID,
		Attempt:        d.attemptNumber,
		Service:        r.Service.Name,
		Workspace:      r.Workspace.Name,
		Priority:       egretv1.Priority_PRIORITY_QUICK,
		TimeoutMicros:  uint64(max(time.Until(r.Deadline), time.Microsecond) / time.Microsecond),
		WeightVersion:  d.version,
		IdempotencyKey: key,
		Repeatable:     r.Repeatable,
		Method:         r.Method,
		Path:           r.Path,
		ResumeOffset:   resume,
		Revision:       d.entry.opts.Config.Stamp(),
		PromptTokens:   uint32(r.promptTokens()),
		MaxTokens:      uint32(r.MaxTokens),
		PromptBlocks:   blockBytes(r.promptBlocks(d.version)),
		Entry:          d.entry.opts.Name,
		ReadUnixMicros: r.ReadAt.UnixMicro(),
		CacheSalt:      r.Workspace.CacheSalt,
		Stream:         r.Stream,
		PassesJson:     r.Service.Kind == world.KindModel,
	}
	if r.Priority == world.PriorityDraft {
		o.Priority = egretv1.Priority_PRIORITY_DRAFT
	}
	for name, values := range r.Header {
		for _, v := range values {
			o.Headers = append(o.Headers, &egretv1.Header{Name: name, Value: v})
		}
	}
	return o
}

// receive processes messages of the sidecar until the attempt has ended.
func (d *dispatch) receive(ctx context.Context, s *serveStream, conn *sidecarConn, c *routing.Candidate, res *result) {
	for !res.attempt.Ended() {
		m, err := s.Receive()
		if err != nil {
			d.connectionFailed(ctx, c, res, "receive", err)
			return
		}
		switch k := m.Kind.(type) {
		case *egretv1.ServeResponse_Accepted:
			conn.observeLoad(k.Accepted.Load, time.Now())
			d.entry.observeRevision(k.Accepted.Revision, conn.addr)
			d.applyEvent(res, attempt.PeerAccepted)
		case *egretv1.ServeResponse_Refused:
			conn.observeLoad(k.Refused.Load, time.Now())
			d.entry.observeRevision(k.Refused.Revision, conn.addr)
			d.handleRefused(c, res, k.Refused)
		case *egretv1.ServeResponse_Head:
			d.handleHead(c, res, k.Head)
		case *egretv1.ServeResponse_Chunk:
			d.handleChunk(c, res, k.Chunk)
		case *egretv1.ServeResponse_End:
			conn.observeLoad(k.End.Load, time.Now())
			d.handleEnd(c, res, k.End)
		case *egretv1.ServeResponse_Failure:
			conn.observeLoad(k.Failure.Load, time.Now())
			d.handleFailure(c, res, k.Failure)
		case *egretv1.ServeResponse_BodyGrant:
			if d.sender != nil {
				d.sender.grant(k.BodyGrant.Offset)
			}
		}
	}
}

// applyEvent applies an event to the attempt and counts events that are not allowed as protocol errors.
func (d *dispatch) applyEvent(res *result, e attempt.Event) {
	if err := res.attempt.Apply(e); err != nil {
		d.entry.metrics.protocolErrors.Inc(1)
	}
}

// connectionFailed ends an attempt whose stream failed with err, or whose request body could not be read.
func (d *dispatch) connectionFailed(ctx context.Context, c *routing.Candidate, res *result, step string, err error) {
	d.assembler.AbandonAttempt()
	res.failure = retry.FailureLink
	switch {
	case d.sender.readError() != nil:
		d.applyEvent(res, attempt.Cancelled)
		res.err = d.bodyError(d.sender.readError())
	case peer.NotProcessed(err):
		if peer.NotConnected(err) {
			step = "dial"
		}
		d.applyEvent(res, attempt.FailedNotRun)
		res.err = &Error{Code: CodeUnavailable, Step: step, Peer: c.Target, Message: err.Error(), RetryAfter: time.Second}
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		d.applyEvent(res, attempt.TimedOut)
		res.err = &Error{Code: CodeDeadline, Step: step, Peer: c.Target, Message: "deadline passed"}
	case ctx.Err() != nil:
		d.applyEvent(res, attempt.Cancelled)
		res.err = &Error{Code: CodeInterrupted, Step: step, Peer: c.Target, Message: "caller went away"}
	default:
		d.applyEvent(res, attempt.LinkLost)
		res.err = &Error{Code: CodeUnavailable, Step: step, Peer: c.Target, Message: err.Error(), RetryAfter: time.Second}
	}
}

// maxStatus is the greatest status code of HTTP.
const maxStatus = 599

// handleHead delivers status and headers, unless the status is not one of a final response. In later attempts it checks that they match those
// already delivered.
func (d *dispatch) handleHead(c *routing.Candidate, res *result, m *egretv1.Head) {
	d.applyEvent(res, attempt.HeadReceived)
	if res.hasHead || m.Status < http.StatusOK || m.Status > maxStatus {
		d.assemblyFailed(c, res, stream.FaultMalformed)
		return
	}
	res.hasHead = true
	if d.headDelivered {
		if m.Status != d.req.answer.status || contentType(m.Headers) != d.contentType {
			// The response is not a continuation of what was delivered.
			d.assemblyFailed(c, res, stream.FaultMalformed)
		}
		return
	}
	d.headDelivered = true
	d.contentType = contentType(m.Headers)
	header := make(http.Header, len(m.Headers))
	for _, h := range m.Headers {
		header.Add(h.Name, h.Value)
	}
	if m.Replayed {
		header.Set(HeaderReplayed, "true")
	}
	d.req.answer.recordHead(m.Status, header)
	if err := d.out.head(int(m.Status), header); err != nil {
		d.callerWriteFailed(c, res, err)
	}
}

// contentType returns the value of the Content-Type header; empty if there is none.
func contentType(hs []*egretv1.Header) string {
	for _, h := range hs {
		if h.Name == "Content-Type" {
			return h.Value
		}
	}
	return ""
}

// handleChunk delivers the part of a chunk that the caller does not have yet.
func (d *dispatch) handleChunk(c *routing.Candidate, res *result, m *egretv1.Chunk) {
	if !res.hasHead {
		// Nothing shows that the chunk continues what was delivered.
		d.assemblyFailed(c, res, stream.FaultMalformed)
		return
	}
	data, fault := d.assembler.Accept(stream.Piece{
		RequestID: d.req.ID,
		Attempt:   d.attemptNumber,
		Offset:    m.Offset,
		Count:     m.Count,
		Data:      m.Data,
	})
	d.applyEvent(res, attempt.PieceReceived)
	if fault.Fatal() {
		d.assemblyFailed(c, res, fault)
		return
	}
	if fault != stream.FaultNone {
		return
	}
	d.recordPiece(time.Now())
	if err := d.deliver(m, data); err != nil {
		d.callerWriteFailed(c, res, err)
		return
	}
	d.req.answer.deliveredBytes += int64(len(data))
}

// deliver writes a piece to the caller, or the complete event if it contains more than text.
func (d *dispatch) deliver(m *egretv1.Chunk, data []byte) error {
	if len(m.Event) > 0 {
		return d.out.event(m.Event, data)
	}
	return d.out.piece(data)
}

// handleEnd completes the response. A failed write to the caller is only counted, because the request did run completely.
func (d *dispatch) handleEnd(c *routing.Candidate, res *result, m *egretv1.End) {
	if !res.hasHead {
		d.assemblyFailed(c, res, stream.FaultMalformed)
		return
	}
	fault := d.assembler.Finish(stream.End{RequestID: d.req.ID, Attempt: d.attemptNumber, Total: m.Total})
	if fault != stream.FaultNone {
		d.assemblyFailed(c, res, fault)
		return
	}
	d.applyEvent(res, attempt.EndReceived)
	d.svc.recordPrompt(d.req, d.version, c.Target, time.Now())
	err := d.out.end(finishInfo{
		Reason:       m.FinishReason,
		PromptTokens: m.PromptTokens,
		CachedTokens: m.CachedTokens,
		OutputTokens: m.Total,
	})
	if err != nil {
		d.entry.metrics.callersGone.Inc(1)
	}
}

// assemblyFailed ends an attempt whose response cannot be assembled.
func (d *dispatch) assemblyFailed(c *routing.Candidate, res *result, fault stream.Fault) {
	d.assembler.AbandonAttempt()
	d.applyEvent(res, attempt.LinkLost)
	res.failure = retry.FailureLink
	res.err = &Error{Code: CodeUnavailable, Step: "assemble", Peer: c.Target, Message: "answer " + fault.String()}
}

// callerWriteFailed ends an attempt whose response could not be written to the caller.
func (d *dispatch) callerWriteFailed(c *routing.Candidate, res *result, err error) {
	d.assembler.AbandonAttempt()
	d.applyEvent(res, attempt.Cancelled)
	d.entry.metrics.callersGone.Inc(1)
	res.err = &Error{Code: CodeInterrupted, Step: stepAnswerCaller, Peer: c.Target, Message: err.Error()}
}

// handleFailure ends an attempt that the sidecar reported as failed.
func (d *dispatch) handleFailure(c *routing.Candidate, res *result, m *egretv1.Failure) {
	d.assembler.AbandonAttempt()
	res.failure = retry.FailureTarget
	switch {
	case m.NotRun:
		d.applyEvent(res, attempt.FailedNotRun)
	case m.Ran:
		d.applyEvent(res, attempt.FailedRan)
	default:
		d.applyEvent(res, attempt.FailedUnknown)
	}
	res.err = &Error{Code: CodeUnavailable, Step: m.Step, Peer: m.Peer, Message: m.Detail, RetryAfter: time.Second}
}

// newTicket returns a new idempotency key that is only valid at the current sidecar incarnation of c.
func (e *Entry) newTicket(c *routing.Candidate, workspace string, now time.Time, rng *rand.Rand) once.Ticket {
	t := once.Ticket{Target: c.Target, Incarnation: c.Stats.Incarnation(), Workspace: workspace, Minted: now}
	for i := range t.Nonce {
		t.Nonce[i] = byte(rng.Uint32())
	}
	return t
}
