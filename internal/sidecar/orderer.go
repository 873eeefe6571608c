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

// orderPeriod is the period at which wanted and reported state of the target are compared.
const orderPeriod = 250 * time.Millisecond

// orderTimeout bounds one order.
const orderTimeout = 5 * time.Second

// orderer brings the target to the weight version that the configuration wants.
type orderer struct {
	s        *Sidecar
	door     *orders.FencedSender
	plan     *orders.Reconciler
	rng      *rand.Rand
	slot     *loadslot.HeldSlot
	stopKeep context.CancelFunc
	pollAt   time.Time // no slot is tried for before
}

func newOrderer(s *Sidecar) *orderer {
	return &orderer{
		s:    s,
		door: orders.NewFencedSender(s.opts.Model),
		plan: orders.New(orders.Options{}),
		rng:  rand.New(rand.NewPCG(s.opts.Incarnation, 2)),
	}
}

// run plans and takes one step at a time until ctx ends.
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

func (o *orderer) step(ctx context.Context) {
	report := o.s.report.Load()
	w := o.s.opts.Config.Current()
	if report == nil || w == nil || w.Services[o.s.opts.Service] == nil {
		return
	}
	svc := w.Services[o.s.opts.Service]
	now := time.Now()
	next := o.plan.Next(
		orders.Desired{Revision: w.Revision.Number, Version: svc.WeightVersion, FitsTwoVersions: svc.MaxVersions != 1},
		orders.Observed{Report: *report, InFlight: o.s.versions.counts()},
		o.slot != nil && o.slot.Valid(now),
		now,
	)
	o.s.swapping.Store(next.Drain)
	switch next.Kind {
	case orders.StepAcquireSlot:
		o.acquireSlot(ctx, svc)
	case orders.StepReleaseSlot:
		o.releaseSlot()
	case orders.StepSendOrder:
		o.give(ctx, next.Order)
	}
}

// give passes an order on. A version is closed to attempts before its unload is ordered, and stays closed until
// a report shows that it is gone, so no attempt can slip in between.
func (o *orderer) give(ctx context.Context, order engine.Order) {
	if order.Action == engine.OrderUnloadVersion && !o.s.versions.close(order.Version) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	var permit orders.LoadingSlot
	if o.slot != nil {
		permit = o.slot
	}
	err := o.door.Send(ctx, order, permit)
	if err != nil {
		o.plan.OrderFailed(time.Now())
		o.s.versions.reopen()
		o.s.metrics.orderErrors.Inc(1)
		klog.ErrorS(err, "order to target failed", "target", o.s.opts.Name, "action", order.Action, "version", order.Version)
		return
	}
	o.s.metrics.orders.Inc(1)
	klog.InfoS("order to target", "target", o.s.opts.Name, "action", order.Action, "version", order.Version, "fence", order.Fence)
}

// acquireSlot tries once for a loading slot. Without the key-value service none is had, so no load starts and the
// target goes on with what it holds.
func (o *orderer) acquireSlot(ctx context.Context, svc *world.Service) {
	now := time.Now()
	if o.s.opts.KV == nil || now.Before(o.pollAt) {
		return
	}
	slots := loadslot.New(loadslot.Options{
		KV:          o.s.opts.KV,
		Service:     svc.Name,
		Target:      o.s.opts.Name,
		SlotCount:   svc.Cold.Loaders,
		TargetCount: len(svc.Targets),
	})
	o.releaseSlot() // one that is held is no longer good for a load; a target takes up one slot at a time
	held, err := slots.Acquire(ctx, o.rng)
	o.pollAt = time.Now().Add(slots.PollAfter(o.rng))
	if err != nil {
		if !errors.Is(err, loadslot.ErrNoneFree) {
			o.s.metrics.slotErrors.Inc(1)
		}
		return
	}
	o.slot = held
	keep, cancel := context.WithCancel(ctx)
	o.stopKeep = cancel
	o.s.background.Go(func() { held.KeepAlive(keep) })
}

func (o *orderer) releaseSlot() {
	if o.slot == nil {
		return
	}
	o.stopKeep()
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	if err := o.slot.Release(ctx); err != nil {
		o.s.metrics.slotErrors.Inc(1) // it lapses
	}
	o.slot = nil
}
