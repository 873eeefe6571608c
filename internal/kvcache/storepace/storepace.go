// Package storepace bounds what is fetched from a kept-cache store whose link cannot carry it. Targets fetch one transfer
// after another, so a slow store also holds up fetches from the others. It has no I/O and no clock.
package storepace

import (
	"math"
	"sync"
	"time"
)

const (
	// averageTime is the time constant of the moving average of strains: a few fetches on a busy store. On one that is hardly
	// used any more a single fetch replaces the average.
	averageTime = 400 * time.Millisecond
	// leastStep is the time that a fetch stands for at least, so that fetches told at once count beside each other.
	leastStep = 5 * time.Millisecond
	// mostStrain caps a sample, so that one lost request does not outweigh many.
	mostStrain = 3.0
	// decrease and increase are the rates per second at which the share of fetches falls while the store is strained, and
	// grows while it is not: a store's queue fills within a second, and must not fill again at once.
	decrease = 1.0
	increase = 0.6
	// recovery is added to the share each second, so that a store without samples is tried again.
	recovery = 0.1
	// longestStep bounds the time that one sample stands for.
	longestStep = 500 * time.Millisecond
	// leastShare keeps samples coming.
	leastShare = 0.05
)

// Pace is the share of fetches that one store gets. It is safe for concurrent use.
type Pace struct {
	mu     sync.Mutex
	strain float64 // moving average
	share  float64
	moved  time.Time // last recovery
	sample time.Time // last sample
	unsent Strains   // samples of this instance that the others do not know
}

// Strains is a number of samples with their mean. The strain of a fetch is by how much the request came later than one
// that did not have to fetch, relative to what is bearable.
type Strains struct {
	Count int
	Mean  float64
}

// New returns a pace that allows all fetches.
func New(now time.Time) *Pace { return &Pace{share: 1, moved: now, sample: now} }

// Add takes in one fetch of this instance.
func (p *Pace) Add(late, bearable time.Duration, now time.Time) {
	if bearable <= 0 {
		return
	}
	strain := min(float64(max(late, 0))/float64(bearable), mostStrain)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unsent.Mean = (p.unsent.Mean*float64(p.unsent.Count) + strain) / float64(p.unsent.Count+1)
	p.unsent.Count++
	p.add(Strains{Count: 1, Mean: strain}, now)
}

// AddOthers takes in fetches of another instance.
func (p *Pace) AddOthers(s Strains, now time.Time) {
	if s.Count <= 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.add(s, now)
}

// Unsent returns this instance's fetches since the last call.
func (p *Pace) Unsent() Strains {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.unsent
	p.unsent = Strains{}
	return s
}

// add moves the share by time and not by samples: many instances tell of the same store at once.
func (p *Pace) add(s Strains, now time.Time) {
	p.recover(now)
	since := max(now.Sub(p.sample), 0)
	keep := math.Exp(-float64(max(since, time.Duration(s.Count)*leastStep)) / float64(averageTime))
	p.strain = keep*p.strain + (1-keep)*min(s.Mean, mostStrain)
	step := min(since, longestStep).Seconds()
	p.sample = now
	if p.strain > 1 {
		p.share = max(leastShare, p.share*math.Exp(-decrease*step))
	} else {
		p.share = min(1, p.share+increase*step)
	}
}

// recover raises the share for the time in which no sample came.
func (p *Pace) recover(now time.Time) {
	from := p.sample.Add(longestStep)
	if p.moved.After(from) {
		from = p.moved
	}
	if idle := now.Sub(from); idle > 0 {
		p.share = min(1, p.share+recovery*idle.Seconds())
		p.moved = now
	}
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
