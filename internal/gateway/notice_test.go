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

// A target said that it leaves; then the store is lost, the target's record lapses in the outage and is written again
// afterwards, as that of any live target. What it said still holds, and so does a pause.
func TestNoticesOutlastAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMirroredState(t, "a", "b")
		m.observeNotice(m.targets["a"], Notice{Leaving: true}, 0, time.Now())
		m.observeNotice(m.targets["b"], Notice{Pause: time.Minute}, 0, time.Now())
		m.store.SetFault(func(string) error { return metastore.ErrUnavailable })
		m.after(2 * time.Second)
		m.store.Remove("t/a")
		m.store.Remove("t/b")
		m.after(4 * time.Second)
		m.store.SetFault(nil)
		m.after(4 * time.Second) // both are dropped
		m.store.Put("t/a", nil)
		m.store.Put("t/b", nil)
		if got := m.after(time.Second); len(got) != 2 {
			t.Fatalf("records of %v, want both", got)
		}
		for id, target := range m.targets {
			if !target.stats.Declines(false, time.Now()) {
				t.Errorf("%s is given work again", id)
			}
		}
		m.after(time.Minute)
		if m.targets["b"].stats.Declines(false, time.Now()) {
			t.Error("a pause that is over is kept")
		}
	})
}

// What one instance hears the others are told, also those that learn of the target only later.
func TestOthersAreToldWhoLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hearer, other, late := newMirroredState(t, "a", "b"), newMirroredState(t, "a", "b"), newMirroredState(t)
		hearer.observeNotice(hearer.targets["a"], Notice{Leaving: true, Pause: time.Second}, 0, time.Now())
		message, err := loadshare.Parse((&loadshare.Message{Leaving: hearer.leavingToAnnounce(time.Now())}).Append(nil))
		if err != nil {
			t.Fatal(err)
		}
		other.learnLeaving(message.Leaving, time.Now())
		late.learnLeaving(message.Leaving, time.Now())
		late.store.Put("t/a", nil)
		late.after(time.Second)
		for name, m := range map[string]*mirroredState{"other": other, "late": late} {
			if !m.targets["a"].stats.Leaving() {
				t.Errorf("%s does not know that the target leaves", name)
			}
			if m.targets["a"].stats.PauseLeft(time.Now()) > 0 {
				t.Errorf("%s keeps a pause that it was not asked for", name)
			}
			if got := m.leavingToAnnounce(time.Now()); len(got) != 0 {
				t.Errorf("%s tells on what it did not observeNotice itself", name)
			}
		}
		if other.targets["b"].stats.Leaving() {
			t.Error("another target is taken as leaving")
		}
	})
}

// noticeEngines answers reports and readings with notices and counts them.
type noticeEngines struct {
	Engines
	notice Notice
	born   int64
	reads  bool // readings succeed
	asked  atomic.Int64
}

func (e *noticeEngines) Report(context.Context, string) (TargetReport, error) {
	e.asked.Add(1)
	return TargetReport{Notice: e.notice, Born: e.born}, errors.New("refused")
}

func (e *noticeEngines) StoreEvents(context.Context, string, uint64, time.Duration) (StoreEvents, error) {
	e.asked.Add(1)
	if e.reads {
		return StoreEvents{Notice: e.notice, Epoch: 1}, nil
	}
	return StoreEvents{Notice: e.notice, Born: e.born}, errors.New("refused")
}

func (e *noticeEngines) StoreParts(context.Context, string) (StoreParts, error) {
	e.asked.Add(1)
	return StoreParts{Notice: e.notice, Epoch: 1}, nil
}

func (e *noticeEngines) LoadWeights(context.Context, string, WeightsOrder) (OrderResult, error) {
	e.asked.Add(1)
	return OrderResult{Notice: e.notice}, nil
}

// Notices come in reports and readings too, and a target that pauses gets neither. Another incarnation at the address speaks
// for itself alone.
func TestNoticesOfReportsAndReadings(t *testing.T) {
	const wish = 20 * time.Second
	for _, c := range []struct {
		name    string
		born    int64
		leaving bool
	}{{"same incarnation", 1, true}, {"not told", 0, true}, {"another incarnation", 2, false}} {
		synctest.Test(t, func(t *testing.T) {
			m := newMirroredState(t, "a")
			engines := &noticeEngines{notice: Notice{Leaving: true, Pause: wish}, born: c.born}
			keeper := NewKeeper(m.State, engines, nil)
			ctx, cancel := context.WithCancel(t.Context())
			go keeper.readTarget(ctx, m.targets["a"], 1)
			m.after(wish - time.Second)
			if got := m.targets["a"].stats.Leaving(); got != c.leaving {
				t.Errorf("%s: leaving %v after a reading, want %v", c.name, got, c.leaving)
			}
			if c.leaving && engines.asked.Load() != 1 {
				t.Errorf("%s: read %d times within the pause", c.name, engines.asked.Load())
			}
			cancel()
			synctest.Wait()
		})
	}
}

// The owner of orders asks no target that pauses, orders it nothing, and gives its place to another one.
func TestOrdererLeavesPausingTargetsAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMirroredState(t, "a", "b")
		engines := &noticeEngines{notice: Notice{Pause: time.Minute}}
		o := NewOrderer(OrdererOptions{State: m.State, Engines: engines})
		o.begin()
		g := engineGroup{service: "s", model: "m", newest: 2, targets: m.targets}
		o.published = map[string]time.Time{"a": {}, "b": {}}
		for range 5 {
			for _, observed := range o.observe(t.Context(), g) {
				if engines.asked.Load() >= 2 && !observed.Silent && m.targets[observed.ID].stats.PauseLeft(time.Now()) > 0 {
					t.Errorf("target %s keeps its place while it pauses", observed.ID)
				}
			}
			time.Sleep(time.Second)
			synctest.Wait()
		}
		if engines.asked.Load() != 2 {
			t.Errorf("%d reports asked for, want one of each target", engines.asked.Load())
		}
	})
}

// What reaches a target counts whatever it is: readings of what a limited target holds stop, and reports and orders keep within a part of
// the limit.
func TestReportsAndReadingsKeepWithinALimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const length = 40 * time.Second
		m := newMirroredState(t, "a")
		limit := RateLimit{Kind: RateLimited, PerSecond: 1}
		engines := &noticeEngines{notice: Notice{Limit: limit}}
		keeper := NewKeeper(m.State, engines, nil)
		ctx, cancel := context.WithCancel(t.Context())
		go keeper.readTarget(ctx, m.targets["a"], 1)
		m.after(length)
		if got := engines.asked.Load(); got != 1 {
			t.Errorf("read %d times, want once: that answer named a limit", got)
		}
		engines.notice = Notice{Limit: RateLimit{Kind: RateOpen}}
		m.observeNotice(m.targets["a"], engines.notice, 0, time.Now())
		m.after(length)
		if engines.asked.Load() < 10 {
			t.Error("not read again after the end of the limit")
		}
		cancel()
		synctest.Wait()

		engines.notice = Notice{Limit: limit}
		m.observeNotice(m.targets["a"], engines.notice, 0, time.Now())
		engines.asked.Store(0)
		o := NewOrderer(OrdererOptions{State: m.State, Engines: engines})
		o.begin()
		o.published = map[string]time.Time{"a": {}}
		g := engineGroup{service: "s", model: "m", newest: 2, targets: m.targets}
		denied := 0
		for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(orderPeriod) {
			if before := engines.asked.Load(); o.observe(t.Context(), g)[0].Busy && engines.asked.Load() == before {
				denied++
			}
		}
		if got := engines.asked.Load(); got < 5 || got > int64(length.Seconds()) || denied == 0 {
			t.Errorf("%d reports asked for in %v at one a second, %d times none", got, length, denied)
		}
	})
}

// Readings of a kept-cache store that names a limit keep within it, and what is known of the store is not given up for that.
func TestReadingsOfAStoreKeepWithinItsLimit(t *testing.T) {
	for _, c := range []struct {
		limit RateLimit
		most  int64
	}{{RateLimit{Kind: RateLimited}, 15}, {RateLimit{Kind: RateOpen}, 1000}} {
		synctest.Test(t, func(t *testing.T) {
			m := newMirroredState(t, "a")
			engines := &noticeEngines{notice: Notice{Limit: c.limit}, reads: true}
			keeper := NewKeeper(m.State, engines, nil)
			ctx, cancel := context.WithCancel(t.Context())
			go keeper.read(ctx, catalog.Store{Name: "kept", Address: "10.0.0.9:80"})
			m.after(40 * time.Second)
			if got := engines.asked.Load(); got > c.most || got < 5 {
				t.Errorf("%+v: read %d times in 40 s, want at most %d", c.limit, got, c.most)
			}
			cancel()
			synctest.Wait()
		})
	}
}

// Pattern: a target that answers requests now and then but asks for pause after pause, while its record stays in place.
// Pauses in a row are counted until a request is answered, and a service that they empty is reported.
func TestPausesThatEmptyAServiceAreSeen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMirroredState(t, "a")
		target := m.targets["a"]
		for range pause.Repeated {
			m.observeNotice(target, Notice{Pause: time.Second}, 0, time.Now())
		}
		if got := target.pauses.Load(); got != pause.Repeated {
			t.Errorf("%d pauses in a row, want %d", got, pause.Repeated)
		}
		m.after(500 * time.Millisecond)
		paused := func() bool {
			m.mu.Lock()
			defer m.mu.Unlock()
			return m.notices.paused["s"]
		}
		if !paused() {
			t.Error("a service without a target that wants work is not reported")
		}
		m.after(time.Second)
		if paused() {
			t.Error("reported on after the pause")
		}
		m.observeNotice(target, Notice{}, 0, time.Now())
		if target.pauses.Load() != 0 {
			t.Error("pauses are counted on after an answered request")
		}
	})
}

// A target whose incarnation is known under the same name at another address is not the one that spoke.
func TestNoticesBelongToAddresses(t *testing.T) {
	records := &fixedRecords{facts: roster.Snapshot{
		Targets: map[string]roster.Record{"t": {ID: "t", Service: "s", Address: "10.0.0.1:80", FailureDomain: "d", Slots: 1, Born: 1}},
		Catalog: catalog.New(1, catalog.Limits{}, nil, []catalog.Service{{Name: "s"}}, nil, nil),
	}}
	s := NewState(StateOptions{Self: "a", Records: records, Returned: func() time.Time { return time.Time{} }, RetryTime: time.Second, WeightsTime: time.Minute, PrefillRate: 1})
	s.OnChange(nil, 0)
	s.observeNotice(s.targets["t"], Notice{Leaving: true, Pause: time.Minute}, 0, time.Now())
	records.facts.Targets["t"] = roster.Record{ID: "t", Service: "s", Address: "10.0.0.2:80", FailureDomain: "d", Slots: 1, Born: 1}
	s.OnChange(nil, 1)
	if s.targets["t"].stats.Declines(false, time.Now()) {
		t.Error("the new address is bound by what the old one said")
	}
}
