package metastore_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/egrethoist/egrethoist/internal/metastore"
	"github.com/egrethoist/egrethoist/internal/metastore/memory"
	"github.com/egrethoist/egrethoist/internal/transfer"
)

// narrowStore is a store behind a link that takes a time for each answer that holds the key "large".
type narrowStore struct {
	metastore.Store
	transfer            time.Duration
	watches, fullReads  *atomic.Int64
	received, abandoned *atomic.Int64 // large answers
}

func newNarrowStore(s metastore.Store, transfer time.Duration) narrowStore {
	return narrowStore{s, transfer, new(atomic.Int64), new(atomic.Int64), new(atomic.Int64), new(atomic.Int64)}
}

// receive waits until a large answer has come.
func (s narrowStore) receive(ctx context.Context) error {
	const size, steps = 1 << 20, 10
	for i := range steps {
		if t := transfer.TrackerOf(ctx); t != nil {
			t.Update(int64(i)*size/steps, size)
		}
		select {
		case <-time.After(s.transfer / steps):
		case <-ctx.Done():
			s.abandoned.Add(1)
			return ctx.Err()
		}
	}
	s.received.Add(1)
	return nil
}

func (s narrowStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]metastore.Event, uint64, error) {
	s.watches.Add(1)
	events, asOf, err := s.Store.Watch(ctx, prefix, after, wait)
	for _, e := range events {
		if e.Key == "large" && err == nil {
			return events, asOf, s.receive(ctx)
		}
	}
	return events, asOf, err
}

func (s narrowStore) Range(ctx context.Context, prefix string, omit ...string) ([]metastore.Item, uint64, error) {
	s.fullReads.Add(1)
	return s.Store.Range(ctx, prefix, omit...)
}

// transferTime is longer than an upstream's state may be old, and than the platform's bound on leaving targets.
const transferTime = 2500 * time.Millisecond

// Guards against leaving targets, evacuations and records of instances that wait behind a large configuration: both at the instance that
// reads it from the store and at those that follow this one. Deleted keys must not come back with the large answer.
func TestUrgentChangesPassLargeAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		store.Put("servers/gone", []byte("ready"))
		narrow := newNarrowStore(store, transferTime)
		upstream, get := startMirror(t, metastore.MirrorOptions{Store: narrow, UrgentPrefixes: []string{"servers/", "egret/"}})
		own := newNarrowStore(store, transferTime)
		_, memberGet := startMirror(t, metastore.MirrorOptions{
			Store: own, Upstreams: func() []string { return []string{"upstream"} },
			FetchChanges: func(ctx context.Context, _ string, after uint64, within time.Duration) (metastore.Update, error) {
				if u, ok := upstream.ServeChanges(ctx, after, within); ok {
					return u, nil
				}
				return metastore.Update{}, errRefused
			},
		})
		get("")
		time.Sleep(2 * time.Second)
		watches := own.watches.Load()
		store.Put("servers/gone", []byte("draining"))
		store.Put("large", []byte("new"))
		time.Sleep(300 * time.Millisecond)
		store.Put("servers/t", []byte("draining"))
		store.Remove("servers/gone")
		time.Sleep(300 * time.Millisecond)
		if value, gone := get("servers/t"), get("servers/gone"); value != "draining" || gone != "" {
			t.Errorf("after a target's notice and the removal of another: %q and %q", value, gone)
		}
		if value, gone := memberGet("servers/t"), memberGet("servers/gone"); value != "draining" || gone != "" {
			t.Errorf("the same at a member: %q and %q", value, gone)
		}
		if narrow.received.Load() > 0 {
			t.Fatal("the large answer has come too early for this test")
		}
		for range 40 {
			time.Sleep(50 * time.Millisecond)
			if get("servers/gone") != "" {
				t.Fatal("the removed target came back with the large answer")
			}
		}
		if get("large") != "new" || memberGet("large") != "new" {
			t.Errorf("the large value is %q, %q at the member", get("large"), memberGet("large"))
		}
		if got := own.watches.Load(); got != watches {
			t.Errorf("the member watched the store %d times while its upstream received a large answer", got-watches)
		}
	})
}

// Guards against full links after an outage: one failed call must not lead to a reading of all keys, which all instances would begin at the
// same moment, while the changes since are few.
func TestFailedCallsReadNoUnchangedKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		store.Put("a", []byte("1"))
		narrow := newNarrowStore(store, transferTime)
		_, get := startMirror(t, metastore.MirrorOptions{Store: narrow})
		get("a")
		before := narrow.fullReads.Load()
		for i, outage := range []time.Duration{500 * time.Millisecond, 5 * time.Second} {
			store.SetFault(func(string) error { return metastore.ErrUnavailable })
			time.Sleep(outage)
			store.SetFault(nil)
			value := []string{"2", "3"}[i]
			store.Put("a", []byte(value))
			time.Sleep(500 * time.Millisecond)
			if got := get("a"); got != value {
				t.Errorf("a is %q after an outage of %v, want %q", got, outage, value)
			}
		}
		if got := narrow.fullReads.Load(); got != before {
			t.Errorf("%d readings of all keys after outages, want none", got-before)
		}
	})
}

// Guards against a large answer that is awaited from the store over a narrow link, although another instance has its content and sends
// only the difference.
func TestCopySupersedesLargeAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		store.Put("large", []byte("old"))
		peer, peerGet := startMirror(t, metastore.MirrorOptions{Store: store})
		narrow := newNarrowStore(store, transferTime)
		_, get := startMirror(t, metastore.MirrorOptions{
			Store: narrow,
			FetchPeerCopy: func(_ context.Context, after uint64) (metastore.Copy, error) {
				if c, ok := peer.Copy(after); ok {
					return c, nil
				}
				return metastore.Copy{}, errRefused
			},
		})
		peerGet("")
		get("")
		store.Put("large", []byte("new"))
		time.Sleep(time.Second - batchTime)
		if got := get("large"); got != "new" {
			t.Errorf("a second after its change the value is %q, although a peer has the new one", got)
		}
		if narrow.abandoned.Load() != 1 {
			t.Errorf("%d large answers given up, want 1", narrow.abandoned.Load())
		}
		store.Put("small", []byte("x"))
		if got := get("small"); got != "x" {
			t.Errorf("the next change is not known: %q", got)
		}
	})
}

// reader returns options of a mirror that reads the store over a narrow link in turn, beside another reader of the store. The updates of that
// one look older by a time.
func reader(store metastore.Store, delay time.Duration, other *metastore.Mirror, older time.Duration) metastore.MirrorOptions {
	return metastore.MirrorOptions{
		Store:   store,
		Readers: func() (time.Duration, []string) { return delay, []string{"other"} },
		FetchRead: func(ctx context.Context, _ string, after uint64, within time.Duration) (metastore.Update, error) {
			u, ok := other.ServeRead(ctx, after, within)
			if !ok {
				return metastore.Update{}, errRefused
			}
			u.Age += older
			return u, nil
		},
	}
}

// Guards against a long transfer that is given up for the state of a reader which began before: the newer value that is on its way would come
// a whole transfer later. What the other one sent must not be undone by the answer, which may be older in its turn.
func TestOlderReadingEndsNoTransfer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		store.Put("large", []byte("old"))
		other, _ := startMirror(t, metastore.MirrorOptions{Store: store})
		narrow := newNarrowStore(store, transferTime)
		_, get := startMirror(t, reader(narrow, 0, other, 10*time.Second))
		time.Sleep(2 * time.Second)
		if _, err := store.Commit(t.Context(), metastore.Txn{Puts: []metastore.Put{{Key: "large", Value: []byte("new")}, {Key: "removed", Value: []byte("x")}}}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(batchTime)
		store.Remove("removed")
		time.Sleep(batchTime)
		if large, removed := get("large"), get("removed"); large != "new" || removed != "" {
			t.Errorf("%q and %q while the answer is on its way, want what the other reader sent", large, removed)
		}
		time.Sleep(transferTime - 3*batchTime)
		if narrow.received.Load() != 1 || narrow.abandoned.Load() != 0 {
			t.Errorf("%d large answers received and %d given up, want 1 and 0", narrow.received.Load(), narrow.abandoned.Load())
		}
		if removed := get("removed"); removed != "" {
			t.Errorf("the removed key came back with the answer: %q", removed)
		}
	})
}

// Guards against links that stay full with what another reader has confirmed as the newest state.
func TestConfirmedReadingEndsTransfer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		store.Put("large", []byte("old"))
		other, _ := startMirror(t, metastore.MirrorOptions{Store: store})
		narrow := newNarrowStore(store, transferTime)
		_, get := startMirror(t, reader(narrow, 0, other, 0))
		time.Sleep(2 * time.Second)
		store.Put("large", []byte("new"))
		if got := get("large"); got != "new" {
			t.Errorf("the value is %q, although another reader has the new one", got)
		}
		time.Sleep(metastore.MaxHealthyAge)
		if narrow.abandoned.Load() != 1 {
			t.Errorf("%d large answers given up, want 1", narrow.abandoned.Load())
		}
	})
}

// Guards against readers that begin the same long transfer at the same moment, so that the next version waits for two transfers.
func TestReadersBeginInTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		store.Put("large", []byte("old"))
		other, _ := startMirror(t, metastore.MirrorOptions{Store: newNarrowStore(store, transferTime)})
		narrow := newNarrowStore(store, transferTime)
		const delay = time.Second
		_, get := startMirror(t, reader(narrow, delay, other, 0))
		time.Sleep(2 * time.Second)
		reads := narrow.fullReads.Load()
		store.Put("large", []byte("new"))
		time.Sleep(delay - batchTime)
		if narrow.abandoned.Load() != 1 || narrow.fullReads.Load() != reads {
			t.Errorf("%d large answers given up and %d readings of all keys before the turn, want 1 and 0", narrow.abandoned.Load(), narrow.fullReads.Load()-reads)
		}
		store.Put("large", []byte("newer"))
		time.Sleep(batchTime)
		if got := get("large"); got != "newer" || narrow.fullReads.Load() != reads+1 {
			t.Errorf("%q after %d readings of all keys in the turn, want the newer value after 1", got, narrow.fullReads.Load()-reads)
		}
	})
}
