package gateway

import (
	"encoding/json"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/egrethoist/egrethoist/internal/metastore"
	"github.com/egrethoist/egrethoist/internal/metastore/memory"
)

// observer is an instance whose readings of the metadata are made by the test.
type observer struct {
	*State
	newest      *atomic.Int64
	confirmedAt time.Time
	revision    uint64
	suspended   time.Duration
	beforeAge   func() // called when the age of the metadata is read
}

func newObserver(rolloutTimeout time.Duration) *observer {
	o := &observer{newest: new(atomic.Int64), confirmedAt: time.Now()}
	o.newest.Store(1)
	o.State = NewState(StateOptions{
		Self: "a", Records: newestRecords{o.newest}, RecoveredAt: func() time.Time { return time.Time{} }, RetryWindow: time.Second, RolloutTimeout: rolloutTimeout,
		InitialPrefillRate: 1000, Suspended: func() time.Duration { return o.suspended },
		MetadataAge: func() (time.Duration, bool) {
			age := time.Since(o.confirmedAt)
			if o.beforeAge != nil {
				o.beforeAge()
			}
			return age, true
		},
	})
	return o
}

// read applies the items as a reading of the metadata that the store confirms now.
func (o *observer) read(items map[string]metastore.Item) {
	o.revision++
	o.OnChange(items, o.revision)
	o.confirmedAt = time.Now()
}

// run ticks for a time, and reads the metadata as well if the store is reachable.
func (o *observer) run(d time.Duration, reachable bool, items map[string]metastore.Item) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		o.Tick(time.Now())
		if reachable {
			o.read(items)
		}
	}
}

// recordOf returns the record that an instance writes of a version that it has seen.
func recordOf(t *testing.T, o *observer, version int) map[string]metastore.Item {
	t.Helper()
	for _, seen := range o.dueVersionRecords() {
		if seen.Version == version {
			raw, err := json.Marshal(seen)
			if err != nil {
				t.Fatal(err)
			}
			key := versionKey(seen.Model, version)
			return map[string]metastore.Item{key: {Key: key, Value: raw, Revision: 1}}
		}
	}
	t.Fatalf("version %d is not to be recorded", version)
	return nil
}

// Guards against a whole service that is taken out of rotation seconds after a version was released, because one instance stood still just before
// and recorded the version as that much older: the others have seen that there was none.
func TestStandstillOfOneInstanceDoesNotShortenTimeLimitOfOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const rolloutTimeout = 15 * time.Second
		stalled, sound := newObserver(rolloutTimeout), newObserver(rolloutTimeout)
		stalled.run(time.Second, true, nil)
		sound.run(12*time.Second, true, nil) // stalled stands still meanwhile
		stalled.newest.Store(2)
		sound.newest.Store(2)
		sound.read(nil)
		stalled.Tick(time.Now())
		stalled.read(nil)
		sound.run(3*time.Second, true, recordOf(t, stalled, 2))
		if targetDisabled(sound.State) {
			t.Error("target out of rotation 3 s after the release, at an instance that saw the release at once")
		}
	})
}

// Guards against a whole service that is out of rotation at once after an outage of the store, if a version is released after it: a short
// standstill before the outage counts until the store is back.
func TestStandstillBeforeOutageOfStoreDoesNotCountTheOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newObserver(15 * time.Second)
		o.run(2*time.Second, true, nil)
		time.Sleep(1500 * time.Millisecond) // a standstill
		o.run(20*time.Second, false, nil)
		o.newest.Store(2)
		o.run(time.Second, true, nil)
		if targetDisabled(o.State) {
			t.Error("target out of rotation 1 s after the first sight of a version, after a standstill of 1.5 s")
		}
	})
}

// Guards against a time limit that is cut short for all instances: a version that was seen before a suspension of the machine and is recorded
// after it is recorded as older by the time of the suspension.
func TestVersionSeenBeforeSuspensionIsRecordedWithTheTimeOfItsSighting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newObserver(15 * time.Second)
		o.run(time.Second, true, nil)
		o.newest.Store(2)
		seenAt := time.Now()
		o.read(nil)
		o.suspended = 7 * time.Second
		for _, seen := range o.dueVersionRecords() {
			if seen.Version == 2 && seen.FirstSeenMillis != seenAt.UnixMilli() {
				t.Errorf("recorded as seen %d ms after its sighting, want 0", seen.FirstSeenMillis-seenAt.UnixMilli())
			}
		}
	})
}

// Guards against a time limit that is cut short by up to the time between two checks: a version that is released after the first reading of a
// process that starts, and before the second, must count from the first reading, which the store has confirmed.
func TestVersionReleasedAfterFirstReadingCountsFromThatReading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const callTime = 50 * time.Millisecond
		check, err := json.Marshal(versionCheck{AtMillis: time.Now().Add(-5 * time.Second).UnixMilli()})
		if err != nil {
			t.Fatal(err)
		}
		items := map[string]metastore.Item{versionCheckKey: {Key: versionCheckKey, Value: check, Revision: 1}}
		o := newObserver(15 * time.Second)
		calledAt := time.Now()
		time.Sleep(callTime)
		o.Tick(time.Now())
		o.read(items)
		o.confirmedAt = calledAt // as a mirror confirms a full read
		time.Sleep(200 * time.Millisecond)
		o.newest.Store(2)
		o.read(items)
		for _, seen := range o.dueVersionRecords() {
			if early := calledAt.UnixMilli() - seen.FirstSeenMillis; seen.Version == 2 && early > 0 {
				t.Errorf("recorded as released %d ms before a reading that did not have it", early)
			}
		}
	})
}

// heldLock returns a lock that is held in the store until the test ends.
func heldLock(t *testing.T, store metastore.Store) *metastore.Lock {
	t.Helper()
	lock := &metastore.Lock{
		Store: store, Key: RolloutLockKey, Owner: "a", TTL: 3 * time.Second, IsFree: func() bool { return true },
		Clock: func() time.Duration { return time.Duration(time.Now().UnixNano()) },
	}
	go func() { _ = lock.Run(t.Context()) }()
	time.Sleep(time.Second)
	return lock
}

// recordedCheck returns the time of the recorded check of the weight versions.
func recordedCheck(t *testing.T, store *memory.Store) time.Time {
	t.Helper()
	item, ok := store.Lookup(versionCheckKey)
	if !ok {
		t.Fatal("no check recorded")
	}
	var check versionCheck
	if err := json.Unmarshal(item.Value, &check); err != nil {
		t.Fatal(err)
	}
	return time.UnixMilli(check.AtMillis)
}

// Guards against a check that covers a time at which this instance saw nothing: the process stands still between the reading of the age of the
// metadata and that of the clock.
func TestVersionCheckDoesNotCoverStandstill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		lock := heldLock(t, store)
		o := newObserver(15 * time.Second)
		o.read(nil)
		r := &VersionRecorder{State: o.State, Store: store, Lock: lock}
		o.read(recordOf(t, o, 1))
		confirmedAt := o.confirmedAt
		o.beforeAge = func() { o.beforeAge = nil; time.Sleep(2 * time.Second) }
		if !r.recordCheck(t.Context()) {
			t.Fatal("not recorded")
		}
		if at := recordedCheck(t, store); at.After(confirmedAt.Add(time.Millisecond)) {
			t.Errorf("the check covers %v after the last confirmation of the metadata", at.Sub(confirmedAt))
		}
	})
}

// Guards against targets that keep their place in a roll-out although they do not respond, because another model of the same service has no
// roll-out: each step of that model forgets the missed reports.
func TestUnresponsiveTargetOfServiceWithTwoModels(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMirroredState(t, "a")
		engines := &fakeEngines{}
		controller := NewRolloutController(RolloutOptions{State: m.State, Engines: engines})
		controller.reset()
		controller.loadableAt = map[string]time.Time{"a": {}}
		m.targets["a"].learnVersions(map[string]int{"m": 1, "n": 1}, time.Now())
		behind := engineGroup{service: "s", model: "m", newestVersion: 2, targets: m.targets}
		current := engineGroup{service: "s", model: "n", newestVersion: 1, targets: m.targets}
		for range 40 {
			observed := controller.observe(t.Context(), behind)
			controller.observe(t.Context(), current)
			if observed[0].Unresponsive {
				return
			}
			time.Sleep(rolloutPeriod)
		}
		t.Errorf("target counts as responsive after %d failed reports", engines.calls.Load())
	})
}
