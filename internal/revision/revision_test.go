package revision

import (
	"crypto/sha256"
	"encoding/binary"
	"testing"

	"pgregory.net/rapid"

	"github.com/egrethoist/egrethoist/internal/rapidtest"
	"github.com/egrethoist/egrethoist/internal/world"
)

func TestMain(m *testing.M) { rapidtest.Main(m) }

// graph is the reference model: the complete history as a forest of revisions.
type graph struct {
	nodes  []world.Revision
	parent []int // index of the parent; -1 for a root
}

// addRevision adds a child of parent, or a root if parent is negative, and returns its index.
func (g *graph) addRevision(parent int) int {
	var seed [8]byte
	binary.BigEndian.PutUint64(seed[:], uint64(len(g.nodes)))
	r := world.Revision{Number: 1, Digest: sha256.Sum256(seed[:])}
	if parent >= 0 {
		r.Number = g.nodes[parent].Number + 1
		r.Parent = g.nodes[parent].Digest
	}
	g.nodes = append(g.nodes, r)
	g.parent = append(g.parent, parent)
	return len(g.nodes) - 1
}

// descends reports whether ancestor is from or one of its ancestors.
func (g *graph) descends(from, ancestor int) bool {
	for n := from; n >= 0; n = g.parent[n] {
		if n == ancestor {
			return true
		}
	}
	return false
}

// lineage returns revision n with up to that many ancestors.
func (g *graph) lineage(n, ancestors int) Lineage {
	lineage := Lineage{Revision: g.nodes[n]}
	for p := g.parent[n]; p >= 0 && len(lineage.Ancestors) < ancestors; p = g.parent[p] {
		lineage.Ancestors = append(lineage.Ancestors, g.nodes[p].Digest)
	}
	return lineage
}

// TestTrackerAgainstGraph guards against a tracker that accepts another branch, rejects a descendant or keeps wrong
// ancestors, by random comparison with the complete history.
func TestTrackerAgainstGraph(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := &graph{}
		g.addRevision(-1)
		tracker := NewTracker(rapid.IntRange(1, 8).Draw(t, "window"))
		current := -1
		var seen [4]int
		for range 40 {
			if rapid.Bool().Draw(t, "grow") {
				g.addRevision(rapid.IntRange(-1, len(g.nodes)-1).Draw(t, "parent"))
			}
			n := rapid.IntRange(0, len(g.nodes)-1).Draw(t, "offered")
			proposed := g.lineage(n, rapid.IntRange(0, 10).Draw(t, "ancestors"))
			v := tracker.Propose(proposed)
			seen[v]++
			checkVerdict(t, g, current, n, proposed, v)
			if v == Accept {
				current = n
			}
			if tracker.Current() != g.nodes[current] {
				t.Fatalf("current %v, want %v", tracker.Current(), g.nodes[current])
			}
			for i, d := range tracker.Ancestors(100) {
				if want := g.lineage(current, i+1).Ancestors[i]; d != want {
					t.Fatalf("ancestor %d is wrong", i)
				}
			}
		}
	})
}

// checkVerdict checks a verdict on node index with lineage proposed while node current is accepted; -1 means none.
func checkVerdict(t *rapid.T, g *graph, current, index int, proposed Lineage, v Verdict) {
	if current < 0 {
		if v != Accept {
			t.Fatalf("first proposal: %v", v)
		}
		return
	}
	newer := g.nodes[index].Number > g.nodes[current].Number
	gap := int(g.nodes[index].Number) - int(g.nodes[current].Number)
	reaches := len(proposed.Ancestors) >= gap || gap == 1
	descends := g.descends(index, current)
	old := g.descends(current, index)
	ok := false
	switch v {
	case Accept:
		ok = descends && index != current
	case Keep:
		ok = old || !newer && gap < 0
	case Conflict:
		ok = !descends && !old
	case NeedAncestors:
		ok = newer && !reaches
	}
	if !ok || descends && index != current && reaches && v != Accept {
		t.Fatalf("descends %v: current %d (number %d), proposed %d (number %d) with %d ancestors: %v",
			descends, current, g.nodes[current].Number, index, g.nodes[index].Number, len(proposed.Ancestors), v)
	}
}

// TestLargerNumberDoesNotProveDescent guards against accepting a fork or a malformed lineage because of its number.
func TestLargerNumberDoesNotProveDescent(t *testing.T) {
	g := &graph{}
	root := g.addRevision(-1)
	ours := g.addRevision(root)
	fork := g.addRevision(root)
	for range 10 {
		fork = g.addRevision(fork)
	}
	tracker := NewTracker(0)
	tracker.Propose(g.lineage(ours, 10))
	for _, tc := range []struct {
		name  string
		offer Lineage
		want  Verdict
	}{
		{"old replica", g.lineage(root, 10), Keep},
		{"fork with a larger number", g.lineage(fork, 100), Conflict},
		{"fork with no ancestors given", g.lineage(fork, 0), NeedAncestors},
		{"no digest", Lineage{Revision: world.Revision{Number: 99}}, Conflict},
		{"parent and ancestors disagree", Lineage{Revision: world.Revision{Number: 3, Digest: world.Digest{9}, Parent: world.Digest{8}}, Ancestors: []world.Digest{g.nodes[ours].Digest}}, Conflict},
	} {
		if v := tracker.Propose(tc.offer); v != tc.want {
			t.Errorf("%s: %v, want %v", tc.name, v, tc.want)
		}
	}
	if tracker.Current() != g.nodes[ours] {
		t.Error("reverted")
	}
}
