package roster

import (
	"testing"
	"time"

	"github.com/egrethoist/egrethoist/internal/catalog"
)

var epoch = time.Unix(1_800_000_000, 0)

const grace = 1800 * time.Millisecond

func facts(records ...Record) *Facts {
	f := &Facts{
		Catalog: catalog.New(1, catalog.Limits{}, nil, []catalog.Service{{Name: "s", ColdTime: 3 * time.Second, ColdPerSecond: 20}}, nil, nil),
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

func usable(r *Roster) int { return len(r.Usable()) }

func TestLeavingTargetGetsNoWork(t *testing.T) {
	r := New(Options{LapseGrace: grace})
	leaving := record("a")
	leaving.Leaving = true
	r.Update(facts(leaving, record("b")), time.Time{}, epoch)
	if got := r.Usable(); len(got) != 1 || got[0].ID != "b" {
		t.Errorf("usable %v, want b alone", got)
	}
}

func TestRemovedTargetIsDroppedAtOnce(t *testing.T) {
	r := New(Options{LapseGrace: grace})
	r.Update(facts(record("a")), time.Time{}, epoch)
	r.Update(facts(), time.Time{}, epoch.Add(time.Second))
	if usable(r) != 0 {
		t.Error("a removed target is still used")
	}
}

// Records that lapse while the store is away come back within two seconds of its return, or their targets are gone.
func TestRecordsLapsedInOutage(t *testing.T) {
	r := New(Options{LapseGrace: grace})
	r.Update(facts(record("a"), record("b")), time.Time{}, epoch)
	back := epoch.Add(10 * time.Second)
	r.Update(facts(), back, back)
	if usable(r) != 2 {
		t.Fatalf("%d targets just after the outage, want 2", usable(r))
	}
	r.Update(facts(record("a")), back, back.Add(time.Second))
	if usable(r) != 2 {
		t.Fatalf("%d targets within the grace, want 2", usable(r))
	}
	r.Update(facts(record("a")), back, back.Add(grace))
	if got := r.Usable(); len(got) != 1 || got[0].ID != "a" || got[0].Lapsed {
		t.Errorf("usable %v after the grace, want a alone", got)
	}
}

func TestRemovalLongAfterOutageHoldsAtOnce(t *testing.T) {
	r := New(Options{LapseGrace: grace})
	r.Update(facts(record("a")), time.Time{}, epoch)
	r.Update(facts(), epoch, epoch.Add(time.Minute))
	if usable(r) != 0 {
		t.Error("a removal a minute after an outage is taken for a lapse")
	}
}

func TestNewIncarnationIsCold(t *testing.T) {
	r := New(Options{})
	r.Update(facts(record("a")), time.Time{}, epoch)
	later := epoch.Add(time.Minute)
	again := record("a")
	again.Born = later.UnixMilli()
	r.Update(facts(again), time.Time{}, later)
	if until := r.Usable()[0].ColdUntil; until.Before(later.Add(3 * time.Second)) {
		t.Errorf("cold until %v, want three seconds after the restart", until.Sub(later))
	}
}

func TestTargetTurnsColdAgain(t *testing.T) {
	r := New(Options{})
	r.Update(facts(record("a")), time.Time{}, epoch)
	later := epoch.Add(time.Minute)
	cold := record("a")
	cold.ColdFor = 5 * time.Second
	r.Update(facts(cold), time.Time{}, later)
	r.Update(facts(cold), time.Time{}, later.Add(2*time.Second)) // the same record does not prolong it
	if until := r.Usable()[0].ColdUntil; !until.Equal(later.Add(5 * time.Second)) {
		t.Errorf("cold until %v after the record, want 5s", until.Sub(later))
	}
}

func TestEvacuatedDomain(t *testing.T) {
	r := New(Options{})
	r.Update(facts(record("a")), time.Time{}, epoch)
	out := facts(record("a"))
	out.Evacuated["d1"] = true
	r.Update(out, time.Time{}, epoch.Add(10*time.Second))
	if usable(r) != 0 {
		t.Fatal("a target of an evacuated domain is used")
	}
	back := epoch.Add(30 * time.Second)
	r.Update(facts(record("a")), time.Time{}, back)
	if usable(r) != 1 {
		t.Fatal("not used after the evacuation was taken back")
	}
	if until := r.Usable()[0].ColdUntil; until.Before(back.Add(3 * time.Second)) {
		t.Error("not cold after the evacuation")
	}
}

func TestWeightsLeast(t *testing.T) {
	w := NewWeights(10 * time.Second)
	w.Saw("m", 2, 0, epoch)
	w.Saw("m", 3, 0, epoch.Add(4*time.Second))
	for _, c := range []struct {
		after time.Duration
		want  int
	}{{9 * time.Second, 0}, {10 * time.Second, 2}, {14 * time.Second, 3}} {
		if got := w.Least("m", epoch.Add(c.after)); got != c.want {
			t.Errorf("after %v: least %d, want %d", c.after, got, c.want)
		}
	}
	if got := w.Expiry("m", 1); !got.Equal(epoch.Add(10 * time.Second)) {
		t.Errorf("version 1 expires %v after version 2 was named, want 10s", got.Sub(epoch))
	}
	if got := w.Expiry("m", 3); !got.IsZero() {
		t.Errorf("the newest version expires at %v", got)
	}
}

// A process that starts during a roll-out learns from the others for how long the version has been named.
func TestWeightsLearnAge(t *testing.T) {
	first := NewWeights(10 * time.Second)
	first.Saw("m", 2, 0, epoch)
	restarted := epoch.Add(8 * time.Second)
	second := NewWeights(10 * time.Second)
	second.Saw("m", 2, 0, restarted)
	for _, n := range first.All() {
		second.Saw(n.Model, n.Version, n.Age(restarted), restarted)
	}
	if got := second.Least("m", epoch.Add(10*time.Second)); got != 2 {
		t.Errorf("least %d at the bound, want 2", got)
	}
}

// An instance that restarts must not treat a fleet that has long been warm as cold: it would refuse most of its callers.
func TestLongRunningTargetIsWarmForANewInstance(t *testing.T) {
	r := New(Options{})
	now := epoch.Add(time.Minute)
	r.Update(facts(record("a")), time.Time{}, now)
	if until := r.Usable()[0].ColdUntil; until.After(now) {
		t.Errorf("cold for %v more, started a minute ago", until.Sub(now))
	}
	young := record("b")
	young.Born = now.Add(-5 * time.Second).UnixMilli()
	r.Update(facts(young), time.Time{}, now)
	if until := r.Usable()[0].ColdUntil; until.Before(now.Add(3 * time.Second)) {
		t.Error("a target started five seconds ago by a clock that may be off counts as warm")
	}
}

// Pattern: many targets crash and start again at their addresses, some for other services, while the records of their
// former lives have not lapsed. Work sent by those is turned away, and callers with one attempt are refused.
func TestFormerLifeAtTheSameAddressGetsNoWork(t *testing.T) {
	r := New(Options{LapseGrace: grace})
	r.Update(facts(record("old")), time.Time{}, epoch)
	next := record("next")
	next.Born = record("old").Born + 4000
	r.Update(facts(record("old"), next), time.Time{}, epoch.Add(4*time.Second))
	if got := r.Usable(); len(got) != 1 || got[0].ID != "next" {
		t.Errorf("usable %v, want the later one alone", got)
	}
	if len(r.All()) != 2 {
		t.Error("the former one must stay known, so that its connections are closed with its record")
	}
	// Records that nobody vouches for displace nothing.
	for name, change := range map[string]func(*Record){
		"unknown service": func(n *Record) { n.Service = "unknown" },
		"no start time":   func(n *Record) { n.Born = 0 },
		"other address":   func(n *Record) { n.Address = "10.0.0.2:80" },
	} {
		r := New(Options{LapseGrace: grace})
		n := next
		change(&n)
		r.Update(facts(record("old"), n), time.Time{}, epoch)
		found := false
		for _, u := range r.Usable() {
			found = found || u.ID == "old"
		}
		if !found {
			t.Errorf("%s: displaced a live target", name)
		}
	}
}
