package keeper

import (
	"context"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	egretv1 "github.com/egrethoist/egrethoist/gen/egret/v1"
	"github.com/egrethoist/egrethoist/internal/fake/store"
	"github.com/egrethoist/egrethoist/internal/kvcache/block"
	"github.com/egrethoist/egrethoist/internal/kvcache/placement"
	"github.com/egrethoist/egrethoist/internal/kvcache/retention"
	"github.com/egrethoist/egrethoist/internal/rapidtest"
	"github.com/egrethoist/egrethoist/internal/world"
)

func TestMain(m *testing.M) { rapidtest.Main(m) }

// Guards against adding memory to disk capacity: blocks in memory are also on disk.
func TestStoresAreWeightedByCapacity(t *testing.T) {
	w := &world.World{Stores: map[string]*world.Store{
		"disk":   {Name: "disk", MemoryBytes: 1 << 30, DiskBytes: 4 << 30},
		"memory": {Name: "memory", MemoryBytes: 2 << 30},
	}}
	members := StoreGroup(w, &world.Service{Stores: []string{"disk", "memory"}}).Members()
	if members[0].Weight != 4<<30 || members[1].Weight != 2<<30 {
		t.Errorf("got %+v", members)
	}
}

// addSecondLink moves the second store to a link of its own and returns the link of each store.
func (f *fleet) addSecondLink() map[*store.Store]*store.Link {
	synctest.Wait()
	link := store.NewLink(linkRate, time.Millisecond)
	f.stores["s1"] = store.New(store.Options{DiskBytes: 1 << 20, PieceBytes: blockBytes / 4, Link: link})
	f.updateConfig(func(_ *world.Service, w *world.World) {
		w.Links, w.Stores = maps.Clone(w.Links), maps.Clone(w.Stores)
		w.Links["m"] = &world.Link{Name: "m", BytesPerSec: linkRate, Delay: time.Millisecond}
		w.Stores["s1"] = &world.Store{Name: "s1", Address: "m", FailureDomain: "b", Link: "m", DiskBytes: 1}
	})
	time.Sleep(5 * time.Second)
	return map[*store.Store]*store.Link{f.stores["s0"]: f.link, f.stores["s1"]: link}
}

// runPromptTwice runs a prompt twice, so that both stores hold it.
func (f *fleet) runPromptTwice(blocks int) (*egretv1.Open, []block.ID) {
	open, chain := f.runPrompt(0, "v1", blocks)
	f.keepers[0].Prepare(context.Background(), open)
	f.keepers[0].mu.Lock()
	f.keepers[0].prompts.resetStored()
	f.keepers[0].mu.Unlock()
	time.Sleep(30 * time.Second)
	return open, chain
}

// Guards against a parallel read from two stores that is not faster than one store alone, that slows down when one store or
// link fails, or that imports a block twice.
func TestReadsFromTwoStoresInParallel(t *testing.T) {
	const blocks = 20
	const pieces = blocks * 4
	// The fake store sends a piece only after the previous one has arrived.
	oneStore := pieces * (time.Millisecond + blockBytes/4*time.Second/linkRate)
	compute := blocks * blockTokens * time.Second / prefillRate
	restartMidRead := func(s *store.Store) {
		s.SetFaults(store.Faults{OnPiece: func(n int) {
			if n == 6 {
				s.Restart()
			}
		}})
	}
	for _, tc := range []struct {
		name   string
		fault  func(first, second *store.Store, links map[*store.Store]*store.Link)
		within time.Duration
	}{
		{"no fault", func(_, _ *store.Store, _ map[*store.Store]*store.Link) {}, oneStore * 5 / 8},
		{"first store dies", func(first, _ *store.Store, _ map[*store.Store]*store.Link) { restartMidRead(first) }, compute / 10},
		{"second store dies", func(_, second *store.Store, _ map[*store.Store]*store.Link) { restartMidRead(second) }, compute / 10},
		{"second link stops", func(_, second *store.Store, links map[*store.Store]*store.Link) {
			second.SetFaults(store.Faults{OnPiece: func(n int) {
				if n == 6 {
					links[second].SetRate(1)
				}
			}})
		}, compute / 4},
	} {
		t.Run(tc.name, func(t *testing.T) {
			withFleet(t, func(t *testing.T, f *fleet) {
				links := f.addSecondLink()
				open, chain := f.runPromptTwice(blocks)
				first, second := f.rankedStores(chain)
				if !first.Holds(chain[blocks-1]) || !second.Holds(chain[blocks-1]) {
					t.Fatal("the prompt is not held by both stores")
				}
				tc.fault(first, second, links)
				start := time.Now()
				got := f.keepers[1].Prepare(context.Background(), open)
				if took := time.Since(start); got != blocks*blockTokens || took > tc.within {
					t.Errorf("%d tokens prepared after %v, want %d within %v", got, took, blocks*blockTokens, tc.within)
				}
				for _, id := range chain {
					if n := f.models[1].imports[id.Hex()]; n != 1 {
						t.Errorf("block imported %d times, want once", n)
					}
				}
				links[second].SetRate(linkRate)
			})
		})
	}
}

// Guards against background exports that skip the probe for queueing on the link, and against urgent ones that probe. A
// probe is detected by taking the store down, which makes it fail.
func TestBackgroundExportProbesTheLink(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		_, chain := f.runPrompt(0, "v1", 10)
		first, _ := f.rankedStores(chain)
		head, _ := placement.Head(chain)
		s := f.keepers[0].topology.Load()
		e := &exportSource{keeper: f.keepers[0], store: s.byName[s.rankedStores(head)[0]]}
		e.job.Prompt.Chain, e.job.Urgency = chain, retention.WhenIdle
		pace := func(down bool) error {
			first.SetFaults(store.Faults{Down: down})
			return e.pace(context.Background(), 1)
		}
		if pace(true) == nil {
			t.Error("no probe before a piece long after the last one")
		}
		if err := pace(false); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Microsecond)
		if err := pace(true); err != nil {
			t.Errorf("probe after a piece that was not queued: %v", err)
		}
		time.Sleep(time.Second) // simulates a transfer time of 1 s for the piece
		if pace(true) == nil {
			t.Error("no probe after a piece that was queued")
		}
		e.job.Urgency = retention.BeforeEviction
		if err := pace(true); err != nil {
			t.Errorf("an urgent export probed the link: %v", err)
		}
	})
}

// Guards against wrong content, false results, delays and unfinished flights when several requests read one prompt from two
// faulty stores. fakeModel checks the imported content.
func TestTwoStoresUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		blocks := rapid.IntRange(3, 40).Draw(rt, "blocks")
		requests := rapid.IntRange(1, 3).Draw(rt, "requests")
		faults := []storeFault{drawFault(rt, blocks), drawFault(rt, blocks)}
		withFleet(t, func(t *testing.T, f *fleet) { checkReadsUnderFaults(t, f, blocks, requests, faults) })
		if t.Failed() {
			rt.FailNow()
		}
	})
}

// storeFault is the faults of one store and an action that it takes during a read.
type storeFault struct {
	store.Faults
	action string
	piece  int // piece before which the action is taken
	block  int // position of the block that the action "free" frees
}

// drawFault draws the faults of one store for a read of the given number of blocks.
func drawFault(rt *rapid.T, blocks int) storeFault {
	return storeFault{
		Faults: store.Faults{
			Late:     rapid.Bool().Draw(rt, "late"),
			Crossed:  rapid.Float64().Draw(rt, "crossed") < 0.2,
			Mute:     rapid.Bool().Draw(rt, "mute"),
			Truncate: rapid.SampledFrom([]int{0, 0, 0, 3, 4, 9}).Draw(rt, "truncate"),
		},
		action: rapid.SampledFrom([]string{"nothing", "nothing", "restart", "free", "stop"}).Draw(rt, "what"),
		piece:  rapid.IntRange(1, 32).Draw(rt, "at piece"),
		block:  rapid.IntRange(0, blocks-1).Draw(rt, "block to free"),
	}
}

// install sets the faults of the store s on the given link.
func (fault *storeFault) install(s *store.Store, link *store.Link, chain []block.ID) {
	faults := fault.Faults
	faults.OnPiece = func(n int) {
		if n != fault.piece {
			return
		}
		switch fault.action {
		case "restart":
			s.Restart()
		case "free":
			s.Free(chain[fault.block])
		case "stop":
			link.SetRate(1)
		}
	}
	s.SetFaults(faults)
}

// checkReadsUnderFaults reads a prompt with several requests at once from two faulty stores and checks the results, the
// duration and the flights.
func checkReadsUnderFaults(t *testing.T, f *fleet, blocks, requests int, faults []storeFault) {
	links := f.addSecondLink()
	open, chain := f.runPromptTwice(blocks)
	first, second := f.rankedStores(chain)
	for i, s := range []*store.Store{first, second} {
		faults[i].install(s, links[s], chain)
	}
	done := make(chan int)
	start := time.Now()
	for range requests {
		go func() { done <- f.keepers[1].Prepare(context.Background(), open) }()
	}
	for range requests {
		got := <-done
		f.models[1].mu.Lock()
		for _, id := range chain[:got/blockTokens] {
			if f.models[1].imports[id.Hex()] == 0 {
				t.Error("a block is counted as cached at the target but was not imported")
			}
		}
		f.models[1].mu.Unlock()
	}
	// The fetch must end within the time to recompute the blocks, plus 100 ms for the initial calls.
	if took, compute := time.Since(start), time.Duration(blocks)*blockTokens*time.Second/prefillRate; took > compute+100*time.Millisecond {
		t.Errorf("fetching %d blocks took %v, recomputing takes %v", blocks, took, compute)
	}
	if n := len(f.keepers[1].flights.running); n != 0 {
		t.Errorf("%d flights were not finished", n)
	}
	for s, link := range links {
		s.SetFaults(store.Faults{})
		link.SetRate(linkRate)
	}
}
