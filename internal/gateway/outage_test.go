package gateway

import (
	"context"
	"maps"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/egrethoist/egrethoist/internal/catalog"
	"github.com/egrethoist/egrethoist/internal/metastore"
	"github.com/egrethoist/egrethoist/internal/metastore/memory"
	"github.com/egrethoist/egrethoist/internal/roster"
)

// keyRecords names a target for each key below t/.
type keyRecords struct{ catalog *catalog.Catalog }

func (r *keyRecords) Update(items map[string]metastore.Item) *roster.Snapshot {
	f := &roster.Snapshot{Catalog: r.catalog, Targets: map[string]roster.Record{}}
	for key := range items {
		if id, ok := strings.CutPrefix(key, "t/"); ok {
			f.Targets[id] = roster.Record{ID: id, Service: "s", Address: id, FailureDomain: "d", Slots: 1, Born: 1}
		}
	}
	return f
}

// mirroredState is a state that follows a store, as in the process.
type mirroredState struct {
	*State
	store *memory.Store
}

func newMirroredState(t *testing.T, targets ...string) *mirroredState {
	t.Helper()
	const grace = 1800 * time.Millisecond
	var mirror *metastore.Mirror
	m := &mirroredState{store: memory.New()}
	for _, id := range targets {
		m.store.Put("t/"+id, nil)
	}
	m.State = NewState(StateOptions{
		Self: "a", Records: &keyRecords{catalog.New(1, catalog.Limits{}, nil, []catalog.Service{{Name: "s"}}, nil, nil)},
		Roster: roster.Options{ExpiryGrace: grace}, Returned: func() time.Time { return mirror.RecoveredAt() },
		RetryTime: time.Second, WeightsTime: time.Minute, PrefillRate: 1,
	})
	mirror = metastore.NewMirror(metastore.MirrorOptions{
		Store: m.store, OnChange: m.OnChange, Clock: func() time.Duration { return time.Duration(time.Now().UnixNano()) },
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); _ = mirror.Run(ctx) }()
	ticks := time.NewTicker(200 * time.Millisecond)
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case now := <-ticks.C:
				m.Tick(now)
			}
		}
	}()
	t.Cleanup(func() { cancel(); ticks.Stop(); <-done })
	m.after(3 * time.Second)
	return m
}

// after returns the targets that are offered after d.
func (m *mirroredState) after(d time.Duration) []string {
	time.Sleep(d)
	synctest.Wait()
	return slices.Sorted(maps.Keys(m.current.Load().services["s"].targets))
}

// Incident of 2026-12-04 (DRAIN): one call of the metadata store that failed, such as a watch that was cut, counted as an
// outage, and a target that was removed within the next two seconds was taken for lapsed and used on.
func TestRemovalAfterOneFailedCallHoldsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMirroredState(t, "a", "b")
		failed := false
		m.store.SetFault(func(string) error {
			if failed {
				return nil
			}
			failed = true
			return metastore.ErrUnavailable
		})
		m.after(1500 * time.Millisecond) // the watch under way ends, the next call fails, the one after that does not
		if !failed {
			t.Fatal("no call failed")
		}
		m.store.Remove("t/a")
		if got := m.after(500 * time.Millisecond); len(got) != 1 || got[0] != "b" {
			t.Errorf("offered %v half a second after a was removed, want b alone", got)
		}
	})
}

// Records that lapsed in an outage come back within two seconds if their targets live: dropping all of them at the store's
// return refuses every caller meanwhile.
func TestRecordsThatLapsedInAnOutageAreUsedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMirroredState(t, "a", "b")
		m.store.SetFault(func(string) error { return metastore.ErrUnavailable })
		m.after(2 * time.Second)
		m.store.Remove("t/a")
		m.store.Remove("t/b")
		m.after(4 * time.Second)
		m.store.SetFault(nil)
		if got := m.after(time.Second); len(got) != 2 {
			t.Fatalf("offered %v just after the outage, want both", got)
		}
		m.store.Put("t/b", nil)
		if got := m.after(3 * time.Second); len(got) != 1 || got[0] != "b" {
			t.Errorf("offered %v three seconds later, want b alone", got)
		}
	})
}
