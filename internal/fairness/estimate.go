package fairness

import (
	"time"

	"github.com/egrethoist/egrethoist/internal/world"
)

// Work describes a model request before it runs.
type Work struct {
	PromptTokens int
	CachedTokens int // prompt tokens in the cache, which need no prefill
	MaxTokens    int // maximum number of output tokens; zero is no limit
}

// Rates are the processing rates of a warm target in tokens per second.
type Rates struct {
	PrefillPerSec float64
	DecodePerSec  float64
	Fixed         time.Duration // overhead of every request
}

// NominalRates estimates the rates of a warm, unloaded target. Load reports contain the current rates, which are lower under load or
// on a cold target, so it keeps the highest reported ones with a slow decay. The zero value has no rates. It is not safe for
// concurrent use.
type NominalRates struct{ rates Rates }

// nominalDecay is the factor applied to the highest rates at each report.
const nominalDecay = 0.999

// Observe records the rates of one load report, in tokens per second.
func (n *NominalRates) Observe(prefillPerSec, decodePerSec float64) {
	n.rates.PrefillPerSec = max(n.rates.PrefillPerSec*nominalDecay, prefillPerSec)
	n.rates.DecodePerSec = max(n.rates.DecodePerSec*nominalDecay, decodePerSec)
}

// Rates returns the estimated rates, or fallback before the first report.
func (n *NominalRates) Rates(fallback Rates) Rates {
	if n.rates.PrefillPerSec <= 0 || n.rates.DecodePerSec <= 0 {
		return fallback
	}
	return n.rates
}

// Estimator predicts the service time of requests. For each workspace and priority it keeps a moving average of the output length as a
// fraction of the allowed maximum. It is not safe for concurrent use.
type Estimator struct {
	usedShares map[usageKey]float64
}

type usageKey struct {
	workspace string
	class     world.Priority
}

const (
	defaultMaxTokens    = 512 // output tokens assumed for requests without a maximum
	initialUsedShare    = 0.5
	usedShareGain       = 0.1 // weight of a new sample in the moving average
	maxEstimatorEntries = 1 << 14
)

// NewEstimator returns an estimator without observations.
func NewEstimator() *Estimator { return &Estimator{usedShares: map[usageKey]float64{}} }

// Cost predicts the service time of the work: prefill of the prompt tokens that are not cached, and decode of the expected output.
func (e *Estimator) Cost(workspace string, class world.Priority, w Work, r Rates) time.Duration {
	share, ok := e.usedShares[usageKey{workspace, class}]
	if !ok {
		share = initialUsedShare
	}
	return w.cost(share*float64(w.outputLimit()), r)
}

// ActualCost returns the service time of finished work, computed from its actual number of output tokens.
func ActualCost(w Work, outputTokens int, r Rates) time.Duration {
	return w.cost(float64(outputTokens), r)
}

// Observe records the number of output tokens of a finished request.
func (e *Estimator) Observe(workspace string, class world.Priority, w Work, outputTokens int) {
	key := usageKey{workspace, class}
	share, ok := e.usedShares[key]
	if !ok {
		share = initialUsedShare
		if len(e.usedShares) >= maxEstimatorEntries {
			clear(e.usedShares) // bounds the memory; the averages start again
		}
	}
	observed := min(1, float64(outputTokens)/float64(w.outputLimit()))
	e.usedShares[key] = share + usedShareGain*(observed-share)
}

// outputLimit returns the maximum number of output tokens, with the default for unlimited work.
func (w Work) outputLimit() int {
	if w.MaxTokens <= 0 {
		return defaultMaxTokens
	}
	return w.MaxTokens
}

// cost returns the service time for a number of output tokens. Phases without a known rate count as zero.
func (w Work) cost(outputTokens float64, r Rates) time.Duration {
	seconds := r.Fixed.Seconds()
	if r.PrefillPerSec > 0 {
		seconds += float64(max(0, w.PromptTokens-w.CachedTokens)) / r.PrefillPerSec
	}
	if r.DecodePerSec > 0 {
		seconds += outputTokens / r.DecodePerSec
	}
	return time.Duration(seconds * float64(time.Second))
}
