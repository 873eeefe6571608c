package bootclock

import (
	"testing"
	"time"
)

// Guards against elapsed times that leave out a suspension, and against limits that never end in virtual time, where the boot clock
// stands still.
func TestElapsedIsTheLongerOfBothClocks(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	m := At(start, time.Hour)
	for name, c := range map[string]struct {
		now  time.Time
		boot time.Duration
		want time.Duration
	}{
		"awake":        {start.Add(time.Second), time.Hour + time.Second, time.Second},
		"suspended":    {start.Add(time.Second), time.Hour + 8*time.Second, 8 * time.Second},
		"virtual time": {start.Add(5 * time.Second), time.Hour, 5 * time.Second},
	} {
		if got := m.Elapsed(c.now, c.boot); got != c.want {
			t.Errorf("%s: %v elapsed, want %v", name, got, c.want)
		}
	}
	if got := (Moment{}).Elapsed(start, time.Hour); got < time.Hour {
		t.Errorf("%v elapsed since the zero moment, want more than an hour", got)
	}
}
