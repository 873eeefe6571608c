// Package sidecar implements the process that runs beside each target and through which all requests to it pass. It
// owns the target's in-flight limit, request queue, ledger of idempotency keys and cache. The algorithms are in
// packages of their own without I/O; this package does the I/O around them.
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

// Config provides the configuration in force.
type Config interface {
	// Current returns the configuration in force, or nil if none has been received yet.
	Current() *world.World
	// Stamp returns the revision in force.
	Stamp() *egretv1.RevisionStamp
	// Observe processes the revision that a peer sent with one of its messages.
	Observe(stamp *egretv1.RevisionStamp, peer string)
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
}

// Cache moves the target's cache to and from the KV-cache stores.
type Cache interface {
	// Prepare fetches the cached blocks of a prompt to the target before the request runs, and returns the number of
	// prompt tokens that need no prefill.
	Prepare(ctx context.Context, open *egretv1.Open) int
	// Summary returns a filter over the prompts that the target caches although it is not their home, and a
	// generation that increases with every change.
	Summary() (filter []byte, generation uint64)
	// Leave gives priority to the export of blocks that only this target holds, since the target is about to stop.
	Leave()
	// Run keeps the cache in step with the target until ctx ends.
	Run(ctx context.Context) error
}

// Options configures a Sidecar.
type Options struct {
	Name        string // name of the target
	Service     string
	Incarnation uint64 // increases with every start of this sidecar; zero is replaced by the current Unix time in ns
	Config      Config
	KV          platform.KV // platform's key-value service; nil: no loads of weights, no handovers
	// Instances is the platform's instance list. If it is nil, an unreachable target never counts as gone.
	Instances        platform.InstanceList
	Target           engine.Target
	Model            engine.Model // nil for plain services
	FirstIncarnation bool         // no earlier incarnation of this target ran; only used if KV is nil
	// NewCache creates the cache, which calls estimateWait for the queue wait of a new request. If it is nil, there is
	// no cache.
	NewCache  func(estimateWait func() time.Duration) (Cache, error)
	Dial      peer.DialFunc // connects to other sidecars; nil dials TCP
	ClientTLS peer.TLSFunc  // of connections to other sidecars; nil disables TLS
	Metrics   tally.Scope   // nil discards all metrics
}

// Period and timeout of probes of the target.
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
	peers               *peer.Set // connections to the sidecars of keys' earlier homes
	metrics             *metrics
	sequence            atomic.Uint64   // of the last load returned by Load
	stopping            atomic.Bool     // a planned stop has begun; entry gateways are told and send no more
	refusing            atomic.Bool     // a planned stop refuses new requests
	streamHandover      context.Context // cancelled when running model streams must resume at other targets
	startStreamHandover context.CancelFunc
	serving             inflight.Counter // attempts in progress, which a planned stop waits for
	versions            *versions
	loadReport          atomic.Pointer[engine.LoadReport] // latest load report; nil before the first one and for plain services
	swappingWeights     atomic.Bool                       // drained while weights are replaced
	background          sync.WaitGroup
	cache               Cache         // nil: no cache
	takeOverDone        chan struct{} // closed once the previous incarnation's keys are adopted or known to be unavailable
	stopped             chan struct{} // closed once a planned stop is complete; ends the Watch streams
	stoppedOnce         sync.Once
}

// New returns a sidecar whose target counts as down until it answers a probe. It returns an error if a required
// option is missing or the cache cannot be created.
func New(opts Options) (*Sidecar, error) {
	if opts.Name == "" || opts.Service == "" {
		return nil, trace.BadParameter("sidecar options: the names of the target and the service are required")
	}
	if opts.Config == nil || opts.Target == nil {
		return nil, trace.BadParameter("sidecar options of target %v: a configuration and a target are required", opts.Name)
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

// Handler returns the HTTP handler of SidecarService.
func (s *Sidecar) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(egretv1connect.NewSidecarServiceHandler(s, peer.HandlerOptions()))
	return mux
}

// Run probes the target and applies configuration changes until ctx ends.
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

// applyConfig applies the configuration in force to the gate and the ledger. The gate comes first: a request that it
// refuses did not run, even if the ledger still has the old homes.
func (s *Sidecar) applyConfig() {
	w := s.opts.Config.Current()
	if w == nil {
		return
	}
	s.gate.setDeclaredLimits(s.serviceConfig())
	s.gate.setLeaving(!s.acceptsNewWork())
	s.ledger.applyConfig(w, s.opts.Service, time.Now())
}

// Shutdown performs a planned stop. Entry gateways are told at once over their Watch streams. Requests that they sent
// before are still accepted at first and refused later; unlike a closed connection, a refusal proves that the request
// did not run. Requests in flight finish, unless ctx ends first. Then the Watch streams end, so that the server that
// carries them can be shut down. It returns an error if ctx ends while requests are in flight.
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
		return trace.Wrap(err, "waiting for requests in flight at target %v", s.opts.Name)
	}
	s.handOverLedger(ctx)
	return nil
}

// endWatches ends all Watch streams. It may be called more than once.
func (s *Sidecar) endWatches() { s.stoppedOnce.Do(func() { close(s.stopped) }) }

// serviceConfig returns the configuration of the sidecar's service, or an empty one if the service is not configured
// or no configuration has been received yet.
func (s *Sidecar) serviceConfig() *world.Service {
	w := s.opts.Config.Current()
	if w == nil || w.Services[s.opts.Service] == nil {
		return &world.Service{Name: s.opts.Service}
	}
	return w.Services[s.opts.Service]
}

// acceptsNewWork reports whether the configuration and the sidecar's own state allow new requests.
func (s *Sidecar) acceptsNewWork() bool {
	if s.swappingWeights.Load() {
		return false
	}
	g := membership.Gate{World: s.opts.Config.Current(), Target: s.opts.Name, Stopping: s.refusing.Load()}
	return g.Check() == membership.CauseNone
}

// checkOpen returns the refusal of a request that must not run here, or nil. It is called before anything is queued.
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

// Limits on the age of a first attempt.
const (
	maxTransit = 2 * time.Second        // from the entry gateway to the sidecar
	maxSkew    = 500 * time.Millisecond // difference between the clocks of two instances
)

// isLate reports whether a first attempt was delayed in transit for longer than the limits allow. A request that was
// sent before the entry gateway learned that this target is out of service must not run long afterwards: the entry
// gateway has given up by then or has sent a second attempt.
func isLate(open *egretv1.Open, now time.Time) bool {
	if open.Attempt != 1 || open.ReadUnixMicros == 0 {
		return false
	}
	return now.Sub(time.UnixMicro(open.ReadUnixMicros)) > maxTransit+maxSkew
}

// refused returns a refusal; detail is sent to the entry gateway.
func refused(cause egretv1.RefusalCause, detail string) *egretv1.Refused {
	return &egretv1.Refused{Cause: cause, Detail: detail}
}

// observeRevision processes the revision that a peer sent, if any.
func (s *Sidecar) observeRevision(stamp *egretv1.RevisionStamp, peer string) {
	if stamp != nil {
		s.opts.Config.Observe(stamp, peer)
	}
}

func (s *Sidecar) revisionStamp() *egretv1.RevisionStamp { return s.opts.Config.Stamp() }

// Load returns the load of the target, which is piggybacked on responses. Every call increases its sequence number.
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

// loadAfterRun returns the load that is piggybacked on the end of a response. It does not count the request that ends,
// since that is released right after. An entry gateway that counted it would consider a cold target full until the next
// report.
func (s *Sidecar) loadAfterRun() *egretv1.Load {
	l := s.Load()
	l.InFlight = max(l.InFlight, 1) - 1
	return l
}

// Ping returns the configuration revision that the ledger acts on.
func (s *Sidecar) Ping(context.Context, *connect.Request[egretv1.PingRequest]) (*connect.Response[egretv1.PingResponse], error) {
	return connect.NewResponse(&egretv1.PingResponse{Revision: s.ledger.currentRevision()}), nil
}

// Watch streams the target's state with the requested period, but at least minWatchPeriod, and also at every change
// that should be known at once.
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
			sender.OmitUnchanged(m)
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

// minWatchPeriod is the shortest period of regular messages on a Watch stream.
const minWatchPeriod = 100 * time.Millisecond

// targetState returns the state of the target. The summary of its cache is included only if its generation differs from
// *sentGeneration, which is then updated.
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
