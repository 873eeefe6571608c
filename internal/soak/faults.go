package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/egrethoist/egrethoist/internal/sleep"
	"github.com/egrethoist/egrethoist/platform/standin"
)

// fault is one planned disturbance. The same seed plans the same faults.
type fault struct {
	at, length time.Duration
	kind       string
	pick       int     // which part, by index
	share      float64 // how strong, from 0 to 1
}

func (f fault) String() string {
	return fmt.Sprintf("%6.2fs %s, part %d, for %v, strength %.2f", f.at.Seconds(), f.kind, f.pick, f.length.Round(time.Millisecond), f.share)
}

// kinds are the faults with their weights in the draw, and what carries them out.
var kinds = []struct {
	name   string
	weight int
	apply  func(*fleet, context.Context, fault)
}{
	{"instance stopped in order", 4, (*fleet).terminateInstance},
	{"instance killed", 3, (*fleet).killInstance},
	{"instance paused", 4, (*fleet).pauseInstance},
	{"instance short of processor", 2, (*fleet).starveInstance},
	{"settings read anew", 2, (*fleet).hangUp},
	{"instances stopped in turn", 1, (*fleet).rollInstances},
	{"callers' link slow", 1, (*fleet).delayFront},
	{"callers' connections reset", 1, (*fleet).resetFront},
	{"callers' connections silent", 1, (*fleet).silenceFront},
	{"store link cut", 2, (*fleet).cutStore},
	{"store link cut one way", 2, (*fleet).cutStoreOneWay},
	{"store connections silent", 2, (*fleet).silenceStore},
	{"store turns an instance away", 2, (*fleet).refuseStore},
	{"store down", 2, (*fleet).storeDown},
	{"store slow", 1, (*fleet).storeSlow},
	{"store loses answers", 2, (*fleet).storeLosesAnswers},
	{"store forgets its history", 2, (*fleet).storeCompacts},
	{"target crashes", 3, (*fleet).crashTarget},
	{"target leaves", 4, (*fleet).replaceTarget},
	{"targets leave together", 3, (*fleet).replaceTargets},
	{"target leaves without a word", 3, (*fleet).vanishTarget},
	{"target leaves by its answers alone", 3, (*fleet).announceTarget},
	{"target asks for pauses", 3, (*fleet).pauseTarget},
	{"service asks for pauses", 1, (*fleet).pauseService},
	{"target names a limit", 4, (*fleet).limitTarget},
	{"service names limits", 2, (*fleet).limitService},
	{"address used by another service", 2, (*fleet).reuseAddress},
	{"target misbehaves", 5, (*fleet).moodTarget},
	{"service misbehaves", 4, (*fleet).moodService},
	{"target cold again", 2, (*fleet).chillTarget},
	{"target link slow", 1, (*fleet).delayTarget},
	{"target connections reset", 2, (*fleet).resetTarget},
	{"target connections silent", 2, (*fleet).silenceTarget},
	{"target link cut one way", 2, (*fleet).cutTargetOneWay},
	{"target heartbeat silent", 1, (*fleet).muteTarget},
	{"kept-cache store restarts empty", 2, (*fleet).restartStore},
	{"kept-cache store slow", 2, (*fleet).slowStore},
	{"kept-cache store loses events", 1, (*fleet).forgetStoreEvents},
	{"kept-cache store's clock jumps", 1, (*fleet).skewStore},
	{"saves stay unfinished", 1, (*fleet).holdSaves},
	{"route moved", 3, (*fleet).moveRoute},
	{"configurations in quick succession", 1, (*fleet).stormConfig},
	{"key taken away", 2, (*fleet).revokeKey},
	{"weights named", 3, (*fleet).nameWeights},
	{"failure domain evacuated", 2, (*fleet).evacuateDomain},
	{"records that cannot be read", 1, (*fleet).garbageRecords},
}

const (
	// settleTime passes before the first fault, and calmTime after the last, so that the end can be judged.
	settleTime = 3 * time.Second
	calmTime   = 9 * time.Second
	// calmWindow is the time without faults after each series, in which promises with a bound in time are judged.
	calmWindow = 7 * time.Second
	seriesTime = 6 * time.Second
	meanGap    = 600 * time.Millisecond
	leastFault = 200 * time.Millisecond
	mostFault  = 3 * time.Second
)

// plan draws the faults of a run: series that overlap, with calm between them.
func plan(seed uint64, length time.Duration) []fault {
	rng := rand.New(rand.NewPCG(seed, 7))
	total := 0
	for _, k := range kinds {
		total += k.weight
	}
	var out []fault
	for at, series := settleTime, settleTime; at < length-calmTime; {
		draw := rng.IntN(total)
		for _, k := range kinds {
			if draw -= k.weight; draw < 0 {
				out = append(out, fault{
					at: at, kind: k.name, pick: rng.IntN(1 << 16), share: rng.Float64(),
					length: leastFault + time.Duration(rng.Int64N(int64(mostFault-leastFault))),
				})
				break
			}
		}
		at += time.Duration(rng.ExpFloat64() * float64(meanGap))
		if at-series > seriesTime {
			at += calmWindow
			series = at
		}
	}
	return out
}

// inject carries out the faults at their times, each beside the others, until all are over.
func (f *fleet) inject(ctx context.Context, faults []fault) {
	start := time.Now()
	for _, fl := range faults {
		if sleep.For(ctx, time.Until(start.Add(fl.at))) != nil {
			break
		}
		f.logFaults(fl.String())
		for _, k := range kinds {
			if k.name == fl.kind {
				f.running.Go(func() { k.apply(f, ctx, fl) })
			}
		}
	}
	f.running.Wait()
}

func (f *fleet) instanceOf(fl fault) *instance { return f.instances[fl.pick%len(f.instances)] }

// during disturbs a part for the fault's time.
func (f *fleet) during(ctx context.Context, fl fault, part string, begin, end func()) {
	done := f.calm.disturb(part)
	defer done()
	begin()
	_ = sleep.For(ctx, fl.length) // the fault ends either way
	end()
}

func (f *fleet) terminateInstance(_ context.Context, fl fault) {
	in := f.instanceOf(fl)
	done := f.calm.disturb(stopOf(in.machine.Name))
	defer done()
	f.world.stopping(in.machine.Name)
	in.terminate(bounds.StopTimeout)
	time.Sleep(restartDelay)
}

func (f *fleet) rollInstances(ctx context.Context, fl fault) {
	for i := range f.instances {
		if ctx.Err() == nil {
			f.terminateInstance(ctx, fault{pick: fl.pick + i})
		}
	}
}

func (f *fleet) killInstance(_ context.Context, fl fault) {
	in := f.instanceOf(fl)
	defer f.calm.disturb(in.machine.Name)()
	defer f.calm.disturb(processOf(in.machine.Name))()
	in.signal(syscall.SIGKILL)
	time.Sleep(2 * restartDelay)
}

func (f *fleet) pauseInstance(ctx context.Context, fl fault) {
	in := f.instanceOf(fl)
	defer f.calm.disturb(processOf(in.machine.Name))()
	f.during(ctx, fl, in.machine.Name, func() { in.signal(syscall.SIGSTOP) }, func() { in.signal(syscall.SIGCONT) })
}

// starveInstance gives an instance a part of the processor for a while, in turns of a tenth of a second, as a quota does. It is no
// disturbance: all promises hold.
func (f *fleet) starveInstance(ctx context.Context, fl fault) {
	const turn = 100 * time.Millisecond
	in := f.instanceOf(fl)
	run := time.Duration((0.3 + 0.5*fl.share) * float64(turn)) // 0.3 of a core is the platform's share
	for end := time.Now().Add(fl.length); time.Now().Before(end) && ctx.Err() == nil; {
		in.signal(syscall.SIGSTOP)
		time.Sleep(turn - run)
		in.signal(syscall.SIGCONT)
		_ = sleep.For(ctx, run) // the loop looks at ctx itself
	}
}

func (f *fleet) hangUp(_ context.Context, fl fault) {
	in := f.instanceOf(fl)
	if err := in.writeSettings(); err != nil {
		f.ledger.Violation("FAULT", "write settings: %v", err)
	}
	in.signal(syscall.SIGHUP)
}

func (f *fleet) delayFront(ctx context.Context, fl fault) {
	k := f.instanceOf(fl).front
	f.during(ctx, fl, frontLinks, func() { k.delay.Store(int64(fl.share * float64(100*time.Millisecond))) }, func() { k.delay.Store(0) })
}

func (f *fleet) resetFront(_ context.Context, fl fault) {
	f.calm.disturb(frontLinks)()
	f.instanceOf(fl).front.resetAll()
}

func (f *fleet) silenceFront(_ context.Context, fl fault) {
	// The connections stay silent until their callers give up.
	done := f.calm.disturb(frontLinks)
	f.instanceOf(fl).front.silenceAll()
	time.AfterFunc(bounds.RecoveryTime+5*time.Second, done)
}

func (f *fleet) cutStore(ctx context.Context, fl fault) {
	in := f.instanceOf(fl)
	f.during(ctx, fl, in.machine.Name, func() { in.store.cutUp.Store(true); in.store.cutDown.Store(true) },
		func() { in.store.cutUp.Store(false); in.store.cutDown.Store(false) })
}

func (f *fleet) cutStoreOneWay(ctx context.Context, fl fault) {
	in := f.instanceOf(fl)
	way := &in.store.cutUp
	if fl.share < 0.5 {
		way = &in.store.cutDown
	}
	f.during(ctx, fl, in.machine.Name, func() { way.Store(true) }, func() { way.Store(false) })
}

func (f *fleet) silenceStore(_ context.Context, fl fault) {
	in := f.instanceOf(fl)
	f.calm.disturb(in.machine.Name)()
	in.store.silenceAll()
}

func (f *fleet) refuseStore(ctx context.Context, fl fault) {
	in := f.instanceOf(fl)
	f.during(ctx, fl, in.machine.Name, func() { in.store.refusing.Store(true); in.store.resetAll() }, func() { in.store.refusing.Store(false) })
}

func (f *fleet) storeDown(ctx context.Context, fl fault) {
	f.during(ctx, fl, metaStore, func() { f.meta.SetDown(true) }, func() { f.meta.SetDown(false) })
}

func (f *fleet) storeSlow(ctx context.Context, fl fault) {
	f.during(ctx, fl, metaStore, func() { f.meta.Delay.Store(int64(fl.share * float64(time.Second))) }, func() { f.meta.Delay.Store(0) })
}

func (f *fleet) storeLosesAnswers(ctx context.Context, fl fault) {
	f.during(ctx, fl, metaStore, func() { f.meta.LoseAnswers.Store(true) }, func() { f.meta.LoseAnswers.Store(false) })
}

func (f *fleet) storeCompacts(context.Context, fault) {
	f.calm.disturb(metaStore)()
	f.meta.Compact()
}

// take returns a place with a live target that no other fault changes, preferably of the service; nil if there is none.
func (f *fleet) take(fl fault, service string) *place {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.targets {
		p := f.targets[(fl.pick+i)%len(f.targets)]
		if p.target != nil && !p.busy && (service == "" || p.service == service) {
			p.busy = true
			return p
		}
	}
	return nil
}

func (f *fleet) release(p *place) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p.busy = false
}

// withTarget runs a fault at a live target while it is disturbed.
func (f *fleet) withTarget(fl fault, service string, change func(*place)) {
	p := f.take(fl, service)
	if p == nil {
		return
	}
	defer f.release(p)
	done := f.calm.disturb(p.target.ID())
	defer done()
	change(p)
}

func (f *fleet) refill(p *place, service string) {
	if err := f.fill(p, service, coldTime); err != nil {
		f.ledger.Violation("FAULT", "start a target: %v", err)
	}
}

func (f *fleet) crashTarget(ctx context.Context, fl fault) {
	f.withTarget(fl, "", func(p *place) {
		p.target.Stop(false)
		p.link.resetAll()
		_ = sleep.For(ctx, fl.length) // it returns either way
		f.refill(p, p.service)
	})
}

// mostLinger is how long a leaving target serves on beyond the drain bound, at most: at times many seconds.
const mostLinger = 6 * time.Second

// leave drains a target as the platform does, and ends it.
func (f *fleet) leave(p *place, fl fault) { f.leaveBy(p, fl, (*standin.Target).Drain) }

func (f *fleet) leaveBy(p *place, fl fault, tell func(*standin.Target)) {
	tell(p.target)
	f.world.left(p.target.ID())
	time.Sleep(bounds.Drain + time.Duration(fl.share*float64(mostLinger)))
	ended := f.calm.disturb(p.target.ID()) // it breaks off what still runs
	p.target.Stop(true)
	ended()
}

// vanishTarget makes a target leave without ever reporting that it drains: its record is removed, and it serves on.
func (f *fleet) vanishTarget(_ context.Context, fl fault) {
	p := f.take(fl, "")
	if p == nil {
		return
	}
	defer f.release(p)
	f.leaveBy(p, fl, (*standin.Target).Withdraw)
	f.refill(p, p.service)
}

// leastAlone is how long beyond the drain bound a target serves at least whose record does not tell that it leaves.
const leastAlone = 2 * time.Second

// announceTarget makes a target leave that says so in its answers alone: its record stays as it is until the end.
func (f *fleet) announceTarget(_ context.Context, fl fault) {
	p := f.take(fl, "")
	if p == nil {
		return
	}
	defer f.release(p)
	p.target.AnnounceLeaving()
	time.Sleep(bounds.Drain + leastAlone + time.Duration(fl.share*float64(mostLinger-leastAlone)))
	ended := f.calm.disturb(p.target.ID()) // it breaks off what still runs
	p.target.Stop(true)
	ended()
	f.refill(p, p.service)
}

// replaceTargets makes several targets leave at about the same time and serve on for different times.
func (f *fleet) replaceTargets(ctx context.Context, fl fault) {
	var all sync.WaitGroup
	for i := range 3 {
		one := fl
		one.pick, one.share = fl.pick+i, fl.share*float64(i+1)/3
		all.Go(func() { f.replaceTarget(ctx, one) })
	}
	all.Wait()
}

func (f *fleet) replaceTarget(_ context.Context, fl fault) {
	p := f.take(fl, "")
	if p == nil {
		return
	}
	defer f.release(p)
	f.leave(p, fl)
	f.refill(p, p.service)
}

func (f *fleet) reuseAddress(ctx context.Context, fl fault) {
	p := f.take(fl, plain)
	if p == nil {
		return
	}
	defer f.release(p)
	f.leave(p, fl)
	f.refill(p, plainNext)
	_ = sleep.For(ctx, fl.length) // it goes back either way
	f.leave(p, fl)
	f.refill(p, plain)
}

func (f *fleet) moodTarget(ctx context.Context, fl fault) {
	share := 0.05 + 0.3*fl.share
	moods := []standin.FaultRates{{Fail: share}, {DropAnswer: share}, {Garbage: share}, {Truncate: share}, {ExtraAnswer: share}}
	f.withTarget(fl, "", func(p *place) {
		p.target.SetFaultRates(moods[fl.pick%len(moods)])
		_ = sleep.For(ctx, fl.length) // the faults end either way
		p.target.SetFaultRates(standin.FaultRates{})
	})
}

// moodService makes all targets of a service fail at once: only the retry budget bounds what that causes.
func (f *fleet) moodService(ctx context.Context, fl fault) {
	const times = 3 // as long as other faults, so that a missing budget shows
	service := []string{plain, plainNext, engines}[fl.pick%3]
	var moody []*standin.Target
	f.mu.Lock()
	for _, p := range f.targets {
		if p.target != nil && p.service == service {
			moody = append(moody, p.target)
		}
	}
	f.mu.Unlock()
	for _, t := range moody {
		defer f.calm.disturb(t.ID())()
		t.SetFaultRates(standin.FaultRates{Fail: 0.5 + fl.share/2, Truncate: fl.share / 2})
	}
	_ = sleep.For(ctx, times*fl.length) // they recover either way
	for _, t := range moody {
		t.SetFaultRates(standin.FaultRates{})
	}
}

func (f *fleet) chillTarget(_ context.Context, fl fault) {
	f.withTarget(fl, engines, func(p *place) { p.target.SetCold(fl.length) })
}

func (f *fleet) delayTarget(ctx context.Context, fl fault) {
	f.withTarget(fl, "", func(p *place) {
		p.link.delay.Store(int64(fl.share * float64(200*time.Millisecond)))
		_ = sleep.For(ctx, fl.length) // the link recovers either way
		p.link.delay.Store(0)
	})
}

func (f *fleet) resetTarget(_ context.Context, fl fault) {
	f.withTarget(fl, "", func(p *place) { p.link.resetAll() })
}

func (f *fleet) silenceTarget(ctx context.Context, fl fault) {
	f.withTarget(fl, "", func(p *place) {
		p.link.silenceAll()
		_ = sleep.For(ctx, fl.length) // callers meet it for a while
	})
}

func (f *fleet) cutTargetOneWay(ctx context.Context, fl fault) {
	f.withTarget(fl, "", func(p *place) {
		way := &p.link.cutUp
		if fl.share < 0.5 {
			way = &p.link.cutDown
		}
		way.Store(true)
		_ = sleep.For(ctx, fl.length) // the link heals either way
		way.Store(false)
	})
}

func (f *fleet) muteTarget(ctx context.Context, fl fault) {
	f.withTarget(fl, "", func(p *place) {
		p.target.Silent.Store(true)
		_ = sleep.For(ctx, fl.length+standin.LapseHeartbeats*standin.HeartbeatInterval) // it writes again either way
		p.target.Silent.Store(false)
	})
}

func (f *fleet) storeOf(fl fault) *standin.PartStore { return f.stores[fl.pick%len(f.stores)] }

func (f *fleet) restartStore(_ context.Context, fl fault) { f.storeOf(fl).Restart(fl.length) }

func (f *fleet) slowStore(ctx context.Context, fl fault) {
	s := f.storeOf(fl)
	s.TransferDelay.Store(int64(fl.share * float64(400*time.Millisecond)))
	_ = sleep.For(ctx, fl.length) // it recovers either way
	s.TransferDelay.Store(0)
}

func (f *fleet) forgetStoreEvents(_ context.Context, fl fault) { f.storeOf(fl).DropEvents() }

func (f *fleet) skewStore(ctx context.Context, fl fault) {
	s := f.storeOf(fl)
	s.ClockSkew.Store(int64((fl.share - 0.5) * 4000))
	_ = sleep.For(ctx, fl.length) // the clock jumps back either way
	s.ClockSkew.Store(0)
}

func (f *fleet) holdSaves(ctx context.Context, fl fault) {
	s := f.storeOf(fl)
	s.StallSaves.Store(true)
	_ = sleep.For(ctx, fl.length) // saves go on either way
	s.StallSaves.Store(false)
}

func (f *fleet) moveRoute(context.Context, fault) {
	f.configure(func(c *standin.Config) {
		for i := range c.Routes {
			if c.Routes[i].Prefix != movedPrefix {
				continue
			}
			if c.Routes[i].Service == plain {
				c.Routes[i].Service = plainNext
			} else {
				c.Routes[i].Service = plain
			}
		}
	})
}

func (f *fleet) stormConfig(ctx context.Context, fl fault) {
	const pause = 80 * time.Millisecond
	for range 2 + fl.pick%10 {
		f.moveRoute(ctx, fl)
		if sleep.For(ctx, pause) != nil {
			return
		}
	}
}

func (f *fleet) revokeKey(ctx context.Context, fl fault) {
	last := len(keys) - 1
	set := func(list []string) {
		f.configure(func(c *standin.Config) { c.Workspaces[last].Keys = list })
	}
	set(nil)
	_ = sleep.For(ctx, fl.length+bounds.ConfigApply) // it is given back either way
	set([]string{keys[last].key})
}

func (f *fleet) nameWeights(context.Context, fault) {
	f.mu.Lock()
	f.weights++
	version := f.weights
	f.mu.Unlock()
	f.operator.SetWeightVersion(model, version)
	f.world.nameWeights(version)
}

func (f *fleet) evacuateDomain(ctx context.Context, fl fault) {
	const beyond = 3 * time.Second // in which the promise can be seen broken
	domain := domains[fl.pick%len(domains)]
	f.operator.SetEvacuated(domain, true)
	f.world.evacuate(domain, true)
	_ = sleep.For(ctx, fl.length+bounds.Evacuate+beyond) // it is taken back either way
	f.world.evacuate(domain, false)
	f.operator.SetEvacuated(domain, false)
}

func (f *fleet) garbageRecords(context.Context, fault) { f.operator.WriteInvalidRecords() }
