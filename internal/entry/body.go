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

// maxHeldBody bounds a request body that is held whole: of a model call, and of a plain call to a sidecar that does
// not stream bodies.
const maxHeldBody = 32 << 20

// Bounds on a caller that goes on sending a body that nobody wants any more.
const (
	bodyDrainTimeout = 5 * time.Second        // in all
	bodyIdleTimeout  = 500 * time.Millisecond // without another piece: it has stopped
)

// errBodyTooLarge says that a body exceeds maxHeldBody.
var errBodyTooLarge = errors.New("body exceeds " + strconv.Itoa(maxHeldBody) + " bytes")

// body is the body of a request. Its beginning is kept, up to upload.InitialGrant, so that an attempt can be made again
// that ended before more of it was sent. One goroutine at a time may use it.
type body struct {
	declared int64 // length that the caller gave; -1 if none
	kept     []byte
	whole    bool // kept is all of it
	passed   bool // more has been taken than is kept

	source io.Reader // of the caller's connection; nil once whole
	start  sync.Once
	pieces chan bodyPiece
	stop   chan struct{}
	exited chan struct{}
	ended  atomic.Bool // the caller's connection has given all of it
}

// bodyPiece is what one read of the caller's connection gave. Its data is valid until the next one is taken.
type bodyPiece struct {
	data []byte
	err  error
}

func wholeBody(data []byte) *body {
	b := &body{declared: int64(len(data)), kept: data, whole: true}
	b.ended.Store(true)
	return b
}

// newBody returns the body of a request; one that is declared to be short is read at once.
func newBody(r *http.Request) (*body, error) {
	if r.ContentLength >= 0 && r.ContentLength <= upload.InitialGrant {
		data, err := readHeld(r.Body)
		return wholeBody(data), err
	}
	return &body{
		declared: r.ContentLength,
		source:   r.Body,
		pieces:   make(chan bodyPiece),
		stop:     make(chan struct{}),
		exited:   make(chan struct{}),
	}, nil
}

// readHeld reads a body that is to be held whole.
func readHeld(r io.Reader) ([]byte, error) {
	var buf bytes.Buffer
	_, err := io.Copy(&buf, http.MaxBytesReader(nil, io.NopCloser(r), maxHeldBody))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, errBodyTooLarge
	}
	return buf.Bytes(), err
}

// repeatable reports whether the body can be sent again from its beginning.
func (b *body) repeatable() bool { return !b.passed }

// long reports whether the caller declared more than is kept.
func (b *body) long() bool { return b.declared > upload.InitialGrant }

// pump reads the caller's connection, one piece ahead of what is taken, until the end of the body or close.
func (b *body) pump() {
	defer close(b.exited)
	var bufs [2][]byte
	for i := 0; ; i = 1 - i {
		if bufs[i] == nil {
			bufs[i] = make([]byte, upload.PieceSize)
		}
		n, err := b.source.Read(bufs[i])
		if err == io.EOF {
			b.ended.Store(true)
		}
		if n > 0 && !b.offer(bodyPiece{data: bufs[i][:n]}) {
			return
		}
		if err != nil {
			b.offer(bodyPiece{err: err})
			return
		}
	}
}

func (b *body) offer(p bodyPiece) bool {
	select {
	case b.pieces <- p:
		return true
	case <-b.stop:
		return false
	}
}

// take returns the next piece of the caller's connection, or io.EOF behind the last one.
func (b *body) take(ctx context.Context) ([]byte, error) {
	b.start.Do(func() { go b.pump() })
	select {
	case p := <-b.pieces:
		return p.data, p.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// next takes a piece and notes it: what fits is kept for another attempt.
func (b *body) next(ctx context.Context) ([]byte, error) {
	data, err := b.take(ctx)
	if err == io.EOF && !b.passed {
		b.whole = true
	}
	if b.passed {
		return data, err
	}
	if len(b.kept)+len(data) > upload.InitialGrant {
		b.passed, b.kept = true, nil
		return data, err
	}
	b.kept = append(b.kept, data...)
	return data, err
}

// hold reads the rest of the body, so that it can be sent whole.
func (b *body) hold(ctx context.Context) error {
	for !b.whole {
		data, err := b.take(ctx)
		switch {
		case err == io.EOF:
			b.whole = true
		case err != nil:
			return err
		case len(b.kept)+len(data) > maxHeldBody:
			return errBodyTooLarge
		}
		b.kept = append(b.kept, data...)
	}
	return nil
}

// drain reads on behind an answer that came before the end of the body, and drops what it reads: a connection that is
// closed while its caller still sends is reset, and the caller may lose the answer. It is for HTTP/1.1, and for answers
// whose length the caller knows: any other would end for the caller only behind the drain. caller ends with the
// connection.
func (b *body) drain(caller context.Context, w http.ResponseWriter) {
	if b.source == nil || b.ended.Load() || w.Header().Get("Content-Length") == "" {
		return
	}
	if http.NewResponseController(w).Flush() != nil {
		return
	}
	caller, cancel := context.WithTimeout(caller, bodyDrainTimeout)
	defer cancel()
	for {
		ctx, stop := context.WithTimeout(caller, bodyIdleTimeout)
		_, err := b.take(ctx)
		stop()
		if err != nil {
			return
		}
	}
}

// close ends the reading, also one that waits for the caller. The HTTP server then reads a short rest itself, for no
// longer than bodyIdleTimeout.
func (b *body) close(w http.ResponseWriter) {
	if b.source == nil {
		return
	}
	started := true
	b.start.Do(func() { started = false })
	if !started {
		return
	}
	close(b.stop)
	control := http.NewResponseController(w)
	if !b.ended.Load() {
		if control.SetReadDeadline(time.Unix(1, 0)) != nil {
			return // the server can't be made to end a read
		}
		defer control.SetReadDeadline(time.Now().Add(bodyIdleTimeout))
	}
	<-b.exited
}
