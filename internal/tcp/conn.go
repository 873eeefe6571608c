package tcp

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// writeEndTimeout bounds the wait for a write on a connection that has ended. The kernel ends the write at once, but its goroutine may have to
// wait for a processor.
const writeEndTimeout = time.Second

// errEndNotProved is returned in place of io.EOF if it is not known how the connection ended.
var errEndNotProved = errors.New("connection ended, whether in order is unknown")

// Conn is a connection whose Read returns io.EOF only if the peer has closed it in order. What is as long as its connection, such as an answer over HTTP/1
// without a length, would be whole at any end otherwise.
type Conn struct {
	net.Conn
	writing chan struct{} // holds an element during a write

	mu   sync.Mutex
	lost error // with which a call on the socket reported that the connection is lost; nil if none did
}

// NewConn returns a Conn that wraps conn.
func NewConn(conn net.Conn) *Conn { return &Conn{Conn: conn, writing: make(chan struct{}, 1)} }

// NetConn returns the connection that c wraps.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF {
		return n, c.end()
	}
	c.RecordLoss(err)
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

// RecordLoss records an error of the connection with which a call on its socket has failed, other than Read and Write. EPIPE is none: the peer has
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

// recordLoss records an error with the Conn that a connection is, embeds or wraps, if there is one.
func recordLoss(conn net.Conn, err error) {
	for {
		if c, ok := conn.(interface{ RecordLoss(err error) }); ok {
			c.RecordLoss(err)
			return
		}
		wrapper, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			return
		}
		conn = wrapper.NetConn()
	}
}

// end returns io.EOF if the peer has closed the connection in order. The kernel reports that a connection is lost to one call only, a read or
// a write, and later reads return no bytes and no error, like those after an orderly close.
func (c *Conn) end() error {
	switch closed, err := FullyClosed(c.Conn); {
	case err == nil && !closed:
		return io.EOF // the direction to the peer is still open
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
