// Package block gives the identity of kept-cache blocks.
//
// A prompt is cut into windows of a fixed number of bytes. The identity of a window is a keyed digest of its
// content and of the identity before it, so one ID names the whole prefix that ends there. The key, a Seed,
// is made of the service, the weight version and the workspace's cache salt: blocks of two workspaces or of
// two weight versions have different identities by construction, without a check that a caller might forget.
//
// Windows are bytes of the prompt text and not tokens, because an entry holds no tokenizer. An equal ID means
// equal text up to the end of the window, which is exact. The number of tokens that it stands for is
// approximate: a tokenizer may join bytes across the end of a window. The engine decides with its own tokens
// what it reuses; an ID only says where to look.
package block

import (
	"encoding/binary"
	"encoding/hex"
	"fmt"

	"lukechampine.com/blake3"

	"github.com/egrethoist/egrethoist/internal/token"
)

// IDBytes is the length of an ID. Meeting an ID of another workspace takes a second preimage under an
// unknown key, so 128 bits suffice.
const IDBytes = 16

// ID names one block and, through the chain, all blocks before it.
type ID [IDBytes]byte

// Hex returns the ID in lower-case hexadecimal.
func (id ID) Hex() string { return hex.EncodeToString(id[:]) }

// Bytes returns a copy of the ID for a message.
func (id ID) Bytes() []byte { return append([]byte(nil), id[:]...) }

// Hash returns 64 bits of the ID, uniformly distributed.
func (id ID) Hash() uint64 { return binary.LittleEndian.Uint64(id[:]) }

// Parse reads the form written by Hex.
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

// FromBytes reads the form written by Bytes.
func FromBytes(b []byte) (ID, error) {
	if len(b) != IDBytes {
		return ID{}, fmt.Errorf("block id of %d bytes, want %d", len(b), IDBytes)
	}
	return ID(b), nil
}

// Seed keys the identities of one workspace's blocks at one weight version of one service.
type Seed [32]byte

// seedContext separates seeds from any other use of the digest.
const seedContext = "egrethoist 2026 kept-cache block identity"

// NewSeed returns the key for a service, a weight version and a workspace's cache salt.
func NewSeed(service, version, salt string) Seed {
	var material []byte
	for _, field := range []string{service, version, salt} {
		// The length goes first, so that ("ab", "c") and ("a", "bc") differ.
		material = binary.AppendUvarint(material, uint64(len(field)))
		material = append(material, field...)
	}
	var seed Seed
	blake3.DeriveKey(seed[:], seedContext, material)
	return seed
}

// WindowBytes returns the window length in bytes for blocks of the given number of tokens.
func WindowBytes(blockTokens int) int { return blockTokens * token.BytesPerToken }

// Chain returns the identities of the whole windows of a prompt, first to last. A shorter last window has no
// identity. It returns nil if windowBytes is not positive.
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

// SumBytes is the length of a Sum.
const SumBytes = 32

// Sum returns the digest of a block's content together with its identity, so that the content of one block
// never passes for another's.
func Sum(id ID, data []byte) [SumBytes]byte {
	h := blake3.New(SumBytes, nil)
	h.Write(id[:])
	h.Write(data)
	var sum [SumBytes]byte
	h.Sum(sum[:0])
	return sum
}
