package trial

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/egrethoist/egrethoist/internal/world"
)

// Constants of the shares trial: ten workspaces at one target.
const (
	sharesSlots    = 8
	sharesSpan     = 10 * time.Minute
	sharesQueue    = 256
	smallCount     = 9
	smallPerSec    = 0.4 // requests of one small workspace
	largePerSec    = 12.0
	quickShare     = 0.7 // of the small workspaces' requests
	quickCost      = 100 * time.Millisecond
	draftCost      = 2 * time.Second
	callerPatience = 20 * time.Second
	predictionSD   = 0.5 // spread of the true cost around the predicted, as a log-normal
)

// SharesResult is what one policy gave the nine small workspaces beside a large one, and how far service was
// from the weights when all ten had more work than their share.
type SharesResult struct {
	Policy       string
	SmallDone    int
	SmallRefused int // refused, displaced or expired
	LargeDone    int
	Quick95      time.Duration // wait of the small workspaces' quick checks
	Draft95      time.Duration // wait of the small workspaces' drafts
	ShareError   float64       // largest relative error of a workspace's share of service time
}

// String formats the result as one line.
func (r SharesResult) String() string {
	return fmt.Sprintf("%-10s small done %5d refused %5d  large done %5d  quick p95 %8v  draft p95 %8v  share error %.3f",
		r.Policy, r.SmallDone, r.SmallRefused, r.LargeDone,
		r.Quick95.Round(time.Millisecond), r.Draft95.Round(time.Millisecond), r.ShareError)
}

// Shares runs the queue and a FIFO of the same bound against the same arrivals.
func Shares(seed uint64) []SharesResult {
	policies := []struct {
		name string
		new  func() line
	}{
		{"fairness", func() line { return newFairLine() }},
		{"fifo", func() line { return &fifoLine{} }},
	}
	var results []SharesResult
	for _, p := range policies {
		r := runMixed(p.new(), seed)
		r.Policy = p.name
		r.ShareError = runSaturated(p.new(), seed)
		results = append(results, r)
	}
	return results
}

type sharesRun struct {
	*slots
	rng    *rand.Rand
	result SharesResult
	quick  []time.Duration
	draft  []time.Duration
	served map[string]time.Duration
}

func newSharesRun(l line, seed uint64) *sharesRun {
	r := &sharesRun{slots: newSlots(l, sharesSlots), rng: rand.New(rand.NewPCG(seed, 3)), served: map[string]time.Duration{}}
	r.refused, r.started, r.finished = r.refuse, r.start, r.finish
	return r
}

func runMixed(l line, seed uint64) SharesResult {
	r := newSharesRun(l, seed)
	for i := range smallCount {
		name := fmt.Sprint("small-", i)
		r.poisson(r.rng, smallPerSec, func() { r.arrive(name, 1, r.smallClass(), true) })
	}
	r.poisson(r.rng, largePerSec, func() { r.arrive("large", 1, world.PriorityDraft, false) })
	r.runFor(sharesSpan)
	r.result.Quick95 = quantile(r.quick, 0.95)
	r.result.Draft95 = quantile(r.draft, 0.95)
	return r.result
}

// runSaturated gives ten workspaces of weights 1 to 4 more drafts than fit and returns the share error.
func runSaturated(l line, seed uint64) float64 {
	r := newSharesRun(l, seed)
	weights, total := map[string]int{}, 0
	for i := range smallCount + 1 {
		name, weight := fmt.Sprint("w-", i), 1+i%4
		weights[name] = weight
		total += weight
		rate := 1.0 + 3*r.rng.Float64()
		r.poisson(r.rng, rate, func() { r.arrive(name, weight, world.PriorityDraft, true) })
	}
	r.runFor(sharesSpan)
	var all time.Duration
	for _, d := range r.served {
		all += d
	}
	worst := 0.0
	for name, weight := range weights {
		want := float64(weight) / float64(total)
		got := r.served[name].Seconds() / all.Seconds()
		worst = max(worst, math.Abs(got-want)/want)
	}
	return worst
}

func (r *sharesRun) smallClass() world.Priority {
	if r.rng.Float64() < quickShare {
		return world.PriorityQuick
	}
	return world.PriorityDraft
}

func (r *sharesRun) arrive(workspace string, weight int, class world.Priority, small bool) {
	cost := draftCost
	if class == world.PriorityQuick {
		cost = quickCost
	}
	actual := time.Duration(float64(cost) * math.Exp(predictionSD*r.rng.NormFloat64()))
	it := &item{Value: &job{small, r.now, actual}, Workspace: workspace, Weight: weight,
		Class: class, Cost: cost, Deadline: r.now.Add(callerPatience)}
	r.offer(it)
}

func (r *sharesRun) refuse(it *item) {
	if it.Value.small {
		r.result.SmallRefused++
	}
}

func (r *sharesRun) start(it *item) {
	j := it.Value
	wait := r.now.Sub(j.arrive)
	switch {
	case j.small && it.Class == world.PriorityQuick:
		r.quick = append(r.quick, wait)
	case j.small:
		r.draft = append(r.draft, wait)
	}
}

func (r *sharesRun) finish(it *item) {
	r.served[it.Workspace] += it.Value.actual
	if it.Value.small {
		r.result.SmallDone++
	} else {
		r.result.LargeDone++
	}
}
