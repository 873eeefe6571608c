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
	s           *Sidecar
	sender      *orders.FencedSender
	reconciler  *orders.Reconciler
	rng         *rand.Rand
	slot        *loadslot.Held
	stopRenewal context.CancelFunc
	nextPoll    time.Time // no slot is tried for before
}

func newOrderer(s *Sidecar) *orderer {
	return &orderer{
		s:          s,
		sender:     orders.NewFencedSender(s.opts.Model),
		reconciler: orders.New(orders.Options{}),
		rng:        rand.New(rand.NewPCG(s.opts.Incarnation, 2)),
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

// give passes an order on. A version is closed to attempts before its unload is ordered, and stays closed until
// a report shows that it is gone, so no attempt can slip in between.
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
	if o.s.opts.KV == nil || now.Before(o.nextPoll) {
		return
	}
	slots := loadslot.New(loadslot.Options{
		KV:      o.s.opts.KV,
		Service: svc.Name,
		Target:  o.s.opts.Name,
		Count:   svc.Cold.Loaders,
		Peers:   len(svc.Targets),
	})
	o.releaseSlot() // one that is held is no longer good for a load; a target takes up one slot at a time
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
	o.s.background.Go(func() { held.Keep(renewCtx) })
}

func (o *orderer) releaseSlot() {
	if o.slot == nil {
		return
	}
	o.stopRenewal()
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	if err := o.slot.Release(ctx); err != nil {
		o.s.metrics.slotErrors.Inc(1) // it lapses
	}
	o.slot = nil
}
