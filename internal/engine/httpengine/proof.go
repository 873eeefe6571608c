package httpengine

import (
	"errors"
	"net"
	"net/http/httptrace"
	"sync"

	"github.com/egrethoist/egrethoist/internal/httpclient"
)

var errSealed = errors.New("connection sealed")

// countedConn counts the writes that were begun and did not fail whole, and can be sealed against further ones.
type countedConn struct {
	net.Conn
	mu     sync.Mutex
	writes uint64
	sealed bool
}

// NetConn returns the connection that c wraps.
func (c *countedConn) NetConn() net.Conn { return c.Conn }

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.writes++
	c.mu.Unlock()
	n, err := c.Conn.Write(b)
	if err != nil && n == 0 {
		c.takeBack()
	}
	return n, err
}

// takeBack uncounts a write of which the operating system took no byte.
func (c *countedConn) takeBack() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writes--
}

// beginCall notes that a call got the connection. It returns the number of writes begun before.
func (c *countedConn) beginCall() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal forbids further writes and returns the number of those begun.
func (c *countedConn) seal() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.writes
}

// sendProof follows one call through the transport. HTTP/1.1 gives a connection to one call at a time, so a
// connection on which no write was begun since the call got it has carried nothing of the call.
type sendProof struct {
	mu     sync.Mutex
	conn   *countedConn
	before uint64 // writes begun before the call got the connection
	again  bool   // the transport took a second connection
	opaque bool   // the connection is not ours to count
}

func (p *sendProof) gotConn(info httptrace.GotConnInfo) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var conn *countedConn
	if checked, ok := info.Conn.(*httpclient.Conn); ok {
		conn, _ = checked.NetConn().(*countedConn)
	}
	if conn == nil {
		p.opaque = true
		return
	}
	p.again = p.conn != nil
	p.conn, p.before = conn, conn.beginCall()
}

// nothingWritten reports whether it is proved that no byte of the call was, or ever will be, written. The
// connection is sealed first: a write that the transport begins later can no longer undo the proof.
func (p *sendProof) nothingWritten() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.opaque || p.again {
		return false
	}
	if p.conn == nil {
		return true
	}
	return p.conn.seal() == p.before
}
