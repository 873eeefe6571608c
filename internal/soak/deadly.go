package soak

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/egrethoist/egrethoist/internal/sleep"
	"github.com/egrethoist/egrethoist/platform/standin"
)

const (
	// deadlyOdds is the share, one in deadlyOdds, of the requests for streams that have the deadly part while there is one.
	deadlyOdds = 8
	// maxCrashes is the number of crashes that a deadly part may cause before its requests must not reach targets any more, and
	// maxLateArrivals the number that may.
	maxCrashes      = 5
	maxLateArrivals = 3
	// crashDowntime is how long a crashed target is down.
	crashDowntime = time.Second
)

// poisonPart makes a new part of prompts deadly for three times the length of the fault: each engine that begins to answer a request with
// it crashes.
func (f *fleet) poisonPart(ctx context.Context, fl fault) {
	const lengthFactor = 3
	part := fmt.Sprintf("dead%d", fl.index)
	if !f.deadlyPart.CompareAndSwap(nil, &part) {
		return // another part is deadly
	}
	_ = sleep.For(ctx, lengthFactor*fl.length)
	f.deadlyPart.Store(nil) // no new requests have the part; it stays deadly
}

// isDeadly reports whether a part was ever made deadly.
func isDeadly(part string) bool { return strings.HasPrefix(part, "dead") }

// crashUnder crashes the target that has begun to answer a request with a deadly part, and starts another one. While another fault
// changes the target, only the request is cut.
func (f *fleet) crashUnder(ep *endpoint, id, part string) {
	f.mu.Lock()
	if ep.reserved || ep.target == nil || ep.target.ID() != id {
		f.mu.Unlock()
		return
	}
	ep.reserved = true
	f.runningFaults.Add(1)
	f.mu.Unlock()
	defer f.runningFaults.Done()
	defer f.release(ep)
	endDisturbance := f.disturbances.begin(id)
	defer endDisturbance()
	f.checker.recordCrash(part, time.Now())
	f.stopAbruptly(ep)
	time.Sleep(crashDowntime)
	f.startColdTarget(ep, ep.service)
}

// stopAbruptly ends the target of an endpoint like a crash: connections are refused until another one starts.
func (f *fleet) stopAbruptly(ep *endpoint) {
	ep.link.suspend()
	ep.target.Stop(false)
	ep.link.resetAll()
}

// deadlyRecord is what was seen of one deadly part.
type deadlyRecord struct {
	crashes      int
	lastCrash    time.Time // the maxCrashes-th
	lateArrivals int
}

// recordCrash records that a target has crashed under a deadly part.
func (c *checker) recordCrash(part string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.deadly[part]
	if d == nil {
		d = &deadlyRecord{}
		c.deadly[part] = d
	}
	if d.crashes++; d.crashes == maxCrashes {
		d.lastCrash = at
	}
}

// checkDeadly checks that requests with a deadly part stop reaching targets soon after it has crashed maxCrashes of them.
func (c *checker) checkDeadly(a *attempt, r standin.Run) {
	recovery := c.bounds.RecoveryTime
	for _, p := range a.call.Parts {
		d := c.deadly[p.ID]
		if d == nil || d.crashes < maxCrashes || r.At.Before(d.lastCrash.Add(recovery)) || !c.connected(r.At.Add(-recovery), r.At, a.instance) {
			continue
		}
		if d.lateArrivals++; d.lateArrivals > maxLateArrivals {
			c.addViolation("BUDGET", "request %s with part %s reached %s, %v after the part had crashed %d targets, through %s", r.ID, p.ID, r.Target, r.At.Sub(d.lastCrash), maxCrashes, a.instance)
		}
	}
}
