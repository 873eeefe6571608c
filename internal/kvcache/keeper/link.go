package keeper

import (
	"sync"
	"time"

	"github.com/egrethoist/egrethoist/internal/kvcache/linkbudget"
)

// link is this sidecar's part in the budget of a link. It is safe for concurrent use.
type link struct {
	mu     sync.Mutex
	budget *linkbudget.Link
}

func (l *link) observe(class linkbudget.Class, bytes int64, elapsed time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.budget.Observe(time.Now(), class, bytes, elapsed)
}

func (l *link) stalled(bytes int64, elapsed time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.budget.ObserveStalled(time.Now(), bytes, elapsed)
}

func (l *link) estimate(bytes int64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.budget.Estimate(time.Now(), bytes)
}

func (l *link) take(class linkbudget.Class, bytes int64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.budget.Take(time.Now(), class, bytes)
}

func (l *link) setUsers(users int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.budget.SetUsers(users)
}

func (l *link) probe() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.budget.NeedsProbe(time.Now())
}

func (l *link) probed(elapsed time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.budget.ObserveProbe(time.Now(), elapsed)
}
