// Package prefilltime estimates the time to first token (TTFT) of targets by linear regression over the number of prompt
// tokens to prefill: a fixed time plus tokens divided by a prefill rate. Targets do not report their prefill rate, and it
// varies with concurrent load. The package does no I/O and reads no clock.
package prefilltime

import (
	"sync"
	"time"
)

const (
	// sampleDecay is the factor by which each new sample scales the weight of earlier ones. The estimate covers about a
	// hundred requests, which is a few seconds of traffic.
	sampleDecay = 0.99
	// minSampleWeight is the total sample weight from which the fitted slope is used.
	minSampleWeight = 20
	// minTokenStdDev is the standard deviation of the samples' prompt tokens below which a slope cannot be determined.
	minTokenStdDev = 500
	// maxRateFactor bounds the learned rate: at most this many times the assumed rate, and at least the assumed rate
	// divided by it.
	maxRateFactor = 4
)

// Estimator is an exponentially weighted linear regression of TTFT over prompt tokens. It is safe for concurrent use.
type Estimator struct {
	mu                                  sync.Mutex
	assumedRate                         float64 // tokens per second
	sumWeight, sumX, sumY, sumXX, sumXY float64 // decayed sums; x in tokens, y in seconds
	baseSeconds, secondsPerToken        float64
}

// New returns an estimator that uses assumedRate, in tokens per second, until it has learned a rate.
func New(assumedRate float64) *Estimator {
	return &Estimator{assumedRate: assumedRate, secondsPerToken: 1 / assumedRate}
}

// AddSample records the TTFT of a request that had to prefill the given number of tokens, including those queued ahead of
// it.
func (e *Estimator) AddSample(tokens int, ttft time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	x, y := float64(tokens), ttft.Seconds()
	e.sumWeight = e.sumWeight*sampleDecay + 1
	e.sumX = e.sumX*sampleDecay + x
	e.sumY = e.sumY*sampleDecay + y
	e.sumXX = e.sumXX*sampleDecay + x*x
	e.sumXY = e.sumXY*sampleDecay + x*y
	e.fit()
}

// fit updates the regression line. It keeps the slope while there are too few samples or their token counts are too similar.
func (e *Estimator) fit() {
	meanX, meanY := e.sumX/e.sumWeight, e.sumY/e.sumWeight
	variance := e.sumXX/e.sumWeight - meanX*meanX
	if e.sumWeight < minSampleWeight || variance < minTokenStdDev*minTokenStdDev {
		e.baseSeconds = max(0, meanY-meanX*e.secondsPerToken)
		return
	}
	slope := (e.sumXY/e.sumWeight - meanX*meanY) / variance
	e.secondsPerToken = min(max(slope, 1/(e.assumedRate*maxRateFactor)), maxRateFactor/e.assumedRate)
	e.baseSeconds = max(0, meanY-meanX*e.secondsPerToken)
}

// PredictFirstToken returns the expected TTFT when the given number of tokens is to be prefilled.
func (e *Estimator) PredictFirstToken(tokens int) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Duration((e.baseSeconds + float64(tokens)*e.secondsPerToken) * float64(time.Second))
}

// PredictPrefill returns the expected time to prefill the tokens, without the fixed time.
func (e *Estimator) PredictPrefill(tokens int) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Duration(float64(tokens) * e.secondsPerToken * float64(time.Second))
}

// Rate returns the current estimate of the prefill rate in tokens per second.
func (e *Estimator) Rate() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return 1 / e.secondsPerToken
}
