package gateway

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"github.com/egrethoist/egrethoist/internal/catalog"
	"github.com/egrethoist/egrethoist/internal/pause"
	"github.com/egrethoist/egrethoist/internal/routing"
	"github.com/egrethoist/egrethoist/internal/targetconn"
)

const (
	outcomeAnswered = "answered"
	// maxUnsentAttempts bounds the attempts of a request that never reach a target, such as failed connections.
	maxUnsentAttempts = 4
	// maxUnsentStreamAttempts is the same for a stream that has begun: the targets of its version are few, and refusals cost the
	// caller one of its few attempts.
	maxUnsentStreamAttempts = 16
	// maxGrantDenials bounds the targets that deny a grant under their rate limit before the request waits or is refused: each
	// denial may cost a round trip to another instance.
	maxGrantDenials = 8
	// minRetryAfter is the shortest Retry-After of a refused request.
	minRetryAfter = 50 * time.Millisecond
	// maxRetryAfter is the longest Retry-After if no target was eligible: new targets become known within about a second,
	// however long the backoff of the present ones lasts.
	maxRetryAfter = time.Second
)

// attemptOutcome is the result of an attempt. It determines whether the request may be retried.
type attemptOutcome uint8

const (
	attemptNotSent  attemptOutcome = iota // nothing was sent to the target
	attemptNotRun                         // the target guarantees that it did not run the request
	attemptUnknown                        // the target may have run the request
	attemptServed                         // an answer was forwarded to the caller
	attemptFailed                         // the target ran the request and failed
	attemptBroken                         // the answer was cut after a part of it had been forwarded
	attemptCanceled                       // the caller disconnected or the deadline passed
)

var attemptOutcomeNames = [...]string{"not sent", "not run", "unknown", "served", "failed", "broken", "canceled"}

func (o attemptOutcome) String() string { return attemptOutcomeNames[o] }

// attempt records one attempt to have a target serve the request.
type attempt struct {
	target  *target
	outcome attemptOutcome
	err     error
	status  int
	reply   Reply

	weightVersion    int           // weight version that the request asked for; zero if nothing was sent
	versionChanged   bool          // the answer came when the target was known to have another one
	metadataRevision uint64        // revision of the metadata by which the target was chosen
	metadataAge      time.Duration // age of the metadata just before the send; negative if unknown
	chosen           time.Time
	connected        time.Time // zero if there was no connection
	sent             time.Time // zero if nothing was sent
	progress         progress
}

// requestHash returns the hash of a request ID by which a route's traffic is split over services.
func requestHash(id string) uint64 { return xxhash.Sum64String(id) }

// tryTargets makes attempts until one is served or no further attempt is allowed, and ends the request.
func (rq *request) tryTargets() {
	var avoid []string
	sentTo := map[string]bool{} // targets that the request was sent to
	for {
		if !rq.refreshView() {
			return
		}
		if err := rq.pinStream(); err != nil {
			rq.endUnanswered(err)
			return
		}
		if err := rq.admitParts(); err != nil {
			rq.endUnanswered(err)
			return
		}
		t, err := rq.tryPick(avoid)
		if err != nil && rq.returnExposure() {
			t, err = rq.tryPick(avoid)
		}
		if err != nil && rq.waitForGrant(err) {
			continue
		}
		rq.leaveGrantQueue()
		if err != nil {
			rq.endUnanswered(err)
			return
		}
		result := attempt{target: t, metadataRevision: rq.view.metadataRevision, metadataAge: unknownAge, chosen: time.Now()}
		rq.runAttempt(&result)
		rq.attempts = append(rq.attempts, result)
		if result.outcome != attemptNotSent && !result.targetReplaced() && !rq.excusesEnd(t) {
			sentTo[t.id] = true
		}
		switch result.outcome {
		case attemptServed:
			rq.outcome = outcomeAnswered
			return
		case attemptCanceled:
			rq.endUnanswered(result.err)
			return
		}
		if !rq.mayRetry(result, len(sentTo)) {
			rq.endUnanswered(result.err)
			return
		}
		if !result.retrySameTarget() && !mayChooseAgain(result.err) {
			avoid = append(avoid, t.id)
		}
		rq.gateway.metrics.retries.Inc(1)
	}
}

// retrySameTarget reports whether the next attempt may go to the same target: it refused only because it runs another weight
// version than the request asked for, and the next attempt would ask for another one.
func (a *attempt) retrySameTarget() bool {
	return a.outcome == attemptNotRun && a.reply.Misdirected && a.versionChanged && !a.reply.fromOtherTarget(a.target.id)
}

// targetReplaced reports whether another target answered at the address: the intended one is gone and did not get the request.
func (a *attempt) targetReplaced() bool {
	return a.outcome == attemptNotRun && a.reply.Misdirected && a.reply.fromOtherTarget(a.target.id)
}

// mayRetry reports whether another attempt is allowed after one without an answer. targetsSent is the number of targets that the
// request was sent to. A true result has consumed a unit of the service's retry budget, except after attemptNotSent.
func (rq *request) mayRetry(last attempt, targetsSent int) bool {
	now := time.Now()
	if rq.remaining(now) <= 0 || rq.ctx.Err() != nil || !rq.answer.continuable() {
		return false
	}
	switch {
	case last.outcome == attemptNotSent:
		return len(rq.attempts) < rq.maxUnsentAttempts()
	case last.targetReplaced() && len(rq.attempts) >= rq.maxUnsentAttempts():
		return false
	case last.retrySameTarget():
		if rq.retriedSameTarget() {
			return false
		}
	case targetsSent >= rq.route.MaxAttempts, len(rq.attempts) >= maxUnsentStreamAttempts:
		return false
	case last.outcome != attemptNotRun && !rq.route.Repeatable():
		return false
	}
	return rq.service.budget.Take(now)
}

// continuesStream reports whether the caller has received a part of the stream.
func (rq *request) continuesStream() bool { return rq.answer.begun() || rq.call.LastEventID > 0 }

// excusesEnd reports whether an attempt at a target does not count, since the target has ended. Only streams that have begun are excused:
// other requests may be what ends targets.
func (rq *request) excusesEnd(t *target) bool { return rq.continuesStream() && t.stats.Ended() }

// maxUnsentAttempts returns the bound of the attempts that never reach a target.
func (rq *request) maxUnsentAttempts() int {
	if rq.continuesStream() {
		return maxUnsentStreamAttempts
	}
	return maxUnsentAttempts
}

// retriedSameTarget reports whether an attempt before the last one already allowed a retry of the same target.
func (rq *request) retriedSameTarget() bool {
	for _, earlier := range rq.attempts[:len(rq.attempts)-1] {
		if earlier.retrySameTarget() {
			return true
		}
	}
	return false
}

// endUnanswered ends a request that no attempt has served, with the failed answer of a target if there is one and otherwise with
// an error status or a refusal.
func (rq *request) endUnanswered(err error) {
	if rq.incoming.Context().Err() != nil {
		if rq.endedByStop() {
			rq.endForStop()
		} else {
			rq.outcome = rq.leaveReason()
		}
		return
	}
	if rq.answer.begun() {
		if rq.answer.stream && rq.remaining(time.Now()) <= 0 {
			rq.gateway.metrics.forecast.cutStreams.Inc(1)
		}
		rq.breakOff("answer broken off")
		return
	}
	if rq.failure != nil {
		rq.outcome = outcomeAnswered
		if err := rq.writeAnswer(rq.failure.response, rq.failure.body); err != nil {
			rq.outcome = err.Error()
		}
		return
	}
	ran := rq.mayHaveRun()
	timeout := rq.remaining(time.Now()) <= 0
	var noTarget *routing.NoTargetError
	var overloaded *overloadError
	var rejected *rejection
	var quarantined *quarantineError
	var stopping *stoppingError
	switch {
	case ran && timeout:
		rq.fail(http.StatusGatewayTimeout, "no answer in time")
	case ran:
		rq.fail(http.StatusBadGateway, "no answer from the target")
	case errors.As(err, &rejected):
		rq.reject(rejected)
	case errors.As(err, &quarantined):
		rq.refuse(quarantined.reason, quarantined.retryAfter)
	case errors.As(err, &stopping):
		rq.refuse(stopping.Error(), minRetryAfter)
	case errors.Is(err, errUnknownStream):
		rq.refuse(err.Error(), pause.RetryDelay(unknownStreamRetry, rq.remaining(time.Now()), rq.rng))
	case errors.As(err, &overloaded):
		rq.refuse(overloaded.Error(), overloaded.retryAfter)
	case errors.As(err, &noTarget):
		if rq.pinned != "" && noTarget.Count(routing.CauseSoftware) > 0 {
			rq.gateway.opts.State.streams.metrics.of(rq.pinned).withoutTarget.Inc(1)
		}
		rq.refuse(noTarget.Error(), rq.retryAfter(noTarget))
	default:
		rq.refuse("no target took the request", minRetryAfter)
	}
}

// retryAfter returns the Retry-After of a request for which no target was eligible.
func (rq *request) retryAfter(noTarget *routing.NoTargetError) time.Duration {
	left := rq.remaining(time.Now())
	switch {
	case noTarget.Count(routing.CauseLimited) > 0:
		now := time.Now()
		rq.gateway.metrics.refusedLimited.Inc(1)
		rq.service.grantStats.RecordRefusal(now)
		backlog := rq.grantWait(now) + rq.service.grantStats.Backlog(now) // callers that wait or were told to come back
		return pause.RetryDelayWithBacklog(noTarget.RetryAfter, backlog, left, rq.rng)
	case noTarget.Count(routing.CausePaused) > 0:
		rq.gateway.metrics.refusedPaused.Inc(1)
		return pause.RetryDelay(noTarget.RetryAfter, left, rq.rng)
	case noTarget.Candidates == 0, rq.pinned != "" && noTarget.Count(routing.CauseSoftware) == noTarget.Candidates:
		// A crashed target of the stream's version starts again within seconds, and the caller has few attempts. Target records that expired during an outage of the metadata store are written again once the store recovers.
		return pause.RetryDelay(maxRetryAfter, left, rq.rng)
	}
	return pause.RetryDelay(min(noTarget.RetryAfter, maxRetryAfter), left, rq.rng)
}

// tryPick chooses a target that can take the request now. It returns a routing.NoTargetError if there is none and an
// overloadError if the best one would answer too late.
func (rq *request) tryPick(avoid []string) (*target, error) {
	now := time.Now()
	req := &routing.Request{
		Tried: avoid, Regions: rq.allowedRegions(), Urgency: rq.urgency, Software: rq.routedSoftware(), Streams: rq.mayBeResumed(),
	}
	if rq.service.Engine != nil {
		if rq.prefix == nil {
			rq.prefix = rq.lookupPrefix(now)
		}
		req.PromptTokens = max(rq.call.PromptTotal, 1)
		if rq.probe == nil { // a probe goes where the fewest others run, not where its prompt is cached
			req.Prefix = rq.prefix
		}
		req.PrefillRate = int(rq.service.prefill.Rate())
		rq.setOutlook(req, now)
	}
	// A denied grant excludes the target from later rounds.
	for denied := 0; ; now = time.Now() {
		choice, err := rq.rankTargets(req, now)
		if err != nil {
			return nil, err
		}
		deniedBefore, reserved := denied, 0
		ranked := choice.Ranked()
		if rq.probe != nil {
			slices.SortStableFunc(ranked, func(a, b routing.ScoredCandidate) int {
				return cmp.Or(cmp.Compare(a.Candidate.Stats.HeldTokens(routing.UrgencyLevels-1), b.Candidate.Stats.HeldTokens(routing.UrgencyLevels-1)),
					cmp.Compare(a.Candidate.Stats.InFlight(), b.Candidate.Stats.InFlight()))
			})
		}
		rq.probeTargets(ranked)
		for _, scored := range ranked {
			// Checked for each target rather than only for the best: the prediction must hold for the one that gets the request.
			if err := rq.checkOverload(&scored); err != nil {
				return nil, err
			}
			if err := rq.checkStop(rq.service.targets[scored.Candidate.Target], now); err != nil {
				return nil, err
			}
			// Another request may have taken the last slot of a cold target since the filter ran.
			if scored.Candidate.Ramp != nil && !scored.Candidate.Ramp.TryAcquire() {
				continue
			}
			t := rq.service.targets[scored.Candidate.Target]
			if !rq.mayAskGrant(t, now) {
				reserved++
				continue
			}
			if rq.acquireGrant(t) {
				return t, nil
			}
			denied++
		}
		if denied == deniedBefore || denied >= maxGrantDenials || rq.ctx.Err() != nil {
			noTarget := &routing.NoTargetError{Service: rq.service.Name, Candidates: len(rq.service.orderedTargets), RetryAfter: minRetryAfter}
			noTarget.Counts[routing.CauseLimited] = denied + reserved
			return nil, noTarget
		}
	}
}

// rankTargets ranks the eligible targets. If there are none, targets that have just announced that they leave become eligible as a
// last resort and, for a stream that has begun, targets in backoff: it can go on only at those of its version.
func (rq *request) rankTargets(req *routing.Request, now time.Time) (routing.Choice, error) {
	rq.lastResort = false
	choice, err := rq.gateway.router.Pick(req, rq.service.snapshot, rq.rng, now)
	var noTarget *routing.NoTargetError
	if !errors.As(err, &noTarget) {
		return choice, err
	}
	if rq.continuesStream() && noTarget.Count(routing.CauseBackoff) > 0 {
		req.IgnoreBackoff = true
		if inBackoff, backoffErr := rq.gateway.router.Pick(req, rq.service.snapshot, rq.rng, now); backoffErr == nil {
			return inBackoff, nil
		}
	}
	if noTarget.Count(routing.CauseLeaving) == 0 {
		return choice, err
	}
	req.LastResort = true
	lastResort, lastResortErr := rq.gateway.router.Pick(req, rq.service.snapshot, rq.rng, now)
	if lastResortErr != nil {
		return choice, err
	}
	rq.lastResort = true
	return lastResort, nil
}

// runAttempt connects to the target that was just chosen, sends the request and forwards the answer. It records the outcome in
// result.
func (rq *request) runAttempt(result *attempt) {
	t := result.target
	conn, err := t.connect(rq.ctx, rq.sentBefore(t))
	if err != nil {
		result.err = err
		switch {
		case rq.ctx.Err() != nil:
			result.outcome = attemptCanceled
		case !errors.Is(err, targetconn.ErrNoConnection):
			t.recordFailure(time.Now())
		}
		return
	}
	result.connected = time.Now()
	version := t.version(rq.call.Model)
	err = rq.beginRolloutAttempt(t)
	defer rq.endRolloutAttempt(result)
	var header http.Header
	if err == nil {
		rq.gateway.opts.State.waitFresh(rq.ctx)
		// After all waits, since the cache scope and what is known of KV-cache stores may have changed meanwhile.
		header = rq.gateway.opts.Protocol.TargetHeaders(rq.incoming.Header, rq.forwardParams(t, version, time.Now()))
		err = rq.revalidate(t)
	}
	if err == nil && !conn.Usable() {
		err = errConnectionEnded
	}
	if err != nil {
		conn.PutBack()
		result.err = err
		if !mayChooseAgain(err) {
			result.outcome = attemptCanceled
		}
		return
	}
	rq.sendAndReceive(result, conn, header, version)
}

// sentBefore reports whether an earlier attempt sent the request to the target. Its late answer might still arrive on that
// connection, so the next attempt needs a fresh one.
func (rq *request) sentBefore(t *target) bool {
	for i := range rq.attempts {
		if rq.attempts[i].target == t && !rq.attempts[i].sent.IsZero() {
			return true
		}
	}
	return false
}

// sendAndReceive sends the request on a connection and forwards the answer. It keeps the target's load statistics up to date.
func (rq *request) sendAndReceive(result *attempt, conn *targetconn.Conn, header http.Header, version int) {
	t := result.target
	now := time.Now()
	result.weightVersion = version
	result.metadataAge, result.sent = rq.gateway.opts.State.metadataAge(), now
	rq.gateway.metrics.recordSend(result.metadataAge)
	rq.targetBegan.Store(false)
	t.stats.StartAt(now)
	prefillTokens, backlog := 0, 0
	var observed *observedAttempt
	if rq.service.Engine != nil {
		observed = rq.observeForecast(t, now)
		prefillTokens = rq.prefix.prefillTokens(t.id, rq.call.PromptTotal)
		backlog = rq.prefillBacklog(t) + prefillTokens
		t.stats.AddPendingTokens(rq.urgency, prefillTokens)
		heldTokens := rq.call.PromptTotal + rq.call.OutputLimit/2 // a running request holds half of its output on average
		t.stats.AddHeldTokens(rq.urgency, heldTokens)
		defer t.stats.AddHeldTokens(rq.urgency, -heldTokens)
	}
	rq.recordBegin(t)
	ctx, cancel := context.WithCancelCause(rq.ctx)
	defer cancel(nil)
	if rq.service.Engine != nil {
		defer rq.cancelOnExpiry(ctx, version, cancel).Stop()
	}
	defer rq.trackInFlight(cancel)()
	rq.rollout.attempt.cancelWith(cancel)
	exchange, err := conn.Send(ctx, &targetconn.Request{
		Method: rq.incoming.Method, URI: rq.incoming.RequestURI, Host: rq.incoming.Host,
		Header:     header,
		Body:       rq.body,
		ResponseID: rq.gateway.opts.Protocol.ReadRequestID,
		WantID:     rq.call.ID,
	})
	endPrefill := func(tokenSent bool) {
		if tokenSent && prefillTokens > 0 {
			rq.recordFirstToken(t, backlog, time.Since(now))
		}
		t.stats.AddPendingTokens(rq.urgency, -prefillTokens)
		if observed != nil && prefillTokens > 0 {
			observed.prefillEnded(tokenSent, time.Now())
		}
		prefillTokens = 0
	}
	if err != nil {
		endPrefill(false)
		rq.recordNoAnswer(result, err)
		t.stats.Finish(0)
		rq.checkCut(result)
		return
	}
	result.progress.headAt = time.Now()
	rq.handleAnswer(result, exchange, endPrefill)
	endPrefill(false)
	runTime := time.Duration(0)
	if result.outcome == attemptServed {
		runTime = time.Since(now)
		if rq.service.Engine != nil && result.status == http.StatusOK {
			observed.ended(result.progress, time.Now())
		}
		if len(rq.attempts) == 0 {
			rq.service.budget.RecordSuccess()
		}
	}
	if rq.survived(result) {
		rq.recordServed()
	}
	t.stats.Finish(runTime)
	rq.checkCut(result)
}

// recordNoAnswer records an attempt without a complete answer. A failure that is the target's starts its backoff.
func (rq *request) recordNoAnswer(result *attempt, err error) {
	result.outcome, result.err = attemptUnknown, err
	if errors.Is(err, targetconn.ErrNotSent) {
		result.outcome, result.sent = attemptNotSent, time.Time{}
	}
	if rq.ctx.Err() != nil {
		if !errors.Is(context.Cause(rq.ctx), context.DeadlineExceeded) {
			result.outcome = attemptCanceled
		}
		return
	}
	if !errors.Is(err, errWeightsExpired) && !errors.Is(err, errQuarantined) && !errors.Is(err, errNotRecorded) && !errors.Is(err, errNoMemory) && !errors.Is(err, errOldStops) {
		result.target.recordFailure(time.Now())
	}
}

// forwardParams returns the parameters of the request that the protocol adapter adds to the caller's headers.
func (rq *request) forwardParams(t *target, version int, now time.Time) ForwardParams {
	params := ForwardParams{Target: t.id, Timeout: rq.remaining(now), LastEventID: rq.answer.lastEventID}
	if rq.workspace != nil {
		params.Workspace = rq.workspace.Name
	}
	if rq.service.Engine == nil {
		return params
	}
	params.HasPriority, params.Priority = true, rq.urgency
	scope := rq.cacheScope(version)
	params.CacheScope, params.WeightVersion = scope.String(), version
	rq.planTransfers(&params, t, scope, now)
	return params
}

// handleAnswer learns from the headers of a target's answer and forwards it, unless the target refused to run the request.
// endPrefill must be called when the prefill has ended, with true if that is at the first token.
func (rq *request) handleAnswer(result *attempt, e *targetconn.Exchange, endPrefill func(tokenSent bool)) {
	now := time.Now()
	t := result.target
	reply := rq.gateway.opts.Protocol.ReadReply(e.Response.StatusCode, e.Response.Header)
	result.status, result.reply = e.Response.StatusCode, reply
	t.recordSuccess(now)
	if !reply.fromOtherTarget(t.id) {
		rq.gateway.opts.State.observeNotice(t, reply.Notice, 0, now)
	}
	t.reportLoad(reply, now)
	if rq.service.forecast != nil && !reply.fromOtherTarget(t.id) {
		rq.service.forecast.Report(&t.speed, reply.Speed, now)
	}
	if reply.WeightVersion > 0 && rq.service.Engine != nil && !reply.fromOtherTarget(t.id) {
		if known := t.version(rq.call.Model); t.learnAnswered(rq.call.Model, reply.WeightVersion, result.sent, now) {
			klog.InfoS("weight version learned", "target", t.id, "model", rq.call.Model, "version", reply.WeightVersion, "before", known, "sent_ms", now.Sub(result.sent).Milliseconds())
		}
		result.versionChanged = result.weightVersion != t.version(rq.call.Model)
	}
	switch {
	case reply.NotRun:
		rq.recordNotRun(result, e)
	case !rq.answer.continuedBy(e.Response):
		rq.gateway.metrics.failedContinuations.Inc(1)
		rq.recordUnusable(result, e, fmt.Sprintf("status %d of type %s does not continue the answer", e.Response.StatusCode, mediaType(e.Response.Header)))
	case reply.ImpliesNotRun && !rq.route.Repeatable():
		// The caller would take the status for the permission to send the request again.
		rq.recordUnusable(result, e, fmt.Sprintf("status %d without the guarantee that the request has not run", e.Response.StatusCode))
	case rq.route.Kind == catalog.KindStreaming && e.Response.StatusCode == http.StatusOK:
		rq.forwardStream(result, e, endPrefill)
	default:
		rq.targetBegan.Store(true)
		rq.rollout.attempt.gotFirst()
		endPrefill(false)
		rq.forwardBuffered(result, e)
	}
}

// recordUnusable records an answer that must not be passed on to the caller.
func (rq *request) recordUnusable(result *attempt, e *targetconn.Exchange, reason string) {
	result.outcome, result.err = attemptFailed, fmt.Errorf("target %s: %s", result.target.id, reason)
	_ = e.Drain() // the answer is not used
}

// fromOtherTarget reports whether the answer names another target than the one with this ID.
func (r *Reply) fromOtherTarget(id string) bool { return r.Target != "" && r.Target != id }

// recordNotRun records that the target guarantees not to have run the request.
func (rq *request) recordNotRun(result *attempt, e *targetconn.Exchange) {
	result.outcome = attemptNotRun
	result.err = fmt.Errorf("target %s refused: status %d", result.target.id, e.Response.StatusCode)
	_ = e.Drain() // the head has said it
	if result.reply.Misdirected && result.reply.fromOtherTarget(result.target.id) {
		result.target.recordReplaced(time.Now())
	}
}
