package membership

import "sync/atomic"

// Bounds of a ramp are kept in fractions of a request.
const (
	rampUnit  = 1 << 10      // one request
	rampStart = 1 * rampUnit // what one process gives a target that has just come back
)

// Ramp bounds the requests that one process has in flight at a target that has come back. The bound rises by
// one with every completion, so it doubles with each round of work, until the target refuses; from then on it
// falls with each refusal and rises by one a round. Once it reaches its full value the ramp is over and bounds
// nothing. It takes no lock.
type Ramp struct {
	full     int64
	inFlight atomic.Int64
	bound    atomic.Int64
	met      atomic.Bool // the target has refused
	over     atomic.Bool
}

func newRamp(full int) *Ramp {
	r := &Ramp{full: int64(full) * rampUnit}
	r.bound.Store(min(rampStart, r.full))
	return r
}

// Bound is the number of requests that may be in flight.
func (r *Ramp) Bound() int { return int(r.bound.Load() / rampUnit) }

// Done reports whether the ramp is over.
func (r *Ramp) Done() bool { return r.over.Load() }

// HasRoom reports whether another request fits.
func (r *Ramp) HasRoom() bool { return r.Done() || r.inFlight.Load() < int64(r.Bound()) }

// TryAcquire takes a place; false if the ramp has none left. Each success is paired with one Release or ReleaseRefused.
func (r *Ramp) TryAcquire() bool {
	for {
		n := r.inFlight.Load()
		if !r.Done() && n >= int64(r.Bound()) {
			return false
		}
		if r.inFlight.CompareAndSwap(n, n+1) {
			return true
		}
	}
}

// Release gives the place back. Only work that the target completed raises the bound.
func (r *Ramp) Release(completed bool) {
	r.inFlight.Add(-1)
	if completed && !r.Done() {
		r.change(r.raised)
	}
}

// ReleaseRefused gives the place back after the target refused the work.
func (r *Ramp) ReleaseRefused() {
	r.inFlight.Add(-1)
	if !r.Done() {
		r.met.Store(true)
		r.change(lowered)
	}
}

func (r *Ramp) raised(bound int64) int64 {
	if r.met.Load() {
		return bound + rampUnit*rampUnit/bound
	}
	return bound + rampUnit
}

func lowered(bound int64) int64 { return bound * 3 / 4 }

func (r *Ramp) change(next func(int64) int64) {
	for {
		old := r.bound.Load()
		bound := max(rampUnit, next(old))
		if !r.bound.CompareAndSwap(old, bound) {
			continue
		}
		if bound >= r.full {
			r.over.Store(true)
		}
		return
	}
}
