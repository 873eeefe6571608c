package soak

import (
	"context"
	"sync"
	"time"

	"github.com/egrethoist/egrethoist/internal/sleep"
	"github.com/egrethoist/egrethoist/platform/standin"
)

// mostPause is the longest pause that targets ask for: it is over before the end is judged.
const mostPause = 5 * time.Second

// pauseMood asks for pauses of many lengths, often or always.
func pauseMood(fl fault) standin.FaultRates {
	return standin.FaultRates{Pause: 0.2 + fl.share, PauseDuration: time.Second + time.Duration(fl.share*float64(mostPause-time.Second))}
}

// pauseTarget makes a target refuse requests and ask for pauses. It is no disturbance: all promises hold.
func (f *fleet) pauseTarget(ctx context.Context, fl fault) {
	p := f.take(fl, "")
	if p == nil {
		return
	}
	defer f.release(p)
	p.target.SetFaultRates(pauseMood(fl))
	_ = sleep.For(ctx, fl.length) // the faults end either way
	p.target.SetFaultRates(standin.FaultRates{})
}

// mostLimit is the highest limit that targets name, in requests a second: fewer than they get without one.
const mostLimit = 8

// limitPlace makes a target name a limit for long enough that it can be judged. It is no disturbance: all promises hold.
func (f *fleet) limitPlace(ctx context.Context, p *place, fl fault) {
	const judged = 5 * time.Second
	limit := max(mostLimit*(1.2*fl.share-0.2), 0) // one in six takes nothing
	f.ledger.limited(p.target.ID(), limit)
	p.target.SetLimit(limit)
	_ = sleep.For(ctx, bounds.RecoveryTime+judged+fl.length) // the limit ends either way
	p.target.ClearLimit()
	f.ledger.limitEnded(p.target.ID())
}

func (f *fleet) limitTarget(ctx context.Context, fl fault) {
	p := f.take(fl, "")
	if p == nil {
		return
	}
	defer f.release(p)
	f.limitPlace(ctx, p, fl)
}

// limitService makes all targets of a service name limits at once.
func (f *fleet) limitService(ctx context.Context, fl fault) {
	f.withService(fl, func(p *place) { f.limitPlace(ctx, p, fl) })
}

// withService runs a fault at all targets of a service side by side.
func (f *fleet) withService(fl fault, change func(*place)) {
	var all sync.WaitGroup
	for range f.opts.Engines + 2*f.opts.Plain {
		all.Go(func() {
			p := f.take(fl, []string{plain, plainNext, engines}[fl.pick%3])
			if p == nil {
				return
			}
			defer f.release(p)
			change(p)
		})
	}
	all.Wait()
}

// pauseService makes all targets of a service ask for pauses at once.
func (f *fleet) pauseService(ctx context.Context, fl fault) {
	f.withService(fl, func(p *place) {
		p.target.SetFaultRates(pauseMood(fl))
		_ = sleep.For(ctx, fl.length) // the faults end either way
		p.target.SetFaultRates(standin.FaultRates{})
	})
}
