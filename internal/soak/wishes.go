package soak

import (
	"time"

	"github.com/egrethoist/egrethoist/platform/standin"
)

// wishes is what targets asked of single instances in their answers.
type wishes struct {
	leaving map[pair]time.Time // when the instance first passed on an answer that said so
	pauses  map[pair][]pauseWish
	limits  standin.RateLimitChecker
}

// pair is an instance and a target.
type pair struct{ instance, target string }

// pauseWish is a pause with the requests that came in it though the instance knew of it.
type pauseWish struct {
	at, until time.Time
	arrivals  int
}

func newWishes(c *calm, b standin.Bounds) *wishes {
	w := &wishes{leaving: map[pair]time.Time{}, pauses: map[pair][]pauseWish{}}
	w.limits.GracePeriod = b.RecoveryTime
	w.limits.Exempt = func(instance string, from, to time.Time) bool {
		return !c.quiet(from, to, processOf(instance), stopOf(instance))
	}
	return w
}

// limited notes that a target names a limit from now on.
func (l *ledger) limited(target string, perSecond float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.wishes.limits.LimitSet(target, perSecond, time.Now())
}

// limitEnded notes that a target names no limit any more.
func (l *ledger) limitEnded(target string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.wishes.limits.LimitCleared(target)
}

const (
	// pauseSlack is how long after a refusal requests that were under way may still arrive.
	pauseSlack = 500 * time.Millisecond
	// pauseArrivals is the number of requests that may arrive within one pause all the same.
	pauseArrivals = 2
)

// processOf is the name of an instance's process among the disturbances: kills and freezes, not what concerns its links.
func processOf(instance string) string { return instance + " process" }

// passedOn notes the head of an answer that a caller got.
func (l *ledger) passedOn(a *attempt, reply standin.Reply) {
	if !reply.Leaving && !reply.Limited {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, answer := range a.answers {
		if answer.Stamp != reply.Stamp {
			continue
		}
		if reply.Limited {
			l.wishes.limits.LimitRelayed(a.instance, answer.Target, time.Now())
		}
		if !reply.Leaving {
			continue
		}
		key := pair{a.instance, answer.Target}
		if _, known := l.wishes.leaving[key]; !known || !l.calm.quiet(l.wishes.leaving[key], time.Now(), processOf(a.instance), stopOf(a.instance)) {
			l.wishes.leaving[key] = time.Now()
		}
	}
}

// Paused implements standin.Observer.
func (l *ledger) Paused(p standin.Pause) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.attempts[p.ID]
	if a == nil || a.left {
		return // the instance may have given up before the refusal came
	}
	key := pair{a.instance, p.Target}
	l.wishes.pauses[key] = append(l.wishes.pauses[key], pauseWish{at: p.At, until: p.At.Add(p.Duration)})
}

// checkWishes judges an arrival by what its target asked of the instance that sent it. Only a restart or a freeze of the
// instance excuses it, and for pauses a disturbance of the link on which the wish came.
func (l *ledger) checkWishes(a *attempt, r standin.Run) {
	key := pair{a.instance, r.Target}
	undisturbed := func(since time.Time) bool {
		return l.calm.quiet(since, r.At, processOf(a.instance), stopOf(a.instance))
	}
	if since, ok := l.wishes.leaving[key]; ok && a.sent.After(since.Add(l.bounds.Drain)) && undisturbed(since) {
		l.broken("DRAIN", "request %s, sent %v after %s passed on that %s leaves, reaches it from there", a.call.ID, a.sent.Sub(since), a.instance, r.Target)
	}
	if got, allowed, over := l.wishes.limits.RequestArrived(a.instance, r.Target, r.At); over {
		l.broken("LIMIT", "%d requests reach %s in 4 s from instances that it told its limit, the last one, %s, from %s; allowed %d", got, r.Target,
			a.call.ID, a.instance, allowed)
	}
	pauses := l.wishes.pauses[key]
	for i := range pauses {
		p := &pauses[i]
		if r.At.Before(p.at.Add(pauseSlack)) || !r.At.Before(p.until) || !undisturbed(p.at) ||
			!l.calm.quiet(p.at.Add(-l.bounds.RecoveryTime), r.At, r.Target) {
			continue
		}
		if p.arrivals++; p.arrivals > pauseArrivals {
			l.broken("BUDGET", "%d requests reach %s from %s within a pause of %v that it asked for, the last one %v after", p.arrivals, r.Target,
				a.instance, p.until.Sub(p.at), r.At.Sub(p.at))
			return
		}
	}
}
