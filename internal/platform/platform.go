// Package platform holds the narrow interfaces through which the system meets the platform: the key-value
// service, the lagging instance list and the weight store. Adapters and stand-ins implement them.
package platform

import (
	"context"
	"errors"
	"time"
)

// MaxValueBytes is the largest value that the key-value service holds.
const MaxValueBytes = 1 << 20

// Errors of the key-value service. Test with errors.Is.
var (
	// ErrConflict says that the key was at another version; nothing was written.
	ErrConflict = errors.New("version conflict")
	// ErrUnavailable says that the service did not take the call; nothing was written.
	ErrUnavailable = errors.New("key-value service unavailable")
	// ErrOutcomeUnknown says that a write may or may not have taken effect.
	ErrOutcomeUnknown = errors.New("write outcome unknown")
	// ErrLeaseLost says that a lease has lapsed.
	ErrLeaseLost = errors.New("lease lapsed")
	// ErrTooLarge says that a value exceeds MaxValueBytes.
	ErrTooLarge = errors.New("value too large")
)

// Item is a value with the version of its last change. A version of zero means that the key is absent.
type Item struct {
	Value   []byte
	Version uint64
}

// LeaseID names a lease. Zero is no lease.
type LeaseID uint64

// KV is the platform's key-value service.
type KV interface {
	// Get returns the item under key; an absent key is an Item of version zero, not an error.
	Get(ctx context.Context, key string) (Item, error)
	// CompareAndSwap writes value if the key is at version expect (zero: absent) and returns the new version.
	// The key is deleted when the lease lapses.
	CompareAndSwap(ctx context.Context, key string, expect uint64, value []byte, lease LeaseID) (uint64, error)
	// Delete removes the key if it is at version expect.
	Delete(ctx context.Context, key string, expect uint64) error
	// Wait returns the item once its version differs from after, or the current item when wait has passed.
	Wait(ctx context.Context, key string, after uint64, wait time.Duration) (Item, error)
	// Grant makes a lease that lapses unless kept alive within ttl.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease; ErrLeaseLost if it has lapsed.
	KeepAlive(ctx context.Context, lease LeaseID) error
}

// Instance is one entry of the platform's list.
type Instance struct {
	Name          string
	FailureDomain string
	Address       string // IP:port
	Role          string
	Leaving       bool
}

// InstanceList is the platform's lagging list of live and leaving instances.
type InstanceList interface {
	// List returns the instances and a sequence number that grows with every change.
	List(ctx context.Context) ([]Instance, uint64, error)
}

// Weights describes one set of weights in the weight store.
type Weights struct {
	Version string
	Bytes   int64
	Digest  [32]byte
}

// WeightStore is the rate-limited store of weights. Engines load from it; the system only describes.
type WeightStore interface {
	// Describe returns the weights of a version and whether they exist.
	Describe(ctx context.Context, version string) (Weights, bool, error)
}
