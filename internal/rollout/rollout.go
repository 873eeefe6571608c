// Package rollout decides which targets of a service load a new weight version next. It takes a few targets out of
// service at a time: some of them load while others finish their requests, and all remaining targets serve. It has no
// I/O and no clock.
package rollout

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Options configures a Plan. Zero fields take the defaults.
type Options struct {
	LoadShare     float64       // fraction of the targets that load at once
	DrainShare    float64       // fraction of the targets that finish their requests meanwhile
	MaxDrain      time.Duration // time after which a target gets the order to load although requests run; it finishes them first
	RetryInterval time.Duration // time between two orders to a target that does not load
}

// Defaults of Options.
const (
	// defaultLoadShare lets one sixth of the targets load, so five sixths are left to serve or drain. The weight store
	// serves about that many concurrent loads before each takes longer.
	defaultLoadShare     = 1.0 / 6
	defaultDrainShare    = 1.0 / 6
	defaultMaxDrain      = 1500 * time.Millisecond
	defaultRetryInterval = 2 * time.Second
)

// Target is the state of a target as known to the sender of the orders.
type Target struct {
	ID           string
	Version      int       // weight version that it serves
	Expiry       time.Time // when it gets no more requests because of its version; zero if never
	Idle         bool      // known to have no request in flight
	Busy         bool      // carrying out an order, or unable to take one now
	Unresponsive bool      // does not answer; only known of targets that are out of service
}

// phase is the progress of a target that is out of service.
type phase uint8

const (
	draining phase = iota
	loading
)

// progress is the state of a target that is out of service.
type progress struct {
	phase     phase
	outSince  time.Time // when it was taken out of service
	orderedAt time.Time // when the last order to load was sent
}

// Plan is the roll-out of one model. It is not safe for concurrent use.
type Plan struct {
	opts         Options
	outOfService map[string]*progress // by ID
}

// New returns a plan without targets.
func New(o Options) *Plan {
	o.LoadShare = cmp.Or(o.LoadShare, defaultLoadShare)
	o.DrainShare = cmp.Or(o.DrainShare, defaultDrainShare)
	o.MaxDrain = cmp.Or(o.MaxDrain, defaultMaxDrain)
	o.RetryInterval = cmp.Or(o.RetryInterval, defaultRetryInterval)
	return &Plan{opts: o, outOfService: map[string]*progress{}}
}

// Status says why a target that is out of service has not loaded yet.
type Status uint8

// Statuses.
const (
	Waiting      Status = iota // idle, until fewer targets load
	Draining                   // finishes its requests
	Ordered                    // has the order to load and still finishes its requests
	Loading                    // carries out an order, or its report is missing or pending
	Unresponsive               // does not answer
)

var statusNames = [...]string{"waiting", "draining", "ordered", "loading", "unresponsive"}

func (s Status) String() string { return statusNames[s] }

// Progress is the progress of a target that is out of service.
type Progress struct {
	ID       string
	Version  int
	Status   Status
	OutSince time.Time // when it was taken out of service
}

// Step is the next action.
type Step struct {
	OutOfService []string   // IDs of all targets that must get no new requests, sorted
	Load         []string   // IDs of the targets to send the order to load to
	Progress     []Progress // of the targets that are out of service, before the orders of this step, ordered by ID
	Behind       int        // number of targets on older weights
}

// Next returns the next step towards the newest version. The caller must call LoadOrdered for each order that it has
// sent.
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
	for id := range p.outOfService {
		if t := byID[id]; t == nil || t.Version >= newest {
			delete(p.outOfService, id)
		}
	}
	maxLoads := max(int(float64(len(targets))*p.opts.LoadShare), 1)
	maxDraining := int(math.Ceil(float64(len(targets)) * p.opts.DrainShare))
	// Unresponsive targets free their places for others. Only maxDraining places are freed, because all targets may be
	// unresponsive to the sender of the orders alone.
	unresponsive := 0
	for id := range p.outOfService {
		if byID[id].Unresponsive {
			unresponsive++
		}
	}
	p.takeOut(old, maxLoads+maxDraining+min(unresponsive, maxDraining), now)
	s := p.nextStep(byID, maxLoads, now)
	s.Behind = len(old)
	return s
}

// takeOut takes further targets out of service until maxOut are: first busy ones, since they are loading already, then
// those on the oldest weights, whose time limit ends first.
func (p *Plan) takeOut(old []*Target, maxOut int, now time.Time) {
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
		if len(p.outOfService) >= maxOut {
			return
		}
		if p.outOfService[t.ID] == nil {
			p.outOfService[t.ID] = &progress{outSince: now}
		}
	}
}

// nextStep returns the targets out of service, and of those the ones to load now: at most maxLoads at a time, longest
// out of service first.
func (p *Plan) nextStep(byID map[string]*Target, maxLoads int, now time.Time) Step {
	var s Step
	for id := range p.outOfService {
		s.OutOfService = append(s.OutOfService, id)
	}
	slices.Sort(s.OutOfService)
	loads := 0
	for id, pr := range p.outOfService {
		t := byID[id]
		if t.Busy {
			pr.phase = loading
		}
		// A target that was ordered to load and still has requests in flight does not use the weight store yet.
		if pr.phase == loading && t.Idle {
			loads++
		}
	}
	byAge := slices.Clone(s.OutOfService)
	slices.SortStableFunc(byAge, func(a, b string) int { return p.outOfService[a].outSince.Compare(p.outOfService[b].outSince) })
	for _, id := range byAge {
		pr, t := p.outOfService[id], byID[id]
		switch {
		case t.Busy || t.Unresponsive:
		case pr.phase == loading:
			if now.Sub(pr.orderedAt) >= p.opts.RetryInterval {
				s.Load = append(s.Load, id)
			}
		case loads < maxLoads && (t.Idle || now.Sub(pr.outSince) >= p.opts.MaxDrain):
			s.Load = append(s.Load, id)
			loads++
		}
	}
	s.Progress = p.report(byID, s.OutOfService)
	return s
}

// report returns the progress of the targets that are out of service, given by their sorted IDs.
func (p *Plan) report(byID map[string]*Target, ids []string) []Progress {
	out := make([]Progress, 0, len(ids))
	for _, id := range ids {
		pr, t := p.outOfService[id], byID[id]
		status := Waiting
		switch {
		case t.Unresponsive:
			status = Unresponsive
		case t.Busy:
			status = Loading
		case pr.phase == loading:
			status = Ordered
		case !t.Idle:
			status = Draining
		}
		out = append(out, Progress{ID: id, Version: t.Version, Status: status, OutSince: pr.outSince})
	}
	return out
}

// LoadOrdered records that the order to load was sent to a target.
func (p *Plan) LoadOrdered(id string, now time.Time) {
	if pr := p.outOfService[id]; pr != nil {
		pr.phase, pr.orderedAt = loading, now
	}
}
