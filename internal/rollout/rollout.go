// Package rollout decides which targets of a service load a new weight version next. It takes a few targets out of
// service at a time: some of them load while others finish their requests, and all remaining targets serve. How many
// load at once follows from the time until the weights of the others expire. It has no I/O and no clock.
package rollout

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Options configures a Plan. Zero fields take the defaults.
type Options struct {
	LoadShare     float64       // fraction of the targets that load at once while there is time
	MaxLoadShare  float64       // fraction of the targets that load at once at most
	DrainShare    float64       // fraction of the targets that finish their requests meanwhile
	LoadTime      time.Duration // expected time from the order until the load has ended, until the first one is observed
	MaxDrain      time.Duration // time after which a target gets the order to load although requests run; it finishes them first
	RetryInterval time.Duration // time between two orders to a target that does not load
}

// Defaults of Options.
const (
	// defaultLoadShare lets one sixth of the targets load, so five sixths are left to serve or drain. The weight store
	// serves about that many concurrent loads before each takes longer.
	defaultLoadShare = 1.0 / 6
	// defaultMaxLoadShare, with the targets that drain, is half of the targets.
	defaultMaxLoadShare = 1.0 / 3
	defaultDrainShare   = 1.0 / 6
	// defaultLoadTime is rather too short: only the first loads are planned by it, and too many at a time slow each other down.
	defaultLoadTime = time.Second
	// lateShare is the part of a load, one in lateShare, that may be left when weights expire: without this the last round of a roll-out
	// that is on time would make all rounds larger.
	lateShare = 4
	// A target counts as stuck after stuckLoads times the time that a load takes, and not before minStuckTime.
	stuckLoads           = 4
	minStuckTime         = 10 * time.Second
	defaultMaxDrain      = 1500 * time.Millisecond
	defaultRetryInterval = 2 * time.Second
)

// Target is the state of a target as known to the sender of the orders.
type Target struct {
	ID           string
	Version      int       // weight version that it serves
	Expiry       time.Time // when it gets no more requests because of its version; zero if never
	Idle         bool      // known to have no request in flight
	Busy         bool      // carrying out an order
	Unreported   bool      // its report is missing or pending, or it can't take an order now: Idle and Busy are unknown
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
	version   int       // weight version when it was last seen; zero before that
	outSince  time.Time // when it was taken out of service
	orderedAt time.Time // when the last order to load was sent
	loadSince time.Time // when it was ordered to load, or first seen to load; zero before that
	observed  bool      // seen to load after an order of this plan
}

// Plan is the roll-out of one model. It is not safe for concurrent use.
type Plan struct {
	opts         Options
	outOfService map[string]*progress // by ID
	loadTime     time.Duration        // time from the order until the load has ended; zero if none was observed
}

// New returns a plan without targets.
func New(o Options) *Plan {
	o.LoadShare = cmp.Or(o.LoadShare, defaultLoadShare)
	o.MaxLoadShare = cmp.Or(o.MaxLoadShare, defaultMaxLoadShare)
	o.DrainShare = cmp.Or(o.DrainShare, defaultDrainShare)
	o.LoadTime = cmp.Or(o.LoadTime, defaultLoadTime)
	o.MaxDrain = cmp.Or(o.MaxDrain, defaultMaxDrain)
	o.RetryInterval = cmp.Or(o.RetryInterval, defaultRetryInterval)
	return &Plan{opts: o, outOfService: map[string]*progress{}}
}

// TakeOver adds a target that an earlier leader has taken out of service. Whether it loads shows in its next report.
func (p *Plan) TakeOver(id string, outSince time.Time) {
	if p.outOfService[id] == nil {
		p.outOfService[id] = &progress{outSince: outSince}
	}
}

// Status says why a target that is out of service has not loaded yet.
type Status uint8

// Statuses.
const (
	Waiting      Status = iota // idle, until fewer targets load
	Draining                   // finishes its requests
	Ordered                    // has the order to load and still finishes its requests
	Loading                    // carries out an order
	Unreported                 // its report is missing or pending
	Unresponsive               // does not answer
)

var statusNames = [...]string{"waiting", "draining", "ordered", "loading", "unreported", "unresponsive"}

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
	// A target that has loaded a version that is not the newest any more goes back into service, unless it is the next one to load.
	superseded := map[string]time.Time{}
	for id, pr := range p.outOfService {
		t := byID[id]
		if t == nil {
			delete(p.outOfService, id)
			continue
		}
		loaded := t.Version >= newest || pr.version != 0 && t.Version > pr.version
		pr.version = t.Version
		if loaded {
			p.observeLoad(pr, now)
			delete(p.outOfService, id)
			superseded[id] = pr.outSince
		}
	}
	maxLoads := p.maxLoads(old, len(targets), now)
	maxDraining := int(math.Ceil(float64(len(targets)) * p.opts.DrainShare))
	if expired := countExpired(old, now); expired > maxDraining {
		maxDraining = min(expired, max(maxDraining, maxLoads)) // they serve nothing
	}
	// Targets that do not respond or do not get on with their load free their places for others. Only maxDraining places are freed,
	// because all targets may be unresponsive to the sender of the orders alone.
	failed := 0
	for id, pr := range p.outOfService {
		if byID[id].Unresponsive || p.isStuck(pr, now) {
			failed++
		}
	}
	p.takeOut(old, superseded, maxLoads+maxDraining+min(failed, maxDraining), (len(targets)+1)/2, now)
	s := p.nextStep(byID, maxLoads, now)
	s.Behind = len(old)
	return s
}

// expired reports whether the weights of the target have expired, so that it serves nothing.
func (t *Target) expired(now time.Time) bool { return !t.Expiry.IsZero() && !now.Before(t.Expiry) }

// countExpired returns the number of targets that could load and whose weights have expired.
func countExpired(targets []*Target, now time.Time) int {
	n := 0
	for _, t := range targets {
		if !t.Unresponsive && t.expired(now) {
			n++
		}
	}
	return n
}

// isStuck reports whether a target that has the order to load takes so long that it must not hold up others.
func (p *Plan) isStuck(pr *progress, now time.Time) bool {
	return pr.phase == loading && now.Sub(pr.loadSince) > max(stuckLoads*cmp.Or(p.loadTime, p.opts.LoadTime), minStuckTime)
}

// observeLoad records how long a load that has ended took, if its beginning is known. Shorter times than before count at once and longer
// ones little: a load that others have slowed down must not lead to still more at once.
func (p *Plan) observeLoad(pr *progress, now time.Time) {
	if !pr.observed {
		return
	}
	took := now.Sub(pr.loadSince)
	if p.loadTime == 0 || took < p.loadTime {
		p.loadTime = took
		return
	}
	p.loadTime += (took - p.loadTime) / 8
}

// maxLoads returns how many of all targets may load at once: enough that each of the old ones that answer has loaded before its weights expire, but
// not less than LoadShare and, if there are several, not more than MaxLoadShare. Targets whose weights have expired serve nothing while they
// wait, so they are loaded as fast as MaxLoadShare allows.
func (p *Plan) maxLoads(old []*Target, all int, now time.Time) int {
	least := max(int(float64(all)*p.opts.LoadShare), 1)
	most := max(int(math.Ceil(float64(all)*p.opts.MaxLoadShare)), least)
	loadTime := cmp.Or(p.loadTime, p.opts.LoadTime)
	var ends []time.Duration       // time until each load that is under way ends
	waiting := map[time.Time]int{} // targets that still have to load, by their expiry
	start := p.opts.MaxDrain       // time until the next load can begin
	for _, t := range old {
		pr := p.outOfService[t.ID]
		if pr != nil {
			start = 0
		}
		switch {
		case t.Unresponsive, pr != nil && p.isStuck(pr, now): // nothing that is loaded sooner helps it
		case pr != nil && !pr.loadSince.IsZero():
			ends = append(ends, max(loadTime-now.Sub(pr.loadSince), 0))
		case !t.Expiry.IsZero():
			waiting[t.Expiry]++
		}
	}
	needed, earlier := 0, 0
	for _, expiry := range slices.SortedFunc(maps.Keys(waiting), time.Time.Compare) {
		earlier += waiting[expiry]
		left := expiry.Sub(now) - start
		inUse := 0 // loads that can follow those under way in time
		for _, end := range ends {
			inUse += int(max(left-end, 0) / loadTime)
		}
		more := max(earlier-inUse, 0)
		if rounds := int((max(left, 0) + loadTime/lateShare) / loadTime); rounds > 1 {
			more = (more + rounds - 1) / rounds
		}
		needed = max(needed, len(ends)+more)
	}
	return min(max(needed, least), most)
}

// takeOut takes further targets out of service until maxOut are: first busy ones, since they are loading already, then
// those on the oldest weights, whose time limit ends first. superseded has the targets that were out of service until now, and since when.
// Of the targets whose weights have not expired, not more than maxUnexpired are out of service.
func (p *Plan) takeOut(old []*Target, superseded map[string]time.Time, maxOut, maxUnexpired int, now time.Time) {
	unexpired := 0
	for _, t := range old {
		if p.outOfService[t.ID] != nil && !t.expired(now) {
			unexpired++
		}
	}
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
			if !t.expired(now) {
				if unexpired >= maxUnexpired {
					continue
				}
				unexpired++
			}
			since, wasOut := superseded[t.ID]
			if !wasOut {
				since = now
			}
			p.outOfService[t.ID] = &progress{version: t.Version, outSince: since}
		}
	}
}

// nextStep returns the targets out of service, and of those the ones to load now: at most maxLoads at a time, those on the oldest
// weights first, and of these the longest out of service.
func (p *Plan) nextStep(byID map[string]*Target, maxLoads int, now time.Time) Step {
	var s Step
	for id := range p.outOfService {
		s.OutOfService = append(s.OutOfService, id)
	}
	slices.Sort(s.OutOfService)
	loads := 0
	for id, pr := range p.outOfService {
		t := byID[id]
		if !t.Unreported {
			pr.observe(t, now)
		}
		// A target that has the order and still finishes its requests counts as well: it begins to load at any time.
		if pr.phase == loading && !p.isStuck(pr, now) {
			loads++
		}
	}
	byUrgency := slices.Clone(s.OutOfService)
	slices.SortStableFunc(byUrgency, func(a, b string) int {
		return cmp.Or(cmp.Compare(byID[a].Version, byID[b].Version), p.outOfService[a].outSince.Compare(p.outOfService[b].outSince))
	})
	for _, id := range byUrgency {
		pr, t := p.outOfService[id], byID[id]
		switch {
		case t.Busy || t.Unreported || t.Unresponsive:
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

// observe applies the reported state of the target.
func (pr *progress) observe(t *Target, now time.Time) {
	if t.Busy {
		pr.phase = loading
		pr.observed = !pr.orderedAt.IsZero()
		if pr.loadSince.IsZero() {
			pr.loadSince = now
		}
	}
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
		case t.Unreported:
			status = Unreported
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
		if pr.loadSince.IsZero() {
			pr.loadSince = now
		}
	}
}
