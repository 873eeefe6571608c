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
	// presenceTTL is how long an instance counts as live after its last renewal. Shares of limits are made for the
	// instances that count, so a dead one costs the others a little for so long.
	presenceTTL = 8 * time.Second
	// presenceRenewals is the number of renewals within a lease's time.
	presenceRenewals = 3
	presenceRetry    = 300 * time.Millisecond
)

// Presence keeps a key in the store for as long as the process runs.
type Presence struct {
	Store Store
	Key   string
	Value []byte
}

// Run registers the key and renews its lease until ctx ends, then removes it.
func (p *Presence) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		lease, ttl, err := p.register(ctx)
		if err == nil {
			err = p.renew(ctx, lease, ttl/presenceRenewals)
		}
		if ctx.Err() != nil {
			p.leave(lease)
			break
		}
		klog.InfoS("registration of this instance lost", "key", p.Key, "err", err.Error())
		_ = sleep.For(ctx, presenceRetry) // the loop looks at ctx itself
	}
	return ctx.Err()
}

func (p *Presence) register(ctx context.Context) (LeaseID, time.Duration, error) {
	lease, ttl, err := p.Store.Grant(ctx, presenceTTL)
	if err != nil {
		return 0, 0, err
	}
	// No condition: the name is this process's own, and an earlier life's key must not keep it out.
	if _, err := p.Store.Commit(ctx, Txn{Puts: []Put{{Key: p.Key, Value: p.Value, Lease: lease}}}); err != nil {
		return lease, ttl, trace.Wrap(err, "register %s", p.Key)
	}
	klog.InfoS("instance registered", "key", p.Key, "ttl", ttl)
	return lease, ttl, nil
}

func (p *Presence) renew(ctx context.Context, lease LeaseID, every time.Duration) error {
	for {
		if err := sleep.For(ctx, every); err != nil {
			return err
		}
		err := p.Store.KeepAlive(ctx, lease)
		if errors.Is(err, ErrLeaseLost) {
			return err
		}
		if err != nil {
			klog.InfoS("lease not renewed", "key", p.Key, "err", err.Error())
		}
	}
}

// leave ends the lease, so that the others share out this instance's part at once.
func (p *Presence) leave(lease LeaseID) {
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := p.Store.Revoke(ctx, lease); err != nil {
		klog.InfoS("lease not ended", "key", p.Key, "err", err.Error())
	}
}
