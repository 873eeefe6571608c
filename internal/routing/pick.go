package routing

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Picker chooses a target for a request among the candidates of a snapshot.
type Picker interface {
	// Pick returns the eligible candidates it examined, ranked by cost, or a *NoTargetError if none is eligible.
	Pick(req *Request, snap *Snapshot, rng *rand.Rand, now time.Time) (Choice, error)
}

// Options configure a Router. Zero fields take the defaults.
type Options struct {
	// Samples is the number of random candidates examined per pick; a smaller pool is examined completely. The default
	// is half of the pool, but at least 2 and at most 4.
	Samples          int
	MaxPrefixHolders int // candidates with a cached prefix examined per pick
	Filters          Filters
	Scorer           Scorer
}

// Defaults of Options; minSamples and maxSamples bound the default of Samples.
const (
	minSamples              = 2
	maxSamples              = 4
	defaultMaxPrefixHolders = 8
)

// Router is the default Picker: it scores the targets with the longest cached prefixes and a random sample of all
// candidates. Gateways draw different samples, so a target that reports a low load attracts only some of the
// gateways that see the report. If none of them is eligible, or the best one is in a failure domain to avoid, the
// Router scans the pool until it has found enough eligible candidates or has examined all of them.
type Router struct {
	samples          int
	maxPrefixHolders int
	filters          Filters
	scorer           Scorer
}

// New returns a Router.
func New(o Options) *Router {
	o.MaxPrefixHolders = cmp.Or(o.MaxPrefixHolders, defaultMaxPrefixHolders)
	if o.Filters == nil {
		o.Filters = DefaultFilters()
	}
	if o.Scorer == nil {
		o.Scorer = NewTimeScorer(ScorerOptions{})
	}
	return &Router{samples: o.Samples, maxPrefixHolders: o.MaxPrefixHolders, filters: o.Filters, scorer: o.Scorer}
}

// Pick implements Picker. The caller must call Start on the chosen candidate's Stats before its next Pick, which
// otherwise does not count the request.
func (r *Router) Pick(req *Request, snap *Snapshot, rng *rand.Rand, now time.Time) (Choice, error) {
	s := search{router: r, req: req, snap: snap, poolStats: snap.poolStats(), now: now}
	if req.Target != "" {
		s.considerNamed()
	} else {
		s.considerPool(rng)
	}
	if s.choice.n == 0 {
		return s.choice, s.noTargetError()
	}
	return s.choice, nil
}

// search is the state of one pick.
type search struct {
	router    *Router
	req       *Request
	snap      *Snapshot
	poolStats PoolStats
	now       time.Time
	choice    Choice
}

// considerNamed considers the target that the request names.
func (s *search) considerNamed() {
	if c := s.snap.byTarget[s.req.Target]; c != nil {
		s.consider(c, cachedTokensAt(s.req, c.Target))
	}
}

// considerPool considers prefix holders and a sample of the pool that serves the requested version.
func (s *search) considerPool(rng *rand.Rand) {
	s.considerPrefixHolders()
	pool := s.snap.pools[s.req.Version]
	if len(pool) == 0 {
		return
	}
	samples := s.router.sampleSize(len(pool))
	if samples < len(pool) {
		s.considerSample(pool, samples, rng)
	} else {
		s.considerAll(pool, rng)
	}
	if s.choice.n == 0 || inAvoidedDomain(s.req, s.choice.Best().Candidate) {
		s.scan(pool, samples, rng)
	}
}

// sampleSize returns the number of random candidates to examine. The default is at most half of a small pool, since
// gateways that examine every candidate all choose the same one.
func (r *Router) sampleSize(pool int) int {
	if r.samples > 0 {
		return r.samples
	}
	return min(max((pool+1)/2, minSamples), maxSamples)
}

// inAvoidedDomain reports whether the candidate is in a failure domain that the request should avoid.
func inAvoidedDomain(req *Request, c *Candidate) bool {
	return len(req.AvoidDomains) > 0 && slices.Contains(req.AvoidDomains, c.FailureDomain)
}

// cachedTokensAt returns the number of leading prompt tokens cached at a target according to the prefix index.
func cachedTokensAt(req *Request, target string) int {
	if req.Prefix == nil {
		return 0
	}
	for _, h := range req.Prefix.CachedPrefixes() {
		if h.Target == target {
			return h.Tokens
		}
	}
	return 0
}

// consider adds a candidate to the ranking if it passes the filters and reports whether it was eligible.
func (s *search) consider(c *Candidate, cachedTokens int) bool {
	if s.choice.contains(c) {
		return true
	}
	if cause, _ := s.router.filters.Check(s.req, c, s.snap.coldLimit, s.now); cause != CauseNone {
		return false
	}
	s.choice.insert(s.router.scorer.Score(s.req, c, cachedTokens, s.poolStats, s.now))
	return true
}

// considerPrefixHolders considers the targets with the longest cached prefixes.
func (s *search) considerPrefixHolders() {
	if s.req.Prefix == nil {
		return
	}
	holdings := s.req.Prefix.CachedPrefixes()
	for _, h := range holdings[:min(len(holdings), s.router.maxPrefixHolders)] {
		if c := s.snap.byTarget[h.Target]; c != nil {
			s.consider(c, h.Tokens)
		}
	}
}

// considerSample draws candidates of the pool at random, samples times, and considers each.
func (s *search) considerSample(pool []*Candidate, samples int, rng *rand.Rand) {
	// Drawn with replacement: a repeated draw only makes the sample smaller.
	for range samples {
		c := pool[rng.IntN(len(pool))]
		s.snap.sampleUtilization(c)
		s.consider(c, cachedTokensAt(s.req, c.Target))
	}
}

// considerAll starts at a random candidate, so that gateways do not all choose the same one of equal cost.
func (s *search) considerAll(pool []*Candidate, rng *rand.Rand) {
	start := rng.IntN(len(pool))
	for i := range pool {
		c := pool[(start+i)%len(pool)]
		s.snap.sampleUtilization(c)
		s.consider(c, cachedTokensAt(s.req, c.Target))
	}
}

// scan considers the whole pool from a random start and stops once it has found want eligible candidates outside
// the failure domains to avoid.
func (s *search) scan(pool []*Candidate, want int, rng *rand.Rand) {
	start, found := rng.IntN(len(pool)), 0
	for i := range pool {
		c := pool[(start+i)%len(pool)]
		if s.consider(c, cachedTokensAt(s.req, c.Target)) && !inAvoidedDomain(s.req, c) {
			found++
		}
		if found >= want {
			return
		}
	}
}

// noTargetError counts the causes that exclude each candidate. It runs only when no candidate is eligible.
func (s *search) noTargetError() *NoTargetError {
	e := &NoTargetError{Service: s.snap.service}
	for i := range s.snap.candidates {
		c := &s.snap.candidates[i]
		if s.req.Target != "" && c.Target != s.req.Target {
			continue
		}
		e.Candidates++
		cause, wait := s.router.filters.Check(s.req, c, s.snap.coldLimit, s.now)
		e.Counts[cause]++
		if wait > 0 && (e.RetryAfter == 0 || wait < e.RetryAfter) {
			e.RetryAfter = wait
		}
	}
	return e
}
