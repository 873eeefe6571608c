package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	egretv1 "github.com/egrethoist/egrethoist/gen/egret/v1"
	"github.com/egrethoist/egrethoist/internal/apikey"
	"github.com/egrethoist/egrethoist/internal/kvcache/keeper"
	"github.com/egrethoist/egrethoist/internal/kvcache/placement"
	"github.com/egrethoist/egrethoist/internal/limit"
	"github.com/egrethoist/egrethoist/internal/membership"
	"github.com/egrethoist/egrethoist/internal/once"
	"github.com/egrethoist/egrethoist/internal/retry"
	"github.com/egrethoist/egrethoist/internal/routing"
	"github.com/egrethoist/egrethoist/internal/sleep"
	"github.com/egrethoist/egrethoist/internal/world"
)

// serviceView is what a request needs of its service. It is immutable, but for counters.
type serviceView struct {
	service  *world.Service
	targets  *routing.Snapshot
	homes    *once.Homes // of idempotency keys
	budget   *retry.Budget
	places   *placement.View // of prompts; nil for plain services
	transfer placement.PrefixOptions
}

// view is the immutable state that the path of a request reads: one configuration and what is known of targets.
type view struct {
	world    *world.World
	services map[string]*serviceView
	limits   *limit.Set
	keys     *apikey.Index
}

// service returns the view of a service; nil if there is none.
func (v *view) service(name string) *serviceView {
	if v == nil {
		return nil
	}
	return v.services[name]
}

// viewer builds views. Only one goroutine at a time replaces the view; requests read it without a lock.
type viewer struct {
	opts    *Options
	pool    *pool
	recent  *placement.RecentTargets
	dirty   chan struct{} // signalled when the view is out of date
	mu      sync.Mutex
	cur     atomic.Pointer[view]
	wake    chan struct{}    // closed and replaced with every new view
	members *membership.View // under mu
}

func newViewer(opts *Options, pool *pool) *viewer {
	return &viewer{
		opts:    opts,
		pool:    pool,
		recent:  placement.NewRecentTargets(recentPrompts, time.Now()),
		dirty:   make(chan struct{}, 1),
		wake:    make(chan struct{}),
		members: membership.New(membership.Options{}),
	}
}

func (v *viewer) current() *view { return v.cur.Load() }

// Bounds on the time between two views.
const (
	minViewPeriod = 10 * time.Millisecond // changes within it are joined
	maxViewPeriod = time.Second           // for what changes by the passing of time alone
)

// run replaces the view after changes, joined within minViewPeriod, until ctx ends.
func (v *viewer) run(ctx context.Context) {
	tick := time.NewTicker(maxViewPeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-v.dirty:
		case <-tick.C:
		}
		v.rebuild()
		sleep.For(ctx, minViewPeriod)
	}
}

// touch asks for a new view.
func (v *viewer) touch() {
	select {
	case v.dirty <- struct{}{}:
	default:
	}
}

// refused notes that a sidecar refused work as drained, perhaps because it knows a newer configuration.
func (v *viewer) refused(target string, incarnation uint64) {
	v.mu.Lock()
	v.members.RecordRefusal(target, incarnation, time.Now())
	v.mu.Unlock()
	v.touch()
}

// join brings the membership up to date and returns a reading of it.
func (v *viewer) join(w *world.World, old *view, now time.Time) *membership.Snapshot {
	if old == nil || old.world != w {
		v.members.SetWorld(w, now)
	}
	if v.opts.Instances != nil {
		list := v.opts.Instances()
		if list.Sequence != 0 {
			v.members.SetList(list.All, list.Sequence, now)
		}
	}
	for name, conn := range v.pool.table.Load().conns {
		c := conn.cond.Load()
		v.members.SetConnected(name, c.alive, now)
		if c.alive {
			v.members.UpdateSidecar(name, membership.SidecarReport{Incarnation: conn.stats.Incarnation(), Stopping: c.phase == routing.PhaseLeaving}, now)
		}
	}
	return v.members.Snapshot(now)
}

// rebuild replaces the view after a change of the configuration or of a target's condition.
func (v *viewer) rebuild() {
	v.mu.Lock()
	defer v.mu.Unlock()
	w := v.opts.Config.Current()
	if w == nil {
		return
	}
	old := v.cur.Load()
	next := &view{world: w, services: make(map[string]*serviceView, len(w.Services))}
	if old != nil && old.world == w {
		next.limits, next.keys = old.limits, old.keys
	} else {
		next.limits = limit.NewSet(w, prevLimits(old))
		next.keys = apikey.NewIndex(w.Workspaces)
	}
	members := v.join(w, old, time.Now())
	for name, s := range w.Services {
		next.services[name] = v.service(w, s, old, members)
	}
	v.cur.Store(next)
	close(v.wake)
	v.wake = make(chan struct{})
}

// Refresh replaces what requests read of the configuration and of targets, as a change of either does.
func (e *Entry) Refresh() { e.viewer.rebuild() }

// changes returns a channel that is closed when the view is next replaced.
func (v *viewer) changes() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.wake
}

func prevLimits(old *view) *limit.Set {
	if old == nil {
		return nil
	}
	return old.limits
}

func (v *viewer) service(w *world.World, s *world.Service, old *view, members *membership.Snapshot) *serviceView {
	sv := &serviceView{service: s}
	var prev *routing.Snapshot
	if before := old.service(s.Name); before != nil {
		prev, sv.budget = before.targets, before.budget
	} else {
		sv.budget = retry.NewBudget(retry.BudgetOptions{}, time.Now())
	}
	sv.places = v.places(w, s, old)
	sv.transfer = transferCost(w, s)
	var candidates []routing.Candidate
	var homes []string
	for _, t := range s.Targets {
		candidates = append(candidates, v.candidate(w, t, members.Members[t.Name]))
		if w.TakesNewWork(t) {
			homes = append(homes, t.Name)
		}
	}
	sv.targets = routing.NewSnapshot(s.Name, s.Cold.InFlight, candidates, prev)
	sv.homes = once.NewHomes(once.Generation{Revision: w.Revision.Number, Targets: homes})
	return sv
}

// places is kept while the configuration is: targets that come and go do not move homes.
func (v *viewer) places(w *world.World, s *world.Service, old *view) *placement.View {
	if s.Kind != world.KindModel {
		return nil
	}
	var places *placement.View
	if before := old.service(s.Name); before != nil && old.world == w {
		places = before.places
	} else {
		places = placement.NewView(keeper.TargetGroup(s), keeper.StoreGroup(w, s), v.recent)
	}
	return places.WithSummaries(v.summaries(s))
}

func (v *viewer) summaries(s *world.Service) map[string][]placement.SummaryEntry {
	held := make(map[string][]placement.SummaryEntry, len(s.Targets))
	for _, t := range s.Targets {
		if conn := v.pool.get(t.Name); conn != nil {
			held[t.Name] = conn.cond.Load().held
		}
	}
	return held
}

// Distances assumed between an entry and a target, one way.
const (
	distanceSameDomain = 100 * time.Microsecond
	distanceSameRegion = time.Millisecond
	distanceElsewhere  = 40 * time.Millisecond
)

func (v *viewer) candidate(w *world.World, t *world.Target, m membership.Member) routing.Candidate {
	c := routing.Candidate{
		Target:        t.Name,
		FailureDomain: t.FailureDomain,
		Sidecar:       t.Sidecar,
		Disabled:      out(m.Cause),
		OneWayDelay:   distanceElsewhere,
	}
	if d := w.FailureDomains[t.FailureDomain]; d != nil {
		c.Region = d.Region
	}
	switch {
	case t.FailureDomain == v.opts.FailureDomain:
		c.OneWayDelay = distanceSameDomain
	case c.Region == v.opts.Region:
		c.OneWayDelay = distanceSameRegion
	}
	if m.Ramp != nil {
		c.Ramp = m.Ramp
	}
	if conn := v.pool.get(t.Name); conn != nil {
		cond := conn.cond.Load()
		c.Phase = cond.phase
		c.LinkAlive = cond.alive
		c.Versions = cond.versions
		c.Stats = conn.stats
	}
	return c
}

// out reports whether a cause keeps new work off a target. An idle or lost connection is judged by itself.
func out(c membership.Cause) bool {
	return c != membership.CauseNone && c != membership.CauseUnconnected
}

// reconcile matches connections with the configuration, and makes a new view if either has changed.
func (e *Entry) reconcile(ctx context.Context) {
	w := e.opts.Config.Current()
	if w == nil {
		return
	}
	opened := e.pool.reconcile(ctx, e.wanted(w, time.Now()), func(ctx context.Context, c *sidecarConn) { c.watch(ctx, e.watcher) })
	if v := e.viewer.current(); opened || v == nil || v.world != w {
		e.viewer.rebuild()
	}
}

func (e *Entry) observe(stamp *egretv1.RevisionStamp, peer string) {
	if stamp != nil {
		e.opts.Config.Observe(stamp, peer)
	}
}
