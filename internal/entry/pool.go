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
	"github.com/egrethoist/egrethoist/internal/steadytime"
	"github.com/egrethoist/egrethoist/internal/targetstate"
	"github.com/egrethoist/egrethoist/internal/world"
)

// Parameters of the state streams.
const (
	minWatchPeriod    = 1 * time.Second
	stateMessageBytes = 200.0                  // estimated size in bytes of one state message
	stateBytesPerSec  = 1000.0                 // bytes per second for all state streams of an entry
	maxSilentPeriods  = 3                      // periods without a message after which a stream is closed
	silenceGrace      = 250 * time.Millisecond // for messages that have arrived but were not read, since this process stood still
	minRedialWait     = 200 * time.Millisecond // after a stream that received a state; doubles after each that did not
	maxRedialWait     = 1 * time.Second
	slowRedialAfter   = 30 * time.Second // a peer that is dead for longer is redialled only every slowRedialWait
	slowRedialWait    = 5 * time.Second
	urgentRedialWait  = 500 * time.Millisecond // between two dials while requests wait for the peer
	idlePingAfter     = 30 * time.Second       // HTTP/2 pings are a fallback: package liveness detects failures earlier
)

// watchPeriod returns the period between state messages at which the given number of streams stays within stateBytesPerSec.
func watchPeriod(streams int) time.Duration {
	return max(minWatchPeriod, time.Duration(float64(streams)*stateMessageBytes/stateBytesPerSec*float64(time.Second)))
}

// condition is the part of a target's state that views contain: its eligibility, which rarely changes, and a summary of its
// prefix cache. It is immutable.
type condition struct {
	phase             routing.Phase
	versions          []string
	alive             bool
	summary           []placement.SummaryEntry // cached prompts that the target does not own
	summaryGeneration uint64                   // set by the sidecar; changes with summary
}

func (c *condition) equal(d *condition) bool {
	return c.summaryGeneration == d.summaryGeneration && c.sameEligibility(d)
}

// sameEligibility reports whether the conditions differ at most in the cache summary.
func (c *condition) sameEligibility(d *condition) bool {
	return c.phase == d.phase && c.alive == d.alive && slices.Equal(c.versions, d.versions)
}

// sidecarConn holds the connections to one sidecar and its last reported state.
type sidecarConn struct {
	target    string
	addr      string
	client    *peer.Client
	rpc       egretv1connect.SidecarServiceClient
	stats     *routing.Stats
	condition atomic.Pointer[condition]
	liveness  atomic.Pointer[liveness.Conn] // connection under monitoring; nil before the first state stream
	deadSince atomic.Int64                  // steady time in nanoseconds since which it is not alive; zero if it is alive
	cancel    context.CancelFunc
	// streamsBodies is whether the sidecar accepts streamed bodies, by its last state. It is kept when the state
	// stream is lost.
	streamsBodies atomic.Bool
	urgentRedial  chan struct{} // signalled when a request waits for this peer
}

// newSidecarConn returns a connection that is not alive until watch receives a state.
func newSidecarConn(t *world.Target, dial peer.DialFunc, tlsConfig peer.TLSFunc) *sidecarConn {
	c := &sidecarConn{target: t.Name, addr: t.Sidecar, stats: new(routing.Stats), urgentRedial: make(chan struct{}, 1)}
	c.client = peer.NewClient(peer.Options{
		Addr:      t.Sidecar,
		Dial:      dial,
		TLS:       tlsConfig,
		PingAfter: idlePingAfter,
		OnReceive: c.recordReceived,
	})
	c.rpc = egretv1connect.NewSidecarServiceClient(c.client, c.client.URL(), connect.WithGRPC())
	c.condition.Store(&condition{})
	c.deadSince.Store(steadytime.UnixNano(time.Now()))
	return c
}

// observeLoad processes a load report from the state stream or from a response. A nil load is ignored.
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

// watchOptions are the parameters of state streams, and the callbacks for what they receive.
type watchOptions struct {
	entry            string
	revision         func() *egretv1.RevisionStamp
	observeRevision  func(stamp *egretv1.RevisionStamp, peer string)
	conditionChanged func()     // called when the eligibility of a target has changed
	streamCount      func() int // number of state streams of the entry
	monitor          *connMonitor
}

// watch keeps a state stream open until ctx ends, and reopens it with exponential backoff.
func (s *sidecarConn) watch(ctx context.Context, w *watchOptions) {
	wait := minRedialWait
	for ctx.Err() == nil {
		if s.watchOnce(ctx, w) {
			wait = minRedialWait
		}
		s.setCondition(&condition{}, w)
		wait = min(2*s.waitToRedial(ctx, wait), s.maxRedialDelay(time.Now()))
	}
}

// waitToRedial waits between two dials, for a shorter time if a request waits for this peer. It returns the next backoff
// base: wait, or urgentRedialWait if that is shorter and a request waited.
func (s *sidecarConn) waitToRedial(ctx context.Context, wait time.Duration) time.Duration {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	case <-s.urgentRedial:
		wait = min(wait, urgentRedialWait)
		sleep.For(ctx, wait)
	}
	return wait
}

// requestRedial shortens the wait for the next dial to urgentRedialWait if there is no live connection.
func (s *sidecarConn) requestRedial() {
	select {
	case s.urgentRedial <- struct{}{}:
	default:
	}
}

// maxRedialDelay returns the maximum wait before the next dial. A peer that has been dead for long is dialled less often
// to save work, so its return is detected a little later.
func (s *sidecarConn) maxRedialDelay(now time.Time) time.Duration {
	if s.deadFor(now) > slowRedialAfter {
		return slowRedialWait
	}
	return maxRedialWait
}

// watchOnce opens one state stream and reads it until it ends. It reports whether the sidecar sent a state.
func (s *sidecarConn) watchOnce(ctx context.Context, w *watchOptions) (received bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	period := watchPeriod(w.streamCount())
	silenceTimeout := maxSilentPeriods * period
	var silent atomic.Bool
	var messages atomic.Int64
	// The timer includes the dial, so that a peer that accepts connections but sends nothing is detected too.
	silenceTimer := time.AfterFunc(silenceTimeout, func() {
		before := messages.Load()
		if sleep.For(ctx, silenceGrace) != nil || messages.Load() != before {
			return
		}
		silent.Store(true)
		cancel()
	})
	defer silenceTimer.Stop()
	monitored := w.monitor.open(s, time.Now())
	defer w.monitor.close(monitored)
	stream, err := s.rpc.Watch(ctx, connect.NewRequest(&egretv1.WatchRequest{
		Entry:         w.entry,
		Revision:      w.revision(),
		PeriodMillis:  uint32(period / time.Millisecond),
		OmitUnchanged: true,
	}))
	if err == nil {
		var receiver targetstate.Receiver
		for stream.Receive() {
			received = true
			messages.Add(1)
			silenceTimer.Reset(silenceTimeout)
			receiver.Restore(stream.Msg())
			s.observeState(stream.Msg(), w)
		}
		stream.Close()
	}
	if silent.Load() {
		// Other calls on these connections hang as well. Closing the connections makes these calls fail, and the next call
		// opens a new connection.
		s.client.CloseConnections()
	}
	return received
}

// observeState processes a message of the state stream.
func (s *sidecarConn) observeState(m *egretv1.TargetState, w *watchOptions) {
	s.observeLoad(m.Load, time.Now())
	w.observeRevision(m.Revision, s.addr)
	s.streamsBodies.Store(m.StreamsBodies)
	c := &condition{phase: routingPhase(m), versions: m.WeightVersions, alive: true}
	c.summary, c.summaryGeneration = s.updatedSummary(m)
	s.setCondition(c, w)
}

// updatedSummary returns the cache summary after a message, and its generation. Messages contain the summary only if it has
// changed. A summary that cannot be decoded counts as empty.
func (s *sidecarConn) updatedSummary(m *egretv1.TargetState) ([]placement.SummaryEntry, uint64) {
	old := s.condition.Load()
	if m.PrefixGeneration == old.summaryGeneration {
		return old.summary, old.summaryGeneration
	}
	summary, err := placement.DecodeSummary(m.PrefixFilter)
	if err != nil {
		return nil, m.PrefixGeneration
	}
	return summary, m.PrefixGeneration
}

// setCondition replaces the condition and calls conditionChanged if the eligibility has changed.
func (s *sidecarConn) setCondition(c *condition, w *watchOptions) {
	old := s.condition.Load()
	if old.equal(c) {
		return
	}
	switch {
	case c.alive:
		s.deadSince.Store(0)
	case old.alive:
		s.deadSince.Store(steadytime.UnixNano(time.Now()))
	}
	s.condition.Store(c)
	if c.sameEligibility(old) {
		// Only the cache summary has changed. It becomes part of the next view, at most maxViewPeriod later:
		// summaries of many targets change all the time, and the cost of a rebuild grows with the number of
		// targets.
		return
	}
	w.conditionChanged()
}

// deadFor returns the time since which the connection is not alive; zero if it is alive.
func (s *sidecarConn) deadFor(now time.Time) time.Duration {
	since := s.deadSince.Load()
	if since == 0 {
		return 0
	}
	return now.Sub(steadytime.Time(since))
}

// routingPhase converts the phase of a state message. A stopping sidecar counts as leaving.
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

// pool holds the connections of an entry to sidecars, by target.
type pool struct {
	opts *Options
	wg   sync.WaitGroup

	mu    sync.Mutex
	table atomic.Pointer[connTable] // replaced under mu
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

// size returns the number of sidecars in the pool.
func (p *pool) size() int { return len(p.table.Load().conns) }

// reconcile opens connections to the wanted targets, running run for each new one, and closes all others. It reports
// whether it opened or closed any.
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
	// The streams start after the table is complete, because their period depends on the total number.
	for _, c := range opened {
		p.start(ctx, c, run)
	}
	for name, c := range old {
		if next[name] != c {
			c.cancel() // requests in flight keep their connection
		}
	}
	return true
}

// start runs run for a new connection until the connection is cancelled.
func (p *pool) start(ctx context.Context, c *sidecarConn, run func(context.Context, *sidecarConn)) {
	ctx, c.cancel = context.WithCancel(ctx)
	p.wg.Go(func() {
		run(ctx, c)
		// The connection becomes idle only when the state stream ends, so idle connections are closed here and
		// not in reconcile.
		c.client.CloseIdle()
	})
}

// close closes all connections, and waits for their state streams to end.
func (p *pool) close() {
	conns := p.table.Load().conns
	p.reconcile(context.Background(), nil, nil)
	p.wg.Wait()
	for _, c := range conns {
		c.client.Close()
	}
}
