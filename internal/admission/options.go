package admission

import (
	"cmp"
	"time"
)

// Phase tells how far a target has proved what it bears.
type Phase int

// Phases of a target.
const (
	PhaseDown    Phase = iota // not answering, or not yet heard of
	PhaseCold                 // answers; nothing proved
	PhaseRamping              // limit rises with completed work
	PhaseWarm                 // limit adapts to latency
	PhaseLoading              // loads weights; the limit does not rise
	PhaseLeaving              // takes no new work
)

var phaseNames = [...]string{"down", "cold", "ramping", "warm", "loading", "leaving"}

// String returns the lower-case name of the phase.
func (p Phase) String() string { return phaseNames[p] }

// Refusal tells why a request was not admitted. RefusalNone means that it was.
type Refusal int

// Causes of refusal.
const (
	RefusalNone     Refusal = iota
	RefusalDown             // the target is not known to answer
	RefusalLeaving          // the target takes no new work
	RefusalCold             // the limit of a cold or ramping target is reached
	RefusalOverload         // the limit is reached
	RefusalLoading          // the target holds no weights yet
)

// ColdCause tells why a target was taken to be cold.
type ColdCause int

// Causes of a cold start.
const (
	ColdInitial        ColdCause = iota // the controller is new
	ColdReturned                        // the target answers again after it was down
	ColdIncarnation                     // the load report names a new incarnation
	ColdCache                           // the prefix cache was emptied or its events restarted
	ColdThroughput                      // rates fell far below expectation
	ColdOverload                        // the target refused work repeatedly
	ColdVersion                         // new weights were loaded
	ColdConnectionLost                  // connections to the target broke
	ColdIdle                            // it was idle for long enough to restart unseen
	numColdCauses
)

var coldCauseNames = [...]string{"start", "returned", "incarnation", "cache", "throughput", "overload", "version", "cut", "idle"}

// String returns the lower-case name of the cause.
func (c ColdCause) String() string { return coldCauseNames[c] }

// Outcome tells how an admitted request ended at the target.
type Outcome int

// Outcomes of a request.
const (
	OutcomeCompleted      Outcome = iota // the whole answer arrived
	OutcomeCancelled                     // the caller gave up; says nothing about the target
	OutcomeFailed                        // the target answered with an error of its own
	OutcomeOverload                      // the target refused it as overloaded
	OutcomeConnectionLost                // the connection broke before the end
	OutcomeUnreachable                   // no connection could be made
)

// Sample is what one admitted request showed.
type Sample struct {
	Outcome  Outcome
	Latency  time.Duration // from dispatch to the end of the answer
	Expected time.Duration // latency of the same work at an unloaded, warm target by its nominal rates; zero if unknown
}

// Options of a Controller. Zero values take the defaults of the package.
type Options struct {
	ColdInFlight            int           // requests in flight that a cold target bears
	MaxInFlight             int           // declared upper bound
	CompletionsPerSlot      int           // completed requests after which a cold target is declared to bear one more
	GrowthFactor            float64       // factor of one ramp step
	LatencyTolerance        float64       // latency over baseline that is no sign of queueing
	MinDecrease             float64       // smallest factor of one decrease
	ColdLatencyFactor       float64       // latency over baseline that shows a cold target
	ColdRateFraction        float64       // share of its best reported rate below which a target is cold
	MinSamples              int           // least latencies to judge by, and least completions between two changes when warm
	ColdCacheFraction       float64       // share of cached blocks below which the cache was emptied
	MaxConsecutiveOverloads int           // overload refusals in a row that show a cold target
	ReportLag               time.Duration // longest age of a load report when it arrives
	BaselineDrift           float64       // growth of the baseline per window, so that it forgets
}

// warmMargin is how many times slower than declared a target may warm and still never get more than it bears.
const warmupMargin = 4

// Defaults of Options.
const (
	defaultCompletionsPerSlot      = 4
	defaultGrowthFactor            = 1.5
	defaultLatencyTolerance        = 1.5
	defaultMinDecrease             = 0.7
	defaultColdLatencyFactor       = 4.0
	defaultColdRateFraction        = 0.3
	defaultMinSamples              = 8
	defaultColdCacheFraction       = 0.25
	defaultMaxConsecutiveOverloads = 3
	defaultReportLag               = 2 * time.Second
	defaultBaselineDrift           = 1.01
)

func (o Options) withDefaults() Options {
	o.ColdInFlight = max(o.ColdInFlight, 1)
	o.MaxInFlight = max(o.MaxInFlight, 1)
	o.ColdInFlight = min(o.ColdInFlight, o.MaxInFlight)
	o.CompletionsPerSlot = cmp.Or(o.CompletionsPerSlot, defaultCompletionsPerSlot)
	o.GrowthFactor = cmp.Or(o.GrowthFactor, defaultGrowthFactor)
	o.LatencyTolerance = cmp.Or(o.LatencyTolerance, defaultLatencyTolerance)
	o.MinDecrease = cmp.Or(o.MinDecrease, defaultMinDecrease)
	o.ColdLatencyFactor = cmp.Or(o.ColdLatencyFactor, defaultColdLatencyFactor)
	o.ColdRateFraction = cmp.Or(o.ColdRateFraction, defaultColdRateFraction)
	o.ColdCacheFraction = cmp.Or(o.ColdCacheFraction, defaultColdCacheFraction)
	o.BaselineDrift = cmp.Or(o.BaselineDrift, defaultBaselineDrift)
	o.MinSamples = cmp.Or(o.MinSamples, defaultMinSamples)
	o.MaxConsecutiveOverloads = cmp.Or(o.MaxConsecutiveOverloads, defaultMaxConsecutiveOverloads)
	o.ReportLag = cmp.Or(o.ReportLag, defaultReportLag)
	return o
}
