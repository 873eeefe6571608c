// Package overload decides at the entry which requests wait at a model engine and which are refused at once. A queue that
// outgrows the callers' patience serves nobody: every answer comes late, prompts are read in vain, and running requests
// push cached prompts out of memory, which makes each request dearer still. It has no I/O, clock or globals.
package overload

import (
	"math/rand/v2"
	"time"
)

const (
	// waitShare is the part of the latency objective, less the time to read the request's own prompt, that the most urgent
	// requests may wait.
	waitShare = 1.0
	// longShare is the part of the objective that any request may wait: long prompts, whose own reading leaves little of it,
	// are not to be the only ones that are refused.
	longShare = 0.3
	// rankShare is taken off for each rank below, so that less urgent requests give way first.
	rankShare = 0.25
	// leastShare bounds what is taken off.
	leastShare = 0.4
	// leastRetry and mostRetry bound when a refused caller should come back.
	leastRetry = 150 * time.Millisecond
	mostRetry  = 1500 * time.Millisecond
)

// Request is what a decision is made from.
type Request struct {
	Wait      time.Duration // expected until the best target begins to read the prompt
	Reading   time.Duration // expected for the prompt itself
	Objective time.Duration // latency that callers of the route should see
	Left      time.Duration // until the caller gives up
	Rank      int           // priority of the route; 0 is the most urgent
	Idle      bool          // no instance has a request at the target
}

// Verdict is the decision.
type Verdict struct {
	Admit      bool
	RetryAfter time.Duration // if refused
}

// Decide admits a request if its first token can be expected in useful time. An idle target always gets one, whatever was
// learned of it: its answer keeps what is known up to date.
func Decide(r Request, rng *rand.Rand) Verdict {
	if r.Idle {
		return Verdict{Admit: true}
	}
	share := max(waitShare-rankShare*float64(r.Rank), leastShare)
	limit := max(time.Duration(share*float64(r.Objective-r.Reading)), time.Duration(longShare*float64(r.Objective)))
	limit = min(limit, r.Left-r.Reading)
	if r.Wait <= limit {
		return Verdict{Admit: true}
	}
	// By then the queue has shrunk to what is admitted. The random part spreads the returns over as long again.
	over := min(max(r.Wait-limit, leastRetry), mostRetry)
	return Verdict{RetryAfter: over + time.Duration(rng.Int64N(int64(over)))}
}
