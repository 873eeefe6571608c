// Package instancelist decides which instances count as running, so that limits of the whole fleet are divided among them. The records of
// live instances are bound to leases: after an outage or a restore of the metadata store, and while many instances start, records of running
// instances can be missing for some seconds. The package does no I/O and reads no clock.
package instancelist

import (
	"maps"
	"time"
)

// Tracker follows the records of instances, which have type R. It is not safe for concurrent use.
type Tracker[R any] struct {
	self    string
	own     R             // counts while this instance has no record, live or not
	settle  time.Duration // after a start, an outage or a restore: time within which all running instances write their records again
	counted map[string]R

	settledAt   time.Time // until then, missing records are no evidence
	recoveredAt time.Time // end of the last outage
}

// New returns a tracker that knows no instance but this one, which has the given name and record.
func New[R any](self string, own R, settle time.Duration) *Tracker[R] {
	return &Tracker[R]{self: self, own: own, settle: settle}
}

// Update returns the instances that count, by name. live are the records bound to leases; known are those of all instances that ran
// lately, live or not. recoveredAt is when the metadata store was last reached after an outage or a restore, zero if never. The result must not
// be changed.
func (t *Tracker[R]) Update(live, known map[string]R, recoveredAt, now time.Time) map[string]R {
	if t.counted == nil {
		t.settledAt = now.Add(t.settle)
	}
	if recoveredAt.After(t.recoveredAt) {
		t.recoveredAt = recoveredAt
		if until := recoveredAt.Add(t.settle); until.After(t.settledAt) {
			t.settledAt = until
		}
	}
	next := map[string]R{t.self: t.own}
	if own, found := known[t.self]; found {
		next[t.self] = own
	}
	if !t.Settled(now) {
		maps.Copy(next, known)
		maps.Copy(next, t.counted)
	}
	maps.Copy(next, live)
	t.counted = next
	return next
}

// Settled reports whether an instance without a live record counts as gone.
func (t *Tracker[R]) Settled(now time.Time) bool { return !now.Before(t.settledAt) }
