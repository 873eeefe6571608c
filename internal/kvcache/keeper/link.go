package keeper

import (
	"sync"
	"time"

	"github.com/egrethoist/egrethoist/internal/kvcache/linkbudget"
)

// link is this sidecar's share of the bandwidth budget of one link. It locks linkbudget.Link for concurrent use; the
// methods are those of the budget at the current time.
type link struct {
	mu     sync.Mutex
	budget *linkbudget.Link
}

func (l *link) observe(class linkbudget.Class, bytes int64, elapsed time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.budget.Observe(time.Now(), class, bytes, elapsed)
}

func (l *link) observeStall(bytes int64, elapsed time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.budget.ObserveStalled(time.Now(), bytes, elapsed)
}

func (l *link) estimate(bytes int64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.budget.Estimate(time.Now(), bytes)
}

func (l *link) reserve(class linkbudget.Class, bytes int64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.budget.Take(time.Now(), class, bytes)
}

func (l *link) setUsers(users int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.budget.SetUsers(users)
}

func (l *link) probeDue() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.budget.NeedsProbe(time.Now())
}

func (l *link) observeProbe(elapsed time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.budget.ObserveProbe(time.Now(), elapsed)
}
