package trial

import "testing"

// TestExperimentMixedLoad guards against long streams placed where prompts are prefilled all the time, and against either kind paying
// for it. The load is 18 short prompts of 1,100 tokens and 4.3 long ones of 6,000 a second for each engine, near what the engines can
// prefill: each is slowed 2.5 times for 300 ms every 2 s.
func TestExperimentMixedLoad(t *testing.T) {
	var cut, inObjective [2]int
	requests := 0
	for s := range uint64(3) {
		results := MixedLoad(s+1, 3, 6, 1.3)
		for i, r := range results {
			t.Log(r)
			cut[i] += r.CutBegun
			inObjective[i] += r.InObjective[1]
			if float64(r.InObjective[0]) < 0.99*float64(r.Requests[0]) {
				t.Errorf("%s: %d of %d short requests in their objective", r.Scorer, r.InObjective[0], r.Requests[0])
			}
			if r.LongPauses > 0 {
				t.Errorf("%s: %d streams with a pause of over %v", r.Scorer, r.LongPauses, mixedKinds[1].pauseAtMost)
			}
		}
		requests += results[0].Requests[1]
	}
	if cut[1]*2 > cut[0] || cut[0] == 0 {
		t.Errorf("%d streams cut by their deadline, %d with the scorer by the first byte; want at most half", cut[1], cut[0])
	}
	if inObjective[0]-inObjective[1] > requests/100 {
		t.Errorf("%d of %d long requests in their objective, %d with the scorer by the first byte", inObjective[1], requests, inObjective[0])
	}
}

// TestNoHerdingOnSpeeds guards against all instances sending to the engine whose reported figures are the best.
func TestNoHerdingOnSpeeds(t *testing.T) {
	for _, gateways := range []int{3, 27, 68} {
		results := MixedLoad(seed, gateways, 12, 1)
		for _, r := range results {
			t.Log(gateways, r)
		}
		if first, whole := results[0].LargestShare, results[1].LargestShare; whole > 1.1*first {
			t.Errorf("%d instances: the engine with the most arrivals in 100 ms gets %.2f times the mean, %.2f with the scorer by the first byte", gateways, whole, first)
		}
	}
}
