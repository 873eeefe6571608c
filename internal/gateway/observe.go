package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/egrethoist/egrethoist/internal/rollout"
	"github.com/egrethoist/egrethoist/internal/targetlimit"
)

const (
	// maxMissedReports is the number of consecutive failed report requests after which a target counts as unresponsive.
	maxMissedReports = 2
	// unresponsiveRetryDelay is the wait before the next report request to an unresponsive target.
	unresponsiveRetryDelay = 2 * time.Second
	// reportWait is how long a rollout step waits for reports: many round trips within a region. Later reports are processed in
	// the next step.
	reportWait = 100 * time.Millisecond
)

// reportFailures counts the consecutive failed report requests to a target.
type reportFailures struct {
	count   int
	retryAt time.Time // time of the next report request
}

// reportResult is the result of one report request.
type reportResult struct {
	report TargetReport
	err    error
	denied bool // the target's rate limit did not allow the request
}

// reportInbox collects the results of report requests during one term of the rollout leader.
type reportInbox struct {
	ready chan struct{} // holds a token while there are new results

	mu      sync.Mutex
	results map[string]reportResult
}

func newReportInbox() *reportInbox {
	return &reportInbox{ready: make(chan struct{}, 1), results: map[string]reportResult{}}
}

// put adds the result of a report request to a target and signals it on ready.
func (b *reportInbox) put(id string, r reportResult) {
	b.mu.Lock()
	b.results[id] = r
	b.mu.Unlock()
	select {
	case b.ready <- struct{}{}:
	default: // the receiver has been signaled already
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

// observe returns the state of the targets of a group for the rollout plan. It requests a report from the targets that are out of
// rotation; the state of the others comes from their records.
func (c *RolloutController) observe(ctx context.Context, g engineGroup) []rollout.Target {
	now := time.Now()
	c.requestReports(ctx, g, now)
	var list []rollout.Target
	for id, t := range g.targets {
		rt := rollout.Target{ID: id, Version: t.version(g.model), Expiry: g.expiry[id]}
		c.loaded = slices.DeleteFunc(c.loaded, func(l loadedVersion) bool { return l.Target == id && l.Model == g.model && l.Version > rt.Version })
		if result, ok := c.newResults[id]; ok {
			delete(c.newResults, id)
			c.applyReport(&rt, g, result, now)
		}
		m := c.missedReports[id]
		rt.Unresponsive = m != nil && m.count >= maxMissedReports || t.stats.PauseRemaining(now) > 0
		rt.Unreported = rt.Unreported || !rt.Unresponsive && (m != nil || c.reportsPending[id])
		list = append(list, rt)
	}
	return list
}

// requestReports requests reports from the targets of a group that are out of rotation, and waits up to reportWait for the results.
func (c *RolloutController) requestReports(ctx context.Context, g engineGroup, now time.Time) {
	inbox, pending := c.inbox, 0
	for id, t := range g.targets {
		if _, outOfService := c.loadableAt[id]; !outOfService {
			delete(c.missedReports, id)
			delete(c.newResults, id)
			continue
		}
		if t.version(g.model) >= g.newestVersion {
			continue // another model of the target may be behind
		}
		if m := c.missedReports[id]; m != nil && now.Before(m.retryAt) || t.stats.PauseRemaining(now) > 0 {
			continue
		}
		pending++
		if c.reportsPending[id] {
			continue
		}
		c.reportsPending[id] = true
		go func() { // ends within the timeout of the call
			if granted, _ := c.opts.State.grantService.acquire(ctx, t.limit, grantPurpose{control: true, rank: targetlimit.NumRanks - 1}); !granted {
				inbox.put(id, reportResult{denied: true})
				return
			}
			report, err := c.opts.State.readReport(ctx, c.opts.Engines, t)
			c.opts.State.observeNotice(t, report.Notice, report.Born, time.Now())
			inbox.put(id, reportResult{report: report, err: err})
		}()
	}
	timer := time.NewTimer(reportWait)
	defer timer.Stop()
	for pending > 0 {
		select {
		case <-inbox.ready:
			for id, result := range inbox.take() {
				delete(c.reportsPending, id)
				c.newResults[id] = result
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

// applyReport applies the result of a report request to the target's state in the rollout.
func (c *RolloutController) applyReport(rt *rollout.Target, g engineGroup, result reportResult, now time.Time) {
	if result.denied {
		rt.Unreported = true // an order would be denied as well
		return
	}
	if result.err != nil {
		m := c.missedReports[rt.ID]
		if m == nil {
			m = &reportFailures{}
			c.missedReports[rt.ID] = m
		}
		if m.count++; m.count >= maxMissedReports {
			m.retryAt = now.Add(unresponsiveRetryDelay)
		}
		klog.InfoS("report of a target that loads weights failed", "target", rt.ID, "missed", m.count, "err", result.err.Error())
		return
	}
	delete(c.missedReports, rt.ID)
	report := result.report
	c.targetReports[rt.ID] = report
	rt.Busy, rt.Idle = report.OrderRunning, report.Running == 0
	if v := report.WeightVersions[g.model]; v > rt.Version {
		rt.Version = v
		g.targets[rt.ID].learnVersions(report.WeightVersions, now)
		c.recordLoaded(loadedVersion{Target: rt.ID, Born: g.born[rt.ID], Model: g.model, Version: v})
		klog.InfoS("weights loaded", "target", rt.ID, "model", g.model, "version", v)
	}
}

// recordLoaded adds a version to those that are published, in place of the one that the target had before.
func (c *RolloutController) recordLoaded(l loadedVersion) {
	c.loaded = slices.DeleteFunc(c.loaded, func(old loadedVersion) bool { return old.Target == l.Target && old.Model == l.Model })
	c.loaded = append(c.loaded, l)
}
