package gateway

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"net"
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
	"github.com/egrethoist/egrethoist/internal/metastore"
	"github.com/egrethoist/egrethoist/internal/roster"
	"github.com/egrethoist/egrethoist/internal/sleep"
	"github.com/egrethoist/egrethoist/internal/steadytime"
)

const (
	// canaryReportPeriod is how often an instance tells the owner of a rollout its counts, canarySwitchReportPeriod how often it does while old targets
	// drain, and canaryUrgentReportPeriod how soon after a bad answer.
	canaryReportPeriod       = 200 * time.Millisecond
	canarySwitchReportPeriod = 40 * time.Millisecond
	canaryUrgentReportPeriod = 25 * time.Millisecond
	// canaryPeriodPerInstance is the least time between the reports of one instance, per live instance: it limits the owner's load to some 800
	// reports a second.
	canaryPeriodPerInstance = 1200 * time.Microsecond
	// permitPeriods is how many report periods a permit is valid for, and minPermitTTL the least time.
	permitPeriods = 3
	minPermitTTL  = time.Second
	// canaryTick is how often an instance checks what is due while a rollout runs, canaryIdleTick while none does.
	canaryTick     = 10 * time.Millisecond
	canaryIdleTick = 100 * time.Millisecond
)

// errOldStops ends an attempt at an old target that is about to stop.
var errOldStops = errors.New("targets of the old software version stop")

// rolloutService applies rollouts of services' software to this instance's requests, and tells the owner what they show. It is safe for
// concurrent use, and does nothing if it is nil.
type rolloutService struct {
	state       *State
	incarnation uint64 // random, differs after a restart
	sequence    atomic.Uint64
	services    atomic.Pointer[map[string]*serviceRollout] // by service
	owner       atomic.Pointer[rolloutOwner]               // holder of the lock; nil if unknown
	controller  atomic.Pointer[SoftwareRolloutController]  // of this process; nil if there is none

	mu        sync.Mutex // guards the rest; State.mu may be held before it, not after
	conn      net.PacketConn
	records   map[string]storedRollout // by service
	orders    map[string]canary.Order  // by service
	orderSeen map[uint64]time.Time     // by revision of orders that have not been there from the start
	restored  bool

	exposed, stops tally.Counter
	running        tally.Gauge
}

// rolloutOwner is the instance that holds the rollout lock.
type rolloutOwner struct{ name, address string }

// storedRollout is the record of a rollout in the metadata store.
type storedRollout struct {
	record   canary.Record
	revision uint64
}

// serviceRollout is the rollout of one service.
type serviceRollout struct {
	mu         sync.Mutex
	instance   *canary.Instance
	reportedAt time.Time
	phase      canary.Phase   // logged last
	stop       string         // logged last
	ranks      map[string]int // of the targets of the new version, by ID
}

func newRolloutService(s *State, m tally.Scope) *rolloutService {
	if m == nil {
		m = tally.NoopScope
	}
	r := &rolloutService{
		state: s, incarnation: rand.Uint64(), records: map[string]storedRollout{}, orders: map[string]canary.Order{}, orderSeen: map[uint64]time.Time{},
		exposed: m.Counter("requests_to_new_software"), stops: m.Counter("software_rollouts_stopped"), running: m.Gauge("software_rollouts_running"),
	}
	r.services.Store(&map[string]*serviceRollout{})
	return r
}

// of returns the rollout of a service, nil if there are none on this deployment.
func (r *rolloutService) of(service string) *serviceRollout {
	if r == nil {
		return nil
	}
	return (*r.services.Load())[service]
}

func (r *rolloutService) setConn(conn net.PacketConn) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conn = conn
}

// isFresh reports whether the metadata is fresh enough to send requests to a new version.
func (r *rolloutService) isFresh() bool {
	if r.state.opts.MetadataAge == nil {
		return true
	}
	age := r.state.metadataAge()
	return age >= 0 && age <= MaxMetadataAge
}

// restore reads the records of rollouts and the holder of the lock.
func (r *rolloutService) restore(items map[string]metastore.Item, instances map[string]Instance) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.records
	r.records = map[string]storedRollout{}
	for key, item := range items {
		service, ok := strings.CutPrefix(key, SoftwareRolloutPrefix)
		if !ok {
			continue
		}
		if before[service].revision == item.Revision {
			r.records[service] = before[service]
			continue
		}
		record, err := canary.ParseRecord(item.Value)
		if err != nil {
			klog.ErrorS(err, "invalid record of a rollout ignored", "key", key)
			continue
		}
		r.records[service] = storedRollout{record: record, revision: item.Revision}
	}
	var owner *rolloutOwner
	if item, held := items[RolloutLockKey]; held {
		owner = &rolloutOwner{name: string(item.Value), address: instances[string(item.Value)].Address}
	}
	r.owner.Store(owner)
}

// update applies the records, the orders and the usable targets to the services. State.mu must be held.
func (r *rolloutService) update(c *catalog.Catalog, orders map[string]roster.Rollout, usable map[string][]*target, now time.Time) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.orders = map[string]canary.Order{}
	for service, o := range orders {
		r.orders[service] = canary.Order{Service: service, Target: o.Target, Ramp: o.Ramp, Revision: o.Revision}
		if _, known := r.orderSeen[o.Revision]; !known && r.restored {
			r.orderSeen[o.Revision] = now
		}
	}
	maps.DeleteFunc(r.orderSeen, func(_ uint64, at time.Time) bool { return now.Sub(at) > time.Hour })
	r.restored = true
	before := *r.services.Load()
	next := make(map[string]*serviceRollout, len(c.Services))
	for name := range c.Services {
		sr := before[name]
		if sr == nil {
			sr = &serviceRollout{instance: canary.NewInstance(name, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))}
		}
		next[name] = sr
		r.updateService(name, sr, usable[name], now)
	}
	r.services.Store(&next)
}

// updateService applies the metadata to one service. r.mu must be held.
func (r *rolloutService) updateService(name string, sr *serviceRollout, usable []*target, now time.Time) {
	var record *canary.Record
	var order *canary.Order
	if stored, ok := r.records[name]; ok {
		record = &stored.record
	}
	if o, ok := r.orders[name]; ok {
		order = &o
	}
	var versions []string
	hashes := map[string]uint64{}
	for _, t := range usable {
		if !slices.Contains(versions, t.software) {
			versions = append(versions, t.software)
		}
		if record != nil && t.software == record.Target {
			hashes[t.id] = xxhash.Sum64String(t.id)
		}
	}
	slices.Sort(versions)
	sr.mu.Lock()
	defer sr.mu.Unlock()
	sr.ranks = map[string]int{}
	for rank, id := range canary.Targets(hashes) {
		sr.ranks[id] = rank
	}
	sr.instance.Update(record, order, versions, now)
	sr.logChange(name)
}

// logChange logs a change of the phase or a stop. sr.mu must be held.
func (sr *serviceRollout) logChange(service string) {
	record, phase := sr.instance.Record()
	if record == nil || phase == sr.phase && sr.instance.Stopped() == sr.stop {
		return
	}
	sr.phase, sr.stop = phase, sr.instance.Stopped()
	requests, exposed := sr.instance.Requests()
	klog.InfoS("rollout of software", "service", service, "target", record.Target, "old", record.Old, "phase", string(phase), "reason", record.Reason, "stopped", sr.stop,
		"requests", requests, "exposed", exposed)
}

// holdsBack reports whether a target gets nothing because a few others of its version get what the ramp allows.
func (r *rolloutService) holdsBack(service string, t *target) bool {
	sr := r.of(service)
	if sr == nil {
		return false
	}
	sr.mu.Lock()
	defer sr.mu.Unlock()
	return sr.instance.IsTarget(t.software) && !sr.instance.WorksInRamp(t.id, sr.ranks[t.id])
}

// requestRollout is what a request knows of the rollout of its service.
type requestRollout struct {
	service string // for which choice was made
	chosen  bool
	choice  canary.Choice
	attempt *rolloutAttempt // the present one; nil if there are no rollouts on this deployment
}

// routedSoftware returns the software versions at which the request may run, nil for all.
func (rq *request) routedSoftware() []string {
	allowed := rq.allowedSoftware()
	rollouts := rq.gateway.opts.State.rollouts
	sr := rollouts.of(rq.service.Name)
	if sr == nil {
		return allowed
	}
	fresh, now := rollouts.isFresh(), time.Now()
	sr.mu.Lock()
	defer sr.mu.Unlock()
	if rq.pinned != "" {
		if sr.instance.MayResume(rq.pinned, now) {
			return allowed
		}
		return []string{noSoftware}
	}
	if r := &rq.rollout; !r.chosen || r.service != rq.service.Name {
		r.chosen, r.service = true, rq.service.Name
		if r.choice = sr.instance.Choose(rq.route.Name, fresh, now); r.choice.Exposed {
			rollouts.exposed.Inc(1)
		}
	}
	if c := &rq.rollout.choice; c.Exposed {
		if versions := both(c.Versions, allowed); !rq.triedVersions(c.Versions) && len(versions) > 0 && c.Epoch == sr.instance.Epoch() {
			return versions
		} else if len(versions) == 0 {
			sr.instance.Return(*c, rq.route.Name)
			c.Exposed = false
		}
	}
	// A request that has failed at the new version goes to an old one, while that is allowed.
	versions := sr.instance.Allowed(fresh, now)
	if versions == nil {
		return allowed
	}
	if common := both(versions, allowed); len(common) > 0 {
		return common
	}
	return versions // streams begin at a version that is being left only as long as that serves
}

// noSoftware is the version of no target.
const noSoftware = "none"

// both returns the versions that are in both lists; allowed is nil if it has all.
func both(versions, allowed []string) []string {
	if allowed == nil {
		return versions
	}
	return slices.DeleteFunc(slices.Clone(versions), func(v string) bool { return !slices.Contains(allowed, v) })
}

// triedVersions reports whether an attempt of the request was sent to a target of one of the versions.
func (rq *request) triedVersions(versions []string) bool {
	return slices.ContainsFunc(rq.attempts, func(a attempt) bool { return !a.sent.IsZero() && slices.Contains(versions, a.target.software) })
}

// returnExposure lets a request that was to go to the new version go to an old one, since no target of the new one could take it. It returns
// false if the request was not to go there, or must not go to an old one.
func (rq *request) returnExposure() bool {
	c := &rq.rollout.choice
	sr := rq.gateway.opts.State.rollouts.of(rq.service.Name)
	if sr == nil || !c.Exposed || rq.pinned != "" || rq.triedVersions(c.Versions) {
		return false
	}
	sr.mu.Lock()
	defer sr.mu.Unlock()
	if _, phase := sr.instance.Record(); phase != canary.PhaseRamp {
		return false
	}
	sr.instance.Return(*c, rq.route.Name)
	c.Exposed = false
	return true
}

// rolloutAttempt is an attempt that the rollout of its service follows.
type rolloutAttempt struct {
	service *serviceRollout
	attempt *canary.Attempt

	mu     sync.Mutex
	cut    bool
	cancel context.CancelCauseFunc
}

// beginRolloutAttempt notes that the request is about to be sent to a target. It returns errStaleChoice if the phase has changed since the choice.
func (rq *request) beginRolloutAttempt(t *target) error {
	rollouts := rq.gateway.opts.State.rollouts
	sr := rollouts.of(rq.service.Name)
	rq.rollout.attempt = nil
	if sr == nil {
		return nil
	}
	a := &rolloutAttempt{service: sr}
	rq.rollout.attempt = a
	now := time.Now()
	fresh, cold := rollouts.isFresh(), steadytime.UnixNano(now) < t.coldUntil.Load()
	key := canary.Key{Version: t.software, Route: rq.route.Name, Target: t.id}
	sr.mu.Lock()
	defer sr.mu.Unlock()
	attempt, ok := sr.instance.Begin(key, rq.rollout.choice.Exposed, rq.pinned != "", cold, fresh, a.end, now)
	a.attempt = attempt
	if !ok {
		return errStaleChoice
	}
	return nil
}

// end cancels the attempt.
func (a *rolloutAttempt) end() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cut = true
	if a.cancel != nil {
		a.cancel(errOldStops)
	}
}

// cancelWith sets what cancels the attempt.
func (a *rolloutAttempt) cancelWith(cancel context.CancelCauseFunc) {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancel = cancel
	if a.cut {
		cancel(errOldStops)
	}
}

// gotFirst notes that the answer has begun.
func (a *rolloutAttempt) gotFirst() {
	if a == nil {
		return
	}
	a.service.mu.Lock()
	defer a.service.mu.Unlock()
	a.service.instance.GotFirst(a.attempt)
}

// endRolloutAttempt counts the attempt that has ended.
func (rq *request) endRolloutAttempt(result *attempt) {
	a := rq.rollout.attempt
	if a == nil || a.attempt == nil {
		return
	}
	now := time.Now()
	answer := rq.rolloutAnswer(result, now)
	a.service.mu.Lock()
	defer a.service.mu.Unlock()
	a.service.instance.End(a.attempt, answer, now)
	a.service.logChange(rq.service.Name)
	rq.rollout.attempt = nil
}

// rolloutAnswer returns what an attempt says of its target, nil if nothing.
func (rq *request) rolloutAnswer(result *attempt, now time.Time) *canary.Answer {
	if result.sent.IsZero() {
		return nil
	}
	answer := &canary.Answer{Total: now.Sub(result.sent), Events: result.progress.events}
	answer.First = answer.Total
	if !result.progress.firstEvent.IsZero() {
		answer.First = result.progress.firstEvent.Sub(result.sent)
	}
	switch result.outcome {
	case attemptServed:
		answer.Failed = result.status >= 500
		if errors.Is(result.err, errCallerWrite) {
			return nil
		}
	case attemptFailed:
		answer.Failed = true
	case attemptUnknown, attemptBroken:
		for _, own := range []error{errCallerWrite, errWeightsExpired, errQuarantined, errNotRecorded, errOldStops, context.Canceled} {
			if errors.Is(result.err, own) {
				return nil
			}
		}
		answer.Failed = true
	default:
		return nil
	}
	return answer
}

// run sends reports and ends attempts that must end, until ctx ends.
func (r *rolloutService) run(ctx context.Context) {
	if r == nil {
		return
	}
	for wait := canaryIdleTick; sleep.For(ctx, wait) == nil; {
		wait = canaryIdleTick
		running := 0
		for name, sr := range *r.services.Load() {
			if r.tick(name, sr, time.Now()) {
				wait = canaryTick
				running++
			}
		}
		r.running.Update(float64(running))
	}
}

// canaryPeriod returns the time between two reports of an instance, at least atLeast.
func (r *rolloutService) canaryPeriod(atLeast time.Duration) time.Duration {
	instances := 1
	if v := r.state.current.Load(); v != nil {
		instances = v.instances
	}
	return max(atLeast, time.Duration(instances)*canaryPeriodPerInstance)
}

// permitTTL returns how long a permit is valid.
func (r *rolloutService) permitTTL() time.Duration {
	return max(minPermitTTL, permitPeriods*r.canaryPeriod(canaryReportPeriod))
}

// tick sends the report of a service if it is due. It returns false if no rollout runs.
func (r *rolloutService) tick(name string, sr *serviceRollout, now time.Time) bool {
	sr.mu.Lock()
	if !sr.instance.Running() {
		sr.mu.Unlock()
		return false
	}
	sr.instance.Tick(now)
	sr.logChange(name)
	period := canaryReportPeriod
	if _, phase := sr.instance.Record(); phase == canary.PhaseSwitch {
		period = canarySwitchReportPeriod
	}
	since := now.Sub(sr.reportedAt)
	due := since >= r.canaryPeriod(period) || since >= canaryUrgentReportPeriod && sr.instance.Urgent()
	if !due {
		sr.mu.Unlock()
		return true
	}
	sr.reportedAt = now
	report, ok := sr.instance.Report(now)
	sr.mu.Unlock()
	if ok {
		report.Instance, report.Incarnation, report.Sequence = r.state.opts.Self, r.incarnation, r.sequence.Add(1)
		r.sendReport(report)
	}
	return true
}

// sendReport sends a report to the owner.
func (r *rolloutService) sendReport(report *canary.Report) {
	owner := r.owner.Load()
	switch {
	case owner == nil:
		return
	case owner.name == r.state.opts.Self:
		if judge := r.controller.Load(); judge != nil {
			judge.observe(report)
		}
		return
	}
	datagrams, err := canary.EncodeReport(report, maxDatagram)
	if err != nil {
		klog.ErrorS(err, "cannot encode the report on a rollout")
		return
	}
	for _, d := range datagrams {
		r.send(owner.address, d)
	}
}

func (r *rolloutService) send(to string, datagram []byte) {
	r.mu.Lock()
	conn := r.conn
	r.mu.Unlock()
	address, err := net.ResolveUDPAddr("udp4", to)
	if conn == nil || err != nil {
		return
	}
	_, _ = conn.WriteTo(datagram, address) // a lost one is made good by the next
}

// sendPermit sends a permit to an instance.
func (r *rolloutService) sendPermit(instance string, p *canary.Permit) {
	if instance == r.state.opts.Self {
		r.takePermit(p)
		return
	}
	r.state.mu.Lock()
	address := r.state.instances[instance].Address
	r.state.mu.Unlock()
	raw, err := p.Encode()
	if err != nil {
		klog.ErrorS(err, "cannot encode the permit of a rollout")
		return
	}
	r.send(address, raw)
}

// takePermit applies a permit.
func (r *rolloutService) takePermit(p *canary.Permit) {
	sr := r.of(p.Service)
	if sr == nil {
		return
	}
	sr.mu.Lock()
	before, stopped := sr.instance.WorksKey(), sr.instance.Stopped()
	taken := sr.instance.TakePermit(p, time.Now())
	rebuild := taken && sr.instance.WorksKey() != before
	if taken && stopped == "" && sr.instance.Stopped() != "" {
		r.stops.Inc(1)
	}
	sr.logChange(p.Service)
	sr.mu.Unlock()
	if rebuild { // other targets of the new version get requests
		r.state.refresh(time.Now())
	}
}

// handleDatagram processes a datagram. It returns false if it is not one of this service.
func (r *rolloutService) handleDatagram(b []byte, from net.Addr) bool {
	if r == nil || !canary.IsMessage(b) {
		return false
	}
	m, err := canary.Parse(b)
	switch {
	case err != nil:
		klog.V(1).InfoS("invalid message about a rollout dropped", "from", from.String(), "err", err.Error())
	case m.Permit != nil:
		r.takePermit(m.Permit)
	default:
		if judge := r.controller.Load(); judge != nil {
			judge.observe(m.Report)
		}
	}
	return true
}

// refresh rebuilds the view.
func (s *State) refresh(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.snapshot != nil {
		s.rebuild(now)
	}
}
