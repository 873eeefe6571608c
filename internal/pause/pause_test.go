package pause

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/egrethoist/egrethoist/internal/departure"
)

var epoch = time.Unix(1_800_000_000, 0)

// A pause must apply to one incarnation, be bounded by MaxPause, not be shortened by a later request, and be dropped
// after its end.
func TestTracker(t *testing.T) {
	b := NewTracker()
	target, other := departure.IncarnationOf("t", "x", 1), departure.IncarnationOf("t", "x", 2)
	if got := b.Record(target, 2*time.Second, epoch); !got.Equal(epoch.Add(2 * time.Second)) {
		t.Errorf("pause until %v, want the requested end", got)
	}
	if got := b.Record(target, time.Second, epoch.Add(100*time.Millisecond)); !got.Equal(epoch.Add(2 * time.Second)) {
		t.Errorf("a shorter pause that overtook a longer one ends it at %v", got)
	}
	if got := b.Record(target, 1000*time.Hour, epoch); !got.Equal(epoch.Add(MaxPause)) {
		t.Errorf("excessive pause applied until %v, want MaxPause", got)
	}
	if !b.Until(other).IsZero() {
		t.Error("the pause of one incarnation applies to the next")
	}
	b.Record(other, time.Second, epoch.Add(MaxPause))
	if !b.Until(target).IsZero() {
		t.Error("an expired pause is kept")
	}
}

// Guards against a burst of retries after all targets of a service have paused at once and hundreds of callers were
// refused. Retries must be spread, after the end of the pause if the callers can wait that long, and never later than
// the longest wait of the callers.
func TestRetryDelaysAreSpread(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for _, c := range []struct {
		name                 string
		available, remaining time.Duration
		atLeast, atMost      time.Duration
	}{
		{"short pause", 200 * time.Millisecond, 3 * time.Second, 200 * time.Millisecond, 300 * time.Millisecond},
		{"pause that ends just within the longest wait", 900 * time.Millisecond, 3 * time.Second, 750 * time.Millisecond, time.Second},
		{"pause beyond the longest wait", 8 * time.Second, 3 * time.Second, 750 * time.Millisecond, time.Second},
		{"pause that is over", 0, 3 * time.Second, 50 * time.Millisecond, 75 * time.Millisecond},
		{"no time left", time.Second, 0, 37 * time.Millisecond, 50 * time.Millisecond},
	} {
		buckets := make([]int, 5)
		for range 1000 {
			got := RetryDelay(c.available, c.remaining, rng)
			if got < c.atLeast || got > c.atMost {
				t.Fatalf("%s: retry after %v, want %v to %v", c.name, got, c.atLeast, c.atMost)
			}
			buckets[min(int(5*(got-c.atLeast)/(c.atMost-c.atLeast)), 4)]++
		}
		for i, n := range buckets {
			if n < 100 {
				t.Errorf("%s: %d of 1000 retries in fifth %d, want at least 100", c.name, n, i)
			}
		}
	}
}
