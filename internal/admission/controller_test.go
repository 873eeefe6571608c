package admission

import (
	"testing"
	"time"

	"github.com/egrethoist/egrethoist/internal/engine"
	"github.com/egrethoist/egrethoist/internal/rapidtest"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { rapidtest.Main(m, rapidtest.Setting{Flag: "checks", Value: "1000"}) }

var (
	start = time.Unix(1_800_000_000, 0)
	opts  = Options{ColdInFlight: 2, MaxInFlight: 32}
	quick = Sample{Outcome: OutcomeCompleted, Latency: time.Second, Expected: time.Second}
)

func report(incarnation string, at time.Time) engine.LoadReport {
	return engine.LoadReport{
		Incarnation: incarnation, CacheBlocks: 100, PrefillPerSec: 1000, DecodePerSec: 50,
		Versions: []string{"v1"}, ReportedAtUnix: at.UnixMilli(),
	}
}

// fill admits requests up to the limit and releases all of them with s, n times.
func fill(c *Controller, n int, s Sample) {
	for range n {
		var held []Ticket
		for t, r := c.Admit(start); r == RefusalNone; t, r = c.Admit(start) {
			held = append(held, t)
		}
		for _, t := range held {
			c.Release(start, t, s)
		}
	}
}

// warmUp completes the requests needed to reach the full limit: four times (warmupMargin) as many as the target declares.
func warmUp(c *Controller) {
	for c.provenCompletions < 4*4*(32-2) {
		fill(c, 1, quick)
	}
}

// warm returns a controller that has ramped up to its full limit.
func warm() *Controller {
	c := New(opts)
	c.ObserveLoad(report("a", start), start)
	warmUp(c)
	return c
}

// Guards against a limit that rises while a cold target is idle: time alone and fewer completions than warmupMargin
// demands must not raise it to the maximum.
func TestRampsOnCompletedWorkOnly(t *testing.T) {
	c := New(opts)
	if _, r := c.Admit(start); r != RefusalDown {
		t.Fatalf("refusal before the first report = %v, want RefusalDown", r)
	}
	c.ObserveLoad(report("a", start), start)
	later := start.Add(time.Hour)
	c.ObserveLoad(report("a", later), later)
	if c.Limit() != 2 || c.Phase() != PhaseCold {
		t.Fatalf("limit %d in phase %v after an idle hour, want 2 in phase cold", c.Limit(), c.Phase())
	}
	fill(c, 40, quick) // more than the declared 4 completions per slot
	if c.Limit() >= 32 {
		t.Fatalf("limit %d after the declared number of completions, want less than 32", c.Limit())
	}
	warmUp(c)
	if c.Limit() != 32 || c.Phase() != PhaseWarm {
		t.Fatalf("after the warm-up: limit %d, phase %v", c.Limit(), c.Phase())
	}
}

// Each sign of a restart must reset a warm target to the cold limit and be counted under its cause.
func TestRestartDetection(t *testing.T) {
	changed := func(edit func(*engine.LoadReport)) func(*Controller) {
		return func(c *Controller) {
			r := report("a", start)
			edit(&r)
			c.ObserveLoad(r, start)
		}
	}
	signs := map[ColdCause]func(*Controller){
		ColdIncarnation:    changed(func(r *engine.LoadReport) { r.Incarnation = "b" }),
		ColdCache:          changed(func(r *engine.LoadReport) { r.CacheBlocks = 3 }),
		ColdThroughput:     changed(func(r *engine.LoadReport) { r.DecodePerSec = 10 }),
		ColdVersion:        changed(func(r *engine.LoadReport) { r.Versions = []string{"v1", "v2"} }),
		ColdOverload:       func(c *Controller) { fill(c, 1, Sample{Outcome: OutcomeOverload}) },
		ColdConnectionLost: func(c *Controller) { fill(c, 1, Sample{Outcome: OutcomeConnectionLost}) },
		ColdReturned:       func(c *Controller) { c.MarkDown(); c.MarkReachable() },
	}
	for cause, sign := range signs {
		t.Run(cause.String(), func(t *testing.T) {
			c := warm()
			sign(c)
			if c.Limit() > 2 || c.Phase() != PhaseCold || c.ColdStarts(cause) == 0 {
				t.Fatalf("limit %d, phase %v, cold starts %d", c.Limit(), c.Phase(), c.ColdStarts(cause))
			}
		})
	}
	t.Run("slow answers", func(t *testing.T) {
		c := warm()
		fill(c, 2, Sample{Outcome: OutcomeCompleted, Latency: 5 * time.Second, Expected: time.Second})
		if c.ColdStarts(ColdThroughput) == 0 {
			t.Fatal("not treated as cold")
		}
	})
}

// Guards against overloading a restarted target: requests admitted before the restart occupy slots, but their
// completions do not raise the limit.
func TestRequestsBeforeRestartOccupySlots(t *testing.T) {
	c := warm()
	var old []Ticket
	for range 8 {
		tk, _ := c.Admit(start)
		old = append(old, tk)
	}
	c.CacheReset()
	for i, tk := range old {
		if _, r := c.Admit(start); r == RefusalNone {
			t.Fatalf("admitted with %d requests from before the restart in flight", len(old)-i)
		}
		c.Release(start, tk, quick)
		if len(old)-i-1 < 2 {
			break
		}
	}
	if c.Limit() != 2 {
		t.Fatalf("requests from before the restart raised the limit to %d", c.Limit())
	}
}

// A broken connection lowers the limit until a report made after it confirms the incarnation. A report made earlier
// must not restore the limit.
func TestLostConnectionLimitsUntilIncarnationIsConfirmed(t *testing.T) {
	c := warm()
	fill(c, 1, Sample{Outcome: OutcomeConnectionLost})
	c.ObserveLoad(report("a", start), start.Add(time.Second)) // made before the connection broke
	if c.Limit() != 2 {
		t.Fatalf("a stale report cleared the suspicion: limit %d", c.Limit())
	}
	later := start.Add(2 * time.Second)
	c.ObserveLoad(report("a", later), later)
	if c.Limit() != 32 {
		t.Fatalf("limit %d after a report of the same incarnation", c.Limit())
	}
}

// Requests that the controller did not admit, such as those of an earlier sidecar process, must occupy slots.
func TestExternalRequestsCount(t *testing.T) {
	c := New(opts)
	r := report("a", start)
	r.Running = 2
	c.ObserveLoad(r, start) // requests of an earlier sidecar process still run
	if c.FreeSlots() != 0 || c.ExternalInFlight() != 2 {
		t.Fatalf("free slots %d, external requests %d", c.FreeSlots(), c.ExternalInFlight())
	}
	r = report("a", start.Add(time.Second))
	c.ObserveLoad(r, start.Add(time.Second))
	if c.FreeSlots() != 2 {
		t.Fatalf("free slots %d after they ended", c.FreeSlots())
	}
}

// Guards against overloading a cold target with new requests while cancelled ones still run there.
func TestCancelledRunOccupiesColdSlotForGracePeriod(t *testing.T) {
	c := New(opts)
	c.ObserveLoad(report("a", start), start)
	fill(c, 1, Sample{Outcome: OutcomeCancelled})
	if _, r := c.Admit(start.Add(cancelGrace)); r != RefusalCold {
		t.Fatalf("refusal %v while cancelled runs may still run", r)
	}
	later := start.Add(cancelGrace + 2*time.Millisecond)
	if _, r := c.Admit(later); r != RefusalNone {
		t.Fatalf("refusal %v after they ended", r)
	}
}

// The decode rate of one stream falls as the batch grows. Only a drop at the same batch size is a sign of a restart.
func TestLargerBatchDoesNotResetToCold(t *testing.T) {
	c := warm()
	busy := report("a", start)
	busy.Running, busy.DecodePerSec = 30, 12
	c.ObserveLoad(busy, start)
	busy.DecodePerSec = 3
	if c.Phase() != PhaseWarm {
		t.Fatalf("phase %v: slower streams of a larger batch were treated as a cold start", c.Phase())
	}
	c.ObserveLoad(busy, start)
	if c.ColdStarts(ColdThroughput) != 1 {
		t.Fatal("a drop of the rate at the same batch size was not treated as a cold start")
	}
}

func TestLatencyLowersTheLimit(t *testing.T) {
	c := warm()
	fill(c, 1, Sample{Outcome: OutcomeCompleted, Latency: 2 * time.Second, Expected: time.Second})
	if got := c.Limit(); got != 24 {
		t.Fatalf("limit %d, want 32 x 1.5/2", got)
	}
}

// TestAgainstReferenceModel performs random operations and checks each admission against the limit that a full scan of
// the event log gives.
func TestAgainstReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := &referenceModel{c: New(opts), now: start}
		n.c.ObserveLoad(report("a", start), start)
		t.Repeat(map[string]func(*rapid.T){
			"admit":   func(t *rapid.T) { n.admit(t) },
			"release": func(t *rapid.T) { n.release(t, rapid.SampledFrom(samples).Draw(t, "sample")) },
			"done":    func(t *rapid.T) { n.release(t, quick) },
			"fill": func(t *rapid.T) {
				for n.c.FreeSlots() > 0 {
					n.admit(t)
				}
			},
			"finish": func(t *rapid.T) {
				for len(n.tickets) > 0 {
					n.release(t, quick)
				}
			},
			"report":  func(t *rapid.T) { n.observeReport(false) },
			"restart": func(t *rapid.T) { n.observeReport(true) },
			"cache":   func(t *rapid.T) { n.c.CacheReset(); n.log = append(n.log, event{cold: true}) },
			"leave":   func(t *rapid.T) { n.leaving = !n.leaving; n.c.SetLeaving(n.leaving) },
			"":        n.check,
		})
	})
}

var samples = []Sample{quick, {Outcome: OutcomeCancelled}, {Outcome: OutcomeOverload}, {Outcome: OutcomeConnectionLost}, {Outcome: OutcomeFailed}}

type event struct {
	cold      bool
	admission int // index in the log of the admission of the completed request, plus one; zero if no completion
}

type heldTicket struct {
	ticket Ticket
	index  int
}

type referenceModel struct {
	c           *Controller
	now         time.Time
	log         []event
	tickets     []heldTicket
	incarnation int
	leaving     bool
}

// bound returns the limit that the completions since the last cold start justify, at a quarter of the declared speed
// (warmupMargin).
func (n *referenceModel) bound() int {
	from := 0
	for i, e := range n.log {
		if e.cold {
			from = i
		}
	}
	completions := 0
	for _, e := range n.log[from:] {
		if e.admission > from {
			completions++
		}
	}
	return min(opts.ColdInFlight+completions/16, opts.MaxInFlight)
}

func (n *referenceModel) admit(t *rapid.T) {
	before := n.c.InFlight()
	tk, r := n.c.Admit(n.now)
	if r != RefusalNone {
		return
	}
	if n.leaving || before >= n.bound() {
		t.Fatalf("admitted with %d in flight, limit of the model %d, leaving %v", before, n.bound(), n.leaving)
	}
	n.tickets = append(n.tickets, heldTicket{tk, len(n.log) + 1})
	n.log = append(n.log, event{})
}

func (n *referenceModel) release(t *rapid.T, s Sample) {
	if len(n.tickets) == 0 {
		return
	}
	h := n.tickets[0]
	n.tickets = n.tickets[1:]
	n.c.Release(n.now, h.ticket, s)
	if s.Outcome == OutcomeCompleted {
		n.log = append(n.log, event{admission: h.index})
	}
}

func (n *referenceModel) observeReport(restart bool) {
	n.now = n.now.Add(100 * time.Millisecond)
	if restart {
		n.incarnation++
		n.log = append(n.log, event{cold: true})
	}
	n.c.ObserveLoad(report(string(rune('a'+n.incarnation)), n.now), n.now)
}

func (n *referenceModel) check(t *rapid.T) {
	if n.c.InFlight() != len(n.tickets) || n.c.Limit() > opts.MaxInFlight || n.c.FreeSlots() < 0 {
		t.Fatalf("in flight %d of %d, limit %d", n.c.InFlight(), len(n.tickets), n.c.Limit())
	}
}

// Guards against suspecting the new incarnation when a connection of a request to the old one breaks after the
// restart was detected.
func TestConnectionLossFromOldEpochIsIgnored(t *testing.T) {
	c := warm()
	tk, _ := c.Admit(start)
	c.ObserveLoad(report("b", start), start)
	c.Release(start, tk, Sample{Outcome: OutcomeConnectionLost})
	if c.ColdStarts(ColdConnectionLost) != 0 {
		t.Fatal("a broken connection to the old incarnation raised a suspicion against the new one")
	}
}

// Guards against a limit that rises without evidence: requests admitted under a lower limit, and windows that do not
// use up the limit, must not raise it.
func TestOnlyRequestsAtCurrentLimitRaiseIt(t *testing.T) {
	c := New(opts)
	c.ObserveLoad(report("a", start), start)
	early, _ := c.Admit(start)
	for c.Limit() == 2 { // with the early request in flight
		fill(c, 1, quick)
	}
	before := c.window.atCurrentLimit
	c.Release(start, early, quick)
	if c.window.atCurrentLimit != before {
		t.Fatal("a request admitted under a lower limit counted")
	}
	for range 200 {
		tk, _ := c.Admit(start)
		c.Release(start, tk, quick)
	}
	if c.Limit() > 3 {
		t.Fatalf("one request at a time raised the limit to %d", c.Limit())
	}
}

// A report that arrives out of order must not reset the target or count external requests.
func TestLateReportIsDropped(t *testing.T) {
	c := warm()
	c.ObserveLoad(report("a", start.Add(time.Second)), start.Add(time.Second))
	late := report("a", start)
	late.CacheBlocks, late.Running = 0, 32
	c.ObserveLoad(late, start.Add(2*time.Second))
	if c.ExternalInFlight() != 0 || c.Phase() != PhaseWarm {
		t.Fatalf("external requests %d, phase %v", c.ExternalInFlight(), c.Phase())
	}
}
