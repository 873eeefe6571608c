// Package logline writes log lines without ever blocking the caller, and bounds their number.
package logline

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// perSecond and burst bound the lines: more than an instance's usual requests, less than what would cost it a
	// noticeable part of its processor.
	perSecond = 400
	burst     = 1200
	// queued is the number of lines held while the output is slow.
	queued = 2048
	// flushEvery is how long lines are collected into one write.
	flushEvery = 50 * time.Millisecond
)

// Writer hands lines to a goroutine that writes them out in batches. Lines over the bounds are dropped and counted.
type Writer struct {
	out   io.Writer
	lines chan []byte
	done  chan struct{}

	mu      sync.Mutex
	closed  bool
	tokens  float64
	filled  time.Time
	dropped int
}

// New returns a writer to out.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, queued), done: make(chan struct{}), tokens: burst, filled: time.Now()}
	go w.run()
	return w
}

// Write implements io.Writer for one whole line. It never fails and never blocks.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.tokens = min(burst, w.tokens+perSecond*now.Sub(w.filled).Seconds())
	w.filled = now
	if w.closed || w.tokens < 1 {
		w.dropped++
		return len(line), nil
	}
	if w.dropped > 0 {
		if w.offer(fmt.Appendf(nil, `{"msg":"log lines dropped","count":%d}`+"\n", w.dropped)) {
			w.dropped = 0
		}
	}
	w.tokens--
	if !w.offer(append([]byte(nil), line...)) {
		w.dropped++
	}
	return len(line), nil
}

func (w *Writer) offer(line []byte) bool {
	select {
	case w.lines <- line:
		return true
	default:
		return false
	}
}

// Close writes out what is held. Later lines are dropped.
func (w *Writer) Close() {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
	w.mu.Unlock()
	<-w.done
}

// lost counts the lines of a batch that the output did not take. The next line that is written tells their number.
func (w *Writer) lost(rest []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dropped += bytes.Count(rest, []byte{'\n'})
}

func (w *Writer) run() {
	defer close(w.done)
	var batch []byte
	for line := range w.lines {
		batch = append(batch[:0], line...)
		timer := time.NewTimer(flushEvery)
	collect:
		for len(batch) < 1<<16 {
			select {
			case more, ok := <-w.lines:
				if !ok {
					break collect
				}
				batch = append(batch, more...)
			case <-timer.C:
				break collect
			}
		}
		timer.Stop()
		if n, err := w.out.Write(batch); err != nil {
			w.lost(batch[n:])
		}
	}
}
