// Package delegate chooses the few instances of a failure domain that do a thing for all of its instances, such as watching
// the metadata store. All instances that know the same members choose alike without a message, and when a member comes or goes
// few of the choices change. It has no I/O, clock or globals.
package delegate

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Duty is a thing that delegates do; each has delegates of its own.
type Task string

// Duties of delegates.
const (
	WatchMetadata  Task = "watch metadata"
	AggregateLoads Task = "sum loads"
)

// perDomain is the number of delegates of a failure domain: one may be down.
const delegatesPerDomain = 2

// Member is a live instance.
type Member struct {
	Name, Domain string
	Address      string // IP:port for the other instances
}

// Choose returns the delegates of a failure domain, the first one first; fewer if the domain has fewer members.
func Choose(task Task, domain string, members []Member) []Member {
	type ranked struct {
		Member
		hash uint64
	}
	var list []ranked
	for _, m := range members {
		if m.Domain == domain && m.Address != "" {
			list = append(list, ranked{m, xxhash.Sum64String(string(task) + "\x00" + m.Name)})
		}
	}
	slices.SortFunc(list, func(a, b ranked) int { return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.Name, b.Name)) })
	out := make([]Member, 0, delegatesPerDomain)
	for _, r := range list[:min(len(list), delegatesPerDomain)] {
		out = append(out, r.Member)
	}
	return out
}

// Find returns the member of a name, false if there is none.
func Find(name string, members []Member) (Member, bool) {
	for _, m := range members {
		if m.Name == name {
			return m, true
		}
	}
	return Member{}, false
}
