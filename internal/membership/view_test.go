package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/egrethoist/egrethoist/internal/platform"
	"github.com/egrethoist/egrethoist/internal/rapidtest"
	"github.com/egrethoist/egrethoist/internal/world"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { rapidtest.Main(m) }

const count = 8

var start = time.Unix(1_800_000_000, 0)

func name(i int) string { return fmt.Sprint("t", i) }

// configured returns a configuration with count targets, alternating between the failure domains d0 and d1. The given domain and
// target are drained; -1 drains none.
func configured(drainedDomain, drainedTarget int) *world.World {
	w := &world.World{FailureDomains: map[string]*world.FailureDomain{}, Targets: map[string]*world.Target{}}
	for d := range 2 {
		domain := fmt.Sprint("d", d)
		w.FailureDomains[domain] = &world.FailureDomain{Name: domain, Drained: d == drainedDomain}
	}
	for i := range count {
		w.Targets[name(i)] = &world.Target{Name: name(i), FailureDomain: fmt.Sprint("d", i%2), Drained: i == drainedTarget}
	}
	return w
}

// listed returns an instance list of the given targets, with one of them marked as leaving, or none if leaving is -1.
func listed(leaving int, present ...int) (list []platform.Instance) {
	for _, i := range present {
		list = append(list, platform.Instance{Name: name(i), Leaving: i == leaving})
	}
	return list
}

var all = []int{0, 1, 2, 3, 4, 5, 6, 7}

// ready returns a view in which every target accepts new work.
func ready() *View {
	v := New(Options{})
	v.SetWorld(configured(-1, -1), start)
	v.SetList(listed(-1, all...), 1, start)
	for i := range count {
		v.SetConnected(name(i), true, start)
		v.UpdateSidecar(name(i), SidecarReport{Incarnation: 5}, start)
	}
	return v
}

func TestEachSourceExcludesTargetAtOnce(t *testing.T) {
	for want, change := range map[Cause]func(*View){
		CauseDrained:     func(v *View) { v.SetWorld(configured(0, -1), start) },
		CauseLeaving:     func(v *View) { v.SetList(listed(0, all...), 2, start) },
		CauseStopping:    func(v *View) { v.UpdateSidecar(name(0), SidecarReport{Incarnation: 5, Stopping: true}, start) },
		CauseRefused:     func(v *View) { v.RecordRefusal(name(0), 5, start) },
		CauseUnconnected: func(v *View) { v.SetConnected(name(0), false, start) },
		CauseNone:        func(v *View) { v.UpdateSidecar(name(0), SidecarReport{Incarnation: 4, Stopping: true}, start) }, // an older incarnation is ignored
	} {
		v := ready()
		change(v)
		if got := v.Cause(name(0), start); got != want {
			t.Errorf("cause of the target %v, want %v", got, want)
		}
		if got := v.Cause(name(1), start); got != CauseNone {
			t.Errorf("a target of the other failure domain has cause %v, want none", got)
		}
	}
}

// Guards against a faulty list that stops the service: the loss of most instances must persist before it is accepted, while other
// sources still exclude targets at once.
func TestMassLossIsDelayed(t *testing.T) {
	v := ready()
	v.SetList(listed(-1, 0, 1), 2, start)
	v.SetConnected(name(7), false, start) // lost by both sources
	if v.Cause(name(6), start) != CauseNone || v.Cause(name(7), start) != CauseUnconnected {
		t.Fatalf("causes %v and %v, want none and unconnected", v.Cause(name(6), start), v.Cause(name(7), start))
	}
	later := start.Add(defaultMassLossDelay)
	v.Snapshot(later)
	if got := v.Cause(name(6), later); got != CauseLeaving {
		t.Fatalf("cause %v after the loss persisted, want leaving", got)
	}
	v.SetList(listed(-1, all...), 1, later) // an older list
	if got := v.Cause(name(6), later); got != CauseLeaving {
		t.Fatalf("cause %v after an older list, want leaving", got)
	}
}

// Guards against an instance that was removed and listed again and is then excluded at once by an empty list.
func TestMassLossDelayCoversReturnedInstance(t *testing.T) {
	v := ready()
	v.SetList(listed(-1, all[1:]...), 2, start)
	v.SetList(listed(-1, all...), 3, start)
	v.SetList(nil, 4, start)
	if got := v.Cause(name(0), start); got != CauseNone {
		t.Fatalf("cause %v after an empty list, want none", got)
	}
}

func TestNewIncarnationIsRamped(t *testing.T) {
	v := ready()
	old := v.Snapshot(start).Members[name(0)].Ramp
	old.Release(true)
	v.UpdateSidecar(name(0), SidecarReport{Incarnation: 6}, start)
	if got := v.Snapshot(start).Members[name(0)].Ramp.Limit(); got != 1 {
		t.Fatalf("limit %d of a new incarnation, want 1", got)
	}
}

// Checks the limit of a ramp after a drain: it starts at one, ignores the old ramp's and failed requests, doubles per round, and
// after a refusal rises by one per round.
func TestReincludedTargetIsRamped(t *testing.T) {
	v := ready()
	old := v.Snapshot(start).Members[name(0)].Ramp
	for range defaultRampLimit {
		old.Release(true)
	}
	v.SetWorld(configured(0, -1), start)
	v.SetWorld(configured(-1, -1), start.Add(time.Hour))
	r := v.Snapshot(start.Add(time.Hour)).Members[name(0)].Ramp
	old.Release(true) // work from before the exclusion completes late
	held := 0
	for held < count && r.TryAcquire() {
		held++
	}
	if held != 1 {
		t.Fatalf("%d requests in flight at the start, want 1", held)
	}
	r.Release(false)
	if r.Limit() != 1 {
		t.Fatal("a failed request raised the limit")
	}
	for range 3 {
		r.TryAcquire()
		r.Release(true)
	}
	if r.Limit() != 4 {
		t.Fatalf("limit %d, want 4", r.Limit())
	}
	r.TryAcquire()
	r.ReleaseRefused()
	if r.Limit() != 3 {
		t.Fatalf("limit %d after a refusal, want 3", r.Limit())
	}
	for range 4 { // one round of requests raises the limit by one
		r.TryAcquire()
		r.Release(true)
	}
	if r.Limit() != 4 {
		t.Fatalf("limit %d, want 4", r.Limit())
	}
}

func TestGateAtTheSidecar(t *testing.T) {
	in := configured(-1, -1)
	for want, g := range map[Cause]Gate{
		CauseNone:     {World: in, Target: name(0)},
		CauseUnknown:  {Target: name(0)},
		CauseDrained:  {World: configured(0, -1), Target: name(0)},
		CauseStopping: {World: in, Target: name(0), Stopping: true},
	} {
		if got := g.Check(); got != want {
			t.Errorf("cause %v, want %v", got, want)
		}
	}
}

// input is one call that changes a view.
type input struct {
	at       time.Time
	target   int
	works    *bool
	report   *SidecarReport
	refused  uint64
	list     []platform.Instance
	sequence uint64
	world    *world.World
}

// naiveEligible computes from the whole log whether a target is eligible. It does not model mass losses, as the lists of this test
// lose at most three of eight instances at once.
func naiveEligible(log []input, target int, now time.Time) bool {
	var w *world.World
	works, stopping, leaving, ever := false, false, false, false
	var incarnation, sequence uint64
	var refused time.Time
	for _, e := range log {
		mine := e.target == target
		switch {
		case e.world != nil:
			w = e.world
		case e.list != nil && e.sequence >= sequence:
			sequence = e.sequence
			leaving = ever
			for _, in := range e.list {
				if in.Name == name(target) {
					leaving, ever = in.Leaving, true
				}
			}
		case e.works != nil && mine:
			works = *e.works
		case e.report != nil && mine && e.report.Incarnation >= incarnation:
			incarnation, stopping = e.report.Incarnation, e.report.Stopping
			if !stopping {
				refused = time.Time{}
			}
		case e.refused != 0 && mine && e.refused >= incarnation:
			refused = e.at.Add(defaultRefusalHoldTime)
		}
	}
	return w.TakesNewWork(w.Targets[name(target)]) && works && !stopping && !leaving && !now.Before(refused)
}

// Compares the view with a simple reference implementation under random inputs.
func TestAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v, now := New(Options{MassLossMin: count}), start
		log := []input{{world: configured(-1, -1)}}
		v.SetWorld(log[0].world, now)
		pick := rapid.IntRange(0, count-1)
		inc := rapid.Uint64Range(1, 3)
		seq := uint64(0)
		t.Repeat(map[string]func(*rapid.T){
			"world": func(t *rapid.T) {
				w := configured(rapid.IntRange(-1, 1).Draw(t, "domain"), rapid.IntRange(-1, count-1).Draw(t, "target"))
				v.SetWorld(w, now)
				log = append(log, input{world: w})
			},
			"list": func(t *rapid.T) {
				seq += rapid.Uint64Range(0, 2).Draw(t, "newer")
				stated := seq - rapid.Uint64Range(0, min(1, seq)).Draw(t, "older")
				from := rapid.IntRange(0, 3).Draw(t, "missing")
				list := listed(pick.Draw(t, "leaving"), all[from:]...)
				v.SetList(list, stated, now)
				log = append(log, input{list: list, sequence: stated})
			},
			"connection": func(t *rapid.T) {
				target, works := pick.Draw(t, "target"), rapid.Bool().Draw(t, "works")
				v.SetConnected(name(target), works, now)
				log = append(log, input{target: target, works: &works})
			},
			"hello": func(t *rapid.T) {
				target, report := pick.Draw(t, "target"), SidecarReport{inc.Draw(t, "incarnation"), rapid.Bool().Draw(t, "stopping")}
				v.UpdateSidecar(name(target), report, now)
				log = append(log, input{target: target, report: &report})
			},
			"refused": func(t *rapid.T) {
				target, i := pick.Draw(t, "target"), inc.Draw(t, "incarnation")
				v.RecordRefusal(name(target), i, now)
				log = append(log, input{at: now, target: target, refused: i})
			},
			"pass": func(t *rapid.T) { now = now.Add(time.Duration(rapid.IntRange(1, 4).Draw(t, "s")) * time.Second) },
			"": func(t *rapid.T) {
				for i, s := 0, v.Snapshot(now); i < count; i++ {
					if got, want := s.Members[name(i)].Cause, naiveEligible(log, i, now); (got == CauseNone) != want {
						t.Fatalf("%s: cause %v, eligible by the reference %v", name(i), got, want)
					}
				}
			},
		})
	})
}
