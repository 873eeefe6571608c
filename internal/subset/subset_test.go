package subset

import (
	"fmt"
	"testing"

	"github.com/cespare/xxhash/v2"
)

// Sizes of the largest planned fleet, expected in two years: 7 regions, 17 failure domains.
const (
	fleetEntries = 660
	fleetTargets = 3200
)

// failureDomains returns three failure domains for each of the first three regions and two for each of the other four.
func failureDomains() []Member {
	var out []Member
	for region := range 7 {
		n := 2
		if region < 3 {
			n = 3
		}
		for d := range n {
			out = append(out, Member{FailureDomain: fmt.Sprintf("r%d-%d", region, d), Region: fmt.Sprintf("r%d", region)})
		}
	}
	return out
}

// members returns n members, spread evenly over the failure domains.
func members(prefix string, n int) []Member {
	domains := failureDomains()
	out := make([]Member, n)
	for i := range out {
		out[i] = domains[i%len(domains)]
		out[i].Name = fmt.Sprintf("%s%04d", prefix, i)
	}
	return out
}

// connectionSet is a set of connections between entries and targets.
type connectionSet struct {
	all      map[[2]string]bool
	byEntry  map[string][]Member
	byTarget map[string][]Member
	load     map[string]float64 // load of each target if every entry spreads one unit evenly
}

// connect returns the connections to the targets that choose returns for each entry.
func connect(entries []Member, choose func(e Member) []Member) *connectionSet {
	g := &connectionSet{all: map[[2]string]bool{}, byEntry: map[string][]Member{}, byTarget: map[string][]Member{}, load: map[string]float64{}}
	for _, e := range entries {
		for _, t := range choose(e) {
			g.all[[2]string{e.Name, t.Name}] = true
			g.byEntry[e.Name] = append(g.byEntry[e.Name], t)
			g.byTarget[t.Name] = append(g.byTarget[t.Name], e)
		}
		for _, t := range g.byEntry[e.Name] {
			if t.Region == e.Region {
				g.load[t.Name] += 1 / float64(len(g.byEntry[e.Name]))
			}
		}
	}
	return g
}

// bothSides returns the connections that Fleet determines.
func bothSides(entries, targets []Member) *connectionSet {
	f := NewFleet(entries, targets, Options{})
	return connect(entries, func(e Member) []Member { return f.Targets(e, nil) })
}

// independent has every entry choose k targets of its region by rendezvous hashing. The targets choose none.
func independent(entries, targets []Member, k int) *connectionSet {
	local := map[string][]hashedMember{}
	for _, t := range targets {
		local[t.Region] = append(local[t.Region], hashedMember{t, xxhash.Sum64String(t.Name)})
	}
	return connect(entries, func(e Member) []Member {
		var out []Member
		for _, t := range highestRanked(xxhash.Sum64String(e.Name), local[e.Region], k) {
			out = append(out, t.Member)
		}
		return out
	})
}

// ring places the entries of a region evenly on a ring of its targets and connects each to the next k targets.
func ring(entries, targets []Member, k int) *connectionSet {
	local, position := map[string][]Member{}, map[string]int{}
	count := map[string]int{}
	for _, t := range targets {
		local[t.Region] = append(local[t.Region], t)
	}
	for _, e := range entries {
		position[e.Name] = count[e.Region]
		count[e.Region]++
	}
	return connect(entries, func(e Member) []Member {
		list := local[e.Region]
		start := position[e.Name] * len(list) / count[e.Region]
		var out []Member
		for i := range min(k, len(list)) {
			out = append(out, list[(start+i)%len(list)])
		}
		return out
	})
}

// degreeRange returns the minimum, maximum and mean number of connections per member.
func degreeRange(lists map[string][]Member, members []Member) (minimum, maximum int, mean float64) {
	minimum = 1 << 30
	for _, m := range members {
		n := len(lists[m.Name])
		minimum, maximum = min(minimum, n), max(maximum, n)
		mean += float64(n) / float64(len(members))
	}
	return minimum, maximum, mean
}

// imbalance returns the highest load of a target divided by the mean load.
func (g *connectionSet) imbalance(targets []Member) float64 {
	highest, sum := 0.0, 0.0
	for _, t := range targets {
		highest, sum = max(highest, g.load[t.Name]), sum+g.load[t.Name]
	}
	return highest / (sum / float64(len(targets)))
}

// minAfterDomainLoss returns the smallest number of entries that any target keeps after the loss of any one failure domain.
func (g *connectionSet) minAfterDomainLoss(targets []Member) int {
	lowest := 1 << 30
	for _, lost := range failureDomains() {
		for _, t := range targets {
			if t.FailureDomain == lost.FailureDomain {
				continue
			}
			n := 0
			for _, e := range g.byTarget[t.Name] {
				if e.FailureDomain != lost.FailureDomain {
					n++
				}
			}
			lowest = min(lowest, n)
		}
	}
	return lowest
}

// changed returns the number of connections that are in one of a and b only.
func changed(a, b *connectionSet) int {
	n := 0
	for e := range a.all {
		if !b.all[e] {
			n++
		}
	}
	for e := range b.all {
		if !a.all[e] {
			n++
		}
	}
	return n
}

// without returns a copy of the list without one element.
func without(list []Member, at int) []Member {
	return append(append([]Member{}, list[:at]...), list[at+1:]...)
}

// Guards, at the full fleet size, against too few or too many connections per target, against targets losing more than half
// of their chosen entries with a failure domain, and against one leaving instance changing the connections of many others.
func TestConnectionsAtFullSize(t *testing.T) {
	entries, targets := members("e", fleetEntries), members("t", fleetTargets)
	g := bothSides(entries, targets)
	least, most, mean := degreeRange(g.byTarget, targets)
	t.Logf("connections per target: %d to %d, mean %.1f", least, most, mean)
	if least < defaultEntriesPerTarget || mean > 2*defaultEntriesPerTarget {
		t.Errorf("a target has %d entries, mean %.1f; want at least %d", least, mean, defaultEntriesPerTarget)
	}
	_, most, mean = degreeRange(g.byEntry, entries)
	t.Logf("connections per entry: mean %.1f, most %d of %d", mean, most, fleetTargets)
	// A target may lose a third of its chosen entries with one of three domains, or half with one of two.
	if n := g.minAfterDomainLoss(targets); n < defaultEntriesPerTarget/2 {
		t.Errorf("after the loss of a failure domain a target keeps %d entries, want at least %d", n, defaultEntriesPerTarget/2)
	}
	// Removing a target changes its own connections and at most one more for each entry that chose it.
	gone := targets[1600]
	if n, own := changed(g, bothSides(entries, without(targets, 1600))), len(g.byTarget[gone.Name]); n > 2*own {
		t.Errorf("removing a target with %d connections changed %d", own, n)
	}
	lost := entries[330]
	if n, own := changed(g, bothSides(without(entries, 330), targets)), len(g.byEntry[lost.Name]); n > 2*own {
		t.Errorf("removing an entry with %d connections changed %d", own, n)
	}
}

// Guards against an entry being left with too few live targets, or with dead ones, when some targets are dead from its point
// of view only.
func TestDeadTargetsAreReplaced(t *testing.T) {
	entries, targets := members("e", 60), members("t", 400)
	f := NewFleet(entries, targets, Options{EntriesPerTarget: 1})
	for _, e := range entries[:10] {
		before := f.Targets(e, nil)
		dead := map[string]bool{before[0].Name: true, before[1].Name: true}
		after := f.Targets(e, func(name string) bool { return dead[name] })
		if len(after) < defaultTargetsPerEntry {
			t.Errorf("%s keeps %d of %d targets", e.Name, len(after), len(before))
		}
		for _, m := range after {
			if dead[m.Name] {
				t.Errorf("%s still chooses the dead target %s", e.Name, m.Name)
			}
		}
	}
}

// Guards against missing connections in a fleet that is small enough for all of them.
func TestSmallFleetIsFullyConnected(t *testing.T) {
	domains := []string{"lufkin", "nacogdoches", "jasper"}
	var entries, targets []Member
	for i := range 18 {
		m := Member{Name: fmt.Sprintf("planner-%d", i), FailureDomain: domains[i%3], Region: "etx"}
		targets = append(targets, m)
		if i < 3 {
			m.Name = fmt.Sprintf("entry-%d", i)
			entries = append(entries, m)
		}
	}
	g := bothSides(entries, targets)
	if len(g.all) != 3*18 {
		t.Errorf("%d connections, want %d", len(g.all), 3*18)
	}
}

// BenchmarkFleet compares the strategies at the full fleet size.
func BenchmarkFleet(b *testing.B) {
	strategies := []struct {
		name  string
		build func(entries, targets []Member) *connectionSet
	}{
		{"both-sides", bothSides},
		{"independent", func(e, t []Member) *connectionSet { return independent(e, t, 93) }},
		{"ring", func(e, t []Member) *connectionSet { return ring(e, t, 93) }},
	}
	entries, targets := members("e", fleetEntries), members("t", fleetTargets)
	for _, strategy := range strategies {
		b.Run(strategy.name, func(b *testing.B) {
			var g *connectionSet
			for b.Loop() {
				g = strategy.build(entries, targets)
			}
			leastT, mostT, _ := degreeRange(g.byTarget, targets)
			_, mostE, meanE := degreeRange(g.byEntry, entries)
			b.ReportMetric(float64(leastT), "target-least")
			b.ReportMetric(float64(mostT), "target-most")
			b.ReportMetric(meanE, "entry-mean")
			b.ReportMetric(float64(mostE), "entry-most")
			b.ReportMetric(g.imbalance(targets), "load-max/mean")
			b.ReportMetric(float64(g.minAfterDomainLoss(targets)), "least-after-loss")
			b.ReportMetric(float64(changed(g, strategy.build(without(entries, 330), targets))), "moved-entry")
			b.ReportMetric(float64(changed(g, strategy.build(entries, without(targets, 1600)))), "moved-target")
		})
	}
}

// BenchmarkServices measures the full fleet as nine services of equal size, with different Options.
func BenchmarkServices(b *testing.B) {
	const services = 9
	entries, targets := members("e", fleetEntries), members("t", fleetTargets)
	for _, o := range []Options{{18, 12, 3}, {18, 6, 2}, {12, 6, 2}, {12, 6, 1}, {9, 6, 1}} {
		b.Run(fmt.Sprintf("target=%d/entry=%d/remote=%d", o.EntriesPerTarget, o.TargetsPerEntry, o.RemotePerEntry), func(b *testing.B) {
			for b.Loop() {
				connections, most, fewest, least, imbalance := 0, 0, 1<<30, 1<<30, 0.0
				perEntry := map[string]int{}
				for s := range services {
					own := targets[s*fleetTargets/services : (s+1)*fleetTargets/services]
					f := NewFleet(entries, own, o)
					g := connect(entries, func(e Member) []Member { return f.Targets(e, nil) })
					connections += len(g.all)
					for _, e := range entries {
						perEntry[e.Name] += len(g.byEntry[e.Name])
						fewest = min(fewest, len(g.byEntry[e.Name]))
						most = max(most, perEntry[e.Name])
					}
					least = min(least, g.minAfterDomainLoss(own))
					imbalance = max(imbalance, g.imbalance(own))
				}
				b.ReportMetric(float64(connections)/fleetEntries, "entry-mean")
				b.ReportMetric(float64(most), "entry-most")
				b.ReportMetric(float64(fewest), "entry-least-of-service")
				b.ReportMetric(float64(least), "least-after-loss")
				b.ReportMetric(imbalance, "load-max/mean")
			}
		})
	}
}

// BenchmarkTargets measures how long one entry takes to determine its connections at the full fleet size.
func BenchmarkTargets(b *testing.B) {
	entries, targets := members("e", fleetEntries), members("t", fleetTargets)
	f := NewFleet(entries, targets, Options{})
	for b.Loop() {
		f.Targets(entries[0], nil)
	}
}
