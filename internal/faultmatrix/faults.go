package faultmatrix

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"time"

	fakeengine "github.com/egrethoist/egrethoist/internal/fake/engine"
	"github.com/egrethoist/egrethoist/internal/fake/plain"
	fakestore "github.com/egrethoist/egrethoist/internal/fake/store"
	"github.com/egrethoist/egrethoist/internal/fleet"
	"github.com/egrethoist/egrethoist/internal/platform"
	"github.com/egrethoist/egrethoist/internal/platform/memory"
	"github.com/egrethoist/egrethoist/internal/world"
)

// Fault names a fault.
type Fault string

// faultLasts is how long a passing fault lasts.
const faultLasts = 5 * time.Second

// restartAfter is how long a crashed process or target is away.
const restartAfter = 1 * time.Second

// slowLink is the one-way delay of a link that has turned slow.
const slowLink = 600 * time.Millisecond

// faultSpec is what a fault does to the target that serves the call, and how it ends.
type faultSpec struct {
	name    Fault
	planned bool // a planned stop or order, not a failure
	begin   func(b *bed, n *fleet.TargetNode)
	end     func(b *bed, n *fleet.TargetNode) // nil lasts, or ended by begin itself
	lasts   time.Duration
}

// Faults lists the names of all faults.
var Faults = faultNames()

func faultNames() []Fault {
	out := make([]Fault, len(specs))
	for i, s := range specs {
		out[i] = s.name
	}
	return out
}

func specOf(f Fault) *faultSpec {
	for i := range specs {
		if specs[i].name == f {
			return &specs[i]
		}
	}
	return nil
}

// entryName is the entry to which the first try goes.
const entryName = "entry-1"

func sidecarIP(b *bed, n *fleet.TargetNode) string { return b.hosts.ip(n.Target.Name) }
func backendIP(b *bed, n *fleet.TargetNode) string { return b.hosts.ip(n.Target.Name + "-backend") }
func entryIP(b *bed) string                        { return b.hosts.ip(entryName) }

// specs are the faults as they can strike a request. What can't strike one, because a request does
// not touch it, is listed in the report.
var specs = []faultSpec{
	{name: "sidecar crashes", begin: crashSidecar, end: restartSidecar, lasts: restartAfter},
	{name: "sidecar paused", begin: func(b *bed, n *fleet.TargetNode) { b.hosts.Freeze(sidecarIP(b, n)) },
		end: func(b *bed, n *fleet.TargetNode) { b.hosts.Unfreeze(sidecarIP(b, n)) }, lasts: faultLasts},
	{name: "target instance vanishes", begin: vanish, end: reappear, lasts: faultLasts},
	{name: "failure domain vanishes", begin: vanishDomain, end: reappearDomain, lasts: faultLasts},
	{name: "entry crashes", begin: func(b *bed, _ *fleet.TargetNode) { b.hosts.crash(entryName, b.Entries[0].Kill) }},
	{name: "entry paused", begin: func(b *bed, _ *fleet.TargetNode) { b.hosts.Freeze(entryIP(b)) },
		end: func(b *bed, _ *fleet.TargetNode) { b.hosts.Unfreeze(entryIP(b)) }, lasts: faultLasts},
	{name: "target crashes", begin: crashTarget, end: restartTarget, lasts: restartAfter},
	{name: "target freezes", begin: freezeTarget, end: thawTarget, lasts: faultLasts},
	{name: "target turns cold", begin: turnCold},
	{name: "target slow", begin: slowTarget, end: func(_ *bed, n *fleet.TargetNode) { healTarget(n) }, lasts: faultLasts},
	{name: "target hangs before first byte", begin: hangTarget, end: func(_ *bed, n *fleet.TargetNode) { healTarget(n) }, lasts: faultLasts},
	{name: "target hangs after its effect", begin: hangAfterEffect, end: func(_ *bed, n *fleet.TargetNode) { healTarget(n) }, lasts: faultLasts},
	{name: "target loses its answer", begin: loseAnswer, end: func(_ *bed, n *fleet.TargetNode) { healTarget(n) }, lasts: faultLasts},
	{name: "target answers 503", begin: refuseCalls, end: func(_ *bed, n *fleet.TargetNode) { healTarget(n) }, lasts: faultLasts},
	{name: "entry to sidecar silent", begin: func(b *bed, n *fleet.TargetNode) { b.hosts.Silence(entryIP(b), sidecarIP(b, n)) }},
	{name: "sidecar to target silent", begin: func(b *bed, n *fleet.TargetNode) { b.hosts.Silence(sidecarIP(b, n), backendIP(b, n)) }},
	{name: "caller to entry silent", begin: silenceCaller},
	{name: "entry to sidecar reset", begin: func(b *bed, n *fleet.TargetNode) { b.hosts.Reset(entryIP(b), sidecarIP(b, n)) }},
	{name: "sidecar to target reset", begin: func(b *bed, n *fleet.TargetNode) { b.hosts.Reset(sidecarIP(b, n), backendIP(b, n)) }},
	{name: "partition towards sidecar", begin: func(b *bed, n *fleet.TargetNode) { b.hosts.Partition(entryIP(b), sidecarIP(b, n)) },
		end: func(b *bed, n *fleet.TargetNode) { b.hosts.Heal(entryIP(b), sidecarIP(b, n)) }, lasts: faultLasts},
	{name: "partition towards entry", begin: func(b *bed, n *fleet.TargetNode) { b.hosts.Partition(sidecarIP(b, n), entryIP(b)) },
		end: func(b *bed, n *fleet.TargetNode) { b.hosts.Heal(sidecarIP(b, n), entryIP(b)) }, lasts: faultLasts},
	{name: "entry to sidecar slow", begin: slowTo(func(b *bed, n *fleet.TargetNode) (string, string) { return entryIP(b), sidecarIP(b, n) }, slowLink),
		end: slowTo(func(b *bed, n *fleet.TargetNode) (string, string) { return entryIP(b), sidecarIP(b, n) }, linkDelay), lasts: faultLasts},
	{name: "sidecar to target slow", begin: slowTo(func(b *bed, n *fleet.TargetNode) (string, string) { return sidecarIP(b, n), backendIP(b, n) }, slowLink),
		end: slowTo(func(b *bed, n *fleet.TargetNode) (string, string) { return sidecarIP(b, n), backendIP(b, n) }, linkDelay), lasts: faultLasts},
	{name: "key-value service down", begin: kvFault(memory.Faults{Down: true}), end: kvFault(memory.Faults{}), lasts: faultLasts},
	{name: "key-value service hangs", begin: kvFault(memory.Faults{Hang: true}), end: kvFault(memory.Faults{}), lasts: faultLasts},
	{name: "key-value answers lost", begin: kvFault(memory.Faults{LoseAnswers: 3}), end: kvFault(memory.Faults{}), lasts: faultLasts},
	{name: "key-value reads stale", begin: kvFault(memory.Faults{Stale: true, DropWatches: true}), end: kvFault(memory.Faults{}), lasts: faultLasts},
	{name: "leases lapse", begin: func(b *bed, _ *fleet.TargetNode) { b.kv.LapseLeases() }},
	{name: "stores down", begin: storeFault(fakestore.Faults{Down: true}), end: storeFault(fakestore.Faults{}), lasts: faultLasts},
	{name: "stores full", begin: storeFault(fakestore.Faults{Full: true}), end: storeFault(fakestore.Faults{}), lasts: faultLasts},
	{name: "stores slow", begin: storeFault(fakestore.Faults{Delay: time.Second}), end: storeFault(fakestore.Faults{}), lasts: faultLasts},
	{name: "stores cut and cross blocks", begin: storeFault(fakestore.Faults{Truncate: 1, Crossed: true, Late: true}),
		end: storeFault(fakestore.Faults{}), lasts: faultLasts},
	{name: "stores restart empty", begin: restartStores},
	{name: "caller goes away", begin: func(b *bed, _ *fleet.TargetNode) { b.callerGone() }},
	{name: "sidecar stops as planned", planned: true, begin: stopSidecar},
	{name: "entry stops as planned", planned: true, begin: stopEntry},
	{name: "failure domain taken out", planned: true, begin: drain(everywhere), end: bringBack, lasts: faultLasts},
	// An order that reaches one end only is a failure of its distribution, no planned stop.
	{name: "domain taken out, entries told only", begin: drain(onlyEntries), end: bringBack, lasts: faultLasts},
	{name: "domain taken out, sidecars told only", begin: drain(onlySidecars), end: bringBack, lasts: faultLasts},
	{name: "two operators apply at once", begin: raceOperators, end: bringBack, lasts: faultLasts},
	{name: "instance list lags and flaps", begin: flapList, end: settleList, lasts: faultLasts},
	{name: "leases lapse under a paused sidecar, twice", begin: lapseUnderPause, lasts: faultLasts},
	{name: "weight version swapped", planned: true, begin: swapVersion},
}

func kvFault(faults memory.Faults) func(b *bed, n *fleet.TargetNode) {
	return func(b *bed, _ *fleet.TargetNode) {
		b.kv.SetFaults(func(f *memory.Faults) { *f = faults })
	}
}

func storeFault(faults fakestore.Faults) func(b *bed, n *fleet.TargetNode) {
	return func(b *bed, _ *fleet.TargetNode) {
		for _, s := range b.Stores {
			s.Store.SetFaults(faults)
		}
	}
}

func restartStores(b *bed, _ *fleet.TargetNode) {
	for _, s := range b.Stores {
		s.Store.Restart()
	}
}

func silenceCaller(b *bed, _ *fleet.TargetNode) {
	b.mu.Lock()
	b.silenced = append(b.silenced, time.Now())
	b.mu.Unlock()
	b.hosts.Silence(b.hosts.ip(caller), entryIP(b))
}

// silencedSince reports whether the caller's connections to the first entry went silent after a time.
func (b *bed) silencedSince(at time.Time, entryIndex int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return entryIndex == 0 && slices.ContainsFunc(b.silenced, func(s time.Time) bool { return !s.Before(at) })
}

func crashSidecar(b *bed, n *fleet.TargetNode) {
	b.procs.Lock()
	defer b.procs.Unlock()
	b.hosts.crash(n.Target.Name, n.Kill)
}

// restartSidecar starts a crashed sidecar. It fails, and is to fail, if another fault's end has started it.
func restartSidecar(b *bed, n *fleet.TargetNode) {
	b.procs.Lock()
	defer b.procs.Unlock()
	_ = n.Restart()
}

func vanish(b *bed, n *fleet.TargetNode) {
	b.hosts.Freeze(sidecarIP(b, n))
	b.hosts.Freeze(backendIP(b, n))
}

func reappear(b *bed, n *fleet.TargetNode) {
	b.hosts.Unfreeze(sidecarIP(b, n))
	b.hosts.Unfreeze(backendIP(b, n))
}

func eachInDomain(f func(b *bed, n *fleet.TargetNode)) func(b *bed, n *fleet.TargetNode) {
	return func(b *bed, n *fleet.TargetNode) {
		for _, other := range b.Targets {
			if other.Target.FailureDomain == n.Target.FailureDomain {
				f(b, other)
			}
		}
	}
}

var (
	vanishDomain   = eachInDomain(vanish)
	reappearDomain = eachInDomain(reappear)
)

func crashTarget(_ *bed, n *fleet.TargetNode) {
	if n.Engine != nil {
		n.Engine.Crash()
		return
	}
	n.Plain.Crash()
}

func restartTarget(b *bed, n *fleet.TargetNode) {
	if n.Engine == nil {
		n.Plain.Restart()
		return
	}
	n.Engine.Restart()
	b.noteCold(n)
}

func freezeTarget(_ *bed, n *fleet.TargetNode) {
	if n.Engine != nil {
		n.Engine.Freeze()
		return
	}
	n.Plain.Freeze()
}

func thawTarget(_ *bed, n *fleet.TargetNode) {
	if n.Engine != nil {
		n.Engine.Unfreeze()
		return
	}
	n.Plain.Unfreeze()
}

// turnCold makes an engine cold without a warning. A plain service has no such state and restarts at once.
func turnCold(b *bed, n *fleet.TargetNode) {
	if n.Engine == nil {
		n.Plain.Crash()
		n.Plain.Restart()
		return
	}
	n.Engine.TurnCold()
	b.noteCold(n)
}

// noteCold records an unannounced cold start and loads the next weight version again.
func (b *bed) noteCold(n *fleet.TargetNode) {
	b.mu.Lock()
	b.cold[n.Target.Name] = append(b.cold[n.Target.Name], time.Now())
	b.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), startLimit)
	defer cancel()
	_ = b.load(ctx, n)
}

func slowTarget(_ *bed, n *fleet.TargetNode) {
	if n.Engine != nil {
		n.Engine.SetFaults(func(f *fakeengine.Faults) { f.Slow = 20 })
		return
	}
	n.Plain.SetFaults(func(f *plain.Faults) { f.Delay = 2 * time.Second })
}

func hangTarget(_ *bed, n *fleet.TargetNode) {
	if n.Engine != nil {
		n.Engine.SetFaults(func(f *fakeengine.Faults) { f.HangFirstByte = true })
		return
	}
	n.Plain.SetFaults(func(f *plain.Faults) { f.Hang = true })
}

func hangAfterEffect(_ *bed, n *fleet.TargetNode) {
	if n.Engine != nil {
		n.Engine.SetFaults(func(f *fakeengine.Faults) { f.HangFirstByte = true })
		return
	}
	n.Plain.SetFaults(func(f *plain.Faults) { f.HangAfter = true })
}

// cutAt is the token at which a fault cuts a stream.
const cutAt = 20

func loseAnswer(_ *bed, n *fleet.TargetNode) {
	if n.Engine != nil {
		n.Engine.SetFaults(func(f *fakeengine.Faults) { f.CutStreams, f.CutAtToken = 1, cutAt })
		return
	}
	n.Plain.SetFaults(func(f *plain.Faults) { f.DropAnswers = 1 })
}

func refuseCalls(_ *bed, n *fleet.TargetNode) {
	if n.Engine != nil {
		n.Engine.SetFaults(func(f *fakeengine.Faults) { f.FailStatus = http.StatusServiceUnavailable })
		return
	}
	n.Plain.SetFaults(func(f *plain.Faults) { f.FailStatus = http.StatusServiceUnavailable })
}

// slowTo sets the delay of a link in both directions.
func slowTo(ends func(b *bed, n *fleet.TargetNode) (string, string), d time.Duration) func(b *bed, n *fleet.TargetNode) {
	return func(b *bed, n *fleet.TargetNode) {
		from, to := ends(b, n)
		b.hosts.Delay(from, to, d)
		b.hosts.Delay(to, from, d)
	}
}

// stopSidecar stops the sidecar as planned and starts its successor, unless another fault has done so meanwhile.
func stopSidecar(b *bed, n *fleet.TargetNode) {
	ctx, cancel := context.WithTimeout(context.Background(), stopLimit)
	defer cancel()
	b.procs.Lock()
	stopping := n.Life()
	b.procs.Unlock()
	_ = stopping.Drain(ctx)
	b.procs.Lock()
	defer b.procs.Unlock()
	if n.Life() != stopping {
		return
	}
	b.hosts.retire(n.Target.Name)
	n.Kill()
	_ = n.Restart()
}

func stopEntry(b *bed, _ *fleet.TargetNode) {
	ctx, cancel := context.WithTimeout(context.Background(), stopLimit)
	defer cancel()
	_ = b.Entries[0].Stop(ctx)
}

func drain(to scope) func(b *bed, n *fleet.TargetNode) {
	return func(b *bed, n *fleet.TargetNode) {
		domain := n.Target.FailureDomain
		b.apply(to, func(w *world.World) { w.FailureDomains[domain].Drained = true })
		b.mu.Lock()
		defer b.mu.Unlock()
		b.h.Drains = append(b.h.Drains, Drain{Domain: domain, At: time.Now()})
	}
}

func bringBack(b *bed, n *fleet.TargetNode) {
	domain := n.Target.FailureDomain
	b.mu.Lock()
	for i := range b.h.Drains {
		if b.h.Drains[i].Domain == domain && b.h.Drains[i].Until.IsZero() {
			b.h.Drains[i].Until = time.Now()
		}
	}
	b.mu.Unlock()
	b.apply(everywhere, func(w *world.World) { w.FailureDomains[domain].Drained = false })
}

func swapVersion(b *bed, _ *fleet.TargetNode) {
	b.mu.Lock()
	b.h.Versions = append(b.h.Versions, Version{Name: nextVersion, At: time.Now()})
	b.mu.Unlock()
	b.apply(everywhere, func(w *world.World) { w.Services[modelService].WeightVersion = nextVersion })
}

// raceOperators lets one operator take the domain out and another change a workspace on top of it, at the same moment.
// Compare-and-swap has put one after the other; half the processes see only the second, half see both, some of them late.
func raceOperators(b *bed, n *fleet.TargetNode) {
	second := b.raceFirst(n.Target.FailureDomain)
	time.Sleep(spreadTime) // without the lock: time stands still in a bubble while a goroutine waits for it
	b.applying.Lock()
	defer b.applying.Unlock()
	for _, c := range b.configs() {
		if c.Current().Revision.Number < second.Revision.Number {
			c.Set(second)
		}
	}
}

// raceFirst makes both configurations, hands them out by halves and returns the later one.
func (b *bed) raceFirst(domain string) *world.World {
	b.applying.Lock()
	defer b.applying.Unlock()
	first := b.next(func(w *world.World) { w.FailureDomains[domain].Drained = true })
	second := b.next(func(w *world.World) {
		changed := *w.Workspaces[workspaces[1]]
		changed.Weight++
		w.Workspaces = maps.Clone(w.Workspaces)
		w.Workspaces[changed.Name] = &changed
	})
	b.mu.Lock()
	b.h.Drains = append(b.h.Drains, Drain{Domain: domain, At: time.Now()})
	b.mu.Unlock()
	for i, c := range b.configs() {
		if i%2 == 0 {
			c.Set(first)
		} else {
			c.Set(second)
		}
	}
	return second
}

// configs lists the configurations of all processes, entries first.
func (b *bed) configs() []*fleet.Config {
	var out []*fleet.Config
	for _, e := range b.Entries {
		out = append(out, e.Config)
	}
	for _, name := range slices.Sorted(maps.Keys(b.Targets)) {
		out = append(out, b.Targets[name].Config)
	}
	return out
}

// spreadTime is how long a configuration takes to reach the last process.
const spreadTime = 500 * time.Millisecond

// flapPeriod is the time between two changes of a flapping list. faultLasts holds an even number of them.
const flapPeriod = 250 * time.Millisecond

// flapList drops the target from the list, announces its leaving, and names it again, over and over. It lives all along.
func flapList(b *bed, n *fleet.TargetNode) {
	name := n.Target.Name
	b.work.Go(func() {
		for i := range int(faultLasts / flapPeriod) {
			b.list.change(func(all map[string]platform.Instance) {
				in := platform.Instance{Name: name, FailureDomain: n.Target.FailureDomain, Leaving: i%4 == 2}
				if i%4 == 0 {
					delete(all, name)
					return
				}
				all[name] = in
			})
			time.Sleep(flapPeriod)
		}
	})
}

func settleList(b *bed, n *fleet.TargetNode) {
	b.list.change(func(all map[string]platform.Instance) {
		all[n.Target.Name] = platform.Instance{Name: n.Target.Name, FailureDomain: n.Target.FailureDomain}
	})
}

// lapseUnderPause pauses the sidecar, lets every lease lapse meanwhile, and does so again after it woke.
func lapseUnderPause(b *bed, n *fleet.TargetNode) {
	b.work.Go(func() {
		for range 2 {
			b.hosts.Freeze(sidecarIP(b, n))
			time.Sleep(faultLasts / 4)
			b.kv.LapseLeases()
			time.Sleep(faultLasts / 4)
			b.hosts.Unfreeze(sidecarIP(b, n))
			time.Sleep(faultLasts / 4)
		}
	})
}
