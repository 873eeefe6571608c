package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/egrethoist/egrethoist/internal/kvcache/retirement"
	"github.com/egrethoist/egrethoist/internal/metastore"
	"github.com/egrethoist/egrethoist/internal/rollout"
	"github.com/egrethoist/egrethoist/internal/sleep"
)

const (
	// rolloutPeriod is how often the rollout leader checks the targets that load weights. A load takes seconds.
	rolloutPeriod = 150 * time.Millisecond
	// excludeDelay is how long the leader waits after publishing that a target is out of rotation before it orders the load: the
	// other instances must have stopped sending requests to the target.
	excludeDelay = 250 * time.Millisecond
	// publishIntervalPerInstance is the time between two publications, per live instance: each publication wakes every instance, and this
	// limits the load on the metadata store to a few dozen calls per second.
	publishIntervalPerInstance = 25 * time.Millisecond
	// maxPublishInterval bounds the time between two publications, so that a roll-out in a large fleet does not last longer than its weights.
	maxPublishInterval = time.Second
	// freeDelay is the time from the retirement of cached parts until they are freed in the stores: the maximum age of metadata that
	// is used for a fetch, the longest fetch, and a margin.
	freeDelay = MaxMetadataAge + FetchTimeout + time.Second
	// freePeriod is how often the stores are scanned for retired parts.
	freePeriod = 2 * time.Second
)

// rolloutState is the state of all rollouts that the rollout leader publishes to the other instances in the metadata store.
type rolloutState struct {
	Loading []string                     `json:"loading"`    // targets that are out of rotation
	Loaded  []loadedVersion              `json:"loaded"`     // versions that targets have loaded, ahead of their own records
	Retired map[string]retirement.Shares `json:"retirement"` // cached parts that are no longer used, by model
}

// loadedVersion is a weight version that an incarnation of a target has loaded.
type loadedVersion struct {
	Target  string `json:"target"`
	Born    int64  `json:"born"` // start of the target's process in Unix milliseconds
	Model   string `json:"model"`
	Version int    `json:"version"`
}

// publishedRetirement is the set of retired parts as of one publication.
type publishedRetirement struct {
	publishedAt time.Time
	retired     map[string]retirement.Shares // by model
}

// RolloutOptions configure a RolloutController.
type RolloutOptions struct {
	Self    string
	State   *State
	Store   metastore.Store
	Lock    *metastore.Lock
	Engines Engines
	Cache   *CacheTracker
}

// RolloutController rolls out new weight versions: it takes a few targets at a time out of rotation and orders them to load the
// newest weights. It acts only while this instance is the rollout leader, the holder of RolloutLockKey.
type RolloutController struct {
	opts           RolloutOptions
	plans          map[string]*rollout.Plan   // by service and model
	targetReports  map[string]TargetReport    // of targets that are out, by ID
	missedReports  map[string]*reportFailures // of targets that are out and do not report, by ID
	inbox          *reportInbox
	reportsPending map[string]bool              // targets with a report request in flight, by ID
	ordersPending  map[string]chan orderResult  // results of the orders in flight, by target ID
	newResults     map[string]reportResult      // taken from the inbox but not processed yet, by ID
	outSince       map[string]time.Time         // by ID of targets that any leader has published as out: when this instance saw that
	loadableAt     map[string]time.Time         // by ID of targets that are out: when the load may be ordered
	retired        map[string]retirement.Shares // by model
	retirements    []publishedRetirement        // oldest first; the first is the latest one that has reached all instances
	stored         *metastore.Cell              // the published rollout state
	takenOver      bool                         // the state that the leader before has published is known
	republish      bool                         // the published state is not the present one, whatever has changed since
	publishedAt    time.Time
	loaded         []loadedVersion
	lastFreed      time.Time                     // when the stores were last scanned for parts to free
	logged         map[string][]rollout.Progress // last logged progress, by service and model
}

// NewRolloutController returns a controller that does nothing until Run is called.
func NewRolloutController(o RolloutOptions) *RolloutController {
	return &RolloutController{opts: o, outSince: map[string]time.Time{}}
}

// Run drives the rollouts until ctx ends, and returns the context's error.
func (c *RolloutController) Run(ctx context.Context) error {
	var heldToken uint64
	for sleep.For(ctx, rolloutPeriod) == nil {
		token, ok := c.opts.Lock.Token()
		c.followRotation(time.Now())
		if !ok {
			heldToken = 0
			continue
		}
		if token != heldToken {
			heldToken = token
			c.reset()
		}
		c.step(ctx, token)
	}
	return ctx.Err()
}

// followRotation records since when targets are out of rotation, so that this instance can go on from there when it becomes the leader.
func (c *RolloutController) followRotation(now time.Time) {
	published := c.opts.State.outOfRotation()
	maps.DeleteFunc(c.outSince, func(id string, _ time.Time) bool { return !published[id] })
	for id := range published {
		if _, known := c.outSince[id]; !known {
			c.outSince[id] = now
		}
	}
}

// outOfRotation returns the IDs of the targets that are published as out of rotation. The map must not be changed.
func (s *State) outOfRotation() map[string]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loading
}

// reset discards the state of an earlier term as leader. The targets that the leader before has taken out of rotation stay out; their
// progress is learned again from their reports.
func (c *RolloutController) reset() {
	c.plans, c.targetReports, c.missedReports = map[string]*rollout.Plan{}, map[string]TargetReport{}, map[string]*reportFailures{}
	c.inbox, c.reportsPending, c.newResults = newReportInbox(), map[string]bool{}, map[string]reportResult{}
	c.ordersPending = map[string]chan orderResult{}
	c.loadableAt, c.loaded, c.lastFreed, c.logged = map[string]time.Time{}, nil, time.Time{}, map[string][]rollout.Progress{}
	for id, since := range c.outSince {
		c.loadableAt[id] = since.Add(excludeDelay)
	}
	c.retired, c.retirements = c.opts.State.publishedRetirement(), nil
	c.stored, c.takenOver, c.republish = &metastore.Cell{Store: c.opts.Store, Key: RolloutStateKey}, false, false
}

// takeOver reads what the leader before has published and merges its retired parts with those that this instance knows: a restored store can
// have lost some. It returns false if the state cannot be read.
func (c *RolloutController) takeOver(ctx context.Context) bool {
	item, found, err := c.stored.Load(ctx)
	if err != nil {
		klog.InfoS("published rollout state not read", "err", err.Error())
		return false
	}
	var published rolloutState
	if found {
		if published, err = decodeRolloutState(item.Value); err != nil {
			klog.ErrorS(err, "invalid rollout state replaced", "revision", item.Revision)
			c.republish = true
		}
	}
	c.retired = retirement.MergeAll(c.retired, published.Retired)
	c.republish = c.republish || !maps.EqualFunc(c.retired, published.Retired, retirement.Shares.Equal) || !c.isOut(published.Loading)
	c.recordRetirement(time.Now())
	c.takenOver = true
	return true
}

// recordRetirement records when the present set of retired parts was published.
func (c *RolloutController) recordRetirement(now time.Time) {
	c.retirements = append(c.retirements, publishedRetirement{publishedAt: now, retired: maps.Clone(c.retired)})
}

// pendingOrder is an order to load weights that is due for a target.
type pendingOrder struct {
	target        *target
	born          int64 // start of the target's process in Unix milliseconds
	model         string
	newestVersion int
}

// step advances all rollouts: it observes the targets, publishes those that are to be out of rotation, frees retired parts and
// orders the targets that are due to load. token is the fencing token of the lock.
func (c *RolloutController) step(ctx context.Context, token uint64) {
	if !c.takenOver && !c.takeOver(ctx) {
		return
	}
	now := time.Now()
	var outOfService []string
	orders := map[string]pendingOrder{}
	present := map[string]bool{}
	for _, g := range c.opts.State.engineGroups() {
		for id := range g.targets {
			present[id] = true
		}
		key := g.service + "/" + g.model
		if c.plans[key] == nil {
			c.plans[key] = c.newPlan(g)
		}
		observed := c.observe(ctx, g)
		step := c.plans[key].Next(observed, g.newestVersion, now)
		outOfService = append(outOfService, step.OutOfService...)
		c.logProgress(g, step, now)
		if !now.Before(c.nextPublishTime()) && (len(step.OutOfService) > 0 || now.Sub(c.lastFreed) >= freePeriod) {
			c.retire(g, observed, step.OutOfService)
		}
		for _, id := range step.Load {
			orders[id] = pendingOrder{target: g.targets[id], born: g.born[id], model: g.model, newestVersion: g.newestVersion}
		}
	}
	c.loaded = slices.DeleteFunc(c.loaded, func(l loadedVersion) bool { return !present[l.Target] })
	slices.Sort(outOfService)
	if !c.isPublished(outOfService) && !now.Before(c.nextPublishTime()) && !c.publish(ctx, outOfService, token) {
		return
	}
	c.freeRetired(ctx, now)
	// Orders do not wait for the next publication: any target that has been out for long enough gets its order.
	for id, order := range orders {
		if at, ok := c.loadableAt[id]; ok && !time.Now().Before(at) {
			c.startOrder(ctx, order, token)
		}
	}
	c.awaitOrders(ctx)
}

// newPlan returns the plan of a group, with its targets that are out of rotation.
func (c *RolloutController) newPlan(g engineGroup) *rollout.Plan {
	plan := rollout.New(rollout.Options{})
	for id, at := range c.loadableAt {
		if g.targets[id] != nil {
			plan.TakeOver(id, at.Add(-excludeDelay))
		}
	}
	return plan
}

// retire adds to the retired parts of the group's model those that must make room for parts of the newest weights.
func (c *RolloutController) retire(g engineGroup, observed []rollout.Target, outOfService []string) {
	fleet := retirement.Fleet{NewestVersion: g.newestVersion, Targets: len(observed), Serving: map[int]int{}}
	for _, t := range observed {
		if !slices.Contains(outOfService, t.ID) {
			fleet.Serving[t.Version]++
		}
	}
	fleet.CapacityTokens, fleet.UsedTokens = c.opts.Cache.usage(g.model)
	next := c.retired[g.model].Merge(retirement.Plan(fleet))
	c.retired = maps.Clone(c.retired)
	c.retired[g.model] = next
}

// isPublished reports whether the last publication has exactly these targets and the present retired parts.
func (c *RolloutController) isPublished(outOfService []string) bool {
	last := c.retirements[len(c.retirements)-1]
	return !c.republish && maps.EqualFunc(c.retired, last.retired, retirement.Shares.Equal) && c.isOut(outOfService)
}

// isOut reports whether exactly these targets are out of rotation.
func (c *RolloutController) isOut(ids []string) bool {
	if len(ids) != len(c.loadableAt) {
		return false
	}
	for _, id := range ids {
		if _, ok := c.loadableAt[id]; !ok {
			return false
		}
	}
	return true
}

// nextPublishTime returns when the rollout state may be published again: each publication wakes every instance.
func (c *RolloutController) nextPublishTime() time.Time {
	return c.publishedAt.Add(min(time.Duration(c.opts.State.instanceCount())*publishIntervalPerInstance, maxPublishInterval))
}

// publish writes the rollout state with the targets that are out to the metadata store, and reports whether it succeeded. The write
// is conditional on the lock's revision, so that only the holder of the lock can publish, and on the state that it replaces: a publication
// that got no response can be executed seconds later.
func (c *RolloutController) publish(ctx context.Context, outOfService []string, token uint64) bool {
	raw, err := json.Marshal(rolloutState{Loading: outOfService, Loaded: c.loaded, Retired: c.retired})
	if err != nil {
		klog.ErrorS(err, "cannot encode rollout state")
		return false
	}
	if err := c.stored.Put(ctx, raw, 0, metastore.Condition{Key: RolloutLockKey, Revision: token}); err != nil {
		klog.InfoS("rollout state not published", "targets", len(outOfService), "err", err.Error())
		if errors.Is(err, metastore.ErrConflict) {
			c.opts.Lock.Relinquish()
		}
		return false
	}
	klog.InfoS("targets taken out to load weights", "targets", outOfService, "retired", c.retired)
	c.publishedAt, c.republish = time.Now(), false
	c.recordRetirement(c.publishedAt)
	loadableAt := make(map[string]time.Time, len(outOfService))
	for _, id := range outOfService {
		at, alreadyOut := c.loadableAt[id]
		if !alreadyOut {
			at = c.publishedAt.Add(excludeDelay)
		}
		loadableAt[id] = at
	}
	c.loadableAt = loadableAt
	return true
}

// freeRetired removes retired parts from the stores once no instance can be fetching them any more.
func (c *RolloutController) freeRetired(ctx context.Context, now time.Time) {
	if now.Sub(c.lastFreed) < freePeriod {
		return
	}
	c.lastFreed = now
	for len(c.retirements) > 1 && now.Sub(c.retirements[1].publishedAt) >= freeDelay {
		c.retirements = c.retirements[1:] // retired parts only grow: the next entry includes all of the first
	}
	if now.Sub(c.retirements[0].publishedAt) < freeDelay {
		return
	}
	for model, shares := range c.retirements[0].retired {
		c.opts.Cache.freeRetired(ctx, model, shares)
	}
}

// orderResult is the result of an order to a target.
type orderResult struct {
	sentAt time.Time // zero if the target's rate limit did not allow the order
	result OrderResult
}

// startOrder begins to order a target to load weights, if the lock is still held and the target takes control calls now. Otherwise a later
// step tries again. Orders do not wait for each other: a target that leaves one unanswered must not hold up the roll-out.
func (c *RolloutController) startOrder(ctx context.Context, order pendingOrder, token uint64) {
	report, ok := c.targetReports[order.target.id]
	if !ok || c.ordersPending[order.target.id] != nil {
		return
	}
	if current, held := c.opts.Lock.Token(); !held || current != token {
		return
	}
	if order.target.stats.Blocked(false, time.Now()) {
		return
	}
	result := make(chan orderResult, 1)
	c.ordersPending[order.target.id] = result
	go func() { result <- c.sendOrder(ctx, order, report.Sequence, token) }() // ends within the timeouts of the calls
}

// sendOrder orders a target to load weights, if its rate limit allows that now.
func (c *RolloutController) sendOrder(ctx context.Context, order pendingOrder, sequence, token uint64) orderResult {
	if granted, _ := c.opts.State.grantService.acquire(ctx, order.target.limit, grantPurpose{control: true}); !granted {
		return orderResult{}
	}
	sentAt := time.Now()
	result, err := c.opts.Engines.LoadWeights(ctx, order.target.address, LoadOrder{
		Target: order.target.id, Model: order.model, Version: order.newestVersion, Holder: c.opts.Self, Token: token, ExpectedSequence: sequence,
	})
	klog.InfoS("order to load weights", "target", order.target.id, "model", order.model, "version", order.newestVersion, "token", token,
		"sequence", sequence, "outcome", result.Outcome.String(), "err", err)
	c.opts.State.observeNotice(order.target, result.Notice, 0, time.Now())
	return orderResult{sentAt: sentAt, result: result}
}

// awaitOrders processes the results of orders, and waits up to reportWait for those in flight.
func (c *RolloutController) awaitOrders(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, reportWait)
	defer cancel()
	for id, result := range c.ordersPending {
		select {
		case done := <-result:
			c.endOrder(id, done)
		case <-ctx.Done():
			select {
			case done := <-result:
				c.endOrder(id, done)
			default: // still in flight
			}
		}
	}
}

// endOrder processes the result of an order to a target.
func (c *RolloutController) endOrder(id string, done orderResult) {
	delete(c.ordersPending, id)
	if done.sentAt.IsZero() {
		return // the next step tries again
	}
	for _, plan := range c.plans {
		plan.LoadOrdered(id, done.sentAt)
	}
	if done.result.Outcome == OrderFenced {
		c.opts.Lock.Relinquish()
	}
}
