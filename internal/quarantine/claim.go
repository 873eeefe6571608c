package quarantine

import (
	"maps"
	"slices"
	"time"
)

// claim is the right to probe a part.
type claim struct {
	holder uint64
	since  time.Time
	until  time.Time
}

// live reports whether the claim has not run out.
func (c claim) live(now time.Time) bool { return now.Before(c.until) }

// claimed reports whether a probe of any of the parts is claimed by another holder.
func (t *Tracker) claimed(parts []Part, holder uint64, now time.Time) bool {
	for _, p := range parts {
		if slices.ContainsFunc(t.claims[p], func(c claim) bool { return c.holder != holder && c.live(now) }) {
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
		t.claims[p] = []claim{{holder: holder, since: now, until: now.Add(claimTTL)}}
	}
	t.notify()
	return true
}

// LearnClaim records the claim of another instance. If two claim the same probe at the same time, the lower holder wins. The claim that loses is kept
// until it is released: the release of the other one may arrive after it.
func (t *Tracker) LearnClaim(parts []Part, holder uint64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ended := t.released[holder]; ended {
		return
	}
	for _, p := range parts {
		claims := slices.DeleteFunc(t.claims[p], func(c claim) bool { return !c.live(now) })
		learned := claim{holder: holder, since: now, until: now.Add(claimTTL)}
		switch {
		case slices.ContainsFunc(claims, func(c claim) bool { return c.holder == holder }):
		case len(claims) == 0 && len(t.claims) >= maxClaims, len(claims) >= maxClaimsPerPart:
		case len(claims) > 0 && (claims[0].holder < holder || now.Sub(claims[0].since) > claimContest):
			claims = append(claims, learned)
		default:
			claims = slices.Insert(claims, 0, learned)
		}
		t.setClaims(p, claims)
	}
	t.notify()
}

// setClaims sets the claims on a part.
func (t *Tracker) setClaims(p Part, claims []claim) {
	if len(claims) == 0 {
		delete(t.claims, p)
		return
	}
	t.claims[p] = claims
}

// Holds reports whether the holder has the claim of all parts.
func (t *Tracker) Holds(parts []Part, holder uint64, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range parts {
		if c := t.claims[p]; len(c) == 0 || c[0].holder != holder || !c[0].live(now) {
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
		t.setClaims(p, slices.DeleteFunc(t.claims[p], func(c claim) bool { return c.holder == holder }))
	}
	t.notify()
}
