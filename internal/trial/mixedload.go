package trial

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/egrethoist/egrethoist/internal/forecast"
	"github.com/egrethoist/egrethoist/internal/routing"
)

// Load of the experiment: long and short prompts on the same engines, about two thirds of what they can prefill beside their streams.
const (
	mixedDuration   = 60 * time.Second
	mixedWarmup     = 15 * time.Second
	mixedSlots      = 64
	mixedChunk      = 1024 // prompt tokens in one step of an engine
	mixedChunkTime  = 13 * time.Millisecond
	mixedStepTime   = 4 * time.Millisecond
	mixedStepEach   = 30 * time.Microsecond // for each running request
	mixedEvent      = 7                     // tokens in an event
	mixedGossip     = 100 * time.Millisecond
	mixedDelay      = time.Millisecond // one way
	mixedSlowed     = 2.5
	mixedSlowFor    = 300 * time.Millisecond
	mixedSlowEach   = 2 * time.Second
	mixedPrefillSec = 60_000 // tokens a second assumed at first
)

// mixedKind is a kind of request.
type mixedKind struct {
	perSec      float64 // for each engine
	read        int     // mean of the prompt tokens to prefill
	tokens      int     // median of the output tokens
	objective   time.Duration
	deadline    time.Duration
	urgency     int
	pauseAtMost time.Duration
}

var mixedKinds = [2]mixedKind{
	{perSec: 14, read: 1100, tokens: 21, objective: 450 * time.Millisecond, deadline: 3 * time.Second},
	{perSec: 3.3, read: 6000, tokens: 350, objective: time.Second, deadline: 12 * time.Second, urgency: 1, pauseAtMost: 450 * time.Millisecond},
}

type mixedRequest struct {
	kind           *mixedKind
	gateway        *mixedGateway
	engine         int
	read, left     int // prompt tokens, and those not prefilled yet
	tokens, sent   int // output tokens
	work           forecast.Work
	arrived, first time.Time
	lastEvent      time.Time
	longestPause   time.Duration
	ended          bool
}

type mixedEngine struct {
	id       int
	waiting  []*mixedRequest
	running  []*mixedRequest
	busy     bool
	slowdown float64
}

type mixedGateway struct {
	snap    *routing.Snapshot
	service *forecast.Service
	speeds  []forecast.Target
}

type mixedSim struct {
	*timeline
	rng      *rand.Rand
	router   *routing.Router
	outlook  bool
	gateways []*mixedGateway
	engines  []*mixedEngine
	sequence uint64
	result   MixedResult
	pauses   []time.Duration
	arrivals []int // by engine, since the last look at herding
}

// MixedResult is the outcome for one scorer. The shares are of the requests that arrived after the warm-up, short ones first.
type MixedResult struct {
	Scorer       string
	Requests     [2]int
	InObjective  [2]int
	Late         [2]int // not complete by their deadline
	CutBegun     int    // long streams that had begun and were cut by their deadline
	LongPauses   int    // long streams with a longer pause than allowed
	PauseP99     time.Duration
	LargestShare float64 // mean, over periods of 100 ms, of the largest share of arrivals that went to one engine, times the engines
}

func (r MixedResult) String() string {
	share := func(i int) float64 { return float64(r.InObjective[i]) / float64(max(r.Requests[i], 1)) }
	return fmt.Sprintf("%-12s short in objective %.3f of %d, long %.3f of %d, late %v, streams cut %d, pauses too long %d, longest pause p99 %v, largest share %.2f",
		r.Scorer, share(0), r.Requests[0], share(1), r.Requests[1], r.Late, r.CutBegun, r.LongPauses, r.PauseP99.Round(time.Millisecond), r.LargestShare)
}

// MixedLoad compares the scorer by the time to the first byte with the one by the whole answer.
func MixedLoad(seed uint64, gateways, engines int, load float64) [2]MixedResult {
	return [2]MixedResult{runMixedLoad(seed, gateways, engines, load, false), runMixedLoad(seed, gateways, engines, load, true)}
}

func runMixedLoad(seed uint64, gateways, engines int, load float64, whole bool) MixedResult {
	m := &mixedSim{
		timeline: newTimeline(), rng: rand.New(rand.NewPCG(seed, 1)), outlook: whole, arrivals: make([]int, engines),
		router: routing.New(routing.Options{Scorer: routing.NewTimeScorer(routing.ScorerOptions{WholeAnswer: whole})}),
	}
	m.result.Scorer = "first byte"
	if whole {
		m.result.Scorer = "whole answer"
	}
	for i := range engines {
		e := &mixedEngine{id: i, slowdown: 1}
		m.engines = append(m.engines, e)
		m.slowSometimes(e)
	}
	for range gateways {
		g := &mixedGateway{service: forecast.NewService(mixedPrefillSec), speeds: make([]forecast.Target, engines)}
		list := make([]routing.Candidate, engines)
		for i := range list {
			list[i] = routing.Candidate{Target: mixedName(i), Phase: routing.PhaseWarm, LinkAlive: true, Stats: new(routing.Stats)}
		}
		g.snap = routing.NewSnapshot("s", mixedSlots, list, nil)
		m.gateways = append(m.gateways, g)
	}
	m.every(mixedGossip, m.gossip)
	for i := range mixedKinds {
		m.poisson(m.rng, mixedKinds[i].perSec*float64(engines)*load, func() { m.arrive(&mixedKinds[i]) })
	}
	m.runFor(mixedDuration)
	m.result.PauseP99 = quantile(m.pauses, 0.99)
	m.result.LargestShare /= float64((mixedDuration - mixedWarmup) / mixedGossip)
	return m.result
}

func mixedName(i int) string { return fmt.Sprintf("e%03d", i) }

func (m *mixedSim) exponential(mean time.Duration) time.Duration {
	return time.Duration(m.rng.ExpFloat64() * float64(mean))
}

// slowSometimes slows the engine about 15 % of the time.
func (m *mixedSim) slowSometimes(e *mixedEngine) {
	m.after(m.exponential(mixedSlowEach), func() {
		e.slowdown = mixedSlowed
		m.after(m.exponential(mixedSlowFor), func() {
			e.slowdown = 1
			m.slowSometimes(e)
		})
	})
}

// gossip tells each gateway the prompts that the others have pending, and counts arrivals.
func (m *mixedSim) gossip() {
	for i := range m.engines {
		var sum [2]int
		for _, g := range m.gateways {
			for u := range sum {
				sum[u] += g.snap.Candidates()[i].Stats.OwnPendingTokens(u)
			}
		}
		for _, g := range m.gateways {
			stats, load := g.snap.Candidates()[i].Stats, &routing.PeerLoad{Scale: 1}
			for u := range sum {
				load.PendingTokens[u] = sum[u] - stats.OwnPendingTokens(u)
			}
			m.after(mixedDelay, func() {
				stats.SetPeerLoad(load)
				g.speeds[i].ObservePrefill(stats.PendingTokens(1) > 0, m.now)
			})
		}
	}
	largest, all := 0, 0
	for i, n := range m.arrivals {
		largest, all, m.arrivals[i] = max(largest, n), all+n, 0
	}
	if m.measured() && all > 0 {
		m.result.LargestShare += float64(largest) / float64(all) * float64(len(m.engines))
	}
}

func (m *mixedSim) measured() bool { return m.now.Sub(epoch) > mixedWarmup }

// mixedOutlook implements routing.Outlook.
type mixedOutlook struct {
	m  *mixedSim
	rq *mixedRequest
}

func (o mixedOutlook) Predict(target string, now time.Time) routing.AnswerOutlook {
	var i int
	_, _ = fmt.Sscanf(target, "e%d", &i)
	w := o.m.work(o.rq, i)
	p := o.rq.gateway.service.Predict(w)
	return routing.AnswerOutlook{Slowdown: w.Slowdown, Stream: p.Stream, StreamHigh: p.StreamHigh, FirstExtra: p.Unseen, MemoryShare: p.MemoryShare}
}

func (m *mixedSim) work(rq *mixedRequest, engine int) forecast.Work {
	g := rq.gateway
	w := forecast.Work{
		PromptTokens: rq.read, BacklogTokens: g.snap.Candidates()[engine].Stats.PendingTokens(rq.kind.urgency), Urgency: rq.kind.urgency,
		PrefillShare: g.speeds[engine].PrefillShare(m.now), HintedTokens: rq.kind.tokens,
	}
	w.Slowdown, _ = g.service.Slowdown(&g.speeds[engine], m.now)
	return w
}

func (m *mixedSim) arrive(kind *mixedKind) {
	rq := &mixedRequest{
		kind: kind, gateway: m.gateways[m.rng.IntN(len(m.gateways))], arrived: m.now,
		read: kind.read/4 + int(m.rng.ExpFloat64()*float64(kind.read)*3/4), tokens: mixedEvent + m.rng.IntN(2*kind.tokens),
	}
	rq.left = rq.read
	request := &routing.Request{PromptTokens: rq.read, Urgency: kind.urgency, PrefillRate: int(rq.gateway.service.PrefillRate()), Remaining: kind.deadline}
	if m.outlook {
		request.Outlook = mixedOutlook{m, rq}
	}
	choice, err := m.router.Pick(request, rq.gateway.snap, m.rng, m.now)
	if err != nil {
		panic(err)
	}
	_, _ = fmt.Sscanf(choice.Best().Candidate.Target, "e%d", &rq.engine)
	rq.work = m.work(rq, rq.engine)
	stats := rq.stats()
	stats.StartAt(m.now)
	stats.AddPendingTokens(kind.urgency, rq.read)
	rq.gateway.speeds[rq.engine].ObservePrefill(true, m.now)
	m.arrivals[rq.engine]++
	m.after(mixedDelay, func() {
		e := m.engines[rq.engine]
		e.waiting = append(e.waiting, rq)
		m.step(e)
	})
	m.after(kind.deadline, func() { m.expire(rq) })
	if m.measured() {
		m.result.Requests[rq.index()]++
	}
}

func (rq *mixedRequest) index() int { return rq.kind.urgency }

func (rq *mixedRequest) stats() *routing.Stats {
	return rq.gateway.snap.Candidates()[rq.engine].Stats
}
