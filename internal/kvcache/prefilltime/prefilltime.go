// Package prefilltime learns how long targets take until the first token, as a line over the prompt tokens that are to be
// read before it: a fixed part and a rate. Nobody tells the rate, and it changes with the work beside it. It has no I/O
// and no clock.
package prefilltime

import (
	"sync"
	"time"
)

const (
	// memory is the weight that old samples keep with each new one: some hundred requests, a few seconds of them.
	memory = 0.99
	// leastWeight is the number of samples from which the line is trusted.
	leastWeight = 20
	// leastSpread is the standard deviation of the tokens in the samples below which no slope can be told.
	leastSpread = 500
	// rateRange bounds the learned rate to so many times the assumed one, or so many times less.
	rateRange = 4
)

// Estimator is safe for concurrent use.
type Estimator struct {
	mu                 sync.Mutex
	fallback           float64 // tokens per second
	w, x, y, xx, xy    float64 // weighted sums; x in tokens, y in seconds
	base, secondsToken float64
}

// New returns an estimator that assumes a rate in tokens per second until it has learned one.
func New(fallback float64) *Estimator {
	return &Estimator{fallback: fallback, secondsToken: 1 / fallback}
}

// Add takes in that a first token came after took, when so many tokens were to be read before it.
func (e *Estimator) Add(tokens int, took time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	x, y := float64(tokens), took.Seconds()
	e.w = e.w*memory + 1
	e.x = e.x*memory + x
	e.y = e.y*memory + y
	e.xx = e.xx*memory + x*x
	e.xy = e.xy*memory + x*y
	e.fit()
}

func (e *Estimator) fit() {
	mx, my := e.x/e.w, e.y/e.w
	variance := e.xx/e.w - mx*mx
	if e.w < leastWeight || variance < leastSpread*leastSpread {
		e.base = max(0, my-mx*e.secondsToken)
		return
	}
	slope := (e.xy/e.w - mx*my) / variance
	e.secondsToken = min(max(slope, 1/(e.fallback*rateRange)), rateRange/e.fallback)
	e.base = max(0, my-mx*e.secondsToken)
}

// Predict returns the expected time to the first token.
func (e *Estimator) Predict(tokens int) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Duration((e.base + float64(tokens)*e.secondsToken) * float64(time.Second))
}

// Reading returns the expected time to read the tokens, without the fixed part.
func (e *Estimator) Reading(tokens int) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Duration(float64(tokens) * e.secondsToken * float64(time.Second))
}

// Rate returns the learned rate in tokens per second.
func (e *Estimator) Rate() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return 1 / e.secondsToken
}
