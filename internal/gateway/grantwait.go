package gateway

import (
	"errors"
	"time"

	"github.com/egrethoist/egrethoist/internal/routing"
	"github.com/egrethoist/egrethoist/internal/targetlimit"
)

// grantRecheckPeriod is how often a request checks whether its turn is still expected in time.
const grantRecheckPeriod = 200 * time.Millisecond

// grantPlace is the place of a request among those that wait for grants under rate limits. The zero value is no place.
type grantPlace struct {
	queue  *targetlimit.Queue
	waiter *targetlimit.Waiter
}

// grantRank returns the rank of the request for grants. Streams that have begun come first: a refusal would waste the part that the caller
// has received.
func (rq *request) grantRank() int {
	if rq.answer.begun() {
		return 0
	}
	return rq.urgency
}

// mayAskGrant reports whether the request may ask for a grant of a target, or needs none: earlier requests of its rank come first.
func (rq *request) mayAskGrant(t *target, now time.Time) bool {
	if _, limited := t.limit.rate(now); !limited {
		return true
	}
	return rq.service.grantQueue.MayAsk(rq.grantPlace.waiter, rq.grantRank())
}

// acquireGrant acquires a grant for the request if the target has a rate limit. It returns false if the grant is denied, and
// excludes the target until the next try is worthwhile.
func (rq *request) acquireGrant(t *target) bool {
	rq.grantedAt = time.Time{}
	now := time.Now()
	if _, limited := t.limit.rate(now); !limited {
		return true
	}
	rank, begun := rq.grantRank(), rq.gateway.opts.State.bootTime(now)
	ok, wait := rq.gateway.opts.State.grantService.acquire(rq.ctx, t.limit, grantPurpose{rank: rank})
	now = time.Now()
	if !ok {
		wait += time.Duration(rq.rng.Int64N(int64(wait/4) + 1)) // jitter, so that instances do not all ask again at once
		t.stats.Deny(rank, now.Add(wait))
		return false
	}
	rq.grantedAt = begun
	rq.service.grantStats.RecordGrant(now)
	rq.service.grantQueue.RecordGrant(now)
	return true
}

// grantWait estimates how long the request waits for a grant of one of the service's rate-limited targets.
func (rq *request) grantWait(now time.Time) time.Duration {
	rate := 0.0
	for _, t := range rq.service.orderedTargets {
		if perSecond, limited := t.limit.rate(now); limited {
			rate += perSecond
		}
	}
	instances := max(rq.view.instances, 1)
	return rq.service.grantQueue.Wait(rq.grantPlace.waiter, rq.grantRank(), rate/float64(instances), instances > 1, now)
}

// grantSlack returns how long the request can wait for a grant and still be answered in its caller's time by one of the rate-limited targets.
func (rq *request) grantSlack(now time.Time) time.Duration {
	slack := time.Duration(0)
	for _, t := range rq.service.orderedTargets {
		if _, limited := t.limit.rate(now); limited {
			slack = max(slack, rq.slack(t, now))
		}
	}
	return slack
}

// waitForGrant waits until the request may ask for a grant again, if err says that only rate limits exclude targets. It returns false if there
// is nothing to wait for, or if the grant is not expected in time for an answer in the caller's time.
func (rq *request) waitForGrant(err error) bool {
	var noTarget *routing.NoTargetError
	if !errors.As(err, &noTarget) || noTarget.Count(routing.CauseLimited) == 0 || rq.ctx.Err() != nil {
		return false
	}
	now := time.Now()
	slack := rq.grantSlack(now)
	if max(rq.grantWait(now), noTarget.RetryAfter) > slack {
		return false
	}
	queue := rq.service.grantQueue
	if rq.grantPlace.queue != queue {
		rq.leaveGrantQueue()
		rq.grantPlace = grantPlace{queue: queue, waiter: queue.Join(rq.grantRank(), now)}
	}
	recheck := time.NewTimer(min(slack, grantRecheckPeriod))
	defer recheck.Stop()
	select {
	case <-rq.grantPlace.waiter.First():
	case <-recheck.C:
		return true // the next try finds a target, waits on or ends the request
	case <-rq.ctx.Done():
		return true
	}
	again := time.NewTimer(max(noTarget.RetryAfter-time.Since(now), time.Millisecond))
	defer again.Stop()
	select {
	case <-again.C:
	case <-rq.ctx.Done():
	}
	return true
}

// leaveGrantQueue ends the wait of the request for grants, if it waits.
func (rq *request) leaveGrantQueue() {
	if rq.grantPlace.waiter != nil {
		rq.grantPlace.queue.Leave(rq.grantPlace.waiter, time.Now())
		rq.grantPlace = grantPlace{}
	}
}
