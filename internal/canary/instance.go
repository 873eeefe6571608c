package canary

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// sealMargin is the time before the deadline at which an instance without a permit leaves the old targets by itself: later than that the
	// owner may write done without it.
	sealMargin = 700 * time.Millisecond
	// shortestPermit is the time for which a permit is valid in a fleet of up to some 270 instances.
	shortestPermit = time.Second
	// doneExclusion is how long after done the old versions are excluded, and rolledBackExclusion how long the new version is after a rollback
	// even if no target of another version is known.
	doneExclusion       = 5 * time.Minute
	rolledBackExclusion = time.Minute
	// newVersionGrace is how long a version that has appeared beside others is not used while the metadata is stale: an order for it may be
	// unknown here.
	newVersionGrace = 2 * time.Minute
	// suspicion is the evidence from which an instance that has lost the owner no longer uses the new version.
	suspicion = 4
	// overruleTime is several times the way of counts to the owner and back.
	overruleTime = time.Second
	// minJudgePeriod bounds how often an instance judges its own counts.
	minJudgePeriod = 20 * time.Millisecond
)

// Instance is what one instance knows and does of the rollout of one service. It is not safe for concurrent use.
type Instance struct {
	rng     *rand.Rand
	service string

	record    *Record // in the metadata store; nil if there is none
	order     *Order  // in the metadata store; nil if there is none
	finalSeen time.Time
	versions  []string             // of the usable targets
	firstSeen map[string]time.Time // of versions
	updated   bool                 // a version has been seen
	permit    *Permit              // of the present rollout; nil if there is none
	permitEnd time.Time
	token     uint64    // highest seen
	deadline  time.Time // by the last permit: wall clocks differ; zero without one

	// Of the rollout with this epoch:
	epoch    int64
	limiter  *Limiter
	counter  *Counter
	attempts map[*Attempt]struct{}
	sealed   bool
	// reportedClosed is set once the owner has been told that nothing of this instance runs at old targets: nothing may begin there again.
	reportedClosed bool
	ownStop        string
	ownStopAt      time.Time
	heardStop      string
	judgedAt       time.Time
	urgent         bool // the owner is to hear of a bad answer soon
}

// Attempt is an attempt at a target that has not ended.
type Attempt struct {
	key    Key
	cold   bool
	began  time.Time
	first  bool   // the first event has arrived
	cancel func() // ends the attempt
}

// NewInstance returns the state of a service without a rollout.
func NewInstance(service string, rng *rand.Rand) *Instance {
	i := &Instance{service: service, rng: rng, firstSeen: map[string]time.Time{}}
	i.reset(0)
	return i
}

func (i *Instance) reset(epoch int64) {
	i.epoch, i.limiter, i.counter, i.attempts = epoch, NewLimiter(i.rng), NewCounter(), map[*Attempt]struct{}{}
	i.reportedClosed = false
	i.sealed, i.ownStop, i.heardStop, i.permit, i.finalSeen, i.deadline = false, "", "", nil, time.Time{}, time.Time{}
}

// Update takes in the metadata: the record and the order, nil if there are none, and the versions of the usable targets.
func (i *Instance) Update(record *Record, order *Order, versions []string, now time.Time) {
	if record != nil && record.StartedMs != i.epoch {
		running := i.attempts
		i.reset(record.StartedMs)
		i.attempts = running // they still end, and are at targets of some version
	}
	if record == nil && i.record != nil {
		running := i.attempts
		i.reset(0) // a permit without its record says nothing
		i.attempts = running
	}
	i.record, i.order, i.versions = record, order, versions
	for _, v := range versions {
		if _, known := i.firstSeen[v]; !known {
			i.firstSeen[v] = now
			if !i.updated || len(i.firstSeen) == 1 {
				i.firstSeen[v] = now.Add(-newVersionGrace) // the versions of the first metadata are established
			}
		}
	}
	i.updated = i.updated || len(versions) > 0
	for v, at := range i.firstSeen {
		if !slices.Contains(versions, v) && now.Sub(at) > newVersionGrace {
			delete(i.firstSeen, v)
		}
	}
	if record != nil && record.Phase.Final() && i.finalSeen.IsZero() {
		i.finalSeen = now
	}
	i.seal(now)
}

// TakePermit takes in a permit of the owner. It returns false if it is of an earlier owner or of another rollout.
func (i *Instance) TakePermit(p *Permit, now time.Time) bool {
	if p.Token < i.token {
		return false
	}
	i.token = p.Token
	if i.record == nil || p.Epoch != i.epoch {
		return false // the record arrives with the metadata
	}
	if p.Phase.rank() < i.phase().rank() {
		return false // overtaken, or of a new owner whose metadata is behind
	}
	i.permit, i.permitEnd = p, now.Add(time.Duration(p.TTLMs)*time.Millisecond)
	i.deadline = now.Add(time.Duration(p.LeftMs) * time.Millisecond)
	if p.Phase == PhaseRamp {
		// The long permits of a large fleet must not outlast the time at which a silent instance leaves old targets.
		end := i.deadline.Add(-sealMargin)
		if shortest := now.Add(shortestPermit); end.Before(shortest) {
			end = shortest // an instance that hears from the owner keeps its permit
		}
		if end.Before(i.permitEnd) {
			i.permitEnd = end
		}
	}
	if p.Stop != "" && i.heardStop == "" {
		i.heardStop = p.Stop
	}
	if i.phase().Final() && i.finalSeen.IsZero() {
		i.finalSeen = now
	}
	i.seal(now)
	if p.Cut || i.phase() == PhaseDone {
		i.cutOld()
	}
	return true
}

// phase returns the latest phase that the metadata store is known to have.
func (i *Instance) phase() Phase {
	phase := PhaseNone
	if i.record != nil {
		phase = i.record.Phase
	}
	if i.permit != nil && i.permit.Phase.rank() > phase.rank() {
		phase = i.permit.Phase
	}
	return phase
}

func (i *Instance) permitted(now time.Time) bool { return i.permit != nil && now.Before(i.permitEnd) }

// seal decides whether old targets get nothing more.
func (i *Instance) seal(now time.Time) {
	switch i.phase() {
	case PhaseRamp:
		i.sealed = !i.stopped(now) && !i.permitted(now) && i.pastSeal(now)
	case PhaseSwitch:
		// What only this instance has seen is no reason to use old targets when they may stop.
		i.sealed = !i.stopped(now) || i.heardStop == "" && i.pastSeal(now)
	case PhaseDone:
		i.sealed = true
	default:
		i.sealed = false
	}
}

// pastSeal reports whether the deadline is so near that the owner may write done without hearing from this instance.
func (i *Instance) pastSeal(now time.Time) bool {
	return !i.deadline.IsZero() && !now.Before(i.deadline.Add(-sealMargin))
}

// stopped reports whether this instance gives the new version nothing more. During the switch the owner, which knows the counts of all instances,
// overrules an instance after a time: what that one sees may be its own links.
func (i *Instance) stopped(now time.Time) bool {
	overruled := i.phase() == PhaseSwitch && i.permitted(now) && now.Sub(i.ownStopAt) >= overruleTime
	return i.heardStop != "" || i.ownStop != "" && !overruled
}

// Stopped returns why this instance gives the new version nothing more although the rollout runs; empty if it does.
func (i *Instance) Stopped() string {
	if i.ownStop != "" {
		return i.ownStop
	}
	return i.heardStop
}

// Running reports whether a rollout runs.
func (i *Instance) Running() bool { p := i.phase(); return p == PhaseRamp || p == PhaseSwitch }

// Choice is where a request may go.
type Choice struct {
	// Versions are the software versions that the request may use. It is nil if all may be used, and never empty otherwise.
	Versions []string
	Exposed  bool // the request has been counted as one that goes to the new version
	Epoch    int64
}

// Choose decides at which versions a new request of a route may run. fresh is whether the metadata is. The request is counted.
func (i *Instance) Choose(route string, fresh bool, now time.Time) Choice {
	i.seal(now)
	c := Choice{Epoch: i.epoch}
	switch i.phase() {
	case PhaseRamp:
		if i.sealed {
			c.Versions, c.Exposed = []string{i.record.Target}, true
			i.limiter.requests++
			i.limiter.AddExposed()
			return c
		}
		share := 0.0
		if fresh && i.permitted(now) && !i.stopped(now) {
			share = i.permit.Share
			if s, ok := i.permit.Routes[route]; ok {
				share = s
			}
		}
		bound := 0.0
		if i.permit != nil {
			bound = i.permit.Bound
		}
		if share > 0 && i.limiter.Allow(route, share, bound) {
			c.Exposed, c.Versions = true, []string{i.record.Target}
			return c
		}
		if share == 0 {
			i.limiter.requests++
		}
	case PhaseSwitch:
		i.limiter.requests++
		if i.sealed {
			i.limiter.AddExposed()
			c.Exposed = true
		}
	}
	c.Versions = i.Allowed(fresh, now)
	return c
}

// Return takes back that a request goes to the new version, since no target of that could take it.
func (i *Instance) Return(c Choice, route string) {
	if c.Exposed && c.Epoch == i.epoch {
		i.limiter.Return(route)
	}
}

// Allowed returns the versions at which a request may run that is not among those of the share. It is nil if all may be used.
func (i *Instance) Allowed(fresh bool, now time.Time) []string {
	i.seal(now)
	switch phase := i.phase(); {
	case phase == PhaseSwitch && i.sealed, phase == PhaseRamp && i.sealed:
		return []string{i.record.Target}
	case phase == PhaseRamp, phase == PhaseSwitch:
		return i.oldVersions()
	}
	excluded := func(v string) bool { return i.excluded(v, fresh, now) }
	if !slices.ContainsFunc(i.versions, excluded) {
		return nil
	}
	return orNone(slices.DeleteFunc(slices.Clone(i.versions), excluded))
}

// excluded reports whether a version gets nothing while no rollout runs.
func (i *Instance) excluded(v string, fresh bool, now time.Time) bool {
	others := slices.ContainsFunc(i.versions, func(o string) bool { return o != v })
	if i.record != nil && slices.Contains(i.record.Abandoned, v) && (others || now.Sub(i.finalSeen) < rolledBackExclusion) {
		return true
	}
	switch i.phase() {
	case PhaseDone:
		if slices.Contains(i.record.Old, v) && now.Sub(i.finalSeen) < doneExclusion {
			return true
		}
	case PhaseRolledBack:
		if v == i.record.Target && (others || now.Sub(i.finalSeen) < rolledBackExclusion) {
			return true
		}
	}
	if i.order != nil && i.order.Target == v && others && (i.record == nil || !i.record.Covers(*i.order)) {
		return true // the owner has not begun yet
	}
	return !fresh && others && now.Sub(i.firstSeen[v]) < newVersionGrace
}

// noVersion is allowed in place of an empty list, which would allow all.
const noVersion = "none"

func orNone(versions []string) []string {
	if len(versions) == 0 {
		return []string{noVersion}
	}
	return versions
}

func (i *Instance) oldVersions() []string { return orNone(i.record.Old) }

// MayResume reports whether a stream that began at a version may go on there.
func (i *Instance) MayResume(version string, now time.Time) bool {
	if i.record != nil && slices.Contains(i.record.Abandoned, version) && slices.ContainsFunc(i.versions, func(o string) bool { return o != version }) {
		return false
	}
	switch i.phase() {
	case PhaseDone:
		return !slices.Contains(i.record.Old, version) || now.Sub(i.finalSeen) >= doneExclusion
	case PhaseSwitch, PhaseRamp:
		if i.sealed && slices.Contains(i.record.Old, version) {
			return !i.reportedClosed && !i.pastSeal(now) && (i.permit == nil || !i.permit.Cut) // until then its target may end it in time
		}
		return version != i.record.Target || !i.stopped(now)
	case PhaseRolledBack:
		return version != i.record.Target
	}
	return true
}

// WorksInRamp reports whether a target of the new version is one of the few that get requests in the ramp. rank is its place among the targets
// of the version, in an order that is the same at all instances.
func (i *Instance) WorksInRamp(target string, rank int) bool {
	if i.permit != nil && slices.Contains(i.permit.Exclude, target) {
		return false
	}
	if i.phase() != PhaseRamp {
		return true
	}
	if i.permit == nil || i.permit.Targets == 0 {
		return rank < probeTargets
	}
	return rank < i.permit.Targets+len(i.permit.Exclude)
}

// IsTarget reports whether a rollout to the version runs.
func (i *Instance) IsTarget(version string) bool { return i.Running() && i.record.Target == version }

// Begin notes an attempt that is about to be sent, and reports whether it may be: between the choice and the send the phase may have changed. versions
// are those of the choice. cancel ends the attempt. The attempt must be ended in any case.
func (i *Instance) Begin(k Key, exposed, resumes, cold, fresh bool, cancel func(), now time.Time) (*Attempt, bool) {
	i.seal(now)
	a := &Attempt{key: k, cold: cold, began: now, cancel: cancel}
	isNew := i.isNew(a)
	i.attempts[a] = struct{}{}
	if resumes {
		if isNew && i.Running() {
			i.limiter.AddExposed()
		}
		return a, i.MayResume(k.Version, now)
	}
	if i.Running() && isNew && !i.sealed {
		return a, exposed && fresh && i.permitted(now) && !i.stopped(now) && i.phase() == PhaseRamp
	}
	allowed := i.Allowed(fresh, now)
	return a, allowed == nil || slices.Contains(allowed, k.Version)
}

// GotFirst notes that the first event or the head of an answer has arrived.
func (i *Instance) GotFirst(a *Attempt) { a.first = true }

// End notes that an attempt has ended. answer is nil if the target did not take it on, or its end says nothing of the target.
func (i *Instance) End(a *Attempt, answer *Answer, now time.Time) {
	delete(i.attempts, a)
	if answer == nil || !i.Running() {
		return
	}
	k := a.key
	if k.Version != i.record.Target {
		if !slices.Contains(i.record.Old, k.Version) {
			return
		}
		k.Target = ""
	}
	answer.Cold = answer.Cold || a.cold
	i.counter.Add(k, *answer)
	if !i.isNew(a) || !answer.Failed {
		return
	}
	i.urgent = true
	if i.ownStop != "" || now.Sub(i.judgedAt) < minJudgePeriod {
		return
	}
	i.judgedAt = now
	if v := i.judge(); v.bad && v.evidence >= decisiveAlone || !i.permitted(now) && v.evidence >= suspicion {
		i.ownStop, i.ownStopAt = "this instance alone: "+v.reason, now
		i.seal(now)
	}
}

// isNew reports whether an attempt is at the new version.
func (i *Instance) isNew(a *Attempt) bool { return i.record != nil && a.key.Version == i.record.Target }

// isOld reports whether an attempt is at a version that the new one replaces.
func (i *Instance) isOld(a *Attempt) bool {
	return i.record != nil && slices.Contains(i.record.Old, a.key.Version)
}

// judge returns the verdict of this instance's own counts.
func (i *Instance) judge() verdict {
	whole := map[string]*group{}
	targets := map[string]bool{}
	for k, c := range i.counter.counts {
		if whole[k.Route] == nil {
			whole[k.Route] = newGroup()
		}
		isNew := k.Version == i.record.Target
		if isNew {
			targets[k.Target] = true
		}
		whole[k.Route].add(k, isNew, c)
	}
	return evaluate(whole, []*snapshot{nil}, nil, max(len(targets), 2), decisiveAlone, decisiveAlone, func(string) bool { return true })
}

// cutOld ends the attempts at old targets.
func (i *Instance) cutOld() {
	for a := range i.attempts {
		if i.sealed && i.isOld(a) {
			a.cancel()
		}
	}
}

// Deadline returns the deadline of the rollout as the owner has told, zero if it has not.
func (i *Instance) Deadline() time.Time { return i.deadline }

// Record returns the record of the last rollout, nil if there is none, and its latest phase.
func (i *Instance) Record() (*Record, Phase) { return i.record, i.phase() }

// Tick does what comes with time alone: near the deadline an instance without a permit ends its attempts at old targets.
func (i *Instance) Tick(now time.Time) {
	i.seal(now)
	if i.sealed && i.Running() && !i.permitted(now) && i.pastSeal(now.Add(-sealMargin/4)) {
		i.cutOld()
	}
}

// Urgent reports whether the owner is to hear of bad answers before the next report is due, and resets that.
func (i *Instance) Urgent() bool {
	was := i.urgent
	i.urgent = false
	return was
}

// Report returns the report to the owner, false if no rollout runs.
func (i *Instance) Report(now time.Time) (*Report, bool) {
	if !i.Running() {
		return nil, false
	}
	i.seal(now)
	waiting := map[Key][]time.Duration{}
	r := &Report{Service: i.service, Epoch: i.epoch, Sealed: i.sealed, HeardStop: i.heardStop}
	for a := range i.attempts {
		switch {
		case i.isOld(a):
			r.InFlightOld++
		case i.isNew(a) && !a.cold && !a.first:
			waiting[a.key] = append(waiting[a.key], now.Sub(a.began))
		}
	}
	i.reportedClosed = r.Sealed && r.InFlightOld == 0
	r.Requests, r.Exposed = i.limiter.Counts()
	r.Cells = i.counter.Cells(waiting)
	return r, true
}

// PermitOf returns the permit for a decision.
func PermitOf(service string, epoch int64, token uint64, committed Phase, d Decision, deadline time.Time, ttl time.Duration, now time.Time) *Permit {
	return &Permit{
		Token: token, Service: service, Epoch: epoch, Phase: committed, Share: d.Share, Routes: d.Routes, Bound: d.Bound, Exclude: d.Exclude, Targets: d.Targets, Cut: d.Cut,
		Stop: d.Stop, LeftMs: deadline.Sub(now).Milliseconds(), TTLMs: ttl.Milliseconds(),
	}
}

// Targets returns the targets of the version in the order in which they get requests in the ramp, given a hash of each.
func Targets(hashes map[string]uint64) []string {
	out := make([]string, 0, len(hashes))
	for t := range hashes {
		out = append(out, t)
	}
	slices.SortFunc(out, func(a, b string) int {
		if hashes[a] != hashes[b] {
			if hashes[a] < hashes[b] {
				return -1
			}
			return 1
		}
		return compare(a, b)
	})
	return out
}

// WorksKey changes when WorksInRamp changes for a target.
func (i *Instance) WorksKey() string {
	key := string(i.phase())
	if i.permit != nil {
		key += fmt.Sprint(i.permit.Targets, i.permit.Exclude)
	}
	return key
}

// Epoch returns what identifies the present rollout.
func (i *Instance) Epoch() int64 { return i.epoch }

// Requests returns the requests of the service since the begin of the rollout, and those that went to the new version.
func (i *Instance) Requests() (requests, exposed int) { return i.limiter.Counts() }
