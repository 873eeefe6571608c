// Package transfer reads and writes KV cache blocks between a sidecar and the stores. A block is delivered complete and
// verified, or not at all.
//
// Five checks protect a request from wrong content, each sufficient for one kind of fault:
//   - A read is bound to a pin, which is valid for one incarnation of the store.
//   - A piece that does not carry the number of the current transfer is dropped.
//   - The pieces of a block must be contiguous and have the same generation, which changes when the block is freed.
//   - The lease of a pin is measured from before the pin is requested, so it expires at the reader first.
//   - The digest of a block, which covers its ID as well as its data, is verified before the block is delivered.
package transfer

import (
	"errors"
	"fmt"

	"connectrpc.com/connect"

	egretv1 "github.com/egrethoist/egrethoist/gen/egret/v1"
	"github.com/egrethoist/egrethoist/internal/kvcache/block"
)

// Reasons for rejecting a block. Test with errors.Is.
var (
	ErrStoreRestarted  = errors.New("store restarted since the blocks were pinned")
	ErrUnexpectedPiece = errors.New("unexpected block or offset of a piece")
	ErrBlockFreed      = errors.New("block was freed during the read")
	ErrDigestMismatch  = errors.New("content of the block does not match its digest")
	ErrBlockTooLarge   = errors.New("block exceeds the maximum size")
	ErrTruncated       = errors.New("response ended before the last block was complete")
	ErrPinExpired      = errors.New("pin expired during the read")
)

// IsBlockError reports whether a read failed because a block was missing or invalid. Such an error does not mean that the
// store is down.
func IsBlockError(err error) bool {
	for _, blockErr := range []error{ErrStoreRestarted, ErrUnexpectedPiece, ErrBlockFreed, ErrDigestMismatch, ErrBlockTooLarge, ErrTruncated, ErrPinExpired} {
		if errors.Is(err, blockErr) {
			return true
		}
	}
	return connect.CodeOf(err) == connect.CodeFailedPrecondition // unknown pin or an earlier incarnation
}

// Block is a complete, verified block. The receiver owns its data until it calls Client.Recycle.
type Block struct {
	ID   block.ID
	Data []byte
}

// assembler joins the pieces of one transfer into blocks. It owns its buffer. A piece of another transfer is dropped before
// its data is used, so a delayed response cannot write to a buffer that has been reused.
type assembler struct {
	transfer    uint64
	incarnation uint64
	want        []block.ID
	maxBytes    int
	newBuffer   func() []byte

	next       int // position in want of the block being assembled
	data       []byte
	generation uint64
	dropped    int // number of pieces of other transfers
}

// add appends a piece. It returns the block if the piece completes one, and an error if the piece is invalid.
func (a *assembler) add(p *egretv1.ReadResponse) (*Block, error) {
	if p.Transfer != a.transfer {
		a.dropped++
		return nil, nil
	}
	if err := a.validate(p); err != nil {
		return nil, err
	}
	a.data = append(a.data, p.Data...)
	if !p.Last {
		return nil, nil
	}
	id := a.want[a.next]
	sum := block.Sum(id, a.data)
	if string(sum[:]) != string(p.Digest) {
		return nil, ErrDigestMismatch
	}
	b := &Block{ID: id, Data: a.data}
	a.next++
	a.data = nil // the receiver of the block owns the buffer now
	return b, nil
}

// validate checks that a piece is the next one expected. Before the first piece of a block it allocates the buffer.
func (a *assembler) validate(p *egretv1.ReadResponse) error {
	switch {
	case p.Incarnation != a.incarnation:
		return ErrStoreRestarted
	case a.next == len(a.want) || string(p.Block) != string(a.want[a.next][:]) || p.Offset != uint64(len(a.data)):
		return ErrUnexpectedPiece
	case len(a.data)+len(p.Data) > a.maxBytes:
		return ErrBlockTooLarge
	}
	if a.data == nil {
		a.data = a.newBuffer()
		a.generation = p.Generation
	}
	if p.Generation != a.generation {
		return ErrBlockFreed
	}
	return nil
}

// finish returns ErrTruncated if blocks are missing at the end of the response.
func (a *assembler) finish() error {
	if a.next < len(a.want) {
		return fmt.Errorf("%w: %d of %d blocks", ErrTruncated, a.next, len(a.want))
	}
	return nil
}
