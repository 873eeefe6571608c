// Package httpserver serves HTTP/1 and is the one place where connections of clients are ended. Whatever a client has sent is answered or
// refused, however late the process reads it: by a handler, or by status 408 on a connection that the server ends. http.Server alone
// closes idle connections, the listener and requests that were just read, at a planned stop and at time limits.
package httpserver

import (
	"context"
	"crypto/tls"
	"errors"
	"log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"github.com/egrethoist/egrethoist/internal/drain"
	"github.com/egrethoist/egrethoist/internal/inflight"
)

// Options configure a Server. All but Handler may be left out.
type Options struct {
	Name              string // of the server, in logs and metrics
	Handler           http.Handler
	ErrorLog          *log.Logger
	ReadHeaderTimeout time.Duration
	IdleTimeout       time.Duration
	Protocols         *http.Protocols   // nil: HTTP/1
	HTTP2             *http.HTTP2Config // if Protocols has HTTP/2
	// TLS encrypts all connections; nil: none. What comes on them is not followed, so it protects requests of HTTP/2 only at a planned stop.
	TLS      *tls.Config
	WrapConn func(net.Conn) net.Conn // wraps each accepted connection
	// ConnContext adds to the context of a connection's requests. It is given the connection that WrapConn returned.
	ConnContext func(context.Context, net.Conn) context.Context
	Metrics     tally.Scope
}

// Server serves HTTP on one listener. It is safe for concurrent use.
type Server struct {
	http    http.Server
	opts    Options
	metrics metrics

	draining     atomic.Bool // Drain was called
	stopping     atomic.Bool // answers close their connection, as far as nothing follows
	refusing     atomic.Bool // connections that wait for a request are ended
	interrupting atomic.Bool // reads of requests that have not come wholly fail
	closing      atomic.Bool // connections are closed at once
	closeLimit   atomic.Pointer[time.Time]
	handover     atomic.Pointer[time.Time] // when PhaseHandover of Drain begins; nil: never, or not known
	endRequests  context.CancelCauseFunc
	stopped      chan struct{} // closed after Shutdown, Drain or Close
	markStopped  func()

	mu         sync.Mutex // guards the rest
	conns      map[*conn]struct{}
	lastAccept time.Time
	listener   *listener // nil before Attach and Serve
}

type metrics struct {
	dropped tally.Counter // connections closed with a part of a request that no handler had
	ended   tally.Counter // connections ended by the server
	refused tally.Counter // of these, such on which something was sent
}

// New returns a server that does not listen yet.
func New(o Options) *Server {
	if o.Metrics == nil {
		o.Metrics = tally.NoopScope
	}
	scope := o.Metrics.Tagged(map[string]string{"server": o.Name})
	s := &Server{
		opts: o, conns: map[*conn]struct{}{}, stopped: make(chan struct{}),
		metrics: metrics{dropped: scope.Counter("requests_dropped"), ended: scope.Counter("connections_ended"), refused: scope.Counter("requests_refused_at_end")},
	}
	s.markStopped = sync.OnceFunc(func() { close(s.stopped) })
	base, cancel := context.WithCancelCause(context.Background())
	s.endRequests = cancel
	s.http = http.Server{
		Handler: http.HandlerFunc(s.serveHTTP), ErrorLog: o.ErrorLog, ReadHeaderTimeout: o.ReadHeaderTimeout, IdleTimeout: o.IdleTimeout,
		Protocols: o.Protocols, HTTP2: o.HTTP2,
		BaseContext: func(net.Listener) context.Context { return base },
		ConnState:   func(c net.Conn, state http.ConnState) { ownConn(c).setState(state) },
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			own := ownConn(c)
			if o.ConnContext != nil {
				ctx = o.ConnContext(ctx, own.Conn)
			}
			return context.WithValue(ctx, connKey{}, own)
		},
	}
	return s
}

func (s *Server) serveHTTP(w http.ResponseWriter, r *http.Request) {
	c := connOf(r.Context())
	if c != nil {
		c.beginRequest(r.ContentLength)
	}
	s.opts.Handler.ServeHTTP(w, r)
	if c != nil {
		c.endHandler()
	}
}

// unencryptedHTTP2 reports whether connections without TLS may be of HTTP/2.
func (s *Server) unencryptedHTTP2() bool {
	return s.opts.Protocols != nil && s.opts.Protocols.UnencryptedHTTP2()
}

// ClosesAfter reports whether the answer to a request should close its connection, since a planned stop has begun. It does not while
// further requests of the connection have come: they are answered first. Call it when the head of the answer is sent.
func ClosesAfter(r *http.Request) bool {
	c := connOf(r.Context())
	return c != nil && c.server.stopping.Load() && c.isLast() && !unread(c.Conn)
}

// IsLast reports whether no further request has come on the connection of r, for handlers that know of the stop themselves. A request of
// HTTP/2, or one that did not come through a Server, always is the last: no answer closes its connection before the others.
func IsLast(r *http.Request) bool {
	c := connOf(r.Context())
	return c == nil || c.isLast()
}

// Attach names the listener of a later Serve. A planned stop that begins before Serve then waits for it, to answer or refuse what is in the
// listener's queue by then.
func (s *Server) Attach(l net.Listener) {
	s.attach(l)
}

func (s *Server) attach(l net.Listener) *listener {
	s.mu.Lock()
	if s.listener == nil {
		s.listener = &listener{Listener: l, server: s, ended: make(chan struct{})}
	}
	own := s.listener
	s.mu.Unlock()
	if s.refusing.Load() {
		own.end() // the stop did not know of it
	}
	return own
}

// Serve accepts connections and serves them. After Shutdown, Drain or Close it returns http.ErrServerClosed when that has ended.
func (s *Server) Serve(l net.Listener) error {
	l = s.attach(l)
	if s.opts.TLS != nil {
		l = tls.NewListener(l, s.opts.TLS)
	}
	err := s.http.Serve(l)
	if errors.Is(err, errListenerEnded) || errors.Is(err, http.ErrServerClosed) {
		<-s.stopped
		return http.ErrServerClosed
	}
	return err
}

// Shutdown makes a planned stop without notice: it ends the listener and connections without a request, and waits until all others have
// been answered. Shortly before the deadline of ctx it ends what is left. It returns an error if that could not be answered.
func (s *Server) Shutdown(ctx context.Context) error {
	opts := drain.Options{Deadline: noDeadline}
	if deadline, ok := ctx.Deadline(); ok {
		left := time.Until(deadline)
		opts.Deadline, opts.HandoverAfter = left*9/10, left*8/10
	}
	return s.Drain(ctx, opts, func(drain.Phase) {})
}

// noDeadline is longer than any process runs.
const noDeadline = 100 * 365 * 24 * time.Hour

// Drain makes a planned stop, by the phases of package drain:
//
//   - PhaseUnready: answers close their connections.
//   - PhaseRefusing: the handler must refuse new requests. The listener ends after it has accepted what is queued. Connections that wait
//     for a request are ended.
//   - PhaseHandover: the contexts of requests end with ErrStopping, and reads of what has not come of a request fail. Handlers must answer
//     at once.
//   - PhaseOverdue: connections that are left are closed.
//
// It calls onPhase at each phase before it acts on it, except that answers close their connections already. It returns an error if connections
// were closed before they were answered, or if ctx ended first. While another call drains the server, it waits for that.
func (s *Server) Drain(ctx context.Context, opts drain.Options, onPhase func(drain.Phase)) error {
	if !s.draining.CompareAndSwap(false, true) {
		select {
		case <-s.stopped:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	defer s.markStopped()
	began := time.Now()
	limit := began.Add(opts.Deadline)
	s.closeLimit.Store(&limit)
	if opts.HandoverAfter > 0 {
		handover := began.Add(opts.HandoverAfter)
		s.handover.Store(&handover)
	}
	overdue := 0
	err := inflight.Drain(ctx, opts, s.work, func(phase drain.Phase) {
		if phase == drain.PhaseUnready {
			s.stopping.Store(true) // before callers can be told of the stop
		}
		onPhase(phase)
		klog.InfoS("planned stop", "server", s.opts.Name, "phase", phase.String(), "connections", s.Connections())
		switch phase {
		case drain.PhaseRefusing:
			s.stopping.Store(true)
			s.refusing.Store(true)
			s.endListener()
			s.forEach(func(c *conn) { go c.endIfQuiet() })
		case drain.PhaseHandover:
			s.interrupting.Store(true)
			s.endRequests(ErrStopping)
			s.forEach(func(c *conn) { go c.interrupt() })
		case drain.PhaseOverdue:
			var interrupted sync.WaitGroup
			s.forEach(func(c *conn) { interrupted.Go(c.interrupt) }) // answers may have ended since
			interrupted.Wait()
			overdue = s.unanswered()
			_ = s.Close()
		}
	})
	switch {
	case err != nil:
		return err
	case overdue > 0:
		return errors.New("requests were cut at the end of the time to stop")
	}
	ctx, cancel := context.WithDeadline(ctx, limit)
	defer cancel()
	return s.http.Shutdown(ctx) // HTTP/2 has its own way to end a connection
}

// Close closes the listener and all connections at once.
func (s *Server) Close() error {
	s.closing.Store(true)
	defer s.markStopped()
	return s.http.Close()
}

// endListener ends the listener, if there is one.
func (s *Server) endListener() {
	s.mu.Lock()
	l := s.listener
	s.mu.Unlock()
	if l != nil {
		l.end()
	}
}

// work returns what a planned stop has to wait for: the listener until it has ended, and HTTP/1 connections until clients have closed them.
func (s *Server) work() drain.Work {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := drain.Work{LastArrival: s.lastAccept}
	for c := range s.conns {
		if http2, busy := c.use(); !http2 {
			w.Running++
			if busy {
				w.Busy++
			}
		}
	}
	if s.listener != nil && !s.closing.Load() {
		select {
		case <-s.listener.ended:
		default:
			w.Running++
		}
	}
	return w
}

// unanswered returns the number of connections that a handler has a request of, or that wait to be read.
func (s *Server) unanswered() int {
	c := s.Connections()
	return c.Active + c.Reading + c.Unread
}

// closeBy returns t, or the end of a planned stop if that is known.
func (s *Server) closeBy(t time.Time) time.Time {
	if limit := s.closeLimit.Load(); limit != nil {
		return *limit
	}
	return t
}

func (s *Server) remember(c *conn, now time.Time) {
	s.mu.Lock()
	s.conns[c], s.lastAccept = struct{}{}, now
	s.mu.Unlock()
	if s.interrupting.Load() {
		c.interrupt()
	}
}

func (s *Server) forget(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// forEach calls f for each connection.
func (s *Server) forEach(f func(*conn)) {
	s.mu.Lock()
	conns := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	for _, c := range conns {
		f(c)
	}
}

// Connections counts the connections of a server by state.
type Connections struct {
	New     int `json:"new"`     // without a request yet
	Idle    int `json:"idle"`    // answered, and nothing was received since
	Reading int `json:"reading"` // the head of a request is being received
	Active  int `json:"active"`  // a handler has a request
	Ended   int `json:"ended"`   // ended by the server, or answered, and not closed by the client
	Unread  int `json:"unread"`  // of New and Idle: bytes were sent on the connection that the process has not read
	// SinceAccept is the time since the last connection was accepted, in milliseconds; negative if none was.
	SinceAccept int64 `json:"since_accept_ms"`
}

// Connections returns the present state of the connections.
func (s *Server) Connections() Connections {
	out := Connections{SinceAccept: -1}
	s.mu.Lock()
	if !s.lastAccept.IsZero() {
		out.SinceAccept = time.Since(s.lastAccept).Milliseconds()
	}
	s.mu.Unlock()
	s.forEach(func(c *conn) {
		c.mu.Lock()
		phase, answered, closed := c.phase, c.answered, c.closed
		c.mu.Unlock()
		switch {
		case closed || phase == phaseEnded:
			out.Ended++
			return
		case phase == phaseHandler:
			out.Active++
			return
		case phase == phaseHead:
			out.Reading++
			return
		case answered:
			out.Idle++
		default:
			out.New++
		}
		if unread(c.Conn) {
			out.Unread++
		}
	})
	return out
}
