// Package directory knows which kept-cache store holds which parts of prompts whole, and decides where a part is saved.
// The stores evict nothing by themselves and check nothing, so a part is fetched only if its store reported it complete
// in its present epoch, and a fresh view of that store is needed for every fetch and every save. It has no I/O and no
// clock.
package directory

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/egrethoist/egrethoist/internal/mix64"
)

const (
	// FreshFor is how long a reading of a store's changes may be used. Every instance stops using a store that it has
	// not heard of for so long.
	FreshFor = 1500 * time.Millisecond
	// FetchLimit is the longest time from a request's sending until its fetch has ended or is thrown away: callers expect the
	// first token within about a second.
	FetchLimit = time.Second
	// Settle is how long nothing is saved to a store that restarted: until then another instance may take a part of
	// before for complete, and fetch it while it is written anew.
	Settle = FreshFor + FetchLimit
	// saveTime is how long a save counts as under way. A part that is not complete by then is saved again.
	saveTime = 10 * time.Second
	// blockTokens is the unit in which stores account for memory.
	blockTokens = 16
	// fullShare is the part of a store's capacity that is used: saves by other instances are known a little later.
	fullShare = 0.97
)

// Key names a part in a scope. Requests of different scopes share no part.
type Key struct{ Scope, Part string }

func (k Key) hash() uint64 { return xxhash.Sum64String(k.Scope + "/" + k.Part) }

// Store is what a store declares.
type Store struct {
	Name    string
	Address string
	Tokens  int // capacity
}

type storeState struct {
	Store
	hash    uint64
	epoch   uint64
	known   bool // its content was read
	heard   time.Time
	settled time.Time // saves may begin
	whole   map[Key]int
	used    int // tokens of whole parts, in blocks
	saving  map[Key]saving
}

type saving struct {
	tokens int
	until  time.Time
}

// Directory is safe for concurrent use.
type Directory struct {
	mu     sync.RWMutex
	stores map[string]*storeState // by name
	order  []*storeState
}

// New returns an empty directory.
func New() *Directory { return &Directory{stores: map[string]*storeState{}} }

// SetStores takes in the declared stores.
func (d *Directory) SetStores(list []Store) {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := make(map[string]*storeState, len(list))
	d.order = d.order[:0:0]
	for _, s := range list {
		st := d.stores[s.Name]
		if st == nil || st.Address != s.Address {
			st = &storeState{hash: xxhash.Sum64String(s.Name), whole: map[Key]int{}, saving: map[Key]saving{}}
		}
		st.Store = s
		next[s.Name] = st
		d.order = append(d.order, st)
	}
	d.stores = next
}

// Change is an event of a store.
type Change struct {
	Added bool
	Key
	Tokens int
}

// Replace takes in all that a store holds whole.
func (d *Directory) Replace(store string, epoch uint64, whole []Change, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	st := d.stores[store]
	if st == nil {
		return
	}
	if st.known && st.epoch != epoch {
		st.settled = now.Add(Settle)
	}
	st.epoch, st.known, st.heard = epoch, true, now
	st.whole, st.used = map[Key]int{}, 0
	for _, c := range whole {
		st.apply(c)
	}
}

// Apply takes in changes of the present epoch. It returns false if the epoch is another one: the content must then be
// read anew.
func (d *Directory) Apply(store string, epoch uint64, changes []Change, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	st := d.stores[store]
	if st == nil || !st.known || st.epoch != epoch {
		return false
	}
	st.heard = now
	for _, c := range changes {
		st.apply(c)
	}
	return true
}

// Lost notes that a store does not answer: it may have restarted.
func (d *Directory) Lost(store string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if st := d.stores[store]; st != nil {
		st.heard = time.Time{}
	}
}

func (st *storeState) apply(c Change) {
	st.used -= blocks(st.whole[c.Key])
	delete(st.saving, c.Key)
	if c.Added || c.Tokens > 0 {
		st.whole[c.Key] = c.Tokens
		st.used += blocks(c.Tokens)
	} else {
		delete(st.whole, c.Key)
	}
}

func blocks(tokens int) int { return (tokens + blockTokens - 1) / blockTokens * blockTokens }

func (st *storeState) fresh(now time.Time) bool {
	return st.known && !st.heard.IsZero() && now.Sub(st.heard) < FreshFor
}

// Held returns the address of a store that holds the part whole.
func (d *Directory) Held(k Key, tokens int, now time.Time) (string, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	for _, st := range d.order {
		if st.whole[k] >= tokens && tokens > 0 && st.fresh(now) {
			return st.Address, true
		}
	}
	return "", false
}

// Save returns the address of the store to which the part should be saved now, and notes that it is. It returns false
// if a store has or gets the part already, or if none with room carries it now.
func (d *Directory) Save(k Key, tokens int, carries func(address string) bool, now time.Time) (string, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var best *storeState
	var weight float64
	hash := k.hash()
	for _, st := range d.order {
		if _, ok := st.whole[k]; ok && st.fresh(now) {
			return "", false
		}
		if s, ok := st.saving[k]; ok && now.Before(s.until) {
			return "", false
		}
		if !st.fresh(now) || now.Before(st.settled) || !st.room(tokens, now) || !carries(st.Address) {
			continue
		}
		// Rendezvous hashing by capacity: all instances choose alike while they see the same stores.
		if w := score(mix64.Sum(hash^st.hash), st.Tokens); best == nil || w > weight {
			best, weight = st, w
		}
	}
	if best == nil {
		return "", false
	}
	best.saving[k] = saving{tokens: tokens, until: now.Add(saveTime)}
	return best.Address, true
}

func (st *storeState) room(tokens int, now time.Time) bool {
	pending := 0
	for k, s := range st.saving {
		if now.After(s.until) {
			delete(st.saving, k)
			continue
		}
		pending += blocks(s.tokens)
	}
	return float64(st.used+pending+blocks(tokens)) <= fullShare*float64(st.Tokens)
}

// Usage returns how many tokens all stores may hold, and how many they hold whole in each group. Parts that belong to no
// group are taken off the former.
func (d *Directory) Usage(group func(Key) (int, bool)) (capacity int, used map[int]int) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	used = map[int]int{}
	for _, st := range d.order {
		if !st.known {
			continue
		}
		capacity += int(fullShare * float64(st.Tokens))
		for k, tokens := range st.whole {
			if g, ok := group(k); ok {
				used[g] += blocks(tokens)
			} else {
				capacity -= blocks(tokens)
			}
		}
	}
	return max(capacity, 0), used
}

// Parts returns the whole parts of a store that match, with its epoch.
func (d *Directory) Parts(store string, match func(Key) bool) ([]Key, uint64) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	st := d.stores[store]
	if st == nil {
		return nil, 0
	}
	var out []Key
	for k := range st.whole {
		if match(k) {
			out = append(out, k)
		}
	}
	return out, st.epoch
}
