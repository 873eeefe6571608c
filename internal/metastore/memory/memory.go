// Package memory is an in-memory implementation of the platform's metadata store for tests, with fault injection. Leases expire
// by timers, so by fake time in a synctest bubble.
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
	mu          sync.Mutex
	revision    uint64
	items       map[string]metastore.Item
	history     []metastore.Event
	compactedTo uint64 // history up to this revision is compacted
	leases      map[metastore.LeaseID]*lease
	nextID      metastore.LeaseID
	changed     chan struct{} // closed and replaced at each event, to wake the watches

	outside     []outsideWrite
	postponeKey string                  // the next commit that writes this key is postponed; empty: none
	postponed   []metastore.Txn         // oldest first
	fault       func(call string) error // nil: none
	calls       map[string]int
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

// SetFault makes each call fail with the error that f returns for its name; a nil f ends the faults. A commit that fails with
// ErrOutcomeUnknown still takes effect.
func (s *Store) SetFault(f func(call string) error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Calls returns how many calls of a kind (get, range, watch, commit, grant, keep, revoke) were made, including those that failed.
func (s *Store) Calls(call string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[call]
}

// Compact discards the history of changes up to the current revision.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactedTo, s.history = s.revision, nil
}

// Backup is a copy of the content of a store.
type Backup struct {
	revision uint64
	items    map[string]metastore.Item
	leases   map[metastore.LeaseID]time.Duration // times to live
	outside  int                                 // number of outside writes until then
}

// Backup returns a copy of the content.
func (s *Store) Backup() *Backup {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := &Backup{revision: s.revision, items: maps.Clone(s.items), leases: map[metastore.LeaseID]time.Duration{}, outside: len(s.outside)}
	for id, l := range s.leases {
		b.leases[id] = l.ttl
	}
	return b
}

// Restore brings the store back from a backup and begins the next era. The leases of the backup run anew, and revisions since the backup are
// given out again.
func (s *Store) Restore(b *Backup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restore(b)
}

// Drill is Restore after which operators and targets write again what they wrote since the backup.
func (s *Store) Drill(b *Backup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restore(b)
	for _, w := range s.outside[b.outside:] {
		s.write(w)
	}
}

// restore is Restore for callers that hold mu.
func (s *Store) restore(b *Backup) {
	era := metastore.EraOf(s.revision) + 1
	inEra := func(old uint64) uint64 { return metastore.InEra(era, metastore.NumberOf(old)) }
	for _, l := range s.leases {
		l.timer.Stop()
	}
	s.revision, s.compactedTo, s.history = inEra(b.revision), inEra(b.revision), nil
	s.items, s.leases = map[string]metastore.Item{}, map[metastore.LeaseID]*lease{}
	for key, item := range b.items {
		item.Revision, item.Created, item.Lease = inEra(item.Revision), inEra(item.Created), metastore.LeaseID(inEra(uint64(item.Lease)))
		s.items[key] = item
	}
	for old, ttl := range b.leases {
		id := metastore.LeaseID(inEra(uint64(old)))
		s.leases[id] = &lease{ttl: ttl, timer: time.AfterFunc(ttl, func() { s.Expire(id) })}
	}
	close(s.changed) // ends the watches of the older era
	s.changed = make(chan struct{})
}

// Era returns how many times the store was restored.
func (s *Store) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return metastore.EraOf(s.revision)
}

// outsideWrite is a write or deletion without a transaction.
type outsideWrite struct {
	put     metastore.Put
	deleted bool
}

// write executes an outside write. The caller holds mu.
func (s *Store) write(w outsideWrite) {
	if w.deleted {
		s.remove(w.put.Key)
	} else {
		s.put(w.put)
	}
}

// Put writes a key without a transaction or lease, as an operator does, and returns the store's revision.
func (s *Store) Put(key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := outsideWrite{put: metastore.Put{Key: key, Value: value}}
	s.outside = append(s.outside, w)
	s.write(w)
	return s.revision
}

// Remove deletes a key without a transaction, as an operator does.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := outsideWrite{put: metastore.Put{Key: key}, deleted: true}
	s.outside = append(s.outside, w)
	s.write(w)
}

// Lookup returns the item of a key, false if it does not exist. It is not counted as a call and has no faults.
func (s *Store) Lookup(key string) (metastore.Item, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	item, ok := s.items[key]
	return item, ok
}

// Get implements metastore.Store.
func (s *Store) Get(_ context.Context, key string) (metastore.Item, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.startCall("get"); err != nil {
		return metastore.Item{}, false, err
	}
	item, ok := s.items[key]
	return item, ok, nil
}

func (s *Store) put(p metastore.Put) {
	s.revision++
	item := metastore.Item{Key: p.Key, Value: p.Value, Revision: s.revision, Created: s.revision, Lease: p.Lease}
	if old, ok := s.items[p.Key]; ok {
		item.Created = old.Created
	}
	s.items[p.Key] = item
	s.appendEvent(metastore.Event{Item: item})
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.appendEvent(metastore.Event{Item: metastore.Item{Key: key, Revision: s.revision}, Deleted: true})
}

// appendEvent adds an event to the history and wakes the watches. The caller holds mu.
func (s *Store) appendEvent(e metastore.Event) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// startCall counts a call and returns its injected fault. The caller holds mu.
func (s *Store) startCall(call string) error {
	s.calls[call]++
	if s.fault == nil {
		return nil
	}
	return s.fault(call)
}

// Range implements metastore.Store.
func (s *Store) Range(_ context.Context, prefix string, omit ...string) ([]metastore.Item, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.startCall("range"); err != nil {
		return nil, 0, err
	}
	var out []metastore.Item
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		omitted := slices.ContainsFunc(omit, func(o string) bool { return strings.HasPrefix(key, o) })
		if strings.HasPrefix(key, prefix) && !omitted {
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
			if err := s.startCall("watch"); err != nil {
				s.mu.Unlock()
				return nil, 0, err
			}
		}
		if after < s.compactedTo {
			s.mu.Unlock()
			return nil, 0, metastore.ErrHistoryLost
		}
		var out []metastore.Event
		for _, e := range s.history {
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

// Postpone makes the next commit that writes a key fail with ErrOutcomeUnknown. ExecutePostponed executes it.
func (s *Store) Postpone(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.postponeKey = key
}

// ExecutePostponed executes the postponed commits whose conditions hold and whose leases run.
func (s *Store) ExecutePostponed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, txn := range s.postponed {
		_, _ = s.commit(txn) // nobody waits for the outcome
	}
	s.postponed = nil
}

// Commit implements metastore.Store.
func (s *Store) Commit(_ context.Context, txn metastore.Txn) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	err := s.startCall("commit")
	if err != nil && err != metastore.ErrOutcomeUnknown {
		return 0, err
	}
	if slices.ContainsFunc(txn.Puts, func(p metastore.Put) bool { return p.Key == s.postponeKey }) {
		s.postponeKey = ""
		s.postponed = append(s.postponed, txn)
		return 0, metastore.ErrOutcomeUnknown
	}
	revision, txnErr := s.commit(txn)
	if txnErr != nil {
		return 0, txnErr
	}
	return revision, err
}

// commit executes a transaction. The caller holds mu.
func (s *Store) commit(txn metastore.Txn) (uint64, error) {
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
	return s.revision, nil
}

// Grant implements metastore.Store.
func (s *Store) Grant(_ context.Context, ttl time.Duration) (metastore.LeaseID, time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.startCall("grant"); err != nil {
		return 0, 0, err
	}
	s.nextID++
	id := metastore.LeaseID(metastore.InEra(metastore.EraOf(s.revision), uint64(s.nextID)))
	s.leases[id] = &lease{ttl: ttl, timer: time.AfterFunc(ttl, func() { s.Expire(id) })}
	return id, ttl, nil
}

// KeepAlive implements metastore.Store.
func (s *Store) KeepAlive(_ context.Context, id metastore.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.startCall("keep"); err != nil {
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
	if err := s.startCall("revoke"); err != nil {
		s.mu.Unlock()
		return err
	}
	s.mu.Unlock()
	s.Expire(id)
	return nil
}

// ExpireAll ends all leases.
func (s *Store) ExpireAll() {
	s.mu.Lock()
	ids := slices.Collect(maps.Keys(s.leases))
	s.mu.Unlock()
	for _, id := range ids {
		s.Expire(id)
	}
}

// Expire ends a lease and deletes the keys attached to it.
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
