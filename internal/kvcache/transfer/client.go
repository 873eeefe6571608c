package transfer

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	egretv1 "github.com/egrethoist/egrethoist/gen/egret/v1"
	"github.com/egrethoist/egrethoist/internal/kvcache/block"
)

// Store is the interface of a KV-cache store.
type Store interface {
	Lookup(ctx context.Context, req *egretv1.LookupRequest) (*egretv1.LookupResponse, error)
	// Read calls each for every message of the response. Messages are not reused.
	Read(ctx context.Context, req *egretv1.ReadRequest, each func(*egretv1.ReadResponse) error) error
	// Write sends the messages that next returns until it returns io.EOF.
	Write(ctx context.Context, next func() (*egretv1.WriteRequest, error)) (*egretv1.WriteResponse, error)
	Release(ctx context.Context, req *egretv1.ReleaseRequest) (*egretv1.ReleaseResponse, error)
	Drop(ctx context.Context, req *egretv1.DropRequest) (*egretv1.DropResponse, error)
	Status(ctx context.Context, req *egretv1.StoreStatusRequest) (*egretv1.StoreStatusResponse, error)
}

// Options configure a Client. Zero fields take the defaults.
type Options struct {
	PieceBytes    int           // maximum data per message of a write, in bytes
	MaxBlockBytes int           // longer blocks are rejected on reading, in bytes
	PinLease      time.Duration // lease of a pin, after which the store releases it
}

// Defaults of Options.
const (
	DefaultPieceBytes    = 256 << 10
	DefaultMaxBlockBytes = 256 << 20
	DefaultPinLease      = 10 * time.Second
)

// releaseTimeout bounds the call that releases a pin. If it fails, the lease expires anyway.
const releaseTimeout = time.Second

// Client reads and writes blocks of one store. It is safe for concurrent use.
type Client struct {
	name        string
	store       Store
	opts        Options
	transfers   atomic.Uint64
	incarnation atomic.Uint64 // last one observed; zero if none
	buffers     sync.Pool
}

// New returns a client of a store. The name is used in errors.
func New(name string, store Store, opts Options) *Client {
	opts.PieceBytes = cmp.Or(opts.PieceBytes, DefaultPieceBytes)
	opts.MaxBlockBytes = cmp.Or(opts.MaxBlockBytes, DefaultMaxBlockBytes)
	opts.PinLease = cmp.Or(opts.PinLease, DefaultPinLease)
	return &Client{name: name, store: store, opts: opts}
}

// Name returns the name of the store.
func (c *Client) Name() string { return c.name }

// Incarnation returns the last observed incarnation of the store, or zero before the first response. It changes when the
// store loses its content.
func (c *Client) Incarnation() uint64 { return c.incarnation.Load() }

// Pinned is a run of complete blocks that a store does not evict until the pin is released or its lease expires.
type Pinned struct {
	Blocks      []block.ID
	pin         uint64    // ID of the pin at the store
	incarnation uint64    // of the store when the blocks were pinned
	expires     time.Time // end of the lease
}

// Pin pins the leading blocks of ids that the store holds. The caller must call Release.
func (c *Client) Pin(ctx context.Context, ids []block.ID) (*Pinned, error) {
	// The lease is measured from before the call, so that it expires at the reader before it does at the store.
	expires := time.Now().Add(c.opts.PinLease)
	resp, err := c.store.Lookup(ctx, &egretv1.LookupRequest{Blocks: encodeIDs(ids), PinMillis: uint64(c.opts.PinLease.Milliseconds())})
	if err != nil {
		return nil, c.wrapError("lookup", err)
	}
	c.incarnation.Store(resp.Incarnation)
	n := min(int(resp.Complete), len(ids))
	return &Pinned{Blocks: ids[:n], pin: resp.Pin, incarnation: resp.Incarnation, expires: expires}, nil
}

// StoredPrefix returns the number of leading blocks of ids that the store holds, without pinning them.
func (c *Client) StoredPrefix(ctx context.Context, ids []block.ID) (int, error) {
	resp, err := c.store.Lookup(ctx, &egretv1.LookupRequest{Blocks: encodeIDs(ids)})
	if err != nil {
		return 0, c.wrapError("lookup", err)
	}
	c.incarnation.Store(resp.Incarnation)
	return min(int(resp.Complete), len(ids)), nil
}

// Release releases a pin.
func (c *Client) Release(ctx context.Context, p *Pinned) {
	if p.pin == 0 {
		return
	}
	// The release is sent even if the caller's context is cancelled.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	_, _ = c.store.Release(ctx, &egretv1.ReleaseRequest{Pin: p.pin}) // on failure the lease expires
}

// Read reads pinned blocks in order and calls each for every block once it is complete and verified. It stops at the first
// error, including one returned by each. It returns the number of blocks delivered; they remain valid after an error.
func (c *Client) Read(ctx context.Context, p *Pinned, ids []block.ID, each func(Block) error) (int, error) {
	a := &assembler{
		transfer:    c.transfers.Add(1),
		incarnation: p.incarnation,
		want:        ids,
		maxBytes:    c.opts.MaxBlockBytes,
		newBuffer:   c.getBuffer,
	}
	req := &egretv1.ReadRequest{Pin: p.pin, Incarnation: p.incarnation, Blocks: encodeIDs(ids), Transfer: a.transfer}
	err := c.store.Read(ctx, req, func(piece *egretv1.ReadResponse) error {
		b, err := a.add(piece)
		if err != nil || b == nil {
			return err
		}
		if !time.Now().Before(p.expires) {
			a.next-- // complete, but it may have been read after the pin expired
			return ErrPinExpired
		}
		return each(*b)
	})
	if a.data != nil {
		c.Recycle(a.data)
	}
	if err == nil {
		err = a.finish()
	}
	if err != nil {
		return a.next, c.wrapError("read", err)
	}
	return a.next, nil
}

// getBuffer returns an empty buffer from the pool, or a new one.
func (c *Client) getBuffer() []byte {
	if b, ok := c.buffers.Get().(*[]byte); ok {
		return (*b)[:0]
	}
	return make([]byte, 0, c.opts.PieceBytes)
}

// Recycle returns the data of a block to the buffer pool. The data must not be used afterwards.
func (c *Client) Recycle(data []byte) { c.buffers.Put(&data) }

// Export is a block to write to a store.
type Export struct {
	ID        block.ID
	Parent    block.ID // preceding block of the chain; the zero ID for the first one
	Workspace string
	Version   string
	Value     float64 // retention value; the store evicts blocks of lower value first
	Spare     bool    // an additional copy of a block that another store holds
	Data      []byte
}

// WriteResult counts the written blocks by outcome.
type WriteResult struct {
	Stored  int
	Refused int // of too little value to be stored
}

// Pacer blocks until the next piece of an export, of the given size, may be sent. It is called before each piece, so the
// time between two calls is the transfer time of the previous piece. Its error aborts the write.
type Pacer func(bytes int) error

// Write writes the blocks that next returns until it returns io.EOF. Any other error of next aborts the write. With a nil
// pace, pieces are sent without delay.
func (c *Client) Write(ctx context.Context, next func() (Export, error), pace Pacer) (WriteResult, error) {
	w := &writer{pieceBytes: c.opts.PieceBytes, next: next, pace: pace}
	resp, err := c.store.Write(ctx, w.nextPiece)
	if err != nil {
		return WriteResult{}, c.wrapError("write", err)
	}
	c.incarnation.Store(resp.Incarnation)
	return WriteResult{Stored: int(resp.Stored), Refused: int(resp.Refused)}, nil
}

// writer splits blocks into pieces of at most pieceBytes.
type writer struct {
	pieceBytes int
	next       func() (Export, error)
	pace       Pacer
	current    *Export
	sum        [block.SumBytes]byte
	offset     int
}

// nextPiece returns the next message of the write, or the error of next or pace.
func (w *writer) nextPiece() (*egretv1.WriteRequest, error) {
	if w.current == nil {
		e, err := w.next()
		if err != nil {
			return nil, err
		}
		w.current, w.offset, w.sum = &e, 0, block.Sum(e.ID, e.Data)
	}
	e := w.current
	end := min(w.offset+w.pieceBytes, len(e.Data))
	if w.pace != nil {
		if err := w.pace(end - w.offset); err != nil {
			return nil, err
		}
	}
	req := &egretv1.WriteRequest{
		Block: e.ID.Bytes(), Offset: uint64(w.offset), Data: e.Data[w.offset:end], Size: uint64(len(e.Data)),
		Workspace: e.Workspace, WeightVersion: e.Version, Value: float32(e.Value), Spare: e.Spare,
	}
	if e.Parent != (block.ID{}) {
		req.Parent = e.Parent.Bytes()
	}
	w.offset = end
	if end == len(e.Data) {
		req.Last, req.Digest = true, w.sum[:]
		w.current = nil
	}
	return req, nil
}

// DropVersion deletes all blocks of a weight version from the store.
func (c *Client) DropVersion(ctx context.Context, version string) error {
	if _, err := c.store.Drop(ctx, &egretv1.DropRequest{WeightVersion: version}); err != nil {
		return c.wrapError("drop", err)
	}
	return nil
}

// wrapError adds the operation and the store to an error. An io.EOF becomes ErrTruncated.
func (c *Client) wrapError(step string, err error) error {
	if errors.Is(err, io.EOF) {
		err = ErrTruncated
	}
	return trace.Wrap(fmt.Errorf("%s at store %s: %w", step, c.name, err))
}

// encodeIDs returns block IDs in their wire form.
func encodeIDs(ids []block.ID) [][]byte {
	out := make([][]byte, len(ids))
	for i, id := range ids {
		out[i] = id.Bytes()
	}
	return out
}
