// Package loadslot limits how many targets of a service load weights at the same time: a distributed semaphore in the platform's
// key-value service. A slot is a key attached to a lease. When the key-value service is unavailable no slot can be acquired, so
// no new load starts; a held slot remains valid until its lease may have expired.
package loadslot

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"github.com/egrethoist/egrethoist/internal/platform"
	"github.com/egrethoist/egrethoist/internal/steadytime"
)

// ErrNoneFree means that all slots are held by others.
var ErrNoneFree = errors.New("no loading slot is free")

// Options configure Slots. Zero durations, and zero Attempts, select the defaults of the package.
type Options struct {
	KV          platform.KV
	Service     string
	Target      string
	SlotCount   int           // slots of the service; at least one
	TargetCount int           // targets of the service, which share the maximum rate of polls
	TTL         time.Duration // time to live of a slot's lease
	LoadTime    time.Duration // maximum duration of a load; a slot must be valid for as long when the load starts
	Attempts    int           // maximum reads to resolve a write whose response was lost
	Timeout     time.Duration // timeout of one call to the key-value service
}

// Defaults of Options.
const (
	defaultTTL      = 30 * time.Second
	defaultLoadTime = 10 * time.Second
	defaultAttempts = 3
	defaultTimeout  = 2 * time.Second
)

// Slots acquires loading slots of one service for one target.
type Slots struct {
	opts Options
}

// New returns the Slots of a service. It makes no calls.
func New(opts Options) *Slots {
	opts.SlotCount = max(opts.SlotCount, 1)
	opts.TTL = cmp.Or(opts.TTL, defaultTTL)
	opts.LoadTime = cmp.Or(opts.LoadTime, defaultLoadTime)
	opts.Attempts = cmp.Or(opts.Attempts, defaultAttempts)
	opts.Timeout = cmp.Or(opts.Timeout, defaultTimeout)
	opts.KV = timedKV{opts.KV, opts.Timeout}
	return &Slots{opts: opts}
}

// Minimum mean interval between polls, and maximum mean rate of reads by all targets of a service together.
const (
	minPollInterval   = 500 * time.Millisecond
	maxReadsPerSecond = 50
)

// PollAfter returns the delay before the next call of Acquire. Its mean keeps the reads of all targets of the service together
// at maxReadsPerSecond or below. Jitter of 50 % spreads the calls.
func (s *Slots) PollAfter(rng *rand.Rand) time.Duration {
	reads := float64(s.opts.TargetCount * s.opts.SlotCount)
	mean := max(minPollInterval, time.Duration(reads/maxReadsPerSecond*float64(time.Second)))
	return time.Duration((0.5 + rng.Float64()) * float64(mean))
}

func (s *Slots) key(i int) string { return fmt.Sprintf("loadslots/%s/%d", s.opts.Service, i) }

// Acquire tries to acquire each slot once, starting at a random one. It returns ErrNoneFree if all are held.
func (s *Slots) Acquire(ctx context.Context, rng *rand.Rand) (*HeldSlot, error) {
	start := rng.IntN(s.opts.SlotCount)
	for i := range s.opts.SlotCount {
		key := s.key((start + i) % s.opts.SlotCount)
		slot, err := s.tryAcquire(ctx, key)
		if err == nil || !errors.Is(err, ErrNoneFree) {
			return slot, err
		}
	}
	return nil, ErrNoneFree
}

// tryAcquire acquires one slot if it is free, and returns ErrNoneFree if not. It reads before it writes, as reads are cheaper.
func (s *Slots) tryAcquire(ctx context.Context, key string) (*HeldSlot, error) {
	item, err := s.opts.KV.Get(ctx, key)
	if err != nil {
		return nil, trace.Wrap(err, "read %s", key)
	}
	if item.Version != 0 {
		return nil, ErrNoneFree
	}
	leaseStart := time.Now() // before the call, so that the lease can't expire earlier than assumed
	lease, err := s.opts.KV.Grant(ctx, s.opts.TTL)
	if err != nil {
		return nil, trace.Wrap(err, "grant a lease for %s", key)
	}
	owner := s.opts.Target + " " + uuid.NewString()
	version, err := s.opts.KV.CompareAndSwap(ctx, key, 0, []byte(owner), lease)
	switch {
	case errors.Is(err, platform.ErrConflict):
		return nil, ErrNoneFree
	case errors.Is(err, platform.ErrOutcomeUnknown):
		version, err = s.resolveUnknownOutcome(ctx, key, owner)
	}
	if err != nil {
		return nil, trace.Wrap(err, "acquire %s", key) // if the write took effect after all, the lease expires
	}
	return newHeldSlot(s.opts, key, version, lease, leaseStart), nil
}

// resolveUnknownOutcome reads the key to find out whether a write whose response was lost took effect. The owner is unique to
// the attempt, so a slot with this owner was acquired by this write. It returns the version of the slot's key.
func (s *Slots) resolveUnknownOutcome(ctx context.Context, key, owner string) (uint64, error) {
	var err error
	for range s.opts.Attempts {
		var item platform.Item
		item, err = s.opts.KV.Get(ctx, key)
		if err != nil {
			continue
		}
		if item.Version != 0 && string(item.Value) == owner {
			return item.Version, nil
		}
		return 0, ErrNoneFree
	}
	return 0, err
}

// HeldSlot is an acquired slot. It is safe for concurrent use.
type HeldSlot struct {
	opts       Options
	key        string
	version    uint64
	lease      platform.LeaseID
	validUntil atomic.Int64 // steady time at which the lease may expire, in nanoseconds
}

func newHeldSlot(opts Options, key string, version uint64, lease platform.LeaseID, leaseStart time.Time) *HeldSlot {
	h := &HeldSlot{opts: opts, key: key, version: version, lease: lease}
	h.validUntil.Store(steadytime.UnixNano(leaseStart.Add(opts.TTL)))
	return h
}

// Valid reports whether the slot is certainly held for the whole duration of a load that starts now. It returns false in a process
// that was suspended until after the expiry of its lease.
func (h *HeldSlot) Valid(now time.Time) bool {
	return steadytime.UnixNano(now.Add(h.opts.LoadTime)) < h.validUntil.Load()
}

// FencingToken returns the version of the slot's key, which is higher than that of any earlier holder.
func (h *HeldSlot) FencingToken() uint64 { return h.version }

// KeepAlive renews the lease until ctx ends, and then returns nil. It retries failed renewals until the lease is lost or may have
// expired, and then returns an error that wraps platform.ErrLeaseLost.
func (h *HeldSlot) KeepAlive(ctx context.Context) error {
	tick := time.NewTicker(h.opts.TTL / 3)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		if err := h.renew(ctx); errors.Is(err, platform.ErrLeaseLost) {
			h.validUntil.Store(0)
			return trace.Wrap(err, "renew the lease of %s", h.key)
		}
	}
}

func (h *HeldSlot) renew(ctx context.Context) error {
	leaseStart := time.Now()
	if steadytime.UnixNano(leaseStart) >= h.validUntil.Load() {
		return platform.ErrLeaseLost
	}
	if err := h.opts.KV.KeepAlive(ctx, h.lease); err != nil {
		return err
	}
	h.validUntil.Store(steadytime.UnixNano(leaseStart.Add(h.opts.TTL)))
	return nil
}

// Release frees the slot. If that fails, the slot becomes free when its lease expires.
func (h *HeldSlot) Release(ctx context.Context) error {
	h.validUntil.Store(0)
	return trace.Wrap(h.opts.KV.Delete(ctx, h.key, h.version), "release %s", h.key)
}
