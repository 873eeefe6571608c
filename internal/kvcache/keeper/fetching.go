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
)

// errWorthless ends a fetch that computing would overtake.
var errWorthless = errors.New("computing is faster")

// errImport ends a fetch whose target did not take a block.
var errImport = errors.New("target did not take a block")

// fetching is one request's fetch. Its readers share the blocks out by the keeper's flights.
type fetching struct {
	k     *Keeper
	s     *topology
	open  *egretv1.Open
	chain []block.ID

	mu     sync.Mutex
	cached int            // leading blocks at the target by now
	have   map[int]bool   // blocks beyond these that were imported for this request
	links  map[*link]bool // of the readers that have not ended
	asking bool           // a second store may come to be read
}

// reader reads the blocks of a fetch from one store.
type reader struct {
	f      *fetching
	store  *remoteStore
	pinned *transfer.Pinned
	last   atomic.Int64 // when the last block arrived or the read began, Unix ns
}

// fetch brings blocks from the first store that holds any, and from the next one at the same time if there is much to
// bring and its link is another.
func (f *fetching) fetch(ctx context.Context, stores []string) {
	var readers sync.WaitGroup
	defer readers.Wait()
	var first *reader
	for i, name := range stores {
		if !f.worth(name, first) {
			continue
		}
		r := f.begin(ctx, f.s.byName[name], i == 0)
		if first != nil {
			f.asks(false)
		} else if r != nil {
			rest := stores[i+1:]
			f.asks(slices.ContainsFunc(rest, func(name string) bool { return f.worth(name, r) }))
		}
		if r != nil {
			readers.Go(func() { r.run(ctx) })
		}
		if first != nil {
			return
		}
		first = r
	}
	f.asks(false)
}

// worth reports whether a store should be asked, given the reader that there is.
func (f *fetching) worth(name string, first *reader) bool {
	st := f.s.byName[name]
	if st == nil || f.prefix() == len(f.chain) || f.k.down(name) {
		return false
	}
	in := f.input(len(f.chain), st.link)
	if first == nil {
		return fetch.Decide(in).FetchBlocks > 0 // if the store holds everything
	}
	return first.store.link != st.link && fetch.UseSecondStore(in)
}

// asks records whether a second store may come to be read.
func (f *fetching) asks(asking bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asking = asking
}

// begin pins what a store holds.
func (f *fetching) begin(ctx context.Context, st *remoteStore, home bool) *reader {
	pinned := f.pin(ctx, st)
	if pinned == nil {
		return nil
	}
	if home {
		f.k.kept(f.chain[placement.HeadBlocks-1], len(pinned.Blocks))
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.links[st.link] = true
	return &reader{f: f, store: st, pinned: pinned}
}

// pin asks a store for the blocks. It waits no longer than computing them would take.
func (f *fetching) pin(ctx context.Context, st *remoteStore) *transfer.Pinned {
	in := f.input(len(f.chain), st.link)
	patience := fetch.BlockTimeout(in, in.Blocks-in.CachedBlocks)
	call, cancel := context.WithTimeout(ctx, min(patience, callTimeout))
	defer cancel()
	pinned, err := st.client.Pin(call, f.chain)
	if ctx.Err() != nil && err != nil {
		return nil // the caller left, which says nothing of the store
	}
	if err != nil {
		f.k.failed(st.client.Name())
		return nil
	}
	f.k.sawIncarnation(st.client)
	if len(pinned.Blocks) <= f.prefix() {
		st.client.Release(ctx, pinned)
		return nil
	}
	return pinned
}

// input is what the decision between fetching and computing needs now, if links are used together.
func (f *fetching) input(stored int, links ...*link) fetch.Input {
	svc := f.s.service
	perSec := 0.0
	for _, l := range links {
		perSec += 1 / l.estimate(int64(svc.BlockBytes)).Seconds()
	}
	return fetch.Input{
		Blocks: len(f.chain), CachedBlocks: f.prefix(), StoredBlocks: stored,
		TailTokens:  max(int(f.open.PromptTokens)-len(f.chain)*svc.BlockTokens, 0),
		BlockTokens: svc.BlockTokens,
		PrefillRate: f.k.load.Load().PrefillPerSec,
		QueueWait:   f.k.opts.Queue(),
		BlockTime:   time.Duration(float64(time.Second) / perSec),
	}
}

// prefix returns the number of leading blocks at the target by now.
func (f *fetching) prefix() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cached
}

// advance counts the blocks that have arrived, for this request or for another.
func (f *fetching) advance() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count()
}

func (f *fetching) count() {
	now := time.Now()
	for f.cached < len(f.chain) && (f.have[f.cached] || f.k.flights.has(f.chain[f.cached], now)) {
		delete(f.have, f.cached)
		f.cached++
	}
}

// reading returns the links in use, and whether blocks are to be shared out.
func (f *fetching) reading() (links []*link, shared bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for l := range f.links {
		links = append(links, l)
	}
	return links, f.asking || len(links) > 1
}

// run reads from the reader's store until nothing is left to read there.
func (r *reader) run(ctx context.Context) {
	r.read(ctx)
	f := r.f
	f.mu.Lock()
	delete(f.links, r.store.link)
	f.mu.Unlock()
	r.store.client.Release(ctx, r.pinned)
}

// input is what the reader's decisions need now.
func (r *reader) input() fetch.Input {
	links, _ := r.f.reading()
	return r.f.input(len(r.pinned.Blocks), links...)
}

// worthless reports whether computing what is left is faster.
func (r *reader) worthless() bool {
	in := r.input()
	return in.CachedBlocks < in.StoredBlocks && fetch.Decide(in).FetchBlocks == 0
}

// read fetches blocks while that is worth it. Blocks that another reader or another request is fetching are waited for.
func (r *reader) read(ctx context.Context) {
	f := r.f
	for {
		f.advance()
		from := f.prefix()
		if from >= len(r.pinned.Blocks) {
			return
		}
		if r.worthless() {
			f.k.metrics.cancelled.Inc(1)
			return
		}
		most := len(f.chain)
		if _, shared := f.reading(); shared {
			most = fetch.RunLength(len(r.pinned.Blocks) - from)
		}
		mine, other := f.k.flights.claim(r.pinned.Blocks[from:], most, time.Now())
		switch {
		case len(mine) > 0:
			if r.readRun(ctx, mine) != nil {
				return
			}
		case other == nil || !r.join(ctx, other):
			return
		}
	}
}

// join waits for a block that another reader or another request is fetching.
func (r *reader) join(ctx context.Context, other *flight) bool {
	timer := time.NewTimer(r.patience())
	defer timer.Stop()
	select {
	case <-other.done:
	case <-timer.C:
		return false
	case <-ctx.Done():
		return false
	}
	if other.ok {
		r.f.k.metrics.joined.Inc(1)
	}
	return true
}

func (r *reader) patience() time.Duration {
	in := r.input()
	return fetch.BlockTimeout(in, max(in.StoredBlocks-in.CachedBlocks, 0))
}

// overdue returns how long to wait for the reader's next block: not long if another reader can take it over.
func (r *reader) overdue() time.Duration {
	links, _ := r.f.reading()
	if len(links) < 2 {
		return r.patience()
	}
	return min(r.patience(), fetch.SwitchTimeout(r.input()))
}

// readRun reads a run of blocks that this reader has claimed.
func (r *reader) readRun(ctx context.Context, mine []*flight) error {
	f := r.f
	defer func() {
		for _, fl := range mine {
			f.k.flights.finish(fl, false, time.Now()) // no effect on those that succeeded
		}
	}()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	r.last.Store(time.Now().UnixNano())
	watch := r.watch(cancel)
	defer watch.Stop()
	ids := make([]block.ID, len(mine))
	for i, fl := range mine {
		ids[i] = fl.id
	}
	at := slices.Index(f.chain, ids[0])
	n := 0
	_, err := r.store.client.Read(ctx, r.pinned, ids, func(b transfer.Block) error {
		if err := r.arrived(ctx, b); err != nil {
			return err // the data may still be read by what was to write it to the target
		}
		r.store.client.Recycle(b.Data)
		f.imported(at + n)
		f.k.flights.finish(mine[n], true, time.Now())
		n++
		watch.Reset(r.overdue())
		if r.worthless() {
			return errWorthless
		}
		return nil
	})
	switch {
	case err == nil:
	case errors.Is(err, errWorthless) || errors.Is(context.Cause(ctx), errWorthless):
		f.k.metrics.cancelled.Inc(1)
	case ctx.Err() != nil:
	case errors.Is(err, errImport):
		f.k.metrics.cacheErrors.Inc(1)
	case !transfer.Guarded(err):
		f.k.failed(r.store.client.Name())
	}
	return err
}

// watch gives a read up when the next block takes longer than computing the rest.
func (r *reader) watch(cancel context.CancelCauseFunc) *time.Timer {
	size := int64(r.f.s.service.BlockBytes)
	return time.AfterFunc(r.overdue(), func() {
		r.store.link.stalled(size, time.Duration(time.Now().UnixNano()-r.last.Load()))
		cancel(errWorthless)
	})
}

// arrived imports a block that is whole and checked. The identity is part of its digest and of the version
// and salt that the request asked for, so that an import under way across a swap of versions brings in a
// block that no request of the new version can name.
func (r *reader) arrived(ctx context.Context, b transfer.Block) error {
	f := r.f
	now := time.Now().UnixNano()
	r.store.link.observe(linkbudget.Deadline, int64(len(b.Data)), time.Duration(now-r.last.Swap(now)))
	err := f.k.opts.Model.ImportBlock(ctx, engine.Block{
		Digest: b.ID.Hex(), Version: f.open.WeightVersion, Salt: f.open.CacheSalt, Data: b.Data, Sum: blake3.Sum256(b.Data),
	})
	if err != nil {
		return fmt.Errorf("%w: %w", errImport, err)
	}
	f.k.metrics.imported.Inc(1)
	f.k.metrics.fetchedBytes.Inc(int64(len(b.Data)))
	return nil
}

// imported records that the block at a position of the chain is at the target.
func (f *fetching) imported(at int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.have[at] = true
	f.count()
}
