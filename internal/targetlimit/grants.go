package targetlimit

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/egrethoist/egrethoist/internal/delegate"
	"github.com/egrethoist/egrethoist/internal/departure"
	"github.com/egrethoist/egrethoist/internal/mix64"
)

// NumRanks is the number of request ranks; rank 0 is the most urgent.
const NumRanks = 10

const (
	// The capacity of a bucket is what the rate allows in burstSeconds. At low rates it is minBurst plus this amount, which then
	// counts only up to maxExtraBurst: the constant slack in the platform's bound on all requests must cover the burst.
	burstSeconds  = 0.25
	minBurst      = 1.0
	maxExtraBurst = 1.0
	// standbyShare is the fraction of the rate that the standby grants, since other instances may still reach the owner.
	standbyShare = 0.25
	// handoverDelay is how long a new owner grants nothing, since requests granted by the previous owner are still on their way.
	handoverDelay = time.Second
	// controlOverdraft is how far below zero control-plane calls, such as orders, may take the owner's bucket, in tokens.
	controlOverdraft = 2
	// Orders get at most maxControlShare of the rate, and all other control-plane calls as much again. The minimum interval that
	// follows from it is capped at maxControlInterval for each of the two.
	maxControlShare    = 0.25
	maxControlInterval = 2 * time.Second
	// lowerRankInterval prevents starvation: one in this many grants may go to a lower rank while more urgent requests are denied.
	lowerRankInterval = 10
	// minDenialWindow and maxDenialWindow bound the time for which a denied request counts as waiting to retry.
	minDenialWindow = 300 * time.Millisecond
	maxDenialWindow = 4 * time.Second
	// idleBucketTTL is how long the bucket of an unused target is kept; by then it is full at any rate.
	idleBucketTTL = time.Minute
)

// Role determines how much of a target's rate an instance may grant.
type Role uint8

// Roles.
const (
	NoRole  Role = iota
	Owner        // grants the whole rate
	Standby      // grants standbyShare of the rate to instances that cannot reach the owner
)

// Grantor is an instance that can be selected to grant requests to a target.
type Grantor struct {
	delegate.Member
	hash uint64
}

// NewGrantors returns the members that have an address, sorted by name, as candidates for SelectGrantors.
func NewGrantors(members []delegate.Member) []Grantor {
	out := make([]Grantor, 0, len(members))
	for _, m := range members {
		if m.Address != "" {
			out = append(out, Grantor{m, xxhash.Sum64String(m.Name)})
		}
	}
	slices.SortFunc(out, func(a, b Grantor) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// SelectGrantors returns the owner and the standby of a target by rendezvous hashing. Either is nil if there are too few grantors.
func SelectGrantors(i departure.Incarnation, grantors []Grantor) (owner, standby *Grantor) {
	var ownerScore, standbyScore uint64
	for n := range grantors {
		g := &grantors[n]
		switch score := mix64.Sum(uint64(i) ^ mix64.Sum(g.hash)); {
		case owner == nil || score > ownerScore:
			standby, standbyScore = owner, ownerScore
			owner, ownerScore = g, score
		case standby == nil || score > standbyScore:
			standby, standbyScore = g, score
		}
	}
	return owner, standby
}

// RoleOf returns the role of an instance for a target.
func RoleOf(name string, i departure.Incarnation, grantors []Grantor) Role {
	owner, standby := SelectGrantors(i, grantors)
	switch {
	case owner != nil && owner.Name == name:
		return Owner
	case standby != nil && standby.Name == name:
		return Standby
	}
	return NoRole
}

// GrantRequest describes a request or control-plane call to a rate-limited target.
type GrantRequest struct {
	Incarnation departure.Incarnation
	PerSecond   float64 // limit of the target for all instances together, requests per second
	Role        Role    // of the instance that grants
	Rank        int     // 0 is the most urgent
	Control     bool    // a control-plane call; those of rank 0 are orders
}

// Limiter holds a token bucket for each target that this instance grants requests for. It is safe for concurrent use.
type Limiter struct {
	mu      sync.Mutex
	buckets map[departure.Incarnation]*bucket
	sweptAt time.Time
}

// bucket is the token bucket of one target. One token is one request.
type bucket struct {
	rate                 float64
	tokens               float64
	refilledAt           time.Time
	lastControl          [2]time.Time        // last granted order, and last other granted control-plane call
	lastDenied           [NumRanks]time.Time // last denial of each rank
	grantsSinceLowerRank int                 // grants since the last one to a rank that had to yield
}

// NewLimiter returns a limiter without buckets.
func NewLimiter() *Limiter { return &Limiter{buckets: map[departure.Incarnation]*bucket{}} }

// Take grants a request, or returns how long the caller should wait before it tries again.
func (l *Limiter) Take(r GrantRequest, now time.Time) (granted bool, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sweep(now)
	rate := r.PerSecond
	switch r.Role {
	case NoRole:
		return false, handoverDelay
	case Standby:
		rate *= standbyShare
	}
	b := l.buckets[r.Incarnation]
	if b == nil {
		b = &bucket{rate: rate, tokens: -rate * handoverDelay.Seconds(), refilledAt: now}
		l.buckets[r.Incarnation] = b
	}
	b.refill(rate, now)
	if r.Control {
		return b.takeControl(r.Role, r.Rank, now)
	}
	return b.take(min(max(r.Rank, 0), NumRanks-1), now)
}

// sweep drops the buckets of idle targets, at most once every idleBucketTTL.
func (l *Limiter) sweep(now time.Time) {
	if now.Sub(l.sweptAt) < idleBucketTTL {
		return
	}
	l.sweptAt = now
	for i, b := range l.buckets {
		if now.Sub(b.refilledAt) >= idleBucketTTL {
			delete(l.buckets, i)
		}
	}
}

// refill credits the elapsed time at the previous rate, then switches to the given rate and its capacity.
func (b *bucket) refill(rate float64, now time.Time) {
	elapsed := max(now.Sub(b.refilledAt).Seconds(), 0)
	b.tokens = min(b.tokens+b.rate*elapsed, max(rate*burstSeconds, minBurst+min(rate*burstSeconds, maxExtraBurst)))
	b.refilledAt, b.rate = now, rate
}

// timeUntil returns the time until the bucket holds the given number of tokens.
func (b *bucket) timeUntil(tokens float64) time.Duration {
	return max(time.Duration((tokens-b.tokens)/b.rate*float64(time.Second)), time.Millisecond)
}

// take grants a request of a rank, or returns the wait until the next try.
func (b *bucket) take(rank int, now time.Time) (bool, time.Duration) {
	if b.tokens < 1 {
		b.lastDenied[rank] = now
		return false, b.timeUntil(1)
	}
	b.grantsSinceLowerRank++
	if b.mustYield(rank, now) {
		if b.grantsSinceLowerRank < lowerRankInterval {
			b.grantsSinceLowerRank--
			b.lastDenied[rank] = now
			return false, time.Duration(float64(time.Second) / b.rate)
		}
		b.grantsSinceLowerRank = 0
	}
	b.tokens--
	return true, 0
}

// mustYield reports whether a request of a more urgent rank was denied within the denial window, so that its retry is still expected.
func (b *bucket) mustYield(rank int, now time.Time) bool {
	denialWindow := min(max(time.Duration(2*float64(time.Second)/b.rate), minDenialWindow), maxDenialWindow)
	for _, at := range b.lastDenied[:rank] {
		if !at.IsZero() && now.Sub(at) < denialWindow {
			return true
		}
	}
	return false
}

// takeControl grants a control-plane call. Orders (rank 0) have an interval of their own, so that the report calls that precede them
// do not delay them.
func (b *bucket) takeControl(role Role, rank int, now time.Time) (bool, time.Duration) {
	overdraft := 0.0
	if role == Owner {
		overdraft = controlOverdraft
	}
	interval := min(time.Duration(float64(time.Second)/(b.rate*maxControlShare)), maxControlInterval)
	last := &b.lastControl[min(rank, 1)]
	if wait := interval - now.Sub(*last); wait > 0 && !last.IsZero() {
		return false, wait
	}
	if b.tokens < 1-overdraft {
		return false, b.timeUntil(1 - overdraft)
	}
	b.tokens--
	*last = now
	return true, 0
}
