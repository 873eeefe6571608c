package gateway

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/egrethoist/egrethoist/internal/catalog"
	"github.com/egrethoist/egrethoist/internal/loadshare"
	"github.com/egrethoist/egrethoist/internal/metastore"
	"github.com/egrethoist/egrethoist/internal/pause"
	"github.com/egrethoist/egrethoist/internal/roster"
)

// Guards against forgetting the notices of a target whose record expires during an outage of the metadata store and is written again
// afterwards: a departure and a pause must still hold.
func TestNoticesSurviveStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMirroredState(t, "a", "b")
		m.observeNotice(m.targets["a"], Notice{Leaving: true}, 0, time.Now())
		m.observeNotice(m.targets["b"], Notice{Pause: time.Minute}, 0, time.Now())
		m.store.SetFault(func(string) error { return metastore.ErrUnavailable })
		m.targetsAfter(2 * time.Second)
		m.store.Remove("t/a")
		m.store.Remove("t/b")
		m.targetsAfter(4 * time.Second)
		m.store.SetFault(nil)
		m.targetsAfter(4 * time.Second) // both targets are removed
		m.store.Put("t/a", nil)
		m.store.Put("t/b", nil)
		if got := m.targetsAfter(time.Second); len(got) != 2 {
			t.Fatalf("records of %v, want both", got)
		}
		for id, target := range m.targets {
			if !target.stats.Blocked(false, time.Now()) {
				t.Errorf("target %s is eligible again", id)
			}
		}
		m.targetsAfter(time.Minute)
		if m.targets["b"].stats.Blocked(false, time.Now()) {
			t.Error("a pause still holds after its end")
		}
	})
}

// A departure that one instance observes must reach the others, including those that learn of the target only later. Pauses must not
// be propagated, since they apply to one instance only, nor must departures that an instance has not observed itself.
func TestLeavingTargetsArePropagated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		observer, peer, late := newMirroredState(t, "a", "b"), newMirroredState(t, "a", "b"), newMirroredState(t)
		observer.observeNotice(observer.targets["a"], Notice{Leaving: true, Pause: time.Second}, 0, time.Now())
		message, err := loadshare.Parse((&loadshare.Message{Leaving: observer.leavingToAnnounce(time.Now())}).Append(nil))
		if err != nil {
			t.Fatal(err)
		}
		peer.learnLeaving(message.Leaving, time.Now())
		late.learnLeaving(message.Leaving, time.Now())
		late.store.Put("t/a", nil)
		late.targetsAfter(time.Second)
		for name, m := range map[string]*mirroredState{"other": peer, "late": late} {
			if !m.targets["a"].stats.Leaving() {
				t.Errorf("%s does not know that the target leaves", name)
			}
			if m.targets["a"].stats.PauseRemaining(time.Now()) > 0 {
				t.Errorf("%s applies a pause that another instance was asked for", name)
			}
			if got := m.leavingToAnnounce(time.Now()); len(got) != 0 {
				t.Errorf("%s announces a departure that it did not observe itself", name)
			}
		}
		if peer.targets["b"].stats.Leaving() {
			t.Error("another target counts as leaving")
		}
	})
}

// fakeEngines answers all calls with a notice, and counts them.
type fakeEngines struct {
	Engines
	notice       Notice
	born         int64
	readsSucceed bool // reads of changes succeed
	calls        atomic.Int64
}

func (e *fakeEngines) Report(context.Context, string) (TargetReport, error) {
	e.calls.Add(1)
	return TargetReport{Notice: e.notice, Born: e.born}, errors.New("refused")
}

func (e *fakeEngines) StoreEvents(context.Context, string, uint64, time.Duration) (StoreEvents, error) {
	e.calls.Add(1)
	if e.readsSucceed {
		return StoreEvents{Notice: e.notice, Epoch: 1}, nil
	}
	return StoreEvents{Notice: e.notice, Born: e.born}, errors.New("refused")
}

func (e *fakeEngines) StoreParts(context.Context, string) (StoreParts, error) {
	e.calls.Add(1)
	return StoreParts{Notice: e.notice, Epoch: 1}, nil
}

func (e *fakeEngines) LoadWeights(context.Context, string, LoadOrder) (OrderResult, error) {
	e.calls.Add(1)
	return OrderResult{Notice: e.notice}, nil
}

// Notices in reports and reads of changes must count, and a paused target must get no such calls. A notice of another incarnation at
// the address must be ignored.
func TestNoticesInReportsAndReads(t *testing.T) {
	const pauseTime = 20 * time.Second
	for _, c := range []struct {
		name    string
		born    int64
		leaving bool
	}{{"same incarnation", 1, true}, {"start not reported", 0, true}, {"another incarnation", 2, false}} {
		synctest.Test(t, func(t *testing.T) {
			m := newMirroredState(t, "a")
			engines := &fakeEngines{notice: Notice{Leaving: true, Pause: pauseTime}, born: c.born}
			tracker := NewCacheTracker(m.State, engines, nil)
			ctx, cancel := context.WithCancel(t.Context())
			go tracker.readTarget(ctx, m.targets["a"], 1)
			m.targetsAfter(pauseTime - time.Second)
			if got := m.targets["a"].stats.Leaving(); got != c.leaving {
				t.Errorf("%s: leaving %v after a read, want %v", c.name, got, c.leaving)
			}
			if c.leaving && engines.calls.Load() != 1 {
				t.Errorf("%s: read %d times during the pause, want only the read that started it", c.name, engines.calls.Load())
			}
			cancel()
			synctest.Wait()
		})
	}
}

// The rollout leader must neither request reports from a paused target nor order it to load, and must load another target instead: the
// paused one counts as unresponsive.
func TestRolloutSkipsPausedTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMirroredState(t, "a", "b")
		engines := &fakeEngines{notice: Notice{Pause: time.Minute}}
		controller := NewRolloutController(RolloutOptions{State: m.State, Engines: engines})
		controller.reset()
		g := engineGroup{service: "s", model: "m", newestVersion: 2, targets: m.targets}
		controller.loadableAt = map[string]time.Time{"a": {}, "b": {}}
		for range 5 {
			for _, observed := range controller.observe(t.Context(), g) {
				if engines.calls.Load() >= 2 && !observed.Unresponsive && m.targets[observed.ID].stats.PauseRemaining(time.Now()) > 0 {
					t.Errorf("paused target %s keeps its place in the rollout", observed.ID)
				}
			}
			time.Sleep(time.Second)
			synctest.Wait()
		}
		if engines.calls.Load() != 2 {
			t.Errorf("%d reports requested, want one of each target", engines.calls.Load())
		}
	})
}

// Control calls count against a target's rate limit: reads of a limited target's changes must stop, and reports and orders must stay
// within a part of the limit.
func TestReportsAndReadsRespectRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const length = 40 * time.Second
		m := newMirroredState(t, "a")
		limit := RateLimit{Kind: RateLimited, PerSecond: 1}
		engines := &fakeEngines{notice: Notice{Limit: limit}}
		tracker := NewCacheTracker(m.State, engines, nil)
		ctx, cancel := context.WithCancel(t.Context())
		go tracker.readTarget(ctx, m.targets["a"], 1)
		m.targetsAfter(length)
		if got := engines.calls.Load(); got != 1 {
			t.Errorf("read %d times, want once: that answer set a limit", got)
		}
		engines.notice = Notice{Limit: RateLimit{Kind: RateUnlimited}}
		m.observeNotice(m.targets["a"], engines.notice, 0, time.Now())
		m.targetsAfter(length)
		if engines.calls.Load() < 10 {
			t.Error("not read again after the end of the limit")
		}
		cancel()
		synctest.Wait()

		engines.notice = Notice{Limit: limit}
		m.observeNotice(m.targets["a"], engines.notice, 0, time.Now())
		engines.calls.Store(0)
		controller := NewRolloutController(RolloutOptions{State: m.State, Engines: engines})
		controller.reset()
		controller.loadableAt = map[string]time.Time{"a": {}}
		g := engineGroup{service: "s", model: "m", newestVersion: 2, targets: m.targets}
		denied := 0
		for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(rolloutPeriod) {
			if before := engines.calls.Load(); controller.observe(t.Context(), g)[0].Unreported && engines.calls.Load() == before {
				denied++
			}
		}
		if got := engines.calls.Load(); got < 5 || got > int64(length.Seconds()) || denied == 0 {
			t.Errorf("%d reports requested in %v at a limit of one per second, %d denied", got, length, denied)
		}
	})
}

// Reads of a KV-cache store must stay within its rate limit, but go on at a low rate: a denied read must not discard the contents that
// are known of the store.
func TestStoreReadsRespectRateLimit(t *testing.T) {
	for _, c := range []struct {
		limit    RateLimit
		maxReads int64
	}{{RateLimit{Kind: RateLimited}, 15}, {RateLimit{Kind: RateUnlimited}, 1000}} {
		synctest.Test(t, func(t *testing.T) {
			m := newMirroredState(t, "a")
			engines := &fakeEngines{notice: Notice{Limit: c.limit}, readsSucceed: true}
			tracker := NewCacheTracker(m.State, engines, nil)
			ctx, cancel := context.WithCancel(t.Context())
			go tracker.readStore(ctx, catalog.Store{Name: "kept", Address: "10.0.0.9:80"})
			m.targetsAfter(40 * time.Second)
			if got := engines.calls.Load(); got > c.maxReads || got < 5 {
				t.Errorf("%+v: read %d times in 40 s, want at most %d", c.limit, got, c.maxReads)
			}
			cancel()
			synctest.Wait()
		})
	}
}

// Guards against an unnoticed outage by pauses: a target requests one pause after another while its record stays in place.
// Consecutive pauses must be counted until a request is answered, and a service all of whose targets are paused must be reported.
func TestServiceWithAllTargetsPausedIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMirroredState(t, "a")
		target := m.targets["a"]
		for range pause.RepeatThreshold {
			m.observeNotice(target, Notice{Pause: time.Second}, 0, time.Now())
		}
		if got := target.pauses.Load(); got != pause.RepeatThreshold {
			t.Errorf("%d consecutive pauses, want %d", got, pause.RepeatThreshold)
		}
		m.targetsAfter(500 * time.Millisecond)
		paused := func() bool {
			m.mu.Lock()
			defer m.mu.Unlock()
			return m.notices.pausedServices["s"]
		}
		if !paused() {
			t.Error("a service all of whose targets are paused is not reported")
		}
		m.targetsAfter(time.Second)
		if paused() {
			t.Error("service still reported as paused after the pause")
		}
		m.observeNotice(target, Notice{}, 0, time.Now())
		if target.pauses.Load() != 0 {
			t.Error("count of consecutive pauses not reset by an answered request")
		}
	})
}

// Notices of a target must not apply to a target with the same name and start time at another address: it is another incarnation.
func TestNoticesDoNotCarryOverToNewAddress(t *testing.T) {
	records := &fixedRecords{snapshot: roster.Snapshot{
		Targets: map[string]roster.Record{"t": {ID: "t", Service: "s", Address: "10.0.0.1:80", FailureDomain: "d", Slots: 1, Born: 1}},
		Catalog: catalog.New(1, catalog.Limits{}, nil, []catalog.Service{{Name: "s"}}, nil, nil),
	}}
	s := NewState(StateOptions{Self: "a", Records: records, RecoveredAt: func() time.Time { return time.Time{} }, RetryWindow: time.Second, RolloutTimeout: time.Minute, InitialPrefillRate: 1})
	s.OnChange(nil, 0)
	s.observeNotice(s.targets["t"], Notice{Leaving: true, Pause: time.Minute}, 0, time.Now())
	records.snapshot.Targets["t"] = roster.Record{ID: "t", Service: "s", Address: "10.0.0.2:80", FailureDomain: "d", Slots: 1, Born: 1}
	s.OnChange(nil, 1)
	if s.targets["t"].stats.Blocked(false, time.Now()) {
		t.Error("notices of the old address apply to the new one")
	}
}
