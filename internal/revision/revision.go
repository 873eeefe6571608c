// Package revision decides by lineage which configuration revision a process accepts. A revision is accepted only if
// its ancestors show that it descends from the current one; a larger number alone is not sufficient.
package revision

import (
	"slices"

	"github.com/egrethoist/egrethoist/internal/world"
)

// DefaultWindow is the number of ancestors that a tracker keeps.
const DefaultWindow = 4096

// Verdict is the result of evaluating a revision against the accepted one.
type Verdict int

// Verdicts.
const (
	// Keep: the candidate is the accepted revision or an older one; nothing changes.
	Keep Verdict = iota
	// Accept: the candidate descends from the accepted revision, or there is none yet.
	Accept
	// Conflict: the candidate is invalid or on another branch. It is rejected whatever its number is.
	Conflict
	// NeedAncestors: the candidate has a larger number, but its ancestors don't reach back to the accepted revision.
	NeedAncestors
)

func (v Verdict) String() string {
	return [...]string{"keep", "accept", "conflict", "need-ancestors"}[v]
}

// Lineage is a revision with the digests of its ancestors, newest first: Ancestors[0] is its parent. Numbers increase
// by one from parent to child, so Ancestors[i] has number Revision.Number-1-i. The list may be truncated.
type Lineage struct {
	Revision  world.Revision
	Ancestors []world.Digest
}

// Valid reports whether the lineage is consistent in itself.
func (l Lineage) Valid() bool {
	r := l.Revision
	if r.Number == 0 || r.Digest == (world.Digest{}) {
		return false
	}
	if uint64(len(l.Ancestors)) >= r.Number {
		return false
	}
	if r.Number == 1 {
		return r.Parent == (world.Digest{})
	}
	return r.Parent != (world.Digest{}) && (len(l.Ancestors) == 0 || l.Ancestors[0] == r.Parent)
}

// ancestor returns the digest of the ancestor with the given number, or false if the list doesn't reach it.
func (l Lineage) ancestor(number uint64) (world.Digest, bool) {
	if number >= l.Revision.Number {
		return world.Digest{}, false
	}
	i := l.Revision.Number - 1 - number
	if i < uint64(len(l.Ancestors)) {
		return l.Ancestors[i], true
	}
	if i == 0 {
		return l.Revision.Parent, true
	}
	return world.Digest{}, false
}

// Tracker holds the accepted revision and up to window of its ancestors. It is not safe for concurrent use.
type Tracker struct {
	window   int
	accepted Lineage
}

// NewTracker returns a tracker without a revision. A window of zero or less selects DefaultWindow.
func NewTracker(window int) *Tracker {
	if window <= 0 {
		window = DefaultWindow
	}
	return &Tracker{window: window}
}

// Current returns the accepted revision; its number is zero if there is none yet.
func (t *Tracker) Current() world.Revision { return t.accepted.Revision }

// Ancestors returns up to n digests of the accepted revision's ancestors, newest first.
func (t *Tracker) Ancestors(n int) []world.Digest {
	return slices.Clone(t.accepted.Ancestors[:min(n, len(t.accepted.Ancestors))])
}

// Evaluate returns the verdict that Propose would return, without accepting the candidate.
func (t *Tracker) Evaluate(candidate Lineage) Verdict {
	cur := t.accepted.Revision
	switch {
	case !candidate.Valid():
		return Conflict
	case cur.Number == 0:
		return Accept
	case candidate.Revision.Digest == cur.Digest:
		return Keep
	case candidate.Revision.Number > cur.Number:
		return evaluateNewer(candidate, cur)
	default:
		return t.evaluateOlder(candidate)
	}
}

// evaluateNewer evaluates a candidate with a larger number than cur.
func evaluateNewer(candidate Lineage, cur world.Revision) Verdict {
	digest, known := candidate.ancestor(cur.Number)
	switch {
	case !known:
		return NeedAncestors
	case digest == cur.Digest:
		return Accept
	default:
		return Conflict
	}
}

// evaluateOlder evaluates a candidate whose number is not larger than the accepted one. It never returns Accept. It
// distinguishes a fork from an ancestor if the kept ancestors reach back that far.
func (t *Tracker) evaluateOlder(candidate Lineage) Verdict {
	if candidate.Revision.Number == t.accepted.Revision.Number {
		return Conflict
	}
	digest, known := t.accepted.ancestor(candidate.Revision.Number)
	if known && digest != candidate.Revision.Digest {
		return Conflict
	}
	return Keep
}

// Propose evaluates the candidate and makes it the accepted revision if the verdict is Accept.
func (t *Tracker) Propose(candidate Lineage) Verdict {
	v := t.Evaluate(candidate)
	if v == Accept {
		t.accept(candidate)
	}
	return v
}

// accept makes the candidate the accepted revision. Its ancestors down to the previously accepted revision are followed
// by the kept ancestors of that one.
func (t *Tracker) accept(candidate Lineage) {
	list := slices.Clone(candidate.Ancestors)
	if len(list) == 0 && candidate.Revision.Number > 1 {
		list = append(list, candidate.Revision.Parent)
	}
	if cur := t.accepted.Revision; cur.Number > 0 {
		list = append(list[:candidate.Revision.Number-cur.Number-1], cur.Digest)
		list = append(list, t.accepted.Ancestors...)
	}
	t.accepted = Lineage{Revision: candidate.Revision, Ancestors: list[:min(len(list), t.window)]}
}
