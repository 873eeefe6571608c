package gateway

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"github.com/egrethoist/egrethoist/internal/catalog"
	"github.com/egrethoist/egrethoist/internal/coldshare"
	"github.com/egrethoist/egrethoist/internal/delegate"
	"github.com/egrethoist/egrethoist/internal/kvcache/prefilltime"
	"github.com/egrethoist/egrethoist/internal/kvcache/retirement"
	"github.com/egrethoist/egrethoist/internal/kvcache/transfertime"
	"github.com/egrethoist/egrethoist/internal/metastore"
	"github.com/egrethoist/egrethoist/internal/retry"
	"github.com/egrethoist/egrethoist/internal/roster"
	"github.com/egrethoist/egrethoist/internal/routing"
	"github.com/egrethoist/egrethoist/internal/targetconn"
	"github.com/egrethoist/egrethoist/internal/targetlimit"
)

// view is what a request is decided by. It is immutable but for the counters that its parts point to.
type view struct {
	catalog   *catalog.Catalog
	revision  uint64 // of the catalog
	metadata  uint64 // revision of the metadata store that the view is of
	services  map[string]*service
	weights   map[string]int // newest weight version by model
	named     *roster.WeightVersions
	retired   map[string]retirement.Shares // by model: cached parts that are no longer moved
	instances int
	links     map[string]transfertime.Link // of kept-cache stores, by address
}

// service is one service of a view.
type service struct {
	*catalog.Service
	snapshot *routing.Snapshot
	targets  map[string]*target // usable ones
	order    []*target          // the same, ordered by ID
	budget   *retry.Budget
	grants   *targetlimit.Flow      // of requests to its limited targets
	prefill  *prefilltime.Estimator // nil for plain services
}

// StateOptions configure a State.
type StateOptions struct {
	Self     string
	Regions  map[string]string // region by failure domain
	Domain   string            // own failure domain
	Records  Records
	Roster   roster.Options
	Returned func() time.Time // when the metadata store was reached again
	// Age returns the time since the items were known to be those of the metadata store, false if they never were; nil:
	// not known.
	Age func() (time.Duration, bool)
	// Await waits until the items are fresh enough to send requests by, or all that can be had; nil: they always are.
	Await      func(ctx context.Context)
	ColdOver   float64 // factor on the declared rate of a cold target that it still bears
	ColdSlack  float64 // requests a second besides
	RetryRatio float64
	RetryExtra float64
	RetryTime  time.Duration
	// WeightsTime is how long after its naming a weight version must be in use everywhere.
	WeightsTime time.Duration
	// LastResort is how long after its notice a leaving target may still be chosen if no other can serve.
	LastResort time.Duration
	Metrics    tally.Scope     // nil: nothing is counted
	Dial       targetconn.Dial // sets up connections to targets; nil: over TCP
	// PrefillRate is the rate in tokens per second at which engines are taken to read prompts until it is learned.
	PrefillRate float64
}

// State keeps the view up to date.
type State struct {
	opts    StateOptions
	current atomic.Pointer[view]
	notices notices
	limits  *limits
	permits *permits
	members atomic.Pointer[[]targetlimit.Grantor]

	mu        sync.Mutex // guards the rest
	facts     *roster.Snapshot
	metadata  uint64 // revision of the metadata store that facts are of
	roster    *roster.Roster
	named     *roster.WeightVersions
	targets   map[string]*target
	budgets   map[string]*retry.Budget
	prefills  map[string]*prefilltime.Estimator // by service; they outlive views
	flows     map[string]*targetlimit.Flow      // by service; they outlive views
	instances map[string]Instance
	loading   map[string]bool
	loaded    []loaded
	retired   map[string]retirement.Shares
	namedKeys map[string]bool // versions whose naming is recorded in the store
	locked    bool            // an instance holds the lock for orders
	waiting   bool            // the view changes with time alone
	shared    int             // instances that budgets were made for
}

// NewState returns a state that knows nothing.
func NewState(o StateOptions) *State {
	s := &State{
		opts: o, notices: newNotices(o.Metrics), limits: newLimits(), roster: roster.New(o.Roster), named: roster.NewWeightVersions(o.WeightsTime - weightsMargin), targets: map[string]*target{}, budgets: map[string]*retry.Budget{},
		instances: map[string]Instance{}, loading: map[string]bool{}, prefills: map[string]*prefilltime.Estimator{}, flows: map[string]*targetlimit.Flow{}, namedKeys: map[string]bool{},
	}
	s.permits = newPermits(s, o.Metrics)
	return s
}

// grantors returns the instances that may grant requests to limited targets. One that knows of none is alone.
func (s *State) grantors() []targetlimit.Grantor {
	if list := s.members.Load(); list != nil && len(*list) > 0 {
		return *list
	}
	return targetlimit.Grantors([]delegate.Member{{Name: s.opts.Self, Domain: s.opts.Domain, Address: s.opts.Self}})
}

// unknownAge stands for the age of metadata of which it is not known.
const unknownAge = -time.Millisecond

// age returns the time since the metadata was known to be that of the store, unknownAge if it never was.
func (s *State) age() time.Duration {
	if s.opts.Age == nil {
		return unknownAge
	}
	if age, known := s.opts.Age(); known {
		return age
	}
	return unknownAge
}

// fresh returns the newest view, after a wait if the metadata has not been confirmed for too long.
func (s *State) fresh(ctx context.Context) *view {
	if s.opts.Await != nil {
		s.opts.Await(ctx)
	}
	return s.current.Load()
}

// offers reports whether the view offers a target to the requests of a service.
func (v *view) offers(service string, t *target) bool {
	sv := v.services[service]
	return sv != nil && sv.targets[t.id] == t
}

// Ready reports whether requests can be decided.
func (s *State) Ready() bool { return s.current.Load() != nil }

// OnChange takes in the items of the metadata store and the store's revision that they are of.
func (s *State) OnChange(items map[string]metastore.Item, revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.metadata = revision
	s.facts = s.opts.Records.Update(items)
	now := time.Now()
	s.readOwn(items, now)
	s.rebuild(now)
}

// Tick drops what has run out since the last change.
func (s *State) Tick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.facts != nil && s.waiting {
		s.rebuild(now)
	}
	for _, t := range s.targets {
		t.pool.Prune(now)
	}
	s.watchNotices(now)
}

func (s *State) readOwn(items map[string]metastore.Item, now time.Time) {
	instances := map[string]Instance{}
	loading := map[string]bool{}
	for key, item := range items {
		switch {
		case strings.HasPrefix(key, InstancePrefix):
			if in, err := decodeInstance(item.Value); err != nil {
				klog.ErrorS(err, "instance record ignored", "key", key)
			} else {
				instances[strings.TrimPrefix(key, InstancePrefix)] = in
			}
		case strings.HasPrefix(key, namedPrefix):
			s.readNamed(key, item, now)
		case key == LoadingKey:
			state, err := decodeLoading(item.Value)
			if err != nil {
				klog.ErrorS(err, "load state ignored", "revision", item.Revision)
			}
			for _, id := range state.Loading {
				loading[id] = true
			}
			s.loaded, s.retired = state.Loaded, state.Retired
		}
	}
	if !maps.Equal(instances, s.instances) {
		klog.InfoS("instances changed", "count", len(instances))
	}
	s.instances, s.loading = instances, loading
	grantors := targetlimit.Grantors(s.allMembers())
	s.members.Store(&grantors)
	_, s.locked = items[OrdersLock]
}

// readNamed takes in when a weight version was first seen by any instance.
func (s *State) readNamed(key string, item metastore.Item, now time.Time) {
	if s.namedKeys[key] {
		return
	}
	s.namedKeys[key] = true
	var n roster.ObservedVersion
	if err := json.Unmarshal(item.Value, &n); err != nil {
		klog.ErrorS(err, "time of a weight version ignored", "key", key)
		return
	}
	s.named.Observe(n.Model, n.Version, n.Age(now), now)
}

// unrecorded returns the weight versions seen whose naming no instance has recorded yet.
func (s *State) unrecorded() []roster.ObservedVersion {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.DeleteFunc(s.named.All(), func(n roster.ObservedVersion) bool { return s.namedKeys[namedKey(n.Model, n.Version)] })
}

// OrdersFree reports whether no instance holds the lock for orders.
func (s *State) OrdersFree() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.facts != nil && s.facts.Catalog != nil && !s.locked
}

// publishedRetirement returns the retired parts that the load state in the metadata store names, by model.
func (s *State) publishedRetirement() map[string]retirement.Shares {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]retirement.Shares{}
	maps.Copy(out, s.retired)
	return out
}

// engineGroup is the targets of one service with the newest weight version of one of its models.
type engineGroup struct {
	service, model string
	newest         int
	targets        map[string]*target
	born           map[string]int64
}

// engineGroups returns the groups for which a weight version was named. Leaving targets are left out.
func (s *State) engineGroups() []engineGroup {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.facts == nil || s.facts.Catalog == nil {
		return nil
	}
	var groups []engineGroup
	for _, decl := range s.facts.Catalog.Services {
		if decl.Engine == nil {
			continue
		}
		for _, model := range decl.Engine.Models {
			g := engineGroup{service: decl.Name, model: model, newest: s.facts.Weights[model], targets: map[string]*target{}, born: map[string]int64{}}
			if g.newest == 0 {
				continue
			}
			for id, t := range s.targets {
				if t.record.Service == decl.Name && !t.record.Leaving && !t.stats.Leaving() {
					g.targets[id], g.born[id] = t, t.born
				}
			}
			groups = append(groups, g)
		}
	}
	slices.SortFunc(groups, func(a, b engineGroup) int { return strings.Compare(a.service+"/"+a.model, b.service+"/"+b.model) })
	return groups
}

// instanceCount returns the number of live instances, at least one.
func (s *State) instanceCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(len(s.instances), 1)
}

// Peers returns the addresses of the other instances.
func (s *State) Peers() []string {
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

// Members returns all live instances, this one included.
func (s *State) Members() []delegate.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.allMembers()
}

func (s *State) allMembers() []delegate.Member {
	out := make([]delegate.Member, 0, len(s.instances))
	for name, in := range s.instances {
		out = append(out, delegate.Member{Name: name, Domain: in.Domain, Address: in.Address})
	}
	return out
}

func (s *State) rebuild(now time.Time) {
	s.roster.Update(s.facts, s.opts.Returned(), now)
	s.matchTargets()
	s.waiting = s.roster.TimeDependent(now)
	if s.facts.Catalog == nil {
		return
	}
	prev := s.current.Load()
	v := &view{
		catalog: s.facts.Catalog, revision: s.facts.Revision, metadata: s.metadata, services: map[string]*service{},
		weights: maps.Clone(s.facts.Weights), instances: max(len(s.instances), 1),
	}
	if prev == nil || prev.revision != v.revision {
		klog.InfoS("configuration in force", "version", v.catalog.Version, "revision", v.revision)
	}
	if s.shared != v.instances {
		s.shared, s.budgets = v.instances, map[string]*retry.Budget{}
	}
	for model, version := range v.weights {
		s.named.Observe(model, version, 0, now)
	}
	v.named, v.retired = s.named.Clone(), s.retired
	v.links = s.storeLinks(v.catalog)
	hashes := s.instanceHashes()
	usable := map[string][]*target{}
	for _, t := range s.roster.Usable() {
		usable[t.Service] = append(usable[t.Service], s.targets[t.ID])
	}
	for name, decl := range v.catalog.Services {
		var before *routing.Snapshot
		if prev != nil && prev.services[name] != nil {
			before = prev.services[name].snapshot
		}
		v.services[name] = s.service(v, decl, usable[name], before, hashes, now)
	}
	s.current.Store(v)
}

// storeLinks returns the links of the declared kept-cache stores.
func (s *State) storeLinks(c *catalog.Catalog) map[string]transfertime.Link {
	const bytesPerMegabit = 1e6 / 8
	links := make(map[string]transfertime.Link, len(c.Stores))
	for _, store := range c.Stores {
		links[store.Address] = transfertime.Link{
			Place:          transfertime.Place{Domain: store.FailureDomain, Region: s.opts.Regions[store.FailureDomain]},
			BytesPerSecond: store.LinkMbps * bytesPerMegabit,
		}
	}
	return links
}

// matchTargets keeps one target for each incarnation.
func (s *State) matchTargets() {
	seen := map[string]bool{}
	for _, t := range s.roster.All() {
		seen[t.ID] = true
		old := s.targets[t.ID]
		if old == nil || old.record.Born != t.Born || old.address != t.Address {
			if old != nil {
				old.pool.Close()
				s.limits.drop(old.meter)
			}
			s.targets[t.ID] = newTarget(t, s.connections(t.Service), s.opts.Dial, s.limits)
			s.restoreNotices(s.targets[t.ID])
			klog.InfoS("target appeared", "target", t.ID, "service", t.Service, "address", t.Address, "domain", t.FailureDomain, "cold", time.Until(t.ColdUntil),
				"metadata", s.metadata)
			continue
		}
		if old.record.Leaving != t.Leaving || old.record.Expired != t.Expired {
			klog.InfoS("target changed", "target", t.ID, "leaving", t.Leaving, "lapsed", t.Expired, "metadata", s.metadata)
		}
		old.record = t
		old.learn(t.Weights)
		old.pool.SetLimit(s.connections(t.Service))
	}
	for _, l := range s.loaded {
		if t := s.targets[l.Target]; t != nil && t.record.Born == l.Born {
			t.learn(map[string]int{l.Model: l.Version})
		}
	}
	for id, t := range s.targets {
		if !seen[id] {
			klog.InfoS("target gone", "target", id, "service", t.record.Service, "lapsed", t.record.Expired, "metadata", s.metadata)
			t.pool.Close()
			s.limits.drop(t.meter)
			delete(s.targets, id)
		}
	}
}

// connections is this instance's share of the connections that a target of the service takes.
func (s *State) connections(service string) int {
	const unlimited = 64
	if s.facts.Catalog == nil || s.facts.Catalog.Services[service] == nil {
		return unlimited
	}
	if most := s.facts.Catalog.Services[service].MaxConnections; most > 0 {
		return max(most/max(len(s.instances), 1), 1)
	}
	return unlimited
}

func (s *State) instanceHashes() []uint64 {
	hashes := make([]uint64, 0, len(s.instances))
	for name := range s.instances {
		hashes = append(hashes, xxhash.Sum64String(name))
	}
	slices.Sort(hashes)
	return hashes
}

func (s *State) service(v *view, decl *catalog.Service, usable []*target, before *routing.Snapshot, hashes []uint64, now time.Time) *service {
	sv := &service{Service: decl, targets: make(map[string]*target, len(usable)), budget: s.budget(decl.Name, v.instances, now)}
	if s.flows[decl.Name] == nil {
		s.flows[decl.Name] = new(targetlimit.Flow)
	}
	sv.grants = s.flows[decl.Name]
	if decl.Engine != nil {
		if s.prefills[decl.Name] == nil {
			s.prefills[decl.Name] = prefilltime.New(s.opts.PrefillRate)
		}
		sv.prefill = s.prefills[decl.Name]
	}
	candidates := make([]routing.Candidate, 0, len(usable))
	sv.order = usable
	for _, t := range usable {
		sv.targets[t.id] = t
		candidates = append(candidates, s.candidate(t, decl, v, hashes, now))
	}
	sv.snapshot = routing.NewSnapshot(decl.Name, 1, candidates, before)
	return sv
}

func (s *State) candidate(t *target, decl *catalog.Service, v *view, hashes []uint64, now time.Time) routing.Candidate {
	c := routing.Candidate{
		Target: t.id, FailureDomain: t.domain, Region: s.opts.Regions[t.domain], Phase: routing.PhaseWarm,
		Out: s.loading[t.id], LinkAlive: true, Stats: t.stats,
	}
	if t.domain != s.opts.Domain {
		c.Distance = crossDomain
	}
	if decl.Engine != nil {
		c.Memory = usableMemory(decl.Engine)
		for _, model := range decl.Engine.Models {
			if t.version(model) < v.weights[model] {
				c.Penalty = oldWeights
				s.waiting = true // its weights run out, or its answers tell that it has loaded
			}
			c.Out = c.Out || t.version(model) < s.named.MinVersion(model, now)
		}
	}
	if share := s.coldShare(t, decl, hashes, now); share != nil {
		c.Ramp = share
	}
	return c
}

func (s *State) coldShare(t *target, decl *catalog.Service, hashes []uint64, now time.Time) *coldshare.Share {
	if decl.ColdRequestRate <= 0 || !now.Before(t.record.ColdUntil) {
		t.share = nil
		return nil
	}
	with := uint64(len(hashes))
	for _, h := range hashes {
		with ^= h
	}
	if t.share == nil || !t.shareFor.Equal(t.record.ColdUntil) || t.shareWith != with {
		limits := coldshare.Limits{
			PerSecond: decl.ColdRequestRate, Most: decl.ColdRequestRate*s.opts.ColdOver + s.opts.ColdSlack,
		}
		t.share = coldshare.New(limits, t.hash, xxhash.Sum64String(s.opts.Self), hashes, t.record.ColdUntil, time.Now)
		t.shareFor, t.shareWith = t.record.ColdUntil, with
	}
	return t.share
}

// budget returns this instance's share of a service's retries. The bound holds over all instances in any window, so a
// share stays below it and little may be saved up.
func (s *State) budget(service string, instances int, now time.Time) *retry.Budget {
	if b := s.budgets[service]; b != nil {
		return b
	}
	extra := s.opts.RetryExtra / float64(instances)
	b := retry.NewBudget(retry.BudgetOptions{
		Share:       s.opts.RetryRatio * budgetRatioUsed,
		FloorPerSec: extra * budgetExtraUsed / s.opts.RetryTime.Seconds(),
		Burst:       max(int(extra*budgetBurst), 1),
	}, now)
	s.budgets[service] = b
	return b
}

// usableMemory is the part of a target's cache memory that running requests are to take: beyond it the target puts them
// back and reads them again, and what the other instances have just sent is not known yet.
func usableMemory(e *catalog.Engine) int { return int(memoryUsed * float64(e.CacheTokens)) }

const (
	memoryUsed = 0.5
	// budgetRatioUsed, budgetExtraUsed and budgetBurst are the parts of the bounds on retries that are used: what is
	// left covers instances that start anew with a full budget.
	budgetRatioUsed = 0.7
	budgetExtraUsed = 0.4
	budgetBurst     = 0.3
	// weightsMargin is the usual time that a request may wait at a target before it begins, and the lag of the view.
	weightsMargin = 2 * time.Second
	// crossDomain is the one-way time between failure domains: about a millisecond within a region.
	crossDomain = time.Millisecond
	// oldWeights is added to the cost of a target on old weights: an answer made there is worth less, but not so much
	// that the few targets with new weights get all the work.
	oldWeights = 150 * time.Millisecond
)
