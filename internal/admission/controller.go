// Package admission owns the limit of requests in flight at one target. The sidecar beside the target holds
// the only Controller of it, so that several entries never add up to an overload.
//
// A target starts cold, and is taken to be cold again at every sign of a restart. The limit rises with
// completed work only, never with time, and falls multiplicatively when latency shows queueing.
package admission

import (
	"math"
	"time"
)

// Controller decides how much one target is given. It is not safe for concurrent use: the owner calls it
// and its queue under one lock. Time must not go back by more than the lag of a load report.
type Controller struct {
	opts            Options
	limit           float64
	epoch           uint64 // grows at every cold start; work of earlier epochs proves nothing
	limitGeneration uint64 // grows at every change of the limit
	phase           Phase  // PhaseDown, PhaseCold, PhaseRamping or PhaseWarm
	leaving         bool

	inFlight      int
	idleSince     time.Time // the last release
	external      int       // requests at the target that this controller did not admit
	inFlightPeaks peakHistory
	cancelled     cancelledRuns

	provenCompletions    int // completions since the cold start, of windows that filled the limit
	window               window
	latencies            latencySum
	baseline             float64 // latency over expectation without queueing; zero if unknown
	consecutiveOverloads int     // overload refusals in a row

	suspicion  restartSuspicion
	report     reportState
	coldStarts [numColdCauses]uint64
}

// window collects the completions since the last change of the limit.
type window struct {
	atCurrentLimit int // admitted under the limit of now
	sinceColdStart int // admitted since the cold start
	peakOccupancy  int // largest occupancy
}

// timing collects latencies until there are enough to judge by; it may span several short windows.
type latencySum struct {
	count    int     // completions with an expectation
	ratioSum float64 // sum of latency over expectation
}

// suspicion holds the limit down after a broken connection or an idle time until the target shows its incarnation.
type restartSuspicion struct {
	active bool
	since  time.Time
}

// Ticket is proof of admission. It must be released exactly once.
type Ticket struct {
	epoch           uint64
	limitGeneration uint64
}

// New returns the controller of a target that nothing is known about: it is down until Answers or
// ObserveLoad shows otherwise, and cold then.
func New(opts Options) *Controller {
	c := &Controller{opts: opts.withDefaults()}
	c.resetToCold(ColdInitial)
	c.phase = PhaseDown
	return c
}

// Admit takes one request in, or tells why not. A refused request never reached the target.
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

// Release ends an admitted request. The shell sets Outcome truthfully: only OutcomeDone raises the limit.
func (c *Controller) Release(now time.Time, t Ticket, s Sample) {
	c.inFlightPeaks.add(now, c.inFlight, c.opts.ReportLag)
	c.inFlight--
	c.idleSince = now
	c.cancelled.expire(now)
	if c.report.received && (s.Outcome == OutcomeCancelled || s.Outcome == OutcomeConnectionLost) {
		c.cancelled.add(now) // reports arrive on a period, so that the place is free again soon
	}
	if t.epoch != c.epoch {
		return // admitted before the cold start: it says nothing about the target of now
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

// completed counts proof. Work admitted at an earlier step ran under another limit and is left out.
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

func (c *Controller) windowSize() int {
	if c.phase == PhaseWarm {
		return max(c.opts.MinSamples, c.Limit())
	}
	return 2 * c.Limit()
}

// endWindow changes the limit once per window, by what its completions showed.
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

// slowdown returns latency over the baseline and moves the baseline: down at once, up slowly. It is 1 while
// there are too few latencies.
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

// mayRise holds the limit where its window never filled it: an unused limit proves nothing.
func (c *Controller) mayIncrease(w window) bool {
	if c.suspicion.active || c.report.loading || c.report.waiting > 0 {
		return false
	}
	return 4*w.peakOccupancy >= 3*c.Limit()
}

func (c *Controller) increase(w window) {
	c.provenCompletions += w.sinceColdStart
	next := c.limit + math.Sqrt(c.limit)/2
	if c.phase != PhaseWarm {
		c.phase = PhaseRamping
		next = max(c.limit+1, float64(min(w.peakOccupancy, c.Limit()))*c.opts.GrowthFactor)
	}
	next = min(next, float64(c.provenCapacity()))
	if next <= c.limit {
		c.startWindow() // completions under this limit go on counting
		return
	}
	c.limit = next
	if c.Limit() == c.opts.MaxInFlight {
		c.phase = PhaseWarm
	}
	c.startLimitGeneration()
}

// proved is what the target bears by the work it completed, if it warms warmMargin times slower than declared. Latency
// shows an excess only after it was given, so that it can lower the limit but not justify a higher one.
func (c *Controller) provenCapacity() int {
	return min(c.opts.MaxInFlight, c.opts.ColdInFlight+c.provenCompletions/(warmupMargin*c.opts.CompletionsPerSlot))
}

func (c *Controller) decrease(factor float64) {
	c.limit = max(1, c.limit*factor)
	if c.phase == PhaseRamping {
		c.phase = PhaseWarm // the ramp has found the knee
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

// occupancy counts all that may run at the target. A target that proved its bound bears a run more
// for the moment it takes to end.
func (c *Controller) occupancy() int {
	if c.provenCapacity() == c.opts.MaxInFlight && !c.suspicion.active {
		return c.inFlight + c.external
	}
	return c.inFlight + c.external + c.cancelled.count()
}

// Limit is the number of requests that may be at the target now.
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

// Room is the number of requests that Admit takes in now.
func (c *Controller) FreeSlots() int {
	if c.leaving {
		return 0
	}
	return max(0, c.Limit()-c.occupancy())
}

// InFlight is the number of admitted requests that are not released.
func (c *Controller) InFlight() int { return c.inFlight }

// Doubted reports whether the limit is held down until a load report shows the target's incarnation.
func (c *Controller) RestartSuspected() bool { return c.suspicion.active }

// Foreign is the number of requests at the target that another process gave it, by the last report.
func (c *Controller) ExternalInFlight() int { return c.external }

// Epoch grows at every cold start.
func (c *Controller) Epoch() uint64 { return c.epoch }

// ColdStarts counts the cold starts by cause.
func (c *Controller) ColdStarts(cause ColdCause) uint64 { return c.coldStarts[cause] }

// Phase tells where the target stands. Leaving goes before loading, and loading before the ramp.
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

// SetLeaving starts or ends the refusal of all new work.
func (c *Controller) SetLeaving(leaving bool) { c.leaving = leaving }

// SetBounds takes changed declarations. A lower bound holds for new work at once.
func (c *Controller) SetDeclaredLimits(coldInFlight, maxInFlight, completionsPerSlot int) {
	c.opts.ColdInFlight, c.opts.MaxInFlight, c.opts.CompletionsPerSlot = coldInFlight, maxInFlight, completionsPerSlot
	c.opts = c.opts.withDefaults()
	c.limit = min(c.limit, float64(c.provenCapacity()))
}
