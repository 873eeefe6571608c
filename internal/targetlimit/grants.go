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

// Ranks is the number of ranks of requests; 0 is the most urgent.
const Ranks = 10

const (
	// burstTime is the part of a second's requests that an owner grants at once, beside burstLeast. The slack of the bound on the
	// sum bears it, up to burstExtra at low rates.
	burstTime  = 0.25
	burstLeast = 1.0
	burstExtra = 1.0
	// standInShare is the part of the rate that a stand-in grants, beside an owner that others may still reach.
	standInShare = 0.25
	// handOver is how long a new owner grants nothing: what the one before it granted is still under way.
	handOver = time.Second
	// controlDebt is how many calls of the control plane, such as orders, are granted ahead of the rate.
	controlDebt = 2
	// controlShare is the part of the rate that orders get at most, and other such calls as well; controlPeriod is the longest time
	// between two of either.
	controlShare  = 0.25
	controlPeriod = 2 * time.Second
	// lowerShare is the least part of the grants for requests while more urgent ones are denied: one in so many.
	lowerShare = 10
	// unmetLeast and unmetMost bound the time for which a denied request counts as waiting.
	unmetLeast = 300 * time.Millisecond
	unmetMost  = 4 * time.Second
	// idleFor is how long a target's grants are remembered after the last one: its bucket is full by then at any rate.
	idleFor = time.Minute
)

// Role is what an instance may grant of a target's rate.
type Role uint8

// Roles.
const (
	NoRole  Role = iota
	Owner        // grants the whole rate
	StandIn      // grants a part of it to those who don't reach the owner
)

// Grantor is an instance that may grant requests.
type Grantor struct {
	delegate.Member
	hash uint64
}

// Grantors returns the members in the form in which they are chosen from. Those that can't be reached are left out.
func Grantors(members []delegate.Member) []Grantor {
	out := make([]Grantor, 0, len(members))
	for _, m := range members {
		if m.Address != "" {
			out = append(out, Grantor{m, xxhash.Sum64String(m.Name)})
		}
	}
	slices.SortFunc(out, func(a, b Grantor) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Choose returns the owner and the stand-in of a target, by rendezvous hashing; nil if there are too few.
func Choose(i departure.Incarnation, list []Grantor) (owner, standIn *Grantor) {
	var first, second uint64
	for n := range list {
		g := &list[n]
		switch score := mix64.Sum(uint64(i) ^ mix64.Sum(g.hash)); {
		case owner == nil || score > first:
			standIn, second = owner, first
			owner, first = g, score
		case standIn == nil || score > second:
			standIn, second = g, score
		}
	}
	return owner, standIn
}

// RoleOf returns the role of an instance for a target.
func RoleOf(name string, i departure.Incarnation, list []Grantor) Role {
	owner, standIn := Choose(i, list)
	switch {
	case owner != nil && owner.Name == name:
		return Owner
	case standIn != nil && standIn.Name == name:
		return StandIn
	}
	return NoRole
}

// Ask is a request that wants to be sent to a limited target.
type Ask struct {
	Incarnation departure.Incarnation
	PerSecond   float64 // that the target takes from all instances together
	Role        Role    // of the instance that grants
	Rank        int
	Control     bool // a call of the control plane
}

// Grants decides on the requests to the targets that an instance grants. It is safe for concurrent use.
type Grants struct {
	mu      sync.Mutex
	buckets map[departure.Incarnation]*bucket
	swept   time.Time
}

// bucket is the token bucket of one target.
type bucket struct {
	rate    float64
	tokens  float64
	filled  time.Time
	control [2]time.Time     // last order, and last other call of the control plane
	unmet   [Ranks]time.Time // last denial of each rank
	inRow   int              // grants since the last one of a request that had to yield
}

// NewGrants returns grants without a history.
func NewGrants() *Grants { return &Grants{buckets: map[departure.Incarnation]*bucket{}} }

// Take grants a request, or tells after which time it is worth asking again.
func (g *Grants) Take(a Ask, now time.Time) (granted bool, wait time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sweep(now)
	rate := a.PerSecond
	switch a.Role {
	case NoRole:
		return false, handOver
	case StandIn:
		rate *= standInShare
	}
	b := g.buckets[a.Incarnation]
	if b == nil {
		b = &bucket{rate: rate, tokens: -rate * handOver.Seconds(), filled: now}
		g.buckets[a.Incarnation] = b
	}
	b.fill(rate, now)
	if a.Control {
		return b.takeControl(a.Role, a.Rank, now)
	}
	return b.take(min(max(a.Rank, 0), Ranks-1), now)
}

// sweep drops what has not been used for long.
func (g *Grants) sweep(now time.Time) {
	if now.Sub(g.swept) < idleFor {
		return
	}
	g.swept = now
	for i, b := range g.buckets {
		if now.Sub(b.filled) >= idleFor {
			delete(g.buckets, i)
		}
	}
}

// fill credits the time passed at the rate before, and takes on the present one.
func (b *bucket) fill(rate float64, now time.Time) {
	passed := max(now.Sub(b.filled).Seconds(), 0)
	b.tokens = min(b.tokens+b.rate*passed, max(rate*burstTime, burstLeast+min(rate*burstTime, burstExtra)))
	b.filled, b.rate = now, rate
}

// until returns the time until the bucket holds so many tokens.
func (b *bucket) until(tokens float64) time.Duration {
	return max(time.Duration((tokens-b.tokens)/b.rate*float64(time.Second)), time.Millisecond)
}

func (b *bucket) take(rank int, now time.Time) (bool, time.Duration) {
	if b.tokens < 1 {
		b.unmet[rank] = now
		return false, b.until(1)
	}
	b.inRow++
	if b.yields(rank, now) {
		if b.inRow < lowerShare {
			b.inRow--
			b.unmet[rank] = now
			return false, time.Duration(float64(time.Second) / b.rate)
		}
		b.inRow = 0
	}
	b.tokens--
	return true, 0
}

// yields reports whether a more urgent request was denied lately and has not come back.
func (b *bucket) yields(rank int, now time.Time) bool {
	waiting := min(max(time.Duration(2*float64(time.Second)/b.rate), unmetLeast), unmetMost)
	for _, at := range b.unmet[:rank] {
		if !at.IsZero() && now.Sub(at) < waiting {
			return true
		}
	}
	return false
}

// takeControl grants a call of the control plane. The most urgent ones, orders, do not wait behind the reports that precede them.
func (b *bucket) takeControl(r Role, rank int, now time.Time) (bool, time.Duration) {
	debt := 0.0
	if r == Owner {
		debt = controlDebt
	}
	period := min(time.Duration(float64(time.Second)/(b.rate*controlShare)), controlPeriod)
	last := &b.control[min(rank, 1)]
	if wait := period - now.Sub(*last); wait > 0 && !last.IsZero() {
		return false, wait
	}
	if b.tokens < 1-debt {
		return false, b.until(1 - debt)
	}
	b.tokens--
	*last = now
	return true, 0
}
