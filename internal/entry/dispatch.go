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

// dispatch carries one request through its attempts.
type dispatch struct {
	entry *Entry
	svc   *serviceView
	req   *Request
	out   sink
	rng   *rand.Rand

	version  string // weight version that the request is bound to; empty for plain services
	asm      *stream.Assembler
	history  retry.History
	number   uint32        // of the current attempt
	earlier  attempt.State // worst state of the attempts that ended
	last     *Error        // error of the last attempt
	keyUnrun bool          // by the last attempt, the home proves that the caller's key has not run
	headed   bool          // the answer's head has been handed over
	kind     string        // content type of the answer
	sending  *sending      // of the attempt under way; nil if its body was sent whole
}

func newDispatch(e *Entry, v *view, req *Request, out sink, rng *rand.Rand) *dispatch {
	unit := stream.Bytes
	if req.Service.Kind == world.KindModel {
		unit = stream.Tokens
	}
	return &dispatch{
		entry: e,
		svc:   v.services[req.Service.Name],
		req:   req,
		out:   out,
		rng:   rng,
		asm:   stream.NewAssembler(req.ID, unit),
	}
}

// run returns nil once the whole answer has been handed over.
func (d *dispatch) run(ctx context.Context) *Error {
	if d.svc == nil {
		return notRun(CodeNoService, "find service", d.entry.opts.Name, "service has been removed")
	}
	for {
		c, key, fail := d.place()
		if fail != nil && d.awaitHome(ctx) {
			c, key, fail = d.place()
		}
		if fail != nil {
			return d.giveUp(fail)
		}
		res := d.try(ctx, c, key)
		again, fail := d.settle(ctx, c, res)
		if !again {
			return fail
		}
	}
}

// place picks the target of the next attempt and the key under which a non-idempotent request runs there.
func (d *dispatch) place() (*routing.Candidate, string, *Error) {
	now := time.Now()
	d.bindVersion()
	c, err := d.pick(now)
	if err != nil && d.mayRebind() {
		c, err = d.pickOtherVersion(now, err)
	}
	if err != nil {
		return nil, "", d.noTarget(err)
	}
	return c, d.key(c, now), nil
}

// pick chooses a target that offers the version which the request is bound to.
func (d *dispatch) pick(now time.Time) (*routing.Candidate, error) {
	rr := routing.Request{
		Version:      d.version,
		PromptTokens: d.req.promptTokens(),
		Prefix:       d.svc.prefix(d.req, d.version),
		Tried:        d.history.Targets,
		AvoidDomains: d.history.AvoidDomains,
	}
	if d.keyed() {
		d.nameHome(&rr)
	}
	choice, err := d.entry.router.Pick(&rr, d.svc.targets, d.rng, now)
	if full(err) {
		choice, err = d.entry.fallback.Pick(&rr, d.svc.targets, d.rng, now)
	}
	if err != nil {
		return nil, err
	}
	return choice.Best().Candidate, nil
}

// full reports whether targets were passed over only because they have no room.
func full(err error) bool {
	var none *routing.NoTargetError
	return errors.As(err, &none) && none.Count(routing.CauseCold)+none.Count(routing.CauseBackoff) > 0
}

// pickOtherVersion binds the request to another version whose targets have room.
func (d *dispatch) pickOtherVersion(now time.Time, first error) (*routing.Candidate, error) {
	drawn := d.version
	for _, v := range d.svc.targets.Versions() {
		if v.Version == drawn {
			continue
		}
		d.version = v.Version
		if c, err := d.pick(now); err == nil {
			return c, nil
		}
	}
	d.version = drawn
	return nil, first
}

func (d *dispatch) mayRebind() bool {
	return d.req.Service.Kind == world.KindModel && !d.asm.Started()
}

// bindVersion chooses the weight version that runs the request. While a swap rolls, versions take requests in
// proportion to the targets that offer them. Once tokens have been delivered the version stays, since another
// would go on with another text.
func (d *dispatch) bindVersion() {
	if !d.mayRebind() {
		return
	}
	d.version = d.svc.targets.DrawVersion(d.rng, d.req.Service.WeightVersion)
}

func (d *dispatch) keyed() bool { return !d.req.Repeatable && d.req.IdempotencyKey != "" }

// nameHome restricts a keyed request to the one target whose ledger knows the key.
func (d *dispatch) nameHome(rr *routing.Request) {
	rr.Tried = nil
	rr.AvoidDomains = nil
	rr.Target = d.home()
	if t, err := once.ParseTicket(d.req.IdempotencyKey); err == nil {
		rr.Incarnation = t.Incarnation
	}
}

// home returns the only target that may run a keyed request.
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

// key returns the caller's key, or a fresh ticket that only the chosen sidecar incarnation may run.
func (d *dispatch) key(c *routing.Candidate, now time.Time) string {
	if d.req.Repeatable {
		return ""
	}
	if d.req.IdempotencyKey != "" {
		return d.req.IdempotencyKey
	}
	return d.entry.ticket(c, d.req.Workspace.Name, now, d.rng).String()
}

// noTarget words a failed pick. Nothing has left this process in this attempt.
func (d *dispatch) noTarget(err error) *Error {
	fail := notRun(CodeUnavailable, "pick target", d.entry.opts.Name, err.Error())
	fail.RetryAfter = time.Second
	var none *routing.NoTargetError
	if errors.As(err, &none) {
		if none.RetryAfter > 0 {
			fail.RetryAfter = none.RetryAfter
		}
		if none.Count(routing.CauseCold)+none.Count(routing.CauseBackoff) > 0 {
			fail.Code = CodeOverloaded
		}
	}
	return fail
}

// awaitHome waits until the only target that may run a keyed request takes work again, as it does after a
// restart. It returns whether placing is worth another try.
func (d *dispatch) awaitHome(ctx context.Context) bool {
	if !d.keyed() {
		return false
	}
	until, ok := d.entry.buffer.Enter(time.Now(), d.req.Deadline)
	if !ok {
		return false
	}
	defer d.entry.buffer.Leave()
	d.entry.demand(d.home())
	d.entry.metrics.buffered.Inc(1)
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	for {
		changed := d.entry.viewer.changes()
		d.refresh()
		if _, err := d.pick(time.Now()); err == nil {
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

// giveUp is the truthful end after a pick failed: earlier attempts may have run.
func (d *dispatch) giveUp(fail *Error) *Error {
	if d.last != nil {
		fail.Message = fail.Message + "; before: " + d.last.Error()
	}
	return d.truthful(fail)
}

// truthful sets the outcome by what is known of all attempts. A caller may have presented its key before, through
// another entry, so "not run" is said of a keyed request only on the word of the key's home.
func (d *dispatch) truthful(fail *Error) *Error {
	switch {
	case fail.Outcome == OutcomeRan:
	case d.out.started():
		fail.Code = CodeInterrupted
		fail.Outcome = OutcomeRan
	case d.earlier.MayHaveRun():
		fail.Outcome = OutcomeUnknown
		if !d.req.Repeatable && fail.Code != CodeInProgress {
			fail.Code = CodeOutcomeUnknown
		}
	case d.keyed() && !d.keyUnrun:
		fail.Outcome = OutcomeUnknown
	default:
		fail.Outcome = OutcomeNotRun
	}
	return fail
}

// settle decides what follows an attempt that ended.
func (d *dispatch) settle(ctx context.Context, c *routing.Candidate, res *result) (again bool, fail *Error) {
	d.entry.metrics.attempted(&res.attempt)
	if res.attempt.Complete() {
		if d.number == 1 {
			d.svc.budget.RecordSuccess()
		}
		return false, nil
	}
	d.last, d.keyUnrun = res.err, res.keyUnrun
	ask := attempt.Request{
		Call:     d.call(),
		Keyed:    d.keyed(),
		Started:  d.out.started(),
		MayRetry: ctx.Err() == nil && !res.final && d.req.Body.repeatable() && d.out.resumable(),
		Earlier:  d.earlier,
	}
	action := attempt.Next(&res.attempt, ask)
	d.earlier = attempt.Worse(d.earlier, res.attempt.State())
	if !sendsAgain(action) {
		return false, d.truthful(res.err)
	}
	d.history.Record(c.Target, c.FailureDomain, res.failure)
	if !d.waitTurn(ctx, res, action) {
		return false, d.truthful(res.err)
	}
	d.entry.metrics.retried(action)
	// A retry reads the newest view: what failed the last attempt may be known by now.
	d.refresh()
	return true, nil
}

func sendsAgain(a attempt.Action) bool {
	return a == attempt.RetryAny || a == attempt.RetrySame || a == attempt.Resume
}

func (d *dispatch) call() attempt.CallKind {
	switch {
	case d.req.Service.Kind == world.KindModel:
		return attempt.CallModel
	case d.req.Repeatable:
		return attempt.CallRepeatable
	}
	return attempt.CallOnce
}

// waitTurn asks the retry policy and waits as it says; false if no further attempt is made.
func (d *dispatch) waitTurn(ctx context.Context, res *result, action attempt.Action) bool {
	now := time.Now()
	after := time.Duration(0)
	if action == attempt.RetrySame {
		after = res.err.RetryAfter
	}
	decision := d.entry.retries.Decide(&d.history, res.failure, d.svc.budget, after, d.req.Deadline.Sub(now), d.rng, now)
	if !decision.Retry {
		return false
	}
	return decision.Delay == 0 || sleep.For(ctx, decision.Delay) == nil
}

func (d *dispatch) refresh() {
	if svc := d.entry.viewer.current().service(d.req.Service.Name); svc != nil {
		d.svc = svc
	}
}
