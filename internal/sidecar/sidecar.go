// Package sidecar is the process beside a target: the only door to it. It owns the target's limit, its queue,
// its ledger of idempotency keys and its cache. The decisions are in packages of their own; this package does
// the I/O around them.
package sidecar

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"
	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	egretv1 "github.com/egrethoist/egrethoist/gen/egret/v1"
	"github.com/egrethoist/egrethoist/gen/egret/v1/egretv1connect"
	"github.com/egrethoist/egrethoist/internal/drain"
	"github.com/egrethoist/egrethoist/internal/engine"
	"github.com/egrethoist/egrethoist/internal/inflight"
	"github.com/egrethoist/egrethoist/internal/membership"
	"github.com/egrethoist/egrethoist/internal/peer"
	"github.com/egrethoist/egrethoist/internal/platform"
	"github.com/egrethoist/egrethoist/internal/targetstate"
	"github.com/egrethoist/egrethoist/internal/world"
)

// Config gives the configuration in force.
type Config interface {
	// Current returns the configuration in force, or nil before the first.
	Current() *world.World
	// Stamp names the revision in force.
	Stamp() *egretv1.RevisionStamp
	// Observe takes the stamp that a peer sent with its own message.
	Observe(stamp *egretv1.RevisionStamp, peer string)
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
}

// Cache moves the target's cache to and from the kept-cache stores.
type Cache interface {
	// Prepare brings cached blocks of a prompt to the target before its run, and returns the number of prompt
	// tokens that the target need not compute.
	Prepare(ctx context.Context, open *egretv1.Open) int
	// Summary returns the prompts that the target holds although it isn't their home, and a number that grows
	// with every change.
	Summary() (filter []byte, generation uint64)
	// Leave makes the export of what only this target holds urgent.
	Leave()
	// Run follows the target until ctx ends.
	Run(ctx context.Context) error
}

// Options configure a Sidecar.
type Options struct {
	Name        string // name of the target
	Service     string
	Incarnation uint64 // grows with every start of this sidecar
	Config      Config
	KV          platform.KV // loading slots; nil gives no order to load weights
	// Instances is the platform's list; without it no unreachable target is ever known to be gone.
	Instances        platform.InstanceList
	Target           engine.Target
	Model            engine.Model // nil for plain services
	FirstIncarnation bool         // without KV: no incarnation of this target ran before
	// NewCache makes the cache, which asks queue for the wait of a new request; nil keeps nothing.
	NewCache  func(estimateWait func() time.Duration) (Cache, error)
	Dial      peer.DialFunc // to other sidecars; nil dials TCP
	ClientTLS peer.TLSFunc  // to other sidecars; nil speaks without TLS
	Metrics   tally.Scope   // nil discards
}

// Periods of the sidecar's own loops.
const (
	probePeriod  = 250 * time.Millisecond
	probeTimeout = 1 * time.Second
)

// Sidecar serves one target. It is safe for concurrent use.
type Sidecar struct {
	opts                Options
	gate                *gate
	ledger              *ledger
	estimate            estimator
	peers               *peer.Set // sidecars of earlier homes of keys
	metrics             *metrics
	sequence            atomic.Uint64
	stopping            atomic.Bool     // told to entries, which send no more
	refusing            atomic.Bool     // takes no new work
	streamHandover      context.Context // ends when model streams under way are to go on elsewhere
	startStreamHandover context.CancelFunc
	serving             inflight.Counter
	versions            *versions
	loadReport          atomic.Pointer[engine.LoadReport] // last one; nil before the first and for plain services
	swappingWeights     atomic.Bool                       // drained for a swap of weights
	background          sync.WaitGroup
	cache               Cache         // nil keeps nothing
	takeOverDone        chan struct{} // closed once the previous incarnation's keys are known, or can't be had
	stopped             chan struct{} // closed once a planned stop has waited for the runs
	stoppedOnce         sync.Once
}

// New returns a sidecar that takes its target to be down until it answers.
func New(opts Options) (*Sidecar, error) {
	if opts.Name == "" || opts.Service == "" {
		return nil, trace.BadParameter("sidecar needs the name of its target and service")
	}
	if opts.Config == nil || opts.Target == nil {
		return nil, trace.BadParameter("sidecar %v needs a configuration and a target", opts.Name)
	}
	if opts.Metrics == nil {
		opts.Metrics = tally.NoopScope
	}
	if opts.Incarnation == 0 {
		opts.Incarnation = uint64(time.Now().UnixNano())
	}
	s := &Sidecar{opts: opts, metrics: newMetrics(opts.Metrics), stopped: make(chan struct{}), takeOverDone: make(chan struct{})}
	s.peers = peer.NewSet(opts.Dial, opts.ClientTLS)
	s.streamHandover, s.startStreamHandover = context.WithCancel(context.Background())
	s.versions = newVersions()
	s.gate = newGate(s.serviceConfig())
	s.ledger = newLedger(opts, s.serviceConfig())
	s.estimate.init()
	if opts.NewCache != nil {
		var err error
		if s.cache, err = opts.NewCache(func() time.Duration { return s.gate.stats().wait }); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	return s, nil
}

// Handler serves SidecarService.
func (s *Sidecar) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(egretv1connect.NewSidecarServiceHandler(s, peer.HandlerOptions()))
	return mux
}

// Run probes the target and follows the configuration until ctx ends.
func (s *Sidecar) Run(ctx context.Context) error {
	defer s.peers.Close()
	defer s.background.Wait()
	s.background.Go(func() { s.maintainBarrier(ctx) })
	if s.opts.Model == nil {
		s.background.Go(func() { s.watchFormerHomes(ctx) })
	}
	s.background.Go(func() { s.takeOverLedger(ctx) })
	if s.cache != nil {
		s.background.Go(func() { s.cache.Run(ctx) })
	}
	if s.opts.Model != nil {
		s.background.Go(func() { newOrderer(s).run(ctx) })
	}
	tick := time.NewTicker(probePeriod)
	defer tick.Stop()
	for {
		changed := s.opts.Config.Changed()
		s.applyConfig()
		s.probe(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-s.gate.reportNeeded:
		case <-tick.C:
		}
	}
}

// follow takes the configuration in force into the gate and the ledger. The gate goes first: what it refuses
// from then on did not run, whatever the ledger still thinks of its homes.
func (s *Sidecar) applyConfig() {
	w := s.opts.Config.Current()
	if w == nil {
		return
	}
	s.gate.setDeclaredLimits(s.serviceConfig())
	s.gate.setLeaving(!s.acceptsNewWork())
	s.ledger.applyConfig(w, s.opts.Service, time.Now())
}

// Shutdown is the planned stop. Entries learn of it at once over their state streams; what they sent before is
// still taken, then refused, which proves that it did not run, as a closed connection would not. The runs under way
// end, at most until ctx does. Then the state streams end, so that the server that carries them can be shut down.
func (s *Sidecar) Shutdown(ctx context.Context) error {
	defer s.endWatches()
	if s.cache != nil {
		s.cache.Leave()
	}
	err := s.serving.Drain(ctx, drain.SidecarOptions(), func(p drain.Phase) {
		s.stopping.Store(!p.Ready())
		s.refusing.Store(!p.Accepts())
		s.gate.setLeaving(!s.acceptsNewWork())
		s.gate.notifyWatchers()
		if p.HandsOver() {
			s.startStreamHandover()
		}
		klog.InfoS("planned stop", "target", s.opts.Name, "phase", p.String())
	})
	if err != nil {
		return trace.Wrap(err, "waiting for runs at target %v", s.opts.Name)
	}
	s.handOverLedger(ctx)
	return nil
}

func (s *Sidecar) endWatches() { s.stoppedOnce.Do(func() { close(s.stopped) }) }

// service returns the declaration of the sidecar's service, or an empty one before the first configuration.
func (s *Sidecar) serviceConfig() *world.Service {
	w := s.opts.Config.Current()
	if w == nil || w.Services[s.opts.Service] == nil {
		return &world.Service{Name: s.opts.Service}
	}
	return w.Services[s.opts.Service]
}

// takesNewWork reports whether the configuration and the sidecar's own state let new work in.
func (s *Sidecar) acceptsNewWork() bool {
	if s.swappingWeights.Load() {
		return false
	}
	g := membership.Gate{World: s.opts.Config.Current(), Target: s.opts.Name, Stopping: s.refusing.Load()}
	return g.Check() == membership.CauseNone
}

// check refuses what must not run here, before anything is queued.
func (s *Sidecar) checkOpen(open *egretv1.Open) *egretv1.Refused {
	if open.Service != s.opts.Service {
		return refused(egretv1.RefusalCause_REFUSAL_CAUSE_INVALID, "target serves "+s.opts.Service)
	}
	if isLate(open, time.Now()) {
		return refused(egretv1.RefusalCause_REFUSAL_CAUSE_OVERLOAD, "arrived too late to be new work")
	}
	if !s.acceptsNewWork() {
		return refused(egretv1.RefusalCause_REFUSAL_CAUSE_DRAINED, "target takes no new work")
	}
	if open.SidecarIncarnation != 0 && open.SidecarIncarnation != s.opts.Incarnation {
		return refused(egretv1.RefusalCause_REFUSAL_CAUSE_INCARNATION, "sidecar has restarted")
	}
	return nil
}

// Bounds on the age of new work.
const (
	maxTransit = 2 * time.Second        // from the entry to the sidecar
	maxSkew    = 500 * time.Millisecond // between the clocks of two instances
)

// late reports whether a first attempt was held up on its way. What the entry sent before it learnt that this
// target is out must not run long after. The entry has given up by then, or it sends a second attempt.
func isLate(open *egretv1.Open, now time.Time) bool {
	if open.Attempt != 1 || open.ReadUnixMicros == 0 {
		return false
	}
	return now.Sub(time.UnixMicro(open.ReadUnixMicros)) > maxTransit+maxSkew
}

func refused(cause egretv1.RefusalCause, detail string) *egretv1.Refused {
	return &egretv1.Refused{Cause: cause, Detail: detail}
}

func (s *Sidecar) observeRevision(stamp *egretv1.RevisionStamp, peer string) {
	if stamp != nil {
		s.opts.Config.Observe(stamp, peer)
	}
}

func (s *Sidecar) revisionStamp() *egretv1.RevisionStamp { return s.opts.Config.Stamp() }

// Load is the report piggybacked on answers.
func (s *Sidecar) Load() *egretv1.Load {
	g := s.gate.stats()
	return &egretv1.Load{
		Incarnation: s.opts.Incarnation,
		Limit:       uint32(g.limit),
		InFlight:    uint32(g.inFlight),
		Queued:      uint32(g.queued),
		QueueMicros: uint32(g.wait / time.Microsecond),
		Sequence:    s.sequence.Add(1),
	}
}

// loadAfter is the report piggybacked on the end of an answer. The run that ends no longer counts: it leaves the
// gate right after, and an entry that counted it would take a cold target to be full until the next report.
func (s *Sidecar) loadAfterRun() *egretv1.Load {
	l := s.Load()
	l.InFlight = max(l.InFlight, 1) - 1
	return l
}

// Ping answers at once.
func (s *Sidecar) Ping(context.Context, *connect.Request[egretv1.PingRequest]) (*connect.Response[egretv1.PingResponse], error) {
	return connect.NewResponse(&egretv1.PingResponse{Revision: s.ledger.currentRevision()}), nil
}

// Watch streams the target's state at the period that the entry asked for.
func (s *Sidecar) Watch(ctx context.Context, req *connect.Request[egretv1.WatchRequest], stream *connect.ServerStream[egretv1.TargetState]) error {
	s.observeRevision(req.Msg.Revision, req.Msg.Entry)
	period := max(time.Duration(req.Msg.PeriodMillis)*time.Millisecond, minWatchPeriod)
	tick := time.NewTicker(period)
	defer tick.Stop()
	sentGeneration := uint64(0) // generation of the last summary sent
	var sender targetstate.Sender
	for {
		m := s.targetState(&sentGeneration)
		if req.Msg.OmitUnchanged {
			sender.Brief(m)
		}
		if err := stream.Send(m); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-s.stopped:
			return nil
		case <-tick.C:
		case <-s.gate.changed():
		}
	}
}

const minWatchPeriod = 100 * time.Millisecond

// state describes the target. The summary of its cache goes along only if the watcher does not have it yet.
func (s *Sidecar) targetState(sentGeneration *uint64) *egretv1.TargetState {
	m := &egretv1.TargetState{
		Target:         s.opts.Name,
		Phase:          s.phase(),
		Load:           s.Load(),
		WeightVersions: s.versions.offeredVersions(),
		Revision:       s.revisionStamp(),
		Stopping:       s.stopping.Load(),
		StreamsBodies:  true,
	}
	if s.cache == nil {
		return m
	}
	filter, generation := s.cache.Summary()
	m.PrefixGeneration = generation
	if generation != *sentGeneration {
		m.PrefixFilter = filter
		*sentGeneration = generation
	}
	return m
}
