package sidecar

import (
	"errors"
	"io"
	"sync"

	egretv1 "github.com/egrethoist/egrethoist/gen/egret/v1"
	"github.com/egrethoist/egrethoist/internal/upload"
)

// errBodyTruncated is returned if a request body ended without its end marker or not with the declared length. Readers
// must not treat the body as complete.
var errBodyTruncated = errors.New("request body was cut short")

// errBodyClosed is returned by Read after Close.
var errBodyClosed = errors.New("request body is no longer wanted")

// bodyStream passes a request body from the entry gateway on to the target. It buffers at most upload.WindowSize bytes;
// grants tell the entry gateway how much it may send. Read returns io.EOF only after the end marker.
type bodyStream struct {
	declared  *uint64 // length in bytes that the caller declared; nil if none
	sendGrant func(offset uint64)
	digest    *requestDigest

	mu     sync.Mutex
	cond   sync.Cond
	window upload.Window
	pieces [][]byte // received and not read yet
	endErr error    // result of Read at the end; nil until the end is known
	closed bool
}

func newBodyStream(open *egretv1.Open, grant func(offset uint64)) *bodyStream {
	b := &bodyStream{declared: open.BodyLength, sendGrant: grant, digest: newRequestDigest(open)}
	b.cond.L = &b.mu
	return b
}

// receive reads messages of the body until its end. next returns the next message of the attempt after the opening one.
func (b *bodyStream) receive(next func() (*egretv1.ServeRequest, error)) {
	for {
		m, err := next()
		switch {
		case err != nil:
			b.finish(errBodyTruncated)
			return
		case m.GetBodyEnd() != nil:
			b.finish(io.EOF)
			return
		case !b.add(m.GetBody()):
			return
		}
	}
}

// add buffers received data. It returns false if no more data is accepted.
func (b *bodyStream) add(data []byte) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return false
	}
	if err := b.window.Receive(len(data)); err != nil || b.exceedsDeclaredLength() {
		b.finishLocked(errBodyTruncated)
		return false
	}
	b.digest.write(data)
	if len(data) > 0 {
		b.pieces = append(b.pieces, data)
	}
	b.cond.Broadcast()
	return true
}

func (b *bodyStream) exceedsDeclaredLength() bool {
	return b.declared != nil && b.window.Received() > *b.declared
}

// finish ends the body with endErr; io.EOF becomes errBodyTruncated if the length is not the declared one.
func (b *bodyStream) finish(endErr error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if endErr == io.EOF && !b.hasDeclaredLength() {
		endErr = errBodyTruncated
	}
	b.finishLocked(endErr)
}

func (b *bodyStream) hasDeclaredLength() bool {
	return b.declared == nil || b.window.Received() == *b.declared
}

func (b *bodyStream) finishLocked(endErr error) {
	b.endErr = endErr
	b.cond.Broadcast()
}

// openWindow allows the entry gateway to send more than upload.InitialGrant bytes. It is called once the attempt is
// admitted.
func (b *bodyStream) openWindow() {
	b.mu.Lock()
	b.window.Open()
	b.mu.Unlock()
	b.sendGrantIfDue()
}

// sendGrantIfDue sends a grant if the window has one. It does not hold the lock while it sends, so that data can be
// received meanwhile.
func (b *bodyStream) sendGrantIfDue() {
	b.mu.Lock()
	offset, ok := b.window.Grant()
	ok = ok && b.endErr == nil && !b.closed
	b.mu.Unlock()
	if ok {
		b.sendGrant(offset)
	}
}

// Read implements io.Reader for the connection to the target. It blocks until data, the end or Close.
func (b *bodyStream) Read(p []byte) (int, error) {
	n, err := b.read(p)
	if n > 0 {
		b.sendGrantIfDue()
	}
	return n, err
}

func (b *bodyStream) read(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.pieces) == 0 && b.endErr == nil && !b.closed {
		b.cond.Wait()
	}
	switch {
	case b.closed:
		return 0, errBodyClosed
	case b.endErr == errBodyTruncated:
		return 0, errBodyTruncated
	case len(b.pieces) == 0:
		return 0, b.endErr
	}
	n := copy(p, b.pieces[0])
	if b.pieces[0] = b.pieces[0][n:]; len(b.pieces[0]) == 0 {
		b.pieces = b.pieces[1:]
	}
	b.window.Consume(n)
	return n, nil
}

// Close makes blocked and later calls of Read return errBodyClosed and drops buffered data.
func (b *bodyStream) Close() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	b.pieces = nil
	b.cond.Broadcast()
	return nil
}

// contentLength returns the declared length in bytes, or -1 if none was declared.
func (b *bodyStream) contentLength() int64 {
	if b.declared == nil {
		return -1
	}
	return int64(*b.declared)
}

// exceedsPrefix reports whether more than upload.InitialGrant bytes were received, the most that is sent without a grant.
func (b *bodyStream) exceedsPrefix() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.window.Received() > upload.InitialGrant
}

// fingerprint returns the digest of the request; false while the body is incomplete. A body that has reached its
// declared length is complete even before the end marker, since the target may respond before that arrives.
func (b *bodyStream) fingerprint() ([32]byte, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	complete := b.endErr == io.EOF || b.endErr == nil && b.declared != nil && b.hasDeclaredLength()
	if !complete {
		return [32]byte{}, false
	}
	return b.digest.sum(), true
}
