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

// bodyMessageSize is the size of one message of a request body that is sent whole.
const bodyMessageSize = 256 << 10

// Steps at which a caller turns out to be gone or wrong.
const (
	stepAnswerCaller = "answer caller"
	stepReadBody     = "read body"
)

// result is how one attempt ended.
type result struct {
	attempt  attempt.Attempt
	failure  retry.Failure
	final    bool   // no other attempt can do better
	keyUnrun bool   // the home proves that the caller's key has not run
	err      *Error // nil for a whole answer
}

// serveStream is the entry's end of one attempt.
type serveStream = connect.BidiStreamForClient[egretv1.ServeRequest, egretv1.ServeResponse]

// try makes one attempt at a target.
func (d *dispatch) try(ctx context.Context, c *routing.Candidate, key string) *result {
	res := &result{}
	d.number++
	d.req.ended.target, d.req.ended.failureDomain = c.Target, c.FailureDomain
	conn := d.entry.pool.get(c.Target)
	resume, ok := d.asm.Begin(d.number)
	if conn == nil || !ok {
		d.apply(res, attempt.DialFailed)
		res.err = notRun(CodeUnavailable, "dial", c.Target, "no connection")
		return res
	}
	if err := d.holdBody(ctx, conn); err != nil {
		d.asm.AbandonAttempt()
		d.apply(res, attempt.Cancelled)
		res.err = d.errorOfBody(err)
		return res
	}
	// Cancelling ends the stream at the sidecar too, whatever way this attempt ends.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	start := time.Now()
	c.Stats.Start()
	settled := conn.owe()
	defer settled()
	ramped := c.Ramp != nil && c.Ramp.TryAcquire()
	d.send(ctx, conn, c, key, resume, res)
	switch {
	case ramped && res.attempt.State() == attempt.Refused:
		c.Ramp.ReleaseRefused()
	case ramped:
		c.Ramp.Release(res.attempt.Complete())
	}
	c.Stats.Finish(d.runTime(res, start))
	return res
}

// runTime counts only whole answers, so that refusals do not make a target look fast.
func (d *dispatch) runTime(res *result, start time.Time) time.Duration {
	if !res.attempt.Complete() {
		return 0
	}
	return time.Since(start)
}

func (d *dispatch) send(ctx context.Context, conn *sidecarConn, c *routing.Candidate, key string, resume uint64, res *result) {
	// Sent is applied before the first byte leaves: an error after it never proves that nothing ran.
	d.apply(res, attempt.Sent)
	streamCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := conn.rpc.Serve(streamCtx)
	defer s.CloseResponse()
	open := d.open(c, key, resume)
	if d.streams(conn) {
		// HTTP/2 does not look at its context while it waits for more of a body, so a request that ends by its
		// deadline must close its own. Without the end mark the sidecar takes the body as cut short.
		closed := context.AfterFunc(streamCtx, func() { s.CloseRequest() })
		defer closed()
		d.exchange(ctx, cancel, s, open, conn, c, res)
		return
	}
	err := d.sendRequest(s, open)
	if err != nil && !errors.Is(err, io.EOF) {
		d.lost(ctx, c, res, "send", err)
		return
	}
	// io.EOF from a send says that the peer has ended the stream; its answer tells why.
	d.receive(ctx, s, conn, c, res)
}

// exchange sends a body as it comes while the answer is read. cancel ends the stream.
func (d *dispatch) exchange(ctx context.Context, cancel func(), s *serveStream, open *egretv1.Open, conn *sidecarConn, c *routing.Candidate, res *result) {
	open.StreamedBody = true
	if n := d.req.Body.declared; n >= 0 {
		open.BodyLength = proto.Uint64(uint64(n))
	}
	err := s.Send(&egretv1.ServeRequest{Kind: &egretv1.ServeRequest_Open{Open: open}})
	if err != nil && !errors.Is(err, io.EOF) {
		d.lost(ctx, c, res, "send", err)
		return
	}
	d.sending = newSending(d.req.Body, s)
	sendCtx, stop := context.WithCancel(ctx)
	var sender sync.WaitGroup
	sender.Go(func() { d.sending.run(sendCtx, cancel) })
	d.receive(ctx, s, conn, c, res)
	stop()
	// The next attempt reads the same body.
	sender.Wait()
	d.sending = nil
}

func (d *dispatch) sendRequest(s *serveStream, open *egretv1.Open) error {
	if err := s.Send(&egretv1.ServeRequest{Kind: &egretv1.ServeRequest_Open{Open: open}}); err != nil {
		return err
	}
	for body := d.req.Body.kept; len(body) > 0; {
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

func (d *dispatch) open(c *routing.Candidate, key string, resume uint64) *egretv1.Open {
	r := d.req
	o := &egretv1.Open{
		RequestId:      r.ID,
		Attempt:        d.number,
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
		PromptBlocks:   blockBytes(r.chain(d.version)),
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

// receive reads the answer until it ends one way or another.
func (d *dispatch) receive(ctx context.Context, s *serveStream, conn *sidecarConn, c *routing.Candidate, res *result) {
	for !res.attempt.Ended() {
		m, err := s.Receive()
		if err != nil {
			d.lost(ctx, c, res, "receive", err)
			return
		}
		switch k := m.Kind.(type) {
		case *egretv1.ServeResponse_Accepted:
			conn.observeLoad(k.Accepted.Load, time.Now())
			d.entry.observe(k.Accepted.Revision, conn.addr)
			d.apply(res, attempt.PeerAccepted)
		case *egretv1.ServeResponse_Refused:
			conn.observeLoad(k.Refused.Load, time.Now())
			d.entry.observe(k.Refused.Revision, conn.addr)
			d.refused(c, res, k.Refused)
		case *egretv1.ServeResponse_Head:
			d.head(c, res, k.Head)
		case *egretv1.ServeResponse_Chunk:
			d.chunk(c, res, k.Chunk)
		case *egretv1.ServeResponse_End:
			conn.observeLoad(k.End.Load, time.Now())
			d.end(c, res, k.End)
		case *egretv1.ServeResponse_Failure:
			conn.observeLoad(k.Failure.Load, time.Now())
			d.failed(c, res, k.Failure)
		case *egretv1.ServeResponse_BodyGrant:
			if d.sending != nil {
				d.sending.grant(k.BodyGrant.Offset)
			}
		}
	}
}

func (d *dispatch) apply(res *result, e attempt.Event) {
	if err := res.attempt.Apply(e); err != nil {
		d.entry.metrics.protocolErrors.Inc(1)
	}
}

// lost ends an attempt whose connection failed.
func (d *dispatch) lost(ctx context.Context, c *routing.Candidate, res *result, step string, err error) {
	d.asm.AbandonAttempt()
	res.failure = retry.FailureLink
	var dial *peer.DialError
	switch {
	case d.sending.cutShort() != nil:
		d.apply(res, attempt.Cancelled)
		res.err = d.errorOfBody(d.sending.cutShort())
	case errors.As(err, &dial):
		// No connection could be made, so not a byte of the request has left.
		d.apply(res, attempt.FailedNotRun)
		res.err = &Error{Code: CodeUnavailable, Step: "dial", Peer: c.Target, Message: err.Error(), RetryAfter: time.Second}
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		d.apply(res, attempt.TimedOut)
		res.err = &Error{Code: CodeDeadline, Step: step, Peer: c.Target, Message: "deadline passed"}
	case ctx.Err() != nil:
		d.apply(res, attempt.Cancelled)
		res.err = &Error{Code: CodeInterrupted, Step: step, Peer: c.Target, Message: "caller went away"}
	default:
		d.apply(res, attempt.LinkLost)
		res.err = &Error{Code: CodeUnavailable, Step: step, Peer: c.Target, Message: err.Error(), RetryAfter: time.Second}
	}
}

func (d *dispatch) head(c *routing.Candidate, res *result, m *egretv1.Head) {
	d.apply(res, attempt.HeadReceived)
	if d.headed {
		if m.Status != d.req.ended.status || contentType(m.Headers) != d.kind {
			// What follows is no continuation of what was delivered.
			d.broken(c, res, stream.FaultMalformed)
		}
		return
	}
	d.headed = true
	d.kind = contentType(m.Headers)
	header := make(http.Header, len(m.Headers))
	for _, h := range m.Headers {
		header.Add(h.Name, h.Value)
	}
	if m.Replayed {
		header.Set(HeaderReplayed, "true")
	}
	d.req.ended.headArrived(m.Status, header)
	if err := d.out.head(int(m.Status), header); err != nil {
		d.callerGone(c, res, err)
	}
}

func contentType(hs []*egretv1.Header) string {
	for _, h := range hs {
		if h.Name == "Content-Type" {
			return h.Value
		}
	}
	return ""
}

func (d *dispatch) chunk(c *routing.Candidate, res *result, m *egretv1.Chunk) {
	data, fault := d.asm.Accept(stream.Piece{
		RequestID: d.req.ID,
		Attempt:   d.number,
		Offset:    m.Offset,
		Count:     m.Count,
		Data:      m.Data,
	})
	d.apply(res, attempt.PieceReceived)
	if fault.Fatal() {
		d.broken(c, res, fault)
		return
	}
	if fault != stream.FaultNone {
		return
	}
	d.pieceArrived(time.Now())
	if err := d.hand(m, data); err != nil {
		d.callerGone(c, res, err)
		return
	}
	d.req.ended.delivered += int64(len(data))
}

// hand gives the caller a piece, or the whole event where it holds more than text.
func (d *dispatch) hand(m *egretv1.Chunk, data []byte) error {
	if len(m.Event) > 0 {
		return d.out.event(m.Event, data)
	}
	return d.out.piece(data)
}

func (d *dispatch) end(c *routing.Candidate, res *result, m *egretv1.End) {
	fault := d.asm.Finish(stream.End{RequestID: d.req.ID, Attempt: d.number, Total: m.Total})
	if fault != stream.FaultNone {
		d.broken(c, res, fault)
		return
	}
	d.apply(res, attempt.EndReceived)
	d.svc.remember(d.req, d.version, c.Target, time.Now())
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

// broken ends an attempt whose pieces do not fit together.
func (d *dispatch) broken(c *routing.Candidate, res *result, fault stream.Fault) {
	d.asm.AbandonAttempt()
	d.apply(res, attempt.LinkLost)
	res.failure = retry.FailureLink
	res.err = &Error{Code: CodeUnavailable, Step: "assemble", Peer: c.Target, Message: "answer " + fault.String()}
}

func (d *dispatch) callerGone(c *routing.Candidate, res *result, err error) {
	d.asm.AbandonAttempt()
	d.apply(res, attempt.Cancelled)
	d.entry.metrics.callersGone.Inc(1)
	res.err = &Error{Code: CodeInterrupted, Step: stepAnswerCaller, Peer: c.Target, Message: err.Error()}
}

// failed takes an explicit failure of the sidecar.
func (d *dispatch) failed(c *routing.Candidate, res *result, m *egretv1.Failure) {
	d.asm.AbandonAttempt()
	res.failure = retry.FailureTarget
	switch {
	case m.NotRun:
		d.apply(res, attempt.FailedNotRun)
	case m.Ran:
		d.apply(res, attempt.FailedRan)
	default:
		d.apply(res, attempt.FailedUnknown)
	}
	res.err = &Error{Code: CodeUnavailable, Step: m.Step, Peer: m.Peer, Message: m.Detail, RetryAfter: time.Second}
}

// ticket mints the key of a request that came without one.
func (e *Entry) ticket(c *routing.Candidate, workspace string, now time.Time, rng *rand.Rand) once.Ticket {
	t := once.Ticket{Target: c.Target, Incarnation: c.Stats.Incarnation(), Workspace: workspace, Minted: now}
	for i := range t.Nonce {
		t.Nonce[i] = byte(rng.Uint32())
	}
	return t
}
