// Package peer makes the HTTP/2 clients by which the system's processes reach each other. A Client owns the
// connections to one address, finds one that went silent by pings, and can retire all of them at once so that
// the next call dials anew.
package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/egrethoist/egrethoist/internal/tcp"
)

// Bounds on how long a silent connection stays unnoticed when nobody watches it more closely.
const (
	defaultPingAfter = 5 * time.Second // no frame for so long: send a ping
	pingTimeout      = 2 * time.Second // no answer to the ping for so long: close the connection
	dialTimeout      = 1 * time.Second
	// A connection without a call is pinged for as long as it is kept. Peers that are called now and then, as
	// partners are, come back sooner; those asked once, as at the start, don't.
	idleTimeout = 1 * time.Minute
)

// DialFunc opens a connection to an IP:port address.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// TLSFunc returns the configuration of one dial to a host, an IP number. It is asked for every dial, so that
// rotated keys and authorities take effect.
type TLSFunc func(host string) *tls.Config

// DialError says that no connection could be made, so nothing of the call has left this process.
type DialError struct {
	Addr string
	Err  error
}

func (e *DialError) Error() string { return "dial " + e.Addr + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Err }

// Options configure a Client.
type Options struct {
	Addr string   // IP:port
	Dial DialFunc // nil dials TCP
	TLS  TLSFunc  // nil speaks HTTP/2 without TLS
	// PingAfter is the quiet time after which a connection is pinged; zero takes the default.
	PingAfter time.Duration
	// Received is called whenever bytes arrive, if set.
	Received func()
}

// Client reaches one peer. It is safe for concurrent use.
type Client struct {
	opts Options

	mu    sync.Mutex
	http  *http.Client
	conns map[net.Conn]struct{}
}

// NewClient returns a client that dials on first use.
func NewClient(opts Options) *Client {
	if opts.Dial == nil {
		d := &net.Dialer{Timeout: dialTimeout}
		opts.Dial = d.DialContext
	}
	if opts.PingAfter == 0 {
		opts.PingAfter = defaultPingAfter
	}
	c := &Client{opts: opts, conns: make(map[net.Conn]struct{})}
	c.http = c.newHTTPClient()
	return c
}

// URL is the base URL of the peer.
func (c *Client) URL() string {
	if c.opts.TLS != nil {
		return "https://" + c.opts.Addr
	}
	return "http://" + c.opts.Addr
}

// Do sends a request; it makes Client usable as a connect.HTTPClient.
func (c *Client) Do(req *http.Request) (*http.Response, error) {
	c.mu.Lock()
	h := c.http
	c.mu.Unlock()
	return h.Do(req)
}

// Retire closes every connection. Calls under way fail; later calls dial a new connection.
func (c *Client) Retire() {
	c.mu.Lock()
	old := c.http
	conns := c.conns
	c.conns = make(map[net.Conn]struct{})
	c.http = c.newHTTPClient()
	c.mu.Unlock()
	for conn := range conns {
		conn.Close()
	}
	old.CloseIdleConnections()
}

// CanDial reports whether a new connection can be made. It is closed again.
func (c *Client) CanDial(ctx context.Context) bool {
	conn, err := c.dial(ctx, "tcp", c.opts.Addr)
	if err != nil {
		return false
	}
	conn.Close()
	return true
}

// CloseIdle closes the connections that carry no call.
func (c *Client) CloseIdle() {
	c.mu.Lock()
	h := c.http
	c.mu.Unlock()
	h.CloseIdleConnections()
}

// Close releases the connections for good.
func (c *Client) Close() { c.Retire() }

func (c *Client) newHTTPClient() *http.Client {
	t := &http.Transport{
		DialContext:            c.dial,
		DialTLSContext:         c.dialTLS,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: tcp.MaxResponseHeaderBytes,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: c.opts.PingAfter,
			PingTimeout:     pingTimeout,
		},
	}
	t.Protocols = new(http.Protocols)
	if c.opts.TLS != nil {
		t.Protocols.SetHTTP2(true)
	} else {
		t.Protocols.SetUnencryptedHTTP2(true)
	}
	return &http.Client{Transport: t}
}

func (c *Client) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := c.opts.Dial(ctx, network, addr)
	if err != nil {
		return nil, &DialError{Addr: addr, Err: err}
	}
	tracked := &trackedConn{Conn: conn, owner: c}
	c.mu.Lock()
	c.conns[tracked] = struct{}{}
	c.mu.Unlock()
	return tracked, nil
}

func (c *Client) dialTLS(ctx context.Context, network, addr string) (net.Conn, error) {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, &DialError{Addr: addr, Err: err}
	}
	raw, err := c.dial(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn := tls.Client(raw, c.opts.TLS(host))
	if err := conn.HandshakeContext(ctx); err != nil {
		raw.Close()
		return nil, &DialError{Addr: addr, Err: err}
	}
	return conn, nil
}

// trackedConn leaves its client's set when it is closed.
type trackedConn struct {
	net.Conn
	owner *Client
	once  sync.Once
}

// Read reports to the client's owner that bytes arrived.
func (t *trackedConn) Read(p []byte) (int, error) {
	n, err := t.Conn.Read(p)
	if n > 0 && t.owner.opts.Received != nil {
		t.owner.opts.Received()
	}
	return n, err
}

// Close closes the connection.
func (t *trackedConn) Close() error {
	t.once.Do(func() {
		t.owner.mu.Lock()
		delete(t.owner.conns, t)
		t.owner.mu.Unlock()
	})
	return t.Conn.Close()
}
