// Package rollout decides which targets of a service load a new weight version next. It takes a few out of service at a
// time: some load, some finish their runs meanwhile, and all others serve. It has no I/O and no clock.
package rollout

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Options tune a Plan. Zero fields take the defaults.
type Options struct {
	LoadShare  float64       // part of the targets that load at once
	DrainShare float64       // part of the targets that finish their runs meanwhile
	DrainMost  time.Duration // after which a target is told to load even if runs go on: it finishes them first
	Retry      time.Duration // between two orders to a target that does not load
}

// Defaults of Options.
const (
	// defaultLoadShare keeps five sixths of the targets serving; the weight store bears about so many loads at once
	// before each takes longer.
	defaultLoadShare  = 1.0 / 6
	defaultDrainShare = 1.0 / 6
	defaultDrainMost  = 1500 * time.Millisecond
	defaultRetry      = 2 * time.Second
)

// Target is a target as the owner of orders sees it.
type Target struct {
	ID      string
	Version int  // weight version that it runs
	Idle    bool // known to run nothing
	Busy    bool // carrying out an order
	Silent  bool // does not answer; known of targets that are out only
}

// phase is how far a target has come.
type phase uint8

const (
	draining phase = iota
	loading
)

type progress struct {
	phase   phase
	since   time.Time
	ordered time.Time
}

// Plan follows the loads of one model. It is not safe for concurrent use.
type Plan struct {
	opts Options
	out  map[string]*progress
}

// New returns an empty plan.
func New(o Options) *Plan {
	o.LoadShare = cmp.Or(o.LoadShare, defaultLoadShare)
	o.DrainShare = cmp.Or(o.DrainShare, defaultDrainShare)
	o.DrainMost = cmp.Or(o.DrainMost, defaultDrainMost)
	o.Retry = cmp.Or(o.Retry, defaultRetry)
	return &Plan{opts: o, out: map[string]*progress{}}
}

// Step is what to do now.
type Step struct {
	Out   []string // targets that are to get no new work, ordered
	Order []string // targets that are to be told to load
}

// Next returns the next step towards the newest version. Call Ordered for each order that was sent.
func (p *Plan) Next(targets []Target, newest int, now time.Time) Step {
	byID := make(map[string]*Target, len(targets))
	var old []*Target
	for i := range targets {
		t := &targets[i]
		byID[t.ID] = t
		if t.Version < newest {
			old = append(old, t)
		}
	}
	for id := range p.out {
		if t := byID[id]; t == nil || t.Version >= newest {
			delete(p.out, id)
		}
	}
	most := max(int(float64(len(targets))*p.opts.LoadShare), 1)
	waiting := int(math.Ceil(float64(len(targets)) * p.opts.DrainShare))
	// Silent targets give their places to others. There are only so many such places, since all of them may be silent
	// towards the owner of orders alone.
	silent := 0
	for id := range p.out {
		if byID[id].Silent {
			silent++
		}
	}
	p.admit(old, most+waiting+min(silent, waiting), now)
	return p.step(byID, most, now)
}

// admit takes further targets out of service: busy ones first, since they load already, then those on the oldest weights,
// whose time runs out first.
func (p *Plan) admit(old []*Target, most int, now time.Time) {
	slices.SortStableFunc(old, func(a, b *Target) int {
		if a.Busy != b.Busy {
			if a.Busy {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.ID, b.ID))
	})
	for _, t := range old {
		if len(p.out) >= most {
			return
		}
		if p.out[t.ID] == nil {
			p.out[t.ID] = &progress{since: now}
		}
	}
}

func (p *Plan) step(byID map[string]*Target, most int, now time.Time) Step {
	var s Step
	for id := range p.out {
		s.Out = append(s.Out, id)
	}
	slices.Sort(s.Out)
	running := 0
	for id, pr := range p.out {
		t := byID[id]
		if t.Busy {
			pr.phase = loading
		}
		// A target that was told to load and still finishes its runs burdens the weight store later.
		if pr.phase == loading && t.Idle {
			running++
		}
	}
	byAge := slices.Clone(s.Out)
	slices.SortStableFunc(byAge, func(a, b string) int { return p.out[a].since.Compare(p.out[b].since) })
	for _, id := range byAge {
		pr, t := p.out[id], byID[id]
		switch {
		case t.Busy || t.Silent:
		case pr.phase == loading:
			if now.Sub(pr.ordered) >= p.opts.Retry {
				s.Order = append(s.Order, id)
			}
		case running < most && (t.Idle || now.Sub(pr.since) >= p.opts.DrainMost):
			s.Order = append(s.Order, id)
			running++
		}
	}
	return s
}

// Ordered notes that a target was told to load.
func (p *Plan) Ordered(id string, now time.Time) {
	if pr := p.out[id]; pr != nil {
		pr.phase, pr.ordered = loading, now
	}
}
