package targetlimit

import (
	"math"
	"sync"
	"time"
)

// decayTimeConstant is the time constant of the exponential decay of GrantStats. Callers that were refused come back within about that time.
const decayTimeConstant = time.Second

// maxBacklog caps the result of Backlog.
const maxBacklog = 10 * time.Second

// GrantStats keeps exponentially decayed counts of the grants that this instance obtained for a service's rate-limited targets, and
// of the requests that it refused for lack of a grant. It is safe for concurrent use.
type GrantStats struct {
	mu               sync.Mutex
	decayedAt        time.Time
	granted, refused float64
}

// RecordGrant counts a grant.
func (s *GrantStats) RecordGrant(now time.Time) { s.increment(&s.granted, now) }

// RecordRefusal counts a request refused for lack of a grant.
func (s *GrantStats) RecordRefusal(now time.Time) { s.increment(&s.refused, now) }

func (s *GrantStats) increment(counter *float64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decay(now)
	*counter++
}

// decay applies the decay of the time since the last update to both counts.
func (s *GrantStats) decay(now time.Time) {
	if elapsed := now.Sub(s.decayedAt); elapsed > 0 {
		factor := math.Exp(-elapsed.Seconds() / decayTimeConstant.Seconds())
		s.granted, s.refused, s.decayedAt = s.granted*factor, s.refused*factor, now
	}
}

// Backlog estimates how long it takes to grant as many requests as were recently refused, at the recent rate of grants.
func (s *GrantStats) Backlog(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decay(now)
	backlog := s.refused / max(s.granted, 1) * decayTimeConstant.Seconds()
	return min(time.Duration(backlog*float64(time.Second)), maxBacklog)
}
