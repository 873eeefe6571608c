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

// stuck is an output that does not take anything until it is freed.
type stuck struct {
	free chan struct{}
	mu   sync.Mutex
	out  bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.free
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.out.Write(p)
}

func TestNeverBlocksAndTellsWhatIsMissing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &stuck{free: make(chan struct{})}
		w := New(out)
		for range 10 * queued {
			if _, err := w.Write([]byte("line\n")); err != nil {
				t.Fatal(err)
			}
		}
		close(out.free)
		time.Sleep(10 * time.Second)
		if _, err := w.Write([]byte("last\n")); err != nil {
			t.Fatal(err)
		}
		w.Close()
		text := out.out.String()
		if n := strings.Count(text, "line\n"); n != burst {
			t.Errorf("%d lines written, want the burst of %d", n, burst)
		}
		if !strings.Contains(text, "log lines dropped") || !strings.HasSuffix(text, "last\n") {
			t.Error("dropped lines are not told, or later ones missing")
		}
	})
}

// flaky is an output that fails once after it took a few bytes.
type flaky struct {
	failed bool
	out    bytes.Buffer
}

func (f *flaky) Write(p []byte) (int, error) {
	if !f.failed {
		f.failed = true
		n, _ := f.out.Write(p[:5])
		return n, errors.New("output full")
	}
	return f.out.Write(p)
}

// A batch that the output does not take must not vanish without a word.
func TestLinesThatTheOutputRefusesAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &flaky{}
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
			t.Errorf("wrote %q, want two lines told as dropped", text)
		}
	})
}
