// Package httpclient reads answers over HTTP/1. It is the one place where the answers of other processes are read from connections, so that no
// answer that breaks HTTP, and none that was cut, is taken for one. Clients of HTTP/2, which frames all that it carries, are in internal/peer.
package httpclient

import (
	"errors"
	"net"
	"sync"

	"github.com/egrethoist/egrethoist/internal/tcp"
)

var (
	// errUnsolicited is returned for bytes that came before a request or after the end of its answer.
	errUnsolicited = errors.New("bytes that belong to no request")
	// errEnded is returned for a connection that the server has ended before a call was written.
	errEnded = errors.New("connection ended before the call")
)

// Conn is a connection to an HTTP/1 server. Its Read passes on the bytes of the answers that are expected, and no others. It returns an error in place of
// the rest of an answer that breaks HTTP/1, and io.EOF only if the server has closed the connection in order.
type Conn struct {
	*tcp.Conn

	mu      sync.Mutex
	answer  scanner
	rest    []byte // that were read behind the end of an answer
	waiting bool   // a call has the connection and has written nothing yet
	broken  error  // why the connection can't be used any more; nil if it can
}

// NewConn returns a connection that reads the answers of a server from conn.
func NewConn(conn net.Conn) *Conn { return &Conn{Conn: tcp.NewConn(conn)} }

// Expect lets Read pass on the answer to one more request, with the given method, interim answers included.
func (c *Conn) Expect(method string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answer.expect(method)
}

// expects reports whether the expected answer has not ended.
func (c *Conn) expects() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answer.state != scanEnded
}

// Unread reports whether bytes have been read that belong to no answer that was expected.
func (c *Conn) Unread() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.rest) > 0
}

// beginCall is Expect for a call that has not been written. What has come or comes before its first byte is written ends the connection.
func (c *Conn) beginCall(method string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.rest) > 0 && c.broken == nil {
		c.broken = errUnsolicited
	}
	c.answer.expect(method)
	c.waiting = true
}

// explain returns why the connection can't be used any more if that is why a reader of answers failed, and otherwise the error of the reader.
func (c *Conn) explain(err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.broken != nil {
		return c.broken
	}
	return err
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if n, err := c.readRest(p); n > 0 || err != nil {
		return n, err
	}
	n, err := c.Conn.Read(p)
	if n <= 0 {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pass(p[:n]) // an error of the connection is returned again
}

// readRest passes on bytes that were read behind the end of the last answer. It returns no bytes and no error if there are none.
func (c *Conn) readRest(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.broken != nil || len(c.rest) == 0 {
		return 0, c.broken
	}
	rest := c.rest
	n := copy(p, rest)
	c.rest = nil
	passed, err := c.pass(p[:n])
	c.rest = append(c.rest, rest[n:]...)
	return passed, err
}

// pass returns how many bytes from the server may be passed on, and keeps those behind the end of the answer. c.mu must be held.
func (c *Conn) pass(p []byte) (int, error) {
	if c.waiting || c.answer.state == scanEnded {
		c.broken = errUnsolicited
		return 0, c.broken
	}
	n, err := c.answer.scan(p)
	if err != nil {
		c.broken = err
	} else if n < len(p) {
		c.rest = append(c.rest, p[n:]...)
	}
	return n, err
}

// Write implements net.Conn. It fails without writing anything if the first write of a call finds that the server has ended the connection, or has sent
// bytes before.
func (c *Conn) Write(p []byte) (int, error) {
	if err := c.beginWrite(); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// beginWrite returns an error if nothing may be written.
func (c *Conn) beginWrite() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting && c.broken == nil && !tcp.IdleAndOpen(c.Conn) {
		c.broken = errEnded
	}
	if c.broken != nil {
		return c.broken
	}
	c.waiting = false
	return nil
}
