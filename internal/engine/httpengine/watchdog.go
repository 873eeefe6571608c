package httpengine

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"
)

// ErrStalled says that a stream's connection carries nothing any more although the engine answers on a new one.
var ErrStalled = errors.New("stream stalled")

// Bounds of the watch over a stream.
const (
	stallPeriod  = 2 * time.Second // between two looks at a stream
	stallLooks   = 2               // looks in a row that find it stalled
	stallTimeout = 1 * time.Second // of the question to the engine
)

// watchdog finds a stream whose connection has gone silent for good. HTTP/1.1 has no heartbeat of its own, so the
// engine is asked on a new connection: one that answers there, but runs nothing, has forgotten the stream; one
// that answers there, but has sent no token of a stream under way for several steps, does not reach this end. An
// engine that does not answer proves nothing about the connection.
type watchdog struct {
	check    *Model // dials for each question
	cancel   context.CancelFunc
	progress atomic.Int64 // pieces received
	stalled  atomic.Bool

	mu    sync.Mutex
	timer *time.Timer // nil once stopped
	seen  int64       // pieces at the last look
	looks int         // in a row that found a stall
}

// watch starts the watch over a call that cancel ends.
func (m *Model) watch(cancel context.CancelFunc) *watchdog {
	w := &watchdog{check: m.check, cancel: cancel}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(stallPeriod, w.look)
	return w
}

// stop ends the watch.
func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil {
		w.timer.Stop()
		w.timer = nil
	}
}

func (w *watchdog) look() {
	found := w.silent() && w.engineWithout()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer == nil {
		return
	}
	if !found {
		w.looks = 0
	} else if w.looks++; w.looks >= stallLooks {
		w.stalled.Store(true)
		w.cancel()
		return
	}
	w.timer.Reset(stallPeriod)
}

// silent reports whether no piece has come since the last look.
func (w *watchdog) silent() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.progress.Load()
	same := now == w.seen
	w.seen = now
	return same
}

// engineWithout reports whether the engine answers and its answer does not go together with a live stream.
func (w *watchdog) engineWithout() bool {
	ctx, cancel := context.WithTimeout(context.Background(), stallTimeout)
	defer cancel()
	report, err := w.check.Load(ctx)
	if err != nil {
		return false
	}
	begun := w.progress.Load() > 0
	return begun || report.Running+report.Waiting == 0
}

// explain replaces the error of a call that the watch has ended.
func (w *watchdog) explain(err error) error {
	if err != nil && w.stalled.Load() {
		return ErrStalled
	}
	return err
}
