package admission

import (
	"cmp"
	"time"
)

// Phase is the state of a target on its way from a cold start to its full limit.
type Phase int

// Phases of a target.
const (
	PhaseDown    Phase = iota // not responding, or no response yet
	PhaseCold                 // responds; at the cold limit
	PhaseRamping              // limit rises with completed requests
	PhaseWarm                 // limit adapts to latency
	PhaseLoading              // loading weights; the limit does not rise
	PhaseLeaving              // admits no new requests
)

var phaseNames = [...]string{"down", "cold", "ramping", "warm", "loading", "leaving"}

// String returns the lower-case name of the phase.
func (p Phase) String() string { return phaseNames[p] }

// Refusal is the reason why a request was not admitted. RefusalNone means that it was admitted.
type Refusal int

// Reasons for a refusal.
const (
	RefusalNone     Refusal = iota
	RefusalDown             // the target is down, or has not responded yet
	RefusalLeaving          // the target is leaving
	RefusalCold             // the limit of a cold or ramping target is reached
	RefusalOverload         // the limit of a warm target is reached
	RefusalLoading          // the target has no weights loaded yet
)

// ColdCause is the reason why a target is treated as cold.
type ColdCause int

// Causes of a cold start.
const (
	ColdInitial        ColdCause = iota // the controller is new
	ColdReturned                        // the target was down
	ColdIncarnation                     // a load report has a new incarnation
	ColdCache                           // the prefix cache was emptied or its events restarted
	ColdThroughput                      // reported rates fell far below the best ones, or latency rose far above the baseline
	ColdOverload                        // the target refused several requests in a row as overloaded
	ColdVersion                         // new weights were loaded
	ColdConnectionLost                  // a connection to the target broke
	ColdIdle                            // it was idle for long enough to restart unnoticed
	numColdCauses
)

var coldCauseNames = [...]string{"start", "returned", "incarnation", "cache", "throughput", "overload", "version", "cut", "idle"}

// String returns the lower-case name of the cause.
func (c ColdCause) String() string { return coldCauseNames[c] }

// Outcome is the result of an admitted request at the target.
type Outcome int

// Outcomes of a request.
const (
	OutcomeCompleted      Outcome = iota // the complete response arrived
	OutcomeCancelled                     // the caller cancelled; no evidence about the target
	OutcomeFailed                        // the target responded with an error
	OutcomeOverload                      // the target refused it because it is overloaded
	OutcomeConnectionLost                // the connection broke before the end of the response
	OutcomeUnreachable                   // no connection could be made
)

// Sample is the measurement of one admitted request.
type Sample struct {
	Outcome  Outcome
	Latency  time.Duration // from dispatch to the end of the response
	Expected time.Duration // latency of the same request at an idle, warm target by its nominal rates; zero if unknown
}

// Options configure a Controller. ColdInFlight and MaxInFlight are at least 1; other zero fields take the defaults.
type Options struct {
	ColdInFlight            int           // in-flight limit of a cold target
	MaxInFlight             int           // declared in-flight limit of a warm target
	CompletionsPerSlot      int           // declared number of completions after which a cold target sustains one more request in flight
	GrowthFactor            float64       // growth of the limit per window while ramping
	LatencyTolerance        float64       // ratio of latency to baseline above which the limit is lowered
	MinDecrease             float64       // smallest factor by which one decrease lowers the limit
	ColdLatencyFactor       float64       // ratio of latency to baseline from which a target is treated as cold
	ColdRateFraction        float64       // fraction of its best reported rate below which a target is treated as cold
	MinSamples              int           // least number of latencies for a slowdown, and of completions in a window of a warm target
	ColdCacheFraction       float64       // fraction of the peak number of cached blocks below which the cache counts as emptied
	MaxConsecutiveOverloads int           // overload refusals in a row after which a target is treated as cold
	ReportLag               time.Duration // maximum age of a load report on arrival
	BaselineDrift           float64       // maximum factor by which the baseline grows per update, so that old low latencies expire
}

// warmupMargin is the factor by which a target may warm up more slowly than declared without being overloaded.
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
