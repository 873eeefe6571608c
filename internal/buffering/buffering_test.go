package buffering

import (
	"testing"
	"time"
)

// The wait must be bounded by the maximum wait, the deadline and the size of the buffer, and a refused request must not be counted.
func TestEnter(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	for name, tc := range map[string]struct {
		waiting int
		left    time.Duration
		wait    time.Duration
		ok      bool
	}{
		"limit":        {left: time.Minute, wait: 4 * time.Second, ok: true},
		"deadline":     {left: time.Second, wait: 900 * time.Millisecond, ok: true},
		"too late":     {left: 50 * time.Millisecond},
		"full":         {waiting: 2, left: time.Minute},
		"room for one": {waiting: 1, left: time.Minute, wait: 4 * time.Second, ok: true},
	} {
		b := New(Options{MaxWaiting: 2})
		for range tc.waiting {
			b.Enter(now, now.Add(time.Minute))
		}
		until, ok := b.Enter(now, now.Add(tc.left))
		if ok != tc.ok || ok && until.Sub(now) != tc.wait {
			t.Errorf("%s: wait %v, ok %v; want %v, %v", name, until.Sub(now), ok, tc.wait, tc.ok)
		}
		if ok {
			b.Leave()
		}
		if b.Waiting() != tc.waiting {
			t.Errorf("%s: %d waiting, want %d", name, b.Waiting(), tc.waiting)
		}
	}
}
