package soak

import (
	"context"

	"github.com/egrethoist/egrethoist/internal/sleep"
	"github.com/egrethoist/egrethoist/platform/standin"
)

// streamFaultFactor is how much longer faults of streams last than others: a stream must be cut and resumed within the fault.
const streamFaultFactor = 2

// wrongResumeRates returns rates with which at least half of the attempts to resume a stream are answered with something else. Every second
// fault does the same with a share of the new streams.
func wrongResumeRates(fl fault) standin.FaultRates {
	rates := standin.FaultRates{WrongResume: 0.5 + fl.strength/2}
	if fl.index%2 == 0 {
		rates.WrongStream = 0.3 * fl.strength
	}
	return rates
}

// injectTargetStreamFaults makes an engine answer streams with something else, and another one cut streams, which are then resumed at the
// first one or elsewhere.
func (f *fleet) injectTargetStreamFaults(ctx context.Context, fl fault) {
	f.withTarget(fl, engines, func(wrong *endpoint) {
		f.withTarget(fault{index: fl.index + 1}, engines, func(cutting *endpoint) {
			wrong.target.SetFaultRates(wrongResumeRates(fl))
			cutting.target.SetFaultRates(standin.FaultRates{Truncate: 0.5})
			f.awaitStreamFaults(ctx, fl, wrong, cutting)
		})
	})
}

// injectServiceStreamFaults makes all engines that no other fault changes cut streams and answer others with something else.
func (f *fleet) injectServiceStreamFaults(ctx context.Context, fl fault) {
	var faulty []*endpoint
	for ep := f.acquire(fl, engines); ep != nil; ep = f.acquire(fl, engines) {
		defer f.release(ep)
		defer f.disturbances.begin(ep.target.ID())()
		rates := wrongResumeRates(fl)
		rates.Truncate = 0.2 + 0.3*fl.strength
		ep.target.SetFaultRates(rates)
		faulty = append(faulty, ep)
	}
	f.awaitStreamFaults(ctx, fl, faulty...)
}

// awaitStreamFaults waits for the length of the fault and removes the faults of the endpoints' targets, even if ctx has ended.
func (f *fleet) awaitStreamFaults(ctx context.Context, fl fault, faulty ...*endpoint) {
	_ = sleep.For(ctx, streamFaultFactor*fl.length)
	for _, ep := range faulty {
		ep.target.SetFaultRates(standin.FaultRates{})
	}
}
