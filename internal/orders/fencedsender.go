package orders

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/egrethoist/egrethoist/internal/engine"
)

// Errors of FencedSender.Send. Test with errors.Is.
var (
	// ErrStaleFence is returned for an order if one with a larger fencing token was sent before.
	ErrStaleFence = errors.New("stale fencing token")
	// ErrNoSlot is returned for a load without a loading slot that is held long enough.
	ErrNoSlot = errors.New("no loading slot")
)

// LoadingSlot is a slot that bounds how many targets of a service load weights at a time.
type LoadingSlot interface {
	// Valid reports whether the slot is held long enough for a whole load that starts now.
	Valid(now time.Time) bool
}

// OrderSender carries an order out at the target; the engine implements it.
type OrderSender interface {
	Give(ctx context.Context, order engine.Order) error
}

// FencedSender is the only path of a sidecar's orders to its target. It enforces fencing tokens for targets that do not
// check them. It is safe for concurrent use.
type FencedSender struct {
	mu        sync.Mutex
	sender    OrderSender
	lastFence uint64 // largest fencing token that was sent
}

// NewFencedSender returns a FencedSender that has sent no order.
func NewFencedSender(sender OrderSender) *FencedSender { return &FencedSender{sender: sender} }

// Send sends an order to the target. A load needs a slot, which is checked last, under the lock, so that a slot that
// runs out while Send waits for an earlier order is not used; other orders need none. It returns ErrStaleFence,
// ErrNoSlot or the error of the target.
func (s *FencedSender) Send(ctx context.Context, order engine.Order, slot LoadingSlot) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if order.Fence < s.lastFence {
		return trace.Wrap(ErrStaleFence, "order %v with fence %d after %d", order.Action, order.Fence, s.lastFence)
	}
	if order.Action == engine.OrderLoadVersion && (slot == nil || !slot.Valid(time.Now())) {
		return trace.Wrap(ErrNoSlot, "load of %v", order.Version)
	}
	s.lastFence = order.Fence
	return trace.Wrap(s.sender.Give(ctx, order), "order %v", order.Action)
}
