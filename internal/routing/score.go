package routing

import (
	"cmp"
	"math"
	"time"
)

// Scorer estimates the time to the first byte of a request at a candidate.
type Scorer interface {
	// Score fills in the cost. held is the number of leading prompt tokens that the target holds.
	Score(req *Request, c *Candidate, held int, pool Pool, now time.Time) Scored
}

// Pool is what a pick knows of all candidates together.
type Pool struct {
	ColdLimit   int     // requests in flight that a target bears before its first report
	Utilization float64 // moving average of reported requests over limits, from the random samples of picks
}

// ScorerOptions tune TimeScorer. Zero fields take the defaults.
type ScorerOptions struct {
	MeanRun       time.Duration // run time assumed before the first finished run
	PrefillRate   int           // tokens per second assumed before the first report
	Interference  float64       // share of a run by which a full target slows a new request that needs no queue
	FreshFor      time.Duration // age up to which a report costs nothing
	StaleCost     time.Duration // added once a report is twice FreshFor old or missing
	AvoidedDomain time.Duration // added for a failure domain that the request should avoid
	SilentAfter   time.Duration // silence with attempts in flight that costs nothing; zero: silence is not looked at
}

// Defaults of ScorerOptions.
const (
	defaultMeanRun       = time.Second
	defaultPrefillRate   = 8000 // tokens per second
	defaultInterference  = 0.25
	defaultFreshFor      = 3 * time.Second
	defaultStaleCost     = 50 * time.Millisecond
	defaultAvoidedDomain = 10 * time.Second
)

// TimeScorer is the default scorer: queue wait, prefill or fetch, and distance, in time units.
type TimeScorer struct{ opts ScorerOptions }

// NewTimeScorer returns a scorer.
func NewTimeScorer(o ScorerOptions) *TimeScorer {
	o.MeanRun = cmp.Or(o.MeanRun, defaultMeanRun)
	o.PrefillRate = cmp.Or(o.PrefillRate, defaultPrefillRate)
	o.Interference = cmp.Or(o.Interference, defaultInterference)
	o.FreshFor = cmp.Or(o.FreshFor, defaultFreshFor)
	o.StaleCost = cmp.Or(o.StaleCost, defaultStaleCost)
	o.AvoidedDomain = cmp.Or(o.AvoidedDomain, defaultAvoidedDomain)
	return &TimeScorer{opts: o}
}

// Score implements Scorer.
func (t *TimeScorer) Score(req *Request, c *Candidate, held int, pool Pool, now time.Time) Scored {
	v := c.Stats.read(pool.ColdLimit)
	s := Scored{Candidate: c, CachedTokens: min(held, req.PromptTokens)}
	s.Cost.Queue = t.queue(c, &v, pool, now)
	s.Cost.Distance = 2 * c.Distance
	s.Cost.Penalty = t.penalty(req, c, &v, now) + c.Penalty
	if t.opts.SilentAfter > 0 {
		s.Cost.Penalty += max(c.Stats.Silence(now)-t.opts.SilentAfter, 0)
	}
	t.prompt(&s, req)
	return s
}

// queue is the reported wait, plus the share of what was sent since that does not fit below the limit, plus the
// slow-down by the work beside it. A report loses its weight as the work it saw ends: the expected backlog moves
// from the reported one to that of an average target.
func (t *TimeScorer) queue(c *Candidate, v *view, pool Pool, now time.Time) time.Duration {
	run := c.Stats.MeanRun()
	if run == 0 {
		run = t.opts.MeanRun
	}
	limit := float64(max(v.limit, 1))
	weight := 0.0
	if v.known {
		weight = math.Exp(-float64(max(now.Sub(v.at), 0)) / float64(run))
	}
	others := weight*float64(v.reported) + (1-weight)*pool.Utilization*limit
	backlog := max(others+float64(v.added), float64(v.own))
	wait := time.Duration(weight * float64(v.queueWait))
	if over := min(float64(v.added+1), backlog+1-limit); over > 0 {
		wait += time.Duration(float64(run) * over / limit)
	}
	busy := min(backlog/limit, 1)
	return wait + time.Duration(float64(run)*t.opts.Interference*busy)
}

// prompt adds the cheaper of computing what the target lacks and fetching it first.
func (t *TimeScorer) prompt(s *Scored, req *Request) {
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
	s.Cost.Queue += prefillTime(s.Candidate.Stats.Pending(req.Urgency), rate)
	s.Cost.Prefill = prefillTime(req.PromptTokens-s.CachedTokens, rate)
	if req.Prefix == nil {
		return
	}
	f := req.Prefix.Fetch(s.Candidate.Target)
	tokens := min(f.Tokens, req.PromptTokens)
	if tokens <= s.CachedTokens {
		return
	}
	rest := prefillTime(req.PromptTokens-tokens, rate)
	missing := time.Duration(f.Miss * float64(prefillTime(tokens-s.CachedTokens, rate)))
	if expected := f.Transfer + missing; expected+rest < s.Cost.Prefill {
		s.Cost.Fetch, s.Cost.Prefill, s.FetchTokens = expected, rest, tokens
	}
}

// memoryWait estimates the wait until enough of the target's cache memory is free: requests that run and are as urgent hold
// it, and beyond it the target puts requests back.
func (t *TimeScorer) memoryWait(c *Candidate, urgency, tokens int) time.Duration {
	if c.Memory <= 0 {
		return 0
	}
	over := float64(c.Stats.Held(urgency)+tokens)/float64(c.Memory) - 1
	if over <= 0 {
		return 0
	}
	return time.Duration(over * float64(cmp.Or(c.Stats.MeanRun(), t.opts.MeanRun)))
}

func prefillTime(tokens, rate int) time.Duration {
	return time.Duration(int64(tokens) * int64(time.Second) / int64(rate))
}

func (t *TimeScorer) penalty(req *Request, c *Candidate, v *view, now time.Time) time.Duration {
	var p time.Duration
	if avoided(req, c) {
		p = t.opts.AvoidedDomain
	}
	if !v.known {
		return p + t.opts.StaleCost
	}
	if age := now.Sub(v.at); age > t.opts.FreshFor {
		share := min(float64(age-t.opts.FreshFor)/float64(t.opts.FreshFor), 1)
		p += time.Duration(share * float64(t.opts.StaleCost))
	}
	return p
}
