package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/egrethoist/egrethoist/internal/sleep"
)

// stop makes a planned stop of an instance and returns when it starts again.
func (f *fleet) stop(in *instance) {
	endDisturbance := f.disturbances.begin(stopPart(in.spec.Name))
	defer endDisturbance()
	if !in.stopping() { // a stop runs from its first signal
		f.history.recordStop(in.spec.Name)
	}
	in.terminate(bounds.StopTimeout)
	time.Sleep(restartDelay)
}

const (
	// A stopped instance has at least minStopShare and at most maxStopShare of the processor time.
	minStopShare, maxStopShare = 0.1, 0.4
	// An instance is short of processor for minStopLead to maxStopLead before its stop, while callers connect to it.
	minStopLead, maxStopLead = 400 * time.Millisecond, 1500 * time.Millisecond
)

// stopTogether makes planned stops of several instances that begin within a second, each short of processor until its process ends.
// Callers keep using connections to them (see connCallers), and each instance reads its settings anew while it stops.
func (f *fleet) stopTogether(ctx context.Context, fl fault) {
	stops := f.reserveStops(fl)
	defer f.releaseStops(stops)
	var all sync.WaitGroup
	for i, in := range stops {
		rng := rand.New(rand.NewPCG(f.opts.Seed, uint64(fl.index*len(f.instances)+i)))
		all.Go(func() { f.stopShortOfProcessor(ctx, in, fl, rng) })
	}
	all.Wait()
}

// reserveStops returns from two up to all but one of the instances, without those that another fault has reserved. At least one
// instance is never reserved.
func (f *fleet) reserveStops(fl fault) []*instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := len(f.instances)
	want := 2 + fl.index/n%max(n-2, 1)
	var stops []*instance
	for i := range n {
		in := f.instances[(fl.index+i)%n]
		if len(stops) == want || len(f.reservedStops) >= n-1 {
			break
		}
		if !f.reservedStops[in] {
			f.reservedStops[in] = true
			stops = append(stops, in)
		}
	}
	return stops
}

func (f *fleet) releaseStops(stops []*instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, in := range stops {
		delete(f.reservedStops, in)
	}
}

// stopShortOfProcessor is the part of stopTogether for one instance.
func (f *fleet) stopShortOfProcessor(ctx context.Context, in *instance, fl fault, rng *rand.Rand) {
	share := minStopShare + (maxStopShare-minStopShare)*fl.strength*rng.Float64()
	lead := minStopLead + time.Duration(rng.Int64N(int64(maxStopLead-minStopLead)))
	reload := time.Duration(rng.Int64N(int64(bounds.StopTimeout)))
	done := make(chan struct{})
	var all sync.WaitGroup
	all.Go(func() { in.throttle(share, done) })
	all.Go(func() { (&connCallers{callers: f.callers, in: in, done: done}).run(rng) })
	if sleep.For(ctx, lead) == nil {
		stopCtx, cancel := context.WithCancel(context.Background())
		all.Go(func() {
			if sleep.For(stopCtx, reload) == nil {
				f.rewriteSettings(in)
			}
		})
		f.stop(in)
		cancel()
	}
	close(done)
	all.Wait()
}

// throttle freezes the process for all but a share of each 100 ms, as a CPU quota does, until done is closed.
func (in *instance) throttle(share float64, done <-chan struct{}) {
	const period = 100 * time.Millisecond
	run := time.Duration(share * float64(period))
	for {
		in.signal(syscall.SIGSTOP)
		time.Sleep(period - run)
		in.signal(syscall.SIGCONT)
		select {
		case <-done:
			return
		case <-time.After(run):
		}
	}
}
