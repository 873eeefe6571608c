package gateway

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"github.com/egrethoist/egrethoist/internal/canary"
	"github.com/egrethoist/egrethoist/internal/catalog"
	"github.com/egrethoist/egrethoist/internal/coldshare"
	"github.com/egrethoist/egrethoist/internal/delegate"
	"github.com/egrethoist/egrethoist/internal/forecast"
	"github.com/egrethoist/egrethoist/internal/instancelist"
	"github.com/egrethoist/egrethoist/internal/kvcache/prefilltime"
	"github.com/egrethoist/egrethoist/internal/kvcache/retirement"
	"github.com/egrethoist/egrethoist/internal/kvcache/transfertime"
	"github.com/egrethoist/egrethoist/internal/metastore"
	"github.com/egrethoist/egrethoist/internal/retry"
	"github.com/egrethoist/egrethoist/internal/roster"
	"github.com/egrethoist/egrethoist/internal/routing"
	"github.com/egrethoist/egrethoist/internal/steadytime"
	"github.com/egrethoist/egrethoist/internal/streampin"
	"github.com/egrethoist/egrethoist/internal/targetconn"
	"github.com/egrethoist/egrethoist/internal/targetlimit"
)

// view is the snapshot of configuration and targets by which requests are routed. It is immutable, except for the statistics and
// budgets that it points to.
type view struct {
	catalog          *catalog.Catalog
	revision         uint64 // of the catalog
	metadataRevision uint64 // revision of the metadata store that the view was built from
	services         map[string]*service
	weights          map[string]int               // newest weight version by model
	versionHistory   *roster.WeightVersions       // first sightings and expiries of weight versions
	versionTime      time.Time                    // when the view was built, as versionHistory counts time
	retired          map[string]retirement.Shares // cached parts that are no longer fetched or saved, by model
	instances        int                          // instances that count as running, this one included
	registered       bool                         // this instance has a live record
	shared           *sharedScope                 // cache scope of the workspaces that are not isolated, nil if none is usable
	links            map[string]transfertime.Link // network links of KV-cache stores, by address
}

// service is one service of a view, with its usable targets.
type service struct {
	*catalog.Service
	snapshot       *routing.Snapshot
	targets        map[string]*target // usable targets by ID
	orderedTargets []*target          // the same, ordered by ID
	budget         *retry.Budget
	grantStats     *targetlimit.GrantStats // grants and refusals of requests to limited targets
	grantQueue     *targetlimit.Queue      // requests that wait for grants
	prefill        *prefilltime.Estimator  // nil for plain services
	forecast       *forecast.Service       // nil for plain services
	software       *streampin.Service      // nil if no streams of the service may be resumed
	streamLifetime time.Duration           // longest life of such a stream
	beginAny       []string                // software versions at which new streams may begin; nil: all
	beginUnwritten []string                // the same while records of streams can't be written
}

// StateOptions configure a State.
type StateOptions struct {
	Self        string            // name of this instance
	Regions     map[string]string // region by failure domain
	Domain      string            // this instance's failure domain
	Records     Records
	Roster      roster.Options
	RecoveredAt func() time.Time // when the metadata store was last reached again after an outage; zero if there was none
	// MetadataAge returns the time since the items were last confirmed by the metadata store, false if they never were. If it is
	// nil, the age is unknown.
	MetadataAge func() (time.Duration, bool)
	// Suspended returns the total time for which the machine was suspended since the process started. If it is nil, it never was.
	Suspended func() time.Duration
	// WaitFresh waits until the items are fresh enough to send requests, or as fresh as they can get. If it is nil, they always
	// are.
	WaitFresh      func(ctx context.Context)
	ColdRateFactor float64 // a cold target is overloaded from its declared rate times this factor plus ColdRateSlack
	ColdRateSlack  float64 // requests per second
	RetryRatio     float64 // retries allowed per request, over all instances
	RetryFloor     float64 // retries allowed per RetryWindow in addition, over all instances
	RetryWindow    time.Duration
	// RolloutTimeout is the time within which a newly released weight version must be in use on all targets.
	RolloutTimeout time.Duration
	// LastResortTime is how long after its notice a leaving target may still be chosen if no other can serve.
	LastResortTime time.Duration
	// Store holds the records of streams. If it is nil, streams are only remembered by this instance.
	Store metastore.Store
	// RolloutBounds are the bounds of rollouts of software that operators order. If it is nil, there are none.
	RolloutBounds *canary.Bounds
	// FirstStart is set if the whole system starts for the first time, so that no stream has begun yet.
	FirstStart bool
	Metrics    tally.Scope     // nil: no metrics
	Dial       targetconn.Dial // opens connections to targets; nil: TCP
	// InitialPrefillRate is the assumed prefill rate of engines in tokens per second, until the actual rate is learned.
	InitialPrefillRate float64
	WorkspaceShares    bool // while targets are overloaded, requests are refused by the shares of their workspaces
}

// State follows the metadata store and keeps the current view. It is safe for concurrent use.
type State struct {
	opts           StateOptions
	current        atomic.Pointer[view]
	notices        notices
	limits         *limitRegistry
	weightsMetrics weightsMetrics
	grantService   *grantService
	quarantine     *quarantineService
	streams        *streamService
	shares         *shareService                         // nil if shares are off
	rollouts       *rolloutService                       // nil: operators order none
	grantorList    atomic.Pointer[[]targetlimit.Grantor] // instances that may issue grants, nil before the first OnChange
	hearing        hearing
	targetClock    targetClock

	mu               sync.Mutex // guards the rest
	snapshot         *roster.Snapshot
	metadataRevision uint64 // revision of the metadata store that snapshot comes from
	roster           *roster.Roster
	versionHistory   *roster.WeightVersions
	targets          map[string]*target                 // by ID
	budgets          map[string]*retry.Budget           // retry budgets by service
	prefills         map[string]*prefilltime.Estimator  // by service; they outlive views
	forecasts        map[string]*forecast.Service       // by service; they outlive views
	grantStats       map[string]*targetlimit.GrantStats // by service; they outlive views
	grantQueues      map[string]*targetlimit.Queue      // the same
	instances        map[string]Instance                // instances that count as running, by name; this one always does
	instanceList     *instancelist.Tracker[Instance]
	members          memberState
	registered       bool                         // this instance has a live record
	instanceLostAt   time.Time                    // when an instance last disappeared, or could have; zero before the first metadata
	loading          map[string]bool              // targets that are out of rotation to load weights
	loaded           []loadedVersion              // versions that targets have loaded, ahead of their own records
	retired          map[string]retirement.Shares // retired cached parts by model
	observation      observation
	releasedAt       map[string]time.Time     // wall time of the release of each weight version as first seen, by its key
	witnessed        map[string]bool          // keys of weight versions whose release this instance has seen as it happened
	versionRecords   map[string]versionRecord // records of first sightings of weight versions in the store, by key
	startCheck       versionCheck             // as this instance read it when it started; zero if there was none
	clockApplied     bool                     // the ages of weight versions follow the targets' clock
	software         softwareState
	shared           sharedScopeState
	sharing          bool // workspaces share cached parts: the metadata is fresh enough
	rolloutLocked    bool // an instance holds the rollout lock
	timeDependent    bool // the view changes as time passes, without a change of the metadata
	budgetInstances  int  // number of instances that budgets were computed for
}

// NewState returns a state without a view; the first call of OnChange creates it.
func NewState(o StateOptions) *State {
	s := &State{
		opts: o, notices: newNotices(o.Metrics), limits: newLimitRegistry(), weightsMetrics: newWeightsMetrics(o.Metrics), roster: roster.New(o.Roster), versionHistory: roster.NewWeightVersions(o.RolloutTimeout - weightsMargin), targets: map[string]*target{}, budgets: map[string]*retry.Budget{},
		loading: map[string]bool{}, prefills: map[string]*prefilltime.Estimator{}, forecasts: map[string]*forecast.Service{}, grantStats: map[string]*targetlimit.GrantStats{}, grantQueues: map[string]*targetlimit.Queue{}, versionRecords: map[string]versionRecord{}, releasedAt: map[string]time.Time{}, witnessed: map[string]bool{},
		software: newSoftwareState(), members: newMemberState(), instanceList: instancelist.New(o.Self, Instance{Domain: o.Domain}, instanceSettleTime),
	}
	s.instances = map[string]Instance{o.Self: {Domain: o.Domain}}
	s.targetClock.started = s.bootTime(time.Now())
	s.grantService = newGrantService(s, o.Metrics)
	s.quarantine = newQuarantineService(s, o.Metrics)
	s.streams, s.shares = newStreamService(s, o.Store, o.Metrics), newShareService(o.WorkspaceShares, o.Metrics)
	if o.RolloutBounds != nil {
		s.rollouts = newRolloutService(s, o.Metrics)
	}
	return s
}

// grantors returns the instances that may issue grants for requests to limited targets. If none is known, this is the only one.
func (s *State) grantors() []targetlimit.Grantor {
	if list := s.grantorList.Load(); list != nil && len(*list) > 0 {
		return *list
	}
	return targetlimit.NewGrantors([]delegate.Member{{Name: s.opts.Self, Domain: s.opts.Domain, Address: s.opts.Self}})
}

// unknownAge marks an unknown age of the metadata.
const unknownAge = -time.Millisecond

// metadataAge returns the time since the metadata store last confirmed the metadata, unknownAge if it never did.
func (s *State) metadataAge() time.Duration {
	if s.opts.MetadataAge == nil {
		return unknownAge
	}
	if age, known := s.opts.MetadataAge(); known {
		return age
	}
	return unknownAge
}

// freshView returns the newest view. It waits first if the metadata is too old.
func (s *State) freshView(ctx context.Context) *view {
	s.waitFresh(ctx)
	return s.current.Load()
}

// waitFresh waits if the metadata is too old to send requests by it, until it is fresh enough or can't become so in time.
func (s *State) waitFresh(ctx context.Context) {
	if s.opts.WaitFresh != nil {
		s.opts.WaitFresh(ctx)
	}
}

// isUsable reports whether a target may get a new request of a service, as of the time of the view.
func (v *view) isUsable(service string, t *target) bool {
	sv := v.services[service]
	return sv != nil && sv.targets[t.id] == t && sv.snapshot.Candidate(t.id).Available()
}

// Ready reports whether there is a view, so that requests can be routed.
func (s *State) Ready() bool { return s.current.Load() != nil }

// OnChange rebuilds the view from the items of the metadata store at a revision.
func (s *State) OnChange(items map[string]metastore.Item, revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.beforeChange(now)
	s.metadataRevision = revision
	s.snapshot = s.opts.Records.Update(items)
	s.readSystemKeys(items, now)
	s.updateVersionAges(now)
	s.rebuild(now)
}

// Tick applies what has expired by now: it rebuilds the view if the passing of time can change it, closes idle connections and
// updates the gauges.
func (s *State) Tick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observation.tick(s.bootTime(now))
	if s.snapshot != nil && (s.updateVersionAges(now) || s.timeDependent) {
		s.rebuild(now)
	}
	for _, t := range s.targets {
		t.pool.Prune(now)
		t.probes.Prune(now)
	}
	s.reportNotices(now)
	s.reportWeights(now)
	s.reportSharing()
}

// readSystemKeys reads the keys that the instances themselves write: instance records, weight versions, the rollout state, the
// rollout lock and quarantines.
func (s *State) readSystemKeys(items map[string]metastore.Item, now time.Time) {
	live := map[string]Instance{}
	loading := map[string]bool{}
	members := map[string]metastore.Item{}
	var quarantines []metastore.Item
	policies := map[string]metastore.Item{} // by service
	held := map[string][]string{}           // software versions by service
	for key, item := range items {
		switch {
		case strings.HasPrefix(key, QuarantinePrefix):
			quarantines = append(quarantines, item)
		case strings.HasPrefix(key, SoftwarePrefix):
			policies[strings.TrimPrefix(key, SoftwarePrefix)] = item
		case strings.HasPrefix(key, HoldPrefix):
			service, software, _ := strings.Cut(strings.TrimPrefix(key, HoldPrefix), "/")
			held[service] = append(held[service], software)
		case strings.HasPrefix(key, InstancePrefix):
			if in, err := decodeInstance(item.Value); err != nil {
				klog.ErrorS(err, "invalid instance record ignored", "key", key)
			} else {
				live[strings.TrimPrefix(key, InstancePrefix)] = in
			}
		case strings.HasPrefix(key, MemberPrefix):
			members[strings.TrimPrefix(key, MemberPrefix)] = item
		case strings.HasPrefix(key, versionPrefix):
			s.readVersionRecord(key, item, now)
		case key == versionCheckKey:
			s.readVersionCheck(item, now)
		case key == RolloutStateKey:
			state, err := decodeRolloutState(item.Value)
			if err != nil {
				klog.ErrorS(err, "invalid rollout state ignored", "revision", item.Revision)
			}
			for _, id := range state.Loading {
				loading[id] = true
			}
			// Retired parts may have been freed, so they stay retired even if a restored store shows an older state.
			s.loaded, s.retired = state.Loaded, retirement.MergeAll(s.retired, state.Retired)
		}
	}
	// Records that a restored store has lost are written again.
	maps.DeleteFunc(s.versionRecords, func(key string, _ versionRecord) bool { _, present := items[key]; return !present })
	_, s.registered = live[s.opts.Self]
	registered := len(live)
	known := s.members.update(members, live, s.hearing.recent(now), s.instanceList.Settled(now), now)
	instances := s.instanceList.Update(live, known, s.opts.RecoveredAt(), now)
	if !maps.Equal(instances, s.instances) {
		klog.InfoS("instances changed", "count", len(instances), "live", registered, "heard", len(live)-registered)
	}
	s.shared.update(items[sharedScopeKey])
	for name := range s.instances {
		if _, present := instances[name]; !present {
			s.instanceLostAt = now
		}
	}
	if s.instanceLostAt.IsZero() {
		s.instanceLostAt = now
	}
	s.instances, s.loading = instances, loading
	grantors := targetlimit.NewGrantors(s.membersLocked())
	s.grantorList.Store(&grantors)
	_, s.rolloutLocked = items[RolloutLockKey]
	s.rollouts.restore(items, instances)
	s.quarantine.restore(quarantines, now)
	s.software.restore(policies, held, metastore.EraOf(s.metadataRevision), now)
}

// RolloutLockFree reports whether no instance holds the rollout lock. It returns false while no configuration is known.
func (s *State) RolloutLockFree() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.snapshot != nil && s.snapshot.Catalog != nil && !s.rolloutLocked
}

// publishedRetirement returns the retired parts in the published rollout state, by model.
func (s *State) publishedRetirement() map[string]retirement.Shares {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]retirement.Shares{}
	maps.Copy(out, s.retired)
	return out
}

// instanceCount returns the number of instances that count as running.
func (s *State) instanceCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.instances)
}

// Registered reports whether this instance has a live record, as far as it knows.
func (s *State) Registered() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registered
}

// PeerAddresses returns the addresses of the other instances, sorted.
func (s *State) PeerAddresses() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for name, in := range s.instances {
		if name != s.opts.Self && in.Address != "" {
			out = append(out, in.Address)
		}
	}
	slices.Sort(out)
	return out
}

// Members returns all instances that count as running, including this one.
func (s *State) Members() []delegate.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.membersLocked()
}

// membersLocked is Members for callers that hold s.mu.
func (s *State) membersLocked() []delegate.Member {
	out := make([]delegate.Member, 0, len(s.instances))
	for name, in := range s.instances {
		out = append(out, delegate.Member{Name: name, Domain: in.Domain, Address: in.Address, LinkMbps: in.LinkMbps})
	}
	return out
}

// rebuild updates the targets from s.snapshot and replaces the current view, if a configuration is known. s.mu must be held.
func (s *State) rebuild(now time.Time) {
	s.roster.Update(s.snapshot, s.opts.RecoveredAt(), now)
	s.syncTargets(now)
	s.timeDependent = s.roster.TimeDependent(now)
	if s.snapshot.Catalog == nil {
		return
	}
	prev := s.current.Load()
	v := &view{
		catalog: s.snapshot.Catalog, revision: s.snapshot.Revision, metadataRevision: s.metadataRevision, services: map[string]*service{},
		weights: maps.Clone(s.snapshot.Weights), instances: len(s.instances), registered: s.registered,
	}
	if prev == nil || prev.revision != v.revision {
		klog.InfoS("configuration in force", "version", v.catalog.Version, "revision", v.revision, "routes", len(v.catalog.Routes()))
	}
	if s.shared.scope.usable(v.catalog) {
		v.shared = s.shared.scope
	}
	s.divideBudgets(v.instances, now)
	for model, version := range v.weights {
		s.observeNewestVersion(model, version, now)
	}
	v.versionHistory, v.versionTime, v.retired = s.versionHistory.Clone(), s.bootTime(now), s.retired
	v.links = s.storeLinks(v.catalog)
	hashes := s.instanceHashes()
	s.software.update(v.catalog, s.softwareVersions(), now)
	usable := map[string][]*target{}
	for _, t := range s.roster.Usable() {
		usable[t.Service] = append(usable[t.Service], s.targets[t.ID])
	}
	s.rollouts.update(v.catalog, s.snapshot.Rollouts, usable, now)
	for name, decl := range v.catalog.Services {
		var previous *routing.Snapshot
		if prev != nil && prev.services[name] != nil {
			previous = prev.services[name].snapshot
		}
		v.services[name] = s.buildService(v, decl, usable[name], previous, hashes, now)
	}
	s.current.Store(v)
}

// storeLinks returns the network links of the declared KV-cache stores, by address.
func (s *State) storeLinks(c *catalog.Catalog) map[string]transfertime.Link {
	const bytesPerMegabit = 1e6 / 8
	links := make(map[string]transfertime.Link, len(c.Stores))
	for _, store := range c.Stores {
		links[store.Address] = transfertime.Link{
			Location:       transfertime.Location{Domain: store.FailureDomain, Region: s.opts.Regions[store.FailureDomain]},
			BytesPerSecond: store.LinkMbps * bytesPerMegabit,
		}
	}
	return links
}

// syncTargets updates s.targets to hold one target for each incarnation in the roster.
func (s *State) syncTargets(now time.Time) {
	present := map[string]bool{}
	for _, t := range s.roster.All() {
		present[t.ID] = true
		old := s.targets[t.ID]
		if old == nil || old.record.Born != t.Born || old.address != t.Address || old.software != t.Software {
			if old != nil {
				old.pool.Close()
				old.probes.Close()
				s.limits.remove(old.limit)
			}
			s.targets[t.ID] = newTarget(t, s.connectionLimit(t.Service), s.opts.Dial, s.limits)
			s.restoreNotices(s.targets[t.ID])
			klog.InfoS("target appeared", "target", t.ID, "service", t.Service, "address", t.Address, "domain", t.FailureDomain, "software", t.Software, "weights", t.Weights, "cold", time.Until(t.ColdUntil), "leaving", t.Leaving,
				"metadata", s.metadataRevision)
			continue
		}
		if old.record.Leaving != t.Leaving || old.record.Expired != t.Expired {
			klog.InfoS("target changed", "target", t.ID, "leaving", t.Leaving, "lapsed", t.Expired, "metadata", s.metadataRevision)
		}
		old.record = t
		if old.learnRecord(t.Record, now) {
			klog.InfoS("weight versions learned", "target", t.ID, "weights", t.Weights, "metadata", s.metadataRevision)
		}
		old.pool.SetLimit(s.connectionLimit(t.Service))
	}
	published := map[string]map[string]int{}
	for _, l := range s.loaded {
		if t := s.targets[l.Target]; t != nil && t.record.Born == l.Born {
			if published[l.Target] == nil {
				published[l.Target] = map[string]int{}
			}
			published[l.Target][l.Model] = l.Version
		}
	}
	for id, t := range s.targets {
		t.learnPublished(published[id], now)
	}
	for id, t := range s.targets {
		if !present[id] {
			klog.InfoS("target gone", "target", id, "service", t.record.Service, "lapsed", t.record.Expired, "metadata", s.metadataRevision)
			t.pool.Close()
			t.probes.Close()
			s.limits.remove(t.limit)
			delete(s.targets, id)
		}
	}
}

// connectionLimit returns this instance's share of the connections that a target of the service accepts.
func (s *State) connectionLimit(service string) int {
	const defaultConnections = 64 // if the service declares no limit
	if s.snapshot.Catalog == nil || s.snapshot.Catalog.Services[service] == nil {
		return defaultConnections
	}
	if total := s.snapshot.Catalog.Services[service].MaxConnections; total > 0 {
		return max(total/len(s.instances), 1)
	}
	return defaultConnections
}

// instanceHashes returns the hashes of the names of all instances, sorted.
func (s *State) instanceHashes() []uint64 {
	hashes := make([]uint64, 0, len(s.instances))
	for name := range s.instances {
		hashes = append(hashes, xxhash.Sum64String(name))
	}
	slices.Sort(hashes)
	return hashes
}

// buildService returns a service of the view v with its usable targets. previous is its snapshot in the previous view, nil if none.
func (s *State) buildService(v *view, decl *catalog.Service, usable []*target, previous *routing.Snapshot, hashes []uint64, now time.Time) *service {
	sv := &service{Service: decl, targets: make(map[string]*target, len(usable)), budget: s.retryBudget(decl.Name, v.instances, now)}
	if s.grantStats[decl.Name] == nil {
		s.grantStats[decl.Name], s.grantQueues[decl.Name] = new(targetlimit.GrantStats), new(targetlimit.Queue)
	}
	sv.grantStats, sv.grantQueue = s.grantStats[decl.Name], s.grantQueues[decl.Name]
	if decl.Engine != nil {
		if s.prefills[decl.Name] == nil {
			s.prefills[decl.Name] = prefilltime.New(s.opts.InitialPrefillRate)
			s.forecasts[decl.Name] = forecast.NewService(s.opts.InitialPrefillRate)
		}
		sv.prefill, sv.forecast = s.prefills[decl.Name], s.forecasts[decl.Name]
	}
	if sv.software = s.software.software(decl.Name, now); sv.software != nil {
		sv.streamLifetime = s.software.lifetimes[decl.Name]
		sv.beginAny, sv.beginUnwritten = sv.software.BeginAt(true), sv.software.BeginAt(false)
		s.timeDependent = s.timeDependent || sv.software.AwaitsOpening()
	}
	candidates := make([]routing.Candidate, 0, len(usable))
	sv.orderedTargets = usable
	for _, t := range usable {
		sv.targets[t.id] = t
		candidates = append(candidates, s.buildCandidate(t, decl, v, hashes, now))
	}
	sv.snapshot = routing.NewSnapshot(decl.Name, 1, candidates, previous)
	return sv
}

// buildCandidate returns a target as a candidate for routing.
func (s *State) buildCandidate(t *target, decl *catalog.Service, v *view, hashes []uint64, now time.Time) routing.Candidate {
	c := routing.Candidate{
		Target: t.id, FailureDomain: t.domain, Region: s.opts.Regions[t.domain], Phase: routing.PhaseWarm,
		Software: t.software, Disabled: s.loading[t.id], LinkAlive: true, Stats: t.stats,
	}
	t.coldUntil.Store(steadytime.UnixNano(t.record.ColdUntil))
	c.Disabled = c.Disabled || s.rollouts.holdsBack(decl.Name, t)
	if t.domain != s.opts.Domain {
		c.OneWayDelay = crossDomainDelay
	}
	if decl.Engine != nil {
		c.CacheCapacity = usableMemory(decl.Engine)
		for _, model := range decl.Engine.Models {
			if t.version(model) < v.weights[model] {
				c.Penalty = oldWeightsPenalty
				s.timeDependent = true // later its version expires, or its answers show that it has loaded the newest
			}
			c.Disabled = c.Disabled || t.version(model) < s.versionHistory.MinVersion(model, v.versionTime)
		}
	}
	if limiter := s.coldLimiter(t, decl, hashes, now); limiter != nil {
		c.Ramp = limiter
	}
	return c
}

// coldLimiter returns the limiter of this instance's requests to a cold target, nil if the target is warm. It is kept while the target is cold
// and follows the set of instances.
func (s *State) coldLimiter(t *target, decl *catalog.Service, hashes []uint64, now time.Time) *coldshare.Limiter {
	if decl.ColdRequestRate <= 0 || !now.Before(t.record.ColdUntil) {
		t.coldLimiter = nil
		return nil
	}
	fingerprint := uint64(len(hashes))
	for _, h := range hashes {
		fingerprint ^= h
	}
	capacity := coldshare.Capacity{
		SustainedRate: decl.ColdRequestRate, OverloadRate: decl.ColdRequestRate*s.opts.ColdRateFactor + s.opts.ColdRateSlack,
	}
	self := xxhash.Sum64String(s.opts.Self)
	switch {
	case t.coldLimiter == nil:
		t.coldLimiter = coldshare.New(capacity, t.idHash, self, hashes, t.record.ColdUntil, time.Now)
	case !t.coldLimiterUntil.Equal(t.record.ColdUntil) || t.coldLimiterInstances != fingerprint || t.coldLimiterCapacity != capacity:
		t.coldLimiter.Update(capacity, t.idHash, self, hashes, t.record.ColdUntil)
	}
	t.coldLimiterUntil, t.coldLimiterInstances, t.coldLimiterCapacity = t.record.ColdUntil, fingerprint, capacity
	return t.coldLimiter
}

const (
	// weightsMargin covers the usual time that a request is queued at a target before it starts, and the lag of the view.
	weightsMargin = 2 * time.Second
	// crossDomainDelay is the one-way network delay between failure domains of a region: about a millisecond.
	crossDomainDelay = time.Millisecond
	// oldWeightsPenalty is added to the cost of a target on old weights. Newer weights are preferred, but not so strongly that the
	// few targets that already have them get all requests.
	oldWeightsPenalty = 150 * time.Millisecond
)
