// Package subset determines which entries keep connections to which sidecars, so that a large fleet does not need a
// connection between every pair. All instances compute the same result from the same lists, without communication.
//
// A connection exists if either side chooses it. Every target chooses a number of entries, spread evenly over the failure
// domains of its region. Every entry chooses a number of targets of each service, spread in the same way, and a few in other
// regions. The choices use rendezvous hashing within each failure domain, so that adding or removing an instance only affects
// the connections that it gains or loses and their replacements.
package subset

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/egrethoist/egrethoist/internal/mix64"
)

// Member is an entry, or a target of one service.
type Member struct {
	Name          string
	FailureDomain string
	Region        string
}

// Options set the number of connections that each side chooses. Zero fields take the defaults.
type Options struct {
	EntriesPerTarget int // entries in its own region that a target chooses
	TargetsPerEntry  int // targets of the service in its own region that an entry chooses
	RemotePerEntry   int // targets of the service in other regions that an entry chooses
}

// Defaults of Options.
const (
	defaultEntriesPerTarget = 18
	defaultTargetsPerEntry  = 6
	defaultRemotePerEntry   = 2
)

func (o Options) withDefaults() Options {
	o.EntriesPerTarget = cmp.Or(o.EntriesPerTarget, defaultEntriesPerTarget)
	o.TargetsPerEntry = cmp.Or(o.TargetsPerEntry, defaultTargetsPerEntry)
	o.RemotePerEntry = cmp.Or(o.RemotePerEntry, defaultRemotePerEntry)
	return o
}

// Fleet is an immutable index of the entries and of the targets of one service.
type Fleet struct {
	opts    Options
	entries domainsByRegion
	targets domainsByRegion
}

// NewFleet indexes the lists, which should only contain members that are expected to be alive.
func NewFleet(entries, targets []Member, o Options) *Fleet {
	return &Fleet{opts: o.withDefaults(), entries: groupByDomain(entries), targets: groupByDomain(targets)}
}

// domainsByRegion holds the members of each failure domain, by region and failure domain.
type domainsByRegion map[string]map[string][]hashedMember

// hashedMember is a member with the hash of its name.
type hashedMember struct {
	Member
	hash uint64
}

// groupByDomain groups members by region and failure domain.
func groupByDomain(members []Member) domainsByRegion {
	g := make(domainsByRegion)
	for _, m := range members {
		if g[m.Region] == nil {
			g[m.Region] = make(map[string][]hashedMember)
		}
		g[m.Region][m.FailureDomain] = append(g[m.Region][m.FailureDomain], hashedMember{m, xxhash.Sum64String(m.Name)})
	}
	return g
}

// Targets returns the targets to which an entry keeps connections, sorted by name. Targets for which dead returns true are
// excluded, and those that the entry chooses are replaced by the next in rank; a nil dead means that all targets are alive. A
// target that is dead only from this entry's point of view stays reachable through the other entries that it chooses.
func (f *Fleet) Targets(entry Member, dead func(name string) bool) []Member {
	chosen := make(map[string]Member)
	f.addChosenByTargets(entry, chosen)
	for name := range chosen {
		if dead != nil && dead(name) {
			delete(chosen, name)
		}
	}
	f.addChosenByEntry(entry, dead, chosen)
	out := make([]Member, 0, len(chosen))
	for _, m := range chosen {
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// addChosenByTargets adds the targets of the region that choose the entry: those for which it ranks high enough in its failure
// domain.
func (f *Fleet) addChosenByTargets(entry Member, chosen map[string]Member) {
	domains := f.entries[entry.Region]
	peers := domains[entry.FailureDomain]
	if len(peers) == 0 {
		return
	}
	quota := perDomain(f.opts.EntriesPerTarget, len(domains))
	self := xxhash.Sum64String(entry.Name)
	for _, targets := range f.targets[entry.Region] {
		for _, t := range targets {
			if ranksWithin(self, entry.Name, peers, t.hash, quota) {
				chosen[t.Name] = t.Member
			}
		}
	}
}

// ranksWithin reports whether fewer than quota peers rank above self in the rendezvous hashing for the key other. name breaks
// ties.
func ranksWithin(self uint64, name string, peers []hashedMember, other uint64, quota int) bool {
	if len(peers) <= quota {
		return true
	}
	own := mix64.Sum(self ^ other)
	above := 0
	for i := range peers {
		h := mix64.Sum(peers[i].hash ^ other)
		if h > own || h == own && peers[i].Name < name {
			above++
			if above >= quota {
				return false
			}
		}
	}
	return true
}

// addChosenByEntry adds the targets that the entry chooses, in its own region and in others.
func (f *Fleet) addChosenByEntry(entry Member, dead func(string) bool, chosen map[string]Member) {
	self := xxhash.Sum64String(entry.Name)
	local := f.targets[entry.Region]
	quota := perDomain(f.opts.TargetsPerEntry, len(local))
	for _, targets := range local {
		addHighestLive(self, targets, quota, dead, chosen)
	}
	var remote []hashedMember
	for region, domains := range f.targets {
		if region == entry.Region {
			continue
		}
		for _, targets := range domains {
			remote = append(remote, targets...)
		}
	}
	addHighestLive(self, remote, f.opts.RemotePerEntry, dead, chosen)
}

// addHighestLive adds the quota highest-ranked live targets.
func addHighestLive(self uint64, targets []hashedMember, quota int, dead func(string) bool, chosen map[string]Member) {
	live := targets
	if dead != nil {
		live = slices.DeleteFunc(slices.Clone(targets), func(t hashedMember) bool { return dead(t.Name) })
	}
	for _, t := range highestRanked(self, live, quota) {
		chosen[t.Name] = t.Member
	}
}

// highestRanked returns the quota highest-ranked members. It makes one pass and keeps the highest so far in order.
func highestRanked(self uint64, list []hashedMember, quota int) []hashedMember {
	if len(list) <= quota {
		return list
	}
	ranked := make([]hashedMember, 0, quota+1)
	for _, m := range list {
		i := len(ranked)
		for i > 0 && ranksAbove(self, m, ranked[i-1]) {
			i--
		}
		if i < quota {
			ranked = slices.Insert(ranked, i, m)[:min(len(ranked)+1, quota)]
		}
	}
	return ranked
}

// ranksAbove reports whether a ranks above b in the rendezvous hashing for the key other.
func ranksAbove(other uint64, a, b hashedMember) bool {
	ha, hb := mix64.Sum(other^a.hash), mix64.Sum(other^b.hash)
	return ha > hb || ha == hb && a.Name < b.Name
}

// perDomain divides a number of connections evenly among failure domains, rounded up.
func perDomain(total, domains int) int {
	return (total + max(domains, 1) - 1) / max(domains, 1)
}
