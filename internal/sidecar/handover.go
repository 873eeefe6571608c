package sidecar

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"github.com/egrethoist/egrethoist/internal/platform"
	"github.com/egrethoist/egrethoist/internal/sleep"
)

// Timeouts and periods of a handover of the ledger.
const (
	handoverWriteTimeout = 2 * time.Second // for writing the handover at a planned stop
	handoverClaimTimeout = 2 * time.Second // for reading and claiming it at a start; keyed requests may wait this long
	handoverRetryDelay   = 100 * time.Millisecond
	barrierPollPeriod    = 20 * time.Millisecond
)

// handoverRecord is the value in the key-value service that holds the ledger of a target after a planned stop.
type handoverRecord struct {
	Ledger    json.RawMessage `json:"ledger,omitempty"`
	ClaimedBy uint64          `json:"claimed_by,omitempty"` // incarnation that claimed it; zero if none has
}

func handoverKey(target string) string { return "handover/" + target }

// handOverLedger closes the ledger and writes it to the key-value service for the next incarnation. If that fails,
// the next incarnation answers "outcome unknown" for the keys of this one, which is safe.
func (s *Sidecar) handOverLedger(ctx context.Context) {
	if s.opts.KV == nil || s.opts.Model != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, handoverWriteTimeout)
	defer cancel()
	data, err := s.ledger.export(time.Now())
	if err == nil {
		err = s.retryKV(ctx, func() error { return s.writeHandover(ctx, data) })
	}
	if err != nil {
		klog.ErrorS(err, "writing the ledger for the next incarnation failed", "target", s.opts.Name)
	}
}

// export returns the encoded ledger. It closes the ledger first, so that no key is admitted that the next incarnation
// would not learn of.
func (l *ledger) export(now time.Time) ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.keys.Close()
	return l.keys.Export(now, platform.MaxValueBytes/2)
}

// writeHandover replaces the record of an earlier stop. It may be repeated with the same data.
func (s *Sidecar) writeHandover(ctx context.Context, data []byte) error {
	item, err := s.opts.KV.Get(ctx, handoverKey(s.opts.Name))
	if err != nil {
		return err
	}
	value, err := json.Marshal(handoverRecord{Ledger: data})
	if err != nil {
		return err
	}
	_, err = s.opts.KV.CompareAndSwap(ctx, handoverKey(s.opts.Name), item.Version, value, 0)
	return err
}

// takeOverLedger adopts the ledger that the previous incarnation handed over, unless another incarnation has claimed
// it. It then waits for the barrier. It runs once; keyed requests whose outcome is unknown wait for its end.
func (s *Sidecar) takeOverLedger(ctx context.Context) {
	defer close(s.takeOverDone)
	if s.opts.Model != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, handoverClaimTimeout)
	defer cancel()
	defer s.awaitBarrier(ctx)
	if s.opts.KV == nil {
		s.ledger.adopt(nil) // without a key-value service nothing is handed over
		return
	}
	if err := s.retryKV(ctx, func() error { return s.claimHandover(ctx) }); err != nil {
		klog.ErrorS(err, "taking over the ledger of the previous incarnation failed", "target", s.opts.Name)
	}
}

// awaitBarrier waits until callers' keys may run or ctx ends, so that a start alone does not make keyed requests fail
// with "outcome unknown".
func (s *Sidecar) awaitBarrier(ctx context.Context) {
	tick := time.NewTicker(barrierPollPeriod)
	defer tick.Stop()
	for s.ledger.isSuspended() {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// claimHandover writes a claim to the record before it adopts the ledger. If the answer to that write is lost, the
// next attempt finds its own claim. The claim is also written if there is no record, so that an earlier handover
// cannot appear after this incarnation has run keys. It returns an error if the claim or the adoption fails.
func (s *Sidecar) claimHandover(ctx context.Context) error {
	item, err := s.opts.KV.Get(ctx, handoverKey(s.opts.Name))
	if err != nil {
		return err
	}
	var rec handoverRecord
	if item.Version != 0 {
		if err := json.Unmarshal(item.Value, &rec); err != nil {
			return trace.Wrap(err, "handover of %v", s.opts.Name)
		}
	}
	if rec.ClaimedBy == s.opts.Incarnation {
		return s.ledger.adopt(rec.Ledger)
	}
	if rec.ClaimedBy != 0 {
		rec.Ledger = nil // another incarnation has claimed it
	}
	rec.ClaimedBy = s.opts.Incarnation
	value, err := json.Marshal(rec)
	if err != nil {
		return err
	}
	if _, err := s.opts.KV.CompareAndSwap(ctx, handoverKey(s.opts.Name), item.Version, value, 0); err != nil {
		return err
	}
	return s.ledger.adopt(rec.Ledger)
}

// adopt adds the keys of an encoded handover to the ledger; empty data means that there is none.
func (l *ledger) adopt(data []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(data) == 0 {
		l.keys.NoHandover()
		return nil
	}
	return l.keys.Adopt(data, time.Now())
}

// retryKV repeats a step that fails because of the key-value service, until ctx ends, and returns the last error.
// Every step must read before it writes, so that the next attempt resolves a lost answer or a conflict.
func (s *Sidecar) retryKV(ctx context.Context, step func() error) error {
	for {
		err := step()
		retryable := errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrOutcomeUnknown) ||
			errors.Is(err, platform.ErrConflict)
		if err == nil || !retryable {
			return trace.Wrap(err)
		}
		if sleep.For(ctx, handoverRetryDelay) != nil {
			return trace.Wrap(err)
		}
	}
}
