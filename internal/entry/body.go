package entry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/egrethoist/egrethoist/internal/upload"
)

// maxBufferedBody is the maximum size in bytes of a request body that is buffered completely: of a model call, or of a
// plain call to a sidecar that does not accept streamed bodies.
const maxBufferedBody = 32 << 20

// Timeouts for reading and discarding the rest of a body after the response.
const (
	bodyDrainTimeout = 5 * time.Second        // in total
	bodyIdleTimeout  = 500 * time.Millisecond // without further data
)

// errBodyTooLarge is returned when a body exceeds maxBufferedBody.
var errBodyTooLarge = errors.New("body exceeds " + strconv.Itoa(maxBufferedBody) + " bytes")

// body is a request body. Up to upload.InitialGrant bytes of it are buffered, so that an attempt that failed before more
// was read can be retried. It is not safe for concurrent use.
type body struct {
	contentLength int64 // bytes, as declared by the caller; -1 if unknown
	buffered      []byte
	complete      bool // buffered is the complete body
	overflowed    bool // more was read than can be buffered; buffered is nil

	source      io.Reader // the caller's connection; nil if the body was read by newBody
	startReader sync.Once
	pieces      chan bodyPiece // unbuffered; sent by readSource
	stop        chan struct{}  // closed by close
	readerDone  chan struct{}  // closed when readSource returns
	sourceEOF   atomic.Bool    // source has returned io.EOF
}

// bodyPiece is the result of one read from the caller's connection. The data is valid until the next piece is received.
type bodyPiece struct {
	data []byte
	err  error
}

// newCompleteBody returns a body that is completely buffered.
func newCompleteBody(data []byte) *body {
	b := &body{contentLength: int64(len(data)), buffered: data, complete: true}
	b.sourceEOF.Store(true)
	return b
}

// newBody returns the body of a request. A body with a declared length of at most upload.InitialGrant bytes is read
// immediately.
func newBody(r *http.Request) (*body, error) {
	if r.ContentLength >= 0 && r.ContentLength <= upload.InitialGrant {
		data, err := readWholeBody(r.Body)
		return newCompleteBody(data), err
	}
	return &body{
		contentLength: r.ContentLength,
		source:        r.Body,
		pieces:        make(chan bodyPiece),
		stop:          make(chan struct{}),
		readerDone:    make(chan struct{}),
	}, nil
}

// readWholeBody reads a body completely. It returns errBodyTooLarge if it exceeds maxBufferedBody.
func readWholeBody(r io.Reader) ([]byte, error) {
	var buf bytes.Buffer
	_, err := io.Copy(&buf, http.MaxBytesReader(nil, io.NopCloser(r), maxBufferedBody))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, errBodyTooLarge
	}
	return buf.Bytes(), err
}

// canResend reports whether the body can be sent again from the beginning.
func (b *body) canResend() bool { return !b.overflowed }

// declaredLong reports whether the declared length exceeds what is buffered for retries.
func (b *body) declaredLong() bool { return b.contentLength > upload.InitialGrant }

// readSource reads the caller's connection until the end of the body or until close. It reads one piece ahead, with two
// alternating buffers.
func (b *body) readSource() {
	defer close(b.readerDone)
	var bufs [2][]byte
	for i := 0; ; i = 1 - i {
		if bufs[i] == nil {
			bufs[i] = make([]byte, upload.PieceSize)
		}
		n, err := b.source.Read(bufs[i])
		if err == io.EOF {
			b.sourceEOF.Store(true)
		}
		if n > 0 && !b.publish(bodyPiece{data: bufs[i][:n]}) {
			return
		}
		if err != nil {
			b.publish(bodyPiece{err: err})
			return
		}
	}
}

// publish passes on a piece; it returns false if the body was closed.
func (b *body) publish(p bodyPiece) bool {
	select {
	case b.pieces <- p:
		return true
	case <-b.stop:
		return false
	}
}

// receivePiece returns the next piece from the caller's connection, io.EOF after the last one, or the error of ctx.
func (b *body) receivePiece(ctx context.Context) ([]byte, error) {
	b.startReader.Do(func() { go b.readSource() })
	select {
	case p := <-b.pieces:
		return p.data, p.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// nextPiece returns the next piece like receivePiece, and buffers it for retries as long as the buffer suffices.
func (b *body) nextPiece(ctx context.Context) ([]byte, error) {
	data, err := b.receivePiece(ctx)
	if err == io.EOF && !b.overflowed {
		b.complete = true
	}
	if b.overflowed {
		return data, err
	}
	if len(b.buffered)+len(data) > upload.InitialGrant {
		b.overflowed, b.buffered = true, nil
		return data, err
	}
	b.buffered = append(b.buffered, data...)
	return data, err
}

// bufferRest buffers the rest of the body. It returns errBodyTooLarge if the body exceeds maxBufferedBody.
func (b *body) bufferRest(ctx context.Context) error {
	for !b.complete {
		data, err := b.receivePiece(ctx)
		switch {
		case err == io.EOF:
			b.complete = true
		case err != nil:
			return err
		case len(b.buffered)+len(data) > maxBufferedBody:
			return errBodyTooLarge
		}
		b.buffered = append(b.buffered, data...)
	}
	return nil
}

// drain reads and discards the rest of the body after a response that ended earlier. Closing the connection while the
// caller is still sending would reset it, and the caller might lose the response. This is only needed for HTTP/1.1. It
// does nothing for responses without a Content-Length, because their end would reach the caller only after the drain.
// callerCtx is cancelled when the connection is closed.
func (b *body) drain(callerCtx context.Context, w http.ResponseWriter) {
	if b.source == nil || b.sourceEOF.Load() || w.Header().Get("Content-Length") == "" {
		return
	}
	if http.NewResponseController(w).Flush() != nil {
		return
	}
	callerCtx, cancel := context.WithTimeout(callerCtx, bodyDrainTimeout)
	defer cancel()
	for {
		ctx, stop := context.WithTimeout(callerCtx, bodyIdleTimeout)
		_, err := b.receivePiece(ctx)
		stop()
		if err != nil {
			return
		}
	}
}

// close stops readSource, even while it waits for data from the caller. The HTTP server may then read a short rest of
// the body itself, for at most bodyIdleTimeout.
func (b *body) close(w http.ResponseWriter) {
	if b.source == nil {
		return
	}
	started := true
	b.startReader.Do(func() { started = false })
	if !started {
		return
	}
	close(b.stop)
	control := http.NewResponseController(w)
	if !b.sourceEOF.Load() {
		if control.SetReadDeadline(time.Unix(1, 0)) != nil {
			return // a read in progress cannot be interrupted
		}
		defer control.SetReadDeadline(time.Now().Add(bodyIdleTimeout))
	}
	<-b.readerDone
}
