package metastore_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/egrethoist/egrethoist/internal/metastore"
	"github.com/egrethoist/egrethoist/internal/metastore/memory"
)

const lockKey = "lock"

func startLock(t *testing.T, store *memory.Store, self string) *metastore.Lock {
	t.Helper()
	l := &metastore.Lock{
		Store: store, Key: lockKey, Self: self, TTL: 3 * time.Second,
		Free:  func() bool { _, taken := store.Get(lockKey); return !taken },
		Clock: func() time.Duration { return time.Duration(time.Now().UnixNano()) },
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); _ = l.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return l
}

func holds(l *metastore.Lock) (uint64, bool) {
	synctest.Wait()
	return l.Token()
}

func TestLockHasOneHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		a, b := startLock(t, store, "a"), startLock(t, store, "b")
		time.Sleep(10 * time.Second)
		_, heldA := holds(a)
		_, heldB := holds(b)
		if heldA == heldB {
			t.Errorf("held by a: %v, by b: %v, want one", heldA, heldB)
		}
	})
}

// Each tenure has a higher fencing token than those before.
func TestLockTokenGrows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		l := startLock(t, store, "a")
		time.Sleep(time.Second)
		first, ok := holds(l)
		if !ok {
			t.Fatal("not taken")
		}
		item, _ := store.Get(lockKey)
		store.Expire(item.Lease)
		time.Sleep(4 * time.Second)
		second, ok := holds(l)
		if !ok || second <= first {
			t.Errorf("token %d after %d, held %v", second, first, ok)
		}
	})
}

// A take-over whose answer is lost must not leave a lock that its holder does not know of.
func TestLockLostAnswerLeavesNoLock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		store.SetFault(func(call string) error {
			if call == "commit" {
				return metastore.ErrOutcomeUnknown
			}
			return nil
		})
		l := startLock(t, store, "a")
		time.Sleep(400 * time.Millisecond)
		if _, ok := holds(l); ok {
			t.Error("held without an answer")
		}
		store.SetFault(nil)
		time.Sleep(time.Second)
		if _, ok := holds(l); !ok {
			t.Error("not taken once answers come again")
		}
	})
}

// A holder that can't renew stops using the lock before its lease can have ended.
func TestLockEndsBeforeItsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		l := startLock(t, store, "a")
		time.Sleep(time.Second)
		store.SetFault(func(string) error { return metastore.ErrUnavailable })
		time.Sleep(2500 * time.Millisecond)
		if _, ok := holds(l); ok {
			t.Error("still held 2.5 s after the last renewal could have been made, the lease is 3 s")
		}
	})
}

func TestLockDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		l := startLock(t, store, "a")
		time.Sleep(time.Second)
		l.Drop()
		if _, ok := holds(l); ok {
			t.Error("still held after it was dropped")
		}
	})
}

func TestPresence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		p := &metastore.Presence{Store: store, Key: "me", Value: []byte("x")}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); _ = p.Run(ctx) }()
		time.Sleep(30 * time.Second)
		item, ok := store.Get("me")
		if !ok {
			t.Fatal("not registered")
		}
		store.Expire(item.Lease)
		time.Sleep(6 * time.Second)
		if _, ok := store.Get("me"); !ok {
			t.Error("not registered again after the lease was lost")
		}
		cancel()
		<-done
		if _, ok := store.Get("me"); ok {
			t.Error("still registered after the end")
		}
	})
}
