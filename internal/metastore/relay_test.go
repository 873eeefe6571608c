package metastore_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/egrethoist/egrethoist/internal/delegate"
	"github.com/egrethoist/egrethoist/internal/metastore"
	"github.com/egrethoist/egrethoist/internal/metastore/memory"
)

// Each failure domain must have two watchers, all other instances must poll watchers of their own domain, and the load must be
// spread over all watchers.
func TestUpstreams(t *testing.T) {
	var members []delegate.Member
	for i := range 30 {
		members = append(members, delegate.Member{Name: fmt.Sprint("front-", i), Domain: fmt.Sprint("d", i%3), Address: fmt.Sprint("10.0.0.", i)})
	}
	watchers, firstChoice := map[string]int{}, map[string]int{}
	for _, m := range members {
		upstreams := metastore.Upstreams(m.Name, members)
		if len(upstreams) == 0 {
			watchers[m.Domain]++
			continue
		}
		firstChoice[upstreams[0]]++
		for _, address := range upstreams {
			i := slices.IndexFunc(members, func(o delegate.Member) bool { return o.Address == address })
			if members[i].Domain != m.Domain || len(metastore.Upstreams(members[i].Name, members)) > 0 {
				t.Errorf("%s of %s polls %s of %s; want a watcher of the same failure domain", m.Name, m.Domain, members[i].Name, members[i].Domain)
			}
		}
	}
	for _, d := range []string{"d0", "d1", "d2"} {
		if watchers[d] != 2 {
			t.Errorf("%d watchers in %s, want 2", watchers[d], d)
		}
	}
	if len(firstChoice) != 6 {
		t.Errorf("%d upstreams are the first choice of an instance, want all 6", len(firstChoice))
	}
	if got := metastore.Upstreams("unknown", members); got != nil {
		t.Errorf("an unregistered instance polls %v, want none", got)
	}
	if got := metastore.Upstreams("front-0", members[:4]); got != nil {
		t.Errorf("an instance of a small failure domain polls %v, want none", got)
	}
}

// relayed is a member mirror that polls an upstream mirror.
type relayed struct {
	upstream     *metastore.Mirror
	store        *memory.Store // watched by the upstream
	storeWatches atomic.Int64  // watches of the store by the member
	fault        atomic.Pointer[func(ctx context.Context) error]
	member       *metastore.Mirror
	get          func(key string) string
	upstreamGet  func(key string) string
}

// newRelayed starts an upstream and a member on one store.
func newRelayed(t *testing.T) *relayed {
	r := &relayed{store: memory.New()}
	r.store.Put("a", []byte("1"))
	r.upstream, r.upstreamGet = startMirror(t, metastore.MirrorOptions{Store: r.store})
	r.member, r.get = startMirror(t, metastore.MirrorOptions{
		Store:     countingStore{r.store, &r.storeWatches},
		Upstreams: func() []string { return []string{"upstream"} },
		FetchChanges: func(ctx context.Context, _ string, after uint64, within time.Duration) (metastore.Update, error) {
			if fault := r.fault.Load(); fault != nil {
				ctx, cancel := context.WithTimeout(ctx, within)
				defer cancel()
				return metastore.Update{}, (*fault)(ctx)
			}
			u, ok := r.upstream.ServeChanges(ctx, after, within)
			if !ok {
				return u, errRefused
			}
			return u, nil
		},
	})
	return r
}

var errRefused = errors.New("refused")

type countingStore struct {
	metastore.Store
	calls *atomic.Int64
}

func (s countingStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]metastore.Event, uint64, error) {
	s.calls.Add(1)
	return s.Store.Watch(ctx, prefix, after, wait)
}

// Guards against members that put load on the store or lag behind it, both with frequent changes and without any.
func TestMembersFollowWithoutWatchingStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRelayed(t)
		r.get("")
		for i := range 50 {
			r.store.Put("a", []byte(strconv.Itoa(i)))
			r.store.Put(fmt.Sprint("k", i), []byte("x"))
			r.store.Remove(fmt.Sprint("k", i-1))
			if got := r.get("a"); got != strconv.Itoa(i) {
				t.Fatalf("value %q after change %d and %v", got, i, batchTime)
			}
		}
		if r.get("k49") == "" || r.get("k10") != "" {
			t.Error("added or removed keys differ from those of the store")
		}
		for range 100 {
			time.Sleep(97 * time.Millisecond)
			if age, known := r.member.Age(); !known || age > metastore.MaxHealthyAge {
				t.Fatalf("state %v old, want at most %v without changes", age, metastore.MaxHealthyAge)
			}
		}
		if n := r.storeWatches.Load(); n > 0 {
			t.Errorf("member made %d watches of the store, want none", n)
		}
	})
}

// Guards against a member that stays with an upstream that crashed, is partitioned or hangs: it must switch to the store within
// one poll and miss no change, since leaving targets must be known within two seconds.
func TestMembersLeaveFailedUpstream(t *testing.T) {
	for name, fault := range map[string]func(ctx context.Context) error{
		"dead":   func(context.Context) error { return errRefused },
		"frozen": func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() },
	} {
		synctest.Test(t, func(t *testing.T) {
			r := newRelayed(t)
			r.get("")
			r.fault.Store(&fault)
			r.store.Put("a", []byte("2"))
			time.Sleep(1500 * time.Millisecond)
			if r.get("a") != "2" {
				t.Errorf("%s: change not visible after 1.8 s", name)
			}
			r.fault.Store(nil)
			time.Sleep(10 * time.Second)
			before := r.storeWatches.Load()
			time.Sleep(10 * time.Second)
			if n := r.storeWatches.Load() - before; n > 0 {
				t.Errorf("%s: %d watches of the store after the upstream recovered, want none", name, n)
			}
		})
	}
}

// Guards against an upstream that serves its state although it lost the store: the member would count that state as confirmed.
// The member must call the store itself instead, as only the upstream may be partitioned.
func TestUpstreamWithoutStoreServesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRelayed(t)
		r.get("")
		r.store.SetFault(func(string) error { return metastore.ErrUnavailable })
		time.Sleep(5 * time.Second)
		if age, _ := r.member.Age(); age < 3*time.Second {
			t.Errorf("age %v in an outage of 5 s, want at least 3 s", age)
		}
		r.store.SetFault(nil)
		r.store.Put("a", []byte("2"))
		before := time.Now()
		time.Sleep(time.Second)
		if r.get("a") != "2" {
			t.Error("change not visible after the outage")
		}
		if recovered := r.member.RecoveredAt(); recovered.Before(before.Add(-time.Second)) {
			t.Errorf("recovery at %v, but the outage ended at %v: expired records would count as removed", recovered, before)
		}
	})
}

// Guards against a member that reverts to older state: an upstream that restarted with an old view is behind the member.
func TestStaleUpstreamIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRelayed(t)
		r.store.Put("a", []byte("2"))
		r.get("")
		stale := func(context.Context) error { return nil } // returns an update of revision 0
		r.fault.Store(&stale)
		if got := r.get("a"); got != "2" {
			t.Errorf("value %q, reverted by an upstream that is behind", got)
		}
	})
}

// Guards against missing changes: a member that is behind the start of the upstream's change log, because the log overflowed or
// was reset by a full read, must get the full state.
func TestMemberFarBehindGetsFullState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRelayed(t)
		r.get("")
		for i := range 5000 {
			r.store.Put(fmt.Sprint("k", i%100), []byte(strconv.Itoa(i)))
		}
		r.store.Remove("a")
		r.upstreamGet("")
		u, ok := r.upstream.ServeChanges(t.Context(), 1, time.Second)
		if !ok || !u.Whole || len(u.Changes) != 100 {
			t.Fatalf("served %v, %d changes, full state %v; want all 100 items", ok, len(u.Changes), u.Whole)
		}
		if got := r.get("k99"); got != "4999" || r.get("a") != "" {
			t.Errorf("value %q of k99, or a deleted key, differs from the store", got)
		}
	})
}

// An upstream's answer that says nothing of the state, or is said to be whole and lists nothing, must neither confirm the state nor replace
// it. The member watches the store itself then.
func TestIncompleteUpdateIsNotUsed(t *testing.T) {
	for name, answer := range map[string]metastore.Update{
		"no revision":             {},
		"whole without items":     {AsOf: 100, Whole: true},
		"whole, item without key": {AsOf: 100, Whole: true, Changes: []metastore.Event{{Item: metastore.Item{Revision: 99}}}},
		"change without key":      {AsOf: 100, Changes: []metastore.Event{{Deleted: true}}},
		"negative age":            {AsOf: 100, Age: -time.Hour},
		"negative hold":           {AsOf: 100, Held: -time.Hour},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := memory.New()
				store.Put("a", []byte("1"))
				var watches atomic.Int64
				m, get := startMirror(t, metastore.MirrorOptions{
					Store: countingStore{store, &watches}, Upstreams: func() []string { return []string{"upstream"} },
					FetchChanges: func(context.Context, string, uint64, time.Duration) (metastore.Update, error) { return answer, nil },
				})
				store.Put("b", []byte("2"))
				time.Sleep(2 * time.Second)
				if a, b := get("a"), get("b"); a != "1" || b != "2" {
					t.Errorf("values %q and %q, want those of the store", a, b)
				}
				if age, _ := m.Age(); age < 0 {
					t.Errorf("age %v", age)
				}
				if watches.Load() == 0 {
					t.Error("the store is not watched")
				}
			})
		})
	}
}

// slowStore delays the answers to watches.
type slowStore struct {
	metastore.Store
	delay time.Duration
}

func (s slowStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]metastore.Event, uint64, error) {
	events, asOf, err := s.Store.Watch(ctx, prefix, after, wait)
	time.Sleep(s.delay)
	return events, asOf, err
}

// Guards against a cause of the incident DRAIN of 2026-12-05: members stayed with an upstream whose link was full. Each of its answers came
// in time, but the state in it was old by then, although the store answered the members at once.
func TestMembersLeaveUpstreamWithOldState(t *testing.T) {
	const (
		linkDelay  = 600 * time.Millisecond  // of answers to the upstream and from it
		pollMargin = 100 * time.Millisecond  // that a poll may take in addition to its wait
		maxAge     = 1700 * time.Millisecond // of metadata by which requests are sent without a wait
	)
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		upstream, _ := startMirror(t, metastore.MirrorOptions{Store: slowStore{store, linkDelay}})
		member, get := startMirror(t, metastore.MirrorOptions{
			Store: store, Upstreams: func() []string { return []string{"upstream"} },
			FetchChanges: func(ctx context.Context, _ string, after uint64, within time.Duration) (metastore.Update, error) {
				ctx, cancel := context.WithTimeout(ctx, within+pollMargin)
				defer cancel()
				u, ok := upstream.ServeChanges(ctx, after, within)
				if !ok {
					return u, errRefused
				}
				select {
				case <-time.After(linkDelay):
					return u, nil
				case <-ctx.Done():
					return metastore.Update{}, ctx.Err()
				}
			},
		})
		get("")
		oldest := time.Duration(0)
		for i := range 500 {
			if i%5 == 0 {
				store.Put("a", []byte(strconv.Itoa(i)))
			}
			time.Sleep(20 * time.Millisecond)
			age, _ := member.Age()
			oldest = max(oldest, age)
		}
		if oldest > maxAge {
			t.Errorf("state up to %v old, want at most %v", oldest, maxAge)
		}
	})
}

// Guards against readers of the store that begin at the same moment, or that disagree about their turns.
func TestReadersTakeTurns(t *testing.T) {
	var members []delegate.Member
	for i := range 12 {
		members = append(members, delegate.Member{Name: fmt.Sprint("front-", i), Domain: fmt.Sprint("d", i%2), Address: fmt.Sprint("10.0.0.", i, ":1"), LinkMbps: 10})
	}
	members[7].LinkMbps = 200
	delays := map[time.Duration]string{}
	for _, m := range members {
		delay, others := metastore.Readers(m.Name, members)
		reversed := slices.Clone(members)
		slices.Reverse(reversed)
		if again, same := metastore.Readers(m.Name, reversed); again != delay || !slices.Equal(same, others) {
			t.Errorf("%s: delay %v and readers %v, %v and %v by the members in another order", m.Name, delay, others, again, same)
		}
		if watches := len(metastore.Upstreams(m.Name, members)) == 0; watches != (delay >= 0) {
			t.Errorf("%s watches the store: %v, has a turn: %v", m.Name, watches, delay >= 0)
		}
		if delay < 0 {
			continue
		}
		if before, ok := delays[delay]; ok {
			t.Errorf("%s and %s begin after the same delay %v", before, m.Name, delay)
		}
		delays[delay] = m.Name
		if len(others) != 3 || slices.Contains(others, m.Address) {
			t.Errorf("%s polls %v, want the three other readers", m.Name, others)
		}
	}
	if len(delays) != 4 || delays[0] != members[7].Name {
		t.Errorf("turns %v, want four, the first with the widest link", delays)
	}
}

// Guards against the same large difference that a reader of the store gets from each of the others, as soon as one of them has read it.
func TestReadLeavesOutRelayedChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		store.Put("a", []byte("1"))
		reads, _ := startMirror(t, metastore.MirrorOptions{Store: store})
		relays, get := startMirror(t, metastore.MirrorOptions{
			Store: store, Upstreams: func() []string { return []string{"upstream"} },
			FetchChanges: func(ctx context.Context, _ string, after uint64, within time.Duration) (metastore.Update, error) {
				if u, ok := reads.ServeChanges(ctx, after, within); ok {
					return u, nil
				}
				return metastore.Update{}, errRefused
			},
		})
		get("a")
		before := store.Put("a", []byte("2")) - 1
		if get("a") != "2" {
			t.Fatal("change missed")
		}
		for name, tt := range map[string]struct {
			serve func(context.Context, uint64, time.Duration) (metastore.Update, bool)
			soon  bool
		}{
			"read from the store":           {reads.ServeRead, true},
			"relayed":                       {relays.ServeRead, false},
			"relayed, for one that follows": {relays.ServeChanges, true},
		} {
			const within = 300 * time.Millisecond
			calledAt := time.Now()
			u, ok := tt.serve(t.Context(), before, within)
			if soon := ok && u.AsOf > before && time.Since(calledAt) < within; soon != tt.soon {
				t.Errorf("%s: served at once: %v, want %v", name, soon, tt.soon)
			}
		}
	})
}
