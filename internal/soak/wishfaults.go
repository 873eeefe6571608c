package soak

import (
	"context"
	"sync"
	"time"

	"github.com/egrethoist/egrethoist/internal/sleep"
	"github.com/egrethoist/egrethoist/platform/standin"
)

// maxPause is the longest pause that targets request. It is shorter than finalQuietTime, so that all pauses are over before the
// final checks.
const maxPause = 5 * time.Second

// pauseRates returns rates with which a target requests pauses in at least a fifth of its answers. The length of the pauses
// depends on the strength of the fault.
func pauseRates(fl fault) standin.FaultRates {
	return standin.FaultRates{Pause: 0.2 + fl.strength, PauseDuration: time.Second + time.Duration(fl.strength*float64(maxPause-time.Second))}
}

// pauseTarget makes a target refuse requests and request pauses. It does not count as a disturbance: all guarantees must hold.
func (f *fleet) pauseTarget(ctx context.Context, fl fault) {
	ep := f.acquire(fl, "")
	if ep == nil {
		return
	}
	defer f.release(ep)
	ep.target.SetFaultRates(pauseRates(fl))
	_ = sleep.For(ctx, fl.length) // the faults are removed even if ctx has ended
	ep.target.SetFaultRates(standin.FaultRates{})
}

// maxLimit is the highest limit that targets announce, in requests per second. It is below the rate that they receive without a
// limit.
const maxLimit = 8

// limitEndpoint makes a target announce a limit for long enough that it can be checked. It does not count as a disturbance: all
// guarantees must hold.
func (f *fleet) limitEndpoint(ctx context.Context, ep *endpoint, fl fault) {
	const checkTime = 5 * time.Second
	limit := max(maxLimit*(1.2*fl.strength-0.2), 0) // zero, which refuses all requests, for one in six
	f.checker.recordLimit(ep.target.ID(), limit)
	ep.target.SetLimit(limit)
	_ = sleep.For(ctx, bounds.RecoveryTime+checkTime+fl.length) // the limit is cleared even if ctx has ended
	ep.target.ClearLimit()
	f.checker.recordLimitCleared(ep.target.ID())
}

// limitTarget makes one target announce a limit.
func (f *fleet) limitTarget(ctx context.Context, fl fault) {
	ep := f.acquire(fl, "")
	if ep == nil {
		return
	}
	defer f.release(ep)
	f.limitEndpoint(ctx, ep, fl)
}

// limitService makes all targets of a service announce limits at once.
func (f *fleet) limitService(ctx context.Context, fl fault) {
	f.withService(fl, func(ep *endpoint) { f.limitEndpoint(ctx, ep, fl) })
}

// withService calls change concurrently with all endpoints of a service that are not reserved.
func (f *fleet) withService(fl fault, change func(*endpoint)) {
	var all sync.WaitGroup
	for range f.opts.Engines + 2*f.opts.Plain {
		all.Go(func() {
			ep := f.acquire(fl, []string{plain, plainNext, engines}[fl.index%3])
			if ep == nil {
				return
			}
			defer f.release(ep)
			change(ep)
		})
	}
	all.Wait()
}

// pauseService makes all targets of a service request pauses at once.
func (f *fleet) pauseService(ctx context.Context, fl fault) {
	f.withService(fl, func(ep *endpoint) {
		ep.target.SetFaultRates(pauseRates(fl))
		_ = sleep.For(ctx, fl.length) // the faults are removed even if ctx has ended
		ep.target.SetFaultRates(standin.FaultRates{})
	})
}
