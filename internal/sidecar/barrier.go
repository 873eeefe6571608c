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

// Periods and timeouts of the barrier.
const (
	barrierCheckPeriod  = time.Second            // between checks for a pause of the process
	barrierRetryDelay   = 250 * time.Millisecond // between attempts to lower the barrier
	revisionReadTimeout = 2 * time.Second        // of one read of the revision in force
)

// barrier suspends the running of callers' keys after a start or a long pause of the process, until the revision in
// force has been read and applied. Other targets may have become the home of this target's keys in the meantime.
type barrier struct {
	raised      bool
	minRevision uint64    // oldest revision under which keys may run
	lastCheck   time.Time // time of the last call of check
}

func (b *barrier) raise() { b.raised = true }

// check raises the barrier if more than once.MaxPause has passed since the last check.
func (b *barrier) check(now time.Time) {
	if !b.lastCheck.IsZero() && pausedBetween(b.lastCheck, now) {
		b.raise()
	}
	b.lastCheck = now
}

// lower lowers the barrier after minRevision has been read from the key-value service by a call that began at
// started. It returns false, and the barrier stays raised, if the process was paused during that call.
func (b *barrier) lower(minRevision uint64, started, now time.Time) bool {
	b.check(now)
	if pausedBetween(started, now) {
		return false
	}
	b.minRevision = max(b.minRevision, minRevision)
	b.raised = false
	return true
}

// passed reports whether callers' keys may run under a revision.
func (b *barrier) passed(revision uint64) bool { return !b.raised && revision >= b.minRevision }

// pausedBetween reports whether more than once.MaxPause has passed between two times. The monotonic clock stops while a
// machine is suspended, and the wall clock may be set back, so the longer of the two intervals counts.
func pausedBetween(from, to time.Time) bool {
	return exceedsMaxPause(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

func exceedsMaxPause(monotonic, wall time.Duration) bool { return max(monotonic, wall) > once.MaxPause }

// maintainBarrier regularly checks for a pause of the process, and lowers the barrier whenever it is raised. Without a
// key-value service there is no revision to read, and the barrier is lowered at once.
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

// checkBarrier raises the barrier after a pause of the process and reports whether it is raised.
func (l *ledger) checkBarrier(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.barrier.check(now)
	l.updateSuspension()
	return l.barrier.raised
}

// lowerBarrier claims the first-incarnation marker and reads the revision in force, which must both happen before
// callers' keys may run. It returns an error if the key-value service fails or the process was paused meanwhile.
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
	minRevision := head.Lineage.Revision.Number
	klog.InfoS("callers' keys may run at this target", "target", s.opts.Name, "fromRevision", minRevision)
	return s.ledger.lowerBarrier(minRevision, started)
}

// isSuspended reports whether callers' keys are suspended.
func (l *ledger) isSuspended() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.suspended()
}

// isFirstMarked reports whether the first-incarnation marker is known to exist.
func (l *ledger) isFirstMarked() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.firstMarked
}

// setFirstMarked records that the first-incarnation marker exists. first says that this incarnation set it.
func (l *ledger) setFirstMarked(first bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.firstMarked = true
	if first {
		l.keys.MarkFirstIncarnation()
	}
}

// lowerBarrier allows callers' keys to run once the ledger acts on minRevision or a later revision. It returns an error
// if the process was paused since started.
func (l *ledger) lowerBarrier(minRevision uint64, started time.Time) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.barrier.lower(minRevision, started, time.Now()) {
		return trace.LimitExceeded("process was paused while it read the revision in force")
	}
	l.updateSuspension()
	return nil
}
