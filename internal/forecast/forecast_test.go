package forecast

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Unix(1_000_000, 0)

// sample draws a request and the time to its first event at a target of usual speed: 80 ms, 20 µs for each token, a tenth of the
// memory wait, and noise with a median of 1.
func sample(rng *rand.Rand) (Work, time.Duration) {
	w := Work{PromptTokens: 200 + rng.IntN(3000), BacklogTokens: rng.IntN(6000), MemoryWait: time.Duration(rng.IntN(500)) * time.Millisecond}
	mean := 0.08 + 20e-6*float64(w.PromptTokens+w.BacklogTokens) + w.MemoryWait.Seconds()/10
	return w, seconds(mean * math.Exp(0.4*rng.NormFloat64()))
}

// TestFirstEvent guards against a forecast without the fixed time or with the whole wait for memory: both gave errors of 90 ms at p50.
func TestFirstEvent(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	s := NewService(50_000)
	if s.Predict(Work{PromptTokens: 1000}).Learned {
		t.Error("learned before the first answer")
	}
	below, covered, n := 0, 0, 0
	for i := range 3000 {
		w, took := sample(rng)
		p := s.Predict(w)
		s.AddFirst(w, took)
		if i < 300 {
			continue
		}
		n++
		if took <= p.First {
			below++
		}
		if took <= p.FirstHigh {
			covered++
		}
	}
	if share := float64(below) / float64(n); share < 0.45 || share > 0.55 {
		t.Errorf("%.2f of the answers were no later than forecast, want half", share)
	}
	if share := float64(covered) / float64(n); share < 0.87 || share > 0.93 {
		t.Errorf("%.2f were no later than the high forecast, want 0.9", share)
	}
	if rate := s.PrefillRate(); rate < 40_000 || rate > 60_000 {
		t.Errorf("prefill rate %.0f, want about 46,000 (mean of the noise 1.08)", rate)
	}
}

func TestSlowdownScalesForecast(t *testing.T) {
	rng := rand.New(rand.NewPCG(2, 2))
	s := NewService(50_000)
	for range 1000 {
		w, took := sample(rng)
		w.Slowdown = 1 + 1.5*float64(rng.IntN(2))
		s.AddFirst(w, time.Duration(float64(took)*w.Slowdown))
	}
	usual, slow := s.Predict(Work{PromptTokens: 2000}), s.Predict(Work{PromptTokens: 2000, Slowdown: 2.5})
	if ratio := float64(slow.First) / float64(usual.First); ratio < 2.1 || ratio > 2.9 {
		t.Errorf("%v at 2.5 times the time, %v as usual", slow.First, usual.First)
	}
}

func TestStream(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 3))
	s := NewService(50_000)
	for range 500 {
		share, hint := rng.Float64(), 100+rng.IntN(400)
		events := int(float64(hint) / 7 * math.Exp(0.5*rng.NormFloat64()))
		s.AddStream(Work{HintedTokens: hint, PrefillShare: share}, share, events, seconds(float64(events-1)*(0.027+0.05*share)))
	}
	idle, busy := s.Predict(Work{HintedTokens: 350}), s.Predict(Work{HintedTokens: 350, PrefillShare: 1})
	if idle.SecondsBetweenEvent < 0.02 || idle.SecondsBetweenEvent > 0.035 || busy.SecondsBetweenEvent < 0.065 || busy.SecondsBetweenEvent > 0.09 {
		t.Errorf("%.3f s between events, %.3f s with prefills; want 0.027 and 0.077", idle.SecondsBetweenEvent, busy.SecondsBetweenEvent)
	}
	if idle.Events < 45 || idle.Events > 70 {
		t.Errorf("%.0f events of 350 tokens, want about 57", idle.Events)
	}
	if busy.Last <= idle.Last || idle.LastHigh <= idle.Last {
		t.Errorf("last event at %v (high %v), with prefills %v", idle.Last, idle.LastHigh, busy.Last)
	}
}

// TestOddValues guards against a forecast that is not a number after values that no sane target sends.
func TestOddValues(t *testing.T) {
	s := NewService(50_000)
	for range 50 {
		s.AddFirst(Work{}, 0)
		s.AddFirst(Work{PromptTokens: 1 << 30, BacklogTokens: 1 << 30, MemoryWait: time.Hour}, time.Hour)
		s.AddStream(Work{OutputLimit: 1}, 1, 1<<20, 0)
	}
	p := s.Predict(Work{PromptTokens: 1000, HintedTokens: 100})
	if p.First < 0 || p.FirstHigh < p.First || p.Last < p.First || math.IsNaN(p.Events) || math.IsNaN(p.SecondsBetweenEvent) {
		t.Errorf("%+v", p)
	}
}
