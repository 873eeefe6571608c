package gateway

import (
	"fmt"
	"time"

	"github.com/egrethoist/egrethoist/internal/overload"
	"github.com/egrethoist/egrethoist/internal/routing"
)

// overloadError says that no target could answer in useful time.
type overloadError struct {
	predicted  time.Duration
	retryAfter time.Duration
}

func (e *overloadError) Error() string {
	return fmt.Sprintf("overloaded: first token expected after %v", e.predicted.Round(time.Millisecond))
}

// backlog returns the prompt tokens of all instances that the target reads before this request.
func (rq *request) backlog(t *target) int {
	return t.stats.Pending(rq.urgency)
}

// memoryWait estimates the wait until the target has memory for the request.
func (rq *request) memoryWait(t *target) time.Duration {
	capacity := usableMemory(rq.service.Engine)
	if capacity <= 0 {
		return 0
	}
	over := float64(t.stats.Held(rq.urgency)+rq.call.PromptTotal)/float64(capacity) - 1
	return time.Duration(max(over, 0) * float64(t.stats.MeanRun()))
}

// forecast is what the first token at the chosen target was expected to wait for, for the log.
type forecast struct {
	Backlog  int     `json:"backlog"` // prompt tokens that the target reads before
	Read     int     `json:"read"`    // tokens of the prompt that it must read
	Held     int     `json:"held"`    // tokens of the requests there that are as urgent
	MemoryMs float64 `json:"memory_ms"`
	FirstMs  float64 `json:"first_ms"` // all in all
}

// overloaded returns an error if a target would answer too late.
func (rq *request) overloaded(s *routing.Scored) error {
	if rq.service.Engine == nil || len(rq.tries) > 0 || rq.lastEvent > 0 {
		return nil // what runs already goes on
	}
	t := rq.service.targets[s.Candidate.Target]
	read, memory := rq.prompt.toRead(t.id, rq.call.PromptTotal), rq.memoryWait(t)
	wait, reading := rq.service.prefill.PredictPrefill(rq.backlog(t))+memory, rq.service.prefill.PredictPrefill(read)
	rq.forecast = &forecast{
		Backlog: rq.backlog(t), Read: read, Held: t.stats.Held(rq.urgency), MemoryMs: milliseconds(memory), FirstMs: milliseconds(wait + reading),
	}
	verdict := overload.Decide(overload.Request{
		Wait: wait, Reading: reading, Objective: rq.route.Objective, Left: rq.left(time.Now()), Rank: rq.route.Priority,
		Idle: t.stats.Held(routing.Urgencies-1) == 0,
	}, rq.rng)
	if verdict.Admit {
		return nil
	}
	return &overloadError{predicted: wait + reading, retryAfter: verdict.RetryAfter}
}
