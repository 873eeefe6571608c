package gateway

import (
	"context"
	"errors"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"github.com/egrethoist/egrethoist/internal/catalog"
	"github.com/egrethoist/egrethoist/internal/departure"
	"github.com/egrethoist/egrethoist/internal/kvcache/directory"
	"github.com/egrethoist/egrethoist/internal/kvcache/holders"
	"github.com/egrethoist/egrethoist/internal/kvcache/retirement"
	"github.com/egrethoist/egrethoist/internal/kvcache/storepace"
	"github.com/egrethoist/egrethoist/internal/loadshare"
	"github.com/egrethoist/egrethoist/internal/pause"
	"github.com/egrethoist/egrethoist/internal/sleep"
	"github.com/egrethoist/egrethoist/internal/targetlimit"
)

const (
	// syncPeriod is how often the readers are matched with the declared stores and the usable targets.
	syncPeriod = 400 * time.Millisecond
	// readRetryDelay is the wait after a failed or denied read.
	readRetryDelay = 300 * time.Millisecond
	// limitedRecheckPeriod is how often to check whether the rate limit of a target has ended, so that it may be read again.
	limitedRecheckPeriod = time.Second
)

// CacheTracker tracks which cached parts of prompts the KV-cache stores and the targets hold, by reading their changes. It decides
// which parts are fetched and saved, and implements PromptCache. It is safe for concurrent use.
type CacheTracker struct {
	state     *State
	engines   Engines
	directory *directory.Directory
	holders   *holders.Index
	// isFresh reports whether the metadata is fresh enough for fetches. The rollout leader frees retired parts once every instance
	// with fresh metadata has stopped fetching them, so an instance with older metadata must not fetch at all.
	isFresh func() bool

	throttles sync.Map // *storepace.Throttle by hash of the store's address

	mu            sync.Mutex
	storeReaders  map[string]context.CancelFunc // by store name and address
	targetReaders map[string]context.CancelFunc // by target ID and address
	readers       sync.WaitGroup
}

// NewCacheTracker returns a tracker without readers; Run starts them. isFresh reports whether the metadata is at most
// MaxMetadataAge old.
func NewCacheTracker(state *State, engines Engines, isFresh func() bool) *CacheTracker {
	return &CacheTracker{
		state: state, engines: engines, directory: directory.New(), holders: holders.New(), isFresh: isFresh,
		storeReaders: map[string]context.CancelFunc{}, targetReaders: map[string]context.CancelFunc{},
	}
}

// Run reads the declared stores and the usable targets until ctx ends, and returns the context's error after all readers have ended.
func (c *CacheTracker) Run(ctx context.Context) error {
	defer c.readers.Wait()
	var revision uint64
	for sleep.For(ctx, syncPeriod) == nil {
		v := c.state.current.Load()
		if v == nil {
			continue
		}
		c.syncTargets(ctx, v)
		if v.revision == revision {
			continue
		}
		revision = v.revision
		c.syncStores(ctx, v.catalog.Stores)
	}
	return ctx.Err()
}

// syncStores starts and stops readers to match the declared stores.
func (c *CacheTracker) syncStores(ctx context.Context, stores []catalog.Store) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []directory.Store
	declared := map[string]catalog.Store{}
	for _, s := range stores {
		list = append(list, directory.Store{Name: s.Name, Address: s.Address, CapacityTokens: s.Tokens})
		declared[s.Name+" "+s.Address] = s
	}
	c.directory.SetStores(list)
	for key, cancel := range c.storeReaders {
		if _, ok := declared[key]; !ok {
			cancel()
			delete(c.storeReaders, key)
		}
	}
	for key, s := range declared {
		if c.storeReaders[key] == nil {
			reader, cancel := context.WithCancel(ctx)
			c.storeReaders[key] = cancel
			c.readers.Go(func() { c.readStore(reader, s) })
		}
	}
}

// readStore tracks the contents of one store until ctx ends: it reads the complete listing once and then the changes. After a
// failure it forgets the contents and starts again.
func (c *CacheTracker) readStore(ctx context.Context, s catalog.Store) {
	next, listed, unreachable := uint64(0), false, false
	limit := c.state.limits.register(s.Name, departure.IncarnationOf(s.Name, s.Address, 0))
	defer c.state.limits.remove(limit)
	for ctx.Err() == nil {
		if granted, wait := c.state.grantService.acquire(ctx, limit, grantPurpose{}); !granted {
			_ = sleep.For(ctx, jitter(max(wait, readRetryDelay))) // the loop checks ctx
			continue
		}
		var err error
		var notice Notice
		if !listed {
			next, notice, err = c.readListing(ctx, s)
			listed = err == nil
		} else {
			next, listed, notice, err = c.readChanges(ctx, s, next)
		}
		c.state.observeLimit(limit, notice.Limit, time.Now())
		if errors.Is(err, ErrBusy) {
			// Too many instances read the store at once. The known contents are kept, although they grow stale until the next read.
			_ = sleep.For(ctx, jitter(readRetryDelay)) // the loop checks ctx
			continue
		}
		if err != nil && ctx.Err() == nil {
			c.directory.Invalidate(s.Name)
			listed = false
			if !unreachable {
				klog.InfoS("KV-cache store not reachable", "store", s.Name, "address", s.Address, "err", err.Error())
			}
			unreachable = true
			_ = sleep.For(ctx, max(readRetryDelay, min(notice.Pause, pause.MaxPause))) // the loop checks ctx
			continue
		}
		if unreachable && listed {
			unreachable = false
			klog.InfoS("KV-cache store reachable again", "store", s.Name, "address", s.Address)
		}
		_ = sleep.For(ctx, jitter(c.pollPlan(s.MaxReaders).pause)) // the loop checks ctx
	}
}

// pollPlan returns how to poll a store or target that accepts so many concurrent readers.
func (c *CacheTracker) pollPlan(readers int) pollPlan {
	instances := 1
	if v := c.state.current.Load(); v != nil {
		instances = v.instances
	}
	return planPolling(instances, readers)
}

// readListing reads all parts that a store holds. It returns the position from which to read changes.
func (c *CacheTracker) readListing(ctx context.Context, s catalog.Store) (uint64, Notice, error) {
	begun := c.now()
	parts, err := c.engines.StoreParts(ctx, s.Address)
	if err != nil {
		return 0, parts.Notice, err
	}
	now := c.now()
	c.directory.ReplaceContents(s.Name, parts.Epoch, changes(parts.Complete), begun, now)
	logLateContents(s.Name, now.Sub(begun))
	klog.InfoS("KV-cache store listed", "store", s.Name, "epoch", parts.Epoch, "parts", len(parts.Complete), "broken", len(parts.Incomplete))
	return parts.Next, parts.Notice, nil
}

// readChanges reads the changes of a store since a position. It returns the next position, and false if changes were lost so that
// the complete listing must be read again. ErrBusy means that the store accepts no more readers at the moment.
func (c *CacheTracker) readChanges(ctx context.Context, s catalog.Store, since uint64) (uint64, bool, Notice, error) {
	wait, begun := c.pollPlan(s.MaxReaders).wait, c.now()
	e, err := c.engines.StoreEvents(ctx, s.Address, since, wait)
	if errors.Is(err, ErrBusy) {
		return since, true, e.Notice, err
	}
	if err != nil {
		return 0, false, e.Notice, err
	}
	now := c.now()
	c.state.targetClock.observe(e.Clock, begun, now)
	asOf := answeredAt(begun, now, wait, len(e.Events) > 0)
	if e.Gap || !c.directory.ApplyChanges(s.Name, e.Epoch, changes(e.Events), asOf) {
		c.directory.Invalidate(s.Name)
		klog.InfoS("changes of a KV-cache store lost, listing it again", "store", s.Name, "epoch", e.Epoch, "gap", e.Gap)
		return 0, false, e.Notice, nil
	}
	logLateContents(s.Name, now.Sub(asOf))
	return e.Next, true, e.Notice, nil
}

// now returns the present time by which the ages of what stores hold are measured.
func (c *CacheTracker) now() time.Time { return c.state.bootTime(time.Now()) }

// logLateContents logs that the contents of a store were too old to be used when they were read.
func logLateContents(store string, age time.Duration) {
	if age >= directory.MaxStaleness {
		klog.InfoS("contents of a KV-cache store came too late to be used", "store", store, "age_ms", age.Milliseconds())
	}
}

// changes converts events of a store to changes of the directory.
func changes(events []StoreEvent) []directory.Change {
	out := make([]directory.Change, len(events))
	for i, e := range events {
		out[i] = directory.Change{Added: e.Added, Key: directory.Key{Scope: e.Scope, Part: e.PartID}, Tokens: e.Tokens}
	}
	return out
}

// syncTargets starts and stops readers to match the usable engine targets. The contents of their memory change within seconds, so
// targets that do not accept all instances as readers at once are not read: the index would be too stale to be worth its cost.
func (c *CacheTracker) syncTargets(ctx context.Context, v *view) {
	c.mu.Lock()
	defer c.mu.Unlock()
	present := map[string]bool{}
	for _, sv := range v.services {
		if sv.Engine == nil || !planPolling(v.instances, sv.Engine.MaxReaders).allInstances {
			continue
		}
		for id, t := range sv.targets {
			key := id + " " + t.address
			present[key] = true
			if c.targetReaders[key] == nil {
				reader, cancel := context.WithCancel(ctx)
				c.targetReaders[key] = cancel
				c.readers.Go(func() { c.readTarget(reader, t, sv.Engine.MaxReaders) })
			}
		}
	}
	for key, cancel := range c.targetReaders {
		if !present[key] {
			cancel()
			delete(c.targetReaders, key)
		}
	}
}

// readTarget tracks which parts a target holds in memory until ctx ends. Lost changes are ignored, since the index is only a hint.
func (c *CacheTracker) readTarget(ctx context.Context, t *target, readers int) {
	defer c.holders.Drop(t.id)
	next, epoch, failures := uint64(0), uint64(0), 0
	for ctx.Err() == nil {
		if left := t.stats.PauseRemaining(time.Now()); left > 0 {
			c.holders.Drop(t.id)     // its entries would be stale after the pause
			_ = sleep.For(ctx, left) // the loop checks ctx
			continue
		}
		if _, limited := t.limit.rate(time.Now()); limited {
			c.holders.Drop(t.id)                     // its limited rate is reserved for requests
			_ = sleep.For(ctx, limitedRecheckPeriod) // the loop checks ctx
			continue
		}
		plan, begun := c.pollPlan(readers), c.now()
		e, err := c.engines.StoreEvents(ctx, t.address, next, plan.wait)
		c.state.targetClock.observe(e.Clock, begun, c.now())
		e.Speed = 0 // may be that of the begin of the long poll
		c.state.observeNotice(t, e.Notice, e.Born, time.Now())
		if err != nil {
			failures++
			if failures == maxFailedReads && ctx.Err() == nil {
				klog.InfoS("cannot read the cached parts of a target", "target", t.id, "err", err.Error())
				c.holders.Drop(t.id)
			}
			_ = sleep.For(ctx, readRetryDelay) // the loop checks ctx
			continue
		}
		failures = 0
		if epoch != 0 && e.Epoch != epoch {
			next, epoch = 0, 0 // the target has restarted, and with it the numbering of its events
			c.holders.Drop(t.id)
			continue
		}
		next, epoch = e.Next, e.Epoch
		list := make([]holders.Change, len(e.Events))
		for i, ev := range e.Events {
			list[i] = holders.Change{Key: holders.Key{Scope: ev.Scope, Part: ev.PartID}, Tokens: ev.Tokens}
			if !ev.Added && ev.Tokens > 0 {
				list[i].Tokens = 0
			}
		}
		c.holders.Apply(t.id, e.Epoch, list)
		_ = sleep.For(ctx, jitter(plan.pause)) // the loop checks ctx
	}
}

// usage returns the capacity of the stores for a model's parts, and how much of it is used by weight version, both in tokens.
func (c *CacheTracker) usage(model string) (capacity int, used map[int]int) {
	return c.directory.Usage(func(key directory.Key) (int, bool) {
		scope, ok := parseCacheScope(key.Scope)
		return scope.Version, ok && scope.Model == model
	})
}

// freeRetired removes a model's retired parts from all managed stores. It stops when a store's rate limit denies a call.
func (c *CacheTracker) freeRetired(ctx context.Context, model string, retired retirement.Shares) {
	v := c.state.current.Load()
	if v == nil {
		return
	}
	for _, s := range v.catalog.Stores {
		if !s.Managed {
			continue
		}
		keys, epoch := c.directory.Parts(s.Name, func(key directory.Key) bool {
			scope, ok := parseCacheScope(key.Scope)
			return ok && scope.Model == model && retired.Retired(scope.Version, key.Part)
		})
		for batch := range slices.Chunk(keys, freeBatchSize) {
			list := make([]StoreEvent, len(batch))
			for i, key := range batch {
				list[i] = StoreEvent{Scope: key.Scope, PartID: key.Part}
			}
			if granted, _ := c.state.grantService.acquire(ctx, c.state.limits.get(departure.IncarnationOf(s.Name, s.Address, 0)), grantPurpose{control: true, rank: targetlimit.NumRanks - 1}); !granted {
				return // the next scan tries again
			}
			err := c.engines.FreeParts(ctx, s.Address, epoch, list)
			klog.InfoS("parts of retired weights freed", "store", s.Name, "model", model, "retired", retired, "parts", len(list), "err", err)
		}
	}
}

const (
	// freeBatchSize is the maximum number of parts that one call frees.
	freeBatchSize = 200
	// FetchTimeout is the longest time from the sending of a request until its fetch has completed or is discarded.
	FetchTimeout = directory.MaxFetchTime
	// MaxMetadataAge is the age of the metadata from which no parts are fetched from or saved to stores, and workspaces share none.
	MaxMetadataAge = 2 * time.Second
)

// maxFailedReads is the number of consecutive failed reads after which a target is assumed to hold no parts.
const maxFailedReads = 3

// Holders implements PromptCache.
func (c *CacheTracker) Holders(scope CacheScope, parts []Part) []holders.Holding {
	list := make([]holders.Part, len(parts))
	text := scope.String()
	for i, p := range parts {
		list[i] = holders.Part{Key: holders.Key{Scope: text, Part: p.ID}, Tokens: p.Tokens}
	}
	return c.holders.Find(list)
}

// FetchSources implements PromptCache. Sources of parts after the first one without a source are of no use to the target.
func (c *CacheTracker) FetchSources(scope CacheScope, parts []Part, draw float64, now time.Time) []string {
	from := make([]string, len(parts))
	if !c.isFresh() {
		return from
	}
	text, retired, boot := scope.String(), c.retired(scope.Model), c.state.bootTime(now)
	for i, p := range parts {
		if retired.Retired(scope.Version, p.ID) {
			continue
		}
		address, ok := c.directory.Locate(directory.Key{Scope: text, Part: p.ID}, p.Tokens, boot)
		if !ok || !c.throttleByAddress(address, now).Allow(draw, now) {
			continue
		}
		from[i] = address
	}
	return from
}

// FetchDeadline implements PromptCache.
func (c *CacheTracker) FetchDeadline(d time.Duration) int64 {
	return c.state.targetClock.earliest(c.now().Add(d))
}

// RecordFetch implements PromptCache.
func (c *CacheTracker) RecordFetch(store string, delay, tolerance time.Duration, now time.Time) {
	throttle := c.throttleByAddress(store, now)
	before := throttle.Share()
	throttle.AddLocal(delay, tolerance, now)
	if after := throttle.Share(); (before < throttledThreshold) != (after < throttledThreshold) {
		klog.InfoS("fetches from a kept-cache store paced", "store", store, "share", after, "late", delay, "bearable", tolerance)
	}
}

// latenessRatioUnit is the unit of loadshare.Fetches.LatenessRatio: load messages carry the ratio in hundredths.
const latenessRatioUnit = 0.01

// takeUnsentFetches returns the delay ratios of this instance's fetches since the last call, summarized by store.
func (c *CacheTracker) takeUnsentFetches() []loadshare.Fetches {
	var out []loadshare.Fetches
	c.throttles.Range(func(store, throttle any) bool {
		if samples := throttle.(*storepace.Throttle).TakeUnsent(); samples.Count > 0 {
			out = append(out, loadshare.Fetches{
				Store: store.(uint64), Count: uint8(min(samples.Count, math.MaxUint8)), LatenessRatio: uint16(samples.Mean / latenessRatioUnit),
			})
		}
		return true
	})
	return out
}

// addPeerFetches adds the delay ratios of fetches that other instances have reported.
func (c *CacheTracker) addPeerFetches(list []loadshare.Fetches, now time.Time) {
	for _, f := range list {
		c.throttleByHash(f.Store, now).AddRemote(storepace.DelaySamples{Count: int(f.Count), Mean: float64(f.LatenessRatio) * latenessRatioUnit}, now)
	}
}

// throttledThreshold is the share of allowed fetches below which a store counts as throttled: nothing is saved to it, and crossing
// the threshold is logged.
const throttledThreshold = 0.7

// throttleByAddress returns the throttle of the store at an address.
func (c *CacheTracker) throttleByAddress(address string, now time.Time) *storepace.Throttle {
	return c.throttleByHash(xxhash.Sum64String(address), now)
}

// throttleByHash returns the throttle of the store whose address has the hash. If there is none, it creates one that allows all
// fetches.
func (c *CacheTracker) throttleByHash(store uint64, now time.Time) *storepace.Throttle {
	throttle, ok := c.throttles.Load(store)
	if !ok {
		throttle, _ = c.throttles.LoadOrStore(store, storepace.New(now))
	}
	return throttle.(*storepace.Throttle)
}

// SaveDestinations implements PromptCache.
func (c *CacheTracker) SaveDestinations(scope CacheScope, parts []Part, now time.Time) []string {
	to := make([]string, len(parts))
	if !c.isFresh() {
		return to
	}
	text, retired, boot := scope.String(), c.retired(scope.Model), c.state.bootTime(now)
	linkAllows := func(store string) bool { return c.throttleByAddress(store, now).Share() > throttledThreshold }
	for i, p := range parts {
		if !retired.Retired(scope.Version, p.ID) {
			to[i], _ = c.directory.ReserveSave(directory.Key{Scope: text, Part: p.ID}, p.Tokens, linkAllows, boot)
		}
	}
	return to
}

// retired returns the retired parts of a model, which may be freed at any time.
func (c *CacheTracker) retired(model string) retirement.Shares {
	if v := c.state.current.Load(); v != nil {
		return v.retired[model]
	}
	return nil
}
