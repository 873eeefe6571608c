package statusz

import (
	"github.com/uber-go/tally/v4"
)

// States of a target in the gauge "targets" beside its phases.
const (
	stateOut         = "out"         // taken out by configuration
	stateUnreachable = "unreachable" // no live connection
	stateOutside     = "outside"     // the entry keeps no connection to it
)

// targetStates are all values of the label "state", so that a state that is left falls back to zero.
var targetStates = []string{
	"warm", "ramping", "cold", "loading", "leaving", "down", "unknown", stateOut, stateUnreachable, stateOutside,
}

// Gauges shows the status of one process as metrics. It is not safe for concurrent use.
type Gauges struct {
	scope    tally.Scope
	services map[string]bool // seen so far
}

// NewGauges returns gauges in the scope.
func NewGauges(scope tally.Scope) *Gauges {
	return &Gauges{scope: scope, services: map[string]bool{}}
}

// Set replaces the values.
func (g *Gauges) Set(p *Process) {
	g.scope.Gauge("revision").Update(float64(p.Revision))
	g.scope.Gauge("revision_confirmed_age_seconds").Update(p.ConfirmedAge)
	g.scope.Gauge("watching").Update(number(p.Watching))
	g.scope.Gauge("head_refused").Update(number(p.HeadRefused))
	g.setTargets(p.Targets)
	if p.Sidecar != nil {
		g.setSidecar(p.Sidecar)
	}
}

// targetLabel tells apart the counts of targets.
type targetLabel struct{ service, state string }

func (g *Gauges) setTargets(targets []Target) {
	counts := map[targetLabel]int{}
	for i := range targets {
		t := &targets[i]
		g.services[t.Service] = true
		counts[targetLabel{t.Service, t.State()}]++
	}
	for service := range g.services {
		for _, state := range targetStates {
			scope := g.scope.Tagged(map[string]string{"service": service, "state": state})
			scope.Gauge("targets").Update(float64(counts[targetLabel{service, state}]))
		}
	}
}

func (g *Gauges) setSidecar(s *Sidecar) {
	scope := g.scope.Tagged(map[string]string{"service": s.Service})
	scope.Gauge("target_limit").Update(float64(s.Limit))
	scope.Gauge("target_in_flight").Update(float64(s.InFlight))
	scope.Gauge("target_queued").Update(float64(s.Queued))
	for _, state := range targetStates {
		tagged := scope.Tagged(map[string]string{"state": state})
		tagged.Gauge("target_state").Update(number(state == s.Phase))
	}
}

// State is the target's phase, or why it gets no work from the entry.
func (t *Target) State() string {
	switch {
	case t.Out:
		return stateOut
	case t.Outside:
		return stateOutside
	case !t.Alive:
		return stateUnreachable
	}
	return t.Phase
}

func number(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
