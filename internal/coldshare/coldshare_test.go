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

// simulateSends returns the times of all requests to one cold target when each of n instances sends as many as its
// limiter allows.
func simulateSends(n int, capacity Capacity, duration time.Duration) []time.Time {
	now := epoch
	list := instances(n)
	var limiters []*Limiter
	for _, self := range list {
		limiters = append(limiters, New(capacity, 7, self, list, epoch.Add(time.Hour), func() time.Time { return now }))
	}
	var times []time.Time
	for ; now.Before(epoch.Add(duration)); now = now.Add(time.Millisecond) {
		for _, limiter := range limiters {
			for limiter.TryAcquire() {
				times = append(times, now)
			}
		}
	}
	return times
}

// maxInOneSecond returns the largest number of requests within any second.
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

// Guards against overloading cold targets when a failure domain recovers under full load: for any number of instances, a
// target must stay below its overload rate and still get some requests.
func TestInstancesTogetherStayBelowOverloadRate(t *testing.T) {
	capacity := Capacity{SustainedRate: 20, OverloadRate: 35}
	for _, n := range []int{1, 2, 5, 8, 9, 27, 100} {
		times := simulateSends(n, capacity, 10*time.Second)
		if got := maxInOneSecond(times); got > int(capacity.OverloadRate) {
			t.Errorf("%d instances: %d requests in one second, want %v at most", n, got, capacity.OverloadRate)
		}
		if len(times) < 50 {
			t.Errorf("%d instances: %d requests in ten seconds: want at least 50, so that a cold target warms up", n, len(times))
		}
	}
}

// A target that sustains fewer requests per second than there are instances must not be overloaded by their first
// requests.
func TestSmallColdLimit(t *testing.T) {
	capacity := Capacity{SustainedRate: 2, OverloadRate: 8}
	if got := maxInOneSecond(simulateSends(27, capacity, 5*time.Second)); got > 8 {
		t.Errorf("%d requests in one second, want 8 at most", got)
	}
}

// The limiter must admit everything once the target is no longer cold.
func TestWarmTargetIsNotLimited(t *testing.T) {
	s := New(Capacity{SustainedRate: 1, OverloadRate: 2}, 7, 1, []uint64{1}, epoch, func() time.Time { return epoch })
	for range 100 {
		if !s.TryAcquire() {
			t.Fatal("limited after the end of the cold period")
		}
	}
}
