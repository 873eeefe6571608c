package gateway

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/egrethoist/egrethoist/internal/metastore"
	"github.com/egrethoist/egrethoist/internal/metastore/memory"
	"github.com/egrethoist/egrethoist/internal/roster"
)

// showClock makes a state know the targets' clock, which is ahead of that of the test by the given time.
func showClock(s *State, ahead time.Duration) {
	now := s.bootTime(time.Now())
	s.targetClock.observe(now.Add(ahead).UnixMilli(), now.Add(-5*time.Millisecond), now)
}

// stepRecords moves the times by the wall clock in all records of weight versions, as if that of the instances that wrote them were wrong.
func stepRecords(t *testing.T, store *memory.Store, step time.Duration) {
	t.Helper()
	for _, key := range []string{versionKey("m", 1), versionKey("m", 2), versionCheckKey} {
		item, ok := store.Lookup(key)
		if !ok {
			continue
		}
		var fields map[string]any
		if err := json.Unmarshal(item.Value, &fields); err != nil {
			t.Fatal(err)
		}
		fields["at"] = int64(fields["at"].(float64)) + step.Milliseconds()
		raw, err := json.Marshal(fields)
		if err != nil {
			t.Fatal(err)
		}
		store.Put(key, raw)
	}
}

// Guards against requests that begin on replaced weights after their time limit, and against a service that loses its targets before it: the wall clock
// of the instance that recorded a version, or of one that starts later, is some seconds wrong, and is set right again.
func TestTimeLimitOfWeightsIgnoresWallClocks(t *testing.T) {
	const rolloutTimeout = 15 * time.Second
	for _, step := range []time.Duration{-9 * time.Second, -2400 * time.Millisecond, 0, 2400 * time.Millisecond, 9 * time.Second} {
		for _, ahead := range []time.Duration{0, -40 * time.Minute} { // the targets' clock
			t.Run(step.String()+" "+ahead.String(), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					store, newest := memory.New(), new(atomic.Int64)
					newest.Store(1)
					first, stop := startInstanceWith(t, store, rolloutTimeout, newestRecords{newest})
					showClock(first, ahead)
					time.Sleep(5 * time.Second)
					newest.Store(2)
					store.Put("op/version/m", []byte("2"))
					time.Sleep(2 * time.Second)
					for range 2 { // all instances are killed, more than once
						stop()
						time.Sleep(time.Second)
						stepRecords(t, store, step)
						var state *State
						state, stop = startInstanceWith(t, store, rolloutTimeout, newestRecords{newest})
						time.Sleep(200 * time.Millisecond)
						showClock(state, ahead)
						time.Sleep(3300 * time.Millisecond)
						first = state
					}
					defer stop()
					// 11 s after the release; weights last for 13 s
					if targetDisabled(first) {
						t.Error("target out of rotation 2 s before the time limit")
					}
					time.Sleep(2500 * time.Millisecond) // the release is seen with some delay
					if !targetDisabled(first) {
						t.Error("target on old weights still in rotation at the time limit")
					}
				})
			})
		}
	}
}

// Guards against the same for a version that is released while no instance runs.
func TestCheckOfVersionsIgnoresWallClocks(t *testing.T) {
	const rolloutTimeout = 15 * time.Second
	for _, step := range []time.Duration{-9 * time.Second, 9 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			store, newest := memory.New(), new(atomic.Int64)
			newest.Store(1)
			first, stop := startInstanceWith(t, store, rolloutTimeout, newestRecords{newest})
			showClock(first, 0)
			time.Sleep(10 * time.Second)
			stop()
			newest.Store(2)
			store.Put("op/version/m", []byte("2"))
			stepRecords(t, store, step)
			time.Sleep(4 * time.Second)
			state, stop := startInstanceWith(t, store, rolloutTimeout, newestRecords{newest})
			defer stop()
			time.Sleep(200 * time.Millisecond)
			showClock(state, 0)
			time.Sleep(4 * time.Second)
			if targetDisabled(state) {
				t.Errorf("clock wrong by %v: target out of rotation 4 s before the time limit", step)
			}
			time.Sleep(4800 * time.Millisecond)
			if !targetDisabled(state) {
				t.Errorf("clock wrong by %v: target on old weights still in rotation at the time limit", step)
			}
		})
	}
}

// Guards against targets on old weights that get work although nothing vouches for the age of the newer version: no target has told its clock
// to an instance that started. As soon as one does, the age is right.
func TestUnknownAgeOfVersionAllowsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newObserver(15 * time.Second)
		showClock(o.State, 0)
		o.run(time.Second, true, nil)
		o.newest.Store(2)
		o.read(nil)
		record := recordOf(t, o, 2)
		started := newObserver(15 * time.Second)
		started.newest.Store(2)
		started.run(maxClockDelay-200*time.Millisecond, true, record)
		if targetDisabled(started.State) {
			t.Error("target out of rotation while the instance still starts")
		}
		started.run(400*time.Millisecond, true, record)
		if !targetDisabled(started.State) {
			t.Error("target on old weights in rotation, though the age of the newer ones is unknown")
		}
		showClock(started.State, 0)
		if targetDisabled(started.State) {
			t.Error("target out of rotation seconds after the release, though the targets' clock is known")
		}
		if due := started.dueVersionRecords(); len(due) != 0 {
			t.Errorf("records %+v are due, though the version is recorded", due)
		}
	})
}

// Guards against a record that lets instances which start later take a version for younger than it is: it was written before the targets' clock was
// known, or that clock was set back since. An instance that has seen the release corrects it.
func TestRecordThatUnderstatesAgeIsCorrected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newObserver(15 * time.Second)
		o.run(time.Second, true, nil)
		o.newest.Store(2)
		seenAt := time.Now()
		o.read(nil)
		record := recordOf(t, o, 2)
		if due := find(o.dueVersionRecords(), 2); due == nil || due.ClockMillis != 0 {
			t.Fatalf("record %+v is due, want one without the targets' clock", due)
		}
		o.read(record)
		if due := find(o.dueVersionRecords(), 2); due != nil {
			t.Errorf("record %+v is due, though it would say no more", *due)
		}
		for i, ahead := range []time.Duration{0, -3 * time.Second} {
			showClock(o.State, ahead)
			due := find(o.dueVersionRecords(), 2)
			if due == nil {
				t.Fatalf("no record is due with the targets' clock ahead by %v", ahead)
			}
			if early := seenAt.Add(ahead).UnixMilli() - due.ClockMillis; early < 0 || early > 100 {
				t.Errorf("recorded as released %d ms early", early)
			}
			record = recordOf(t, o, 2)
			for key, item := range record {
				item.Revision = uint64(i + 2)
				record[key] = item
			}
			o.read(record)
			if due := find(o.dueVersionRecords(), 2); due != nil {
				t.Errorf("record %+v is due again", *due)
			}
		}
	})
}

// find returns the record of a version, nil if there is none.
func find(list []versionRecord, version int) *versionRecord {
	for i := range list {
		if list[i].Version == version {
			return &list[i]
		}
	}
	return nil
}

// clockEngines are engines whose reports state the clock of the test after some failures.
type clockEngines struct {
	Engines
	failures, calls int
}

func (e *clockEngines) Report(context.Context, string) (TargetReport, error) {
	e.calls++
	if e.calls <= e.failures {
		return TargetReport{}, context.DeadlineExceeded
	}
	return TargetReport{Clock: time.Now().UnixMilli()}, nil
}

// Guards against an instance that does not learn the targets' clock because its first call fails, and against one that goes on asking.
func TestClockIsReadAtTheStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newObserver(15 * time.Second)
		o.read(nil)
		engines := &clockEngines{failures: 2}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- (&ClockReader{State: o.State, Engines: engines}).Run(ctx) }()
		time.Sleep(time.Second)
		if !o.targetClock.known() || engines.calls != 3 {
			t.Errorf("clock known: %v, after %d reports, want 3", o.targetClock.known(), engines.calls)
		}
		time.Sleep(time.Minute)
		if engines.calls != 3 {
			t.Errorf("%d reports requested, want none once the clock is known", engines.calls)
		}
		cancel()
		if err := <-done; err != context.Canceled {
			t.Errorf("ended with %v", err)
		}
	})
}

// Guards against an age of a version by a record of another build, or by one that can't be read.
func TestInvalidVersionRecordIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newObserver(15 * time.Second)
		showClock(o.State, 0)
		key := versionKey("m", 1)
		o.read(map[string]metastore.Item{key: {Key: key, Value: []byte("{"), Revision: 4}})
		due := find(o.dueVersionRecords(), 1)
		if due == nil || due.revision != 4 || due.Model != "m" {
			t.Errorf("record %+v is due, want one that replaces that of revision 4", due)
		}
		if seen := o.versionHistory.All(); len(seen) != 1 || seen[0].Evidence != roster.Measured {
			t.Errorf("versions %+v", seen)
		}
	})
}
