package routing

import (
	"slices"
	"time"

	"github.com/egrethoist/egrethoist/internal/steadytime"
)

// Filter decides whether a candidate is eligible for a request. A filter must be cheap: it runs on the request
// path for every examined candidate.
type Filter interface {
	// Check returns CauseNone if the candidate is eligible. Otherwise wait is the time until it may become
	// eligible, zero if unknown.
	Check(req *Request, c *Candidate, coldLimit int, now time.Time) (cause Cause, wait time.Duration)
}

// Filters is a chain of filters; the first filter that excludes the candidate decides the cause.
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

// DefaultFilters returns the filters for a service, cheapest first.
func DefaultFilters() Filters {
	return Filters{ConditionFilter{}, VersionFilter{}, SoftwareFilter{}, TriedFilter{}, IncarnationFilter{}, EndedFilter{}, LeavingFilter{}, PauseFilter{}, LimitFilter{}, BackoffFilter{}, RampFilter{}, ColdFilter{}}
}

// QueueFilters returns the filters for requests that may wait in the queue of a target at its limit.
func QueueFilters() Filters {
	return Filters{ConditionFilter{}, VersionFilter{}, TriedFilter{}, IncarnationFilter{}}
}

// ConditionFilter drops targets that are disabled, leaving, down or without a live connection.
type ConditionFilter struct{}

// Check implements Filter.
func (ConditionFilter) Check(_ *Request, c *Candidate, _ int, _ time.Time) (Cause, time.Duration) {
	return staticCause(c), 0
}

// staticCause checks the conditions that are constant within a snapshot.
func staticCause(c *Candidate) Cause {
	switch {
	case c.Disabled:
		return CauseDisabled
	case c.Phase == PhaseLeaving:
		return CauseLeaving
	case c.Phase == PhaseDown:
		return CauseDown
	case !c.LinkAlive:
		return CauseLinkDown
	}
	return CauseNone
}

// RegionFilter drops targets outside the regions allowed for the request.
type RegionFilter struct{}

// Check implements Filter.
func (RegionFilter) Check(req *Request, c *Candidate, _ int, _ time.Time) (Cause, time.Duration) {
	if len(req.Regions) > 0 && !slices.Contains(req.Regions, c.Region) {
		return CauseRegion, 0
	}
	return CauseNone, 0
}

// VersionFilter drops targets that do not serve the requested weight version.
type VersionFilter struct{}

// Check implements Filter.
func (VersionFilter) Check(req *Request, c *Candidate, _ int, _ time.Time) (Cause, time.Duration) {
	if !c.serves(req.Version) {
		return CauseVersion, 0
	}
	return CauseNone, 0
}

// SoftwareFilter drops targets at whose software version the request must not run.
type SoftwareFilter struct{}

// Check implements Filter.
func (SoftwareFilter) Check(req *Request, c *Candidate, _ int, _ time.Time) (Cause, time.Duration) {
	if len(req.Software) > 0 && !slices.Contains(req.Software, c.Software) {
		return CauseSoftware, 0
	}
	return CauseNone, 0
}

// EndedFilter drops targets whose process is known to have ended, for streams: another process may answer at the address, with another
// version of the software.
type EndedFilter struct{}

// Check implements Filter.
func (EndedFilter) Check(req *Request, c *Candidate, _ int, _ time.Time) (Cause, time.Duration) {
	if req.Streams && c.Stats.Ended() {
		return CauseEnded, 0
	}
	return CauseNone, 0
}

// TriedFilter drops the targets of earlier attempts of the same request.
type TriedFilter struct{}

// Check implements Filter.
func (TriedFilter) Check(req *Request, c *Candidate, _ int, _ time.Time) (Cause, time.Duration) {
	if slices.Contains(req.Tried, c.Target) {
		return CauseTried, 0
	}
	return CauseNone, 0
}

// IncarnationFilter drops a target whose last report has another incarnation than the request requires.
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

// LeavingFilter drops targets that have announced their shutdown. Until its last-resort deadline such a target may
// still serve a request that no other target can.
type LeavingFilter struct{}

// Check implements Filter.
func (LeavingFilter) Check(req *Request, c *Candidate, _ int, now time.Time) (Cause, time.Duration) {
	until := c.Stats.lastResortUntil.Load()
	if until == nil || req.LastResort && now.Before(*until) {
		return CauseNone, 0
	}
	return CauseLeaving, 0
}

// PauseFilter drops targets that have requested a pause, until it ends.
type PauseFilter struct{}

// Check implements Filter.
func (PauseFilter) Check(_ *Request, c *Candidate, _ int, now time.Time) (Cause, time.Duration) {
	if wait := c.Stats.PauseRemaining(now); wait > 0 {
		return CausePaused, wait
	}
	return CauseNone, 0
}

// LimitFilter drops rate-limited targets that have recently denied a request of the same or a higher urgency.
type LimitFilter struct{}

// Check implements Filter.
func (LimitFilter) Check(req *Request, c *Candidate, _ int, now time.Time) (Cause, time.Duration) {
	if wait := c.Stats.DenialRemaining(req.Urgency, now); wait > 0 {
		return CauseLimited, wait
	}
	return CauseNone, 0
}

// BackoffFilter drops targets in backoff after failures.
type BackoffFilter struct{}

// Check implements Filter.
func (BackoffFilter) Check(req *Request, c *Candidate, _ int, now time.Time) (Cause, time.Duration) {
	if req.IgnoreBackoff {
		return CauseNone, 0
	}
	until := c.Stats.backoffUntil.Load()
	if until == 0 {
		return CauseNone, 0
	}
	if wait := time.Duration(until - steadytime.UnixNano(now)); wait > 0 {
		return CauseBackoff, wait
	}
	return CauseNone, 0
}

// RampFilter drops recovered targets whose ramp leaves this gateway no capacity for another request.
type RampFilter struct{}

// Check implements Filter.
func (RampFilter) Check(_ *Request, c *Candidate, _ int, _ time.Time) (Cause, time.Duration) {
	if c.Ramp != nil && !c.Ramp.HasRoom() {
		return CauseCold, c.Stats.MeanRun()
	}
	return CauseNone, 0
}

// ColdFilter drops targets that are not warm, or have not reported yet, and whose backlog has reached their limit.
// Warm targets are not checked, since they may queue requests.
type ColdFilter struct{}

// Check implements Filter.
func (ColdFilter) Check(_ *Request, c *Candidate, coldLimit int, _ time.Time) (Cause, time.Duration) {
	v := c.Stats.currentView(coldLimit)
	cold := c.Phase != PhaseWarm || !v.hasReport
	if cold && v.backlog() >= v.limit {
		return CauseCold, c.Stats.MeanRun()
	}
	return CauseNone, 0
}
