package metastore

import "sync"

const (
	// largeValueBytes is the size from which a value is sent as a difference to the value that the other instance has.
	largeValueBytes = 8 << 10
	// defaultReplacedBytes is enough for several values of the usual maximum size.
	defaultReplacedBytes = 4 << 20
)

func isLarge(i Item) bool { return len(i.Value) >= largeValueBytes }

// replacedValues holds the last large values that were replaced, oldest first. It is safe for concurrent use.
type replacedValues struct {
	maxBytes int
	mu       sync.Mutex
	items    []Item
	bytes    int
}

// add keeps a replaced item if its value is large, and drops the oldest ones that exceed the limit.
func (r *replacedValues) add(i Item) {
	if !isLarge(i) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.items = append(r.items, i)
	r.bytes += len(i.Value)
	for r.bytes > r.maxBytes {
		r.bytes -= len(r.items[0].Value)
		r.items[0] = Item{}
		r.items = r.items[1:]
	}
}

// find returns the value that a key had at a revision of it.
func (r *replacedValues) find(key string, revision uint64) ([]byte, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, i := range r.items {
		if i.Key == key && i.Revision == revision {
			return i.Value, true
		}
	}
	return nil, false
}

// Base returns the item with the largest value, to which another instance may send the difference. It returns false if no value is large.
func (m *Mirror) Base() (Item, bool) {
	c := m.published.Load()
	if c == nil || c.base.Key == "" {
		return Item{}, false
	}
	return c.base, true
}

// ValueAt returns the large value that a key had at a revision of it, if it is still known.
func (m *Mirror) ValueAt(key string, revision uint64) ([]byte, bool) {
	if base, ok := m.Base(); ok && base.Key == key && base.Revision == revision {
		return base.Value, true
	}
	return m.replaced.find(key, revision)
}
