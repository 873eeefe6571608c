package placement

import (
	"cmp"
	"encoding/binary"
	"errors"
	"math/bits"
	"slices"

	"github.com/egrethoist/egrethoist/internal/kvcache/block"
)

// SummaryEntry is one prompt in the summary of a target's cache.
type SummaryEntry struct {
	Fingerprint uint32
	Blocks      int // leading blocks held; encoding rounds them down to a logarithmic scale
}

// Fingerprint returns the 32-bit hash of a head that summaries contain.
func Fingerprint(head block.ID) uint32 { return uint32(head.Hash() >> 32) }

// summaryEntryBytes is the encoded length of a SummaryEntry.
const summaryEntryBytes = 5

// MaxSummaryBytes is the maximum length of an encoded summary.
const MaxSummaryBytes = 4096

var errMalformedSummary = errors.New("prefix summary is malformed")

// CachedPrompt is a prompt of which a target holds leading blocks.
type CachedPrompt struct {
	Head   block.ID
	Blocks int
}

// NonOwnedPrompts returns summary entries of the prompts that a target holds although it is not their owner, those with
// the most blocks first.
func NonOwnedPrompts(g *Group, target string, prompts []CachedPrompt) []SummaryEntry {
	var held []SummaryEntry
	for _, p := range prompts {
		head, n := p.Head, p.Blocks
		owner := g.Rank(head, 1, nil)
		if len(owner) == 1 && g.members[owner[0]].Name == target {
			continue
		}
		held = append(held, SummaryEntry{Fingerprint: Fingerprint(head), Blocks: n})
	}
	slices.SortFunc(held, func(a, b SummaryEntry) int {
		return cmp.Or(cmp.Compare(b.Blocks, a.Blocks), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return held
}

// EncodeSummary encodes as many entries, from the first on, as fit into MaxSummaryBytes.
func EncodeSummary(held []SummaryEntry) []byte {
	held = held[:min(len(held), MaxSummaryBytes/summaryEntryBytes)]
	out := make([]byte, 0, len(held)*summaryEntryBytes)
	for _, h := range held {
		out = binary.LittleEndian.AppendUint32(out, h.Fingerprint)
		out = append(out, quantizeBlocks(h.Blocks))
	}
	return out
}

// DecodeSummary decodes a summary. It returns an error if the length is not a multiple of an entry's or exceeds
// MaxSummaryBytes.
func DecodeSummary(b []byte) ([]SummaryEntry, error) {
	if len(b)%summaryEntryBytes != 0 || len(b) > MaxSummaryBytes {
		return nil, errMalformedSummary
	}
	held := make([]SummaryEntry, 0, len(b)/summaryEntryBytes)
	for ; len(b) > 0; b = b[summaryEntryBytes:] {
		held = append(held, SummaryEntry{Fingerprint: binary.LittleEndian.Uint32(b), Blocks: dequantizeBlocks(b[4])})
	}
	return held, nil
}

// stepsPerOctave is the number of steps between two powers of two on the logarithmic scale of block counts.
const stepsPerOctave = 8

// quantizeBlocks rounds a number of blocks down to the logarithmic scale and returns its code.
func quantizeBlocks(n int) byte {
	if n < stepsPerOctave {
		return byte(max(n, 0))
	}
	shift := bits.Len(uint(n)) - bits.Len(uint(stepsPerOctave))
	code := shift*stepsPerOctave + n>>shift
	return byte(min(code, 255))
}

// dequantizeBlocks returns the number of blocks that a code represents.
func dequantizeBlocks(code byte) int {
	c := int(code)
	if c < 2*stepsPerOctave {
		return c
	}
	shift := c/stepsPerOctave - 1
	return (stepsPerOctave + c%stepsPerOctave) << shift
}
