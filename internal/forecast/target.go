package forecast

import (
	"math"
	"sync"
	"time"
)

const (
	// speedMemory is the time after which a reported slowdown has lost all but 1/e of its weight: targets are slowed for some
	// hundred ms at a time.
	speedMemory = 300 * time.Millisecond
	// minSlowdown and maxSlowdown bound the slowdown used, however odd the figure reported.
	minSlowdown = 0.25
	maxSlowdown = 10
	// ratioMemory is the number of ratios that the learned slowdown of a target covers.
	ratioMemory = 200
	// priorSamples is the number of ratios that pull the learned slowdown towards 1. With a standard deviation of the logarithm of
	// about 0.6 for one ratio and 0.2 between targets, the best number is 9.
	priorSamples = 9
	// shareMemory is the time constant of the share of time in which prompts are prefilled.
	shareMemory = 2 * time.Second
)

// Target is the speed of one target. It is safe for concurrent use. The zero value is ready to use.
type Target struct {
	mu         sync.Mutex
	reported   float64 // zero before the first report
	reportedAt time.Time
	sum        float64 // decayed sum of the logarithms of ratios
	samples    float64 // decayed number of ratios

	share      float64 // of the recent time with prefills
	shareAt    time.Time
	prefilling bool // since shareAt
}

// Report records the slowdown that the target reports, 1 as usual. Values that are not positive are ignored. An older report does
// not replace a newer one.
func (t *Target) Report(slowdown float64, now time.Time) {
	if !(slowdown > 0) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.reported == 0 || !now.Before(t.reportedAt) {
		t.reported, t.reportedAt = min(max(slowdown, minSlowdown), maxSlowdown), now
	}
}

// Slowdown returns how many times as long as usual work takes at the target, and the age of the report that says so; the age is
// negative if the target has never reported and the slowdown is learned from its answers. center is the mean
// logarithm of the ratios of its service.
func (t *Target) Slowdown(center float64, now time.Time) (slowdown float64, age time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.reported == 0 {
		return t.learned(center), -1
	}
	age = max(now.Sub(t.reportedAt), 0)
	return 1 + (t.reported-1)*math.Exp(-float64(age)/float64(speedMemory)), age
}

// learned returns the slowdown by the target's own answers.
func (t *Target) learned(center float64) float64 {
	return min(max(math.Exp(t.deviation(center)), minSlowdown), maxSlowdown)
}

// deviation estimates by how much the logarithm of the target's ratios exceeds center.
func (t *Target) deviation(center float64) float64 {
	return (t.sum - center*t.samples) / (t.samples + priorSamples)
}

// addRatio adds the logarithm of a ratio with the weight of some samples. It returns the deviation from center that was known before.
func (t *Target) addRatio(log, weight, center float64) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	before, decay := t.deviation(center), 1-weight/ratioMemory
	t.sum, t.samples = t.sum*decay+log*weight, t.samples*decay+weight
	return before
}

// hasReported reports whether the target has reported its speed.
func (t *Target) hasReported() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reported > 0
}

// ObservePrefill records whether the target prefills prompts from now on.
func (t *Target) ObservePrefill(prefilling bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.share, t.shareAt, t.prefilling = t.shareUntil(now), now, prefilling
}

// PrefillShare returns the share of the recent time in which the target prefilled prompts.
func (t *Target) PrefillShare(now time.Time) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.shareUntil(now)
}

func (t *Target) shareUntil(now time.Time) float64 {
	if t.shareAt.IsZero() {
		return 0
	}
	keep := math.Exp(-float64(max(now.Sub(t.shareAt), 0)) / float64(shareMemory))
	if t.prefilling {
		return t.share*keep + 1 - keep
	}
	return t.share * keep
}
