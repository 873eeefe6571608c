package metastore

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"github.com/egrethoist/egrethoist/internal/sleep"
)

const (
	// presenceTTL is how long an instance counts as live after its last renewal. Limits are divided among the live instances,
	// so the share of a crashed instance is unused for this time.
	presenceTTL = 8 * time.Second
	// presenceRenewalsPerTTL is how many times the lease is renewed in each time to live.
	presenceRenewalsPerTTL = 3
	// presenceRetryDelay is the delay before registering again after a failure or a lost lease.
	presenceRetryDelay = 300 * time.Millisecond
)

// Presence registers this instance: it keeps a key attached to a lease in the store while the process runs.
type Presence struct {
	Store Store
	Key   string
	Value []byte
}

// Run registers the key and renews its lease until ctx ends, then removes the key. It returns the error of ctx.
func (p *Presence) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		lease, ttl, err := p.register(ctx)
		if err == nil {
			err = p.renew(ctx, lease, ttl/presenceRenewalsPerTTL)
		}
		if ctx.Err() != nil {
			p.unregister(lease)
			break
		}
		klog.InfoS("instance registration lost", "key", p.Key, "err", err.Error())
		_ = sleep.For(ctx, presenceRetryDelay) // the loop condition checks ctx
	}
	return ctx.Err()
}

func (p *Presence) register(ctx context.Context) (LeaseID, time.Duration, error) {
	lease, ttl, err := p.Store.Grant(ctx, presenceTTL)
	if err != nil {
		return 0, 0, err
	}
	// No condition: the name is unique to this instance, and a key left by its previous run must not block registration.
	if _, err := p.Store.Commit(ctx, Txn{Puts: []Put{{Key: p.Key, Value: p.Value, Lease: lease}}}); err != nil {
		return lease, ttl, trace.Wrap(err, "register %s", p.Key)
	}
	klog.InfoS("instance registered", "key", p.Key, "ttl", ttl)
	return lease, ttl, nil
}

func (p *Presence) renew(ctx context.Context, lease LeaseID, interval time.Duration) error {
	for {
		if err := sleep.For(ctx, interval); err != nil {
			return err
		}
		err := p.Store.KeepAlive(ctx, lease)
		if errors.Is(err, ErrLeaseLost) {
			return err
		}
		if err != nil {
			klog.InfoS("failed to renew lease", "key", p.Key, "err", err.Error())
		}
	}
}

// unregister revokes the lease, so that the other instances divide this instance's share of the limits at once.
func (p *Presence) unregister(lease LeaseID) {
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := p.Store.Revoke(ctx, lease); err != nil {
		klog.InfoS("failed to revoke lease", "key", p.Key, "err", err.Error())
	}
}
