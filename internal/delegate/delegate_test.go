package delegate

import (
	"fmt"
	"slices"
	"testing"
)

func fleet(n, domains int) []Member {
	var out []Member
	for i := range n {
		out = append(out, Member{Name: fmt.Sprint("front-", i), Domain: fmt.Sprint("d", i%domains), Address: fmt.Sprint("10.0.0.", i, ":1")})
	}
	return out
}

// Instances that see the members in different order must choose the same delegates, all of the failure domain asked
// for.
func TestChoiceIsDeterministic(t *testing.T) {
	members := fleet(30, 3)
	other := slices.Clone(members)
	slices.Reverse(other)
	for _, d := range []string{"d0", "d1", "d2"} {
		a, b := Choose(WatchMetadata, d, members), Choose(WatchMetadata, d, other)
		if len(a) != delegatesPerDomain || !slices.Equal(a, b) {
			t.Errorf("%s: delegates %v and %v from the same members in another order", d, a, b)
		}
		for _, m := range a {
			if m.Domain != d {
				t.Errorf("%s is a delegate of %s", m.Name, d)
			}
		}
	}
	if len(Choose(AggregateLoads, "d0", members[:1])) != 1 || len(Choose(AggregateLoads, "none", members)) != 0 {
		t.Error("want one delegate in a domain with one member and none in an unknown domain")
	}
}

// Guards against moving tasks between instances without need: when a member is removed, only its own places get new
// delegates.
func TestRemovalKeepsOtherDelegates(t *testing.T) {
	members := fleet(40, 1)
	before := Choose(AggregateLoads, "d0", members)
	for i := range members {
		after := Choose(AggregateLoads, "d0", slices.Delete(slices.Clone(members), i, i+1))
		kept := 0
		for _, m := range after {
			if slices.Contains(before, m) {
				kept++
			}
		}
		want := delegatesPerDomain
		if slices.Contains(before, members[i]) {
			want--
		}
		if kept != want {
			t.Errorf("without %s %d of %d delegates are kept, want %d", members[i].Name, kept, delegatesPerDomain, want)
		}
	}
}

// Guards against instances with narrow links that pass large values on to all others of their failure domain, while wide ones are there.
func TestWideLinksWatchMetadata(t *testing.T) {
	members := fleet(12, 1)
	for i := range members {
		members[i].LinkMbps = 10
	}
	members[11].LinkMbps = 0 // an instance of an earlier version
	narrow := Choose(WatchMetadata, "d0", members)
	members[4].LinkMbps, members[9].LinkMbps = 200, 200
	want := []string{members[4].Name, members[9].Name}
	names := func(list []Member) []string {
		var out []string
		for _, m := range list {
			out = append(out, m.Name)
		}
		slices.Sort(out)
		return out
	}
	slices.Sort(want)
	if got := names(Choose(WatchMetadata, "d0", members)); !slices.Equal(got, want) {
		t.Errorf("delegates %v, want the wide ones %v", got, want)
	}
	without := slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.LinkMbps == 200 })
	if got := Choose(WatchMetadata, "d0", without); len(got) != delegatesPerDomain || slices.ContainsFunc(got, func(m Member) bool { return m.LinkMbps == 0 }) {
		t.Errorf("delegates %v without the wide ones, want two of known width", got)
	}
	for i := range members {
		members[i].LinkMbps = 10
	}
	if got := Choose(WatchMetadata, "d0", members[:11]); !slices.Equal(names(got), names(narrow)) {
		t.Errorf("delegates %v among equal links, want %v by hash", got, narrow)
	}
}
