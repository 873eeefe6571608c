// Package peer provides the HTTP/2 clients and servers through which the system's processes call each other. A Client owns the
// connections to one address, detects unresponsive ones by HTTP/2 pings, and can close all of them at once so that the next call opens
// a new connection.
package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/egrethoist/egrethoist/internal/httpclient"
	"github.com/egrethoist/egrethoist/internal/tcp"
)

// These timeouts bound how long an unresponsive connection goes undetected, unless Options.PingAfter is shorter.
const (
	defaultPingAfter = 5 * time.Second // time without a received frame after which a ping is sent
	pingTimeout      = 2 * time.Second // time without a reply to the ping after which the connection is closed
	dialTimeout      = 1 * time.Second
	// idleTimeout is how long a connection without calls is kept. It is pinged all that time. Peers that are called regularly are
	// called again sooner than this; connections to peers that are called only once, as at startup, are closed.
	idleTimeout = 1 * time.Minute
)

// DialFunc opens a connection to an IP:port address.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// TLSFunc returns the TLS configuration for one dial to host, an IP address. It is called for every dial, so that rotated keys and
// certificate authorities take effect.
type TLSFunc func(host string) *tls.Config

// DialError is returned when no connection could be established, so no part of the call was sent.
type DialError struct {
	Addr string
	Err  error
}

func (e *DialError) Error() string { return "dial " + e.Addr + ": " + e.Err.Error() }

// Unwrap returns the underlying error.
func (e *DialError) Unwrap() error { return e.Err }

// errNoHTTP2 is why a connection to a peer that does not speak HTTP/2 is not used.
var errNoHTTP2 = errors.New("peer does not speak HTTP/2")

// Options configure a Client.
type Options struct {
	Addr string   // IP:port
	Dial DialFunc // nil: TCP
	TLS  TLSFunc  // nil: HTTP/2 without TLS
	// PingAfter is the time without a received frame after which a connection is pinged; zero: defaultPingAfter.
	PingAfter time.Duration
	// OnReceive, if set, is called whenever bytes arrive.
	OnReceive func()
}

// Client sends requests to one peer. It is safe for concurrent use.
type Client struct {
	opts Options

	mu    sync.Mutex
	http  *http.Client
	conns map[net.Conn]struct{} // open connections
}

// NewClient returns a client that connects on first use.
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

// URL returns the base URL of the peer.
func (c *Client) URL() string {
	if c.opts.TLS != nil {
		return "https://" + c.opts.Addr
	}
	return "http://" + c.opts.Addr
}

// Do sends a request and implements connect.HTTPClient. The error wraps a DialError if no connection could be established, and an
// UnprocessedError if there was one, but the peer has not processed the request.
func (c *Client) Do(req *http.Request) (*http.Response, error) {
	c.mu.Lock()
	h := c.http
	c.mu.Unlock()
	resp, err := h.Do(req)
	if err != nil {
		return resp, unprocessedError(c.opts.Addr, err)
	}
	if err := httpclient.CheckHTTP2(resp); err != nil {
		return nil, err
	}
	return resp, nil
}

// CloseConnections closes every connection. In-flight calls fail; later calls open a new connection.
func (c *Client) CloseConnections() {
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

// CanDial reports whether a new connection can be established. The connection is closed immediately.
func (c *Client) CanDial(ctx context.Context) bool {
	conn, err := c.dial(ctx, "tcp", c.opts.Addr)
	if err != nil {
		return false
	}
	conn.Close()
	return true
}

// CloseIdle closes the connections without in-flight calls.
func (c *Client) CloseIdle() {
	c.mu.Lock()
	h := c.http
	c.mu.Unlock()
	h.CloseIdleConnections()
}

// Close closes all connections.
func (c *Client) Close() { c.CloseConnections() }

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

// dial opens a connection within dialTimeout and adds it to c.conns.
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

// dialTLS opens a connection and performs the TLS handshake, each within dialTimeout.
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
	if conn.ConnectionState().NegotiatedProtocol != "h2" { // net/http would speak HTTP/1 then
		conn.Close()
		return nil, &DialError{Addr: addr, Err: errNoHTTP2}
	}
	return conn, nil
}

// trackedConn removes itself from its client's conns when it is closed.
type trackedConn struct {
	net.Conn
	owner *Client
	once  sync.Once
}

// Read reads from the connection and calls Options.OnReceive if bytes arrived.
func (t *trackedConn) Read(p []byte) (int, error) {
	n, err := t.Conn.Read(p)
	if n > 0 && t.owner.opts.OnReceive != nil {
		t.owner.opts.OnReceive()
	}
	return n, err
}

// Close closes the connection and removes it from the client's conns.
func (t *trackedConn) Close() error {
	t.once.Do(func() {
		t.owner.mu.Lock()
		delete(t.owner.conns, t)
		t.owner.mu.Unlock()
	})
	return t.Conn.Close()
}
