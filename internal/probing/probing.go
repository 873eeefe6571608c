// Package probing decides which targets are asked for their load just before a request is sent, and in which order they are then
// tried. Targets that share their machines with others are slowed for some hundred milliseconds at a time, and several instances that
// act on the same load messages choose the same target: figures from earlier answers are too old for either. The package does no I/O and
// reads no clock.
package probing

import (
	"cmp"
	"slices"
	"time"
)

const (
	// MaxProbes is the number of candidates that are probed for one request. With three, all are slowed once in 300 requests if
	// each is slowed 15 % of the time.
	MaxProbes = 3
	// expectedGain is the part of a request's work that it saves on average if the best candidate turns out to be slowed: two and a half
	// times for 15 % of the time.
	expectedGain = 0.15 * 1.5
	// minTimeout is the time within which targets answer probes on a busy network.
	minTimeout = 30 * time.Millisecond
	// MaxTimeout bounds the time that probes may take.
	MaxTimeout = 200 * time.Millisecond
)

// Load is the load that a target reports in the answer to a probe.
type Load struct {
	Running  int     // requests
	Waiting  int     // requests that wait for a slot or for cache memory
	Slowdown float64 // how many times as long as usual work takes; 1 is as usual
}

// Candidate is a target that may get a request.
type Candidate struct {
	Work    time.Duration // expected time of the work before and for the first event, at the usual speed
	Other   time.Duration // expected time that does not depend on the target's speed
	MeanRun time.Duration // mean time of a request at the target
	Load    *Load         // nil if the target did not answer in time
}

// Timeout returns how long the probes of a request may take, given its own work at the best candidate: as long as they save on average. It returns
// zero if they save less time than they take. Waits do not count as work: under overload short requests have them too, and probes for
// these would be more than one for each request.
func Timeout(work time.Duration) time.Duration {
	gain := time.Duration(expectedGain * float64(work))
	if gain < minTimeout {
		return 0
	}
	return min(gain, MaxTimeout)
}

// Order returns the indexes of the candidates, the one with the earliest expected first event first. Candidates that have not answered count as
// slow as the slowest that has.
func Order(list []Candidate) []int {
	slowest := 1.0
	for _, c := range list {
		if c.Load != nil {
			slowest = max(slowest, c.Load.Slowdown)
		}
	}
	expected := make([]time.Duration, len(list))
	order := make([]int, len(list))
	for i, c := range list {
		expected[i], order[i] = c.expected(slowest), i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(expected[a], expected[b]) })
	return order
}

// expected returns the expected time to the first event. unknownSlowdown is assumed if the target did not answer.
func (c *Candidate) expected(unknownSlowdown float64) time.Duration {
	if c.Load == nil {
		return c.Other + time.Duration(unknownSlowdown*float64(c.Work))
	}
	// Requests that wait at an engine start as running ones end, one every MeanRun / Running.
	wait := time.Duration(float64(c.MeanRun) * float64(c.Load.Waiting) / float64(max(c.Load.Running, 1)))
	return c.Other + time.Duration(max(c.Load.Slowdown, 0)*float64(c.Work)) + wait
}
