// Package admission controls the limit of requests in flight at one target. The target's sidecar holds its only
// Controller, so that requests from several gateways together cannot overload it.
//
// A target starts cold and is treated as cold again after every sign of a restart. The limit rises only with
// completed requests, never with time, and falls multiplicatively when latency indicates queueing.
package admission

import (
	"math"
	"time"
)

// Controller admits requests to one target. It is not safe for concurrent use: the owner guards it and its queue with
// one lock. Times passed to it must not go back by more than Options.ReportLag.
type Controller struct {
	opts            Options
	limit           float64
	epoch           uint64 // increases at every cold start; completions of earlier epochs do not raise the limit
	limitGeneration uint64 // increases at every change of the limit
	phase           Phase  // PhaseDown, PhaseCold, PhaseRamping or PhaseWarm
	leaving         bool

	inFlight      int
	idleSince     time.Time // time of the last release
	external      int       // requests at the target that this controller did not admit, by the last report
	inFlightPeaks peakHistory
	cancelled     cancelledRuns

	provenCompletions    int // completions since the cold start, counted in windows that used up the limit
	window               window
	latencies            latencySum
	baseline             float64 // ratio of latency to expected latency without queueing; zero if unknown
	consecutiveOverloads int     // overload refusals in a row

	suspicion  restartSuspicion
	report     reportState
	coldStarts [numColdCauses]uint64
}

// window counts the completions since it started: at a change of the limit or at the end of the last window.
type window struct {
	atCurrentLimit int // completed requests that were admitted under the current limit
	sinceColdStart int // completed requests that were admitted since the cold start
	peakOccupancy  int // largest occupancy within the window
}

// latencySum accumulates the ratios of measured to expected latency until there are Options.MinSamples of them. It may
// span several short windows.
type latencySum struct {
	count    int     // completions with an expected latency
	ratioSum float64 // sum of latency / expected latency
}

// restartSuspicion keeps the limit at the cold limit after a broken connection or an idle period, until a load report
// confirms the target's incarnation. since is the time of the last sign.
type restartSuspicion struct {
	active bool
	since  time.Time
}

// Ticket identifies an admitted request. It must be released exactly once.
type Ticket struct {
	epoch           uint64
	limitGeneration uint64
}

// New returns the controller of a target in an unknown state: it is down until MarkReachable or ObserveLoad is called,
// and cold from then on.
func New(opts Options) *Controller {
	c := &Controller{opts: opts.withDefaults()}
	c.resetToCold(ColdInitial)
	c.phase = PhaseDown
	return c
}

// Admit admits one request or returns the cause of its refusal. A refused request must not be sent to the target.
func (c *Controller) Admit(now time.Time) (Ticket, Refusal) {
	c.cancelled.expire(now)
	c.suspectIdleRestart(now)
	if r := c.refusal(); r != RefusalNone {
		return Ticket{}, r
	}
	c.inFlight++
	c.inFlightPeaks.add(now, c.inFlight, c.opts.ReportLag)
	c.window.peakOccupancy = max(c.window.peakOccupancy, c.occupancy())
	return Ticket{epoch: c.epoch, limitGeneration: c.limitGeneration}, RefusalNone
}

func (c *Controller) refusal() Refusal {
	switch {
	case c.leaving:
		return RefusalLeaving
	case c.phase == PhaseDown:
		return RefusalDown
	case c.occupancy() < c.Limit():
		return RefusalNone
	case c.report.noWeights():
		return RefusalLoading
	case c.phase == PhaseWarm && !c.suspicion.active:
		return RefusalOverload
	}
	return RefusalCold
}

// Release ends an admitted request. Only OutcomeCompleted raises the limit, so the caller must not report it for a
// response that is incomplete.
func (c *Controller) Release(now time.Time, t Ticket, s Sample) {
	c.inFlightPeaks.add(now, c.inFlight, c.opts.ReportLag)
	c.inFlight--
	c.idleSince = now
	c.cancelled.expire(now)
	if c.report.received && (s.Outcome == OutcomeCancelled || s.Outcome == OutcomeConnectionLost) {
		c.cancelled.add(now) // only with periodic reports, which free the slot again soon
	}
	if t.epoch != c.epoch {
		return // admitted before the cold start: no evidence for the restarted target
	}
	switch s.Outcome {
	case OutcomeCompleted:
		c.recordCompletion(t, s)
		c.expireSuspicion(now)
	case OutcomeOverload:
		c.recordOverload()
	case OutcomeConnectionLost:
		c.suspectRestart(ColdConnectionLost, now)
	case OutcomeUnreachable:
		c.MarkDown()
	}
}

// recordCompletion counts a completed request. One that was admitted under an earlier limit does not count for the
// window of the current limit.
func (c *Controller) recordCompletion(t Ticket, s Sample) {
	c.consecutiveOverloads = 0
	c.window.sinceColdStart++
	if t.limitGeneration != c.limitGeneration {
		return
	}
	c.window.atCurrentLimit++
	if s.Expected > 0 {
		c.latencies.count++
		c.latencies.ratioSum += float64(s.Latency) / float64(s.Expected)
	}
	if c.window.atCurrentLimit >= c.windowSize() {
		c.endWindow()
	}
}

// windowSize returns the number of completions at the current limit that end a window.
func (c *Controller) windowSize() int {
	if c.phase == PhaseWarm {
		return max(c.opts.MinSamples, c.Limit())
	}
	return 2 * c.Limit()
}

// endWindow adapts the limit to the latencies and the occupancy of the window.
func (c *Controller) endWindow() {
	w := c.window
	slowdown := c.slowdown()
	switch {
	case slowdown >= c.opts.ColdLatencyFactor:
		c.resetToCold(ColdThroughput)
	case slowdown > c.opts.LatencyTolerance:
		c.decrease(max(c.opts.MinDecrease, c.opts.LatencyTolerance/slowdown))
	case c.mayIncrease(w):
		c.increase(w)
	default:
		c.startWindow()
	}
}

// slowdown returns the mean latency ratio divided by the baseline and updates the baseline: down at once, up by at most
// Options.BaselineDrift. It returns 1 while there are too few latencies.
func (c *Controller) slowdown() float64 {
	if c.latencies.count < c.opts.MinSamples {
		return 1
	}
	ratio := c.latencies.ratioSum / float64(c.latencies.count)
	c.latencies = latencySum{}
	if c.baseline == 0 || ratio < c.baseline {
		c.baseline = ratio
		return 1
	}
	slowdown := ratio / c.baseline
	c.baseline = min(ratio, c.baseline*c.opts.BaselineDrift)
	return slowdown
}

// mayIncrease reports whether the window allows a higher limit: it must have used at least three quarters of the
// current one, since an unused limit is not proven to be sustainable.
func (c *Controller) mayIncrease(w window) bool {
	if c.suspicion.active || c.report.loading || c.report.waiting > 0 {
		return false
	}
	return 4*w.peakOccupancy >= 3*c.Limit()
}

// increase raises the limit up to the proven capacity: by GrowthFactor while ramping, by sqrt(limit)/2 when warm.
func (c *Controller) increase(w window) {
	c.provenCompletions += w.sinceColdStart
	next := c.limit + math.Sqrt(c.limit)/2
	if c.phase != PhaseWarm {
		c.phase = PhaseRamping
		next = max(c.limit+1, float64(min(w.peakOccupancy, c.Limit()))*c.opts.GrowthFactor)
	}
	next = min(next, float64(c.provenCapacity()))
	if next <= c.limit {
		c.startWindow() // the limit stays, so requests in flight still count
		return
	}
	c.limit = next
	if c.Limit() == c.opts.MaxInFlight {
		c.phase = PhaseWarm
	}
	c.startLimitGeneration()
}

// provenCapacity returns the in-flight limit that the completed requests justify if the target warms up warmupMargin
// times slower than declared. Latency shows an overload only after it has happened, so it may lower the limit but never
// justify a higher one.
func (c *Controller) provenCapacity() int {
	return min(c.opts.MaxInFlight, c.opts.ColdInFlight+c.provenCompletions/(warmupMargin*c.opts.CompletionsPerSlot))
}

func (c *Controller) decrease(factor float64) {
	c.limit = max(1, c.limit*factor)
	if c.phase == PhaseRamping {
		c.phase = PhaseWarm // the ramp has reached the knee of the latency curve
	}
	c.startLimitGeneration()
}

func (c *Controller) recordOverload() {
	c.consecutiveOverloads++
	if c.consecutiveOverloads >= c.opts.MaxConsecutiveOverloads {
		c.resetToCold(ColdOverload)
		return
	}
	c.decrease(c.opts.MinDecrease)
}

func (c *Controller) startLimitGeneration() {
	c.limitGeneration++
	c.startWindow()
}

func (c *Controller) startWindow() { c.window = window{peakOccupancy: c.occupancy()} }

// occupancy counts all requests that may run at the target. Cancelled runs do not count at a fully warmed-up target,
// which can sustain them for the short time until they end.
func (c *Controller) occupancy() int {
	if c.provenCapacity() == c.opts.MaxInFlight && !c.suspicion.active {
		return c.inFlight + c.external
	}
	return c.inFlight + c.external + c.cancelled.count()
}

// Limit is the number of requests that may be in flight at the target now.
func (c *Controller) Limit() int {
	if c.phase == PhaseDown || c.report.noWeights() {
		return 0
	}
	limit := int(c.limit)
	if c.suspicion.active {
		limit = min(limit, c.opts.ColdInFlight)
	}
	return limit
}

// FreeSlots is the number of further requests that Admit admits now.
func (c *Controller) FreeSlots() int {
	if c.leaving {
		return 0
	}
	return max(0, c.Limit()-c.occupancy())
}

// InFlight returns the number of admitted requests that have not been released.
func (c *Controller) InFlight() int { return c.inFlight }

// RestartSuspected reports whether the limit is lowered until a load report confirms the target's incarnation.
func (c *Controller) RestartSuspected() bool { return c.suspicion.active }

// ExternalInFlight is the number of requests at the target that this controller did not admit, according to the last
// load report.
func (c *Controller) ExternalInFlight() int { return c.external }

// Epoch increases at every cold start.
func (c *Controller) Epoch() uint64 { return c.epoch }

// ColdStarts returns the number of cold starts and suspected restarts by the cause.
func (c *Controller) ColdStarts(cause ColdCause) uint64 { return c.coldStarts[cause] }

// Phase returns the phase of the target. Down takes precedence over leaving, leaving over loading, and loading over the
// state of the ramp.
func (c *Controller) Phase() Phase {
	switch {
	case c.phase == PhaseDown:
		return PhaseDown
	case c.leaving:
		return PhaseLeaving
	case c.report.loading:
		return PhaseLoading
	case c.suspicion.active:
		return PhaseCold
	}
	return c.phase
}

// SetLeaving starts or ends the refusal of all new requests.
func (c *Controller) SetLeaving(leaving bool) { c.leaving = leaving }

// SetDeclaredLimits applies changed settings. A lower limit applies to new requests at once.
func (c *Controller) SetDeclaredLimits(coldInFlight, maxInFlight, completionsPerSlot int) {
	c.opts.ColdInFlight, c.opts.MaxInFlight, c.opts.CompletionsPerSlot = coldInFlight, maxInFlight, completionsPerSlot
	c.opts = c.opts.withDefaults()
	c.limit = min(c.limit, float64(c.provenCapacity()))
}
