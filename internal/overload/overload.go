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
	maxWaitFraction = 1.0
	// longShare is the part of the objective that any request may wait: long prompts, whose own reading leaves little of it,
	// are not to be the only ones that are refused.
	minWaitFraction = 0.3
	// rankShare is taken off for each rank below, so that less urgent requests give way first.
	priorityStep = 0.25
	// leastShare bounds what is taken off.
	minPriorityFraction = 0.4
	// leastRetry and mostRetry bound when a refused caller should come back.
	minRetryAfter = 150 * time.Millisecond
	maxRetryAfter = 1500 * time.Millisecond
)

// Request is what a decision is made from.
type Request struct {
	QueueWait   time.Duration // expected until the best target begins to read the prompt
	PrefillTime time.Duration // expected for the prompt itself
	Objective   time.Duration // latency that callers of the route should see
	Remaining   time.Duration // until the caller gives up
	Priority    int           // priority of the route; 0 is the most urgent
	TargetIdle  bool          // no instance has a request at the target
}

// Verdict is the decision.
type Decision struct {
	Admit      bool
	RetryAfter time.Duration // if refused
}

// Decide admits a request if its first token can be expected in useful time. An idle target always gets one, whatever was
// learned of it: its answer keeps what is known up to date.
func Decide(r Request, rng *rand.Rand) Decision {
	if r.TargetIdle {
		return Decision{Admit: true}
	}
	fraction := max(maxWaitFraction-priorityStep*float64(r.Priority), minPriorityFraction)
	limit := max(time.Duration(fraction*float64(r.Objective-r.PrefillTime)), time.Duration(minWaitFraction*float64(r.Objective)))
	limit = min(limit, r.Remaining-r.PrefillTime)
	if r.QueueWait <= limit {
		return Decision{Admit: true}
	}
	// By then the queue has shrunk to what is admitted. The random part spreads the returns over as long again.
	delay := min(max(r.QueueWait-limit, minRetryAfter), maxRetryAfter)
	return Decision{RetryAfter: delay + time.Duration(rng.Int64N(int64(delay)))}
}
