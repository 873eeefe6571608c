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

// serviceView is the state of one service that requests read. It is immutable except for counters.
type serviceView struct {
	service    *world.Service
	targets    *routing.Snapshot
	homes      *once.Homes // home targets of idempotency keys
	budget     *retry.Budget
	placement  *placement.View // where prompts are cached; nil for plain services
	prefixOpts placement.PrefixOptions
}

// view is the immutable state that requests read: one configuration and the state of the targets.
type view struct {
	world    *world.World
	services map[string]*serviceView
	limits   *limit.Set
	keys     *apikey.Index
}

// service returns the view of a service; nil if there is none or v is nil.
func (v *view) service(name string) *serviceView {
	if v == nil {
		return nil
	}
	return v.services[name]
}

// viewBuilder builds views. Rebuilds are serialized by mu; requests read the latest view without a lock.
type viewBuilder struct {
	opts          *Options
	pool          *pool
	recentTargets *placement.RecentTargets
	dirty         chan struct{} // signalled when the view is outdated
	mu            sync.Mutex
	latest        atomic.Pointer[view]
	replaced      chan struct{}    // closed and replaced with every new view
	membership    *membership.View // under mu
}

func newViewBuilder(opts *Options, pool *pool) *viewBuilder {
	return &viewBuilder{
		opts:          opts,
		pool:          pool,
		recentTargets: placement.NewRecentTargets(maxRecentPrompts, time.Now()),
		dirty:         make(chan struct{}, 1),
		replaced:      make(chan struct{}),
		membership:    membership.New(membership.Options{}),
	}
}

// current returns the latest view, or nil if there is no configuration yet.
func (b *viewBuilder) current() *view { return b.latest.Load() }

// Minimum and maximum time between two rebuilds.
const (
	minViewPeriod = 10 * time.Millisecond // changes within this time share a rebuild
	maxViewPeriod = time.Second           // picks up changes that are not signalled: elapsed timeouts and cache summaries
)

// run rebuilds the view after changes, at most once per minViewPeriod and at least once per maxViewPeriod, until ctx ends.
func (b *viewBuilder) run(ctx context.Context) {
	tick := time.NewTicker(maxViewPeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-b.dirty:
		case <-tick.C:
		}
		b.rebuild()
		sleep.For(ctx, minViewPeriod)
	}
}

// markDirty requests a rebuild.
func (b *viewBuilder) markDirty() {
	select {
	case b.dirty <- struct{}{}:
	default:
	}
}

// recordRefusal records that a sidecar refused a request because it is drained. It may have a newer configuration than the
// entry.
func (b *viewBuilder) recordRefusal(target string, incarnation uint64) {
	b.mu.Lock()
	b.membership.RecordRefusal(target, incarnation, time.Now())
	b.mu.Unlock()
	b.markDirty()
}

// updateMembership updates the membership from the configuration, the instance list and the connections, and returns a
// snapshot of it. The caller must hold mu.
func (b *viewBuilder) updateMembership(w *world.World, old *view, now time.Time) *membership.Snapshot {
	if old == nil || old.world != w {
		b.membership.SetWorld(w, now)
	}
	if b.opts.Instances != nil {
		list := b.opts.Instances()
		if list.Sequence != 0 {
			b.membership.SetList(list.All, list.Sequence, now)
		}
	}
	for name, conn := range b.pool.table.Load().conns {
		c := conn.condition.Load()
		b.membership.SetConnected(name, c.alive, now)
		if c.alive {
			b.membership.UpdateSidecar(name, membership.SidecarReport{Incarnation: conn.stats.Incarnation(), Stopping: c.phase == routing.PhaseLeaving}, now)
		}
	}
	return b.membership.Snapshot(now)
}

// rebuild replaces the view with one of the current configuration and target conditions. Without a configuration it does
// nothing.
func (b *viewBuilder) rebuild() {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.opts.Config.Current()
	if w == nil {
		return
	}
	old := b.latest.Load()
	next := &view{world: w, services: make(map[string]*serviceView, len(w.Services))}
	if old != nil && old.world == w {
		next.limits, next.keys = old.limits, old.keys
	} else {
		next.limits = limit.NewSet(w, previousLimits(old))
		next.keys = apikey.NewIndex(w.Workspaces)
	}
	members := b.updateMembership(w, old, time.Now())
	for name, s := range w.Services {
		next.services[name] = b.buildService(w, s, old, members)
	}
	b.latest.Store(next)
	close(b.replaced)
	b.replaced = make(chan struct{})
}

// RebuildView immediately updates the view of the configuration and the targets that requests read. Run does the same after
// each change.
func (e *Entry) RebuildView() { e.views.rebuild() }

// changes returns a channel that is closed at the next rebuild.
func (b *viewBuilder) changes() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.replaced
}

// previousLimits returns the limits of the previous view, so that their usage carries over; nil if there is none.
func previousLimits(old *view) *limit.Set {
	if old == nil {
		return nil
	}
	return old.limits
}

// buildService builds the view of one service. The retry budget and the utilization average carry over from the previous
// view.
func (b *viewBuilder) buildService(w *world.World, s *world.Service, old *view, members *membership.Snapshot) *serviceView {
	sv := &serviceView{service: s}
	var prev *routing.Snapshot
	if previous := old.service(s.Name); previous != nil {
		prev, sv.budget = previous.targets, previous.budget
	} else {
		sv.budget = retry.NewBudget(retry.BudgetOptions{}, time.Now())
	}
	sv.placement = b.placementView(w, s, old)
	sv.prefixOpts = prefixOptions(w, s)
	var candidates []routing.Candidate
	var homes []string
	for _, t := range s.Targets {
		candidates = append(candidates, b.buildCandidate(w, t, members.Members[t.Name]))
		if w.TakesNewWork(t) {
			homes = append(homes, t.Name)
		}
	}
	sv.targets = routing.NewSnapshot(s.Name, s.Cold.InFlight, candidates, prev)
	sv.homes = once.NewHomes(once.Generation{Revision: w.Revision.Number, Targets: homes})
	return sv
}

// placementView returns the cache placement of a service; nil for plain services. The owners of prompts depend on the
// configuration only, so they do not move when targets fail or return.
func (b *viewBuilder) placementView(w *world.World, s *world.Service, old *view) *placement.View {
	if s.Kind != world.KindModel {
		return nil
	}
	var pv *placement.View
	if previous := old.service(s.Name); previous != nil && old.world == w {
		pv = previous.placement
	} else {
		pv = placement.NewView(keeper.TargetGroup(s), keeper.StoreGroup(w, s), b.recentTargets)
	}
	return pv.WithSummaries(b.summaries(s))
}

// summaries returns the cache summaries of a service's connected targets.
func (b *viewBuilder) summaries(s *world.Service) map[string][]placement.SummaryEntry {
	summaries := make(map[string][]placement.SummaryEntry, len(s.Targets))
	for _, t := range s.Targets {
		if conn := b.pool.get(t.Name); conn != nil {
			summaries[t.Name] = conn.condition.Load().summary
		}
	}
	return summaries
}

// Assumed one-way network delays between an entry and a target.
const (
	distanceSameDomain = 100 * time.Microsecond
	distanceSameRegion = time.Millisecond
	distanceElsewhere  = 40 * time.Millisecond
)

// buildCandidate returns the routing candidate of a target.
func (b *viewBuilder) buildCandidate(w *world.World, t *world.Target, m membership.Member) routing.Candidate {
	c := routing.Candidate{
		Target:        t.Name,
		FailureDomain: t.FailureDomain,
		Sidecar:       t.Sidecar,
		Disabled:      excludesTarget(m.Cause),
		OneWayDelay:   distanceElsewhere,
	}
	if d := w.FailureDomains[t.FailureDomain]; d != nil {
		c.Region = d.Region
	}
	switch {
	case t.FailureDomain == b.opts.FailureDomain:
		c.OneWayDelay = distanceSameDomain
	case c.Region == b.opts.Region:
		c.OneWayDelay = distanceSameRegion
	}
	if m.Ramp != nil {
		c.Ramp = m.Ramp
	}
	if conn := b.pool.get(t.Name); conn != nil {
		cond := conn.condition.Load()
		c.Phase = cond.phase
		c.LinkAlive = cond.alive
		c.Versions = cond.versions
		c.Stats = conn.stats
	}
	return c
}

// excludesTarget reports whether a cause excludes a target from new requests. CauseUnconnected does not, because routing
// checks the connection itself.
func excludesTarget(c membership.Cause) bool {
	return c != membership.CauseNone && c != membership.CauseUnconnected
}

// reconcile matches the connections with the configuration, and rebuilds the view if either has changed.
func (e *Entry) reconcile(ctx context.Context) {
	w := e.opts.Config.Current()
	if w == nil {
		return
	}
	opened := e.pool.reconcile(ctx, e.desiredTargets(w, time.Now()), func(ctx context.Context, c *sidecarConn) { c.watch(ctx, e.watchOpts) })
	if v := e.views.current(); opened || v == nil || v.world != w {
		e.views.rebuild()
	}
}

// observeRevision passes on a configuration revision received from a peer; nil is ignored.
func (e *Entry) observeRevision(stamp *egretv1.RevisionStamp, peer string) {
	if stamp != nil {
		e.opts.Config.Observe(stamp, peer)
	}
}
