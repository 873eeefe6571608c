package entry

import (
	"time"

	egretv1 "github.com/egrethoist/egrethoist/gen/egret/v1"
	"github.com/egrethoist/egrethoist/internal/attempt"
	"github.com/egrethoist/egrethoist/internal/retry"
	"github.com/egrethoist/egrethoist/internal/routing"
)

// refusalClass describes how the entry handles a refusal by a sidecar.
type refusalClass struct {
	code    Code
	failure retry.Failure
	event   attempt.Event
	final   bool    // a retry before RetryAfter cannot succeed
	outcome Outcome // set only if the refusal itself determines it
}

// refusalClasses is indexed by cause. Causes that refer to an earlier attempt with the same key leave the outcome of the
// request unknown, although this attempt did not run.
var refusalClasses = [...]refusalClass{
	egretv1.RefusalCause_REFUSAL_CAUSE_UNSPECIFIED: {code: CodeUnavailable, failure: retry.FailureFinal, event: attempt.PeerRefused, final: true},
	egretv1.RefusalCause_REFUSAL_CAUSE_OVERLOAD:    {code: CodeOverloaded, failure: retry.FailureOverload, event: attempt.PeerRefused},
	egretv1.RefusalCause_REFUSAL_CAUSE_COLD:        {code: CodeOverloaded, failure: retry.FailureCold, event: attempt.PeerRefused},
	egretv1.RefusalCause_REFUSAL_CAUSE_DRAINED:     {code: CodeUnavailable, failure: retry.FailureTarget, event: attempt.PeerRefused},
	egretv1.RefusalCause_REFUSAL_CAUSE_DEADLINE:    {code: CodeDeadline, failure: retry.FailureFinal, event: attempt.PeerRefused, final: true},
	egretv1.RefusalCause_REFUSAL_CAUSE_VERSION:     {code: CodeUnavailable, failure: retry.FailureTarget, event: attempt.PeerRefused},
	egretv1.RefusalCause_REFUSAL_CAUSE_INCARNATION: {code: CodeUnavailable, failure: retry.FailureTarget, event: attempt.PeerRefused},
	egretv1.RefusalCause_REFUSAL_CAUSE_LIMIT:       {code: CodeWorkspaceLimit, failure: retry.FailureFinal, event: attempt.PeerRefused, final: true},
	egretv1.RefusalCause_REFUSAL_CAUSE_OUTCOME_UNKNOWN: {
		code: CodeOutcomeUnknown, failure: retry.FailureFinal, event: attempt.FailedUnknown, final: true,
	},
	egretv1.RefusalCause_REFUSAL_CAUSE_IN_PROGRESS: {
		code: CodeInProgress, failure: retry.FailureTarget, event: attempt.FailedUnknown,
	},
	egretv1.RefusalCause_REFUSAL_CAUSE_INVALID:     {code: CodeInvalid, failure: retry.FailureFinal, event: attempt.PeerRefused, final: true},
	egretv1.RefusalCause_REFUSAL_CAUSE_TARGET_DOWN: {code: CodeUnavailable, failure: retry.FailureTarget, event: attempt.PeerRefused},
	egretv1.RefusalCause_REFUSAL_CAUSE_KEY_EXPIRED: {
		code: CodeKeyExpired, failure: retry.FailureFinal, event: attempt.FailedUnknown, final: true,
	},
	egretv1.RefusalCause_REFUSAL_CAUSE_NOT_HOME: {code: CodeUnavailable, failure: retry.FailureTarget, event: attempt.PeerRefused},
	egretv1.RefusalCause_REFUSAL_CAUSE_KEY_MISMATCH: {
		code: CodeInvalid, failure: retry.FailureFinal, event: attempt.PeerRefused, final: true,
	},
	egretv1.RefusalCause_REFUSAL_CAUSE_RAN: {
		code: CodeAlreadyRan, failure: retry.FailureFinal, event: attempt.FailedUnknown, final: true, outcome: OutcomeRan,
	},
}

// maxBackoff is the maximum backoff of an overloaded target. It is short because the retry delay that the target returned
// applies to one workspace only.
const maxBackoff = 250 * time.Millisecond

// classifyRefusal returns the class of a cause. Unknown causes are handled as unspecified.
func classifyRefusal(cause egretv1.RefusalCause) refusalClass {
	if int(cause) >= len(refusalClasses) || cause < 0 {
		return refusalClasses[egretv1.RefusalCause_REFUSAL_CAUSE_UNSPECIFIED]
	}
	return refusalClasses[cause]
}

// handleRefused ends an attempt that the sidecar refused.
func (d *dispatch) handleRefused(c *routing.Candidate, res *result, m *egretv1.Refused) {
	class := classifyRefusal(m.Cause)
	d.assembler.AbandonAttempt()
	d.applyEvent(res, class.event)
	res.failure = class.failure
	res.final = class.final
	res.keyNotRun = m.KeyUnrun
	if class.failure == retry.FailureOverload || class.failure == retry.FailureCold {
		wait := min(time.Duration(m.RetryAfterMicros)*time.Microsecond, maxBackoff)
		c.Stats.Backoff(time.Now().Add(wait))
	}
	if m.Cause == egretv1.RefusalCause_REFUSAL_CAUSE_DRAINED {
		d.entry.views.recordRefusal(c.Target, m.Load.GetIncarnation())
	}
	res.err = &Error{
		Code:       class.code,
		Outcome:    class.outcome,
		Step:       "admit",
		Peer:       c.Target,
		Message:    m.Detail,
		RetryAfter: time.Duration(m.RetryAfterMicros) * time.Microsecond,
	}
	if res.err.RetryAfter == 0 && !class.final {
		res.err.RetryAfter = time.Second
	}
}
