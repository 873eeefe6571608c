// Package membership decides which targets are eligible for new work. It combines four sources, none of which is reliable
// alone: the configuration, the platform's instance list (which lags), the state of connections, and the reports of the
// sidecars. Each of them can exclude a target at once. A target is included again only when no source excludes it, and then a
// Ramp raises its limit of requests in flight with completed work.
package membership

import (
	"cmp"
	"time"

	"github.com/egrethoist/egrethoist/internal/platform"
	"github.com/egrethoist/egrethoist/internal/world"
)

// Cause is the reason why a target accepts no new work. CauseNone means that it does accept work.
type Cause int

// Causes, in order of precedence.
const (
	CauseNone        Cause = iota
	CauseUnknown           // not in the configuration
	CauseDrained           // drained by the configuration, alone or with its failure domain
	CauseLeaving           // marked as leaving in the platform's list, or removed from it
	CauseStopping          // its sidecar reported that it is stopping
	CauseRefused           // its sidecar refused work as drained, so it has a newer configuration
	CauseUnconnected       // no working connection
)

var causeNames = [...]string{"none", "unknown", "drained", "leaving", "stopping", "refused", "unconnected"}

// String returns the lower-case name of the cause.
func (c Cause) String() string { return causeNames[c] }

// Options configure a View. Zero values select the defaults of the package.
type Options struct {
	RefusalHoldTime  time.Duration // time for which a refusal as drained excludes a target, unless its sidecar reports
	MassLossFraction float64       // a list that loses more than this fraction of the known instances at once is delayed
	MassLossMin      int           // minimum number of lost instances for such a delay, unless the list is empty
	MassLossDelay    time.Duration // time for which such a loss must persist before it is accepted
	RampLimit        int           // limit of requests in flight at which a ramp ends
}

// Defaults of Options.
const (
	defaultRefusalHoldTime  = 3 * time.Second
	defaultMassLossFraction = 0.5
	defaultMassLossMin      = 4
	defaultMassLossDelay    = 30 * time.Second
	defaultRampLimit        = 64
)

func (o Options) withDefaults() Options {
	o.RefusalHoldTime = cmp.Or(o.RefusalHoldTime, defaultRefusalHoldTime)
	o.MassLossFraction = cmp.Or(o.MassLossFraction, defaultMassLossFraction)
	o.MassLossMin = cmp.Or(o.MassLossMin, defaultMassLossMin)
	o.MassLossDelay = cmp.Or(o.MassLossDelay, defaultMassLossDelay)
	o.RampLimit = cmp.Or(o.RampLimit, defaultRampLimit)
	return o
}

// SidecarReport is the state that a sidecar reports on a connection.
type SidecarReport struct {
	Incarnation uint64 // increases with every start of the sidecar
	Stopping    bool
}

// View is the state of the targets as one process knows it. It is not safe for concurrent use; readers use Snapshots.
type View struct {
	opts     Options
	world    *world.World
	members  map[string]*member
	list     *listState
	refusing map[string]*member // members that may be excluded by a refusal
	cached   *Snapshot          // latest snapshot; nil if anything has changed since
}

// member is the state of one target that comes neither from the configuration nor from the list.
type member struct {
	connected    bool
	incarnation  uint64
	stopping     bool
	refusedUntil time.Time
	cause        Cause // as of the last refresh
	ramp         *Ramp
}

// New returns an empty view, in which every target is excluded.
func New(opts Options) *View {
	return &View{
		opts:     opts.withDefaults(),
		members:  map[string]*member{},
		refusing: map[string]*member{},
		list:     newListState(opts.withDefaults()),
	}
}

// SetWorld applies a configuration. It discards the state of targets that the configuration does not contain.
func (v *View) SetWorld(w *world.World, now time.Time) {
	v.world, v.cached = w, nil
	for name := range v.members {
		if w.Targets[name] == nil {
			delete(v.members, name)
			delete(v.refusing, name)
		}
	}
	for name := range w.Targets {
		v.ensureMember(name)
	}
	v.list.pruneRemoved(w)
	v.refreshAll(now)
}

// ensureMember returns the member of a target and creates it if needed.
func (v *View) ensureMember(name string) *member {
	m := v.members[name]
	if m == nil {
		m = &member{cause: CauseUnknown}
		v.members[name] = m
	}
	return m
}

// SetList applies the platform's list. It ignores a list with a lower sequence than the last one. The loss of a large fraction of
// all instances at once takes effect only after it has persisted, so that a faulty instance list does not stop the service.
func (v *View) SetList(instances []platform.Instance, sequence uint64, now time.Time) {
	if sequence < v.list.sequence {
		return
	}
	v.list.sequence = sequence
	v.list.update(instances, now)
	v.refreshAll(now)
}

// SetConnected records whether any connection to the target's sidecar works.
func (v *View) SetConnected(target string, works bool, now time.Time) {
	m, ok := v.members[target]
	if !ok {
		return
	}
	m.connected = works
	v.refreshMember(target, now)
}

// UpdateSidecar applies a report of the target's sidecar. It ignores reports of an older incarnation: a process that was replaced
// while it was suspended may still send them. A new incarnation starts a new ramp.
func (v *View) UpdateSidecar(target string, report SidecarReport, now time.Time) {
	m, ok := v.members[target]
	if !ok || report.Incarnation < m.incarnation {
		return
	}
	if report.Incarnation > m.incarnation {
		m.incarnation = report.Incarnation
		m.cause = CauseUnknown // refreshMember starts a ramp
	}
	m.stopping = report.Stopping
	if !report.Stopping {
		m.refusedUntil = time.Time{}
	}
	v.refreshMember(target, now)
}

// RecordRefusal records that the sidecar refused work as drained or leaving. It ignores refusals of an older incarnation.
func (v *View) RecordRefusal(target string, incarnation uint64, now time.Time) {
	m, ok := v.members[target]
	if !ok || incarnation < m.incarnation {
		return
	}
	m.refusedUntil = now.Add(v.opts.RefusalHoldTime)
	v.refusing[target] = m
	v.refreshMember(target, now)
}

// Cause returns why the target accepts no new work, CauseNone if it does.
func (v *View) Cause(target string, now time.Time) Cause {
	m := v.members[target]
	if m == nil || v.world == nil {
		return CauseUnknown
	}
	t := v.world.Targets[target]
	switch {
	case t == nil:
		return CauseUnknown
	case !v.world.TakesNewWork(t):
		return CauseDrained
	case v.list.leaving(target):
		return CauseLeaving
	case m.stopping:
		return CauseStopping
	case now.Before(m.refusedUntil):
		return CauseRefused
	case !m.connected:
		return CauseUnconnected
	}
	return CauseNone
}

// refreshAll recomputes the cause of every member.
func (v *View) refreshAll(now time.Time) {
	v.list.reconcile(now)
	for name := range v.members {
		v.refreshMember(name, now)
	}
}

// refreshMember recomputes the cause of one member and starts a ramp if the member is eligible again.
func (v *View) refreshMember(name string, now time.Time) {
	m := v.members[name]
	cause := v.Cause(name, now)
	if cause == m.cause {
		return
	}
	m.cause = cause
	v.cached = nil
	if cause == CauseNone {
		m.ramp = newRamp(v.opts.RampLimit) // a new ramp, so that work from before the exclusion completes on the old one
	}
}

// refreshExpired applies the changes that depend on time alone: the end of refusals and of the delay of a mass loss. It is cheap, as
// it visits only few members outside a mass loss.
func (v *View) refreshExpired(now time.Time) {
	if !v.list.massLossSince.IsZero() {
		v.refreshAll(now)
	}
	for name, m := range v.refusing {
		if !now.Before(m.refusedUntil) {
			delete(v.refusing, name)
		}
		v.refreshMember(name, now)
	}
}

// Member is one target in a Snapshot.
type Member struct {
	Target      string
	Cause       Cause
	Incarnation uint64
	Ramp        *Ramp // shared by all snapshots until the next exclusion; nil if the target was never eligible
}

// Snapshot is an immutable copy of a View.
type Snapshot struct {
	Members map[string]Member
}

// Snapshot returns a copy for the request path. It returns the same pointer while nothing has changed. Call it after every change
// and at least once a second, so that changes that depend on time take effect.
func (v *View) Snapshot(now time.Time) *Snapshot {
	v.refreshExpired(now)
	if v.cached != nil {
		return v.cached
	}
	s := &Snapshot{Members: make(map[string]Member, len(v.members))}
	for name, m := range v.members {
		s.Members[name] = Member{Target: name, Cause: m.cause, Incarnation: m.incarnation, Ramp: m.ramp}
	}
	v.cached = s
	return s
}
