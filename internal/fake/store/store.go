// Package store is a small stand-in for a kept-cache store instance: memory and disk tiers, a shared link,
// pins with leases, eviction by value, and faults. Content lies in places that are used again after a block
// is freed, so that a reader without guards would see another block's bytes.
package store

import (
	"cmp"
	"container/list"
	"math/rand/v2"
	"sync"
	"time"

	egretv1 "github.com/egrethoist/egrethoist/gen/egret/v1"
	"github.com/egrethoist/egrethoist/internal/kvcache/block"
	"github.com/egrethoist/egrethoist/internal/kvcache/retention"
)

// Options of a Store. Zero fields take the defaults of New.
type Options struct {
	MemoryBytes int64
	DiskBytes   int64 // capacity of the store; memory holds copies of what lies on disk
	Link        *Link // nil is unlimited
	PieceBytes  int   // size of one message of a read
	MaxPin      time.Duration
	Weight      func(workspace string) float64
	Seed        uint64
}

// Defaults of Options.
const (
	DefaultMemoryBytes = 64 << 20
	DefaultDiskBytes   = 1 << 30
	DefaultPieceBytes  = 256 << 10
	DefaultMaxPin      = 30 * time.Second
)

// place holds the content of one block. Its generation grows whenever its content goes.
type place struct {
	data       []byte
	generation uint64
}

type held struct {
	place   *place
	sum     [block.SumBytes]byte
	version string
	memory  *list.Element // position in the memory tier, or nil
}

type pin struct {
	blocks []block.ID
	until  time.Time
}

// Counts sums what a store did.
type Counts struct {
	Reads, Writes, Refused, Evicted int // blocks
	Partial                         int // writes that ended before the block was whole
	BadDigest                       int // writes whose content didn't agree with the digest
	DiskReads                       int
}

// Store is one store instance. It is safe for concurrent use and serves the StoreService of api/egret/v1.
type Store struct {
	opts Options

	mu          sync.Mutex
	rng         *rand.Rand
	incarnation uint64
	blocks      map[block.ID]*held
	table       *retention.Table
	memory      *list.List // block.ID, most recently used first
	memoryUsed  int64
	free        []*place
	pins        map[uint64]*pin
	nextPin     uint64
	faults      Faults
	counts      Counts
	late        *egretv1.ReadResponse // last piece sent, for the faults Late and Crossed
}

// New returns an empty store.
func New(opts Options) *Store {
	opts.MemoryBytes = cmp.Or(opts.MemoryBytes, DefaultMemoryBytes)
	opts.DiskBytes = cmp.Or(opts.DiskBytes, DefaultDiskBytes)
	opts.PieceBytes = cmp.Or(opts.PieceBytes, DefaultPieceBytes)
	opts.MaxPin = cmp.Or(opts.MaxPin, DefaultMaxPin)
	s := &Store{opts: opts, rng: rand.New(rand.NewPCG(opts.Seed, 1)), incarnation: 1}
	s.reset()
	return s
}

func (s *Store) reset() {
	for _, h := range s.blocks {
		s.recycle(h.place)
	}
	s.blocks = map[block.ID]*held{}
	s.memory = list.New()
	s.memoryUsed = 0
	s.pins = map[uint64]*pin{}
	s.table = retention.NewTable(retention.TableOptions{Capacity: s.opts.DiskBytes, Weight: s.opts.Weight, Pinned: s.pinned})
}

// Restart loses everything, as an instance that is replaced.
func (s *Store) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.incarnation++
	s.reset()
}

// Counts returns what the store did so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Holds reports whether a block is complete here.
func (s *Store) Holds(id block.ID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.blocks[id] != nil
}

// Free drops a block whatever pins it, as a store with a fault does.
func (s *Store) Free(id block.ID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(id)
}

// lookup pins the leading complete blocks.
func (s *Store) lookup(ids []block.ID, pinFor time.Duration) (complete int, number uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for complete < len(ids) && s.blocks[ids[complete]] != nil {
		s.table.Touch(ids[complete], now)
		complete++
	}
	if complete == 0 || pinFor <= 0 {
		return complete, 0
	}
	s.expire(now)
	s.nextPin++
	s.pins[s.nextPin] = &pin{blocks: ids[:complete], until: now.Add(min(pinFor, s.opts.MaxPin))}
	return complete, s.nextPin
}

func (s *Store) expire(now time.Time) {
	for number, p := range s.pins {
		if !now.Before(p.until) {
			delete(s.pins, number)
		}
	}
}

// pinned is called with the lock held.
func (s *Store) pinned(id block.ID) bool {
	now := time.Now()
	for _, p := range s.pins {
		if !now.Before(p.until) {
			continue
		}
		for _, b := range p.blocks {
			if b == id {
				return true
			}
		}
	}
	return false
}

// covers reports whether a live pin covers a block.
func (s *Store) covers(number uint64, id block.ID) bool {
	p := s.pins[number]
	if p == nil || !time.Now().Before(p.until) {
		return false
	}
	for _, b := range p.blocks {
		if b == id {
			return true
		}
	}
	return false
}

func (s *Store) release(number uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pins, number)
}

// commit makes a whole block visible, in one step. It reports whether the block is held now.
func (s *Store) commit(incarnation uint64, item retention.Item, data []byte, sum [block.SumBytes]byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.incarnation != incarnation {
		return false // begun before a restart
	}
	if s.blocks[item.ID] != nil {
		s.table.Offer(item, time.Now(), s.rng)
		return true // the first of two exporters won; both contents are whole
	}
	if s.faults.Full {
		s.counts.Refused++
		return false
	}
	v := s.table.Offer(item, time.Now(), s.rng)
	for _, id := range v.Evicted {
		s.counts.Evicted++
		s.forget(id)
	}
	if !v.Admitted {
		s.counts.Refused++
		return false
	}
	p := s.take(len(data))
	copy(p.data, data)
	s.blocks[item.ID] = &held{place: p, sum: sum, version: item.Version}
	s.counts.Writes++
	s.promote(item.ID)
	return true
}

// take returns a place of the size, one used before if there is one.
func (s *Store) take(size int) *place {
	for i, p := range s.free {
		if len(p.data) == size {
			s.free = append(s.free[:i], s.free[i+1:]...)
			return p
		}
	}
	return &place{data: make([]byte, size), generation: 1}
}

func (s *Store) recycle(p *place) {
	p.generation++
	for i := range p.data {
		p.data[i] = 0xdd
	}
	s.free = append(s.free, p)
}

// drop removes a block from all tiers.
func (s *Store) drop(id block.ID) {
	if s.table.Remove(id) {
		s.forget(id)
	}
}

// forget frees the content of a block that the table no longer holds.
func (s *Store) forget(id block.ID) {
	h := s.blocks[id]
	delete(s.blocks, id)
	s.demote(id, h)
	s.recycle(h.place)
}

// promote puts a block at the front of the memory tier and reports whether it was there before.
func (s *Store) promote(id block.ID) bool {
	h := s.blocks[id]
	if h.memory != nil {
		s.memory.MoveToFront(h.memory)
		return true
	}
	h.memory = s.memory.PushFront(id)
	s.memoryUsed += int64(len(h.place.data))
	for s.memoryUsed > s.opts.MemoryBytes && s.memory.Len() > 1 {
		last := s.memory.Back().Value.(block.ID)
		s.demote(last, s.blocks[last])
	}
	return false
}

func (s *Store) demote(id block.ID, h *held) {
	if h == nil || h.memory == nil {
		return
	}
	s.memory.Remove(h.memory)
	h.memory = nil
	s.memoryUsed -= int64(len(h.place.data))
}

func (s *Store) dropVersion(version string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := s.table.DropVersion(version)
	for _, id := range ids {
		s.forget(id)
	}
	return len(ids)
}
