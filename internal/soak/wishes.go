package soak

import (
	"time"

	"github.com/egrethoist/egrethoist/platform/standin"
)

// targetSignals records the flow control signals that targets sent to instances in their answers. The checker's mutex guards it.
type targetSignals struct {
	leaving map[instanceTarget]time.Time // when the instance first relayed an answer that announced it, since its last restart or freeze
	pauses  map[instanceTarget][]pausePeriod
	limits  standin.RateLimitChecker
}

// instanceTarget is an instance and a target, used as a map key.
type instanceTarget struct{ instance, target string }

// pausePeriod is a pause that a target requested from an instance. arrivals counts the requests that arrived in it after pauseGrace.
type pausePeriod struct {
	start, end time.Time
	arrivals   int
}

// newTargetSignals returns an empty record. Limits are not checked across disturbances of an instance's process.
func newTargetSignals(d *disturbances, b standin.Bounds) *targetSignals {
	s := &targetSignals{leaving: map[instanceTarget]time.Time{}, pauses: map[instanceTarget][]pausePeriod{}}
	s.limits.GracePeriod = b.RecoveryTime
	s.limits.Exempt = func(instance string, from, to time.Time) bool {
		return !d.undisturbed(from, to, processPart(instance), stopPart(instance))
	}
	return s
}

// recordLimit records that a target announces a limit in requests per second from now on.
func (c *checker) recordLimit(target string, perSecond float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.signals.limits.LimitSet(target, perSecond, time.Now())
}

// recordLimitCleared records that a target no longer announces a limit.
func (c *checker) recordLimitCleared(target string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.signals.limits.LimitCleared(target)
}

const (
	// pauseGrace is the time after the start of a pause during which requests that were already in flight may arrive.
	pauseGrace = 500 * time.Millisecond
	// maxPauseArrivals is the number of requests that are tolerated within a pause after pauseGrace.
	maxPauseArrivals = 2
)

// processPart returns the part name of an instance's process, which is disturbed by kills and freezes but not by faults of its
// links.
func processPart(instance string) string { return instance + " process" }

// recordResponseHead records the signals in the head of an answer that an instance relayed to a caller.
func (c *checker) recordResponseHead(a *attempt, reply standin.Reply) {
	if !reply.Leaving && !reply.Limited {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, answer := range a.answers {
		if answer.Stamp != reply.Stamp {
			continue
		}
		if reply.Limited {
			c.signals.limits.LimitRelayed(a.instance, answer.Target, time.Now())
		}
		if !reply.Leaving {
			continue
		}
		key := instanceTarget{a.instance, answer.Target}
		if _, known := c.signals.leaving[key]; !known || !c.disturbances.undisturbed(c.signals.leaving[key], time.Now(), processPart(a.instance), stopPart(a.instance)) {
			c.signals.leaving[key] = time.Now()
		}
	}
}

// Paused implements standin.Observer.
func (c *checker) Paused(p standin.Pause) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.attempts[p.ID]
	if a == nil || a.abandoned {
		return // the instance may have cancelled the request before it received the refusal
	}
	key := instanceTarget{a.instance, p.Target}
	c.signals.pauses[key] = append(c.signals.pauses[key], pausePeriod{start: p.At, end: p.At.Add(p.Duration)})
}

// checkSignals checks that an instance that sent a request complied with the signals that it had received from the target.
// Signals are not checked after a restart or freeze of the instance, and pauses also not after a disturbance of the target's
// link.
func (c *checker) checkSignals(a *attempt, r standin.Run) {
	key := instanceTarget{a.instance, r.Target}
	undisturbed := func(since time.Time) bool {
		return c.disturbances.undisturbed(since, r.At, processPart(a.instance), stopPart(a.instance))
	}
	if since, ok := c.signals.leaving[key]; ok && a.sent.After(since.Add(c.bounds.Drain)) && undisturbed(since) {
		c.addViolation("DRAIN", "request %s, sent %v after %s relayed that %s leaves, reached the target through that instance", a.call.ID, a.sent.Sub(since), a.instance, r.Target)
	}
	if got, allowed, over := c.signals.limits.RequestArrived(a.instance, r.Target, r.At); over {
		c.addViolation("LIMIT", "%d requests reached %s within 4 s from instances that know its limit, the last one, %s, from %s; allowed %d", got, r.Target,
			a.call.ID, a.instance, allowed)
	}
	pauses := c.signals.pauses[key]
	for i := range pauses {
		p := &pauses[i]
		if r.At.Before(p.start.Add(pauseGrace)) || !r.At.Before(p.end) || !undisturbed(p.start) ||
			!c.disturbances.undisturbed(p.start.Add(-c.bounds.RecoveryTime), r.At, r.Target) {
			continue
		}
		if p.arrivals++; p.arrivals > maxPauseArrivals {
			c.addViolation("BUDGET", "%d requests reached %s from %s within a pause of %v that the target requested, the last one %v after its start", p.arrivals, r.Target,
				a.instance, p.end.Sub(p.start), r.At.Sub(p.start))
			return
		}
	}
}
