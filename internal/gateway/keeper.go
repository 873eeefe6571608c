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
	// followPeriod is how often the declared stores and targets are looked at.
	followPeriod = 400 * time.Millisecond
	storeRetry   = 300 * time.Millisecond
	// limitedLookAgain is how often an instance looks whether a target whose rate is limited may be read again.
	limitedLookAgain = time.Second
)

// Keeper follows the kept-cache stores and answers what to fetch and what to save. It implements Kept.
type Keeper struct {
	state     *State
	engines   Engines
	directory *directory.Directory
	holders   *holders.Index
	// current reports whether the metadata is fresh enough for a fetch: the owner of orders frees parts once every
	// instance with a fresh view has stopped fetching them.
	current func() bool

	clock enginesClock
	paces sync.Map // *storepace.Throttle by hash of the store's address

	mu       sync.Mutex
	running  map[string]context.CancelFunc // readers of stores, by name and address
	watching map[string]context.CancelFunc // readers of targets, by ID and address
	readers  sync.WaitGroup
}

// NewKeeper returns a keeper. current reports whether the view of the metadata store is fresh.
func NewKeeper(state *State, engines Engines, current func() bool) *Keeper {
	return &Keeper{
		state: state, engines: engines, directory: directory.New(), holders: holders.New(), current: current,
		running: map[string]context.CancelFunc{}, watching: map[string]context.CancelFunc{},
	}
}

// Run follows the stores of the configuration in force until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	defer k.readers.Wait()
	var revision uint64
	for sleep.For(ctx, followPeriod) == nil {
		v := k.state.current.Load()
		if v == nil {
			continue
		}
		k.watch(ctx, v)
		if v.revision == revision {
			continue
		}
		revision = v.revision
		k.follow(ctx, v.catalog.Stores)
	}
	return ctx.Err()
}

// follow starts and stops readers to match the declared stores.
func (k *Keeper) follow(ctx context.Context, stores []catalog.Store) {
	k.mu.Lock()
	defer k.mu.Unlock()
	var list []directory.Store
	declared := map[string]catalog.Store{}
	for _, s := range stores {
		list = append(list, directory.Store{Name: s.Name, Address: s.Address, CapacityTokens: s.Tokens})
		declared[s.Name+" "+s.Address] = s
	}
	k.directory.SetStores(list)
	for key, cancel := range k.running {
		if _, ok := declared[key]; !ok {
			cancel()
			delete(k.running, key)
		}
	}
	for key, s := range declared {
		if k.running[key] == nil {
			reader, cancel := context.WithCancel(ctx)
			k.running[key] = cancel
			k.readers.Go(func() { k.read(reader, s) })
		}
	}
}

// read follows one store.
func (k *Keeper) read(ctx context.Context, s catalog.Store) {
	next, known, lost := uint64(0), false, false
	m := k.state.limits.meter(s.Name, departure.Of(s.Name, s.Address, 0))
	defer k.state.limits.drop(m)
	for ctx.Err() == nil {
		if granted, wait := k.state.permits.take(ctx, m, want{}); !granted {
			_ = sleep.For(ctx, jitter(max(wait, storeRetry))) // the loop looks at ctx itself
			continue
		}
		var err error
		var notice Notice
		if !known {
			next, notice, err = k.list(ctx, s)
			known = err == nil
		} else {
			next, known, notice, err = k.events(ctx, s, next)
		}
		k.state.observeLimit(m, notice.Limit, time.Now())
		if errors.Is(err, ErrBusy) {
			// Too many instances read at once: what is known stays, and ages until the next reading.
			_ = sleep.For(ctx, jitter(storeRetry)) // the loop looks at ctx itself
			continue
		}
		if err != nil && ctx.Err() == nil {
			k.directory.MarkUnreachable(s.Name)
			known = false
			if !lost {
				klog.InfoS("kept-cache store lost", "store", s.Name, "address", s.Address, "err", err.Error())
			}
			lost = true
			_ = sleep.For(ctx, max(storeRetry, min(notice.Pause, pause.Longest))) // the loop looks at ctx itself
			continue
		}
		if lost && known {
			lost = false
			klog.InfoS("kept-cache store reached again", "store", s.Name, "address", s.Address)
		}
		_ = sleep.For(ctx, jitter(k.reading(s.MaxReaders).pause)) // the loop looks at ctx itself
	}
}

// reading returns how a store or target that holds so many readings at once is read.
func (k *Keeper) reading(readers int) readingPlan {
	instances := 1
	if v := k.state.current.Load(); v != nil {
		instances = v.instances
	}
	return planReading(instances, readers)
}

func (k *Keeper) list(ctx context.Context, s catalog.Store) (uint64, Notice, error) {
	parts, err := k.engines.StoreParts(ctx, s.Address)
	if err != nil {
		return 0, parts.Notice, err
	}
	k.directory.ReplaceContents(s.Name, parts.Epoch, changes(parts.Whole), time.Now())
	klog.InfoS("kept-cache store read", "store", s.Name, "epoch", parts.Epoch, "parts", len(parts.Whole), "broken", len(parts.Broken))
	return parts.Next, parts.Notice, nil
}

// events reads the changes since. It returns false if the content must be read anew.
func (k *Keeper) events(ctx context.Context, s catalog.Store, since uint64) (uint64, bool, Notice, error) {
	e, err := k.engines.StoreEvents(ctx, s.Address, since, k.reading(s.MaxReaders).wait)
	if errors.Is(err, ErrBusy) {
		return since, true, e.Notice, err
	}
	if err != nil {
		return 0, false, e.Notice, err
	}
	k.clock.set(e.Clock)
	if e.Gap || !k.directory.ApplyChanges(s.Name, e.Epoch, changes(e.Events), time.Now()) {
		klog.InfoS("changes of a kept-cache store missed", "store", s.Name, "epoch", e.Epoch, "gap", e.Gap)
		return 0, false, e.Notice, nil
	}
	return e.Next, true, e.Notice, nil
}

func changes(events []StoreEvent) []directory.Change {
	out := make([]directory.Change, len(events))
	for i, e := range events {
		out[i] = directory.Change{Added: e.Added, Key: directory.Key{Scope: e.Scope, Part: e.PartID}, Tokens: e.Tokens}
	}
	return out
}

// watch starts and stops readers to match the engines in use. Memory turns over within seconds, so where a target does not
// hold a reading for every instance at once the index would come too late to pay for itself.
func (k *Keeper) watch(ctx context.Context, v *view) {
	k.mu.Lock()
	defer k.mu.Unlock()
	present := map[string]bool{}
	for _, sv := range v.services {
		if sv.Engine == nil || !planReading(v.instances, sv.Engine.MaxReaders).all {
			continue
		}
		for id, t := range sv.targets {
			key := id + " " + t.address
			present[key] = true
			if k.watching[key] == nil {
				reader, cancel := context.WithCancel(ctx)
				k.watching[key] = cancel
				k.readers.Go(func() { k.readTarget(reader, t, sv.Engine.MaxReaders) })
			}
		}
	}
	for key, cancel := range k.watching {
		if !present[key] {
			cancel()
			delete(k.watching, key)
		}
	}
}

// readTarget follows what a target holds. Gaps are let be: the index is a hint.
func (k *Keeper) readTarget(ctx context.Context, t *target, readers int) {
	defer k.holders.Drop(t.id)
	next, epoch, failures := uint64(0), uint64(0), 0
	for ctx.Err() == nil {
		if left := t.stats.PauseLeft(time.Now()); left > 0 {
			k.holders.Drop(t.id)     // it gets old meanwhile
			_ = sleep.For(ctx, left) // the loop looks at ctx itself
			continue
		}
		if _, limited := t.meter.rate(time.Now()); limited {
			k.holders.Drop(t.id)                 // what little it takes is for requests
			_ = sleep.For(ctx, limitedLookAgain) // the loop looks at ctx itself
			continue
		}
		plan := k.reading(readers)
		e, err := k.engines.StoreEvents(ctx, t.address, next, plan.wait)
		k.state.observeNotice(t, e.Notice, e.Born, time.Now())
		if err != nil {
			failures++
			if failures == lostAfter && ctx.Err() == nil {
				klog.InfoS("target does not tell what it holds", "target", t.id, "err", err.Error())
				k.holders.Drop(t.id)
			}
			_ = sleep.For(ctx, storeRetry) // the loop looks at ctx itself
			continue
		}
		failures = 0
		if epoch != 0 && e.Epoch != epoch {
			next, epoch = 0, 0 // it restarted, and counts anew
			k.holders.Drop(t.id)
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
		k.holders.Apply(t.id, e.Epoch, list)
		_ = sleep.For(ctx, jitter(plan.pause)) // the loop looks at ctx itself
	}
}

// usage returns how many tokens of a model's parts the stores may hold, and how many they hold by weight version.
func (k *Keeper) usage(model string) (capacity int, used map[int]int) {
	return k.directory.Usage(func(key directory.Key) (int, bool) {
		scope, ok := parseScope(key.Scope)
		return scope.Version, ok && scope.Model == model
	})
}

// free removes a model's retired parts from all stores.
func (k *Keeper) free(ctx context.Context, model string, retired retirement.Shares) {
	v := k.state.current.Load()
	if v == nil {
		return
	}
	for _, s := range v.catalog.Stores {
		if !s.Managed {
			continue
		}
		keys, epoch := k.directory.Parts(s.Name, func(key directory.Key) bool {
			scope, ok := parseScope(key.Scope)
			return ok && scope.Model == model && retired.Retired(scope.Version, key.Part)
		})
		for batch := range slices.Chunk(keys, freeBatch) {
			list := make([]StoreEvent, len(batch))
			for i, key := range batch {
				list[i] = StoreEvent{Scope: key.Scope, PartID: key.Part}
			}
			if granted, _ := k.state.permits.take(ctx, k.state.limits.of(departure.Of(s.Name, s.Address, 0)), want{control: true, rank: targetlimit.Ranks - 1}); !granted {
				return // the next look tries again
			}
			err := k.engines.FreeParts(ctx, s.Address, epoch, list)
			klog.InfoS("parts of retired weights freed", "store", s.Name, "model", model, "retired", retired, "parts", len(list), "err", err)
		}
	}
}

const (
	// freeBatch is the number of parts in one call.
	freeBatch = 200
	// FetchLimit is the longest time from a request's sending until its fetch has ended or is thrown away.
	FetchLimit = directory.MaxFetchTime
	// FreshMetadata is the age of the last answer of the metadata store up to which parts are fetched and saved.
	FreshMetadata = 2 * time.Second
)

// lostAfter is the number of failed readings in a row after which a target counts as holding nothing.
const lostAfter = 3

// Holders implements Kept.
func (k *Keeper) Holders(scope Scope, parts []Part) []holders.Holding {
	list := make([]holders.Part, len(parts))
	text := scope.String()
	for i, p := range parts {
		list[i] = holders.Part{Key: holders.Key{Scope: text, Part: p.ID}, Tokens: p.Tokens}
	}
	return k.holders.Find(list)
}

// Held implements Kept. Parts after the first missing one are of no use.
func (k *Keeper) Held(scope Scope, parts []Part, draw float64, now time.Time) []string {
	from := make([]string, len(parts))
	if !k.current() {
		return from
	}
	text, retired := scope.String(), k.retired(scope.Model)
	for i, p := range parts {
		if retired.Retired(scope.Version, p.ID) {
			continue
		}
		address, ok := k.directory.Locate(directory.Key{Scope: text, Part: p.ID}, p.Tokens, now)
		if !ok || !k.pace(address, now).Allow(draw, now) {
			continue
		}
		from[i] = address
	}
	return from
}

// FetchEnd implements Kept.
func (k *Keeper) FetchEnd(d time.Duration) int64 { return k.clock.after(d) }

// Fetched implements Kept.
func (k *Keeper) Fetched(store string, late, bearable time.Duration, now time.Time) {
	p := k.pace(store, now)
	before := p.Share()
	p.AddLocal(late, bearable, now)
	if after := p.Share(); (before < pacedShare) != (after < pacedShare) {
		klog.InfoS("fetches from a kept-cache store paced", "store", store, "share", after, "late", late, "bearable", bearable)
	}
}

// strainUnit is the unit in which instances tell each other the strain of a store.
const strainUnit = 0.01

// unsentFetches returns how this instance's fetches went since the last call.
func (k *Keeper) unsentFetches() []loadshare.Fetches {
	var out []loadshare.Fetches
	k.paces.Range(func(store, pace any) bool {
		if s := pace.(*storepace.Throttle).TakeUnsent(); s.Count > 0 {
			out = append(out, loadshare.Fetches{
				Store: store.(uint64), Count: uint8(min(s.Count, math.MaxUint8)), Strain: uint16(s.Mean / strainUnit),
			})
		}
		return true
	})
	return out
}

// fetchedByOthers takes in how the fetches of another instance went.
func (k *Keeper) fetchedByOthers(list []loadshare.Fetches, now time.Time) {
	for _, f := range list {
		k.paceOf(f.Store, now).AddRemote(storepace.DelaySamples{Count: int(f.Count), Mean: float64(f.Strain) * strainUnit}, now)
	}
}

// pacedShare is the share of fetches below which a store is reported as paced.
const pacedShare = 0.7

// pace returns the pace of the store at the address.
func (k *Keeper) pace(address string, now time.Time) *storepace.Throttle {
	return k.paceOf(xxhash.Sum64String(address), now)
}

func (k *Keeper) paceOf(store uint64, now time.Time) *storepace.Throttle {
	p, ok := k.paces.Load(store)
	if !ok {
		p, _ = k.paces.LoadOrStore(store, storepace.New(now))
	}
	return p.(*storepace.Throttle)
}

// Save implements Kept.
func (k *Keeper) Save(scope Scope, parts []Part, now time.Time) []string {
	to := make([]string, len(parts))
	if !k.current() {
		return to
	}
	text, retired := scope.String(), k.retired(scope.Model)
	carries := func(store string) bool { return k.pace(store, now).Share() > pacedShare }
	for i, p := range parts {
		if !retired.Retired(scope.Version, p.ID) {
			to[i], _ = k.directory.ReserveSave(directory.Key{Scope: text, Part: p.ID}, p.Tokens, carries, now)
		}
	}
	return to
}

// retired returns the parts of a model that may be freed at any moment.
func (k *Keeper) retired(model string) retirement.Shares {
	if v := k.state.current.Load(); v != nil {
		return v.retired[model]
	}
	return nil
}
