package store

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"github.com/egrethoist/egrethoist/internal/burn"
	"github.com/egrethoist/egrethoist/internal/platform"
)

// Bounds of a reader, so that a report leaves most of the key-value service to the serving path.
const (
	readsPerSec = 500
	readBurst   = 64
	readers     = 16
	// FoldAfter is how long after its end an hour is folded. A writer that was cut off for less loses nothing.
	FoldAfter = 2 * time.Hour
	// sweepBehind is how far behind the budget window a fold looks for hours to remove.
	sweepBehind = 7 * 24 * time.Hour
)

// Reader merges what writers wrote.
type Reader struct {
	kv   platform.KV
	rate *rate.Limiter
}

// NewReader returns a reader over kv.
func NewReader(kv platform.KV) *Reader {
	return &Reader{kv: kv, rate: rate.NewLimiter(readsPerSec, readBurst)}
}

// Read returns all counts of a window that ends now.
func (r *Reader) Read(ctx context.Context, now time.Time, window time.Duration) (burn.History, error) {
	var mu sync.Mutex
	h := burn.History{}
	err := r.each(ctx, now.Add(-window), now, func(ctx context.Context, period int64) error {
		t, err := r.readHour(ctx, period)
		if err != nil || len(t) == 0 {
			return err
		}
		mu.Lock()
		defer mu.Unlock()
		h[period] = t
		return nil
	})
	return h, err
}

// each runs f for every hour that overlaps a span, some at a time.
func (r *Reader) each(ctx context.Context, from, to time.Time, f func(context.Context, int64) error) error {
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(readers)
	for p := burn.PeriodOf(from); p <= burn.PeriodOf(to); p++ {
		g.Go(func() error { return f(ctx, p) })
	}
	return g.Wait()
}

func (r *Reader) get(ctx context.Context, key string) (platform.Item, error) {
	if err := r.rate.Wait(ctx); err != nil {
		return platform.Item{}, trace.Wrap(err, "waiting to read %v, at %v reads/s", key, readsPerSec)
	}
	item, err := r.kv.Get(ctx, key)
	return item, trace.Wrap(err, "reading %v", key)
}

func (r *Reader) index(ctx context.Context, period int64) (*index, uint64, error) {
	item, err := r.get(ctx, indexKey(period))
	if err != nil {
		return nil, 0, err
	}
	x := &index{}
	return x, item.Version, trace.Wrap(decode(item.Value, x), "index of hour %v", period)
}

func (r *Reader) readHour(ctx context.Context, period int64) (burn.Table, error) {
	for {
		x, version, err := r.index(ctx, period)
		if err != nil {
			return nil, err
		}
		t := toTable(x.Rows)
		missing, err := r.parts(ctx, period, x.Pending, t)
		if err != nil || !missing {
			return t, err
		}
		// A part that is gone may have been folded since the index was read; else it was never written.
		if _, again, err := r.index(ctx, period); err != nil || again == version {
			return t, err
		}
	}
}

// parts adds the values of writers to t and tells whether one was missing.
func (r *Reader) parts(ctx context.Context, period int64, writers []string, t burn.Table) (missing bool, err error) {
	for _, writer := range writers {
		item, err := r.get(ctx, partKey(period, writer))
		if err != nil {
			return false, err
		}
		missing = missing || item.Version == 0
		var rows []row
		if err := decode(item.Value, &rows); err != nil {
			return false, trace.Wrap(err, "counts of %v in hour %v", writer, period)
		}
		t.Add(toTable(rows))
	}
	return missing, nil
}

// Fold merges the values of each hour that ended FoldAfter ago or earlier into one, and removes what is older than
// the window. It may run at any time, several times at once, and be cut off anywhere.
func (r *Reader) Fold(ctx context.Context, now time.Time, window time.Duration) error {
	oldest := now.Add(-window)
	err := r.each(ctx, oldest, now.Add(-FoldAfter-burn.Period), r.foldHour)
	if err != nil {
		return err
	}
	return r.each(ctx, oldest.Add(-sweepBehind), oldest.Add(-burn.Period), r.removeHour)
}

// foldHour puts the counts into the index in the same write that marks their writers as folded, so that nothing is
// counted twice or not at all; only then it removes their own values.
func (r *Reader) foldHour(ctx context.Context, period int64) error {
	x, version, err := r.index(ctx, period)
	if err != nil || version == 0 {
		return err
	}
	if len(x.Pending) > 0 {
		t := toTable(x.Rows)
		if _, err := r.parts(ctx, period, x.Pending, t); err != nil {
			return err
		}
		folded := &index{Folded: append(x.Folded, x.Pending...)}
		version, err = r.putIndex(ctx, period, version, folded, t)
		if err != nil {
			return ignoreConflict(err) // another fold, or a late writer; the next fold takes it up
		}
		x = folded
	}
	if x.Swept || len(x.Folded) == 0 {
		return nil
	}
	if err := r.sweep(ctx, period, x.Folded); err != nil {
		return err
	}
	t := toTable(x.Rows)
	_, err = r.putIndex(ctx, period, version, &index{Folded: x.Folded, Swept: true}, t)
	return ignoreConflict(err)
}

func (r *Reader) putIndex(ctx context.Context, period int64, version uint64, x *index, t burn.Table) (uint64, error) {
	data, err := encodeTable(t, func(rows []row) any {
		x.Rows = rows
		return x
	})
	if err != nil {
		return 0, trace.Wrap(err, "packing hour %v", period)
	}
	version, err = r.kv.CompareAndSwap(ctx, indexKey(period), version, data, 0)
	return version, trace.Wrap(err, "writing index of hour %v", period)
}

func (r *Reader) sweep(ctx context.Context, period int64, writers []string) error {
	for _, writer := range writers {
		if err := r.remove(ctx, partKey(period, writer)); err != nil {
			return err
		}
	}
	return nil
}

func (r *Reader) remove(ctx context.Context, key string) error {
	item, err := r.get(ctx, key)
	if err != nil || item.Version == 0 {
		return err
	}
	return ignoreConflict(trace.Wrap(r.kv.Delete(ctx, key, item.Version), "removing %v", key))
}

func (r *Reader) removeHour(ctx context.Context, period int64) error {
	x, version, err := r.index(ctx, period)
	if err != nil || version == 0 {
		return err
	}
	// The index goes last: without it the values of writers could not be found any more.
	if err := r.sweep(ctx, period, append(x.Pending, x.Folded...)); err != nil {
		return err
	}
	return r.remove(ctx, indexKey(period))
}

func ignoreConflict(err error) error {
	if errors.Is(err, platform.ErrConflict) {
		return nil
	}
	return err
}
