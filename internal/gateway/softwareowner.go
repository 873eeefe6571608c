package gateway

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/egrethoist/egrethoist/internal/canary"
	"github.com/egrethoist/egrethoist/internal/metastore"
	"github.com/egrethoist/egrethoist/internal/sleep"
)

const (
	// decisionPeriod is how often the owner decides while a rollout runs, and idleDecisionPeriod how often it looks for orders.
	decisionPeriod     = 20 * time.Millisecond
	idleDecisionPeriod = 100 * time.Millisecond
	// evidencePeriod is how often the evidence in the record of a running rollout is renewed.
	evidencePeriod = 3 * time.Second
	// commitRetryDelay is the wait after a failed transaction.
	commitRetryDelay = 100 * time.Millisecond
	// finalPermits is how often the end of a rollout is told to all instances.
	finalPermits = 3
	// maxRecordConflicts is the number of conflicts of a record in a row after which the lock counts as lost.
	maxRecordConflicts = 5
)

// SoftwareRolloutOptions configure a SoftwareRolloutController.
type SoftwareRolloutOptions struct {
	State *State
	Store metastore.Store
	Lock  *metastore.Lock // on RolloutLockKey
	// EncodeStatus returns the item that tells operators the state of a rollout.
	EncodeStatus func(service string, phase canary.Phase, target string) (key string, value []byte, err error)
}

// SoftwareRolloutController carries out the orders to roll out software: it judges the new versions by the reports of all instances, records
// the phase in the metadata store and tells the instances. It acts only while this instance holds the rollout lock.
type SoftwareRolloutController struct {
	opts     SoftwareRolloutOptions
	rollouts *rolloutService

	mu    sync.Mutex // guards the rest
	token uint64     // of the term; zero while the lock is not held
	owned map[string]*ownedRollout
}

// ownedRollout is the rollout of one service that this instance owns.
type ownedRollout struct {
	stored         storedRollout
	isNew          bool           // stored was the first record that this owner saw
	policy         *canary.Policy // nil while no rollout runs
	deadline       time.Time
	input          canary.Input
	decision       canary.Decision
	decidedAt      time.Time
	committing     bool
	committingDone bool // the write in progress ends the rollout with done
	retryAt        time.Time
	recordedAt     time.Time // when the evidence was recorded last
	conflicts      int
	toldStop       bool
	permitsToAll   int       // still to be sent
	toldAt         time.Time // when all instances were told last
}

// NewSoftwareRolloutController returns a controller that does nothing until Run is called. The State must have RolloutBounds.
func NewSoftwareRolloutController(o SoftwareRolloutOptions) *SoftwareRolloutController {
	c := &SoftwareRolloutController{opts: o, rollouts: o.State.rollouts, owned: map[string]*ownedRollout{}}
	if c.rollouts != nil {
		c.rollouts.controller.Store(c)
	}
	return c
}

// Run carries out orders until ctx ends, and returns the context's error.
func (c *SoftwareRolloutController) Run(ctx context.Context) error {
	if c.rollouts == nil {
		<-ctx.Done()
		return ctx.Err()
	}
	for wait := idleDecisionPeriod; sleep.For(ctx, wait) == nil; {
		wait = idleDecisionPeriod
		if c.step(ctx, time.Now()) {
			wait = decisionPeriod
		}
	}
	return ctx.Err()
}

// step decides for all services. It returns false if no rollout runs.
func (c *SoftwareRolloutController) step(ctx context.Context, now time.Time) bool {
	token, held := c.opts.Lock.Token()
	records, orders := c.rollouts.known()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !held || token != c.token {
		c.owned, c.token = map[string]*ownedRollout{}, 0
	}
	if !held {
		return false
	}
	c.token = token
	active := false
	for service, stored := range records {
		c.learn(service, stored, now)
	}
	for service, order := range orders {
		if c.owned[service] == nil {
			c.owned[service] = &ownedRollout{}
		}
		c.begin(ctx, service, order, now)
	}
	for service, o := range c.owned {
		if o.policy == nil || o.stored.record.Phase.Final() && o.permitsToAll == 0 {
			continue
		}
		c.decide(service, o, now)
		c.act(ctx, service, o, orders[service], now)
		active = active || !o.stored.record.Phase.Final() || o.permitsToAll > 0
	}
	return active || slices.ContainsFunc(slices.Collect(maps.Values(c.owned)), func(o *ownedRollout) bool { return o.committing })
}

// known returns the records and the orders.
func (r *rolloutService) known() (map[string]storedRollout, map[string]canary.Order) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.records), maps.Clone(r.orders)
}

// learn takes in the record of a service from the metadata. c.mu must be held.
func (c *SoftwareRolloutController) learn(service string, stored storedRollout, now time.Time) {
	o := c.owned[service]
	if o == nil {
		o = &ownedRollout{}
		c.owned[service] = o
	}
	if stored.revision <= o.stored.revision {
		return
	}
	c.install(service, o, stored, false, now)
}

// install makes a record the present one of a service. begun is whether this owner has begun the rollout just now. c.mu must be held.
func (c *SoftwareRolloutController) install(service string, o *ownedRollout, stored storedRollout, begun bool, now time.Time) {
	record := stored.record
	if o.policy == nil || o.stored.record.StartedMs != record.StartedMs {
		o.policy, o.toldStop, o.permitsToAll, o.decidedAt = nil, false, 0, time.Time{}
		started, deadline := c.times(service, &record, begun, now)
		o.deadline = deadline
		o.policy = canary.NewPolicy(*c.opts.State.opts.RolloutBounds, canary.Start{
			Order: canary.Order{Service: service, Target: record.Target, Revision: record.Order}, Epoch: record.StartedMs, Started: started, Deadline: deadline,
			Phase: record.Phase, Fresh: begun,
		}, now)
		if !record.Phase.Final() {
			klog.InfoS("rollout of software owned", "service", service, "target", record.Target, "phase", string(record.Phase), "token", c.token, "deadline", deadline.Sub(now))
		}
	}
	o.isNew = o.stored.revision == 0 // a finished rollout of an earlier owner is not told again
	phaseChanged := o.stored.record.Phase != record.Phase
	o.stored, o.conflicts = stored, 0
	if o.policy != nil {
		o.policy.Committed(record.Phase, now)
		o.decidedAt = time.Time{}
		if phaseChanged && (begun || !o.isNew) {
			o.permitsToAll = finalPermits
		}
	}
}

// times returns when a rollout began and its deadline, by this instance's clock.
func (c *SoftwareRolloutController) times(service string, record *canary.Record, begun bool, now time.Time) (started, deadline time.Time) {
	ramp := time.Duration(record.DeadlineMs-record.StartedMs) * time.Millisecond
	if begun {
		deadline = now.Add(ramp)
		if seen := c.rollouts.seen(record.Order); !seen.IsZero() {
			deadline = seen.Add(ramp)
		}
		return deadline.Add(-ramp), deadline
	}
	if sr := c.rollouts.of(service); sr != nil {
		sr.mu.Lock()
		if sr.instance.Epoch() == record.StartedMs {
			deadline = sr.instance.Deadline() // the owner before has told it, whatever the wall clocks show
		}
		sr.mu.Unlock()
	}
	if deadline.IsZero() {
		left := min(max(time.Duration(record.DeadlineMs-now.UnixMilli())*time.Millisecond, 0), ramp)
		deadline = now.Add(left)
	}
	return deadline.Add(-ramp), deadline
}

// seen returns when this instance first saw an order, zero if it was there from the start.
func (r *rolloutService) seen(order uint64) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.orderSeen[order]
}

// begin begins the rollout of an order if it asks for one. c.mu must be held.
func (c *SoftwareRolloutController) begin(ctx context.Context, service string, order canary.Order, now time.Time) {
	o := c.owned[service]
	if o.committing || now.Before(o.retryAt) {
		return
	}
	var before *canary.Record
	if o.stored.revision > 0 {
		before = &o.stored.record
	}
	record, due := canary.Begin(order, before, c.opts.State.softwareInUse(service), now)
	if due {
		c.commit(ctx, service, o, record, true)
	}
}

// softwareInUse returns the software versions of the usable targets of a service, sorted.
func (s *State) softwareInUse(service string) []string {
	var out []string
	if v := s.current.Load(); v != nil && v.services[service] != nil {
		for _, t := range v.services[service].orderedTargets {
			if t.software != "" && !slices.Contains(out, t.software) {
				out = append(out, t.software)
			}
		}
	}
	slices.Sort(out)
	return out
}

// decide renews the decision. c.mu must be held.
func (c *SoftwareRolloutController) decide(service string, o *ownedRollout, now time.Time) {
	if now.Sub(o.decidedAt) < decisionPeriod/2 {
		return
	}
	o.decidedAt = now
	o.input = c.opts.State.rolloutInput(service, &o.stored.record)
	o.decision = o.policy.Next(o.input, now)
}

// rolloutInput returns what the owner of a rollout must know of the fleet.
func (s *State) rolloutInput(service string, record *canary.Record) canary.Input {
	var in canary.Input
	for _, m := range s.Members() {
		in.Instances = append(in.Instances, m.Name)
	}
	if v := s.current.Load(); v != nil && v.services[service] != nil {
		for _, t := range v.services[service].orderedTargets {
			switch {
			case t.software == record.Target && !t.stats.Leaving():
				in.NewTargets = append(in.NewTargets, t.id)
			case slices.Contains(record.Old, t.software):
				in.OldTargets++
			}
		}
	}
	return in
}

// act carries out the decision. c.mu must be held.
func (c *SoftwareRolloutController) act(ctx context.Context, service string, o *ownedRollout, order canary.Order, now time.Time) {
	record := o.stored.record
	if o.decision.Stop != "" && !o.toldStop && !o.committingDone { // before the metadata store has it: it may be slow
		o.toldStop = true
		o.permitsToAll = finalPermits
		o.toldAt = time.Time{}
		klog.InfoS("rollout of software stopped", "service", service, "target", record.Target, "reason", o.decision.Stop)
	}
	if o.permitsToAll > 0 && now.Sub(o.toldAt) >= canaryUrgentReportPeriod {
		o.permitsToAll--
		o.toldAt = now
		permit, instances := c.permit(service, o, now), slices.Clone(o.input.Instances)
		go func() {
			for _, name := range instances {
				c.rollouts.sendPermit(name, permit)
			}
		}()
	}
	changed := o.decision.Phase != record.Phase
	if o.committing || now.Before(o.retryAt) || record.Phase.Final() || !changed && now.Sub(o.recordedAt) < evidencePeriod {
		return
	}
	next := record
	next.Phase, next.Share, next.Reason, next.Evidence = o.decision.Phase, o.decision.Share, o.decision.Reason, o.policy.Evidence()
	if next.Covers(order) || record.Covers(order) {
		next.Order = order.Revision // the same order, written again
	}
	switch next.Phase {
	case canary.PhaseSwitch, canary.PhaseDone:
		next.Share = 1
	case canary.PhaseRolledBack:
		next.Share = 0
	}
	c.commit(ctx, service, o, next, false)
}

// permit returns the permit for the instances. c.mu must be held.
func (c *SoftwareRolloutController) permit(service string, o *ownedRollout, now time.Time) *canary.Permit {
	decision := o.decision
	if o.committingDone {
		decision.Stop = "" // done may be in force already, and the old targets with it gone
	}
	return canary.PermitOf(service, o.stored.record.StartedMs, c.token, o.stored.record.Phase, decision, o.deadline, c.rollouts.permitTTL(), now)
}

// observe takes in a report and answers it.
func (c *SoftwareRolloutController) observe(r *canary.Report) {
	now := time.Now()
	c.mu.Lock()
	o := c.owned[r.Service]
	token, held := c.opts.Lock.Token()
	if !held || token != c.token || o == nil || o.policy == nil || o.stored.record.StartedMs != r.Epoch {
		c.mu.Unlock()
		return
	}
	o.policy.Observe(r, now)
	c.decide(r.Service, o, now)
	permit := c.permit(r.Service, o, now)
	c.mu.Unlock()
	c.rollouts.sendPermit(r.Instance, permit)
}

// commit writes a record and the status that operators see, on condition that the lock is still held and nothing else has changed the record. c.mu
// must be held.
func (c *SoftwareRolloutController) commit(ctx context.Context, service string, o *ownedRollout, record canary.Record, begin bool) {
	key := SoftwareRolloutPrefix + service
	raw, err := record.Encode()
	if err != nil {
		klog.ErrorS(err, "cannot encode the record of a rollout")
		return
	}
	statusKey, status, err := c.opts.EncodeStatus(service, record.Phase, record.Target)
	if err != nil {
		klog.ErrorS(err, "cannot encode the status of a rollout")
		return
	}
	txn := metastore.Txn{
		If:   []metastore.Condition{{Key: RolloutLockKey, Revision: c.token}, {Key: key, Revision: o.stored.revision}},
		Puts: []metastore.Put{{Key: key, Value: raw}},
	}
	if begin || record.Phase.Final() { // the status of a running rollout stays
		txn.Puts = append(txn.Puts, metastore.Put{Key: statusKey, Value: status})
	}
	o.committing, o.committingDone, o.recordedAt = true, record.Phase == canary.PhaseDone, time.Now()
	token := c.token
	go func() {
		revision, err := c.opts.Store.Commit(ctx, txn)
		stored := storedRollout{record: record, revision: revision}
		found := err == nil
		if err != nil {
			klog.InfoS("record of a rollout not written", "service", service, "phase", string(record.Phase), "err", err.Error())
			stored, found = c.read(ctx, key) // the write may have taken effect
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		o.committing, o.committingDone = false, false
		if c.token != token || c.owned[service] != o {
			return
		}
		now := time.Now()
		if err != nil {
			o.retryAt = now.Add(commitRetryDelay)
			o.recordedAt = time.Time{}
		}
		switch {
		case found && stored.revision > o.stored.revision:
			klog.InfoS("rollout of software recorded", "service", service, "target", stored.record.Target, "phase", string(stored.record.Phase), "reason", stored.record.Reason)
			c.install(service, o, stored, begin && err == nil, now)
		case errors.Is(err, metastore.ErrConflict):
			// A record that cannot be read is no reason to give up the lock, which weights need too.
			if o.conflicts++; o.conflicts >= maxRecordConflicts && found {
				c.opts.Lock.Relinquish()
			}
		}
	}()
}

// read returns the record of a rollout in the metadata store.
func (c *SoftwareRolloutController) read(ctx context.Context, key string) (storedRollout, bool) {
	item, found, err := c.opts.Store.Get(ctx, key)
	if err != nil || !found {
		return storedRollout{}, false
	}
	record, err := canary.ParseRecord(item.Value)
	if err != nil {
		klog.ErrorS(err, "invalid record of a rollout", "key", key)
		return storedRollout{}, false
	}
	return storedRollout{record: record, revision: item.Revision}, true
}
