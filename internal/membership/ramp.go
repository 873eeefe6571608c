package membership

import "sync/atomic"

// The limit of a ramp is stored in fractions of a request.
const (
	limitUnit    = 1 << 10       // one request
	initialLimit = 1 * limitUnit // limit of one process for a target that has just become eligible
)

// Ramp limits the requests that one process has in flight at a target that has become eligible again. It works like TCP slow
// start: the limit rises by one with every completed request, so it doubles with each round trip, until the target refuses a
// request. From then on each refusal reduces the limit by a quarter, and it rises by one per round trip. Once it reaches
// finalLimit the ramp is done and limits nothing. It is safe for concurrent use and lock-free.
type Ramp struct {
	finalLimit int64
	inFlight   atomic.Int64
	limit      atomic.Int64
	refused    atomic.Bool // the target has refused a request
	done       atomic.Bool
}

func newRamp(finalLimit int) *Ramp {
	r := &Ramp{finalLimit: int64(finalLimit) * limitUnit}
	r.limit.Store(min(initialLimit, r.finalLimit))
	return r
}

// Limit returns how many requests may be in flight.
func (r *Ramp) Limit() int { return int(r.limit.Load() / limitUnit) }

// Done reports whether the ramp has ended and limits nothing.
func (r *Ramp) Done() bool { return r.done.Load() }

// HasRoom reports whether another request is within the limit.
func (r *Ramp) HasRoom() bool { return r.Done() || r.inFlight.Load() < int64(r.Limit()) }

// TryAcquire adds a request in flight. It returns false if the limit is reached. Each success must be paired with one call of Release or
// ReleaseRefused.
func (r *Ramp) TryAcquire() bool {
	for {
		n := r.inFlight.Load()
		if !r.Done() && n >= int64(r.Limit()) {
			return false
		}
		if r.inFlight.CompareAndSwap(n, n+1) {
			return true
		}
	}
}

// Release removes a request in flight. Only requests that the target completed raise the limit.
func (r *Ramp) Release(completed bool) {
	r.inFlight.Add(-1)
	if completed && !r.Done() {
		r.updateLimit(r.increased)
	}
}

// ReleaseRefused removes a request in flight that the target refused, and lowers the limit.
func (r *Ramp) ReleaseRefused() {
	r.inFlight.Add(-1)
	if !r.Done() {
		r.refused.Store(true)
		r.updateLimit(decreased)
	}
}

// increased returns the limit after a completed request: one more before the first refusal, about one more per round trip after
// it.
func (r *Ramp) increased(limit int64) int64 {
	if r.refused.Load() {
		return limit + limitUnit*limitUnit/limit
	}
	return limit + limitUnit
}

func decreased(limit int64) int64 { return limit * 3 / 4 }

// updateLimit atomically sets the limit to next of the current one, but to at least one request.
func (r *Ramp) updateLimit(next func(int64) int64) {
	for {
		old := r.limit.Load()
		limit := max(limitUnit, next(old))
		if !r.limit.CompareAndSwap(old, limit) {
			continue
		}
		if limit >= r.finalLimit {
			r.done.Store(true)
		}
		return
	}
}
