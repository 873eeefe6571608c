package once

import (
	"maps"
	"slices"
	"time"

	"github.com/egrethoist/egrethoist/internal/world"
)

// RecordedGenerations returns the generations that the configuration records for a service, newest first.
func RecordedGenerations(w *world.World, svc *world.Service, now time.Time) []Generation {
	h := svc.Homes
	set := map[string]bool{}
	for _, t := range w.HomeTargets(svc) {
		set[t] = true
	}
	var out []Generation
	for _, m := range h.Moves {
		out = append(out, recordedGeneration(m.Revision, m.At, set, now))
		for _, t := range m.Joined {
			delete(set, t)
		}
		for _, t := range m.Left {
			set[t] = true
		}
	}
	oldest := recordedGeneration(h.From, h.At, set, now)
	if h.At.IsZero() {
		oldest.Began = time.Time{}
	}
	for _, t := range svc.Targets {
		oldest.Declared = append(oldest.Declared, t.Name)
	}
	return append(out, oldest)
}

// recordedGeneration returns a generation with the latest time at which it can have begun: the move was accepted within
// RecordTolerance of the time that an operator's machine recorded, and before now, when it is already known.
func recordedGeneration(revision uint64, at time.Time, set map[string]bool, now time.Time) Generation {
	began := at.Add(RecordTolerance)
	if now.Before(began) {
		began = now
	}
	g := Generation{Revision: revision, Began: began}
	g.Targets = slices.Sorted(maps.Keys(set))
	return g
}

// CurrentGeneration returns the generation in force under a configuration that records no history. Unless it is the
// first revision, it is known to have begun only by now.
func CurrentGeneration(w *world.World, svc *world.Service, now time.Time) Generation {
	g := Generation{Revision: w.Revision.Number, Targets: w.HomeTargets(svc)}
	for _, t := range svc.Targets {
		g.Declared = append(g.Declared, t.Name)
	}
	if w.Revision.Number > 1 {
		g.Began = now
	}
	return g
}
