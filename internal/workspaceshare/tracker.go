package workspaceshare

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// sharesAge is the age at which the shares are computed again: a tenth of timeConstant, as it costs milliseconds with
	// thousands of workspaces.
	sharesAge = 500 * time.Millisecond
	// minRate is the rate in units per second below which usage is forgotten.
	minRate = 1
	// maxOwnKeys bounds the counters of an instance. Beyond it new workspaces are not counted until others are idle.
	maxOwnKeys = 16384
)

// Remote is the usage of other instances.
type Remote struct {
	Usage    []Usage
	At       time.Time // time that Usage is valid for
	NewestAt time.Time // when the newest part was received; zero if nothing was
}

// Options configure a Tracker.
type Options struct {
	// Weight returns the weight of a workspace, above zero. If it is nil, all have the same.
	Weight func(workspace uint32) float64
}

// Tracker holds the usage of this instance and what it knows of the others. It is safe for concurrent use.
type Tracker struct {
	weight func(uint32) float64

	mu         sync.Mutex
	startedAt  time.Time // of the first request
	own        map[Key]*counter
	controlled map[Key]*counter // decisions of overload control alone, by service and urgency
	remote     Remote
	shares     map[uint32]*serviceShares // by service
	sharesAt   time.Time                 // when shares were computed
}

// NewTracker returns a tracker that knows nothing.
func NewTracker(o Options) *Tracker {
	if o.Weight == nil {
		o.Weight = func(uint32) float64 { return 1 }
	}
	return &Tracker{weight: o.Weight, own: map[Key]*counter{}, controlled: map[Key]*counter{}, shares: map[uint32]*serviceShares{}}
}

// Record counts a request that was admitted or refused. cost is its work.
func (t *Tracker) Record(k Key, cost float64, urgency int, admitted bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.startedAt.IsZero() {
		t.startedAt = now
	}
	t.count(k, cost, admitted, now)
	t.count(urgencyKey(k.Service, urgency), requestUnits, admitted, now)
}

// Revoke takes back that a request was admitted: another decision refused it shortly afterwards.
func (t *Tracker) Revoke(k Key, cost float64, urgency int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c := t.own[k]; c != nil {
		c.used = max(c.used-cost, 0)
	}
	if c := t.own[urgencyKey(k.Service, urgency)]; c != nil {
		c.used = max(c.used-requestUnits, 0)
	}
}

// count adds to a counter. t.mu must be held.
func (t *Tracker) count(k Key, cost float64, admitted bool, now time.Time) {
	c := t.own[k]
	if c == nil {
		if len(t.own) >= maxOwnKeys {
			return
		}
		c = &counter{at: now}
		t.own[k] = c
	}
	c.decayTo(now)
	c.asked += cost
	if admitted {
		c.used += cost
	}
}

// Own returns the usage of this instance, the largest first, and forgets idle workspaces.
func (t *Tracker) Own(now time.Time) []Usage {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Usage, 0, len(t.own))
	for k, c := range t.own {
		c.decayTo(now)
		u := c.usage(k)
		if u.Asked < minRate {
			delete(t.own, k)
			continue
		}
		out = append(out, u)
	}
	slices.SortFunc(out, Compare)
	return out
}

func (c *counter) usage(k Key) Usage {
	return Usage{Key: k, Asked: c.asked / timeConstant.Seconds(), Used: c.used / timeConstant.Seconds()}
}

// Compare orders usage by the work asked for, the largest first.
func Compare(a, b Usage) int {
	return cmp.Or(cmp.Compare(b.Asked, a.Asked), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Workspace, b.Workspace))
}

// SetRemote replaces the usage of the other instances. It ignores an empty one: the last known usage is kept and decays.
func (t *Tracker) SetRemote(r Remote) {
	if r.NewestAt.IsZero() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.remote = r
}

// Assess returns the standing of a workspace for a request with the given cost and urgency.
func (t *Tracker) Assess(k Key, cost float64, urgency int, now time.Time) Standing {
	t.mu.Lock()
	defer t.mu.Unlock()
	age, heard := now.Sub(t.remote.NewestAt), !t.remote.NewestAt.IsZero()
	if !heard {
		age = -1
	}
	// An instance without messages must have counted for timeConstant: the first requests say little of the rates.
	if !heard && (t.startedAt.IsZero() || now.Sub(t.startedAt) < timeConstant) {
		out := neutral
		out.Age = age
		return out
	}
	if now.Sub(t.sharesAt) >= sharesAge {
		t.computeShares(now)
	}
	s := t.shares[k.Service]
	if s == nil {
		s = newServiceShares(nil, t.weight) // nothing was known of the service when shares were computed
	}
	out := s.standing(k.Workspace, t.weight(k.Workspace), cost)
	out.Age = age
	if out.Contended {
		outranked, wronged := s.urgencies.compare(urgency)
		if wronged || !t.scarce(k.Service, urgency, now) {
			out.Scale = 1
		}
		if outranked {
			out.Outranked, out.Scale, out.Benefit = true, minScale, 0
		}
	}
	return out
}

// computeShares computes the shares of all services from the usage of all instances. t.mu must be held.
func (t *Tracker) computeShares(now time.Time) {
	usage := map[uint32]map[uint32]Usage{} // by service and workspace
	add := func(u Usage) {
		byWorkspace := usage[u.Service]
		if byWorkspace == nil {
			byWorkspace = make(map[uint32]Usage, len(t.own))
			usage[u.Service] = byWorkspace
		}
		sum := byWorkspace[u.Workspace]
		byWorkspace[u.Workspace] = Usage{Key: u.Key, Asked: sum.Asked + u.Asked, Used: sum.Used + u.Used}
	}
	for k, c := range t.own {
		c.decayTo(now)
		add(c.usage(k))
	}
	if age := now.Sub(t.remote.At); age < MaxAge {
		for _, u := range t.remote.Usage {
			add(u.Aged(age))
		}
	}
	t.sharesAt = now
	clear(t.shares)
	for service, byWorkspace := range usage {
		t.shares[service] = newServiceShares(byWorkspace, t.weight)
	}
}
