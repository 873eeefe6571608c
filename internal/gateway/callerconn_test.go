package gateway

import (
	"bytes"
	"errors"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
)

// lingerConn records the linger time of a connection.
type lingerConn struct {
	net.Conn
	linger int // seconds; -1 if it was not set
}

func (c *lingerConn) SetLinger(seconds int) error { c.linger = seconds; return nil }

func newTestCallerConn(memoryBytes int64) (c *callerConn, caller net.Conn, inner *lingerConn) {
	near, far := net.Pipe()
	inner = &lingerConn{Conn: near, linger: -1}
	return newCallerConn(inner, newMemoryService(memoryBytes, tally.NoopScope)), far, inner
}

// Guards against a kernel that keeps what a cut caller has not read, and against a caller that is cut too late, or while it reads.
func TestCallerThatStopsReadingIsCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, caller, inner := newTestCallerConn(184 << 20)
		defer caller.Close()
		go func() {
			for range 40 { // reads 100 bytes each second, and then nothing
				_, _ = io.CopyN(io.Discard, caller, 100)
				time.Sleep(time.Second)
			}
		}()
		begun := time.Now()
		n, err := c.Write(make([]byte, 10_000))
		took := time.Since(begun)
		if n != 4000 || !errors.Is(err, errCallerStalled) {
			t.Errorf("%d bytes written, %v", n, err)
		}
		if took < 99*time.Second || took > 100*time.Second {
			t.Errorf("cut after %v, want a minute after the last read at 39 s", took)
		}
		if inner.linger != 0 {
			t.Errorf("linger %d, want 0", inner.linger)
		}
		_ = c.Close()
		if held := c.memory.budget.Used(); held != 0 {
			t.Errorf("%d bytes are still held", held)
		}
	})
}

// Guards against a target that waits for a slow caller although its answer fits into the buffer, and against bytes out of order or lost.
func TestTargetNeedNotWaitForSlowCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, caller, _ := newTestCallerConn(184 << 20)
		c.targetWaits.Store(true)
		var sent, received bytes.Buffer
		read := make(chan error)
		go func() {
			time.Sleep(2 * time.Second)
			for {
				if _, err := io.CopyN(&received, caller, 3000); err != nil {
					read <- nil
					return
				}
				time.Sleep(time.Second)
			}
		}()
		begun := time.Now()
		for i := range 50 {
			p := bytes.Repeat([]byte{byte(i)}, 1000)
			sent.Write(p)
			if n, err := c.Write(p); n != len(p) || err != nil {
				t.Fatalf("write %d: %d, %v", i, n, err)
			}
		}
		if took := time.Since(begun); took > time.Second {
			t.Errorf("the target waited for %v", took)
		}
		c.flush()
		if n, err := c.Write([]byte("end")); n != 3 || err != nil { // directly again
			t.Errorf("%d, %v", n, err)
		}
		sent.WriteString("end")
		if held := c.memory.budget.Used(); held != connBytes {
			t.Errorf("%d bytes are held after the flush", held)
		}
		_ = c.Close()
		<-read
		if !bytes.Equal(received.Bytes(), sent.Bytes()) {
			t.Errorf("%d bytes received, %d sent, or in another order", received.Len(), sent.Len())
		}
	})
}

// BenchmarkCallerWrite measures what the wrapper adds to a write that is not blocked.
func BenchmarkCallerWrite(b *testing.B) {
	for name, wrapped := range map[string]bool{"plain": false, "accounted": true} {
		b.Run(name, func(b *testing.B) {
			c, caller, inner := newTestCallerConn(184 << 20)
			go func() { _, _ = io.Copy(io.Discard, caller) }()
			var w net.Conn = inner
			if wrapped {
				w = c
			}
			p := make([]byte, 200)
			for b.Loop() {
				_, _ = w.Write(p)
			}
			_ = c.Close()
		})
	}
}
