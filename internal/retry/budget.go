// Package retry decides whether and when a failed request is retried, and which failure domains the retry should avoid. A retry
// budget limits retries to a fraction of the successes, so that they never multiply the load of a failing service.
package retry

import (
	"cmp"
	"sync/atomic"
	"time"

	"github.com/egrethoist/egrethoist/internal/steadytime"
)

// BudgetOptions configures a Budget. Zero fields select the defaults.
type BudgetOptions struct {
	RetriesPerSuccess float64 // retries allowed per success
	MinPerSec         float64 // retries allowed per second regardless of successes
	Burst             int     // maximum number of saved-up retries
}

// Defaults of BudgetOptions.
const (
	defaultRetriesPerSuccess = 0.1
	defaultMinPerSec         = 1
	defaultBurst             = 20
)

// balanceUnit is one retry in the fixed-point representation of the balance.
const balanceUnit = 1_000_000

// Budget is the retry budget of one service at one instance: a token bucket that is refilled by successes and, at a low rate, by time.
// It is safe for concurrent use.
type Budget struct {
	limits     atomic.Pointer[limits]
	balance    atomic.Int64
	refilledAt atomic.Int64 // steady time up to which the retries per second have been credited, in nanoseconds
}

// limits are BudgetOptions in the unit of the balance.
type limits struct{ perSuccess, perSecond, burst int64 }

func newLimits(o BudgetOptions) *limits {
	o.RetriesPerSuccess = cmp.Or(o.RetriesPerSuccess, defaultRetriesPerSuccess)
	o.MinPerSec = cmp.Or(o.MinPerSec, defaultMinPerSec)
	o.Burst = cmp.Or(o.Burst, defaultBurst)
	return &limits{
		perSuccess: int64(o.RetriesPerSuccess * balanceUnit),
		perSecond:  int64(o.MinPerSec * balanceUnit),
		burst:      int64(o.Burst) * balanceUnit,
	}
}

// NewBudget returns a full budget.
func NewBudget(o BudgetOptions, now time.Time) *Budget {
	b := &Budget{}
	l := newLimits(o)
	b.limits.Store(l)
	b.balance.Store(l.burst)
	b.refilledAt.Store(steadytime.UnixNano(now))
	return b
}

// SetOptions changes the limits. It adds no retries to the balance: otherwise each change would allow a burst of them.
func (b *Budget) SetOptions(o BudgetOptions, now time.Time) {
	b.refill(now)
	b.limits.Store(newLimits(o))
	b.credit(0)
}

// RecordSuccess credits a first attempt that succeeded. Callers must not credit successful retries, so that retries never fund further
// retries.
func (b *Budget) RecordSuccess() { b.credit(b.limits.Load().perSuccess) }

// Take debits one retry and returns true, or returns false if the budget is exhausted.
func (b *Budget) Take(now time.Time) bool {
	b.refill(now)
	for {
		old := b.balance.Load()
		if old < balanceUnit {
			return false
		}
		if b.balance.CompareAndSwap(old, old-balanceUnit) {
			return true
		}
	}
}

// Balance returns the number of retries left.
func (b *Budget) Balance() float64 { return float64(b.balance.Load()) / balanceUnit }

// refill credits the retries per second for the time since the last refill.
func (b *Budget) refill(now time.Time) {
	last, at := b.refilledAt.Load(), steadytime.UnixNano(now)
	elapsed := at - last
	// Only the goroutine that advances refilledAt credits the elapsed time, so that it is credited once.
	if elapsed <= 0 || !b.refilledAt.CompareAndSwap(last, at) {
		return
	}
	l := b.limits.Load()
	elapsed = min(elapsed, int64(l.burst/max(l.perSecond, 1)+1)*int64(time.Second))
	b.credit(int64(float64(elapsed) / float64(time.Second) * float64(l.perSecond)))
}

// credit adds to the balance, up to the burst.
func (b *Budget) credit(amount int64) {
	for {
		old := b.balance.Load()
		next := min(old+amount, b.limits.Load().burst)
		if next == old || b.balance.CompareAndSwap(old, next) {
			return
		}
	}
}
