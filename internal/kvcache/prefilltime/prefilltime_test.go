package prefilltime

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// feed adds samples of a target with a fixed part and a rate.
func feed(e *Estimator, n int, base time.Duration, rate float64, r *rand.Rand) {
	for range n {
		tokens := r.IntN(20_000)
		noise := time.Duration(r.Int64N(int64(20 * time.Millisecond)))
		e.Add(tokens, base+time.Duration(float64(tokens)/rate*float64(time.Second))+noise)
	}
}

func TestLearnsRate(t *testing.T) {
	for _, rate := range []float64{20_000, 70_000, 150_000} {
		e := New(50_000)
		feed(e, 300, 50*time.Millisecond, rate, rand.New(rand.NewPCG(1, 2)))
		if got := e.Rate(); got < 0.8*rate || got > 1.2*rate {
			t.Errorf("rate %.0f, want about %.0f", got, rate)
		}
	}
}

func TestFollowsAChange(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	e := New(50_000)
	feed(e, 500, 50*time.Millisecond, 100_000, r)
	feed(e, 500, 50*time.Millisecond, 30_000, r)
	if got := e.Rate(); got > 40_000 {
		t.Errorf("rate %.0f after the targets slowed to 30,000", got)
	}
}

// Waits that have another cause, such as a slow link, must not be taken for a rate so low that nothing is admitted and
// so nothing is ever learned again.
func TestRateIsBounded(t *testing.T) {
	e := New(50_000)
	for range 200 {
		e.Add(500, 3*time.Second)
		e.Add(5_000, 10*time.Second)
	}
	if got := math.Round(e.Rate()); got < 50_000/rateRange {
		t.Errorf("rate %.0f, want at least %d", got, 50_000/rateRange)
	}
}

func TestFewSamplesKeepTheAssumption(t *testing.T) {
	e := New(50_000)
	e.Add(10_000, 5*time.Second)
	if got := math.Round(e.Rate()); got != 50_000 {
		t.Errorf("rate %.0f after one sample", got)
	}
}
