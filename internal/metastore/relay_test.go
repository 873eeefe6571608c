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

func TestUpstreams(t *testing.T) {
	var members []delegate.Member
	for i := range 30 {
		members = append(members, delegate.Member{Name: fmt.Sprint("front-", i), Domain: fmt.Sprint("d", i%3), Address: fmt.Sprint("10.0.0.", i)})
	}
	watchers, first := map[string]int{}, map[string]int{}
	for _, m := range members {
		upstreams := metastore.Upstreams(m.Name, members)
		if len(upstreams) == 0 {
			watchers[m.Domain]++
			continue
		}
		first[upstreams[0]]++
		for _, g := range upstreams {
			i := slices.IndexFunc(members, func(o delegate.Member) bool { return o.Address == g })
			if members[i].Domain != m.Domain || len(metastore.Upstreams(members[i].Name, members)) > 0 {
				t.Errorf("%s of %s asks %s of %s, which must watch the store", m.Name, m.Domain, members[i].Name, members[i].Domain)
			}
		}
	}
	for _, d := range []string{"d0", "d1", "d2"} {
		if watchers[d] != 2 {
			t.Errorf("%d watchers in %s, want two", watchers[d], d)
		}
	}
	if len(first) != 6 {
		t.Errorf("%d upstreams are preferred by anybody, want all six", len(first))
	}
	if got := metastore.Upstreams("unknown", members); got != nil {
		t.Errorf("an instance that is not registered yet asks %v", got)
	}
	if got := metastore.Upstreams("front-0", members[:4]); got != nil {
		t.Errorf("an instance of a small domain asks %v", got)
	}
}

// relayed is a mirror that gets its changes from another one.
type relayed struct {
	upstream *metastore.Mirror
	store    *memory.Store // the one that the upstream watches
	calls    atomic.Int64  // watches of the other one
	cut      atomic.Pointer[func(ctx context.Context) error]
	member   *metastore.Mirror
	get      func(key string) string
	given    func(key string) string
}

// newRelayed returns an upstream and a member on one store. Calls of the member to the store are counted.
func newRelayed(t *testing.T) *relayed {
	r := &relayed{store: memory.New()}
	r.store.Put("a", []byte("1"))
	r.upstream, r.given = follow(t, metastore.MirrorOptions{Store: r.store})
	r.member, r.get = follow(t, metastore.MirrorOptions{
		Store:     countingStore{r.store, &r.calls},
		Upstreams: func() []string { return []string{"upstream"} },
		FromUpstream: func(ctx context.Context, _ string, after uint64, within time.Duration) (metastore.Update, error) {
			if cut := r.cut.Load(); cut != nil {
				ctx, cancel := context.WithTimeout(ctx, within)
				defer cancel()
				return metastore.Update{}, (*cut)(ctx)
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

// Pattern: a fleet at rest and in change. Instances that are not watchers cost the store nothing, and their state is as good.
func TestMembersFollowWithoutTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRelayed(t)
		r.get("")
		for i := range 50 {
			r.store.Put("a", []byte(strconv.Itoa(i)))
			r.store.Put(fmt.Sprint("k", i), []byte("x"))
			r.store.Remove(fmt.Sprint("k", i-1))
			if got := r.get("a"); got != strconv.Itoa(i) {
				t.Fatalf("state %q after change %d and %v", got, i, collected)
			}
		}
		if r.get("k49") == "" || r.get("k10") != "" {
			t.Error("keys and removals are not those of the store")
		}
		for range 100 {
			time.Sleep(97 * time.Millisecond)
			if age, known := r.member.Age(); !known || age > metastore.CalmAge {
				t.Fatalf("state %v old, want at most %v at rest", age, metastore.CalmAge)
			}
		}
		if n := r.calls.Load(); n > 0 {
			t.Errorf("%d watches of the store", n)
		}
	})
}

// An upstream that dies, is cut off or freezes is left within the time of one answer, and changes made meanwhile are not lost:
// leaving targets must be known within two seconds.
func TestMembersLeaveAnUpstreamThatFails(t *testing.T) {
	for name, cut := range map[string]func(ctx context.Context) error{
		"dead":   func(context.Context) error { return errRefused },
		"frozen": func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() },
	} {
		synctest.Test(t, func(t *testing.T) {
			r := newRelayed(t)
			r.get("")
			r.cut.Store(&cut)
			r.store.Put("a", []byte("2"))
			time.Sleep(1500 * time.Millisecond)
			if r.get("a") != "2" {
				t.Errorf("%s: change not known after 1.8 s", name)
			}
			r.cut.Store(nil)
			time.Sleep(10 * time.Second)
			before := r.calls.Load()
			time.Sleep(10 * time.Second)
			if n := r.calls.Load() - before; n > 0 {
				t.Errorf("%s: %d watches of the store after the upstream's return", name, n)
			}
		})
	}
}

// An upstream that itself lost the store gives nothing: its state would be taken for confirmed. The member then asks the store, as
// it may be the upstream alone that is cut off.
func TestUpstreamWithoutTheStoreServesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRelayed(t)
		r.get("")
		r.store.SetFault(func(string) error { return metastore.ErrUnavailable })
		time.Sleep(5 * time.Second)
		if age, _ := r.member.Age(); age < 3*time.Second {
			t.Errorf("state counts as %v old in an outage of 5 s", age)
		}
		r.store.SetFault(nil)
		r.store.Put("a", []byte("2"))
		before := time.Now()
		time.Sleep(time.Second)
		if r.get("a") != "2" {
			t.Error("change not known after the outage")
		}
		if back := r.member.Returned(); back.Before(before.Add(-time.Second)) {
			t.Errorf("returned at %v, the outage ended at %v: lapsed records are taken for removed", back, before)
		}
	})
}

// An upstream that knows less than the member, after a restart with an old view, does not take the member back.
func TestOlderUpstreamTakesNothingBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRelayed(t)
		r.store.Put("a", []byte("2"))
		r.get("")
		old := func(context.Context) error { return nil } // an update of revision 0
		r.cut.Store(&old)
		if got := r.get("a"); got != "2" {
			t.Errorf("state %q taken from an older upstream", got)
		}
	})
}

// A member that lacks more than the upstream remembers, or whose upstream read the store anew, gets the whole state.
func TestMemberFarBehindGetsAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRelayed(t)
		r.get("")
		for i := range 5000 {
			r.store.Put(fmt.Sprint("k", i%100), []byte(strconv.Itoa(i)))
		}
		r.store.Remove("a")
		r.given("")
		u, ok := r.upstream.ServeChanges(t.Context(), 1, time.Second)
		if !ok || !u.Whole || len(u.Changes) != 100 {
			t.Fatalf("update %v, %d changes, whole %v; want all 100 items", ok, len(u.Changes), u.Whole)
		}
		if got := r.get("k99"); got != "4999" || r.get("a") != "" {
			t.Errorf("state %q, want that of the store", got)
		}
	})
}
