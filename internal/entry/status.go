package entry

import (
	"sort"

	"github.com/egrethoist/egrethoist/internal/routing"
	"github.com/egrethoist/egrethoist/internal/statusz"
)

// TargetStatus is a target as this entry sees it.
type TargetStatus = statusz.Target

// Targets lists every target of the configuration, by service and name.
func (e *Entry) Targets() []TargetStatus {
	v := e.viewer.current()
	if v == nil {
		return nil
	}
	var out []TargetStatus
	for name, s := range v.services {
		candidates := s.targets.Candidates()
		for i := range candidates {
			out = append(out, e.status(name, &candidates[i]))
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Target < out[j].Target })
	return out
}

func (e *Entry) status(service string, c *routing.Candidate) TargetStatus {
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
