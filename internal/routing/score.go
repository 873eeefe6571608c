package routing

import (
	"cmp"
	"math"
	"time"
)

// Scorer estimates the time to the first byte of a response by a candidate.
type Scorer interface {
	// Score returns the candidate with its cost. cachedTokens is the number of leading prompt tokens that the
	// target has cached.
	Score(req *Request, c *Candidate, cachedTokens int, pool PoolStats, now time.Time) ScoredCandidate
}

// PoolStats are figures about all candidates together.
type PoolStats struct {
	ColdLimit   int     // in-flight limit assumed for a target before its first report
	Utilization float64 // see Snapshot.Utilization
}

// ScorerOptions configure a TimeScorer. Zero fields take the defaults, except for StallTolerance.
type ScorerOptions struct {
	MeanRun           time.Duration // run time assumed before the first completed run
	PrefillRate       int           // tokens per second assumed if the rate is unknown
	Interference      float64       // fraction of a run by which a fully utilized target delays a new request beyond its queue wait
	FreshFor          time.Duration // age up to which a report has no penalty
	StaleCost         time.Duration // penalty if a report is at least twice FreshFor old, or missing; less in between
	AvoidedDomainCost time.Duration // penalty for a failure domain that the request should avoid
	StallTolerance    time.Duration // stall time (see Stats.StallTime) without a penalty; zero ignores stalls
	WholeAnswer       bool          // the cost includes the rest of the answer and delays of others, for requests with an Outlook
	StreamWeight      float64       // of the time from the first event to the last, with WholeAnswer
	ExternalWeight    float64       // of the time that the own prefill takes from each other request, with WholeAnswer
}

// Defaults of ScorerOptions.
const (
	defaultMeanRun           = time.Second
	defaultPrefillRate       = 8000 // tokens per second
	defaultInterference      = 0.25
	defaultFreshFor          = 3 * time.Second
	defaultStaleCost         = 50 * time.Millisecond
	defaultAvoidedDomainCost = 10 * time.Second
)

// TimeScorer is the default Scorer: it adds up queue wait, prefill or fetch, network round trip and penalties.
type TimeScorer struct{ opts ScorerOptions }

// NewTimeScorer returns a TimeScorer with the given options.
func NewTimeScorer(o ScorerOptions) *TimeScorer {
	o.MeanRun = cmp.Or(o.MeanRun, defaultMeanRun)
	o.PrefillRate = cmp.Or(o.PrefillRate, defaultPrefillRate)
	o.Interference = cmp.Or(o.Interference, defaultInterference)
	o.FreshFor = cmp.Or(o.FreshFor, defaultFreshFor)
	o.StaleCost = cmp.Or(o.StaleCost, defaultStaleCost)
	o.AvoidedDomainCost = cmp.Or(o.AvoidedDomainCost, defaultAvoidedDomainCost)
	o.StreamWeight = cmp.Or(o.StreamWeight, defaultStreamWeight)
	o.ExternalWeight = cmp.Or(o.ExternalWeight, defaultExternalWeight)
	return &TimeScorer{opts: o}
}

// Score implements Scorer.
func (t *TimeScorer) Score(req *Request, c *Candidate, cachedTokens int, pool PoolStats, now time.Time) ScoredCandidate {
	v := c.Stats.currentView(pool.ColdLimit)
	s := ScoredCandidate{Candidate: c, CachedTokens: min(cachedTokens, req.PromptTokens)}
	s.Cost.Queue = t.queueCost(c, &v, pool, now)
	s.Cost.Distance = 2 * c.OneWayDelay
	s.Cost.Penalty = t.penaltyCost(req, c, &v, now) + c.Penalty
	if t.opts.StallTolerance > 0 {
		s.Cost.Penalty += max(c.Stats.StallTime(now)-t.opts.StallTolerance, 0)
	}
	t.addPromptCost(&s, req)
	t.addAnswerCost(&s, req, &v, now)
	return s
}

// queueCost returns the reported queue wait, plus the wait caused by requests sent since the report that exceed the
// limit, plus the slowdown by concurrent requests. The weight of a report decays exponentially with the mean run
// time, as the requests it counted end: the expected backlog moves from the reported one to that of a target with
// average utilization.
func (t *TimeScorer) queueCost(c *Candidate, v *statsView, pool PoolStats, now time.Time) time.Duration {
	run := c.Stats.MeanRun()
	if run == 0 {
		run = t.opts.MeanRun
	}
	limit := float64(max(v.limit, 1))
	weight := 0.0
	if v.hasReport {
		weight = math.Exp(-float64(max(now.Sub(v.reportedAt), 0)) / float64(run))
	}
	expected := weight*float64(v.reported) + (1-weight)*pool.Utilization*limit
	backlog := max(expected+float64(v.sentSinceReport), float64(v.ownInFlight))
	wait := time.Duration(weight * float64(v.queueWait))
	if excess := min(float64(v.sentSinceReport+1), backlog+1-limit); excess > 0 {
		wait += time.Duration(float64(run) * excess / limit)
	}
	utilization := min(backlog/limit, 1)
	return wait + time.Duration(float64(run)*t.opts.Interference*utilization)
}

// addPromptCost adds the waits for cache memory and for pending prompts, and the cheaper of computing the tokens that
// the target has not cached and fetching them from a store first.
func (t *TimeScorer) addPromptCost(s *ScoredCandidate, req *Request) {
	if req.PromptTokens == 0 {
		return
	}
	rate := req.PrefillRate
	if rate <= 0 {
		rate = int(s.Candidate.Stats.prefillRate.Load())
	}
	if rate <= 0 {
		rate = t.opts.PrefillRate
	}
	s.Cost.Queue += t.memoryWait(s.Candidate, req.Urgency, req.PromptTokens)
	s.Cost.Queue += prefillTime(s.Candidate.Stats.PendingTokens(req.Urgency), rate)
	s.Cost.Prefill = prefillTime(req.PromptTokens-s.CachedTokens, rate)
	if req.Prefix == nil {
		return
	}
	f := req.Prefix.EstimateFetch(s.Candidate.Target)
	tokens := min(f.Tokens, req.PromptTokens)
	if tokens <= s.CachedTokens {
		return
	}
	remaining := prefillTime(req.PromptTokens-tokens, rate)
	recompute := time.Duration(f.MissProbability * float64(prefillTime(tokens-s.CachedTokens, rate)))
	if expected := f.Transfer + recompute; expected+remaining < s.Cost.Prefill {
		s.Cost.Fetch, s.Cost.Prefill, s.FetchTokens = expected, remaining, tokens
	}
}

// memoryWait estimates the wait until enough of the target's cache memory is free. Running requests of the same or a
// higher urgency hold it, and a target that runs out of it preempts requests.
func (t *TimeScorer) memoryWait(c *Candidate, urgency, tokens int) time.Duration {
	if c.CacheCapacity <= 0 {
		return 0
	}
	excess := float64(c.Stats.HeldTokens(urgency)+tokens)/float64(c.CacheCapacity) - 1
	if excess <= 0 {
		return 0
	}
	return time.Duration(excess * float64(cmp.Or(c.Stats.MeanRun(), t.opts.MeanRun)))
}

func prefillTime(tokens, rate int) time.Duration {
	return time.Duration(int64(tokens) * int64(time.Second) / int64(rate))
}

// penaltyCost returns the penalties for a failure domain to avoid and for a stale or missing report.
func (t *TimeScorer) penaltyCost(req *Request, c *Candidate, v *statsView, now time.Time) time.Duration {
	var p time.Duration
	if inAvoidedDomain(req, c) {
		p = t.opts.AvoidedDomainCost
	}
	if !v.hasReport {
		return p + t.opts.StaleCost
	}
	if age := now.Sub(v.reportedAt); age > t.opts.FreshFor {
		fraction := min(float64(age-t.opts.FreshFor)/float64(t.opts.FreshFor), 1)
		p += time.Duration(fraction * float64(t.opts.StaleCost))
	}
	return p
}
