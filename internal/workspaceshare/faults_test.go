package workspaceshare_test

import (
	"fmt"
	"testing"
	"time"
)

// Guards against shares that hold capacity back, and against a bound on the deviation from the max-min share that is wrong for
// some mix of workspaces: alone, all beyond their shares alike, two beyond it by different factors, and many of unequal size.
func TestDeviationFromFairShare(t *testing.T) {
	unequal := func() (list []*workspace) {
		for i := range 100 {
			list = append(list, &workspace{name: fmt.Sprint("w", i), rate: 1.3 * capacity / 5.19 / float64(i+1)})
		}
		return list
	}
	for name, c := range map[string]struct {
		workspaces func() []*workspace
		bound      float64
	}{
		"alone":     {func() []*workspace { return []*workspace{{name: "w", rate: 2 * capacity}} }, 0.01},
		"all alike": {func() []*workspace { return even(24, 1.5) }, 0.25},
		"two beyond": {func() []*workspace {
			return append(even(20, 0.9), &workspace{name: "a", rate: capacity / 2}, &workspace{name: "b", rate: capacity / 4})
		}, 0.25},
		"unequal":     {unequal, 0.25},
		"enough room": {func() []*workspace { return append(even(12, 1), &workspace{name: "a", rate: capacity * 0.4}) }, 0.01},
	} {
		for _, n := range []int{3, 12, 68} {
			f := newFleet(n, 3, c.workspaces()...)
			f.run(30*time.Second, false)
			f.run(60*time.Second, true)
			worst := maxDeviation(f.workspaces)
			t.Logf("%s, %d instances: deviation %.1f %%, refused %.1f %%, idle %.2f %%", name, n, 100*worst, 100*refusedFraction(f.workspaces), 100*f.idle/capacity/60)
			if worst > c.bound {
				t.Errorf("%s, %d instances: deviation %.3f, want at most %.2f", name, n, worst, c.bound)
			}
			if name != "enough room" && f.idle > 0.02*capacity*60 {
				t.Errorf("%s, %d instances: %.0f work of capacity was not used", name, n, f.idle)
			}
		}
	}
}

// Guards against refusals of workspaces inside their shares while a part of the instances is cut off, all have lost their
// knowledge, or the large workspace has just begun.
func TestInsideShareIsServedDuringFaults(t *testing.T) {
	for name, fault := range map[string]func(f *fleet){
		"a third cut off": func(f *fleet) {
			for i := 0; i < len(f.instances); i += 3 {
				f.instances[i].cut = true
			}
		},
		"all cut off": func(f *fleet) {
			for _, in := range f.instances {
				in.cut = true
			}
		},
		"all restarted": func(f *fleet) {
			for _, in := range f.instances {
				in.restart()
			}
		},
		"large begins": func(f *fleet) { f.workspaces[len(f.workspaces)-1].rate *= 100 },
	} {
		for _, n := range []int{3, 12, 68} {
			small, large := even(23, 0.95), &workspace{name: "large", rate: 3 * capacity / 24}
			// Until instances know the others again, overload control alone decides: it refuses 7 to 8 %.
			bounds := map[time.Duration]float64{10 * time.Second: 0.04, 50 * time.Second: 0.01}
			if name == "large begins" {
				large.rate /= 100
			}
			f := newFleet(n, 5, append(small, large)...)
			f.run(30*time.Second, false)
			fault(f)
			for _, window := range []time.Duration{10 * time.Second, 50 * time.Second} {
				f.run(window, true)
				refused := refusedFraction(small)
				t.Logf("%s, %d instances, next %v: refused inside %.2f %%, large %.1f %%", name, n, window, 100*refused, 100*refusedFraction([]*workspace{large}))
				if refused >= bounds[window] {
					t.Errorf("%s, %d instances: refused %.4f of workspaces inside their shares in the next %v", name, n, refused, window)
				}
			}
		}
	}
}

// Guards against bounded messages that take workspaces they leave out for idle: 4,600 workspaces are nine times as many as fit.
func TestManyWorkspaces(t *testing.T) {
	small, large := even(4600, 0), &workspace{name: "large", rate: 0.4 * capacity}
	for i, w := range small {
		w.rate = 0.8 * capacity / 4600 * float64(1+i%3) / 2
	}
	f := newFleet(12, 8, append(small, large)...)
	f.run(20*time.Second, false)
	f.run(30*time.Second, true)
	refused := refusedFraction(small)
	t.Logf("refused inside %.2f %%, large %.1f %%, idle %.2f %%", 100*refused, 100*refusedFraction([]*workspace{large}), 100*f.idle/capacity/30)
	if refused >= 0.01 {
		t.Errorf("refused %.4f of workspaces inside their shares", refused)
	}
}

// Guards against a less urgent kind being served more often than a more urgent one: because the workspace of the less urgent one
// is inside its share, or because shares ignore kinds where all workspaces send both. In the second case workspaces inside their
// shares must still be served.
func TestUrgencyHoldsBetweenShares(t *testing.T) {
	for name, mixed := range map[string]bool{"large is more urgent": false, "all send both": true} {
		for _, n := range []int{3, 12, 68} {
			small, large := even(23, 0.95), []*workspace{{name: "large", rate: 3 * capacity / 24}}
			urgent, others := large, small
			if mixed {
				var smallUrgent []*workspace
				for _, w := range small {
					w.rate /= 2
					smallUrgent = append(smallUrgent, &workspace{name: w.name, rate: w.rate, urgency: 0})
				}
				large[0].rate /= 2
				urgent = append(smallUrgent, large[0])
				others = append(append([]*workspace{}, small...), &workspace{name: "large", rate: large[0].rate, urgency: 1})
				small = append(small, smallUrgent...)
			}
			for _, w := range others {
				w.urgency = 1
			}
			f := newFleet(n, 6, append(urgent, others...)...)
			f.run(30*time.Second, false)
			f.run(60*time.Second, true)
			less, more, inside := refusedFraction(others), refusedFraction(urgent), refusedFraction(small)
			t.Logf("%s, %d instances: refused: less urgent %.2f %%, more urgent %.2f %%, inside shares %.2f %%", name, n, 100*less, 100*more, 100*inside)
			if less < more || mixed && inside >= 0.01 {
				t.Errorf("%s, %d instances: refused %.4f of the less and %.4f of the more urgent, %.4f inside shares", name, n, less, more, inside)
			}
		}
	}
}
