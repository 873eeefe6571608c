// Package soak runs the real gateway as separate processes on the local machine, together with a simulation of the platform, and
// injects faults from outside the processes: with signals, and with loopback proxies on the connections. It checks the requests and
// answers that callers and targets observe against the guarantees of the platform's documentation.
package soak

import (
	"cmp"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"
)

// Options configure a run.
type Options struct {
	Seed      uint64
	Length    time.Duration
	Program   string // the gateway's binary
	Instances int
	Engines   int
	Plain     int // targets of each of the two plain services
	Stores    int
	Callers   int
	Dir       string // for settings and logs, which are removed after a run without violations
	// Faults are the names of the kinds of faults; empty: all.
	Faults []string
	// OnFault is called with the description of each fault as it starts.
	OnFault func(string)
}

// Report is the result of a run.
type Report struct {
	Seed       uint64
	Faults     int
	Requests   int
	Served     int
	Refused    int
	TakeUps    int // attempts to resume a stream at undisturbed instances, while enough targets of its version served
	WentOn     int // those that received an event
	Failed     int
	AtStops    int // requests that were sent whole, on open connections, to instances that had received SIGTERM
	Stalls     int // periods in which the local machine was too busy for timers to fire on time
	Violations []violation
	Rules      map[string]int // violations by rule
	Lost       map[string]int // violations of LOST, by the use of the connection
	ErrorLines map[string]int // lines of level ERROR in the instances' logs that are no violations, by message
	Logs       string         // directory of the instances' logs; empty if they were removed
}

// Run runs one seed and reports the violations. It returns an error if the deployment cannot be started, ctx ends or the logs
// cannot be removed.
func Run(ctx context.Context, o Options) (*Report, error) {
	for _, name := range o.Faults {
		if !slices.Contains(FaultKinds(), name) {
			return nil, fmt.Errorf("unknown kind of fault %q: want some of %q", name, FaultKinds())
		}
	}
	dir := filepath.Join(o.Dir, fmt.Sprintf("seed-%d", o.Seed))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	f, err := newFleet(o, dir, o.OnFault)
	if err != nil {
		return nil, err
	}
	faults := planFaults(o.Seed, o.Length, o.Faults)
	f.runWorkload(ctx, faults)
	if ctx.Err() != nil {
		f.close()
		return nil, ctx.Err() // the checks need a complete run
	}
	f.checkFinalState()
	f.close()
	f.checkLogs()
	r := f.checker.report(o.Seed, len(faults))
	if len(r.Violations) > 0 {
		r.Logs = dir
		return r, nil
	}
	return r, os.RemoveAll(dir)
}

// runWorkload runs the callers and injects the faults for the length of the run.
func (f *fleet) runWorkload(ctx context.Context, faults []fault) {
	ctx, cancel := context.WithTimeout(ctx, f.opts.Length)
	defer cancel()
	var all sync.WaitGroup
	all.Go(func() { f.disturbances.watchStalls(ctx.Done()) })
	all.Go(func() { f.pollReadiness(ctx) })
	all.Go(func() { f.backUp(ctx) })
	all.Go(func() { f.callers.run(ctx) })
	faultCtx, cancelFaults := context.WithTimeout(ctx, f.opts.Length-finalQuietTime)
	f.inject(faultCtx, faults)
	cancelFaults()
	<-ctx.Done()
	all.Wait()
}

const (
	// finalWindow is the period at the end of a run whose requests show whether the system has recovered.
	finalWindow = 3 * time.Second
	// minFinalServedRatio is the share of these requests that must be served, since all faults are over.
	minFinalServedRatio = 0.95
)

// checkFinalState checks the guarantees for the whole run and those that hold some time after the last fault.
func (f *fleet) checkFinalState() {
	f.checker.checkRecovery(time.Now().Add(-finalWindow))
	f.checker.checkRetryBudget()
	f.checker.checkColdRate()
	f.checker.checkResumed()
	f.checker.checkRollouts()
	latest, requested := f.history.latestWeightVersion()
	since := time.Now().Add(-bounds.Weights)
	overdue := requested.Before(since) && f.disturbances.allUndisturbed(since, time.Now())
	for _, ep := range f.endpoints {
		if ep.service != engines || ep.target == nil {
			continue
		}
		if w := ep.target.Weights(); w < latest && overdue {
			f.checker.Violation("VERSION", "%s still runs weight version %d at the end, after %v without faults, although version %d was requested before", ep.target.ID(), w, bounds.Weights, latest)
		}
	}
	for _, in := range f.instances {
		if !in.ready.Load() {
			f.checker.Violation("RECOVER", "instance %s is not ready at the end", in.spec.Name)
		}
	}
}

// checkRecovery checks that enough of the requests sent since the given time were served, unless the machine stalled meanwhile.
func (c *checker) checkRecovery(since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	finished, served := 0, 0
	for _, a := range c.attempts {
		if a.abandoned || a.sent.Before(since) || a.done.IsZero() {
			continue
		}
		finished++
		if a.err == "" && a.reply.Status/100 == 2 {
			served++
		}
	}
	if c.disturbances.undisturbed(since, time.Now()) && float64(served) < minFinalServedRatio*float64(finished) {
		c.addViolation("RECOVER", "%d of %d requests served at the end", served, finished)
	}
}

// checkRetryBudget checks for each service that the retries within any retry window stay within the retry budget. It adds at
// most one violation per service.
func (c *checker) checkRetryBudget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	type point struct {
		at    time.Time
		first bool
	}
	points := map[string][]point{}
	for _, a := range c.attempts {
		for i, r := range a.arrived {
			points[r.Service] = append(points[r.Service], point{r.At, i == 0})
		}
	}
	for service, list := range points {
		slices.SortFunc(list, func(a, b point) int { return a.at.Compare(b.at) })
		windowStart, firsts, repeats := 0, 0, 0
		for _, p := range list {
			if p.first {
				firsts++
			} else {
				repeats++
			}
			for p.at.Sub(list[windowStart].at) > c.bounds.RetryWindow {
				if list[windowStart].first {
					firsts--
				} else {
					repeats--
				}
				windowStart++
			}
			if float64(repeats) > c.bounds.RetryRatio*float64(firsts)+float64(c.bounds.RetryFloor) {
				c.addViolation("BUDGET", "%d retries and %d first sends to %s within %v", repeats, firsts, service, c.bounds.RetryWindow)
				break
			}
		}
	}
}

// checkColdRate checks that no cold engine received more requests per second than it can serve.
func (c *checker) checkColdRate() {
	c.mu.Lock()
	defer c.mu.Unlock()
	allowed := coldRate*c.bounds.ColdRateFactor + c.bounds.ColdRateSlack
	arrivals := map[string][]time.Time{}
	for _, r := range c.arrivals {
		if !r.Cold || r.Service != engines {
			continue
		}
		list := append(arrivals[r.Target], r.At)
		for list[len(list)-1].Sub(list[0]) > time.Second {
			list = list[1:]
		}
		arrivals[r.Target] = list
		if float64(len(list)) > allowed {
			c.addViolation("FAILBACK", "cold target %s received %d requests within a second, allowed %.0f", r.Target, len(list), allowed)
			arrivals[r.Target] = nil
		}
	}
}

// report returns the result of the run, with the violations in order of time. Abandoned requests are not counted.
func (c *checker) report(seed uint64, faults int) *Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &Report{Seed: seed, Faults: faults, TakeUps: c.takeUps, WentOn: c.wentOn, Violations: c.violations, Rules: c.violationCounts, Lost: c.lost, ErrorLines: c.errorLines, Stalls: c.disturbances.count(allParts)}
	for _, a := range c.attempts {
		if a.abandoned {
			continue
		}
		r.Requests++
		if stop, ok := c.stopAround(a); ok && a.sentWhole && a.sent.After(stop) {
			r.AtStops++
		}
		switch {
		case a.err == "" && a.reply.Status/100 == 2:
			r.Served++
		case a.notRun:
			r.Refused++
		default:
			r.Failed++
		}
	}
	slices.SortFunc(r.Violations, func(a, b violation) int { return cmp.Compare(a.At, b.At) })
	return r
}
