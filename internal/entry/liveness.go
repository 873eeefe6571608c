package entry

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"

	egretv1 "github.com/egrethoist/egrethoist/gen/egret/v1"
	"github.com/egrethoist/egrethoist/internal/liveness"
)

// Times of the connection monitor's shell.
const (
	livenessTick = 250 * time.Millisecond
	pingTimeout  = 2 * time.Second
)

// guard finds connections to sidecars that went silent and retires them, so that the next call dials anew.
type guard struct {
	mu      sync.Mutex
	monitor *liveness.Monitor
	conns   map[*liveness.Conn]*sidecarConn
	work    sync.WaitGroup // pings and dials under way
}

func newGuard() *guard {
	return &guard{monitor: liveness.NewMonitor(liveness.Options{}), conns: map[*liveness.Conn]*sidecarConn{}}
}

// open starts to watch the connections to a sidecar.
func (g *guard) open(s *sidecarConn, now time.Time) *liveness.Conn {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.monitor.Open(s.target, now)
	g.conns[c] = s
	s.live.Store(c)
	return c
}

// close ends the watch, unless it has ended by a retirement.
func (g *guard) close(c *liveness.Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.conns[c] != nil {
		g.monitor.Close(c)
		delete(g.conns, c)
	}
}

// run acts on what the monitor finds until ctx ends.
func (g *guard) run(ctx context.Context, w *watcher) {
	tick := time.NewTicker(livenessTick)
	defer tick.Stop()
	defer g.work.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		for _, a := range g.tick(time.Now()) {
			g.act(ctx, a, w)
		}
	}
}

// action is an action with the sidecar that it concerns.
type action struct {
	liveness.Action
	sidecar *sidecarConn
}

func (g *guard) tick(now time.Time) []action {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []action
	for _, a := range g.monitor.Tick(now) {
		out = append(out, action{a, g.conns[a.Conn]})
		if a.Kind == liveness.ActionRetireReplaced || a.Kind == liveness.ActionRetireUnreachable {
			delete(g.conns, a.Conn)
		}
	}
	return out
}

func (g *guard) act(ctx context.Context, a action, w *watcher) {
	s := a.sidecar
	if s == nil {
		return
	}
	switch a.Kind {
	case liveness.ActionPing:
		g.work.Go(func() { s.ping(ctx) })
	case liveness.ActionRedial:
		s.setAlive(false, w)
		g.work.Go(func() { a.Conn.Dialled(a.Dial, s.client.CanDial(ctx)) })
	case liveness.ActionKeep:
		s.setAlive(true, w)
	default:
		// Requests under way on it end now; their attempts are settled by what is known of them.
		s.client.CloseConnections()
	}
}

// ping asks for an answer on the connections in use. Its bytes are what counts, not its result.
func (s *sidecarConn) ping(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	s.rpc.Ping(ctx, connect.NewRequest(&egretv1.PingRequest{}))
}

// setAlive keeps new work off a connection that is doubted, or lets it back.
func (s *sidecarConn) setAlive(alive bool, w *watcher) {
	c := *s.cond.Load()
	c.alive = alive
	s.setCondition(&c, w)
}

// received notes that bytes arrived.
func (s *sidecarConn) received() {
	if c := s.live.Load(); c != nil {
		c.Received(time.Now())
	}
}

// owe notes that an answer is owed until the returned function is called.
func (s *sidecarConn) owe() (settled func()) {
	c := s.live.Load()
	if c == nil {
		return func() {}
	}
	c.Begin()
	return c.End
}
