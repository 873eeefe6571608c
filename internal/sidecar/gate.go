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

// work describes one attempt to the gate.
type gateRequest struct {
	workspace string
	weight    int
	priority  world.Priority
	cost      time.Duration // predicted service time
	deadline  time.Time     // zero is none
}

// waiter is one attempt between its arrival and its end.
type waiter struct {
	item   *fairness.Item[*waiter]
	ready  chan struct{} // closed once ticket or refusal is set
	ticket admission.Ticket
	cause  egretv1.RefusalCause
	start  time.Time
}

// gateStats is a reading of the gate.
type gateStats struct {
	limit    int
	inFlight int
	queued   int
	wait     time.Duration
	phase    admission.Phase
}

// gate joins the target's limit and queue under one lock. Every request holds it twice, for a few steps.
type gate struct {
	mu           sync.Mutex
	controller   *admission.Controller
	queue        *fairness.Queue[*waiter]
	changedCh    chan struct{} // closed and replaced at every change of phase
	reportNeeded chan struct{} // the controller needs a load report made from now on
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

// enter waits for admission. A refusal proves that the attempt did not reach the target.
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

// turnedAway tells the caller when to come back: after the wait that the queue estimates.
func (g *gate) queueRefusal(d fairness.Decision[*waiter]) *egretv1.Refused {
	cause := egretv1.RefusalCause_REFUSAL_CAUSE_OVERLOAD
	if d.Refusal == fairness.RefusalDeadline {
		cause = egretv1.RefusalCause_REFUSAL_CAUSE_DEADLINE
	}
	r := refused(cause, "estimated wait "+d.EstimatedWait.String())
	r.RetryAfterMicros = uint64(d.EstimatedWait / time.Microsecond)
	return r
}

// unready returns the refusal of a phase in which nothing may even wait.
func phaseRefusal(p admission.Phase) egretv1.RefusalCause {
	switch p {
	case admission.PhaseDown:
		return egretv1.RefusalCause_REFUSAL_CAUSE_TARGET_DOWN
	case admission.PhaseLeaving:
		return egretv1.RefusalCause_REFUSAL_CAUSE_DRAINED
	}
	return 0
}

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

// cancel takes a waiting attempt out; false if it has been admitted or refused meanwhile.
func (g *gate) cancel(wt *waiter) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.Cancel(wt.item)
}

// settle refuses a waiting attempt.
func (wt *waiter) refuse(cause egretv1.RefusalCause) {
	wt.cause = cause
	close(wt.ready)
}

// leave ends an admitted attempt.
func (g *gate) release(wt *waiter, sample admission.Sample) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.controller.Release(now, wt.ticket, sample)
	g.queue.Done(wt.item, now.Sub(wt.start))
	g.admitQueued(now)
}

// pump hands out room. Callers hold the lock.
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

// askForReport wakes the probe, so that a doubt that turns out groundless is short.
func (g *gate) requestReport() {
	select {
	case g.reportNeeded <- struct{}{}:
	default:
	}
}

// refuseAll settles everything that waits. Callers hold the lock.
func (g *gate) refuseAll(cause egretv1.RefusalCause) {
	for _, it := range g.queue.Clear() {
		it.Value.refuse(cause)
	}
}

// change runs f under the lock, pumps, and wakes watchers if the phase has changed.
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

func (g *gate) observe(report engine.LoadReport) {
	g.update(func(now time.Time) { g.controller.ObserveLoad(report, now) })
}

func (g *gate) markReachable() {
	g.update(func(time.Time) { g.controller.MarkReachable() })
}

// down reports whether the target was not known to be down before.
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

// changed returns a channel that is closed at the next change worth telling at once.
func (g *gate) changed() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.changedCh
}

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
