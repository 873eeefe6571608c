package inflight

import (
	"context"
	"time"

	"github.com/egrethoist/egrethoist/internal/drain"
)

// Drain runs a planned stop through its phases. It returns nil once no request is in flight, or the error of ctx. It calls onPhase at
// every new phase before it reads the count again; onPhase must make the process refuse what the phase no longer accepts, so that no
// request is missed by the count.
func (c *Counter) Drain(ctx context.Context, opts drain.Options, onPhase func(drain.Phase)) error {
	stop := drain.New(opts)
	stop.Begin(time.Now())
	onPhase(stop.Phase())
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		before := stop.Phase()
		phase := stop.Next(drain.Work{Running: int(c.Count()), LastArrival: c.LastArrival()}, time.Now())
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
