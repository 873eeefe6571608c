package gateway

import (
	"context"
	"errors"
	"time"
)

// errWeightsExpired cancels an attempt that is still queued at a target when the target's weight version expires.
var errWeightsExpired = errors.New("weights expired before the request began")

// expiryCheckPeriod is how often an attempt that is queued at a target checks whether newer weights have been released: well below
// weightsMargin.
const expiryCheckPeriod = 500 * time.Millisecond

// cancelOnExpiry cancels an attempt whose weight version expires before its answer has begun. ctx is the attempt's context, cancel
// cancels it. The caller must stop the returned timer.
func (rq *request) cancelOnExpiry(ctx context.Context, version int, cancel context.CancelCauseFunc) *time.Timer {
	var timer *time.Timer
	timerSet := make(chan struct{})
	timer = time.AfterFunc(rq.nextExpiryCheck(version), func() {
		<-timerSet
		if rq.targetBegan.Load() || ctx.Err() != nil {
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

// nextExpiryCheck returns the time after which to check the expiry of a weight version again, zero if it has expired.
func (rq *request) nextExpiryCheck(version int) time.Duration {
	state := rq.gateway.opts.State
	expiry := state.current.Load().versionHistory.Expiry(rq.call.Model, version)
	if expiry.IsZero() {
		return expiryCheckPeriod
	}
	return min(max(expiry.Sub(state.bootTime(time.Now()))+weightsMargin/2, 0), expiryCheckPeriod)
}
