package retry

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Failure classifies why an attempt ended without an answer, as far as retries are concerned.
type Failure uint8

// Failure classes.
const (
	FailureLink     Failure = iota // no connection, or it was lost
	FailureTarget                  // the target is down, leaving, drained or has another version
	FailureOverload                // refused as overload by the sidecar or the target
	FailureCold                    // refused because the target is cold and at its capacity
	FailureFinal                   // refused for a reason that a retry cannot change: deadline, limit, invalid request
)

// Decision is what to do after a failed attempt.
type Decision struct {
	Retry  bool
	Delay  time.Duration // wait before the next attempt
	Reason Reason
}

// Reason is the reason why no further attempt is made.
type Reason uint8

// Reasons to stop. ReasonNone stands for a retry.
const (
	ReasonNone     Reason = iota
	ReasonFinal           // the failure is final
	ReasonAttempts        // the request has reached the maximum number of attempts
	ReasonBudget          // the retry budget of the service is exhausted
	ReasonDeadline        // too little time is left for another attempt
	ReasonOverload        // too many attempts were refused as overload; further ones would only add to it
)

var reasonNames = [...]string{"none", "final", "attempts", "budget", "deadline", "overload"}

// String returns the name of the reason.
func (r Reason) String() string {
	if int(r) >= len(reasonNames) {
		return "invalid"
	}
	return reasonNames[r]
}

// Options configures a Policy. Zero fields select the defaults.
type Options struct {
	MaxAttempts  int           // attempts of a request, including the first
	BaseBackoff  time.Duration // maximum random delay before the second attempt; doubles with each further one
	MaxBackoff   time.Duration // upper bound of the random delay before any attempt
	MaxOverloads int           // refusals as overload after which the request is not retried
	MinRemaining time.Duration // minimum time that must be left until the deadline when an attempt starts
}

// Defaults of Options.
const (
	defaultMaxAttempts  = 3
	defaultBaseBackoff  = 25 * time.Millisecond
	defaultMaxBackoff   = time.Second
	defaultMaxOverloads = 2
	defaultMinRemaining = 5 * time.Millisecond
)

// Policy decides whether to retry. It is immutable.
type Policy struct{ opts Options }

// NewPolicy returns a policy with the given options.
func NewPolicy(o Options) *Policy {
	o.MaxAttempts = cmp.Or(o.MaxAttempts, defaultMaxAttempts)
	o.BaseBackoff = cmp.Or(o.BaseBackoff, defaultBaseBackoff)
	o.MaxBackoff = cmp.Or(o.MaxBackoff, defaultMaxBackoff)
	o.MaxOverloads = cmp.Or(o.MaxOverloads, defaultMaxOverloads)
	o.MinRemaining = cmp.Or(o.MinRemaining, defaultMinRemaining)
	return &Policy{opts: o}
}

// History records the attempts of a request. The zero value stands for a new request.
type History struct {
	Attempts     int      // attempts that have ended
	Overloads    int      // attempts refused as overload
	Targets      []string // targets tried, which routing skips
	AvoidDomains []string // failure domains of failed links, which routing avoids if it can
}

// Record adds an attempt that failed with f.
func (h *History) Record(target, domain string, f Failure) {
	h.Attempts++
	if f == FailureOverload {
		h.Overloads++
	}
	h.Targets = append(h.Targets, target)
	// A link failure may affect the whole failure domain. A cold or overloaded target does not indicate that.
	if f == FailureLink && !slices.Contains(h.AvoidDomains, domain) {
		h.AvoidDomains = append(h.AvoidDomains, domain)
	}
}

// Decide decides whether to retry after the last recorded attempt failed with f. retryAfter is the minimum delay that the peer
// requested, zero if the next attempt goes to another target; remaining is the time left until the deadline. A retry is debited from
// the budget. The caller must have checked with package attempt that another attempt is safe.
func (p *Policy) Decide(h *History, f Failure, b *Budget, retryAfter, remaining time.Duration, rng *rand.Rand, now time.Time) Decision {
	switch {
	case f == FailureFinal:
		return Decision{Reason: ReasonFinal}
	case h.Attempts >= p.opts.MaxAttempts:
		return Decision{Reason: ReasonAttempts}
	case h.Overloads >= p.opts.MaxOverloads:
		return Decision{Reason: ReasonOverload}
	}
	delay := p.backoff(h.Attempts, f, retryAfter, rng)
	if delay+p.opts.MinRemaining > remaining {
		return Decision{Reason: ReasonDeadline}
	}
	// The budget is checked last, so that only retries that will be sent are debited.
	if !b.Take(now) {
		return Decision{Reason: ReasonBudget}
	}
	return Decision{Retry: true, Delay: delay}
}

// backoff returns the delay before the next attempt: retryAfter plus an exponential backoff with full jitter. The first retry has no
// backoff, since it goes to another target, unless the attempt was refused as overload.
func (p *Policy) backoff(attempts int, f Failure, retryAfter time.Duration, rng *rand.Rand) time.Duration {
	if attempts <= 1 && f != FailureOverload {
		return retryAfter
	}
	maxBackoff := min(p.opts.BaseBackoff<<min(max(attempts-1, 0), 16), p.opts.MaxBackoff)
	return retryAfter + time.Duration(rng.Int64N(int64(maxBackoff)+1))
}
