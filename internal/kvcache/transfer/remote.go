package transfer

import (
	"context"
	"errors"
	"io"
	"net"

	"connectrpc.com/connect"

	egretv1 "github.com/egrethoist/egrethoist/gen/egret/v1"
	"github.com/egrethoist/egrethoist/gen/egret/v1/egretv1connect"
)

// ExportSendBuffer is the socket send buffer of export connections, in bytes. It limits the data that an export has in flight, so
// that fetches on the same network path are delayed little. Exports therefore need separate connections.
const ExportSendBuffer = 256 << 10

// DialExport dials a TCP connection for exports, with a send buffer of ExportSendBuffer. It returns an error if dialing or
// setting the buffer fails.
func DialExport(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		if err := tcp.SetWriteBuffer(ExportSendBuffer); err != nil {
			conn.Close()
			return nil, err
		}
	}
	return conn, nil
}

// Remote is a Store reached over connect.
type Remote struct {
	client  egretv1connect.StoreServiceClient
	exports egretv1connect.StoreServiceClient // for writes
}

var _ Store = (*Remote)(nil)

// NewRemote returns a store that uses a connect client for all calls.
func NewRemote(client egretv1connect.StoreServiceClient) *Remote {
	return &Remote{client: client, exports: client}
}

// WithExports returns a copy of the store that uses a separate client for writes. The connections of that client should be
// made by DialExport.
func (r *Remote) WithExports(exports egretv1connect.StoreServiceClient) *Remote {
	return &Remote{client: r.client, exports: exports}
}

// Lookup implements Store.
func (r *Remote) Lookup(ctx context.Context, req *egretv1.LookupRequest) (*egretv1.LookupResponse, error) {
	return unwrap(r.client.Lookup(ctx, connect.NewRequest(req)))
}

// Read implements Store.
func (r *Remote) Read(ctx context.Context, req *egretv1.ReadRequest, each func(*egretv1.ReadResponse) error) error {
	// Cancel the stream on an early return, so that the store stops sending.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := r.client.Read(ctx, connect.NewRequest(req))
	if err != nil {
		return err
	}
	defer stream.Close()
	for stream.Receive() {
		if err := each(stream.Msg()); err != nil {
			return err
		}
	}
	return stream.Err()
}

// Write implements Store.
func (r *Remote) Write(ctx context.Context, next func() (*egretv1.WriteRequest, error)) (*egretv1.WriteResponse, error) {
	// Cancel the stream on an error of next: an incomplete block must not look like a normal end of the stream.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream := r.exports.Write(ctx)
	for {
		req, err := next()
		if errors.Is(err, io.EOF) {
			return unwrap(stream.CloseAndReceive())
		}
		if err != nil {
			return nil, err
		}
		if err := stream.Send(req); errors.Is(err, io.EOF) {
			// The store has already responded; the response contains its error.
			return unwrap(stream.CloseAndReceive())
		} else if err != nil {
			return nil, err
		}
	}
}

// Release implements Store.
func (r *Remote) Release(ctx context.Context, req *egretv1.ReleaseRequest) (*egretv1.ReleaseResponse, error) {
	return unwrap(r.client.Release(ctx, connect.NewRequest(req)))
}

// Drop implements Store.
func (r *Remote) Drop(ctx context.Context, req *egretv1.DropRequest) (*egretv1.DropResponse, error) {
	return unwrap(r.client.Drop(ctx, connect.NewRequest(req)))
}

// Status implements Store.
func (r *Remote) Status(ctx context.Context, req *egretv1.StoreStatusRequest) (*egretv1.StoreStatusResponse, error) {
	return unwrap(r.client.Status(ctx, connect.NewRequest(req)))
}

func unwrap[T any](resp *connect.Response[T], err error) (*T, error) {
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}
