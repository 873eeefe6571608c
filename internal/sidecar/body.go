package sidecar

import (
	"errors"
	"io"
	"sync"

	egretv1 "github.com/egrethoist/egrethoist/gen/egret/v1"
	"github.com/egrethoist/egrethoist/internal/upload"
)

// errBodyCut says that a request body ended before its end mark. Whoever reads it must not take it as complete.
var errBodyTruncated = errors.New("request body was cut short")

var errBodyClosed = errors.New("request body is no longer wanted")

// bodyStream is a request body on its way from the entry to the target. It holds at most upload.WindowSize bytes;
// the entry learns by grants when there is room. Its end is io.EOF only after the end mark.
type bodyStream struct {
	declared  *uint64 // length that the caller gave; nil if none
	sendGrant func(offset uint64)
	digest    *requestDigest

	mu     sync.Mutex
	cond   sync.Cond
	window upload.Window
	pieces [][]byte // received and not yet read
	endErr error    // nil while more may come
	closed bool
}

func newBodyStream(open *egretv1.Open, grant func(offset uint64)) *bodyStream {
	b := &bodyStream{declared: open.BodyLength, sendGrant: grant, digest: newRequestDigest(open)}
	b.cond.L = &b.mu
	return b
}

// receive takes the body's messages until its end. next returns the messages of the attempt after its opening.
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

// take stores a piece; false if nothing more may come.
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

// open lets the entry send more than the prefix. It is called once the attempt is admitted.
func (b *bodyStream) openWindow() {
	b.mu.Lock()
	b.window.Open()
	b.mu.Unlock()
	b.sendGrantIfDue()
}

// tellRoom sends a grant if one is due. It holds no lock while it sends, so that pieces are still taken in.
func (b *bodyStream) sendGrantIfDue() {
	b.mu.Lock()
	offset, ok := b.window.Grant()
	ok = ok && b.endErr == nil && !b.closed
	b.mu.Unlock()
	if ok {
		b.sendGrant(offset)
	}
}

// Read implements io.Reader for the target's connection.
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

// Close ends the reading, also one that waits, and drops what is held.
func (b *bodyStream) Close() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	b.pieces = nil
	b.cond.Broadcast()
	return nil
}

// length is the declared length, or -1.
func (b *bodyStream) contentLength() int64 {
	if b.declared == nil {
		return -1
	}
	return int64(*b.declared)
}

// passedPrefix reports whether more has come than an entry sends without a grant.
func (b *bodyStream) exceedsPrefix() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.window.Received() > upload.KeptPrefix
}

// fingerprint identifies the request; false while the body is not whole. A body of the declared length is whole
// before its end mark has come, which a target may be quicker to answer than.
func (b *bodyStream) fingerprint() ([32]byte, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	complete := b.endErr == io.EOF || b.endErr == nil && b.declared != nil && b.hasDeclaredLength()
	if !complete {
		return [32]byte{}, false
	}
	return b.digest.sum(), true
}
