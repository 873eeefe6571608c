package gateway

import (
	"context"
	"errors"
	"time"
)

// errWeightsExpired ends a request that waits at a target while the time of the target's weights runs out.
var errWeightsExpired = errors.New("weights expired before the request began")

// expiryPeriod is how often a request that waits at a target looks for newer weights named meanwhile: well below
// weightsMargin.
const expiryPeriod = 500 * time.Millisecond

// expireUnstarted cancels a try that has not begun when its weight version may run no more requests. ctx is the try's.
func (rq *request) cancelOnExpiry(ctx context.Context, version int, cancel context.CancelCauseFunc) *time.Timer {
	var timer *time.Timer
	timerSet := make(chan struct{})
	timer = time.AfterFunc(rq.nextExpiryCheck(version), func() {
		<-timerSet
		if rq.answerBegun.Load() || ctx.Err() != nil {
			return
		}
		if wait := rq.nextExpiryCheck(version); wait > 0 {
			timer.Reset(wait)
			return
		}
		cancel(errWeightsExpired)
	})
	close(timerSet)
	return timer
}

// expiryWait returns the time until the newest view is to be asked again for the end of a weight version, zero if that is
// over.
func (rq *request) nextExpiryCheck(version int) time.Duration {
	expiry := rq.gateway.opts.State.current.Load().versionHistory.Expiry(rq.call.Model, version)
	if expiry.IsZero() {
		return expiryPeriod
	}
	return min(max(time.Until(expiry)+weightsMargin/2, 0), expiryPeriod)
}
