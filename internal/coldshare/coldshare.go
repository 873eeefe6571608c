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
const mostSenders = 8

// Share is what one instance may give one cold target. It is safe for concurrent use.
type Share struct {
	mu     sync.Mutex
	until  time.Time
	rate   float64 // requests a second; zero: none may be sent
	burst  float64
	tokens float64
	filled time.Time
	now    func() time.Time
}

// Limits say what a cold target bears in one second from all instances together.
type Limits struct {
	PerSecond float64 // declared
	Most      float64 // at which it is overloaded
}

// New returns the share of the instance self, of those in instances, at the target that is cold until then.
func New(l Limits, target, self uint64, instances []uint64, until time.Time, now func() time.Time) *Share {
	s := &Share{until: until, now: now}
	senders, own := chosen(target, self, instances)
	if !own {
		return s
	}
	// In any second an instance sends at most burst+rate, so all of them together stay below Most.
	n := float64(senders)
	s.rate = min(l.PerSecond, l.Most/2) / n
	s.burst = max(1, (l.Most-l.PerSecond)/n)
	if n*(s.burst+s.rate) > l.Most {
		s.rate = max(0, l.Most/n-s.burst)
	}
	s.tokens = 1
	s.filled = now()
	return s
}

// chosen returns how many instances may send to the target and whether self is one of them.
func chosen(target, self uint64, instances []uint64) (int, bool) {
	if len(instances) <= mostSenders {
		return max(len(instances), 1), true
	}
	own := mix64.Sum(target ^ mix64.Sum(self))
	ahead := 0
	for _, other := range instances {
		if other != self && mix64.Sum(target^mix64.Sum(other)) > own {
			ahead++
		}
	}
	return mostSenders, ahead < mostSenders
}

// Room implements routing.Ramp.
func (s *Share) Room() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fill()
}

// fill credits the time passed and reports whether a request may be sent.
func (s *Share) fill() bool {
	now := s.now()
	if !now.Before(s.until) {
		return true
	}
	s.tokens = min(s.burst, s.tokens+s.rate*now.Sub(s.filled).Seconds())
	s.filled = now
	return s.tokens >= 1
}

// Begin implements routing.Ramp.
func (s *Share) Begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.fill() {
		return false
	}
	s.tokens--
	return true
}

// End implements routing.Ramp. Arrivals count, not their ends.
func (s *Share) End(bool) {}

// Refused implements routing.Ramp. Arrivals that the target refuses count too.
func (s *Share) Refused() {}
