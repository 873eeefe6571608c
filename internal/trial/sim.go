// Package trial holds seeded experiments that compare one decision package at a time with simpler policies. They run
// as its tests. Time is virtual: the same seed gives the same figures on every machine. Package bench puts load on a
// whole system, and package faultmatrix breaks one.
package trial

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"
)

// epoch is the start of virtual time.
var epoch = time.Unix(1_800_000_000, 0)

// timeline runs events in order of time, then of scheduling.
type timeline struct {
	now    time.Time
	seq    uint64
	events eventHeap
}

type event struct {
	at  time.Time
	seq uint64
	run func()
}

func newTimeline() *timeline { return &timeline{now: epoch} }

// after runs f once d has passed.
func (tl *timeline) after(d time.Duration, f func()) {
	tl.seq++
	heap.Push(&tl.events, event{tl.now.Add(max(d, 0)), tl.seq, f})
}

// every runs f each period, first after one period.
func (tl *timeline) every(period time.Duration, f func()) {
	tl.after(period, func() {
		f()
		tl.every(period, f)
	})
}

// runFor executes events until d has passed since the epoch.
func (tl *timeline) runFor(d time.Duration) {
	end := epoch.Add(d)
	for len(tl.events) > 0 && !tl.events[0].at.After(end) {
		e := heap.Pop(&tl.events).(event)
		tl.now = e.at
		e.run()
	}
	tl.now = end
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].seq < h[j].seq
	}
	return h[i].at.Before(h[j].at)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}

// poisson schedules f at exponential intervals of the given mean rate per second.
func (tl *timeline) poisson(rng *rand.Rand, perSec float64, f func()) {
	gap := time.Duration(rng.ExpFloat64() / perSec * float64(time.Second))
	tl.after(gap, func() {
		f()
		tl.poisson(rng, perSec, f)
	})
}

// quantile returns the q-quantile of durations; zero if there are none.
func quantile(ds []time.Duration, q float64) time.Duration {
	if len(ds) == 0 {
		return 0
	}
	sorted := slices.Clone(ds)
	slices.Sort(sorted)
	return sorted[int(q*float64(len(sorted)-1))]
}
