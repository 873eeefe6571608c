// Package remoteclock estimates the clock of other processes from answers that state it. An answer may have been handled long after it was
// sent, so each one only bounds the clock: it was at the stated time when the call had begun and its answer was not handled yet. The package
// does no I/O; local times are durations since a fixed point, by a clock that is never set.
package remoteclock

import "time"

const (
	// resolution is that of the stated times, which are rounded down.
	resolution = time.Millisecond
	// maxSkew is the difference between two estimates from which the remote clock counts as set.
	maxSkew = 100 * time.Millisecond
)

// Estimate bounds by how much a remote clock is ahead of the local one. The zero Estimate knows nothing. It is immutable.
type Estimate struct {
	known    bool
	min, max time.Duration
}

// Update returns the estimate after an answer that stated a time of the remote clock, in Unix milliseconds. The call began, and its answer was
// handled, at the given local times. set is by how much the remote clock was set since the answers before, zero if it was not.
func (e Estimate) Update(statedMillis int64, begun, handled time.Duration) (next Estimate, set time.Duration) {
	stated := time.Duration(statedMillis) * time.Millisecond
	next = Estimate{known: true, min: stated - handled, max: stated + resolution - begun}
	switch {
	case !e.known:
		return next, 0
	case next.min > e.max:
		set = next.min - e.max
	case next.max < e.min:
		set = next.max - e.min
	default:
		return Estimate{known: true, min: max(e.min, next.min), max: min(e.max, next.max)}, 0
	}
	if set.Abs() < maxSkew {
		set = 0
	}
	return next, set
}

// Earliest returns the earliest time that the remote clock can show at a local time, in Unix milliseconds.
func (e Estimate) Earliest(local time.Duration) int64 { return (local + e.min).Milliseconds() }

// Latest returns the latest time that the remote clock can show at a local time, in Unix milliseconds.
func (e Estimate) Latest(local time.Duration) int64 {
	return (local + e.max + resolution - 1).Milliseconds()
}
