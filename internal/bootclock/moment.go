package bootclock

import "time"

// Moment is a point in time from which elapsed time is measured, including the time for which the machine was suspended. The zero Moment
// lies in the distant past.
type Moment struct {
	now  time.Time
	boot time.Duration
}

// At returns the present moment. boot is Now at that time.
func At(now time.Time, boot time.Duration) Moment { return Moment{now: now, boot: boot} }

// Elapsed returns the time from the moment to now, by whichever of both clocks shows more: time.Time excludes suspensions, and Now does not
// advance in virtual time. boot is Now at that time.
func (m Moment) Elapsed(now time.Time, boot time.Duration) time.Duration {
	return max(now.Sub(m.now), boot-m.boot)
}
