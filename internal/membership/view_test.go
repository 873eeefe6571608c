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

// configured has count targets, evenly in domains d0 and d1.
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

func listed(leaving int, present ...int) (list []platform.Instance) {
	for _, i := range present {
		list = append(list, platform.Instance{Name: name(i), Leaving: i == leaving})
	}
	return list
}

var all = []int{0, 1, 2, 3, 4, 5, 6, 7}

// ready returns a view in which every target takes new work.
func ready() *View {
	v := New(Options{})
	v.SetWorld(configured(-1, -1), start)
	v.SetList(listed(-1, all...), 1, start)
	for i := range count {
		v.Connected(name(i), true, start)
		v.Heard(name(i), Hello{Incarnation: 5}, start)
	}
	return v
}

func TestEachSourceTakesATargetOutAtOnce(t *testing.T) {
	for want, change := range map[Cause]func(*View){
		CauseDrained:     func(v *View) { v.SetWorld(configured(0, -1), start) },
		CauseLeaving:     func(v *View) { v.SetList(listed(0, all...), 2, start) },
		CauseStopping:    func(v *View) { v.Heard(name(0), Hello{Incarnation: 5, Stopping: true}, start) },
		CauseRefused:     func(v *View) { v.Refused(name(0), 5, start) },
		CauseUnconnected: func(v *View) { v.Connected(name(0), false, start) },
		CauseNone:        func(v *View) { v.Heard(name(0), Hello{Incarnation: 4, Stopping: true}, start) }, // replaced
	} {
		v := ready()
		change(v)
		if got := v.Cause(name(0), start); got != want {
			t.Errorf("cause %v, want %v", got, want)
		}
		if got := v.Cause(name(1), start); got != CauseNone {
			t.Errorf("the other domain is out by %v", got)
		}
	}
}

func TestListThatLosesManyIsDoubted(t *testing.T) {
	v := ready()
	v.SetList(listed(-1, 0, 1), 2, start)
	v.Connected(name(7), false, start) // really gone
	if v.Cause(name(6), start) != CauseNone || v.Cause(name(7), start) != CauseUnconnected {
		t.Fatalf("causes %v and %v", v.Cause(name(6), start), v.Cause(name(7), start))
	}
	later := start.Add(defaultMassDoubt)
	v.Snapshot(later)
	if got := v.Cause(name(6), later); got != CauseLeaving {
		t.Fatalf("cause %v after the loss has lasted", got)
	}
	v.SetList(listed(-1, all...), 1, later) // an older list
	if got := v.Cause(name(6), later); got != CauseLeaving {
		t.Fatalf("an older list brought it back: %v", got)
	}
}

func TestReturnedInstanceIsDoubtedLikeAnyOther(t *testing.T) {
	v := ready()
	v.SetList(listed(-1, all[1:]...), 2, start)
	v.SetList(listed(-1, all...), 3, start)
	v.SetList(nil, 4, start)
	if got := v.Cause(name(0), start); got != CauseNone {
		t.Fatalf("cause %v by an empty list", got)
	}
}

func TestNewIncarnationIsRamped(t *testing.T) {
	v := ready()
	old := v.Snapshot(start).Members[name(0)].Ramp
	old.Release(true)
	v.Heard(name(0), Hello{Incarnation: 6}, start)
	if got := v.Snapshot(start).Members[name(0)].Ramp.Bound(); got != 1 {
		t.Fatalf("bound %d", got)
	}
}

func TestReturnIsRamped(t *testing.T) {
	v := ready()
	old := v.Snapshot(start).Members[name(0)].Ramp
	for range defaultRampFull {
		old.Release(true)
	}
	v.SetWorld(configured(0, -1), start)
	v.SetWorld(configured(-1, -1), start.Add(time.Hour))
	r := v.Snapshot(start.Add(time.Hour)).Members[name(0)].Ramp
	old.Release(true) // late completions of before
	held := 0
	for held < count && r.TryAcquire() {
		held++
	}
	if held != 1 {
		t.Fatalf("given %d at once", held)
	}
	r.Release(false)
	if r.Bound() != 1 {
		t.Fatal("failed work raised the bound")
	}
	for range 3 {
		r.TryAcquire()
		r.Release(true)
	}
	if r.Bound() != 4 {
		t.Fatalf("bound %d", r.Bound())
	}
	r.TryAcquire()
	r.ReleaseRefused()
	if r.Bound() != 3 {
		t.Fatalf("bound %d after a refusal", r.Bound())
	}
	for range 4 { // a round, by which it rises by one
		r.TryAcquire()
		r.Release(true)
	}
	if r.Bound() != 4 {
		t.Fatalf("bound %d", r.Bound())
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
			t.Errorf("%v, want %v", got, want)
		}
	}
}

// input is one thing that a view is told.
type input struct {
	at       time.Time
	target   int
	works    *bool
	hello    *Hello
	refused  uint64
	list     []platform.Instance
	sequence uint64
	world    *world.World
}

// naiveIn scans the whole log for one target. It knows nothing of mass losses: lists in this test lose at most
// three of eight instances at once.
func naiveIn(log []input, target int, now time.Time) bool {
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
		case e.hello != nil && mine && e.hello.Incarnation >= incarnation:
			incarnation, stopping = e.hello.Incarnation, e.hello.Stopping
			if !stopping {
				refused = time.Time{}
			}
		case e.refused != 0 && mine && e.refused >= incarnation:
			refused = e.at.Add(defaultRefusalHold)
		}
	}
	return w.TakesNewWork(w.Targets[name(target)]) && works && !stopping && !leaving && !now.Before(refused)
}

func TestAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v, now := New(Options{MassMin: count}), start
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
				v.Connected(name(target), works, now)
				log = append(log, input{target: target, works: &works})
			},
			"hello": func(t *rapid.T) {
				target, h := pick.Draw(t, "target"), Hello{inc.Draw(t, "incarnation"), rapid.Bool().Draw(t, "stopping")}
				v.Heard(name(target), h, now)
				log = append(log, input{target: target, hello: &h})
			},
			"refused": func(t *rapid.T) {
				target, i := pick.Draw(t, "target"), inc.Draw(t, "incarnation")
				v.Refused(name(target), i, now)
				log = append(log, input{at: now, target: target, refused: i})
			},
			"pass": func(t *rapid.T) { now = now.Add(time.Duration(rapid.IntRange(1, 4).Draw(t, "s")) * time.Second) },
			"": func(t *rapid.T) {
				for i, s := 0, v.Snapshot(now); i < count; i++ {
					if got, want := s.Members[name(i)].Cause, naiveIn(log, i, now); (got == CauseNone) != want {
						t.Fatalf("%s: cause %v, naive in %v", name(i), got, want)
					}
				}
			},
		})
	})
}
