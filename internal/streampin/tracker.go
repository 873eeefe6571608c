package streampin

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Tracker follows the software versions of the services' targets and decides when the policy of a service changes. It is not safe for
// concurrent use.
type Tracker struct {
	services map[string]*history
	era      uint64 // of the metadata store
	observed bool   // era is known
	restored bool   // the store was restored while the tracker ran
}

// history is what an instance has seen of one service.
type history struct {
	policy      Policy
	present     []string             // sorted
	held        []string             // versions that were announced less than HoldTTL ago
	announcedAt map[string]time.Time // when the announcement of a version was first seen
	lastSeen    map[string]time.Time // when a target of a version, or its announcement, was last seen
	soleSince   time.Time            // since when all targets have the same version; zero if they don't, or there is none
	lifetime    time.Duration
	former      string    // baseline of an older era of the store that other instances may still rely on; empty: none
	formerUntil time.Time // until then
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker { return &Tracker{services: map[string]*history{}} }

func (t *Tracker) history(service string) *history {
	if t.services[service] == nil {
		t.services[service] = &history{announcedAt: map[string]time.Time{}, lastSeen: map[string]time.Time{}}
	}
	return t.services[service]
}

// SetEra records the era of the metadata store. A policy of an older era does not hold: streams that it knows nothing of may have lost their
// records.
func (t *Tracker) SetEra(era uint64, now time.Time) {
	if t.observed && era > t.era {
		t.restored = true
		t.Interrupt(now) // records of targets are lost as well, until they are written again
	}
	t.era, t.observed = max(era, t.era), true
}

// SetPolicy applies the policy in the metadata store, the zero Policy if there is none, and the versions whose announcement is held there.
func (t *Tracker) SetPolicy(service string, p Policy, held []string, now time.Time) {
	h := t.history(service)
	if p.Era < t.era {
		if h.formerUntil.IsZero() || h.policy.Baseline != "" {
			h.former, h.formerUntil = cmp.Or(h.policy.Baseline, p.Baseline), now.Add(openDelay)
		}
		p = Policy{}
	}
	h.policy, h.held = p, held
	maps.DeleteFunc(h.announcedAt, func(v string, _ time.Time) bool { return !slices.Contains(p.Announced, v) })
	for _, v := range p.Announced {
		if _, known := h.announcedAt[v]; !known {
			h.announcedAt[v], h.lastSeen[v] = now, now
		}
	}
}

// Interrupt records that the metadata may have changed unnoticed: nothing is known of how long a version has been the only one.
func (t *Tracker) Interrupt(now time.Time) {
	for _, h := range t.services {
		if !h.soleSince.IsZero() {
			h.soleSince = now
		}
		for v := range h.lastSeen {
			h.lastSeen[v] = now
		}
	}
}

// Observe records the versions of all known targets of a service, and the lifetime of its streams.
func (t *Tracker) Observe(service string, versions []string, lifetime time.Duration, now time.Time) {
	h := t.history(service)
	h.lifetime = lifetime
	present := slices.Compact(slices.Sorted(slices.Values(versions)))
	switch {
	case len(present) != 1:
		h.soleSince = time.Time{}
	case h.soleSince.IsZero() || !slices.Equal(present, h.present):
		h.soleSince = now
	}
	h.present = present
	for _, v := range present {
		h.lastSeen[v] = now
	}
	maps.DeleteFunc(h.lastSeen, func(v string, at time.Time) bool {
		return !slices.Contains(h.policy.Announced, v) && now.Sub(at) > lifetime
	})
}

// Service returns the present state of a service.
func (t *Tracker) Service(service string, now time.Time) Service {
	h := t.history(service)
	s := Service{Name: service, Policy: h.policy, Present: h.present}
	s.Era = t.era
	if now.Before(h.formerUntil) {
		s.BeginOnly = h.former
	}
	for _, v := range h.policy.Announced {
		if !slices.Contains(h.held, v) || now.Sub(h.announcedAt[v]) >= openDelay {
			s.Open = append(s.Open, v)
		}
	}
	return s
}

// NextPolicy returns the policy that is to replace the present one, false if that stays. firstStart is whether the whole system has just
// started for the first time, so that no stream has begun yet.
//
// A version becomes the baseline when all targets have had it for the lifetime of a stream: then no stream without a record is left of the
// baseline before. Until then other versions are announced when they are seen, and removed when no target has had them for the lifetime of
// a stream.
func (t *Tracker) NextPolicy(service string, firstStart bool, now time.Time) (Policy, bool) {
	h := t.history(service)
	firstStart = firstStart && !t.restored && h.former == ""
	if !h.soleSince.IsZero() {
		settled := Policy{Baseline: h.present[0], Era: t.era}
		isSettled := h.policy.isSettled() && h.policy.Baseline == settled.Baseline
		if !isSettled && (h.policy.Baseline == "" && firstStart || now.Sub(h.soleSince) >= h.lifetime) {
			return settled, true
		}
	}
	if h.policy.Baseline == "" {
		return Policy{}, false
	}
	expired := func(v string) bool {
		return !slices.Contains(h.present, v) && now.Sub(h.lastSeen[v]) >= h.lifetime
	}
	next := Policy{Baseline: h.policy.Baseline, Era: t.era, Announced: slices.DeleteFunc(slices.Clone(h.policy.Announced), expired)}
	for _, v := range h.present {
		if v != next.Baseline && !slices.Contains(next.Announced, v) {
			next.Announced = append(next.Announced, v)
		}
	}
	return next, !next.equal(h.policy)
}

// Added returns the versions that a policy announces and the one before did not.
func (p Policy) Added(before Policy) []string {
	return slices.DeleteFunc(slices.Clone(p.Announced), func(v string) bool { return slices.Contains(before.Announced, v) })
}
