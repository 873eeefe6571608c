// Package overload decides in the gateway which requests may wait at a model engine and which are refused at once. If a
// queue grows longer than the callers' timeouts, every response is late, prompts are prefilled in vain, and running
// requests evict cached prompts, which makes each request more expensive still. The package has no I/O, clock or
// globals.
package overload

import (
	"math/rand/v2"
	"time"
)

const (
	// maxWaitFraction is the fraction of the latency objective, less the prefill time of the request itself, that requests
	// of priority 0 may wait.
	maxWaitFraction = 1.0
	// minWaitFraction is the fraction of the latency objective that any request may wait. Without it only long prompts
	// would be refused, since their own prefill uses up most of the objective.
	minWaitFraction = 0.3
	// priorityStep is subtracted from the fraction for each priority level, so that less urgent requests are refused first.
	priorityStep = 0.25
	// minPriorityFraction is the smallest fraction left after that subtraction.
	minPriorityFraction = 0.4
	// minRetryAfter and maxRetryAfter bound the retry delay of refused requests before jitter.
	minRetryAfter = 150 * time.Millisecond
	maxRetryAfter = 1500 * time.Millisecond
)

// Request holds the inputs of a decision.
type Request struct {
	QueueWait   time.Duration // expected until the best target starts to prefill the prompt
	PrefillTime time.Duration // expected for the prompt of the request itself
	Objective   time.Duration // latency objective of the route
	Remaining   time.Duration // until the deadline of the caller
	Priority    int           // priority of the route; 0 is the most urgent
	TargetIdle  bool          // no instance has a request at the target
}

// Decision is the result of Decide.
type Decision struct {
	Admit      bool
	RetryAfter time.Duration // set if refused; includes jitter
}

// Decide admits a request if its first token is expected within the latency objective and the caller's deadline. An idle
// target always gets a request, regardless of the estimates, since only responses update them.
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
	// After the delay the queue has drained to a length at which requests are admitted. The jitter of up to the same
	// length spreads the retries.
	delay := min(max(r.QueueWait-limit, minRetryAfter), maxRetryAfter)
	return Decision{RetryAfter: delay + time.Duration(rng.Int64N(int64(delay)))}
}
