package entry

import (
	"sort"

	"github.com/egrethoist/egrethoist/internal/routing"
	"github.com/egrethoist/egrethoist/internal/statusz"
)

// TargetStatus is the status of a target from the view of this entry.
type TargetStatus = statusz.Target

// Targets returns the status of every target of the configuration, sorted by name; nil without a configuration.
func (e *Entry) Targets() []TargetStatus {
	v := e.views.current()
	if v == nil {
		return nil
	}
	var out []TargetStatus
	for name, s := range v.services {
		candidates := s.targets.Candidates()
		for i := range candidates {
			out = append(out, e.targetStatus(name, &candidates[i]))
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Target < out[j].Target })
	return out
}

// targetStatus returns the status of one candidate.
func (e *Entry) targetStatus(service string, c *routing.Candidate) TargetStatus {
	return TargetStatus{
		Service:  service,
		Target:   c.Target,
		Phase:    c.Phase.String(),
		Alive:    c.LinkAlive,
		Out:      c.Disabled,
		Eligible: c.Available(),
		InFlight: c.Stats.InFlight(),
		Outside:  e.pool.get(c.Target) == nil,
	}
}
