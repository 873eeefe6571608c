package sidecar

import (
	"cmp"
	"context"
	"io"
	"sync"
	"time"

	"connectrpc.com/connect"

	egretv1 "github.com/egrethoist/egrethoist/gen/egret/v1"
	"github.com/egrethoist/egrethoist/internal/admission"
	"github.com/egrethoist/egrethoist/internal/once"
	"github.com/egrethoist/egrethoist/internal/world"
)

// Limits of keyed requests.
const (
	// maxStoredAnswer is the largest body of a response that is stored for replay, in bytes.
	maxStoredAnswer = 1 << 20
	// keyedRunTimeout bounds a run, which continues after the stream to its entry gateway has ended.
	keyedRunTimeout = 5 * time.Minute
	// fenceTimeout bounds one round of fences at the earlier homes of a key, and one ping of a former home.
	fenceTimeout = 1 * time.Second
	// handoverWait is how long after its start a sidecar that could not claim its predecessor's handover runs no
	// caller's key, see once.Options.HandoverWait.
	handoverWait = 10 * time.Second
)

// ledger guards the idempotency keys of this incarnation with a lock and keeps their homes up to date.
type ledger struct {
	mu              sync.Mutex
	target          string
	keys            *once.Ledger
	homes           *once.Homes              // current and earlier homes of keys, as passed to keys.SetHomes
	revision        uint64                   // configuration revision that the ledger acts on
	declaredTargets map[string]*world.Target // by name
	acked           once.AckedRevisions      // revisions that other targets act on
	retention       time.Duration            // how long ended generations are kept, see once.GenerationRetention
	barrier         barrier
	firstMarked     bool // the first-incarnation marker exists, see claimFirstIncarnation
}

func newLedger(opts Options, svc *world.Service) *ledger {
	l := &ledger{target: opts.Name, homes: once.NewHomes(), retention: once.GenerationRetention(svc.RetryWindow)}
	l.keys = once.NewLedger(once.Options{
		Target:       opts.Name,
		Incarnation:  opts.Incarnation,
		Started:      time.Unix(0, int64(opts.Incarnation)),
		RetryWindow:  retryWindow(svc),
		HandoverWait: handoverWait,
	}, l.homes)
	l.barrier.raise()
	l.keys.SetSuspended(true)
	return l
}

// retryWindow returns how long callers may repeat a key of the service.
func retryWindow(svc *world.Service) time.Duration {
	return cmp.Or(svc.RetryWindow, once.DefaultRetryWindow)
}

// applyConfig puts the retry window and the homes of a newer configuration in force; an older one is ignored.
func (l *ledger) applyConfig(w *world.World, service string, now time.Time) {
	svc := w.Services[service]
	if svc == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if w.Revision.Number <= l.revision {
		return
	}
	l.revision = w.Revision.Number
	l.declaredTargets = w.Targets
	l.retention = max(l.retention, once.GenerationRetention(svc.RetryWindow))
	l.keys.SetRetryWindow(retryWindow(svc), now)
	if svc.Homes != nil {
		l.homes = l.homes.WithRecorded(once.RecordedGenerations(w, svc, now), l.revision, now, l.retention+once.MaxStaleness)
	} else {
		l.homes = l.homes.Advance(once.CurrentGeneration(w, svc, now), now, l.retention, neverSettled)
	}
	l.homes = l.homes.Prune(now, l.retention, l.settledFunc(now))
	l.keys.SetHomes(l.homes)
	l.updateSuspension()
}

// updateSuspension suspends callers' keys until the barrier is passed. The caller holds the lock.
func (l *ledger) updateSuspension() { l.keys.SetSuspended(l.suspended()) }

// suspended reports whether callers' keys are suspended. The caller holds the lock.
func (l *ledger) suspended() bool { return !l.barrier.passed(l.revision) }

// currentRevision returns the revision that the ledger acts on.
func (l *ledger) currentRevision() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.revision
}

// answerRecorder records a response for replay while it is sent to the entry gateway.
type answerRecorder struct {
	out      answerWriter
	answer   *once.Answer
	tooLarge bool // the body is not recorded
	ended    bool // the response is complete
	notRun   bool // the run failed before the request was sent
	failed   bool
}

func (a *answerRecorder) send(m *egretv1.ServeResponse) {
	switch k := m.Kind.(type) {
	case *egretv1.ServeResponse_Head:
		a.answer = &once.Answer{Status: int(k.Head.Status), Header: storedHeaders(k.Head.Headers)}
	case *egretv1.ServeResponse_Chunk:
		a.appendBody(k.Chunk.Data)
	case *egretv1.ServeResponse_End:
		a.ended = true
	case *egretv1.ServeResponse_Failure:
		a.failed = true
		a.notRun = k.Failure.NotRun
	}
	a.out.send(m)
}

// appendBody records data of the body, or drops the body once it exceeds maxStoredAnswer.
func (a *answerRecorder) appendBody(data []byte) {
	if a.tooLarge || len(a.answer.Body)+len(data) > maxStoredAnswer {
		a.tooLarge = true
		a.answer.Body = nil
		return
	}
	a.answer.Body = append(a.answer.Body, data...)
}

func storedHeaders(hs []*egretv1.Header) []once.HeaderField {
	out := make([]once.HeaderField, 0, len(hs))
	for _, h := range hs {
		out = append(out, once.HeaderField{Name: h.Name, Value: h.Value})
	}
	return out
}

// serveKeyed runs a non-idempotent request at most once under its key. The key is recorded as running before anything
// is queued or sent, so that no second request with the key can run meanwhile. draining is the refusal of a target
// that accepts no new work, or nil; the ledger still answers for the keys that it holds.
func (r *attemptRun) serveKeyed(ctx context.Context, draining *egretv1.Refused) error {
	key := r.key()
	res := r.beginKey(ctx, key)
	if res.Verdict == once.OutcomeUnknown && r.awaitTakeOver(ctx) {
		// The keys of the previous incarnation may resolve the unknown outcome. Adopting them only adds entries and
		// coverage, so a key that was allowed to run before did not need to wait.
		res = r.beginKey(ctx, key)
	}
	if res.Verdict == once.Replay && !r.isSameRequest(res) {
		res = once.Result{Verdict: once.Mismatch}
	}
	if res.Verdict == once.Replay {
		return r.replay(res.Answer)
	}
	if res.Verdict != once.Run {
		return r.refuse(verdictRefusal(res))
	}
	admitted, refusal := r.enterUnlessDraining(ctx, draining)
	if refusal != nil {
		r.s.ledger.abort(key)
		refusal.KeyUnrun = true
		return r.refuse(refusal)
	}
	// The run is detached from the stream to the entry gateway: losing that must not cancel the run half-way, and its
	// outcome can be queried later.
	runCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), keyedRunTimeout)
	defer cancel()
	out := &answerRecorder{out: r.out}
	sample := r.dispatch(runCtx, out)
	fingerprint, complete := r.fingerprint()
	r.s.ledger.recordOutcome(key, fingerprint, complete, out, sample)
	r.s.gate.release(admitted, sample)
	return r.out.firstError()
}

// isSameRequest reports whether the request is the one whose stored response was found. A streamed body can only be
// compared after the ledger was consulted; it is read to its end and discarded.
func (r *attemptRun) isSameRequest(res once.Result) bool {
	if r.upload == nil {
		return true // the ledger has compared it
	}
	r.upload.openWindow()
	if _, err := io.Copy(io.Discard, r.upload); err != nil {
		return false
	}
	fingerprint, complete := r.fingerprint()
	return complete && fingerprint == res.Fingerprint
}

// awaitTakeOver waits until takeOverLedger has ended, or ctx ends. It returns false if it had ended already, so that
// asking the ledger again is of no use.
func (r *attemptRun) awaitTakeOver(ctx context.Context) bool {
	select {
	case <-r.s.takeOverDone:
		return false
	default:
	}
	select {
	case <-r.s.takeOverDone:
	case <-ctx.Done():
	}
	return true
}

// enterUnlessDraining waits for admission at the gate, or returns draining if it is set.
func (r *attemptRun) enterUnlessDraining(ctx context.Context, draining *egretv1.Refused) (*waiter, *egretv1.Refused) {
	if draining != nil {
		return nil, draining
	}
	return r.s.gate.enter(ctx, r.gateRequest())
}

// abort records that a request is proved not to have run; its key may run again.
func (l *ledger) abort(key once.Key) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.keys.Abort(key)
}

// recordOutcome records the outcome of a dispatched request. A response is not stored if the body of the request is
// incomplete, since a repetition could not be distinguished from a different request.
func (l *ledger) recordOutcome(key once.Key, fingerprint [32]byte, complete bool, out *answerRecorder, sample admission.Sample) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if complete {
		l.keys.Identify(key, fingerprint)
	}
	switch {
	case out.ended && (out.tooLarge || !complete):
		l.keys.Finish(key, nil)
	case out.ended:
		l.keys.Finish(key, out.answer)
	case out.notRun && sample.Outcome == admission.OutcomeUnreachable:
		l.keys.Abort(key)
	default:
		l.keys.MarkUnknown(key)
	}
}

func (r *attemptRun) key() once.Key {
	return once.Key{Workspace: r.open.Workspace, Service: r.open.Service, ID: r.open.IdempotencyKey}
}

// beginKey returns the ledger's verdict on the key, and fences the key at its earlier homes if the ledger asks for it.
func (r *attemptRun) beginKey(ctx context.Context, key once.Key) once.Result {
	req := once.BeginRequest{Key: key, ReadAt: time.UnixMicro(r.open.ReadUnixMicros)}
	if r.upload == nil {
		req.Fingerprint, _ = r.fingerprint()
	}
	for range maxFenceRounds {
		res := r.s.ledger.begin(req)
		if res.Verdict != once.FenceEarlier {
			return res
		}
		req.Token = res.Token
		req.FenceResults = r.s.fenceEarlierHomes(ctx, key, r.open.ReadUnixMicros, res.FenceTargets)
	}
	return once.Result{Verdict: once.OutcomeUnknown, RetryAfter: fenceTimeout}
}

// maxFenceRounds bounds how often one attempt asks the ledger, with a round of fences after each FenceEarlier.
const maxFenceRounds = 3

// begin returns the ledger's verdict on a request, after a check for a pause of the process.
func (l *ledger) begin(req once.BeginRequest) once.Result {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.barrier.check(now)
	l.updateSuspension()
	return l.keys.Begin(req, now)
}

// fingerprint returns the digest of the request, which detects a key that is reused for a different request; zero and
// false while a streamed body is incomplete.
func (r *attemptRun) fingerprint() ([32]byte, bool) {
	if r.upload != nil {
		return r.upload.fingerprint()
	}
	d := newRequestDigest(r.open)
	d.write(r.body)
	return d.sum(), true
}

// replay sends the stored response of the run under the same key.
func (r *attemptRun) replay(a *once.Answer) error {
	out := r.out
	out.send(&egretv1.ServeResponse{Kind: &egretv1.ServeResponse_Accepted{Accepted: &egretv1.Accepted{
		RequestId: r.open.RequestId,
		Attempt:   r.open.Attempt,
		Load:      r.s.Load(),
		Revision:  r.s.revisionStamp(),
	}}})
	out.send(&egretv1.ServeResponse{Kind: &egretv1.ServeResponse_Head{Head: answerHead(a)}})
	out.send(&egretv1.ServeResponse{Kind: &egretv1.ServeResponse_Chunk{Chunk: &egretv1.Chunk{
		Count: uint32(len(a.Body)),
		Data:  a.Body,
	}}})
	out.send(&egretv1.ServeResponse{Kind: &egretv1.ServeResponse_End{End: &egretv1.End{Total: uint64(len(a.Body))}}})
	return out.firstError()
}

// answerHead returns the head of a stored response, marked as replayed.
func answerHead(a *once.Answer) *egretv1.Head {
	head := &egretv1.Head{Status: uint32(a.Status), Replayed: true}
	for _, h := range a.Header {
		head.Headers = append(head.Headers, &egretv1.Header{Name: h.Name, Value: h.Value})
	}
	return head
}

// verdictRefusal returns the refusal that reports a verdict to the entry gateway.
func verdictRefusal(res once.Result) *egretv1.Refused {
	r := refused(verdictCause(res.Verdict), res.Verdict.String())
	r.RetryAfterMicros = uint64(res.RetryAfter / time.Microsecond)
	return r
}

func verdictCause(v once.Verdict) egretv1.RefusalCause {
	switch v {
	case once.InProgress:
		return egretv1.RefusalCause_REFUSAL_CAUSE_IN_PROGRESS
	case once.OutcomeUnknown:
		return egretv1.RefusalCause_REFUSAL_CAUSE_OUTCOME_UNKNOWN
	case once.Expired:
		return egretv1.RefusalCause_REFUSAL_CAUSE_KEY_EXPIRED
	case once.WrongIncarnation:
		return egretv1.RefusalCause_REFUSAL_CAUSE_INCARNATION
	case once.NotHome:
		return egretv1.RefusalCause_REFUSAL_CAUSE_NOT_HOME
	case once.Full:
		return egretv1.RefusalCause_REFUSAL_CAUSE_OVERLOAD
	case once.Ran:
		return egretv1.RefusalCause_REFUSAL_CAUSE_RAN
	case once.Mismatch:
		return egretv1.RefusalCause_REFUSAL_CAUSE_KEY_MISMATCH
	case once.Closed:
		return egretv1.RefusalCause_REFUSAL_CAUSE_DRAINED
	case once.Stale:
		return egretv1.RefusalCause_REFUSAL_CAUSE_DEADLINE
	}
	return egretv1.RefusalCause_REFUSAL_CAUSE_INVALID
}

// Outcome returns the state of a key in the ledger and its stored response, without changing the ledger.
func (s *Sidecar) Outcome(_ context.Context, req *connect.Request[egretv1.OutcomeRequest]) (*connect.Response[egretv1.OutcomeResponse], error) {
	key := once.Key{Workspace: req.Msg.Workspace, Service: req.Msg.Service, ID: req.Msg.IdempotencyKey}
	state, answer := s.ledger.lookup(key)
	out := &egretv1.OutcomeResponse{State: outcomeState(state), Incarnation: s.opts.Incarnation}
	if answer != nil {
		out.Head = answerHead(answer)
		out.Body = answer.Body
	}
	return connect.NewResponse(out), nil
}

func (l *ledger) lookup(key once.Key) (once.State, *once.Answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.keys.Lookup(key)
}

// outcomeState returns the wire form of the state of a key. A key that the ledger does not hold may have run in an
// earlier incarnation, so its outcome is unknown.
func outcomeState(s once.State) egretv1.OutcomeState {
	switch s {
	case once.StateRunning:
		return egretv1.OutcomeState_OUTCOME_STATE_RUNNING
	case once.StateDone:
		return egretv1.OutcomeState_OUTCOME_STATE_RUN
	}
	return egretv1.OutcomeState_OUTCOME_STATE_UNKNOWN
}
