// Package bootclock reads a monotonic clock that includes the time for which the machine was suspended. Go's monotonic clock excludes
// it, so a lease measured by that clock would still appear valid after a suspension during which it expired.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since an arbitrary fixed point before the process started. Clock adjustments don't affect it. It panics if the
// kernel lacks CLOCK_BOOTTIME.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has this clock since 2.6.39; without it leases can't be measured.
		panic("clock_gettime(CLOCK_BOOTTIME): " + err.Error())
	}
	return time.Duration(ts.Nano())
}

// Suspension measures for how long the machine was suspended.
type Suspension struct {
	boot  time.Duration
	start time.Time
}

// NewSuspension starts to measure.
func NewSuspension() *Suspension { return &Suspension{boot: Now(), start: time.Now()} }

// Total returns the total time of suspensions since NewSuspension.
func (s *Suspension) Total() time.Duration { return max(Now()-s.boot-time.Since(s.start), 0) }
