package workspaceshare_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/egrethoist/egrethoist/internal/workspaceshare"
)

// Guards against water-filling that gives a workspace more than it asks for, loses capacity, or ignores weights.
func TestLevel(t *testing.T) {
	for name, c := range map[string]struct {
		demands  []workspaceshare.Demand
		capacity float64
		want     float64
	}{
		"enough":         {[]workspaceshare.Demand{{Asked: 3, Weight: 1}, {Asked: 2, Weight: 1}}, 5, math.Inf(1)},
		"unused goes on": {[]workspaceshare.Demand{{Asked: 1, Weight: 1}, {Asked: 9, Weight: 1}, {Asked: 9, Weight: 1}}, 9, 4},
		"weights":        {[]workspaceshare.Demand{{Asked: 9, Weight: 1}, {Asked: 9, Weight: 2}}, 9, 3},
		"nothing":        {[]workspaceshare.Demand{{Asked: 1, Weight: 1}}, 0, 0},
		"nobody":         {nil, 5, math.Inf(1)},
	} {
		if got := workspaceshare.Level(c.demands, c.capacity); math.Abs(got-c.want) > 1e-9 && got != c.want {
			t.Errorf("%s: level %v, want %v", name, got, c.want)
		}
	}
}

// contended returns a tracker that knows of a contended service, from messages only.
func contended(at time.Time) *workspaceshare.Tracker {
	t := workspaceshare.NewTracker(workspaceshare.Options{})
	t.SetRemote(workspaceshare.Remote{At: at, NewestAt: at, Usage: []workspaceshare.Usage{
		{Key: workspaceshare.NewKey("s", "small"), Asked: 1e4, Used: 1e4},
		{Key: workspaceshare.NewKey("s", "large"), Asked: 9e4, Used: 3e4},
	}})
	return t
}

// Guards against refusals for shares by an instance that has just started, and against knowledge that never ages.
func TestStandingByAgeOfKnowledge(t *testing.T) {
	large := workspaceshare.NewKey("s", "large")
	fresh := workspaceshare.NewTracker(workspaceshare.Options{})
	fresh.Record(large, 1000, 0, false, epoch)
	if s := fresh.Assess(large, 1000, 0, epoch.Add(time.Second)); s.Known || s.Scale != 1 || s.Benefit != 0 {
		t.Errorf("after a start: %+v", s)
	}
	for age, contendedWant := range map[time.Duration]bool{time.Second: true, 10 * time.Second: true, 31 * time.Second: false} {
		s := contended(epoch).Assess(large, 1000, 0, epoch.Add(age))
		if s.Contended != contendedWant || s.Age != age || s.Contended == s.Inside && s.Used > s.Share {
			t.Errorf("with messages of age %v: %+v", age, s)
		}
	}
}

// Guards against refused callers that all return together, in the wrong order, or later than the protocol allows.
func TestRetryDelayOrder(t *testing.T) {
	rng, mean := rand.New(rand.NewPCG(1, 2)), map[float64]time.Duration{}
	for _, excess := range []float64{0, 1, 5} {
		low, high := time.Hour, time.Duration(0)
		for range 1000 {
			d := workspaceshare.Standing{Excess: excess}.RetryDelay(200*time.Millisecond, 9*time.Second, rng)
			low, high, mean[excess] = min(low, d), max(high, d), mean[excess]+d/1000
		}
		if low < 200*time.Millisecond || high > 3*time.Second || high-low < 500*time.Millisecond {
			t.Errorf("excess %v: delays from %v to %v", excess, low, high)
		}
	}
	if mean[0] >= mean[1] || mean[1] >= mean[5] {
		t.Errorf("mean delays by excess: %v", mean)
	}
	if d := (workspaceshare.Standing{}).RetryDelay(time.Second, -time.Second, rng); d != 0 {
		t.Errorf("delay %v after the deadline", d)
	}
}

// BenchmarkAssess measures a decision that computes the shares of 4,600 workspaces anew, which happens five times a second at
// most, and one that uses computed shares.
func BenchmarkAssess(b *testing.B) {
	for name, step := range map[string]time.Duration{"computed": time.Second, "kept": 0} {
		b.Run(name, func(b *testing.B) {
			tracker, now := workspaceshare.NewTracker(workspaceshare.Options{}), epoch
			remote := workspaceshare.Remote{At: epoch, NewestAt: epoch}
			for i := range 4600 {
				k := workspaceshare.NewKey("s", fmt.Sprint(i))
				tracker.Record(k, 1e6, 0, i%2 == 0, now)
				if i < 520 {
					remote.Usage = append(remote.Usage, workspaceshare.Usage{Key: k, Asked: 1e6, Used: 1e5})
				}
			}
			tracker.SetRemote(remote)
			for b.Loop() {
				tracker.Assess(remote.Usage[0].Key, 1000, 0, now)
				now = now.Add(step)
			}
		})
	}
}

// A service can be short of cache memory for long prompts while short ones wait for nothing. Guards against refusing the short requests of
// a workspace beyond its share although overload control refuses none.
func TestStricterLimitOnlyWhereCapacityIsScarce(t *testing.T) {
	tracker := workspaceshare.NewTracker(workspaceshare.Options{})
	large, small, other := workspaceshare.NewKey("s", "large"), workspaceshare.NewKey("s", "small"), workspaceshare.NewKey("s", "other")
	const short, long = 0, 1
	now := epoch
	for range 200 {
		now = now.Add(50 * time.Millisecond)
		for _, k := range []workspaceshare.Key{large, large, large, large, small} {
			tracker.RecordControl(k, short, true, now)
			tracker.Record(k, 1000, short, true, now)
		}
		tracker.RecordControl(large, long, true, now)
		tracker.Record(large, 20_000, long, true, now)
		tracker.RecordControl(other, long, false, now)
		tracker.Record(other, 20_000, long, false, now)
	}
	if s := tracker.Assess(large, 1000, short, now); !s.Contended || s.Inside || s.Scale != 1 {
		t.Errorf("short request: contended %v, inside %v, scale %.2f, want one beyond its share at the usual limit", s.Contended, s.Inside, s.Scale)
	}
	if s := tracker.Assess(large, 20_000, long, now); s.Scale == 1 && !s.Outranked {
		t.Errorf("long request at the usual limit although capacity is scarce")
	}
}
