// Package entry implements the entry gateway between callers and sidecars. It authenticates callers by API key, picks a
// target for each request, sends it there, retries where that is safe, and streams the response to the caller. It has no
// durable state: everything in its memory can be lost at any time.
package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/labstack/echo/v4"
	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	egretv1 "github.com/egrethoist/egrethoist/gen/egret/v1"
	"github.com/egrethoist/egrethoist/internal/buffering"
	"github.com/egrethoist/egrethoist/internal/drain"
	"github.com/egrethoist/egrethoist/internal/httpserver"
	"github.com/egrethoist/egrethoist/internal/inflight"
	"github.com/egrethoist/egrethoist/internal/limit"
	"github.com/egrethoist/egrethoist/internal/peer"
	"github.com/egrethoist/egrethoist/internal/retry"
	"github.com/egrethoist/egrethoist/internal/routing"
	"github.com/egrethoist/egrethoist/internal/world"
)

// Config provides the current configuration.
type Config interface {
	// Current returns the current configuration, or nil if none has been received yet.
	Current() *world.World
	// Stamp returns the revision of the current configuration.
	Stamp() *egretv1.RevisionStamp
	// Observe processes the revision that a peer attached to one of its messages.
	Observe(stamp *egretv1.RevisionStamp, peer string)
	// Changed returns a channel that is closed when the configuration next changes.
	Changed() <-chan struct{}
}

// Options configures an Entry. Name and Config are required.
type Options struct {
	Name           string
	FailureDomain  string
	Region         string
	Config         Config
	Dial           peer.DialFunc // nil dials TCP
	ClientTLS      peer.TLSFunc  // nil disables TLS
	Metrics        tally.Scope   // nil discards
	MetricsHandler http.Handler  // serves /metrics; nil disables the page
	Burn           BurnRecorder  // records outcomes against service level objectives; nil discards
	Seed           uint64        // seed of routing and backoff; zero selects a random seed
	// Instances returns the platform's instance list. If it is nil, the entry connects to every target.
	Instances func() Instances
}

// Entry is an entry gateway. It is safe for concurrent use.
type Entry struct {
	opts        Options
	echo        *echo.Echo
	pool        *pool
	views       *viewBuilder
	onDemand    *onDemandTargets
	watchOpts   *watchOptions
	router      *routing.Router
	fallback    *routing.Router // picks a sidecar to queue at when targets are at capacity; a sidecar can queue fairly, an entry cannot
	retryPolicy *retry.Policy
	buffer      *buffering.Buffer
	metrics     *metrics
	stopping    atomic.Bool // reported to the load balancer as not ready
	refusing    atomic.Bool // new requests are refused
	inFlight    inflight.Counter
	rngs        sync.Pool // of *rand.Rand; a pool avoids lock contention between requests
}

// New returns an entry that refuses requests until the first configuration is available. It returns a bad parameter error if
// Name or Config is missing.
func New(opts Options) (*Entry, error) {
	if opts.Name == "" {
		return nil, trace.BadParameter("entry needs a name")
	}
	if opts.Config == nil {
		return nil, trace.BadParameter("entry %v needs a configuration", opts.Name)
	}
	if opts.Metrics == nil {
		opts.Metrics = tally.NoopScope
	}
	if opts.Seed == 0 {
		opts.Seed = rand.Uint64()
	}
	e := &Entry{opts: opts, echo: echo.New(), metrics: newMetrics(opts.Metrics)}
	e.pool = newPool(&e.opts)
	e.views = newViewBuilder(&e.opts, e.pool)
	e.onDemand = newOnDemandTargets()
	e.watchOpts = &watchOptions{
		entry:            opts.Name,
		revision:         opts.Config.Stamp,
		observeRevision:  e.observeRevision,
		conditionChanged: e.views.markDirty,
		streamCount:      e.pool.size,
		monitor:          newConnMonitor(),
	}
	e.router = routing.New(routing.Options{})
	e.fallback = routing.New(routing.Options{Filters: routing.QueueFilters()})
	e.buffer = buffering.New(buffering.Options{})
	e.retryPolicy = retry.NewPolicy(retry.Options{})
	var pcgStream atomic.Uint64
	e.rngs.New = func() any { return rand.New(rand.NewPCG(opts.Seed, pcgStream.Add(1))) }
	e.echo.HideBanner = true
	e.registerRoutes(e.echo)
	return e, nil
}

// Handler returns the HTTP handler for callers.
func (e *Entry) Handler() http.Handler { return e.echo }

// reconcilePeriod is the period at which connections are matched with the instance list and with the targets that are alive.
const reconcilePeriod = 2 * time.Second

// Run follows the configuration and maintains the connections to sidecars until ctx ends. It always returns nil.
func (e *Entry) Run(ctx context.Context) error {
	defer e.pool.close()
	var loops sync.WaitGroup
	loops.Go(func() { e.views.run(ctx) })
	loops.Go(func() { e.watchOpts.monitor.run(ctx, e.watchOpts) })
	defer loops.Wait()
	tick := time.NewTicker(reconcilePeriod)
	defer tick.Stop()
	for {
		changed := e.opts.Config.Changed()
		e.reconcile(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-tick.C:
		case <-e.onDemand.added:
		}
	}
}

// Shutdown drains the entry. It first reports not ready but continues to serve until the arrival of requests shows that the
// load balancer has reacted. Then it refuses new requests and waits for those in flight. Meanwhile every response closes its
// connection. It returns an error if ctx ends first. The HTTP server can be shut down afterwards.
func (e *Entry) Shutdown(ctx context.Context) error {
	err := e.inFlight.Drain(ctx, drain.EntryOptions(), func(p drain.Phase) {
		e.stopping.Store(!p.Ready())
		e.refusing.Store(!p.Accepts())
		klog.InfoS("planned stop", "entry", e.opts.Name, "phase", p.String())
	})
	return trace.Wrap(err, "waiting for requests at entry %v", e.opts.Name)
}

// closeWhenStopping is a middleware that closes connections during shutdown, so that callers reconnect to another entry. It does not while
// further requests of the connection have come, which would be lost; their answers close it.
func (e *Entry) closeWhenStopping(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		c.Response().Before(func() {
			if e.stopping.Load() && httpserver.IsLast(c.Request()) {
				c.Response().Header().Set("Connection", "close")
			}
		})
		return next(c)
	}
}

// serve handles one request. If it cannot deliver the complete response, it writes an error with the known outcome.
func (e *Entry) serve(ctx context.Context, req *Request, out sink) {
	e.inFlight.Start()
	defer e.inFlight.Done()
	start := time.Now()
	callerCtx := ctx
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	rng := e.rngs.Get().(*rand.Rand)
	defer e.rngs.Put(rng)
	fail := e.admitAndDispatch(ctx, req, out, rng)
	elapsed := time.Since(start)
	if fail != nil && callerGone(callerCtx, fail) && req.answer.complete() {
		fail = nil
	}
	e.metrics.recordRequest(req, fail, elapsed)
	e.recordOutcome(callerCtx, req, fail, start, elapsed)
	if fail != nil {
		out.fail(fail)
	}
}

// admitAndDispatch dispatches a request after acquiring a lease from the limits of its workspace.
func (e *Entry) admitAndDispatch(ctx context.Context, req *Request, out sink, rng *rand.Rand) *Error {
	if e.refusing.Load() {
		return e.refuse(req, CodeStopping, "instance is stopping; another one serves", time.Second)
	}
	v := e.views.current()
	if v == nil {
		return e.refuse(req, CodeNotReady, "no configuration yet", time.Second)
	}
	d := v.limits.Acquire(req.Workspace.Name, time.Now())
	if d.Refusal != limit.RefusalNone {
		return e.refuse(req, CodeWorkspaceLimit, "workspace is over its own limit", d.RetryAfter)
	}
	defer d.Lease.Release()
	return newDispatch(e, v, req, out, rng).run(ctx)
}

// refuse returns the error for a request that is refused before any attempt. With an idempotency key the outcome is unknown,
// because an earlier request with the same key may have run.
func (e *Entry) refuse(req *Request, code Code, message string, retryAfter time.Duration) *Error {
	fail := notRun(code, "admit", e.opts.Name, message)
	fail.RetryAfter = retryAfter
	if req.IdempotencyKey != "" {
		fail.Outcome = OutcomeUnknown
	}
	return fail
}

// allowed reports whether a workspace may use a service. An empty list of allowed services allows all.
func allowed(ws *world.Workspace, service string) bool {
	return len(ws.AllowedServices) == 0 || slices.Contains(ws.AllowedServices, service)
}

// Stopping reports whether Shutdown has begun.
func (e *Entry) Stopping() bool { return e.stopping.Load() }
