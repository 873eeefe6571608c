package trial

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/egrethoist/egrethoist/internal/admission"
	"github.com/egrethoist/egrethoist/internal/engine"
)

// Constants of the cold-start trial: one target that turns cold again without warning.
const (
	coldBears      = 2   // requests that a cold target bears
	warmBears      = 32  // requests that a warm target bears
	declaredPlace  = 4   // completions after which it is declared to bear one more
	collapseAt     = 1.5 // load over what it bears at which it falls over
	serviceTime    = 500 * time.Millisecond
	arrivalsPerSec = 50.0
	waitLimit      = 5 * time.Second // a waiting caller gives up
	reportPeriod   = 500 * time.Millisecond
	reportLag      = 500 * time.Millisecond
	restartPeriod  = 40 * time.Second
	recovery       = 3 * time.Second // until a target that fell over answers again
	coldStartSpan  = 5 * time.Minute
)

// ColdStartResult is what one policy did.
type ColdStartResult struct {
	Policy   string
	Done     int
	Cut      int // lost in a restart
	GaveUp   int // waited longer than waitLimit
	Over     int // dispatches beyond what the target bore
	FellOver int
	WaitP95  time.Duration
}

// String formats the result as one line.
func (r ColdStartResult) String() string {
	return fmt.Sprintf("%-12s done %5d  cut %4d  gave up %5d  over %5d  fell over %3d  wait p95 %v",
		r.Policy, r.Done, r.Cut, r.GaveUp, r.Over, r.FellOver, r.WaitP95.Round(time.Millisecond))
}

// limiter is a policy of the trial.
type limiter interface {
	admit(now time.Time) (admission.Ticket, bool)
	release(now time.Time, t admission.Ticket, s admission.Sample)
	report(now time.Time, r engine.LoadReport)
}

// ColdStart runs the controller and simpler policies against the same arrivals and restarts of a target that warms at
// the given multiple of the declared speed. The policy "told" sees every completion and restart at the target itself,
// and knows of its speed what the controller does: that it is at least a quarter of the declared one.
func ColdStart(seed uint64, speed float64) []ColdStartResult {
	policies := []struct {
		name string
		new  func(*coldTarget) limiter
	}{
		{"admission", func(*coldTarget) limiter { return &controlled{admission.New(coldOptions)} }},
		{"told", func(t *coldTarget) limiter { return &told{target: t} }},
		{"timed ramp", func(*coldTarget) limiter { return &timedRamp{since: epoch} }},
		{"aimd", func(*coldTarget) limiter { return &aimd{limit: coldBears} }},
		{"fixed", func(*coldTarget) limiter { return &fixed{} }},
	}
	var results []ColdStartResult
	for _, p := range policies {
		t := &coldTarget{
			timeline: newTimeline(),
			rng:      rand.New(rand.NewPCG(seed, 1)),
			place:    declaredPlace / speed,
			running:  map[*coldRun]bool{},
		}
		t.limiter = p.new(t)
		t.result.Policy = p.name
		results = append(results, t.run(seed))
	}
	return results
}

var coldOptions = admission.Options{ColdInFlight: coldBears, MaxInFlight: warmBears, CompletionsPerSlot: declaredPlace}

type coldTarget struct {
	*timeline
	rng         *rand.Rand
	limiter     limiter
	place       float64 // completions after which it bears one more
	result      ColdStartResult
	waiting     []time.Time // arrivals
	waits       []time.Duration
	incarnation int
	running     map[*coldRun]bool
	completed   int // by this incarnation
	downUntil   time.Time
}

type coldRun struct {
	ticket admission.Ticket
	at     time.Time
}

func (t *coldTarget) run(seed uint64) ColdStartResult {
	t.limiter.report(t.now, t.load())
	arrivals := rand.New(rand.NewPCG(seed, 2))
	t.poisson(arrivals, arrivalsPerSec, func() { t.waiting = append(t.waiting, t.now); t.pump() })
	t.every(restartPeriod, func() { t.restart(0) })
	t.every(reportPeriod, t.publish)
	t.runFor(coldStartSpan)
	t.result.WaitP95 = quantile(t.waits, 0.95)
	return t.result
}

func (t *coldTarget) bears() int {
	return min(warmBears, coldBears+int(float64(t.completed)/t.place))
}

func (t *coldTarget) load() engine.LoadReport {
	return engine.LoadReport{
		Incarnation: fmt.Sprint(t.incarnation), Running: len(t.running), Versions: []string{"v1"},
		ReportedAtUnix: t.now.UnixMilli(),
	}
}

func (t *coldTarget) publish() {
	if t.now.Before(t.downUntil) {
		return
	}
	r := t.load()
	t.after(reportLag, func() { t.limiter.report(t.now, r); t.pump() })
}

// pump dispatches what waits as far as the limiter lets it.
func (t *coldTarget) pump() {
	for len(t.waiting) > 0 {
		arrived := t.waiting[0]
		if t.now.Sub(arrived) > waitLimit {
			t.waiting = t.waiting[1:]
			t.result.GaveUp++
			continue
		}
		ticket, ok := t.limiter.admit(t.now)
		if !ok {
			return
		}
		t.waiting = t.waiting[1:]
		t.waits = append(t.waits, t.now.Sub(arrived))
		t.dispatch(ticket)
	}
}

func (t *coldTarget) dispatch(ticket admission.Ticket) {
	if t.now.Before(t.downUntil) {
		t.result.Cut++
		t.after(time.Millisecond, func() {
			t.limiter.release(t.now, ticket, admission.Sample{Outcome: admission.OutcomeUnreachable})
		})
		return
	}
	run := &coldRun{ticket, t.now}
	t.running[run] = true
	load := float64(len(t.running)) / float64(t.bears())
	if load > 1 {
		t.result.Over++
	}
	if load > collapseAt {
		t.result.FellOver++
		t.restart(recovery)
		return
	}
	took := time.Duration(float64(serviceTime) * (0.5 + t.rng.Float64()) * max(1, load*load))
	t.after(took, func() { t.finish(run) })
}

func (t *coldTarget) finish(run *coldRun) {
	if !t.running[run] {
		return // lost in a restart
	}
	delete(t.running, run)
	t.completed++
	t.result.Done++
	s := admission.Sample{Outcome: admission.OutcomeCompleted, Latency: t.now.Sub(run.at), Expected: serviceTime}
	t.limiter.release(t.now, run.ticket, s)
	t.pump()
}

// restart loses all that runs; the target answers again, cold, after the outage.
func (t *coldTarget) restart(outage time.Duration) {
	lost := t.running
	t.running = map[*coldRun]bool{}
	t.incarnation++
	t.completed = 0
	t.downUntil = t.now.Add(outage)
	t.result.Cut += len(lost)
	for run := range lost {
		ticket := run.ticket
		t.after(time.Millisecond, func() {
			t.limiter.release(t.now, ticket, admission.Sample{Outcome: admission.OutcomeConnectionLost})
			t.pump()
		})
	}
	t.after(outage, t.pump)
}

type controlled struct{ *admission.Controller }

func (c *controlled) admit(now time.Time) (admission.Ticket, bool) {
	t, r := c.Admit(now)
	return t, r == admission.RefusalNone
}

func (c *controlled) release(now time.Time, t admission.Ticket, s admission.Sample) {
	c.Release(now, t, s)
}

func (c *controlled) report(now time.Time, r engine.LoadReport) { c.ObserveLoad(r, now) }

// told gives what the target is sure to bear, by the target's own count.
type told struct {
	fixed
	target *coldTarget
}

func (o *told) admit(time.Time) (admission.Ticket, bool) {
	sure := coldBears + o.target.completed/(4*declaredPlace)
	if len(o.target.running) >= min(warmBears, sure) {
		return admission.Ticket{}, false
	}
	return admission.Ticket{}, true
}

func (o *told) release(time.Time, admission.Ticket, admission.Sample) {}

// fixed gives the declared bound at all times.
type fixed struct{ inFlight int }

func (f *fixed) admit(time.Time) (admission.Ticket, bool) {
	if f.inFlight >= warmBears {
		return admission.Ticket{}, false
	}
	f.inFlight++
	return admission.Ticket{}, true
}

func (f *fixed) release(time.Time, admission.Ticket, admission.Sample) { f.inFlight-- }

func (f *fixed) report(time.Time, engine.LoadReport) {}

// timedRamp raises the limit with time since the incarnation changed.
type timedRamp struct {
	inFlight    int
	since       time.Time
	incarnation string
}

const rampTime = 10 * time.Second

func (r *timedRamp) admit(now time.Time) (admission.Ticket, bool) {
	share := min(1, now.Sub(r.since).Seconds()/rampTime.Seconds())
	if r.inFlight >= max(coldBears, int(share*warmBears)) {
		return admission.Ticket{}, false
	}
	r.inFlight++
	return admission.Ticket{}, true
}

func (r *timedRamp) release(time.Time, admission.Ticket, admission.Sample) { r.inFlight-- }

func (r *timedRamp) report(now time.Time, l engine.LoadReport) {
	if l.Incarnation != r.incarnation {
		r.incarnation, r.since = l.Incarnation, now
	}
}

// aimd adds one per limit of completions and halves on failures; it knows nothing of cold targets.
type aimd struct {
	inFlight int
	limit    float64
}

func (a *aimd) admit(time.Time) (admission.Ticket, bool) {
	if a.inFlight >= int(a.limit) {
		return admission.Ticket{}, false
	}
	a.inFlight++
	return admission.Ticket{}, true
}

func (a *aimd) release(_ time.Time, _ admission.Ticket, s admission.Sample) {
	a.inFlight--
	if s.Outcome == admission.OutcomeCompleted {
		a.limit = min(warmBears, a.limit+1/a.limit)
		return
	}
	a.limit = max(1, a.limit/2)
}

func (a *aimd) report(time.Time, engine.LoadReport) {}
