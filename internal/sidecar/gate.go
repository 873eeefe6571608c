package sidecar

import (
	"context"
	"sync"
	"time"

	egretv1 "github.com/egrethoist/egrethoist/gen/egret/v1"
	"github.com/egrethoist/egrethoist/internal/admission"
	"github.com/egrethoist/egrethoist/internal/engine"
	"github.com/egrethoist/egrethoist/internal/fairness"
	"github.com/egrethoist/egrethoist/internal/world"
)

// gateRequest contains the admission parameters of one attempt.
type gateRequest struct {
	workspace string
	weight    int // of the workspace
	priority  world.Priority
	cost      time.Duration // predicted service time
	deadline  time.Time     // zero: none
}

// waiter is one attempt from its arrival at the gate until its end.
type waiter struct {
	item   *fairness.Item[*waiter]
	ready  chan struct{} // closed once ticket or cause is set
	ticket admission.Ticket
	cause  egretv1.RefusalCause // zero if admitted
	start  time.Time            // time of admission
}

// gateStats is a snapshot of the gate.
type gateStats struct {
	limit    int
	inFlight int
	queued   int
	wait     time.Duration // estimated queue wait of a new draft
	phase    admission.Phase
}

// gate guards the target's in-flight limit and its queue with one lock. A request takes the lock briefly on arrival
// and at its end.
type gate struct {
	mu           sync.Mutex
	controller   *admission.Controller
	queue        *fairness.Queue[*waiter]
	changedCh    chan struct{} // closed and replaced at every change that watchers should learn of at once
	reportNeeded chan struct{} // signals that the controller needs a fresh load report
}

func newGate(s *world.Service) *gate {
	g := &gate{
		controller:   admission.New(admission.Options{ColdInFlight: s.Cold.InFlight, MaxInFlight: s.MaxInFlight, CompletionsPerSlot: s.Cold.RequestsPerPlace}),
		queue:        fairness.New[*waiter](fairness.Options{}),
		changedCh:    make(chan struct{}),
		reportNeeded: make(chan struct{}, 1),
	}
	return g
}

// enter queues the attempt and waits for its admission or refusal, or until ctx ends. A refusal proves that the
// attempt did not reach the target. After admission the caller must call release.
func (g *gate) enter(ctx context.Context, w gateRequest) (*waiter, *egretv1.Refused) {
	now := time.Now()
	wt := &waiter{ready: make(chan struct{})}
	wt.item = &fairness.Item[*waiter]{
		Value:     wt,
		Workspace: w.workspace,
		Weight:    w.weight,
		Class:     w.priority,
		Cost:      w.cost,
		Deadline:  w.deadline,
	}
	if refusal := g.enqueue(wt, now); refusal != nil {
		return nil, refusal
	}
	return g.await(ctx, wt)
}

// enqueue queues an attempt, which may be admitted at once, or returns its refusal.
func (g *gate) enqueue(wt *waiter, now time.Time) *egretv1.Refused {
	g.mu.Lock()
	defer g.mu.Unlock()
	if cause := phaseRefusal(g.controller.Phase()); cause != 0 {
		return refused(cause, "target is "+g.controller.Phase().String())
	}
	g.queue.SetSlots(g.controller.Limit())
	d := g.queue.Enqueue(wt.item, now)
	if d.Refusal != fairness.RefusalNone {
		return g.queueRefusal(d)
	}
	if d.Displaced != nil {
		d.Displaced.Value.refuse(egretv1.RefusalCause_REFUSAL_CAUSE_OVERLOAD)
	}
	g.admitQueued(now)
	return nil
}

// queueRefusal returns the refusal of an attempt that was not queued. Its retry delay is the estimated queue wait.
func (g *gate) queueRefusal(d fairness.Decision[*waiter]) *egretv1.Refused {
	cause := egretv1.RefusalCause_REFUSAL_CAUSE_OVERLOAD
	if d.Refusal == fairness.RefusalDeadline {
		cause = egretv1.RefusalCause_REFUSAL_CAUSE_DEADLINE
	}
	r := refused(cause, "estimated wait "+d.EstimatedWait.String())
	r.RetryAfterMicros = uint64(d.EstimatedWait / time.Microsecond)
	return r
}

// phaseRefusal returns the cause of refusal in a phase in which nothing is queued, or zero.
func phaseRefusal(p admission.Phase) egretv1.RefusalCause {
	switch p {
	case admission.PhaseDown:
		return egretv1.RefusalCause_REFUSAL_CAUSE_TARGET_DOWN
	case admission.PhaseLeaving:
		return egretv1.RefusalCause_REFUSAL_CAUSE_DRAINED
	}
	return 0
}

// await waits for the decision on a queued attempt, or until ctx ends.
func (g *gate) await(ctx context.Context, wt *waiter) (*waiter, *egretv1.Refused) {
	select {
	case <-wt.ready:
	case <-ctx.Done():
		if g.cancel(wt) {
			return nil, refused(egretv1.RefusalCause_REFUSAL_CAUSE_DEADLINE, "gave up in the queue")
		}
		<-wt.ready
	}
	if wt.cause != 0 {
		return nil, refused(wt.cause, "gave up in the queue")
	}
	return wt, nil
}

// cancel removes an attempt from the queue. It returns false if the attempt has been admitted or refused meanwhile.
func (g *gate) cancel(wt *waiter) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Cancel(wt.item)
}

// refuse ends the wait of a queued attempt with a refusal.
func (wt *waiter) refuse(cause egretv1.RefusalCause) {
	wt.cause = cause
	close(wt.ready)
}

// release ends an admitted attempt and admits queued ones in its place.
func (g *gate) release(wt *waiter, sample admission.Sample) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.controller.Release(now, wt.ticket, sample)
	g.queue.Done(wt.item, now.Sub(wt.start))
	g.admitQueued(now)
}

// admitQueued refuses queued attempts that can no longer meet their deadline and admits others while there are free
// slots. The caller holds the lock.
func (g *gate) admitQueued(now time.Time) {
	for _, expired := range g.queue.Expire(now) {
		expired.Value.refuse(egretv1.RefusalCause_REFUSAL_CAUSE_DEADLINE)
	}
	g.queue.SetSlots(g.controller.Limit())
	for g.controller.FreeSlots() > 0 {
		it, ok := g.queue.Next(now)
		if !ok {
			return
		}
		g.admit(it.Value, now)
	}
}

// admit takes a ticket for an attempt that has left the queue. The caller holds the lock.
func (g *gate) admit(wt *waiter, now time.Time) {
	suspectedBefore := g.controller.RestartSuspected()
	ticket, refusal := g.controller.Admit(now)
	if !suspectedBefore && g.controller.RestartSuspected() {
		g.requestReport()
	}
	if refusal != admission.RefusalNone {
		g.queue.Done(wt.item, 0)
		wt.refuse(egretv1.RefusalCause_REFUSAL_CAUSE_OVERLOAD)
		return
	}
	wt.ticket = ticket
	wt.start = now
	close(wt.ready)
}

// requestReport wakes the probe loop, so that an unfounded suspicion of a restart lowers the limit only briefly.
func (g *gate) requestReport() {
	select {
	case g.reportNeeded <- struct{}{}:
	default:
	}
}

// refuseAll refuses all queued attempts. The caller holds the lock.
func (g *gate) refuseAll(cause egretv1.RefusalCause) {
	for _, it := range g.queue.Clear() {
		it.Value.refuse(cause)
	}
}

// update runs f under the lock, then admits or refuses queued attempts, and notifies watchers if the phase has changed.
func (g *gate) update(f func(now time.Time)) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	before := g.controller.Phase()
	f(now)
	if cause := phaseRefusal(g.controller.Phase()); cause != 0 {
		g.refuseAll(cause)
	}
	g.admitQueued(now)
	if g.controller.Phase() != before {
		g.notifyWatchersLocked()
	}
}

// observe applies a load report.
func (g *gate) observe(report engine.LoadReport) {
	g.update(func(now time.Time) { g.controller.ObserveLoad(report, now) })
}

// markReachable records that the target answered a probe.
func (g *gate) markReachable() {
	g.update(func(time.Time) { g.controller.MarkReachable() })
}

// markDown records that the target does not respond. It returns whether the target was up until now.
func (g *gate) markDown() bool {
	wasUp := false
	g.update(func(time.Time) {
		wasUp = g.controller.Phase() != admission.PhaseDown
		g.controller.MarkDown()
	})
	return wasUp
}

func (g *gate) setLeaving(leaving bool) {
	g.update(func(time.Time) { g.controller.SetLeaving(leaving) })
}

func (g *gate) setDeclaredLimits(s *world.Service) {
	g.update(func(time.Time) {
		g.controller.SetDeclaredLimits(s.Cold.InFlight, s.MaxInFlight, s.Cold.RequestsPerPlace)
	})
}

// changed returns a channel that is closed at the next change that watchers should learn of at once.
func (g *gate) changed() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.changedCh
}

// notifyWatchers closes the channel returned by changed.
func (g *gate) notifyWatchers() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.notifyWatchersLocked()
}

func (g *gate) notifyWatchersLocked() {
	close(g.changedCh)
	g.changedCh = make(chan struct{})
}

func (g *gate) stats() gateStats {
	g.mu.Lock()
	defer g.mu.Unlock()
	return gateStats{
		limit:    g.controller.Limit(),
		inFlight: g.controller.InFlight(),
		queued:   g.queue.Len(),
		wait:     g.queue.EstimateWait(world.PriorityDraft),
		phase:    g.controller.Phase(),
	}
}
