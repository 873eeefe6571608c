package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/egrethoist/egrethoist/internal/kvcache/block"
	"github.com/egrethoist/egrethoist/internal/rapidtest"
	"github.com/egrethoist/egrethoist/internal/routing"
)

func TestMain(m *testing.M) { rapidtest.Main(m) }

func prompt(i, blocks int) []block.ID {
	text := make([]byte, 8*blocks)
	copy(text, fmt.Sprintf("%08d", i))
	return block.Chain(block.NewSeed("s", "v", "x"), text, 8)
}

func members(n int, domains ...string) []Member {
	m := make([]Member, n)
	for i := range m {
		m[i] = Member{Name: fmt.Sprintf("target-%02d", i), FailureDomain: domains[i%len(domains)]}
	}
	return m
}

func TestRankMovesOnlyWhatItMust(t *testing.T) {
	all := members(18, "a", "b", "c")
	g, without := NewGroup(all), NewGroup(all[:17])
	moved := 0
	count := map[int]int{}
	const prompts = 9000
	for i := range prompts {
		head, _ := Head(prompt(i, HeadBlocks))
		home, then := g.Rank(head, 2, nil), without.Rank(head, 1, nil)
		count[home[0]]++
		switch {
		case home[0] == 17 && then[0] != home[1]:
			t.Fatal("the second home doesn't take over")
		case home[0] == 17:
			moved++
		case home[0] != then[0]:
			t.Fatal("a prompt moved although its home stayed")
		}
	}
	mean := float64(prompts) / 18
	for at, n := range count {
		if math.Abs(float64(n)-mean) > 5*math.Sqrt(mean) {
			t.Errorf("member %d is home of %d prompts, mean %.0f", at, n, mean)
		}
	}
}

func TestRankByWeight(t *testing.T) {
	g := NewGroup([]Member{{Name: "small", Weight: 1}, {Name: "large", Weight: 3}})
	large := 0
	for i := range 4000 {
		head, _ := Head(prompt(i, HeadBlocks))
		if g.members[g.Rank(head, 1, nil)[0]].Name == "large" {
			large++
		}
	}
	if large < 2850 || large > 3150 {
		t.Errorf("the member of three quarters got %d of 4000", large)
	}
}

func TestCopiesLieInDifferentDomains(t *testing.T) {
	g := NewGroup(members(6, "a", "b"))
	for i := range 200 {
		head, _ := Head(prompt(i, HeadBlocks))
		c := g.Copies(head, 3, nil)
		if len(c) != 3 || g.members[c[0]].FailureDomain == g.members[c[1]].FailureDomain {
			t.Fatalf("copies %v", c)
		}
	}
}

func TestCoarseRoundsDownByAtMostAnEighth(t *testing.T) {
	for n := range 20000 {
		got := fine(coarse(n))
		if got > n || float64(got) < float64(n)*7/8 {
			t.Fatalf("%d blocks came back as %d", n, got)
		}
	}
}

func TestSummary(t *testing.T) {
	g := NewGroup(members(4, "a"))
	var heads []HeldPrompt
	for i := range 100 {
		head, _ := Head(prompt(i, HeadBlocks))
		heads = append(heads, HeldPrompt{head, i + HeadBlocks})
	}
	held := Exceptions(g, "target-00", heads)
	got, err := DecodeSummary(EncodeSummary(held))
	if err != nil || len(got) != len(held) {
		t.Fatalf("%d of %d came back: %v", len(got), len(held), err)
	}
	if len(held) < 60 || len(held) > 90 {
		t.Errorf("%d exceptions of 100 prompts with 4 targets", len(held))
	}
	for _, bad := range [][]byte{make([]byte, 4), make([]byte, MaxSummaryBytes+heldBytes)} {
		if _, err := DecodeSummary(bad); err == nil {
			t.Errorf("%d bytes were taken", len(bad))
		}
	}
}

func TestLookup(t *testing.T) {
	now := time.Unix(1e9, 0)
	chain := prompt(7, 20)
	head, _ := Head(chain)
	targets, stores := NewGroup(members(5, "a", "b")), NewGroup([]Member{{Name: "s0", FailureDomain: "a"}, {Name: "s1", FailureDomain: "b"}})
	v := NewView(targets, stores, NewRecent(100, now))
	l := v.Lookup(chain, nil)
	if len(l.Homes) != HomeCount || len(l.Stores) != 2 || len(l.Hints) != 0 || l.Home(l.Homes[1]) != 1 {
		t.Fatalf("%+v", l)
	}
	away := l.Homes[2]
	summary := map[string][]Held{away: {{Fingerprint(head), 12}}}
	v2 := v.WithSummaries(summary)
	if l = v2.Lookup(chain, nil); l.BlocksAt(away) != 12 {
		t.Errorf("summary gives %d blocks", l.BlocksAt(away))
	}
	v.Sent(&l, l.Homes[0], now)
	if l = v2.Lookup(chain, nil); l.BlocksAt(l.Homes[0]) != 20 {
		t.Errorf("recent request gives %d blocks", l.BlocksAt(l.Homes[0]))
	}
	l = v2.Lookup(chain, func(name string) bool { return name != away })
	if l.BlocksAt(away) != 0 || l.Home(away) != -1 {
		t.Errorf("a target that takes no work is in %+v", l)
	}
	if l = v2.WithGroups(NewGroup(members(4, "a")), stores).Lookup(chain, nil); len(l.Homes) != HomeCount {
		t.Errorf("after a change of targets: %+v", l)
	}
	if l = v.Lookup(chain[:HeadBlocks-1], nil); l.HasKey || len(l.Homes) != 0 {
		t.Errorf("a short prompt has a home: %+v", l)
	}
}

// TestEntriesAgreeOnHome picks for a prompt of which nothing is known, at entries that differ in distance, in the
// random sample and in which target's load report is missing. All must choose the home, since the next request may
// reach any of them before caches or stores have been heard of.
func TestEntriesAgreeOnHome(t *testing.T) {
	all := members(18, "a", "b", "c")
	view := NewView(NewGroup(all), NewGroup([]Member{{Name: "store", Weight: 1}}), nil)
	const blockTokens = 1024
	opts := PrefixOptions{BlockTokens: blockTokens, PerBlock: time.Millisecond, Wait: time.Millisecond}
	router := routing.New(routing.Options{})
	now := time.Unix(1_800_000_000, 0)
	for i := range 200 {
		chain := prompt(i, 8)
		lookup := view.Lookup(chain, nil)
		req := &routing.Request{PromptTokens: len(chain) * blockTokens, Prefix: NewPrefix(lookup, opts)}
		for at, domain := range []string{"a", "b", "c"} {
			unreported := ""
			if at == 0 {
				unreported = lookup.Homes[0]
			}
			snap := routing.NewSnapshot("s", 2, candidates(all, domain, unreported, now), nil)
			choice, err := router.Pick(req, snap, rand.New(rand.NewPCG(uint64(i), uint64(at))), now)
			if err != nil {
				t.Fatal(err)
			}
			if got := choice.Best().Candidate.Target; got != lookup.Homes[0] {
				t.Fatalf("prompt %d, entry in %s: sent to %s, home is %s: %+v", i, domain, got, lookup.Homes[0], choice.Ranked())
			}
		}
	}
}

// candidates are idle targets as an entry in the domain sees them; one has not reported its load.
func candidates(all []Member, domain, unreported string, now time.Time) []routing.Candidate {
	list := make([]routing.Candidate, len(all))
	for i, m := range all {
		stats := new(routing.Stats)
		if m.Name != unreported {
			stats.Report(routing.Load{Incarnation: 1, Sequence: 1, Limit: 16, ReceivedAt: now})
		}
		list[i] = routing.Candidate{
			Target: m.Name, FailureDomain: m.FailureDomain, Phase: routing.PhaseWarm, LinkAlive: true,
			OneWayDelay: time.Millisecond, Stats: stats,
		}
		if m.FailureDomain == domain {
			list[i].OneWayDelay = 100 * time.Microsecond
		}
	}
	return list
}

func TestRecentKeepsTheLatest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1e9, 0)
		r := NewRecent(8, now)
		last := map[int]int{}
		for i := range rapid.IntRange(1, 60).Draw(t, "puts") {
			p := rapid.IntRange(0, 20).Draw(t, "prompt")
			head, _ := Head(prompt(p, HeadBlocks))
			now = now.Add(time.Duration(rapid.IntRange(0, 600).Draw(t, "wait")) * time.Second)
			r.Put(head, i, i+1, now)
			last[p] = i
			if target, blocks, ok := r.Get(head); !ok || target != i || blocks != fine(coarse(i+1)) {
				t.Fatalf("put %d, got %d, %d blocks, %v", i, target, blocks, ok)
			}
			for q, want := range last {
				h, _ := Head(prompt(q, HeadBlocks))
				if target, _, ok := r.Get(h); ok && target != want {
					t.Fatalf("prompt %d is at %d, table says %d", q, want, target)
				}
			}
		}
	})
}

func BenchmarkLookup(b *testing.B) {
	v := NewView(NewGroup(members(356, "a", "b", "c")), NewGroup(members(17, "a", "b")), NewRecent(1<<16, time.Unix(0, 0)))
	chain := prompt(1, 60)
	for b.Loop() {
		v.Lookup(chain, nil)
	}
}
