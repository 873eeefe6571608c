package control

import (
	"context"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/egrethoist/egrethoist/internal/manifest"
	"github.com/egrethoist/egrethoist/internal/once"
	"github.com/egrethoist/egrethoist/internal/platform"
	"github.com/egrethoist/egrethoist/internal/platform/memory"
)

const plainService = "allot-app"

// withDrained returns the example manifest with the named targets drained and all others in service.
func withDrained(t testing.TB, drained ...string) *manifest.Document {
	doc := sample(t)
	for i := range doc.Services {
		for j := range doc.Services[i].Targets {
			tg := &doc.Services[i].Targets[j]
			out := slices.Contains(drained, tg.Name)
			tg.Drained = &out
		}
	}
	return doc
}

// removeTarget deletes a target of plainService from doc and returns doc.
func removeTarget(doc *manifest.Document, target string) *manifest.Document {
	s := findService(doc, plainService)
	s.Targets = slices.DeleteFunc(s.Targets, func(t manifest.Target) bool { return t.Name == target })
	return doc
}

// homeHistory returns the home history of plainService in force.
func homeHistory(t *testing.T, ctx context.Context, c *Controller) *manifest.HomeHistory {
	t.Helper()
	cfg, err := c.Get(ctx)
	if err != nil {
		t.Fatal(err)
	}
	return findService(cfg.Document, plainService).HomeHistory
}

// TestApplyRecordsMovesOfHomes guards against drains that are missing in the home history, and against moves that are
// kept too long or show up as differences.
func TestApplyRecordsMovesOfHomes(t *testing.T) {
	runWithKV(t, func(t *testing.T, _ context.Context, kv *memory.KV, c *Controller) {
		ctx := t.Context()
		mustApply(t, ctx, c, sample(t), "first")
		if h := homeHistory(t, ctx, c); !reflect.DeepEqual(h, &manifest.HomeHistory{From: 1}) {
			t.Errorf("a new service has the history %+v", h)
		}
		time.Sleep(time.Minute)
		mustApply(t, ctx, c, withDrained(t, "allot-02"), "target")
		second := time.Now().UTC()
		time.Sleep(time.Minute)
		mustApply(t, ctx, c, sampleWithWeight(t, 5), "weight")
		if _, err := c.SetDrained(ctx, KindFailureDomain, "meseta-a", true, "domain"); err != nil {
			t.Fatal(err)
		}
		want := &manifest.HomeHistory{From: 1, Moves: []manifest.HomeMove{
			{Revision: 4, At: time.Now().UTC(), Left: []string{"allot-01"}},
			{Revision: 2, At: second, Left: []string{"allot-02"}},
		}}
		if h := homeHistory(t, ctx, c); !reflect.DeepEqual(h, want) {
			t.Errorf("history %+v, want %+v", h, want)
		}
		if res := mustApply(t, ctx, c, sampleWithWeight(t, 5), "again"); !res.Unchanged {
			t.Error("an equal manifest changed the history")
		}
		time.Sleep(moveRetention(10*time.Minute) - 30*time.Second)
		mustApply(t, ctx, c, sampleWithWeight(t, 6), "later")
		want.From, want.At, want.Moves = 2, second, want.Moves[:1]
		if h := homeHistory(t, ctx, c); !reflect.DeepEqual(h, want) {
			t.Errorf("after the first move has expired: history %+v, want %+v", h, want)
		}
		if changes := Diff(mustGet(t, ctx, c), sampleWithWeight(t, 6)); len(changes) != 0 {
			t.Errorf("the history shows up in a diff: %v", changes)
		}
	})
}

// mustGet returns the manifest in force.
func mustGet(t *testing.T, ctx context.Context, c *Controller) *manifest.Document {
	t.Helper()
	cfg, err := c.Get(ctx)
	if err != nil {
		t.Fatal(err)
	}
	return cfg.Document
}

// TestHistoryBeginsOverAnOldRecord guards against a manifest written by a release without home histories that can't be
// decoded or never gets a history: the next change must begin one.
func TestHistoryBeginsOverAnOldRecord(t *testing.T) {
	now := time.Unix(1_800_000_000, 0).UTC()
	old, err := manifest.Decode(manifest.Encode(sample(t)))
	if err != nil || findService(old, plainService).HomeHistory != nil {
		t.Fatalf("manifest without a history: %v", err)
	}
	next := recordHomeHistory(withDrained(t, "allot-02"), old, 8, now)
	want := &manifest.HomeHistory{From: 7, At: now, Moves: []manifest.HomeMove{{Revision: 8, At: now, Left: []string{"allot-02"}}}}
	if h := findService(next, plainService).HomeHistory; !reflect.DeepEqual(h, want) {
		t.Errorf("history %+v, want %+v", h, want)
	}
	if findService(next, "dossier-llm").HomeHistory != nil {
		t.Error("a model service has a home history")
	}
}

// TestClockBehindDoesNotAgeMoves guards against a move that expires early because the machine that recorded it has a
// clock that is behind.
func TestClockBehindDoesNotAgeMoves(t *testing.T) {
	now := time.Unix(1_800_000_000, 0).UTC()
	cur := recordHomeHistory(sample(t), nil, 1, now)
	cur = recordHomeHistory(withDrained(t, "allot-01"), cur, 2, now)
	cur = recordHomeHistory(withDrained(t, "allot-02"), cur, 3, now.Add(-time.Hour))
	if at := findService(cur, plainService).HomeHistory.Moves[0].At; !at.Equal(now) {
		t.Errorf("a move recorded by a clock that is behind has the time %v", at)
	}
}

// TestHistoryIsBounded guards against a home history that grows without limit.
func TestHistoryIsBounded(t *testing.T) {
	now := time.Unix(1_800_000_000, 0).UTC()
	cur := recordHomeHistory(sample(t), nil, 1, now)
	sets := [][]string{{"allot-01"}, nil}
	for i := range maxHomeMoves + 10 {
		cur = recordHomeHistory(withDrained(t, sets[i%2]...), cur, uint64(i+2), now)
	}
	h := findService(cur, plainService).HomeHistory
	newest := uint64(maxHomeMoves + 11)
	if len(h.Moves) != maxHomeMoves || h.Moves[0].Revision != newest || h.From != newest-maxHomeMoves || !h.At.Equal(now) {
		t.Errorf("%d moves, newest of revision %d, from %d at %v", len(h.Moves), h.Moves[0].Revision, h.From, h.At)
	}
	long := manifest.HomeHistory{From: 1, Moves: []manifest.HomeMove{
		{Revision: 9, At: now, Left: make([]string, maxMovedNames-1)},
		{Revision: 8, At: now, Joined: make([]string, 2)},
	}}
	if h := trimHistory(long, now); len(h.Moves) != 1 || h.From != 8 {
		t.Errorf("too many names: %d moves, from %d", len(h.Moves), h.From)
	}
}

// TestRemovalRequiresDrainedTarget guards against removing a target while callers may still retry keys that it owns.
func TestRemovalRequiresDrainedTarget(t *testing.T) {
	now := time.Unix(1_800_000_000, 0).UTC()
	retention := once.GenerationRetention(10 * time.Minute)
	first := recordHomeHistory(sample(t), nil, 1, now)
	drained := recordHomeHistory(withDrained(t, "allot-02"), first, 2, now)
	historyBegan := recordHomeHistory(withDrained(t, "allot-02"), withDrained(t, "allot-02"), 2, now)
	neverHome := recordHomeHistory(withDrained(t, "allot-02"), nil, 1, now)
	domainDrained := sample(t)
	out := true
	domainDrained.FailureDomains[1].Drained = &out
	domainDrained = recordHomeHistory(domainDrained, first, 2, now)
	for _, tc := range []struct {
		name  string
		cur   *manifest.Document
		after time.Duration
		want  []Removal
	}{
		{"in service", first, time.Hour, []Removal{{Service: plainService, Target: "allot-02"}}},
		{"drained just now", drained, 0, []Removal{{plainService, "allot-02", true, retention}}},
		{"drained for too short", drained, retention - time.Second, []Removal{{plainService, "allot-02", true, time.Second}}},
		{"drained for long enough", drained, retention, nil},
		{"drained with its domain", domainDrained, retention - time.Second, []Removal{{plainService, "allot-02", true, time.Second}}},
		{"never in service", neverHome, 0, nil},
		{"drained before the history began", historyBegan, retention - time.Second, []Removal{{plainService, "allot-02", true, time.Second}}},
		{"no history", withDrained(t, "allot-02"), time.Hour, []Removal{{plainService, "allot-02", true, 0}}},
		{"first configuration", nil, 0, nil},
	} {
		got := earlyRemovals(removeTarget(sample(t), "allot-02"), tc.cur, now.Add(tc.after))
		if !reflect.DeepEqual(got, tc.want) {
			t.Errorf("%s: %+v, want %+v", tc.name, got, tc.want)
		}
	}
	if got := earlyRemovals(sample(t), first, now); got != nil {
		t.Errorf("nothing removed: %+v", got)
	}
	withoutService := sample(t)
	withoutService.Services = slices.DeleteFunc(withoutService.Services, func(s manifest.Service) bool { return s.Name == plainService })
	if got := earlyRemovals(withoutService, first, now); len(got) != 3 {
		t.Errorf("the whole service removed: %+v", got)
	}
}

// TestApplyRefusesAnEarlyRemoval guards against an early removal that takes effect without RemoveUndrained.
func TestApplyRefusesAnEarlyRemoval(t *testing.T) {
	runWithKV(t, func(t *testing.T, _ context.Context, kv *memory.KV, c *Controller) {
		ctx := t.Context()
		mustApply(t, ctx, c, sample(t), "first")
		apply := func(force bool) error {
			_, err := c.Apply(ctx, removeTarget(sample(t), "allot-02"), ApplyOptions{ApplyID: fmt.Sprint(force), RemoveUndrained: force})
			return err
		}
		var early *RemovalError
		if err := apply(false); !errors.As(err, &early) {
			t.Fatalf("got %v, want a RemovalError", err)
		}
		if cfg, err := c.Get(ctx); err != nil || cfg.Head.Lineage.Revision.Number != 1 {
			t.Errorf("the rejected change took effect: %v", err)
		}
		if err := apply(true); err != nil {
			t.Error(err)
		}
	})
}

// slowHeadKV delays writes of the head and then drops them with an unknown outcome.
type slowHeadKV struct {
	platform.KV
	delay time.Duration
	sent  int
}

func (s *slowHeadKV) CompareAndSwap(ctx context.Context, key string, expect uint64, value []byte, lease platform.LeaseID) (uint64, error) {
	if key != "config/current" {
		return s.KV.CompareAndSwap(ctx, key, expect, value, lease)
	}
	s.sent++
	time.Sleep(s.delay)
	return 0, platform.ErrOutcomeUnknown
}

// TestDelayedChangeIsNotSent guards against a change that is written long after its recorded time, which would make its
// home moves appear older than they are.
func TestDelayedChangeIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := memory.NewKV(memory.Options{})
		mustApply(t, t.Context(), New(kv), sample(t), "first")
		s := &slowHeadKV{KV: kv, delay: 2 * maxSwapDelay}
		_, err := New(s).Apply(t.Context(), sampleWithWeight(t, 9), ApplyOptions{ApplyID: "second"})
		var unknown *UnknownError
		if !errors.As(err, &unknown) || s.sent != 1 {
			t.Errorf("sent %d times, %v", s.sent, err)
		}
	})
}
