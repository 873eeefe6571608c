package targetlimit

import (
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// queueTimeConstant is the time constant of the decay of what a Queue has observed: instances come and go within seconds.
	queueTimeConstant = 4 * time.Second
	// priorWeight is how long an observation has to last to count as much as the assumed rate.
	priorWeight = 200 * time.Millisecond
	// waitDeviations is the number of standard deviations by which a wait may exceed its estimate where other instances ask for the same
	// grants, so that few requests wait in vain.
	waitDeviations = 2
)

// Queue holds the requests of an instance that wait for grants of a service's rate-limited targets, and estimates their waits. More urgent
// requests come first, then those that came first. The first one of each rank asks for grants. A Queue is safe for concurrent use.
type Queue struct {
	mu         sync.Mutex
	waiting    [NumRanks][]*Waiter // by arrival
	observedAt time.Time
	busy       float64 // decayed seconds in which requests waited
	granted    float64 // decayed number of grants in that time
}

// Waiter is a request in a Queue.
type Waiter struct {
	rank  int
	first chan struct{}
}

// First returns a channel that is closed when the request is the first of its rank.
func (w *Waiter) First() <-chan struct{} { return w.first }

// Join adds a request at the end of its rank.
func (q *Queue) Join(rank int, now time.Time) *Waiter {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.observe(now)
	w := &Waiter{rank: clampRank(rank), first: make(chan struct{})}
	q.waiting[w.rank] = append(q.waiting[w.rank], w)
	if len(q.waiting[w.rank]) == 1 {
		close(w.first)
	}
	return w
}

// Leave removes a request.
func (q *Queue) Leave(w *Waiter, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.observe(now)
	list := q.waiting[w.rank]
	i := slices.Index(list, w)
	if i < 0 {
		return
	}
	list = slices.Delete(list, i, i+1)
	q.waiting[w.rank] = list
	if i == 0 && len(list) > 0 {
		close(list[0].first)
	}
}

// MayAsk reports whether a request may ask for a grant: no request of its rank waits before it. w is nil for one that does not wait.
func (q *Queue) MayAsk(w *Waiter, rank int) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	list := q.waiting[clampRank(rank)]
	return len(list) == 0 || list[0] == w
}

// RecordGrant counts a grant that a request got.
func (q *Queue) RecordGrant(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.observe(now)
	if q.anyWaiting() {
		q.granted++
	}
}

// Wait estimates how long a request waits for its grant, counted from now: w, or one that joins the rank now if w is nil. assumed is the rate of
// grants per second that the instance is assumed to get until it has observed it. If others also ask for the grants, a request that joins
// gets an upper estimate.
func (q *Queue) Wait(w *Waiter, rank int, assumed float64, others bool, now time.Time) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.observe(now)
	rank = clampRank(rank)
	turn := 1
	for _, list := range q.waiting[:rank] {
		turn += len(list)
	}
	if i := slices.Index(q.waiting[rank], w); i >= 0 {
		turn += i
	} else {
		turn += len(q.waiting[rank])
	}
	rate := (assumed*priorWeight.Seconds() + q.granted) / (priorWeight.Seconds() + q.busy)
	grants := float64(turn)
	if w == nil && others {
		grants += waitDeviations * math.Sqrt(grants)
	}
	if rate <= 0 || grants/rate > maxBacklog.Seconds() {
		return maxBacklog
	}
	return time.Duration(grants / rate * float64(time.Second))
}

// observe adds the time since the last observation. The caller must hold q.mu.
func (q *Queue) observe(now time.Time) {
	elapsed := now.Sub(q.observedAt).Seconds()
	if elapsed <= 0 {
		return
	}
	factor := math.Exp(-elapsed / queueTimeConstant.Seconds())
	q.busy, q.granted = q.busy*factor, q.granted*factor
	if q.anyWaiting() {
		q.busy += queueTimeConstant.Seconds() * (1 - factor)
	}
	q.observedAt = now
}

func (q *Queue) anyWaiting() bool {
	return slices.ContainsFunc(q.waiting[:], func(list []*Waiter) bool { return len(list) > 0 })
}

func clampRank(rank int) int { return min(max(rank, 0), NumRanks-1) }
