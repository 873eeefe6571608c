package metastore_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/egrethoist/egrethoist/internal/metastore"
	"github.com/egrethoist/egrethoist/internal/metastore/memory"
)

// collected is longer than changes are collected before the mirror asks for them.
const collected = 300 * time.Millisecond

// follow starts a mirror and returns a function that gives the value under a key as the mirror has it.
func follow(t *testing.T, o metastore.MirrorOptions) (*metastore.Mirror, func(key string) string) {
	t.Helper()
	var last atomic.Pointer[map[string]string]
	o.OnChange = func(items map[string]metastore.Item, _ uint64) {
		values := map[string]string{}
		for k, item := range items {
			values[k] = string(item.Value)
		}
		last.Store(&values)
	}
	o.Clock = func() time.Duration { return time.Duration(time.Now().UnixNano()) } // the bubble's
	m := metastore.NewMirror(o)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); _ = m.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return m, func(key string) string {
		time.Sleep(collected)
		synctest.Wait()
		values := last.Load()
		if values == nil {
			return ""
		}
		return (*values)[key]
	}
}

func TestMirrorFollowsChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		store.Put("a", []byte("1"))
		_, get := follow(t, metastore.MirrorOptions{Store: store})
		if get("a") != "1" {
			t.Fatal("not read at the start")
		}
		store.Put("a", []byte("2"))
		if get("a") != "2" {
			t.Error("change missed")
		}
		store.Remove("a")
		if get("a") != "" {
			t.Error("removal missed")
		}
	})
}

// A change made while the history is compacted must not be missed.
func TestMirrorReadsAnewAfterCompaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		_, get := follow(t, metastore.MirrorOptions{Store: store})
		get("")
		store.SetFault(func(string) error { return metastore.ErrUnavailable })
		time.Sleep(2 * time.Second)
		store.Put("a", []byte("1"))
		store.Compact()
		store.SetFault(nil)
		time.Sleep(time.Second)
		if get("a") != "1" {
			t.Error("a change before the compaction is lost")
		}
	})
}

// Leases that lapse during an outage are told apart from removals by the time at which the store came back.
func TestMirrorTellsReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		m, get := follow(t, metastore.MirrorOptions{Store: store})
		get("")
		if !m.Returned().IsZero() {
			t.Error("a return before any outage")
		}
		store.SetFault(func(string) error { return metastore.ErrUnavailable })
		time.Sleep(3 * time.Second)
		store.SetFault(nil)
		before := time.Now()
		time.Sleep(time.Second)
		if back := m.Returned(); back.Before(before) {
			t.Errorf("returned at %v, store was back at %v", back, before)
		}
	})
}

// Pattern: the store turns a third of the instances away for seconds. What their peers have just heard from the store is as
// good as an answer of its own, also if it is nothing new: otherwise these instances use no kept-cache store meanwhile, and
// every prompt that comes to them is read again.
func TestPeersConfirmTheState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		store.Put("a", []byte("1"))
		const age = 400 * time.Millisecond
		var down atomic.Bool
		m, get := follow(t, metastore.MirrorOptions{
			Store: store, FromPeer: func(_ context.Context, after uint64) (metastore.Copy, error) {
				if down.Load() {
					return metastore.Copy{}, metastore.ErrUnavailable
				}
				return metastore.Copy{AsOf: after, Age: age}, nil
			},
		})
		if _, known := m.Age(); known {
			t.Error("an age before the first answer")
		}
		get("a")
		store.SetFault(func(string) error { return metastore.ErrUnavailable })
		time.Sleep(5 * time.Second)
		if got, _ := m.Age(); got < age || got > 1500*time.Millisecond {
			t.Errorf("age %v while peers confirm the state", got)
		}
		if get("a") != "1" {
			t.Error("state lost")
		}
		down.Store(true)
		time.Sleep(5 * time.Second)
		if got, _ := m.Age(); got < 4*time.Second {
			t.Errorf("age %v, though nobody has heard of the store for five seconds", got)
		}
	})
}

// The store turns this instance away and serves others: their copy is taken over, and never an older one.
func TestMirrorTakesCopyOfPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		store.Put("a", []byte("1"))
		var peer atomic.Pointer[metastore.Copy]
		peer.Store(&metastore.Copy{AsOf: 100, Items: []metastore.Item{{Key: "a", Value: []byte("2"), Revision: 99}}})
		_, get := follow(t, metastore.MirrorOptions{
			Store: store, FromPeer: func(context.Context, uint64) (metastore.Copy, error) { return *peer.Load(), nil },
		})
		get("a")
		store.SetFault(func(string) error { return metastore.ErrUnavailable })
		time.Sleep(2 * time.Second)
		if got := get("a"); got != "2" {
			t.Fatalf("value %q, want the peer's", got)
		}
		peer.Store(&metastore.Copy{AsOf: 50, Items: []metastore.Item{{Key: "a", Value: []byte("0"), Revision: 49}}})
		time.Sleep(2 * time.Second)
		if got := get("a"); got != "2" {
			t.Errorf("value %q: gone back to an older copy", got)
		}
	})
}

// stalledStore holds back the answers of watches, as a process does that stands still before it reads them.
type stalledStore struct {
	*memory.Store
	stall atomic.Int64 // nanoseconds
}

func (s *stalledStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]metastore.Event, uint64, error) {
	events, asOf, err := s.Store.Watch(ctx, prefix, after, wait)
	time.Sleep(time.Duration(s.stall.Load()))
	return events, asOf, err
}

// Incident of 2026-12-04 (DRAIN), a suspected cause: an answer that the store gave before the process stood still confirmed
// the state as of after it.
func TestAnswerFromBeforeAStandStillDoesNotConfirmTheState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &stalledStore{Store: memory.New()}
		m, get := follow(t, metastore.MirrorOptions{Store: store})
		get("")
		const stall = 4 * time.Second
		store.stall.Store(int64(stall))
		time.Sleep(stall + 1500*time.Millisecond) // one watch begins and ends, with the stall in its answer
		youngest := stall
		for range 20 {
			age, _ := m.Age()
			youngest = min(youngest, age)
			time.Sleep(10 * time.Millisecond)
		}
		if youngest < stall-time.Second {
			t.Errorf("an age of %v by an answer that was made %v before", youngest, stall)
		}
	})
}

// The class of the incident of 2026-12-04: a reading older than the state that a peer had given was dropped, and confirmed
// that state all the same.
func TestOlderReadingDoesNotConfirmTheState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		var down atomic.Bool
		m, get := follow(t, metastore.MirrorOptions{Store: store, FromPeer: func(context.Context, uint64) (metastore.Copy, error) {
			if down.Load() {
				return metastore.Copy{}, metastore.ErrUnavailable
			}
			return metastore.Copy{AsOf: 100}, nil
		}})
		get("")
		store.SetFault(func(string) error { return metastore.ErrUnavailable })
		time.Sleep(3 * time.Second)
		store.SetFault(func(call string) error { // the store answers again, at a revision below the peer's
			if call == "range" {
				return nil
			}
			return metastore.ErrUnavailable
		})
		down.Store(true)
		time.Sleep(4 * time.Second)
		if got, _ := m.Age(); got < 3*time.Second {
			t.Errorf("age %v, though all readings since were older than the state", got)
		}
	})
}

// A process that stood still must catch up with the store before it acts, and must not wait for a store that is out of reach.
func TestAwaitCatchesUpAfterAStandStill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit, most, stall = 1500 * time.Millisecond, 300 * time.Millisecond, 4 * time.Second
		store := &stalledStore{Store: memory.New()}
		m, get := follow(t, metastore.MirrorOptions{Store: store})
		await := func() time.Duration {
			began := time.Now()
			m.Await(t.Context(), limit, most)
			return time.Since(began)
		}
		get("")
		for range 200 { // calm, through several watches
			if took := await(); took != 0 {
				t.Fatalf("waited %v though the store answers", took)
			}
			time.Sleep(20 * time.Millisecond)
		}
		store.stall.Store(int64(stall))
		time.Sleep(stall) // a watch has begun, its answer is still to be read
		store.stall.Store(0)
		for range 100 {
			if age, _ := m.Age(); age < limit {
				break
			}
			m.Await(t.Context(), limit, most)
		}
		if age, _ := m.Age(); age >= limit {
			t.Errorf("age %v after the wait", age)
		}
		store.SetFault(func(string) error { return metastore.ErrUnavailable })
		time.Sleep(4 * time.Second)
		if took := await(); took != 0 {
			t.Errorf("waited %v for a store that is out of reach", took)
		}
	})
}
