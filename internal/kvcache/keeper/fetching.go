package keeper

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"lukechampine.com/blake3"

	egretv1 "github.com/egrethoist/egrethoist/gen/egret/v1"
	"github.com/egrethoist/egrethoist/internal/engine"
	"github.com/egrethoist/egrethoist/internal/kvcache/block"
	"github.com/egrethoist/egrethoist/internal/kvcache/fetch"
	"github.com/egrethoist/egrethoist/internal/kvcache/linkbudget"
	"github.com/egrethoist/egrethoist/internal/kvcache/placement"
	"github.com/egrethoist/egrethoist/internal/kvcache/transfer"
	"github.com/egrethoist/egrethoist/internal/steadytime"
)

// errRecomputeFaster cancels a fetch when recomputing the remaining blocks is faster.
var errRecomputeFaster = errors.New("recomputing the remaining blocks is faster")

// errImport ends a fetch when the target rejects a block.
var errImport = errors.New("target rejected the import of a block")

// promptFetch fetches the blocks of one request's prompt. Its readers divide the blocks by claiming them in the keeper's
// flights.
type promptFetch struct {
	keeper   *Keeper
	topology *topology
	open     *egretv1.Open
	chain    []block.ID

	mu            sync.Mutex
	cached        int            // leading blocks that the target holds
	importedAhead map[int]bool   // positions after the leading blocks that were imported out of order
	activeLinks   map[*link]bool // links with a running reader
	secondPending bool           // a second store may still be read from
}

// storeReader reads blocks of a prompt fetch from one store.
type storeReader struct {
	fetch       *promptFetch
	store       *remoteStore
	pinned      *transfer.Pinned
	lastArrival atomic.Int64 // when the last block arrived or the read began, in Unix ns
}

// fetch reads from the first store that holds further blocks. If many blocks are missing, it reads from the next store on
// a different link in parallel. It returns when all readers have ended.
func (f *promptFetch) fetch(ctx context.Context, stores []string) {
	var readers sync.WaitGroup
	defer readers.Wait()
	var first *storeReader
	for i, name := range stores {
		if !f.shouldQuery(name, first) {
			continue
		}
		r := f.openReader(ctx, f.topology.byName[name], i == 0)
		if first != nil {
			f.setSecondPending(false)
		} else if r != nil {
			rest := stores[i+1:]
			f.setSecondPending(slices.ContainsFunc(rest, func(name string) bool { return f.shouldQuery(name, r) }))
		}
		if r != nil {
			readers.Go(func() { r.run(ctx) })
		}
		if first != nil {
			return
		}
		first = r
	}
	f.setSecondPending(false)
}

// shouldQuery reports whether fetching from a store can be worthwhile. first is the reader already running, or nil.
func (f *promptFetch) shouldQuery(name string, first *storeReader) bool {
	st := f.topology.byName[name]
	if st == nil || f.cachedPrefix() == len(f.chain) || f.keeper.storeDown(name) {
		return false
	}
	in := f.decisionInput(len(f.chain), st.link)
	if first == nil {
		return fetch.Decide(in).FetchBlocks > 0 // assuming that the store holds all blocks
	}
	return first.store.link != st.link && fetch.UseSecondStore(in)
}

// setSecondPending records whether a second store may still be read from.
func (f *promptFetch) setSecondPending(pending bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.secondPending = pending
}

// openReader pins the blocks that a store holds and returns a reader for them, or nil if the store has nothing to add.
// isFirst marks the first store of the prompt.
func (f *promptFetch) openReader(ctx context.Context, st *remoteStore, isFirst bool) *storeReader {
	pinned := f.pin(ctx, st)
	if pinned == nil {
		return nil
	}
	if isFirst {
		f.keeper.recordStored(f.chain[placement.HeadBlocks-1], len(pinned.Blocks))
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.activeLinks[st.link] = true
	return &storeReader{fetch: f, store: st, pinned: pinned}
}

// pin pins the leading blocks that a store holds. It waits no longer than recomputing them would take, and returns nil if
// the call fails or the store holds no more than the target.
func (f *promptFetch) pin(ctx context.Context, st *remoteStore) *transfer.Pinned {
	in := f.decisionInput(len(f.chain), st.link)
	timeout := fetch.BlockTimeout(in, in.Blocks-in.CachedBlocks)
	call, cancel := context.WithTimeout(ctx, min(timeout, callTimeout))
	defer cancel()
	pinned, err := st.client.Pin(call, f.chain)
	if ctx.Err() != nil && err != nil {
		return nil // cancelled by the caller: not a store failure
	}
	if err != nil {
		f.keeper.storeFailed(st.client.Name())
		return nil
	}
	f.keeper.noteIncarnation(st.client)
	if len(pinned.Blocks) <= f.cachedPrefix() {
		st.client.Release(ctx, pinned)
		return nil
	}
	return pinned
}

// decisionInput returns the current input for deciding between fetching and recomputing, with the given links used in
// parallel. stored is the number of leading blocks that the store holds.
func (f *promptFetch) decisionInput(stored int, links ...*link) fetch.Input {
	svc := f.topology.service
	perSec := 0.0
	for _, l := range links {
		perSec += 1 / l.estimate(int64(svc.BlockBytes)).Seconds()
	}
	return fetch.Input{
		Blocks: len(f.chain), CachedBlocks: f.cachedPrefix(), StoredBlocks: stored,
		TailTokens:  max(int(f.open.PromptTokens)-len(f.chain)*svc.BlockTokens, 0),
		BlockTokens: svc.BlockTokens,
		PrefillRate: f.keeper.load.Load().PrefillPerSec,
		QueueWait:   f.keeper.opts.QueueWait(),
		BlockTime:   time.Duration(float64(time.Second) / perSec),
	}
}

// cachedPrefix returns the number of leading blocks that the target holds.
func (f *promptFetch) cachedPrefix() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cached
}

// advance extends the cached prefix by the blocks that were imported, for this request or another one.
func (f *promptFetch) advance() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advanceLocked()
}

// advanceLocked is advance for callers that hold f.mu.
func (f *promptFetch) advanceLocked() {
	now := time.Now()
	for f.cached < len(f.chain) && (f.importedAhead[f.cached] || f.keeper.flights.recentlyImported(f.chain[f.cached], now)) {
		delete(f.importedAhead, f.cached)
		f.cached++
	}
}

// linksInUse returns the links with a running reader, and whether blocks must be split between stores.
func (f *promptFetch) linksInUse() (links []*link, split bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for l := range f.activeLinks {
		links = append(links, l)
	}
	return links, f.secondPending || len(links) > 1
}

// run reads from the store until there is nothing left to read, then releases the pin.
func (r *storeReader) run(ctx context.Context) {
	r.readBlocks(ctx)
	f := r.fetch
	f.mu.Lock()
	delete(f.activeLinks, r.store.link)
	f.mu.Unlock()
	r.store.client.Release(ctx, r.pinned)
}

// decisionInput returns the current input for the reader's decisions.
func (r *storeReader) decisionInput() fetch.Input {
	links, _ := r.fetch.linksInUse()
	return r.fetch.decisionInput(len(r.pinned.Blocks), links...)
}

// recomputeFaster reports whether recomputing the remaining blocks is faster than fetching them.
func (r *storeReader) recomputeFaster() bool {
	in := r.decisionInput()
	return in.CachedBlocks < in.StoredBlocks && fetch.Decide(in).FetchBlocks == 0
}

// readBlocks fetches blocks while that is faster than recomputing them. It waits for blocks that another reader or request
// is already fetching.
func (r *storeReader) readBlocks(ctx context.Context) {
	f := r.fetch
	for {
		f.advance()
		from := f.cachedPrefix()
		if from >= len(r.pinned.Blocks) {
			return
		}
		if r.recomputeFaster() {
			f.keeper.metrics.cancelled.Inc(1)
			return
		}
		limit := len(f.chain)
		if _, split := f.linksInUse(); split {
			limit = fetch.RunLength(len(r.pinned.Blocks) - from)
		}
		claimed, inFlight := f.keeper.flights.claim(r.pinned.Blocks[from:], limit, time.Now())
		switch {
		case len(claimed) > 0:
			if r.readRun(ctx, claimed) != nil {
				return
			}
		case inFlight == nil || !r.waitForFlight(ctx, inFlight):
			return
		}
	}
}

// waitForFlight waits for a block that another reader or request is fetching. It returns false on a timeout or if ctx
// ends.
func (r *storeReader) waitForFlight(ctx context.Context, inFlight *flight) bool {
	timer := time.NewTimer(r.maxWait())
	defer timer.Stop()
	select {
	case <-inFlight.done:
	case <-timer.C:
		return false
	case <-ctx.Done():
		return false
	}
	if inFlight.ok {
		r.fetch.keeper.metrics.joined.Inc(1)
	}
	return true
}

// maxWait returns how long to wait for the next block before recomputing the remaining ones.
func (r *storeReader) maxWait() time.Duration {
	in := r.decisionInput()
	return fetch.BlockTimeout(in, max(in.StoredBlocks-in.CachedBlocks, 0))
}

// blockTimeout returns how long to wait for the reader's next block. It is shorter while another reader can take the block
// over.
func (r *storeReader) blockTimeout() time.Duration {
	links, _ := r.fetch.linksInUse()
	if len(links) < 2 {
		return r.maxWait()
	}
	return min(r.maxWait(), fetch.SwitchTimeout(r.decisionInput()))
}

// readRun reads and imports a run of blocks that this reader has claimed.
func (r *storeReader) readRun(ctx context.Context, claimed []*flight) error {
	f := r.fetch
	defer func() {
		for _, fl := range claimed {
			f.keeper.flights.finish(fl, false, time.Now()) // no effect on flights that have already succeeded
		}
	}()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	r.lastArrival.Store(steadytime.UnixNano(time.Now()))
	watchdog := r.startWatchdog(cancel)
	defer watchdog.Stop()
	ids := make([]block.ID, len(claimed))
	for i, fl := range claimed {
		ids[i] = fl.id
	}
	start := slices.Index(f.chain, ids[0])
	n := 0
	_, err := r.store.client.Read(ctx, r.pinned, ids, func(b transfer.Block) error {
		if err := r.importBlock(ctx, b); err != nil {
			return err // not recycled: the transport of the failed import may still read the data
		}
		r.store.client.Recycle(b.Data)
		f.markImported(start + n)
		f.keeper.flights.finish(claimed[n], true, time.Now())
		n++
		watchdog.Reset(r.blockTimeout())
		if r.recomputeFaster() {
			return errRecomputeFaster
		}
		return nil
	})
	switch {
	case err == nil:
	case errors.Is(err, errRecomputeFaster) || errors.Is(context.Cause(ctx), errRecomputeFaster):
		f.keeper.metrics.cancelled.Inc(1)
	case ctx.Err() != nil:
	case errors.Is(err, errImport):
		f.keeper.metrics.cacheErrors.Inc(1)
	case !transfer.IsBlockError(err):
		f.keeper.storeFailed(r.store.client.Name())
	}
	return err
}

// startWatchdog cancels the read when the next block takes longer than blockTimeout.
func (r *storeReader) startWatchdog(cancel context.CancelCauseFunc) *time.Timer {
	size := int64(r.fetch.topology.service.BlockBytes)
	return time.AfterFunc(r.blockTimeout(), func() {
		r.store.link.observeStall(size, time.Duration(steadytime.UnixNano(time.Now())-r.lastArrival.Load()))
		cancel(errRecomputeFaster)
	})
}

// importBlock imports a complete, verified block into the target. The block ID depends on the weight version and cache
// salt of the request, so an import that is in flight during a version change adds a block that no request of the new
// version can match.
func (r *storeReader) importBlock(ctx context.Context, b transfer.Block) error {
	f := r.fetch
	now := steadytime.UnixNano(time.Now())
	r.store.link.observe(linkbudget.Deadline, int64(len(b.Data)), time.Duration(now-r.lastArrival.Swap(now)))
	err := f.keeper.opts.Model.ImportBlock(ctx, engine.Block{
		Digest: b.ID.Hex(), Version: f.open.WeightVersion, Salt: f.open.CacheSalt, Data: b.Data, Sum: blake3.Sum256(b.Data),
	})
	if err != nil {
		return fmt.Errorf("%w: %w", errImport, err)
	}
	f.keeper.metrics.imported.Inc(1)
	f.keeper.metrics.importedBytes.Inc(int64(len(b.Data)))
	return nil
}

// markImported records that the block at a position of the chain was imported, and updates the cached prefix.
func (f *promptFetch) markImported(position int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.importedAhead[position] = true
	f.advanceLocked()
}
