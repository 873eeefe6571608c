package routing

import (
	"slices"
	"time"
)

// Filter decides whether a candidate may be given the request. A filter must be cheap: it runs on the request
// path for every examined candidate.
type Filter interface {
	// Check returns CauseNone if the candidate is eligible. wait is when it may become so, zero if unknown.
	Check(req *Request, c *Candidate, coldLimit int, now time.Time) (cause Cause, wait time.Duration)
}

// Filters is a chain of filters; the first cause decides.
type Filters []Filter

// Check implements Filter.
func (fs Filters) Check(req *Request, c *Candidate, coldLimit int, now time.Time) (Cause, time.Duration) {
	for _, f := range fs {
		if cause, wait := f.Check(req, c, coldLimit, now); cause != CauseNone {
			return cause, wait
		}
	}
	return CauseNone, 0
}

// DefaultFilters returns the filters of a service, cheapest first.
func DefaultFilters() Filters {
	return Filters{ConditionFilter{}, VersionFilter{}, TriedFilter{}, IncarnationFilter{}, LeavingFilter{}, PauseFilter{}, LimitFilter{}, BackoffFilter{}, RampFilter{}, ColdFilter{}}
}

// QueueFilters returns the filters for work that may wait in the queue of a target without room.
func QueueFilters() Filters {
	return Filters{ConditionFilter{}, VersionFilter{}, TriedFilter{}, IncarnationFilter{}}
}

// ConditionFilter drops targets that are out, leaving, down or without a live connection.
type ConditionFilter struct{}

// Check implements Filter.
func (ConditionFilter) Check(_ *Request, c *Candidate, _ int, _ time.Time) (Cause, time.Duration) {
	return fixedCause(c), 0
}

// fixedCause is the part of eligibility that changes only with the snapshot.
func fixedCause(c *Candidate) Cause {
	switch {
	case c.Out:
		return CauseOut
	case c.Phase == PhaseLeaving:
		return CauseLeaving
	case c.Phase == PhaseDown:
		return CauseDown
	case !c.LinkAlive:
		return CauseLinkDown
	}
	return CauseNone
}

// RegionFilter drops targets outside the regions that may run the request.
type RegionFilter struct{}

// Check implements Filter.
func (RegionFilter) Check(req *Request, c *Candidate, _ int, _ time.Time) (Cause, time.Duration) {
	if len(req.Regions) > 0 && !slices.Contains(req.Regions, c.Region) {
		return CauseRegion, 0
	}
	return CauseNone, 0
}

// VersionFilter drops targets that do not serve the wanted weight version.
type VersionFilter struct{}

// Check implements Filter.
func (VersionFilter) Check(req *Request, c *Candidate, _ int, _ time.Time) (Cause, time.Duration) {
	if !c.serves(req.Version) {
		return CauseVersion, 0
	}
	return CauseNone, 0
}

// TriedFilter drops targets of earlier attempts.
type TriedFilter struct{}

// Check implements Filter.
func (TriedFilter) Check(req *Request, c *Candidate, _ int, _ time.Time) (Cause, time.Duration) {
	if slices.Contains(req.Tried, c.Target) {
		return CauseTried, 0
	}
	return CauseNone, 0
}

// IncarnationFilter drops the named target if its incarnation is known to be another one.
type IncarnationFilter struct{}

// Check implements Filter.
func (IncarnationFilter) Check(req *Request, c *Candidate, _ int, _ time.Time) (Cause, time.Duration) {
	if req.Incarnation == 0 {
		return CauseNone, 0
	}
	if seen := c.Stats.Incarnation(); seen != 0 && seen != req.Incarnation {
		return CauseIncarnation, 0
	}
	return CauseNone, 0
}

// LeavingFilter drops targets that have said that they leave, unless one is the last resort.
type LeavingFilter struct{}

// Check implements Filter.
func (LeavingFilter) Check(req *Request, c *Candidate, _ int, now time.Time) (Cause, time.Duration) {
	until := c.Stats.lastResort.Load()
	if until == nil || req.LastResort && now.Before(*until) {
		return CauseNone, 0
	}
	return CauseLeaving, 0
}

// PauseFilter drops targets that want nothing for a while.
type PauseFilter struct{}

// Check implements Filter.
func (PauseFilter) Check(_ *Request, c *Candidate, _ int, now time.Time) (Cause, time.Duration) {
	if wait := c.Stats.PauseLeft(now); wait > 0 {
		return CausePaused, wait
	}
	return CauseNone, 0
}

// LimitFilter drops targets whose rate is limited and that were denied to a request as urgent a moment ago.
type LimitFilter struct{}

// Check implements Filter.
func (LimitFilter) Check(req *Request, c *Candidate, _ int, now time.Time) (Cause, time.Duration) {
	if wait := c.Stats.DeniedLeft(req.Urgency, now); wait > 0 {
		return CauseLimited, wait
	}
	return CauseNone, 0
}

// BackoffFilter drops targets that are avoided after failures.
type BackoffFilter struct{}

// Check implements Filter.
func (BackoffFilter) Check(_ *Request, c *Candidate, _ int, now time.Time) (Cause, time.Duration) {
	until := c.Stats.backoffUntil.Load()
	if until == 0 {
		return CauseNone, 0
	}
	if wait := time.Duration(until - now.UnixNano()); wait > 0 {
		return CauseBackoff, wait
	}
	return CauseNone, 0
}

// RampFilter drops targets that have come back and already have what this entry may give them.
type RampFilter struct{}

// Check implements Filter.
func (RampFilter) Check(_ *Request, c *Candidate, _ int, _ time.Time) (Cause, time.Duration) {
	if c.Ramp != nil && !c.Ramp.Room() {
		return CauseCold, c.Stats.MeanRun()
	}
	return CauseNone, 0
}

// ColdFilter drops targets below their warm limit that already have what they bear. Warm targets may queue.
type ColdFilter struct{}

// Check implements Filter.
func (ColdFilter) Check(_ *Request, c *Candidate, coldLimit int, _ time.Time) (Cause, time.Duration) {
	v := c.Stats.read(coldLimit)
	cold := c.Phase != PhaseWarm || !v.known
	if cold && v.backlog() >= v.limit {
		return CauseCold, c.Stats.MeanRun()
	}
	return CauseNone, 0
}
