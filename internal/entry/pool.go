package entry

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"

	egretv1 "github.com/egrethoist/egrethoist/gen/egret/v1"
	"github.com/egrethoist/egrethoist/gen/egret/v1/egretv1connect"
	"github.com/egrethoist/egrethoist/internal/kvcache/placement"
	"github.com/egrethoist/egrethoist/internal/liveness"
	"github.com/egrethoist/egrethoist/internal/peer"
	"github.com/egrethoist/egrethoist/internal/routing"
	"github.com/egrethoist/egrethoist/internal/sleep"
	"github.com/egrethoist/egrethoist/internal/targetstate"
	"github.com/egrethoist/egrethoist/internal/world"
)

// Bounds of the state streams.
const (
	minWatchPeriod = 1 * time.Second
	stateBytes     = 200.0                  // of one state on the wire
	stateBudget    = 1000.0                 // bytes per second that all states of an entry may cost
	silentPeriods  = 3                      // periods without a state after which a stream is given up
	minRedialWait  = 200 * time.Millisecond // after a stream that told something; doubles with each that didn't
	maxRedialWait  = 1 * time.Second
	longDead       = 30 * time.Second // after so long a peer is redialled less often still
	longDeadWait   = 5 * time.Second
	hurriedWait    = 500 * time.Millisecond // between two dials while requests wait for the peer
	idlePingAfter  = 30 * time.Second       // HTTP/2 pings are a last resort: package liveness watches more closely
)

// watchPeriod is the period of states on each of a number of streams that keeps their cost within the budget.
func watchPeriod(streams int) time.Duration {
	return max(minWatchPeriod, time.Duration(float64(streams)*stateBytes/stateBudget*float64(time.Second)))
}

// condition is the part of a target's state that views hold: its eligibility, which changes seldom, and what it caches.
type condition struct {
	phase    routing.Phase
	versions []string
	alive    bool
	held     []placement.SummaryEntry // prompts cached there that the target does not own
	heldSeq  uint64                   // generation of held
}

func (c *condition) equal(d *condition) bool {
	return c.heldSeq == d.heldSeq && c.sameEligibility(d)
}

func (c *condition) sameEligibility(d *condition) bool {
	return c.phase == d.phase && c.alive == d.alive && slices.Equal(c.versions, d.versions)
}

// sidecarConn is the entry's view of one sidecar: its connections and the last state it told.
type sidecarConn struct {
	target string
	addr   string
	client *peer.Client
	rpc    egretv1connect.SidecarServiceClient
	stats  *routing.Stats
	cond   atomic.Pointer[condition]
	live   atomic.Pointer[liveness.Conn] // nil while no state has come
	diedAt atomic.Int64                  // unix nanoseconds: since when it has not been alive; zero if it is
	cancel context.CancelFunc
	// streams says that the sidecar last said that it streams bodies. It outlasts a lost state stream.
	streams atomic.Bool
	hurry   chan struct{} // a request waits for this peer
}

func newSidecarConn(t *world.Target, dial peer.DialFunc, tlsConfig peer.TLSFunc) *sidecarConn {
	c := &sidecarConn{target: t.Name, addr: t.Sidecar, stats: new(routing.Stats), hurry: make(chan struct{}, 1)}
	c.client = peer.NewClient(peer.Options{
		Addr:      t.Sidecar,
		Dial:      dial,
		TLS:       tlsConfig,
		PingAfter: idlePingAfter,
		OnReceive: c.received,
	})
	c.rpc = egretv1connect.NewSidecarServiceClient(c.client, c.client.URL(), connect.WithGRPC())
	c.cond.Store(&condition{})
	c.diedAt.Store(time.Now().UnixNano())
	return c
}

// observeLoad takes a load from the state stream or piggybacked on an answer.
func (s *sidecarConn) observeLoad(load *egretv1.Load, now time.Time) {
	if load == nil {
		return
	}
	s.stats.Report(routing.Load{
		Incarnation: load.Incarnation,
		Sequence:    load.Sequence,
		Limit:       int(load.Limit),
		InFlight:    int(load.InFlight),
		Queued:      int(load.Queued),
		QueueWait:   time.Duration(load.QueueMicros) * time.Microsecond,
		ReceivedAt:  now,
	})
}

// watcher is what a state stream reports to.
type watcher struct {
	entry   string
	stamp   func() *egretv1.RevisionStamp
	observe func(stamp *egretv1.RevisionStamp, peer string)
	changed func()     // the condition of a target has changed
	streams func() int // number of state streams of the entry
	guard   *guard
}

// watch keeps the state stream open until ctx ends.
func (s *sidecarConn) watch(ctx context.Context, w *watcher) {
	wait := minRedialWait
	for ctx.Err() == nil {
		if s.watchOnce(ctx, w) {
			wait = minRedialWait
		}
		s.setCondition(&condition{}, w)
		wait = min(2*s.pause(ctx, wait), s.redialLimit(time.Now()))
	}
}

// pause waits between two dials, for a shorter time if a request waits for this peer. It returns the time it took.
func (s *sidecarConn) pause(ctx context.Context, wait time.Duration) time.Duration {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	case <-s.hurry:
		wait = min(wait, hurriedWait)
		sleep.For(ctx, wait)
	}
	return wait
}

// redialSoon asks for a dial within hurriedWait if there is no live connection.
func (s *sidecarConn) redialSoon() {
	select {
	case s.hurry <- struct{}{}:
	default:
	}
}

// redialLimit bounds the wait before the next dial. A peer that has been dead for long costs little, and takes a
// little longer to be found when it returns.
func (s *sidecarConn) redialLimit(now time.Time) time.Duration {
	if s.deadFor(now) > longDead {
		return longDeadWait
	}
	return maxRedialWait
}

// watchOnce keeps one state stream open until it ends, and reports whether the sidecar told a state.
func (s *sidecarConn) watchOnce(ctx context.Context, w *watcher) (told bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	period := watchPeriod(w.streams())
	patience := silentPeriods * period
	var silent atomic.Bool
	// The timer covers the dial as well, so a peer that accepts connections and says nothing is found too.
	silence := time.AfterFunc(patience, func() {
		silent.Store(true)
		cancel()
	})
	defer silence.Stop()
	live := w.guard.open(s, time.Now())
	defer w.guard.close(live)
	stream, err := s.rpc.Watch(ctx, connect.NewRequest(&egretv1.WatchRequest{
		Entry:         w.entry,
		Revision:      w.stamp(),
		PeriodMillis:  uint32(period / time.Millisecond),
		OmitUnchanged: true,
	}))
	if err == nil {
		var receiver targetstate.Receiver
		for stream.Receive() {
			told = true
			silence.Reset(patience)
			receiver.Whole(stream.Msg())
			s.observeState(stream.Msg(), w)
		}
		stream.Close()
	}
	if silent.Load() {
		// Other calls on these connections hang as well. They end now, and the next call dials anew.
		s.client.CloseConnections()
	}
	return told
}

func (s *sidecarConn) observeState(m *egretv1.TargetState, w *watcher) {
	s.observeLoad(m.Load, time.Now())
	w.observe(m.Revision, s.addr)
	s.streams.Store(m.StreamsBodies)
	c := &condition{phase: routingPhase(m), versions: m.WeightVersions, alive: true}
	c.held, c.heldSeq = s.heldAfter(m)
	s.setCondition(c, w)
}

// heldAfter returns the cached prompts after a message, which names them only when they have changed.
func (s *sidecarConn) heldAfter(m *egretv1.TargetState) ([]placement.SummaryEntry, uint64) {
	old := s.cond.Load()
	if m.PrefixGeneration == old.heldSeq {
		return old.held, old.heldSeq
	}
	held, err := placement.DecodeSummary(m.PrefixFilter)
	if err != nil {
		return nil, m.PrefixGeneration
	}
	return held, m.PrefixGeneration
}

func (s *sidecarConn) setCondition(c *condition, w *watcher) {
	old := s.cond.Load()
	if old.equal(c) {
		return
	}
	switch {
	case c.alive:
		s.diedAt.Store(0)
	case old.alive:
		s.diedAt.Store(time.Now().UnixNano())
	}
	s.cond.Store(c)
	if c.sameEligibility(old) {
		// Only the summary of cached prompts is new. The view takes it at its next turn: summaries change at
		// many targets all the time, and making a view costs the more the more targets there are.
		return
	}
	w.changed()
}

// deadFor returns how long the connection has not been alive.
func (s *sidecarConn) deadFor(now time.Time) time.Duration {
	at := s.diedAt.Load()
	if at == 0 {
		return 0
	}
	return now.Sub(time.Unix(0, at))
}

func routingPhase(m *egretv1.TargetState) routing.Phase {
	if m.Stopping {
		return routing.PhaseLeaving
	}
	switch m.Phase {
	case egretv1.TargetPhase_TARGET_PHASE_COLD:
		return routing.PhaseCold
	case egretv1.TargetPhase_TARGET_PHASE_RAMPING:
		return routing.PhaseRamping
	case egretv1.TargetPhase_TARGET_PHASE_WARM:
		return routing.PhaseWarm
	case egretv1.TargetPhase_TARGET_PHASE_LOADING:
		return routing.PhaseLoading
	case egretv1.TargetPhase_TARGET_PHASE_LEAVING:
		return routing.PhaseLeaving
	case egretv1.TargetPhase_TARGET_PHASE_DOWN:
		return routing.PhaseDown
	}
	return routing.PhaseUnknown
}

// pool holds the connections of an entry to the sidecars it talks to.
type pool struct {
	opts *Options
	wg   sync.WaitGroup

	mu    sync.Mutex
	table atomic.Pointer[connTable] // replaced as a whole under mu
}

// connTable is an immutable table of connections by target name.
type connTable struct {
	conns map[string]*sidecarConn
}

func newPool(opts *Options) *pool {
	p := &pool{opts: opts}
	p.table.Store(&connTable{conns: map[string]*sidecarConn{}})
	return p
}

// get returns the connection to a target's sidecar, or nil.
func (p *pool) get(target string) *sidecarConn { return p.table.Load().conns[target] }

// size is the number of sidecars that the entry is connected to.
func (p *pool) size() int { return len(p.table.Load().conns) }

// reconcile opens connections to wanted targets and closes the others. It reports whether there were any such.
func (p *pool) reconcile(ctx context.Context, wanted []*world.Target, run func(context.Context, *sidecarConn)) (changed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.table.Load().conns
	next := make(map[string]*sidecarConn, len(wanted))
	var opened []*sidecarConn
	for _, t := range wanted {
		c := old[t.Name]
		if c == nil || c.addr != t.Sidecar {
			c = newSidecarConn(t, p.opts.Dial, p.opts.ClientTLS)
			opened = append(opened, c)
		}
		next[t.Name] = c
	}
	if len(opened) == 0 && len(next) == len(old) {
		return false
	}
	p.table.Store(&connTable{conns: next})
	// The period of a stream follows from the number of all, which is in the table only now.
	for _, c := range opened {
		p.start(ctx, c, run)
	}
	for name, c := range old {
		if next[name] != c {
			c.cancel() // requests under way keep their connection
		}
	}
	return true
}

func (p *pool) start(ctx context.Context, c *sidecarConn, run func(context.Context, *sidecarConn)) {
	ctx, c.cancel = context.WithCancel(ctx)
	p.wg.Go(func() {
		run(ctx, c)
		// The state stream has ended only now, so that its connection was not idle when the target was dropped.
		c.client.CloseIdle()
	})
}

func (p *pool) close() {
	conns := p.table.Load().conns
	p.reconcile(context.Background(), nil, nil)
	p.wg.Wait()
	for _, c := range conns {
		c.client.Close()
	}
}
