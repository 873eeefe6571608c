// Package routing chooses the target for one attempt of a request. Filters drop ineligible candidates, a scorer
// ranks the rest by the estimated time to the first byte, and a picker samples them so that gateways acting on the
// same stale load reports do not all choose the same target.
//
// The package performs no I/O, reads no clock and starts no goroutines. A Snapshot is immutable and may be shared by
// any number of goroutines; only the Stats of a target change, and those are atomics.
package routing

import (
	"fmt"
	"strings"
	"time"
)

// Phase is the lifecycle state of a target as reported by its sidecar.
type Phase uint8

// Phases of a target. PhaseUnknown is a target without a report yet; it is treated as cold.
const (
	PhaseUnknown Phase = iota
	PhaseCold
	PhaseRamping
	PhaseWarm
	PhaseLoading // loading weights; still serves the versions already loaded
	PhaseLeaving
	PhaseDown
)

// Cause is the reason why a candidate is not eligible.
type Cause uint8

// Causes of ineligibility. CauseNone means eligible.
const (
	CauseNone        Cause = iota
	CauseDisabled          // Candidate.Disabled is set
	CauseLeaving           // the target is shutting down
	CauseDown              // the target does not respond to its sidecar
	CauseLinkDown          // no live connection to the sidecar
	CauseVersion           // does not serve the requested weight version
	CauseCold              // cold or ramping, and already at its limit
	CauseBackoff           // in backoff after failures
	CauseTried             // an earlier attempt of this request was sent to it
	CauseIncarnation       // the required incarnation has been replaced
	CauseRegion            // outside the regions allowed for the request
	CausePaused            // has asked this instance to pause
	CauseLimited           // its rate limit (requests per second) is used up
	CauseSoftware          // another version of its software than the request may run at
	CauseEnded             // its process has ended; another one may have started at the address
	numCauses
)

var causeNames = [numCauses]string{
	"eligible", "out", "leaving", "down", "link down", "weight version", "cold", "backoff", "tried", "incarnation", "region", "paused", "limited", "software version", "ended",
}

// String returns the name of the cause.
func (c Cause) String() string {
	if c >= numCauses {
		return "invalid"
	}
	return causeNames[c]
}

// CachedPrefix is the number of leading tokens of the request's prompt in the prefix cache of a target.
type CachedPrefix struct {
	Target string
	Tokens int
}

// PrefixIndex looks up which targets and stores have cached prefixes of one request's prompt. An implementation is
// bound to the request's workspace, weight version and chain of prompt blocks.
type PrefixIndex interface {
	// CachedPrefixes returns the targets known to cache leading tokens, longest prefix first. Callers must not
	// modify the slice.
	CachedPrefixes() []CachedPrefix
	// EstimateFetch estimates the fetch of leading tokens from a store to the target.
	EstimateFetch(target string) FetchEstimate
}

// FetchEstimate estimates the fetch of leading tokens from a store to one target. Its zero value means that there
// is nothing worth fetching.
type FetchEstimate struct {
	Tokens          int
	Transfer        time.Duration // time to fetch them if they are there, including the wait for the link
	MissProbability float64       // probability that the tokens are missing and must be recomputed
}

// Request describes the attempt to route.
type Request struct {
	Version       string        // required weight version; empty accepts any
	PromptTokens  int           // length of the prompt; zero for services without prompts
	Prefix        PrefixIndex   // nil if nothing is known about cached prefixes
	Tried         []string      // targets of earlier attempts of this request
	AvoidDomains  []string      // failure domains of earlier attempts; used only if no other target is eligible
	Target        string        // if set, the only target allowed
	Incarnation   uint64        // if set, the only incarnation of Target allowed
	Regions       []string      // allowed regions; empty allows all
	Urgency       int           // 0 is the most urgent
	PrefillRate   int           // prefill rate of the service's targets, tokens per second; zero uses each target's own
	Software      []string      // software versions at which the request may run; empty accepts any
	Streams       bool          // the answer is a stream that must not be continued by another process at the target's address unnoticed
	IgnoreBackoff bool          // no other target can serve the request, so a target in backoff may
	Outlook       Outlook       // predicts the whole answer; nil if only the time to the first byte matters
	Remaining     time.Duration // until the deadline of the whole answer, for Outlook; zero: none
	LastResort    bool          // no other target can serve the request, so a target that has recently announced its shutdown may
}

// Cost is the estimated time to the first byte of a response, by component, and what else of the response counts.
type Cost struct {
	Queue    time.Duration // wait for a slot, and slowdown by concurrent requests
	Prefill  time.Duration // computation of the tokens that are not cached
	Fetch    time.Duration // transfer of cached blocks from a store to the target, and recomputation if the store misses them
	Distance time.Duration // network round trip
	Answer   time.Duration // rest of the answer after its first byte, as far as it counts
	External time.Duration // delays of other requests by the computation of this prompt, as far as they count
	Penalty  time.Duration // stale reports, failure domains to avoid, stalls and the candidate's own penalty
}

// Total returns the sum of all components, by which candidates are ranked.
func (c Cost) Total() time.Duration {
	return c.Queue + c.Prefill + c.Fetch + c.Distance + c.Answer + c.External + c.Penalty
}

// ScoredCandidate is an eligible candidate with its cost.
type ScoredCandidate struct {
	Candidate    *Candidate
	Cost         Cost
	CachedTokens int // leading prompt tokens cached by the target itself
	FetchTokens  int // leading prompt tokens worth fetching from a store; zero if none
}

// MaxRanked is the number of ranked candidates that a Choice keeps.
const MaxRanked = 4

// Choice is the result of a pick: up to MaxRanked candidates, cheapest first.
type Choice struct {
	ranked [MaxRanked]ScoredCandidate
	n      int
}

// Best returns the cheapest candidate.
func (c *Choice) Best() *ScoredCandidate { return &c.ranked[0] }

// Ranked returns all candidates of the choice, cheapest first.
func (c *Choice) Ranked() []ScoredCandidate { return c.ranked[:c.n] }

// insert keeps the ranking sorted; among equal costs the one inserted first stays ahead.
func (c *Choice) insert(s ScoredCandidate) {
	total := s.Cost.Total()
	pos := c.n
	for pos > 0 && total < c.ranked[pos-1].Cost.Total() {
		pos--
	}
	if pos == MaxRanked {
		return
	}
	if c.n < MaxRanked {
		c.n++
	}
	copy(c.ranked[pos+1:c.n], c.ranked[pos:c.n-1])
	c.ranked[pos] = s
}

func (c *Choice) contains(cand *Candidate) bool {
	for i := range c.ranked[:c.n] {
		if c.ranked[i].Candidate == cand {
			return true
		}
	}
	return false
}

// NoTargetError is returned when no candidate is eligible. It counts the causes.
type NoTargetError struct {
	Service    string
	Candidates int
	Counts     [numCauses]int // excluded candidates, by the first cause
	RetryAfter time.Duration  // shortest known time until a candidate may become eligible; zero if unknown
}

func (e *NoTargetError) Error() string {
	var parts []string
	for cause := CauseNone + 1; cause < numCauses; cause++ {
		if n := e.Counts[cause]; n > 0 {
			parts = append(parts, fmt.Sprintf("%s: %d", cause, n))
		}
	}
	return fmt.Sprintf("service %s: none of %d targets is eligible (%s)", e.Service, e.Candidates, strings.Join(parts, ", "))
}

// Count returns the number of candidates excluded by the cause.
func (e *NoTargetError) Count(cause Cause) int { return e.Counts[cause] }
