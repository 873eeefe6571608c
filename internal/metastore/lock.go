package metastore

import (
	"context"
	"errors"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/egrethoist/egrethoist/internal/bootclock"
	"github.com/egrethoist/egrethoist/internal/sleep"
)

const (
	// lockRenewalsPerTTL is how many times the lease is renewed in each time to live.
	lockRenewalsPerTTL = 4
	// lockSafetyMargin is the fraction of the lease's time to live during which the lock no longer counts as held. It covers
	// calls that are in flight while the lease expires.
	lockSafetyMargin = 0.25
	// lockPollInterval is how often an instance checks whether the lock is free.
	lockPollInterval = 250 * time.Millisecond
)

// Lock is a distributed lock: a key in the store, attached to a lease, that names the holder. The revision at which the key
// was created is the fencing token.
type Lock struct {
	Store Store
	Key   string
	Owner string        // name of this instance, stored as the key's value
	TTL   time.Duration // requested time to live of the lease
	// IsFree reports whether the key is absent in the local mirror. The mirror may be stale; the transaction that creates the
	// key decides.
	IsFree func() bool
	// Clock returns monotonic time that advances while the machine is suspended. Default: bootclock.Now.
	Clock func() time.Duration

	mu         sync.Mutex
	token      uint64
	validUntil time.Duration // by Clock; zero if not held
}

// Token returns the fencing token. It returns false if the lock is not held or its lease is within the safety margin of expiring.
func (l *Lock) Token() (uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.token, l.validUntil > l.clock()
}

func (l *Lock) clock() time.Duration {
	if l.Clock != nil {
		return l.Clock()
	}
	return bootclock.Now()
}

// Relinquish stops using the lock, for example after a token of another holder was seen. Run revokes the lease at the next
// renewal.
func (l *Lock) Relinquish() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.validUntil = 0
}

// Run acquires the lock whenever it is free and renews it, until ctx ends. It returns the error of ctx.
func (l *Lock) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if l.IsFree() {
			l.acquireAndHold(ctx)
		}
		_ = sleep.For(ctx, lockPollInterval) // the loop condition checks ctx
	}
	return ctx.Err()
}

// acquireAndHold tries to acquire the lock once and, if it succeeds, renews it until it is lost.
func (l *Lock) acquireAndHold(ctx context.Context) {
	started := l.clock()
	lease, ttl, err := l.Store.Grant(ctx, l.TTL)
	if err != nil {
		klog.InfoS("failed to acquire lock", "key", l.Key, "err", err.Error())
		return
	}
	// Revoking the lease also invalidates a transaction of unknown outcome that takes effect later.
	defer l.revokeLease(lease)
	token, err := l.Store.Commit(ctx, Txn{
		If:   []Condition{{Key: l.Key}},
		Puts: []Put{{Key: l.Key, Value: []byte(l.Owner), Lease: lease}},
	})
	if err != nil {
		if !errors.Is(err, ErrConflict) {
			klog.InfoS("failed to acquire lock", "key", l.Key, "err", err.Error())
		}
		return
	}
	validFor := time.Duration(float64(ttl) * (1 - lockSafetyMargin))
	l.set(token, started+validFor)
	klog.InfoS("lock acquired", "key", l.Key, "token", token, "ttl", ttl)
	l.renew(ctx, lease, ttl, validFor)
	l.set(0, 0)
	klog.InfoS("lock lost", "key", l.Key, "token", token)
}

func (l *Lock) renew(ctx context.Context, lease LeaseID, ttl, validFor time.Duration) {
	for sleep.For(ctx, ttl/lockRenewalsPerTTL) == nil {
		started := l.clock()
		err := l.Store.KeepAlive(ctx, lease)
		switch {
		case err == nil && l.held():
			l.extend(started + validFor)
		case err == nil || errors.Is(err, ErrLeaseLost):
			return // relinquished, or the lease has ended
		default:
			klog.InfoS("failed to renew lock", "key", l.Key, "err", err.Error())
			if !l.held() {
				return
			}
		}
	}
}

func (l *Lock) set(token uint64, validUntil time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.token, l.validUntil = token, validUntil
}

// extend moves the end of validity of a lock that was not given up. renew calls it only while the lock is valid: a lock that
// expired while the process was suspended stays lost.
func (l *Lock) extend(validUntil time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.validUntil > 0 {
		l.validUntil = validUntil
	}
}

func (l *Lock) held() bool {
	_, ok := l.Token()
	return ok
}

func (l *Lock) revokeLease(lease LeaseID) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := l.Store.Revoke(ctx, lease); err != nil && !errors.Is(err, ErrLeaseLost) {
		klog.InfoS("failed to revoke lease of lock", "key", l.Key, "err", err.Error())
	}
}
