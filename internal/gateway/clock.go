package gateway

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/egrethoist/egrethoist/internal/remoteclock"
	"github.com/egrethoist/egrethoist/internal/sleep"
)

// targetClock tracks the clock that the targets and KV-cache stores share. The deadlines of fetches and the ages of weight versions refer to
// it: unlike the wall clock of an instance it is the same for all instances. Its times are those of State.bootTime.
type targetClock struct {
	started  time.Time                            // from which local times are measured
	estimate atomic.Pointer[remoteclock.Estimate] // nil while the clock is unknown
}

// observe takes in a time of the clock in Unix milliseconds, stated by the answer to a call that began and was handled at the given times. Zero
// or less is ignored.
func (c *targetClock) observe(statedMillis int64, begun, handled time.Time) {
	if statedMillis <= 0 {
		return
	}
	for {
		var current remoteclock.Estimate
		before := c.estimate.Load()
		if before != nil {
			current = *before
		}
		next, set := current.Update(statedMillis, begun.Sub(c.started), handled.Sub(c.started))
		if !c.estimate.CompareAndSwap(before, &next) {
			continue
		}
		if before == nil || set != 0 {
			klog.InfoS("clock of the targets observed", "set_ms", set.Milliseconds(), "call_ms", handled.Sub(begun).Milliseconds())
		}
		return
	}
}

// known reports whether an answer has stated the clock.
func (c *targetClock) known() bool { return c.estimate.Load() != nil }

// earliest returns the earliest time that the clock can show at a time, in Unix milliseconds, zero if the clock is unknown.
func (c *targetClock) earliest(at time.Time) int64 {
	if e := c.estimate.Load(); e != nil {
		return e.Earliest(at.Sub(c.started))
	}
	return 0
}

// age returns the time from a time of the clock, in Unix milliseconds, to now: no less than that, never negative. It returns false if the clock or
// the time is unknown.
func (c *targetClock) age(millis int64, now time.Time) (time.Duration, bool) {
	e := c.estimate.Load()
	if e == nil || millis <= 0 {
		return 0, false
	}
	return max(time.Duration(e.Latest(now.Sub(c.started))-millis)*time.Millisecond, 0), true
}

// readReport requests a target's report, which states the targets' clock.
func (s *State) readReport(ctx context.Context, engines Engines, t *target) (TargetReport, error) {
	begun := s.bootTime(time.Now())
	report, err := engines.Report(ctx, t.address)
	s.targetClock.observe(report.Clock, begun, s.bootTime(time.Now()))
	return report, err
}

const (
	// clockReadPeriod is how often an instance checks whether the targets' clock is known.
	clockReadPeriod = 100 * time.Millisecond
	// clockReadPause is the pause after a report that did not state the clock.
	clockReadPause = 10 * time.Second
)

// ClockReader reads the targets' clock from a report, unless another call has stated it: an instance that starts needs it for the ages of weight
// versions.
type ClockReader struct {
	State   *State
	Engines Engines
}

// Run reads the clock until it is known, and returns the context's error once ctx ends.
func (r *ClockReader) Run(ctx context.Context) error {
	pause := clockReadPeriod
	for sleep.For(ctx, jitter(pause)) == nil && !r.State.targetClock.known() {
		pause = clockReadPeriod
		if t := r.State.anyEngineTarget(); t != nil {
			report, err := r.State.readReport(ctx, r.Engines, t)
			r.State.observeNotice(t, report.Notice, report.Born, time.Now())
			pause = clockReadPause // if the report does not state the clock
			if err != nil {
				pause = readRetryDelay
			}
		}
	}
	<-ctx.Done()
	return ctx.Err()
}

// anyEngineTarget returns a random usable engine target that may be asked for a report, nil if there is none.
func (s *State) anyEngineTarget() *target {
	v := s.current.Load()
	if v == nil {
		return nil
	}
	now := time.Now()
	var list []*target
	for _, sv := range v.services {
		if sv.Engine == nil {
			continue
		}
		for _, t := range sv.orderedTargets {
			if _, limited := t.limit.rate(now); !limited && t.stats.PauseRemaining(now) <= 0 {
				list = append(list, t)
			}
		}
	}
	if len(list) == 0 {
		return nil
	}
	return list[rand.IntN(len(list))]
}
