// Package httpserver serves HTTP and knows the state of each connection.
package httpserver

import (
	"context"
	"log"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// Options configure a Server. All but Handler may be left out.
type Options struct {
	Name              string // of the server, in logs and metrics
	Handler           http.Handler
	ErrorLog          *log.Logger
	ReadHeaderTimeout time.Duration
	IdleTimeout       time.Duration
	// ConnContext adds to the context of a connection's requests. It is given the listener's connection.
	ConnContext func(context.Context, net.Conn) context.Context
	Metrics     tally.Scope
}

// Server serves HTTP on one listener. It is safe for concurrent use.
type Server struct {
	http    http.Server
	opts    Options
	metrics metrics

	mu         sync.Mutex // guards the rest
	conns      map[*conn]struct{}
	lastAccept time.Time
	listening  net.Listener
}

type metrics struct {
	dropped tally.Counter // connections that were closed with bytes of a request that no handler had
}

// New returns a server that does not listen yet.
func New(o Options) *Server {
	if o.Metrics == nil {
		o.Metrics = tally.NoopScope
	}
	scope := o.Metrics.Tagged(map[string]string{"server": o.Name})
	s := &Server{opts: o, conns: map[*conn]struct{}{}, metrics: metrics{dropped: scope.Counter("requests_dropped")}}
	s.http = http.Server{
		Handler: o.Handler, ErrorLog: o.ErrorLog, ReadHeaderTimeout: o.ReadHeaderTimeout, IdleTimeout: o.IdleTimeout,
		ConnState: func(c net.Conn, state http.ConnState) { c.(*conn).setState(state) },
	}
	if o.ConnContext != nil {
		s.http.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return o.ConnContext(ctx, c.(*conn).Conn) }
	}
	return s
}

// Serve accepts connections and serves them. It returns http.ErrServerClosed after Shutdown or Close.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listening = l
	s.mu.Unlock()
	return s.http.Serve(listener{Listener: l, server: s})
}

// Shutdown closes the listener and idle connections and waits until requests in flight have ended, or returns the error of ctx.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }

// Close closes the listener and all connections.
func (s *Server) Close() error { return s.http.Close() }

func (s *Server) remember(c *conn, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c], s.lastAccept = struct{}{}, now
}

func (s *Server) forget(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// Connections counts the connections of a server by state.
type Connections struct {
	New     int `json:"new"`     // without a request yet
	Idle    int `json:"idle"`    // answered, and nothing was received since
	Reading int `json:"reading"` // the head of a request is being received
	Active  int `json:"active"`  // a handler has a request
	Unread  int `json:"unread"`  // of New and Idle: bytes were sent on the connection that the process has not read
	// SinceAccept is the time since the last connection was accepted, in milliseconds; negative if none was.
	SinceAccept int64 `json:"since_accept_ms"`
}

// Connections returns the present state of the connections.
func (s *Server) Connections() Connections {
	s.mu.Lock()
	conns := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	out := Connections{SinceAccept: -1}
	if !s.lastAccept.IsZero() {
		out.SinceAccept = time.Since(s.lastAccept).Milliseconds()
	}
	s.mu.Unlock()
	for _, c := range conns {
		c.mu.Lock()
		phase, answered := c.phase, c.answered
		c.mu.Unlock()
		switch {
		case phase == phaseHandler:
			out.Active++
		case phase == phaseHead:
			out.Reading++
		case answered:
			out.Idle++
		default:
			out.New++
		}
		if phase == phaseWaiting && unread(c.Conn) {
			out.Unread++
		}
	}
	return out
}
