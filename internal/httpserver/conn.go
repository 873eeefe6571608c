package httpserver

import (
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// connPhase is what an HTTP/1 connection is doing.
type connPhase uint8

const (
	phaseWaiting connPhase = iota // no byte of the next request was received
	phaseHead                     // the head of a request is being received
	phaseHandler                  // a handler has the request
)

// conn is an accepted connection with the state that a planned stop depends on.
type conn struct {
	net.Conn
	server *Server

	mu       sync.Mutex // guards the rest
	phase    connPhase
	answered bool // a request of the connection was answered
	closed   bool
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.mu.Lock()
		if c.phase == phaseWaiting {
			c.phase = phaseHead
		}
		c.mu.Unlock()
	}
	return n, err
}

// setState follows the state that net/http reports.
func (c *conn) setState(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateActive:
		c.phase = phaseHandler
	case http.StateIdle:
		c.phase, c.answered = phaseWaiting, true
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.mu.Lock()
	first, phase := !c.closed, c.phase
	c.closed = true
	c.mu.Unlock()
	if first {
		if phase != phaseHandler && (phase == phaseHead || unread(c.Conn)) {
			c.server.metrics.dropped.Inc(1)
		}
		c.server.forget(c)
	}
	return c.Conn.Close()
}

// CloseWrite closes the sending direction.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// SetLinger sets how many seconds the kernel keeps unsent data after Close; with zero, Close resets the connection.
func (c *conn) SetLinger(seconds int) error {
	if lingering, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return lingering.SetLinger(seconds)
	}
	return nil
}

// NetConn returns the connection that c wraps.
func (c *conn) NetConn() net.Conn { return c.Conn }

// unread reports whether a connection has bytes in the kernel that were not read. Connections without a file descriptor have none.
func unread(c net.Conn) bool {
	for {
		wrapped, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		c = wrapped.NetConn()
	}
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

// listener accepts the connections of a server.
type listener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: inner, server: l.server}
	l.server.remember(c, time.Now())
	return c, nil
}
