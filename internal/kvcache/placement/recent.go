package placement

import (
	"sync/atomic"
	"time"

	"github.com/egrethoist/egrethoist/internal/kvcache/block"
)

// RecentTargets is a bounded, set-associative table of the targets that one entry recently sent prompts to, so that a
// prompt that is soon used again finds its target before a summary arrives. Reads and writes are lock-free. Each prompt
// takes 8 bytes.
type RecentTargets struct {
	sets      []slotSet
	startTime time.Time
}

// slotsPerSet is the number of slots that a head can be stored in.
const slotsPerSet = 4

type slotSet [slotsPerSet]atomic.Uint64

// A slot packs, from the most significant bit: a tag of the head (24 bits), the minute of the last use (12 bits), the
// quantized number of blocks (8 bits) and the target number (20 bits).
const (
	targetBits = 20
	blockBits  = 8
	minuteBits = 12
	tagBits    = 24
)

// MaxTargets is the number of distinct target numbers in RecentTargets.
const MaxTargets = 1 << targetBits

// NewRecentTargets returns a table for at least the given number of prompts; it rounds up to a power of two of sets.
func NewRecentTargets(prompts int, now time.Time) *RecentTargets {
	sets := 1
	for sets*slotsPerSet < prompts {
		sets *= 2
	}
	return &RecentTargets{sets: make([]slotSet, sets), startTime: now}
}

// minute returns the minutes since the table was created. It counts from one, so that a used slot is never zero, and
// wraps after 68 hours.
func (r *RecentTargets) minute(now time.Time) uint64 {
	return 1 + uint64(now.Sub(r.startTime)/time.Minute)%(1<<minuteBits-1)
}

// slotsFor returns the set that a head belongs to, and the head's tag within it.
func (r *RecentTargets) slotsFor(head block.ID) (*slotSet, uint64) {
	h := head.Hash()
	return &r.sets[h&uint64(len(r.sets)-1)], h >> (64 - tagBits)
}

// Put records that a prompt was sent to a target. The caller chooses the target numbers, which are reduced modulo
// MaxTargets. A full set replaces its oldest slot.
func (r *RecentTargets) Put(head block.ID, target, blocks int, now time.Time) {
	set, tag := r.slotsFor(head)
	minute := r.minute(now)
	slot := tag<<(64-tagBits) | minute<<(targetBits+blockBits) | uint64(quantizeBlocks(blocks))<<targetBits | uint64(target%MaxTargets)
	victim, victimAge := 0, uint64(0)
	for i := range set {
		old := set[i].Load()
		if old == 0 || old>>(64-tagBits) == tag {
			victim = i
			break
		}
		// The subtraction is modulo the range of the minute field, which wraps.
		age := 1 + (minute+(1<<minuteBits)-old>>(targetBits+blockBits)%(1<<minuteBits))%(1<<minuteBits)
		if age > victimAge {
			victim, victimAge = i, age
		}
	}
	set[victim].Store(slot)
}

// Get returns the target that a prompt was last sent to and the number of blocks, rounded down by quantization.
func (r *RecentTargets) Get(head block.ID) (target, blocks int, ok bool) {
	set, tag := r.slotsFor(head)
	for i := range set {
		v := set[i].Load()
		if v != 0 && v>>(64-tagBits) == tag {
			return int(v % MaxTargets), dequantizeBlocks(byte(v >> targetBits)), true
		}
	}
	return 0, 0, false
}
