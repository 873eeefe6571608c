package canary

import (
	"slices"
	"time"
)

// Begin returns the record with which the owner begins the rollout of an order, given the record before, nil for none, and the software versions
// of the usable targets. It returns false if the order asks for nothing now: it is carried out already, or waits until the rollout of another
// version that takes all requests is complete.
func Begin(o Order, before *Record, versions []string, now time.Time) (Record, bool) {
	if before != nil && (before.Covers(o) || before.Phase == PhaseSwitch) {
		return Record{}, false
	}
	r := Record{
		Order: o.Revision, Target: o.Target, Phase: PhaseRamp, Reason: "begun", StartedMs: now.UnixMilli(), DeadlineMs: now.Add(o.Ramp).UnixMilli(),
		Evidence: []Evidence{}, Old: []string{},
	}
	if before != nil && r.StartedMs <= before.StartedMs {
		r.DeadlineMs += before.StartedMs + 1 - r.StartedMs
		r.StartedMs = before.StartedMs + 1 // it identifies the rollout
	}
	if before != nil && before.Target != o.Target {
		r.Abandoned = slices.DeleteFunc(slices.Clone(before.Abandoned), func(v string) bool { return v == o.Target })
		if before.Phase == PhaseRamp || before.Phase == PhaseRolledBack {
			r.Abandoned = append(r.Abandoned, before.Target)
		}
	}
	for _, v := range versions {
		abandoned := before != nil && v == before.Target && (before.Phase == PhaseRamp || before.Phase == PhaseRolledBack)
		stopped := before != nil && before.Phase == PhaseDone && v != before.Target && slices.Contains(before.Old, v)
		if v != o.Target && !abandoned && !stopped && !slices.Contains(r.Abandoned, v) {
			r.Old = append(r.Old, v)
		}
	}
	if len(r.Old) == 0 && before != nil && before.Phase == PhaseRamp && before.Target != o.Target {
		r.Old = slices.DeleteFunc(slices.Clone(before.Old), func(v string) bool { return v == o.Target })
	}
	if len(r.Old) == 0 && slices.Contains(versions, o.Target) {
		r.Phase, r.Reason, r.Share = PhaseDone, "all targets have the version", 1
	}
	return r, true
}
