package gateway

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"github.com/egrethoist/egrethoist/internal/catalog"
	"github.com/egrethoist/egrethoist/internal/kvcache/holders"
	"github.com/egrethoist/egrethoist/internal/routing"
)

// Options configure a Gateway.
type Options struct {
	State    *State
	Protocol Protocol
	Metrics  tally.Scope
	Cache    PromptCache
}

// Kept decides which cached parts are fetched from and saved to kept-cache stores.
type PromptCache interface {
	// Held returns for each part the store to fetch it from, empty for none. draw is uniform in [0, 1).
	FetchSources(scope CacheScope, parts []Part, draw float64, now time.Time) []string
	// FetchEnd returns what the targets' clock shows after d, zero if it is unknown.
	FetchDeadline(d time.Duration) int64
	// Fetched takes in by how much a request that fetched from the store came later than others, and what is bearable.
	RecordFetch(store string, late, bearable time.Duration, now time.Time)
	// Save returns for each part the store to save it to, empty for none.
	SaveDestinations(scope CacheScope, parts []Part, now time.Time) []string
	// Holders returns the targets that hold the last part in memory, with their leading tokens.
	Holders(scope CacheScope, parts []Part) []holders.Holding
}

// Gateway carries callers' requests to targets. It is an http.Handler.
type Gateway struct {
	opts     Options
	router   *routing.Router
	metrics  metrics
	draining atomic.Bool
}

// New returns a gateway.
func New(o Options) *Gateway {
	scorer := routing.NewTimeScorer(routing.ScorerOptions{SilentAfter: silentAfter})
	filters := append(routing.Filters{routing.RegionFilter{}}, routing.DefaultFilters()...)
	return &Gateway{
		opts:    o,
		router:  routing.New(routing.Options{Scorer: scorer, Filters: filters}),
		metrics: newMetrics(o.Metrics),
	}
}

const (
	// silentAfter is how long a busy target may send nothing before each further moment counts against it: several
	// steps of an engine.
	silentAfter = 150 * time.Millisecond
	// retryUnready is when a caller may come back to an instance that does not know a configuration yet.
	retryAfterNotReady = 300 * time.Millisecond
)

// Drain makes every answer the last one of its connection.
func (g *Gateway) Drain() { g.draining.Store(true) }

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	rq := &request{
		gateway: g, writer: w, incoming: r, arrived: time.Now(), view: g.opts.State.freshView(r.Context()),
		rng: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	defer rq.log()
	rq.handle()
}

// request is one request of a caller on its way through the gateway. It may last for many seconds, so it looks at the newest
// view before each try.
type request struct {
	gateway  *Gateway
	writer   http.ResponseWriter
	incoming *http.Request
	arrived  time.Time
	view     *view // the newest one as of the last refresh
	rng      *rand.Rand

	call      Call
	route     *catalog.Route
	workspace *catalog.Workspace
	service   *service
	body      []byte
	deadline  time.Time // by which the caller must have a final answer
	ctx       context.Context

	urgency     int           // rank among the requests of the service, 0 is the most urgent
	prefix      *prefixLookup // nil for plain services
	fetchedFrom string        // store that the last shared part was fetched from, empty for none
	forecast    *forecast     // nil if none was made
	cacheSource string        // where cached parts were to come from, for the log
	attempts    []attempt
	// lastResort: the target of the last choice has said that it leaves, and no other could serve.
	lastResort  bool
	grantedAt   time.Time     // of the last choice, by the target's rate limit; zero if it had none
	limitWaited time.Duration // spent waiting for rate limits
	failure     *failedAnswer // of the last target, while another is tried
	answerBegun atomic.Bool   // the target of the last try has sent a whole event
	headSent    bool          // the head of the answer has gone to the caller
	lastEventID uint64        // of the stream, passed on to the caller
	firstByteAt time.Time
	status      int
	outcome     string
}

func (rq *request) handle() {
	if rq.view == nil {
		rq.refuse("no configuration known", retryAfterNotReady)
		return
	}
	if !rq.admit() || !rq.readBody() {
		return
	}
	ctx, cancel := context.WithDeadline(rq.incoming.Context(), rq.deadline)
	defer cancel()
	rq.ctx = ctx
	rq.tryTargets()
}

// readBody reads the caller's body whole, so that it can be sent again.
func (rq *request) readBody() bool {
	r := rq.incoming
	limit := rq.view.catalog.Limits.BodyBytes
	if limit > 0 && r.ContentLength > limit {
		rq.fail(http.StatusRequestEntityTooLarge, "body too large")
		return false
	}
	if r.ContentLength == 0 {
		return true
	}
	reader := r.Body
	if limit > 0 {
		reader = http.MaxBytesReader(rq.writer, r.Body, limit)
	}
	var err error
	if r.ContentLength > 0 {
		rq.body = make([]byte, r.ContentLength)
		_, err = io.ReadFull(reader, rq.body)
	} else {
		rq.body, err = io.ReadAll(reader)
	}
	if err == nil {
		return true
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		rq.fail(http.StatusRequestEntityTooLarge, "body too large")
	} else {
		rq.fail(http.StatusBadRequest, "body broken off")
	}
	return false
}

func (rq *request) remaining(now time.Time) time.Duration { return rq.deadline.Sub(now) }

// log writes the one line that every request gets.
func (rq *request) log() {
	route, workspace := "", ""
	if rq.route != nil {
		route = rq.route.Name
	}
	if rq.workspace != nil {
		workspace = rq.workspace.Name
	}
	took := time.Since(rq.arrived)
	first := time.Duration(0)
	if !rq.firstByteAt.IsZero() {
		first = rq.firstByteAt.Sub(rq.arrived)
	}
	rq.gateway.metrics.recordRequest(rq.outcome, rq.status, took, first)
	revision := uint64(0)
	if rq.view != nil {
		revision = rq.view.revision
	}
	klog.InfoS("request", "id", rq.call.ID, "route", route, "workspace", workspace, "outcome", rq.outcome, "status", rq.status,
		"took", took, "first", first, "cache", rq.cacheSource, "forecast", rq.forecast, "tries", describeAttempts(rq.attempts, rq.arrived), "revision", revision)
}
