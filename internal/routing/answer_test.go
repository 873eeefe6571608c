package routing

import (
	"math/rand/v2"
	"testing"
	"time"
)

// fixedOutlook maps targets to their outlook; others are as usual.
type fixedOutlook map[string]AnswerOutlook

func (f fixedOutlook) Predict(target string, _ time.Time) AnswerOutlook { return f[target] }

// scoreWith returns the cost of a candidate that has some requests, for a prompt of 4,000 tokens.
func scoreWith(o ScorerOptions, req Request, running int, age time.Duration) Cost {
	c := Candidate{Target: "a", Phase: PhaseWarm, LinkAlive: true, Stats: new(Stats)}
	c.Stats.Report(Load{Sequence: 1, Limit: 64, InFlight: running, ReceivedAt: epoch.Add(-age)})
	req.PromptTokens = 4000
	return NewTimeScorer(o).Score(&req, &c, 0, PoolStats{ColdLimit: 1}, epoch).Cost
}

func TestWholeAnswerIsAnOption(t *testing.T) {
	outlook := fixedOutlook{"a": {Slowdown: 2, Stream: time.Second, StreamHigh: 20 * time.Second, FirstExtra: time.Second}}
	plain := scoreWith(ScorerOptions{}, Request{}, 8, 0)
	if off := scoreWith(ScorerOptions{}, Request{Outlook: outlook, Remaining: time.Second}, 8, 0); off != plain {
		t.Errorf("without the option %+v, want %+v", off, plain)
	}
	if without := scoreWith(ScorerOptions{WholeAnswer: true}, Request{}, 8, 0); without != plain {
		t.Errorf("without an outlook %+v, want %+v", without, plain)
	}
}

// TestWholeAnswerCost guards against streams at slow targets, at targets that prefill all the time, and against long prompts where they
// delay many.
func TestWholeAnswerCost(t *testing.T) {
	cost := func(o AnswerOutlook, remaining time.Duration, running int, age time.Duration) Cost {
		return scoreWith(ScorerOptions{WholeAnswer: true}, Request{Outlook: fixedOutlook{"a": o}, Remaining: remaining}, running, age)
	}
	usual := cost(AnswerOutlook{Slowdown: 1, Stream: 2 * time.Second, StreamHigh: 4 * time.Second}, 12*time.Second, 8, 0)
	for name, worse := range map[string]Cost{
		"slow":                        cost(AnswerOutlook{Slowdown: 2.5, Stream: 2 * time.Second, StreamHigh: 4 * time.Second}, 12*time.Second, 8, 0),
		"prefilling":                  cost(AnswerOutlook{Slowdown: 1, Stream: 6 * time.Second, StreamHigh: 11 * time.Second}, 12*time.Second, 8, 0),
		"not complete until deadline": cost(AnswerOutlook{Slowdown: 1, Stream: 2 * time.Second, StreamHigh: 4 * time.Second}, 3*time.Second, 8, 0),
		"delays more":                 cost(AnswerOutlook{Slowdown: 1, Stream: 2 * time.Second, StreamHigh: 4 * time.Second}, 12*time.Second, 40, 0),
	} {
		if worse.Total() <= usual.Total() {
			t.Errorf("%s: cost %v, as usual %v", name, worse.Total(), usual.Total())
		}
	}
	old := cost(AnswerOutlook{}, 0, 40, 10*time.Second)
	if recent := cost(AnswerOutlook{}, 0, 40, 0); old.External > recent.External/10 {
		t.Errorf("external cost %v by a report of 10 s ago, %v by a recent one", old.External, recent.External)
	}
}

// TestMemoryShare guards against avoiding targets for a wait for memory that is mostly not there.
func TestMemoryShare(t *testing.T) {
	cost := func(share float64) time.Duration {
		c := Candidate{Target: "a", Phase: PhaseWarm, LinkAlive: true, Stats: new(Stats), CacheCapacity: 1000}
		c.Stats.AddHeldTokens(0, 2000)
		req := &Request{PromptTokens: 1000, Outlook: fixedOutlook{"a": {MemoryShare: share}}}
		return NewTimeScorer(ScorerOptions{WholeAnswer: true}).Score(req, &c, 0, PoolStats{ColdLimit: 1}, epoch).Cost.Queue
	}
	if all, none := cost(1), cost(0); all-none != 2*defaultMeanRun {
		t.Errorf("cost %v with the whole wait, %v with none; want a difference of %v", all, none, 2*defaultMeanRun)
	}
}

// TestNoHerdingOnOneGoodFigure guards against all instances choosing the one target that is faster than the others.
func TestNoHerdingOnOneGoodFigure(t *testing.T) {
	const targets, rounds = 30, 100
	for _, gateways := range []int{3, 27, 68} {
		list, outlook := warmCandidates(targets), fixedOutlook{}
		for i := range list {
			list[i].Stats = new(Stats)
			list[i].Stats.Report(Load{Sequence: 1, Limit: 8, InFlight: 4, ReceivedAt: epoch})
			outlook[list[i].Target] = AnswerOutlook{Slowdown: 2.5, Stream: 5 * time.Second}
		}
		good := list[targets/2].Target
		outlook[good] = AnswerOutlook{Slowdown: 1, Stream: 2 * time.Second}
		snap := NewSnapshot("s", 8, list, nil)
		router, rng, chosen := New(Options{Scorer: NewTimeScorer(ScorerOptions{WholeAnswer: true})}), rand.New(rand.NewPCG(1, 1)), 0
		for range gateways * rounds {
			choice, err := router.Pick(&Request{PromptTokens: 1000, Outlook: outlook}, snap, rng, epoch)
			if err != nil {
				t.Fatal(err)
			}
			if choice.Best().Candidate.Target == good {
				chosen++
			}
		}
		// A sample of 4 has the good target with a probability of 13 %.
		if share := float64(chosen) / float64(gateways*rounds); share > 0.18 {
			t.Errorf("%d instances: %.2f of the requests go to one of %d targets", gateways, share, targets)
		}
	}
}
