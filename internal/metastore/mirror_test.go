package metastore_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/egrethoist/egrethoist/internal/metastore"
	"github.com/egrethoist/egrethoist/internal/metastore/memory"
)

// batchTime is longer than the delay after which a mirror makes its next call.
const batchTime = 300 * time.Millisecond

// startMirror runs a mirror until the end of the test. The returned function waits for pending changes and returns the value of
// a key in the mirror, empty if it has none.
func startMirror(t *testing.T, o metastore.MirrorOptions) (*metastore.Mirror, func(key string) string) {
	t.Helper()
	var last atomic.Pointer[map[string]string]
	o.OnChange = func(items map[string]metastore.Item, _ uint64) {
		values := map[string]string{}
		for k, item := range items {
			values[k] = string(item.Value)
		}
		last.Store(&values)
	}
	o.Clock = func() time.Duration { return time.Duration(time.Now().UnixNano()) } // fake time of the synctest bubble
	m := metastore.NewMirror(o)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); _ = m.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return m, func(key string) string {
		time.Sleep(batchTime)
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
		_, get := startMirror(t, metastore.MirrorOptions{Store: store})
		if get("a") != "1" {
			t.Fatal("initial value not read")
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

// Guards against a missed change: it is made during an outage, and its revision is compacted before the mirror reconnects.
func TestMirrorResyncsAfterCompaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		_, get := startMirror(t, metastore.MirrorOptions{Store: store})
		get("")
		store.SetFault(func(string) error { return metastore.ErrUnavailable })
		time.Sleep(2 * time.Second)
		store.Put("a", []byte("1"))
		store.Compact()
		store.SetFault(nil)
		time.Sleep(time.Second)
		if get("a") != "1" {
			t.Error("change before the compaction missed")
		}
	})
}

// Callers use the time of recovery to tell leases that expired during an outage from deleted records.
func TestMirrorReportsRecovery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		m, get := startMirror(t, metastore.MirrorOptions{Store: store})
		get("")
		if !m.RecoveredAt().IsZero() {
			t.Error("recovery reported before any outage")
		}
		store.SetFault(func(string) error { return metastore.ErrUnavailable })
		time.Sleep(3 * time.Second)
		store.SetFault(nil)
		before := time.Now()
		time.Sleep(time.Second)
		if recovered := m.RecoveredAt(); recovered.Before(before) {
			t.Errorf("recovery reported at %v, but the store recovered at %v", recovered, before)
		}
	})
}

// Guards against an instance that treats its state as stale while a peer confirms it. The store rejects a third of the instances
// for seconds; a peer's copy must confirm the state even if it holds nothing new. Otherwise these instances use no kept-cache
// store in that time, and every prompt sent to them is prefilled again.
func TestPeerCopyConfirmsState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		store.Put("a", []byte("1"))
		const age = 400 * time.Millisecond
		var down atomic.Bool
		m, get := startMirror(t, metastore.MirrorOptions{
			Store: store, FetchPeerCopy: func(_ context.Context, after uint64) (metastore.Copy, error) {
				if down.Load() {
					return metastore.Copy{}, metastore.ErrUnavailable
				}
				return metastore.Copy{AsOf: after, Age: age}, nil
			},
		})
		if _, known := m.Age(); known {
			t.Error("age known before the first response")
		}
		get("a")
		store.SetFault(func(string) error { return metastore.ErrUnavailable })
		time.Sleep(5 * time.Second)
		if got, _ := m.Age(); got < age || got > 1500*time.Millisecond {
			t.Errorf("age %v while a peer confirms the state, want 400ms to 1.5s", got)
		}
		if get("a") != "1" {
			t.Error("value lost during the outage")
		}
		down.Store(true)
		time.Sleep(5 * time.Second)
		if got, _ := m.Age(); got < 4*time.Second {
			t.Errorf("age %v, though neither the store nor a peer responded for five seconds", got)
		}
	})
}

// An instance without any items must hand out an empty list, not none: without a list its copy counts as incomplete.
func TestCopyOfEmptyStateHasAList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, get := startMirror(t, metastore.MirrorOptions{Store: memory.New()})
		get("")
		if c, ok := m.Copy(0); !ok || c.AsOf == 0 || c.Items == nil {
			t.Errorf("copy %+v, %v; want an empty list of a revision", c, ok)
		}
	})
}

// A copy that says nothing of the state, or lists no items though it is newer, must neither confirm the state nor replace it: all targets
// and the configuration would be lost.
func TestIncompletePeerCopyIsNotUsed(t *testing.T) {
	for name, peer := range map[string]metastore.Copy{
		"no revision":           {},
		"no items":              {AsOf: 100},
		"negative age":          {AsOf: 1, Age: -time.Hour},
		"item without key":      {AsOf: 100, Items: []metastore.Item{{Value: []byte("2"), Revision: 99}}},
		"item without revision": {AsOf: 100, Items: []metastore.Item{{Key: "a", Value: []byte("2")}}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := memory.New()
				store.Put("a", []byte("1"))
				m, get := startMirror(t, metastore.MirrorOptions{
					Store: store, FetchPeerCopy: func(context.Context, uint64) (metastore.Copy, error) { return peer, nil },
				})
				get("a")
				store.SetFault(func(string) error { return metastore.ErrUnavailable })
				time.Sleep(5 * time.Second)
				if got := get("a"); got != "1" {
					t.Errorf("value %q, want the one before the outage", got)
				}
				if age, _ := m.Age(); age < 4*time.Second {
					t.Errorf("age %v, though nothing confirmed the state for five seconds", age)
				}
			})
		})
	}
}

// While the store rejects this instance but serves its peers, the mirror must install a peer's newer copy and ignore older ones.
func TestMirrorInstallsNewerPeerCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		store.Put("a", []byte("1"))
		var peer atomic.Pointer[metastore.Copy]
		peer.Store(&metastore.Copy{AsOf: 100, Items: []metastore.Item{{Key: "a", Value: []byte("2"), Revision: 99}}})
		_, get := startMirror(t, metastore.MirrorOptions{
			Store: store, FetchPeerCopy: func(context.Context, uint64) (metastore.Copy, error) { return *peer.Load(), nil },
		})
		get("a")
		store.SetFault(func(string) error { return metastore.ErrUnavailable })
		time.Sleep(2 * time.Second)
		if got := get("a"); got != "2" {
			t.Fatalf("value %q, want the value 2 of the peer", got)
		}
		peer.Store(&metastore.Copy{AsOf: 50, Items: []metastore.Item{{Key: "a", Value: []byte("0"), Revision: 49}}})
		time.Sleep(2 * time.Second)
		if got := get("a"); got != "2" {
			t.Errorf("value %q: reverted to an older copy", got)
		}
	})
}

// stalledStore delays the responses of watches, as if the process were suspended before it reads them.
type stalledStore struct {
	*memory.Store
	stall atomic.Int64 // delay in nanoseconds
}

func (s *stalledStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]metastore.Event, uint64, error) {
	events, asOf, err := s.Store.Watch(ctx, prefix, after, wait)
	time.Sleep(time.Duration(s.stall.Load()))
	return events, asOf, err
}

// Guards against a state that counts as fresh because a response, sent before the process was suspended, is read after it
// resumes. This is a suspected cause of the DRAIN incident of 2026-12-04.
func TestResponseReadAfterSuspensionConfirmsNothingLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &stalledStore{Store: memory.New()}
		m, get := startMirror(t, metastore.MirrorOptions{Store: store})
		get("")
		const stall = 4 * time.Second
		store.stall.Store(int64(stall))
		time.Sleep(stall + 1500*time.Millisecond) // one watch begins and ends, and its response is delayed by the stall
		youngest := stall
		for range 20 {
			age, _ := m.Age()
			youngest = min(youngest, age)
			time.Sleep(10 * time.Millisecond)
		}
		if youngest < stall-time.Second {
			t.Errorf("age %v after a response that was sent %v earlier", youngest, stall)
		}
	})
}

// Guards against a stale read that confirms the state: the store returns a revision older than the one fetched from a peer. The
// incident of 2026-12-04 belongs to this class: the older read was discarded but confirmed the state nevertheless.
func TestStaleReadDoesNotConfirmState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		var down atomic.Bool
		m, get := startMirror(t, metastore.MirrorOptions{Store: store, FetchPeerCopy: func(context.Context, uint64) (metastore.Copy, error) {
			if down.Load() {
				return metastore.Copy{}, metastore.ErrUnavailable
			}
			return metastore.Copy{AsOf: 100, Items: []metastore.Item{}}, nil
		}})
		get("")
		store.SetFault(func(string) error { return metastore.ErrUnavailable })
		time.Sleep(3 * time.Second)
		store.SetFault(func(call string) error { // range reads succeed again, at a revision below the peer's
			if call == "range" {
				return nil
			}
			return metastore.ErrUnavailable
		})
		down.Store(true)
		time.Sleep(4 * time.Second)
		if got, _ := m.Age(); got < 3*time.Second {
			t.Errorf("age %v, though all reads since then were older than the state", got)
		}
	})
}

// Guards against a process that resumes from suspension and acts on stale state, and against waiting for an unreachable store.
func TestWaitFreshAfterSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const maxAge, maxWait, stall = 1500 * time.Millisecond, 300 * time.Millisecond, 4 * time.Second
		store := &stalledStore{Store: memory.New()}
		m, get := startMirror(t, metastore.MirrorOptions{Store: store})
		waitFresh := func() time.Duration {
			started := time.Now()
			m.WaitFresh(t.Context(), maxAge, maxWait)
			return time.Since(started)
		}
		get("")
		for range 200 { // without faults, across several watches
			if took := waitFresh(); took != 0 {
				t.Fatalf("waited %v though the store responds", took)
			}
			time.Sleep(20 * time.Millisecond)
		}
		store.stall.Store(int64(stall))
		time.Sleep(stall) // a watch is in flight with a delayed response
		store.stall.Store(0)
		for range 100 {
			if age, _ := m.Age(); age < maxAge {
				break
			}
			m.WaitFresh(t.Context(), maxAge, maxWait)
		}
		if age, _ := m.Age(); age >= maxAge {
			t.Errorf("age %v after the wait, want less than 1.5s", age)
		}
		store.SetFault(func(string) error { return metastore.ErrUnavailable })
		time.Sleep(4 * time.Second)
		if took := waitFresh(); took != 0 {
			t.Errorf("waited %v for an unreachable store", took)
		}
	})
}

// Records that instances read only when they need them are written many times a second: they must neither fill the copy nor cost a call
// each, and must not hide other changes.
func TestMirrorLeavesOutSkippedKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		m, get := startMirror(t, metastore.MirrorOptions{Store: store, SkipPrefix: "skipped/"})
		get("")
		before := store.Calls("watch")
		const length = 10 * time.Second
		for n := range int(length / (20 * time.Millisecond)) {
			store.Put(fmt.Sprintf("skipped/%d", n), []byte("1"))
			time.Sleep(20 * time.Millisecond)
		}
		if calls := store.Calls("watch") - before; calls > 2*int(length/time.Second)+1 {
			t.Errorf("%d watch calls in %v, want at most two a second", calls, length)
		}
		store.Put("a", []byte("1"))
		for n := range 50 {
			store.Put(fmt.Sprintf("skipped/%d", n), []byte("2"))
			time.Sleep(20 * time.Millisecond)
		}
		if get("a") != "1" || get("skipped/1") != "" {
			t.Errorf("a is %q and a skipped key %q after a second, want only the former", get("a"), get("skipped/1"))
		}
		if c, ok := m.Copy(0); !ok || len(c.Items) != 1 {
			t.Errorf("copy for peers has %d items, want 1", len(c.Items))
		}
	})
}

// An instance whose upstream falls silent, and whose own first call then fails once, has old state although the store served everyone else. Guards
// against taking that for an outage of the store: records of targets that have left meanwhile would count as expired, and get requests beyond the bound.
func TestOneFailedCallIsNoOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		store.Put("a", []byte("1"))
		var silent, failed atomic.Bool
		m, get := startMirror(t, metastore.MirrorOptions{
			Store: store,
			Upstreams: func() []string {
				if silent.Load() && !failed.Load() {
					return []string{"silent"}
				}
				return nil
			},
			FetchChanges: func(context.Context, string, uint64, time.Duration) (metastore.Update, error) {
				time.Sleep(3 * time.Second) // longer than the shortest outage in which records can expire
				store.SetFault(func(string) error {
					if failed.Swap(true) {
						return nil
					}
					return metastore.ErrUnavailable
				})
				return metastore.Update{}, context.DeadlineExceeded
			},
		})
		get("a")
		silent.Store(true)
		time.Sleep(6 * time.Second)
		store.Put("a", []byte("2"))
		if got := get("a"); got != "2" || !failed.Load() {
			t.Fatalf("a is %q, one call failed: %v", got, failed.Load())
		}
		if at := m.RecoveredAt(); !at.IsZero() {
			t.Errorf("outage until %v recorded, want none", at)
		}
	})
}

// Guards against requests to targets that have left (DRAIN): an instance whose own link was full for seconds took the records that had been
// removed meanwhile for records that expired in an outage of the store, and used the targets for the time of the grace.
func TestOwnOutageIsNoOutageOfTheStore(t *testing.T) {
	const outage = 4 * time.Second
	for name, c := range map[string]struct {
		steady    []time.Duration // times for which the other instances have been in touch with the store, in the order in which they are asked
		recovered bool            // records may have expired
	}{
		"another instance was in touch":                      {[]time.Duration{time.Minute}, false},
		"another instance was in touch for a part of it":     {[]time.Duration{outage / 2}, true},
		"an instance has just started, another was in touch": {[]time.Duration{0, time.Minute}, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := memory.New()
				var cut atomic.Bool
				asked := 0
				m, get := startMirror(t, metastore.MirrorOptions{
					Store: store, FetchPeerCopy: func(context.Context, uint64) (metastore.Copy, error) {
						if cut.Load() {
							return metastore.Copy{}, metastore.ErrUnavailable
						}
						asked++
						return metastore.Copy{AsOf: 1, Age: 100 * time.Millisecond, Steady: c.steady[(asked-1)%len(c.steady)]}, nil
					},
				})
				store.Put("a", []byte("1"))
				get("")
				cut.Store(true)
				store.SetFault(func(string) error { return metastore.ErrUnavailable })
				time.Sleep(outage)
				// The link to the store is free before that to the other instances.
				store.SetFault(func(string) error { cut.Store(false); return nil })
				time.Sleep(time.Second) // longer than the delay of the next call
				get("")
				if recovered := !m.RecoveredAt().IsZero(); recovered != c.recovered {
					t.Errorf("records may have expired: %v, want %v", recovered, c.recovered)
				}
			})
		})
	}
}

// An instance tells for how long it has been in touch with the store without an outage in which records can expire.
func TestCopyTellsTimeInTouch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		store.Put("a", []byte("1"))
		m, _ := startMirror(t, metastore.MirrorOptions{Store: store})
		inTouch := func() time.Duration {
			c, ok := m.Copy(0)
			if !ok {
				t.Fatal("no copy")
			}
			return c.Steady + c.Age
		}
		time.Sleep(10 * time.Second)
		if got := inTouch(); got < 9*time.Second || got > 10*time.Second {
			t.Errorf("in touch for %v after 10 s", got)
		}
		store.SetFault(func(string) error { return metastore.ErrUnavailable })
		time.Sleep(4 * time.Second)
		store.SetFault(nil)
		time.Sleep(2 * time.Second)
		if got := inTouch(); got < time.Second || got > 2*time.Second {
			t.Errorf("in touch for %v, 2 s after an outage", got)
		}
	})
}

// Guards against the loss of live targets after an outage of the store: another instance reached the store first, and this one dropped the
// targets whose records are missing in its copy.
func TestRecordsMissingInPeerCopyMayHaveExpired(t *testing.T) {
	const outage = 4 * time.Second
	for steady, recovered := range map[time.Duration]bool{0: true, time.Minute: false} {
		synctest.Test(t, func(t *testing.T) {
			store := memory.New()
			store.Put("a", []byte("1"))
			var peerBack atomic.Bool
			m, get := startMirror(t, metastore.MirrorOptions{
				Store: store, FetchPeerCopy: func(_ context.Context, after uint64) (metastore.Copy, error) {
					if !peerBack.Load() {
						return metastore.Copy{}, metastore.ErrUnavailable
					}
					return metastore.Copy{AsOf: after + 1, Items: []metastore.Item{}, Steady: steady}, nil
				},
			})
			get("")
			store.SetFault(func(string) error { return metastore.ErrUnavailable })
			time.Sleep(outage)
			peerBack.Store(true)
			time.Sleep(time.Second)
			if get("a") != "" {
				t.Fatal("copy not used")
			}
			if got := !m.RecoveredAt().IsZero(); got != recovered {
				t.Errorf("the other instance was in touch for %v: records may have expired %v, want %v", steady, got, recovered)
			}
		})
	}
}
