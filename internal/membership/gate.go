package membership

import "github.com/egrethoist/egrethoist/internal/world"

// Gate is the state by which a sidecar decides whether it accepts new work. It rejects work from entries that do not know yet that
// the target is excluded.
type Gate struct {
	World    *world.World // nil until a configuration is known
	Target   string
	Stopping bool // a planned stop has reached the phase in which work is refused
}

// Check returns why the sidecar refuses new work, CauseNone if it accepts work. A sidecar without a configuration refuses, because
// its failure domain might be drained.
func (g Gate) Check() Cause {
	if g.World == nil || g.World.Targets[g.Target] == nil {
		return CauseUnknown
	}
	switch {
	case !g.World.TakesNewWork(g.World.Targets[g.Target]):
		return CauseDrained
	case g.Stopping:
		return CauseStopping
	}
	return CauseNone
}
