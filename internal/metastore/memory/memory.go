// Package memory is a stand-in for the platform's metadata store, with the faults that the platform knows. Leases run on
// the time of the testing bubble.
package memory

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/egrethoist/egrethoist/internal/metastore"
)

// Store is an in-memory metastore.Store.
type Store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]metastore.Item
	log      []metastore.Event
	dropped  uint64 // revisions up to here are compacted
	leases   map[metastore.LeaseID]*lease
	nextID   metastore.LeaseID
	changed  chan struct{}

	fault func(call string) error // nil: none
	calls map[string]int
}

type lease struct {
	ttl   time.Duration
	timer *time.Timer
}

// New returns an empty store.
func New() *Store {
	return &Store{
		revision: 1, items: map[string]metastore.Item{}, leases: map[metastore.LeaseID]*lease{},
		changed: make(chan struct{}), calls: map[string]int{},
	}
}

// SetFault makes calls fail with what the function returns; nil ends it. A call that fails with ErrOutcomeUnknown takes
// effect.
func (s *Store) SetFault(f func(call string) error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Calls returns how often a call was made.
func (s *Store) Calls(call string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[call]
}

// Compact forgets the history.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropped, s.log = s.revision, nil
}

// Put writes a key as an operator does.
func (s *Store) Put(key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(metastore.Put{Key: key, Value: value})
	return s.revision
}

// Remove deletes a key as an operator does.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

// Get returns the item under a key.
func (s *Store) Get(key string) (metastore.Item, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	item, ok := s.items[key]
	return item, ok
}

func (s *Store) put(p metastore.Put) {
	s.revision++
	item := metastore.Item{Key: p.Key, Value: p.Value, Revision: s.revision, Created: s.revision, Lease: p.Lease}
	if old, ok := s.items[p.Key]; ok {
		item.Created = old.Created
	}
	s.items[p.Key] = item
	s.note(metastore.Event{Item: item})
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.note(metastore.Event{Item: metastore.Item{Key: key, Revision: s.revision}, Deleted: true})
}

func (s *Store) note(e metastore.Event) {
	s.log = append(s.log, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// begin counts a call and returns its fault. The caller holds the lock.
func (s *Store) begin(call string) error {
	s.calls[call]++
	if s.fault == nil {
		return nil
	}
	return s.fault(call)
}

// Range implements metastore.Store.
func (s *Store) Range(_ context.Context, prefix string) ([]metastore.Item, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.begin("range"); err != nil {
		return nil, 0, err
	}
	var out []metastore.Item
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if strings.HasPrefix(key, prefix) {
			out = append(out, s.items[key])
		}
	}
	return out, s.revision, nil
}

// Watch implements metastore.Store.
func (s *Store) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]metastore.Event, uint64, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for first := true; ; first = false {
		s.mu.Lock()
		if first {
			if err := s.begin("watch"); err != nil {
				s.mu.Unlock()
				return nil, 0, err
			}
		}
		if after < s.dropped {
			s.mu.Unlock()
			return nil, 0, metastore.ErrHistoryLost
		}
		var out []metastore.Event
		for _, e := range s.log {
			if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
				out = append(out, e)
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(out) > 0 {
			return out, asOf, nil
		}
		select {
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		case <-timer.C:
			return nil, asOf, nil
		case <-changed:
		}
	}
}

// Commit implements metastore.Store.
func (s *Store) Commit(_ context.Context, txn metastore.Txn) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	err := s.begin("commit")
	if err != nil && err != metastore.ErrOutcomeUnknown {
		return 0, err
	}
	for _, c := range txn.If {
		if s.items[c.Key].Revision != c.Revision {
			return 0, metastore.ErrConflict
		}
	}
	for _, p := range txn.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return 0, metastore.ErrLeaseLost
		}
	}
	for _, p := range txn.Puts {
		s.put(p)
	}
	for _, key := range txn.Delete {
		s.remove(key)
	}
	return s.revision, err
}

// Grant implements metastore.Store.
func (s *Store) Grant(_ context.Context, ttl time.Duration) (metastore.LeaseID, time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.begin("grant"); err != nil {
		return 0, 0, err
	}
	s.nextID++
	id := s.nextID
	s.leases[id] = &lease{ttl: ttl, timer: time.AfterFunc(ttl, func() { s.Expire(id) })}
	return id, ttl, nil
}

// KeepAlive implements metastore.Store.
func (s *Store) KeepAlive(_ context.Context, id metastore.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.begin("keep"); err != nil {
		return err
	}
	l := s.leases[id]
	if l == nil {
		return metastore.ErrLeaseLost
	}
	l.timer.Reset(l.ttl)
	return nil
}

// Revoke implements metastore.Store.
func (s *Store) Revoke(_ context.Context, id metastore.LeaseID) error {
	s.mu.Lock()
	if err := s.begin("revoke"); err != nil {
		s.mu.Unlock()
		return err
	}
	s.mu.Unlock()
	s.Expire(id)
	return nil
}

// Expire ends a lease.
func (s *Store) Expire(id metastore.LeaseID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return
	}
	l.timer.Stop()
	delete(s.leases, id)
	for key, item := range s.items {
		if item.Lease == id {
			s.remove(key)
		}
	}
}
