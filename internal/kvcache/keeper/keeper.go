// Package keeper moves KV cache blocks between one target and the KV-cache stores. It tracks the target's cache
// events, imports the blocks of returning prompts before those run, and exports blocks when the link is idle, before
// they are evicted, and when the target leaves. The policies are in the sibling packages, such as fetch, placement and
// retention; this package does the I/O.
//
// No failure in this package fails a request: a block that cannot be fetched is recomputed by the target.
package keeper

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	"github.com/egrethoist/egrethoist/internal/engine"
	"github.com/egrethoist/egrethoist/internal/kvcache/block"
	"github.com/egrethoist/egrethoist/internal/kvcache/index"
	"github.com/egrethoist/egrethoist/internal/kvcache/placement"
	"github.com/egrethoist/egrethoist/internal/kvcache/retention"
	"github.com/egrethoist/egrethoist/internal/kvcache/transfer"
	"github.com/egrethoist/egrethoist/internal/sleep"
	"github.com/egrethoist/egrethoist/internal/world"
)

// Options configure a Keeper.
type Options struct {
	Target    string // name of the target
	Service   string
	Model     engine.Model
	Config    func() *world.World                     // returns the current configuration; nil before the first one
	Dial      func(store *world.Store) transfer.Store // returns a client for a store
	QueueWait func() time.Duration                    // expected wait of a new request in the target's queue; nil means no wait
	Metrics   tally.Scope                             // nil discards all metrics
}

// Periods and limits of the keeper's background loops.
const (
	eventWait          = 2 * time.Second        // long-poll wait for cache events in one call
	eventRetryDelay    = 250 * time.Millisecond // delay after a failed call
	loadPeriod         = time.Second
	scanPeriod         = 500 * time.Millisecond
	summaryPeriod      = 10 * time.Second // minimum time between two summaries, to bound the updates sent to entries
	maxPrompts         = 4096             // prompts tracked per target
	callTimeout        = 5 * time.Second
	defaultPrefillRate = 8000 // prefill tokens per second until a load report gives a rate
)

// Keeper synchronizes the cache of one target with the stores. It is safe for concurrent use.
type Keeper struct {
	opts    Options
	metrics *metrics

	topology  atomic.Pointer[topology]
	cache     atomic.Pointer[index.Snapshot]
	load      atomic.Pointer[engine.LoadReport]
	summary   atomic.Pointer[summary]
	residency atomic.Int64 // estimated time that an unused block stays in the target's cache, in ns; zero if unknown

	mu           sync.Mutex // guards the fields below; never held during I/O
	prompts      *prompts
	queue        *retention.Queue
	returns      *retention.ReuseModel
	incarnations map[string]uint64 // last observed incarnation of each store, by store name

	flights flights
}

// summary is the last result published by Summary.
type summary struct {
	filter     []byte
	generation uint64
	createdAt  time.Time
}

// New returns a keeper with an empty view of its target's cache; Run fills it. It returns an error if Model, Config or
// Dial is missing.
func New(opts Options) (*Keeper, error) {
	if opts.Model == nil || opts.Config == nil || opts.Dial == nil {
		return nil, trace.BadParameter("keeper for target %v requires Model, Config and Dial", opts.Target)
	}
	if opts.QueueWait == nil {
		opts.QueueWait = func() time.Duration { return 0 }
	}
	if opts.Metrics == nil {
		opts.Metrics = tally.NoopScope
	}
	k := &Keeper{
		opts: opts, metrics: newMetrics(opts.Metrics),
		prompts: newPrompts(maxPrompts), queue: retention.NewQueue(retention.QueueOptions{}), returns: retention.NewReuseModel(),
		incarnations: map[string]uint64{},
	}
	k.flights = newFlights()
	k.cache.Store(&index.Snapshot{})
	k.load.Store(&engine.LoadReport{PrefillPerSec: defaultPrefillRate})
	k.summary.Store(&summary{})
	k.refreshTopology()
	return k, nil
}

// Run tracks the target's cache and load and exports blocks until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { k.trackCache(ctx); return nil })
	g.Go(func() error { k.pollLoad(ctx); return nil })
	g.Go(func() error { k.scanPrompts(ctx); return nil })
	g.Go(func() error { k.exportLoop(ctx); return nil })
	return g.Wait()
}

// Leave makes exports urgent for blocks that only this target holds, because the target is leaving.
func (k *Keeper) Leave() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.queue.StartLeaving()
}

// Summary returns the prompts that the target holds although it is not their home target, encoded for
// placement.DecodeSummary, and a generation number that increases with every change.
func (k *Keeper) Summary() (filter []byte, generation uint64) {
	s := k.summary.Load()
	return s.filter, s.generation
}

// refreshTopology rebuilds the topology if the configuration has changed, and returns the current one. When the weight
// version changes, it stops tracking the prompts of the old version and drops their blocks from the stores.
func (k *Keeper) refreshTopology() *topology {
	old := k.topology.Load()
	w := k.opts.Config()
	if w == nil || old != nil && old.world == w {
		return old
	}
	s := newTopology(w, &k.opts, old)
	k.topology.Store(s)
	k.mu.Lock()
	defer k.mu.Unlock()
	if old != nil && old.service != nil && s.service != nil && old.service.WeightVersion != s.service.WeightVersion {
		// Blocks of the old version are never requested again; transferring them would waste link bandwidth.
		k.queue.DropVersion(old.service.WeightVersion)
		k.prompts.removeVersion(old.service.WeightVersion)
		go k.dropVersion(s, old.service.WeightVersion)
	}
	if old != nil && old.acceptsNew && !s.acceptsNew {
		k.queue.StartLeaving()
	}
	return s
}

// dropVersion deletes the blocks of a weight version that is no longer served from all stores. Only the target that
// ranks first for the version does so, to avoid duplicate calls from every target of the service.
func (k *Keeper) dropVersion(s *topology, version string) {
	seed := block.NewSeed(s.service.Name, version, "")
	chosen := s.targets.Rank(block.ID(seed[:block.IDBytes]), 1, nil)
	if len(chosen) == 0 || s.targets.Members()[chosen[0]].Name != k.opts.Target {
		return
	}
	for _, st := range s.byName {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		if err := st.client.DropVersion(ctx, version); err != nil {
			k.metrics.storeErrors.Inc(1)
		}
		cancel()
	}
}

// trackCache keeps the index of the target's cache up to date.
func (k *Keeper) trackCache(ctx context.Context) {
	x := index.New(index.Options{})
	quietSince := time.Now()
	for ctx.Err() == nil {
		if err := k.pollCache(ctx, x); err != nil {
			k.metrics.cacheErrors.Inc(1)
			sleep.For(ctx, eventRetryDelay)
		}
		if x.Stale() {
			quietSince = time.Now()
		} else if time.Since(quietSince) > time.Minute {
			x.ResetResyncPeriod()
		}
	}
}

// pollCache applies the next page of cache events, after a full listing if events were lost. It returns the error of the
// first call to the target that fails.
func (k *Keeper) pollCache(ctx context.Context, x *index.Index) error {
	if x.TryStartListing(time.Now()) {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		listing, err := k.opts.Model.CacheBlocks(call)
		cancel()
		if err != nil {
			return err
		}
		k.metrics.listings.Inc(1)
		k.forgetAfterRestart(x.Replace(listing))
		k.cache.Store(x.Snapshot())
	}
	call, cancel := context.WithTimeout(ctx, eventWait+callTimeout)
	defer cancel()
	page, err := k.opts.Model.CacheEvents(call, x.NextSequence(), eventWait)
	if err != nil {
		return err
	}
	before := x.StoredEvents()
	k.forgetAfterRestart(x.Apply(page))
	k.metrics.stored.Inc(int64(x.StoredEvents() - before))
	k.cache.Store(x.Snapshot())
	return nil
}

// forgetAfterRestart discards the record of recent imports if outcome reports a new incarnation of the target.
func (k *Keeper) forgetAfterRestart(outcome index.Outcome) {
	if outcome != index.NewIncarnation {
		return
	}
	k.flights.forgetImports()
	klog.InfoS("target has a new incarnation; its cache is empty", "target", k.opts.Target)
}

// pollLoad refreshes the target's load report and the cache residency time derived from it.
func (k *Keeper) pollLoad(ctx context.Context) {
	fill := fillRate{}
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		report, err := k.opts.Model.Load(call)
		cancel()
		if err == nil {
			if report.PrefillPerSec <= 0 {
				report.PrefillPerSec = defaultPrefillRate
			}
			k.load.Store(&report)
			k.residency.Store(int64(fill.residency(&report, k.metrics.storedTotal(), time.Now())))
		}
		sleep.For(ctx, loadPeriod)
	}
}

// fillRate estimates how long an unused block stays in a full cache, from an EWMA of the rate at which blocks are stored.
type fillRate struct {
	updatedAt   time.Time
	stored      int64
	perSec      float64 // EWMA of blocks stored per second
	initialized bool
}

// fullFraction is the fraction of its capacity at which a cache is taken to evict.
const fullFraction = 0.9

// residency updates the rate with the total number of stored blocks and returns the estimated residency time. It
// returns zero if the cache is not full or the rate is unknown.
func (f *fillRate) residency(r *engine.LoadReport, stored int64, now time.Time) time.Duration {
	if gap := now.Sub(f.updatedAt).Seconds(); f.initialized && gap > 0 {
		f.perSec += 0.1 * (float64(stored-f.stored)/gap - f.perSec)
	}
	f.updatedAt, f.stored, f.initialized = now, stored, true
	full := r.CacheCapacity > 0 && float64(r.CacheBlocks) >= fullFraction*float64(r.CacheCapacity)
	if !full || f.perSec <= 0 {
		return 0
	}
	return time.Duration(float64(r.CacheCapacity) / f.perSec * float64(time.Second))
}

// scanPrompts periodically offers the prompts that the target holds for export and updates the summary.
func (k *Keeper) scanPrompts(ctx context.Context) {
	for ctx.Err() == nil {
		k.scan()
		sleep.For(ctx, scanPeriod)
	}
}

func (k *Keeper) scan() {
	s := k.refreshTopology()
	if s == nil || s.service == nil {
		return
	}
	cache := k.cache.Load()
	k.mu.Lock()
	held := k.prompts.scan(cache, func(p *prompt, blocks int) {
		k.offerExport(s, p, blocks)
	})
	k.mu.Unlock()
	k.updateSummary(s, held, time.Now())
}

// updateSummary publishes a new summary if the last one is at least summaryPeriod old and the content has changed.
func (k *Keeper) updateSummary(s *topology, held []placement.CachedPrompt, now time.Time) {
	old := k.summary.Load()
	if now.Sub(old.createdAt) < summaryPeriod {
		return
	}
	filter := placement.EncodeSummary(placement.NonOwnedPrompts(s.targets, k.opts.Target, held))
	if string(old.filter) != string(filter) {
		k.summary.Store(&summary{filter: filter, generation: old.generation + 1, createdAt: now})
	}
}

// offerExport queues the leading blocks of a prompt that the target holds for export. The caller holds k.mu.
func (k *Keeper) offerExport(s *topology, p *prompt, blocks int) {
	k.queue.Truncate(p.head, blocks)
	if blocks == 0 || p.version != s.service.WeightVersion {
		return
	}
	worth := retention.ValueInputs{
		RecomputeTime:    k.prefillTime(s.service.BlockTokens),
		ReuseProbability: k.returns.ReuseProbability(p.workspace, p.returns),
		Bytes:            int64(s.service.BlockBytes),
	}
	k.queue.Offer(retention.Prompt{
		Head: p.head, Chain: p.chain[:blocks], Workspace: p.workspace, Salt: p.salt, Version: p.version,
		Reuses: p.returns, Stores: s.rankedStores(p.head), Value: worth.Value(), LastUse: p.lastUse,
	}, p.stored)
}

// prefillTime returns the time that the target takes to prefill tokens.
func (k *Keeper) prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / k.load.Load().PrefillPerSec * float64(time.Second))
}

// jitter returns a random duration between d/2 and 3d/2, so that the sidecars do not act in lockstep.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }
