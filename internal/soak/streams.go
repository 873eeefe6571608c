package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/egrethoist/egrethoist/internal/eventstream"
	"github.com/egrethoist/egrethoist/platform/standin"
)

// maxTakeUps is how often a caller resumes a stream that breaks off.
const maxTakeUps = 3

// takeUp resumes the stream of an attempt, if it has broken off after its first event, at any instance.
func (c *callers) takeUp(client *http.Client, a *attempt, rng *rand.Rand) {
	root, deadline := a.call.ID, a.sent.Add(a.class.patience)
	for range maxTakeUps {
		if !a.class.resumable || a.abandoned || a.lastEvent == 0 || a.lastEvent >= uint64(a.call.Output) || time.Until(deadline) <= 0 {
			return
		}
		next := c.newAttempt(a.class, rng)
		id := next.call.ID
		next.call = a.call
		next.call.ID, next.call.Resume, next.call.Resumes, next.call.Patience = id, a.lastEvent, root, time.Until(deadline)
		next.software, next.lastEvent = a.software, a.lastEvent
		next.targetsServe = c.fleet.servingEngines(a.software) >= minServing
		c.send(context.Background(), client, next)
		if after, err := time.ParseDuration(next.reply.RetryAfter + "s"); next.notRun && err == nil {
			time.Sleep(min(after, time.Until(deadline)/3))
		}
		a = next
	}
}

// checkEvents checks the events that a caller has received: all in order, and all of the software version that began the stream. A complete
// answer must have all of them.
func (c *checker) checkEvents(a *attempt, body string, complete bool) {
	var events eventstream.Splitter
	n := a.call.Resume
	for _, line := range strings.SplitAfter(body, "\n\n") {
		if err := events.Append([]byte(line)); err != nil {
			c.addViolation("ORDER", "request %s received an event without an end: %v (complete: %t; answers: %s)", a.call.ID, err, complete, a.describeAnswers())
			return
		}
		event := string(events.Next())
		if event == "" {
			continue
		}
		n++
		software := standin.EventSoftware(event)
		if a.software == "" {
			a.software = software
		}
		if event != standin.Event(a.call.ID, n, software) || software != a.software {
			c.addViolation("ORDER", "request %s through %s received %q as event %d of a stream that began at software %s as %s (complete: %t; answers: %s)", a.call.ID, a.instance, event, n, a.software, a.call.Resumes,
				complete, a.describeAnswers())
			return
		}
	}
	a.lastEvent = n
	if complete && (events.Buffered() > 0 || n != uint64(a.call.Output)) {
		c.addViolation("ORDER", "request %s received a complete stream of %d events and %d more bytes, which has %d (answers: %s)", a.call.ID, n, events.Buffered(), a.call.Output, a.describeAnswers())
	}
}

const (
	// minServing is the number of targets of a stream's version that must serve for the platform's rule on streams that go on, and
	// minTakeUps the number of attempts to resume for a verdict. Then the share of those that go on must be minResumedRatio of the
	// share of new streams that begin.
	minServing, minTakeUps = 2, 12
	minResumedRatio        = 0.5
)

// servingEngines returns the number of engines with a version that no fault affects.
func (f *fleet) servingEngines(software string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, ep := range f.endpoints {
		if ep.service == engines && ep.target != nil && !ep.reserved && ep.software == software {
			n++
		}
	}
	return n
}

// answeredInstead reports whether a target answered the request for a stream with something else.
func (a *attempt) answeredInstead() bool {
	return slices.ContainsFunc(a.answers, func(ans standin.Answer) bool { return !ans.Stream })
}

// checkResumed checks that streams went on at undisturbed instances about as often as new ones began there. It leaves out those that a
// target answered with something else: neither can the caller receive an event then.
func (c *checker) checkResumed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	begins, begun, takeUps, wentOn := 0, 0, 0, 0
	for _, a := range c.attempts {
		if !a.class.resumable || a.abandoned || a.done.IsZero() || a.instance == "" || a.answeredInstead() || !c.connected(a.sent.Add(-c.bounds.RecoveryTime), a.done, a.instance) {
			continue
		}
		switch {
		case a.call.Resume == 0:
			begins++
			if a.lastEvent > 0 {
				begun++
			}
		case a.targetsServe:
			takeUps++
			if a.lastEvent > a.call.Resume {
				wentOn++
			}
		}
	}
	if takeUps >= minTakeUps && float64(wentOn)/float64(takeUps) < minResumedRatio*float64(begun)/float64(begins) {
		c.addViolation("LOST", "%d of %d streams went on while %d engines of their version served, %d of %d new ones began", wentOn, takeUps, minServing, begun, begins)
	}
	c.takeUps, c.wentOn = takeUps, wentOn
}

// releaseSoftware replaces a share of the engines, one after the other, by ones with a new software version. The new one starts at the
// endpoint of the old one after it has drained.
func (f *fleet) releaseSoftware(_ context.Context, fl fault) {
	f.mu.Lock()
	f.softwareReleases++
	software := fmt.Sprintf("v%d", 1+f.softwareReleases)
	f.mu.Unlock()
	const gap = 300 * time.Millisecond
	var all sync.WaitGroup
	for i := range max(int(fl.strength*float64(f.opts.Engines)), 1) {
		time.Sleep(gap)
		ep := f.acquire(fault{index: fl.index + i}, engines)
		if ep == nil {
			continue
		}
		all.Go(func() {
			defer f.release(ep)
			f.drainTarget(ep, fault{strength: 0.1})
			f.mu.Lock()
			ep.software = software
			f.mu.Unlock()
			f.startColdTarget(ep, ep.service)
		})
	}
	all.Wait()
}

// killInstances kills all instances at once, again and again for the length of the fault. Every second time weights are released meanwhile,
// so that no instance sees the release.
func (f *fleet) killInstances(ctx context.Context, fl fault) {
	for _, in := range f.instances {
		defer f.disturbances.begin(in.spec.Name)()
		defer f.disturbances.begin(processPart(in.spec.Name))()
		in.signal(syscall.SIGKILL)
	}
	if fl.index%2 == 0 {
		f.rollOutWeights(ctx, fl)
	}
	for end := time.Now().Add(fl.length); time.Now().Before(end); {
		time.Sleep(restartDelay)
		for _, in := range f.instances {
			in.signal(syscall.SIGKILL)
		}
	}
	time.Sleep(2 * restartDelay)
}
