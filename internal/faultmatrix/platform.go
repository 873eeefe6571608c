package faultmatrix

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/egrethoist/egrethoist/internal/entry"
	"github.com/egrethoist/egrethoist/internal/platform"
	"github.com/egrethoist/egrethoist/internal/world"
)

// hostKV is the key-value service as a process on one host reaches it: a paused process makes no call, and takes no
// answer.
type hostKV struct {
	platform.KV
	hosts *hosts
	ip    string
}

// across runs a call of a process that may be paused before it and before its answer.
func across[T any](k *hostKV, f func() (T, error)) (T, error) {
	k.hosts.awaitThaw(k.ip)
	defer k.hosts.awaitThaw(k.ip)
	return f()
}

func (k *hostKV) Get(ctx context.Context, key string) (platform.Item, error) {
	return across(k, func() (platform.Item, error) { return k.KV.Get(ctx, key) })
}

func (k *hostKV) CompareAndSwap(ctx context.Context, key string, expect uint64, value []byte, lease platform.LeaseID) (uint64, error) {
	return across(k, func() (uint64, error) { return k.KV.CompareAndSwap(ctx, key, expect, value, lease) })
}

func (k *hostKV) Delete(ctx context.Context, key string, expect uint64) error {
	_, err := across(k, func() (struct{}, error) { return struct{}{}, k.KV.Delete(ctx, key, expect) })
	return err
}

func (k *hostKV) Wait(ctx context.Context, key string, after uint64, wait time.Duration) (platform.Item, error) {
	return across(k, func() (platform.Item, error) { return k.KV.Wait(ctx, key, after, wait) })
}

func (k *hostKV) Grant(ctx context.Context, ttl time.Duration) (platform.LeaseID, error) {
	return across(k, func() (platform.LeaseID, error) { return k.KV.Grant(ctx, ttl) })
}

func (k *hostKV) KeepAlive(ctx context.Context, lease platform.LeaseID) error {
	_, err := across(k, func() (struct{}, error) { return struct{}{}, k.KV.KeepAlive(ctx, lease) })
	return err
}

// instanceList is the platform's list as the entries last read it.
type instanceList struct {
	mu       sync.Mutex
	sequence uint64
	all      map[string]platform.Instance
}

func newInstanceList(w *world.World) *instanceList {
	l := &instanceList{sequence: 1, all: map[string]platform.Instance{}}
	for name, t := range w.Targets {
		l.all[name] = platform.Instance{Name: name, FailureDomain: t.FailureDomain, Role: "sidecar"}
	}
	return l
}

func (l *instanceList) reading() entry.Instances {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := entry.Instances{Sequence: l.sequence}
	for _, name := range slices.Sorted(maps.Keys(l.all)) {
		out.All = append(out.All, l.all[name])
	}
	return out
}

func (l *instanceList) change(f func(all map[string]platform.Instance)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(l.all)
	l.sequence++
}
