package retention

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/egrethoist/egrethoist/internal/kvcache/block"
	"github.com/egrethoist/egrethoist/internal/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m) }

var t0 = time.Unix(1e9, 0)

func chain(workspace string, prompt, blocks int) []block.ID {
	text := make([]byte, 8*blocks)
	copy(text, fmt.Sprintf("%08d", prompt))
	return block.Chain(block.NewSeed("s", "v", workspace), text, 8)
}

func items(workspace string, prompt, blocks int, value float64) []Item {
	var out []Item
	var parent block.ID
	for _, id := range chain(workspace, prompt, blocks) {
		out = append(out, Item{ID: id, Parent: parent, Workspace: workspace, Version: "v", Bytes: 10, Value: value})
		parent = id
	}
	return out
}

// Offers random blocks and checks after each step that the capacity is not exceeded, that no block is evicted before those
// that follow it, and that a workspace within its share loses no block to another workspace.
func TestTableKeepsInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(1, 2))
		const capacity = 300
		table := NewTable(TableOptions{Capacity: capacity, EvictionSamples: 3})
		now := t0
		held := map[block.ID]Item{}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			w := rapid.SampledFrom([]string{"large", "large", "large", "small", "other"}).Draw(t, "workspace")
			now = now.Add(time.Duration(rapid.IntRange(0, 3600).Draw(t, "wait")) * time.Second)
			before := map[string]int64{}
			for _, name := range []string{"large", "small", "other"} {
				before[name] = table.UsedBy(name)
			}
			value := rapid.Float64Range(0, 100).Draw(t, "value")
			for _, item := range items(w, rapid.IntRange(0, 9).Draw(t, "prompt"), rapid.IntRange(1, 6).Draw(t, "blocks"), value) {
				v := table.Offer(item, now, rng)
				for _, id := range v.Evicted {
					evicted := held[id]
					delete(held, id)
					for _, h := range held {
						if h.Parent == id {
							t.Fatal("a block was evicted before the block that follows it")
						}
					}
					if evicted.Workspace != w && before[evicted.Workspace] <= capacity/3 {
						t.Fatalf("%s lost a block to %s while holding %d bytes of a share of %d", evicted.Workspace, w, before[evicted.Workspace], capacity/3)
					}
					before[evicted.Workspace] -= evicted.Bytes
				}
				if v.Admitted && held[item.ID].Bytes == 0 {
					held[item.ID] = item
					before[w] += item.Bytes
				}
				if !v.Admitted {
					break
				}
			}
			var sum int64
			for id, h := range held {
				sum += h.Bytes
				if !table.Contains(id) {
					t.Fatal("a block disappeared without being reported as evicted")
				}
			}
			if sum != table.Used() || sum > capacity || len(held) != table.Len() {
				t.Fatalf("table counts %d bytes, want %d, capacity %d", table.Used(), sum, capacity)
			}
		}
		gone := len(table.DropVersion("v"))
		if gone != len(held) || table.Used() != 0 || table.Len() != 0 {
			t.Fatalf("%d bytes are left after the version was dropped", table.Used())
		}
	})
}

// Guards against a large workspace with more valuable blocks that evicts those of a workspace within its share.
func TestSmallWorkspaceKeepsItsShare(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	table := NewTable(TableOptions{Capacity: 10000})
	for _, item := range items("small", 0, 100, 1) {
		table.Offer(item, t0, rng)
	}
	for p := range 100 { // ten times the capacity, each worth a hundred times as much
		for _, item := range items("large", p, 100, 100) {
			table.Offer(item, t0.Add(time.Duration(p)*time.Minute), rng)
		}
	}
	if got := table.UsedBy("small"); got != 1000 {
		t.Errorf("the small workspace holds %d bytes, want 1000", got)
	}
	if got := table.UsedBy("large"); got != 9000 {
		t.Errorf("the large workspace holds %d bytes, want the other 9000", got)
	}
}

// Guards against replicas that evict first copies or prevent their admission.
func TestReplicasAreEvictedFirst(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	table := NewTable(TableOptions{Capacity: 1000})
	offerReplica := func(w string, prompt int) {
		for _, item := range items(w, prompt, 10, 1000) {
			item.Replica = true
			table.Offer(item, t0, rng)
		}
	}
	for p := range 5 {
		offerReplica("a", p)
	}
	table.Touch(chain("a", 0, 1)[0], t0)             // a replica that is read remains a replica
	table.Offer(items("a", 1, 10, 1000)[0], t0, rng) // an offer of a first copy of the same block promotes it
	for p := range 20 {
		for _, item := range items("b", p, 10, 1) {
			if v := table.Offer(item, t0, rng); !v.Admitted && table.UsedBy("b") < 990 {
				t.Fatal("a first copy was not admitted because of replicas")
			}
		}
	}
	if got := table.UsedBy("a"); got != 10 || !table.Contains(chain("a", 1, 1)[0]) {
		t.Errorf("workspace a holds %d bytes, want the 10 of its first copy", got)
	}
	if table.Contains(chain("a", 0, 1)[0]) {
		t.Error("a replica that was read was kept instead of first copies")
	}
	if offerReplica("a", 7); table.Contains(chain("a", 7, 1)[0]) {
		t.Error("a replica was admitted to a table full of first copies")
	}
}

// Guards against a half-age that stays at its initial value however prompts are reused.
func TestHalfAgeFollowsReuseGaps(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	table := NewTable(TableOptions{Capacity: 1000})
	now := t0
	for _, item := range items("w", 0, 10, 1) {
		table.Offer(item, now, rng)
	}
	for range 300 {
		now = now.Add(4 * time.Hour)
		for _, id := range chain("w", 0, 10) {
			table.Touch(id, now)
		}
	}
	if h := table.halfAge; h < 7*time.Hour || h > 9*time.Hour {
		t.Errorf("half-age %v after reuses every 4 h, want about 8 h", h)
	}
}

// Guards against one-time prompts that evict valuable blocks. With LRU they do, which shows that the load can evict them.
func TestValuableBlocksOutliveRecentOnes(t *testing.T) {
	for _, recency := range []bool{false, true} {
		rng := rand.New(rand.NewPCG(1, 2))
		table := NewTable(TableOptions{Capacity: 200, LRU: recency})
		for _, item := range items("w", 0, 10, 50) {
			table.Offer(item, t0, rng)
		}
		for p := 1; p < 20; p++ { // prompts that are used only once
			for _, item := range items("w", p, 10, 1) {
				item.Value = 1
				table.Offer(item, t0.Add(time.Duration(p)*time.Minute), rng)
			}
		}
		kept := 0
		for _, id := range chain("w", 0, 10) {
			if table.Contains(id) {
				kept++
			}
		}
		if want := map[bool]int{false: 10, true: 0}[recency]; kept != want {
			t.Errorf("LRU %v: %d of 10 valuable blocks kept, want %d", recency, kept, want)
		}
	}
}

// Guards against an estimate that ignores a workspace's history or a prompt's own reuses.
func TestReuseProbability(t *testing.T) {
	r := NewReuseModel()
	for i := range 200 {
		r.Observe("often", 0)
		if i%10 != 0 {
			r.Observe("often", 1)
		}
		r.Observe("never", 0)
	}
	often, unknown, never := r.ReuseProbability("often", 0), r.ReuseProbability("unknown", 0), r.ReuseProbability("never", 0)
	if !(often > 0.85 && unknown == 0.5 && never < 0.05) {
		t.Errorf("probabilities %v, %v, %v; want above 0.85, 0.5, below 0.05", often, unknown, never)
	}
	if r.ReuseProbability("never", 5) < 0.6 {
		t.Errorf("probability %v for a prompt that was reused 5 times, want at least 0.6", r.ReuseProbability("never", 5))
	}
	w := ValueInputs{RecomputeTime: time.Second, ReuseProbability: 0.5, Bytes: 1e9}
	if w.Value() != 0.5 || (ValueInputs{}).Value() != 0 {
		t.Errorf("value %v, want 0.5, or the zero inputs have a value", w.Value())
	}
}

// Guards against exports in the wrong order, to stores that are down or full, or of blocks that are already exported.
func TestQueue(t *testing.T) {
	prompt := func(n int, reuses int, value float64) Prompt {
		c := chain("w", n, 8)
		return Prompt{Head: c[3], Chain: c, Workspace: "w", Version: "v", Reuses: reuses, Stores: []string{"near", "far"}, Value: value, LastUse: t0}
	}
	p1, p2 := prompt(1, 0, 1), prompt(2, 1, 2)
	later := t0.Add(50 * time.Second)
	for _, tc := range []struct {
		name      string
		do        func(q *Queue)
		at        time.Time
		residency time.Duration
		want      block.ID
		store     string
		blocks    int
		urgency   Urgency
		none      bool
	}{
		{name: "more valuable first", do: func(*Queue) {}, at: t0, want: p2.Head, store: "near", blocks: 4},
		{name: "urgent before eviction", do: func(*Queue) {}, at: later, residency: time.Minute, want: p2.Head, store: "near", blocks: 4, urgency: BeforeEviction},
		{name: "first copies before second ones", do: func(q *Queue) { q.MarkExported(p2.Head, 0, 8) }, at: t0, want: p1.Head, store: "near", blocks: 4},
		{name: "second copy of a prompt that was reused", do: func(q *Queue) { q.MarkExported(p2.Head, 0, 8); q.MarkExported(p1.Head, 0, 8) }, at: t0, want: p2.Head, store: "far", blocks: 4},
		{name: "no second copy on leaving", do: func(q *Queue) { q.MarkExported(p2.Head, 0, 8); q.MarkExported(p1.Head, 0, 6); q.StartLeaving() }, at: t0, want: p1.Head, store: "near", blocks: 2, urgency: BeforeLeaving},
		{name: "a store that is down is replaced by the next", do: func(q *Queue) { q.MarkFailed("near", t0) }, at: t0, want: p2.Head, store: "far", blocks: 4},
		{name: "no export of this value to stores that refused it", do: func(q *Queue) {
			q.MarkFull(Job{Store: "near", Prompt: Prompt{Value: 1}}, t0)
			q.MarkFull(Job{Store: "far", Prompt: Prompt{Value: 1}}, t0)
			q.Truncate(p2.Head, 0)
		}, at: t0, none: true},
		{name: "a refusal expires", do: func(q *Queue) { q.MarkFull(Job{Store: "near", Prompt: Prompt{Value: 1}}, t0); q.Truncate(p2.Head, 0) }, at: t0.Add(time.Minute), want: p1.Head, store: "near", blocks: 4},
		{name: "prompts of a dropped version are removed", do: func(q *Queue) { q.DropVersion("v") }, at: t0, none: true},
		{name: "prompts are exported again to a restarted store", do: func(q *Queue) { q.MarkExported(p2.Head, 0, 8); q.MarkRestarted("near") }, at: t0, want: p2.Head, store: "near", blocks: 4},
		{name: "blocks that a store evicted are not sent again at once", do: func(q *Queue) {
			q.MarkExported(p1.Head, 0, 8)
			q.MarkExported(p2.Head, 0, 4)
			j, _ := q.Next(t0, 0, 4)
			q.MarkDropped(j, 2, t0)
			q.MarkFull(Job{Store: "far", Prompt: p2}, t0)
		}, at: t0, none: true},
		{name: "blocks that a store evicted are sent again after the backoff", do: func(q *Queue) {
			q.MarkExported(p2.Head, 0, 4)
			j, _ := q.Next(t0, 0, 4)
			q.MarkDropped(j, 2, t0)
			q.Truncate(p1.Head, 0)
		}, at: t0.Add(time.Minute), want: p2.Head, store: "near", blocks: 4},
		{name: "evicted blocks are not exported", do: func(q *Queue) { q.MarkExported(p2.Head, 0, 4); q.Truncate(p2.Head, 5) }, at: t0, want: p2.Head, store: "near", blocks: 1},
		{name: "an updated prompt keeps its exported blocks", do: func(q *Queue) { q.MarkExported(p2.Head, 0, 6); q.Offer(p2, 0) }, at: t0, want: p2.Head, store: "near", blocks: 2},
	} {
		q := NewQueue(QueueOptions{})
		q.Offer(p1, 0)
		q.Offer(p2, 0)
		tc.do(q)
		j, ok := q.Next(tc.at, tc.residency, 4)
		if ok == tc.none || !tc.none && (j.Prompt.Head != tc.want || j.Store != tc.store || len(j.Blocks) != tc.blocks || j.Urgency != tc.urgency) {
			t.Errorf("%s: got %v, store %s, %d blocks, urgency %d", tc.name, ok, j.Store, len(j.Blocks), j.Urgency)
		}
	}
}

// Guards against a queue that grows without limit, or that drops a valuable prompt instead of the least valuable one.
func TestQueueIsBounded(t *testing.T) {
	q := NewQueue(QueueOptions{MaxPrompts: 5})
	for i := range 20 {
		c := chain("w", i, 4)
		q.Offer(Prompt{Head: c[3], Chain: c, Stores: []string{"s"}, Value: float64(i)}, 0)
	}
	if j, _ := q.Next(t0, 0, 1); q.Len() != 5 || j.Prompt.Value != 19 {
		t.Errorf("%d prompts with a highest value of %v, want 5 and 19", q.Len(), j.Prompt.Value)
	}
}
