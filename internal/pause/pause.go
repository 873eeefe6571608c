// Package pause keeps track of the pauses that targets request from this instance, and computes the retry delays of
// callers that cannot be served meanwhile. It has no I/O, clock or globals.
package pause

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/egrethoist/egrethoist/internal/departure"
)

const (
	// MaxPause is the longest pause that is applied. It is longer than any overload that an operator would not notice; a
	// longer request is more likely a fault of the target.
	MaxPause = 10 * time.Minute
	// minRetryDelay is the shortest retry delay of a refused caller: a few round trips.
	minRetryDelay = 50 * time.Millisecond
	// maxWaitFraction is the fraction of its remaining time that a caller waits at most for a retry, by the protocol.
	maxWaitFraction = 1.0 / 3
	// jitterFraction is the length of the interval after the pause over which retries are spread, as a fraction of the
	// pause. It prevents a burst of retries when the pause ends.
	jitterFraction = 0.5
	// earlyFraction is the last part of the longest wait over which retries are spread if the pause is longer than that
	// wait, as a fraction of it.
	earlyFraction = 0.25
	// RepeatThreshold is the number of pauses in a row, without an answered request in between, from which a target is
	// reported as pausing repeatedly.
	RepeatThreshold = 3
)

// Tracker holds the end of the pause of each target incarnation, even while the target's record is missing. It is safe
// for concurrent use.
type Tracker struct {
	mu          sync.Mutex
	pausedUntil map[departure.Incarnation]time.Time
}

// NewTracker returns a Tracker without pauses.
func NewTracker() *Tracker { return &Tracker{pausedUntil: map[departure.Incarnation]time.Time{}} }

// Record applies a requested pause, bounded by MaxPause, and returns its end. A shorter pause does not end a longer one,
// since responses on different connections overtake each other.
func (t *Tracker) Record(i departure.Incarnation, requested time.Duration, now time.Time) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	for other, until := range t.pausedUntil {
		if !now.Before(until) {
			delete(t.pausedUntil, other)
		}
	}
	until := now.Add(min(requested, MaxPause))
	if current := t.pausedUntil[i]; current.After(until) {
		return current
	}
	t.pausedUntil[i] = until
	return until
}

// Until returns the end of the pause of an incarnation, zero if it has none.
func (t *Tracker) Until(i departure.Incarnation) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.pausedUntil[i]
}

// RetryDelay returns a randomized retry delay for a caller that found all targets paused. available is the time until the
// first of them accepts requests again, remaining the time until the deadline of the caller. Retries are spread over an
// interval after the end of the pause. If that exceeds the longest wait of the caller, it retries earlier: the targets may
// not have requested a pause from another instance.
func RetryDelay(available, remaining time.Duration, rng *rand.Rand) time.Duration {
	return RetryDelayWithBacklog(available, 0, remaining, rng)
}

// RetryDelayWithBacklog is RetryDelay for a backlog of refused callers: their retries are spread over at least the given
// time.
func RetryDelayWithBacklog(available, backlog, remaining time.Duration, rng *rand.Rand) time.Duration {
	available = max(available, minRetryDelay)
	maxWait := max(time.Duration(maxWaitFraction*float64(remaining)), minRetryDelay)
	earliest, latest := available, available+max(time.Duration(jitterFraction*float64(available)), backlog)
	if latest > maxWait {
		latest = maxWait
		earliest = min(earliest, time.Duration((1-earlyFraction)*float64(maxWait)))
	}
	return earliest + time.Duration(rng.Int64N(int64(latest-earliest)+1))
}
