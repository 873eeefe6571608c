package entry

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"

	egretv1 "github.com/egrethoist/egrethoist/gen/egret/v1"
	"github.com/egrethoist/egrethoist/internal/upload"
)

// sending passes a request body on to a sidecar as far as it grants.
type sending struct {
	body    *body
	stream  *serveStream
	granted atomic.Uint64
	grew    chan struct{}         // signalled when granted has grown
	cut     atomic.Pointer[error] // of the caller's connection
}

func newSending(b *body, s *serveStream) *sending {
	u := &sending{body: b, stream: s, grew: make(chan struct{}, 1)}
	if !b.long() {
		u.granted.Store(upload.InitialGrant)
	}
	return u
}

// grant takes the sidecar's word. Grants come in order.
func (u *sending) grant(offset uint64) {
	u.granted.Store(offset)
	select {
	case u.grew <- struct{}{}:
	default:
	}
}

// cutShort returns what kept the body from being read to its end, if anything did.
func (u *sending) cutShort() error {
	if u == nil || u.cut.Load() == nil {
		return nil
	}
	return *u.cut.Load()
}

// run sends the body to its end. One that the caller cuts short gets no end mark, so that it is never taken for whole;
// cancel then ends the stream.
func (u *sending) run(ctx context.Context, cancel func()) {
	sent := uint64(0)
	// Of a long body nothing is read before the sidecar takes it: a refusal costs the caller no upload.
	if u.await(ctx, sent) != nil || u.send(ctx, u.body.kept, &sent) != nil {
		return
	}
	for !u.body.whole {
		if u.await(ctx, sent) != nil {
			return
		}
		data, err := u.body.next(ctx)
		if err == io.EOF {
			break
		}
		if err != nil {
			if ctx.Err() == nil {
				u.cut.Store(&err)
				cancel()
			}
			return
		}
		if u.send(ctx, data, &sent) != nil {
			return
		}
	}
	u.end()
}

// send sends data, waiting for grants; sent is the offset of its beginning and then of its end.
func (u *sending) send(ctx context.Context, data []byte, sent *uint64) error {
	for len(data) > 0 {
		if err := u.await(ctx, *sent); err != nil {
			return err
		}
		n := min(uint64(len(data)), u.granted.Load()-*sent, upload.PieceSize)
		if err := u.stream.Send(bodyMessage(data[:n])); err != nil {
			return err
		}
		*sent += n
		data = data[n:]
	}
	return nil
}

// await returns once more than sent is granted.
func (u *sending) await(ctx context.Context, sent uint64) error {
	for u.granted.Load() <= sent {
		select {
		case <-u.grew:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

func (u *sending) end() {
	if u.stream.Send(bodyEndMessage()) == nil {
		u.stream.CloseRequest()
	}
}

func bodyMessage(data []byte) *egretv1.ServeRequest {
	return &egretv1.ServeRequest{Kind: &egretv1.ServeRequest_Body{Body: data}}
}

func bodyEndMessage() *egretv1.ServeRequest {
	return &egretv1.ServeRequest{Kind: &egretv1.ServeRequest_BodyEnd{BodyEnd: &egretv1.BodyEnd{}}}
}

// streams reports whether the body goes to the sidecar as it comes. A short body that is known whole goes at once, as
// it does to a sidecar that can't stream.
func (d *dispatch) streams(conn *sidecarConn) bool { return !d.req.Body.whole && conn.streams.Load() }

// holdBody reads the body for a sidecar that takes it whole only. Nothing has been sent in this attempt.
func (d *dispatch) holdBody(ctx context.Context, conn *sidecarConn) error {
	if d.req.Body.whole || conn.streams.Load() {
		return nil
	}
	if err := d.req.Body.hold(ctx); err != nil {
		return err
	}
	d.req.ReadAt = time.Now()
	return nil
}

// errorOfBody words what kept a body from being read.
func (d *dispatch) errorOfBody(err error) *Error {
	fail := &Error{Code: CodeInvalid, Step: stepReadBody, Peer: d.entry.opts.Name, Message: err.Error()}
	if errors.Is(err, context.DeadlineExceeded) {
		fail.Code = CodeDeadline
	}
	return fail
}
