package routing

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Parameters of the herd simulation: gateways share a set of targets and learn of each other's requests only from
// delayed load reports.
const (
	herdGateways    = 12
	herdTargets     = 30
	herdLimit       = 8 // in-flight limit of a target
	herdMeanRun     = 200 * time.Millisecond
	herdDelay       = time.Millisecond // one way, of requests and reports
	herdUtilization = 0.85             // offered load / capacity of all targets
	herdDuration    = 40 * time.Second
)

// chooseFunc returns the index of the target that the gateway sends a request to.
type chooseFunc func(g *herdGateway, now time.Time, r *rand.Rand) int

type herdGateway struct{ snap *Snapshot }

type herdTarget struct {
	running  int
	queue    []time.Time // arrival times
	queuedBy []int       // index of the gateway that sent each queued request
	sequence uint64
}

type event struct {
	at    time.Time
	run   func()
	order uint64
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

type herdSimulation struct {
	now          time.Time
	queue        eventQueue
	scheduled    uint64
	rng          *rand.Rand
	gateways     []*herdGateway
	targets      []*herdTarget
	waits        []time.Duration
	longestQueue int
	choose       chooseFunc
	period       time.Duration // between load reports
}

func (h *herdSimulation) schedule(d time.Duration, run func()) {
	h.scheduled++
	heap.Push(&h.queue, event{at: h.now.Add(d), run: run, order: h.scheduled})
}

func (h *herdSimulation) expDuration(mean time.Duration) time.Duration {
	return time.Duration(h.rng.ExpFloat64() * float64(mean))
}

func (h *herdSimulation) load(t int) Load {
	s := h.targets[t]
	s.sequence++
	wait := time.Duration(len(s.queue)) * herdMeanRun / herdLimit
	return Load{Incarnation: 1, Sequence: s.sequence, Limit: herdLimit, InFlight: s.running, Queued: len(s.queue), QueueWait: wait}
}

func (h *herdSimulation) report(t int) {
	l := h.load(t)
	h.schedule(herdDelay, func() {
		l.ReceivedAt = h.now
		for _, g := range h.gateways {
			g.snap.candidates[t].Stats.Report(l)
		}
	})
	h.schedule(h.period, func() { h.report(t) })
}

func (h *herdSimulation) arrive() {
	interval := time.Duration(herdMeanRun.Seconds() / (herdTargets * herdLimit * herdUtilization) * float64(time.Second))
	h.schedule(h.expDuration(interval), h.arrive)
	from := h.rng.IntN(herdGateways)
	g := h.gateways[from]
	t := h.choose(g, h.now, h.rng)
	g.snap.candidates[t].Stats.Start()
	h.schedule(herdDelay, func() {
		s := h.targets[t]
		s.queue, s.queuedBy = append(s.queue, h.now), append(s.queuedBy, from)
		h.dispatch(t)
		h.longestQueue = max(h.longestQueue, len(s.queue))
	})
}

func (h *herdSimulation) dispatch(t int) {
	s := h.targets[t]
	for s.running < herdLimit && len(s.queue) > 0 {
		arrived, from := s.queue[0], s.queuedBy[0]
		s.queue, s.queuedBy = s.queue[1:], s.queuedBy[1:]
		s.running++
		h.waits = append(h.waits, h.now.Sub(arrived))
		run := h.expDuration(herdMeanRun)
		h.schedule(run, func() {
			s.running--
			h.dispatch(t)
			l := h.load(t)
			h.schedule(herdDelay, func() {
				stats := h.gateways[from].snap.candidates[t].Stats
				stats.Finish(run)
				l.ReceivedAt = h.now
				stats.Report(l) // the response carries a load report
			})
		})
	}
}

// runHerd runs the simulation and returns the 50th and 99th percentile of the queue wait and the longest queue.
func runHerd(choose chooseFunc, period time.Duration) (p50, p99 time.Duration, longest int) {
	h := &herdSimulation{now: epoch, rng: rand.New(rand.NewPCG(7, 7)), choose: choose, period: period}
	for range herdGateways {
		list := warmCandidates(herdTargets)
		for i := range list {
			list[i].Stats = new(Stats)
		}
		h.gateways = append(h.gateways, &herdGateway{snap: NewSnapshot("s", herdLimit, list, nil)})
	}
	for t := range herdTargets {
		h.targets = append(h.targets, &herdTarget{})
		h.schedule(h.expDuration(period), func() { h.report(t) })
	}
	h.arrive()
	for end := epoch.Add(herdDuration); h.now.Before(end); {
		next := heap.Pop(&h.queue).(event)
		h.now = next.at
		next.run()
	}
	slices.Sort(h.waits)
	return h.waits[len(h.waits)/2], h.waits[len(h.waits)*99/100], h.longestQueue
}

func randomChoice(_ *herdGateway, _ time.Time, r *rand.Rand) int { return r.IntN(herdTargets) }

// leastReported chooses the target with the lowest reported load, as a router does that does not count its own
// requests.
func leastReported(g *herdGateway, _ time.Time, r *rand.Rand) int {
	best, least := 0, 1<<30
	start := r.IntN(herdTargets)
	for i := range herdTargets {
		t := (start + i) % herdTargets
		load := 0
		if l := g.snap.candidates[t].Stats.load.Load(); l != nil {
			load = l.InFlight + l.Queued
		}
		if load < least {
			best, least = t, load
		}
	}
	return best
}

// pickWithSamples picks with a Router of the given sample size; zero takes the default.
func pickWithSamples(samples int) chooseFunc {
	return pickWith(New(Options{Samples: samples}))
}

func pickWith(router *Router) chooseFunc {
	return func(g *herdGateway, now time.Time, r *rand.Rand) int {
		choice, err := router.Pick(&Request{}, g.snap, r, now)
		if err != nil {
			return r.IntN(herdTargets)
		}
		chosen := choice.Best().Candidate
		return slices.IndexFunc(g.snap.candidates, func(c Candidate) bool { return c.Target == chosen.Target })
	}
}

// TestHerd guards against herding: under delayed load reports, gateways that all choose the least loaded target overload
// it. The router's wait at the 99th percentile must be lower than with random choice and with least reported load.
func TestHerd(t *testing.T) {
	_, router, _ := runHerd(pickWithSamples(0), time.Second)
	_, random, _ := runHerd(randomChoice, time.Second)
	_, least, _ := runHerd(leastReported, time.Second)
	if router >= random || router >= least {
		t.Errorf("wait at the 99th percentile: router %v, random %v, least reported load %v", router, random, least)
	}
}

// BenchmarkHerd reports the queue waits of each policy for several report periods.
func BenchmarkHerd(b *testing.B) {
	policies := []struct {
		name   string
		choose chooseFunc
	}{
		{"random", randomChoice}, {"least-reported", leastReported}, {"router-2", pickWithSamples(2)}, {"router-4", pickWithSamples(4)},
		{"router-8", pickWithSamples(8)}, {"router-all", pickWithSamples(herdTargets)}, {"router-default", pickWithSamples(0)},
	}
	for _, period := range []time.Duration{100 * time.Millisecond, time.Second, 4 * time.Second} {
		for _, p := range policies {
			b.Run("period="+period.String()+"/"+p.name, func(b *testing.B) {
				p50, p99, longest := runHerd(p.choose, period)
				b.ReportMetric(p50.Seconds()*1000, "p50-ms")
				b.ReportMetric(p99.Seconds()*1000, "p99-ms")
				b.ReportMetric(float64(longest), "longest-queue")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}
