package orders

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/egrethoist/egrethoist/internal/engine"
	"github.com/egrethoist/egrethoist/internal/rapidtest"
	"github.com/egrethoist/egrethoist/internal/world"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { rapidtest.Main(m) }

var startTime = time.Unix(1_800_000_000, 0)

const loadDuration = 2 * time.Second

// simTarget simulates one target with its sidecar. The reconciler sees the state of the engine as of one step before.
type simTarget struct {
	reconciler     *Reconciler
	fitsTwo        bool
	actual         engine.LoadReport
	reported       engine.LoadReport
	loadingVersion string
	loadEnd        time.Time
	inFlight       []VersionInFlight
	slot           bool
	drained        bool
	fence          uint64
}

func newSimTarget(i int, fitsTwo bool, versions ...string) *simTarget {
	n := &simTarget{reconciler: New(Options{}), fitsTwo: fitsTwo}
	n.actual = engine.LoadReport{Incarnation: fmt.Sprint(i, " 0"), Versions: versions}
	n.reported = n.actual
	return n
}

// receiveOrder applies an order to the engine. It returns an error for an old fencing token, a load without room and an
// unload under a running request.
func (n *simTarget) receiveOrder(o engine.Order, now time.Time) error {
	if o.Fence < n.fence {
		return fmt.Errorf("fence %d after %d", o.Fence, n.fence)
	}
	n.fence = o.Fence
	switch o.Action {
	case engine.OrderLoadVersion:
		if !n.fitsTwo && len(n.actual.Versions) > 0 {
			return errors.New("no room for another version")
		}
		n.loadingVersion, n.loadEnd, n.actual.Loading = o.Version, now.Add(loadDuration), true
	case engine.OrderUnloadVersion:
		for _, r := range n.inFlight {
			if r.Version == o.Version && r.Requests > 0 {
				return errors.New("unloaded with requests in flight")
			}
		}
		n.actual.Versions = slices.DeleteFunc(slices.Clone(n.actual.Versions), func(v string) bool { return v == o.Version })
	}
	return nil
}

// advance updates the report and ends a load that is due.
func (n *simTarget) advance(now time.Time) {
	n.reported = n.actual
	n.reported.Versions = slices.Clone(n.actual.Versions)
	if n.actual.Loading && !now.Before(n.loadEnd) {
		n.actual.Loading = false
		n.actual.Versions = append(slices.Clone(n.actual.Versions), n.loadingVersion)
	}
}

func (n *simTarget) serves() bool { return !n.drained && len(n.actual.Versions) > 0 }

// fleet simulates targets that share loading slots, in steps of one second.
type fleet struct {
	targets []*simTarget
	slots   int
	now     time.Time
	desired Desired
}

func (f *fleet) slotsHeld() (n int) {
	for _, target := range f.targets {
		if target.slot {
			n++
		}
	}
	return n
}

func (f *fleet) loadsInFlight() (n int) {
	for _, target := range f.targets {
		if target.actual.Loading {
			n++
		}
	}
	return n
}

// step lets every sidecar take one step and returns the first error of an engine.
func (f *fleet) step(kvDown bool) error {
	f.now = f.now.Add(time.Second)
	for _, n := range f.targets {
		n.advance(f.now)
		d := f.desired
		d.FitsTwoVersions = n.fitsTwo
		s := n.reconciler.Next(d, Observed{Report: n.reported, InFlight: n.inFlight}, n.slot, f.now)
		n.drained = s.Drain
		switch s.Kind {
		case StepAcquireSlot:
			n.slot = !kvDown && f.slotsHeld() < f.slots
		case StepReleaseSlot:
			n.slot = false
		case StepSendOrder:
			if err := n.receiveOrder(s.Order, f.now); err != nil {
				return err
			}
		}
	}
	return nil
}

// A roll-out must not load more targets at once than there are slots, and all others must serve. Where an engine fits
// two versions, all targets must serve all the time.
func TestRolloutKeepsCapacity(t *testing.T) {
	for _, fitsTwo := range []bool{true, false} {
		f := &fleet{slots: 2, now: startTime, desired: Desired{Revision: 2, Version: "v2"}}
		for i := range 12 {
			f.targets = append(f.targets, newSimTarget(i, fitsTwo, "v1"))
		}
		seconds := 0
		for ; seconds < 200 && slices.ContainsFunc(f.targets, func(n *simTarget) bool { return !slices.Equal(n.actual.Versions, []string{"v2"}) }); seconds++ {
			if err := f.step(false); err != nil {
				t.Fatal(err)
			}
			serving, least := 0, len(f.targets)
			if !fitsTwo {
				least -= f.slots
			}
			for _, n := range f.targets {
				if n.serves() {
					serving++
				}
			}
			if serving < least || f.loadsInFlight() > f.slots {
				t.Fatalf("room for two %v: %d serve, %d load", fitsTwo, serving, f.loadsInFlight())
			}
		}
		t.Logf("room for two %v: 12 targets rolled out in %d s", fitsTwo, seconds)
		if seconds == 200 {
			t.Fatalf("room for two %v: not rolled out", fitsTwo)
		}
	}
}

// TestConvergesAfterFaults changes configuration, engines, requests and slots at random. No engine may get an order
// that it cannot carry out or that is out of date, no more targets may load than slots allow, and all converge after
// the faults end.
func TestConvergesAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{slots: 2, now: startTime, desired: Desired{Revision: 1, Version: "v1"}}
		fitsTwo := rapid.Bool().Draw(t, "both")
		for i := range 5 {
			f.targets = append(f.targets, newSimTarget(i, fitsTwo, "v1"))
		}
		restarts, down := 0, false
		targets := rapid.SampledFrom(f.targets)
		step := func(t *rapid.T) {
			loading := f.loadsInFlight()
			if err := f.step(down); err != nil {
				t.Fatal(err)
			}
			if f.loadsInFlight() > max(f.slots, loading) {
				t.Fatalf("%d load at once", f.loadsInFlight())
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"step": step,
			"outage": func(*rapid.T) {
				down = !down
			},
			"configure": func(t *rapid.T) {
				f.desired.Revision++
				f.desired.Version = rapid.SampledFrom([]string{"v1", "v2", "v3"}).Draw(t, "version")
			},
			"restart": func(t *rapid.T) {
				n := targets.Draw(t, "node")
				restarts++
				n.actual = engine.LoadReport{Incarnation: fmt.Sprint("again ", restarts)}
				n.inFlight, n.fence = nil, 0
			},
			"run": func(t *rapid.T) {
				n := targets.Draw(t, "node")
				if ready := n.reported.Versions; n.serves() && len(ready) > 0 && slices.Contains(n.actual.Versions, ready[0]) {
					n.inFlight = []VersionInFlight{{Version: ready[0], Requests: 1}}
				}
			},
			"end": func(t *rapid.T) { targets.Draw(t, "node").inFlight = nil },
		})
		down = false
		for _, n := range f.targets {
			n.inFlight = nil
		}
		for range 300 {
			step(t)
		}
		for _, n := range f.targets {
			if !slices.Equal(n.actual.Versions, []string{f.desired.Version}) || n.slot {
				t.Fatalf("holds %v, slot %v; want %v", n.actual.Versions, n.slot, f.desired.Version)
			}
		}
	})
}

// A sidecar that reads an earlier revision after a later one must not load back the old version.
func TestEarlierRevisionIsNotFollowed(t *testing.T) {
	r := New(Options{})
	o := Observed{Report: engine.LoadReport{Incarnation: "a", Versions: []string{"v2"}}}
	r.Next(Desired{Revision: 2, Version: "v2", FitsTwoVersions: true}, o, false, startTime)
	if s := r.Next(Desired{Revision: 1, Version: "v1", FitsTwoVersions: true}, o, true, startTime); s.Kind != StepWait {
		t.Fatalf("%+v", s)
	}
}

// A version that is lost after its load, by a restart or an unload, is loaded again without waiting for the load
// timeout.
func TestLostLoadIsRetriedAtOnce(t *testing.T) {
	desired := Desired{Revision: 1, Version: "v1", FitsTwoVersions: true}
	empty := Observed{Report: engine.LoadReport{Incarnation: "a"}}
	full := Observed{Report: engine.LoadReport{Incarnation: "a", Versions: []string{"v1"}}}
	again := Observed{Report: engine.LoadReport{Incarnation: "b"}}
	for name, seen := range map[string][]Observed{"restart": {again}, "unloaded by another": {full, empty}} {
		r := New(Options{})
		if s := r.Next(desired, empty, true, startTime); s.Kind != StepSendOrder {
			t.Fatalf("%s: %+v", name, s)
		}
		var s Step
		for _, o := range seen {
			s = r.Next(desired, o, true, startTime.Add(time.Second))
		}
		if s.Kind != StepSendOrder {
			t.Errorf("%s: %+v", name, s)
		}
	}
}

// When the configuration changes to room for one version, the old version is unloaded before the load.
func TestSingleVersionEngineUnloadsFirst(t *testing.T) {
	r := New(Options{})
	o := Observed{Report: engine.LoadReport{Incarnation: "a", Versions: []string{"v1"}}}
	if s := r.Next(Desired{Revision: 1, Version: "v1", FitsTwoVersions: true}, o, false, startTime); s.Kind != StepNone {
		t.Fatalf("%+v", s)
	}
	one := Desired{Revision: 2, Version: "v2"}
	if s := r.Next(one, o, true, startTime); s.Kind != StepSendOrder || s.Order.Action != engine.OrderUnloadVersion {
		t.Errorf("room for one version only: %+v", s)
	}
}

type recordingSender struct{ orders []engine.Order }

func (g *recordingSender) Give(_ context.Context, o engine.Order) error {
	g.orders = append(g.orders, o)
	return nil
}

type fixedSlot bool

func (p fixedSlot) Valid(time.Time) bool { return bool(p) }

// Orders with an old fencing token and loads without a valid slot must not reach a target, even if it checks neither
// itself.
func TestFencedSenderChecksFenceAndSlot(t *testing.T) {
	g := &recordingSender{}
	d := NewFencedSender(g)
	for _, c := range []struct {
		order engine.Order
		slot  LoadingSlot
		want  error
	}{
		{engine.Order{Fence: 2, Action: engine.OrderSetRole}, nil, nil},
		{engine.Order{Fence: 1, Action: engine.OrderSetRole}, nil, ErrStaleFence},
		{engine.Order{Fence: 2, Action: engine.OrderLoadVersion}, nil, ErrNoSlot},
		{engine.Order{Fence: 2, Action: engine.OrderLoadVersion}, fixedSlot(false), ErrNoSlot},
		{engine.Order{Fence: 2, Action: engine.OrderLoadVersion}, fixedSlot(true), nil},
	} {
		if err := d.Send(t.Context(), c.order, c.slot); !errors.Is(err, c.want) {
			t.Errorf("%+v: %v, want %v", c.order, err, c.want)
		}
	}
	if len(g.orders) != 2 {
		t.Fatalf("%d orders reached the target", len(g.orders))
	}
}

// A target offers only the desired version once it holds it, and otherwise only versions declared for its service.
func TestOfferedVersions(t *testing.T) {
	w := &world.World{
		Services: map[string]*world.Service{"s": {Name: "s", WeightVersion: "v2"}},
		WeightVersions: map[string]*world.WeightVersion{
			"v1": {Name: "v1", Service: "s"}, "v2": {Name: "v2", Service: "s"}, "x": {Name: "x", Service: "other"},
		},
	}
	for _, c := range []struct{ held, want []string }{
		{[]string{"v1", "v2"}, []string{"v2"}},
		{[]string{"v1"}, []string{"v1"}},
		{[]string{"v0", "x"}, nil},
	} {
		if got := OfferedVersions(w, "s", c.held); !slices.Equal(got, c.want) {
			t.Errorf("held %v: ready %v, want %v", c.held, got, c.want)
		}
	}
}
