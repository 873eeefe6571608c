package targetlimit

import (
	"math"
	"sync"
	"time"
)

// flowMemory is the time in which what a Flow has counted loses most of its weight: some objectives of requests.
const flowMemory = time.Second

// mostBacklog bounds Backlog.
const mostBacklog = 10 * time.Second

// Flow counts what a service's limited targets grant to this instance and what it refuses for want of a grant. It is safe for
// concurrent use.
type Flow struct {
	mu               sync.Mutex
	at               time.Time
	granted, refused float64
}

// Granted counts a grant.
func (f *Flow) Granted(now time.Time) { f.count(&f.granted, now) }

// Refused counts a refusal.
func (f *Flow) Refused(now time.Time) { f.count(&f.refused, now) }

func (f *Flow) count(n *float64, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.decay(now)
	*n++
}

func (f *Flow) decay(now time.Time) {
	if passed := now.Sub(f.at); passed > 0 {
		keep := math.Exp(-passed.Seconds() / flowMemory.Seconds())
		f.granted, f.refused, f.at = f.granted*keep, f.refused*keep, now
	}
}

// Backlog returns the time in which as many grants come as were refused lately.
func (f *Flow) Backlog(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.decay(now)
	backlog := f.refused / max(f.granted, 1) * flowMemory.Seconds()
	return min(time.Duration(backlog*float64(time.Second)), mostBacklog)
}
