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

func promptChain(i, blocks int) []block.ID {
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

// Guards against reshuffling of prompts when a member leaves, and against an uneven spread over members.
func TestRankMovesOnlyPromptsOfRemovedMember(t *testing.T) {
	all := members(18, "a", "b", "c")
	g, without := NewGroup(all), NewGroup(all[:17])
	moved := 0
	count := map[int]int{}
	const prompts = 9000
	for i := range prompts {
		head, _ := Head(promptChain(i, HeadBlocks))
		ranked, rankedWithout := g.Rank(head, 2, nil), without.Rank(head, 1, nil)
		count[ranked[0]]++
		switch {
		case ranked[0] == 17 && rankedWithout[0] != ranked[1]:
			t.Fatal("the second in rank does not take over from the removed owner")
		case ranked[0] == 17:
			moved++
		case ranked[0] != rankedWithout[0]:
			t.Fatal("a prompt moved although its owner stayed")
		}
	}
	mean := float64(prompts) / 18
	for at, n := range count {
		if math.Abs(float64(n)-mean) > 5*math.Sqrt(mean) {
			t.Errorf("member %d owns %d prompts, mean %.0f", at, n, mean)
		}
	}
}

// Guards against ranking that ignores weights.
func TestRankByWeight(t *testing.T) {
	g := NewGroup([]Member{{Name: "small", Weight: 1}, {Name: "large", Weight: 3}})
	large := 0
	for i := range 4000 {
		head, _ := Head(promptChain(i, HeadBlocks))
		if g.members[g.Rank(head, 1, nil)[0]].Name == "large" {
			large++
		}
	}
	if large < 2850 || large > 3150 {
		t.Errorf("the member with three quarters of the weight got %d of 4000 prompts", large)
	}
}

// Guards against losing the first two copies of a prompt with one failure domain.
func TestReplicasSpanFailureDomains(t *testing.T) {
	g := NewGroup(members(6, "a", "b"))
	for i := range 200 {
		head, _ := Head(promptChain(i, HeadBlocks))
		c := g.RankReplicas(head, 3, nil)
		if len(c) != 3 || g.members[c[0]].FailureDomain == g.members[c[1]].FailureDomain {
			t.Fatalf("replicas %v, want three in at least two failure domains", c)
		}
	}
}

// Guards against summaries that report more blocks than a target holds, or far fewer.
func TestQuantizationErrorIsAtMostAnEighth(t *testing.T) {
	for n := range 20000 {
		got := dequantizeBlocks(quantizeBlocks(n))
		if got > n || float64(got) < float64(n)*7/8 {
			t.Fatalf("%d blocks decoded as %d", n, got)
		}
	}
}

// Guards against summaries that list owned prompts or lose entries, and against accepting malformed ones.
func TestSummary(t *testing.T) {
	g := NewGroup(members(4, "a"))
	var prompts []CachedPrompt
	for i := range 100 {
		head, _ := Head(promptChain(i, HeadBlocks))
		prompts = append(prompts, CachedPrompt{head, i + HeadBlocks})
	}
	entries := NonOwnedPrompts(g, "target-00", prompts)
	got, err := DecodeSummary(EncodeSummary(entries))
	if err != nil || len(got) != len(entries) {
		t.Fatalf("decoded %d of %d entries: %v", len(got), len(entries), err)
	}
	if len(entries) < 60 || len(entries) > 90 {
		t.Errorf("%d of 100 prompts are not owned by one of 4 targets, want 60 to 90", len(entries))
	}
	for _, bad := range [][]byte{make([]byte, 4), make([]byte, MaxSummaryBytes+summaryEntryBytes)} {
		if _, err := DecodeSummary(bad); err == nil {
			t.Errorf("malformed summary of %d bytes was accepted", len(bad))
		}
	}
}

// Guards against lookups that miss summaries or recent requests, or that return ineligible targets.
func TestLookup(t *testing.T) {
	now := time.Unix(1e9, 0)
	chain := promptChain(7, 20)
	head, _ := Head(chain)
	targets, stores := NewGroup(members(5, "a", "b")), NewGroup([]Member{{Name: "s0", FailureDomain: "a"}, {Name: "s1", FailureDomain: "b"}})
	v := NewView(targets, stores, NewRecentTargets(100, now))
	l := v.Lookup(chain, nil)
	if len(l.Owners) != OwnerCount || len(l.Stores) != 2 || len(l.Hints) != 0 || l.OwnerRank(l.Owners[1]) != 1 {
		t.Fatalf("%+v", l)
	}
	summarized := l.Owners[2]
	summary := map[string][]SummaryEntry{summarized: {{Fingerprint(head), 12}}}
	v2 := v.WithSummaries(summary)
	if l = v2.Lookup(chain, nil); l.BlocksAt(summarized) != 12 {
		t.Errorf("%d blocks from the summary, want 12", l.BlocksAt(summarized))
	}
	v.RecordSent(&l, l.Owners[0], now)
	if l = v2.Lookup(chain, nil); l.BlocksAt(l.Owners[0]) != 20 {
		t.Errorf("%d blocks from the recent request, want 20", l.BlocksAt(l.Owners[0]))
	}
	l = v2.Lookup(chain, func(name string) bool { return name != summarized })
	if l.BlocksAt(summarized) != 0 || l.OwnerRank(summarized) != -1 {
		t.Errorf("an ineligible target is in the lookup: %+v", l)
	}
	if l = v2.WithGroups(NewGroup(members(4, "a")), stores).Lookup(chain, nil); len(l.Owners) != OwnerCount {
		t.Errorf("after a change of targets: %+v", l)
	}
	if l = v.Lookup(chain[:HeadBlocks-1], nil); l.HasHead || len(l.Owners) != 0 {
		t.Errorf("a short prompt has an owner: %+v", l)
	}
}

// Guards against entries that send the same new prompt to different targets. The entries differ in distance to the targets,
// in the random sample and in whether they have a load report of the owner. All must choose the owner, since the next
// request may reach any of them before its cached blocks are known there.
func TestEntriesAgreeOnOwner(t *testing.T) {
	all := members(18, "a", "b", "c")
	view := NewView(NewGroup(all), NewGroup([]Member{{Name: "store", Weight: 1}}), nil)
	const blockTokens = 1024
	opts := PrefixOptions{BlockTokens: blockTokens, BlockTime: time.Millisecond, RoundTrip: time.Millisecond}
	router := routing.New(routing.Options{})
	now := time.Unix(1_800_000_000, 0)
	for i := range 200 {
		chain := promptChain(i, 8)
		lookup := view.Lookup(chain, nil)
		req := &routing.Request{PromptTokens: len(chain) * blockTokens, Prefix: NewPrefix(lookup, opts)}
		for at, domain := range []string{"a", "b", "c"} {
			unreported := ""
			if at == 0 {
				unreported = lookup.Owners[0]
			}
			snap := routing.NewSnapshot("s", 2, candidates(all, domain, unreported, now), nil)
			choice, err := router.Pick(req, snap, rand.New(rand.NewPCG(uint64(i), uint64(at))), now)
			if err != nil {
				t.Fatal(err)
			}
			if got := choice.Best().Candidate.Target; got != lookup.Owners[0] {
				t.Fatalf("prompt %d, entry in %s: sent to %s, owner is %s: %+v", i, domain, got, lookup.Owners[0], choice.Ranked())
			}
		}
	}
}

// candidates returns idle targets as seen by an entry in the domain. The target named by unreported has not reported its
// load.
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

// Guards against lookups that return an outdated target: a table with few slots may lose a prompt, but the newest entry must
// be there and no older one may take its place.
func TestRecentTargetsKeepsLatest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1e9, 0)
		r := NewRecentTargets(8, now)
		last := map[int]int{}
		for i := range rapid.IntRange(1, 60).Draw(t, "puts") {
			p := rapid.IntRange(0, 20).Draw(t, "prompt")
			head, _ := Head(promptChain(p, HeadBlocks))
			now = now.Add(time.Duration(rapid.IntRange(0, 600).Draw(t, "wait")) * time.Second)
			r.Put(head, i, i+1, now)
			last[p] = i
			if target, blocks, ok := r.Get(head); !ok || target != i || blocks != dequantizeBlocks(quantizeBlocks(i+1)) {
				t.Fatalf("put target %d, got target %d, %d blocks, found %v", i, target, blocks, ok)
			}
			for q, want := range last {
				h, _ := Head(promptChain(q, HeadBlocks))
				if target, _, ok := r.Get(h); ok && target != want {
					t.Fatalf("prompt %d was last sent to target %d, table has target %d", q, want, target)
				}
			}
		}
	})
}

func BenchmarkLookup(b *testing.B) {
	v := NewView(NewGroup(members(356, "a", "b", "c")), NewGroup(members(17, "a", "b")), NewRecentTargets(1<<16, time.Unix(0, 0)))
	chain := promptChain(1, 60)
	for b.Loop() {
		v.Lookup(chain, nil)
	}
}
