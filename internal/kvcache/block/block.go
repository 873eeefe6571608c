// Package block computes the IDs of KV cache blocks.
//
// A prompt is split into windows of a fixed number of bytes. The ID of a window is a keyed digest of its content
// and of the state of the window before it, so one ID identifies the whole prefix that ends there. The key, a
// Seed, is derived from the service, the weight version and the workspace's cache salt: blocks of different
// workspaces or weight versions have different IDs by construction, without a check that a caller might forget.
//
// Windows are bytes of the prompt text and not tokens, because entries have no tokenizer. Equal IDs mean equal
// text up to the end of the window. The number of tokens in a block is approximate: a tokenizer may merge bytes
// across the end of a window. The engine decides by its own tokens what it reuses; an ID only shows where cached
// blocks may be found.
package block

import (
	"encoding/binary"
	"encoding/hex"
	"fmt"

	"lukechampine.com/blake3"

	"github.com/egrethoist/egrethoist/internal/token"
)

// IDBytes is the length of an ID. Colliding with an ID of another workspace requires a second preimage under an
// unknown key, so 128 bits suffice.
const IDBytes = 16

// ID identifies one block and, through the chain of digests, all blocks before it.
type ID [IDBytes]byte

// Hex returns the ID in lower-case hexadecimal.
func (id ID) Hex() string { return hex.EncodeToString(id[:]) }

// Bytes returns a copy of the ID as a slice, the form used in messages.
func (id ID) Bytes() []byte { return append([]byte(nil), id[:]...) }

// Hash returns 64 bits of the ID, uniformly distributed.
func (id ID) Hash() uint64 { return binary.LittleEndian.Uint64(id[:]) }

// Parse parses the form returned by Hex. It returns an error if s has the wrong length or is not hexadecimal.
func Parse(s string) (ID, error) {
	var id ID
	if hex.DecodedLen(len(s)) != IDBytes {
		return id, fmt.Errorf("block id of %d characters, want %d", len(s), hex.EncodedLen(IDBytes))
	}
	if _, err := hex.Decode(id[:], []byte(s)); err != nil {
		return ID{}, fmt.Errorf("block id: %w", err)
	}
	return id, nil
}

// FromBytes converts the form returned by Bytes. It returns an error if b has the wrong length.
func FromBytes(b []byte) (ID, error) {
	if len(b) != IDBytes {
		return ID{}, fmt.Errorf("block id of %d bytes, want %d", len(b), IDBytes)
	}
	return ID(b), nil
}

// Seed is the digest key for the block IDs of one service, weight version and workspace.
type Seed [32]byte

// seedContext is the context string of the key derivation, which separates seeds from other uses of the hash function.
const seedContext = "egrethoist 2026 kept-cache block identity"

// NewSeed returns the key for a service, a weight version and a workspace's cache salt.
func NewSeed(service, version, salt string) Seed {
	var material []byte
	for _, field := range []string{service, version, salt} {
		// The length prefix makes ("ab", "c") and ("a", "bc") differ.
		material = binary.AppendUvarint(material, uint64(len(field)))
		material = append(material, field...)
	}
	var seed Seed
	blake3.DeriveKey(seed[:], seedContext, material)
	return seed
}

// WindowBytes returns the window length in bytes for blocks of the given number of tokens.
func WindowBytes(blockTokens int) int { return blockTokens * token.BytesPerToken }

// Chain returns the IDs of the full windows of a prompt, first to last. An incomplete last window has no ID. Chain
// returns nil if windowBytes is not positive or the prompt is shorter than one window.
func Chain(seed Seed, prompt []byte, windowBytes int) []ID {
	if windowBytes <= 0 || len(prompt) < windowBytes {
		return nil
	}
	ids := make([]ID, 0, len(prompt)/windowBytes)
	h := blake3.New(len(Seed{}), seed[:])
	var state [len(Seed{})]byte
	for len(prompt) >= windowBytes {
		h.Reset()
		h.Write(state[:])
		h.Write(prompt[:windowBytes])
		h.Sum(state[:0])
		ids = append(ids, ID(state[:IDBytes]))
		prompt = prompt[windowBytes:]
	}
	return ids
}

// CommonPrefix returns the number of leading blocks that a and b share.
func CommonPrefix(a, b []ID) int {
	n := min(len(a), len(b))
	for i := range n {
		if a[i] != b[i] {
			return i
		}
	}
	return n
}

// SumBytes is the length of the digest that Sum returns.
const SumBytes = 32

// Sum returns a digest of a block's ID and content, so that the content of one block is never accepted as that of
// another.
func Sum(id ID, data []byte) [SumBytes]byte {
	h := blake3.New(SumBytes, nil)
	h.Write(id[:])
	h.Write(data)
	var sum [SumBytes]byte
	h.Sum(sum[:0])
	return sum
}
