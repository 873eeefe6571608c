package entry

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"

	egretv1 "github.com/egrethoist/egrethoist/gen/egret/v1"
	"github.com/egrethoist/egrethoist/internal/liveness"
)

// Timing of the connection monitor.
const (
	livenessTick = 250 * time.Millisecond
	pingTimeout  = 2 * time.Second
)

// connMonitor detects connections to sidecars that have stopped responding and closes them, so that calls in flight on
// them fail and the next call opens a new connection.
type connMonitor struct {
	mu       sync.Mutex
	detector *liveness.Monitor
	conns    map[*liveness.Conn]*sidecarConn
	calls    sync.WaitGroup // pings and test dials in progress
}

func newConnMonitor() *connMonitor {
	return &connMonitor{detector: liveness.NewMonitor(liveness.Options{}), conns: map[*liveness.Conn]*sidecarConn{}}
}

// open starts monitoring the connections to a sidecar.
func (m *connMonitor) open(s *sidecarConn, now time.Time) *liveness.Conn {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.detector.Open(s.target, now)
	m.conns[c] = s
	s.liveness.Store(c)
	return c
}

// close stops monitoring a connection, unless tick has already done so because the connection stopped responding.
func (m *connMonitor) close(c *liveness.Conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.conns[c] != nil {
		m.detector.Close(c)
		delete(m.conns, c)
	}
}

// run performs the actions of the detector until ctx ends, and then waits for pings and test dials.
func (m *connMonitor) run(ctx context.Context, w *watchOptions) {
	tick := time.NewTicker(livenessTick)
	defer tick.Stop()
	defer m.calls.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		for _, a := range m.tick(time.Now()) {
			m.act(ctx, a, w)
		}
	}
}

// connAction is an action of the detector and the sidecar it applies to, nil if monitoring has stopped.
type connAction struct {
	liveness.Action
	sidecar *sidecarConn
}

// tick returns the actions that are due, and stops monitoring the connections that act will close.
func (m *connMonitor) tick(now time.Time) []connAction {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []connAction
	for _, a := range m.detector.Tick(now) {
		out = append(out, connAction{a, m.conns[a.Conn]})
		if a.Kind == liveness.ActionRetireReplaced || a.Kind == liveness.ActionRetireUnreachable {
			delete(m.conns, a.Conn)
		}
	}
	return out
}

// act performs an action.
func (m *connMonitor) act(ctx context.Context, a connAction, w *watchOptions) {
	s := a.sidecar
	if s == nil {
		return
	}
	switch a.Kind {
	case liveness.ActionPing:
		m.calls.Go(func() { s.ping(ctx) })
	case liveness.ActionRedial:
		s.setAlive(false, w)
		m.calls.Go(func() { a.Conn.DialDone(a.Dial, s.client.CanDial(ctx)) })
	case liveness.ActionResume:
		s.setAlive(true, w)
	default:
		// Requests in flight on it end now. The state of their attempts determines whether they are retried.
		s.client.CloseConnections()
	}
}

// ping makes a call on the connections in use. Its result is ignored: only received bytes matter, see recordReceived.
func (s *sidecarConn) ping(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	s.rpc.Ping(ctx, connect.NewRequest(&egretv1.PingRequest{}))
}

// setAlive excludes a suspect connection from new requests, or readmits it.
func (s *sidecarConn) setAlive(alive bool, w *watchOptions) {
	c := *s.condition.Load()
	c.alive = alive
	s.setCondition(&c, w)
}

// recordReceived records that bytes were received from the sidecar.
func (s *sidecarConn) recordReceived() {
	if c := s.liveness.Load(); c != nil {
		c.Received(time.Now())
	}
}

// beginCall records that a response is expected until end is called.
func (s *sidecarConn) beginCall() (end func()) {
	c := s.liveness.Load()
	if c == nil {
		return func() {}
	}
	c.Begin()
	return c.End
}
