package once

import "time"

// coverage is the period for which a ledger holds every key that its target dispatched.
type coverage struct {
	since  time.Time // every key dispatched at this time or later is held
	always bool      // complete since the target's first incarnation
}

// startingAt returns the coverage that remains when keys dispatched before t may have been dropped from the ledger.
func (c coverage) startingAt(t time.Time) coverage {
	if !c.since.Before(t) {
		return c // no key was dispatched before t, or such keys are not covered anyway
	}
	return coverage{since: t}
}

// keyUse bounds the time of the first use of a key.
type keyUse struct {
	created time.Time // creation time carried by the key; zero if it has none
	readAt  time.Time // when an entry gateway read the current request
}

func newKeyUse(k Key, readAt time.Time) keyUse {
	created, _ := CreationTime(k.ID)
	return keyUse{created: created, readAt: readAt}
}

// usedOnlyAfter reports whether every use of the key is proved to be later than t. A key with a creation time must have
// been created after t. For a key without one, t must be so long ago that a use before t and the current one would be
// further apart than the retry window allows; if it is not yet, wait is the time until it will be. wait is zero if the
// proof can never be had.
func (l *Ledger) usedOnlyAfter(u keyUse, t, now time.Time) (wait time.Duration, ok bool) {
	if !u.created.IsZero() {
		return 0, u.created.Add(-l.opts.Skew).After(t)
	}
	clear := t.Add(l.opts.RetryWindow + l.opts.Skew)
	if u.readAt.After(clear) {
		return 0, true
	}
	return max(clear.Sub(now), 0) + time.Millisecond, false
}

// coversUse reports whether this ledger would hold the key if its target had ever dispatched it. If that is not proved,
// wait is the time until it is, or zero if it never will be.
func (l *Ledger) coversUse(u keyUse, now time.Time) (wait time.Duration, ok bool) {
	if l.coverage.always {
		return 0, true
	}
	return l.usedOnlyAfter(u, l.coverage.since, now)
}

// provesNotRun reports whether a key is proved never to have run, if the ledger does not hold it (e is nil) or holds it
// as fenced and this target is its home again. The caller has checked the earlier homes before. Without a proof, wait
// is the time until there is one, or zero if there will be none.
func (l *Ledger) provesNotRun(k Key, e *entry, u keyUse, now time.Time) (wait time.Duration, ok bool) {
	if wait, ok := l.historyCoversUse(u, now); !ok {
		return wait, false
	}
	if e != nil && e.fence.notRun {
		return 0, true
	}
	wait, ok = l.coversUse(u, now)
	if ok {
		return 0, true
	}
	// Earlier incarnations of this target cannot have run the key if the target became its home, for the first time,
	// only after the start of this one.
	notBefore, first := l.homes.HomeSince(k, l.opts.Target)
	if e == nil && first && notBefore.Add(-l.opts.Skew).After(l.coverage.since) {
		return 0, true
	}
	return wait, false
}

// historyCoversUse reports whether the known generations include every target that can have been home of the key since
// its first use. A generation that began at the zero time was the first of the service.
func (l *Ledger) historyCoversUse(u keyUse, now time.Time) (time.Duration, bool) {
	generations := l.homes.Generations()
	oldest := generations[len(generations)-1].Began
	if oldest.IsZero() {
		return 0, true
	}
	// Until the oldest known generation had reached every target, another target may have been home under an unknown one.
	return l.usedOnlyAfter(u, oldest.Add(l.opts.MaxPropagation), now)
}
