// Package httpclient reads answers over HTTP/1. It is the one place where the answers of other processes are read from connections, so that no
// answer that breaks HTTP, and none that was cut, is taken for one. Clients of HTTP/2, which frames all that it carries, are in internal/peer.
package httpclient

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/egrethoist/egrethoist/internal/tcp"
)

// writeEndTimeout bounds the wait for a write on a connection that has ended. The kernel ends the write at once, but its goroutine may have to
// wait for a processor.
const writeEndTimeout = time.Second

// errEndNotProved is returned in place of io.EOF if it is not known how the connection ended.
var errEndNotProved = errors.New("connection ended, whether in order is unknown")

// Conn is a connection to an HTTP/1 server. Its Read returns io.EOF only if the server has closed the connection in order: an answer without
// length and chunks is as long as its connection, and would be whole at any end.
type Conn struct {
	net.Conn
	writing chan struct{} // holds an element during a write

	mu   sync.Mutex
	lost error // with which a read or write reported that the connection is lost; nil if none did
}

// NewConn returns a connection that reads the answers of a server from conn.
func NewConn(conn net.Conn) *Conn { return &Conn{Conn: conn, writing: make(chan struct{}, 1)} }

// NetConn returns the connection that c wraps.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF {
		return n, c.end()
	}
	c.recordLoss(err)
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing <- struct{}{}
	defer func() { <-c.writing }()
	n, err := c.Conn.Write(p)
	c.recordLoss(err)
	return n, err
}

// recordLoss records an error of the connection. EPIPE is none: the server has closed the connection in order before, or another call has
// reported its loss.
func (c *Conn) recordLoss(err error) {
	var errno syscall.Errno
	if !errors.As(err, &errno) || errno == syscall.EPIPE {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lost == nil {
		c.lost = err
	}
}

// end returns io.EOF if the server has closed the connection in order. The kernel reports that a connection is lost to one call only, a read or
// a write, and later reads return no bytes and no error, like those after an orderly close.
func (c *Conn) end() error {
	switch closed, err := tcp.FullyClosed(c.Conn); {
	case err == nil && !closed:
		return io.EOF // the direction to the server is still open
	case err == nil:
		// A write that is under way may have been told of the loss.
		select {
		case c.writing <- struct{}{}:
			<-c.writing
		case <-time.After(writeEndTimeout):
			return errEndNotProved
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lost != nil {
		return fmt.Errorf("connection lost: %w", c.lost)
	}
	return io.EOF
}
