package canary

import (
	"cmp"
	"slices"
	"time"
)

// Key names what a Count is of.
type Key struct {
	Version string
	Route   string
	Target  string // empty for old versions, whose targets are not told apart
}

// Count is cumulative since the begin of the rollout.
type Count struct {
	Answers   int // ended attempts that a target took on
	Failed    int
	Latency   Histogram // time to the first event or to the complete answer, of targets that are not cold
	Durations Histogram // time to the end
	Gaps      Histogram // mean time between the events of a stream, times gapScale
	Waiting   Histogram // age of attempts without an answer, now; not cumulative
}

// gapScale brings the times between events into the range of the buckets.
const gapScale = 8

func (c *Count) add(o *Count) {
	c.Answers += o.Answers
	c.Failed += o.Failed
	c.Latency.add(&o.Latency)
	c.Durations.add(&o.Durations)
	c.Gaps.add(&o.Gaps)
	c.Waiting.add(&o.Waiting)
}

// sub subtracts an earlier state of the same count.
func (c *Count) sub(o *Count) {
	c.Answers -= min(o.Answers, c.Answers)
	c.Failed -= min(o.Failed, c.Failed)
	c.Latency.sub(&o.Latency)
	c.Durations.sub(&o.Durations)
	c.Gaps.sub(&o.Gaps)
}

// Answer is an attempt at a target that has ended.
type Answer struct {
	Failed bool
	Cold   bool // the target was cold: its latency says nothing of the version
	First  time.Duration
	Total  time.Duration
	Events int // of a stream
}

// Counter counts the answers that one instance has seen. It is not safe for concurrent use.
type Counter struct{ counts map[Key]*Count }

// NewCounter returns an empty counter.
func NewCounter() *Counter { return &Counter{counts: map[Key]*Count{}} }

// Add counts an answer.
func (c *Counter) Add(k Key, a Answer) {
	count := c.counts[k]
	if count == nil {
		count = new(Count)
		c.counts[k] = count
	}
	count.Answers++
	if a.Failed {
		count.Failed++
		return // a failure that takes long is counted once
	}
	count.Durations[bucketOf(a.Total)]++
	if a.Cold {
		return
	}
	count.Latency[bucketOf(a.First)]++
	if a.Events > 1 {
		count.Gaps[bucketOf((a.Total-a.First)/time.Duration(a.Events-1)*gapScale)]++
	}
}

// Cell is a Key with its Count.
type Cell struct {
	Key
	Count
}

// Cells returns all counts with the ages of the attempts that wait for an answer.
func (c *Counter) Cells(waiting map[Key][]time.Duration) []Cell {
	out := make([]Cell, 0, len(c.counts))
	for k, count := range c.counts {
		out = append(out, Cell{Key: k, Count: *count})
	}
	for k := range waiting {
		if c.counts[k] == nil {
			out = append(out, Cell{Key: k})
		}
	}
	for i := range out {
		for _, age := range waiting[out[i].Key] {
			out[i].Waiting[bucketOf(age)]++
		}
	}
	slices.SortFunc(out, func(a, b Cell) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Route, b.Route), cmp.Compare(a.Target, b.Target))
	})
	return out
}
