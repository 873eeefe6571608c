package gateway

import (
	"fmt"
	"time"

	"github.com/egrethoist/egrethoist/internal/catalog"
	"github.com/egrethoist/egrethoist/internal/overload"
	"github.com/egrethoist/egrethoist/internal/routing"
)

// overloadError is returned for a request that would not be answered before its caller leaves, or that its target has no room for.
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

// queueLimit returns the longest wait at which the target has room for the request, given the wait for the prompts before it: what was sent to
// the target fits into all of its memory. Beyond that it preempts requests.
func queueLimit(t *target, backlogWait time.Duration) time.Duration {
	return backlogWait + time.Duration((1/usableMemoryShare-1)*float64(t.stats.MeanRun()))
}

// checkOverload returns an overloadError if the request would not be answered before its caller leaves, or if the target has no room for it. It
// records the forecast.
func (rq *request) checkOverload(s *routing.ScoredCandidate) error {
	if rq.service.Engine == nil {
		return nil
	}
	t, now := rq.service.targets[s.Candidate.Target], time.Now()
	prefillTokens, memoryWait := rq.prefix.prefillTokens(t.id, rq.call.PromptTotal), rq.memoryWait(t)
	backlogWait, prefillTime := rq.service.prefill.PredictPrefill(rq.prefillBacklog(t)), rq.service.prefill.PredictPrefill(prefillTokens)
	wait := backlogWait + memoryWait
	rq.forecast = &forecastLog{
		BacklogTokens: rq.prefillBacklog(t), PrefillTokens: prefillTokens, HeldTokens: t.stats.HeldTokens(rq.urgency), MemoryWaitMs: milliseconds(memoryWait), FirstTokenMs: milliseconds(wait + prefillTime),
	}
	predicted := rq.predict(t, now)
	if rq.forecast.Active && !rq.forecast.Learned {
		return nil // the defaults refuse nothing
	}
	streamTime := time.Duration(0)
	if rq.route.Kind == catalog.KindStreaming && rq.call.LastEventID == 0 {
		streamTime = rq.streamLeft(predicted.Stream, predicted.Events)
	}
	load := overload.Request{
		QueueWait: wait, QueueLimit: queueLimit(t, backlogWait), PrefillTime: prefillTime, StreamTime: streamTime,
		FirstWithin: rq.silenceLeft(now), Remaining: rq.remaining(now), TargetIdle: t.stats.HeldTokens(routing.UrgencyLevels-1) == 0,
	}
	var decision overload.Decision
	if rq.continuesStream() {
		// A refusal would waste the part that the caller has received, so only its time counts, not estimates of the queue.
		load.QueueWait = 0
		decision = overload.Decide(load, rq.rng)
	} else {
		decision = rq.decideByShare(rq.gateway.opts.State.shares, load, prefillTokens)
	}
	if decision.Admit {
		return nil
	}
	return &overloadError{predicted: wait + prefillTime, retryAfter: decision.RetryAfter}
}
