package coldshare

import (
	"testing"
	"time"

	"github.com/egrethoist/egrethoist/internal/mix64"
)

var epoch = time.Unix(1_800_000_000, 0)

func instances(n int) []uint64 {
	list := make([]uint64, n)
	for i := range list {
		list[i] = mix64.Sum(uint64(i + 1))
	}
	return list
}

// sent counts what all instances together send to one cold target when each sends as much as it may.
func sent(n int, l Limits, length time.Duration) []time.Time {
	now := epoch
	list := instances(n)
	var shares []*Share
	for _, self := range list {
		shares = append(shares, New(l, 7, self, list, epoch.Add(time.Hour), func() time.Time { return now }))
	}
	var at []time.Time
	for ; now.Before(epoch.Add(length)); now = now.Add(time.Millisecond) {
		for _, s := range shares {
			for s.Begin() {
				at = append(at, now)
			}
		}
	}
	return at
}

// mostInOneSecond returns the largest number of requests in any second.
func mostInOneSecond(at []time.Time) int {
	most, from := 0, 0
	for i := range at {
		for at[i].Sub(at[from]) >= time.Second {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

// A zone comes back cold under full load: however many instances there are, a target never gets more than it bears.
func TestAllInstancesTogetherStayBelowWhatATargetBears(t *testing.T) {
	l := Limits{PerSecond: 20, Most: 35}
	for _, n := range []int{1, 2, 5, 8, 9, 27, 100} {
		at := sent(n, l, 10*time.Second)
		if got := mostInOneSecond(at); got > int(l.Most) {
			t.Errorf("%d instances: %d requests in one second, want %v at most", n, got, l.Most)
		}
		if len(at) < 50 {
			t.Errorf("%d instances: %d requests in ten seconds: a cold target is to get some work", n, len(at))
		}
	}
}

func TestSmallColdLimit(t *testing.T) {
	l := Limits{PerSecond: 2, Most: 8}
	if got := mostInOneSecond(sent(27, l, 5*time.Second)); got > 8 {
		t.Errorf("%d requests in one second, want 8 at most", got)
	}
}

func TestWarmTargetIsNotBound(t *testing.T) {
	s := New(Limits{PerSecond: 1, Most: 2}, 7, 1, []uint64{1}, epoch, func() time.Time { return epoch })
	for range 100 {
		if !s.Begin() {
			t.Fatal("bound after its cold time")
		}
	}
}
