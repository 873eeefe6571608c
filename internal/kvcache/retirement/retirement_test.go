package retirement

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/egrethoist/egrethoist/internal/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m) }

func TestPlan(t *testing.T) {
	for _, c := range []struct {
		name  string
		fleet Fleet
		want  Shares
	}{
		{"nothing named", Fleet{Newest: 1, Targets: 4, Serving: map[int]int{1: 4}, Capacity: 100, Used: map[int]int{1: 90}}, Shares{}},
		{"nobody left", Fleet{Newest: 2, Targets: 4, Serving: map[int]int{2: 4}, Capacity: 1000, Used: map[int]int{1: 90, 2: 10}}, Shares{1: 1}},
		{"room for both", Fleet{Newest: 2, Targets: 4, Serving: map[int]int{1: 1, 2: 3}, Capacity: 200, Used: map[int]int{1: 90, 2: 60}}, Shares{}},
		{"full stores, half on the way", Fleet{Newest: 2, Targets: 4, Serving: map[int]int{1: 2}, Capacity: 100, Used: map[int]int{1: 100}}, Shares{1: 0.5}},
		{"full stores, nobody on the way", Fleet{Newest: 2, Targets: 4, Serving: map[int]int{1: 4}, Capacity: 100, Used: map[int]int{1: 100}}, Shares{}},
		{"version passed over", Fleet{Newest: 3, Targets: 4, Serving: map[int]int{1: 2}, Capacity: 100, Used: map[int]int{1: 80, 2: 20}}, Shares{1: 0.25, 2: 1}},
		{"no targets", Fleet{Newest: 2, Capacity: 100, Used: map[int]int{1: 80}}, Shares{}},
	} {
		if got := Plan(c.fleet); !got.Equal(c.want) {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// Pattern: two weight versions in quick succession while the stores are full. At each moment the parts that are kept and
// those that the newest version needs must fit: a part that finds no room is read again by every request that names it.
func TestKeptPartsLeaveRoomForTheNewest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		targets := rapid.IntRange(1, 60).Draw(t, "targets")
		old := rapid.IntRange(0, targets).Draw(t, "on version 1")
		middle := rapid.IntRange(0, targets-old).Draw(t, "on version 2")
		used := map[int]int{1: rapid.IntRange(1, 1000).Draw(t, "tokens of 1"), 2: rapid.IntRange(0, 1000).Draw(t, "tokens of 2")}
		f := Fleet{
			Newest: 3, Targets: targets, Serving: map[int]int{1: old, 2: middle}, Used: used,
			Capacity: rapid.IntRange(used[1]+used[2], 3000).Draw(t, "capacity"),
		}
		shares := Plan(f)
		kept := 0.0
		for version, tokens := range used {
			kept += (1 - shares[version]) * float64(tokens)
		}
		need := float64(max(used[1], used[2])) * float64(targets-old-middle) / float64(targets)
		if room := float64(f.Capacity) - kept; kept > 0 && room < need-1e-6 {
			t.Errorf("%v: room for %.1f tokens, the newest version needs %.1f", shares, room, need)
		}
	})
}

// Every instance finds the same parts retired, and a larger share only adds to them.
func TestRetiredPartsOnlyGrow(t *testing.T) {
	for i := range 1000 {
		part := fmt.Sprintf("%x", i)
		before := false
		for share := 0.0; share <= 1; share += 0.125 {
			now := Shares{4: share}.Retired(4, part)
			if before && !now {
				t.Fatalf("part %s is back at share %v", part, share)
			}
			before = now
		}
		if !before || (Shares{4: 1}).Retired(5, part) {
			t.Fatalf("part %s: whole version not retired, or another one is", part)
		}
	}
	count := 0
	for i := range 1000 {
		if (Shares{4: 0.25}).Retired(4, fmt.Sprintf("%x", i)) {
			count++
		}
	}
	if count < 200 || count > 300 {
		t.Errorf("%d of 1,000 parts retired at a quarter", count)
	}
}

// Weights are named for as long as a fleet lives; what is told to all instances must not grow with them.
func TestOldVersionsAreForgottenAsRetired(t *testing.T) {
	s := Shares{}
	for version := 1; version <= 100; version++ {
		s = s.Grow(Shares{version: 1})
		if len(s) > mostVersions {
			t.Fatalf("%d versions named", len(s))
		}
		if !s.Retired(1, "p") || !s.Retired(version, "p") || s.Retired(version+1, "p") {
			t.Fatalf("after version %d: %v", version, s)
		}
	}
	if again := s.Grow(Shares{1: 1}); !again.Equal(s) {
		t.Error("an old version is named again")
	}
}

func TestGrowNeverTakesBack(t *testing.T) {
	got := Shares{1: 0.5, 2: 0.25}.Grow(Shares{1: 0.25, 2: 1, 3: 0.125})
	if want := (Shares{1: 0.5, 2: 1, 3: 0.125}); !got.Equal(want) {
		t.Errorf("%v, want %v", got, want)
	}
}
