package rollout

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

var epoch = time.Unix(1_800_000_000, 0)

func targets(n, version int) []Target {
	list := make([]Target, n)
	for i := range list {
		list[i] = Target{ID: fmt.Sprintf("t%02d", i), Version: version, Idle: true}
	}
	return list
}

// play runs a whole roll-out against targets that take load to load and drain to finish their runs. It returns how long
// it took, and the most targets that were out and that loaded at once.
func play(t *testing.T, list []Target, newest int, drain, load time.Duration) (took time.Duration, out, loading int) {
	t.Helper()
	p := New(Options{})
	leftAt, doneAt := map[string]time.Time{}, map[string]time.Time{}
	const period = 100 * time.Millisecond
	for now := epoch; now.Before(epoch.Add(time.Hour)); now = now.Add(period) {
		busy := 0
		for i := range list {
			tg := &list[i]
			if done, ok := doneAt[tg.ID]; ok && !now.Before(done) {
				tg.Version, tg.Busy = newest, false
				delete(doneAt, tg.ID)
			}
			if tg.Busy {
				busy++
			}
			if left, ok := leftAt[tg.ID]; ok {
				tg.Idle = now.Sub(left) >= drain
			}
		}
		loading = max(loading, busy)
		s := p.Next(list, newest, now)
		out = max(out, len(s.Out))
		if !slices.ContainsFunc(list, func(tg Target) bool { return tg.Version < newest }) {
			return now.Sub(epoch), out, loading
		}
		for _, id := range s.Out {
			if _, ok := leftAt[id]; !ok {
				leftAt[id] = now
			}
		}
		for _, id := range s.Order {
			i := slices.IndexFunc(list, func(tg Target) bool { return tg.ID == id })
			list[i].Busy = true
			doneAt[id] = now.Add(load)
			p.Ordered(id, now)
		}
	}
	t.Fatal("never done")
	return
}

func TestRolloutIsBoundedAndPipelined(t *testing.T) {
	took, out, loading := play(t, targets(18, 1), 2, time.Second, 1800*time.Millisecond)
	if loading > 3 {
		t.Errorf("%d targets loaded at once, want 3 at most", loading)
	}
	if out > 6 {
		t.Errorf("%d targets out at once, want a third at most", out)
	}
	// Six rounds of loads, and the runs of the first before: draining overlaps with the loads.
	if most := time.Second + 6*(1800+200)*time.Millisecond; took > most {
		t.Errorf("took %v, want %v at most", took, most)
	}
}

func TestRolloutOfOneTarget(t *testing.T) {
	if _, out, loading := play(t, targets(1, 1), 2, 0, time.Second); out != 1 || loading != 1 {
		t.Errorf("out %d, loading %d, want 1 and 1", out, loading)
	}
}

// A version named while an earlier one is rolled out: those on the oldest weights come first.
func TestOldestWeightsFirst(t *testing.T) {
	list := targets(18, 1)
	for i := range 9 {
		list[i].Version = 2
	}
	s := New(Options{}).Next(list, 3, epoch)
	for _, id := range s.Out {
		if id < "t09" {
			t.Errorf("%s, on version 2, goes before those on version 1", id)
		}
	}
}

// An order that brought no answer and had no effect is given again, but not at once: it may still be carried out.
func TestOrderIsRepeatedLater(t *testing.T) {
	p := New(Options{})
	list := targets(1, 1)
	if s := p.Next(list, 2, epoch); len(s.Order) != 1 {
		t.Fatalf("orders %v, want one", s.Order)
	}
	p.Ordered("t00", epoch)
	if s := p.Next(list, 2, epoch.Add(time.Second)); len(s.Order) != 0 {
		t.Error("ordered again within a second")
	}
	if s := p.Next(list, 2, epoch.Add(2*time.Second)); len(s.Order) != 1 {
		t.Error("not ordered again")
	}
}

func TestTargetsThatAreGoneAreForgotten(t *testing.T) {
	p := New(Options{})
	p.Next(targets(2, 1), 2, epoch)
	if s := p.Next(nil, 2, epoch); len(s.Out) != 0 {
		t.Errorf("out %v, want none", s.Out)
	}
}

// Pattern: a failure domain dies in the middle of a roll-out. The dead targets must not take the places of those that can
// load, and a plan to which all are silent must not take all of them out of service.
func TestSilentTargetsGiveTheirPlacesToOthers(t *testing.T) {
	list := targets(12, 1)
	p := New(Options{})
	first := p.Next(list, 2, epoch)
	for _, id := range first.Out[:2] {
		list[slices.IndexFunc(list, func(tg Target) bool { return tg.ID == id })].Silent = true
	}
	second := p.Next(list, 2, epoch.Add(time.Second))
	if len(second.Out) != len(first.Out)+2 {
		t.Errorf("%d targets out with two silent ones, want %d", len(second.Out), len(first.Out)+2)
	}
	for _, id := range second.Order {
		if slices.Contains(first.Out[:2], id) {
			t.Errorf("silent target %s is told to load", id)
		}
	}
	for i := range list {
		list[i].Silent = true
	}
	for i := range 100 {
		if s := p.Next(list, 2, epoch.Add(time.Duration(i)*time.Second)); len(s.Out) > len(list)/2 {
			t.Fatalf("%d of %d targets out, all silent", len(s.Out), len(list))
		}
	}
}
