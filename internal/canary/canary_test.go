package canary

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"
)

var testStart = time.Unix(1_700_000_000, 0)

// The sum over all instances must stay within the share, however many of them see few requests or restart.
func TestLimitersTogetherStayWithinShare(t *testing.T) {
	for _, instances := range []int{1, 3, 36, 660} {
		rng := rand.New(rand.NewPCG(uint64(instances), 1))
		limiters := make([]*Limiter, instances)
		for i := range limiters {
			limiters[i] = NewLimiter(rng)
		}
		const requests = 60_000
		exposed := 0
		for range requests {
			i := rng.IntN(instances)
			if rng.IntN(2000) == 0 {
				limiters[i] = NewLimiter(rng) // restarted
			}
			if limiters[i].Allow(fmt.Sprint("r", rng.IntN(3)), 0.02, 0.075) {
				exposed++
			}
		}
		if share := float64(exposed) / requests; share > 0.023 || share < 0.017 {
			t.Errorf("%d instances expose %.4f of the requests, want 0.02", instances, share)
		}
	}
}

func TestLimiterKeepsBound(t *testing.T) {
	l := NewLimiter(rand.New(rand.NewPCG(1, 1)))
	for n := 1; n <= 1000; n++ {
		l.Allow("r", 1, 0.05)
		if requests, exposed := l.Counts(); requests != n || float64(exposed) > 0.05*float64(n)+1 {
			t.Fatalf("%d of %d requests exposed", exposed, requests)
		}
	}
}

func testInstance(phase Phase) (*Instance, *Record) {
	i := NewInstance("s", rand.New(rand.NewPCG(1, 1)))
	r := &Record{Order: 5, Target: "v2", Old: []string{"v1"}, Phase: phase, StartedMs: 7, DeadlineMs: 12_007}
	i.Update(r, nil, []string{"v1", "v2"}, testStart)
	return i, r
}

func testPermit(phase Phase, token uint64, left time.Duration) *Permit {
	return &Permit{Token: token, Service: "s", Epoch: 7, Phase: phase, Share: 1, Bound: 1, LeftMs: left.Milliseconds(), TTLMs: 1000}
}

// An instance without a valid permit, or with stale metadata, sends nothing to the new version during the ramp.
func TestNothingIsExposedWithoutOwnerOrMetadata(t *testing.T) {
	i, _ := testInstance(PhaseRamp)
	if c := i.Choose("r", true, testStart); c.Exposed || !slices.Equal(c.Versions, []string{"v1"}) {
		t.Errorf("%+v without a permit", c)
	}
	i.TakePermit(testPermit(PhaseRamp, 3, 10*time.Second), testStart)
	if c := i.Choose("r", false, testStart); c.Exposed {
		t.Errorf("%+v with stale metadata", c)
	}
	c := i.Choose("r", true, testStart)
	if !c.Exposed || !slices.Equal(c.Versions, []string{"v2"}) {
		t.Fatalf("%+v with a permit", c)
	}
	k := Key{Version: "v2", Route: "r", Target: "t"}
	if a, ok := i.Begin(k, true, false, false, true, func() {}, testStart.Add(1100*time.Millisecond)); ok {
		t.Error("an attempt is sent after the permit has ended")
	} else {
		i.End(a, nil, testStart)
	}
	if i.TakePermit(testPermit(PhaseRamp, 2, 10*time.Second), testStart) {
		t.Error("the permit of an earlier owner is taken")
	}
	stop := testPermit(PhaseRamp, 3, 10*time.Second)
	stop.Stop = "bad"
	i.TakePermit(stop, testStart)
	if c := i.Choose("r", true, testStart); c.Exposed {
		t.Errorf("%+v after a stop", c)
	}
}

func TestPhases(t *testing.T) {
	for _, c := range []struct {
		phase          Phase
		allowed        []string
		resumeV1, toV2 bool
	}{
		{PhaseRamp, []string{"v1"}, true, true},
		{PhaseSwitch, []string{"v2"}, true, true},
		{PhaseDone, []string{"v2"}, false, true},
		{PhaseRolledBack, []string{"v1"}, true, false},
	} {
		i, _ := testInstance(c.phase)
		i.TakePermit(testPermit(c.phase, 1, 5*time.Second), testStart)
		if got := i.Allowed(true, testStart); !slices.Equal(got, c.allowed) {
			t.Errorf("%s: %v allowed, want %v", c.phase, got, c.allowed)
		}
		if i.MayResume("v1", testStart) != c.resumeV1 || i.MayResume("v2", testStart) != c.toV2 {
			t.Errorf("%s: streams go on at v1: %v, at v2: %v", c.phase, !c.resumeV1, !c.toV2)
		}
	}
}

// Near the deadline an instance that has lost the owner leaves the old targets by itself: done may be written without it.
func TestSilentInstanceLeavesOldTargetsBeforeDeadline(t *testing.T) {
	i, _ := testInstance(PhaseRamp)
	i.TakePermit(testPermit(PhaseRamp, 1, 3*time.Second), testStart)
	cut := false
	if _, ok := i.Begin(Key{Version: "v1", Route: "r"}, false, false, false, true, func() { cut = true }, testStart); !ok {
		t.Fatal("old target refused in the ramp")
	}
	i.Tick(testStart.Add(2 * time.Second))
	if got := i.Allowed(true, testStart.Add(2*time.Second)); !slices.Equal(got, []string{"v1"}) || cut {
		t.Errorf("%v one second before the deadline, cut %v", got, cut)
	}
	late := testStart.Add(2600 * time.Millisecond)
	i.Tick(late)
	if got := i.Allowed(true, late); !slices.Equal(got, []string{"v2"}) || !cut {
		t.Errorf("%v 0.4 s before the deadline, cut %v", got, cut)
	}
}

// A version that is new to an instance may be one for which an order is not known here yet.
func TestNewVersionIsNotUsedByStaleMetadata(t *testing.T) {
	i := NewInstance("s", rand.New(rand.NewPCG(1, 1)))
	i.Update(nil, nil, []string{"v1"}, testStart)
	i.Update(nil, nil, []string{"v1", "v2"}, testStart.Add(time.Second))
	now := testStart.Add(2 * time.Second)
	if got := i.Allowed(true, now); got != nil {
		t.Errorf("%v by fresh metadata without an order", got)
	}
	if got := i.Allowed(false, now); !slices.Equal(got, []string{"v1"}) {
		t.Errorf("%v by stale metadata", got)
	}
	i.Update(nil, &Order{Target: "v2", Revision: 9}, []string{"v1", "v2"}, now)
	if got := i.Allowed(true, now); !slices.Equal(got, []string{"v1"}) {
		t.Errorf("%v before the owner has begun", got)
	}
}

// An instance that alone sees clear evidence stops without waiting for the owner.
func TestInstanceStopsByItself(t *testing.T) {
	i, _ := testInstance(PhaseRamp)
	i.TakePermit(testPermit(PhaseRamp, 1, 10*time.Second), testStart)
	now := testStart
	for n := range 200 {
		now = now.Add(2 * time.Millisecond)
		version, failed := "v1", false
		if n%5 == 0 {
			version, failed = "v2", true
		}
		a, _ := i.Begin(Key{Version: version, Route: "r", Target: fmt.Sprint("t", n%3)}, true, false, false, true, func() {}, now)
		i.End(a, &Answer{Failed: failed, Total: time.Millisecond, First: time.Millisecond}, now)
	}
	if i.Stopped() == "" || i.Choose("r", true, now).Exposed {
		t.Error("an instance goes on although all answers of the new version fail")
	}
}

func TestBegin(t *testing.T) {
	order := func(target string, revision uint64) Order {
		return Order{Service: "s", Target: target, Ramp: 12 * time.Second, Revision: revision}
	}
	record := func(target string, phase Phase, old ...string) *Record {
		return &Record{Order: 5, Target: target, Phase: phase, Old: old, StartedMs: 1}
	}
	for _, c := range []struct {
		name     string
		order    Order
		before   *Record
		versions []string
		begins   bool
		phase    Phase
		old      []string
	}{
		{"first order", order("v2", 5), nil, []string{"v1", "v2"}, true, PhaseRamp, []string{"v1"}},
		{"no target", order("v2", 5), nil, []string{"v1"}, true, PhaseRamp, []string{"v1"}},
		{"all have the version", order("v2", 5), nil, []string{"v2"}, true, PhaseDone, nil},
		{"same order while running", order("v2", 9), record("v2", PhaseRamp, "v1"), []string{"v1", "v2"}, false, "", nil},
		{"same order after done", order("v2", 9), record("v2", PhaseDone, "v1"), []string{"v2"}, false, "", nil},
		{"same revision after rollback", order("v2", 5), record("v2", PhaseRolledBack, "v1"), []string{"v1", "v2"}, false, "", nil},
		{"same order again after rollback", order("v2", 9), record("v2", PhaseRolledBack, "v1"), []string{"v1", "v2"}, true, PhaseRamp, []string{"v1"}},
		{"another target in the ramp", order("v3", 9), record("v2", PhaseRamp, "v1"), []string{"v1", "v2", "v3"}, true, PhaseRamp, []string{"v1"}},
		{"another target in the switch", order("v3", 9), record("v2", PhaseSwitch, "v1"), []string{"v1", "v2", "v3"}, false, "", nil},
		{"another target after done", order("v3", 9), record("v2", PhaseDone, "v1"), []string{"v1", "v2", "v3"}, true, PhaseRamp, []string{"v2"}},
		{"back to the old version in the ramp", order("v1", 9), record("v2", PhaseRamp, "v1"), []string{"v1", "v2"}, true, PhaseDone, nil},
	} {
		r, begins := Begin(c.order, c.before, c.versions, testStart)
		if begins != c.begins || begins && (r.Phase != c.phase || !slices.Equal(r.Old, c.old) || r.Order != c.order.Revision) {
			t.Errorf("%s: %v, %+v", c.name, begins, r)
		}
	}
}

func TestMessages(t *testing.T) {
	r := &Report{Instance: "front-1", Incarnation: 1 << 63, Sequence: 8, Service: "s", Epoch: 7, Requests: 90, Exposed: 3, InFlightOld: 2, Sealed: true}
	for n := range 40 {
		c := Cell{Key: Key{Version: "v2", Route: "route", Target: fmt.Sprint("target-", n)}}
		c.Answers, c.Failed = 9, 2
		c.Latency[5], c.Latency[9], c.Durations[23], c.Waiting[0] = 4, 3, 9, 1
		r.Cells = append(r.Cells, c)
	}
	datagrams, err := EncodeReport(r, 1400)
	if err != nil || len(datagrams) < 2 {
		t.Fatalf("%d datagrams, %v", len(datagrams), err)
	}
	var cells []Cell
	for _, d := range datagrams {
		if len(d) > 1500 {
			t.Errorf("datagram of %d bytes", len(d))
		}
		m, err := Parse(d)
		if err != nil {
			t.Fatal(err)
		}
		cells = append(cells, m.Report.Cells...)
		m.Report.Cells = r.Cells
		if !reflect.DeepEqual(m.Report, r) {
			t.Errorf("%+v, want %+v", m.Report, r)
		}
	}
	if !reflect.DeepEqual(cells, r.Cells) {
		t.Error("cells differ")
	}
	p := testPermit(PhaseSwitch, 4, time.Second)
	raw, err := p.Encode()
	if m, parseErr := Parse(raw); err != nil || parseErr != nil || !reflect.DeepEqual(m.Permit, p) {
		t.Errorf("%+v, %v, %v", m, err, parseErr)
	}
	for _, bad := range []string{"", "V", "Vx{}", "Vp{}", `Vp{"s":"s","p":"other"}`, `Vp{"s":"s","p":"ramp","h":2}`, "Vr{}", `Vr{"i":"a","s":"s","c":[{"l":[23,1,1]}]}`, `Vr{"i":"a","s":"s","c":[{"a":1,"f":2}]}`, `K{}`} {
		if _, err := Parse([]byte(bad)); err == nil {
			t.Errorf("message %q is accepted", bad)
		}
	}
}

func TestRecordJSON(t *testing.T) {
	r := Record{Order: 3, Target: "v2", Old: []string{"v1"}, Phase: PhaseRamp, Share: 0.02, Reason: "text", StartedMs: 1, DeadlineMs: 2,
		Evidence: []Evidence{{Version: "v2", Route: "r", Answers: 10, Failed: 1}}}
	raw, err := r.Encode()
	const want = `{"order":3,"target":"v2","old":["v1"],"phase":"ramp","share":0.02,"reason":"text","started_ms":1,"deadline_ms":2,"evidence":[{"version":"v2","route":"r","answers":10,"failed":1,"slow":0}]}`
	if err != nil || string(raw) != want {
		t.Errorf("%s, %v", raw, err)
	}
	if got, err := ParseRecord(raw); err != nil || !reflect.DeepEqual(got, r) {
		t.Errorf("%+v, %v", got, err)
	}
	if _, err := ParseRecord([]byte(`{"target":"v2","phase":"later"}`)); err == nil {
		t.Error("an unknown phase is accepted")
	}
}

// One bad target among several is not a bad version, unless the bad answers are many; old versions that fail as well explain failures.
func TestJudgement(t *testing.T) {
	for _, c := range []struct {
		name             string
		oldFailed, old   int
		bad, n           []int // by target of the new version
		wantBad, wantOne bool
	}{
		{"clean", 0, 1000, []int{0, 0, 0}, []int{30, 30, 30}, false, false},
		{"one failure each", 0, 1000, []int{1, 1, 0}, []int{100, 100, 100}, false, false},
		{"all fail", 0, 1000, []int{2, 2, 1}, []int{2, 2, 1}, true, false},
		{"one target fails", 0, 1000, []int{9, 0, 0}, []int{20, 20, 20}, false, true},
		{"one target fails often", 0, 1000, []int{25, 0, 0}, []int{60, 60, 60}, true, false},
		{"old ones fail as well", 100, 1000, []int{5, 4, 4}, []int{30, 30, 30}, false, false},
		{"no answer of an old one", 0, 0, []int{4, 4, 4}, []int{8, 8, 8}, true, false},
	} {
		g := newGroup()
		for i, bad := range c.bad {
			g.add(Key{Target: fmt.Sprint(i)}, true, &Count{Failed: bad, Answers: c.n[i]})
		}
		v := g.failures(failureRate(c.oldFailed, c.old), cleanRate(c.oldFailed, c.old), decisive, len(c.bad))
		if v.bad != c.wantBad || (v.outlier != "") != c.wantOne {
			t.Errorf("%s: %+v", c.name, v)
		}
	}
}

// BenchmarkOwner measures one report of each of 660 instances of a service with 4 routes, and a decision after each.
func BenchmarkOwner(b *testing.B) {
	p := NewPolicy(Bounds{ExposeShare: 0.1, ExposeSlack: 50}, Start{
		Order: Order{Service: "s", Target: "v2", Ramp: 12 * time.Second}, Started: testStart, Deadline: testStart.Add(12 * time.Second), Phase: PhaseRamp, Fresh: true,
	}, testStart)
	in := Input{NewTargets: []string{"t0", "t1", "t2"}, OldTargets: 40}
	for i := range 660 {
		in.Instances = append(in.Instances, fmt.Sprint("front-", i))
	}
	bytes := 0
	now := testStart
	for n := range b.N {
		now = now.Add(time.Second / 550)
		r := &Report{Instance: in.Instances[n%660], Sequence: uint64(n), Service: "s", Requests: n / 660 * 20}
		for route := range 4 {
			for _, k := range []Key{{Version: "v1"}, {Version: "v2", Target: "t0"}, {Version: "v2", Target: "t1"}, {Version: "v2", Target: "t2"}} {
				c := Cell{Key: k}
				c.Route, c.Answers = fmt.Sprint("route", route), n/660
				c.Latency[8], c.Latency[11], c.Durations[9] = uint32(n/660), uint32(n/1320), uint32(n/660)
				r.Cells = append(r.Cells, c)
			}
		}
		datagrams, _ := EncodeReport(r, 1400)
		for _, d := range datagrams {
			bytes += len(d)
			m, err := Parse(d)
			if err != nil {
				b.Fatal(err)
			}
			p.Observe(m.Report, now)
		}
		if n%11 == 0 { // the shell decides each 20 ms
			p.Next(in, now)
		}
	}
	b.ReportMetric(float64(bytes)/float64(b.N), "B/report")
}

// Guards against a crash by a permit for a rollout whose record an instance does not have, or has no more: every rebuild of the view asks for the target
// version.
func TestPermitWithoutRecord(t *testing.T) {
	i, now := newTestInstance(), testStart
	forged := &Permit{Token: 1, Phase: PhaseRamp, Share: 1, TTLMs: 1000, LeftMs: 5000}
	if i.TakePermit(forged, now) || i.IsTarget("v2") {
		t.Error("permit without a record taken")
	}
	record := &Record{Order: 1, Target: "v2", Old: []string{"v1"}, Phase: PhaseRamp, StartedMs: 7, DeadlineMs: 9}
	i.Update(record, nil, []string{"v1", "v2"}, now)
	if !i.TakePermit(&Permit{Token: 1, Epoch: 7, Phase: PhaseRamp, Share: 1, TTLMs: 1000, LeftMs: 5000}, now) {
		t.Fatal("sound permit refused")
	}
	i.Update(nil, nil, []string{"v1", "v2"}, now)
	if i.IsTarget("v2") || i.Running() {
		t.Error("a rollout without a record runs")
	}
	i.Choose("r", true, now)
}

// Guards against requests at old targets that begin after the owner was told that nothing runs there: it may write done at any time from then on.
func TestNothingBeginsAtOldTargetsOnceReportedClosed(t *testing.T) {
	i, now := newTestInstance(), testStart
	i.Update(&Record{Order: 1, Target: "v2", Old: []string{"v1"}, Phase: PhaseSwitch, StartedMs: 7, DeadlineMs: 9}, nil, []string{"v1", "v2"}, now)
	i.TakePermit(&Permit{Token: 1, Epoch: 7, Phase: PhaseSwitch, Share: 1, TTLMs: 1000, LeftMs: 5000}, now)
	if !i.MayResume("v1", now) {
		t.Error("a stream of the old version may not go on in the switch")
	}
	if r, ok := i.Report(now); !ok || !r.Sealed || r.InFlightOld != 0 {
		t.Fatalf("report %+v, want one that is closed", r)
	}
	if i.MayResume("v1", now) {
		t.Error("a stream may go on at an old target after the report")
	}
}

// Guards against traffic for a version that was given up in its ramp once the version that replaced it is done.
func TestAbandonedVersionGetsNothing(t *testing.T) {
	first := Record{Order: 1, Target: "v2", Old: []string{"v1"}, Phase: PhaseRamp, StartedMs: 7, DeadlineMs: 9}
	second, ok := Begin(Order{Target: "v3", Revision: 2, Ramp: time.Second}, &first, []string{"v1", "v2", "v3"}, testStart)
	if !ok || !slices.Contains(second.Abandoned, "v2") {
		t.Fatalf("record %+v, want v2 abandoned", second)
	}
	second.Phase = PhaseDone
	i := newTestInstance()
	i.Update(&second, nil, []string{"v2", "v3"}, testStart)
	if allowed := i.Allowed(true, testStart); !slices.Equal(allowed, []string{"v3"}) {
		t.Errorf("allowed %v, want v3 only", allowed)
	}
}

func newTestInstance() *Instance { return NewInstance("s", rand.New(rand.NewPCG(1, 1))) }
