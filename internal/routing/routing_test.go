package routing

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/egrethoist/egrethoist/internal/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m) }

var epoch = time.Unix(1_800_000_000, 0)

// fakePrefixIndex is a PrefixIndex with fixed results.
type fakePrefixIndex struct {
	cached          []CachedPrefix
	tokens          int
	transfer        time.Duration
	missProbability float64
}

func (p *fakePrefixIndex) CachedPrefixes() []CachedPrefix { return p.cached }
func (p *fakePrefixIndex) EstimateFetch(string) FetchEstimate {
	return FetchEstimate{Tokens: p.tokens, Transfer: p.transfer, MissProbability: p.missProbability}
}

func rng() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// warmCandidates returns n live, warm, idle candidates over three failure domains.
func warmCandidates(n int) []Candidate {
	list := make([]Candidate, n)
	for i := range list {
		s := new(Stats)
		s.Report(Load{Incarnation: 1, Sequence: 1, Limit: 16, ReceivedAt: epoch})
		list[i] = Candidate{
			Target: fmt.Sprintf("t%04d", i), FailureDomain: fmt.Sprintf("d%d", i%3), Phase: PhaseWarm,
			LinkAlive: true, Versions: []string{"v1"}, OneWayDelay: time.Millisecond, Stats: s,
		}
	}
	return list
}

// fullScan is the reference implementation of a pick: it examines every candidate and returns the eligible ones and
// the lowest cost among them.
func fullScan(req *Request, list []Candidate, now time.Time) (best time.Duration, eligible map[string]bool) {
	eligible = map[string]bool{}
	scorer := NewTimeScorer(ScorerOptions{})
	for i := range list {
		c := &list[i]
		if !fullScanEligible(req, c, now) {
			continue
		}
		cost := scorer.Score(req, c, cachedTokensAt(req, c.Target), PoolStats{ColdLimit: 1}, now).Cost.Total()
		if len(eligible) == 0 || cost < best {
			best = cost
		}
		eligible[c.Target] = true
	}
	return best, eligible
}

func fullScanEligible(req *Request, c *Candidate, now time.Time) bool {
	if c.Disabled || !c.LinkAlive || c.Phase == PhaseLeaving || c.Phase == PhaseDown {
		return false
	}
	if req.Version != "" {
		serves := false
		for _, v := range c.Versions {
			serves = serves || v == req.Version
		}
		if !serves {
			return false
		}
	}
	for _, tried := range req.Tried {
		if tried == c.Target {
			return false
		}
	}
	if c.Stats.backoffUntil.Load() > now.UnixNano() {
		return false
	}
	r := c.Stats.load.Load()
	if r == nil {
		return c.Stats.InFlight() < 1
	}
	return c.Phase == PhaseWarm || max(r.InFlight+r.Queued+c.Stats.InFlight(), c.Stats.InFlight()) < r.Limit
}

func drawCandidate(t *rapid.T, i int) Candidate {
	c := Candidate{
		Target: fmt.Sprintf("t%02d", i), FailureDomain: rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "domain"),
		Phase: Phase(rapid.IntRange(0, int(PhaseDown)).Draw(t, "phase")), Disabled: rapid.IntRange(0, 5).Draw(t, "out") == 0,
		LinkAlive: rapid.IntRange(0, 5).Draw(t, "link") > 0, Stats: new(Stats),
		Versions:    rapid.SampledFrom([][]string{{"v1"}, {"v2"}, {"v1", "v2"}}).Draw(t, "versions"),
		OneWayDelay: time.Duration(rapid.IntRange(0, 5).Draw(t, "distance")) * time.Millisecond,
	}
	if rapid.IntRange(0, 4).Draw(t, "reported") > 0 {
		c.Stats.Report(Load{
			Sequence: 1, Limit: rapid.IntRange(1, 4).Draw(t, "limit"), InFlight: rapid.IntRange(0, 4).Draw(t, "in flight"),
			Queued: rapid.IntRange(0, 2).Draw(t, "queued"), ReceivedAt: epoch,
			QueueWait: time.Duration(rapid.IntRange(0, 50).Draw(t, "wait")) * time.Millisecond,
		})
	}
	for range rapid.IntRange(0, 3).Draw(t, "own") {
		c.Stats.Start()
	}
	if rapid.IntRange(0, 5).Draw(t, "backoff") == 0 {
		c.Stats.Backoff(epoch.Add(time.Second))
	}
	return c
}

// TestPickAgainstFullScan compares the router with fullScan: it never picks a candidate that the scan excludes, finds a
// candidate exactly if the scan does, and finds the cheapest one if it samples all candidates.
func TestPickAgainstFullScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var list []Candidate
		for i := range rapid.IntRange(0, 12).Draw(t, "n") {
			list = append(list, drawCandidate(t, i))
		}
		req := &Request{
			Version:      rapid.SampledFrom([]string{"", "v1", "v2", "v3"}).Draw(t, "version"),
			PromptTokens: 4000,
			Tried:        rapid.SliceOfN(rapid.SampledFrom([]string{"t00", "t01", "t02"}), 0, 2).Draw(t, "tried"),
			AvoidDomains: rapid.SliceOfN(rapid.SampledFrom([]string{"x", "y"}), 0, 1).Draw(t, "avoid"),
			Prefix:       &fakePrefixIndex{cached: []CachedPrefix{{"t03", 3000}, {"t05", 1000}}, tokens: 2000, transfer: 30 * time.Millisecond},
		}
		snap := NewSnapshot("s", 1, list, nil)
		best, eligible := fullScan(req, snap.Candidates(), epoch)
		for _, samples := range []int{2, 100} {
			snap := NewSnapshot("s", 1, list, nil)
			choice, err := New(Options{Samples: samples}).Pick(req, snap, rng(), epoch)
			var none *NoTargetError
			if errors.As(err, &none) != (len(eligible) == 0) {
				t.Fatalf("%d eligible candidates, err %v", len(eligible), err)
			}
			if err != nil {
				total := 0
				for _, n := range none.Counts {
					total += n
				}
				if total != len(list) || none.Count(CauseNone) != 0 {
					t.Fatalf("causes %v for %d candidates", none.Counts, len(list))
				}
				continue
			}
			for _, s := range choice.Ranked() {
				if !eligible[s.Candidate.Target] {
					t.Fatalf("picked %s, which is not eligible", s.Candidate.Target)
				}
			}
			if got := choice.Best().Cost.Total(); samples == 100 && got != best {
				t.Fatalf("cost %v with all candidates sampled, lowest cost %v", got, best)
			}
		}
	})
}

// A target in a failure domain to avoid must be picked only if no other target is eligible, and then without an
// error.
func TestAvoidedDomainIsLastResort(t *testing.T) {
	list := warmCandidates(300)
	req, random := &Request{AvoidDomains: []string{"d0", "d1"}}, rng()
	for range 200 {
		choice, err := New(Options{}).Pick(req, NewSnapshot("s", 1, list, nil), random, epoch)
		if err != nil || choice.Best().Candidate.FailureDomain != "d2" {
			t.Fatalf("picked %v, err %v", choice.Best().Candidate, err)
		}
	}
	for i := range list {
		list[i].Disabled = list[i].FailureDomain == "d2"
	}
	if _, err := New(Options{}).Pick(req, NewSnapshot("s", 1, list, nil), rng(), epoch); err != nil {
		t.Errorf("no target although the avoided domains have eligible ones: %v", err)
	}
}

// A request for one incarnation of a target must go there or fail with CauseIncarnation if another one has reported.
func TestNamedTargetAndIncarnation(t *testing.T) {
	snap := NewSnapshot("s", 1, warmCandidates(10), nil)
	r := New(Options{})
	choice, err := r.Pick(&Request{Target: "t0004", Incarnation: 1}, snap, rng(), epoch)
	if err != nil || choice.Best().Candidate.Target != "t0004" {
		t.Fatalf("picked %v, err %v", choice.Best().Candidate, err)
	}
	var none *NoTargetError
	_, err = r.Pick(&Request{Target: "t0004", Incarnation: 2}, snap, rng(), epoch)
	if !errors.As(err, &none) || none.Count(CauseIncarnation) != 1 {
		t.Errorf("pick with another incarnation: %v, want one candidate excluded for it", err)
	}
}

// Guards against overloading cold targets between two load reports: requests sent since the last report must count, so
// that picks stop at each target's limit.
func TestRequestsSentSinceReportCount(t *testing.T) {
	list := warmCandidates(4)
	for i := range list {
		list[i].Phase = PhaseRamping
		list[i].Stats.Report(Load{Incarnation: 1, Sequence: 2, Limit: 2, InFlight: 1, ReceivedAt: epoch})
	}
	snap := NewSnapshot("s", 1, list, nil)
	r, random := New(Options{}), rng()
	for n := range len(list) {
		choice, err := r.Pick(&Request{}, snap, random, epoch)
		if err != nil {
			t.Fatalf("pick %d: %v", n, err)
		}
		choice.Best().Candidate.Stats.Start()
	}
	_, err := r.Pick(&Request{}, snap, random, epoch)
	var none *NoTargetError
	if !errors.As(err, &none) || none.Count(CauseCold) != 4 {
		t.Errorf("pick with all targets at their limit: %v, want 4 excluded as cold", err)
	}
	for i := range list {
		if n := list[i].Stats.InFlight(); n != 1 {
			t.Errorf("%s has %d requests in flight, want 1", list[i].Target, n)
		}
	}
}

// Guards against old reports of idle targets attracting requests: once a report is older than the requests it counted,
// the target is scored with the average utilization.
func TestStaleReportsLoseWeight(t *testing.T) {
	c := &warmCandidates(1)[0]
	scorer, pool := NewTimeScorer(ScorerOptions{MeanRun: time.Second, FreshFor: time.Hour}), PoolStats{ColdLimit: 1, Utilization: 0.8}
	queueCost := func(age time.Duration) time.Duration {
		return scorer.Score(&Request{}, c, 0, pool, epoch.Add(age)).Cost.Queue
	}
	if fresh, old := queueCost(0), queueCost(time.Minute); fresh != 0 || old < 150*time.Millisecond {
		t.Errorf("queue cost %v with a fresh report, %v after a minute, want 0 and at least 150ms", fresh, old)
	}
}

// Guards against late reports of the same or an earlier incarnation replacing newer ones.
func TestOutOfOrderReportsAreDropped(t *testing.T) {
	s := new(Stats)
	for _, c := range []struct {
		incarnation, sequence uint64
		taken                 bool
	}{{5, 3, true}, {5, 3, false}, {5, 2, false}, {4, 9, false}, {6, 1, true}, {5, 4, false}} {
		if got := s.Report(Load{Incarnation: c.incarnation, Sequence: c.sequence}); got != c.taken {
			t.Errorf("report %d/%d accepted: %t", c.incarnation, c.sequence, got)
		}
	}
}

// Guards against losing the attempts in flight when a snapshot is replaced, and against changes of a snapshot in use.
func TestNewSnapshotKeepsStats(t *testing.T) {
	old := NewSnapshot("s", 1, warmCandidates(3), nil)
	old.Candidate("t0001").Stats.Start()
	list := warmCandidates(3)
	for i := range list {
		list[i].Stats = nil
	}
	next := NewSnapshot("s", 1, list, old)
	if next.Candidate("t0001").Stats.InFlight() != 1 {
		t.Error("the new snapshot lost the attempts in flight")
	}
	out := next.WithCandidate("t0001", func(c *Candidate) { c.Disabled = true })
	if next.Candidate("t0001").Disabled || !out.Candidate("t0001").Disabled {
		t.Error("WithCandidate changed the old snapshot or did not change the new one")
	}
}

// During a rolling update of weights, new requests must be spread over the versions in proportion to the available
// targets that serve them.
func TestDrawVersion(t *testing.T) {
	list := warmCandidates(10)
	for i := range list[:3] {
		list[i].Versions = []string{"v2"}
	}
	list[3].Versions, list[3].LinkAlive = []string{"v3"}, false
	snap, random, drawn := NewSnapshot("s", 1, list, nil), rng(), map[string]int{}
	const draws = 9000
	for range draws {
		drawn[snap.DrawVersion(random, "v1")]++
	}
	if drawn["v3"] != 0 || drawn["v2"] < draws/4 || drawn["v2"] > draws*5/12 {
		t.Errorf("3 of 9 available targets serve v2, none v3; drawn %v", drawn)
	}
	if v := NewSnapshot("s", 1, nil, nil).DrawVersion(random, "v1"); v != "v1" {
		t.Errorf("version without targets: %s, want v1", v)
	}
}

// A pick is on the path of every request and must not allocate memory.
func TestPickDoesNotAllocate(t *testing.T) {
	snap, r, random := NewSnapshot("s", 1, warmCandidates(100), nil), New(Options{}), rng()
	req := &Request{Version: "v1", PromptTokens: 4000, Prefix: &fakePrefixIndex{cached: []CachedPrefix{{"t0007", 2000}}}}
	if n := testing.AllocsPerRun(100, func() { r.Pick(req, snap, random, epoch) }); n != 0 {
		t.Errorf("%v allocations per pick", n)
	}
}

// BenchmarkPickNone measures a pick that finds no eligible target.
func BenchmarkPickNone(b *testing.B) {
	list := warmCandidates(3200)
	for i := range list {
		list[i].Stats.Backoff(epoch.Add(time.Second))
	}
	snap, random, r := NewSnapshot("s", 1, list, nil), rng(), New(Options{})
	for b.Loop() {
		if _, err := r.Pick(&Request{Version: "v1"}, snap, random, epoch); err == nil {
			b.Fatal("picked a target in backoff")
		}
	}
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 3200} {
		snap, random := NewSnapshot("s", 1, warmCandidates(n), nil), rng()
		req := &Request{Version: "v1", PromptTokens: 4000, Prefix: &fakePrefixIndex{cached: []CachedPrefix{{"t0003", 2000}, {"t0005", 1000}}}}
		for _, samples := range []int{0, n + 1} {
			name := fmt.Sprintf("targets=%d/sampled", n)
			if samples > 0 {
				name = fmt.Sprintf("targets=%d/all", n)
			}
			b.Run(name, func(b *testing.B) {
				r := New(Options{Samples: samples})
				b.ReportAllocs()
				for b.Loop() {
					if _, err := r.Pick(req, snap, random, epoch); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}

// Paused and leaving targets are excluded, both when picking and in the check before sending. A leaving target may serve
// as the last resort until its deadline, a paused one may not.
func TestPausedAndLeavingTargets(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	for _, c := range []struct {
		name       string
		setup      func(*Stats)
		at         time.Duration
		lastResort bool
		want       Cause
	}{
		{"leaving", func(s *Stats) { s.MarkLeaving(now.Add(time.Second)) }, 0, false, CauseLeaving},
		{"leaving, last resort", func(s *Stats) { s.MarkLeaving(now.Add(time.Second)) }, 0, true, CauseNone},
		{"leaving, last resort over", func(s *Stats) { s.MarkLeaving(now.Add(time.Second)) }, time.Second, true, CauseLeaving},
		{"leaving, announced again", func(s *Stats) { s.MarkLeaving(now.Add(time.Second)); s.MarkLeaving(now.Add(time.Minute)) }, time.Second, true, CauseLeaving},
		{"pause", func(s *Stats) { s.Pause(now.Add(time.Second)) }, 0, true, CausePaused},
		{"pause over", func(s *Stats) { s.Pause(now.Add(time.Second)) }, time.Second, false, CauseNone},
		{"pause of a leaving target", func(s *Stats) { s.MarkLeaving(now.Add(time.Second)); s.Pause(now.Add(time.Second)) }, 0, true, CausePaused},
	} {
		cand := Candidate{Target: "t", Phase: PhaseWarm, LinkAlive: true, Stats: new(Stats)}
		cand.Stats.Report(Load{Limit: 1})
		c.setup(cand.Stats)
		req := &Request{LastResort: c.lastResort}
		got, wait := DefaultFilters().Check(req, &cand, 1, now.Add(c.at))
		if got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
		if got == CausePaused && wait != time.Second {
			t.Errorf("%s: wait %v, want the remaining pause", c.name, wait)
		}
		if blocked := cand.Stats.Blocked(c.lastResort, now.Add(c.at)); blocked != (c.want != CauseNone) {
			t.Errorf("%s: blocked %v in the check before sending", c.name, blocked)
		}
	}
}

// Guards against refusing urgent requests while long, less urgent prompts fill the targets' cache memory. The targets
// preempt less urgent requests, so the memory of these delays only requests of the same urgency.
func TestLessUrgentRequestsDoNotDelayUrgentOnes(t *testing.T) {
	const memory = 60_000
	now := time.Unix(1_800_000_000, 0)
	stats := new(Stats)
	stats.Report(Load{Limit: 64})
	stats.AddHeldTokens(2, 2*memory)
	stats.SetPeerLoad(&PeerLoad{HeldTokens: [UrgencyLevels]int{2: memory}, Scale: 1})
	cand := Candidate{Target: "t", Phase: PhaseWarm, LinkAlive: true, Stats: stats, CacheCapacity: memory}
	queueCost := func(urgency int) time.Duration {
		req := &Request{PromptTokens: 2000, Urgency: urgency, PrefillRate: 1_000_000}
		return NewTimeScorer(ScorerOptions{}).Score(req, &cand, 0, PoolStats{ColdLimit: 1}, now).Cost.Queue
	}
	if urgent := queueCost(0); urgent > 100*time.Millisecond {
		t.Errorf("an urgent request has a queue cost of %v for memory of requests that it preempts", urgent)
	}
	if same := queueCost(2); same < time.Second {
		t.Errorf("a request of the same urgency has a queue cost of %v with three times the cache memory in use", same)
	}
	if got := stats.HeldTokens(1); got != 0 {
		t.Errorf("%d tokens counted of requests that a more urgent one preempts", got)
	}
	if got := stats.HeldTokens(2); got != 3*memory {
		t.Errorf("%d tokens counted, want %d", got, 3*memory)
	}
}
