package gateway

import (
	"fmt"
	"time"

	"github.com/egrethoist/egrethoist/internal/overload"
	"github.com/egrethoist/egrethoist/internal/routing"
)

// overloadError is returned for a request that would get its first token too late.
type overloadError struct {
	predicted  time.Duration
	retryAfter time.Duration
}

func (e *overloadError) Error() string {
	return fmt.Sprintf("overloaded: first token expected after %v", e.predicted.Round(time.Millisecond))
}

// prefillBacklog returns the prompt tokens, sent by any instance, that the target has to prefill before this request.
func (rq *request) prefillBacklog(t *target) int {
	return t.stats.PendingTokens(rq.urgency)
}

// memoryWait estimates how long the request waits until the target has cache memory for it.
func (rq *request) memoryWait(t *target) time.Duration {
	capacity := usableMemory(rq.service.Engine)
	if capacity <= 0 {
		return 0
	}
	excess := float64(t.stats.HeldTokens(rq.urgency)+rq.call.PromptTotal)/float64(capacity) - 1
	return time.Duration(max(excess, 0) * float64(t.stats.MeanRun()))
}

// forecast breaks down the predicted time to the first token at the chosen target, for the log.
type forecast struct {
	BacklogTokens int     `json:"backlog"` // prompt tokens to prefill before this request
	PrefillTokens int     `json:"read"`    // tokens of this prompt that are not cached
	HeldTokens    int     `json:"held"`    // tokens held in memory by requests of at least the same urgency
	MemoryWaitMs  float64 `json:"memory_ms"`
	FirstTokenMs  float64 `json:"first_ms"` // predicted time to the first token
}

// checkOverload returns an overloadError if the request is to be shed because the target would answer too late. It records the
// forecast. Retried and resumed requests are never shed.
func (rq *request) checkOverload(s *routing.ScoredCandidate) error {
	if rq.service.Engine == nil || len(rq.attempts) > 0 || rq.lastEventID > 0 {
		return nil // the request has been admitted already
	}
	t := rq.service.targets[s.Candidate.Target]
	prefillTokens, memoryWait := rq.prefix.prefillTokens(t.id, rq.call.PromptTotal), rq.memoryWait(t)
	wait, prefillTime := rq.service.prefill.PredictPrefill(rq.prefillBacklog(t))+memoryWait, rq.service.prefill.PredictPrefill(prefillTokens)
	rq.forecast = &forecast{
		BacklogTokens: rq.prefillBacklog(t), PrefillTokens: prefillTokens, HeldTokens: t.stats.HeldTokens(rq.urgency), MemoryWaitMs: milliseconds(memoryWait), FirstTokenMs: milliseconds(wait + prefillTime),
	}
	decision := rq.decideByShare(rq.gateway.opts.State.shares, overload.Request{
		QueueWait: wait, PrefillTime: prefillTime, Objective: rq.route.Objective, Remaining: rq.remaining(time.Now()), Priority: rq.route.Priority,
		TargetIdle: t.stats.HeldTokens(routing.UrgencyLevels-1) == 0,
	}, prefillTokens)
	if decision.Admit {
		return nil
	}
	return &overloadError{predicted: wait + prefillTime, retryAfter: decision.RetryAfter}
}
