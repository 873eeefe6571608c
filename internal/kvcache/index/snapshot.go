package index

import "github.com/egrethoist/egrethoist/internal/kvcache/block"

// Snapshot is an immutable copy of an Index for concurrent readers on the request path. It stores 64 bits of each
// ID in a hash table with open addressing; a collision gives a wrong hint, which only costs time.
type Snapshot struct {
	mask   uint64
	keys   []uint64 // zero is an empty slot
	tokens []uint32
	blocks int
}

// Snapshot returns a snapshot of the current contents. It is rebuilt only after a change.
func (x *Index) Snapshot() *Snapshot {
	if x.snapshotOutdated {
		x.snapshot = x.buildSnapshot()
		x.snapshotOutdated = false
	}
	return x.snapshot
}

func (x *Index) buildSnapshot() *Snapshot {
	slots := 8
	for slots < 2*len(x.tokensByBlock) {
		slots *= 2
	}
	s := &Snapshot{mask: uint64(slots - 1), keys: make([]uint64, slots), tokens: make([]uint32, slots), blocks: len(x.tokensByBlock)}
	for id, tokens := range x.tokensByBlock {
		key := slotKey(id)
		at := key & s.mask
		for s.keys[at] != 0 {
			at = (at + 1) & s.mask
		}
		s.keys[at], s.tokens[at] = key, uint32(tokens)
	}
	return s
}

// slotKey returns the table key of an ID, which is never zero.
func slotKey(id block.ID) uint64 { return max(id.Hash(), 1) }

// Len returns the number of blocks in the snapshot.
func (s *Snapshot) Len() int { return s.blocks }

// Contains reports whether the cache held a block when the snapshot was taken.
func (s *Snapshot) Contains(id block.ID) bool {
	_, ok := s.find(id)
	return ok
}

func (s *Snapshot) find(id block.ID) (uint32, bool) {
	if s.blocks == 0 {
		return 0, false
	}
	key := slotKey(id)
	for at := key & s.mask; s.keys[at] != 0; at = (at + 1) & s.mask {
		if s.keys[at] == key {
			return s.tokens[at], true
		}
	}
	return 0, false
}

// Prefix returns the number of leading blocks of a prompt that the cache holds, and the number of their tokens.
func (s *Snapshot) Prefix(chain []block.ID) (blocks, tokens int) {
	for i, id := range chain {
		n, ok := s.find(id)
		if !ok {
			return i, tokens
		}
		tokens += int(n)
	}
	return len(chain), tokens
}
