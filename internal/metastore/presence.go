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
	// presenceCheckInterval is how often an instance checks that it is listed.
	presenceCheckInterval = 500 * time.Millisecond
	// maxUnlisted is how long a registered instance may be missing in its copy of the store: the age of the copy, and a slow call.
	maxUnlisted = 2 * time.Second
)

// errUnlisted means that the key is missing although its lease is renewed.
var errUnlisted = errors.New("registration is missing in the store")

// Presence registers this instance: it keeps a key attached to a lease in the store while the process runs.
type Presence struct {
	Store Store
	Key   string
	Value []byte
	// IsListed reports whether the key is present in the local mirror; nil if that is not known.
	IsListed func() bool
}

// Run registers the key and renews its lease until ctx ends, then removes the key. It returns the error of ctx.
func (p *Presence) Run(ctx context.Context) error {
	// A key left by the previous run of the instance does not block registration.
	cell := &Cell{Store: p.Store, Key: p.Key}
	for ctx.Err() == nil {
		lease, ttl, err := p.register(ctx, cell)
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

func (p *Presence) register(ctx context.Context, cell *Cell) (LeaseID, time.Duration, error) {
	lease, ttl, err := p.Store.Grant(ctx, presenceTTL)
	if err != nil {
		return 0, 0, err
	}
	if err := cell.Put(ctx, p.Value, lease); err != nil {
		return lease, ttl, trace.Wrap(err, "register %s", p.Key)
	}
	klog.InfoS("instance registered", "key", p.Key, "ttl", ttl)
	return lease, ttl, nil
}

// renew renews the lease until it is lost or the key is missing. A key that is not listed is reason to renew at once.
func (p *Presence) renew(ctx context.Context, lease LeaseID, interval time.Duration) error {
	renewedAt := time.Now()
	listedAt := renewedAt
	for {
		if err := sleep.For(ctx, min(presenceCheckInterval, interval)); err != nil {
			return err
		}
		now := time.Now()
		listed := p.IsListed == nil || p.IsListed()
		if listed {
			listedAt = now
		}
		if now.Sub(listedAt) >= maxUnlisted {
			return errUnlisted
		}
		if listed && now.Sub(renewedAt) < interval {
			continue
		}
		renewedAt = now
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
