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

// keyRecords returns a snapshot with one target for each key with the prefix t/.
type keyRecords struct{ catalog *catalog.Catalog }

func (r *keyRecords) Update(items map[string]metastore.Item) *roster.Snapshot {
	snapshot := &roster.Snapshot{Catalog: r.catalog, Targets: map[string]roster.Record{}}
	for key := range items {
		if id, ok := strings.CutPrefix(key, "t/"); ok {
			snapshot.Targets[id] = roster.Record{ID: id, Service: "s", Address: id, FailureDomain: "d", Slots: 1, Born: 1}
		}
	}
	return snapshot
}

// mirroredState is a State that follows a store through a metastore.Mirror, as in the real process.
type mirroredState struct {
	*State
	store *memory.Store
}

// newMirroredState returns a state with the targets of the given IDs, after it has loaded them.
func newMirroredState(t *testing.T, targets ...string) *mirroredState {
	t.Helper()
	const expiryGrace = 1800 * time.Millisecond
	var mirror *metastore.Mirror
	m := &mirroredState{store: memory.New()}
	for _, id := range targets {
		m.store.Put("t/"+id, nil)
	}
	m.State = NewState(StateOptions{
		Self: "a", Records: &keyRecords{catalog.New(1, catalog.Limits{}, nil, []catalog.Service{{Name: "s"}}, nil, nil)},
		Roster: roster.Options{ExpiryGrace: expiryGrace}, RecoveredAt: func() time.Time { return mirror.RecoveredAt() },
		RetryWindow: time.Second, RolloutTimeout: time.Minute, InitialPrefillRate: 1,
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
	m.targetsAfter(3 * time.Second)
	return m
}

// targetsAfter waits for d and returns the IDs of the targets that are usable then, sorted.
func (m *mirroredState) targetsAfter(d time.Duration) []string {
	time.Sleep(d)
	synctest.Wait()
	return slices.Sorted(maps.Keys(m.current.Load().services["s"].targets))
}

// Guards against treating a single failed call to the metadata store, such as a watch that was cut, as an outage. That happened on
// 2026-12-04 (incident DRAIN): a target that was removed within the next two seconds counted as expired and stayed in use.
func TestRemovalAfterOneFailedCallTakesEffectAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMirroredState(t, "a", "b")
		callFailed := false
		m.store.SetFault(func(string) error {
			if callFailed {
				return nil
			}
			callFailed = true
			return metastore.ErrUnavailable
		})
		m.targetsAfter(1500 * time.Millisecond) // the running watch ends, the next call fails, and the one after it succeeds
		if !callFailed {
			t.Fatal("no call failed")
		}
		m.store.Remove("t/a")
		if got := m.targetsAfter(500 * time.Millisecond); len(got) != 1 || got[0] != "b" {
			t.Errorf("usable targets %v half a second after the removal of a, want only b", got)
		}
	})
}

// Guards against refusing all callers after an outage of the metadata store: records that expired in it are written again within two
// seconds if their targets are alive, so those targets must stay usable until then.
func TestTargetsExpiredDuringOutageStayUsable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMirroredState(t, "a", "b")
		m.store.SetFault(func(string) error { return metastore.ErrUnavailable })
		m.targetsAfter(2 * time.Second)
		m.store.Remove("t/a")
		m.store.Remove("t/b")
		m.targetsAfter(4 * time.Second)
		m.store.SetFault(nil)
		if got := m.targetsAfter(time.Second); len(got) != 2 {
			t.Fatalf("usable targets %v just after the outage, want both", got)
		}
		m.store.Put("t/b", nil)
		if got := m.targetsAfter(3 * time.Second); len(got) != 1 || got[0] != "b" {
			t.Errorf("usable targets %v three seconds later, want only b", got)
		}
	})
}
