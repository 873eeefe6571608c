// Package directory tracks which KV-cache store holds which complete prompt parts, and selects the store that a part is
// saved to. The stores neither evict nor validate anything, so a part is fetched only if its store reported it complete
// in the current epoch, and every fetch and every save requires that the contents of that store were read recently. An answer
// counts from when the store can have made it at the earliest: it may have waited in the socket of a process that stood still. The
// package does no I/O; callers pass the current time, which must include the time for which the machine was suspended.
package directory

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/egrethoist/egrethoist/internal/mix64"
)

const (
	// MaxStaleness is the age from which the last read of a store's changes is no longer used. Every instance stops using
	// a store whose contents it knows only as of this long ago.
	MaxStaleness = 1500 * time.Millisecond
	// maxSaveStaleness is the age from which the last read of a store's changes is not used for saves: less than the shortest
	// time in which a store restarts. So an instance that has not noticed a restart saves nothing to the store, to which another
	// one that has not noticed it either may send fetches of what it held before.
	maxSaveStaleness = 500 * time.Millisecond
	// MaxFetchTime is the longest time from sending a request until its fetch has finished or is discarded. Callers may leave after two
	// seconds of silence, and a prompt whose fetch is discarded must still be prefilled.
	MaxFetchTime = time.Second
	// RestartHoldoff is how long nothing is saved to a store after its first listing, and after it restarted. Until then another
	// instance may still consider a part from the previous epoch complete, and fetch it while it is being written again; an
	// instance that lists a store for the first time can't tell whether it has just restarted.
	RestartHoldoff = MaxStaleness + MaxFetchTime
	// saveTimeout is how long a save counts as pending. A part that is not complete by then is saved again.
	saveTimeout = 10 * time.Second
	// blockTokens is the number of tokens in a block, the unit in which stores account for memory.
	blockTokens = 16
	// maxFillRatio is the share of a store's capacity that saves may fill. The rest is headroom for saves by other
	// instances, which become known here with a delay.
	maxFillRatio = 0.97
)

// Key identifies a prompt part within a scope. Parts are not shared between scopes.
type Key struct{ Scope, Part string }

func (k Key) hash() uint64 { return xxhash.Sum64String(k.Scope + "/" + k.Part) }

// Store describes a configured KV-cache store.
type Store struct {
	Name           string
	Address        string
	CapacityTokens int
}

// storeState is a configured store with its last known contents.
type storeState struct {
	Store
	hash         uint64
	epoch        uint64
	loaded       bool      // its contents were read at least once
	asOf         time.Time // the store held these contents then or later; zero: they must not be used
	holdoffUntil time.Time // no saves before this time
	complete     map[Key]int
	usedTokens   int // tokens of complete parts, each rounded up to whole blocks
	pendingSaves map[Key]pendingSave
}

// pendingSave is a save that was started and is not known to be complete.
type pendingSave struct {
	tokens  int
	expires time.Time
}

// Directory holds the last known contents of all stores. It is safe for concurrent use.
type Directory struct {
	mu     sync.RWMutex
	stores map[string]*storeState // by name
	order  []*storeState
}

// New returns an empty directory.
func New() *Directory { return &Directory{stores: map[string]*storeState{}} }

// SetStores replaces the list of stores. The known contents of a store are kept if its name and address are unchanged.
func (d *Directory) SetStores(list []Store) {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := make(map[string]*storeState, len(list))
	d.order = d.order[:0:0]
	for _, s := range list {
		st := d.stores[s.Name]
		if st == nil || st.Address != s.Address {
			st = &storeState{hash: xxhash.Sum64String(s.Name), complete: map[Key]int{}, pendingSaves: map[Key]pendingSave{}}
		}
		st.Store = s
		next[s.Name] = st
		d.order = append(d.order, st)
	}
	d.stores = next
}

// Change reports the new state of a part in a store. A part that was not added and has no tokens was removed.
type Change struct {
	Added bool
	Key
	Tokens int
}

// ReplaceContents replaces the known contents of a store by a full listing of its complete parts, which the store made at asOf
// or later. If the epoch differs from the known one, or none is known, the store may have restarted just now and accepts no
// saves for RestartHoldoff. Unknown stores are ignored.
func (d *Directory) ReplaceContents(store string, epoch uint64, complete []Change, asOf, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	st := d.stores[store]
	if st == nil {
		return
	}
	if !st.loaded || st.epoch != epoch {
		st.holdoffUntil = now.Add(RestartHoldoff)
	}
	st.epoch, st.loaded, st.asOf = epoch, true, asOf
	st.complete, st.usedTokens = map[Key]int{}, 0
	for _, c := range complete {
		st.apply(c)
	}
}

// ApplyChanges applies changes of a store's current epoch, which the store reported at asOf or later. It returns false if the
// epoch differs or the contents are not known yet: the store is then not used until its contents are listed again.
func (d *Directory) ApplyChanges(store string, epoch uint64, changes []Change, asOf time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	st := d.stores[store]
	if st == nil {
		return false
	}
	if !st.loaded || st.epoch != epoch {
		st.asOf = time.Time{}
		return false
	}
	st.asOf = asOf
	for _, c := range changes {
		st.apply(c)
	}
	return true
}

// Invalidate stops the use of a store until its contents or changes are read again: it does not respond and may have restarted, or
// some of its changes were lost.
func (d *Directory) Invalidate(store string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if st := d.stores[store]; st != nil {
		st.asOf = time.Time{}
	}
}

// apply applies one change, which also ends a pending save of the part.
func (st *storeState) apply(c Change) {
	st.usedTokens -= roundUpToBlocks(st.complete[c.Key])
	delete(st.pendingSaves, c.Key)
	if c.Added || c.Tokens > 0 {
		st.complete[c.Key] = c.Tokens
		st.usedTokens += roundUpToBlocks(c.Tokens)
	} else {
		delete(st.complete, c.Key)
	}
}

func roundUpToBlocks(tokens int) int { return (tokens + blockTokens - 1) / blockTokens * blockTokens }

// fresh reports whether the contents are less than MaxStaleness old.
func (st *storeState) fresh(now time.Time) bool { return st.readWithin(MaxStaleness, now) }

// readWithin reports whether the contents are known to be less than an age old.
func (st *storeState) readWithin(age time.Duration, now time.Time) bool {
	return st.loaded && !st.asOf.IsZero() && now.Sub(st.asOf) < age
}

// Locate returns the address of a store that holds all tokens of the part.
func (d *Directory) Locate(k Key, tokens int, now time.Time) (string, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	for _, st := range d.order {
		if st.complete[k] >= tokens && tokens > 0 && st.fresh(now) {
			return st.Address, true
		}
	}
	return "", false
}

// ReserveSave returns the address of the store that the part should be saved to now, and records the save as pending. It
// returns false if a store already holds the part or has a pending save of it, or if no store has room and a link for
// which linkAllows returns true.
func (d *Directory) ReserveSave(k Key, tokens int, linkAllows func(address string) bool, now time.Time) (string, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var best *storeState
	var weight float64
	hash := k.hash()
	for _, st := range d.order {
		if _, ok := st.complete[k]; ok && st.fresh(now) {
			return "", false
		}
		if s, ok := st.pendingSaves[k]; ok && now.Before(s.expires) {
			return "", false
		}
		if !st.readWithin(maxSaveStaleness, now) || now.Before(st.holdoffUntil) || !st.hasRoom(tokens, now) || !linkAllows(st.Address) {
			continue
		}
		// Rendezvous hashing weighted by capacity: all instances choose the same store while they see the same stores.
		if w := score(mix64.Sum(hash^st.hash), st.CapacityTokens); best == nil || w > weight {
			best, weight = st, w
		}
	}
	if best == nil {
		return "", false
	}
	best.pendingSaves[k] = pendingSave{tokens: tokens, expires: now.Add(saveTimeout)}
	return best.Address, true
}

// hasRoom reports whether the tokens fit besides complete parts and pending saves. It removes expired pending saves.
func (st *storeState) hasRoom(tokens int, now time.Time) bool {
	pending := 0
	for k, s := range st.pendingSaves {
		if now.After(s.expires) {
			delete(st.pendingSaves, k)
			continue
		}
		pending += roundUpToBlocks(s.tokens)
	}
	return float64(st.usedTokens+pending+roundUpToBlocks(tokens)) <= maxFillRatio*float64(st.CapacityTokens)
}

// Usage returns how many tokens the stores may hold in total, and how many tokens of complete parts they hold by group.
// The tokens of parts without a group are subtracted from the capacity.
func (d *Directory) Usage(group func(Key) (int, bool)) (capacity int, used map[int]int) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	used = map[int]int{}
	for _, st := range d.order {
		if !st.loaded {
			continue
		}
		capacity += int(maxFillRatio * float64(st.CapacityTokens))
		for k, tokens := range st.complete {
			if g, ok := group(k); ok {
				used[g] += roundUpToBlocks(tokens)
			} else {
				capacity -= roundUpToBlocks(tokens)
			}
		}
	}
	return max(capacity, 0), used
}

// Parts returns the keys of the complete parts in a store for which match returns true, and the store's epoch.
func (d *Directory) Parts(store string, match func(Key) bool) ([]Key, uint64) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	st := d.stores[store]
	if st == nil {
		return nil, 0
	}
	var out []Key
	for k := range st.complete {
		if match(k) {
			out = append(out, k)
		}
	}
	return out, st.epoch
}
