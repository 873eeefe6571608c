// Package logline writes log lines without blocking the caller and limits their rate.
package logline

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxLinesPerSecond and burstLines are the rate and the size of the token bucket that limits log lines. They exceed the usual
	// request rate of an instance and stay below the rate at which logging takes a noticeable share of its CPU.
	maxLinesPerSecond = 400
	burstLines        = 1200
	// queueCapacity is the number of lines buffered while the output is slow.
	queueCapacity = 2048
	// flushInterval is the longest time for which lines are collected into one write.
	flushInterval = 50 * time.Millisecond
)

// Writer queues lines for a goroutine that writes them in batches. Lines above the rate limit or the queue's capacity are dropped and
// counted; a later line reports the count. It is safe for concurrent use.
type Writer struct {
	out   io.Writer
	lines chan []byte
	done  chan struct{}

	mu         sync.Mutex
	closed     bool
	tokens     float64
	lastRefill time.Time
	dropped    int
}

// New returns a Writer to out and starts its goroutine, which runs until Close.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, queueCapacity), done: make(chan struct{}), tokens: burstLines, lastRefill: time.Now()}
	go w.run()
	return w
}

// Write implements io.Writer. line must be one complete line. It never blocks and never returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.tokens = min(burstLines, w.tokens+maxLinesPerSecond*now.Sub(w.lastRefill).Seconds())
	w.lastRefill = now
	if w.closed || w.tokens < 1 {
		w.dropped++
		return len(line), nil
	}
	if w.dropped > 0 {
		if w.tryEnqueue(dropReport(w.dropped)) {
			w.dropped = 0
		}
	}
	w.tokens--
	if !w.tryEnqueue(append([]byte(nil), line...)) {
		w.dropped++
	}
	return len(line), nil
}

// dropReport returns the line that reports dropped lines.
func dropReport(count int) []byte {
	return fmt.Appendf(nil, `{"msg":"log lines dropped","count":%d}`+"\n", count)
}

// tryEnqueue queues a line without blocking and reports whether there was room.
func (w *Writer) tryEnqueue(line []byte) bool {
	select {
	case w.lines <- line:
		return true
	default:
		return false
	}
}

// Close writes the queued lines and the count of those dropped, and waits until that is done. Later lines are dropped.
func (w *Writer) Close() {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
	w.mu.Unlock()
	<-w.done
}

// countDropped counts the lines of a batch that could not be written. The count is reported with the next line.
func (w *Writer) countDropped(unwritten []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dropped += bytes.Count(unwritten, []byte{'\n'})
}

// run collects queued lines into batches and writes them until Close.
func (w *Writer) run() {
	defer close(w.done)
	var batch []byte
	for line := range w.lines {
		batch = append(batch[:0], line...)
		timer := time.NewTimer(flushInterval)
	collect:
		for len(batch) < 1<<16 {
			select {
			case next, ok := <-w.lines:
				if !ok {
					break collect
				}
				batch = append(batch, next...)
			case <-timer.C:
				break collect
			}
		}
		timer.Stop()
		if n, err := w.out.Write(batch); err != nil {
			w.countDropped(batch[n:])
		}
	}
	w.mu.Lock()
	dropped := w.dropped
	w.mu.Unlock()
	if dropped > 0 {
		_, _ = w.out.Write(dropReport(dropped)) // there is no later line to tell of a failure
	}
}
