// Package pause decides on the pauses that targets ask this instance for: how long they hold, and when the callers come
// back who cannot be served meanwhile. It has no I/O, clock or globals.
package pause

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/egrethoist/egrethoist/internal/departure"
)

const (
	// Longest is the longest pause that is kept: longer than any overload of a target that an operator would not see.
	// A longer wish is more likely a fault of the target.
	MaxPause = 10 * time.Minute
	// leastReturn is the shortest time after which a refused caller comes back: a few round trips.
	minRetryDelay = 50 * time.Millisecond
	// honouredShare is the part of its remaining time that a caller waits at most before it comes back, by the protocol.
	maxWaitFraction = 1.0 / 3
	// spreadShare is over which part of the pause the returns behind it are spread, so that it does not end in a burst.
	jitterFraction = 0.5
	// earlyShare is the last part of the honoured time over which the returns are spread if the pause outlasts it.
	earlyFraction = 0.25
	// Repeated is the number of pauses in a row, without an answered request between them, from which on a target is
	// reported as one that keeps asking.
	RepeatThreshold = 3
)

// Book holds until when incarnations of targets want nothing, also while their records are missing. It is safe for
// concurrent use.
type Tracker struct {
	mu          sync.Mutex
	pausedUntil map[departure.Incarnation]time.Time
}

// NewBook returns an empty book.
func NewTracker() *Tracker { return &Tracker{pausedUntil: map[departure.Incarnation]time.Time{}} }

// Ask takes in that a target asked for a pause and returns until when it holds: a shorter wish does not end a longer one,
// since answers on different connections overtake each other.
func (b *Tracker) Record(i departure.Incarnation, requested time.Duration, now time.Time) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	for other, until := range b.pausedUntil {
		if !now.Before(until) {
			delete(b.pausedUntil, other)
		}
	}
	until := now.Add(min(requested, MaxPause))
	if current := b.pausedUntil[i]; current.After(until) {
		return current
	}
	b.pausedUntil[i] = until
	return until
}

// Until returns when the pause of an incarnation ends, zero if there is none.
func (b *Tracker) Until(i departure.Incarnation) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.pausedUntil[i]
}

// Return decides after how long a caller should come back who found that all targets pause. first is when the first of
// them takes requests again, left how long the caller waits in all. Returns are spread behind the end of the pause. A caller
// that would have to wait longer than it honours comes back earlier: another instance may be asked for no pause.
func RetryDelay(available, remaining time.Duration, rng *rand.Rand) time.Duration {
	return RetryDelayWithBacklog(available, 0, remaining, rng)
}

// ReturnOver is Return where so many callers were refused that their return takes a time.
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
