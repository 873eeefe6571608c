package rollout

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

var epoch = time.Unix(1_800_000_000, 0)

// newTargets returns n idle targets on a weight version.
func newTargets(n, version int) []Target {
	list := make([]Target, n)
	for i := range list {
		list[i] = Target{ID: fmt.Sprintf("t%02d", i), Version: version, Idle: true}
	}
	return list
}

// simulate runs a whole roll-out with targets that take drain to finish their requests and load to load. It returns its
// duration, and the largest numbers of targets that were out of service and that loaded at once.
func simulate(t *testing.T, list []Target, newest int, drain, load time.Duration) (took time.Duration, out, loading int) {
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
		out = max(out, len(s.OutOfService))
		if !slices.ContainsFunc(list, func(tg Target) bool { return tg.Version < newest }) {
			return now.Sub(epoch), out, loading
		}
		for _, id := range s.OutOfService {
			if _, ok := leftAt[id]; !ok {
				leftAt[id] = now
			}
		}
		for _, id := range s.Load {
			i := slices.IndexFunc(list, func(tg Target) bool { return tg.ID == id })
			list[i].Busy = true
			doneAt[id] = now.Add(load)
			p.LoadOrdered(id, now)
		}
	}
	t.Fatal("the roll-out did not finish within an hour")
	return
}

// A roll-out must not load or take out of service more targets than its shares allow, and targets must drain while
// others load.
func TestRolloutIsBoundedAndPipelined(t *testing.T) {
	took, out, loading := simulate(t, newTargets(18, 1), 2, time.Second, 1800*time.Millisecond)
	if loading > 3 {
		t.Errorf("%d targets loaded at once, want 3 at most", loading)
	}
	if out > 6 {
		t.Errorf("%d targets out of service at once, want a third at most", out)
	}
	// Six rounds of loads, after the first targets have drained; the others drain during the loads.
	if maxDuration := time.Second + 6*(1800+200)*time.Millisecond; took > maxDuration {
		t.Errorf("took %v, want %v at most", took, maxDuration)
	}
}

// With a single target the shares round up to one, or it would never load.
func TestRolloutOfOneTarget(t *testing.T) {
	if _, out, loading := simulate(t, newTargets(1, 1), 2, 0, time.Second); out != 1 || loading != 1 {
		t.Errorf("out %d, loading %d, want 1 and 1", out, loading)
	}
}

// If a new version appears during a roll-out, the targets on the oldest weights go first.
func TestOldestWeightsFirst(t *testing.T) {
	list := newTargets(18, 1)
	for i := range 9 {
		list[i].Version = 2
	}
	s := New(Options{}).Next(list, 3, epoch)
	for _, id := range s.OutOfService {
		if id < "t09" {
			t.Errorf("%s, on version 2, is taken out before those on version 1", id)
		}
	}
}

// An order without an answer and without effect is sent again, but only after RetryInterval, as it may still be carried
// out.
func TestLostOrderIsRetriedLater(t *testing.T) {
	p := New(Options{})
	list := newTargets(1, 1)
	if s := p.Next(list, 2, epoch); len(s.Load) != 1 {
		t.Fatalf("orders %v, want one", s.Load)
	}
	p.LoadOrdered("t00", epoch)
	if s := p.Next(list, 2, epoch.Add(time.Second)); len(s.Load) != 0 {
		t.Error("order sent again within a second")
	}
	if s := p.Next(list, 2, epoch.Add(2*time.Second)); len(s.Load) != 1 {
		t.Error("order not sent again")
	}
}

// Targets that no longer exist must not keep their places out of service.
func TestRemovedTargetsAreDropped(t *testing.T) {
	p := New(Options{})
	p.Next(newTargets(2, 1), 2, epoch)
	if s := p.Next(nil, 2, epoch); len(s.OutOfService) != 0 {
		t.Errorf("out %v, want none", s.OutOfService)
	}
}

// A failure domain fails during a roll-out. The failed targets must not use up the places of those that can load. If
// all targets are unresponsive, the plan must not take all of them out of service.
func TestUnresponsiveTargetsYieldTheirPlaces(t *testing.T) {
	list := newTargets(12, 1)
	p := New(Options{})
	first := p.Next(list, 2, epoch)
	for _, id := range first.OutOfService[:2] {
		list[slices.IndexFunc(list, func(tg Target) bool { return tg.ID == id })].Unresponsive = true
	}
	second := p.Next(list, 2, epoch.Add(time.Second))
	if len(second.OutOfService) != len(first.OutOfService)+2 {
		t.Errorf("%d targets out of service with two unresponsive ones, want %d", len(second.OutOfService), len(first.OutOfService)+2)
	}
	for _, id := range second.Load {
		if slices.Contains(first.OutOfService[:2], id) {
			t.Errorf("unresponsive target %s is ordered to load", id)
		}
	}
	for i := range list {
		list[i].Unresponsive = true
	}
	for i := range 100 {
		if s := p.Next(list, 2, epoch.Add(time.Duration(i)*time.Second)); len(s.OutOfService) > len(list)/2 {
			t.Fatalf("%d of %d targets out of service, all unresponsive", len(s.OutOfService), len(list))
		}
	}
}

// Guards against a roll-out that is slower than the weights of its targets last, so that targets are without requests until they
// load: the number of loads at a time must follow from the time that is left, whatever the number of targets.
func TestRolloutEndsBeforeWeightsExpire(t *testing.T) {
	const timeLeft, drain, load = 13 * time.Second, time.Second, 1800 * time.Millisecond
	for n := 1; n <= 36; n++ {
		list := newTargets(n, 1)
		for i := range list {
			list[i].Expiry = epoch.Add(timeLeft)
		}
		if took, _, _ := simulate(t, list, 2, drain, load); took > timeLeft {
			t.Errorf("%d targets: took %v, their weights last for %v", n, took, timeLeft)
		}
	}
}

// Guards against targets that wait to load although they serve nothing: a rollout leader that was without power finds most targets
// beyond the time limit of their weights.
func TestExpiredTargetsAreLoadedSooner(t *testing.T) {
	const load = 1800 * time.Millisecond
	list := newTargets(10, 1)
	for i := range list {
		list[i].Expiry = epoch.Add(-time.Second)
	}
	took, _, loading := simulate(t, list, 2, 0, load)
	if maxDuration := 4*load + time.Second; took > maxDuration {
		t.Errorf("took %v, want four rounds of loads, %v, at most", took, maxDuration)
	}
	if loading > 4 {
		t.Errorf("%d of 10 targets loaded at once, want a third at most", loading)
	}
}

// Guards against a load time that is taken from loads of which this plan has not seen the beginning: a leader that takes over finds
// targets at the end of their loads, and would plan for far too few at once.
func TestLoadsOfAnEarlierLeaderDoNotCountAsShort(t *testing.T) {
	list := newTargets(10, 1)
	for i := range list {
		list[i].Expiry = epoch.Add(13 * time.Second)
	}
	p := New(Options{LoadTime: 2 * time.Second})
	list[0].Busy = true
	p.Next(list, 2, epoch)
	list[0].Busy, list[0].Version = false, 2
	p.Next(list, 2, epoch.Add(100*time.Millisecond))
	if s := p.Next(list, 2, epoch.Add(2*time.Second)); len(s.Load) < 2 {
		t.Errorf("%d orders after a load that ended within 100 ms, want at least 2: nine targets have 11 s", len(s.Load))
	}
}

// Guards against targets that have just loaded a superseded version and load again at once, while others wait whose weights expire sooner:
// versions are named faster than they are loaded.
func TestSupersededLoadGivesWayToOlderWeights(t *testing.T) {
	list := newTargets(12, 1)
	p := New(Options{})
	ordered := p.Next(list, 2, epoch).Load
	for _, id := range ordered {
		p.LoadOrdered(id, epoch)
		list[slices.IndexFunc(list, func(tg Target) bool { return tg.ID == id })].Busy = true
	}
	p.Next(list, 3, epoch.Add(time.Second))
	for i := range list {
		if list[i].Busy {
			list[i].Busy, list[i].Version = false, 2
		}
	}
	s := p.Next(list, 3, epoch.Add(2100*time.Millisecond))
	if len(s.Load) != len(ordered) {
		t.Errorf("orders %v, want %d", s.Load, len(ordered))
	}
	for _, id := range ordered {
		if slices.Contains(s.OutOfService, id) || slices.Contains(s.Load, id) {
			t.Errorf("%s, on version 2, is out of service again before the targets on version 1", id)
		}
	}
}

// Guards against targets that are out of service and expire last but get their order first, since they were taken out first.
func TestOldestWeightsLoadFirst(t *testing.T) {
	list := newTargets(6, 1)
	for i := range list {
		list[i].Version = 2 - i/5
	}
	p := New(Options{})
	p.TakeOver("t00", epoch.Add(-3*time.Second))
	p.TakeOver("t05", epoch.Add(-2*time.Second))
	if s := p.Next(list, 3, epoch); !slices.Equal(s.Load, []string{"t05"}) {
		t.Errorf("orders %v, want t05, the only one on version 1", s.Load)
	}
}

// Guards against a roll-out that takes more of the serving targets away because others do not answer: their weights expire whatever is
// loaded elsewhere.
func TestUnresponsiveTargetsDoNotHastenOthers(t *testing.T) {
	list := newTargets(12, 1)
	p := New(Options{})
	for i := range list {
		list[i].Expiry = epoch.Add(13 * time.Second)
		if i < 4 {
			list[i].Expiry, list[i].Idle, list[i].Unresponsive = epoch.Add(-time.Second), false, true
			p.TakeOver(list[i].ID, epoch.Add(-5*time.Second))
		}
	}
	if s := p.Next(list, 2, epoch); len(s.Load) > 2 {
		t.Errorf("%d loads ordered at once while four targets do not answer, want 2: eight targets have 13 s", len(s.Load))
	}
}
