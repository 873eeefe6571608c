package sidecar

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"github.com/egrethoist/egrethoist/internal/configkv"
	"github.com/egrethoist/egrethoist/internal/once"
	"github.com/egrethoist/egrethoist/internal/sleep"
)

// Times of the barrier.
const (
	barrierCheckPeriod  = time.Second            // how often a sidecar notes that it runs
	barrierRetryDelay   = 250 * time.Millisecond // between tries to pass it
	revisionReadTimeout = 2 * time.Second        // of reading the revision in force
)

// barrier keeps callers' keys from running after a start or a long pause, until the revision in force has been read
// and is acted on. Others may have taken over this target's keys meanwhile.
type barrier struct {
	raised      bool
	minRevision uint64    // revision that must be acted on
	lastCheck   time.Time // when the sidecar last ran
}

func (b *barrier) raise() { b.raised = true }

// check raises the barrier if the sidecar was paused for too long.
func (b *barrier) check(now time.Time) {
	if !b.lastCheck.IsZero() && pausedBetween(b.lastCheck, now) {
		b.raise()
	}
	b.lastCheck = now
}

// lower takes the revision that was read at the key-value service by a call that began at began.
func (b *barrier) lower(minRevision uint64, started, now time.Time) bool {
	b.check(now)
	if pausedBetween(started, now) {
		return false
	}
	b.minRevision = max(b.minRevision, minRevision)
	b.raised = false
	return true
}

// passed reports whether keys may run under a revision.
func (b *barrier) passed(revision uint64) bool { return !b.raised && revision >= b.minRevision }

// paused reports whether more than MaxPause lies between two moments. The monotonic clock stands still while a
// machine is suspended, and the wall clock may be set back, so the longer of the two counts.
func pausedBetween(from, to time.Time) bool {
	return exceedsMaxPause(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

func exceedsMaxPause(monotonic, wall time.Duration) bool { return max(monotonic, wall) > once.MaxPause }

// guardKeys notes that the sidecar runs, and lowers the barrier whenever it is raised. Without a key-value service
// nothing can be read, and nothing is in its way.
func (s *Sidecar) maintainBarrier(ctx context.Context) {
	for {
		delay := barrierCheckPeriod
		if s.ledger.checkBarrier(time.Now()) {
			delay = barrierRetryDelay
			if err := s.lowerBarrier(ctx); err == nil {
				continue
			}
		}
		if sleep.For(ctx, delay) != nil {
			return
		}
	}
}

func (l *ledger) checkBarrier(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.barrier.check(now)
	l.updateSuspension()
	return l.barrier.raised
}

// lowerBarrier marks the first incarnation of the target and reads the revision in force, before callers' keys may run.
func (s *Sidecar) lowerBarrier(ctx context.Context) error {
	if s.opts.KV == nil || s.opts.Model != nil {
		s.ledger.setFirstMarked(s.opts.FirstIncarnation)
		return s.ledger.lowerBarrier(0, time.Now())
	}
	if !s.ledger.isFirstMarked() {
		first, err := s.claimFirstIncarnation(ctx)
		if err != nil {
			return err
		}
		s.ledger.setFirstMarked(first)
	}
	ctx, cancel := context.WithTimeout(ctx, revisionReadTimeout)
	defer cancel()
	started := time.Now()
	head, err := configkv.ReadHead(ctx, s.opts.KV)
	if err != nil {
		return err
	}
	minRevision := head.Offer.Revision.Number
	klog.InfoS("sidecar may run callers' keys", "target", s.opts.Name, "fromRevision", minRevision)
	return s.ledger.lowerBarrier(minRevision, started)
}

func (l *ledger) isSuspended() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.suspended()
}

func (l *ledger) isFirstMarked() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.firstMarked
}

// mark says that the first incarnation is marked, and whether this is it.
func (l *ledger) setFirstMarked(first bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.firstMarked = true
	if first {
		l.keys.MarkFirstIncarnation()
	}
}

// lower lets callers' keys in once the ledger acts on revision minRevision.
func (l *ledger) lowerBarrier(minRevision uint64, started time.Time) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.barrier.lower(minRevision, started, time.Now()) {
		return trace.LimitExceeded("paused while the revision in force was read")
	}
	l.updateSuspension()
	return nil
}
