// Package targetconn pools HTTP/1.1 connections to targets and sends one request at a time on each. Unlike a general HTTP client it
// distinguishes a request that was never sent from one that may have been executed, forwards the caller's bytes unchanged, and
// discards responses that belong to an earlier request on the connection.
package targetconn

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/egrethoist/egrethoist/internal/bootclock"
	"github.com/egrethoist/egrethoist/internal/httpclient"
	"github.com/egrethoist/egrethoist/internal/tcp"
)

const (
	// connectTimeout bounds connection setup: many round trips within a region, but less than a SYN retransmission.
	connectTimeout = 500 * time.Millisecond
	// defaultIdleTimeout applies until the target sends its own idle timeout in a Keep-Alive header. A connection that was idle
	// for longer is not reused.
	defaultIdleTimeout = 3 * time.Second
	// idleTimeoutFraction is the fraction of the target's idle timeout after which a connection is no longer reused. If a request
	// races with the target's close, it is unknown whether it was executed.
	idleTimeoutFraction = 0.7
	bufferSize          = 4096 // bytes, for reading and for writing
)

// ErrNoConnection is returned when this instance's connections to the target have reached the pool's limit.
var ErrNoConnection = errors.New("connection limit of the target reached")

// Pool holds the connections to one target.
type Pool struct {
	address string
	dial    Dial
	limit   int
	clock   func() time.Duration // monotonic time that advances while the machine is suspended

	mu     sync.Mutex
	idle   []*Conn // a stack: the most recently used connection is the last element
	open   int     // connections that are open or being set up, idle or in use
	closed bool
}

// Dial opens a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// NewPool returns a pool of at most limit connections to address, in the form IP:port. If dial is nil, connections are opened with
// tcp.Dialer, which detects an unresponsive peer.
func NewPool(address string, limit int, dial Dial) *Pool {
	if dial == nil {
		dial = tcp.Dialer(connectTimeout).DialContext
	}
	return &Pool{address: address, dial: dial, limit: max(limit, 1), clock: bootclock.Now}
}

// SetLimit changes the maximum number of connections. Connections in excess of it are closed when their request ends.
func (p *Pool) SetLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = max(limit, 1)
}

// Conn is a pooled connection, which carries one request at a time.
type Conn struct {
	*httpclient.Conn
	pool        *Pool
	reader      *bufio.Reader // reads from Conn
	used        bool          // has carried a request
	idleSince   bootclock.Moment
	idleTimeout time.Duration
}

// GetNew opens a connection, so that no response to an earlier request can arrive on it. If the limit is reached, it replaces the
// least recently used idle connection. An error means that nothing was sent; it is ErrNoConnection if the limit is reached and no
// connection is idle.
func (p *Pool) GetNew(ctx context.Context) (*Conn, error) {
	p.mu.Lock()
	if p.open >= p.limit && len(p.idle) == 0 {
		p.mu.Unlock()
		return nil, ErrNoConnection
	}
	var idle *Conn
	if p.open >= p.limit {
		idle = p.idle[0]
		p.idle = p.idle[1:]
	}
	p.open++
	p.mu.Unlock()
	if idle != nil {
		idle.discard() // its slot goes to the new connection
	}
	return p.connect(ctx)
}

// Get returns a connection for one request, an idle one if possible. An error means that nothing was sent; it is ErrNoConnection
// if the limit is reached.
func (p *Pool) Get(ctx context.Context) (*Conn, error) {
	for {
		c, err := p.popIdleOrReserve()
		if err != nil {
			return nil, err
		}
		if c == nil {
			return p.connect(ctx)
		}
		if c.Usable() {
			return c, nil
		}
		c.discard()
	}
}

// Usable reports whether a request may be sent on a connection that carries none: it is open, has no unread bytes and has not reached its
// idle timeout. Get returns a usable connection, but the target may close it while its request still waits.
func (c *Conn) Usable() bool {
	return c.idleSince.Elapsed(time.Now(), c.pool.clock()) < c.idleTimeout && c.reader.Buffered() == 0 && !c.Unread() && tcp.IdleAndOpen(c.Conn)
}

// popIdleOrReserve returns the most recently used idle connection. If there is none, it reserves a slot for a new connection and
// returns nil, or returns ErrNoConnection if the limit is reached.
func (p *Pool) popIdleOrReserve() (*Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.idle); n > 0 {
		c := p.idle[n-1]
		p.idle = p.idle[:n-1]
		return c, nil
	}
	if p.open >= p.limit {
		return nil, ErrNoConnection
	}
	p.open++
	return nil, nil
}

// connect opens a connection in a slot that the caller has reserved, and frees the slot on an error.
func (p *Pool) connect(ctx context.Context) (*Conn, error) {
	conn, err := p.dial(ctx, "tcp4", p.address)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, err
	}
	checked := httpclient.NewConn(conn)
	return &Conn{Conn: checked, pool: p, reader: bufio.NewReaderSize(checked, bufferSize), idleSince: bootclock.At(time.Now(), p.clock()), idleTimeout: defaultIdleTimeout}, nil
}

// release returns the connection to the idle stack, or closes it if the pool is closed or over its limit. It keeps idleSince, which
// is when the connection became idle from the target's point of view.
func (c *Conn) release() {
	p := c.pool
	p.mu.Lock()
	if p.closed || p.open > p.limit {
		p.mu.Unlock()
		c.discard()
		return
	}
	p.idle = append(p.idle, c)
	p.mu.Unlock()
}

// PutBack returns to the pool a connection on which nothing was sent.
func (c *Conn) PutBack() { c.release() }

// discard closes the connection and frees its slot in the pool.
func (c *Conn) discard() {
	_ = c.Close() // no unsent data can be lost
	c.pool.mu.Lock()
	c.pool.open--
	c.pool.mu.Unlock()
}

// Probe opens a connection outside the pool and closes it. An error means that the target does not accept connections.
func (p *Pool) Probe(ctx context.Context) error {
	conn, err := p.dial(ctx, "tcp4", p.address)
	if err != nil {
		return err
	}
	return conn.Close()
}

// Close closes idle connections immediately and connections in use when their request ends.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = nil, true
	p.mu.Unlock()
	for _, c := range idle {
		c.discard()
	}
}

// Prune closes connections that have reached their idle timeout.
func (p *Pool) Prune(now time.Time) {
	p.mu.Lock()
	if len(p.idle) == 0 {
		p.mu.Unlock()
		return
	}
	boot := p.clock()
	var expired []*Conn
	kept := p.idle[:0]
	for _, c := range p.idle {
		if c.idleSince.Elapsed(now, boot) >= c.idleTimeout {
			expired = append(expired, c)
		} else {
			kept = append(kept, c)
		}
	}
	p.idle = kept
	p.mu.Unlock()
	for _, c := range expired {
		c.discard()
	}
}
