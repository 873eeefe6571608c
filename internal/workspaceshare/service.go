package workspaceshare

import "math"

const (
	// tolerance is the fraction by which a workspace may exceed its share and still count as inside it. It covers the
	// variation of measured rates and refused requests that callers send again.
	tolerance = 0.1
	// minNoiseRequests is the number of requests within timeConstant that rateNoise allows for at least.
	minNoiseRequests = 2
	// coveredFraction is the fraction of all work asked for from which capacity counts as sufficient if it is served.
	coveredFraction = 0.99
	// maxRestFraction bounds the fraction of capacity that is set aside for workspaces left out of messages.
	maxRestFraction = 0.9
	// fullBenefitExcess is the work asked for beyond shares, as a fraction of capacity, from which workspaces inside their
	// shares get the full benefit. With less there is too little to take from others: waits would grow up to the deadlines.
	fullBenefitExcess = 0.05
)

// serviceShares is the state of the shares at one service at one time.
type serviceShares struct {
	usage     map[uint32]Usage // by workspace
	level     float64          // share per unit of weight; infinite if capacity is sufficient
	protected float64          // work asked for by workspaces inside their shares, as a fraction of capacity
	benefit   float64          // 0 to 1, see fullBenefitExcess
	urgencies urgencyUsage
}

// newServiceShares computes the shares from the usage of all instances. weight returns the weight of a workspace.
func newServiceShares(usage map[uint32]Usage, weight func(uint32) float64) *serviceShares {
	s := &serviceShares{usage: usage, level: math.Inf(1)}
	rest := usage[restWorkspace]
	delete(usage, restWorkspace)
	for u := range s.urgencies {
		s.urgencies[u] = usage[urgencyWorkspace+uint32(u)]
		delete(usage, urgencyWorkspace+uint32(u))
	}
	capacity, asked := rest.Used, rest.Asked
	demands := make([]Demand, 0, len(usage))
	for id, u := range usage {
		capacity += u.Used
		asked += u.Asked
		demands = append(demands, Demand{Asked: u.Asked, Weight: weight(id)})
	}
	if capacity <= 0 || capacity >= coveredFraction*asked {
		return s
	}
	s.level = Level(demands, capacity-min(rest.Asked, maxRestFraction*capacity))
	inside, excess := rest.Asked, 0.0
	for id, u := range usage {
		if limit := s.level * weight(id) * (1 + tolerance); u.Asked <= limit {
			inside += u.Asked
		} else {
			excess += u.Asked - limit
		}
	}
	s.protected = min(inside/capacity, 1)
	s.benefit = min(excess/capacity/fullBenefitExcess, 1)
	return s
}
