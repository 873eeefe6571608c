package soak

import (
	"context"
	"sync"
	"time"

	"github.com/egrethoist/egrethoist/internal/sleep"
	"github.com/egrethoist/egrethoist/platform/standin"
)

// acquire reserves an endpoint with a running target of the given service, or of any service if it is empty. It returns nil if each
// such endpoint is reserved by another fault.
func (f *fleet) acquire(fl fault, service string) *endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.endpoints {
		ep := f.endpoints[(fl.index+i)%len(f.endpoints)]
		if ep.target != nil && !ep.reserved && (service == "" || ep.service == service) {
			ep.reserved = true
			return ep
		}
	}
	return nil
}

// release ends the reservation of an endpoint.
func (f *fleet) release(ep *endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	ep.reserved = false
}

// withTarget calls change with a reserved endpoint and records a disturbance of its target meanwhile. It does nothing if no
// endpoint is available.
func (f *fleet) withTarget(fl fault, service string, change func(*endpoint)) {
	ep := f.acquire(fl, service)
	if ep == nil {
		return
	}
	defer f.release(ep)
	endDisturbance := f.disturbances.begin(ep.target.ID())
	defer endDisturbance()
	change(ep)
}

// startColdTarget starts a new target at an endpoint; the target is cold for coldDuration.
func (f *fleet) startColdTarget(ep *endpoint, service string) {
	if err := f.startTarget(ep, service, coldDuration); err != nil {
		f.checker.Violation("FAULT", "start target: %v", err)
	}
}

func (f *fleet) crashTarget(ctx context.Context, fl fault) {
	f.withTarget(fl, "", func(ep *endpoint) {
		f.stopAbruptly(ep)
		_ = sleep.For(ctx, fl.length) // a new target is started even if ctx has ended
		f.startColdTarget(ep, ep.service)
	})
}

// maxLinger is the maximum time for which a leaving target keeps serving after the drain bound.
const maxLinger = 6 * time.Second

// drainTarget drains a target as the platform does, then stops it.
func (f *fleet) drainTarget(ep *endpoint, fl fault) { f.retireTarget(ep, fl, (*standin.Target).Drain) }

// retireTarget announces that a target leaves, keeps it serving for the drain bound and up to maxLinger more, then stops it.
func (f *fleet) retireTarget(ep *endpoint, fl fault, announce func(*standin.Target)) {
	announce(ep.target)
	f.history.recordLeaving(ep.target.ID())
	time.Sleep(bounds.Drain + time.Duration(fl.strength*float64(maxLinger)))
	endDisturbance := f.disturbances.begin(ep.target.ID()) // stopping breaks off the requests that are still running
	ep.target.Stop(true)
	endDisturbance()
}

// withdrawTarget makes a target leave without reporting that it drains: its record is removed while it keeps serving.
func (f *fleet) withdrawTarget(_ context.Context, fl fault) {
	ep := f.acquire(fl, "")
	if ep == nil {
		return
	}
	defer f.release(ep)
	f.retireTarget(ep, fl, (*standin.Target).Withdraw)
	f.startColdTarget(ep, ep.service)
}

// minUndrainedTime is the minimum time after the drain bound for which a target keeps serving if its record does not show that it
// leaves.
const minUndrainedTime = 2 * time.Second

// announceLeaving makes a target leave and announce it only in its answers: its record stays unchanged until it stops.
func (f *fleet) announceLeaving(_ context.Context, fl fault) {
	ep := f.acquire(fl, "")
	if ep == nil {
		return
	}
	defer f.release(ep)
	ep.target.AnnounceLeaving()
	time.Sleep(bounds.Drain + minUndrainedTime + time.Duration(fl.strength*float64(maxLinger-minUndrainedTime)))
	endDisturbance := f.disturbances.begin(ep.target.ID()) // stopping breaks off the requests that are still running
	ep.target.Stop(true)
	endDisturbance()
	f.startColdTarget(ep, ep.service)
}

// replaceTargets replaces three targets at once, each of which keeps serving for a different time.
func (f *fleet) replaceTargets(ctx context.Context, fl fault) {
	var all sync.WaitGroup
	for i := range 3 {
		single := fl
		single.index, single.strength = fl.index+i, fl.strength*float64(i+1)/3
		all.Go(func() { f.replaceTarget(ctx, single) })
	}
	all.Wait()
}

// replaceTarget drains a target and starts a new one at its endpoint.
func (f *fleet) replaceTarget(_ context.Context, fl fault) {
	ep := f.acquire(fl, "")
	if ep == nil {
		return
	}
	defer f.release(ep)
	f.drainTarget(ep, fl)
	f.startColdTarget(ep, ep.service)
}

// reuseAddress starts a target of another service at the address of a drained target, and later switches back.
func (f *fleet) reuseAddress(ctx context.Context, fl fault) {
	ep := f.acquire(fl, plain)
	if ep == nil {
		return
	}
	defer f.release(ep)
	f.drainTarget(ep, fl)
	f.startColdTarget(ep, plainNext)
	_ = sleep.For(ctx, fl.length) // the endpoint is switched back even if ctx has ended
	f.drainTarget(ep, fl)
	f.startColdTarget(ep, plain)
}

// injectTargetFaults makes a target fail a share of its requests in one of several ways.
func (f *fleet) injectTargetFaults(ctx context.Context, fl fault) {
	share := 0.05 + 0.3*fl.strength
	rates := []standin.FaultRates{{Fail: share}, {DropAnswer: share}, {Garbage: share}, {Truncate: share}, {ExtraAnswer: share}}
	f.withTarget(fl, "", func(ep *endpoint) {
		ep.target.SetFaultRates(rates[fl.index%len(rates)])
		_ = sleep.For(ctx, fl.length) // the faults are removed even if ctx has ended
		ep.target.SetFaultRates(standin.FaultRates{})
	})
}

// injectServiceFaults makes all targets of a service fail at once, so that only the retry budget limits the number of retries.
func (f *fleet) injectServiceFaults(ctx context.Context, fl fault) {
	const lengthFactor = 3 // three times as long as other faults, so that a missing retry budget is detected
	service := []string{plain, plainNext, engines}[fl.index%3]
	var faulty []*standin.Target
	f.mu.Lock()
	for _, ep := range f.endpoints {
		if ep.target != nil && ep.service == service {
			faulty = append(faulty, ep.target)
		}
	}
	f.mu.Unlock()
	for _, t := range faulty {
		defer f.disturbances.begin(t.ID())()
		t.SetFaultRates(standin.FaultRates{Fail: 0.5 + fl.strength/2, Truncate: fl.strength / 2})
	}
	_ = sleep.For(ctx, lengthFactor*fl.length) // the faults are removed even if ctx has ended
	for _, t := range faulty {
		t.SetFaultRates(standin.FaultRates{})
	}
}

func (f *fleet) makeTargetCold(_ context.Context, fl fault) {
	f.withTarget(fl, engines, func(ep *endpoint) { ep.target.SetCold(fl.length) })
}

func (f *fleet) delayTargetLink(ctx context.Context, fl fault) {
	f.withTarget(fl, "", func(ep *endpoint) {
		ep.link.delay.Store(int64(fl.strength * float64(200*time.Millisecond)))
		_ = sleep.For(ctx, fl.length) // the delay is removed even if ctx has ended
		ep.link.delay.Store(0)
	})
}

func (f *fleet) resetTargetConns(_ context.Context, fl fault) {
	f.withTarget(fl, "", func(ep *endpoint) { ep.link.resetAll() })
}

func (f *fleet) silenceTargetConns(ctx context.Context, fl fault) {
	f.withTarget(fl, "", func(ep *endpoint) {
		ep.link.silenceAll()
		_ = sleep.For(ctx, fl.length) // long enough that requests are sent over the silent connections
	})
}

func (f *fleet) cutTargetLinkOneWay(ctx context.Context, fl fault) {
	f.withTarget(fl, "", func(ep *endpoint) {
		cut := &ep.link.cutToBackend
		if fl.strength < 0.5 {
			cut = &ep.link.cutToClient
		}
		cut.Store(true)
		_ = sleep.For(ctx, fl.length) // the cut is removed even if ctx has ended
		cut.Store(false)
	})
}

// muteHeartbeat stops the heartbeats of a target until its record is removed and for the length of the fault.
func (f *fleet) muteHeartbeat(ctx context.Context, fl fault) {
	f.withTarget(fl, "", func(ep *endpoint) {
		ep.target.Silent.Store(true)
		_ = sleep.For(ctx, fl.length+standin.LapseHeartbeats*standin.HeartbeatInterval) // the heartbeats resume even if ctx has ended
		ep.target.Silent.Store(false)
	})
}
