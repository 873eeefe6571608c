// Package keeper moves a target's cache to and from the kept-cache stores. It follows the target's cache
// events, brings blocks of returning prompts to the target before they run, and exports blocks when the link
// is idle, before they are evicted, and when the target leaves. The decisions are in the packages beside it.
//
// Nothing that fails here fails a request: a block that can't be fetched is computed.
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
	Target  string // name of the target
	Service string
	Model   engine.Model
	Config  func() *world.World                     // configuration in force; nil before the first
	Dial    func(store *world.Store) transfer.Store // makes a client of a store
	Queue   func() time.Duration                    // wait of a new request in the target's queue; nil is none
	Metrics tally.Scope                             // nil discards
}

// Periods and limits of the keeper's own loops.
const (
	eventWait     = 2 * time.Second        // longest wait for cache events in one call
	eventRetry    = 250 * time.Millisecond // after a call that failed
	loadPeriod    = time.Second
	scanPeriod    = 500 * time.Millisecond
	summaryPeriod = 10 * time.Second // least time between two summaries, to bound what the entries are told
	maxPrompts    = 4096
	callTimeout   = 5 * time.Second
	defaultSpeed  = 8000 // prefill tokens per second before the first load report
)

// Keeper serves one target. It is safe for concurrent use.
type Keeper struct {
	opts    Options
	metrics *metrics

	topology atomic.Pointer[topology]
	cache    atomic.Pointer[index.Snapshot]
	load     atomic.Pointer[engine.LoadReport]
	summary  atomic.Pointer[summary]
	residual atomic.Int64 // estimated time that an unused block stays in the target's cache, ns; zero is unknown

	mu      sync.Mutex // guards what follows; held for short computations only
	prompts *prompts
	queue   *retention.Queue
	returns *retention.ReuseModel
	seen    map[string]uint64 // last incarnation of each store

	flights flights
}

// summary is what Summary gives.
type summary struct {
	filter     []byte
	generation uint64
	at         time.Time
}

// New returns a keeper that knows nothing of its target yet.
func New(opts Options) (*Keeper, error) {
	if opts.Model == nil || opts.Config == nil || opts.Dial == nil {
		return nil, trace.BadParameter("keeper of %v needs a model, a configuration and a way to dial", opts.Target)
	}
	if opts.Queue == nil {
		opts.Queue = func() time.Duration { return 0 }
	}
	if opts.Metrics == nil {
		opts.Metrics = tally.NoopScope
	}
	k := &Keeper{
		opts: opts, metrics: newMetrics(opts.Metrics),
		prompts: newPrompts(maxPrompts), queue: retention.NewQueue(retention.QueueOptions{}), returns: retention.NewReuseModel(),
		seen: map[string]uint64{},
	}
	k.flights = newFlights()
	k.cache.Store(&index.Snapshot{})
	k.load.Store(&engine.LoadReport{PrefillPerSec: defaultSpeed})
	k.summary.Store(&summary{})
	k.follow()
	return k, nil
}

// Run follows the target and exports blocks until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { k.followCache(ctx); return nil })
	g.Go(func() error { k.followLoad(ctx); return nil })
	g.Go(func() error { k.scanPrompts(ctx); return nil })
	g.Go(func() error { k.export(ctx); return nil })
	return g.Wait()
}

// Leave makes the export of what only this target holds urgent, because the target is leaving.
func (k *Keeper) Leave() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.queue.StartLeaving()
}

// Summary returns the prompts that the target holds although it isn't their home, in the form that
// placement.DecodeSummary reads, and a number that grows with every change.
func (k *Keeper) Summary() (filter []byte, generation uint64) {
	s := k.summary.Load()
	return s.filter, s.generation
}

// follow takes the configuration in force.
func (k *Keeper) follow() *topology {
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
		// Nobody asks for these blocks any more, so moving them would only take from the link.
		k.queue.DropVersion(old.service.WeightVersion)
		k.prompts.retire(old.service.WeightVersion)
		go k.dropVersion(s, old.service.WeightVersion)
	}
	if old != nil && old.takesNew && !s.takesNew {
		k.queue.StartLeaving()
	}
	return s
}

// dropVersion tells the stores that a weight version is no longer served. One target of the service does it.
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

// followCache keeps the index of the target's cache.
func (k *Keeper) followCache(ctx context.Context) {
	x := index.New(index.Options{})
	quietSince := time.Now()
	for ctx.Err() == nil {
		if err := k.cacheStep(ctx, x); err != nil {
			k.metrics.cacheErrors.Inc(1)
			sleep.For(ctx, eventRetry)
		}
		if x.Stale() {
			quietSince = time.Now()
		} else if time.Since(quietSince) > time.Minute {
			x.ResetResyncPeriod()
		}
	}
}

// cacheStep takes the next page of events and, if events were lost, a listing.
func (k *Keeper) cacheStep(ctx context.Context, x *index.Index) error {
	if x.TryStartListing(time.Now()) {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		listing, err := k.opts.Model.CacheBlocks(call)
		cancel()
		if err != nil {
			return err
		}
		k.metrics.listings.Inc(1)
		k.restarted(x.Replace(listing))
		k.cache.Store(x.Snapshot())
	}
	call, cancel := context.WithTimeout(ctx, eventWait+callTimeout)
	defer cancel()
	page, err := k.opts.Model.CacheEvents(call, x.NextSequence(), eventWait)
	if err != nil {
		return err
	}
	before := x.StoredEvents()
	k.restarted(x.Apply(page))
	k.metrics.stored.Inc(int64(x.StoredEvents() - before))
	k.cache.Store(x.Snapshot())
	return nil
}

// restarted forgets what was brought to an earlier incarnation of the target, if the outcome tells of a new one.
func (k *Keeper) restarted(outcome index.Outcome) {
	if outcome != index.NewIncarnation {
		return
	}
	k.flights.forget()
	klog.InfoS("target has a new incarnation; its cache is empty", "target", k.opts.Target)
}

// followLoad keeps the target's load report and what follows from it.
func (k *Keeper) followLoad(ctx context.Context) {
	held := fillRate{}
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		report, err := k.opts.Model.Load(call)
		cancel()
		if err == nil {
			if report.PrefillPerSec <= 0 {
				report.PrefillPerSec = defaultSpeed
			}
			k.load.Store(&report)
			k.residual.Store(int64(held.residency(&report, k.metrics.storedTotal(), time.Now())))
		}
		sleep.For(ctx, loadPeriod)
	}
}

// fillRate estimates how long an unused block stays in a cache that is full.
type fillRate struct {
	at      time.Time
	stored  int64
	perSec  float64
	started bool
}

// fullShare is the share of its capacity at which a cache evicts.
const fullShare = 0.9

func (f *fillRate) residency(r *engine.LoadReport, stored int64, now time.Time) time.Duration {
	if gap := now.Sub(f.at).Seconds(); f.started && gap > 0 {
		f.perSec += 0.1 * (float64(stored-f.stored)/gap - f.perSec)
	}
	f.at, f.stored, f.started = now, stored, true
	full := r.CacheCapacity > 0 && float64(r.CacheBlocks) >= fullShare*float64(r.CacheCapacity)
	if !full || f.perSec <= 0 {
		return 0
	}
	return time.Duration(float64(r.CacheCapacity) / f.perSec * float64(time.Second))
}

// scanPrompts offers what the target holds for export and renews the summary.
func (k *Keeper) scanPrompts(ctx context.Context) {
	for ctx.Err() == nil {
		k.scan()
		sleep.For(ctx, scanPeriod)
	}
}

func (k *Keeper) scan() {
	s := k.follow()
	if s == nil || s.service == nil {
		return
	}
	cache := k.cache.Load()
	k.mu.Lock()
	held := k.prompts.scan(cache, func(p *prompt, blocks int) {
		k.offer(s, p, blocks)
	})
	k.mu.Unlock()
	k.summarise(s, held, time.Now())
}

// summarise renews the summary if it is due.
func (k *Keeper) summarise(s *topology, held []placement.CachedPrompt, now time.Time) {
	old := k.summary.Load()
	if now.Sub(old.at) < summaryPeriod {
		return
	}
	filter := placement.EncodeSummary(placement.NonOwnedPrompts(s.targets, k.opts.Target, held))
	if string(old.filter) != string(filter) {
		k.summary.Store(&summary{filter: filter, generation: old.generation + 1, at: now})
	}
}

// offer hands a prompt's blocks that the target holds to the export queue. The lock is held.
func (k *Keeper) offer(s *topology, p *prompt, blocks int) {
	k.queue.Truncate(p.head, blocks)
	if blocks == 0 || p.version != s.service.WeightVersion {
		return
	}
	worth := retention.ValueInputs{
		RecomputeTime:    k.prefill(s.service.BlockTokens),
		ReuseProbability: k.returns.ReuseProbability(p.workspace, p.returns),
		Bytes:            int64(s.service.BlockBytes),
	}
	k.queue.Offer(retention.Prompt{
		Head: p.head, Chain: p.chain[:blocks], Workspace: p.workspace, Salt: p.salt, Version: p.version,
		Reuses: p.returns, Stores: s.storesOf(p.head), Value: worth.Value(), LastUse: p.lastUse,
	}, p.kept)
}

// prefill returns the time to compute tokens at the target.
func (k *Keeper) prefill(tokens int) time.Duration {
	return time.Duration(float64(tokens) / k.load.Load().PrefillPerSec * float64(time.Second))
}

// jitter spreads repeated work of many sidecars.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d) }
