package gateway

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/egrethoist/egrethoist/internal/rollout"
	"github.com/egrethoist/egrethoist/internal/targetlimit"
)

const (
	// silentAfterMissed is the number of reports in a row that a target must fail to give before it counts as silent.
	silentAfterMissed = 2
	// silentRetry is the pause before a silent target is asked again.
	silentRetry = 2 * time.Second
	// reportWait is how long a look at the targets waits for their reports: many round trips within a region. What comes
	// later is seen at the next look.
	reportWait = 100 * time.Millisecond
)

// missedReports is what is known of a target that does not report.
type missedReports struct {
	count int
	next  time.Time // when it is asked again
}

// reportResult is the outcome of asking a target.
type reportResult struct {
	report TargetReport
	err    error
	denied bool // the target's rate limit left no room to ask
}

// reportInbox collects the reports of one tenure of the owner of orders.
type reportInbox struct {
	wake chan struct{} // holds a token while there are results

	mu      sync.Mutex
	results map[string]reportResult
}

func newReportInbox() *reportInbox {
	return &reportInbox{wake: make(chan struct{}, 1), results: map[string]reportResult{}}
}

func (b *reportInbox) put(id string, r reportResult) {
	b.mu.Lock()
	b.results[id] = r
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default: // it is awake already
	}
}

// take returns the results since the last call.
func (b *reportInbox) take() map[string]reportResult {
	b.mu.Lock()
	defer b.mu.Unlock()
	taken := b.results
	b.results = map[string]reportResult{}
	return taken
}

// observe returns the targets of a group. Those that are out are asked; the others are known by their records.
func (o *Orderer) observe(ctx context.Context, g engineGroup) []rollout.Target {
	now := time.Now()
	o.ask(ctx, g, now)
	var list []rollout.Target
	for id, t := range g.targets {
		rt := rollout.Target{ID: id, Version: t.version(g.model)}
		if result, ok := o.results[id]; ok {
			delete(o.results, id)
			o.note(&rt, g, result, now)
		}
		m := o.missed[id]
		rt.Unresponsive = m != nil && m.count >= silentAfterMissed || t.stats.PauseRemaining(now) > 0
		// Nothing can be told now to a target whose report is missing.
		rt.Busy = rt.Busy || !rt.Unresponsive && (m != nil || o.asking[id])
		list = append(list, rt)
	}
	return list
}

// ask asks the targets of a group that are out for their reports, and waits a little for them.
func (o *Orderer) ask(ctx context.Context, g engineGroup, now time.Time) {
	inbox, pending := o.inbox, 0
	for id, t := range g.targets {
		if _, out := o.published[id]; !out || t.version(g.model) >= g.newest {
			delete(o.missed, id)
			delete(o.results, id)
			continue
		}
		if m := o.missed[id]; m != nil && now.Before(m.next) || t.stats.PauseRemaining(now) > 0 {
			continue
		}
		pending++
		if o.asking[id] {
			continue
		}
		o.asking[id] = true
		go func() { // ends with the call's time limit
			if granted, _ := o.opts.State.permits.take(ctx, t.meter, want{control: true, rank: targetlimit.NumRanks - 1}); !granted {
				inbox.put(id, reportResult{denied: true})
				return
			}
			report, err := o.opts.Engines.Report(ctx, t.address)
			o.opts.State.observeNotice(t, report.Notice, report.Born, time.Now())
			inbox.put(id, reportResult{report: report, err: err})
		}()
	}
	timer := time.NewTimer(reportWait)
	defer timer.Stop()
	for pending > 0 {
		select {
		case <-inbox.wake:
			for id, result := range inbox.take() {
				delete(o.asking, id)
				o.results[id] = result
				if g.targets[id] != nil {
					pending--
				}
			}
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// note takes in the outcome of asking a target.
func (o *Orderer) note(rt *rollout.Target, g engineGroup, result reportResult, now time.Time) {
	if result.denied {
		rt.Busy = true // nothing can be told to it now
		return
	}
	if result.err != nil {
		m := o.missed[rt.ID]
		if m == nil {
			m = &missedReports{}
			o.missed[rt.ID] = m
		}
		if m.count++; m.count >= silentAfterMissed {
			m.next = now.Add(silentRetry)
		}
		klog.InfoS("target that is to load weights does not report", "target", rt.ID, "missed", m.count, "err", result.err.Error())
		return
	}
	delete(o.missed, rt.ID)
	report := result.report
	o.reports[rt.ID] = report
	rt.Busy, rt.Idle = report.Busy, report.Running == 0
	if v := report.Weights[g.model]; v > rt.Version {
		rt.Version = v
		g.targets[rt.ID].learn(report.Weights)
		o.loaded = append(o.loaded, loaded{Target: rt.ID, Born: g.born[rt.ID], Model: g.model, Version: v})
		klog.InfoS("weights loaded", "target", rt.ID, "model", g.model, "version", v)
	}
}
