// Package targetlimit enforces the rate limits that targets report in their answers, summed over all instances: it tracks the
// current limit of each target, selects the instance that grants requests to it, and rate-limits the grants with a token bucket.
// It has no I/O, clock or globals.
package targetlimit

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/egrethoist/egrethoist/internal/departure"
)

const (
	// minRate is the rate at which a target still gets requests if its limit is lower, or zero: the end of a limit shows only in
	// an answer.
	minRate = 0.25 // requests per second
	// unlimitedRate is the rate from which on a limit is ignored. It exceeds all requests of the largest planned fleet.
	unlimitedRate = 1e5 // requests per second
	// After a limit ends, the rate is still bounded for recoveryTime: it starts at recoveryInitialRate and doubles each second.
	// Otherwise all instances would send their waiting requests at once.
	recoveryTime        = 5 * time.Second
	recoveryInitialRate = 1.0 // requests per second
	// observationTTL is how long the limit of a target without answers is remembered. It is longer than any outage in which no
	// instance has a request for the target.
	observationTTL = time.Hour
	// announceWindow is how long after its own last answer from the target an instance announces a limit. It is longer than the
	// time between two requests at minRate.
	announceWindow = 15 * time.Second
	// maxAnnounced bounds the limits in one message; the remaining ones go into the next messages.
	maxAnnounced = 32
	// maxMerged bounds the limits in a message that merges those of several instances.
	maxMerged = 48
)

// Observation is the last known limit of a target. The zero value stands for a target that has never reported a limit.
type Observation struct {
	AnsweredAt time.Time // when any instance last received an answer from the target
	Active     bool      // the limit applies; otherwise it ended at EndedAt
	PerSecond  float64   // limit on the requests per second of all instances together
	EndedAt    time.Time
}

// Rate returns the number of requests per second that all instances together may send to the target, false if it is unlimited.
func (o Observation) Rate(now time.Time) (float64, bool) {
	switch {
	case o.AnsweredAt.IsZero() || o.PerSecond >= unlimitedRate:
		return 0, false
	case o.Active:
		return max(o.PerSecond, minRate), true
	}
	elapsed := now.Sub(o.EndedAt)
	if elapsed >= recoveryTime {
		return 0, false
	}
	return max(o.PerSecond, recoveryInitialRate) * math.Exp2(max(elapsed, 0).Seconds()), true
}

// sameLimit reports whether two observations describe the same limit, whenever they were made.
func (o Observation) sameLimit(p Observation) bool {
	return o.Active == p.Active && o.PerSecond == p.PerSecond && o.EndedAt.Equal(p.EndedAt)
}

// Announcement is an observation sent to other instances. Its times are relative to the time of the announcement, so that the
// instances' clocks need not agree.
type Announcement struct {
	Incarnation departure.Incarnation
	Active      bool
	PerSecond   float64
	Age         time.Duration // since the last answer
	EndedAgo    time.Duration // since the limit ended; zero if it is active
}

// ToAnnouncement returns the observation with times relative to now.
func (o Observation) ToAnnouncement(i departure.Incarnation, now time.Time) Announcement {
	a := Announcement{Incarnation: i, Active: o.Active, PerSecond: o.PerSecond, Age: max(now.Sub(o.AnsweredAt), 0)}
	if !o.Active {
		a.EndedAgo = max(now.Sub(o.EndedAt), 0)
	}
	return a
}

// AgedBy returns the announcement with its ages increased by the elapsed time.
func (a Announcement) AgedBy(elapsed time.Duration) Announcement {
	a.Age += elapsed
	if !a.Active {
		a.EndedAgo += elapsed
	}
	return a
}

// ToObservation returns the observation of an announcement received now.
func (a Announcement) ToObservation(now time.Time) Observation {
	o := Observation{AnsweredAt: now.Add(-a.Age), Active: a.Active, PerSecond: a.PerSecond}
	if !a.Active {
		o.EndedAt = now.Add(-a.EndedAgo)
	}
	return o
}

// Tracker holds the last observation of each target incarnation that has reported a limit, also while the target's metadata record
// is missing. It is safe for concurrent use.
type Tracker struct {
	mu      sync.Mutex
	entries map[departure.Incarnation]*entry
}

type entry struct {
	Observation
	ownAnswerAt time.Time // last answer to this instance; zero if only other instances had one
	announcedAt time.Time // last time that Announcements returned it
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker { return &Tracker{entries: map[departure.Incarnation]*entry{}} }

// Observe records an answer from a target to this instance, with or without a limit. It returns the updated observation and whether
// its limit may differ from the one that the caller knows. Callers that know of no limit may skip answers without one.
func (t *Tracker) Observe(i departure.Incarnation, limited bool, perSecond float64, now time.Time) (Observation, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[i]
	if e == nil {
		if !limited {
			return Observation{}, true // the entry expired, but the caller may still hold its limit
		}
		e = &entry{}
		t.entries[i] = e
	}
	before := e.Observation
	next := Observation{AnsweredAt: now, Active: limited, PerSecond: perSecond}
	if !limited {
		next.PerSecond, next.EndedAt = before.PerSecond, before.EndedAt
		if before.Active {
			next.EndedAt = now
		}
	}
	e.Observation, e.ownAnswerAt = next, now
	return next, !next.sameLimit(before)
}

// ApplyAnnouncement merges an announcement of another instance, unless a later answer is known. It returns the resulting observation
// and whether its limit has changed.
func (t *Tracker) ApplyAnnouncement(a Announcement, now time.Time) (Observation, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := a.ToObservation(now)
	e := t.entries[a.Incarnation]
	switch {
	case e == nil:
		if _, limited := next.Rate(now); !limited {
			return Observation{}, false
		}
		e = &entry{}
		t.entries[a.Incarnation] = e
	case !next.AnsweredAt.After(e.AnsweredAt):
		return e.Observation, false
	case !next.Active && !e.Active:
		next.EndedAt = e.EndedAt // ages are rounded to milliseconds in messages: without this the same end would look like a new one
	}
	changed := !next.sameLimit(e.Observation)
	e.Observation = next
	return next, changed
}

// Latest returns the last observation of an incarnation; the zero value if there is none.
func (t *Tracker) Latest(i departure.Incarnation) Observation {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[i]; e != nil {
		return e.Observation
	}
	return Observation{}
}

// Announcements returns this instance's own recent observations to be sent to the other instances, and drops expired entries.
// Observations learned from others are not passed on, so that none circulates forever.
func (t *Tracker) Announcements(now time.Time) []Announcement {
	t.mu.Lock()
	defer t.mu.Unlock()
	var due []departure.Incarnation
	for i, e := range t.entries {
		_, limited := e.Rate(now)
		if !limited && now.Sub(e.AnsweredAt) >= announceWindow || now.Sub(e.AnsweredAt) >= observationTTL {
			delete(t.entries, i)
			continue
		}
		if !e.ownAnswerAt.IsZero() && now.Sub(e.ownAnswerAt) < announceWindow {
			due = append(due, i)
		}
	}
	if len(due) > maxAnnounced {
		slices.SortFunc(due, func(i, j departure.Incarnation) int {
			return t.entries[i].announcedAt.Compare(t.entries[j].announcedAt)
		})
		due = due[:maxAnnounced]
	}
	out := make([]Announcement, len(due))
	for n, i := range due {
		t.entries[i].announcedAt = now
		out[n] = t.entries[i].ToAnnouncement(i, now)
	}
	return out
}

// Merge returns the latest announcement of each incarnation. If there are more than maxMerged, it returns the most recent ones.
func Merge(lists ...[]Announcement) []Announcement {
	index := map[departure.Incarnation]int{}
	var out []Announcement
	for _, list := range lists {
		for _, a := range list {
			i, ok := index[a.Incarnation]
			switch {
			case !ok:
				index[a.Incarnation] = len(out)
				out = append(out, a)
			case a.Age < out[i].Age:
				out[i] = a
			}
		}
	}
	if len(out) > maxMerged {
		slices.SortFunc(out, func(a, b Announcement) int { return cmp.Compare(a.Age, b.Age) })
		out = out[:maxMerged]
	}
	return out
}
