// Package orders brings a target to the weight version and role that the configuration asks for. The Reconciler
// compares the desired and the reported state and returns the next step, which the sidecar carries out. Loads of
// weights are bounded by slots that the targets of a service share. Orders carry the revision of the configuration as
// fencing token, so that no order of an earlier revision takes effect after one of a later revision.
package orders

import (
	"slices"
	"time"

	"github.com/egrethoist/egrethoist/internal/engine"
)

// Desired is the state that the configuration asks for.
type Desired struct {
	Revision uint64 // revision of the configuration; only increases
	Version  string // weight version; empty asks for none
	Role     string // empty leaves the role unchanged
	// FitsTwoVersions says that the engine has room for two versions, so the old one serves while the new one loads.
	FitsTwoVersions bool
}

// VersionInFlight is the number of requests in flight on one weight version.
type VersionInFlight struct {
	Version  string
	Requests int
}

// Observed is the known state of the target.
type Observed struct {
	Report   engine.LoadReport // may be out of date
	InFlight []VersionInFlight // counted by the sidecar
}

func (o Observed) hasVersion(version string) bool { return slices.Contains(o.Report.Versions, version) }

func (o Observed) requestsInFlight() int {
	n := 0
	for _, r := range o.InFlight {
		n += r.Requests
	}
	return n
}

func (o Observed) requestsOn(version string) int {
	for _, r := range o.InFlight {
		if r.Version == version {
			return r.Requests
		}
	}
	return 0
}

// StepKind is the kind of a Step.
type StepKind int

// Kinds of steps.
const (
	StepNone        StepKind = iota // the target is in the desired state
	StepWait                        // wait for an order to take effect or for its next retry
	StepAcquireSlot                 // try to take a loading slot
	StepDrain                       // accept no new requests until a step without Drain
	StepSendOrder                   // send Step.Order
	StepReleaseSlot                 // release the loading slot
)

// Step is the next action of the sidecar.
type Step struct {
	Kind  StepKind
	Order engine.Order // only for StepSendOrder
	Drain bool         // the target accepts no new requests meanwhile, whatever the kind
}

// Options configures a Reconciler. Zero values take the defaults.
type Options struct {
	LoadTimeout time.Duration // time after which a load without effect is abandoned
	RetryAfter  time.Duration // time between two equal orders, and before another load after a failed one
}

// Defaults of Options.
const (
	defaultLoadTimeout = time.Minute
	defaultRetryAfter  = 10 * time.Second
)

// orderFence returns the fencing token of all orders under one revision. It needs no write to the key-value service:
// two sidecars that act under the same revision send the same orders, which lead to the same state in any sequence, and
// a sidecar with an earlier revision sends a lower token.
func (d Desired) orderFence() uint64 { return d.Revision }

// Reconciler plans the orders of one target. It is not safe for concurrent use.
type Reconciler struct {
	opts         Options
	revision     uint64
	incarnation  string
	lastOrder    engine.Order
	lastOrderAt  time.Time
	backoffUntil time.Time // no slot is acquired before this time
}

// New returns a Reconciler that has planned no order.
func New(opts Options) *Reconciler {
	if opts.LoadTimeout == 0 {
		opts.LoadTimeout = defaultLoadTimeout
	}
	if opts.RetryAfter == 0 {
		opts.RetryAfter = defaultRetryAfter
	}
	return &Reconciler{opts: opts}
}

// Next returns the next step. slot says whether a loading slot is held that is valid for a whole load. If the revision
// of d is earlier than one seen before, Next returns StepWait.
func (r *Reconciler) Next(d Desired, o Observed, slot bool, now time.Time) Step {
	if d.Revision < r.revision {
		return Step{Kind: StepWait}
	}
	r.revision = d.Revision
	if o.Report.Incarnation != r.incarnation {
		r.incarnation = o.Report.Incarnation
		r.lastOrder, r.backoffUntil = engine.Order{}, time.Time{} // a restarted engine has lost the effect of earlier orders
	}
	if d.Version != "" && !o.hasVersion(d.Version) {
		return r.planLoad(d, o, slot, now)
	}
	if r.lastOrder.Action == engine.OrderLoadVersion {
		r.lastOrder = engine.Order{} // the load took effect
	}
	if slot {
		return Step{Kind: StepReleaseSlot}
	}
	return r.setRoleAndUnload(d, o, now)
}

// planLoad plans the load of the desired version. Where the engine fits two versions the old one serves meanwhile.
// Otherwise the target is drained first, and only while it holds a slot, so that few targets are drained at a time.
func (r *Reconciler) planLoad(d Desired, o Observed, slot bool, now time.Time) Step {
	order := engine.Order{Fence: d.orderFence(), Action: engine.OrderLoadVersion, Version: d.Version}
	hasRoom := d.FitsTwoVersions || len(o.Report.Versions) == 0
	switch {
	case o.Report.Loading:
		return Step{Kind: StepWait, Drain: !hasRoom}
	case r.lastOrder == order && now.Sub(r.lastOrderAt) < r.opts.LoadTimeout:
		return Step{Kind: StepWait, Drain: !hasRoom}
	case r.lastOrder == order:
		return r.abandonLoad(slot, now)
	case !slot && now.Before(r.backoffUntil):
		return Step{Kind: StepWait}
	case !slot:
		return Step{Kind: StepAcquireSlot}
	case !hasRoom:
		return r.drainAndUnload(d, o, now)
	}
	return r.planOrder(order, now)
}

// abandonLoad releases the slot of a load that had no effect, so that other targets can load.
func (r *Reconciler) abandonLoad(slot bool, now time.Time) Step {
	r.lastOrder = engine.Order{}
	r.backoffUntil = now.Add(r.opts.RetryAfter)
	if slot {
		return Step{Kind: StepReleaseSlot}
	}
	return Step{Kind: StepWait}
}

// drainAndUnload waits until no request is in flight, then unloads the version that the target holds.
func (r *Reconciler) drainAndUnload(d Desired, o Observed, now time.Time) Step {
	if o.requestsInFlight() > 0 {
		return Step{Kind: StepDrain, Drain: true}
	}
	s := r.planOrder(engine.Order{
		Fence:   d.orderFence(),
		Action:  engine.OrderUnloadVersion,
		Version: o.Report.Versions[0],
	}, now)
	s.Drain = true
	return s
}

// setRoleAndUnload sets the role, and unloads each other version once no request is in flight on it.
func (r *Reconciler) setRoleAndUnload(d Desired, o Observed, now time.Time) Step {
	if d.Role != "" && o.Report.Role != d.Role {
		return r.planOrder(engine.Order{Fence: d.orderFence(), Action: engine.OrderSetRole, Role: d.Role}, now)
	}
	waiting := false
	for _, version := range o.Report.Versions {
		switch {
		case version == d.Version:
		case o.requestsOn(version) > 0:
			waiting = true
		default:
			return r.planOrder(engine.Order{
				Fence:   d.orderFence(),
				Action:  engine.OrderUnloadVersion,
				Version: version,
			}, now)
		}
	}
	if waiting {
		return Step{Kind: StepWait}
	}
	return Step{Kind: StepNone}
}

// planOrder returns the step that sends the order. If the same order was sent less than RetryAfter ago it returns
// StepWait, since the report may not show its effect yet.
func (r *Reconciler) planOrder(order engine.Order, now time.Time) Step {
	if r.lastOrder == order && now.Sub(r.lastOrderAt) < r.opts.RetryAfter {
		return Step{Kind: StepWait}
	}
	r.lastOrder, r.lastOrderAt = order, now
	return Step{Kind: StepSendOrder, Order: order}
}

// OrderFailed records that the last order could not be sent. It may be sent again at once, but no new slot is acquired
// for RetryAfter.
func (r *Reconciler) OrderFailed(now time.Time) {
	r.lastOrder = engine.Order{}
	r.backoffUntil = now.Add(r.opts.RetryAfter)
}
