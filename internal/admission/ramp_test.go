package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/egrethoist/egrethoist/internal/engine"
	"pgregory.net/rapid"
)

// TestColdTargetIsNeverOverloaded runs the controller with a simulated target that warms up at 0.25 to 4 times the
// declared speed and restarts unannounced. Its capacity comes from a full scan of its log.
func TestColdTargetIsNeverOverloaded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		declared := rapid.IntRange(1, 8).Draw(t, "declared")
		speed := rapid.SampledFrom([]float64{0.25, 0.5, 1, 2, 4}).Draw(t, "speed")
		w := &simulatedTarget{
			c:                  New(Options{ColdInFlight: 2, MaxInFlight: 16, CompletionsPerSlot: declared}),
			now:                start,
			completionsPerSlot: float64(declared) / speed,
		}
		w.publish()
		w.advance(reportDelay)
		t.Repeat(map[string]func(*rapid.T){
			"admit":  w.admit,
			"fill":   w.fill,
			"finish": func(*rapid.T) { w.release(quick) },
			"cancel": func(*rapid.T) { w.cancel() },
			"work": func(t *rapid.T) {
				for range rapid.IntRange(1, 60).Draw(t, "rounds") {
					w.fill(t)
					w.finishAll()
				}
			},
			"drain": func(*rapid.T) { w.finishAll() },
			"pass": func(t *rapid.T) {
				w.advance(rapid.SampledFrom([]time.Duration{1, 50, 400, 3000}).Draw(t, "ms") * time.Millisecond)
			},
			"restart": func(*rapid.T) { w.restart() },
		})
	})
}

const (
	reportPeriod = 250 * time.Millisecond
	reportDelay  = 200 * time.Millisecond
	restartTime  = 100 * time.Millisecond
)

// simulatedTarget is a target whose capacity depends on the requests completed since its last restart.
type simulatedTarget struct {
	c                  *Controller
	now                time.Time
	completionsPerSlot float64 // completions after which it sustains one more request in flight
	events             []string
	tickets            []Ticket
	cancelled          []time.Time // times at which requests were cancelled that still run
	incarnation        int
	lastReport         time.Time
	pendingReports     []engine.LoadReport // reports not delivered yet
	restarting         bool                // no reports are published during a restart
}

func (w *simulatedTarget) capacity() int {
	done := 0
	for _, e := range w.events {
		switch e {
		case "done":
			done++
		case "restart":
			done = 0
		}
	}
	return min(16, 2+int(float64(done)/w.completionsPerSlot))
}

func (w *simulatedTarget) admit(t *rapid.T) {
	ticket, refusal := w.c.Admit(w.now)
	if refusal != RefusalNone {
		return
	}
	w.tickets = append(w.tickets, ticket)
	if n, capacity := len(w.tickets)+len(w.cancelled), w.capacity(); capacity < 16 && n > capacity {
		t.Fatalf("%d requests at a target with capacity %d", n, capacity)
	}
}

func (w *simulatedTarget) fill(t *rapid.T) {
	for w.c.FreeSlots() > 0 {
		w.admit(t)
	}
}

func (w *simulatedTarget) release(s Sample) {
	if len(w.tickets) == 0 {
		return
	}
	ticket := w.tickets[0]
	w.tickets = w.tickets[1:]
	if s.Outcome == OutcomeCompleted {
		w.events = append(w.events, "done")
	}
	w.c.Release(w.now, ticket, s)
}

func (w *simulatedTarget) finishAll() {
	for len(w.tickets) > 0 {
		w.release(quick)
	}
}

func (w *simulatedTarget) cancel() {
	if len(w.tickets) > 0 {
		w.cancelled = append(w.cancelled, w.now)
		w.release(Sample{Outcome: OutcomeCancelled})
	}
}

// advance moves the time on in steps of a millisecond, publishes load reports at their period and delivers them
// delayed.
func (w *simulatedTarget) advance(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(time.Millisecond)
		for len(w.cancelled) > 0 && w.now.Sub(w.cancelled[0]) > cancelGrace {
			w.cancelled = w.cancelled[1:]
		}
		if !w.restarting && w.now.Sub(w.lastReport) >= reportPeriod {
			w.publish()
		}
		for len(w.pendingReports) > 0 && w.now.UnixMilli()-w.pendingReports[0].ReportedAtUnix >= reportDelay.Milliseconds() {
			w.c.ObserveLoad(w.pendingReports[0], w.now)
			w.pendingReports = w.pendingReports[1:]
		}
	}
}

func (w *simulatedTarget) publish() {
	w.lastReport = w.now
	r := report(fmt.Sprint(w.incarnation), w.now)
	r.Running = len(w.tickets) + len(w.cancelled)
	w.pendingReports = append(w.pendingReports, r)
}

// restart breaks the running requests, which the sidecar notices at once. An idle target restarts unnoticed and is away
// for restartTime.
func (w *simulatedTarget) restart() {
	if len(w.tickets) == 0 {
		w.restarting = true
		w.advance(restartTime)
		w.restarting = false
	}
	w.incarnation++
	w.events = append(w.events, "restart")
	w.cancelled = nil
	for len(w.tickets) > 0 {
		w.release(Sample{Outcome: OutcomeConnectionLost})
	}
}

// Guards against overloading a cold target: a report that still counts a cancelled run must not free its slot.
func TestReportWithCancelledRunFreesNoSlot(t *testing.T) {
	c := New(opts)
	c.ObserveLoad(report("a", start), start)
	tk, _ := c.Admit(start)
	c.Release(start, tk, Sample{Outcome: OutcomeCancelled}) // still running when the report is made
	c.Admit(start.Add(100 * time.Millisecond))
	reportedAt := start.Add(50 * time.Millisecond)
	r := report("a", reportedAt)
	r.Running = 1
	c.ObserveLoad(r, reportedAt.Add(reportDelay))
	if _, refusal := c.Admit(reportedAt.Add(reportDelay)); refusal == RefusalNone {
		t.Fatal("admitted although the report still counts a cancelled run")
	}
}

// A target that was idle for long enough to restart unnoticed gets the cold limit until a report confirms its
// incarnation.
func TestIdleTargetIsLimitedUntilNextReport(t *testing.T) {
	c := warm()
	resumed := start.Add(minRestartTime)
	tk, _ := c.Admit(resumed)
	if !c.RestartSuspected() || c.Limit() != 2 {
		t.Fatalf("limit %d after an idle period, want 2 and a suspected restart", c.Limit())
	}
	c.Release(resumed, tk, quick)
	c.ObserveLoad(report("a", resumed.Add(time.Millisecond)), resumed.Add(time.Second))
	if c.Limit() != 32 {
		t.Fatalf("limit %d after a report of the same incarnation", c.Limit())
	}
	c.Admit(resumed.Add(minRestartTime - 1))
	if c.RestartSuspected() {
		t.Fatal("restart suspected after an idle period shorter than a restart")
	}
}

// A report made between two signs of a restart must not clear the suspicion, since the restart may be later than the
// report.
func TestReportOlderThanLastSignKeepsSuspicion(t *testing.T) {
	c := warm()
	tk, _ := c.Admit(start.Add(minRestartTime)) // suspected because of the idle period
	reportedAt := start.Add(2 * minRestartTime)
	c.Release(start.Add(3*minRestartTime), tk, Sample{Outcome: OutcomeConnectionLost})
	c.ObserveLoad(report("a", reportedAt), start.Add(4*minRestartTime))
	if !c.RestartSuspected() {
		t.Fatal("a report made before the connection broke cleared the suspicion")
	}
}

// Without load reports nothing could clear a suspicion, so an idle period resets the target to cold.
func TestIdleTargetWithoutReportsResetsToCold(t *testing.T) {
	c := New(opts)
	c.MarkReachable()
	warmUp(c)
	if c.Limit() != 32 {
		t.Fatalf("limit %d", c.Limit())
	}
	c.Admit(start.Add(minRestartTime))
	if c.Limit() != 2 || c.ColdStarts(ColdIdle) != 1 {
		t.Fatalf("limit %d, %d cold starts", c.Limit(), c.ColdStarts(ColdIdle))
	}
}
