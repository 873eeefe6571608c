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

// bodySender streams a request body to a sidecar, within the offsets that the sidecar grants.
type bodySender struct {
	body         *body
	stream       *serveStream
	granted      atomic.Uint64         // offset in bytes up to which the body may be sent
	grantChanged chan struct{}         // signalled when granted has grown
	readErr      atomic.Pointer[error] // of the caller's connection
}

// newBodySender returns a sender that has the initial grant, unless the body is declared long.
func newBodySender(b *body, s *serveStream) *bodySender {
	sender := &bodySender{body: b, stream: s, grantChanged: make(chan struct{}, 1)}
	if !b.declaredLong() {
		sender.granted.Store(upload.InitialGrant)
	}
	return sender
}

// grant sets the granted offset. Grants arrive in increasing order.
func (s *bodySender) grant(offset uint64) {
	s.granted.Store(offset)
	select {
	case s.grantChanged <- struct{}{}:
	default:
	}
}

// readError returns the error that stopped reading the body from the caller; nil if there was none or s is nil.
func (s *bodySender) readError() error {
	if s == nil || s.readErr.Load() == nil {
		return nil
	}
	return *s.readErr.Load()
}

// run sends the body and the end message. If the body cannot be read to its end, run calls cancel, which ends the
// stream, and sends no end message, so that the sidecar never takes the body for complete.
func (s *bodySender) run(ctx context.Context, cancel func()) {
	sent := uint64(0)
	// A long body is not read before the sidecar grants it, so that a refused request does not upload it.
	if s.awaitGrant(ctx, sent) != nil || s.send(ctx, s.body.buffered, &sent) != nil {
		return
	}
	for !s.body.complete {
		if s.awaitGrant(ctx, sent) != nil {
			return
		}
		data, err := s.body.nextPiece(ctx)
		if err == io.EOF {
			break
		}
		if err != nil {
			if ctx.Err() == nil {
				s.readErr.Store(&err)
				cancel()
			}
			return
		}
		if s.send(ctx, data, &sent) != nil {
			return
		}
	}
	s.end()
}

// send sends data and waits for grants. *sent is the offset of the next byte to send, which it advances.
func (s *bodySender) send(ctx context.Context, data []byte, sent *uint64) error {
	for len(data) > 0 {
		if err := s.awaitGrant(ctx, *sent); err != nil {
			return err
		}
		n := min(uint64(len(data)), s.granted.Load()-*sent, upload.PieceSize)
		if err := s.stream.Send(bodyMessage(data[:n])); err != nil {
			return err
		}
		*sent += n
		data = data[n:]
	}
	return nil
}

// awaitGrant waits until the granted offset exceeds sent. It returns the error of ctx if that ends first.
func (s *bodySender) awaitGrant(ctx context.Context, sent uint64) error {
	for s.granted.Load() <= sent {
		select {
		case <-s.grantChanged:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// end sends the end message and closes the request side of the stream.
func (s *bodySender) end() {
	if s.stream.Send(bodyEndMessage()) == nil {
		s.stream.CloseRequest()
	}
}

// bodyMessage returns a message with a part of the request body.
func bodyMessage(data []byte) *egretv1.ServeRequest {
	return &egretv1.ServeRequest{Kind: &egretv1.ServeRequest_Body{Body: data}}
}

// bodyEndMessage returns the message that marks the end of a complete request body.
func bodyEndMessage() *egretv1.ServeRequest {
	return &egretv1.ServeRequest{Kind: &egretv1.ServeRequest_BodyEnd{BodyEnd: &egretv1.BodyEnd{}}}
}

// streamsBody reports whether the body is streamed. A completely buffered body is sent at once, as is any body to a
// sidecar that does not accept streamed bodies.
func (d *dispatch) streamsBody(conn *sidecarConn) bool {
	return !d.req.Body.complete && conn.streamsBodies.Load()
}

// bufferBody reads the complete body if the sidecar does not accept streamed bodies. It is called before anything is
// sent in the attempt.
func (d *dispatch) bufferBody(ctx context.Context, conn *sidecarConn) error {
	if d.req.Body.complete || conn.streamsBodies.Load() {
		return nil
	}
	if err := d.req.Body.bufferRest(ctx); err != nil {
		return err
	}
	d.req.ReadAt = time.Now()
	return nil
}

// bodyError returns the error for a body that could not be read.
func (d *dispatch) bodyError(err error) *Error {
	fail := &Error{Code: CodeInvalid, Step: stepReadBody, Peer: d.entry.opts.Name, Message: err.Error()}
	if errors.Is(err, context.DeadlineExceeded) {
		fail.Code = CodeDeadline
	}
	return fail
}
