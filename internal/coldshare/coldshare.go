// Package coldshare bounds what all instances together give a cold target, without a message between them: each has an
// equal share of the rate that the target bears.
package coldshare

import (
	"sync"
	"time"

	"github.com/egrethoist/egrethoist/internal/mix64"
)

// mostSenders is the number of instances that may send to one cold target. More would have shares below one request a
// second, and a first request from each of them at once would be more than the target bears.
const maxSenders = 8

// Share is what one instance may give one cold target. It is safe for concurrent use.
type Limiter struct {
	mu         sync.Mutex
	coldUntil  time.Time
	rate       float64 // requests a second; zero: none may be sent
	burst      float64
	tokens     float64
	refilledAt time.Time
	now        func() time.Time
}

// Limits say what a cold target bears in one second from all instances together.
type Capacity struct {
	SustainedRate float64 // declared
	OverloadRate  float64 // at which it is overloaded
}

// New returns the share of the instance self, of those in instances, at the target that is cold until then.
func New(capacity Capacity, target, self uint64, instances []uint64, coldUntil time.Time, now func() time.Time) *Limiter {
	s := &Limiter{coldUntil: coldUntil, now: now}
	senders, isSender := selectSenders(target, self, instances)
	if !isSender {
		return s
	}
	// In any second an instance sends at most burst+rate, so all of them together stay below Most.
	n := float64(senders)
	s.rate = min(capacity.SustainedRate, capacity.OverloadRate/2) / n
	s.burst = max(1, (capacity.OverloadRate-capacity.SustainedRate)/n)
	if n*(s.burst+s.rate) > capacity.OverloadRate {
		s.rate = max(0, capacity.OverloadRate/n-s.burst)
	}
	s.tokens = 1
	s.refilledAt = now()
	return s
}

// chosen returns how many instances may send to the target and whether self is one of them.
func selectSenders(target, self uint64, instances []uint64) (int, bool) {
	if len(instances) <= maxSenders {
		return max(len(instances), 1), true
	}
	ownHash := mix64.Sum(target ^ mix64.Sum(self))
	higher := 0
	for _, other := range instances {
		if other != self && mix64.Sum(target^mix64.Sum(other)) > ownHash {
			higher++
		}
	}
	return maxSenders, higher < maxSenders
}

// Room implements routing.Ramp.
func (s *Limiter) HasRoom() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refill()
}

// fill credits the time passed and reports whether a request may be sent.
func (s *Limiter) refill() bool {
	now := s.now()
	if !now.Before(s.coldUntil) {
		return true
	}
	s.tokens = min(s.burst, s.tokens+s.rate*now.Sub(s.refilledAt).Seconds())
	s.refilledAt = now
	return s.tokens >= 1
}

// Begin implements routing.Ramp.
func (s *Limiter) TryAcquire() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.refill() {
		return false
	}
	s.tokens--
	return true
}

// End implements routing.Ramp. Arrivals count, not their ends.
func (s *Limiter) Release(bool) {}

// Refused implements routing.Ramp. Arrivals that the target refuses count too.
func (s *Limiter) ReleaseRefused() {}
