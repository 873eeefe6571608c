package control

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/egrethoist/egrethoist/internal/manifest"
	"github.com/egrethoist/egrethoist/internal/once"
	"github.com/egrethoist/egrethoist/internal/world"
)

// The homes of a plain service are the targets that own its idempotency keys: all that are neither drained nor in a
// drained failure domain. The configuration records how this set changes, so that keys can be looked up at former
// homes.

// Limits of the home history of each plain service. With names of 16 bytes they allow 64 KB. If a history is truncated,
// the outcome of some keys becomes unknown, but no request is executed twice.
const (
	maxHomeMoves  = 64
	maxMovedNames = 2048 // joined or left, in all moves together
)

// moveRetention returns how long a move is kept. The clocks of the machines that record and that delete it may each
// differ from those of the instances by once.RecordTolerance.
func moveRetention(retryWindow time.Duration) time.Duration {
	return once.GenerationRetention(retryWindow) + once.MaxStaleness + 2*once.RecordTolerance
}

// carryHomeHistory returns doc with the home histories of cur, unchanged.
func carryHomeHistory(doc, cur *manifest.Document) *manifest.Document {
	out := copyDocument(doc)
	for i := range out.Services {
		s := &out.Services[i]
		s.HomeHistory = nil
		if old := findService(cur, s.Name); old != nil {
			s.HomeHistory = old.HomeHistory
		}
	}
	return out
}

// recordHomeHistory returns doc with the home histories of cur, extended by the changes from cur to doc. doc becomes
// revision next at time now.
func recordHomeHistory(doc, cur *manifest.Document, next uint64, now time.Time) *manifest.Document {
	out := copyDocument(doc)
	for i := range out.Services {
		s := &out.Services[i]
		s.HomeHistory = nil
		if s.Kind == string(world.KindPlain) {
			s.HomeHistory = extendHistory(out, cur, s, next, now.UTC())
		}
	}
	return out
}

// extendHistory returns the service's history with the move to the homes of s, if they change, trimmed to its limits.
func extendHistory(doc, cur *manifest.Document, s *manifest.Service, next uint64, now time.Time) *manifest.HomeHistory {
	old := findService(cur, s.Name)
	if old == nil {
		return &manifest.HomeHistory{From: next}
	}
	h := manifest.HomeHistory{From: next - 1, At: now}
	if old.HomeHistory != nil {
		h = *old.HomeHistory
	}
	if m := diffHomes(homeNames(cur, old), homeNames(doc, s)); m != nil {
		m.Revision, m.At = next, monotonicTime(h, now)
		h.Moves = append([]manifest.HomeMove{*m}, h.Moves...)
	}
	return trimHistory(h, now.Add(-moveRetention(time.Duration(s.RetryWindow))))
}

// monotonicTime returns the later of now and the time of the last move, so that a move recorded by a machine whose
// clock is behind doesn't appear older than the move before it.
func monotonicTime(h manifest.HomeHistory, now time.Time) time.Time {
	last := h.At
	if len(h.Moves) > 0 {
		last = h.Moves[0].At
	}
	if last.After(now) {
		return last
	}
	return now
}

// trimHistory removes moves made before oldest, and the oldest moves that exceed the limits. The history then begins
// with the newest removed move: the set of homes before it is expired or unknown.
func trimHistory(h manifest.HomeHistory, oldest time.Time) *manifest.HomeHistory {
	names := 0
	for i, m := range h.Moves {
		names += len(m.Joined) + len(m.Left)
		if m.At.Before(oldest) || i == maxHomeMoves || names > maxMovedNames {
			return &manifest.HomeHistory{From: m.Revision, At: m.At, Moves: slices.Clone(h.Moves[:i])}
		}
	}
	return &h
}

// diffHomes returns the move between two sorted sets of homes, or nil if they are equal.
func diffHomes(from, to []string) *manifest.HomeMove {
	m := &manifest.HomeMove{Joined: difference(to, from), Left: difference(from, to)}
	if len(m.Joined) == 0 && len(m.Left) == 0 {
		return nil
	}
	return m
}

// difference returns the elements of list that are not in exclude, which must be sorted.
func difference(list, exclude []string) []string {
	var out []string
	for _, v := range list {
		if _, found := slices.BinarySearch(exclude, v); !found {
			out = append(out, v)
		}
	}
	return out
}

// homeNames returns the sorted names of a service's homes.
func homeNames(doc *manifest.Document, s *manifest.Service) []string {
	drained := map[string]bool{}
	for _, d := range doc.FailureDomains {
		drained[d.Name] = isTrue(d.Drained)
	}
	var out []string
	for _, t := range s.Targets {
		if !isTrue(t.Drained) && !drained[t.FailureDomain] {
			out = append(out, t.Name)
		}
	}
	slices.Sort(out)
	return out
}

// findService returns the service with that name, or nil. doc may be nil.
func findService(doc *manifest.Document, name string) *manifest.Service {
	if doc == nil {
		return nil
	}
	i := slices.IndexFunc(doc.Services, func(s manifest.Service) bool { return s.Name == name })
	if i < 0 {
		return nil
	}
	return &doc.Services[i]
}

func isTrue(b *bool) bool { return b != nil && *b }

// Removal describes a target of a plain service that a change would remove too early.
type Removal struct {
	Service string
	Target  string
	Drained bool
	Wait    time.Duration // time until it may be removed, if drained; zero if the time of the drain is unknown
}

// RemovalError reports that targets must not be removed yet, because callers may still retry idempotency keys whose
// outcome only those targets know. Nothing was applied.
type RemovalError struct{ Removals []Removal }

func (e *RemovalError) Error() string {
	var parts []string
	for _, r := range e.Removals {
		parts = append(parts, fmt.Sprintf("target %s of %s %s", r.Target, r.Service, r.reason()))
	}
	return "a target of a plain service must be drained for the retry window before it is removed, else the outcome of its keys is unknown: " +
		strings.Join(parts, "; ") + "; nothing was applied (--remove-undrained applies it all the same)"
}

// reason returns why the target must not be removed yet.
func (r Removal) reason() string {
	switch {
	case !r.Drained:
		return "is not drained"
	case r.Wait == 0:
		return "is drained, but no record tells since when"
	}
	return fmt.Sprintf("may be removed in %v", r.Wait.Round(time.Second))
}

// earlyRemovals returns the targets of plain services that doc removes from cur although they are not drained, or have
// been drained for less than the time during which keys are looked up at former homes.
func earlyRemovals(doc, cur *manifest.Document, now time.Time) []Removal {
	if cur == nil {
		return nil
	}
	var out []Removal
	for i := range cur.Services {
		old := &cur.Services[i]
		if old.Kind != string(world.KindPlain) {
			continue
		}
		for _, t := range old.Targets {
			if hasTarget(findService(doc, old.Name), t.Name) {
				continue
			}
			if r, early := checkRemoval(cur, old, t.Name, now); early {
				out = append(out, r)
			}
		}
	}
	return out
}

// hasTarget reports whether s, which may be nil, has a target with that name.
func hasTarget(s *manifest.Service, target string) bool {
	return s != nil && slices.ContainsFunc(s.Targets, func(t manifest.Target) bool { return t.Name == target })
}

// checkRemoval reports whether it is too early to remove a target, and if so returns the details.
func checkRemoval(cur *manifest.Document, s *manifest.Service, target string, now time.Time) (Removal, bool) {
	r := Removal{Service: s.Name, Target: target}
	if slices.Contains(homeNames(cur, s), target) {
		return r, true
	}
	r.Drained = true
	if s.HomeHistory == nil {
		return r, true
	}
	left := leftAt(s.HomeHistory, target)
	r.Wait = left.Add(once.GenerationRetention(time.Duration(s.RetryWindow))).Sub(now)
	return r, r.Wait > 0
}

// leftAt returns the time by which a target that is no longer a home had left the homes. A target that the history
// doesn't mention may have been a home until the history began. If the history began with the service, the target was
// never a home and the time is zero.
func leftAt(h *manifest.HomeHistory, target string) time.Time {
	for _, m := range h.Moves {
		if slices.Contains(m.Left, target) {
			return m.At
		}
	}
	return h.At
}
