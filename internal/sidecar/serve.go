package sidecar

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"connectrpc.com/connect"

	egretv1 "github.com/egrethoist/egrethoist/gen/egret/v1"
	"github.com/egrethoist/egrethoist/internal/admission"
	"github.com/egrethoist/egrethoist/internal/engine"
	"github.com/egrethoist/egrethoist/internal/engine/wire"
)

// maxBodyBytes is the largest request body that is not streamed; the sidecar holds it in memory.
const maxBodyBytes = 32 << 20

// serveStream is the sidecar's end of the stream that carries one attempt.
type serveStream = connect.BidiStream[egretv1.ServeRequest, egretv1.ServeResponse]

// attemptRun is the state of one attempt while the sidecar serves it.
type attemptRun struct {
	s                *Sidecar
	stream           *serveStream
	out              *streamWriter
	open             *egretv1.Open
	body             []byte      // complete request body; unset if it is streamed
	upload           *bodyStream // streamed request body, passed on to the target; nil if it is not streamed
	start            time.Time   // time of arrival at the sidecar
	prefetchedTokens chan int    // receives the number of prompt tokens fetched to the target; nil if none are fetched
}

// Serve handles one attempt: it checks and admits the request, sends it to the target and returns the response. It
// returns an error if the request is malformed or the stream breaks; refusals are messages of the stream.
func (s *Sidecar) Serve(ctx context.Context, stream *serveStream) error {
	s.serving.Start()
	defer s.serving.Done()
	run := &attemptRun{s: s, stream: stream, out: newStreamWriter(stream), start: time.Now()}
	defer run.close()
	if err := run.receive(); err != nil {
		return connect.NewError(connect.CodeInvalidArgument, err)
	}
	if run.open.TimeoutMicros > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(run.open.TimeoutMicros)*time.Microsecond)
		defer cancel()
	}
	s.observeRevision(run.open.Revision, run.open.Entry)
	return run.serve(ctx)
}

// close stops everything that may still use the stream, which must not be used once its handler has returned.
func (r *attemptRun) close() {
	if r.upload != nil {
		r.upload.Close()
	}
	r.out.close()
}

// receive reads the opening message and, unless the body is streamed, the whole body. If it returns an error, nothing
// has run.
func (r *attemptRun) receive() error {
	first, err := r.stream.Receive()
	if err != nil {
		return err
	}
	r.open = first.GetOpen()
	if r.open == nil {
		return errors.New("first message is not Open")
	}
	if r.open.StreamedBody {
		r.upload = newBodyStream(r.open, r.sendBodyGrant)
		go r.upload.receive(r.stream.Receive)
		return nil
	}
	for {
		m, err := r.stream.Receive()
		if err != nil {
			return err
		}
		if m.GetBodyEnd() != nil {
			return nil
		}
		r.body = append(r.body, m.GetBody()...)
		if len(r.body) > maxBodyBytes {
			return errors.New("body too large")
		}
	}
}

// sendBodyGrant allows the entry gateway to send the body up to the offset in bytes.
func (r *attemptRun) sendBodyGrant(offset uint64) {
	r.out.send(&egretv1.ServeResponse{Kind: &egretv1.ServeResponse_BodyGrant{BodyGrant: &egretv1.BodyGrant{Offset: offset}}})
}

// serve decides on the attempt and runs it. It returns the first error of the stream to the entry gateway.
func (r *attemptRun) serve(ctx context.Context) error {
	refusal := r.s.checkOpen(r.open)
	if !r.open.Repeatable && (refusal == nil || refusal.Cause == egretv1.RefusalCause_REFUSAL_CAUSE_DRAINED) {
		return r.serveKeyed(ctx, refusal)
	}
	if refusal != nil {
		return r.refuse(refusal)
	}
	if v := r.open.WeightVersion; v != "" {
		if !r.s.versions.bind(v, r.open.ResumeOffset > 0) {
			return r.refuse(refused(egretv1.RefusalCause_REFUSAL_CAUSE_VERSION, "target does not offer "+v))
		}
		defer r.s.versions.release(v)
	}
	// Cached blocks are fetched while the attempt is queued, so that it does not occupy a slot of the target meanwhile.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if r.s.opts.Model != nil {
		// A stream that is cancelled here ends with a failure, and its entry gateway resumes it at another target.
		unregister := context.AfterFunc(r.s.streamHandover, cancel)
		defer unregister()
	}
	r.startPrefetch(ctx)
	admitted, refusal := r.s.gate.enter(ctx, r.gateRequest())
	if refusal != nil {
		return r.refuse(refusal)
	}
	sample := r.dispatch(ctx, r.out)
	r.s.gate.release(admitted, sample)
	return r.out.firstError()
}

// refuse sends a refusal with the current load and revision.
func (r *attemptRun) refuse(refusal *egretv1.Refused) error {
	refusal.Load = r.s.Load()
	refusal.Revision = r.s.revisionStamp()
	r.s.metrics.countRefusal(refusal.Cause)
	r.out.send(&egretv1.ServeResponse{Kind: &egretv1.ServeResponse_Refused{Refused: refusal}})
	return r.out.firstError()
}

// answerWriter receives the messages of a response after admission.
type answerWriter interface {
	send(m *egretv1.ServeResponse)
}

// streamWriter sends messages to the entry gateway and keeps the first error. An error does not stop the run, which
// only its context can cancel: losing the entry gateway does not change what ran. The response and the grants of the
// request body are sent concurrently.
type streamWriter struct {
	stream *serveStream
	sem    chan struct{} // semaphore, held while a message is sent
	err    error         // first error, or errWriterClosed; guarded by sem
}

// errWriterClosed is the error of a streamWriter that was closed before any other error.
var errWriterClosed = errors.New("attempt has ended")

func newStreamWriter(stream *serveStream) *streamWriter {
	return &streamWriter{stream: stream, sem: make(chan struct{}, 1)}
}

func (w *streamWriter) lock()   { w.sem <- struct{}{} }
func (w *streamWriter) unlock() { <-w.sem }

func (w *streamWriter) send(m *egretv1.ServeResponse) {
	w.lock()
	defer w.unlock()
	if w.err == nil {
		w.err = w.stream.Send(m)
	}
}

// firstError returns the first error, or nil.
func (w *streamWriter) firstError() error {
	w.lock()
	defer w.unlock()
	return w.err
}

// close makes later calls of send do nothing.
func (w *streamWriter) close() {
	w.lock()
	defer w.unlock()
	if w.err == nil {
		w.err = errWriterClosed
	}
}

// dispatch sends the request to the target and writes its response to out. It returns the measurement of the run for
// admission control.
func (r *attemptRun) dispatch(ctx context.Context, out answerWriter) admission.Sample {
	out.send(&egretv1.ServeResponse{Kind: &egretv1.ServeResponse_Accepted{Accepted: &egretv1.Accepted{
		RequestId:    r.open.RequestId,
		Attempt:      r.open.Attempt,
		Load:         r.s.Load(),
		Revision:     r.s.revisionStamp(),
		CachedTokens: uint32(r.awaitPrefetch()),
	}}})
	if r.upload != nil {
		defer r.upload.Close()
		r.upload.openWindow()
	}
	sent := time.Now()
	answer, err := r.s.opts.Target.Do(ctx, r.engineCall())
	if err != nil {
		out.send(r.failureMessage("start", err))
		return failureSample(err, time.Since(sent))
	}
	defer answer.Close()
	if answer.Status() >= http.StatusInternalServerError && r.s.opts.Model != nil {
		out.send(r.failureMessage("start", &statusError{status: answer.Status()}))
		return admission.Sample{Outcome: admission.OutcomeOverload, Latency: time.Since(sent)}
	}
	out.send(&egretv1.ServeResponse{Kind: &egretv1.ServeResponse_Head{Head: &egretv1.Head{
		Status:  uint32(answer.Status()),
		Headers: headersToWire(answer.Header()),
	}}})
	return r.copyAnswer(answer, out, sent)
}

// errNoFinishReason is the error of a stream whose end mark came before the reason for its end. Such a stream is not a
// completion: an engine that has nothing to add to a resumed stream still says why it ends.
var errNoFinishReason = errors.New("stream ended without a finish reason")

// copyAnswer writes the response of the target to out. sent is the time at which the request was sent.
func (r *attemptRun) copyAnswer(answer engine.Answer, out answerWriter, sent time.Time) admission.Sample {
	sample := admission.Sample{}
	firstPiece := time.Duration(0)
	endOffset := r.open.ResumeOffset
	for {
		piece, err := answer.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			out.send(r.failureMessage("read answer", err))
			return failureSample(err, time.Since(sent))
		}
		if firstPiece == 0 {
			firstPiece = time.Since(sent)
		}
		endOffset = piece.Offset + uint64(piece.Count)
		out.send(&egretv1.ServeResponse{Kind: &egretv1.ServeResponse_Chunk{Chunk: &egretv1.Chunk{
			Offset: piece.Offset,
			Count:  piece.Count,
			Data:   piece.Data,
			Event:  piece.Event,
		}}})
	}
	usage := answer.Usage()
	if usage.FinishReason == "" && r.s.opts.Model != nil && wire.StreamsTokens(answer.Status(), answer.Header().Get("Content-Type")) {
		out.send(r.failureMessage("read answer", errNoFinishReason))
		return failureSample(errNoFinishReason, time.Since(sent))
	}
	if r.upload == nil || !r.upload.exceedsPrefix() {
		// The time to send a larger body depends on the caller and is no measure of the target.
		sample.Expected = r.s.estimate.unloadedCost(r.open, usage)
	}
	sample.Latency = time.Since(sent)
	r.s.estimate.observeRun(r.open, usage, sample.Latency)
	r.s.metrics.runFinished(usage, firstPiece)
	out.send(&egretv1.ServeResponse{Kind: &egretv1.ServeResponse_End{End: &egretv1.End{
		Total:        endOffset,
		Load:         r.s.loadAfterRun(),
		FinishReason: usage.FinishReason,
		PromptTokens: uint32(usage.PromptTokens),
		CachedTokens: uint32(usage.CachedTokens),
	}}})
	sample.Outcome = admission.OutcomeCompleted
	return sample
}

// startPrefetch starts to fetch cached blocks of the prompt to the target.
func (r *attemptRun) startPrefetch(ctx context.Context) {
	if r.s.cache == nil || len(r.open.PromptBlocks) == 0 {
		return
	}
	r.prefetchedTokens = make(chan int, 1)
	go func() { r.prefetchedTokens <- r.s.cache.Prepare(ctx, r.open) }()
}

// awaitPrefetch waits for the prefetch to finish and returns the number of prompt tokens that need no prefill.
func (r *attemptRun) awaitPrefetch() int {
	if r.prefetchedTokens == nil {
		return 0
	}
	return <-r.prefetchedTokens
}

// engineCall returns the request to be sent to the target.
func (r *attemptRun) engineCall() engine.Call {
	call := engine.Call{
		RequestID:    r.open.RequestId,
		Attempt:      r.open.Attempt,
		Method:       r.open.Method,
		Path:         r.open.Path,
		Header:       headersFromWire(r.open.Headers),
		Body:         r.body,
		Priority:     int(r.open.Priority),
		CacheSalt:    r.open.CacheSalt,
		Version:      r.open.WeightVersion,
		ResumeOffset: r.open.ResumeOffset,
		Stream:       r.s.opts.Model != nil && (r.open.Stream || !r.open.PassesJson),
	}
	if r.upload != nil {
		call.BodyStream = r.upload
		call.BodyLength = r.upload.contentLength()
	}
	return call
}

// failureMessage returns the message that ends a failed run. NotRun is set only if the request was certainly not sent.
func (r *attemptRun) failureMessage(step string, err error) *egretv1.ServeResponse {
	var notSent *engine.NotSentError
	return &egretv1.ServeResponse{Kind: &egretv1.ServeResponse_Failure{Failure: &egretv1.Failure{
		NotRun: errors.As(err, &notSent),
		Step:   step,
		Peer:   r.s.opts.Name,
		Detail: err.Error(),
		Load:   r.s.loadAfterRun(),
	}}}
}

func headersToWire(h http.Header) []*egretv1.Header {
	var out []*egretv1.Header
	for name, values := range h {
		for _, v := range values {
			out = append(out, &egretv1.Header{Name: name, Value: v})
		}
	}
	return out
}

func headersFromWire(hs []*egretv1.Header) http.Header {
	out := make(http.Header, len(hs))
	for _, h := range hs {
		out.Add(h.Name, h.Value)
	}
	return out
}
