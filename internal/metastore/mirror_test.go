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
	o.OnChange = func(items map[string]metastore.Item) {
		values := map[string]string{}
		for k, item := range items {
			values[k] = string(item.Value)
		}
		last.Store(&values)
	}
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

// The store turns this instance away and serves others: their copy is taken over, and never an older one.
func TestMirrorTakesCopyOfPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		store.Put("a", []byte("1"))
		var peer atomic.Pointer[metastore.Copy]
		peer.Store(&metastore.Copy{AsOf: 100, Items: []metastore.Item{{Key: "a", Value: []byte("2"), Revision: 99}}})
		_, get := follow(t, metastore.MirrorOptions{
			Store: store, FromPeer: func(context.Context) (metastore.Copy, error) { return *peer.Load(), nil },
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
