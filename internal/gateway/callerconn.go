package gateway

import (
	"context"
	"errors"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/egrethoist/egrethoist/internal/membudget"
	"github.com/egrethoist/egrethoist/internal/tcp"
)

const (
	// connBytes is what a caller's connection holds while it is idle, in bytes: the buffers of net/http and the stack of its goroutine.
	connBytes = 16 << 10
	// maxUnsentBytes is how many bytes the kernel buffers for a caller beyond what the caller's own window takes.
	maxUnsentBytes = 16 << 10
	// blockedKernelBytes is what the kernel holds for a caller that does not read, in bytes: maxUnsentBytes and one segment of at most 64
	// KiB, since the kernel checks the limit only before it begins a segment.
	blockedKernelBytes = maxUnsentBytes + 64<<10
	// maxPendingBytes is how many bytes of an answer are buffered so that its target need not wait for the caller: several streams of
	// the usual length.
	maxPendingBytes = 64 << 10
	drainChunkBytes = 4 << 10 // bytes of one write of the buffered answer
	// stallPoll is how often a blocked write is examined.
	stallPoll = 250 * time.Millisecond
)

// errCallerStalled is returned by writes to a caller that was cut because it does not read.
var errCallerStalled = errors.New("caller does not read")

// CallerListener returns a listener whose connections are those of WrapCaller.
func (g *Gateway) CallerListener(l net.Listener) net.Listener {
	return callerListener{Listener: l, gateway: g}
}

// WrapCaller returns a caller's connection that is accounted in the memory budget and cut if its caller does not read. Its server must have
// CallerContext as its ConnContext.
func (g *Gateway) WrapCaller(conn net.Conn) net.Conn {
	if err := tcp.LimitUnsent(conn, maxUnsentBytes); err != nil {
		klog.ErrorS(err, "kernel buffer of a caller's connection not limited")
	}
	return newCallerConn(conn, g.memory)
}

// CallerContext adds a connection of WrapCaller to the context of its requests.
func CallerContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, c)
}

// callerConnKey is the context key of a request's *callerConn.
type callerConnKey struct{}

// callerListener accepts connections of callers.
type callerListener struct {
	net.Listener
	gateway *Gateway
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.gateway.WrapCaller(conn), nil
}

// callerConn is a caller's connection. A write waits as long as the caller reads something from time to time; there is no limit for a
// whole answer. While a target waits for a caller, up to maxPendingBytes are buffered. Writes must not be concurrent.
type callerConn struct {
	net.Conn
	memory      *memoryService
	id          membudget.ConnID
	targetWaits atomic.Bool // the target of the present answer waits until writes return
	cut         atomic.Bool
	closeOnce   sync.Once
	deadline    time.Time // of writes

	mu        sync.Mutex // guards the rest
	changed   *sync.Cond // signals changes of the rest
	draining  bool       // a goroutine writes pending; all writes go there
	pending   []byte     // not written yet, at most maxPendingBytes
	fullSince time.Time  // since when a write waits for room in pending; zero if none does
	err       error      // result of the goroutine's writes
}

func newCallerConn(conn net.Conn, m *memoryService) *callerConn {
	c := &callerConn{Conn: conn, memory: m}
	c.changed = sync.NewCond(&c.mu)
	c.id = m.open(c, connBytes)
	return c
}

// Write implements net.Conn. It returns errCallerStalled if the caller was cut because it does not read.
func (c *callerConn) Write(p []byte) (int, error) {
	if c.isDraining() {
		return c.enqueue(p)
	}
	begun := time.Now()
	if c.deadline.Sub(begun) < stallPoll { // renewed at most every stallPoll: setting it costs more than a short write
		c.setDeadline(begun.Add(2 * stallPoll))
	}
	written, err := c.Conn.Write(p)
	if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
		return written, err
	}
	for progressed := written > 0; ; {
		if n := c.beginDrain(p[written:], begun); n > 0 {
			written += n
			n, err := c.enqueue(p[written:])
			return written + n, err
		}
		n, err := c.writeOnce(p[written:], begun, c.targetSince(begun), progressed)
		written += n
		progressed = n > 0
		if err == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			c.recordWritten()
			return written, err
		}
	}
}

// targetSince returns since when the target waits for a write that began at the given time, zero if it does not.
func (c *callerConn) targetSince(begun time.Time) time.Time {
	if c.targetWaits.Load() {
		return begun
	}
	return time.Time{}
}

// writeOnce records a stall and tries to write p for stallPoll. It returns errCallerStalled if the connection is to be cut, and
// os.ErrDeadlineExceeded if p was not written completely.
func (c *callerConn) writeOnce(p []byte, begun, targetSince time.Time, progressed bool) (int, error) {
	now := time.Now()
	if c.stalled(membudget.Stall{Since: begun, Progressed: progressed, TargetSince: targetSince, KernelBytes: blockedKernelBytes}, now) {
		return 0, errCallerStalled
	}
	c.setDeadline(now.Add(stallPoll))
	return c.Conn.Write(p)
}

func (c *callerConn) isDraining() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.draining || c.err != nil
}

// beginDrain starts the goroutine that writes what the caller does not take now, so that the target need not wait. It returns how
// many bytes of p the goroutine has taken over: zero if no target waits or memory is short.
func (c *callerConn) beginDrain(p []byte, begun time.Time) int {
	if !c.targetWaits.Load() || c.cut.Load() {
		return 0
	}
	ok := false
	c.memory.update(func(b *membudget.Budget) { ok = b.GrowOptional(c.id, maxPendingBytes) })
	if !ok {
		return 0
	}
	c.mu.Lock()
	c.draining, c.pending = true, slices.Clone(p[:min(len(p), maxPendingBytes)])
	n := len(c.pending)
	c.mu.Unlock()
	go c.drain(begun)
	return n
}

// enqueue appends p to what the goroutine writes. It waits while maxPendingBytes are pending.
func (c *callerConn) enqueue(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	written := 0
	for written < len(p) {
		if c.err != nil {
			return written, c.err
		}
		if !c.draining {
			c.mu.Unlock()
			n, err := c.Write(p[written:])
			c.mu.Lock()
			return written + n, err
		}
		n := min(len(p)-written, maxPendingBytes-len(c.pending))
		if n == 0 {
			if c.fullSince.IsZero() {
				c.fullSince = time.Now()
			}
			c.changed.Wait()
			continue
		}
		c.pending = append(c.pending, p[written:written+n]...)
		written += n
		c.changed.Broadcast()
	}
	return written, nil
}

// drain writes what is pending until nothing is left or the connection is cut.
func (c *callerConn) drain(begun time.Time) {
	chunk := make([]byte, drainChunkBytes)
	progressed := false
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.pending) > 0 {
		n := copy(chunk, c.pending)
		targetSince := c.fullSince
		c.mu.Unlock()
		n, err := c.writeOnce(chunk[:n], begun, targetSince, progressed)
		c.mu.Lock()
		progressed = n > 0
		if n > 0 {
			c.pending = c.pending[:copy(c.pending, c.pending[n:])]
			c.fullSince = time.Time{}
			c.changed.Broadcast()
		}
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			c.err, c.pending = err, nil
			_ = c.Conn.Close() // ends the handler's request, which may not write for a while
			break
		}
	}
	c.draining, c.pending = false, nil
	c.memory.update(func(b *membudget.Budget) {
		b.RecordWritten(c.id)
		b.Release(c.id, maxPendingBytes)
	})
	c.changed.Broadcast()
}

// flush waits until nothing is pending.
func (c *callerConn) flush() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.draining {
		c.changed.Wait()
	}
}

// setDeadline sets the deadline of writes. An error means that the connection is closed, which the write will report.
func (c *callerConn) setDeadline(t time.Time) {
	c.deadline = t
	_ = c.Conn.SetWriteDeadline(t)
}

// stalled records a blocked write and reports whether the connection is to be cut. It logs the cut.
func (c *callerConn) stalled(stall membudget.Stall, now time.Time) bool {
	reason, held, limit, blocked := membudget.Keep, int64(0), int64(0), 0
	c.memory.update(func(b *membudget.Budget) {
		reason = b.RecordStall(c.id, stall, now)
		held, limit, blocked = b.Used(), b.Limit(), b.Blocked()
	})
	if reason == membudget.Keep {
		return false
	}
	c.cut.Store(true)
	_ = c.SetLinger(0) // otherwise the kernel keeps what is unsent after the close, for as long as the caller does not read it
	c.memory.metrics.cut[reason].Inc(1)
	klog.InfoS("caller cut since it does not read", "caller", c.RemoteAddr().String(), "reason", reason.String(), "write_blocked_for", now.Sub(stall.Since),
		"target_waits", !stall.TargetSince.IsZero(), "held_bytes", held, "limit_bytes", limit, "callers_blocked", blocked)
	return true
}

func (c *callerConn) recordWritten() {
	c.memory.update(func(b *membudget.Budget) { b.RecordWritten(c.id) })
}

// interrupt makes a blocked write examine its state at once.
func (c *callerConn) interrupt() { _ = c.Conn.SetWriteDeadline(time.Unix(1, 0)) }

// NetConn returns the connection that c wraps.
func (c *callerConn) NetConn() net.Conn { return c.Conn }

// CloseWrite closes the sending direction, so that a caller receives the whole answer before the connection is closed.
func (c *callerConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// SetLinger sets how many seconds the kernel keeps unsent data after Close; with zero, Close resets the connection.
func (c *callerConn) SetLinger(seconds int) error {
	if lingering, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return lingering.SetLinger(seconds)
	}
	return nil
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.closeOnce.Do(func() { c.memory.close(c.id) })
	return c.Conn.Close()
}
