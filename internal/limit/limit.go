// Package limit enforces the limits of each workspace at one entry instance: requests in flight and requests per second. It is
// lock-free: counters are atomics, and the limits are immutable.
package limit

import (
	"sync/atomic"
	"time"

	"github.com/egrethoist/egrethoist/internal/steadytime"
	"github.com/egrethoist/egrethoist/internal/world"
)

// burstWindow determines the burst: a workspace may send as many requests at once as its rate allows in this time.
const burstWindow = time.Second

// Refusal is the reason why a request was not admitted. RefusalNone means that it was admitted.
type Refusal int

// Causes of refusal.
const (
	RefusalNone     Refusal = iota
	RefusalUnknown          // the workspace is not in the configuration
	RefusalInFlight         // too many requests in flight
	RefusalRate             // too many requests per second
)

// Decision is the result of Acquire.
type Decision struct {
	Refusal    Refusal
	RetryAfter time.Duration // for RefusalRate: time until the rate allows the next request
	Lease      Lease         // for RefusalNone: must be released
}

// Lease stands for one request in flight.
type Lease struct{ counters *counters }

// Release ends the request. It must be called exactly once for each acquired lease.
func (l Lease) Release() { l.counters.inFlight.Add(-1) }

// Set holds the limits of all workspaces of one configuration. It is safe for concurrent use.
type Set struct {
	limiters map[string]limiter
}

// limiter combines the limits of one configuration with counters that are carried over to the next one.
type limiter struct {
	maxInFlight    int64         // zero is unlimited
	interval       time.Duration // between requests at the full rate; zero is unlimited
	burstTolerance time.Duration // how far arrivals may be ahead of the rate
	counters       *counters
}

// counters is the state of one workspace.
type counters struct {
	inFlight    atomic.Int64
	nextArrival atomic.Int64 // theoretical arrival time of the next request at the full rate, in Unix nanoseconds
}

// NewSet returns the limits of a configuration. Workspaces that are also in prev keep their counters; prev may be nil.
func NewSet(w *world.World, prev *Set) *Set {
	s := &Set{limiters: make(map[string]limiter, len(w.Workspaces))}
	for name, ws := range w.Workspaces {
		s.limiters[name] = newLimiter(ws, prev.countersFor(name))
	}
	return s
}

// countersFor returns the counters of a workspace, new ones if s is nil or does not contain it.
func (s *Set) countersFor(name string) *counters {
	if s != nil {
		if l, ok := s.limiters[name]; ok {
			return l.counters
		}
	}
	return &counters{}
}

func newLimiter(ws *world.Workspace, c *counters) limiter {
	l := limiter{maxInFlight: int64(ws.MaxInFlight), counters: c}
	if ws.RequestsPerSec > 0 {
		l.interval = max(1, time.Duration(float64(time.Second)/ws.RequestsPerSec))
		l.burstTolerance = max(0, burstWindow-l.interval) // at any rate one request is admitted
	}
	return l
}

// Acquire admits a request of the workspace or returns the reason for its refusal. A refusal has no lasting effect on the
// counters.
func (s *Set) Acquire(workspace string, now time.Time) Decision {
	l, ok := s.limiters[workspace]
	if !ok {
		return Decision{Refusal: RefusalUnknown}
	}
	if !l.acquireInFlight() {
		return Decision{Refusal: RefusalInFlight}
	}
	if wait := l.takeFromRate(steadytime.UnixNano(now)); wait > 0 {
		l.counters.inFlight.Add(-1)
		return Decision{Refusal: RefusalRate, RetryAfter: wait}
	}
	return Decision{Lease: Lease{l.counters}}
}

// InFlight returns the number of requests of the workspace in flight; zero for an unknown workspace.
func (s *Set) InFlight(workspace string) int {
	l, ok := s.limiters[workspace]
	if !ok {
		return 0
	}
	return int(l.counters.inFlight.Load())
}

// acquireInFlight counts a request in flight, or returns false if the limit is reached.
func (l *limiter) acquireInFlight() bool {
	if l.maxInFlight == 0 {
		l.counters.inFlight.Add(1)
		return true
	}
	for {
		n := l.counters.inFlight.Load()
		if n >= l.maxInFlight {
			return false
		}
		if l.counters.inFlight.CompareAndSwap(n, n+1) {
			return true
		}
	}
}

// takeFromRate takes one request from the rate and returns zero, or returns the time until the rate allows one. It implements the
// generic cell rate algorithm: a token bucket whose whole state is one time, so that one compare-and-swap suffices.
func (l *limiter) takeFromRate(now int64) time.Duration {
	if l.interval == 0 {
		return 0
	}
	for {
		next := l.counters.nextArrival.Load()
		if ahead := time.Duration(next - now); ahead > l.burstTolerance {
			return ahead - l.burstTolerance
		}
		if l.counters.nextArrival.CompareAndSwap(next, max(next, now)+int64(l.interval)) {
			return 0
		}
	}
}
