package keeper

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"maps"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"lukechampine.com/blake3"

	egretv1 "github.com/egrethoist/egrethoist/gen/egret/v1"
	"github.com/egrethoist/egrethoist/internal/engine"
	"github.com/egrethoist/egrethoist/internal/fake/store"
	"github.com/egrethoist/egrethoist/internal/kvcache/block"
	"github.com/egrethoist/egrethoist/internal/kvcache/linkbudget"
	"github.com/egrethoist/egrethoist/internal/kvcache/placement"
	"github.com/egrethoist/egrethoist/internal/kvcache/transfer"
	"github.com/egrethoist/egrethoist/internal/sleep"
	"github.com/egrethoist/egrethoist/internal/world"
)

const (
	blockTokens = 100
	blockBytes  = 1 << 10
	prefillRate = 1000    // tokens per second: 100 ms per block
	linkRate    = 1 << 18 // bytes per second
)

// blockContent returns the only valid content of a block, derived from its ID.
func blockContent(id string) []byte {
	out := make([]byte, blockBytes)
	h := blake3.New(32, nil)
	h.Write([]byte(id))
	h.XOF().Read(out)
	return out
}

// fakeModel is a prefix cache that implements the target operations used by a keeper.
type fakeModel struct {
	engine.Target
	t             *testing.T
	mu            sync.Mutex
	incarnation   int
	held          map[string]engine.CacheEvent
	versions      map[string]string // weight version of each block
	salts         map[string]string
	events        []engine.CacheEvent
	firstEvent    int
	imports       map[string]int
	onImport      func()
	corruptExport func(b *engine.Block) // modifies the result of an export
	rejectImport  func(b engine.Block) error
}

func newModel(t *testing.T) *fakeModel {
	return &fakeModel{t: t, held: map[string]engine.CacheEvent{}, versions: map[string]string{}, salts: map[string]string{}, imports: map[string]int{}}
}

// store adds the blocks of a chain to the cache.
func (m *fakeModel) store(chain []block.ID, version, salt string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, id := range chain {
		m.add(id.Hex(), version, salt)
	}
}

func (m *fakeModel) add(id, version, salt string) {
	e := engine.CacheEvent{Sequence: uint64(len(m.events)), Kind: engine.EventStored, Block: id, Tokens: blockTokens}
	m.events = append(m.events, e)
	m.held[id], m.versions[id], m.salts[id] = e, version, salt
}

func (m *fakeModel) Load(context.Context) (engine.LoadReport, error) {
	return engine.LoadReport{PrefillPerSec: prefillRate}, nil
}

func (m *fakeModel) CacheEvents(ctx context.Context, after uint64, wait time.Duration) (engine.CacheEvents, error) {
	sleep.For(ctx, min(wait, 50*time.Millisecond))
	m.mu.Lock()
	defer m.mu.Unlock()
	first := max(int(after), m.firstEvent)
	return engine.CacheEvents{Incarnation: fmt.Sprint(m.incarnation), First: uint64(first), Next: uint64(len(m.events)), Events: m.events[min(first, len(m.events)):]}, nil
}

func (m *fakeModel) CacheBlocks(context.Context) (engine.CacheEvents, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := engine.CacheEvents{Incarnation: fmt.Sprint(m.incarnation), Next: uint64(len(m.events))}
	for _, e := range m.held {
		out.Events = append(out.Events, e)
	}
	return out, nil
}

func (m *fakeModel) Give(context.Context, engine.Order) error { return nil }

func (m *fakeModel) ExportBlock(_ context.Context, id string) (engine.Block, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.held[id]; !ok {
		return engine.Block{}, errors.New("not held")
	}
	data := blockContent(id)
	b := engine.Block{Digest: id, Version: m.versions[id], Salt: m.salts[id], Data: data, Sum: blake3.Sum256(data)}
	if m.corruptExport != nil {
		m.corruptExport(&b)
	}
	return b, nil
}

func (m *fakeModel) ImportBlock(_ context.Context, b engine.Block) error {
	if m.onImport != nil {
		m.onImport()
	}
	if m.rejectImport != nil {
		return m.rejectImport(b)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !bytes.Equal(b.Data, blockContent(b.Digest)) || b.Sum != blake3.Sum256(b.Data) {
		m.t.Errorf("imported wrong content for block %s", b.Digest)
	}
	m.imports[b.Digest]++
	m.add(b.Digest, b.Version, b.Salt)
	return nil
}

// fleet consists of two targets and two stores on one link, in virtual time.
type fleet struct {
	world   *world.World
	mu      sync.Mutex
	link    *store.Link
	stores  map[string]*store.Store
	models  []*fakeModel
	keepers []*Keeper
	stop    context.CancelFunc
	running sync.WaitGroup
}

func (f *fleet) config() *world.World {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.world
}

// updateConfig replaces the configuration by a modified copy.
func (f *fleet) updateConfig(update func(svc *world.Service, w *world.World)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w, svc := *f.world, *f.world.Services["svc"]
	w.Services = map[string]*world.Service{"svc": &svc}
	update(&svc, &w)
	f.world = &w
}

func newFleet(t *testing.T) *fleet {
	targets := []*world.Target{{Name: "t0", Service: "svc", FailureDomain: "a"}, {Name: "t1", Service: "svc", FailureDomain: "b"}}
	svc := &world.Service{Name: "svc", WeightVersion: "v1", BlockTokens: blockTokens, BlockBytes: blockBytes, Stores: []string{"s0", "s1"}, Targets: targets}
	f := &fleet{link: store.NewLink(linkRate, time.Millisecond), stores: map[string]*store.Store{}}
	f.world = &world.World{
		Services:       map[string]*world.Service{"svc": svc},
		Targets:        map[string]*world.Target{"t0": targets[0], "t1": targets[1]},
		FailureDomains: map[string]*world.FailureDomain{"a": {Name: "a"}, "b": {Name: "b"}},
		Stores:         map[string]*world.Store{"s0": {Name: "s0", FailureDomain: "a", Link: "l", DiskBytes: 1}, "s1": {Name: "s1", FailureDomain: "b", Link: "l", DiskBytes: 1}},
		Links:          map[string]*world.Link{"l": {Name: "l", BytesPerSec: linkRate, Delay: time.Millisecond}},
	}
	for name := range f.world.Stores {
		f.stores[name] = store.New(store.Options{DiskBytes: 1 << 20, PieceBytes: blockBytes / 4, Link: f.link})
	}
	ctx, stop := context.WithCancel(context.Background())
	f.stop = stop
	for _, target := range targets {
		m := newModel(t)
		k, err := New(Options{Target: target.Name, Service: "svc", Model: m, Config: f.config, Dial: func(st *world.Store) transfer.Store { return store.Local{Store: f.stores[st.Name]} }})
		if err != nil {
			t.Fatal(err)
		}
		f.models, f.keepers = append(f.models, m), append(f.keepers, k)
		f.running.Go(func() { _ = k.Run(ctx) })
	}
	return f
}

func (f *fleet) close() {
	f.stop()
	f.running.Wait()
}

// newRequest returns a request with a prompt of the given number of blocks, and the chain of its block IDs.
func newRequest(version, salt string, blocks int) (*egretv1.Open, []block.ID) {
	chain := block.Chain(block.NewSeed("svc", version, salt), make([]byte, blocks), 1)
	open := &egretv1.Open{Service: "svc", Workspace: "w", WeightVersion: version, CacheSalt: salt, PromptTokens: uint32(blocks*blockTokens + 10)}
	for _, id := range chain {
		open.PromptBlocks = append(open.PromptBlocks, id.Bytes())
	}
	return open, chain
}

// runPrompt runs a new prompt at a target and waits until its blocks have been exported.
func (f *fleet) runPrompt(target int, version string, blocks int) (*egretv1.Open, []block.ID) {
	open, chain := newRequest(version, "salt", blocks)
	f.keepers[target].Prepare(context.Background(), open)
	f.models[target].store(chain, version, "salt")
	time.Sleep(30 * time.Second)
	return open, chain
}

// rankedStores returns the prompt's preferred store and the other one.
func (f *fleet) rankedStores(chain []block.ID) (first, second *store.Store) {
	head, _ := placement.Head(chain)
	names := f.keepers[0].topology.Load().rankedStores(head)
	return f.stores[names[0]], f.stores[names[1]]
}

// withFleet runs a test with a new fleet under virtual time.
func withFleet(t *testing.T, test func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.close()
		test(t, f)
	})
}

// Guards against a returning prompt being recomputed at another target, or without a second copy when its first store is
// down, and against redundant exports.
func TestReturningPromptIsImportedAtAnotherTarget(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		open, chain := f.runPrompt(0, "v1", 10)
		first, second := f.rankedStores(chain)
		if !first.Holds(chain[9]) || second.Holds(chain[0]) {
			t.Fatal("the prompt is not held by its first store only")
		}
		if got := f.keepers[1].Prepare(context.Background(), open); got != 10*blockTokens {
			t.Errorf("%d tokens prepared, want %d", got, 10*blockTokens)
		}
		time.Sleep(30 * time.Second)
		if f.keepers[1].metrics.exported.total.Load() != 0 {
			t.Error("the other target exported blocks that the store already holds")
		}
		// The second return makes the prompt worth a second copy in the other failure domain.
		f.keepers[0].Prepare(context.Background(), open)
		f.models[0].store(chain[:0], "v1", "salt")
		f.keepers[0].mu.Lock()
		f.keepers[0].prompts.resetStored()
		f.keepers[0].mu.Unlock()
		time.Sleep(30 * time.Second)
		if !second.Holds(chain[9]) {
			t.Error("a prompt that returned has no second copy")
		}
		first.SetFaults(store.Faults{Down: true})
		f.models[1].mu.Lock()
		f.models[1].incarnation++
		f.models[1].held, f.models[1].events = map[string]engine.CacheEvent{}, nil
		f.models[1].mu.Unlock()
		time.Sleep(5 * time.Second)
		if got := f.keepers[1].Prepare(context.Background(), open); got != 10*blockTokens {
			t.Errorf("%d tokens prepared from the second copy, want %d", got, 10*blockTokens)
		}
	})
}

// Guards against concurrent requests with the same prompt importing a block more than once.
func TestConcurrentRequestsFetchEachBlockOnce(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		open, chain := f.runPrompt(0, "v1", 10)
		var all sync.WaitGroup
		for i := range 5 {
			all.Go(func() {
				time.Sleep(time.Duration(i) * 5 * time.Millisecond)
				if got := f.keepers[1].Prepare(context.Background(), open); got != 10*blockTokens {
					t.Errorf("request %d: %d tokens prepared", i, got)
				}
			})
		}
		all.Wait()
		for _, id := range chain {
			if n := f.models[1].imports[id.Hex()]; n != 1 {
				t.Errorf("block imported %d times, want once", n)
			}
		}
	})
}

// Guards against a fetch that delays its request beyond the time to recompute the prompt, when the store or the link fails
// or the caller cancels, and against flights that are never finished.
func TestFetchStopsWhenRecomputeIsFaster(t *testing.T) {
	compute := 10 * blockTokens * time.Second / prefillRate
	for _, tc := range []struct {
		name      string
		fault     func(f *fleet, s *store.Store, cancel func())
		within    time.Duration
		maxBlocks int // maximum number of leading blocks that may be prepared
	}{
		{"store dies half-way", func(f *fleet, s *store.Store, _ func()) {
			s.SetFaults(store.Faults{OnPiece: func(n int) {
				if n == 17 {
					s.Restart()
				}
			}})
		}, compute, 4},
		{"link stops", func(f *fleet, s *store.Store, _ func()) {
			s.SetFaults(store.Faults{OnPiece: func(n int) {
				if n == 17 {
					f.link.SetRate(1)
				}
			}})
		}, compute, 4},
		{"link at a hundredth", func(f *fleet, _ *store.Store, _ func()) { f.link.SetRate(linkRate / 100) }, compute, 2},
		{"store is down", func(_ *fleet, s *store.Store, _ func()) { s.SetFaults(store.Faults{Down: true}) }, compute / 10, 0},
		{"caller leaves", func(_ *fleet, s *store.Store, cancel func()) {
			s.SetFaults(store.Faults{OnPiece: func(n int) {
				if n == 17 {
					cancel()
				}
			}})
		}, compute / 10, 4},
	} {
		t.Run(tc.name, func(t *testing.T) {
			withFleet(t, func(t *testing.T, f *fleet) {
				open, chain := f.runPrompt(0, "v1", 10)
				first, _ := f.rankedStores(chain)
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				tc.fault(f, first, cancel)
				start := time.Now()
				got := f.keepers[1].Prepare(ctx, open)
				if took := time.Since(start); took > tc.within || got > tc.maxBlocks*blockTokens {
					t.Errorf("%d tokens prepared after %v, want at most %d within %v", got, took, tc.maxBlocks*blockTokens, tc.within)
				}
				if n := len(f.keepers[1].flights.running); n != 0 {
					t.Errorf("%d flights were not finished", n)
				}
				first.SetFaults(store.Faults{})
				f.link.SetRate(linkRate)
			})
		})
	}
}

// Guards against blocks of the old weight version being used for requests of the new one, or left in the stores, when
// imports and runs of the old version are in flight during the change.
func TestWeightVersionChange(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		open, oldChain := f.runPrompt(0, "v1", 10)
		early, earlyChain := newRequest("v1", "early", 10)
		late, lateChain := newRequest("v1", "late", 10)
		f.keepers[1].Prepare(context.Background(), early)
		swapped := false
		f.models[1].onImport = func() {
			if !swapped {
				swapped = true
				f.updateConfig(func(svc *world.Service, _ *world.World) { svc.WeightVersion = "v2" })
				time.Sleep(5 * time.Second)
			}
		}
		f.keepers[1].Prepare(context.Background(), open) // in flight during the change
		next, _ := newRequest("v2", "salt", 10)
		if got := f.keepers[1].Prepare(context.Background(), next); got != 0 {
			t.Errorf("a request of the new version uses %d tokens of the old version", got)
		}
		first, _ := f.rankedStores(oldChain)
		if first.Holds(oldChain[0]) {
			t.Error("the store still holds blocks of the old version")
		}
		// Runs of the old version end after the change: one started before it, and one whose entry still had the old
		// configuration.
		f.keepers[1].Prepare(context.Background(), late)
		f.models[1].store(earlyChain, "v1", "early")
		f.models[1].store(lateChain, "v1", "late")
		time.Sleep(30 * time.Second)
		for _, chain := range [][]block.ID{earlyChain, lateChain} {
			for name, s := range f.stores {
				if s.Holds(chain[0]) {
					t.Errorf("store %s holds a block of the old version that was exported after the change", name)
				}
			}
		}
	})
}

// Guards against a drained target that keeps its blocks because a slow link leaves no idle time for exports.
func TestLeavingTargetExportsItsCache(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		f.link.SetRate(linkRate / 20)
		open, chain := newRequest("v1", "salt", 60)
		f.keepers[0].Prepare(context.Background(), open)
		f.models[0].store(chain, "v1", "salt")
		time.Sleep(2 * time.Second)
		first, _ := f.rankedStores(chain)
		if first.Holds(chain[59]) {
			t.Fatal("exported before the target leaves; the test is ineffective")
		}
		f.updateConfig(func(_ *world.Service, w *world.World) {
			w.FailureDomains = map[string]*world.FailureDomain{"a": {Name: "a", Drained: true}, "b": {Name: "b"}}
		})
		time.Sleep(40 * time.Second)
		if !first.Holds(chain[59]) {
			t.Error("the cache of a leaving target was not exported")
		}
	})
}

// Guards against exporting a block whose ID, version, salt or checksum does not match what was requested from the target.
func TestMismatchedBlockIsNotExported(t *testing.T) {
	for name, corrupt := range map[string]func(b *engine.Block){
		"none":          func(*engine.Block) {},
		"other block":   func(b *engine.Block) { b.Digest = "00" },
		"other version": func(b *engine.Block) { b.Version = "v0" },
		"other salt":    func(b *engine.Block) { b.Salt = "pepper" },
		"cut":           func(b *engine.Block) { b.Data = b.Data[:len(b.Data)/2] },
	} {
		withFleet(t, func(t *testing.T, f *fleet) {
			f.models[0].corruptExport = corrupt
			_, chain := f.runPrompt(0, "v1", 10)
			first, second := f.rankedStores(chain)
			if held := first.Holds(chain[0]) || second.Holds(chain[0]); held != (name == "none") {
				t.Errorf("%s: block held by a store = %v", name, held)
			}
		})
	}
}

// Guards against a summary that lists prompts held by their home target, which the entries compute themselves.
func TestSummaryListsOnlyPromptsAwayFromHome(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		_, chain := newRequest("v1", "salt", 10)
		head, _ := placement.Head(chain)
		home := f.keepers[0].topology.Load().targets.Rank(head, 1, nil)[0]
		f.runPrompt(home, "v1", 10)
		f.runPrompt(1-home, "v1", 10)
		if filter, _ := f.keepers[home].Summary(); len(filter) != 0 {
			t.Error("the summary of the home target is not empty")
		}
		filter, generation := f.keepers[1-home].Summary()
		held, err := placement.DecodeSummary(filter)
		if err != nil || len(held) != 1 || held[0].Fingerprint != placement.Fingerprint(head) || held[0].Blocks != 10 || generation != 1 {
			t.Errorf("summary %+v, generation %d, %v", held, generation, err)
		}
	})
}

// congestLink reports alternating fast and slow transfers on a link until ctx ends, so that its budget takes the link for
// congested and blocks background exports.
func congestLink(ctx context.Context, l *link) {
	for ctx.Err() == nil {
		l.observe(linkbudget.Deadline, blockBytes, blockBytes*time.Second/linkRate)
		l.observe(linkbudget.Deadline, blockBytes, time.Second)
		sleep.For(ctx, 20*time.Millisecond)
	}
}

// holdUnexported gives the first target two prompts while its link is too congested for background exports, and returns
// their chains.
func (f *fleet) holdUnexported(ctx context.Context) [][]block.ID {
	go congestLink(ctx, f.keepers[0].topology.Load().links["l"])
	var chains [][]block.ID
	for _, salt := range []string{"salt", "pepper"} {
		open, chain := newRequest("v1", salt, 8)
		f.keepers[0].Prepare(ctx, open)
		f.models[0].store(chain, "v1", salt)
		chains = append(chains, chain)
	}
	return chains
}

// Guards against a background export that waits for link budget blocking the urgent exports of a leaving target.
func TestUrgentExportsPreemptBackgroundExport(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		chains := f.holdUnexported(ctx)
		time.Sleep(2 * time.Second)
		for _, chain := range chains {
			if first, _ := f.rankedStores(chain); first.Holds(chain[0]) {
				t.Fatal("exported before the target leaves; the test is ineffective")
			}
		}
		start := time.Now()
		f.keepers[0].Leave()
		for _, chain := range chains {
			first, _ := f.rankedStores(chain)
			for !first.Holds(chain[7]) && time.Since(start) < time.Minute {
				time.Sleep(100 * time.Millisecond)
			}
		}
		if took := time.Since(start); took > 2*time.Second {
			t.Errorf("the exports of a leaving target took %v, want at most 2s", took)
		}
	})
}

// Guards against marking a store as down when an export times out while waiting for link budget.
func TestExportTimeoutOnBudgetIsNotAStoreFailure(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		chain := f.holdUnexported(ctx)[0]
		head, _ := placement.Head(chain)
		stores := f.keepers[0].topology.Load().rankedStores(head)
		for start := time.Now(); time.Since(start) < 2*exportTimeout; time.Sleep(time.Second) {
			if f.keepers[0].storeDown(stores[0]) {
				t.Fatalf("store marked as down after %v", time.Since(start))
			}
		}
	})
}

// Guards against marking a store as down when the caller cancels its request.
func TestCallerCancellationIsNotAStoreFailure(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		open, chain := f.runPrompt(0, "v1", 20)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		f.keepers[1].Prepare(ctx, open)
		head, _ := placement.Head(chain)
		if f.keepers[1].storeDown(f.keepers[1].topology.Load().rankedStores(head)[0]) {
			t.Error("store marked as down after the caller cancelled")
		}
	})
}

// Guards against recycling the buffer of a failed import: the transport may still be reading it, for example when the
// caller has cancelled while the data is being sent.
func TestFailedImportBufferIsNotReused(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1)) // makes sync.Pool return the recycled buffer next
	withFleet(t, func(t *testing.T, f *fleet) {
		open, _ := f.runPrompt(0, "v1", 10)
		var refused []engine.Block
		f.models[1].rejectImport = func(b engine.Block) error {
			refused = append(refused, b)
			return errors.New("refused")
		}
		f.keepers[1].Prepare(context.Background(), open)
		f.models[1].rejectImport = nil
		time.Sleep(10 * time.Second) // until the store is used again
		f.keepers[1].Prepare(context.Background(), open)
		if len(refused) == 0 {
			t.Error("no import was rejected; the test is ineffective")
		}
		for _, b := range refused {
			if b.Sum != blake3.Sum256(b.Data) {
				t.Error("the data of a failed import was overwritten")
			}
		}
	})
}

// Guards against a client that keeps its old block size limit when the configured block size grows.
func TestBlockSizeIncreaseIsApplied(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		f.updateConfig(func(svc *world.Service, w *world.World) {
			svc.BlockBytes = blockBytes / 2
			w.Stores = maps.Clone(w.Stores)
			for name, st := range w.Stores {
				moved := *st
				moved.Address = "moved"
				w.Stores[name] = &moved
			}
		})
		time.Sleep(5 * time.Second)
		f.updateConfig(func(svc *world.Service, _ *world.World) { svc.BlockBytes = blockBytes })
		open, _ := f.runPrompt(0, "v1", 10)
		if got := f.keepers[1].Prepare(context.Background(), open); got != 10*blockTokens {
			t.Errorf("%d tokens prepared, want %d", got, 10*blockTokens)
		}
	})
}

// Guards against a link budget that ignores a change of the number of targets, or loses its measurements with it.
func TestLinkShareFollowsTargetCount(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		l := f.keepers[0].topology.Load().links["l"]
		f.updateConfig(func(svc *world.Service, _ *world.World) { svc.Targets = svc.Targets[:1] })
		time.Sleep(5 * time.Second)
		if f.keepers[0].topology.Load().links["l"] != l {
			t.Fatal("the link was replaced and its measurements are lost")
		}
		l.reserve(linkbudget.Urgent, linkRate) // the capacity of the link for one second
		if wait := l.reserve(linkbudget.Urgent, 1); wait == 0 || wait > time.Second {
			t.Errorf("the only user of the link waits %v for the next byte, want more than 0 and at most 1s", wait)
		}
	})
}

// Guards against marking a store as down when the target rejects an import.
func TestRejectedImportIsNotAStoreFailure(t *testing.T) {
	withFleet(t, func(t *testing.T, f *fleet) {
		open, chain := f.runPrompt(0, "v1", 10)
		refused := 0
		f.models[1].rejectImport = func(engine.Block) error {
			refused++
			return errors.New("refused")
		}
		f.keepers[1].Prepare(context.Background(), open)
		head, _ := placement.Head(chain)
		if refused == 0 || f.keepers[1].storeDown(f.keepers[1].topology.Load().rankedStores(head)[0]) {
			t.Errorf("store marked as down, or nothing rejected; the target rejected %d imports", refused)
		}
	})
}
