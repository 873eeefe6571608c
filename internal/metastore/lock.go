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
	// lockRenewals is the number of renewals within a lock's lease.
	lockRenewals = 4
	// lockMargin is the part of the lease that is left unused, for the time that a call is under way.
	lockMargin = 0.25
	// lockPoll is how often an instance looks whether the lock is free.
	lockPoll = 250 * time.Millisecond
)

// Lock is held by at most one instance at a time. The revision at which it was taken is its fencing token.
type Lock struct {
	Store Store
	Key   string
	Self  string
	TTL   time.Duration
	// Free reports whether the lock seems to be free, by the local mirror.
	Free func() bool
	// Clock also counts the time for which the machine is suspended; nil: bootclock.Now.
	Clock func() time.Duration

	mu    sync.Mutex
	token uint64
	until time.Duration // on the clock; zero if not held
}

// Token returns the fencing token, and false if the lock is not held or may soon not be.
func (l *Lock) Token() (uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.token, l.until > l.clock()
}

func (l *Lock) clock() time.Duration {
	if l.Clock != nil {
		return l.Clock()
	}
	return bootclock.Now()
}

// Drop gives the lock up, as when another holder's token was seen.
func (l *Lock) Drop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.until = 0
}

// Run takes the lock whenever it is free, and renews it, until ctx ends.
func (l *Lock) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if l.Free() {
			l.hold(ctx)
		}
		_ = sleep.For(ctx, lockPoll) // the loop looks at ctx itself
	}
	return ctx.Err()
}

// hold takes the lock and renews it until it is lost.
func (l *Lock) hold(ctx context.Context) {
	started := l.clock()
	lease, ttl, err := l.Store.Grant(ctx, l.TTL)
	if err != nil {
		klog.InfoS("lock not taken", "key", l.Key, "err", err.Error())
		return
	}
	// Ending the lease also voids a transaction that takes effect late.
	defer l.end(lease)
	token, err := l.Store.Commit(ctx, Txn{
		If:   []Condition{{Key: l.Key}},
		Puts: []Put{{Key: l.Key, Value: []byte(l.Self), Lease: lease}},
	})
	if err != nil {
		if !errors.Is(err, ErrConflict) {
			klog.InfoS("lock not taken", "key", l.Key, "err", err.Error())
		}
		return
	}
	usable := time.Duration(float64(ttl) * (1 - lockMargin))
	l.set(token, started+usable)
	klog.InfoS("lock taken", "key", l.Key, "token", token, "ttl", ttl)
	l.renew(ctx, lease, ttl, usable)
	l.set(0, 0)
	klog.InfoS("lock lost", "key", l.Key, "token", token)
}

func (l *Lock) renew(ctx context.Context, lease LeaseID, ttl, usable time.Duration) {
	for sleep.For(ctx, ttl/lockRenewals) == nil {
		started := l.clock()
		err := l.Store.KeepAlive(ctx, lease)
		switch {
		case err == nil && l.held():
			l.extend(started + usable)
		case err == nil || errors.Is(err, ErrLeaseLost):
			return // dropped, or lost
		default:
			klog.InfoS("lock not renewed", "key", l.Key, "err", err.Error())
			if !l.held() {
				return
			}
		}
	}
}

func (l *Lock) set(token uint64, until time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.token, l.until = token, until
}

// extend prolongs a lock that is still held. One that ran out while the process stood still stays lost.
func (l *Lock) extend(until time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.until > 0 {
		l.until = until
	}
}

func (l *Lock) held() bool {
	_, ok := l.Token()
	return ok
}

func (l *Lock) end(lease LeaseID) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := l.Store.Revoke(ctx, lease); err != nil && !errors.Is(err, ErrLeaseLost) {
		klog.InfoS("lease of a lock not ended", "key", l.Key, "err", err.Error())
	}
}
