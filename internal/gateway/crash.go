package gateway

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"k8s.io/klog/v2"

	"github.com/egrethoist/egrethoist/internal/quarantine"
	"github.com/egrethoist/egrethoist/internal/sleep"
)

const (
	// crashDialTimeout bounds a connection that tests whether a target has crashed: many round trips within a region. A target that
	// does not reply in time may be cut off, which is no crash.
	crashDialTimeout = 100 * time.Millisecond
	// crashRedialDelay is the wait before the second connection if the first one was accepted: a process that ends may close its
	// connections before its listener.
	crashRedialDelay = 30 * time.Millisecond
	// crashCheckInterval is the shortest time between two checks of a target that has not crashed.
	crashCheckInterval = 250 * time.Millisecond
	// crashCollectTime is how long the requests that a crash has cut are collected before they are reported.
	crashCollectTime = 3 * time.Millisecond
	// crashSettleTime is how long the retries of such requests wait for the reports of other instances.
	crashSettleTime = 20 * time.Millisecond
	// recallCheckDelay is the time from the recall of a request to the check of its target if no instance reports its crash before: longer than from
	// the beginning of an answer to a crash, and short enough that the target has not restarted.
	recallCheckDelay = 200 * time.Millisecond
	// answerBeginTime is how long after its first event an answer counts as begun just now.
	answerBeginTime = 100 * time.Millisecond
	// minRunTime is the time from the send to the cut below which a plain target may have crashed before the request arrived, on a connection
	// not yet known to have ended: a round trip between regions close by.
	minRunTime = 5 * time.Millisecond
)

// crashCheck tests whether a target has crashed after it has cut requests, and collects their parts.
type crashCheck struct {
	startedAt time.Time
	done      chan struct{} // closed when the result is known and other instances have had time to report

	mu       sync.Mutex
	finished bool // crashed is valid
	crashed  bool
	cut      []cutRequest
}

// cutRequest is a request that a target had cut, with what may have crashed the target.
type cutRequest struct {
	sent     time.Time
	suspects []quarantine.Suspect
}

// progress is how far the answer of an attempt came.
type progress struct {
	headAt     time.Time // when the head arrived; zero if it did not
	firstEvent time.Time // when the first complete event arrived; zero if none did
	events     int       // complete events
}

// wasCut reports whether the target ended the attempt without a complete answer, as opposed to this instance or the caller.
func (a *attempt) wasCut() bool {
	switch a.outcome {
	case attemptUnknown, attemptBroken:
	default:
		return false
	}
	for _, own := range []error{errCallerWrite, errNoMemory, errWeightsExpired, errQuarantined, errNotRecorded, errOldStops, context.Canceled, context.DeadlineExceeded} {
		if errors.Is(a.err, own) {
			return false
		}
	}
	return true
}

// checkCut finds out whether the target of an attempt has crashed, if the attempt was cut. If so, it reports the parts of the request as
// suspects and waits until the reports of other instances should have arrived.
func (rq *request) checkCut(a *attempt) {
	if errors.Is(a.err, errQuarantined) {
		rq.checkRecalled(a)
	}
	if !a.wasCut() {
		return
	}
	check := rq.gateway.opts.State.crashCheckOf(a.target, cutRequest{a.sent, rq.crashSuspects(a)})
	select {
	case <-check.done:
	case <-rq.ctx.Done():
	}
}

// checkRecalled finds out later whether a target has crashed under the request that was just called back from it: the target may have begun
// to answer before it learned of that. The evidence is weak, since that is not known. It follows the report of another instance at once: until then
// the crash counts as one without the request's parts.
func (rq *request) checkRecalled(a *attempt) {
	state, request := rq.gateway.opts.State, uint32(requestHash(rq.call.ID))
	var suspects []quarantine.Suspect
	for _, p := range rq.quarantineParts() {
		servedAt, _ := state.quarantine.tracker.LastServed(p, time.Now())
		suspects = append(suspects, quarantine.Suspect{Part: p, Request: request, Weak: true, ServedAt: servedAt})
	}
	go func() {
		state.quarantine.awaitCrash(uint64(a.target.incarnation), recallCheckDelay)
		state.crashCheckOf(a.target, cutRequest{a.sent, suspects})
	}()
}

// crashSuspects returns what may have crashed the target of a cut attempt: the request as a whole and the parts of its prompt. The last part is
// a suspect only if all others are known to be sound, since no other request has it. An engine that had not begun to answer had not begun to run the
// request either; a plain target begins to answer when it has run it.
func (rq *request) crashSuspects(a *attempt) []quarantine.Suspect {
	now, begun := time.Now(), a.progress.firstEvent
	if rq.service.Engine == nil {
		begun = a.progress.headAt
	} else if a.progress.headAt.IsZero() {
		return nil
	}
	request, weak := uint32(requestHash(rq.call.ID)), !begun.IsZero() && now.Sub(begun) > answerBeginTime
	if rq.service.Engine == nil && now.Sub(a.sent) < minRunTime {
		weak = true
	}
	tracker := rq.gateway.opts.State.quarantine.tracker
	suspectOf := func(p quarantine.Part) (suspect quarantine.Suspect, sound bool) {
		servedAt, served := tracker.LastServed(p, now)
		if !served {
			servedAt = time.Time{}
		}
		return quarantine.Suspect{Part: p, Request: request, Weak: weak, ServedAt: servedAt}, served
	}
	var suspects []quarantine.Suspect
	if rq.identity != nil {
		s, _ := suspectOf(rq.identity.get())
		suspects = append(suspects, s)
	}
	parts, othersSound := rq.promptParts(), true
	for i, p := range parts {
		s, sound := suspectOf(p)
		if i < len(parts)-1 || othersSound {
			suspects = append(suspects, s)
		}
		othersSound = othersSound && sound
	}
	return suspects
}

// crashCheckOf returns the check of a target, and starts one if there is none. The suspects of the request are reported if the target has
// crashed.
func (s *State) crashCheckOf(t *target, cut cutRequest) *crashCheck {
	now := time.Now()
	t.crashMu.Lock()
	check := t.crash
	if check == nil || check.isStale(now) {
		check = &crashCheck{startedAt: now, done: make(chan struct{})}
		t.crash = check
		go s.runCrashCheck(t, check)
	}
	t.crashMu.Unlock()
	check.mu.Lock()
	late := check.finished && check.crashed
	if !late {
		check.cut = append(check.cut, cut)
	}
	check.mu.Unlock()
	if late {
		if suspects := s.quarantine.suspectsOf(t, check.startedAt, cut); len(suspects) > 0 {
			s.quarantine.reportCrash(t, suspects, check.startedAt)
		}
	}
	return check
}

// isStale reports whether the check found the target alive long enough ago that a new one is due.
func (c *crashCheck) isStale(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.finished && !c.crashed && now.Sub(c.startedAt) >= crashCheckInterval
}

// runCrashCheck tests whether the target accepts connections, and reports a crash.
func (s *State) runCrashCheck(t *target, c *crashCheck) {
	defer close(c.done)
	crashed := !s.expectsEnd(t) && s.refusesConnections(t)
	if crashed {
		_ = sleep.For(context.Background(), crashCollectTime)
	}
	c.mu.Lock()
	c.finished, c.crashed = true, crashed
	cut := c.cut
	c.mu.Unlock()
	if !crashed {
		return
	}
	t.stats.MarkEnded()
	s.quarantine.crashes.Inc(1)
	suspects := s.quarantine.suspectsOf(t, c.startedAt, cut...)
	klog.InfoS("target crashed", "target", t.id, "address", t.address, "cut", len(cut), "suspects", partNames(suspects))
	s.quarantine.reportCrash(t, suspects, c.startedAt)
	_ = sleep.For(context.Background(), crashSettleTime)
}

// expectsEnd reports whether the target has announced its end or was withdrawn.
func (s *State) expectsEnd(t *target) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return t.stats.Leaving() || t.record.Leaving || s.targets[t.id] != t
}

// refusesConnections reports whether nothing listens at the target's address any more.
func (s *State) refusesConnections(t *target) bool {
	for try := range 2 {
		if try > 0 && sleep.For(context.Background(), crashRedialDelay) != nil {
			return false
		}
		ctx, cancel := context.WithTimeout(context.Background(), crashDialTimeout)
		err := t.pool.Probe(ctx)
		cancel()
		switch {
		case errors.Is(err, syscall.ECONNREFUSED):
			return true
		case err != nil:
			return false // cut off or overloaded
		}
	}
	return false
}

// partNames returns the IDs of suspects for the log, without duplicates.
func partNames(suspects []quarantine.Suspect) []string {
	seen := map[quarantine.Part]bool{}
	var out []string
	for _, s := range suspects {
		if !seen[s.Part] {
			seen[s.Part] = true
			out = append(out, s.ID)
		}
	}
	return out
}

// recordEvent records an event of an answer. A probe whose answer has been going on for survivalTime has succeeded.
func (rq *request) recordEvent(a *attempt) {
	now := time.Now()
	a.progress.events++
	if a.progress.firstEvent.IsZero() {
		a.progress.firstEvent = now
		rq.rollout.attempt.gotFirst()
	}
	if rq.probe != nil && now.Sub(a.progress.firstEvent) >= survivalTime {
		rq.recordServed()
		rq.endProbe()
	}
}
