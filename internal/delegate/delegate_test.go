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

func TestAllChooseAlike(t *testing.T) {
	members := fleet(30, 3)
	other := slices.Clone(members)
	slices.Reverse(other)
	for _, d := range []string{"d0", "d1", "d2"} {
		a, b := Choose(WatchMetadata, d, members), Choose(WatchMetadata, d, other)
		if len(a) != perDomain || !slices.Equal(a, b) {
			t.Errorf("%s: %v and %v", d, a, b)
		}
		for _, m := range a {
			if m.Domain != d {
				t.Errorf("%s is a delegate of %s", m.Name, d)
			}
		}
	}
	if len(Choose(SumLoads, "d0", members[:1])) != 1 || len(Choose(SumLoads, "none", members)) != 0 {
		t.Error("small and empty domains")
	}
}

// When a member goes, only its own places are filled anew: the others keep their duties.
func TestFewChoicesChange(t *testing.T) {
	members := fleet(40, 1)
	before := Choose(SumLoads, "d0", members)
	for i := range members {
		after := Choose(SumLoads, "d0", slices.Delete(slices.Clone(members), i, i+1))
		kept := 0
		for _, m := range after {
			if slices.Contains(before, m) {
				kept++
			}
		}
		want := perDomain
		if slices.Contains(before, members[i]) {
			want--
		}
		if kept != want {
			t.Errorf("without %s %d of %d delegates stay, want %d", members[i].Name, kept, perDomain, want)
		}
	}
}
