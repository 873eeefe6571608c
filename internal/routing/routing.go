// Package routing chooses the target of one attempt. Filters drop candidates that must not be given the work,
// a scorer ranks the rest by the estimated time to the first byte, and a picker samples them so that several
// entries acting on the same lagging reports do not all choose the same target.
//
// The package has no I/O, clock or goroutines. A Snapshot is immutable and may be shared by any number of
// goroutines; only the Stats of a target change, and those are atomics.
package routing

import (
	"fmt"
	"strings"
	"time"
)

// Phase is the condition of a target as its sidecar reports it.
type Phase uint8

// Phases of a target. The zero value is a target that has not reported yet; it is treated as cold.
const (
	PhaseUnknown Phase = iota
	PhaseCold
	PhaseRamping
	PhaseWarm
	PhaseLoading // is loading weights; serves what it already holds
	PhaseLeaving
	PhaseDown
)

// Cause tells why a candidate was not eligible.
type Cause uint8

// Causes of ineligibility. CauseNone means eligible.
const (
	CauseNone        Cause = iota
	CauseOut               // the target or its failure domain is taken out by configuration
	CauseLeaving           // the target is stopping
	CauseDown              // the target does not answer its sidecar
	CauseLinkDown          // no live connection to the sidecar
	CauseVersion           // does not serve the wanted weight version
	CauseCold              // cold or ramping and already given what it bears
	CauseBackoff           // avoided for a while after failures
	CauseTried             // an earlier attempt of this request went there
	CauseIncarnation       // the wanted incarnation is gone
	CauseRegion            // outside the regions that may run the request
	CausePaused            // wants nothing from this instance for a while
	CauseLimited           // takes only so many requests a second, and grants none now
	numCauses
)

var causeNames = [numCauses]string{
	"eligible", "out", "leaving", "down", "link down", "weight version", "cold", "backoff", "tried", "incarnation", "region", "paused", "limited",
}

// String returns the name of the cause.
func (c Cause) String() string {
	if c >= numCauses {
		return "invalid"
	}
	return causeNames[c]
}

// Holding says how many leading tokens of the request's prompt a target holds in its prefix cache.
type Holding struct {
	Target string
	Tokens int
}

// PrefixIndex is what is known of the cached prefixes of one request's prompt. Implementations are bound to
// the request's workspace, weight version and block chain.
type PrefixIndex interface {
	// Holdings returns the targets known to hold leading tokens, longest first. Callers must not change it.
	Holdings() []Holding
	// Fetch returns what a store may deliver to the target.
	Fetch(target string) Fetch
}

// Fetch estimates the fetch of leading tokens from a store to one target. The zero Fetch: nothing worth fetching.
type Fetch struct {
	Tokens   int
	Transfer time.Duration // if they are there, with the wait for the link
	Miss     float64       // probability that the tokens turn out missing and must be computed
}

// Request describes the attempt to place.
type Request struct {
	Version      string      // weight version that must run it; empty accepts any
	PromptTokens int         // length of the prompt; zero for plain services
	Prefix       PrefixIndex // nil: nothing is known
	Tried        []string    // targets of earlier attempts of this request
	AvoidDomains []string    // failure domains of earlier attempts; chosen only if no other can
	Target       string      // if set, only this target may run it
	Incarnation  uint64      // if set, only this incarnation of Target may run it
	Regions      []string    // regions that may run it; empty allows all
	Urgency      int         // 0 is the most urgent
	PrefillRate  int         // tokens per second of the service's targets; zero takes each target's own
	LastResort   bool        // no other target can serve: one that has just said that it leaves may
}

// Cost is the estimated time to the first byte of an answer, by part.
type Cost struct {
	Queue    time.Duration // wait for a slot and slow-down by work beside it
	Prefill  time.Duration // computing the tokens that are not cached
	Fetch    time.Duration // moving cached blocks from a store to the target, and computing them if they are missing there
	Distance time.Duration // network, both ways
	Penalty  time.Duration // uncertainty of old reports and avoided failure domains
}

// Total returns the sum, by which candidates are ranked.
func (c Cost) Total() time.Duration { return c.Queue + c.Prefill + c.Fetch + c.Distance + c.Penalty }

// Scored is a candidate with its cost.
type Scored struct {
	Candidate    *Candidate
	Cost         Cost
	CachedTokens int // leading tokens held by the target itself
	FetchTokens  int // leading tokens worth fetching from a store; zero if none
}

// MaxRanked is the number of ranked candidates that a Choice keeps.
const MaxRanked = 4

// Choice is the outcome of a pick: the best candidate first, then its runners-up.
type Choice struct {
	ranked [MaxRanked]Scored
	n      int
}

// Best returns the chosen candidate.
func (c *Choice) Best() *Scored { return &c.ranked[0] }

// Ranked returns the chosen candidate and its runners-up, cheapest first.
func (c *Choice) Ranked() []Scored { return c.ranked[:c.n] }

// insert keeps the ranking sorted; of equal costs the one offered first stays ahead.
func (c *Choice) insert(s Scored) {
	total := s.Cost.Total()
	at := c.n
	for at > 0 && total < c.ranked[at-1].Cost.Total() {
		at--
	}
	if at == MaxRanked {
		return
	}
	if c.n < MaxRanked {
		c.n++
	}
	copy(c.ranked[at+1:c.n], c.ranked[at:c.n-1])
	c.ranked[at] = s
}

func (c *Choice) has(cand *Candidate) bool {
	for i := range c.ranked[:c.n] {
		if c.ranked[i].Candidate == cand {
			return true
		}
	}
	return false
}

// NoTargetError says that no candidate is eligible and why.
type NoTargetError struct {
	Service    string
	Candidates int
	Counts     [numCauses]int // candidates by the first cause that excluded them
	RetryAfter time.Duration  // when a candidate may become eligible; zero is not known
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

// Count returns how many candidates were excluded by cause.
func (e *NoTargetError) Count(cause Cause) int { return e.Counts[cause] }
