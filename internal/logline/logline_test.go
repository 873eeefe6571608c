package logline

import (
	"bytes"
	"errors"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// blockedWriter blocks every write until unblock is closed.
type blockedWriter struct {
	unblock chan struct{}
	mu      sync.Mutex
	out     bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.unblock
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.out.Write(p)
}

// Guards against log output that blocks the caller when it is slow, and against lines dropped without a report.
func TestWriteNeverBlocksAndReportsDrops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockedWriter{unblock: make(chan struct{})}
		w := New(out)
		for range 10 * queueCapacity {
			if _, err := w.Write([]byte("line\n")); err != nil {
				t.Fatal(err)
			}
		}
		close(out.unblock)
		time.Sleep(10 * time.Second)
		if _, err := w.Write([]byte("last\n")); err != nil {
			t.Fatal(err)
		}
		w.Close()
		text := out.out.String()
		if n := strings.Count(text, "line\n"); n != burstLines {
			t.Errorf("%d lines written, want the burst of %d", n, burstLines)
		}
		if !strings.Contains(text, "log lines dropped") || !strings.HasSuffix(text, "last\n") {
			t.Error("dropped lines are not reported, or a later line is missing")
		}
	})
}

// failOnceWriter fails its first write after five bytes.
type failOnceWriter struct {
	failed bool
	out    bytes.Buffer
}

func (w *failOnceWriter) Write(p []byte) (int, error) {
	if !w.failed {
		w.failed = true
		n, _ := w.out.Write(p[:5])
		return n, errors.New("output full")
	}
	return w.out.Write(p)
}

// Guards against losing a batch silently when the output fails: its unwritten lines must be counted as dropped.
func TestFailedWriteCountsDroppedLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &failOnceWriter{}
		w := New(out)
		for _, line := range []string{"one\n", "two\n", "three\n"} {
			if _, err := w.Write([]byte(line)); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(time.Second)
		if _, err := w.Write([]byte("four\n")); err != nil {
			t.Fatal(err)
		}
		w.Close()
		if text := out.out.String(); !strings.Contains(text, `"log lines dropped","count":2}`) || !strings.HasSuffix(text, "four\n") {
			t.Errorf("wrote %q, want two lines reported as dropped", text)
		}
	})
}

// Guards against lines dropped just before the end of the process, which no later line reports.
func TestCloseReportsDrops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const excess = 7
		var out bytes.Buffer
		w := New(&out)
		for range burstLines + excess {
			if _, err := w.Write([]byte("line\n")); err != nil {
				t.Fatal(err)
			}
		}
		w.Close()
		if text := out.String(); strings.Count(text, "line\n") != burstLines || !strings.HasSuffix(text, `"log lines dropped","count":7}`+"\n") {
			t.Errorf("%d lines written, the end is %q; want the burst of %d and a report of %d dropped lines", strings.Count(text, "line\n"), text[max(len(text)-60, 0):], burstLines, excess)
		}
	})
}
