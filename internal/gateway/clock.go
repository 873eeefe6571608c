package gateway

import (
	"sync/atomic"
	"time"

	"github.com/egrethoist/egrethoist/internal/bootclock"
)

// enginesClock follows the clock that the targets and kept-cache stores share, by which fetches end.
type targetClock struct {
	offsetMs atomic.Int64 // milliseconds by which it is ahead of bootclock; zero if unknown
}

// set takes in what the clock shows.
func (c *targetClock) sync(ms int64) {
	if ms > 0 {
		c.offsetMs.Store(ms - bootclock.Now().Milliseconds())
	}
}

// after returns what the clock shows after d, zero if it is unknown.
func (c *targetClock) after(d time.Duration) int64 {
	ahead := c.offsetMs.Load()
	if ahead == 0 {
		return 0
	}
	return ahead + (bootclock.Now() + d).Milliseconds()
}
