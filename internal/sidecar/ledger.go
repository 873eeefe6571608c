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

// Bounds of the ledger's shell.
const (
	// maxStoredAnswer is the largest answer kept for repetitions.
	maxStoredAnswer = 1 << 20
	// onceRunLimit bounds a run that goes on after its entry has gone.
	onceRunLimit = 5 * time.Minute
	fenceLimit   = 1 * time.Second
	// handoverQuiet is how long a sidecar that could not claim its predecessor's handover runs no caller's key.
	handoverQuiet = 10 * time.Second
)

// ledger guards the memory of idempotency keys of this incarnation.
type ledger struct {
	mu       sync.Mutex
	target   string
	book     *once.Ledger
	homes    *once.Homes
	revision uint64
	declared map[string]*world.Target
	acked    once.AckedRevisions
	keep     time.Duration // see once.GenerationRetention
	barrier  barrier
	marked   bool // the first incarnation is marked, see claimFirst
}

func newLedger(opts Options, svc *world.Service) *ledger {
	l := &ledger{target: opts.Name, homes: once.NewHomes(), keep: once.GenerationRetention(svc.RetryWindow)}
	l.book = once.NewLedger(once.Options{
		Target:       opts.Name,
		Incarnation:  opts.Incarnation,
		Started:      time.Unix(0, int64(opts.Incarnation)),
		RetryWindow:  retryWindow(svc),
		HandoverWait: handoverQuiet,
	}, l.homes)
	l.barrier.raise()
	l.book.SetSuspended(true)
	return l
}

func retryWindow(svc *world.Service) time.Duration {
	return cmp.Or(svc.RetryWindow, once.DefaultRetryWindow)
}

// follow puts the retry window and the homes of a newer configuration in force.
func (l *ledger) follow(w *world.World, service string, now time.Time) {
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
	l.declared = w.Targets
	l.keep = max(l.keep, once.GenerationRetention(svc.RetryWindow))
	l.book.SetRetryWindow(retryWindow(svc), now)
	if svc.Homes != nil {
		l.homes = l.homes.WithRecorded(once.RecordedGenerations(w, svc, now), l.revision, now, l.keep+once.MaxStaleness)
	} else {
		l.homes = l.homes.Advance(once.CurrentGeneration(w, svc, now), now, l.keep, unsettled)
	}
	l.homes = l.homes.Prune(now, l.keep, l.settled(now))
	l.book.SetHomes(l.homes)
	l.bar()
}

// bar keeps callers' keys from running until the barrier is passed.
func (l *ledger) bar() { l.book.SetSuspended(l.barred()) }

func (l *ledger) barred() bool { return !l.barrier.passed(l.revision) }

// known returns the revision that the ledger acts on.
func (l *ledger) known() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.revision
}

// storedAnswer records an answer while it is streamed out.
type storedAnswer struct {
	out     answerWriter
	answer  *once.Answer
	tooLong bool
	ended   bool
	notRun  bool
	failed  bool
}

func (a *storedAnswer) send(m *egretv1.ServeResponse) {
	switch k := m.Kind.(type) {
	case *egretv1.ServeResponse_Head:
		a.answer = &once.Answer{Status: int(k.Head.Status), Header: storedHeaders(k.Head.Headers)}
	case *egretv1.ServeResponse_Chunk:
		a.keep(k.Chunk.Data)
	case *egretv1.ServeResponse_End:
		a.ended = true
	case *egretv1.ServeResponse_Failure:
		a.failed = true
		a.notRun = k.Failure.NotRun
	}
	a.out.send(m)
}

func (a *storedAnswer) keep(data []byte) {
	if a.tooLong || len(a.answer.Body)+len(data) > maxStoredAnswer {
		a.tooLong = true
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

// serveOnce runs a non-idempotent call at most once under its key. The key is recorded as running before
// anything is queued or sent, so that no second presentation can pass while the first is under way. A target
// that takes no new work passes its refusal: the ledger still answers for the keys that it knows.
func (r *attemptRun) serveOnce(ctx context.Context, drained *egretv1.Refused) error {
	key := r.key()
	res := r.present(ctx, key)
	if res.Verdict == once.OutcomeUnknown && r.awaitAdoption(ctx) {
		// The previous incarnation's keys may tell what was unknown. Adopting them only adds knowledge, so a key
		// that was proved fresh before needed no wait.
		res = r.present(ctx, key)
	}
	if res.Verdict == once.Replay && !r.repeats(res) {
		res = once.Result{Verdict: once.Mismatch}
	}
	if res.Verdict == once.Replay {
		return r.replay(res.Answer)
	}
	if res.Verdict != once.Run {
		return r.refuse(verdictRefusal(res))
	}
	wt, refusal := r.enterUnless(ctx, drained)
	if refusal != nil {
		r.s.ledger.abort(key)
		refusal.KeyUnrun = true
		return r.refuse(refusal)
	}
	// The run is detached from the entry's stream: a lost entry must not cancel it half-way, and its outcome
	// can be asked for later.
	runCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), onceRunLimit)
	defer cancel()
	out := &storedAnswer{out: r.out}
	sample := r.dispatch(runCtx, out)
	fingerprint, known := r.fingerprint()
	r.s.ledger.end(key, fingerprint, known, out, sample)
	r.s.gate.leave(wt, sample)
	return r.out.failed()
}

// repeats reports whether the request is the one whose stored answer was found. A body that passes through can only
// be compared after the ledger was asked; it is read to its end and goes nowhere.
func (r *attemptRun) repeats(res once.Result) bool {
	if r.upload == nil {
		return true // the ledger has compared it
	}
	r.upload.open()
	if _, err := io.Copy(io.Discard, r.upload); err != nil {
		return false
	}
	fingerprint, known := r.fingerprint()
	return known && fingerprint == res.Fingerprint
}

// awaitAdoption waits until the previous incarnation's keys are known or can't be had; false if they were before.
func (r *attemptRun) awaitAdoption(ctx context.Context) bool {
	select {
	case <-r.s.adopted:
		return false
	default:
	}
	select {
	case <-r.s.adopted:
	case <-ctx.Done():
	}
	return true
}

func (r *attemptRun) enterUnless(ctx context.Context, drained *egretv1.Refused) (*waiter, *egretv1.Refused) {
	if drained != nil {
		return nil, drained
	}
	return r.s.gate.enter(ctx, r.work())
}

func (l *ledger) abort(key once.Key) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.book.Abort(key)
}

// end records how the dispatched run ended. An answer is not stored if its request is not known whole, since a
// repetition could not be told from another request.
func (l *ledger) end(key once.Key, fingerprint [32]byte, known bool, out *storedAnswer, sample admission.Sample) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if known {
		l.book.Identify(key, fingerprint)
	}
	switch {
	case out.ended && (out.tooLong || !known):
		l.book.Finish(key, nil)
	case out.ended:
		l.book.Finish(key, out.answer)
	case out.notRun && sample.Outcome == admission.OutcomeUnreachable:
		l.book.Abort(key)
	default:
		l.book.MarkUnknown(key)
	}
}

func (r *attemptRun) key() once.Key {
	return once.Key{Workspace: r.open.Workspace, Service: r.open.Service, ID: r.open.IdempotencyKey}
}

// present asks the ledger, and the key's earlier homes where the ledger says so.
func (r *attemptRun) present(ctx context.Context, key once.Key) once.Result {
	p := once.BeginRequest{Key: key, ReadAt: time.UnixMicro(r.open.ReadUnixMicros)}
	if r.upload == nil {
		p.Fingerprint, _ = r.fingerprint()
	}
	for range maxPresentations {
		res := r.s.ledger.present(p)
		if res.Verdict != once.FenceEarlier {
			return res
		}
		p.Token = res.Token
		p.FenceResults = r.s.askEarlier(ctx, key, r.open.ReadUnixMicros, res.FenceTargets)
	}
	return once.Result{Verdict: once.OutcomeUnknown, RetryAfter: fenceLimit}
}

// maxPresentations bounds how often the earlier homes are asked for one attempt.
const maxPresentations = 3

func (l *ledger) present(p once.BeginRequest) once.Result {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.barrier.check(now)
	l.bar()
	return l.book.Begin(p, now)
}

// fingerprint identifies the request, so that a key that is used for another one is found; false, and zero, while the
// body has not come whole.
func (r *attemptRun) fingerprint() ([32]byte, bool) {
	if r.upload != nil {
		return r.upload.fingerprint()
	}
	d := newBodyDigest(r.open)
	d.write(r.body)
	return d.sum(), true
}

// replay delivers the stored answer of the run under the same key.
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
	return out.failed()
}

func answerHead(a *once.Answer) *egretv1.Head {
	head := &egretv1.Head{Status: uint32(a.Status), Replayed: true}
	for _, h := range a.Header {
		head.Headers = append(head.Headers, &egretv1.Header{Name: h.Name, Value: h.Value})
	}
	return head
}

// verdictRefusal words a verdict towards the entry.
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

// Outcome tells what the ledger knows of a key, without changing it.
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
	return l.book.Lookup(key)
}

// outcomeState words a ledger's state towards a caller who asks. A key that the ledger does not hold may have
// run in an earlier incarnation, so its outcome is unknown.
func outcomeState(s once.State) egretv1.OutcomeState {
	switch s {
	case once.StateRunning:
		return egretv1.OutcomeState_OUTCOME_STATE_RUNNING
	case once.StateDone:
		return egretv1.OutcomeState_OUTCOME_STATE_RUN
	}
	return egretv1.OutcomeState_OUTCOME_STATE_UNKNOWN
}
