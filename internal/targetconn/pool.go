// Package targetconn keeps connections to targets and carries one request at a time on each. Unlike a general HTTP
// client it tells a request that was never sent from one that may have run, passes the caller's bytes on unchanged, and
// drops answers that belong to an earlier request of the connection.
package targetconn

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/egrethoist/egrethoist/internal/tcp"
)

const (
	// connectTimeout bounds a connection's set-up: many round trips within a region, less than a resent opening packet.
	connectTimeout = 500 * time.Millisecond
	// defaultIdle is how long a connection may be idle before reuse until the target has told its own limit.
	defaultIdle = 3 * time.Second
	// idleMargin is the share of the target's idle limit after which a connection is not reused: a request that crosses
	// the target's close may have run.
	idleMargin = 0.7
	bufferSize = 4096
)

// ErrNoConnection says that the target has as many connections of this instance as it may have.
var ErrNoConnection = errors.New("no connection left at the target")

// Pool holds the connections to one target.
type Pool struct {
	address string
	dial    Dial
	limit   int

	mu   sync.Mutex
	idle []*Conn // the last one used is the last
	open int
	shut bool
}

// Dial sets up a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// NewPool returns a pool of at most limit connections to address, IP:port. dial sets them up; nil: over TCP, so that a silent
// peer is noticed.
func NewPool(address string, limit int, dial Dial) *Pool {
	if dial == nil {
		dial = tcp.Dialer(connectTimeout).DialContext
	}
	return &Pool{address: address, dial: dial, limit: max(limit, 1)}
}

// SetLimit changes the number of connections; those over it end when their request does.
func (p *Pool) SetLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = max(limit, 1)
}

// Conn is one connection.
type Conn struct {
	net.Conn
	pool      *Pool
	source    *source
	reader    *bufio.Reader // of source
	used      bool          // it has carried a request
	idleSince time.Time
	idleLimit time.Duration
}

// New returns a connection that has carried no request, so that no earlier answer can come on it. Errors mean that nothing was sent.
func (p *Pool) New(ctx context.Context) (*Conn, error) {
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
		idle.discard() // the new one takes its place
	}
	return p.connect(ctx)
}

// Get returns a connection for one request, an idle one if possible. Errors mean that nothing was sent.
func (p *Pool) Get(ctx context.Context) (*Conn, error) {
	now := time.Now()
	for {
		c, err := p.take()
		if err != nil {
			return nil, err
		}
		if c == nil {
			return p.connect(ctx)
		}
		if now.Sub(c.idleSince) < c.idleLimit && c.reader.Buffered() == 0 && quiet(c.Conn) {
			return c, nil
		}
		c.discard()
	}
}

// take returns an idle connection, or nil after it has reserved a new one.
func (p *Pool) take() (*Conn, error) {
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

func (p *Pool) connect(ctx context.Context) (*Conn, error) {
	conn, err := p.dial(ctx, "tcp4", p.address)
	if err != nil {
		p.mu.Lock()
		p.open--
		p.mu.Unlock()
		return nil, err
	}
	from := &source{conn, unbounded}
	return &Conn{Conn: conn, pool: p, source: from, reader: bufio.NewReaderSize(from, bufferSize), idleSince: time.Now(), idleLimit: defaultIdle}, nil
}

// release makes a connection idle. It has been so for the target since idleSince.
func (c *Conn) release() {
	p := c.pool
	p.mu.Lock()
	if p.shut || p.open > p.limit {
		p.mu.Unlock()
		c.discard()
		return
	}
	p.idle = append(p.idle, c)
	p.mu.Unlock()
}

// PutBack gives a connection back on which nothing was sent.
func (c *Conn) PutBack() { c.release() }

// discard closes a connection for good.
func (c *Conn) discard() {
	_ = c.Close() // nothing is left to be sent on it
	c.pool.mu.Lock()
	c.pool.open--
	c.pool.mu.Unlock()
}

// Close closes idle connections now and the others after their request.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.shut = nil, true
	p.mu.Unlock()
	for _, c := range idle {
		c.discard()
	}
}

// Prune closes connections that are idle beyond their limit.
func (p *Pool) Prune(now time.Time) {
	p.mu.Lock()
	var old []*Conn
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now.Sub(c.idleSince) >= c.idleLimit {
			old = append(old, c)
		} else {
			kept = append(kept, c)
		}
	}
	p.idle = kept
	p.mu.Unlock()
	for _, c := range old {
		c.discard()
	}
}
