package trial

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/egrethoist/egrethoist/internal/fairness"
	"github.com/egrethoist/egrethoist/internal/world"
)

// Constants of the outage trial: nine slots, of which a third is gone for a while.
const (
	outageSlots   = 9
	outageLost    = 3
	outageFrom    = 3 * time.Minute
	outageTo      = 6 * time.Minute
	outageSpan    = 9 * time.Minute
	outageQuick   = 18.0 // quick checks a second: a fifth of the slots
	outageDraft   = 3.15 // drafts a second: 0.7 of the slots
	outagePatient = 10 * time.Second
	settleTime    = 30 * time.Second
)

// OutageResult is the service of one policy while a third of the slots was gone.
type OutageResult struct {
	Policy      string
	QuickServed float64       // share of the quick checks that arrived meanwhile
	DraftServed float64       // the same of drafts
	Quick95     time.Duration // wait of quick checks
	RefusedIn   time.Duration // median time from arrival to refusal
	Later       int           // requests not served that arrived later than settleTime after the return of the slots
}

// String formats the result as one line.
func (r OutageResult) String() string {
	return fmt.Sprintf("%-10s quick served %.3f (p95 wait %v)  drafts served %.3f  refused in %v  not served later %d", r.Policy,
		r.QuickServed, r.Quick95.Round(time.Millisecond), r.DraftServed, r.RefusedIn.Round(time.Millisecond), r.Later)
}

// Outage runs the queue and a FIFO of the same bound through the loss of a third of the slots.
func Outage(seed uint64) []OutageResult {
	fair := fairness.New[*job](fairness.Options{MaxItems: sharesQueue})
	return []OutageResult{
		runOutage("fairness", &fairLine{fair}, fair.SetSlots, seed),
		runOutage("fifo", &fifoLine{}, func(int) {}, seed),
	}
}

type outageRun struct {
	*slots
	rng       *rand.Rand
	arrived   [2]int // by class, in the outage
	served    [2]int
	quick     []time.Duration
	refusedIn []time.Duration
	later     int
}

func runOutage(name string, l line, setSlots func(int), seed uint64) OutageResult {
	r := &outageRun{slots: newSlots(l, outageSlots), rng: rand.New(rand.NewPCG(seed, 6))}
	r.refused, r.started, r.finished = r.refuse, r.start, func(*item) {}
	setSlots(outageSlots)
	r.poisson(r.rng, outageQuick, func() { r.arrive(world.PriorityQuick, quickCost) })
	r.poisson(r.rng, outageDraft, func() { r.arrive(world.PriorityDraft, draftCost) })
	r.after(outageFrom, func() { r.free -= outageLost; setSlots(outageSlots - outageLost) })
	r.after(outageTo, func() { r.free += outageLost; setSlots(outageSlots); r.pump() })
	r.runFor(outageSpan)
	return OutageResult{
		Policy:      name,
		QuickServed: float64(r.served[world.PriorityQuick]) / float64(r.arrived[world.PriorityQuick]),
		DraftServed: float64(r.served[world.PriorityDraft]) / float64(r.arrived[world.PriorityDraft]),
		Quick95:     quantile(r.quick, 0.95),
		RefusedIn:   quantile(r.refusedIn, 0.5),
		Later:       r.later,
	}
}

func inOutage(at time.Time) bool {
	since := at.Sub(epoch)
	return since >= outageFrom && since < outageTo
}

func (r *outageRun) arrive(class world.Priority, cost time.Duration) {
	if inOutage(r.now) {
		r.arrived[class]++
	}
	it := &item{Value: &job{arrive: r.now, actual: cost}, Workspace: fmt.Sprint(r.rng.IntN(10)), Weight: 1,
		Class: class, Cost: cost, Deadline: r.now.Add(outagePatient)}
	r.offer(it)
}

func (r *outageRun) refuse(it *item) {
	if it.Value.arrive.Sub(epoch) > outageTo+settleTime {
		r.later++
	}
	if inOutage(it.Value.arrive) {
		r.refusedIn = append(r.refusedIn, r.now.Sub(it.Value.arrive))
	}
}

func (r *outageRun) start(it *item) {
	if !inOutage(it.Value.arrive) {
		return
	}
	r.served[it.Class]++
	if it.Class == world.PriorityQuick {
		r.quick = append(r.quick, r.now.Sub(it.Value.arrive))
	}
}
