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
	// orderPeriod is how often the owner of orders looks at the targets that load: loads take seconds.
	orderPeriod = 150 * time.Millisecond
	// orderSettle is how long the other instances have to take a target out before it is told to load.
	orderSettle = 250 * time.Millisecond
	// publishPerInstance is the time between two publications for each instance, so that they cost the metadata store a
	// few dozen calls a second.
	publishPerInstance = 25 * time.Millisecond
	// freeAfter is the time from the retirement of a weight version until its parts are freed: the age of the oldest view
	// of the metadata that is used for a fetch, the longest fetch, and a margin.
	freeAfter = FreshMetadata + FetchLimit + time.Second
	// freePeriod is how often the stores are looked through for retired parts.
	freePeriod = 2 * time.Second
)

// loadState is what the owner of orders tells all instances.
type loadState struct {
	Loading []string                     `json:"loading"`    // targets that get no new work
	Loaded  []loaded                     `json:"loaded"`     // targets that have loaded, until their own records say so
	Retired map[string]retirement.Shares `json:"retirement"` // by model: cached parts that are no longer used
}

type loaded struct {
	Target  string `json:"target"`
	Born    int64  `json:"born"`
	Model   string `json:"model"`
	Version int    `json:"version"`
}

// publishedRetirement is what was retired by a publication.
type publishedRetirement struct {
	at      time.Time
	retired map[string]retirement.Shares // by model
}

// OrdererOptions configure an Orderer.
type OrdererOptions struct {
	Self    string
	State   *State
	Store   metastore.Store
	Lock    *metastore.Lock
	Engines Engines
	Keeper  *Keeper
}

// Orderer gives targets the order to load new weights, while it holds the lock for orders.
type Orderer struct {
	opts        OrdererOptions
	plans       map[string]*rollout.Plan  // by service and model
	reports     map[string]TargetReport   // of targets that are out, by ID
	missed      map[string]*missedReports // by ID of targets that are out and do not report
	inbox       *reportInbox
	asking      map[string]bool              // targets that are being asked for a report, by ID
	results     map[string]reportResult      // taken from the inbox and not looked at yet, by ID
	published   map[string]time.Time         // targets that are out, by ID, with the time from which all instances know it
	retired     map[string]retirement.Shares // by model
	retirements []publishedRetirement        // oldest first; the first is the last one that all instances may be taken to know
	publishedAt time.Time
	loaded      []loaded
	freed       time.Time // last look for parts to free
}

// NewOrderer returns an orderer.
func NewOrderer(o OrdererOptions) *Orderer { return &Orderer{opts: o} }

// Run gives orders until ctx ends.
func (o *Orderer) Run(ctx context.Context) error {
	var held uint64
	for sleep.For(ctx, orderPeriod) == nil {
		token, ok := o.opts.Lock.Token()
		if !ok {
			held = 0
			continue
		}
		if token != held {
			held = token
			o.begin()
		}
		o.step(ctx, token)
	}
	return ctx.Err()
}

// begin forgets what an earlier tenure believed. The targets' reports tell how far they are.
func (o *Orderer) begin() {
	o.plans, o.reports, o.missed = map[string]*rollout.Plan{}, map[string]TargetReport{}, map[string]*missedReports{}
	o.inbox, o.asking, o.results = newReportInbox(), map[string]bool{}, map[string]reportResult{}
	o.published, o.loaded, o.freed = map[string]time.Time{}, nil, time.Time{}
	o.retired, o.retirements = o.opts.State.publishedRetirement(), nil
	o.noteRetirement(time.Now())
}

// noteRetirement remembers when the present retirement was published.
func (o *Orderer) noteRetirement(now time.Time) {
	o.retirements = append(o.retirements, publishedRetirement{at: now, retired: maps.Clone(o.retired)})
}

// job is a target with what an order to it needs.
type job struct {
	target *target
	born   int64
	model  string
	newest int
}

func (o *Orderer) step(ctx context.Context, token uint64) {
	now := time.Now()
	var out []string
	orders := map[string]job{}
	for _, g := range o.opts.State.engineGroups() {
		key := g.service + "/" + g.model
		if o.plans[key] == nil {
			o.plans[key] = rollout.New(rollout.Options{})
		}
		observed := o.observe(ctx, g)
		step := o.plans[key].Next(observed, g.newest, now)
		out = append(out, step.Out...)
		if !now.Before(o.nextPublish()) && (len(step.Out) > 0 || now.Sub(o.freed) >= freePeriod) {
			o.retire(g, observed, step.Out)
		}
		for _, id := range step.Order {
			orders[id] = job{target: g.targets[id], born: g.born[id], model: g.model, newest: g.newest}
		}
	}
	slices.Sort(out)
	if !o.isPublished(out) && !now.Before(o.nextPublish()) && !o.publish(ctx, out, token) {
		return
	}
	o.free(ctx, now)
	// A target that has been out for long enough does not wait until the next ones are published.
	for id, j := range orders {
		if at, ok := o.published[id]; ok && !time.Now().Before(at) {
			o.order(ctx, j, token)
		}
	}
}

// retire adds the parts that give way to the newest weights.
func (o *Orderer) retire(g engineGroup, observed []rollout.Target, out []string) {
	fleet := retirement.Fleet{Newest: g.newest, Targets: len(observed), Serving: map[int]int{}}
	for _, t := range observed {
		if !slices.Contains(out, t.ID) {
			fleet.Serving[t.Version]++
		}
	}
	fleet.Capacity, fleet.Used = o.opts.Keeper.usage(g.model)
	next := o.retired[g.model].Grow(retirement.Plan(fleet))
	o.retired = maps.Clone(o.retired)
	o.retired[g.model] = next
}

// isPublished reports whether all instances were told of exactly these targets and of the present retirement.
func (o *Orderer) isPublished(out []string) bool {
	last := o.retirements[len(o.retirements)-1]
	if len(out) != len(o.published) || !maps.EqualFunc(o.retired, last.retired, retirement.Shares.Equal) {
		return false
	}
	for _, id := range out {
		if _, ok := o.published[id]; !ok {
			return false
		}
	}
	return true
}

// nextPublish returns when the load state may be published again: each time wakes every instance.
func (o *Orderer) nextPublish() time.Time {
	return o.publishedAt.Add(time.Duration(o.opts.State.instanceCount()) * publishPerInstance)
}

// publish tells all instances which targets are out. The lock's revision is a condition, so that only its holder can.
func (o *Orderer) publish(ctx context.Context, out []string, token uint64) bool {
	raw, err := json.Marshal(loadState{Loading: out, Loaded: o.loaded, Retired: o.retired})
	if err != nil {
		klog.ErrorS(err, "encode load state")
		return false
	}
	_, err = o.opts.Store.Commit(ctx, metastore.Txn{
		If:   []metastore.Condition{{Key: OrdersLock, Revision: token}},
		Puts: []metastore.Put{{Key: LoadingKey, Value: raw}},
	})
	if err != nil {
		klog.InfoS("load state not published", "targets", len(out), "err", err.Error())
		if errors.Is(err, metastore.ErrConflict) {
			o.opts.Lock.Relinquish()
		}
		return false
	}
	klog.InfoS("targets taken out to load weights", "targets", out, "retired", o.retired)
	o.publishedAt = time.Now()
	o.noteRetirement(o.publishedAt)
	published := make(map[string]time.Time, len(out))
	for _, id := range out {
		at, before := o.published[id]
		if !before {
			at = o.publishedAt.Add(orderSettle)
		}
		published[id] = at
	}
	o.published = published
	return true
}

// free removes retired parts from the stores, once no instance fetches them any more.
func (o *Orderer) free(ctx context.Context, now time.Time) {
	if now.Sub(o.freed) < freePeriod {
		return
	}
	o.freed = now
	for len(o.retirements) > 1 && now.Sub(o.retirements[1].at) >= freeAfter {
		o.retirements = o.retirements[1:] // the next one holds all of it
	}
	if now.Sub(o.retirements[0].at) < freeAfter {
		return
	}
	for model, shares := range o.retirements[0].retired {
		o.opts.Keeper.free(ctx, model, shares)
	}
}

func (o *Orderer) order(ctx context.Context, j job, token uint64) {
	report, ok := o.reports[j.target.id]
	if !ok {
		return
	}
	if now, held := o.opts.Lock.Token(); !held || now != token {
		return
	}
	if j.target.stats.Declines(false, time.Now()) {
		return
	}
	if granted, _ := o.opts.State.permits.take(ctx, j.target.meter, want{control: true}); !granted {
		return // the next step tries again
	}
	result, err := o.opts.Engines.LoadWeights(ctx, j.target.address, WeightsOrder{
		Target: j.target.id, Model: j.model, Version: j.newest, Holder: o.opts.Self, Token: token, Expected: report.Sequence,
	})
	klog.InfoS("order to load weights", "target", j.target.id, "model", j.model, "version", j.newest, "token", token,
		"sequence", report.Sequence, "outcome", result.Outcome.String(), "err", err)
	o.opts.State.observeNotice(j.target, result.Notice, 0, time.Now())
	for _, plan := range o.plans {
		plan.Ordered(j.target.id, time.Now())
	}
	if result.Outcome == OrderFenced {
		o.opts.Lock.Relinquish()
	}
}
