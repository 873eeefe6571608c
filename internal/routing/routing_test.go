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

// prefixes is a PrefixIndex of fixed answers.
type prefixes struct {
	holdings []Holding
	tokens   int
	transfer time.Duration
	miss     float64
}

func (p *prefixes) Holdings() []Holding { return p.holdings }
func (p *prefixes) Fetch(string) Fetch {
	return Fetch{Tokens: p.tokens, Transfer: p.transfer, Miss: p.miss}
}

func rng() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// warm returns n live, warm, idle candidates over three failure domains.
func warm(n int) []Candidate {
	list := make([]Candidate, n)
	for i := range list {
		s := new(Stats)
		s.Report(Load{Incarnation: 1, Sequence: 1, Limit: 16, At: epoch})
		list[i] = Candidate{
			Target: fmt.Sprintf("t%04d", i), FailureDomain: fmt.Sprintf("d%d", i%3), Phase: PhaseWarm,
			LinkAlive: true, Versions: []string{"v1"}, Distance: time.Millisecond, Stats: s,
		}
	}
	return list
}

// naive is the obviously correct version: look at every candidate, drop what must not be given the request, and
// return the lowest cost among the rest.
func naive(req *Request, list []Candidate, now time.Time) (best time.Duration, eligible map[string]bool) {
	eligible = map[string]bool{}
	scorer := NewTimeScorer(ScorerOptions{})
	for i := range list {
		c := &list[i]
		if !naiveEligible(req, c, now) {
			continue
		}
		cost := scorer.Score(req, c, held(req, c.Target), Pool{ColdLimit: 1}, now).Cost.Total()
		if len(eligible) == 0 || cost < best {
			best = cost
		}
		eligible[c.Target] = true
	}
	return best, eligible
}

func naiveEligible(req *Request, c *Candidate, now time.Time) bool {
	if c.Out || !c.LinkAlive || c.Phase == PhaseLeaving || c.Phase == PhaseDown {
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
		Phase: Phase(rapid.IntRange(0, int(PhaseDown)).Draw(t, "phase")), Out: rapid.IntRange(0, 5).Draw(t, "out") == 0,
		LinkAlive: rapid.IntRange(0, 5).Draw(t, "link") > 0, Stats: new(Stats),
		Versions: rapid.SampledFrom([][]string{{"v1"}, {"v2"}, {"v1", "v2"}}).Draw(t, "versions"),
		Distance: time.Duration(rapid.IntRange(0, 5).Draw(t, "distance")) * time.Millisecond,
	}
	if rapid.IntRange(0, 4).Draw(t, "reported") > 0 {
		c.Stats.Report(Load{
			Sequence: 1, Limit: rapid.IntRange(1, 4).Draw(t, "limit"), InFlight: rapid.IntRange(0, 4).Draw(t, "in flight"),
			Queued: rapid.IntRange(0, 2).Draw(t, "queued"), At: epoch,
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

// TestPickAgainstFullScan compares the router with the naive scan: it never picks what the scan excludes, finds
// something exactly if the scan does, and with a sample of all candidates finds the cheapest.
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
			Prefix:       &prefixes{holdings: []Holding{{"t03", 3000}, {"t05", 1000}}, tokens: 2000, transfer: 30 * time.Millisecond},
		}
		snap := NewSnapshot("s", 1, list, nil)
		best, eligible := naive(req, snap.Candidates(), epoch)
		for _, samples := range []int{2, 100} {
			snap := NewSnapshot("s", 1, list, nil)
			choice, err := New(Options{Samples: samples}).Pick(req, snap, rng(), epoch)
			var none *NoTargetError
			if errors.As(err, &none) != (len(eligible) == 0) {
				t.Fatalf("%d eligible, err %v", len(eligible), err)
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
				t.Fatalf("full sample costs %v, cheapest %v", got, best)
			}
		}
	})
}

func TestAvoidedDomainIsLastResort(t *testing.T) {
	list := warm(300)
	req, random := &Request{AvoidDomains: []string{"d0", "d1"}}, rng()
	for range 200 {
		choice, err := New(Options{}).Pick(req, NewSnapshot("s", 1, list, nil), random, epoch)
		if err != nil || choice.Best().Candidate.FailureDomain != "d2" {
			t.Fatalf("picked %v, err %v", choice.Best().Candidate, err)
		}
	}
	for i := range list {
		list[i].Out = list[i].FailureDomain == "d2"
	}
	if _, err := New(Options{}).Pick(req, NewSnapshot("s", 1, list, nil), rng(), epoch); err != nil {
		t.Errorf("avoided domains are refused: %v", err)
	}
}

func TestNamedTargetAndIncarnation(t *testing.T) {
	snap := NewSnapshot("s", 1, warm(10), nil)
	r := New(Options{})
	choice, err := r.Pick(&Request{Target: "t0004", Incarnation: 1}, snap, rng(), epoch)
	if err != nil || choice.Best().Candidate.Target != "t0004" {
		t.Fatalf("picked %v, err %v", choice.Best().Candidate, err)
	}
	var none *NoTargetError
	_, err = r.Pick(&Request{Target: "t0004", Incarnation: 2}, snap, rng(), epoch)
	if !errors.As(err, &none) || none.Count(CauseIncarnation) != 1 {
		t.Errorf("another incarnation: %v", err)
	}
}

// TestOneReportIsNotActedOnTwice: as the cold targets' own counts rise, picks stop at what each bears.
func TestOneReportIsNotActedOnTwice(t *testing.T) {
	list := warm(4)
	for i := range list {
		list[i].Phase = PhaseRamping
		list[i].Stats.Report(Load{Incarnation: 1, Sequence: 2, Limit: 2, InFlight: 1, At: epoch})
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
		t.Errorf("all full, got %v", err)
	}
	for i := range list {
		if n := list[i].Stats.InFlight(); n != 1 {
			t.Errorf("%s was given %d", list[i].Target, n)
		}
	}
}

// TestOldReportsLoseWeight: an idle report that is older than the work it saw counts like an average target.
func TestOldReportsLoseWeight(t *testing.T) {
	c := &warm(1)[0]
	scorer, pool := NewTimeScorer(ScorerOptions{MeanRun: time.Second, FreshFor: time.Hour}), Pool{ColdLimit: 1, Utilization: 0.8}
	at := func(age time.Duration) time.Duration {
		return scorer.Score(&Request{}, c, 0, pool, epoch.Add(age)).Cost.Queue
	}
	if fresh, old := at(0), at(time.Minute); fresh != 0 || old < 150*time.Millisecond {
		t.Errorf("queue cost %v when fresh, %v after a minute", fresh, old)
	}
}

func TestReportsKeepTheirOrder(t *testing.T) {
	s := new(Stats)
	for _, c := range []struct {
		incarnation, sequence uint64
		taken                 bool
	}{{5, 3, true}, {5, 3, false}, {5, 2, false}, {4, 9, false}, {6, 1, true}, {5, 4, false}} {
		if got := s.Report(Load{Incarnation: c.incarnation, Sequence: c.sequence}); got != c.taken {
			t.Errorf("report %d/%d taken: %t", c.incarnation, c.sequence, got)
		}
	}
}

func TestSnapshotCarriesStats(t *testing.T) {
	old := NewSnapshot("s", 1, warm(3), nil)
	old.Candidate("t0001").Stats.Start()
	list := warm(3)
	for i := range list {
		list[i].Stats = nil
	}
	next := NewSnapshot("s", 1, list, old)
	if next.Candidate("t0001").Stats.InFlight() != 1 {
		t.Error("own attempts in flight were forgotten")
	}
	out := next.With("t0001", func(c *Candidate) { c.Out = true })
	if next.Candidate("t0001").Out || !out.Candidate("t0001").Out {
		t.Error("With changed the old snapshot or not the new one")
	}
}

// TestDrawVersion: new requests follow the eligible targets while a swap rolls.
func TestDrawVersion(t *testing.T) {
	list := warm(10)
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
		t.Errorf("3 of 9 eligible targets offer v2, none v3; drawn %v", drawn)
	}
	if v := NewSnapshot("s", 1, nil, nil).DrawVersion(random, "v1"); v != "v1" {
		t.Errorf("without targets: %s", v)
	}
}

func TestPickDoesNotAllocate(t *testing.T) {
	snap, r, random := NewSnapshot("s", 1, warm(100), nil), New(Options{}), rng()
	req := &Request{Version: "v1", PromptTokens: 4000, Prefix: &prefixes{holdings: []Holding{{"t0007", 2000}}}}
	if n := testing.AllocsPerRun(100, func() { r.Pick(req, snap, random, epoch) }); n != 0 {
		t.Errorf("%v allocations per pick", n)
	}
}

// BenchmarkPickNone is the cost of finding that no target is eligible.
func BenchmarkPickNone(b *testing.B) {
	list := warm(3200)
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
		snap, random := NewSnapshot("s", 1, warm(n), nil), rng()
		req := &Request{Version: "v1", PromptTokens: 4000, Prefix: &prefixes{holdings: []Holding{{"t0003", 2000}, {"t0005", 1000}}}}
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

// Targets that declined requests are left out; one that leaves may be the last resort for a while, one that pauses may not.
func TestDecliningTargets(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	for _, c := range []struct {
		name       string
		say        func(*Stats)
		at         time.Duration
		lastResort bool
		want       Cause
	}{
		{"leaving", func(s *Stats) { s.Leave(now.Add(time.Second)) }, 0, false, CauseLeaving},
		{"leaving, last resort", func(s *Stats) { s.Leave(now.Add(time.Second)) }, 0, true, CauseNone},
		{"leaving, bound over", func(s *Stats) { s.Leave(now.Add(time.Second)) }, time.Second, true, CauseLeaving},
		{"leaving, said again", func(s *Stats) { s.Leave(now.Add(time.Second)); s.Leave(now.Add(time.Minute)) }, time.Second, true, CauseLeaving},
		{"pause", func(s *Stats) { s.Pause(now.Add(time.Second)) }, 0, true, CausePaused},
		{"pause over", func(s *Stats) { s.Pause(now.Add(time.Second)) }, time.Second, false, CauseNone},
		{"pause of a leaving target", func(s *Stats) { s.Leave(now.Add(time.Second)); s.Pause(now.Add(time.Second)) }, 0, true, CausePaused},
	} {
		cand := Candidate{Target: "t", Phase: PhaseWarm, LinkAlive: true, Stats: new(Stats)}
		cand.Stats.Report(Load{Limit: 1})
		c.say(cand.Stats)
		req := &Request{LastResort: c.lastResort}
		got, wait := DefaultFilters().Check(req, &cand, 1, now.Add(c.at))
		if got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
		if got == CausePaused && wait != time.Second {
			t.Errorf("%s: wait %v, want the rest of the pause", c.name, wait)
		}
		if declines := cand.Stats.Declines(c.lastResort, now.Add(c.at)); declines != (c.want != CauseNone) {
			t.Errorf("%s: declines %v at the check before the send", c.name, declines)
		}
	}
}

// Pattern: long, less urgent prompts fill the memory of the targets, and short urgent requests come. The targets put the less
// urgent ones back, so what these hold is no wait for the urgent ones; it is for those that are as urgent.
func TestMemoryHeldByLessUrgentRequestsIsNoWait(t *testing.T) {
	const memory = 60_000
	now := time.Unix(1_800_000_000, 0)
	stats := new(Stats)
	stats.Report(Load{Limit: 64})
	stats.Holding(2, 2*memory)
	stats.SetOthers(&Others{Held: [Urgencies]int{2: memory}, Scale: 1})
	cand := Candidate{Target: "t", Phase: PhaseWarm, LinkAlive: true, Stats: stats, Memory: memory}
	queue := func(urgency int) time.Duration {
		req := &Request{PromptTokens: 2000, Urgency: urgency, PrefillRate: 1_000_000}
		return NewTimeScorer(ScorerOptions{}).Score(req, &cand, 0, Pool{ColdLimit: 1}, now).Cost.Queue
	}
	if urgent := queue(0); urgent > 100*time.Millisecond {
		t.Errorf("an urgent request is expected to wait %v for memory that it displaces", urgent)
	}
	if same := queue(2); same < time.Second {
		t.Errorf("a request of the same urgency is expected to wait %v with memory three times taken", same)
	}
	if got := stats.Held(1); got != 0 {
		t.Errorf("%d tokens counted that a more urgent request displaces", got)
	}
	if got := stats.Held(2); got != 3*memory {
		t.Errorf("%d tokens counted, want %d", got, 3*memory)
	}
}
