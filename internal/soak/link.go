package soak

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// link is a loopback proxy in front of one part. Faults are injected here, outside the programs.
type link struct {
	Address  string // where others connect
	listener net.Listener
	backend  atomic.Pointer[string]

	delay    atomic.Int64 // nanoseconds for each piece of data
	cutUp    atomic.Bool  // nothing arrives at the backend
	cutDown  atomic.Bool  // nothing comes back
	refusing atomic.Bool  // new connections are reset

	mu    sync.Mutex
	conns map[*linkConn]bool
}

type linkConn struct {
	client, server *net.TCPConn
	silent         atomic.Bool // nothing passes any more, in either direction
	closed         atomic.Bool
}

// newLink listens on address, a port of 0 for any.
func newLink(address, backend string) (*link, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	k := &link{Address: l.Addr().String(), listener: l, conns: map[*linkConn]bool{}}
	k.setBackend(backend)
	go k.accept()
	return k, nil
}

// setBackend names where new connections go.
func (k *link) setBackend(address string) { k.backend.Store(&address) }

func (k *link) accept() {
	for {
		c, err := k.listener.Accept()
		if err != nil {
			return // closed
		}
		client := c.(*net.TCPConn)
		if k.refusing.Load() {
			reset(client)
			continue
		}
		go k.connect(client)
	}
}

func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

func (k *link) connect(client *net.TCPConn) {
	const dialTime = time.Second
	s, err := net.DialTimeout("tcp4", *k.backend.Load(), dialTime)
	if err != nil {
		reset(client)
		return
	}
	c := &linkConn{client: client, server: s.(*net.TCPConn)}
	k.mu.Lock()
	k.conns[c] = true
	k.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { k.copy(c, c.server, c.client, &k.cutUp) })
	both.Go(func() { k.copy(c, c.client, c.server, &k.cutDown) })
	both.Wait()
	k.mu.Lock()
	delete(k.conns, c)
	k.mu.Unlock()
	_ = c.client.Close()
	_ = c.server.Close()
}

// copy passes data on until either end closes; what is held back by a cut passes once it is over.
func (k *link) copy(c *linkConn, to, from *net.TCPConn, cut *atomic.Bool) {
	const poll = 10 * time.Millisecond
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		for (cut.Load() || c.silent.Load()) && !c.closed.Load() {
			time.Sleep(poll)
		}
		if d := k.delay.Load(); d > 0 {
			time.Sleep(time.Duration(d))
		}
		if n > 0 {
			if _, werr := to.Write(buffer[:n]); werr != nil {
				reset(from)
				return
			}
		}
		if err != nil {
			if err == io.EOF {
				_ = to.CloseWrite()
			} else {
				reset(to)
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
		reset(c.client)
		reset(c.server)
	}
}

// silenceAll makes all open connections go silent for good, while new ones work.
func (k *link) silenceAll() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for c := range k.conns {
		c.silent.Store(true)
	}
}

func (k *link) close() {
	_ = k.listener.Close()
	k.resetAll()
}
