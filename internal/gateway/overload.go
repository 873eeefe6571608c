package gateway

import (
	"fmt"
	"time"

	"github.com/egrethoist/egrethoist/internal/catalog"
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

// usableMemoryShare is the fraction of the cache memory of a target that running requests may fill.
const usableMemoryShare = 0.5

// usableMemory returns the tokens of a target's cache memory that running requests may fill. Beyond its memory a target preempts
// requests and prefills them again, and part of it is reserved for requests of other instances that are not known here yet.
func usableMemory(e *catalog.Engine) int { return int(usableMemoryShare * float64(e.CacheTokens)) }

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

// checkOverload returns an overloadError if the request is to be shed because the target would answer too late. It records the
// forecast. Retried and resumed requests are never shed. Once learned, the forecast does not decide here: it takes the wait for planned
// memory for as short as it mostly is, and admission by it filled the memory of targets until they preempted requests.
func (rq *request) checkOverload(s *routing.ScoredCandidate) error {
	if rq.service.Engine == nil || len(rq.attempts) > 0 || rq.answer.lastEventID > 0 {
		return nil // the request has been admitted already
	}
	t, now := rq.service.targets[s.Candidate.Target], time.Now()
	prefillTokens, memoryWait := rq.prefix.prefillTokens(t.id, rq.call.PromptTotal), rq.memoryWait(t)
	wait, prefillTime := rq.service.prefill.PredictPrefill(rq.prefillBacklog(t))+memoryWait, rq.service.prefill.PredictPrefill(prefillTokens)
	rq.forecast = &forecastLog{
		BacklogTokens: rq.prefillBacklog(t), PrefillTokens: prefillTokens, HeldTokens: t.stats.HeldTokens(rq.urgency), MemoryWaitMs: milliseconds(memoryWait), FirstTokenMs: milliseconds(wait + prefillTime),
	}
	rq.predict(t, now)
	if rq.forecast.Active && !rq.forecast.Learned {
		return nil // the defaults refuse nothing
	}
	decision := rq.decideByShare(rq.gateway.opts.State.shares, overload.Request{
		QueueWait: wait, PrefillTime: prefillTime, Objective: rq.route.Objective, Remaining: rq.remaining(now), Priority: rq.route.Priority,
		TargetIdle: t.stats.HeldTokens(routing.UrgencyLevels-1) == 0,
	}, prefillTokens)
	if decision.Admit {
		return nil
	}
	return &overloadError{predicted: wait + prefillTime, retryAfter: decision.RetryAfter}
}
