package store

import (
	"context"
	"errors"
	"io"
	"time"

	"connectrpc.com/connect"

	egretv1 "github.com/egrethoist/egrethoist/gen/egret/v1"
	"github.com/egrethoist/egrethoist/gen/egret/v1/egretv1connect"
	"github.com/egrethoist/egrethoist/internal/kvcache/block"
	"github.com/egrethoist/egrethoist/internal/kvcache/retention"
	"github.com/egrethoist/egrethoist/internal/sleep"
)

var (
	errDown        = connect.NewError(connect.CodeUnavailable, errors.New("store is down"))
	errIncarnation = connect.NewError(connect.CodeFailedPrecondition, errors.New("store has restarted"))
	errNotPinned   = connect.NewError(connect.CodeFailedPrecondition, errors.New("block is not pinned"))
	errOrder       = connect.NewError(connect.CodeInvalidArgument, errors.New("pieces are not of one block in order"))
)

// Local serves the StoreService without a network. Its methods have the signatures of transfer.Store.
type Local struct{ *Store }

// enter applies the faults that every call meets and returns the incarnation.
func (s *Store) enter(ctx context.Context) (uint64, error) {
	s.mu.Lock()
	f, incarnation := s.faults, s.incarnation
	s.mu.Unlock()
	if err := sleep.For(ctx, f.Delay); err != nil {
		return 0, err
	}
	if f.Down {
		return 0, errDown
	}
	return incarnation, nil
}

// Lookup pins the leading complete blocks.
func (l Local) Lookup(ctx context.Context, req *egretv1.LookupRequest) (*egretv1.LookupResponse, error) {
	incarnation, err := l.enter(ctx)
	if err != nil {
		return nil, err
	}
	ids, err := parse(req.Blocks)
	if err != nil {
		return nil, err
	}
	n, number := l.lookup(ids, time.Duration(req.PinMillis)*time.Millisecond)
	return &egretv1.LookupResponse{Complete: uint32(n), Pin: number, Incarnation: incarnation}, nil
}

func parse(blocks [][]byte) ([]block.ID, error) {
	ids := make([]block.ID, len(blocks))
	for i, b := range blocks {
		id, err := block.FromBytes(b)
		if err != nil {
			return nil, connect.NewError(connect.CodeInvalidArgument, err)
		}
		ids[i] = id
	}
	return ids, nil
}

// Read sends the blocks piece by piece.
func (l Local) Read(ctx context.Context, req *egretv1.ReadRequest, send func(*egretv1.ReadResponse) error) error {
	incarnation, err := l.enter(ctx)
	if err != nil {
		return err
	}
	if req.Incarnation != incarnation {
		return errIncarnation
	}
	ids, err := parse(req.Blocks)
	if err != nil {
		return err
	}
	send = l.faulty(req.Transfer, send)
	pieces := 0
	for _, id := range ids {
		if err := l.readBlock(ctx, req, incarnation, id, &pieces, send); err != nil {
			return err
		}
	}
	return nil
}

func (l Local) readBlock(ctx context.Context, req *egretv1.ReadRequest, incarnation uint64, id block.ID, pieces *int, send func(*egretv1.ReadResponse) error) error {
	l.mu.Lock()
	h := l.blocks[id]
	if h == nil || !l.covers(req.Pin, id) {
		l.mu.Unlock()
		return errNotPinned
	}
	inMemory := l.promote(id)
	l.counts.Reads++
	if !inMemory {
		l.counts.DiskReads++
	}
	l.mu.Unlock()
	for offset := 0; ; offset += l.opts.PieceBytes {
		*pieces++
		l.beforePiece(*pieces)
		piece := l.piece(req.Transfer, incarnation, id, h, offset)
		if err := l.opts.Link.Transfer(ctx, len(piece.Data)); err != nil {
			return err
		}
		if err := send(piece); err != nil {
			return err
		}
		if piece.Last {
			return nil
		}
	}
}

// piece copies one part of a place as it is now, whatever block lies there by now.
func (s *Store) piece(transfer, incarnation uint64, id block.ID, h *held, offset int) *egretv1.ReadResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	end := min(offset+s.opts.PieceBytes, len(h.place.data))
	p := &egretv1.ReadResponse{
		Transfer:    transfer,
		Block:       id.Bytes(),
		Offset:      uint64(offset),
		Data:        append([]byte(nil), h.place.data[offset:end]...),
		Last:        end == len(h.place.data),
		Generation:  h.place.generation,
		Incarnation: incarnation,
	}
	if p.Last {
		p.Digest = append([]byte(nil), h.sum[:]...)
	}
	return p
}

// writing is a block that has not arrived whole.
type writing struct {
	item retention.Item
	size uint64
	data []byte
}

// Write takes blocks piece by piece. A block is visible once it is whole.
func (l Local) Write(ctx context.Context, next func() (*egretv1.WriteRequest, error)) (*egretv1.WriteResponse, error) {
	incarnation, err := l.enter(ctx)
	if err != nil {
		return nil, err
	}
	resp := &egretv1.WriteResponse{Incarnation: incarnation}
	var w *writing
	for {
		req, err := next()
		if errors.Is(err, io.EOF) && w == nil {
			return resp, nil
		}
		if err != nil {
			l.partial(w)
			return nil, err
		}
		if err := l.opts.Link.Transfer(ctx, len(req.Data)); err != nil {
			return nil, err
		}
		if w, err = w.add(req); err != nil {
			l.partial(w)
			return nil, err
		}
		if !req.Last {
			continue
		}
		if err := l.finish(incarnation, w, req, resp); err != nil {
			return nil, err
		}
		w = nil
	}
}

func (s *Store) partial(w *writing) {
	if w == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Partial++
}

// add takes the next piece; a nil writing starts a block.
func (w *writing) add(req *egretv1.WriteRequest) (*writing, error) {
	id, err := block.FromBytes(req.Block)
	if err != nil {
		return w, connect.NewError(connect.CodeInvalidArgument, err)
	}
	if w == nil {
		parent, _ := block.FromBytes(req.Parent) // empty for the first block
		w = &writing{size: req.Size, item: retention.Item{
			ID: id, Parent: parent, Workspace: req.Workspace, Version: req.WeightVersion,
			Bytes: int64(req.Size), Value: float64(req.Value), Replica: req.Spare,
		}}
	}
	tooLong := uint64(len(w.data)+len(req.Data)) > w.size
	if w.item.ID != id || req.Offset != uint64(len(w.data)) || tooLong {
		return w, errOrder
	}
	w.data = append(w.data, req.Data...)
	return w, nil
}

func (s *Store) finish(incarnation uint64, w *writing, req *egretv1.WriteRequest, resp *egretv1.WriteResponse) error {
	sum := block.Sum(w.item.ID, w.data)
	if uint64(len(w.data)) != w.size || string(sum[:]) != string(req.Digest) {
		s.mu.Lock()
		s.counts.BadDigest++
		s.mu.Unlock()
		return connect.NewError(connect.CodeDataLoss, errors.New("content does not agree with its digest"))
	}
	if s.commit(incarnation, w.item, w.data, sum) {
		resp.Stored++
	} else {
		resp.Refused++
	}
	return nil
}

// Release gives a pin back.
func (l Local) Release(_ context.Context, req *egretv1.ReleaseRequest) (*egretv1.ReleaseResponse, error) {
	l.release(req.Pin)
	return &egretv1.ReleaseResponse{}, nil
}

// Drop removes the blocks of a weight version.
func (l Local) Drop(ctx context.Context, req *egretv1.DropRequest) (*egretv1.DropResponse, error) {
	if _, err := l.enter(ctx); err != nil {
		return nil, err
	}
	return &egretv1.DropResponse{Dropped: uint32(l.dropVersion(req.WeightVersion))}, nil
}

// Status tells how full the store is.
func (l Local) Status(ctx context.Context, _ *egretv1.StoreStatusRequest) (*egretv1.StoreStatusResponse, error) {
	incarnation, err := l.enter(ctx)
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return &egretv1.StoreStatusResponse{
		Incarnation: incarnation,
		MemoryBytes: uint64(l.memoryUsed), MemoryCapacity: uint64(l.opts.MemoryBytes),
		DiskBytes: uint64(l.table.Used()), DiskCapacity: uint64(l.opts.DiskBytes),
	}, nil
}

// Handler serves a store over connect.
type Handler struct{ local Local }

var _ egretv1connect.StoreServiceHandler = (*Handler)(nil)

// NewHandler returns a handler for the store.
func NewHandler(s *Store) *Handler { return &Handler{Local{s}} }

// Lookup implements egretv1connect.StoreServiceHandler.
func (h *Handler) Lookup(ctx context.Context, req *connect.Request[egretv1.LookupRequest]) (*connect.Response[egretv1.LookupResponse], error) {
	return respond(h.local.Lookup(ctx, req.Msg))
}

// Read implements egretv1connect.StoreServiceHandler.
func (h *Handler) Read(ctx context.Context, req *connect.Request[egretv1.ReadRequest], stream *connect.ServerStream[egretv1.ReadResponse]) error {
	return h.local.Read(ctx, req.Msg, stream.Send)
}

// Write implements egretv1connect.StoreServiceHandler.
func (h *Handler) Write(ctx context.Context, stream *connect.ClientStream[egretv1.WriteRequest]) (*connect.Response[egretv1.WriteResponse], error) {
	return respond(h.local.Write(ctx, func() (*egretv1.WriteRequest, error) {
		if stream.Receive() {
			return stream.Msg(), nil
		}
		if err := stream.Err(); err != nil {
			return nil, err
		}
		return nil, io.EOF
	}))
}

// Release implements egretv1connect.StoreServiceHandler.
func (h *Handler) Release(ctx context.Context, req *connect.Request[egretv1.ReleaseRequest]) (*connect.Response[egretv1.ReleaseResponse], error) {
	return respond(h.local.Release(ctx, req.Msg))
}

// Drop implements egretv1connect.StoreServiceHandler.
func (h *Handler) Drop(ctx context.Context, req *connect.Request[egretv1.DropRequest]) (*connect.Response[egretv1.DropResponse], error) {
	return respond(h.local.Drop(ctx, req.Msg))
}

// Status implements egretv1connect.StoreServiceHandler.
func (h *Handler) Status(ctx context.Context, req *connect.Request[egretv1.StoreStatusRequest]) (*connect.Response[egretv1.StoreStatusResponse], error) {
	return respond(h.local.Status(ctx, req.Msg))
}

func respond[T any](msg *T, err error) (*connect.Response[T], error) {
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(msg), nil
}
