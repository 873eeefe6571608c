package bootclock

import "time"

// Moment is a point in time from which elapsed time is measured, including the time for which the machine was suspended. The zero Moment
// lies in the distant past.
type Moment struct {
	time time.Time
	boot time.Duration
}

// At returns the moment now. clock is Now, or a stand-in of it in tests.
func At(now time.Time, clock func() time.Duration) Moment { return Moment{time: now, boot: clock()} }

// Elapsed returns the time from the moment to now, by whichever of both clocks shows more: time.Time excludes suspensions, and clock does
// not advance in virtual time.
func (m Moment) Elapsed(now time.Time, clock func() time.Duration) time.Duration {
	return max(now.Sub(m.time), clock()-m.boot)
}
