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

// Bounds of a handover of the ledger.
const (
	handoverWriteTimeout = 2 * time.Second // for writing it at a planned stop
	handoverClaimTimeout = 2 * time.Second // for reading and claiming it at a start; keyed calls wait so long
	handoverRetryDelay   = 100 * time.Millisecond
	barrierPollPeriod    = 20 * time.Millisecond
)

// handoverRecord is what the key-value service holds of a target's last planned stop.
type handoverRecord struct {
	Ledger    json.RawMessage `json:"ledger,omitempty"`
	ClaimedBy uint64          `json:"claimed_by,omitempty"` // incarnation that adopted it; zero if none has
}

func handoverKey(target string) string { return "handover/" + target }

// handOver closes the ledger and writes it for the next incarnation. Without it the next one answers for keys of
// this one that their outcome is unknown, which is safe.
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
		klog.ErrorS(err, "keys are not handed over", "target", s.opts.Name)
	}
}

// export closes the ledger first: no key can be admitted after the export that the next incarnation adopts.
func (l *ledger) export(now time.Time) ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.keys.Close()
	return l.keys.Export(now, platform.MaxValueBytes/2)
}

// writeHandover replaces whatever an earlier stop left. Writing the same record twice does no harm.
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

// takeOver adopts what the previous incarnation handed over, if no other has claimed it. It runs once, before the
// first keyed call is decided.
func (s *Sidecar) takeOverLedger(ctx context.Context) {
	defer close(s.takeOverDone)
	if s.opts.Model != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, handoverClaimTimeout)
	defer cancel()
	defer s.awaitBarrier(ctx)
	if s.opts.KV == nil {
		s.ledger.adopt(nil) // nothing is ever handed over
		return
	}
	if err := s.retryKV(ctx, func() error { return s.claimHandover(ctx) }); err != nil {
		klog.ErrorS(err, "keys of the previous incarnation are unknown", "target", s.opts.Name)
	}
}

// awaitBarrier spares keyed calls an "outcome unknown" that only a start causes.
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

// claimHandover marks the record as claimed before it adopts it. If the answer to the mark is lost, the next try
// reads its own mark back. A mark is also left where nothing is found, so that no earlier handover can appear there
// after this incarnation has run keys.
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
		rec.Ledger = nil // another incarnation adopted it
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

func (l *ledger) adopt(data []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(data) == 0 {
		l.keys.NoHandover()
		return nil
	}
	return l.keys.Adopt(data, time.Now())
}

// retryKV repeats a step that the key-value service failed, until ctx ends. Every step reads before it writes,
// so a lost answer or a conflict is resolved by the next try.
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
