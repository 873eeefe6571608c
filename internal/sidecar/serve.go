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
)

// maxBodyBytes bounds a request body that an entry sends whole, which the sidecar holds.
const maxBodyBytes = 32 << 20

// serveStream is the sidecar's end of one attempt.
type serveStream = connect.BidiStream[egretv1.ServeRequest, egretv1.ServeResponse]

// attemptRun carries one attempt through the sidecar.
type attemptRun struct {
	s                *Sidecar
	stream           *serveStream
	out              *streamWriter
	open             *egretv1.Open
	body             []byte      // of a request that was sent whole
	upload           *bodyStream // instead of body: it passes through to the target
	start            time.Time
	prefetchedTokens chan int // prompt tokens brought to the target; nil if nothing is fetched
}

// Serve carries one attempt: check, admission, dispatch, answer.
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

// close ends what may still use the stream. Sending on it is not allowed once its handler has returned.
func (r *attemptRun) close() {
	if r.upload != nil {
		r.upload.Close()
	}
	r.out.close()
}

// receive reads the opening message and, unless it is to pass through, the whole body. Nothing has run when it fails.
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

// grant lets the entry send more of the body.
func (r *attemptRun) sendBodyGrant(offset uint64) {
	r.out.send(&egretv1.ServeResponse{Kind: &egretv1.ServeResponse_BodyGrant{BodyGrant: &egretv1.BodyGrant{Offset: offset}}})
}

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
	// Blocks are fetched while the attempt waits, so that it holds no place at the target for it.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if r.s.opts.Model != nil {
		// A stream cut here ends with a failure, and its entry resumes it at another target.
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

func (r *attemptRun) refuse(refusal *egretv1.Refused) error {
	refusal.Load = r.s.Load()
	refusal.Revision = r.s.revisionStamp()
	r.s.metrics.countRefusal(refusal.Cause)
	r.out.send(&egretv1.ServeResponse{Kind: &egretv1.ServeResponse_Refused{Refused: refusal}})
	return r.out.firstError()
}

// answerWriter receives the messages of an answer after admission.
type answerWriter interface {
	send(m *egretv1.ServeResponse)
}

// streamWriter sends to the entry and keeps the first error. The run goes on or is cancelled by its context;
// a lost entry does not change what ran. The answer and the grants of a body use it at the same time.
type streamWriter struct {
	stream *serveStream
	sem    chan struct{} // held while a message is sent
	err    error         // of the first failure; under turn
}

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

// failed returns the first error.
func (w *streamWriter) firstError() error {
	w.lock()
	defer w.unlock()
	return w.err
}

// close lets nothing be sent any more.
func (w *streamWriter) close() {
	w.lock()
	defer w.unlock()
	if w.err == nil {
		w.err = errWriterClosed
	}
}

// dispatch runs the call at the target and writes its answer. It returns what the run showed of the target.
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
		Headers: headersToProto(answer.Header()),
	}}})
	return r.copyAnswer(answer, out, sent)
}

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
	if r.upload == nil || !r.upload.exceedsPrefix() {
		// How long a larger body takes is up to its caller and says nothing of the target.
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

// prepare starts to bring kept blocks of the prompt to the target.
func (r *attemptRun) startPrefetch(ctx context.Context) {
	if r.s.cache == nil || len(r.open.PromptBlocks) == 0 {
		return
	}
	r.prefetchedTokens = make(chan int, 1)
	go func() { r.prefetchedTokens <- r.s.cache.Prepare(ctx, r.open) }()
}

// prepared waits for what prepare has started.
func (r *attemptRun) awaitPrefetch() int {
	if r.prefetchedTokens == nil {
		return 0
	}
	return <-r.prefetchedTokens
}

func (r *attemptRun) engineCall() engine.Call {
	call := engine.Call{
		RequestID:    r.open.RequestId,
		Attempt:      r.open.Attempt,
		Method:       r.open.Method,
		Path:         r.open.Path,
		Header:       headersFromProto(r.open.Headers),
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

func headersToProto(h http.Header) []*egretv1.Header {
	var out []*egretv1.Header
	for name, values := range h {
		for _, v := range values {
			out = append(out, &egretv1.Header{Name: name, Value: v})
		}
	}
	return out
}

func headersFromProto(hs []*egretv1.Header) http.Header {
	out := make(http.Header, len(hs))
	for _, h := range hs {
		out.Add(h.Name, h.Value)
	}
	return out
}
