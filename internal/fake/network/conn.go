package network

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// windowBytes is what a sender may write ahead of the reader before it waits.
const windowBytes = 256 << 10

const (
	// narrowWindowBytes is the same where a host has a width, and narrowSegmentBytes how much is on its way at once: the connections of a
	// host take turns.
	narrowWindowBytes  = 64 << 10
	narrowSegmentBytes = 8 << 10
)

// pair is one connection: two ends and a pipe in each direction.
type pair struct {
	network *Network
	ends    [2]*conn // the dialling end first
}

// pipe carries bytes in one direction.
type pipe struct {
	link link

	mu       sync.Mutex
	changed  chan struct{} // closed at every change
	segments []segment
	size     int       // bytes written and not read
	last     time.Time // arrival of the last segment
	eofAt    time.Time // arrival of the writer's end; zero while open
	silent   bool
	silentAt time.Time
	err      error // the connection broke
	gone     bool  // the reading end was closed
}

type segment struct {
	at   time.Time
	data []byte
}

type conn struct {
	pair   *pair
	in     *pipe
	out    *pipe
	local  addr
	remote addr

	mu       sync.Mutex
	changed  chan struct{}
	closed   bool
	readEnd  time.Time // deadlines; zero is none
	writeEnd time.Time
	keep     time.Duration // from silence to the end of the keepalive's patience; zero is off
}

func newPair(n *Network, from, to, address string) *pair {
	there := &pipe{link: link{from, to}, changed: make(chan struct{})}
	back := &pipe{link: link{to, from}, changed: make(chan struct{})}
	p := &pair{network: n}
	client := addr(from + ":0")
	p.ends[0] = &conn{pair: p, in: back, out: there, local: client, remote: addr(address), changed: make(chan struct{})}
	p.ends[1] = &conn{pair: p, in: there, out: back, local: addr(address), remote: client, changed: make(chan struct{})}
	return p
}

// joins reports whether the connection is between the two hosts; an empty b is any host.
func (p *pair) joins(a, b string) bool {
	l := p.ends[0].out.link
	if b == "" {
		return l.from == a || l.to == a
	}
	return l == link{a, b} || l == link{b, a}
}

func (p *pair) silence() {
	for _, c := range p.ends {
		c.out.update(func(q *pipe) {
			if !q.silent {
				q.silent, q.silentAt = true, time.Now()
			}
			q.segments = nil // lost on their way
		})
	}
}

func (p *pair) reset(err error) {
	for _, c := range p.ends {
		c.out.update(func(q *pipe) {
			q.err = err
			q.segments = nil
		})
	}
	p.network.forget(p)
}

// update changes the pipe and wakes its ends.
func (q *pipe) update(f func(*pipe)) {
	q.mu.Lock()
	defer q.mu.Unlock()
	f(q)
	close(q.changed)
	q.changed = make(chan struct{})
}

// pending tells when to look at a pipe again: when the next piece arrives, if that is known, or at a change.
type pending struct {
	due     time.Time
	changed <-chan struct{}
}

// take moves what has arrived into b. If nothing has, it returns no bytes and no error.
func (q *pipe) take(b []byte, held bool) (int, pending, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.err != nil {
		return 0, pending{}, q.err
	}
	if held || q.silent {
		return 0, pending{changed: q.changed}, nil
	}
	now := time.Now()
	if n := q.drain(b, now); n > 0 {
		q.size -= n
		close(q.changed)
		q.changed = make(chan struct{})
		return n, pending{}, nil
	}
	if len(q.segments) > 0 {
		return 0, pending{due: q.segments[0].at, changed: q.changed}, nil
	}
	if !q.eofAt.IsZero() && !q.eofAt.After(now) {
		return 0, pending{}, io.EOF
	}
	return 0, pending{due: q.eofAt, changed: q.changed}, nil
}

// drain copies the segments that have arrived by now.
func (q *pipe) drain(b []byte, now time.Time) int {
	n := 0
	for len(q.segments) > 0 && n < len(b) && !q.segments[0].at.After(now) {
		head := &q.segments[0]
		m := copy(b[n:], head.data)
		n += m
		head.data = head.data[m:]
		if len(head.data) == 0 {
			q.segments = q.segments[1:]
		}
	}
	return n
}

// put appends as much of b as the window takes.
func (q *pipe) put(b []byte, delay time.Duration, network *Network) (int, pending, error) {
	window := windowBytes
	if network.isNarrow(q.link) {
		window, b = narrowWindowBytes, b[:min(len(b), narrowSegmentBytes)]
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.err != nil {
		return 0, pending{}, q.err
	}
	if q.gone && !q.silent {
		return 0, pending{}, syscall.EPIPE
	}
	n := min(len(b), window-q.size)
	if n <= 0 {
		return 0, pending{changed: q.changed}, nil
	}
	q.size += n
	if q.silent {
		return n, pending{}, nil
	}
	at := network.carry(q.link, n).Add(delay)
	if at.Before(q.last) {
		at = q.last
	}
	q.last = at
	q.segments = append(q.segments, segment{at: at, data: bytes.Clone(b[:n])})
	close(q.changed)
	q.changed = make(chan struct{})
	return n, pending{}, nil
}

// state returns whether this end is closed, a deadline and the channel that tells of a change of either.
func (c *conn) state(deadline *time.Time) (bool, time.Time, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed, *deadline, c.changed
}

func (c *conn) Read(b []byte) (int, error) {
	for {
		closed, deadline, own := c.state(&c.readEnd)
		if closed {
			return 0, opError("read", string(c.remote), net.ErrClosed)
		}
		if expired(deadline) {
			return 0, opError("read", string(c.remote), os.ErrDeadlineExceeded)
		}
		held, faults, _ := c.pair.network.held(c.in.link)
		n, next, err := c.in.take(b, held)
		if err != nil && !errors.Is(err, io.EOF) {
			err = opError("read", string(c.remote), err)
		}
		if n > 0 || err != nil || len(b) == 0 {
			return n, err
		}
		lost := c.lostAt()
		if expired(lost) {
			return 0, opError("read", string(c.remote), syscall.ETIMEDOUT)
		}
		wait(earlier(earlier(next.due, deadline), lost), own, faults, next.changed)
	}
}

func (c *conn) Write(b []byte) (int, error) {
	done := 0
	for {
		closed, deadline, own := c.state(&c.writeEnd)
		if closed {
			return done, opError("write", string(c.remote), net.ErrClosed)
		}
		if expired(deadline) {
			return done, opError("write", string(c.remote), os.ErrDeadlineExceeded)
		}
		_, faults, delay := c.pair.network.held(c.out.link)
		n, next, err := c.out.put(b[done:], delay, c.pair.network)
		done += n
		c.pair.network.count(c.out.link, n)
		if err != nil {
			return done, opError("write", string(c.remote), err)
		}
		if done == len(b) {
			return done, nil
		}
		if n == 0 {
			wait(deadline, own, faults, next.changed)
		}
	}
}

// wait returns at a time, if it is set, or at any change.
func wait(until time.Time, a, b, c <-chan struct{}) {
	var timer <-chan time.Time
	if !until.IsZero() {
		t := time.NewTimer(time.Until(until))
		defer t.Stop()
		timer = t.C
	}
	select {
	case <-timer:
	case <-a:
	case <-b:
	case <-c:
	}
}

func expired(deadline time.Time) bool {
	return !deadline.IsZero() && !time.Now().Before(deadline)
}

func earlier(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

// Close ends both directions. The other end reads what was written before, and then the end.
func (c *conn) Close() error {
	if !c.change(func() { c.closed = true }) {
		return nil
	}
	_, _, delay := c.pair.network.held(c.out.link)
	c.out.update(func(q *pipe) {
		q.eofAt = time.Now().Add(delay)
		if q.eofAt.Before(q.last) {
			q.eofAt = q.last
		}
	})
	c.in.update(func(q *pipe) {
		q.gone = true
		q.segments = nil
	})
	other := c.pair.ends[0]
	if other == c {
		other = c.pair.ends[1]
	}
	if closed, _, _ := other.state(&other.readEnd); closed {
		c.pair.network.forget(c.pair)
	}
	return nil
}

// change changes this end and wakes its calls; it reports false if the end was closed before.
func (c *conn) change(f func()) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	f()
	close(c.changed)
	c.changed = make(chan struct{})
	return true
}

// SetKeepAliveConfig is that of net.TCPConn: a connection that has gone silent breaks once its probes are unanswered.
func (c *conn) SetKeepAliveConfig(k net.KeepAliveConfig) error {
	return c.deadline(func() {
		c.keep = 0
		if k.Enable {
			c.keep = k.Idle + time.Duration(k.Count)*k.Interval
		}
	})
}

// lostAt is when the keepalive finds the silence of the connection; zero if it is not silent.
func (c *conn) lostAt() time.Time {
	c.mu.Lock()
	keep := c.keep
	c.mu.Unlock()
	c.in.mu.Lock()
	defer c.in.mu.Unlock()
	if keep == 0 || !c.in.silent {
		return time.Time{}
	}
	return c.in.silentAt.Add(keep)
}

func (c *conn) LocalAddr() net.Addr  { return c.local }
func (c *conn) RemoteAddr() net.Addr { return c.remote }

func (c *conn) SetDeadline(t time.Time) error {
	return c.deadline(func() { c.readEnd, c.writeEnd = t, t })
}

func (c *conn) SetReadDeadline(t time.Time) error {
	return c.deadline(func() { c.readEnd = t })
}

func (c *conn) SetWriteDeadline(t time.Time) error {
	return c.deadline(func() { c.writeEnd = t })
}

func (c *conn) deadline(set func()) error {
	if !c.change(set) {
		return net.ErrClosed
	}
	return nil
}
