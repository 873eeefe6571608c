package lab

import (
	"io"
	"net"
	"sync"
)

// Proxy forwards TCP connections to a stand-in, so that its address is known before it runs and stays the same.
type Proxy struct {
	Address string // on which it listens

	mu      sync.Mutex
	backend string
	down    bool
	conns   map[net.Conn]bool
}

// NewProxy returns a proxy without a backend on a free port of a loopback address.
func NewProxy(ip string) (*Proxy, error) {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{Address: l.Addr().String(), conns: map[net.Conn]bool{}}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go p.forward(conn.(*net.TCPConn))
		}
	}()
	return p, nil
}

// SetBackend sets where new connections lead.
func (p *Proxy) SetBackend(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.backend = address
}

// SetDown ends all connections as the end of the process behind the proxy does, and refuses new ones, or lets them through again.
func (p *Proxy) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
	if !down {
		return
	}
	for c := range p.conns {
		_ = c.Close()
	}
}

// keep remembers a connection, unless the proxy is down.
func (p *Proxy) keep(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return false
	}
	p.conns[c] = true
	return true
}

func (p *Proxy) forget(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

func (p *Proxy) forward(client *net.TCPConn) {
	defer client.Close()
	p.mu.Lock()
	backend := p.backend
	p.mu.Unlock()
	if !p.keep(client) {
		_ = client.SetLinger(0) // a reset, as from a port that nobody listens on
		return
	}
	defer p.forget(client)
	conn, err := net.Dial("tcp4", backend)
	if err != nil {
		return
	}
	server := conn.(*net.TCPConn)
	defer server.Close()
	if !p.keep(server) {
		return
	}
	defer p.forget(server)
	var both sync.WaitGroup
	both.Go(func() { carry(server, client) })
	both.Go(func() { carry(client, server) })
	both.Wait()
}

// carry passes on bytes, and the end of a direction. A connection that fails ends both directions.
func carry(to, from *net.TCPConn) {
	if _, err := io.Copy(to, from); err != nil {
		_ = to.SetLinger(0)
		_ = to.Close()
		_ = from.Close()
		return
	}
	_ = to.CloseWrite() // an error means that the connection has ended
}
