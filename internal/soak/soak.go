// Package soak runs the real gateway as separate processes on this machine, beside stand-ins of the users' platform, and
// injects faults from outside: signals, and loopback proxies on every connection. Meanwhile it checks what callers and
// targets see against the promises of the platform's pages.
package soak

import (
	"bytes"
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
	Dir       string // for logs; they are removed if no promise was broken
	// OnFault is told of each fault as it begins.
	OnFault func(string)
}

// Report is what a run showed.
type Report struct {
	Seed       uint64
	Faults     int
	Requests   int
	Served     int
	Refused    int
	Failed     int
	Stalls     int // times in which this machine was too busy to keep time
	Violations []violation
	Rules      map[string]int // violations by rule
	Logs       string         // folder with the instances' logs, empty if they were removed
}

// Run plays one seed.
func Run(ctx context.Context, o Options) (*Report, error) {
	dir := filepath.Join(o.Dir, fmt.Sprintf("seed-%d", o.Seed))
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, err
	}
	f, err := newFleet(o, dir, o.OnFault)
	if err != nil {
		return nil, err
	}
	faults := plan(o.Seed, o.Length)
	f.play(ctx, faults)
	if ctx.Err() != nil {
		f.close()
		return nil, ctx.Err() // what is seen of a run that was cut short proves nothing
	}
	f.judgeEnd()
	f.close()
	f.judgeLogs()
	r := f.ledger.report(o.Seed, len(faults))
	if len(r.Violations) > 0 {
		r.Logs = dir
		return r, nil
	}
	return r, os.RemoveAll(dir)
}

// play runs callers and faults side by side.
func (f *fleet) play(ctx context.Context, faults []fault) {
	ctx, cancel := context.WithTimeout(ctx, f.opts.Length)
	defer cancel()
	var all sync.WaitGroup
	all.Go(func() { f.calm.watchStalls(ctx.Done()) })
	all.Go(func() { f.checkReadiness(ctx) })
	all.Go(func() { (&callers{fleet: f}).run(ctx) })
	faultTime, end := context.WithTimeout(ctx, f.opts.Length-calmTime)
	f.inject(faultTime, faults)
	end()
	<-ctx.Done()
	all.Wait()
}

const (
	// endWindow is the time before the end whose requests tell whether the system has recovered.
	endWindow = 3 * time.Second
	// endServed is the share of them that must be served: nothing is disturbed any more.
	endServed = 0.95
)

// judgeEnd looks at what must hold once everything has been calm for a while.
func (f *fleet) judgeEnd() {
	f.ledger.judgeRecovery(time.Now().Add(-endWindow))
	f.ledger.judgeRetries()
	f.ledger.judgeCold()
	newest, named := f.world.newestWeights()
	since := time.Now().Add(-bounds.Weights)
	late := named.Before(since) && f.calm.allQuiet(since, time.Now())
	for _, p := range f.targets {
		if p.service != engines || p.target == nil {
			continue
		}
		if w := p.target.Weights(); w < newest && late {
			f.ledger.Violation("VERSION", "%s still runs weights %d at the end, %v of calm after %d was named", p.target.ID(), w, bounds.Weights, newest)
		}
	}
	for _, in := range f.instances {
		if !in.ready.Load() {
			f.ledger.Violation("RECOVER", "instance %s is not ready at the end", in.machine.Name)
		}
	}
}

// judgeLogs looks for crashes that a restart hid.
func (f *fleet) judgeLogs() {
	for _, in := range f.instances {
		raw, err := os.ReadFile(in.logPath())
		if err != nil {
			f.ledger.Violation("FAULT", "log of %s: %v", in.machine.Name, err)
			continue
		}
		if i := bytes.Index(raw, []byte("panic: ")); i >= 0 {
			f.ledger.Violation("FAULT", "%s panicked: %.300s", in.machine.Name, raw[i:])
		}
	}
}

// judgeRecovery checks that requests are served again.
func (l *ledger) judgeRecovery(since time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	asked, served := 0, 0
	for _, a := range l.attempts {
		if a.left || a.sent.Before(since) || a.done.IsZero() {
			continue
		}
		asked++
		if a.err == "" && a.reply.Status/100 == 2 {
			served++
		}
	}
	if l.calm.quiet(since, time.Now()) && float64(served) < endServed*float64(asked) {
		l.broken("RECOVER", "%d of %d requests served at the end", served, asked)
	}
}

// judgeRetries checks the budget of repeated sends in every window.
func (l *ledger) judgeRetries() {
	l.mu.Lock()
	defer l.mu.Unlock()
	type point struct {
		at    time.Time
		first bool
	}
	points := map[string][]point{}
	for _, a := range l.attempts {
		for i, r := range a.arrived {
			points[r.Service] = append(points[r.Service], point{r.At, i == 0})
		}
	}
	for service, list := range points {
		slices.SortFunc(list, func(a, b point) int { return a.at.Compare(b.at) })
		begin, firsts, repeats := 0, 0, 0
		for _, p := range list {
			if p.first {
				firsts++
			} else {
				repeats++
			}
			for p.at.Sub(list[begin].at) > l.bounds.RetryWindow {
				if list[begin].first {
					firsts--
				} else {
					repeats--
				}
				begin++
			}
			if float64(repeats) > l.bounds.RetryRatio*float64(firsts)+float64(l.bounds.RetryFloor) {
				l.broken("BUDGET", "%d repeated sends beside %d first ones to %s within %v", repeats, firsts, service, l.bounds.RetryWindow)
				break
			}
		}
	}
}

// judgeCold checks that cold targets got no more than they bear.
func (l *ledger) judgeCold() {
	l.mu.Lock()
	defer l.mu.Unlock()
	most := coldRate*l.bounds.ColdRateFactor + l.bounds.ColdRateSlack
	arrivals := map[string][]time.Time{}
	for _, r := range l.arrivals {
		if !r.Cold || r.Service != engines {
			continue
		}
		list := append(arrivals[r.Target], r.At)
		for list[len(list)-1].Sub(list[0]) > time.Second {
			list = list[1:]
		}
		arrivals[r.Target] = list
		if float64(len(list)) > most {
			l.broken("FAILBACK", "cold target %s gets %d requests in a second, bears %.0f", r.Target, len(list), most)
			arrivals[r.Target] = nil
		}
	}
}

func (l *ledger) report(seed uint64, faults int) *Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := &Report{Seed: seed, Faults: faults, Violations: l.violations, Rules: l.rules, Stalls: l.calm.count(everywhere)}
	for _, a := range l.attempts {
		if a.left {
			continue
		}
		r.Requests++
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
