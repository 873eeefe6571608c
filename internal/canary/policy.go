package canary

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

const (
	// baseShare is the share of the requests that the new version gets in the ramp.
	baseShare = 0.02
	// slackShare is the fraction of the slack in the bounds that the ramp uses as well: it is most of the evidence where requests are few.
	slackShare = 0.3
	maxShare   = 0.15
	// routeAnswers is the number of answers that each route is to have by the end of the ramp, as far as maxShare allows.
	routeAnswers = 15
	// localBound and localSlack are the fractions of the bounds within which each instance keeps by its own counts.
	localBound = 0.75
	localSlack = 0.5
	// guardTime is the time before the deadline at which the requests at old targets are to have ended: the rest is for the store.
	guardTime = 900 * time.Millisecond
	// cutDelay is how long after that an instance ends them by itself.
	cutDelay = 100 * time.Millisecond
	// forceTime is the time before the deadline at which done is written although an instance has not been heard from.
	forceTime = 350 * time.Millisecond
	// cutTime is how long the instances have for that.
	cutTime = 200 * time.Millisecond
	// holdTime is how long the new version serves all requests before the old targets may stop.
	holdTime = 300 * time.Millisecond
	// switchAnswers is the number of answers for which the old targets wait after the switch, as long as there is time: enough to see a version
	// that is bad under load. enoughTime is the time before the deadline at which they no longer wait.
	switchAnswers = 25
	enoughTime    = 600 * time.Millisecond
	// minDrain is the shortest time that is planned for requests at old targets to end.
	minDrain = 150 * time.Millisecond
	// drainShare is the fraction of ExposeShare that the requests may amount to which go to the new version while old targets drain.
	drainShare = 0.4
	// probeTargets is the number of targets of the new version that get its requests in the ramp: few, so that each gets as much as possible,
	// and enough to tell one bad target from a bad version.
	probeTargets = 3
	// loadProbeTime is how long they get as much as old targets do, before the switch; maxLoadShare bounds the share for that.
	loadProbeTime  = time.Second
	loadProbeShare = 0.1 // of the ramp, at most
	maxLoadShare   = 0.17
	// learnTime is how long a new owner gathers reports before it decides.
	learnTime = 500 * time.Millisecond
	// silentTime is the age of a report from which its instance counts as not heard from.
	silentTime = 1500 * time.Millisecond
	// noTargetTime is how long a version that takes all requests may have no target.
	noTargetTime = time.Second
	// snapshotPeriod and the windows: evidence is also taken of the last seconds alone, so that a good beginning hides nothing.
	snapshotPeriod = 200 * time.Millisecond
	// evaluatePeriod bounds how often the evidence is weighed.
	evaluatePeriod = 20 * time.Millisecond
	// doubtful is the evidence with which the switch waits for more answers as long as it can.
	doubtful = 2
)

var windows = [...]time.Duration{800 * time.Millisecond, 3 * time.Second}

// Style is a way to choose the shares of the ramp.
type Style uint8

// Styles of a ramp.
const (
	StyleByRoute Style = iota // a fixed share, more on routes with few requests
	StyleFixed                // the same fixed share on all routes
	StyleGrowing              // a share that doubles with good answers
)

// Start is what is known of a rollout when the owner begins to follow it.
type Start struct {
	Order    Order
	Epoch    int64 // Record.StartedMs
	Started  time.Time
	Deadline time.Time
	Phase    Phase
	Fresh    bool // this owner has begun the rollout
	Style    Style
}

// Policy is the owner's judgement of one rollout. It is not safe for concurrent use.
type Policy struct {
	bounds  Bounds
	start   Start
	began   time.Time // when this owner began to follow the rollout
	phase   Phase
	stopped string // reason of a stop that the owner has told to instances, empty for none

	senders   map[string]*sender // by instance
	total     map[Key]*Count
	requests  int // of all instances, gone ones included
	exposed   int
	snapshots []snapshot
	cutAt     time.Time // when instances were first told to end their requests at old targets
	switched  time.Time // when the switch was decided, or first seen
	untilGone time.Time // since when no target of the new version was known; zero if one is
	excluded  map[string]bool
	shares    map[string]float64 // by route, as decided last
	evaluated time.Time
	last      verdict // as of evaluated
	atSwitch  *snapshot
}

type sender struct {
	incarnation uint64
	sequence    uint64
	heard       time.Time
	requests    int
	exposed     int
	inFlight    int
	sealed      bool
	dropped     bool // what it waits for has been forgotten since its last report
	cells       map[Key]Count
}

// snapshot is what was counted in all until a time.
type snapshot struct {
	at    time.Time
	total map[Key]Count
}

// NewPolicy returns the policy of a rollout.
func NewPolicy(b Bounds, s Start, now time.Time) *Policy {
	p := &Policy{
		bounds: b, start: s, began: now, phase: s.Phase, senders: map[string]*sender{}, total: map[Key]*Count{}, excluded: map[string]bool{},
		shares: map[string]float64{},
	}
	if s.Phase == PhaseSwitch {
		p.switched = now
	}
	return p
}

// Observe takes in the report of an instance.
func (p *Policy) Observe(r *Report, now time.Time) {
	s := p.senders[r.Instance]
	if s == nil || s.incarnation != r.Incarnation {
		if s != nil {
			p.dropWaiting(s)
		}
		s = &sender{incarnation: r.Incarnation, cells: map[Key]Count{}}
		p.senders[r.Instance] = s
	}
	if r.HeardStop != "" && p.stopped == "" && p.phase != PhaseDone {
		p.stopped = r.HeardStop
	}
	s.dropped = false
	for _, c := range r.Cells {
		old := s.cells[c.Key]
		if c.Answers < old.Answers {
			continue // overtaken
		}
		if p.total[c.Key] == nil {
			p.total[c.Key] = new(Count)
		}
		t := p.total[c.Key]
		t.sub(&old)
		t.Waiting.sub(&old.Waiting)
		t.add(&c.Count)
		s.cells[c.Key] = c.Count
	}
	if r.Sequence < s.sequence {
		return
	}
	p.requests += r.Requests - s.requests
	p.exposed += r.Exposed - s.exposed
	s.sequence, s.heard, s.requests, s.exposed, s.inFlight, s.sealed = r.Sequence, now, r.Requests, r.Exposed, r.InFlightOld, r.Sealed
}

// dropWaiting forgets the attempts that an instance waits for.
func (p *Policy) dropWaiting(s *sender) {
	if s.dropped {
		return
	}
	s.dropped = true
	for k, c := range s.cells {
		p.total[k].Waiting.sub(&c.Waiting)
		c.Waiting = Histogram{}
		s.cells[k] = c
	}
}

// Input is what the owner knows of the fleet.
type Input struct {
	Instances  []string // registered
	NewTargets []string // usable targets of the new version
	OldTargets int
}

// Decision is what is to hold now.
type Decision struct {
	Phase   Phase
	Share   float64            // of routes that Routes does not name
	Routes  map[string]float64 // shares by route
	Bound   float64            // see Limiter
	Exclude []string           // targets of the new version that get nothing
	Targets int                // number of targets of the new version that get requests in the ramp
	Cut     bool               // instances end their requests at old targets
	Stop    string             // reason why the new version gets nothing more; the rollback is not recorded yet
	Reason  string
}

// Committed records the phase that the metadata store has.
func (p *Policy) Committed(phase Phase, now time.Time) {
	if phase == PhaseSwitch && p.phase != PhaseSwitch {
		p.switched = now
		p.atSwitch = p.snapshot(now)
	}
	p.phase = phase
}

// Next returns what is to hold now. A phase that differs from the one before holds once the metadata store has it.
func (p *Policy) Next(in Input, now time.Time) Decision {
	p.forgetSilent(now)
	p.takeSnapshot(now)
	d := Decision{Phase: p.phase, Bound: p.bound(now)}
	if p.phase.Final() {
		return d
	}
	if p.stopped == "" {
		if now.Sub(p.evaluated) >= evaluatePeriod {
			p.evaluated, p.last = now, p.evaluate(in)
		}
		if v := p.last; v.bad {
			p.stopped = v.reason
		} else if v.outlier != "" && len(in.NewTargets) > probeTargets-1 && 3*(len(p.excluded)+1) <= len(in.NewTargets) {
			p.excluded[v.outlier] = true
		}
	}
	if p.stopped != "" {
		d.Phase, d.Stop, d.Reason = PhaseRolledBack, p.stopped, p.stopped
		return d
	}
	d.Exclude = slices.Sorted(maps.Keys(p.excluded))
	if len(in.NewTargets) > 0 {
		p.untilGone = time.Time{}
	} else if p.untilGone.IsZero() {
		p.untilGone = now
	}
	if p.phase == PhaseSwitch {
		p.nextOfSwitch(&d, in, now)
		return d
	}
	p.nextOfRamp(&d, in, now)
	return d
}

// learned reports whether this owner knows enough to decide: it has begun the rollout, or has heard from the instances.
func (p *Policy) learned(in Input, now time.Time) bool {
	silent := slices.ContainsFunc(in.Instances, func(name string) bool { return p.senders[name] == nil })
	return p.start.Fresh || !silent || now.Sub(p.began) >= learnTime
}

func (p *Policy) nextOfRamp(d *Decision, in Input, now time.Time) {
	learned := p.learned(in, now)
	switch {
	case len(in.NewTargets) == 0 && !now.Before(p.start.Deadline):
		d.Phase, d.Reason = PhaseRolledBack, "no target has the version"
		d.Stop = d.Reason
		p.stopped = d.Reason
	case len(in.NewTargets) == 0:
		d.Reason = "waits for targets of the version"
	case in.OldTargets == 0 && learned:
		d.Phase, d.Reason = PhaseSwitch, "no target of an old version is left"
	default:
		plan := p.plan(now)
		if learned && !now.Before(plan.all) {
			d.Phase, d.Reason = PhaseSwitch, fmt.Sprintf("no evidence against the version in %d answers", p.newAnswers())
			return
		}
		d.Share, d.Routes, d.Targets = p.rampShares(in, plan, now)
		d.Reason = "ramp"
	}
}

func (p *Policy) nextOfSwitch(d *Decision, in Input, now time.Time) {
	d.Share = 1
	left := p.start.Deadline.Sub(now)
	waiting, inFlight := p.unsealed(in.Instances, now)
	d.Cut = left <= guardTime-cutDelay && now.Sub(p.switched) >= holdTime
	if d.Cut && p.cutAt.IsZero() {
		p.cutAt = now
	}
	learned := p.learned(in, now)
	doubt := p.last.evidence >= doubtful
	switch {
	case !p.untilGone.IsZero() && now.Sub(p.untilGone) >= noTargetTime && in.OldTargets > 0:
		d.Phase, d.Stop = PhaseRolledBack, "no target of the version is left"
		d.Reason = d.Stop
		p.stopped = d.Stop
	case learned && waiting == 0 && inFlight == 0 && now.Sub(p.switched) >= holdTime && !doubt && (p.answersSinceSwitch() >= switchAnswers || left <= enoughTime):
		d.Phase, d.Reason = PhaseDone, "no request is left at old targets"
	case learned && left <= forceTime && d.Cut && now.Sub(p.cutAt) >= cutTime:
		d.Phase, d.Reason = PhaseDone, fmt.Sprintf("the deadline is near: %d instances not heard from, %d requests at old targets", waiting, inFlight)
	default:
		d.Reason = fmt.Sprintf("switch: %d instances not heard from, %d requests at old targets", waiting, inFlight)
	}
}

// answersSinceSwitch returns the answers of the new version since it takes all requests.
func (p *Policy) answersSinceSwitch() int {
	n := p.newAnswers()
	if p.atSwitch == nil {
		return n
	}
	for k, c := range p.atSwitch.total {
		if k.Version == p.start.Order.Target {
			n -= c.Answers
		}
	}
	return n
}

// unsealed returns the instances that may still send to old targets, and the requests there.
func (p *Policy) unsealed(instances []string, now time.Time) (waiting, inFlight int) {
	for _, name := range instances {
		s := p.senders[name]
		if s == nil || !s.sealed || now.Sub(s.heard) > silentTime {
			waiting++
		}
	}
	for _, s := range p.senders {
		if now.Sub(s.heard) <= silentTime {
			inFlight += s.inFlight
		}
	}
	return waiting, inFlight
}

// forgetSilent drops what silent instances wait for. Their counts stay.
func (p *Policy) forgetSilent(now time.Time) {
	for _, s := range p.senders {
		if now.Sub(s.heard) > silentTime {
			p.dropWaiting(s)
		}
	}
}

// takeSnapshot keeps the counts for the windows.
func (p *Policy) takeSnapshot(now time.Time) {
	if n := len(p.snapshots); n > 0 && now.Sub(p.snapshots[n-1].at) < snapshotPeriod {
		return
	}
	longest := windows[len(windows)-1]
	for len(p.snapshots) > 1 && now.Sub(p.snapshots[1].at) >= longest {
		p.snapshots = p.snapshots[1:]
	}
	p.snapshots = append(p.snapshots, *p.snapshot(now))
}

func (p *Policy) snapshot(now time.Time) *snapshot {
	s := &snapshot{at: now, total: make(map[Key]Count, len(p.total))}
	for k, c := range p.total {
		s.total[k] = *c
	}
	return s
}

// groups returns the counts by route since a snapshot, or since the begin.
func (p *Policy) groups(since *snapshot) map[string]*group {
	out := map[string]*group{}
	for k, c := range p.total {
		if out[k.Route] == nil {
			out[k.Route] = newGroup()
		}
		count := *c
		if since != nil {
			before := since.total[k]
			count.sub(&before)
		}
		out[k.Route].add(k, k.Version == p.start.Order.Target, &count)
	}
	return out
}

// windowStarts returns the snapshots from which evidence is taken; nil is the begin.
func (p *Policy) windowStarts() []*snapshot {
	out := []*snapshot{nil}
	if p.atSwitch != nil {
		out = append(out, p.atSwitch)
	}
	for _, w := range windows {
		for i := len(p.snapshots) - 1; i >= 0; i-- {
			if p.snapshots[len(p.snapshots)-1].at.Sub(p.snapshots[i].at) >= w {
				out = append(out, &p.snapshots[i])
				break
			}
		}
	}
	return out
}

// evaluate returns the strongest verdict on the new version.
func (p *Policy) evaluate(in Input) verdict {
	targets := len(in.NewTargets)
	later := func(route string) bool { return p.phase == PhaseSwitch || p.shares[route] >= 1 }
	return evaluate(p.groups(nil), p.windowStarts(), p.groups, targets, decisive, decisiveSlow, later)
}

// evaluate tests each route, and all routes together, over each window. later reports whether no request of a route goes to old versions.
func evaluate(whole map[string]*group, starts []*snapshot, groups func(*snapshot) map[string]*group, targets int, need, needSlow float64, later func(route string) bool) verdict {
	best := verdict{}
	take := func(v verdict, where string) {
		if v.reason != "" {
			v.reason = where + v.reason
		}
		best = best.stronger(v)
	}
	for _, since := range starts {
		byRoute := whole
		if since != nil {
			byRoute = groups(since)
		}
		all, allSlow, explained, clean := newGroup(), slowTests{}, 0.0, 0.0
		for route, g := range byRoute {
			n := g.answers()
			if n == 0 && len(g.newest) == 0 {
				continue
			}
			reference := &g.old
			if reference.Answers < minOldLatencies {
				reference = &whole[route].old
			}
			// A few answers of a window without a failure do not prove that old versions never fail.
			longest := &whole[route].old
			allowed := max(failureRate(reference.Failed, reference.Answers), failureRate(longest.Failed, longest.Answers))
			rate := max(cleanRate(reference.Failed, reference.Answers), cleanRate(longest.Failed, longest.Answers))
			explained, clean = explained+allowed*float64(n), clean+rate*float64(n)
			for t, c := range g.newest {
				all.add(Key{Target: t}, true, c)
			}
			take(g.failures(allowed, rate, need, targets), "route "+route+": ")
			slow := g.slowness(reference, later(route))
			take(slow.judge(needSlow, targets), "route "+route+": ")
			allSlow.add(&slow)
		}
		if n := float64(all.answers()); n > 0 {
			take(all.failures(explained/n, clean/n, need, targets), "")
			take(allSlow.judge(needSlow, targets), "")
		}
	}
	return best
}

func (p *Policy) newAnswers() (n int) {
	for k, c := range p.total {
		if k.Version == p.start.Order.Target {
			n += c.Answers
		}
	}
	return n
}

// expected returns the requests that are expected between order and deadline.
func (p *Policy) expected(now time.Time) float64 {
	elapsed := max(now.Sub(p.start.Started), learnTime)
	return float64(p.requests) * max(float64(p.start.Deadline.Sub(p.start.Started))/float64(elapsed), 1)
}

// bound returns the share of its requests that an instance may give to the new version in the ramp.
func (p *Policy) bound(now time.Time) float64 {
	return p.bounds.ExposeShare*localBound + localSlack*float64(p.bounds.ExposeSlack)/max(p.expected(now), 100)
}

// schedule is when routes move to the new version.
type schedule struct {
	routes map[string]time.Time // by route with longer requests than others
	first  time.Time
	all    time.Time
}

// plan returns the times at which routes move. A route moves before the others if its requests take longer to end, as far as the requests that
// then go to the new version stay few.
func (p *Policy) plan(now time.Time) schedule {
	ramp := p.start.Deadline.Sub(p.start.Started)
	end := p.start.Deadline.Add(-guardTime - holdTime)
	answers, drains, total := map[string]int{}, map[string]time.Duration{}, 0
	durations := map[string]*Histogram{}
	for k, c := range p.total {
		answers[k.Route] += c.Answers
		total += c.Answers
		if k.Version != p.start.Order.Target {
			if durations[k.Route] == nil {
				durations[k.Route] = new(Histogram)
			}
			durations[k.Route].add(&c.Durations)
		}
	}
	exposed, shortest := 0.0, ramp
	for route, h := range durations {
		drains[route] = min(max(bucketEdges[h.quantile(0.99)], minDrain), ramp/2)
		shortest = min(shortest, drains[route])
		exposed += float64(answers[route]) / float64(max(total, 1)) * float64(drains[route]) / float64(ramp)
	}
	if len(drains) == 0 {
		shortest = minDrain
	}
	scale := min(1, drainShare*p.bounds.ExposeShare/max(exposed, 1e-9))
	s := schedule{routes: map[string]time.Time{}, all: end.Add(-time.Duration(scale * float64(shortest)))}
	s.first = s.all
	for route, d := range drains {
		s.routes[route] = end.Add(-time.Duration(scale * float64(d)))
		if s.routes[route].Before(s.first) {
			s.first = s.routes[route]
		}
	}
	return s
}

// rampShares returns the share of the requests that the new version gets, and of the routes that differ.
func (p *Policy) rampShares(in Input, plan schedule, now time.Time) (share float64, routes map[string]float64, targets int) {
	expected := p.expected(now)
	share, targets = baseShare, probeTargets
	if p.requests > 0 && now.Sub(p.start.Started) >= learnTime {
		share = min(baseShare+slackShare*float64(p.bounds.ExposeSlack)/max(expected, 1), maxShare)
	}
	share = min(share, p.bounds.ExposeShare)
	if p.start.Style == StyleGrowing {
		share = baseShare / 4
		for n := p.newAnswers(); n >= 5 && share < 0.5; n /= 2 {
			share *= 2
		}
	}
	ramp := p.start.Deadline.Sub(p.start.Started)
	probe := min(loadProbeTime, time.Duration(loadProbeShare*float64(ramp)))
	if until := plan.first.Sub(now); until > 0 && until <= probe && in.OldTargets > 0 && p.start.Style != StyleGrowing {
		share = max(share, min(float64(min(len(in.NewTargets), probeTargets))/float64(in.OldTargets), maxLoadShare))
		targets = min(max(int(share*float64(in.OldTargets)+0.5), 1), probeTargets)
	}
	routes = map[string]float64{}
	answers, total := map[string]int{}, 0
	for k, c := range p.total {
		answers[k.Route] += c.Answers
		total += c.Answers
	}
	for route, n := range answers {
		if at, ok := plan.routes[route]; ok && !now.Before(at) {
			routes[route] = 1
			continue
		}
		if p.start.Style == StyleByRoute && n > 0 {
			ofRoute := expected * float64(n) / float64(total)
			if s := min(routeAnswers/max(ofRoute, 1), maxShare); s > share {
				routes[route] = s
			}
		}
	}
	p.shares = routes
	return share, routes, targets
}

// Evidence returns the counts for the record.
func (p *Policy) Evidence() []Evidence {
	byVersion := map[Key]*Count{}
	references := map[string]*Count{}
	for k, c := range p.total {
		short := Key{Version: k.Version, Route: k.Route}
		if byVersion[short] == nil {
			byVersion[short] = new(Count)
		}
		byVersion[short].add(c)
		if k.Version != p.start.Order.Target {
			if references[k.Route] == nil {
				references[k.Route] = new(Count)
			}
			references[k.Route].add(c)
		}
	}
	out := make([]Evidence, 0, len(byVersion))
	for k, c := range byVersion {
		e := Evidence{Version: k.Version, Route: k.Route, Answers: c.Answers, Failed: c.Failed}
		if reference := references[k.Route]; reference != nil {
			e.Slow = slowCounts(reference, c)
		}
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b Evidence) int {
		if a.Version != b.Version {
			return compare(a.Version, b.Version)
		}
		return compare(a.Route, b.Route)
	})
	return out
}

// Exposed returns the requests that all instances have reported, and those of them that went to the new version.
func (p *Policy) Exposed() (requests, exposed int) { return p.requests, p.exposed }

func compare(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
