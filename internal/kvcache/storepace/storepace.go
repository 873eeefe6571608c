// Package storepace throttles fetches from a KV-cache store whose link is overloaded. Targets run one transfer after
// another, so a slow store also delays fetches from the other stores. The package does no I/O; callers pass the current
// time.
package storepace

import (
	"math"
	"sync"
	"time"
)

const (
	// averageTimeConstant is the time constant of the moving average of delay ratios: a few fetches on a busy store. On a
	// store with little traffic a single fetch replaces the average.
	averageTimeConstant = 400 * time.Millisecond
	// minSampleTime is the minimum time that a fetch counts for in the average, so that samples reported at the same instant
	// all have weight.
	minSampleTime = 5 * time.Millisecond
	// maxDelayRatio caps a sample, so that one lost request does not outweigh many.
	maxDelayRatio = 3.0
	// decreaseRate is the exponential rate per second at which the allowed share falls while the store is overloaded, and
	// increaseRate is added to it per second while the store is not: a store's queue fills within a second, and must not
	// fill again at once.
	decreaseRate = 1.0
	increaseRate = 0.6
	// recoveryRate is added to the share per second without samples, so that an unused store is tried again.
	recoveryRate = 0.1
	// maxStep bounds the time by which one sample moves the share. Time beyond it counts as time without samples.
	maxStep = 500 * time.Millisecond
	// minShare is the lowest share; the fetches that remain provide samples.
	minShare = 0.05
)

// Throttle controls the share of fetches that may go to one store. It is safe for concurrent use.
type Throttle struct {
	mu            sync.Mutex
	delayRatio    float64 // moving average; above 1 the store is overloaded
	share         float64
	lastRecovery  time.Time
	lastSample    time.Time
	unsentSamples DelaySamples // samples of this instance not yet sent to the others
}

// DelaySamples is a number of samples with their mean delay ratio. The delay ratio of a fetch is the delay of its request
// compared to one that did not fetch, divided by the delay that is tolerated.
type DelaySamples struct {
	Count int
	Mean  float64
}

// New returns a throttle that allows all fetches.
func New(now time.Time) *Throttle { return &Throttle{share: 1, lastRecovery: now, lastSample: now} }

// AddLocal records the delay of one fetch of this instance, and the delay that is tolerated. It ignores the sample if
// tolerance is not positive.
func (t *Throttle) AddLocal(delay, tolerance time.Duration, now time.Time) {
	if tolerance <= 0 {
		return
	}
	ratio := min(float64(max(delay, 0))/float64(tolerance), maxDelayRatio)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unsentSamples.Mean = (t.unsentSamples.Mean*float64(t.unsentSamples.Count) + ratio) / float64(t.unsentSamples.Count+1)
	t.unsentSamples.Count++
	t.add(DelaySamples{Count: 1, Mean: ratio}, now)
}

// AddRemote records samples that another instance sent.
func (t *Throttle) AddRemote(s DelaySamples, now time.Time) {
	if s.Count <= 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.add(s, now)
}

// TakeUnsent returns the samples that this instance has recorded since the last call.
func (t *Throttle) TakeUnsent() DelaySamples {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.unsentSamples
	t.unsentSamples = DelaySamples{}
	return s
}

// add updates the average, and moves the share by elapsed time, not by number of samples: many instances report on the
// same store at once.
func (t *Throttle) add(s DelaySamples, now time.Time) {
	t.recover(now)
	elapsed := max(now.Sub(t.lastSample), 0)
	keep := math.Exp(-float64(max(elapsed, time.Duration(s.Count)*minSampleTime)) / float64(averageTimeConstant))
	t.delayRatio = keep*t.delayRatio + (1-keep)*min(s.Mean, maxDelayRatio)
	step := min(elapsed, maxStep).Seconds()
	t.lastSample = now
	if t.delayRatio > 1 {
		t.share = max(minShare, t.share*math.Exp(-decreaseRate*step))
	} else {
		t.share = min(1, t.share+increaseRate*step)
	}
}

// recover raises the share for the time without samples.
func (t *Throttle) recover(now time.Time) {
	from := t.lastSample.Add(maxStep)
	if t.lastRecovery.After(from) {
		from = t.lastRecovery
	}
	if idle := now.Sub(from); idle > 0 {
		t.share = min(1, t.share+recoveryRate*idle.Seconds())
		t.lastRecovery = now
	}
}

// Allow reports whether a fetch may go to the store; draw is a random number, uniform in [0, 1).
func (t *Throttle) Allow(draw float64, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recover(now)
	return draw < t.share
}

// Share returns the share of fetches that are allowed, from minShare to 1.
func (t *Throttle) Share() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.share
}
