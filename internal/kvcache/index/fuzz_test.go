package index

import (
	"testing"

	"github.com/egrethoist/egrethoist/internal/engine"
	"github.com/egrethoist/egrethoist/internal/kvcache/block"
)

// FuzzApply interprets bytes as cache events with gaps, repetitions and restarts. It checks that a prefix is never longer
// than the number of indexed blocks, and that a listing repairs the index after any sequence of events.
func FuzzApply(f *testing.F) {
	f.Add([]byte{0, 1, 2, 3, 4, 5})
	f.Add([]byte{7, 7, 7, 200, 13, 64})
	f.Fuzz(func(t *testing.T, data []byte) {
		x := New(Options{})
		chain := block.Chain(block.NewSeed("s", "v", "w"), make([]byte, 16*8), 8)
		sequence := uint64(1)
		for _, b := range data {
			page := pageFromByte(b, chain, sequence)
			x.Apply(page)
			sequence = page.Next
		}
		if n, _ := x.Snapshot().Prefix(chain); n > x.Len() {
			t.Fatalf("prefix of %d blocks in an index of %d", n, x.Len())
		}
		x.Replace(engine.CacheEvents{Incarnation: "last", Next: sequence, Events: []engine.CacheEvent{
			{Kind: engine.EventStored, Block: chain[0].Hex(), Tokens: 2},
		}})
		if n, _ := x.Snapshot().Prefix(chain); n != 1 || x.Len() != 1 || x.Stale() {
			t.Fatalf("after a listing of one block: prefix %d, %d blocks, stale %t", n, x.Len(), x.Stale())
		}
	})
}

// pageFromByte returns a page with one event. The low four bits select the block; the high four bits select the kind, a gap,
// a malformed block ID or a restart.
func pageFromByte(b byte, chain []block.ID, sequence uint64) engine.CacheEvents {
	at := int(b & 0x0f)
	e := engine.CacheEvent{Kind: engine.EventStored, Block: chain[at].Hex(), Tokens: 2}
	if at > 0 {
		e.Parent = chain[at-1].Hex()
	}
	incarnation := "first"
	switch b >> 4 {
	case 1, 2:
		e.Kind = engine.EventRemoved
	case 3:
		e.Kind = engine.EventCleared
	case 4:
		sequence += 5
	case 5:
		e.Block = "not a digest"
	case 6:
		incarnation, sequence = "second", 1
	}
	e.Sequence = sequence
	return engine.CacheEvents{Incarnation: incarnation, First: sequence, Next: sequence + 1, Events: []engine.CacheEvent{e}}
}
