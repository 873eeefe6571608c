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

// Bounds of the history of homes that the configuration holds for each plain service. With names of 16 bytes they
// allow 64 KB; a history that is cut short makes keys of unknown outcome, never run twice.
const (
	maxHomeMoves  = 64
	maxMovedNames = 2048 // of all moves together
)

// keepMoves returns how long a move is kept. The machines that make and drop it differ from the instances by
// RecordTolerance each.
func moveRetention(retryWindow time.Duration) time.Duration {
	return once.KeepGenerations(retryWindow) + once.StaleLimit + 2*once.RecordTolerance
}

// carryHomes returns doc with the history of homes in cur, unchanged.
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

// recordHomes returns doc, which is to become revision next at now, with the history of homes that follows from cur.
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

// nextHistory follows the service's history with the move to s, if there is one.
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

// notBefore returns now, or the time of the last move where this machine's clock is behind the one that made it: later
// moves must not seem to be older.
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

// trimHistory drops moves made before oldest, and the oldest ones that don't fit. The history then begins with the
// newest of them: which set it replaced no longer matters, or is not known.
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

// move returns the change from one ordered set to another; nil if they are equal.
func diffHomes(from, to []string) *manifest.HomeMove {
	m := &manifest.HomeMove{Joined: difference(to, from), Left: difference(from, to)}
	if len(m.Joined) == 0 && len(m.Left) == 0 {
		return nil
	}
	return m
}

func difference(list, exclude []string) []string {
	var out []string
	for _, v := range list {
		if _, found := slices.BinarySearch(exclude, v); !found {
			out = append(out, v)
		}
	}
	return out
}

// homeSet lists the homes of a service's keys in order.
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

// Removal is a target of a plain service that a change would remove too early.
type Removal struct {
	Service string
	Target  string
	Drained bool
	Wait    time.Duration // until it may be removed, if it is drained; zero if no record tells since when
}

// RemovalError says that targets must not be removed yet: callers may still repeat keys whose outcome only they know.
// Nothing was applied.
type RemovalError struct{ Removals []Removal }

func (e *RemovalError) Error() string {
	var parts []string
	for _, r := range e.Removals {
		parts = append(parts, fmt.Sprintf("target %s of %s %s", r.Target, r.Service, r.reason()))
	}
	return "a target of a plain service must be drained for the retry window before it is removed, else the outcome of its keys is unknown: " +
		strings.Join(parts, "; ") + "; nothing was applied (--remove-undrained applies it all the same)"
}

func (r Removal) reason() string {
	switch {
	case !r.Drained:
		return "is not drained"
	case r.Wait == 0:
		return "is drained, but no record tells since when"
	}
	return fmt.Sprintf("may be removed in %v", r.Wait.Round(time.Second))
}

// earlyRemovals lists the targets of plain services that doc removes from cur although they are not drained, or were
// drained for less than the time for which keys are asked of former homes.
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

func hasTarget(s *manifest.Service, target string) bool {
	return s != nil && slices.ContainsFunc(s.Targets, func(t manifest.Target) bool { return t.Name == target })
}

// removal judges the removal of one target; false if nothing is against it.
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
	r.Wait = left.Add(once.KeepGenerations(time.Duration(s.RetryWindow))).Sub(now)
	return r, r.Wait > 0
}

// leftAt returns by when a target that is no home any more had left the homes. One that the history does not mention
// may have been home until the history began; it was never home if the history began with the service.
func leftAt(h *manifest.HomeHistory, target string) time.Time {
	for _, m := range h.Moves {
		if slices.Contains(m.Left, target) {
			return m.At
		}
	}
	return h.At
}
