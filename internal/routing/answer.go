package routing

import (
	"cmp"
	"math"
	"time"
)

// Outlook predicts the whole answer of one request. Without one, a scorer ranks candidates by the time to the first byte alone.
type Outlook interface {
	// Predict returns the outlook at a target.
	Predict(target string, now time.Time) AnswerOutlook
}

// AnswerOutlook is what a request may expect of one target.
type AnswerOutlook struct {
	Slowdown   float64       // how many times as long as usual work takes at the target now; zero counts as 1
	Stream     time.Duration // from the first event to the last
	StreamHigh time.Duration // a high quantile of it
	// FirstExtra is the part of the time to the first event that the load reports do not show: prompts that arrive unseen.
	FirstExtra time.Duration
	// MemoryShare is the share of the estimated wait for cache memory that is real, at most 1.
	MemoryShare float64
}

// Weights of the parts of an answer against the time to its first event.
const (
	// defaultStreamWeight makes a second more of stream count as much as 200 ms until the first event: readers wait for the first
	// event and read along afterwards.
	defaultStreamWeight = 0.2
	// defaultExternalWeight is the weight of the time that the request's own prefill takes from each other request at the target.
	// It is small since the prefill delays others wherever it takes place: with 0.25, more streams were cut by their deadline.
	defaultExternalWeight = 0.05
)

// addAnswerCost scales the times at the target by its slowdown and adds the cost of the rest of the answer and of the delays that the
// request's own prefill causes others.
func (t *TimeScorer) addAnswerCost(s *ScoredCandidate, req *Request, v *statsView, now time.Time) {
	if !t.opts.WholeAnswer || req.Outlook == nil {
		return
	}
	o := req.Outlook.Predict(s.Candidate.Target, now)
	s.Cost.Queue -= scale(t.memoryWait(s.Candidate, req.Urgency, req.PromptTokens), 1-o.MemoryShare)
	if o.Slowdown > 0 {
		s.Cost.Queue = scale(s.Cost.Queue, o.Slowdown)
		s.Cost.Prefill = scale(s.Cost.Prefill, o.Slowdown)
	}
	s.Cost.Queue += o.FirstExtra
	s.Cost.External = scale(s.Cost.Prefill, t.opts.ExternalWeight*t.others(s.Candidate, v, now))
	s.Cost.Answer = scale(o.Stream, t.opts.StreamWeight)
	if req.Remaining > 0 {
		s.Cost.Answer += max(s.Cost.Queue+s.Cost.Prefill+s.Cost.Fetch+o.StreamHigh-req.Remaining, 0)
	}
}

// others estimates how many of the requests at the target a prompt would delay. An old report loses weight as its requests end.
func (t *TimeScorer) others(c *Candidate, v *statsView, now time.Time) float64 {
	reported := 0.0
	if v.hasReport {
		age := max(now.Sub(v.reportedAt), 0)
		reported = float64(v.reported) * math.Exp(-float64(age)/float64(cmp.Or(c.Stats.MeanRun(), t.opts.MeanRun)))
	}
	return max(reported, float64(v.ownInFlight))
}

func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}
