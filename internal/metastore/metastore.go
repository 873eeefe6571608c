// Package metastore defines the interface to the platform's metadata store, a versioned key-value service with range
// reads, watches, transactions and leases, and the clients built on it: Mirror, Lock and Presence. The adapter in
// platform/ implements Store; package memory is an in-memory implementation for tests.
package metastore

import (
	"context"
	"errors"
	"time"
)

// Errors of the store. Test with errors.Is.
var (
	// ErrConflict means that a condition of a transaction did not hold; nothing was written.
	ErrConflict = errors.New("transaction condition failed")
	// ErrUnavailable means that the store did not execute the call; nothing was changed.
	ErrUnavailable = errors.New("metadata store unavailable")
	// ErrOutcomeUnknown means that a write may have taken effect, or may still take effect.
	ErrOutcomeUnknown = errors.New("write outcome unknown")
	// ErrHistoryLost means that the requested revisions are compacted; the caller must read the range again.
	ErrHistoryLost = errors.New("history compacted")
	// ErrLeaseLost means that a lease has expired or was revoked.
	ErrLeaseLost = errors.New("lease ended")
)

// LeaseID identifies a lease. Zero means no lease.
type LeaseID uint64

// Item is a key with its value, revisions and lease.
type Item struct {
	Key      string
	Value    []byte
	Revision uint64  // revision of the last change
	Created  uint64  // revision at which the key was created
	Lease    LeaseID // as the store names it; zero: none
}

// Event is a write or deletion of one key.
type Event struct {
	Item
	Deleted bool // only Key and Revision are set
}

// Condition requires that a key was last changed at Revision. Zero requires that the key does not exist.
type Condition struct {
	Key      string
	Revision uint64
}

// Put writes a key in a transaction and attaches it to Lease, if that is not zero.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Txn is a set of writes and deletions that are applied atomically if all conditions hold.
type Txn struct {
	If     []Condition
	Puts   []Put
	Delete []string
}

// Store is the platform's metadata store. All calls are safe for concurrent use.
type Store interface {
	// Get returns the item of a key as of the time of the call. It returns false if the key does not exist.
	Get(ctx context.Context, key string) (Item, bool, error)
	// Range returns all items under prefix, except those under one of the omitted prefixes, and the revision to pass to Watch to see
	// every later change.
	Range(ctx context.Context, prefix string, omit ...string) ([]Item, uint64, error)
	// Watch waits up to wait for changes after a revision and returns them with the revision to pass to the next call. It returns
	// no events if none occur in that time, and ErrHistoryLost if the revision is compacted.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Event, uint64, error)
	// Commit applies a transaction and returns its revision. It returns ErrConflict if a condition does not hold.
	Commit(ctx context.Context, txn Txn) (uint64, error)
	// Grant creates a lease and returns the time to live that the store granted.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, time.Duration, error)
	// KeepAlive renews a lease. It returns ErrLeaseLost if the lease has ended.
	KeepAlive(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and deletes the keys attached to it.
	Revoke(ctx context.Context, lease LeaseID) error
	// Era returns the newest era of any answer so far, as EraOf counts them.
	Era() uint64
}
