// Package rpc carries the platform's interfaces over connect: Client implements them on top of a server that is
// reached over the network, NewHandler serves any implementation. An error that may hide a write that took
// effect is always platform.ErrOutcomeUnknown; platform.ErrUnavailable is given only with proof.
package rpc

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	egretv1 "github.com/egrethoist/egrethoist/gen/egret/v1"
	"github.com/egrethoist/egrethoist/gen/egret/v1/egretv1connect"
	"github.com/egrethoist/egrethoist/internal/platform"
)

// headerNotWritten marks an error of the server as proof that nothing was written.
const headerNotWritten = "X-Not-Written"

// Headers of the instance list. The tag names the content of a list among all that its server and others ever had.
const (
	headerList    = "X-List-Tag"     // of an answer
	headerHasList = "X-Has-List-Tag" // of a request: an answer with this tag needs no content
)

// maxWait bounds one watch at the server.
const maxWait = time.Minute

// maxMessageBytes bounds a message: the largest value and its envelope.
const maxMessageBytes = platform.MaxValueBytes + 64<<10

// Platform is what a handler serves. Nil parts are not served.
type Platform struct {
	KV        platform.KV
	Instances platform.InstanceList
	Weights   platform.WeightStore
}

// NewHandler serves the parts of a platform.
func NewHandler(p Platform) http.Handler {
	mux := http.NewServeMux()
	limit := connect.WithReadMaxBytes(maxMessageBytes)
	if p.KV != nil {
		mux.Handle(egretv1connect.NewKeyValueServiceHandler(&kvServer{kv: p.KV}, limit))
	}
	if p.Instances != nil {
		mux.Handle(egretv1connect.NewInstanceListServiceHandler(&listServer{list: p.Instances, run: uuid.NewString()}, limit))
	}
	if p.Weights != nil {
		mux.Handle(egretv1connect.NewWeightServiceHandler(&weightServer{store: p.Weights}, limit))
	}
	return mux
}

// codes pairs the errors of the interface with their codes on the wire.
var codes = []struct {
	err  error
	code connect.Code
}{
	{platform.ErrUnavailable, connect.CodeUnavailable},
	{platform.ErrLeaseLost, connect.CodeFailedPrecondition},
	{platform.ErrTooLarge, connect.CodeOutOfRange},
}

// encodeError makes the wire error of an error of the implementation.
func encodeError(err error) error {
	for _, c := range codes {
		if errors.Is(err, c.err) {
			wire := connect.NewError(c.code, err)
			wire.Meta().Set(headerNotWritten, "true")
			return wire
		}
	}
	return connect.NewError(connect.CodeUnknown, err)
}

type kvServer struct{ kv platform.KV }

func (s *kvServer) Get(ctx context.Context, req *connect.Request[egretv1.GetRequest]) (*connect.Response[egretv1.GetResponse], error) {
	item, err := s.kv.Get(ctx, req.Msg.Key)
	return itemResponse(item, err)
}

func (s *kvServer) Wait(ctx context.Context, req *connect.Request[egretv1.WaitRequest]) (*connect.Response[egretv1.GetResponse], error) {
	wait := min(time.Duration(req.Msg.WaitMillis)*time.Millisecond, maxWait)
	item, err := s.kv.Wait(ctx, req.Msg.Key, req.Msg.AfterVersion, wait)
	resp, err := itemResponse(item, err)
	if err == nil && item.Version == req.Msg.AfterVersion && hashOf(item.Value) == req.Msg.HeldHash {
		resp.Msg.Value, resp.Msg.Held = nil, true
	}
	return resp, err
}

// hashOf names a value, so that one that the other side holds isn't sent again. It is never zero.
func hashOf(value []byte) uint64 { return xxhash.Sum64(value) | 1 }

func itemResponse(item platform.Item, err error) (*connect.Response[egretv1.GetResponse], error) {
	if err != nil {
		return nil, encodeError(err)
	}
	return connect.NewResponse(&egretv1.GetResponse{
		Found:   item.Version != 0,
		Value:   item.Value,
		Version: item.Version,
	}), nil
}

func (s *kvServer) CompareAndSwap(ctx context.Context, req *connect.Request[egretv1.CompareAndSwapRequest]) (*connect.Response[egretv1.CompareAndSwapResponse], error) {
	version, err := s.swap(ctx, req.Msg)
	if err != nil && !errors.Is(err, platform.ErrConflict) {
		return nil, encodeError(err)
	}
	return connect.NewResponse(&egretv1.CompareAndSwapResponse{Swapped: err == nil, Version: version}), nil
}

func (s *kvServer) swap(ctx context.Context, m *egretv1.CompareAndSwapRequest) (uint64, error) {
	if m.Delete {
		return 0, s.kv.Delete(ctx, m.Key, m.ExpectVersion)
	}
	return s.kv.CompareAndSwap(ctx, m.Key, m.ExpectVersion, m.Value, platform.LeaseID(m.Lease))
}

func (s *kvServer) Grant(ctx context.Context, req *connect.Request[egretv1.GrantRequest]) (*connect.Response[egretv1.GrantResponse], error) {
	id, err := s.kv.Grant(ctx, time.Duration(req.Msg.TtlMillis)*time.Millisecond)
	if err != nil {
		return nil, encodeError(err)
	}
	return connect.NewResponse(&egretv1.GrantResponse{Lease: uint64(id)}), nil
}

func (s *kvServer) KeepAlive(ctx context.Context, req *connect.Request[egretv1.KeepAliveRequest]) (*connect.Response[egretv1.KeepAliveResponse], error) {
	err := s.kv.KeepAlive(ctx, platform.LeaseID(req.Msg.Lease))
	if err != nil && !errors.Is(err, platform.ErrLeaseLost) {
		return nil, encodeError(err)
	}
	return connect.NewResponse(&egretv1.KeepAliveResponse{Alive: err == nil}), nil
}

type listServer struct {
	list platform.InstanceList
	run  string // tells the sequence numbers of this run from those of others
}

func (s *listServer) List(ctx context.Context, req *connect.Request[egretv1.ListRequest]) (*connect.Response[egretv1.ListResponse], error) {
	list, sequence, err := s.list.List(ctx)
	if err != nil {
		return nil, encodeError(err)
	}
	tag := fmt.Sprintf("%s/%d", s.run, sequence)
	out := &egretv1.ListResponse{Sequence: sequence}
	resp := connect.NewResponse(out)
	resp.Header().Set(headerList, tag)
	if req.Header().Get(headerHasList) == tag {
		return resp, nil
	}
	for _, in := range list {
		out.Instances = append(out.Instances, &egretv1.PlatformInstance{
			Name:          in.Name,
			FailureDomain: in.FailureDomain,
			Address:       in.Address,
			Role:          in.Role,
			Leaving:       in.Leaving,
		})
	}
	return resp, nil
}

type weightServer struct{ store platform.WeightStore }

func (s *weightServer) Describe(ctx context.Context, req *connect.Request[egretv1.DescribeRequest]) (*connect.Response[egretv1.DescribeResponse], error) {
	w, found, err := s.store.Describe(ctx, req.Msg.Version)
	if err != nil {
		return nil, encodeError(err)
	}
	return connect.NewResponse(&egretv1.DescribeResponse{
		Found:  found,
		Bytes:  uint64(w.Bytes),
		Digest: w.Digest[:],
	}), nil
}
