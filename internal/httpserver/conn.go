package httpserver

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"

	"github.com/egrethoist/egrethoist/internal/tcp"
)

// ErrStopping is why a request ends before its answer: the time that a planned stop has for requests is over. It is the cause of the
// request's context, and the error of reads from a body that has not come by then.
var ErrStopping = errors.New("instance is stopping")

const (
	// refusal answers whatever was sent on a connection and reached no handler. RFC 9110 has status 408 for a server that closes an idle
	// connection: a request that crosses it has not run, and the client may send it again on another one.
	refusal = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\nRetry-After: 0\r\n\r\n"
	// refusalTimeout bounds the write of refusal, which only a client delays that has not read the answers before.
	refusalTimeout = 200 * time.Millisecond
	// lingerTimeout is how long a connection without another limit stays half open for the client to close it. What the client sends
	// meanwhile is discarded: if the connection were closed with unread bytes, a reset could destroy the answer before the client reads it.
	lingerTimeout = 2 * time.Second
	// lateReadTime is how much longer a time limit is, once for a request, if bytes have come that the process was too slow to read.
	lateReadTime = time.Second
)

// connPhase is what an HTTP/1 connection is doing. Only a connection in phaseWaiting, phaseHead or phaseAnswered can be ended by the server:
// no handler has a request of it, nor will it get one.
type connPhase uint8

const (
	phaseBetween  connPhase = iota // net/http may have bytes of the next request
	phaseWaiting                   // net/http waits for the first byte of the next request
	phaseHead                      // net/http waits for the rest of a request's head
	phaseHandler                   // a handler has a request, or the connection is not HTTP/1 any more
	phaseAnswered                  // the answer was sent; net/http waits for its read that watches for the end of the connection
	phaseEnded                     // the refusal was sent; what comes is discarded
)

// conn is an accepted connection. It decides together with its Server whether a request that comes still reaches a handler: each read
// either hands all its bytes to net/http or, once the connection has ended, none of them.
type conn struct {
	net.Conn
	server *Server

	mu          sync.Mutex // guards the rest
	phase       connPhase
	handled     bool      // the handler of the present request has returned
	answered    bool      // a request of the connection was answered
	deadline    time.Time // of reads, as net/http has set it
	interrupted bool      // reads of a request that has not come wholly fail
	broken      bool      // the client has closed its side, the connection has failed, or it is to be reset
	closed      bool
	received    requestBytes
	late        bool   // a time limit has passed although bytes of the present request had come
	endReason   string // why the server has ended the connection
	refused     bool   // a request was sent on the connection that the server has ended
}

// newConn returns a connection of a server. Under TLS the received bytes can't be followed, as those of HTTP/2.
func newConn(inner net.Conn, s *Server) *conn {
	c := &conn{Conn: inner, server: s, received: requestBytes{some: !s.unencryptedHTTP2()}}
	if s.opts.TLS != nil {
		c.phase, c.received = phaseHandler, requestBytes{some: true, http2: true}
	}
	return c
}

// ownConn returns the connection of a server that net/http has been given, perhaps within TLS.
func ownConn(c net.Conn) *conn {
	if encrypted, ok := c.(*tls.Conn); ok {
		c = encrypted.NetConn()
	}
	return c.(*conn)
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	if c.phase == phaseHandler && c.handled && !c.received.http2 && !t.IsZero() && t.Before(time.Now()) {
		c.phase, c.answered = phaseAnswered, true // net/http ends its watch after the last write of the answer
	}
	if c.phase == phaseEnded || c.interrupted && !c.beyondHead() {
		return nil // the server's own deadline holds
	}
	return c.Conn.SetReadDeadline(t)
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if c.beginRead() {
		c.endIfQuiet()
	}
	for {
		n, err := c.Conn.Read(p)
		if n, err, done := c.endRead(p[:n], len(p) == 1, err); done {
			return n, err
		}
	}
}

// beginRead records that net/http needs more bytes. It returns true if the connection is to be ended instead.
func (c *conn) beginRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseBetween {
		c.phase = phaseWaiting
	}
	return c.phase == phaseWaiting && c.server.refusing.Load()
}

// endRead decides what a read returns; done is false if it is to be repeated. single is true for a read of one byte, by which net/http
// watches for the end of the connection while a handler runs.
func (c *conn) endRead(p []byte, single bool, err error) (n int, _ error, done bool) {
	c.mu.Lock()
	if c.phase == phaseEnded {
		c.recordRefused(len(p) > 0)
		defer c.mu.Unlock()
		if err != nil {
			c.broken = true
			return 0, os.ErrDeadlineExceeded, true // an error after which net/http writes nothing
		}
		return 0, nil, false
	}
	if len(p) > 0 {
		defer c.mu.Unlock()
		if c.received.add(p, !c.beyondHead()); c.received.http2 {
			c.phase = phaseHandler
		} else if c.phase == phaseWaiting {
			c.phase = phaseHead
		}
		return len(p), err, true
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		defer c.mu.Unlock()
		c.broken = true
		return 0, err, true
	}
	if !c.interrupted && !c.late && !c.beyondHead() && unread(c.Conn) {
		defer c.mu.Unlock()
		c.late = true
		_ = c.Conn.SetReadDeadline(time.Now().Add(lateReadTime)) // the bytes have come in time; the process did not read them
		return 0, nil, false
	}
	if !c.beyondHead() {
		reason := "time limit"
		if c.interrupted {
			reason = "stopping, request incomplete"
		}
		phase := c.phase
		c.mu.Unlock()
		c.end(phase, reason)
		return 0, nil, false
	}
	defer c.mu.Unlock()
	switch {
	case !c.interrupted || !c.deadline.IsZero() && !time.Now().Before(c.deadline):
		return 0, err, true
	case !single:
		return 0, ErrStopping, true
	}
	_ = c.Conn.SetReadDeadline(c.deadline) // the handler's request is not interrupted
	return 0, nil, false
}

// beyondHead reports whether the head of a request was read that is not done with. c.mu must be held.
func (c *conn) beyondHead() bool { return c.phase == phaseHandler || c.phase == phaseAnswered }

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	ended := c.phase == phaseEnded
	c.mu.Unlock()
	if ended {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Write(p)
	if err != nil {
		c.mu.Lock()
		c.broken = true
		c.mu.Unlock()
	}
	return n, err
}

// end ends a connection of which no handler has a request: it answers with refusal whatever the client may have sent or is sending,
// and closes the sending direction. What comes after is discarded by Read. It does nothing if the connection is no longer in the given phase,
// which must be phaseWaiting or phaseAnswered unless net/http itself waits for the rest of a head: once it has bytes, it may have a whole
// request.
func (c *conn) end(phase connPhase, reason string) {
	c.mu.Lock()
	if c.phase != phase || phase == phaseAnswered && c.received.beyond() {
		c.mu.Unlock()
		return
	}
	partial := phase == phaseHead
	c.phase, c.endReason = phaseEnded, reason
	_ = c.Conn.SetReadDeadline(c.server.closeBy(time.Now().Add(lingerTimeout))) // before a time limit of net/http ends the read
	c.recordRefused(partial)
	c.mu.Unlock()
	c.server.metrics.ended.Inc(1)
	// Wrappers may wait for a caller that does not read.
	socket := tcp.Innermost(c.Conn)
	_ = socket.SetWriteDeadline(time.Now().Add(refusalTimeout))
	if _, err := socket.Write([]byte(refusal)); err == nil {
		_ = closeWrite(socket) // an error means that the client has closed the connection, as for the others
	}
}

// recordRefused records that refusal was the answer to a request of the connection, if it was. c.mu must be held.
func (c *conn) recordRefused(sent bool) {
	if !sent || c.refused {
		return
	}
	c.refused = true
	c.server.metrics.refused.Inc(1)
	klog.InfoS("request refused that no handler had", "server", c.server.opts.Name, "caller", c.RemoteAddr().String(), "reason", c.endReason)
}

// endIfQuiet ends the connection if net/http waits for the first byte of a request and the kernel has none. A request that comes at this
// moment is answered with the refusal.
func (c *conn) endIfQuiet() {
	c.mu.Lock()
	waiting := c.phase == phaseWaiting
	c.mu.Unlock()
	if waiting && !unread(c.Conn) {
		c.end(phaseWaiting, "stopping")
	}
}

// interrupt makes reads fail of requests that have not come wholly, from now on. A handler that has its request is not affected. A
// connection whose request is still unread is ended here, since its reader may not run in time. It may be called again.
func (c *conn) interrupt() {
	c.mu.Lock()
	if c.phase == phaseEnded || c.received.http2 {
		c.mu.Unlock()
		return
	}
	c.interrupted = true
	c.failReads()
	c.mu.Unlock()
	c.end(phaseWaiting, "stopping")
	c.end(phaseAnswered, "stopping")
}

// failReads makes reads fail. c.mu must be held.
func (c *conn) failReads() {
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // an error means that the connection was closed
}

// setState follows the state that net/http reports.
func (c *conn) setState(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.phase == phaseEnded || c.received.http2:
	case state == http.StateActive:
		c.phase = phaseHandler
	case state == http.StateIdle:
		c.phase, c.answered, c.late = phaseBetween, true, false
		c.received.next()
		if c.interrupted {
			c.failReads()
		}
	case state == http.StateHijacked:
		c.phase = phaseHandler
	}
}

// beginRequest records the length of the body of the request that a handler gets, negative if it is sent in chunks.
func (c *conn) beginRequest(bodyLength int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.received.bodyLength = bodyLength
	c.handled = false
}

// endHandler records that the handler of the present request has returned.
func (c *conn) endHandler() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handled = true
}

// isLast reports whether nothing was received on the connection beyond the present request. For HTTP/2 it is always true: an answer that
// closes the connection has it end with GOAWAY, after the requests that have come.
func (c *conn) isLast() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.received.http2 || !c.received.beyond()
}

// Close implements net.Conn. Unless the client has closed its side, it first waits for that, up to a limit.
func (c *conn) Close() error {
	c.mu.Lock()
	first, linger := !c.closed, !c.broken && !c.server.closing.Load()
	c.closed = true
	ended := c.phase == phaseEnded
	dropped := first && c.phase == phaseHead
	c.mu.Unlock()
	if !first {
		return c.Conn.Close()
	}
	if dropped {
		c.server.metrics.dropped.Inc(1)
	}
	if linger && (ended || closeWrite(c.Conn) == nil) {
		_ = c.Conn.SetReadDeadline(c.server.closeBy(time.Now().Add(lingerTimeout)))
		var discarded [512]byte
		for {
			if _, err := c.Conn.Read(discarded[:]); err != nil {
				break
			}
		}
	}
	err := c.Conn.Close()
	c.server.forget(c)
	return err
}

// CloseWrite closes the sending direction.
func (c *conn) CloseWrite() error { return closeWrite(c.Conn) }

func closeWrite(c net.Conn) error {
	if half, ok := c.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}

// SetLinger sets how many seconds the kernel keeps unsent data after Close; with zero, Close resets the connection at once.
func (c *conn) SetLinger(seconds int) error {
	if seconds == 0 {
		c.mu.Lock()
		c.broken = true
		c.mu.Unlock()
	}
	if lingering, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return lingering.SetLinger(seconds)
	}
	return nil
}

// NetConn returns the connection that c wraps.
func (c *conn) NetConn() net.Conn { return c.Conn }

// connKey is the context key of a request's *conn.
type connKey struct{}

// connOf returns the connection of a request, or nil if it did not come through a Server.
func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}

// use reports whether the connection is of HTTP/2, and whether a handler has a request of it.
func (c *conn) use() (http2, busy bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.received.http2, c.phase == phaseHandler && !c.closed
}

// unread reports whether a connection has bytes in the kernel that were not read. Connections without a file descriptor have none.
func unread(c net.Conn) bool {
	c = tcp.Innermost(c)
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	found := false
	_ = raw.Control(func(fd uintptr) { // an error means that the connection was closed
		var b [1]byte
		n, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		found = err == nil && n > 0
	})
	return found
}
