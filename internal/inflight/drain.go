package inflight

import (
	"context"
	"time"

	"github.com/egrethoist/egrethoist/internal/drain"
)

// Drain runs a planned stop of what c counts; see the function Drain.
func (c *Counter) Drain(ctx context.Context, opts drain.Options, onPhase func(drain.Phase)) error {
	return Drain(ctx, opts, func() drain.Work { return drain.Work{Running: int(c.Count()), LastArrival: c.LastArrival()} }, onPhase)
}

// Drain runs a planned stop through its phases. It returns nil once nothing is in flight, or the error of ctx. It calls onPhase at
// every new phase before it reads the work again; onPhase must make the process refuse what the phase no longer accepts, so that no
// request is missed by the count.
func Drain(ctx context.Context, opts drain.Options, work func() drain.Work, onPhase func(drain.Phase)) error {
	stop := drain.New(opts)
	stop.Begin(time.Now())
	onPhase(stop.Phase())
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		before := stop.Phase()
		phase := stop.Next(work(), time.Now())
		if phase != before {
			onPhase(phase)
		}
		if phase == drain.PhaseStoppable {
			return nil
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
