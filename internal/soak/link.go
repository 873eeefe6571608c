package soak

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/egrethoist/egrethoist/internal/tcp"
)

// link is a TCP proxy on the loopback interface in front of one part. It injects network faults without changes to the programs.
type link struct {
	Address string // on which it listens
	backend atomic.Pointer[string]

	delay        atomic.Int64  // nanoseconds before each block of data is forwarded
	toBackend    *rate.Limiter // bytes that are carried, by all connections together; nil: any number
	toClient     *rate.Limiter
	cutToBackend atomic.Bool // data to the backend is held back
	cutToClient  atomic.Bool // data from the backend is held back
	refusing     atomic.Bool // new connections are reset

	mu       sync.Mutex
	listener net.Listener // nil while suspended
	conns    map[*linkConn]bool
}

// linkConn is a client's connection and the connection to the backend that it is forwarded to.
type linkConn struct {
	client, server linkEnd
	silent         atomic.Bool // data in both directions is held back for good
	closed         atomic.Bool
}

// linkEnd is a connection of a link. Its reads tell an orderly end from a reset of which the other direction has learned.
type linkEnd struct {
	*tcp.Conn
	socket *net.TCPConn // that Conn wraps
}

func newLinkEnd(socket *net.TCPConn) linkEnd { return linkEnd{tcp.NewConn(socket), socket} }

// newLink starts a link that listens on address; port 0 selects a free port. It returns an error if it cannot listen.
func newLink(address, backend string) (*link, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	k := &link{Address: l.Addr().String(), listener: l, conns: map[*linkConn]bool{}}
	k.setBackend(backend)
	go k.accept(l)
	return k, nil
}

// limit sets the width of the link in each direction, before its first connection.
func (k *link) limit(mbps float64) {
	const bytesPerMegabit = 1e6 / 8
	k.toBackend = rate.NewLimiter(rate.Limit(mbps*bytesPerMegabit), copyBlock)
	k.toClient = rate.NewLimiter(rate.Limit(mbps*bytesPerMegabit), copyBlock)
}

// copyBlock is how many bytes are forwarded at once.
const copyBlock = 32 << 10

// setBackend sets the address to which new connections are forwarded.
func (k *link) setBackend(address string) { k.backend.Store(&address) }

// suspend makes the address refuse connections until resume.
func (k *link) suspend() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.listener != nil {
		_ = k.listener.Close()
		k.listener = nil
	}
}

// resume ends suspend. It returns an error if the address stays in use, for instance by a connection that took its port.
func (k *link) resume() error {
	const tries, pause = 20, 50 * time.Millisecond
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.listener != nil {
		return nil
	}
	l, err := net.Listen("tcp4", k.Address)
	for range tries {
		if err == nil {
			break
		}
		time.Sleep(pause)
		l, err = net.Listen("tcp4", k.Address)
	}
	if err != nil {
		return err
	}
	k.listener = l
	go k.accept(l)
	return nil
}

// accept forwards new connections until the listener is closed.
func (k *link) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return // closed
		}
		client := c.(*net.TCPConn)
		if k.refusing.Load() {
			reset(client)
			continue
		}
		go k.forward(client)
	}
}

// reset closes a connection with a TCP reset.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// forward connects a client to the backend and relays data until both directions are closed. It resets the client's connection
// if the backend cannot be reached.
func (k *link) forward(client *net.TCPConn) {
	const dialTimeout = time.Second
	s, err := net.DialTimeout("tcp4", *k.backend.Load(), dialTimeout)
	if err != nil {
		reset(client)
		return
	}
	c := &linkConn{client: newLinkEnd(client), server: newLinkEnd(s.(*net.TCPConn))}
	k.mu.Lock()
	k.conns[c] = true
	k.mu.Unlock()
	var directions sync.WaitGroup
	directions.Go(func() { k.copy(c, c.server, c.client, &k.cutToBackend, k.toBackend) })
	directions.Go(func() { k.copy(c, c.client, c.server, &k.cutToClient, k.toClient) })
	directions.Wait()
	k.mu.Lock()
	delete(k.conns, c)
	k.mu.Unlock()
	_ = c.client.Close()
	_ = c.server.Close()
}

// copy copies data from one connection to the other until either is closed. Data that a cut holds back is delivered when the
// cut is over.
func (k *link) copy(c *linkConn, to, from linkEnd, cut *atomic.Bool, width *rate.Limiter) {
	const pollInterval = 10 * time.Millisecond
	buffer := make([]byte, copyBlock)
	for {
		n, err := from.Read(buffer)
		for (cut.Load() || c.silent.Load()) && !c.closed.Load() {
			time.Sleep(pollInterval)
		}
		if width != nil && n > 0 {
			_ = width.WaitN(context.Background(), n) // n does not exceed the burst
		}
		if d := k.delay.Load(); d > 0 {
			time.Sleep(time.Duration(d))
		}
		if n > 0 {
			if _, werr := to.Write(buffer[:n]); werr != nil {
				reset(from.socket)
				return
			}
		}
		if err != nil {
			if err == io.EOF {
				_ = to.socket.CloseWrite()
			} else {
				reset(to.socket)
			}
			return
		}
	}
}

// resetAll resets all open connections.
func (k *link) resetAll() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for c := range k.conns {
		c.closed.Store(true)
		reset(c.client.socket)
		reset(c.server.socket)
	}
}

// silenceAll stops all traffic on the open connections for good, without closing them. New connections work.
func (k *link) silenceAll() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for c := range k.conns {
		c.silent.Store(true)
	}
}

// close stops listening and resets all open connections.
func (k *link) close() {
	k.suspend()
	k.resetAll()
}
