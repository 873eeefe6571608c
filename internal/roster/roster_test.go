package roster

import (
	"testing"
	"time"

	"github.com/egrethoist/egrethoist/internal/catalog"
)

var epoch = time.Unix(1_800_000_000, 0)

const grace = 1800 * time.Millisecond

func newSnapshot(records ...Record) *Snapshot {
	f := &Snapshot{
		Catalog: catalog.New(1, catalog.Limits{}, nil, []catalog.Service{{Name: "s", ColdDuration: 3 * time.Second, ColdRequestRate: 20}}, nil, nil),
		Targets: map[string]Record{}, Evacuated: map[string]bool{},
	}
	for _, r := range records {
		f.Targets[r.ID] = r
	}
	return f
}

func record(id string) Record {
	return Record{ID: id, Service: "s", Address: "10.0.0.1:80", FailureDomain: "d1", Slots: 4, Born: epoch.UnixMilli()}
}

func usableCount(r *Roster) int { return len(r.Usable()) }

func TestLeavingTargetGetsNoWork(t *testing.T) {
	r := New(Options{ExpiryGrace: grace})
	leaving := record("a")
	leaving.Leaving = true
	r.Update(newSnapshot(leaving, record("b")), time.Time{}, epoch)
	if got := r.Usable(); len(got) != 1 || got[0].ID != "b" {
		t.Errorf("usable %v, want only b", got)
	}
}

// Guards against requests to a leaving target (DRAIN) whose earlier write of its record, which got no answer, is executed after the one by
// which it started leaving. Another incarnation under the same ID is a new target.
func TestLateWriteDoesNotMakeLeavingTargetUsable(t *testing.T) {
	r := New(Options{ExpiryGrace: grace})
	leaving := record("a")
	leaving.Leaving = true
	for i, rec := range []Record{record("a"), leaving, record("a")} {
		r.Update(newSnapshot(rec), time.Time{}, epoch.Add(time.Duration(i)*time.Second))
	}
	if got := r.Usable(); len(got) != 0 || !r.All()[0].Leaving {
		t.Errorf("usable %v after a late write, want none", got)
	}
	restarted := record("a")
	restarted.Born++
	r.Update(newSnapshot(restarted), time.Time{}, epoch.Add(10*time.Second))
	if usableCount(r) != 1 {
		t.Error("the next incarnation is not usable")
	}
}

func TestRemovedTargetIsDroppedAtOnce(t *testing.T) {
	r := New(Options{ExpiryGrace: grace})
	r.Update(newSnapshot(record("a")), time.Time{}, epoch)
	r.Update(newSnapshot(), time.Time{}, epoch.Add(time.Second))
	if usableCount(r) != 0 {
		t.Error("a removed target is still usable")
	}
}

// Guards against the loss of live targets whose records expire during an outage of the store: live targets write again within two
// seconds of its recovery. Targets that do not must be removed after the grace.
func TestRecordsExpiredInOutage(t *testing.T) {
	r := New(Options{ExpiryGrace: grace})
	r.Update(newSnapshot(record("a"), record("b")), time.Time{}, epoch)
	recoveredAt := epoch.Add(10 * time.Second)
	r.Update(newSnapshot(), recoveredAt, recoveredAt)
	if usableCount(r) != 2 {
		t.Fatalf("%d usable targets at the end of the outage, want 2", usableCount(r))
	}
	r.Update(newSnapshot(record("a")), recoveredAt, recoveredAt.Add(time.Second))
	if usableCount(r) != 2 {
		t.Fatalf("%d usable targets within the grace, want 2", usableCount(r))
	}
	r.Update(newSnapshot(record("a")), recoveredAt, recoveredAt.Add(grace))
	if got := r.Usable(); len(got) != 1 || got[0].ID != "a" || got[0].Expired {
		t.Errorf("usable %v after the grace, want only a", got)
	}
}

// Guards against a grace for records that are removed long after an outage.
func TestRemovalLongAfterOutageIsImmediate(t *testing.T) {
	r := New(Options{ExpiryGrace: grace})
	r.Update(newSnapshot(record("a")), time.Time{}, epoch)
	r.Update(newSnapshot(), epoch, epoch.Add(time.Minute))
	if usableCount(r) != 0 {
		t.Error("a removal a minute after an outage is treated as an expiry")
	}
}

func TestNewIncarnationIsCold(t *testing.T) {
	r := New(Options{})
	r.Update(newSnapshot(record("a")), time.Time{}, epoch)
	later := epoch.Add(time.Minute)
	restarted := record("a")
	restarted.Born = later.UnixMilli()
	r.Update(newSnapshot(restarted), time.Time{}, later)
	if until := r.Usable()[0].ColdUntil; until.Before(later.Add(3 * time.Second)) {
		t.Errorf("cold until %v after the restart, want at least 3s", until.Sub(later))
	}
}

func TestTargetTurnsColdAgain(t *testing.T) {
	r := New(Options{})
	r.Update(newSnapshot(record("a")), time.Time{}, epoch)
	later := epoch.Add(time.Minute)
	cold := record("a")
	cold.ColdFor = 5 * time.Second
	r.Update(newSnapshot(cold), time.Time{}, later)
	r.Update(newSnapshot(cold), time.Time{}, later.Add(2*time.Second)) // an unchanged record must not extend it
	if until := r.Usable()[0].ColdUntil; !until.Equal(later.Add(5 * time.Second)) {
		t.Errorf("cold until %v after the first record with ColdFor, want 5s", until.Sub(later))
	}
}

func TestEvacuatedDomain(t *testing.T) {
	r := New(Options{})
	r.Update(newSnapshot(record("a")), time.Time{}, epoch)
	evacuated := newSnapshot(record("a"))
	evacuated.Evacuated["d1"] = true
	r.Update(evacuated, time.Time{}, epoch.Add(10*time.Second))
	if usableCount(r) != 0 {
		t.Fatal("a target of an evacuated failure domain is usable")
	}
	evacuationEnd := epoch.Add(30 * time.Second)
	r.Update(newSnapshot(record("a")), time.Time{}, evacuationEnd)
	if usableCount(r) != 1 {
		t.Fatal("not usable after the end of the evacuation")
	}
	if until := r.Usable()[0].ColdUntil; until.Before(evacuationEnd.Add(3 * time.Second)) {
		t.Error("not cold after the end of the evacuation")
	}
}

func TestMinVersion(t *testing.T) {
	w := NewWeightVersions(10 * time.Second)
	w.Observe("m", 2, 0, Measured, epoch)
	w.Observe("m", 3, 0, Measured, epoch.Add(4*time.Second))
	for _, c := range []struct {
		after time.Duration
		want  int
	}{{9 * time.Second, 0}, {10 * time.Second, 2}, {14 * time.Second, 3}} {
		if got := w.MinVersion("m", epoch.Add(c.after)); got != c.want {
			t.Errorf("after %v: minimum version %d, want %d", c.after, got, c.want)
		}
	}
	if got := w.Expiry("m", 1); !got.Equal(epoch.Add(10 * time.Second)) {
		t.Errorf("version 1 expires %v after version 2 was first seen, want 10s", got.Sub(epoch))
	}
	if got := w.Expiry("m", 3); !got.IsZero() {
		t.Errorf("the newest version expires at %v", got)
	}
}

// Guards against a rollout timeout that starts again with each process: one that starts during a rollout must adopt the time at
// which other instances first saw the version.
func TestRolloutTimeoutSurvivesRestart(t *testing.T) {
	first := NewWeightVersions(10 * time.Second)
	first.Observe("m", 2, 0, Measured, epoch)
	restarted := epoch.Add(8 * time.Second)
	second := NewWeightVersions(10 * time.Second)
	second.Observe("m", 2, 0, Measured, restarted)
	for _, n := range first.All() {
		second.Observe(n.Model, n.Version, restarted.Sub(n.FirstSeen), n.Evidence, restarted)
	}
	if got := second.MinVersion("m", epoch.Add(10*time.Second)); got != 2 {
		t.Errorf("minimum version %d at the end of the rollout timeout, want 2", got)
	}
}

// Guards against an age that was estimated, or only bounded, and stays in force although the right one is known, and against the reverse.
func TestAgeByBetterEvidenceCounts(t *testing.T) {
	const age = 5 * time.Second
	for _, c := range []struct {
		first, second       Evidence
		firstAge, secondAge time.Duration
		want                time.Duration
	}{
		{Estimated, Measured, 2 * age, age, age},
		{Estimated, Measured, 0, age, age},
		{Measured, Estimated, age, 2 * age, age},
		{Bounded, Measured, 2 * age, age, age},
		{Bounded, Estimated, age, 2 * age, age},
		{Measured, Measured, age, age / 2, age},
		{Measured, Measured, age / 2, age, age},
	} {
		w := NewWeightVersions(10 * time.Second)
		w.Observe("m", 2, c.firstAge, c.first, epoch)
		w.Observe("m", 2, c.secondAge, c.second, epoch)
		if got := epoch.Add(10 * time.Second).Sub(w.Expiry("m", 1)); got != c.want {
			t.Errorf("%v %v, then %v %v: age %v, want %v", c.first, c.firstAge, c.second, c.secondAge, got, c.want)
		}
	}
}

// Guards against old weights that are used for too long because a version between them and the newest one was seen later than that.
func TestExpiryFollowsTheFirstOfAllNewerVersions(t *testing.T) {
	w := NewWeightVersions(10 * time.Second)
	w.Observe("m", 2, 0, Measured, epoch)
	w.Observe("m", 3, 4*time.Second, Measured, epoch)
	if got := w.Expiry("m", 1); !got.Equal(epoch.Add(6 * time.Second)) {
		t.Errorf("version 1 expires %v after version 2 was seen, want 6s", got.Sub(epoch))
	}
}

// Guards against a restarted instance that treats a warm fleet as cold, and so refuses most requests.
func TestLongRunningTargetIsWarmForANewInstance(t *testing.T) {
	r := New(Options{})
	now := epoch.Add(time.Minute)
	r.Update(newSnapshot(record("a")), time.Time{}, now)
	if until := r.Usable()[0].ColdUntil; until.After(now) {
		t.Errorf("cold for another %v, though started a minute ago", until.Sub(now))
	}
	young := record("b")
	young.Born = now.Add(-5 * time.Second).UnixMilli()
	r.Update(newSnapshot(young), time.Time{}, now)
	if until := r.Usable()[0].ColdUntil; until.Before(now.Add(3 * time.Second)) {
		t.Error("a target started five seconds ago counts as warm, though its clock may be skewed")
	}
}

// Guards against work sent by a record of a crashed target. Many targets crash and restart at their addresses, some for other
// services, while the records of their previous incarnations have not expired. The new targets reject work sent by the old
// records, so requests with a single attempt fail.
func TestSupersededTargetGetsNoWork(t *testing.T) {
	r := New(Options{ExpiryGrace: grace})
	r.Update(newSnapshot(record("old")), time.Time{}, epoch)
	next := record("next")
	next.Born = record("old").Born + 4000
	r.Update(newSnapshot(record("old"), next), time.Time{}, epoch.Add(4*time.Second))
	if got := r.Usable(); len(got) != 1 || got[0].ID != "next" {
		t.Errorf("usable %v, want only the later target", got)
	}
	if len(r.All()) != 2 {
		t.Error("the earlier target is not known any more; its connections must be closed only when its record expires")
	}
	// Records that can't be trusted or compared must not supersede others.
	for name, change := range map[string]func(*Record){
		"unknown service": func(n *Record) { n.Service = "unknown" },
		"no start time":   func(n *Record) { n.Born = 0 },
		"other address":   func(n *Record) { n.Address = "10.0.0.2:80" },
	} {
		r := New(Options{ExpiryGrace: grace})
		n := next
		change(&n)
		r.Update(newSnapshot(record("old"), n), time.Time{}, epoch)
		found := false
		for _, u := range r.Usable() {
			found = found || u.ID == "old"
		}
		if !found {
			t.Errorf("%s: superseded a live target", name)
		}
	}
}
