// Package metastore is the seam to the platform's metadata store: a versioned key-value service with ranges,
// watches, transactions and leases. The adapter in platform/ implements it; Memory stands in for it in tests.
package metastore

import (
	"context"
	"errors"
	"time"
)

// Errors of the store. Test with errors.Is.
var (
	// ErrConflict says that a condition of a transaction did not hold; nothing was written.
	ErrConflict = errors.New("transaction condition failed")
	// ErrUnavailable says that the store did not take the call; nothing was done.
	ErrUnavailable = errors.New("metadata store unavailable")
	// ErrOutcomeUnknown says that a write may have taken effect, or may still take effect.
	ErrOutcomeUnknown = errors.New("write outcome unknown")
	// ErrHistoryLost says that the revisions asked for are compacted; the caller must read the range anew.
	ErrHistoryLost = errors.New("history compacted")
	// ErrLeaseLost says that a lease has ended.
	ErrLeaseLost = errors.New("lease ended")
)

// LeaseID names a lease. Zero is no lease.
type LeaseID uint64

// Item is a key with its value.
type Item struct {
	Key      string
	Value    []byte
	Revision uint64 // of its last change
	Created  uint64 // revision at which the key came to be
	Lease    LeaseID
}

// Event is a change of one key.
type Event struct {
	Item
	Deleted bool // Key and Revision are set, the rest is empty
}

// Condition is what a transaction expects of a key. Revision zero: the key does not exist.
type Condition struct {
	Key      string
	Revision uint64
}

// Put sets a key in a transaction.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Txn is an atomic change.
type Txn struct {
	If     []Condition
	Puts   []Put
	Delete []string
}

// Store is the platform's metadata store. All calls are safe for concurrent use.
type Store interface {
	// Range returns all items under prefix and a revision from which Watch misses no change made since.
	Range(ctx context.Context, prefix string) ([]Item, uint64, error)
	// Watch waits up to wait for changes after a revision and returns them with the revision to go on from.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Event, uint64, error)
	// Commit applies a transaction and returns its revision.
	Commit(ctx context.Context, txn Txn) (uint64, error)
	// Grant makes a lease and returns the time to live that applies.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, time.Duration, error)
	// KeepAlive renews a lease; ErrLeaseLost if it has ended.
	KeepAlive(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and removes its keys.
	Revoke(ctx context.Context, lease LeaseID) error
}
