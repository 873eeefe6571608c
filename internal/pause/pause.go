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
	Longest = 10 * time.Minute
	// leastReturn is the shortest time after which a refused caller comes back: a few round trips.
	leastReturn = 50 * time.Millisecond
	// honouredShare is the part of its remaining time that a caller waits at most before it comes back, by the protocol.
	honouredShare = 1.0 / 3
	// spreadShare is over which part of the pause the returns behind it are spread, so that it does not end in a burst.
	spreadShare = 0.5
	// earlyShare is the last part of the honoured time over which the returns are spread if the pause outlasts it.
	earlyShare = 0.25
	// Repeated is the number of pauses in a row, without an answered request between them, from which on a target is
	// reported as one that keeps asking.
	Repeated = 3
)

// Book holds until when incarnations of targets want nothing, also while their records are missing. It is safe for
// concurrent use.
type Book struct {
	mu    sync.Mutex
	until map[departure.Incarnation]time.Time
}

// NewBook returns an empty book.
func NewBook() *Book { return &Book{until: map[departure.Incarnation]time.Time{}} }

// Ask takes in that a target asked for a pause and returns until when it holds: a shorter wish does not end a longer one,
// since answers on different connections overtake each other.
func (b *Book) Ask(i departure.Incarnation, wish time.Duration, now time.Time) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	for other, until := range b.until {
		if !now.Before(until) {
			delete(b.until, other)
		}
	}
	until := now.Add(min(wish, Longest))
	if before := b.until[i]; before.After(until) {
		return before
	}
	b.until[i] = until
	return until
}

// Until returns when the pause of an incarnation ends, zero if there is none.
func (b *Book) Until(i departure.Incarnation) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.until[i]
}

// Return decides after how long a caller should come back who found that all targets pause. first is when the first of
// them takes requests again, left how long the caller waits in all. Returns are spread behind the end of the pause. A caller
// that would have to wait longer than it honours comes back earlier: another instance may be asked for no pause.
func Return(first, left time.Duration, rng *rand.Rand) time.Duration {
	return ReturnOver(first, 0, left, rng)
}

// ReturnOver is Return where so many callers were refused that their return takes a time.
func ReturnOver(first, backlog, left time.Duration, rng *rand.Rand) time.Duration {
	first = max(first, leastReturn)
	honoured := max(time.Duration(honouredShare*float64(left)), leastReturn)
	from, to := first, first+max(time.Duration(spreadShare*float64(first)), backlog)
	if to > honoured {
		to = honoured
		from = min(from, time.Duration((1-earlyShare)*float64(honoured)))
	}
	return from + time.Duration(rng.Int64N(int64(to-from)+1))
}
