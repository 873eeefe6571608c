// Package index maintains a sidecar's index of the blocks in its own target's prefix cache.
//
// The index applies the engine's cache events in order of their sequence numbers. Events may be delayed or lost;
// a gap makes the index stale until a listing of the whole cache replaces its contents. Listings are rate
// limited, so a lossy event stream costs a bounded amount of work. A new incarnation of the engine clears the
// index. Its answers are hints: the engine decides by its own cache what it reuses.
package index

import (
	"cmp"
	"time"

	"github.com/egrethoist/egrethoist/internal/engine"
	"github.com/egrethoist/egrethoist/internal/kvcache/block"
)

// Options configure an Index. Zero fields select the defaults.
type Options struct {
	MaxBlocks       int           // maximum number of blocks; further ones are ignored
	ResyncPeriod    time.Duration // minimum time between two listings
	MaxResyncPeriod time.Duration // upper bound of that time, which doubles while gaps continue
}

// Defaults of Options.
const (
	DefaultMaxBlocks       = 1 << 16
	DefaultResyncPeriod    = time.Second
	DefaultMaxResyncPeriod = 30 * time.Second
)

// Outcome is the effect of a page of events or of a listing on the index.
type Outcome int

// Outcomes of Apply and Replace.
const (
	Applied        Outcome = iota // every event was applied
	Gap                           // events were lost, or the listing was outdated; the index is stale until the next Replace
	NewIncarnation                // the engine restarted; the previous contents were cleared
)

// Index is the set of blocks in one target's prefix cache. It is not safe for concurrent use; other goroutines
// read a Snapshot.
type Index struct {
	opts             Options
	incarnation      string
	nextSequence     uint64
	stale            bool
	initialized      bool
	nextResync       time.Time
	resyncPeriod     time.Duration
	snapshotOutdated bool
	storedEvents     uint64
	tokensByBlock    map[block.ID]int
	snapshot         *Snapshot
}

// New returns an empty index that is stale until its first listing.
func New(opts Options) *Index {
	opts.MaxBlocks = cmp.Or(opts.MaxBlocks, DefaultMaxBlocks)
	opts.ResyncPeriod = cmp.Or(opts.ResyncPeriod, DefaultResyncPeriod)
	opts.MaxResyncPeriod = cmp.Or(opts.MaxResyncPeriod, DefaultMaxResyncPeriod)
	return &Index{opts: opts, stale: true, resyncPeriod: opts.ResyncPeriod, tokensByBlock: map[block.ID]int{}, snapshot: &Snapshot{}}
}

// NextSequence returns the sequence number from which to request events.
func (x *Index) NextSequence() uint64 { return x.nextSequence }

// Len returns the number of blocks in the index.
func (x *Index) Len() int { return len(x.tokensByBlock) }

// Contains reports whether the cache holds a block.
func (x *Index) Contains(id block.ID) bool {
	_, ok := x.tokensByBlock[id]
	return ok
}

// Prefix returns the number of leading blocks of a prompt that the cache holds, and the number of their tokens.
func (x *Index) Prefix(chain []block.ID) (blocks, tokens int) {
	for i, id := range chain {
		n, ok := x.tokensByBlock[id]
		if !ok {
			return i, tokens
		}
		tokens += n
	}
	return len(chain), tokens
}

// Stale reports whether the index needs a listing because events were lost or there was none yet.
func (x *Index) Stale() bool { return x.stale }

// Apply applies a page of events that was requested from NextSequence.
func (x *Index) Apply(page engine.CacheEvents) Outcome {
	if x.initialized && page.Incarnation != x.incarnation {
		x.restart(page.Incarnation)
		return NewIncarnation
	}
	if !x.initialized {
		x.initialized, x.incarnation = true, page.Incarnation
	}
	if page.First > x.nextSequence {
		x.stale = true
	}
	for _, e := range page.Events {
		x.applyEvent(e)
	}
	if page.Next > x.nextSequence {
		x.stale = true // the last events of the page are missing
		x.nextSequence = page.Next
	}
	if x.stale {
		return Gap
	}
	return Applied
}

// restart clears what the previous incarnation of the engine held.
func (x *Index) restart(incarnation string) {
	x.incarnation = incarnation
	x.nextSequence = 0
	x.stale = true
	x.snapshotOutdated = true
	clear(x.tokensByBlock)
	// A restart does not mean that the event stream is lossy, so the first listing may start at once.
	x.resyncPeriod, x.nextResync = x.opts.ResyncPeriod, time.Time{}
}

// applyEvent applies one event. It ignores events that were already applied, and marks the index stale after a gap.
func (x *Index) applyEvent(e engine.CacheEvent) {
	if e.Sequence < x.nextSequence {
		return // already applied, or covered by the listing
	}
	if e.Sequence > x.nextSequence {
		x.stale = true
	}
	x.nextSequence = e.Sequence + 1
	switch e.Kind {
	case engine.EventStored:
		x.addBlock(e)
		x.storedEvents++
	case engine.EventRemoved:
		if id, err := block.Parse(e.Block); err == nil {
			delete(x.tokensByBlock, id)
			x.snapshotOutdated = true
		}
	case engine.EventCleared:
		clear(x.tokensByBlock)
		x.snapshotOutdated = true
	}
}

// addBlock adds a block unless its ID is malformed or the index is full.
func (x *Index) addBlock(e engine.CacheEvent) {
	id, err := block.Parse(e.Block)
	if err != nil || len(x.tokensByBlock) >= x.opts.MaxBlocks {
		return
	}
	x.tokensByBlock[id] = e.Tokens
	x.snapshotOutdated = true
}

// TryStartListing reports whether the whole cache should be listed now. If it returns true, a listing counts as
// started: the next one is allowed after a period that doubles while gaps continue.
func (x *Index) TryStartListing(now time.Time) bool {
	if !x.stale || now.Before(x.nextResync) {
		return false
	}
	x.nextResync = now.Add(x.resyncPeriod)
	x.resyncPeriod = min(2*x.resyncPeriod, x.opts.MaxResyncPeriod)
	return true
}

// StoredEvents returns the number of events about stored blocks that were received since New.
func (x *Index) StoredEvents() uint64 { return x.storedEvents }

// ResetResyncPeriod ends the backoff between listings. Callers use it when events have come without a gap for a while, so
// that the next gap is repaired quickly. It has no effect while the index is stale.
func (x *Index) ResetResyncPeriod() {
	if !x.stale {
		x.resyncPeriod = x.opts.ResyncPeriod
	}
}

// Replace replaces the contents by a listing of the whole cache. Later events that the listing already covers
// are ignored by their sequence numbers.
func (x *Index) Replace(listing engine.CacheEvents) Outcome {
	restarted := x.initialized && listing.Incarnation != x.incarnation
	if x.initialized && !restarted && listing.Next < x.nextSequence {
		return Gap // an outdated listing would undo events that were already applied; the index is left as it is
	}
	x.initialized, x.incarnation = true, listing.Incarnation
	x.nextSequence = listing.Next
	x.stale = false
	x.snapshotOutdated = true
	clear(x.tokensByBlock)
	for _, e := range listing.Events {
		x.addBlock(e)
	}
	if restarted {
		return NewIncarnation
	}
	return Applied
}
