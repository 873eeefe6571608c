package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/egrethoist/egrethoist/internal/attempt"
	"github.com/egrethoist/egrethoist/internal/once"
	"github.com/egrethoist/egrethoist/internal/retry"
	"github.com/egrethoist/egrethoist/internal/routing"
	"github.com/egrethoist/egrethoist/internal/sleep"
	"github.com/egrethoist/egrethoist/internal/stream"
	"github.com/egrethoist/egrethoist/internal/world"
)

// dispatch runs the attempts of one request. It is used by one goroutine.
type dispatch struct {
	entry *Entry
	svc   *serviceView
	req   *Request
	out   sink
	rng   *rand.Rand

	version       string // weight version required from the target; empty for plain services
	assembler     *stream.Assembler
	history       retry.History
	attemptNumber uint32        // current attempt, from 1
	worstState    attempt.State // state of the ended attempt that most likely ran
	lastErr       *Error        // error of the last attempt
	keyNotRun     bool          // in the last attempt the home confirmed that the caller's key has not run
	headDelivered bool          // status and headers have been delivered to the caller
	contentType   string        // of the response
	sender        *bodySender   // of the current attempt; nil unless its body is streamed
}

// newDispatch returns the dispatch of a request under a view. Offsets are counted in tokens for models, in bytes otherwise.
func newDispatch(e *Entry, v *view, req *Request, out sink, rng *rand.Rand) *dispatch {
	unit := stream.Bytes
	if req.Service.Kind == world.KindModel {
		unit = stream.Tokens
	}
	return &dispatch{
		entry:     e,
		svc:       v.services[req.Service.Name],
		req:       req,
		out:       out,
		rng:       rng,
		assembler: stream.NewAssembler(req.ID, unit),
	}
}

// run makes attempts until the complete response has been delivered, when it returns nil, or until no further attempt is
// possible.
func (d *dispatch) run(ctx context.Context) *Error {
	if d.svc == nil {
		return notRun(CodeNoService, "find service", d.entry.opts.Name, "service has been removed")
	}
	for {
		c, key, fail := d.selectTarget()
		if fail != nil && d.awaitHome(ctx) {
			c, key, fail = d.selectTarget()
		}
		if fail != nil {
			return d.failWithoutTarget(fail)
		}
		res := d.try(ctx, c, key)
		again, fail := d.finishAttempt(ctx, c, res)
		if !again {
			return fail
		}
	}
}

// selectTarget returns the target of the next attempt and the idempotency key of the attempt, which is empty for repeatable
// requests.
func (d *dispatch) selectTarget() (*routing.Candidate, string, *Error) {
	now := time.Now()
	d.bindVersion()
	c, err := d.pickForVersion(now)
	if err != nil && d.canRebind() {
		c, err = d.pickOtherVersion(now, err)
	}
	if err != nil {
		return nil, "", d.noTargetError(err)
	}
	return c, d.attemptKey(c, now), nil
}

// pickForVersion picks a target that serves d.version. If targets are excluded for capacity, it picks one where the request
// waits in the sidecar's queue.
func (d *dispatch) pickForVersion(now time.Time) (*routing.Candidate, error) {
	routingReq := routing.Request{
		Version:      d.version,
		PromptTokens: d.req.promptTokens(),
		Prefix:       d.svc.lookupPrefix(d.req, d.version),
		Tried:        d.history.Targets,
		AvoidDomains: d.history.AvoidDomains,
	}
	if d.keyed() {
		d.restrictToHome(&routingReq)
	}
	choice, err := d.entry.router.Pick(&routingReq, d.svc.targets, d.rng, now)
	if isCapacityError(err) {
		choice, err = d.entry.fallback.Pick(&routingReq, d.svc.targets, d.rng, now)
	}
	if err != nil {
		return nil, err
	}
	return choice.Best().Candidate, nil
}

// isCapacityError reports whether targets were excluded because they are at capacity or in backoff.
func isCapacityError(err error) bool {
	var noTargets *routing.NoTargetError
	return errors.As(err, &noTargets) && noTargets.Count(routing.CauseCold)+noTargets.Count(routing.CauseBackoff) > 0
}

// pickOtherVersion picks a target of another weight version and sets d.version to it. If there is none, it returns firstErr
// and leaves d.version unchanged.
func (d *dispatch) pickOtherVersion(now time.Time, firstErr error) (*routing.Candidate, error) {
	original := d.version
	for _, v := range d.svc.targets.Versions() {
		if v.Version == original {
			continue
		}
		d.version = v.Version
		if c, err := d.pickForVersion(now); err == nil {
			return c, nil
		}
	}
	d.version = original
	return nil, firstErr
}

// canRebind reports whether the weight version may still change, which is until tokens have been delivered.
func (d *dispatch) canRebind() bool {
	return d.req.Service.Kind == world.KindModel && !d.assembler.Started()
}

// bindVersion selects the weight version for the next attempt. During a rolling weight update, versions receive requests in
// proportion to the number of targets that serve them. Once tokens have been delivered the version is fixed, because another
// version would generate a different continuation.
func (d *dispatch) bindVersion() {
	if !d.canRebind() {
		return
	}
	d.version = d.svc.targets.DrawVersion(d.rng, d.req.Service.WeightVersion)
}

// keyed reports whether the request is non-repeatable and has an idempotency key from the caller.
func (d *dispatch) keyed() bool { return !d.req.Repeatable && d.req.IdempotencyKey != "" }

// restrictToHome restricts a keyed request to its home, the only target that records whether the key has run. A ticket
// also names the sidecar incarnation. The home is retried even if an earlier attempt there failed.
func (d *dispatch) restrictToHome(routingReq *routing.Request) {
	routingReq.Tried = nil
	routingReq.AvoidDomains = nil
	routingReq.Target = d.home()
	if t, err := once.ParseTicket(d.req.IdempotencyKey); err == nil {
		routingReq.Incarnation = t.Incarnation
	}
}

// home returns the only target that may run the keyed request; empty if there is none.
func (d *dispatch) home() string {
	if t, err := once.ParseTicket(d.req.IdempotencyKey); err == nil {
		return t.Target
	}
	return d.svc.homes.HomeOf(once.Key{
		Workspace: d.req.Workspace.Name,
		Service:   d.req.Service.Name,
		ID:        d.req.IdempotencyKey,
	})
}

// attemptKey returns the idempotency key of an attempt at c: the caller's key or a new ticket that is only valid at the
// current sidecar incarnation of c. It is empty for repeatable requests.
func (d *dispatch) attemptKey(c *routing.Candidate, now time.Time) string {
	if d.req.Repeatable {
		return ""
	}
	if d.req.IdempotencyKey != "" {
		return d.req.IdempotencyKey
	}
	return d.entry.newTicket(c, d.req.Workspace.Name, now, d.rng).String()
}

// noTargetError converts the error of a pick. The outcome is "not run", because nothing was sent in this attempt.
func (d *dispatch) noTargetError(err error) *Error {
	fail := notRun(CodeUnavailable, "pick target", d.entry.opts.Name, err.Error())
	fail.RetryAfter = time.Second
	var noTargets *routing.NoTargetError
	if errors.As(err, &noTargets) {
		if noTargets.RetryAfter > 0 {
			fail.RetryAfter = noTargets.RetryAfter
		}
		if noTargets.Count(routing.CauseCold)+noTargets.Count(routing.CauseBackoff) > 0 {
			fail.Code = CodeOverloaded
		}
	}
	return fail
}

// awaitHome waits until the home of a keyed request accepts requests again, for example after a restart. It returns true
// if a target can be picked now, and false if the request is not keyed, if the buffer does not admit it, or if the wait
// ends without success.
func (d *dispatch) awaitHome(ctx context.Context) bool {
	if !d.keyed() {
		return false
	}
	until, ok := d.entry.buffer.Enter(time.Now(), d.req.Deadline)
	if !ok {
		return false
	}
	defer d.entry.buffer.Leave()
	d.entry.requestConnection(d.home())
	d.entry.metrics.buffered.Inc(1)
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	for {
		changed := d.entry.views.changes()
		d.refreshService()
		if _, err := d.pickForVersion(time.Now()); err == nil {
			return true
		}
		select {
		case <-changed:
		case <-timer.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// failWithoutTarget completes the error of a failed pick with the error of the last attempt and with the outcome, since
// earlier attempts may have run.
func (d *dispatch) failWithoutTarget(fail *Error) *Error {
	if d.lastErr != nil {
		fail.Message = fail.Message + "; before: " + d.lastErr.Error()
	}
	return d.setOutcome(fail)
}

// setOutcome sets the outcome of fail from the states of all attempts. The caller may have sent a keyed request before
// through another entry, so its outcome is "not run" only if the key's home confirmed it.
func (d *dispatch) setOutcome(fail *Error) *Error {
	switch {
	case fail.Outcome == OutcomeRan:
	case d.out.started():
		fail.Code = CodeInterrupted
		fail.Outcome = OutcomeRan
	case d.worstState.MayHaveRun():
		fail.Outcome = OutcomeUnknown
		if !d.req.Repeatable && fail.Code != CodeInProgress {
			fail.Code = CodeOutcomeUnknown
		}
	case d.keyed() && !d.keyNotRun:
		fail.Outcome = OutcomeUnknown
	default:
		fail.Outcome = OutcomeNotRun
	}
	return fail
}

// finishAttempt records an attempt that ended. It returns again if another attempt must follow, after waiting for the
// backoff. Otherwise it returns the error for the caller, nil if the response is complete.
func (d *dispatch) finishAttempt(ctx context.Context, c *routing.Candidate, res *result) (again bool, fail *Error) {
	d.entry.metrics.countAttempt(&res.attempt)
	if res.attempt.Complete() {
		if d.attemptNumber == 1 {
			d.svc.budget.RecordSuccess()
		}
		return false, nil
	}
	d.lastErr, d.keyNotRun = res.err, res.keyNotRun
	attemptReq := attempt.Request{
		Call:     d.callKind(),
		Keyed:    d.keyed(),
		Started:  d.out.started(),
		MayRetry: ctx.Err() == nil && !res.final && d.req.Body.canResend() && d.out.resumable(),
		Earlier:  d.worstState,
	}
	action := attempt.Next(&res.attempt, attemptReq)
	d.worstState = attempt.Worse(d.worstState, res.attempt.State())
	if !isRetry(action) {
		return false, d.setOutcome(res.err)
	}
	d.history.Record(c.Target, c.FailureDomain, res.failure)
	if !d.awaitRetry(ctx, res, action) {
		return false, d.setOutcome(res.err)
	}
	d.entry.metrics.countRetry(action)
	// The newest view may already reflect the cause of the failure.
	d.refreshService()
	return true, nil
}

// isRetry reports whether the action requires another attempt.
func isRetry(a attempt.Action) bool {
	return a == attempt.RetryAny || a == attempt.RetrySame || a == attempt.Resume
}

// callKind returns how the request may be repeated.
func (d *dispatch) callKind() attempt.CallKind {
	switch {
	case d.req.Service.Kind == world.KindModel:
		return attempt.CallModel
	case d.req.Repeatable:
		return attempt.CallRepeatable
	}
	return attempt.CallOnce
}

// awaitRetry waits for the backoff of the retry policy. It returns false if the policy allows no further attempt or ctx ends
// during the wait.
func (d *dispatch) awaitRetry(ctx context.Context, res *result, action attempt.Action) bool {
	now := time.Now()
	minDelay := time.Duration(0)
	if action == attempt.RetrySame {
		minDelay = res.err.RetryAfter
	}
	decision := d.entry.retryPolicy.Decide(&d.history, res.failure, d.svc.budget, minDelay, d.req.Deadline.Sub(now), d.rng, now)
	if !decision.Retry {
		return false
	}
	return decision.Delay == 0 || sleep.For(ctx, decision.Delay) == nil
}

// refreshService switches to the service's part of the latest view, unless the service has been removed.
func (d *dispatch) refreshService() {
	if svc := d.entry.views.current().service(d.req.Service.Name); svc != nil {
		d.svc = svc
	}
}
