package index

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/egrethoist/egrethoist/internal/engine"
	"github.com/egrethoist/egrethoist/internal/kvcache/block"
	"github.com/egrethoist/egrethoist/internal/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m) }

// fakeCache is a simulated engine cache that emits events and listings.
type fakeCache struct {
	incarnation int
	events      []engine.CacheEvent // every event of this incarnation
	oldest      int
	held        map[block.ID]int // index into chain
	chain       []block.ID
}

func newFakeCache() *fakeCache {
	return &fakeCache{held: map[block.ID]int{}, chain: block.Chain(block.NewSeed("s", "v", "x"), make([]byte, 40), 1)}
}

func (f *fakeCache) emit(kind engine.EventKind, i int) {
	e := engine.CacheEvent{Sequence: uint64(len(f.events)), Kind: kind, Tokens: 10}
	if kind != engine.EventCleared {
		e.Block = f.chain[i].Hex()
		if i > 0 {
			e.Parent = f.chain[i-1].Hex()
		}
	}
	f.events = append(f.events, e)
}

func (f *fakeCache) page(after uint64, limit int) engine.CacheEvents {
	first := max(int(after), f.oldest)
	end := min(len(f.events), first+limit)
	return engine.CacheEvents{Incarnation: fmt.Sprint(f.incarnation), First: uint64(first), Next: uint64(end), Events: f.events[min(first, end):end]}
}

func (f *fakeCache) listing() engine.CacheEvents {
	l := engine.CacheEvents{Incarnation: fmt.Sprint(f.incarnation), Next: uint64(len(f.events))}
	for id, i := range f.held {
		e := engine.CacheEvent{Kind: engine.EventStored, Block: id.Hex(), Tokens: 10}
		if i > 0 {
			e.Parent = f.chain[i-1].Hex()
		}
		l.Events = append(l.Events, e)
	}
	return l
}

// Guards against an index that differs from the cache without being stale: after lost, delayed and repeated events and
// engine restarts, an index that is not stale and has applied every event must hold the same blocks.
func TestIndexMatchesCache(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f, x := newFakeCache(), New(Options{})
		now := time.Unix(0, 0)
		lastListing := f.listing()
		drawBlock := func(t *rapid.T) int { return rapid.IntRange(0, len(f.chain)-1).Draw(t, "block") }
		t.Repeat(map[string]func(*rapid.T){
			"store":   func(t *rapid.T) { i := drawBlock(t); f.held[f.chain[i]] = i; f.emit(engine.EventStored, i) },
			"remove":  func(t *rapid.T) { i := drawBlock(t); delete(f.held, f.chain[i]); f.emit(engine.EventRemoved, i) },
			"clear":   func(*rapid.T) { clear(f.held); f.emit(engine.EventCleared, 0) },
			"forget":  func(*rapid.T) { f.oldest = len(f.events) },
			"restart": func(*rapid.T) { f.incarnation++; f.events, f.oldest = nil, 0; clear(f.held) },
			"take": func(t *rapid.T) {
				x.Apply(f.page(x.NextSequence(), rapid.IntRange(1, 5).Draw(t, "limit")))
			},
			"repeat": func(t *rapid.T) {
				x.Apply(f.page(x.NextSequence()-min(x.NextSequence(), 3), 5))
			},
			"list": func(*rapid.T) {
				lastListing = f.listing()
				if x.TryStartListing(now) {
					x.Replace(lastListing)
				}
			},
			"wait": func(*rapid.T) { now = now.Add(time.Minute) },
			"": func(t *rapid.T) {
				if x.Stale() || x.incarnation != fmt.Sprint(f.incarnation) || int(x.NextSequence()) != len(f.events) {
					return
				}
				if x.Len() != len(f.held) {
					t.Fatalf("index holds %d blocks, cache holds %d", x.Len(), len(f.held))
				}
				s := x.Snapshot()
				for id := range f.held {
					if !s.Contains(id) {
						t.Fatalf("block %s is missing in the snapshot", id.Hex())
					}
				}
			},
		})
		// Once changes stop, one listing must make the index exact.
		x.Apply(f.page(x.NextSequence(), 1<<20))
		if x.TryStartListing(now.Add(time.Hour)) {
			x.Replace(f.listing())
		}
		x.Apply(f.page(x.NextSequence(), 1<<20))
		if x.Stale() || x.Len() != len(f.held) {
			t.Fatalf("after the final listing: stale %v, %d blocks, want %d", x.Stale(), x.Len(), len(f.held))
		}
	})
}

// Guards against a listing after every gap of a lossy event stream.
func TestListingsBackOff(t *testing.T) {
	x := New(Options{ResyncPeriod: time.Second, MaxResyncPeriod: 8 * time.Second})
	now, listings := time.Unix(0, 0), 0
	for i := range 600 { // a minute of pages, each after a gap
		x.Apply(engine.CacheEvents{Incarnation: "a", First: uint64(i*10 + 5), Next: uint64(i*10 + 5)})
		if x.TryStartListing(now) {
			listings++
			x.Replace(engine.CacheEvents{Incarnation: "a", Next: uint64(i*10 + 5)})
		}
		now = now.Add(100 * time.Millisecond)
	}
	if listings < 5 || listings > 11 {
		t.Errorf("%d listings in a minute of gaps, want 5 to 11 with backoff", listings)
	}
}

// Guards against counting blocks after the first one that is missing.
func TestPrefix(t *testing.T) {
	f, x := newFakeCache(), New(Options{})
	for i := range 10 {
		f.held[f.chain[i]] = i
	}
	x.Replace(f.listing())
	if b, n := x.Snapshot().Prefix(f.chain); b != 10 || n != 100 {
		t.Errorf("Prefix = %d blocks, %d tokens, want 10 blocks, 100 tokens", b, n)
	}
	f.emit(engine.EventRemoved, 5)
	x.nextSequence = 0
	x.Apply(f.page(0, 10))
	if b, _ := x.Snapshot().Prefix(f.chain); b != 5 {
		t.Errorf("Prefix after removal = %d blocks, want 5", b)
	}
}

// Guards against a listing that misses a restart of the engine, or that undoes events applied before it.
func TestListingDetectsRestart(t *testing.T) {
	x := New(Options{})
	for i, tc := range []struct {
		incarnation string
		next        uint64
		want        Outcome
	}{
		{"a", 5, Applied}, {"a", 7, Applied}, {"a", 6, Gap}, {"b", 1, NewIncarnation}, {"b", 1, Applied},
	} {
		if got := x.Replace(engine.CacheEvents{Incarnation: tc.incarnation, Next: tc.next}); got != tc.want {
			t.Errorf("listing %d: %v, want %v", i, got, tc.want)
		}
	}
}

// A page whose events end before the position from which to read next has lost its last events. Taken for complete, blocks that were evicted
// stay in the index for good.
func TestPageWithoutItsLastEventsIsAGap(t *testing.T) {
	event := func(sequence uint64) engine.CacheEvent {
		return engine.CacheEvent{Sequence: sequence, Kind: engine.EventStored, Block: fmt.Sprintf("%064x", sequence+1), Tokens: 16}
	}
	for name, c := range map[string]struct {
		page engine.CacheEvents
		want Outcome
	}{
		"all events":         {engine.CacheEvents{Next: 3, Events: []engine.CacheEvent{event(0), event(1), event(2)}}, Applied},
		"no events yet":      {engine.CacheEvents{}, Applied},
		"without the last":   {engine.CacheEvents{Next: 3, Events: []engine.CacheEvent{event(0), event(1)}}, Gap},
		"without the middle": {engine.CacheEvents{Next: 3, Events: []engine.CacheEvent{event(0), event(2)}}, Gap},
		"without the first":  {engine.CacheEvents{Next: 3, Events: []engine.CacheEvent{event(1), event(2)}}, Gap},
		"without any":        {engine.CacheEvents{Next: 3}, Gap},
	} {
		x := New(Options{})
		x.Replace(engine.CacheEvents{Incarnation: "a"})
		c.page.Incarnation = "a"
		if got := x.Apply(c.page); got != c.want || x.NextSequence() != c.page.Next {
			t.Errorf("%s: %v, next %d; want %v, next %d", name, got, x.NextSequence(), c.want, c.page.Next)
		}
	}
}
