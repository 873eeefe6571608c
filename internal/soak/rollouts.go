package soak

import (
	"context"
	"fmt"
	"time"

	"github.com/egrethoist/egrethoist/internal/sleep"
	"github.com/egrethoist/egrethoist/platform/standin"
)

const (
	rolloutRamp = 6 * time.Second
	// rolloutLateness is how much longer than its deadline a rollout may take under faults, which last up to 3 s; then the operator ends it.
	rolloutLateness = 5 * time.Second
	// badAnswers is the number of the bad response from which the bound of the rollback counts.
	badAnswers = 50
)

// rollout is what the ledger knows of the rollout of a software version of the service plain.
type rollout struct {
	version        string
	bad            bool            // all responses of the version fail or are several times slower
	new            map[string]bool // IDs of the targets of the version
	ordered, ended time.Time
	state          string // done or rolled_back; running if the operator ended it
}

// rollOutSoftware orders the rollout of a good or bad version of the service plain, with as many new targets as it has old ones. It first
// waits until no other fault affects a target of the service, and does nothing if ctx ends before.
func (f *fleet) rollOutSoftware(ctx context.Context, fl fault) {
	const poll = 50 * time.Millisecond
	old := f.acquireAll(plain)
	for ; old == nil; old = f.acquireAll(plain) {
		if sleep.For(ctx, poll) != nil {
			return
		}
	}
	f.mu.Lock()
	f.softwareReleases++
	r := &rollout{version: fmt.Sprintf("v%d", 1+f.softwareReleases), bad: fl.index%2 == 0, new: map[string]bool{}, ordered: time.Now()}
	f.mu.Unlock()
	f.operator.OrderRollout(plain, r.version, rolloutRamp)
	var added []*endpoint
	for range old {
		ep, err := f.startBeside(r, fl)
		if err != nil {
			f.checker.Violation("FAULT", "start target: %v", err)
			continue
		}
		added = append(added, ep)
	}
	r.state = f.awaitRollout(r)
	r.ended = time.Now()
	f.checker.recordRollout(r)
	if r.state == "done" {
		f.stopOld(r, old)
		f.releaseAll(added)
		return
	}
	time.Sleep(bounds.Drain)
	for _, ep := range added {
		f.drainTarget(ep, fault{})
		ep.link.close()
		f.mu.Lock()
		ep.target = nil
		f.mu.Unlock()
	}
	f.releaseAll(old)
}

// startBeside starts a target of the new version at an endpoint of its own, which stays reserved.
func (f *fleet) startBeside(r *rollout, fl fault) (*endpoint, error) {
	f.mu.Lock()
	n := len(f.endpoints) // rollouts alone add endpoints during a run, one rollout at a time
	f.mu.Unlock()
	l, err := newLink(loopback(targetSubnet, n)+":0", "")
	if err != nil {
		return nil, err
	}
	ep := &endpoint{link: l, service: plain, domain: domains[n%len(domains)], software: r.version, reserved: true}
	f.mu.Lock()
	f.endpoints = append(f.endpoints, ep)
	f.mu.Unlock()
	if err := f.startTarget(ep, plain, 0); err != nil {
		return nil, err
	}
	r.new[ep.target.ID()] = true
	if r.bad {
		ep.target.SetFaultRates([]standin.FaultRates{{Fail: 1}, {Slowdown: 20}}[fl.index/2%2])
	}
	return ep, nil
}

// awaitRollout waits for the end of a rollout and returns its state, running if it takes longer than its deadline and rolloutLateness.
func (f *fleet) awaitRollout(r *rollout) string {
	const poll = 10 * time.Millisecond
	for time.Since(r.ordered) < rolloutRamp+rolloutLateness {
		if s := f.operator.RolloutStatus(plain); s.Target == r.version && (s.State == "done" || s.State == "rolled_back") {
			return s.State
		}
		time.Sleep(poll)
	}
	return "running"
}

// stopOld stops the old targets at once: nothing may be running there.
func (f *fleet) stopOld(r *rollout, old []*endpoint) {
	for _, ep := range old {
		if n := ep.target.Running(); n > 0 {
			f.checker.Violation("ROLLOUT", "%d requests ran at %s when the rollout of %s was done", n, ep.target.ID(), r.version)
		}
		ep.target.Stop(true)
		ep.link.close()
		f.mu.Lock()
		ep.target = nil
		f.mu.Unlock()
	}
}

// acquireAll reserves all endpoints of a service with a running target. It returns nil if one of them is reserved already.
func (f *fleet) acquireAll(service string) []*endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []*endpoint
	for _, ep := range f.endpoints {
		if ep.service != service || ep.target == nil {
			continue
		}
		if ep.reserved {
			return nil
		}
		all = append(all, ep)
	}
	for _, ep := range all {
		ep.reserved = true
	}
	return all
}

func (f *fleet) releaseAll(endpoints []*endpoint) {
	for _, ep := range endpoints {
		f.release(ep)
	}
}

// recordRollout records a rollout that has ended.
func (c *checker) recordRollout(r *rollout) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rollouts = append(c.rollouts, r)
}

// checkRollouts checks the exposure to bad versions and the ends of all rollouts. The share of the requests holds also under faults, after which each
// rollout must end; which end it takes, when, and the time of a rollback are judged only if nothing was disturbed from the order on.
func (c *checker) checkRollouts() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.rollouts {
		calm := c.disturbances.allUndisturbed(r.ordered.Add(-c.bounds.RecoveryTime), r.ended)
		if want := map[bool]string{true: "rolled_back", false: "done"}[r.bad]; calm && (r.state != want || r.ended.Sub(r.ordered) > rolloutRamp) {
			c.addViolation("ROLLOUT", "%s (bad: %t) was %s %v after its order, want %s within %v", r.version, r.bad, r.state, r.ended.Sub(r.ordered), want, rolloutRamp)
		} else if r.state == "running" {
			c.addViolation("ROLLOUT", "%s (bad: %t) had not ended %v after its order", r.version, r.bad, r.ended.Sub(r.ordered))
		}
		c.checkExposure(r, calm)
	}
}

// checkExposure checks the requests that reached the targets of a rollout.
func (c *checker) checkExposure(r *rollout, calm bool) {
	all, exposed := 0, []time.Time(nil)
	for _, a := range c.arrivals {
		if a.Service != plain || a.At.Before(r.ordered) {
			continue
		}
		if a.At.Before(r.ordered.Add(rolloutRamp)) {
			all++
		}
		if r.new[a.Target] {
			exposed = append(exposed, a.At)
			if sent := c.attempts[a.ID]; r.state == "rolled_back" && sent != nil && sent.sent.After(r.ended) {
				c.addViolation("ROLLOUT", "request %s, sent %v after %s was rolled back, reached %s", a.ID, sent.sent.Sub(r.ended), r.version, a.Target)
			}
		}
	}
	if !r.bad {
		return
	}
	if allowed := c.bounds.ExposeShare*float64(all) + c.bounds.ExposeSlack; float64(len(exposed)) > allowed {
		c.addViolation("ROLLOUT", "%d of %d requests reached the bad version %s, allowed %.0f", len(exposed), all, r.version, allowed)
	}
	if len(exposed) > badAnswers && calm {
		if late := exposed[len(exposed)-1].Sub(exposed[badAnswers-1]); late > c.bounds.Rollback {
			c.addViolation("ROLLOUT", "a request reached the bad version %s %v after its bad response %d", r.version, late, badAnswers)
		}
	}
}
