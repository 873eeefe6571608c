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
	maxMissedReports = 2
	// silentRetry is the pause before a silent target is asked again.
	silentRetryDelay = 2 * time.Second
	// reportWait is how long a look at the targets waits for their reports: many round trips within a region. What comes
	// later is seen at the next look.
	reportWait = 100 * time.Millisecond
)

// missedReports is what is known of a target that does not report.
type reportFailures struct {
	count   int
	retryAt time.Time // when it is asked again
}

// reportResult is the outcome of asking a target.
type reportResult struct {
	report TargetReport
	err    error
	denied bool // the target's rate limit left no room to ask
}

// reportInbox collects the reports of one tenure of the owner of orders.
type reportInbox struct {
	ready chan struct{} // holds a token while there are results

	mu      sync.Mutex
	results map[string]reportResult
}

func newReportInbox() *reportInbox {
	return &reportInbox{ready: make(chan struct{}, 1), results: map[string]reportResult{}}
}

func (b *reportInbox) put(id string, r reportResult) {
	b.mu.Lock()
	b.results[id] = r
	b.mu.Unlock()
	select {
	case b.ready <- struct{}{}:
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
func (o *RolloutController) observe(ctx context.Context, g engineGroup) []rollout.Target {
	now := time.Now()
	o.requestReports(ctx, g, now)
	var list []rollout.Target
	for id, t := range g.targets {
		rt := rollout.Target{ID: id, Version: t.version(g.model)}
		if result, ok := o.newResults[id]; ok {
			delete(o.newResults, id)
			o.applyReport(&rt, g, result, now)
		}
		m := o.missedReports[id]
		rt.Silent = m != nil && m.count >= maxMissedReports || t.stats.PauseLeft(now) > 0
		// Nothing can be told now to a target whose report is missing.
		rt.Busy = rt.Busy || !rt.Silent && (m != nil || o.reportsPending[id])
		list = append(list, rt)
	}
	return list
}

// ask asks the targets of a group that are out for their reports, and waits a little for them.
func (o *RolloutController) requestReports(ctx context.Context, g engineGroup, now time.Time) {
	inbox, pending := o.inbox, 0
	for id, t := range g.targets {
		if _, out := o.published[id]; !out || t.version(g.model) >= g.newestVersion {
			delete(o.missedReports, id)
			delete(o.newResults, id)
			continue
		}
		if m := o.missedReports[id]; m != nil && now.Before(m.retryAt) || t.stats.PauseLeft(now) > 0 {
			continue
		}
		pending++
		if o.reportsPending[id] {
			continue
		}
		o.reportsPending[id] = true
		go func() { // ends with the call's time limit
			if granted, _ := o.opts.State.grantService.acquire(ctx, t.limit, grantPurpose{control: true, rank: targetlimit.Ranks - 1}); !granted {
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
		case <-inbox.ready:
			for id, result := range inbox.take() {
				delete(o.reportsPending, id)
				o.newResults[id] = result
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
func (o *RolloutController) applyReport(rt *rollout.Target, g engineGroup, result reportResult, now time.Time) {
	if result.denied {
		rt.Busy = true // nothing can be told to it now
		return
	}
	if result.err != nil {
		m := o.missedReports[rt.ID]
		if m == nil {
			m = &reportFailures{}
			o.missedReports[rt.ID] = m
		}
		if m.count++; m.count >= maxMissedReports {
			m.retryAt = now.Add(silentRetryDelay)
		}
		klog.InfoS("target that is to load weights does not report", "target", rt.ID, "missed", m.count, "err", result.err.Error())
		return
	}
	delete(o.missedReports, rt.ID)
	report := result.report
	o.targetReports[rt.ID] = report
	rt.Busy, rt.Idle = report.OrderRunning, report.Running == 0
	if v := report.WeightVersions[g.model]; v > rt.Version {
		rt.Version = v
		g.targets[rt.ID].learnVersions(report.WeightVersions)
		o.loaded = append(o.loaded, loadedVersion{Target: rt.ID, Born: g.born[rt.ID], Model: g.model, Version: v})
		klog.InfoS("weights loaded", "target", rt.ID, "model", g.model, "version", v)
	}
}
