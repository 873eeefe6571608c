package quarantine

import (
	"maps"
	"time"
)

// claim is the right to probe a part.
type claim struct {
	holder uint64
	since  time.Time
	until  time.Time
}

// claimed reports whether a probe of any of the parts is claimed by another holder.
func (t *Tracker) claimed(parts []Part, holder uint64, now time.Time) bool {
	for _, p := range parts {
		if c, ok := t.claims[p]; ok && c.holder != holder && now.Before(c.until) {
			return true
		}
	}
	return false
}

// Claim claims the probe of the parts for a holder, a request of this instance. It returns false if another one has claimed it.
func (t *Tracker) Claim(parts []Part, holder uint64, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.claimed(parts, holder, now) {
		return false
	}
	for _, p := range parts {
		t.claims[p] = claim{holder: holder, since: now, until: now.Add(claimTTL)}
	}
	t.notify()
	return true
}

// LearnClaim records the claim of another instance. If two claim the same probe at the same time, the lower holder wins.
func (t *Tracker) LearnClaim(parts []Part, holder uint64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ended := t.released[holder]; ended {
		return
	}
	for _, p := range parts {
		if c, ok := t.claims[p]; ok && now.Before(c.until) && (c.holder <= holder || now.Sub(c.since) > claimContest) {
			continue
		}
		if len(t.claims) < maxClaims {
			t.claims[p] = claim{holder: holder, since: now, until: now.Add(claimTTL)}
		}
	}
	t.notify()
}

// Holds reports whether the holder has the claim of all parts.
func (t *Tracker) Holds(parts []Part, holder uint64, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range parts {
		if c := t.claims[p]; c.holder != holder || !now.Before(c.until) {
			return false
		}
	}
	return true
}

// Release ends the claims of a holder on the parts.
func (t *Tracker) Release(parts []Part, holder uint64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.released, func(_ uint64, at time.Time) bool { return now.Sub(at) > claimTTL })
	if len(t.released) < maxClaims {
		t.released[holder] = now
	}
	for _, p := range parts {
		if t.claims[p].holder == holder {
			delete(t.claims, p)
		}
	}
	t.notify()
}
