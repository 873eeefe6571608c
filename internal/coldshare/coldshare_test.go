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
func simulateSends(n int, capacity Capacity, duration time.Duration) []time.Time {
	now := epoch
	list := instances(n)
	var shares []*Limiter
	for _, self := range list {
		shares = append(shares, New(capacity, 7, self, list, epoch.Add(time.Hour), func() time.Time { return now }))
	}
	var times []time.Time
	for ; now.Before(epoch.Add(duration)); now = now.Add(time.Millisecond) {
		for _, s := range shares {
			for s.TryAcquire() {
				times = append(times, now)
			}
		}
	}
	return times
}

// mostInOneSecond returns the largest number of requests in any second.
func maxInOneSecond(times []time.Time) int {
	largest, first := 0, 0
	for i := range times {
		for times[i].Sub(times[first]) >= time.Second {
			first++
		}
		largest = max(largest, i-first+1)
	}
	return largest
}

// A zone comes back cold under full load: however many instances there are, a target never gets more than it bears.
func TestInstancesTogetherStayBelowOverloadRate(t *testing.T) {
	capacity := Capacity{SustainedRate: 20, OverloadRate: 35}
	for _, n := range []int{1, 2, 5, 8, 9, 27, 100} {
		times := simulateSends(n, capacity, 10*time.Second)
		if got := maxInOneSecond(times); got > int(capacity.OverloadRate) {
			t.Errorf("%d instances: %d requests in one second, want %v at most", n, got, capacity.OverloadRate)
		}
		if len(times) < 50 {
			t.Errorf("%d instances: %d requests in ten seconds: a cold target is to get some work", n, len(times))
		}
	}
}

func TestSmallColdLimit(t *testing.T) {
	capacity := Capacity{SustainedRate: 2, OverloadRate: 8}
	if got := maxInOneSecond(simulateSends(27, capacity, 5*time.Second)); got > 8 {
		t.Errorf("%d requests in one second, want 8 at most", got)
	}
}

func TestWarmTargetIsNotLimited(t *testing.T) {
	s := New(Capacity{SustainedRate: 1, OverloadRate: 2}, 7, 1, []uint64{1}, epoch, func() time.Time { return epoch })
	for range 100 {
		if !s.TryAcquire() {
			t.Fatal("bound after its cold time")
		}
	}
}
