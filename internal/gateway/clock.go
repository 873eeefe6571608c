package gateway

import (
	"sync/atomic"
	"time"

	"github.com/egrethoist/egrethoist/internal/bootclock"
)

// targetClock tracks the clock that the targets and KV-cache stores share, which the deadlines of fetches refer to.
type targetClock struct {
	offsetMs atomic.Int64 // by which it is ahead of bootclock, in milliseconds; zero if unknown
}

// sync sets the offset from the clock's present time in milliseconds. Zero or less is ignored.
func (c *targetClock) sync(ms int64) {
	if ms > 0 {
		c.offsetMs.Store(ms - bootclock.Now().Milliseconds())
	}
}

// after returns the clock's time after d, in milliseconds, zero if the clock is unknown.
func (c *targetClock) after(d time.Duration) int64 {
	ahead := c.offsetMs.Load()
	if ahead == 0 {
		return 0
	}
	return ahead + (bootclock.Now() + d).Milliseconds()
}
