package entry

import (
	"sync"
	"time"

	"github.com/egrethoist/egrethoist/internal/platform"
	"github.com/egrethoist/egrethoist/internal/subset"
	"github.com/egrethoist/egrethoist/internal/world"
)

// Instances is a snapshot of the platform's instance list, which may be outdated.
type Instances struct {
	Sequence uint64              // increases with every change; zero if the list has not been read yet
	Entries  []subset.Member     // entry gateways in the list
	All      []platform.Instance // every instance in the list
}

// Timeouts of connections outside the subset and of dead connections.
const (
	onDemandTTL = time.Minute     // an on-demand connection is kept for this time after its last request
	deadAfter   = 5 * time.Second // after this time without a live connection, the next target by rank replaces it
)

// onDemandTargets is the set of targets that requests need regardless of the subset, such as homes of idempotency keys.
// Members expire after onDemandTTL.
type onDemandTargets struct {
	mu     sync.Mutex
	expiry map[string]time.Time
	added  chan struct{} // signalled by add
}

func newOnDemandTargets() *onDemandTargets {
	return &onDemandTargets{expiry: map[string]time.Time{}, added: make(chan struct{}, 1)}
}

// add adds a target or renews its expiry, and wakes Entry.Run.
func (d *onDemandTargets) add(target string, now time.Time) {
	d.mu.Lock()
	d.expiry[target] = now.Add(onDemandTTL)
	d.mu.Unlock()
	select {
	case d.added <- struct{}{}:
	default:
	}
}

// requestConnection requests a connection to a target. If its connection is dead, it is redialled soon.
func (e *Entry) requestConnection(target string) {
	e.onDemand.add(target, time.Now())
	if c := e.pool.get(target); c != nil {
		c.requestRedial()
	}
}

// active returns the targets that have not expired and removes the others.
func (d *onDemandTargets) active(now time.Time) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []string
	for target, until := range d.expiry {
		if now.After(until) {
			delete(d.expiry, target)
			continue
		}
		out = append(out, target)
	}
	return out
}

// desiredTargets returns the targets to which this entry keeps connections: its subset of every service and the on-demand
// targets. Without an instance list the subset is all targets.
func (e *Entry) desiredTargets(w *world.World, now time.Time) []*world.Target {
	chosen := map[string]*world.Target{}
	entries := e.knownEntries()
	for _, s := range w.Services {
		if entries == nil {
			addTargets(chosen, s.Targets)
			continue
		}
		fleet := subset.NewFleet(entries, subsetMembers(w, s), subset.Options{})
		for _, m := range fleet.Targets(e.self(), e.isDead) {
			chosen[m.Name] = w.Targets[m.Name]
		}
	}
	for _, name := range e.onDemand.active(now) {
		if t := w.Targets[name]; t != nil {
			chosen[name] = t
		}
	}
	out := make([]*world.Target, 0, len(chosen))
	for _, t := range chosen {
		out = append(out, t)
	}
	return out
}

// addTargets adds targets to a set by name.
func addTargets(chosen map[string]*world.Target, targets []*world.Target) {
	for _, t := range targets {
		chosen[t.Name] = t
	}
}

// subsetMembers returns the targets of a service as members for subsetting.
func subsetMembers(w *world.World, s *world.Service) []subset.Member {
	out := make([]subset.Member, 0, len(s.Targets))
	for _, t := range s.Targets {
		m := subset.Member{Name: t.Name, FailureDomain: t.FailureDomain}
		if d := w.FailureDomains[t.FailureDomain]; d != nil {
			m.Region = d.Region
		}
		out = append(out, m)
	}
	return out
}

// self returns this entry as a member for subsetting.
func (e *Entry) self() subset.Member {
	return subset.Member{Name: e.opts.Name, FailureDomain: e.opts.FailureDomain, Region: e.opts.Region}
}

// knownEntries returns all entries including this one; nil if the instance list is unknown.
func (e *Entry) knownEntries() []subset.Member {
	if e.opts.Instances == nil {
		return nil
	}
	list := e.opts.Instances()
	if list.Sequence == 0 {
		return nil
	}
	for _, m := range list.Entries {
		if m.Name == e.opts.Name {
			return list.Entries
		}
	}
	// The list does not contain this entry yet, since it started recently.
	return append([]subset.Member{e.self()}, list.Entries...)
}

// isDead reports whether the connection to a target has been dead for longer than deadAfter.
func (e *Entry) isDead(target string) bool {
	c := e.pool.get(target)
	return c != nil && c.deadFor(time.Now()) > deadAfter
}
