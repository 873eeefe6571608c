package entry

import (
	"time"

	egretv1 "github.com/egrethoist/egrethoist/gen/egret/v1"
	"github.com/egrethoist/egrethoist/internal/attempt"
	"github.com/egrethoist/egrethoist/internal/retry"
	"github.com/egrethoist/egrethoist/internal/routing"
)

// refusalKind says what a sidecar's refusal means for the request.
type refusalKind struct {
	code    Code
	failure retry.Failure
	event   attempt.Event
	final   bool    // asking again does not help before the time given
	outcome Outcome // set only where the refusal itself tells it
}

// refusalKinds lists what each cause means. Causes that speak of an earlier attempt under the same key leave the
// outcome of the request unknown, although this attempt did not run.
var refusalKinds = [...]refusalKind{
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

// maxBackoff bounds how long a full target is passed over, since the wait that it names is that of one workspace.
const maxBackoff = 250 * time.Millisecond

func kindOf(cause egretv1.RefusalCause) refusalKind {
	if int(cause) >= len(refusalKinds) || cause < 0 {
		return refusalKinds[egretv1.RefusalCause_REFUSAL_CAUSE_UNSPECIFIED]
	}
	return refusalKinds[cause]
}

// refused ends an attempt that the sidecar would not run.
func (d *dispatch) refused(c *routing.Candidate, res *result, m *egretv1.Refused) {
	kind := kindOf(m.Cause)
	d.asm.AbandonAttempt()
	d.apply(res, kind.event)
	res.failure = kind.failure
	res.final = kind.final
	res.keyUnrun = m.KeyUnrun
	if kind.failure == retry.FailureOverload || kind.failure == retry.FailureCold {
		wait := min(time.Duration(m.RetryAfterMicros)*time.Microsecond, maxBackoff)
		c.Stats.Backoff(time.Now().Add(wait))
	}
	if m.Cause == egretv1.RefusalCause_REFUSAL_CAUSE_DRAINED {
		d.entry.viewer.refused(c.Target, m.Load.GetIncarnation())
	}
	res.err = &Error{
		Code:       kind.code,
		Outcome:    kind.outcome,
		Step:       "admit",
		Peer:       c.Target,
		Message:    m.Detail,
		RetryAfter: time.Duration(m.RetryAfterMicros) * time.Microsecond,
	}
	if res.err.RetryAfter == 0 && !kind.final {
		res.err.RetryAfter = time.Second
	}
}
