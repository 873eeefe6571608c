package retirement

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/egrethoist/egrethoist/internal/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m) }

// Guards against retiring parts that fit, and against keeping parts that no target uses.
func TestPlan(t *testing.T) {
	for _, c := range []struct {
		name  string
		fleet Fleet
		want  Shares
	}{
		{"only the newest version", Fleet{NewestVersion: 1, Targets: 4, Serving: map[int]int{1: 4}, CapacityTokens: 100, UsedTokens: map[int]int{1: 90}}, Shares{}},
		{"no target left on the old version", Fleet{NewestVersion: 2, Targets: 4, Serving: map[int]int{2: 4}, CapacityTokens: 1000, UsedTokens: map[int]int{1: 90, 2: 10}}, Shares{1: 1}},
		{"room for both", Fleet{NewestVersion: 2, Targets: 4, Serving: map[int]int{1: 1, 2: 3}, CapacityTokens: 200, UsedTokens: map[int]int{1: 90, 2: 60}}, Shares{}},
		{"full stores, half of the targets loading", Fleet{NewestVersion: 2, Targets: 4, Serving: map[int]int{1: 2}, CapacityTokens: 100, UsedTokens: map[int]int{1: 100}}, Shares{1: 0.5}},
		{"full stores, no target loading yet", Fleet{NewestVersion: 2, Targets: 4, Serving: map[int]int{1: 4}, CapacityTokens: 100, UsedTokens: map[int]int{1: 100}}, Shares{}},
		{"version that no target serves", Fleet{NewestVersion: 3, Targets: 4, Serving: map[int]int{1: 2}, CapacityTokens: 100, UsedTokens: map[int]int{1: 80, 2: 20}}, Shares{1: 0.25, 2: 1}},
		{"no targets", Fleet{NewestVersion: 2, CapacityTokens: 100, UsedTokens: map[int]int{1: 80}}, Shares{}},
	} {
		if got := Plan(c.fleet); !got.Equal(c.want) {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}

// Two weight versions are rolled out in quick succession while the stores are full. At all times the kept parts and those
// that the newest version needs must fit: a part without room is prefilled again by every request that uses it.
func TestKeptPartsLeaveRoomForNewestVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		targets := rapid.IntRange(1, 60).Draw(t, "targets")
		old := rapid.IntRange(0, targets).Draw(t, "on version 1")
		middle := rapid.IntRange(0, targets-old).Draw(t, "on version 2")
		used := map[int]int{1: rapid.IntRange(1, 1000).Draw(t, "tokens of 1"), 2: rapid.IntRange(0, 1000).Draw(t, "tokens of 2")}
		f := Fleet{
			NewestVersion: 3, Targets: targets, Serving: map[int]int{1: old, 2: middle}, UsedTokens: used,
			CapacityTokens: rapid.IntRange(used[1]+used[2], 3000).Draw(t, "capacity"),
		}
		shares := Plan(f)
		kept := 0.0
		for version, tokens := range used {
			kept += (1 - shares[version]) * float64(tokens)
		}
		need := float64(max(used[1], used[2])) * float64(targets-old-middle) / float64(targets)
		if room := float64(f.CapacityTokens) - kept; kept > 0 && room < need-1e-6 {
			t.Errorf("%v: room for %.1f tokens, the newest version needs %.1f", shares, room, need)
		}
	})
}

// Guards against retired parts that come back when the share grows: they may already have been freed. Also checks that the
// hash selects about the requested share.
func TestRetiredPartsGrowWithShare(t *testing.T) {
	for i := range 1000 {
		part := fmt.Sprintf("%x", i)
		before := false
		for share := 0.0; share <= 1; share += 0.125 {
			now := Shares{4: share}.Retired(4, part)
			if before && !now {
				t.Fatalf("part %s is no longer retired at share %v", part, share)
			}
			before = now
		}
		if !before || (Shares{4: 1}).Retired(5, part) {
			t.Fatalf("part %s: not retired in a fully retired version, or retired in a newer one", part)
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

// Weight versions accumulate over the life of a deployment. Guards against a published map that grows with their number.
func TestNamedVersionsAreBounded(t *testing.T) {
	s := Shares{}
	for version := 1; version <= 100; version++ {
		s = s.Merge(Shares{version: 1})
		if len(s) > maxNamedVersions {
			t.Fatalf("%d versions named", len(s))
		}
		if !s.Retired(1, "p") || !s.Retired(version, "p") || s.Retired(version+1, "p") {
			t.Fatalf("after version %d: %v", version, s)
		}
	}
	if again := s.Merge(Shares{1: 1}); !again.Equal(s) {
		t.Error("a dropped version is back in the map")
	}
}

// Guards against a merge that lowers a share, and so brings back parts that may already have been freed.
func TestMergeTakesLargerShare(t *testing.T) {
	got := Shares{1: 0.5, 2: 0.25}.Merge(Shares{1: 0.25, 2: 1, 3: 0.125})
	if want := (Shares{1: 0.5, 2: 1, 3: 0.125}); !got.Equal(want) {
		t.Errorf("%v, want %v", got, want)
	}
}
