package routing

import (
	"math"
	"sync/atomic"
)

// ewma is an exponentially weighted moving average that concurrent picks update without a lock. A lost
// compare-and-swap only skips a sample.
type ewma struct{ bits atomic.Uint64 }

// ewmaWeight is the weight of one sample in the moving average.
const ewmaWeight = 1.0 / 64

func (a *ewma) value() float64 { return math.Float64frombits(a.bits.Load()) }

func (a *ewma) add(sample float64) {
	old := a.bits.Load()
	value := math.Float64frombits(old)
	a.bits.CompareAndSwap(old, math.Float64bits(value+(sample-value)*ewmaWeight))
}

// sampleUtilization adds the reported utilization of a randomly drawn candidate to the moving average.
func (s *Snapshot) sampleUtilization(c *Candidate) {
	if r := c.Stats.load.Load(); r != nil {
		s.utilization.add(float64(r.InFlight+r.Queued) / float64(max(r.Limit, 1)))
	}
}

// Utilization returns the moving average of (in-flight + queued requests) / limit over the candidates that picks
// have sampled.
func (s *Snapshot) Utilization() float64 { return s.utilization.value() }

func (s *Snapshot) poolStats() PoolStats {
	return PoolStats{ColdLimit: s.coldLimit, Utilization: s.Utilization()}
}
