// Package upload implements flow control of request bodies between an entry and a sidecar. The sidecar grants the entry
// offsets up to which it may send, so that a slow target or caller never blocks the connection that all requests between the
// two share. The package has no I/O and no clock.
package upload

import "fmt"

// Sizes in bytes. Both ends must use the same InitialGrant. The entry sends that many bytes before the first grant, and
// retains them, so that an attempt that was refused before its body was read can be retried at another target.
const (
	InitialGrant = 64 << 10
	WindowSize   = 256 << 10 // maximum that the sidecar buffers for one request
	PieceSize    = 32 << 10  // maximum data per message
)

// OverrunError reports that the sender sent more than it was granted. The fields are offsets in bytes.
type OverrunError struct{ Received, Granted uint64 }

func (e *OverrunError) Error() string {
	return fmt.Sprintf("body at byte %d, granted up to %d", e.Received, e.Granted)
}

// Window is the receiver's flow control window for one body. The zero value has granted InitialGrant and grants no more until
// Open is called.
type Window struct {
	received   uint64 // bytes received
	consumed   uint64 // bytes passed on
	extraGrant uint64 // bytes granted beyond InitialGrant
	open       bool
}

// Open allows further grants. It is called when the attempt is admitted.
func (w *Window) Open() { w.open = true }

// Received returns the number of bytes received.
func (w *Window) Received() uint64 { return w.received }

// Receive adds n received bytes. It returns an *OverrunError if they exceed the grant.
func (w *Window) Receive(n int) error {
	w.received += uint64(n)
	if w.received > w.granted() {
		return &OverrunError{Received: w.received, Granted: w.granted()}
	}
	return nil
}

// Consume removes n bytes that have been passed on.
func (w *Window) Consume(n int) { w.consumed += uint64(n) }

// Grant returns the new offset up to which the sender may send. It returns false if the window is not open or the offset
// would increase by less than half a window; such small grants are combined.
func (w *Window) Grant() (offset uint64, ok bool) {
	next := w.consumed + WindowSize
	if !w.open || next < w.granted()+WindowSize/2 {
		return 0, false
	}
	w.extraGrant = next - InitialGrant
	return next, true
}

// granted returns the offset up to which the sender may send.
func (w *Window) granted() uint64 { return InitialGrant + w.extraGrant }
