package store

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"github.com/egrethoist/egrethoist/internal/burn"
	"github.com/egrethoist/egrethoist/internal/platform"
)

// Rates and bounds of a writer.
const (
	writePeriod  = time.Minute // the least time between two writes; a crash loses at most what came since the last
	writeBytes   = 1 << 9      // bytes a second on average; large values are written less often
	writeTimeout = 5 * time.Second
	settle       = 2 * time.Minute // after its end, an hour gets no more counts
	maxRaces     = 8               // lost in a row when a writer adds its name
)

// WriterOptions configure a Writer.
type WriterOptions struct {
	// Name tells this run of the instance from every other, its own earlier ones included: nobody else ever
	// writes the values of this name.
	Name     string
	KV       platform.KV
	Recorder *Recorder
	Metrics  tally.Scope // nil discards
	Seed     uint64      // spreads the writes of instances that start together
}

// Writer writes what a Recorder has counted.
type Writer struct {
	opts   WriterOptions
	rand   *rand.Rand
	failed tally.Counter
	lost   tally.Counter
	bytes  tally.Counter
	down   bool
}

// NewWriter returns a writer; Run makes it work.
func NewWriter(opts WriterOptions) *Writer {
	if opts.Metrics == nil {
		opts.Metrics = tally.NoopScope
	}
	scope := opts.Metrics.SubScope("burn")
	return &Writer{
		opts:   opts,
		rand:   rand.New(rand.NewPCG(opts.Seed, 0)),
		failed: scope.Counter("write_errors"),
		lost:   scope.Counter("hours_lost"),
		bytes:  scope.Counter("bytes_written"),
	}
}

// Run writes until ctx ends, and once more then.
func (w *Writer) Run(ctx context.Context) error {
	timer := time.NewTimer(time.Duration(w.rand.Int64N(int64(writePeriod))))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			last, cancel := context.WithTimeout(context.WithoutCancel(ctx), writeTimeout)
			defer cancel()
			w.flush(last)
			return nil
		case <-timer.C:
		}
		timer.Reset(w.pause(w.flush(ctx)))
	}
}

// pause keeps the average rate of bytes.
func (w *Writer) pause(written int) time.Duration {
	return max(writePeriod, time.Duration(written)*time.Second/writeBytes)
}

// flush writes every hour that has changed, oldest first, and returns the bytes written. What fails stays for the
// next time.
func (w *Writer) flush(ctx context.Context) int {
	w.lost.Inc(w.opts.Recorder.takeDropped())
	written := 0
	for _, h := range w.opts.Recorder.held() {
		n, err := w.writeHour(ctx, h)
		w.report(err)
		if err != nil {
			break
		}
		written += n
		if time.Since(burn.PeriodStart(h.period+1)) > settle {
			w.opts.Recorder.release(h)
		}
	}
	w.bytes.Inc(int64(written))
	return written
}

func (w *Writer) report(err error) {
	if err != nil {
		w.failed.Inc(1)
	}
	if down := err != nil; down != w.down {
		w.down = down
		klog.InfoS("burn counts", "writer", w.opts.Name, "written", !down, "err", err)
	}
}

func (w *Writer) writeHour(ctx context.Context, h *hour) (int, error) {
	changes := h.changes.Load()
	if changes == h.written {
		return 0, nil
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	// The name goes in before the value: a reader that finds a name without a value counts nothing, but it would
	// never find a value without a name.
	folded, err := w.register(ctx, h)
	if err != nil {
		return 0, err
	}
	if folded {
		w.lost.Inc(1)
		h.written = changes
		return 0, nil
	}
	data, err := encodeTable(h.table(), func(rows []row) any { return rows })
	if err != nil {
		return 0, trace.Wrap(err, "packing counts of %v", w.opts.Name)
	}
	if err := w.put(ctx, h, data); err != nil {
		return 0, trace.Wrap(err, "writing counts of %v", w.opts.Name)
	}
	h.written = changes
	return len(data), nil
}

// put writes the value whose only writer this is. Its version is unknown only after an answer was lost.
func (w *Writer) put(ctx context.Context, h *hour, data []byte) error {
	key := partKey(h.period, w.opts.Name)
	version, err := w.opts.KV.CompareAndSwap(ctx, key, h.version, data, 0)
	if errors.Is(err, platform.ErrConflict) {
		var item platform.Item
		if item, err = w.opts.KV.Get(ctx, key); err != nil {
			return err
		}
		version, err = w.opts.KV.CompareAndSwap(ctx, key, item.Version, data, 0)
	}
	if err == nil {
		h.version = version
	}
	return err
}

// register adds the writer's name to the hour's index. The same name twice does nothing, so that it may be
// repeated when an answer was lost. It tells whether the hour was folded with what the writer had written before;
// a value written after that would never be read.
func (w *Writer) register(ctx context.Context, h *hour) (folded bool, err error) {
	if h.registered && time.Now().Before(burn.PeriodStart(h.period+1)) {
		return false, nil // hours are folded long after their end
	}
	for range maxRaces {
		item, err := w.opts.KV.Get(ctx, indexKey(h.period))
		if err != nil {
			return false, trace.Wrap(err, "reading index of hour %v", h.period)
		}
		var x index
		if err := decode(item.Value, &x); err != nil {
			return false, trace.Wrap(err, "index of hour %v", h.period)
		}
		if slices.Contains(x.Folded, w.opts.Name) {
			return true, nil
		}
		if slices.Contains(x.Pending, w.opts.Name) {
			h.registered = true
			return false, nil
		}
		x.Pending = append(x.Pending, w.opts.Name)
		data, err := encode(&x)
		if err != nil {
			return false, err
		}
		_, err = w.opts.KV.CompareAndSwap(ctx, indexKey(h.period), item.Version, data, 0)
		if err == nil {
			h.registered = true
			return false, nil
		}
		if !errors.Is(err, platform.ErrConflict) {
			return false, trace.Wrap(err, "adding %v to the index of hour %v", w.opts.Name, h.period)
		}
	}
	return false, trace.Wrap(platform.ErrConflict, "adding %v to the index of hour %v", w.opts.Name, h.period)
}
