package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"github.com/egrethoist/egrethoist/internal/sleep"
	"github.com/egrethoist/egrethoist/platform/standin"
)

// fault is one planned fault.
type fault struct {
	offset, length time.Duration // offset is relative to the start of the run
	kind           string
	index          int     // selects the affected part, modulo the number of parts
	strength       float64 // from 0 to 1; its meaning depends on the kind
}

// String returns the description of the fault that is printed for seeds with violations.
func (f fault) String() string {
	return fmt.Sprintf("%6.2fs %s, part %d, for %v, strength %.2f", f.offset.Seconds(), f.kind, f.index, f.length.Round(time.Millisecond), f.strength)
}

// faultKind is a kind of fault, with its relative probability and the function that injects it.
type faultKind struct {
	name   string
	weight int
	apply  func(*fleet, context.Context, fault)
}

// FaultKinds returns the names of the kinds of faults.
func FaultKinds() []string {
	var names []string
	for _, k := range faultKinds {
		names = append(names, k.name)
	}
	return names
}

// faultKinds lists the kinds of fault with their relative probabilities and the functions that inject them. The order determines
// which fault a seed draws. A function returns when its fault is over.
var faultKinds = []faultKind{
	{"instance stopped in order", 4, (*fleet).terminateInstance},
	{"instance killed", 3, (*fleet).killInstance},
	{"instance paused", 4, (*fleet).suspendInstance},
	{"instance short of processor", 2, (*fleet).throttleInstance},
	{"settings read anew", 2, (*fleet).reloadSettings},
	{"instances stopped in turn", 1, (*fleet).rollInstances},
	{"callers' link slow", 1, (*fleet).delayCallerLink},
	{"callers' connections reset", 1, (*fleet).resetCallerConns},
	{"callers' connections silent", 1, (*fleet).silenceCallerConns},
	{"store link cut", 2, (*fleet).cutStoreLink},
	{"store link cut one way", 2, (*fleet).cutStoreLinkOneWay},
	{"store connections silent", 2, (*fleet).silenceStoreConns},
	{"store turns an instance away", 2, (*fleet).refuseStoreConns},
	{"store down", 2, (*fleet).takeMetaStoreDown},
	{"store slow", 1, (*fleet).slowMetaStore},
	{"store loses answers", 2, (*fleet).loseMetaStoreAnswers},
	{"store forgets its history", 2, (*fleet).compactMetaStore},
	{"store restored from a copy", 3, (*fleet).restoreMetaStore},
	{"store executes writes late", 2, (*fleet).delayMetaStoreWrites},
	{"store down, leases end", 2, (*fleet).expireLeases},
	{"target crashes", 3, (*fleet).crashTarget},
	{"part crashes engines", 4, (*fleet).poisonPart},
	{"target leaves", 4, (*fleet).replaceTarget},
	{"targets leave together", 3, (*fleet).replaceTargets},
	{"target leaves without a word", 3, (*fleet).withdrawTarget},
	{"target leaves by its answers alone", 3, (*fleet).announceLeaving},
	{"target asks for pauses", 3, (*fleet).pauseTarget},
	{"service asks for pauses", 1, (*fleet).pauseService},
	{"target names a limit", 4, (*fleet).limitTarget},
	{"service names limits", 2, (*fleet).limitService},
	{"address used by another service", 2, (*fleet).reuseAddress},
	{"target misbehaves", 5, (*fleet).injectTargetFaults},
	{"service misbehaves", 4, (*fleet).injectServiceFaults},
	{"engine cuts streams, another fails", 6, (*fleet).injectTargetStreamFaults},
	{"engines cut streams and fail", 6, (*fleet).injectServiceStreamFaults},
	{"target cold again", 2, (*fleet).makeTargetCold},
	{"target link slow", 1, (*fleet).delayTargetLink},
	{"target connections reset", 2, (*fleet).resetTargetConns},
	{"target connections silent", 2, (*fleet).silenceTargetConns},
	{"target link cut one way", 2, (*fleet).cutTargetLinkOneWay},
	{"target heartbeat silent", 1, (*fleet).muteHeartbeat},
	{"kept-cache store restarts empty", 2, (*fleet).restartPartStore},
	{"kept-cache store slow", 2, (*fleet).slowPartStore},
	{"kept-cache store loses events", 1, (*fleet).dropPartStoreEvents},
	{"kept-cache store's clock jumps", 1, (*fleet).skewPartStoreClock},
	{"saves stay unfinished", 1, (*fleet).stallSaves},
	{"route moved", 3, (*fleet).moveRoute},
	{"route added", 5, (*fleet).addRoute},
	{"configurations in quick succession", 1, (*fleet).changeConfigRapidly},
	{"key taken away", 2, (*fleet).revokeKey},
	{"weights named", 3, (*fleet).rollOutWeights},
	{"failure domain evacuated", 2, (*fleet).evacuateDomain},
	{"records that cannot be read", 1, (*fleet).writeInvalidRecords},
	{"engines' software released", 8, (*fleet).releaseSoftware},
	{"all instances killed", 2, (*fleet).killInstances},
	{"software rolled out", 12, (*fleet).rollOutSoftware},
	{"configuration large", 4, (*fleet).enlargeConfig},
	{"instances stopped together, short of processor", 10, (*fleet).stopTogether},
}

const (
	// No fault starts in the first warmupTime of a run or in the last finalQuietTime, so that the recovery at the end can be
	// checked.
	warmupTime     = 3 * time.Second
	finalQuietTime = 9 * time.Second
	// Faults come in series of about maxSeriesTime. After each series, no fault starts for quietWindow, in which guarantees with a
	// time limit can be checked.
	quietWindow    = 7 * time.Second
	maxSeriesTime  = 6 * time.Second
	meanFaultGap   = 600 * time.Millisecond
	minFaultLength = 200 * time.Millisecond
	maxFaultLength = 3 * time.Second
)

// planFaults draws the faults of a run: series of faults that can overlap, with quiet periods between the series. only names the kinds of
// faults, all if it is empty. The result depends on the arguments only.
func planFaults(seed uint64, length time.Duration, only []string) []fault {
	rng := rand.New(rand.NewPCG(seed, 7))
	total := 0
	kinds := slices.Clone(faultKinds)
	if len(only) > 0 {
		kinds = slices.DeleteFunc(kinds, func(k faultKind) bool { return !slices.Contains(only, k.name) })
	}
	for _, k := range kinds {
		total += k.weight
	}
	if total == 0 {
		return nil
	}
	var out []fault
	for offset, seriesStart := warmupTime, warmupTime; offset < length-finalQuietTime; {
		draw := rng.IntN(total)
		for _, k := range kinds {
			if draw -= k.weight; draw < 0 {
				out = append(out, fault{
					offset: offset, kind: k.name, index: rng.IntN(1 << 16), strength: rng.Float64(),
					length: minFaultLength + time.Duration(rng.Int64N(int64(maxFaultLength-minFaultLength))),
				})
				break
			}
		}
		offset += time.Duration(rng.ExpFloat64() * float64(meanFaultGap))
		if offset-seriesStart > maxSeriesTime {
			offset += quietWindow
			seriesStart = offset
		}
	}
	return out
}

// inject runs each fault at its time, concurrently with the others, and waits until all are over. No new fault starts once ctx has
// ended.
func (f *fleet) inject(ctx context.Context, faults []fault) {
	start := time.Now()
	for _, fl := range faults {
		if sleep.For(ctx, time.Until(start.Add(fl.offset))) != nil {
			break
		}
		f.logFaults(fl.String())
		for _, k := range faultKinds {
			if k.name == fl.kind {
				f.runningFaults.Go(func() { k.apply(f, ctx, fl) })
			}
		}
	}
	f.runningFaults.Wait()
}

// instanceOf returns the instance that a fault affects.
func (f *fleet) instanceOf(fl fault) *instance { return f.instances[fl.index%len(f.instances)] }

// disturbFor calls begin, waits for the length of the fault and calls end, and records the disturbance of the part.
func (f *fleet) disturbFor(ctx context.Context, fl fault, part string, begin, end func()) {
	endDisturbance := f.disturbances.begin(part)
	defer endDisturbance()
	begin()
	_ = sleep.For(ctx, fl.length) // end is called even if ctx has ended
	end()
}

// terminateInstance makes a planned stop of an instance, which is restarted afterwards.
func (f *fleet) terminateInstance(_ context.Context, fl fault) { f.stop(f.instanceOf(fl)) }

// rollInstances restarts all instances one after the other.
func (f *fleet) rollInstances(ctx context.Context, fl fault) {
	for i := range f.instances {
		if ctx.Err() == nil {
			f.terminateInstance(ctx, fault{index: fl.index + i})
		}
	}
}

// killInstance kills an instance and starts it again.
func (f *fleet) killInstance(_ context.Context, fl fault) {
	in := f.instanceOf(fl)
	defer f.disturbances.begin(in.spec.Name)()
	defer f.disturbances.begin(processPart(in.spec.Name))()
	in.signal(syscall.SIGKILL)
	time.Sleep(2 * restartDelay)
}

// suspendInstance freezes an instance's process with SIGSTOP.
func (f *fleet) suspendInstance(ctx context.Context, fl fault) {
	in := f.instanceOf(fl)
	defer f.disturbances.begin(processPart(in.spec.Name))()
	f.disturbFor(ctx, fl, in.spec.Name, func() { in.signal(syscall.SIGSTOP) }, func() { in.signal(syscall.SIGCONT) })
}

// throttleInstance limits the CPU time of an instance by freezing it for a part of each 100 ms, as a CPU quota does. It does not
// count as a disturbance: all guarantees must hold.
func (f *fleet) throttleInstance(ctx context.Context, fl fault) {
	ctx, cancel := context.WithTimeout(ctx, fl.length)
	defer cancel()
	f.instanceOf(fl).throttle(0.3+0.5*fl.strength, ctx.Done()) // the platform guarantees 0.3 of a core
}

// reloadSettings rewrites the settings file of an instance and makes it reload the settings.
func (f *fleet) reloadSettings(_ context.Context, fl fault) {
	f.rewriteSettings(f.instanceOf(fl))
}

func (f *fleet) rewriteSettings(in *instance) {
	if err := in.writeSettings(); err != nil {
		f.checker.Violation("FAULT", "write settings: %v", err)
	}
	in.signal(syscall.SIGHUP)
}

func (f *fleet) delayCallerLink(ctx context.Context, fl fault) {
	k := f.instanceOf(fl).callerLink
	f.disturbFor(ctx, fl, callerLinksPart, func() { k.delay.Store(int64(fl.strength * float64(100*time.Millisecond))) }, func() { k.delay.Store(0) })
}

func (f *fleet) resetCallerConns(_ context.Context, fl fault) {
	f.disturbances.begin(callerLinksPart)()
	f.instanceOf(fl).callerLink.resetAll()
}

func (f *fleet) silenceCallerConns(_ context.Context, fl fault) {
	// The connections stay silent until their callers time out.
	endDisturbance := f.disturbances.begin(callerLinksPart)
	f.instanceOf(fl).callerLink.silenceAll()
	time.AfterFunc(bounds.RecoveryTime+5*time.Second, endDisturbance)
}

func (f *fleet) cutStoreLink(ctx context.Context, fl fault) {
	in := f.instanceOf(fl)
	f.disturbFor(ctx, fl, in.spec.Name, func() { in.storeLink.cutToBackend.Store(true); in.storeLink.cutToClient.Store(true) },
		func() { in.storeLink.cutToBackend.Store(false); in.storeLink.cutToClient.Store(false) })
}

func (f *fleet) cutStoreLinkOneWay(ctx context.Context, fl fault) {
	in := f.instanceOf(fl)
	cut := &in.storeLink.cutToBackend
	if fl.strength < 0.5 {
		cut = &in.storeLink.cutToClient
	}
	f.disturbFor(ctx, fl, in.spec.Name, func() { cut.Store(true) }, func() { cut.Store(false) })
}

func (f *fleet) silenceStoreConns(_ context.Context, fl fault) {
	in := f.instanceOf(fl)
	f.disturbances.begin(in.spec.Name)()
	in.storeLink.silenceAll()
}

func (f *fleet) refuseStoreConns(ctx context.Context, fl fault) {
	in := f.instanceOf(fl)
	f.disturbFor(ctx, fl, in.spec.Name, func() { in.storeLink.refusing.Store(true); in.storeLink.resetAll() }, func() { in.storeLink.refusing.Store(false) })
}

func (f *fleet) takeMetaStoreDown(ctx context.Context, fl fault) {
	f.disturbFor(ctx, fl, metaStorePart, func() { f.metaStore.SetDown(true) }, func() { f.metaStore.SetDown(false) })
}

func (f *fleet) slowMetaStore(ctx context.Context, fl fault) {
	f.disturbFor(ctx, fl, metaStorePart, func() { f.metaStore.Delay.Store(int64(fl.strength * float64(time.Second))) }, func() { f.metaStore.Delay.Store(0) })
}

func (f *fleet) loseMetaStoreAnswers(ctx context.Context, fl fault) {
	f.disturbFor(ctx, fl, metaStorePart, func() { f.metaStore.LoseAnswers.Store(true) }, func() { f.metaStore.LoseAnswers.Store(false) })
}

// compactMetaStore drops the change history of the metadata store, so that watches have to start again from a snapshot.
func (f *fleet) compactMetaStore(context.Context, fault) {
	f.disturbances.begin(metaStorePart)()
	f.metaStore.Compact()
}

// partStoreOf returns the KV-cache store that a fault affects.
func (f *fleet) partStoreOf(fl fault) *standin.PartStore {
	return f.partStores[fl.index%len(f.partStores)]
}

func (f *fleet) restartPartStore(_ context.Context, fl fault) { f.partStoreOf(fl).Restart(fl.length) }

func (f *fleet) slowPartStore(ctx context.Context, fl fault) {
	s := f.partStoreOf(fl)
	s.TransferDelay.Store(int64(fl.strength * float64(400*time.Millisecond)))
	_ = sleep.For(ctx, fl.length) // the delay is removed even if ctx has ended
	s.TransferDelay.Store(0)
}

func (f *fleet) dropPartStoreEvents(_ context.Context, fl fault) { f.partStoreOf(fl).DropEvents() }

// skewPartStoreClock shifts the clock of a KV-cache store by up to 2 s in either direction.
func (f *fleet) skewPartStoreClock(ctx context.Context, fl fault) {
	s := f.partStoreOf(fl)
	s.ClockSkew.Store(int64((fl.strength - 0.5) * 4000))
	_ = sleep.For(ctx, fl.length) // the clock is reset even if ctx has ended
	s.ClockSkew.Store(0)
}

func (f *fleet) stallSaves(ctx context.Context, fl fault) {
	s := f.partStoreOf(fl)
	s.StallSaves.Store(true)
	_ = sleep.For(ctx, fl.length) // saves work again even if ctx has ended
	s.StallSaves.Store(false)
}

// moveRoute switches the route movedPrefix to the other of its two services.
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

func (f *fleet) changeConfigRapidly(ctx context.Context, fl fault) {
	const interval = 80 * time.Millisecond
	for range 2 + fl.index%10 {
		f.moveRoute(ctx, fl)
		if sleep.For(ctx, interval) != nil {
			return
		}
	}
}

// revokeKey removes an API key from the configuration and restores it after the length of the fault and the bound for applying a
// configuration.
func (f *fleet) revokeKey(ctx context.Context, fl fault) {
	last := len(keys) - 1
	set := func(list []string) {
		f.configure(func(c *standin.Config) { c.Workspaces[last].Keys = list })
	}
	set(nil)
	_ = sleep.For(ctx, fl.length+bounds.ConfigApply) // the key is restored even if ctx has ended
	set([]string{keys[last].key})
}

// rollOutWeights requests the rollout of a new weight version.
func (f *fleet) rollOutWeights(context.Context, fault) {
	f.mu.Lock()
	f.weightVersion++
	version := f.weightVersion
	f.mu.Unlock()
	f.operator.SetWeightVersion(model, version)
	f.history.recordWeightVersion(version)
}

func (f *fleet) evacuateDomain(ctx context.Context, fl fault) {
	const checkTime = 3 * time.Second // time after the evacuation bound in which violations are detected
	domain := domains[fl.index%len(domains)]
	f.operator.SetEvacuated(domain, true)
	f.history.setEvacuated(domain, true)
	_ = sleep.For(ctx, fl.length+bounds.Evacuate+checkTime) // the evacuation ends even if ctx has ended
	f.history.setEvacuated(domain, false)
	f.operator.SetEvacuated(domain, false)
}

func (f *fleet) writeInvalidRecords(context.Context, fault) { f.operator.WriteInvalidRecords() }
