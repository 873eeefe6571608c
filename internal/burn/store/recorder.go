package store

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/egrethoist/egrethoist/internal/burn"
)

// maxHours bounds the hours that wait for the key-value service.
const maxHours = 6

// Recorder counts observations. Record takes no lock but at the first request of an hour.
type Recorder struct {
	current atomic.Pointer[hour]

	mu      sync.Mutex
	hours   []*hour // oldest first, current included
	dropped int64   // hours given up because the key-value service was away too long, see takeDropped
}

// hour holds the counters of one period.
type hour struct {
	period  int64
	rows    sync.Map // burn.Key to *counters
	changes atomic.Uint64

	// The writer's own.
	written    uint64 // changes at the last successful write
	version    uint64 // of the value in the key-value service
	registered bool
}

type counters [burn.BucketsPerHour]atomic.Uint64

// NewRecorder returns a recorder that has counted nothing.
func NewRecorder() *Recorder { return &Recorder{} }

// Record counts the end of one request under each objective of its service.
func (r *Recorder) Record(o *burn.Observation) {
	h := r.hour(o.At)
	bucket := burn.BucketOf(o.At)
	for _, obj := range o.Objectives {
		if k, ok := o.Key(obj); ok {
			h.counters(k)[bucket].Add(1)
		}
	}
	h.changes.Add(1)
}

func (h *hour) counters(k burn.Key) *counters {
	if c, ok := h.rows.Load(k); ok {
		return c.(*counters)
	}
	c, _ := h.rows.LoadOrStore(k, &counters{})
	return c.(*counters)
}

func (h *hour) table() burn.Table {
	t := burn.Table{}
	h.rows.Range(func(k, v any) bool {
		var n burn.Counts
		for i := range n {
			n[i] = v.(*counters)[i].Load()
		}
		t[k.(burn.Key)] = n
		return true
	})
	return t
}

func (r *Recorder) hour(at time.Time) *hour {
	period := burn.PeriodOf(at)
	if h := r.current.Load(); h != nil && h.period == period {
		return h
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, h := range r.hours {
		if h.period == period {
			return h
		}
	}
	h := &hour{period: period}
	r.hours = append(r.hours, h)
	if len(r.hours) > maxHours {
		r.hours = r.hours[1:]
		r.dropped++
	}
	if cur := r.current.Load(); cur == nil || cur.period < period {
		r.current.Store(h)
	}
	return h
}

// held returns the hours not yet let go, oldest first.
func (r *Recorder) held() []*hour {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]*hour(nil), r.hours...)
}

// takeDropped returns how many hours were given up since it was last called.
func (r *Recorder) takeDropped() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := r.dropped
	r.dropped = 0
	return n
}

// release lets go of an hour that is over and written.
func (r *Recorder) release(h *hour) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.hours {
		if r.hours[i] == h && h != r.current.Load() {
			r.hours = append(r.hours[:i:i], r.hours[i+1:]...)
			return
		}
	}
}
