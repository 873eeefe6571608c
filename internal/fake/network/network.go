// Package network is an in-memory network for tests. Its connections carry any protocol, HTTP/2 included, and
// wait in ways that testing/synctest counts as idle, so that a whole system runs under virtual time. Faults act
// at run time between two hosts or on one.
//
// A host is the IP part of an address. A link is the path from one host to another, in one direction.
package network

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

type link struct{ from, to string }

// Network is a set of hosts that reach each other.
type Network struct {
	mu        sync.Mutex
	changed   chan struct{} // closed at every change of the faults
	listeners map[string]*listener
	pairs     map[*pair]struct{}
	delays    map[link]time.Duration
	delay     time.Duration
	cut       map[link]bool // partitioned links
	frozen    map[string]bool
	dead      map[string]bool
	sent      map[link]int64       // bytes taken from writers
	widths    map[string]float64   // bytes per second that a host sends, and as much that it receives
	sendFree  map[string]time.Time // when a host with a width has sent what was written so far
	recvFree  map[string]time.Time // when it has received it
}

// New returns a network without faults whose links have the given one-way delay.
func New(delay time.Duration) *Network {
	return &Network{
		changed:   make(chan struct{}),
		listeners: map[string]*listener{},
		pairs:     map[*pair]struct{}{},
		delays:    map[link]time.Duration{},
		delay:     delay,
		cut:       map[link]bool{},
		frozen:    map[string]bool{},
		dead:      map[string]bool{},
		sent:      map[link]int64{},
		widths:    map[string]float64{},
		sendFree:  map[string]time.Time{},
		recvFree:  map[string]time.Time{},
	}
}

// change applies a change of the faults and wakes every waiting connection.
func (n *Network) change(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
	close(n.changed)
	n.changed = make(chan struct{})
}

// Delay sets the one-way delay of a link. Bytes never overtake each other.
func (n *Network) Delay(from, to string, d time.Duration) {
	n.change(func() { n.delays[link{from, to}] = d })
}

// Width sets the bytes per second that a host sends, and as much that it receives, on all of its connections together. Zero: any number.
func (n *Network) Width(host string, bytesPerSecond float64) {
	n.change(func() { n.widths[host] = bytesPerSecond })
}

// carry returns when bytes that are written now have passed the links of both hosts: at once if none has a width.
func (n *Network) carry(l link, bytes int) time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	at := time.Now()
	for _, end := range []struct {
		host string
		free map[string]time.Time
	}{{l.from, n.sendFree}, {l.to, n.recvFree}} {
		width := n.widths[end.host]
		if width == 0 {
			continue
		}
		if end.free[end.host].After(at) {
			at = end.free[end.host]
		}
		at = at.Add(time.Duration(float64(bytes) / width * float64(time.Second)))
		end.free[end.host] = at
	}
	return at
}

// isNarrow reports whether either host of a link has a width.
func (n *Network) isNarrow(l link) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.widths[l.from] > 0 || n.widths[l.to] > 0
}

// Partition stops a link in one direction. What is written waits, as under TCP, and arrives after Heal.
func (n *Network) Partition(from, to string) {
	n.change(func() { n.cut[link{from, to}] = true })
}

// Heal ends a partition of a link.
func (n *Network) Heal(from, to string) {
	n.change(func() { delete(n.cut, link{from, to}) })
}

// Freeze stops everything that a host sends or receives, as when its processes are paused.
func (n *Network) Freeze(host string) {
	n.change(func() { n.frozen[host] = true })
}

// Unfreeze lets a frozen host go on; what waited arrives.
func (n *Network) Unfreeze(host string) {
	n.change(func() { delete(n.frozen, host) })
}

// Silence makes the open connections between two hosts silent for good: writes succeed, nothing arrives, and
// neither end learns that the other has closed. New connections work. It returns the number of connections.
func (n *Network) Silence(a, b string) int {
	return n.each(a, b, (*pair).silence)
}

// Reset breaks the open connections between two hosts at both ends and returns their number.
func (n *Network) Reset(a, b string) int {
	return n.each(a, b, func(p *pair) { p.reset(syscall.ECONNRESET) })
}

func (n *Network) each(a, b string, f func(*pair)) int {
	n.mu.Lock()
	var hit []*pair
	for p := range n.pairs {
		if p.joins(a, b) {
			hit = append(hit, p)
		}
	}
	n.mu.Unlock()
	for _, p := range hit {
		f(p)
	}
	return len(hit)
}

// Kill takes a host away: its listeners close, its connections break at both ends, and it can't dial.
func (n *Network) Kill(host string) {
	var closing []*listener
	n.change(func() {
		n.dead[host] = true
		for _, l := range n.listeners {
			if l.host == host {
				closing = append(closing, l)
			}
		}
	})
	for _, l := range closing {
		_ = l.Close()
	}
	n.each(host, "", func(p *pair) { p.reset(syscall.ECONNRESET) })
}

// Revive lets a killed host listen and dial again.
func (n *Network) Revive(host string) {
	n.change(func() { delete(n.dead, host) })
}

// Connections returns the number of open connections between two hosts; an empty b means any host.
func (n *Network) Connections(a, b string) int {
	return n.each(a, b, func(*pair) {})
}

// Sent returns the number of bytes that one host has written to another.
func (n *Network) Sent(from, to string) int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sent[link{from, to}]
}

func (n *Network) count(l link, bytes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sent[l] += int64(bytes)
}

// held reports whether bytes of a link have to wait, the channel that tells of a change, and the delay.
func (n *Network) held(l link) (bool, <-chan struct{}, time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	d, ok := n.delays[l]
	if !ok {
		d = n.delay
	}
	return n.cut[l] || n.frozen[l.from] || n.frozen[l.to], n.changed, d
}

// Listen opens a listener at an address, IP:port.
func (n *Network) Listen(address string) (net.Listener, error) {
	host, err := hostOf(address)
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[address] != nil || n.dead[host] {
		return nil, opError("listen", address, syscall.EADDRINUSE)
	}
	l := &listener{
		network: n,
		host:    host,
		address: address,
		backlog: make(chan *conn, backlogSize),
		closed:  make(chan struct{}),
	}
	n.listeners[address] = l
	return l, nil
}

// Dialer returns the dial function of a host.
func (n *Network) Dialer(host string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		return n.dial(ctx, host, address)
	}
}

// dial takes one round trip. A lost packet of the handshake makes it wait until ctx ends or the link heals.
func (n *Network) dial(ctx context.Context, from, address string) (net.Conn, error) {
	to, err := hostOf(address)
	if err != nil {
		return nil, err
	}
	for _, l := range []link{{from, to}, {to, from}} {
		if err := n.travel(ctx, l); err != nil {
			return nil, opError("dial", address, err)
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.listeners[address]
	if l == nil || n.dead[from] {
		return nil, opError("dial", address, syscall.ECONNREFUSED)
	}
	p := newPair(n, from, to, address)
	select {
	case l.backlog <- p.ends[1]:
	default:
		return nil, opError("dial", address, syscall.ECONNREFUSED)
	}
	n.pairs[p] = struct{}{}
	return p.ends[0], nil
}

// travel waits as long as one packet takes over a link.
func (n *Network) travel(ctx context.Context, l link) error {
	for {
		held, changed, delay := n.held(l)
		if !held {
			select {
			case <-time.After(delay):
				return nil
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (n *Network) forget(p *pair) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.pairs, p)
}

func hostOf(address string) (string, error) {
	host, _, err := net.SplitHostPort(address)
	return host, err
}

func opError(op, address string, err error) error {
	if errno, ok := err.(syscall.Errno); ok {
		err = os.NewSyscallError(op, errno)
	}
	return &net.OpError{Op: op, Net: "tcp", Addr: addr(address), Err: err}
}

type addr string

func (addr) Network() string  { return "tcp" }
func (a addr) String() string { return string(a) }

// backlogSize is the number of connections that wait for Accept.
const backlogSize = 1024

type listener struct {
	network *Network
	host    string
	address string
	backlog chan *conn
	once    sync.Once
	closed  chan struct{}
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case <-l.closed:
		return nil, opError("accept", l.address, net.ErrClosed)
	default:
	}
	select {
	case c := <-l.backlog:
		return c, nil
	case <-l.closed:
		return nil, opError("accept", l.address, net.ErrClosed)
	}
}

// Close stops the listener; connections that were not accepted break.
func (l *listener) Close() error {
	l.once.Do(func() {
		l.network.mu.Lock()
		delete(l.network.listeners, l.address)
		l.network.mu.Unlock()
		close(l.closed)
		for {
			select {
			case c := <-l.backlog:
				c.pair.reset(syscall.ECONNRESET)
			default:
				return
			}
		}
	})
	return nil
}

func (l *listener) Addr() net.Addr { return addr(l.address) }
