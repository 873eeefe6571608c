package prefilltime

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// addSamples adds n samples of a target with a fixed time, a rate in tokens per second and up to 20 ms of noise.
func addSamples(e *Estimator, n int, base time.Duration, rate float64, r *rand.Rand) {
	for range n {
		tokens := r.IntN(20_000)
		noise := time.Duration(r.Int64N(int64(20 * time.Millisecond)))
		e.AddSample(tokens, base+time.Duration(float64(tokens)/rate*float64(time.Second))+noise)
	}
}

// Guards against an estimate that stays at the assumed rate or is biased by the fixed time.
func TestLearnsRate(t *testing.T) {
	for _, rate := range []float64{20_000, 70_000, 150_000} {
		e := New(50_000)
		addSamples(e, 300, 50*time.Millisecond, rate, rand.New(rand.NewPCG(1, 2)))
		if got := e.Rate(); got < 0.8*rate || got > 1.2*rate {
			t.Errorf("rate %.0f, want about %.0f", got, rate)
		}
	}
}

// Guards against old samples that keep the estimate from following a slower prefill rate.
func TestFollowsRateChange(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	e := New(50_000)
	addSamples(e, 500, 50*time.Millisecond, 100_000, r)
	addSamples(e, 500, 50*time.Millisecond, 30_000, r)
	if got := e.Rate(); got > 40_000 {
		t.Errorf("rate %.0f after the targets slowed to 30,000 tokens per second, want at most 40,000", got)
	}
}

// Guards against an estimator that never recovers: delays with another cause, such as a slow link, must not push the rate
// so low that no request is admitted and no further samples arrive.
func TestRateIsBounded(t *testing.T) {
	e := New(50_000)
	for range 200 {
		e.AddSample(500, 3*time.Second)
		e.AddSample(5_000, 10*time.Second)
	}
	if got := math.Round(e.Rate()); got < 50_000/maxRateFactor {
		t.Errorf("rate %.0f, want at least %d", got, 50_000/maxRateFactor)
	}
}

// Guards against a rate learned from too few samples.
func TestFewSamplesKeepAssumedRate(t *testing.T) {
	e := New(50_000)
	e.AddSample(10_000, 5*time.Second)
	if got := math.Round(e.Rate()); got != 50_000 {
		t.Errorf("rate %.0f after one sample, want the assumed 50000", got)
	}
}
