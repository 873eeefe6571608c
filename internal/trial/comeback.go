package trial

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/egrethoist/egrethoist/internal/admission"
	"github.com/egrethoist/egrethoist/internal/engine"
	"github.com/egrethoist/egrethoist/internal/membership"
	"github.com/egrethoist/egrethoist/internal/world"
)

// Constants of the comeback trial: one of three failure domains is taken out and comes back cold.
const (
	comebackTargets = 12
	comebackDomains = 3
	comebackEntries = 3
	comebackPerSec  = 250.0
	comebackLeaves  = 30 * time.Second
	comebackReturns = 60 * time.Second
	comebackSpan    = 120 * time.Second
	comebackTold    = time.Second // until the last entry knows of a change
	comebackRetry   = 50 * time.Millisecond
)

// ComebackResult is what one policy did.
type ComebackResult struct {
	Policy     string
	Refused    int // attempts that the sidecars refused after the return
	NewWorkOut int // requests begun in the domain later than 3 s after it was taken out
	Done       int
	TimeP95    time.Duration // from arrival to end, of requests in the 20 s after the return
}

// String formats the result as one line.
func (r ComebackResult) String() string {
	return fmt.Sprintf("%-9s done %5d  refused after the return %6d  new work while out %4d  time p95 %v",
		r.Policy, r.Done, r.Refused, r.NewWorkOut, r.TimeP95.Round(time.Millisecond))
}

// Comeback runs entries that ramp a returned target, and entries that give it its share at once. The sidecars
// admit by the same controller in both.
func Comeback(seed uint64) []ComebackResult {
	return []ComebackResult{runComeback("ramped", true, seed), runComeback("at once", false, seed)}
}

type comeback struct {
	*timeline
	rng     *rand.Rand
	ramped  bool
	servers []*comebackServer
	entries []*comebackEntry
	taken   time.Time // when the domain was taken out; zero while it is in
	result  ComebackResult
	times   []time.Duration
}

type comebackServer struct {
	name   string
	first  bool // of the domain that leaves
	ctl    *admission.Controller
	starts int
}

type comebackEntry struct {
	view     *membership.View
	inFlight map[string]int
}

func runComeback(name string, ramped bool, seed uint64) ComebackResult {
	c := &comeback{timeline: newTimeline(), rng: rand.New(rand.NewPCG(seed, 5)), ramped: ramped}
	c.result.Policy = name
	for i := range comebackTargets {
		s := &comebackServer{name: fmt.Sprint("t", i), first: i%comebackDomains == 0, ctl: admission.New(coldOptions)}
		c.servers = append(c.servers, s)
		c.restart(s)
	}
	for range comebackEntries {
		c.entries = append(c.entries, &comebackEntry{membership.New(membership.Options{RampLimit: warmBears}), map[string]int{}})
	}
	c.tell(false)
	for _, e := range c.entries {
		for _, s := range c.servers {
			e.view.SetConnected(s.name, true, c.now)
		}
	}
	c.poisson(c.rng, comebackPerSec, func() { c.route(c.entries[c.rng.IntN(comebackEntries)], c.now) })
	c.after(comebackLeaves, func() { c.taken = c.now; c.tellLate(true) })
	c.after(comebackReturns, func() { c.taken = time.Time{}; c.restartDomain(); c.tellLate(false) })
	c.runFor(comebackSpan)
	c.result.TimeP95 = quantile(c.times, 0.95)
	return c.result
}

func (c *comeback) restart(s *comebackServer) {
	s.starts++
	s.ctl.ObserveLoad(engine.LoadReport{Incarnation: fmt.Sprint(s.starts), Versions: []string{"v"}}, c.now)
}

func (c *comeback) restartDomain() {
	for _, s := range c.servers {
		if s.first {
			c.restart(s)
		}
	}
}

func (c *comeback) world(drained bool) *world.World {
	w := &world.World{FailureDomains: map[string]*world.FailureDomain{}, Targets: map[string]*world.Target{}}
	for i := range comebackDomains {
		name := fmt.Sprint("d", i)
		w.FailureDomains[name] = &world.FailureDomain{Name: name, Drained: drained && i == 0}
	}
	for i, s := range c.servers {
		w.Targets[s.name] = &world.Target{Name: s.name, FailureDomain: fmt.Sprint("d", i%comebackDomains)}
	}
	return w
}

func (c *comeback) tell(drained bool) {
	for _, e := range c.entries {
		e.view.SetWorld(c.world(drained), c.now)
	}
}

// tellLate lets each entry learn of a change at another time, the last after comebackTold.
func (c *comeback) tellLate(drained bool) {
	for i, e := range c.entries {
		late := comebackTold * time.Duration(i+1) / comebackEntries
		c.after(late, func() { e.view.SetWorld(c.world(drained), c.now) })
	}
}

// route gives the request to the target with the least in flight from this entry, and to the next when refused.
// When all have refused it waits.
func (c *comeback) route(e *comebackEntry, arrived time.Time) {
	if c.now.Sub(arrived) > waitLimit {
		return
	}
	tried := map[*comebackServer]bool{}
	for s, ramp := c.pick(e, tried); s != nil; s, ramp = c.pick(e, tried) {
		tried[s] = true
		ticket, refusal := s.ctl.Admit(c.now)
		if refusal == admission.RefusalNone {
			c.begin(e, s, ramp, ticket, arrived)
			return
		}
		ramp.ReleaseRefused()
		if c.now.Sub(epoch) > comebackReturns {
			c.result.Refused++
		}
	}
	c.after(comebackRetry, func() { c.route(e, arrived) })
}

func (c *comeback) begin(e *comebackEntry, s *comebackServer, ramp *membership.Ramp, ticket admission.Ticket, arrived time.Time) {
	if s.first && !c.taken.IsZero() && c.now.Sub(c.taken) > 3*time.Second {
		c.result.NewWorkOut++
	}
	e.inFlight[s.name]++
	took := time.Duration(float64(serviceTime) * (0.5 + c.rng.Float64()))
	c.after(took, func() { c.finish(e, s, ramp, ticket, took, arrived) })
}

func (c *comeback) pick(e *comebackEntry, tried map[*comebackServer]bool) (*comebackServer, *membership.Ramp) {
	snap := e.view.Snapshot(c.now)
	var best *comebackServer
	for _, s := range c.servers {
		m := snap.Members[s.name]
		if tried[s] || m.Cause != membership.CauseNone || c.ramped && !m.Ramp.Done() && e.inFlight[s.name] >= m.Ramp.Limit() {
			continue
		}
		if best == nil || e.inFlight[s.name] < e.inFlight[best.name] {
			best = s
		}
	}
	if best == nil {
		return nil, nil
	}
	ramp := snap.Members[best.name].Ramp
	if !ramp.TryAcquire() && c.ramped {
		return nil, nil
	}
	return best, ramp
}

func (c *comeback) finish(e *comebackEntry, s *comebackServer, ramp *membership.Ramp, t admission.Ticket, took time.Duration, arrived time.Time) {
	e.inFlight[s.name]--
	ramp.Release(true)
	s.ctl.Release(c.now, t, admission.Sample{Outcome: admission.OutcomeCompleted, Latency: took, Expected: serviceTime})
	c.result.Done++
	if since := arrived.Sub(epoch) - comebackReturns; since >= 0 && since < 20*time.Second {
		c.times = append(c.times, c.now.Sub(arrived))
	}
}
