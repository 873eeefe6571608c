package sidecar

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"github.com/egrethoist/egrethoist/internal/engine"
	"github.com/egrethoist/egrethoist/internal/loadslot"
	"github.com/egrethoist/egrethoist/internal/orders"
	"github.com/egrethoist/egrethoist/internal/world"
)

// orderPeriod is the period at which the desired and the reported state of the target are compared.
const orderPeriod = 250 * time.Millisecond

// orderTimeout bounds sending one order, and releasing a loading slot.
const orderTimeout = 5 * time.Second

// orderer brings the target to the weight version of the configuration: it carries out the steps of an
// orders.Reconciler.
type orderer struct {
	s           *Sidecar
	sender      *orders.FencedSender
	reconciler  *orders.Reconciler
	rng         *rand.Rand
	slot        *loadslot.HeldSlot // nil if none is held
	stopRenewal context.CancelFunc // stops renewing the lease of slot
	nextPoll    time.Time          // earliest time of the next attempt to take a slot
}

func newOrderer(s *Sidecar) *orderer {
	return &orderer{
		s:          s,
		sender:     orders.NewFencedSender(s.opts.Model),
		reconciler: orders.New(orders.Options{}),
		rng:        rand.New(rand.NewPCG(s.opts.Incarnation, 2)),
	}
}

// run plans and carries out one step at a time until ctx ends.
func (o *orderer) run(ctx context.Context) {
	tick := time.NewTicker(orderPeriod)
	defer tick.Stop()
	defer o.releaseSlot()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			o.step(ctx)
		}
	}
}

// step plans the next step from the latest load report and configuration, and carries it out.
func (o *orderer) step(ctx context.Context) {
	report := o.s.loadReport.Load()
	w := o.s.opts.Config.Current()
	if report == nil || w == nil || w.Services[o.s.opts.Service] == nil {
		return
	}
	svc := w.Services[o.s.opts.Service]
	now := time.Now()
	next := o.reconciler.Next(
		orders.Desired{Revision: w.Revision.Number, Version: svc.WeightVersion, FitsTwoVersions: svc.MaxVersions != 1},
		orders.Observed{Report: *report, InFlight: o.s.versions.inFlight()},
		o.slot != nil && o.slot.Valid(now),
		now,
	)
	o.s.swappingWeights.Store(next.Drain)
	switch next.Kind {
	case orders.StepAcquireSlot:
		o.acquireSlot(ctx, svc)
	case orders.StepReleaseSlot:
		o.releaseSlot()
	case orders.StepSendOrder:
		o.sendOrder(ctx, next.Order)
	}
}

// sendOrder sends an order to the target. A version is closed to attempts before the order to unload it is sent, and
// stays closed until a load report shows that it is unloaded, so that no attempt can be bound to it in between.
func (o *orderer) sendOrder(ctx context.Context, order engine.Order) {
	if order.Action == engine.OrderUnloadVersion && !o.s.versions.close(order.Version) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	var slot orders.LoadingSlot
	if o.slot != nil {
		slot = o.slot
	}
	err := o.sender.Send(ctx, order, slot)
	if err != nil {
		o.reconciler.OrderFailed(time.Now())
		o.s.versions.reopen()
		o.s.metrics.orderErrors.Inc(1)
		klog.ErrorS(err, "sending order to target failed", "target", o.s.opts.Name, "action", order.Action, "version", order.Version)
		return
	}
	o.s.metrics.orders.Inc(1)
	klog.InfoS("order sent to target", "target", o.s.opts.Name, "action", order.Action, "version", order.Version, "fence", order.Fence)
}

// acquireSlot tries once to take a loading slot. Without the key-value service, or while it is down, no slot can be
// taken, so no load starts and the target keeps the weights that it has.
func (o *orderer) acquireSlot(ctx context.Context, svc *world.Service) {
	now := time.Now()
	if o.s.opts.KV == nil || now.Before(o.nextPoll) {
		return
	}
	slots := loadslot.New(loadslot.Options{
		KV:          o.s.opts.KV,
		Service:     svc.Name,
		Target:      o.s.opts.Name,
		SlotCount:   svc.Cold.Loaders,
		TargetCount: len(svc.Targets),
	})
	o.releaseSlot() // a slot that is still held is not valid for a whole load; a target holds at most one slot
	held, err := slots.Acquire(ctx, o.rng)
	o.nextPoll = time.Now().Add(slots.PollAfter(o.rng))
	if err != nil {
		if !errors.Is(err, loadslot.ErrNoneFree) {
			o.s.metrics.slotErrors.Inc(1)
		}
		return
	}
	o.slot = held
	renewCtx, cancel := context.WithCancel(ctx)
	o.stopRenewal = cancel
	o.s.background.Go(func() { held.KeepAlive(renewCtx) })
}

// releaseSlot stops renewing the slot and frees it, if one is held.
func (o *orderer) releaseSlot() {
	if o.slot == nil {
		return
	}
	o.stopRenewal()
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	if err := o.slot.Release(ctx); err != nil {
		o.s.metrics.slotErrors.Inc(1) // the slot is freed when its lease expires
	}
	o.slot = nil
}
