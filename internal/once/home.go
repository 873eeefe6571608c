package once

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/egrethoist/egrethoist/internal/mix64"
)

// workspaceTag returns the hash of a workspace that its tickets contain.
func workspaceTag(workspace string) uint64 { return xxhash.Sum64String("workspace\x00" + workspace) }

// Generation is a set of targets among which the homes of a service's keys are chosen, and the time at which it came
// into force. A process that learned of the revision later knows only the latest time at which it can have begun.
// Handovers contain it as JSON under the field names.
type Generation struct {
	Revision  uint64
	Began     time.Time // latest time at which the revision can have been accepted; zero: since the service exists
	NotBefore time.Time // earliest time at which the revision can have been accepted; zero: not known
	Targets   []string  // declared targets that are neither drained nor in a drained failure domain
	Declared  []string  // all declared targets, drained or not; only needed if earlier revisions were missed
	Any       bool      // the generation stands for missed revisions: any of Targets may have been home
}

// How long earlier homes of keys matter.
const (
	// DefaultRetryWindow applies to a service that declares no retry window.
	DefaultRetryWindow = 2 * time.Minute
	// HistoryMargin is how long beyond the retry window the earlier homes of keys are still queried. It covers transit,
	// clock skew and the propagation of revisions.
	HistoryMargin = 60 * time.Second
	// MaxStaleness is how long after a move of homes a partitioned target may still act on the homes before it. A
	// sidecar that knows of the move waits for such a target without limit. One that starts later learns only of the
	// moves that the configuration records, which go back MaxStaleness further than keys may be repeated.
	MaxStaleness = 1 * time.Hour
	// RecordTolerance bounds the difference between the time that a configuration records for a move of homes and the
	// time at which the move was accepted, by the clock of any sidecar: the clocks of operators' machines differ from
	// those of the instances, and a change takes time to be accepted.
	RecordTolerance = 5 * time.Minute
)

// GenerationRetention returns how long after its end the targets of a generation are still queried, by the clock of a
// sidecar that knows when it ended. A retry window of zero stands for DefaultRetryWindow.
func GenerationRetention(retryWindow time.Duration) time.Duration {
	if retryWindow == 0 {
		retryWindow = DefaultRetryWindow
	}
	return retryWindow + HistoryMargin
}

// maxMissedTargets bounds the targets of a generation that stands for missed revisions, because all of them are queried.
const maxMissedTargets = 32

// Homes maps each key to its home, the target chosen by rendezvous hashing under the current generation, and knows the
// earlier generations whose targets may have run keys. It is immutable. Every entry gateway and sidecar derives it from
// the configuration alone, so all that act on the same revision agree without communication.
type Homes struct {
	generations  []Generation // newest first
	completeFrom uint64       // no generation since this revision is missing
	revision     uint64       // newest known revision, whether it changed the targets or not
}

// NewHomes returns the homes under the given generations, newest first, without gaps.
func NewHomes(generations ...Generation) *Homes {
	h := &Homes{generations: slices.Clone(generations)}
	if n := len(generations); n > 0 {
		h.revision, h.completeFrom = generations[0].Revision, generations[n-1].Revision
	}
	return h
}

// Advance returns the homes with g as the current generation. A generation with the same targets replaces nothing, as
// no home moved. If revisions before g were missed, any declared target may have been home under them; with more than
// maxMissedTargets of those, the history starts again with g. Generations that ended longer than retention before now
// are dropped unless one of their targets is not settled: a target that may still act on the old generation can still
// run keys under it.
func (h *Homes) Advance(g Generation, now time.Time, retention time.Duration, settled func(target string, revision uint64) bool) *Homes {
	g.Targets = slices.Sorted(slices.Values(g.Targets))
	next := &Homes{completeFrom: h.completeFrom, revision: g.Revision}
	switch {
	case len(h.generations) == 0 || g.Revision > h.revision+1:
		next.generations, next.completeFrom = h.withMissed(g), g.Revision
	case slices.Equal(h.generations[0].Targets, g.Targets):
		next.generations = h.generations
	default:
		next.generations = append([]Generation{g}, h.generations...)
	}
	return next.Prune(now, retention, settled)
}

// WithRecorded returns the homes with the generations that a configuration records, newest first and without gaps after
// the oldest. Older generations that these homes know stay until they are pruned. The revisions before the record count
// as missed if there is a gap between these homes and the record, or if these homes are empty and the record goes back
// neither to the start of the service nor by horizon.
func (h *Homes) WithRecorded(record []Generation, revision uint64, now time.Time, horizon time.Duration) *Homes {
	recorded := h.trimRecorded(record, now, horizon)
	oldest := recorded[len(recorded)-1]
	next := &Homes{generations: recorded, completeFrom: oldest.Revision, revision: revision}
	switch {
	case len(h.generations) > 0 && h.revision+1 >= oldest.Revision:
		next.completeFrom = min(h.completeFrom, oldest.Revision)
		next.generations = append(recorded, h.olderThan(oldest.Revision)...)
	case len(h.generations) > 0 || !oldest.Began.IsZero() && !endedBefore(oldest, now, horizon):
		next.generations = append(recorded, h.withMissed(oldest)[1:]...)
	}
	return next
}

// trimRecorded returns the recorded generations that still matter, each with the earliest known value of Began.
// Generations that ended longer than horizon ago are left out; they matter only to homes that knew of them before.
func (h *Homes) trimRecorded(record []Generation, now time.Time, horizon time.Duration) []Generation {
	var out []Generation
	for i, g := range record {
		g.Targets = slices.Sorted(slices.Values(g.Targets))
		if i > 0 && endedBefore(out[i-1], now, horizon) {
			break
		}
		if known := h.findGeneration(g.Revision); known != nil && known.Began.Before(g.Began) {
			g.Began = known.Began
		}
		out = append(out, g)
	}
	return out
}

func (h *Homes) findGeneration(revision uint64) *Generation {
	i := slices.IndexFunc(h.generations, func(g Generation) bool { return g.Revision == revision && !g.Any })
	if i < 0 {
		return nil
	}
	return &h.generations[i]
}

// olderThan returns the generations older than a revision.
func (h *Homes) olderThan(revision uint64) []Generation {
	i := slices.IndexFunc(h.generations, func(g Generation) bool { return g.Revision < revision })
	if i < 0 {
		return nil
	}
	return h.generations[i:]
}

// withMissed returns g and, if revisions between h and g were missed, a generation that stands for them. With too many
// targets to query it returns g alone.
func (h *Homes) withMissed(g Generation) []Generation {
	missed := Generation{Any: true, Revision: g.Revision - 1, Targets: slices.Clone(g.Declared)}
	for _, old := range h.generations {
		missed.Targets = append(missed.Targets, old.Targets...)
	}
	slices.Sort(missed.Targets)
	missed.Targets = slices.Compact(missed.Targets)
	fromStart := len(h.generations) == 0 && g.Began.IsZero()
	if fromStart || len(g.Declared) == 0 || len(missed.Targets) > maxMissedTargets {
		return []Generation{g}
	}
	// The targets of all older generations are in this one, so keeping those would add nothing.
	return []Generation{g, missed}
}

// withInherited returns the homes with the history of a predecessor that knew every revision up to revision. If there
// is a gap between the two it returns the homes unchanged.
func (h *Homes) withInherited(older []Generation, revision uint64) *Homes {
	if len(h.generations) == 0 || len(older) == 0 || h.completeFrom > revision+1 {
		return h
	}
	all := slices.Clone(h.generations)
	if last := len(all) - 1; last > 0 && all[last].Any {
		// The predecessor knew the revisions that this generation stands for.
		all = all[:last]
	}
	oldest := &all[len(all)-1]
	rest := slices.DeleteFunc(slices.Clone(older), func(g Generation) bool { return g.Revision > oldest.Revision })
	if len(rest) > 0 && (rest[0].Revision == oldest.Revision || slices.Equal(rest[0].Targets, oldest.Targets)) {
		oldest.Began, oldest.NotBefore = rest[0].Began, rest[0].NotBefore
		rest = rest[1:]
	}
	completeFrom := h.completeFrom
	if n := len(older); n > 0 {
		completeFrom = min(completeFrom, older[n-1].Revision)
	}
	return &Homes{generations: append(all, rest...), completeFrom: completeFrom, revision: h.revision}
}

// FormerHomes returns the targets that may have been home, in an earlier generation, of keys whose home is self now,
// each with the revision since which it is not. If self and another target are both in the earlier and in the current
// generation, no key moved between them.
func (h *Homes) FormerHomes(self string) map[string]uint64 {
	former := map[string]uint64{}
	for i := 1; i < len(h.generations); i++ {
		g := &h.generations[i]
		selfRemains := !g.Any && slices.Contains(g.Targets, self)
		for _, t := range g.Targets {
			if t == self || former[t] != 0 || selfRemains && slices.Contains(h.generations[0].Targets, t) {
				continue
			}
			former[t] = h.generations[i-1].Revision
		}
	}
	return former
}

// Prune returns the homes without the generations that ended longer than retention before now and whose targets are all
// settled. settled reports whether a target can no longer run keys under generations older than the revision.
func (h *Homes) Prune(now time.Time, retention time.Duration, settled func(string, uint64) bool) *Homes {
	kept := make([]Generation, 0, len(h.generations))
	for i, g := range h.generations {
		if i == 0 || !endedBefore(h.generations[i-1], now, retention) || !allSettled(g.Targets, h.generations[i-1].Revision, settled) {
			kept = append(kept, g)
		}
	}
	return &Homes{generations: kept, completeFrom: h.completeFrom, revision: h.revision}
}

// endedBefore reports whether the generation that succ replaced ended longer than retention ago.
func endedBefore(succ Generation, now time.Time, retention time.Duration) bool {
	return now.Sub(succ.Began) > retention
}

func allSettled(targets []string, revision uint64, settled func(string, uint64) bool) bool {
	for _, t := range targets {
		if !settled(t, revision) {
			return false
		}
	}
	return true
}

// Current returns the generation in force, or the zero Generation if there is none.
func (h *Homes) Current() Generation {
	if len(h.generations) == 0 {
		return Generation{}
	}
	return h.generations[0]
}

// Generations returns all generations, newest first. Callers must not change them.
func (h *Homes) Generations() []Generation { return h.generations }

// HomeOf returns the home of a key under the current generation, or "" if no target is declared.
func (h *Homes) HomeOf(k Key) string { return rendezvousHome(k, h.Current().Targets) }

// EarlierHomes returns the targets other than self that may have been home of the key in earlier generations, newest
// first.
func (h *Homes) EarlierHomes(k Key, self string) []string {
	var out []string
	for i := 1; i < len(h.generations); i++ {
		for _, t := range h.generations[i].possibleHomes(k) {
			if t != self && !slices.Contains(out, t) {
				out = append(out, t)
			}
		}
	}
	return out
}

// possibleHomes returns the targets that may have been home of the key in this generation.
func (g *Generation) possibleHomes(k Key) []string {
	if g.Any {
		return g.Targets
	}
	if t := rendezvousHome(k, g.Targets); t != "" {
		return []string{t}
	}
	return nil
}

// onlyUnderMissed reports whether the target can have been home of the key only under missed revisions, and the time by
// which a later revision is known to have been in force.
func (h *Homes) onlyUnderMissed(k Key, target string) (since time.Time, ok bool) {
	for i := 1; i < len(h.generations); i++ {
		g := &h.generations[i]
		if !slices.Contains(g.possibleHomes(k), target) {
			continue
		}
		if !g.Any {
			return time.Time{}, false
		}
		if since.IsZero() {
			since = h.generations[i-1].Began
		}
	}
	return since, !since.IsZero()
}

// HomeSince returns the earliest time at which self can have become the home of the key that it still is, zero if that
// is not known, and whether self was home in no earlier known generation.
func (h *Homes) HomeSince(k Key, self string) (notBefore time.Time, first bool) {
	if h.HomeOf(k) != self {
		return time.Time{}, false
	}
	i := 0
	for i+1 < len(h.generations) && !h.generations[i+1].Any && rendezvousHome(k, h.generations[i+1].Targets) == self {
		i++
	}
	for _, g := range h.generations[i+1:] {
		if slices.Contains(g.possibleHomes(k), self) {
			return h.generations[i].NotBefore, false
		}
	}
	return h.generations[i].NotBefore, true
}

// rendezvousHome returns the target with the highest hash of key and target (rendezvous hashing). A target that is
// added or removed moves only the keys that it gains or held.
func rendezvousHome(k Key, targets []string) string {
	best, bestHash := "", uint64(0)
	seed := keyHash(k)
	for _, t := range targets {
		h := mix64.Sum(seed ^ xxhash.Sum64String(t))
		if best == "" || h > bestHash || h == bestHash && t < best {
			best, bestHash = t, h
		}
	}
	return best
}

func keyHash(k Key) uint64 {
	return xxhash.Sum64String(k.Workspace + "\x00" + k.Service + "\x00" + k.ID)
}
