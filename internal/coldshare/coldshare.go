// Package coldshare limits the request rate of all instances together at a cold target, without communication between
// them: each sending instance has a token bucket with an equal share of the target's rate.
package coldshare

import (
	"sync"
	"time"

	"github.com/egrethoist/egrethoist/internal/mix64"
)

// maxSenders is the number of instances that may send to one cold target. With more of them the shares would fall below
// one request per second, and the first requests of all of them together would overload the target.
const maxSenders = 8

// Limiter is the token bucket of one instance for one cold target. It implements routing.Ramp and is safe for concurrent
// use.
type Limiter struct {
	mu         sync.Mutex
	coldUntil  time.Time // no limit from then on
	rate       float64   // refill rate, requests per second; zero for an instance that may not send
	burst      float64   // capacity of the bucket in requests
	tokens     float64   // requests that may be sent now
	refilledAt time.Time
	now        func() time.Time
}

// Capacity is what a cold target sustains, in requests per second from all instances together.
type Capacity struct {
	SustainedRate float64 // declared rate
	OverloadRate  float64 // rate from which it is overloaded
}

// New returns the limiter of the instance self for a target that is cold until coldUntil. instances are the hashes of all
// instances, including self. The bucket starts with one token.
func New(capacity Capacity, target, self uint64, instances []uint64, coldUntil time.Time, now func() time.Time) *Limiter {
	l := &Limiter{now: now}
	l.Update(capacity, target, self, instances, coldUntil)
	return l
}

// Update changes the share of this instance, as for New, and the end of the cold time. It adds no tokens to a bucket in use: otherwise each
// change of the list of instances would let all of them send again.
func (l *Limiter) Update(capacity Capacity, target, self uint64, instances []uint64, coldUntil time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := l.now(); now.Before(l.coldUntil) {
		l.refill()
	} else {
		l.tokens, l.refilledAt = 1, now // not limited until now
	}
	l.coldUntil = coldUntil
	senders, isSender := selectSenders(target, self, instances)
	if !isSender {
		l.rate, l.burst, l.tokens = 0, 0, 0
		return
	}
	// In any second an instance sends at most burst+rate requests, so all of them together stay below OverloadRate.
	n := float64(senders)
	l.rate = min(capacity.SustainedRate, capacity.OverloadRate/2) / n
	l.burst = max(1, (capacity.OverloadRate-capacity.SustainedRate)/n)
	if n*(l.burst+l.rate) > capacity.OverloadRate {
		l.rate = max(0, capacity.OverloadRate/n-l.burst)
	}
	l.tokens = min(l.tokens, l.burst)
}

// selectSenders returns the number of instances that may send to the target and whether self is one of them. If there
// are more than maxSenders, all instances select the same ones by rendezvous hashing.
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

// HasRoom implements routing.Ramp.
func (l *Limiter) HasRoom() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.refill()
}

// refill adds the tokens for the time passed and reports whether a request may be sent.
func (l *Limiter) refill() bool {
	now := l.now()
	if !now.Before(l.coldUntil) {
		return true
	}
	l.tokens = min(l.burst, l.tokens+l.rate*now.Sub(l.refilledAt).Seconds())
	l.refilledAt = now
	return l.tokens >= 1
}

// TryAcquire implements routing.Ramp.
func (l *Limiter) TryAcquire() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.refill() {
		return false
	}
	l.tokens--
	return true
}

// Release implements routing.Ramp. It does nothing, since the rate of requests sent is limited, not their number in flight.
func (l *Limiter) Release(bool) {}

// ReleaseRefused implements routing.Ramp. It does nothing, since requests that the target refuses count too.
func (l *Limiter) ReleaseRefused() {}
