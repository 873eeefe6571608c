package loadslot

import (
	"context"
	"time"

	"github.com/egrethoist/egrethoist/internal/platform"
)

// timedKV adds a timeout to every call, since a faulty key-value service may never respond.
type timedKV struct {
	platform.KV
	timeout time.Duration
}

func (k timedKV) Get(ctx context.Context, key string) (platform.Item, error) {
	ctx, cancel := context.WithTimeout(ctx, k.timeout)
	defer cancel()
	return k.KV.Get(ctx, key)
}

func (k timedKV) CompareAndSwap(ctx context.Context, key string, expect uint64, value []byte, lease platform.LeaseID) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, k.timeout)
	defer cancel()
	return k.KV.CompareAndSwap(ctx, key, expect, value, lease)
}

func (k timedKV) Delete(ctx context.Context, key string, expect uint64) error {
	ctx, cancel := context.WithTimeout(ctx, k.timeout)
	defer cancel()
	return k.KV.Delete(ctx, key, expect)
}

func (k timedKV) Grant(ctx context.Context, ttl time.Duration) (platform.LeaseID, error) {
	ctx, cancel := context.WithTimeout(ctx, k.timeout)
	defer cancel()
	return k.KV.Grant(ctx, ttl)
}

func (k timedKV) KeepAlive(ctx context.Context, lease platform.LeaseID) error {
	ctx, cancel := context.WithTimeout(ctx, k.timeout)
	defer cancel()
	return k.KV.KeepAlive(ctx, lease)
}
