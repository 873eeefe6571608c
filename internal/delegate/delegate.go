// Package delegate chooses the instances of a failure domain that perform a task for all of its instances, such as
// watching the metadata store. It uses rendezvous hashing: all instances with the same member list choose the same
// delegates without communication, and few choices change when a member is added or removed. The package has no I/O,
// clock or globals.
package delegate

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Task is a task of delegates. Each task has its own delegates. Its value is part of the hash.
type Task string

// Tasks of delegates.
const (
	WatchMetadata  Task = "watch metadata"
	AggregateLoads Task = "sum loads"
)

// delegatesPerDomain is the number of delegates of a failure domain. It is 2, since one may be down.
const delegatesPerDomain = 2

// Member is a live instance.
type Member struct {
	Name, Domain string
	Address      string  // IP:port for the other instances
	LinkMbps     float64 // width of its network link; zero: unknown, as of an instance of an earlier version
}

// prefersWide reports whether the widest links are chosen for a task: its delegates pass large values on to all others.
func (t Task) prefersWide() bool { return t == WatchMetadata }

// Choose returns the delegates of a failure domain for a task, in order of preference: by the width of their links, if the task depends on
// it, else and among equals by hash. It returns fewer than
// delegatesPerDomain if the domain has fewer members with an address.
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
	slices.SortFunc(list, func(a, b ranked) int {
		wider := 0
		if task.prefersWide() {
			wider = cmp.Compare(b.LinkMbps, a.LinkMbps)
		}
		return cmp.Or(wider, cmp.Compare(a.hash, b.hash), cmp.Compare(a.Name, b.Name))
	})
	out := make([]Member, 0, delegatesPerDomain)
	for _, r := range list[:min(len(list), delegatesPerDomain)] {
		out = append(out, r.Member)
	}
	return out
}

// Find returns the member with the given name, false if there is none.
func Find(name string, members []Member) (Member, bool) {
	for _, m := range members {
		if m.Name == name {
			return m, true
		}
	}
	return Member{}, false
}
