package admission

import (
	"math/bits"
	"slices"
	"time"

	"github.com/egrethoist/egrethoist/internal/engine"
)

// reportState keeps the values of past load reports that later reports are compared with.
type reportState struct {
	received        bool
	incarnation     string
	reportedAt      int64 // Unix milliseconds
	peakCacheBlocks int
	bestPrefillRate float64               // tokens per second; best rate since the cold start, decaying by rateDecay per report
	bestDecodeRates [batchBuckets]float64 // tokens per second of one stream, by batchBucket; decays likewise
	versions        []string
	loading         bool
	waiting         int
}

// batchBuckets is the number of buckets of batch sizes (running requests), by powers of two. The decode rate of one
// stream falls as the batch grows, so rates are compared only within a bucket.
const batchBuckets = 12

func batchBucket(running int) int { return min(bits.Len(uint(max(running, 0))), batchBuckets-1) }

// rateDecay is the factor applied to the best rates at each report.
const rateDecay = 0.999

// minCacheBlocks is the smallest number of cached blocks whose loss indicates a restart.
const minCacheBlocks = 16

// noWeights reports whether the target is loading and has reported no weights yet.
func (r *reportState) noWeights() bool { return r.received && r.loading && len(r.versions) == 0 }

// resetToCold discards the proven capacity and the statistics. Requests in flight still count, so that together with
// new ones they stay within the limit of a cold target.
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

// MarkDown records that the target does not respond. It will be cold when it responds again.
func (c *Controller) MarkDown() {
	if c.phase != PhaseDown {
		c.resetToCold(ColdReturned)
		c.phase = PhaseDown
	}
}

// MarkReachable records that the target responded, for example to a probe of a target without load reports.
func (c *Controller) MarkReachable() {
	if c.phase == PhaseDown {
		c.phase = PhaseCold
	}
}

// CacheReset records that the target's cache events restarted or that its cache was cleared.
func (c *Controller) CacheReset() {
	if c.phase != PhaseDown {
		c.resetToCold(ColdCache)
	}
}

// suspectRestart limits new requests to the cold limit until a later load report confirms the incarnation: a broken
// connection is often the first sign of a restart, and the report with the new incarnation arrives later. Without load
// reports the target is reset to cold.
func (c *Controller) suspectRestart(cause ColdCause, now time.Time) {
	switch {
	case c.phase == PhaseDown:
		return
	case c.suspicion.active:
		c.suspicion.since = now // a report made before this sign does not clear it
		return
	case !c.report.received:
		c.resetToCold(cause) // no report would ever clear the suspicion
		return
	}
	c.coldStarts[cause]++
	c.suspicion = restartSuspicion{active: true, since: now}
	c.startLimitGeneration()
}

// suspectIdleRestart suspects a restart if no request was in flight for long enough to restart: a restart then breaks no
// request and goes unnoticed.
func (c *Controller) suspectIdleRestart(now time.Time) {
	hasCompletions := c.provenCompletions > 0 || c.window.sinceColdStart > 0
	if c.inFlight == 0 && hasCompletions && now.Sub(c.idleSince) >= minRestartTime {
		c.suspectRestart(ColdIdle, now)
	}
}

// minRestartTime is the shortest time in which a target can restart.
const minRestartTime = 100 * time.Millisecond

// ObserveLoad processes a load report. An out-of-order report of the same incarnation is dropped. now is the time of
// arrival.
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
	if report.Running+report.Waiting == 0 { // a larger count may still include cancelled runs, besides requests admitted since
		c.cancelled.dropBefore(report.ReportedAtUnix)
	}
	c.external = max(0, report.Running+report.Waiting-c.inFlightPeaks.peak(now, c.opts.ReportLag, c.inFlight))
}

// detectRestart looks for signs of an unannounced restart in a load report.
func (c *Controller) detectRestart(report engine.LoadReport) (ColdCause, bool) {
	r := &c.report
	if !r.received || c.phase == PhaseDown {
		return 0, false // will be cold anyway
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

// hasNewVersion reports whether the target serves a weight version that the last report did not have.
func (c *Controller) hasNewVersion(versions []string) bool {
	isNew := func(v string) bool { return !slices.Contains(c.report.versions, v) }
	return slices.ContainsFunc(versions, isNew)
}

// cacheLost reports whether most of the cached blocks are gone.
func (c *Controller) cacheLost(report engine.LoadReport) bool {
	peak := c.report.peakCacheBlocks
	return peak >= minCacheBlocks && float64(report.CacheBlocks) < c.opts.ColdCacheFraction*float64(peak)
}

// droppedBelow reports whether a known rate has dropped below the fraction of the best rate.
func droppedBelow(rate, best, fraction float64) bool { return rate > 0 && rate < fraction*best }

// clearSuspicion ends the suspicion of a restart if the report was made after its last sign. A report with another
// incarnation has already reset the controller to cold.
func (c *Controller) clearSuspicion(report engine.LoadReport) {
	if c.suspicion.active && report.ReportedAtUnix > c.suspicion.since.UnixMilli() {
		c.suspicion = restartSuspicion{}
		c.startLimitGeneration()
	}
}

// expireSuspicion resets to cold if no load report has arrived for twice the report lag, so that the limit can rise
// again.
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

// peakHistory keeps the largest number of admitted requests in flight over the lag of a load report, in time slots. Its
// slots are reused in turn.
type peakHistory struct {
	slots [historySlots]peakSlot
}

type peakSlot struct {
	start time.Time
	peak  int
}

// historySlots is the number of slots of a peakHistory; each covers lag/(historySlots-2).
const historySlots = 8

// add records the number of requests in flight. All slots together span more than lag.
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

// peak returns the largest number of requests in flight within lag before now. A load report is compared with this
// peak, so that admitted requests that ended since it was made are not counted as external.
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

// cancelledRuns tracks requests that were cancelled or lost their connection and may still run at the target: a
// cancelled run leaves its batch only at the next step.
type cancelledRuns struct {
	releasedAt []time.Time
}

func (r *cancelledRuns) add(now time.Time) { r.releasedAt = append(r.releasedAt, now) }

func (r *cancelledRuns) count() int { return len(r.releasedAt) }

// expire drops the runs cancelled more than cancelGrace ago, which have ended by now.
func (r *cancelledRuns) expire(now time.Time) { r.dropBefore(now.Add(-cancelGrace).UnixMilli()) }

// dropBefore drops the runs cancelled before the given time in Unix milliseconds.
func (r *cancelledRuns) dropBefore(millis int64) {
	n := 0
	for n < len(r.releasedAt) && r.releasedAt[n].UnixMilli() < millis {
		n++
	}
	r.releasedAt = r.releasedAt[n:]
}

// cancelGrace is the longest time that a target takes to end a cancelled run.
const cancelGrace = 500 * time.Millisecond
