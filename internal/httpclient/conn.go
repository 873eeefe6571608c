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
// length and chunks is as long as its connection, and would be whole at any end. After Expect, Read returns an error in place of the rest of a
// head that breaks HTTP/1.
type Conn struct {
	net.Conn
	writing chan struct{} // holds an element during a write

	mu     sync.Mutex
	lost   error // with which a read or write reported that the connection is lost; nil if none did
	head   headCheck
	broken error // what is wrong with a head; nothing can be read from then on
}

// NewConn returns a connection that reads the answers of a server from conn.
func NewConn(conn net.Conn) *Conn { return &Conn{Conn: conn, writing: make(chan struct{}, 1)} }

// NetConn returns the connection that c wraps.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Expect must be called before each request: the bytes that arrive from then on begin with heads. buffered are those that were already read and
// follow the end of the last answer. It returns an error if they break HTTP/1.
func (c *Conn) Expect(buffered []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head.expect()
	_, err := c.checkHead(buffered)
	return err
}

// expectsHead reports whether the next byte from the server belongs to a head.
func (c *Conn) expectsHead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head.active
}

// explain returns what is wrong with a head if that is why a reader of answers failed, and otherwise the error of the reader.
func (c *Conn) explain(err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.broken != nil {
		return c.broken
	}
	return err
}

// checkHead checks bytes from the server and returns how many of them may be read. c.mu must be held.
func (c *Conn) checkHead(p []byte) (int, error) {
	n, err := c.head.check(p)
	if c.broken == nil {
		c.broken = err
	}
	return n, err
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	broken := c.broken
	c.mu.Unlock()
	if broken != nil {
		return 0, broken
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.checkHead(p[:n]) // an error of the connection is returned again
	}
	if err == io.EOF {
		err = c.end()
	} else {
		c.RecordLoss(err)
	}
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing <- struct{}{}
	defer func() { <-c.writing }()
	n, err := c.Conn.Write(p)
	c.RecordLoss(err)
	return n, err
}

// RecordLoss records an error of the connection with which a call on its socket has failed, other than Read and Write. EPIPE is none: the server has
// closed the connection in order before, or another call has been told of its loss.
func (c *Conn) RecordLoss(err error) {
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
