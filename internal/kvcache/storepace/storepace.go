// Package storepace bounds what is fetched from a kept-cache store whose link cannot carry it. Targets fetch one transfer
// after another, so a slow store also holds up fetches from the others. It has no I/O and no clock.
package storepace

import (
	"sync"
	"time"
)

const (
	// weight is that of a new sample in the moving average of delays.
	weight = 0.1
	// longestDelay caps a sample, so that one lost request does not outweigh many.
	longestDelay = time.Second
	// decrease and increase change the share of fetches with each sample.
	decrease = 0.95
	increase = 0.02
	// recovery is added to the share each second, so that a store without samples is tried again.
	recovery = 0.1
	// leastShare keeps samples coming.
	leastShare = 0.05
)

// Pace is the share of fetches that one store gets. It is safe for concurrent use.
type Pace struct {
	mu    sync.Mutex
	delay float64 // seconds, moving average
	share float64
	moved time.Time
}

// New returns a pace that allows all fetches.
func New(now time.Time) *Pace { return &Pace{share: 1, moved: now} }

// Add takes in by how much a request that fetched came later than one that did not have to, and what is bearable.
func (p *Pace) Add(late, bearable time.Duration, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recover(now)
	sample := min(max(late, 0), longestDelay).Seconds()
	p.delay += weight * (sample - p.delay)
	if p.delay > bearable.Seconds() {
		p.share = max(leastShare, p.share*decrease)
	} else {
		p.share = min(1, p.share+increase)
	}
}

func (p *Pace) recover(now time.Time) {
	p.share = min(1, p.share+recovery*max(now.Sub(p.moved), 0).Seconds())
	p.moved = now
}

// Allow reports whether a fetch may go to the store; draw is uniform in [0, 1).
func (p *Pace) Allow(draw float64, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recover(now)
	return draw < p.share
}

// Share returns the share of fetches allowed.
func (p *Pace) Share() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.share
}
