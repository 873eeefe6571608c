package metastore

import (
	"context"
	"errors"
	"slices"

	"github.com/gravitational/trace"
)

// maxCellTries bounds the writes of one Put. A write conflicts with each earlier one of unknown outcome that takes effect at that moment.
const maxCellTries = 4

// Cell writes a key that has one writer at a time. Each write is conditional on the revision that it replaces, so a write of unknown outcome
// never replaces a later one. It is not safe for concurrent use.
type Cell struct {
	Store Store
	Key   string

	known    bool
	revision uint64 // that the next write replaces, zero if the key does not exist; only if known
}

// Load reads the key, and the next Put replaces what it returns. It returns false if the key does not exist.
func (c *Cell) Load(ctx context.Context) (Item, bool, error) {
	item, found, err := c.Store.Get(ctx, c.Key)
	if err != nil {
		return Item{}, false, err
	}
	c.known, c.revision = true, 0
	if found {
		c.revision = item.Revision
	}
	return item, found, nil
}

// Put replaces the value, attached to a lease if that is not zero, and whatever an earlier write has left there. It returns ErrConflict if one
// of the further conditions does not hold.
func (c *Cell) Put(ctx context.Context, value []byte, lease LeaseID, further ...Condition) error {
	if !c.known {
		if _, _, err := c.Load(ctx); err != nil {
			return trace.Wrap(err)
		}
	}
	for range maxCellTries {
		replaced := c.revision
		revision, err := c.Store.Commit(ctx, Txn{
			If:   append(slices.Clone(further), Condition{Key: c.Key, Revision: replaced}),
			Puts: []Put{{Key: c.Key, Value: value, Lease: lease}},
		})
		if err == nil {
			c.revision = revision
			return nil
		}
		if !errors.Is(err, ErrConflict) {
			return trace.Wrap(err, "write key %q", c.Key)
		}
		if _, _, err := c.Load(ctx); err != nil {
			return trace.Wrap(err)
		}
		if c.revision == replaced {
			break
		}
	}
	return trace.Wrap(ErrConflict, "write key %q", c.Key)
}
