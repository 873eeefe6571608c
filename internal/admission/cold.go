package admission

import (
	"math/bits"
	"slices"
	"time"

	"github.com/egrethoist/egrethoist/internal/engine"
)

// reportState keeps what later load reports are compared with.
type reportState struct {
	received        bool
	incarnation     string
	reportedAt      int64 // milliseconds
	peakCacheBlocks int
	bestPrefillRate float64               // best rate of this incarnation, slowly forgotten
	bestDecodeRates [batchBuckets]float64 // the same per stream, by requests running
	versions        []string
	loading         bool
	waiting         int
}

// loadBuckets is the number of buckets of requests running, by powers of two. The rate of one stream falls with
// the batch, so it is compared within a bucket only.
const batchBuckets = 12

func batchBucket(running int) int { return min(bits.Len(uint(max(running, 0))), batchBuckets-1) }

// rateDecay is the share of the best rate kept from one report to the next.
const rateDecay = 0.999

// minCacheBlocks is the least number of cached blocks whose loss is a sign of a restart.
const minCacheBlocks = 16

// empty reports whether the target is known to hold no weights yet.
func (r *reportState) noWeights() bool { return r.received && r.loading && len(r.versions) == 0 }

// goCold takes back all that was proved. Requests in flight go on being counted, so that together with new
// ones they stay within what a cold target bears.
func (c *Controller) resetToCold(cause ColdCause) {
	c.epoch++
	c.coldStarts[cause]++
	c.limit = float64(c.opts.ColdInFlight)
	c.phase = PhaseCold
	c.provenCompletions = 0
	c.baseline = 0
	c.latencies = latencySum{}
	c.consecutiveOverloads = 0
	c.suspicion = restartSuspicion{}
	c.report.bestPrefillRate = 0
	c.report.bestDecodeRates = [batchBuckets]float64{}
	c.report.peakCacheBlocks = 0
	c.startLimitGeneration()
}

// Down says that the target does not answer. It returns cold.
func (c *Controller) MarkDown() {
	if c.phase != PhaseDown {
		c.resetToCold(ColdReturned)
		c.phase = PhaseDown
	}
}

// Answers says that a target without load reports answered a probe.
func (c *Controller) MarkReachable() {
	if c.phase == PhaseDown {
		c.phase = PhaseCold
	}
}

// CacheRestarted says that the target's cache events began anew or its cache was cleared.
func (c *Controller) CacheReset() {
	if c.phase != PhaseDown {
		c.resetToCold(ColdCache)
	}
}

// suspectRestart holds new work to the cold bound: a broken connection is often the first sign of a restart,
// and the load report that names the new incarnation lags behind it.
func (c *Controller) suspectRestart(cause ColdCause, now time.Time) {
	switch {
	case c.phase == PhaseDown:
		return
	case c.suspicion.active:
		c.suspicion.since = now // a report of before this sign says nothing of it
		return
	case !c.report.received:
		c.resetToCold(cause) // no report will ever clear it
		return
	}
	c.coldStarts[cause]++
	c.suspicion = restartSuspicion{active: true, since: now}
	c.startLimitGeneration()
}

// doubtIdle doubts a target that had no run in flight for long enough to restart: a run would have been cut.
func (c *Controller) suspectIdleRestart(now time.Time) {
	proved := c.provenCompletions > 0 || c.window.sinceColdStart > 0
	if c.inFlight == 0 && proved && now.Sub(c.idleSince) >= minRestartTime {
		c.suspectRestart(ColdIdle, now)
	}
}

// minRestart is the least time in which a target restarts.
const minRestartTime = 100 * time.Millisecond

// ObserveLoad takes a load report as it arrives. Reports out of order are dropped.
func (c *Controller) ObserveLoad(report engine.LoadReport, now time.Time) {
	r := &c.report
	if r.received && report.Incarnation == r.incarnation && report.ReportedAtUnix < r.reportedAt {
		return
	}
	cause, cold := c.detectRestart(report)
	if cold {
		c.resetToCold(cause)
	}
	c.MarkReachable()
	c.clearSuspicion(report)
	c.recordReport(report)
	c.cancelled.expire(now)
	if report.Running+report.Waiting == 0 { // any other number may hold them beside runs admitted since
		c.cancelled.dropBefore(report.ReportedAtUnix)
	}
	c.external = max(0, report.Running+report.Waiting-c.inFlightPeaks.peak(now, c.opts.ReportLag, c.inFlight))
}

// coldSign looks for a restart that nobody announced.
func (c *Controller) detectRestart(report engine.LoadReport) (ColdCause, bool) {
	r := &c.report
	if !r.received || c.phase == PhaseDown {
		return 0, false // cold already
	}
	switch {
	case report.Incarnation != r.incarnation:
		return ColdIncarnation, true
	case c.hasNewVersion(report.Versions):
		return ColdVersion, true
	case c.cacheLost(report):
		return ColdCache, true
	case droppedBelow(report.PrefillPerSec, r.bestPrefillRate, c.opts.ColdRateFraction):
		return ColdThroughput, true
	case droppedBelow(report.DecodePerSec, r.bestDecodeRates[batchBucket(report.Running)], c.opts.ColdRateFraction):
		return ColdThroughput, true
	}
	return 0, false
}

func (c *Controller) hasNewVersion(versions []string) bool {
	isNew := func(v string) bool { return !slices.Contains(c.report.versions, v) }
	return slices.ContainsFunc(versions, isNew)
}

func (c *Controller) cacheLost(report engine.LoadReport) bool {
	peak := c.report.peakCacheBlocks
	return peak >= minCacheBlocks && float64(report.CacheBlocks) < c.opts.ColdCacheFraction*float64(peak)
}

func droppedBelow(rate, best, fraction float64) bool { return rate > 0 && rate < fraction*best }

// clearSuspicion ends a suspicion by a report of the same incarnation that was made after the cut.
func (c *Controller) clearSuspicion(report engine.LoadReport) {
	if c.suspicion.active && report.ReportedAtUnix > c.suspicion.since.UnixMilli() {
		c.suspicion = restartSuspicion{}
		c.startLimitGeneration()
	}
}

// expireSuspicion settles for a cold start where reports stay away, so that the limit can rise again.
func (c *Controller) expireSuspicion(now time.Time) {
	if c.suspicion.active && now.Sub(c.suspicion.since) > 2*c.opts.ReportLag {
		c.resetToCold(ColdConnectionLost)
	}
}

func (c *Controller) recordReport(report engine.LoadReport) {
	r := &c.report
	r.received = true
	r.incarnation = report.Incarnation
	r.reportedAt = report.ReportedAtUnix
	r.peakCacheBlocks = max(r.peakCacheBlocks, report.CacheBlocks)
	r.bestPrefillRate = max(r.bestPrefillRate*rateDecay, report.PrefillPerSec)
	decode := &r.bestDecodeRates[batchBucket(report.Running)]
	*decode = max(*decode*rateDecay, report.DecodePerSec)
	r.versions = slices.Clone(report.Versions)
	r.loading = report.Loading
	r.waiting = report.Waiting
}

// history keeps the largest number of own requests in flight over the lag of a report, in coarse slots.
type peakHistory struct {
	slots [historySlots]peakSlot
}

type peakSlot struct {
	start time.Time
	peak  int
}

const historySlots = 8

// add records a number in flight. The slots together span more than lag.
func (h *peakHistory) add(now time.Time, inFlight int, lag time.Duration) {
	width := lag / (historySlots - 2)
	start := now.Truncate(width)
	s := &h.slots[int(start.UnixNano()/int64(width))%historySlots]
	if !s.start.Equal(start) {
		*s = peakSlot{start: start, peak: inFlight}
		return
	}
	s.peak = max(s.peak, inFlight)
}

// peak returns the largest number in flight within lag before now. A report is compared with this peak, so
// that own requests that ended since it was made are not taken for foreign ones.
func (h *peakHistory) peak(now time.Time, lag time.Duration, current int) int {
	width := lag / (historySlots - 2)
	since := now.Add(-lag - width)
	largest := current
	for _, s := range h.slots {
		if s.start.After(since) {
			largest = max(largest, s.peak)
		}
	}
	return largest
}

// abandoned are requests that were given up but may still run at the target for a moment: a cancelled run leaves
// a batch only at its next step.
type cancelledRuns struct {
	releasedAt []time.Time
}

func (a *cancelledRuns) add(now time.Time) { a.releasedAt = append(a.releasedAt, now) }

func (a *cancelledRuns) count() int { return len(a.releasedAt) }

// forget drops those that have had time to end.
func (a *cancelledRuns) expire(now time.Time) { a.dropBefore(now.Add(-cancelGrace).UnixMilli()) }

// forgetBefore drops those given up before a moment in Unix milliseconds.
func (a *cancelledRuns) dropBefore(millis int64) {
	n := 0
	for n < len(a.releasedAt) && a.releasedAt[n].UnixMilli() < millis {
		n++
	}
	a.releasedAt = a.releasedAt[n:]
}

// cancelGrace is the time that a target takes at most to end a run that was given up.
const cancelGrace = 500 * time.Millisecond
