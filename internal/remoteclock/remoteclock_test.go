package remoteclock_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/egrethoist/egrethoist/internal/remoteclock"
)

// Guards against deadlines that are too late and ages that are too small, because an answer waited for the process that handled it.
func TestClockLiesWithinTheEstimate(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 3))
		ahead := time.Duration(rng.Int64N(int64(100 * time.Hour)))
		var e remoteclock.Estimate
		local := time.Duration(0)
		for range 50 {
			begun := local
			answered := begun + time.Duration(rng.Int64N(int64(400*time.Millisecond)))
			local = answered + time.Duration(rng.Int64N(int64(4*time.Second)))
			var set time.Duration
			e, set = e.Update((answered + ahead).Milliseconds(), begun, local)
			now := local + time.Duration(rng.Int64N(int64(time.Second)))
			truth := now + ahead
			if earliest, latest := e.Earliest(now), e.Latest(now); earliest > truth.Milliseconds() || latest < truth.Milliseconds() || set != 0 {
				t.Fatalf("seed %d: clock between %d and %d, want %d within; set by %v", seed, earliest, latest, truth.Milliseconds(), set)
			}
		}
	}
}

// Guards against an estimate that stays where the remote clock was before it was set.
func TestEstimateFollowsClockThatIsSet(t *testing.T) {
	for _, step := range []time.Duration{-2 * time.Second, 2 * time.Second} {
		const callTime = 10 * time.Millisecond
		e, _ := remoteclock.Estimate{}.Update(1_800_000_000_000, 0, callTime)
		e, set := e.Update(1_800_000_001_000+step.Milliseconds(), time.Second, time.Second+callTime)
		if set.Round(100*time.Millisecond) != step {
			t.Errorf("clock set by %v, want %v", set, step)
		}
		want := 1_800_000_002_000 + step.Milliseconds()
		if earliest, latest := e.Earliest(2*time.Second), e.Latest(2*time.Second); earliest > want || latest < want || latest-earliest > 20 {
			t.Errorf("clock between %d and %d, want %d", earliest, latest, want)
		}
	}
}
