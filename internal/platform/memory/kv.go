// Package memory is a stand-in for the platform, held in memory: the key-value service, the instance list and
// the weight store, with faults that a test sets at run time and counters of what was asked of them. It keeps
// nothing beyond its process.
package memory

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/egrethoist/egrethoist/internal/platform"
)

// Options of a key-value service. A zero rate is not bounded.
type Options struct {
	WritesPerSec float64 // calls beyond it are refused as unavailable
	ReadsPerSec  float64 // likewise; a waiting watch counts as one read
}

// Faults that act until they are changed.
type Faults struct {
	Down        bool          // refuse every call
	Hang        bool          // take calls and never answer
	Delay       time.Duration // before the effect; a write takes effect even if its caller has gone
	AnswerDelay time.Duration // after the effect
	LoseAnswers int           // writes still to come whose effect is kept and answer lost
	Stale       bool          // reads and watches answer from the state at the time it was set
	DropWatches bool          // watches see no change until their wait has passed
}

// Counts of calls.
type Counts struct {
	Reads       int // gets and watches
	Writes      int // compare-and-swaps, deletes, grants and renewals
	Refused     int // by the rates
	Waiting     int // watches waiting now
	PeakWaiting int
}

// KV is a key-value service; it implements platform.KV.
type KV struct {
	reads  *rate.Limiter
	writes *rate.Limiter

	mu      sync.Mutex
	changed chan struct{} // closed at every change of an item or a fault
	items   map[string]entry
	old     map[string]entry // what stale reads see
	version uint64
	leases  map[platform.LeaseID]*lease
	lastID  platform.LeaseID
	faults  Faults
	counts  Counts
}

type entry struct {
	platform.Item
	lease platform.LeaseID
}

type lease struct {
	ttl      time.Duration
	deadline time.Time
	timer    *time.Timer
}

// NewKV returns an empty service.
func NewKV(opts Options) *KV {
	return &KV{
		reads:   limiter(opts.ReadsPerSec),
		writes:  limiter(opts.WritesPerSec),
		changed: make(chan struct{}),
		items:   map[string]entry{},
		leases:  map[platform.LeaseID]*lease{},
	}
}

// limiter allows a burst of one second.
func limiter(perSec float64) *rate.Limiter {
	if perSec <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSec), max(int(perSec), 1))
}

// SetFaults changes the faults in force.
func (k *KV) SetFaults(change func(*Faults)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	was := k.faults.Stale
	change(&k.faults)
	if k.faults.Stale && !was {
		k.old = maps.Clone(k.items)
	}
	k.wake()
}

// Counts returns the counts so far.
func (k *KV) Counts() Counts {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.counts
}

// LapseLeases lapses every lease at once, as after a pause of the holders.
func (k *KV) LapseLeases() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for id := range k.leases {
		k.lapse(id)
	}
}

// wake tells the waiting calls of a change.
func (k *KV) wake() {
	close(k.changed)
	k.changed = make(chan struct{})
}

// enter counts a call and refuses it if a fault or a rate says so.
func (k *KV) enter(ctx context.Context, limit *rate.Limiter, count *int) (Faults, error) {
	k.mu.Lock()
	f := k.faults
	*count++
	allowed := limit.Allow()
	if !allowed {
		k.counts.Refused++
	}
	k.mu.Unlock()
	if f.Down || !allowed {
		return f, platform.ErrUnavailable
	}
	if err := ctx.Err(); err != nil {
		return f, fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
	}
	return f, nil
}

// sleep waits, for good if d is negative, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) error {
	if d == 0 {
		return nil
	}
	var timer <-chan time.Time
	if d > 0 {
		timer = time.After(d)
	}
	select {
	case <-timer:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// read runs a read under the faults.
func (k *KV) read(ctx context.Context, f func() platform.Item) (platform.Item, error) {
	faults, err := k.enter(ctx, k.reads, &k.counts.Reads)
	if err != nil {
		return platform.Item{}, err
	}
	delay := faults.Delay + faults.AnswerDelay
	if faults.Hang {
		delay = -1
	}
	if err := sleep(ctx, delay); err != nil {
		return platform.Item{}, fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
	}
	return f(), nil
}

// outcome is the result of a write.
type outcome struct {
	version uint64
	err     error
}

// write runs a write under the faults. Once it was taken it is carried out whatever becomes of its caller, whose
// only truth is then an unknown outcome.
func (k *KV) write(ctx context.Context, effect func() outcome) (uint64, error) {
	faults, err := k.enter(ctx, k.writes, &k.counts.Writes)
	if err != nil {
		return 0, err
	}
	if faults.Hang {
		<-ctx.Done()
		return 0, fmt.Errorf("%w: %w", platform.ErrOutcomeUnknown, ctx.Err())
	}
	if faults.Delay == 0 && faults.AnswerDelay == 0 {
		return k.answer(k.locked(effect))
	}
	done := make(chan outcome, 1)
	go func() {
		time.Sleep(faults.Delay)
		out := k.locked(effect)
		time.Sleep(faults.AnswerDelay)
		done <- out
	}()
	select {
	case out := <-done:
		return k.answer(out)
	case <-ctx.Done():
		return 0, fmt.Errorf("%w: %w", platform.ErrOutcomeUnknown, ctx.Err())
	}
}

func (k *KV) locked(effect func() outcome) outcome {
	k.mu.Lock()
	defer k.mu.Unlock()
	return effect()
}

// answer loses the answer of a write if a fault says so.
func (k *KV) answer(out outcome) (uint64, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.faults.LoseAnswers > 0 {
		k.faults.LoseAnswers--
		return 0, platform.ErrOutcomeUnknown
	}
	return out.version, out.err
}

// visible returns the item that reads see.
func (k *KV) visible(key string) platform.Item {
	items := k.items
	if k.faults.Stale {
		items = k.old
	}
	item := items[key].Item
	item.Value = bytes.Clone(item.Value)
	return item
}

// Get implements platform.KV.
func (k *KV) Get(ctx context.Context, key string) (platform.Item, error) {
	return k.read(ctx, func() platform.Item {
		k.mu.Lock()
		defer k.mu.Unlock()
		return k.visible(key)
	})
}

// CompareAndSwap implements platform.KV. On a conflict it returns the version in force.
func (k *KV) CompareAndSwap(ctx context.Context, key string, expect uint64, value []byte, id platform.LeaseID) (uint64, error) {
	if len(value) > platform.MaxValueBytes {
		return 0, platform.ErrTooLarge
	}
	value = bytes.Clone(value)
	return k.write(ctx, func() outcome {
		if id != 0 && k.leases[id] == nil {
			return outcome{err: platform.ErrLeaseLost}
		}
		if at := k.items[key].Version; at != expect {
			return outcome{version: at, err: platform.ErrConflict}
		}
		k.version++
		k.items[key] = entry{Item: platform.Item{Value: value, Version: k.version}, lease: id}
		k.wake()
		return outcome{version: k.version}
	})
}

// Delete implements platform.KV.
func (k *KV) Delete(ctx context.Context, key string, expect uint64) error {
	_, err := k.write(ctx, func() outcome {
		if k.items[key].Version != expect {
			return outcome{err: platform.ErrConflict}
		}
		delete(k.items, key)
		k.wake()
		return outcome{}
	})
	return err
}

// Wait implements platform.KV.
func (k *KV) Wait(ctx context.Context, key string, after uint64, wait time.Duration) (platform.Item, error) {
	if _, err := k.read(ctx, func() platform.Item { return platform.Item{} }); err != nil {
		return platform.Item{}, err
	}
	k.waiting(1)
	defer k.waiting(-1)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for over := false; ; {
		k.mu.Lock()
		item, changed, f := k.visible(key), k.changed, k.faults
		k.mu.Unlock()
		if f.Down {
			return platform.Item{}, platform.ErrUnavailable
		}
		if over || (item.Version != after && !f.DropWatches) {
			return item, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-ctx.Done():
			return platform.Item{}, fmt.Errorf("%w: %w", platform.ErrUnavailable, ctx.Err())
		}
	}
}

func (k *KV) waiting(n int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.counts.Waiting += n
	k.counts.PeakWaiting = max(k.counts.PeakWaiting, k.counts.Waiting)
}

// Grant implements platform.KV.
func (k *KV) Grant(ctx context.Context, ttl time.Duration) (platform.LeaseID, error) {
	id, err := k.write(ctx, func() outcome {
		k.lastID++
		id := k.lastID
		l := &lease{ttl: ttl, deadline: time.Now().Add(ttl)}
		l.timer = time.AfterFunc(ttl, func() { k.expire(id) })
		k.leases[id] = l
		return outcome{version: uint64(id)}
	})
	return platform.LeaseID(id), err
}

// KeepAlive implements platform.KV.
func (k *KV) KeepAlive(ctx context.Context, id platform.LeaseID) error {
	_, err := k.write(ctx, func() outcome {
		l := k.leases[id]
		if l == nil {
			return outcome{err: platform.ErrLeaseLost}
		}
		l.deadline = time.Now().Add(l.ttl)
		l.timer.Reset(l.ttl)
		return outcome{}
	})
	return err
}

// expire lapses a lease unless it was renewed while the timer fired.
func (k *KV) expire(id platform.LeaseID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if l := k.leases[id]; l != nil && !time.Now().Before(l.deadline) {
		k.lapse(id)
	}
}

func (k *KV) lapse(id platform.LeaseID) {
	k.leases[id].timer.Stop()
	delete(k.leases, id)
	for key, e := range k.items {
		if e.lease == id {
			delete(k.items, key)
		}
	}
	k.wake()
}

var _ platform.KV = (*KV)(nil)
