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
