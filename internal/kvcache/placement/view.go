package placement

import (
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/egrethoist/egrethoist/internal/kvcache/block"
)

// Hint is an estimate of how much of a prompt a target holds.
type Hint struct {
	Target string
	Blocks int // leading blocks
}

// Lookup is the result of View.Lookup: what an entry knows about the caching of one prompt.
type Lookup struct {
	Head    block.ID
	HasHead bool     // the prompt is long enough to have a head
	Blocks  int      // full blocks in the prompt
	Owners  []string // targets by rendezvous rank, the owner first, then those next in rank
	Hints   []Hint   // targets believed to hold a prefix; nothing is known about targets not listed
	Stores  []string // stores that should hold the prompt, best first
}

// BlocksAt returns the number of leading blocks that a target is believed to hold.
func (l *Lookup) BlocksAt(target string) int {
	for _, h := range l.Hints {
		if h.Target == target {
			return min(h.Blocks, l.Blocks)
		}
	}
	return 0
}

// OwnerRank returns the index of a target in Owners, or -1 if it is not among them.
func (l *Lookup) OwnerRank(target string) int {
	for i, t := range l.Owners {
		if t == target {
			return i
		}
	}
	return -1
}

// OwnerCount is the number of owners in a Lookup: the owner, and the targets next in rank that take over from it or
// share a hot prompt with it.
const OwnerCount = 3

// holder is a target, by its index in View.targets, with the leading blocks that its summary reports.
type holder struct {
	target int
	blocks int
}

// View is an immutable snapshot of one service's targets, stores and summaries for use on the request path. The
// With methods return modified copies.
type View struct {
	targets       *Group
	stores        *Group
	summaries     map[string][]SummaryEntry
	holders       map[uint32][]holder
	recent        *RecentTargets
	targetIndexes map[int]int // index into targets by targetNumber
}

// NewView returns a view without summaries. If recent is nil, lookups do not consider recent requests.
func NewView(targets, stores *Group, recent *RecentTargets) *View {
	v := &View{targets: targets, stores: stores, summaries: map[string][]SummaryEntry{}, recent: recent}
	v.buildIndexes()
	return v
}

// WithGroups returns a view with other targets and stores that keeps the summaries.
func (v *View) WithGroups(targets, stores *Group) *View {
	n := &View{targets: targets, stores: stores, summaries: v.summaries, recent: v.recent}
	n.buildIndexes()
	return n
}

// WithSummaries returns a view with new summaries of some targets. An empty summary removes that of the target.
// Callers should batch changes, since the cost grows with the size of all summaries and not of the changes.
func (v *View) WithSummaries(changes map[string][]SummaryEntry) *View {
	n := &View{targets: v.targets, stores: v.stores, summaries: maps.Clone(v.summaries), recent: v.recent}
	for target, held := range changes {
		n.summaries[target] = held
		if len(held) == 0 {
			delete(n.summaries, target)
		}
	}
	n.buildIndexes()
	return n
}

// buildIndexes computes targetIndexes and holders from the targets and summaries.
func (v *View) buildIndexes() {
	v.targetIndexes = make(map[int]int, len(v.targets.members))
	v.holders = map[uint32][]holder{}
	for i, m := range v.targets.members {
		v.targetIndexes[targetNumber(m.Name)] = i
		for _, h := range v.summaries[m.Name] {
			v.holders[h.Fingerprint] = append(v.holders[h.Fingerprint], holder{i, h.Blocks})
		}
	}
}

// Lookup returns what is known about a prompt. Targets for which eligible returns false are left out; a nil eligible
// admits all. For a prompt without a head the result has only Blocks.
func (v *View) Lookup(chain []block.ID, eligible func(target string) bool) Lookup {
	l := Lookup{Blocks: len(chain)}
	l.Head, l.HasHead = Head(chain)
	if !l.HasHead {
		return l
	}
	isEligible := func(i int) bool { return eligible == nil || eligible(v.targets.members[i].Name) }
	for _, at := range v.targets.Rank(l.Head, OwnerCount, isEligible) {
		l.Owners = append(l.Owners, v.targets.members[at].Name)
	}
	if v.stores != nil {
		for _, at := range v.stores.RankReplicas(l.Head, len(v.stores.members), nil) {
			l.Stores = append(l.Stores, v.stores.members[at].Name)
		}
	}
	for _, h := range v.holders[Fingerprint(l.Head)] {
		if isEligible(h.target) {
			l.Hints = append(l.Hints, Hint{v.targets.members[h.target].Name, h.blocks})
		}
	}
	v.addRecent(&l, isEligible)
	return l
}

// addRecent puts a hint for the target that this entry last sent the prompt to in front of the hints in l, unless the
// target is not eligible or l already credits it with as many blocks.
func (v *View) addRecent(l *Lookup, isEligible func(int) bool) {
	if v.recent == nil {
		return
	}
	number, blocks, ok := v.recent.Get(l.Head)
	at, known := v.targetIndexes[number]
	if !ok || !known || !isEligible(at) {
		return
	}
	name := v.targets.members[at].Name
	if l.BlocksAt(name) < min(blocks, l.Blocks) {
		l.Hints = append([]Hint{{name, blocks}}, l.Hints...)
	}
}

// RecordSent records that a prompt was sent to a target, for later lookups.
func (v *View) RecordSent(l *Lookup, target string, now time.Time) {
	if v.recent != nil && l.HasHead {
		v.recent.Put(l.Head, targetNumber(target), l.Blocks, now)
	}
}

// targetNumber returns the number of a target in RecentTargets. It depends only on the name, so that entries stay valid
// when the group changes.
func targetNumber(name string) int { return int(xxhash.Sum64String(name) % MaxTargets) }
