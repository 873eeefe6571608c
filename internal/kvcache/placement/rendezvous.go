// Package placement determines where the blocks of a prompt may be cached: at the prompt's owner, which is the target
// that its requests preferably go to, at other targets that hold it nevertheless, and in stores.
//
// Owners and stores are computed by rendezvous hashing of the prompt's head, so no node keeps a table of prompts.
// Prompts that are cached at a target that does not own them are known from short summaries that sidecars send
// and from the entry's own recent requests. All answers are hints: a wrong one costs time, never correctness.
package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/egrethoist/egrethoist/internal/kvcache/block"
	"github.com/egrethoist/egrethoist/internal/mix64"
)

// HeadBlocks is the number of leading blocks that form a prompt's head. The head ends after the instructions that
// the prompts of a workspace share, and before the part that grows from one use of a prompt to the next.
const HeadBlocks = 4

// Head returns the ID of the last block of a prompt's head, which identifies the head. It returns false for prompts
// shorter than HeadBlocks: they are cheap to compute, and their last block would change with each use.
func Head(chain []block.ID) (block.ID, bool) {
	if len(chain) < HeadBlocks {
		return block.ID{}, false
	}
	return chain[HeadBlocks-1], true
}

// Member is a target or a store that can hold blocks.
type Member struct {
	Name          string
	FailureDomain string
	Weight        float64 // relative size; zero counts as one
}

// Group is an immutable set of members that are ranked by weighted rendezvous hashing: when a member joins or
// leaves, only prompts that rank it first move.
type Group struct {
	members []Member
	hashes  []uint64
	uniform bool // all members have the same weight
}

// NewGroup returns a group of the given members, whose order does not matter.
func NewGroup(members []Member) *Group {
	g := &Group{members: slices.Clone(members), uniform: true}
	slices.SortFunc(g.members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	for i := range g.members {
		if g.members[i].Weight <= 0 {
			g.members[i].Weight = 1
		}
		g.hashes = append(g.hashes, xxhash.Sum64String(g.members[i].Name))
		g.uniform = g.uniform && g.members[i].Weight == g.members[0].Weight
	}
	return g
}

// Members returns the members sorted by name. The caller must not modify the slice.
func (g *Group) Members() []Member { return g.members }

// Rank returns up to n members, best first, as indexes into Members. It skips members for which eligible returns
// false; a nil eligible admits all.
func (g *Group) Rank(head block.ID, n int, eligible func(i int) bool) []int {
	best := make([]int, 0, n+1)
	scores := make([]float64, 0, n+1)
	for i := range g.members {
		score := g.score(head, i)
		if len(best) == n && (n == 0 || score <= scores[n-1]) {
			continue
		}
		if eligible != nil && !eligible(i) {
			continue
		}
		at := len(best)
		for at > 0 && scores[at-1] < score {
			at--
		}
		best = slices.Insert(best, at, i)[:min(len(best)+1, n)]
		scores = slices.Insert(scores, at, score)[:len(best)]
	}
	return best
}

// score returns the score of a member for a head. The highest score wins, and members win in proportion to their
// weight.
func (g *Group) score(head block.ID, i int) float64 {
	h := mix64.Sum(head.Hash() ^ g.hashes[i])
	if g.uniform {
		return float64(h >> 11) // gives the same order without the logarithm
	}
	u := (float64(h>>11) + 0.5) / (1 << 53)
	return -g.members[i].Weight / math.Log(u)
}

// RankReplicas returns up to n members that should hold replicas of a prompt: the best by rank, then the best in
// each further failure domain, then the others by rank.
func (g *Group) RankReplicas(head block.ID, n int, eligible func(i int) bool) []int {
	var firstOfDomain, rest []int
	usedDomains := map[string]bool{}
	for _, at := range g.Rank(head, len(g.members), eligible) {
		domain := g.members[at].FailureDomain
		if usedDomains[domain] {
			rest = append(rest, at)
			continue
		}
		usedDomains[domain] = true
		firstOfDomain = append(firstOfDomain, at)
	}
	copies := append(firstOfDomain, rest...)
	return copies[:min(n, len(copies))]
}
