package keeper

import (
	"sync"
	"time"

	"github.com/egrethoist/egrethoist/internal/kvcache/block"
)

// flight is the fetch of one block in progress. All requests that need the block wait for the same flight.
type flight struct {
	id   block.ID
	done chan struct{} // closed when the fetch ends
	ok   bool          // whether the block was imported; valid once done is closed
}

func newFlights() flights {
	return flights{running: map[block.ID]*flight{}, imported: map[block.ID]time.Time{}}
}

// flights deduplicates fetches: each block is fetched by at most one reader at a time. It also remembers recent imports.
type flights struct {
	mu        sync.Mutex
	running   map[block.ID]*flight
	imported  map[block.ID]time.Time // recent imports, which may not be in the target's cache events yet
	lastSweep time.Time
}

// importTTL is how long an import is remembered. The target's cache events include it by then.
const importTTL = 5 * time.Second

// importedPrefix returns the number of leading blocks that were imported within importTTL.
func (f *flights) importedPrefix(ids []block.ID, now time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, id := range ids {
		if at, ok := f.imported[id]; !ok || now.Sub(at) > importTTL {
			return i
		}
	}
	return len(ids)
}

// forgetImports discards the record of recent imports, because the target has lost its cache.
func (f *flights) forgetImports() {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.imported)
}

// recentlyImported reports whether a block was imported within importTTL.
func (f *flights) recentlyImported(id block.ID, now time.Time) bool {
	return f.importedPrefix([]block.ID{id}, now) == 1
}

// claim starts flights for the first run of up to limit blocks that are neither recently imported nor in flight. If there
// is no such block, it returns the first flight in progress, or nil.
func (f *flights) claim(ids []block.ID, limit int, now time.Time) (claimed []*flight, inFlight *flight) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range ids {
		if len(claimed) == limit {
			break
		}
		fl := f.running[id]
		imported, ok := f.imported[id]
		if fl == nil && !(ok && now.Sub(imported) <= importTTL) {
			fl = &flight{id: id, done: make(chan struct{})}
			f.running[id] = fl
			claimed = append(claimed, fl)
			continue
		}
		if len(claimed) > 0 {
			break
		}
		if inFlight == nil {
			inFlight = fl
		}
	}
	if len(claimed) > 0 {
		return claimed, nil
	}
	return nil, inFlight
}

// finish ends a flight and wakes its waiters; a second call has no effect.
func (f *flights) finish(fl *flight, ok bool, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.running[fl.id] != fl {
		return
	}
	delete(f.running, fl.id)
	if ok {
		f.imported[fl.id] = now
	}
	f.sweep(now)
	fl.ok = ok
	close(fl.done)
}

// sweep removes expired imports, at most once per importTTL. The caller holds f.mu.
func (f *flights) sweep(now time.Time) {
	if now.Sub(f.lastSweep) < importTTL {
		return
	}
	f.lastSweep = now
	for id, at := range f.imported {
		if now.Sub(at) > importTTL {
			delete(f.imported, id)
		}
	}
}
