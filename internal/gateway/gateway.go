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
	"github.com/egrethoist/egrethoist/internal/httpserver"
	"github.com/egrethoist/egrethoist/internal/kvcache/holders"
	"github.com/egrethoist/egrethoist/internal/quarantine"
	"github.com/egrethoist/egrethoist/internal/routing"
)

// Options configure a Gateway.
type Options struct {
	State    *State
	Protocol Protocol
	Metrics  tally.Scope
	Cache    PromptCache
	// MemoryBytes is the memory of the instance, by which the data held for callers is bounded; zero: not bounded.
	MemoryBytes int64
}

// PromptCache decides from where targets fetch cached parts of prompts and to which KV-cache stores they save them.
type PromptCache interface {
	// FetchSources returns the address of the store to fetch each part from, empty for none. draw is a random number, uniform in
	// [0, 1), that decides whether a fetch from a throttled store is allowed. What it returns holds at now only: a fetch needs a deadline
	// that was computed before.
	FetchSources(scope CacheScope, parts []Part, draw float64, now time.Time) []string
	// FetchDeadline returns the time after d in milliseconds on the targets' clock, zero if that clock is unknown.
	FetchDeadline(d time.Duration) int64
	// RecordFetch records by how much a fetch from the store delayed the first token of its request, and the delay that is tolerated.
	RecordFetch(store string, delay, tolerance time.Duration, now time.Time)
	// SaveDestinations returns the address of the store to save each part to, empty for none.
	SaveDestinations(scope CacheScope, parts []Part, now time.Time) []string
	// Holders returns the targets that hold the last part in memory, each with the number of leading prompt tokens that it holds.
	Holders(scope CacheScope, parts []Part) []holders.Holding
}

// Gateway is an http.Handler that forwards callers' requests to targets.
type Gateway struct {
	opts    Options
	router  *routing.Router
	metrics metrics
	memory  *memoryService
	stop    plannedStop
}

// New returns a gateway with the given options.
func New(o Options) *Gateway {
	scorer := routing.NewTimeScorer(routing.ScorerOptions{StallTolerance: stallTolerance, WholeAnswer: true})
	filters := append(routing.Filters{routing.RegionFilter{}}, routing.DefaultFilters()...)
	return &Gateway{
		opts:    o,
		router:  routing.New(routing.Options{Scorer: scorer, Filters: filters}),
		metrics: newMetrics(o.Metrics),
		memory:  newMemoryService(o.MemoryBytes, o.Metrics),
	}
}

const (
	// stallTolerance is how long a busy target may send nothing before further silence is added to its estimated latency: several
	// decoding steps of an engine.
	stallTolerance = 150 * time.Millisecond
	// retryAfterNotReady is the Retry-After of an instance that has no configuration yet, or none for the request's service.
	retryAfterNotReady = 300 * time.Millisecond
)

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	rq := &request{
		gateway: g, answer: callerAnswer{writer: w, request: r, endsByClose: !r.ProtoAtLeast(1, 1)}, incoming: r, arrived: time.Now(), view: g.opts.State.freshView(r.Context()),
		rng: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	defer rq.log()
	rq.handle()
	rq.answer.close()
}

// request is the state of one caller's request. A request may take many seconds, so it switches to the newest view before each
// attempt.
type request struct {
	gateway  *Gateway
	answer   callerAnswer
	incoming *http.Request
	arrived  time.Time
	view     *view // the newest one as of the last refreshView
	rng      *rand.Rand

	call      Call
	route     *catalog.Route
	workspace *catalog.Workspace
	service   *service
	body      []byte
	memory    memoryLease
	deadline  time.Time // for the complete answer
	ctx       context.Context

	urgency     int           // rank among the requests of the service, 0 is the most urgent
	prefix      *prefixLookup // nil for plain services
	partKeys    []quarantine.Part
	identity    *requestIdentity  // nil until the body was read
	probed      bool              // targets were probed for their load
	probe       []quarantine.Part // suspected parts that this request probes, nil if none
	probeHolder uint64            // holder of the claim on probe
	probeSent   bool              // an attempt probed suspected parts
	fetchedFrom string            // address of the store that the last shared part was fetched from, empty for none
	forecast    *forecastLog      // nil if none was made
	share       *shareLog         // share of the workspace; nil if none was computed
	cacheSource string            // planned source of the cached parts, for the log
	attempts    []attempt
	// lastResort is set if the last chosen target has announced that it leaves, and no other could serve.
	lastResort  bool
	grantedAt   time.Time     // boot time at which the last chosen target's grant was asked for; zero if the target has no rate limit
	grantPlace  grantPlace    // place among the requests that wait for grants
	failure     *failedAnswer // failed answer of the last target, while another one is tried
	targetBegan atomic.Bool   // the target of the last attempt has sent a complete event
	pinned      string        // software version at which the request must run; empty: any
	pinSource   streamSource  // how pinned is known, for a request that resumes a stream
	// pinnedService is the service that began the stream which the request resumes, if the configuration would choose another one.
	pinnedService string
	rollout       requestRollout
	record        *streamRecord // record that the stream waits for; nil if none
	selfAnswered  bool          // the answer is the gateway's own
	outcome       string        // outcomeAnswered if the caller has received a complete answer of a target, otherwise why not
}

// handle serves the request from its arrival to its end.
func (rq *request) handle() {
	if rq.view == nil {
		rq.refuse("no configuration known", retryAfterNotReady)
		return
	}
	if rq.gateway.stop.refuses() {
		rq.refuseStopping()
		return
	}
	defer rq.memory.release()
	if !rq.admit() || !rq.reserveMemory() || !rq.readBody() {
		return
	}
	ctx, cancel := context.WithDeadline(rq.incoming.Context(), rq.deadline)
	defer cancel()
	rq.ctx, rq.identity = ctx, rq.newIdentity()
	defer rq.endProbe()
	defer rq.leaveGrantQueue()
	rq.tryTargets()
}

// readBody reads the complete body, so that it can be sent again by a retry. If it can't, it answers the caller and returns false.
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
		reader = rq.answer.limitBody(r.Body, limit)
	}
	var err error
	if r.ContentLength > 0 {
		rq.body = make([]byte, r.ContentLength)
		_, err = io.ReadFull(reader, rq.body)
	} else {
		complete := false
		rq.body, complete, err = rq.memory.readAll(reader, -1, maxUnknownBody, bodyCopies, rq.memory.grow)
		if err == nil && !complete {
			rq.refuseForMemory()
			return false
		}
	}
	if err == nil {
		return true
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		rq.fail(http.StatusRequestEntityTooLarge, "body too large")
	case errors.Is(err, httpserver.ErrStopping):
		rq.refuseStopping()
	default:
		rq.fail(http.StatusBadRequest, "body broken off")
	}
	return false
}

// log records the request in the metrics and writes its log line.
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
	if !rq.selfAnswered && !rq.answer.headAt.IsZero() {
		first = rq.answer.headAt.Sub(rq.arrived)
	}
	complete := rq.answer.state == answerEnded
	if rq.outcome == outcomeAnswered && !complete {
		rq.outcome = rq.leaveReason()
	}
	rq.gateway.metrics.recordRequest(rq.outcome, rq.answer.status, complete, took, first)
	revision := uint64(0)
	if rq.view != nil {
		revision = rq.view.revision
	}
	klog.InfoS("request", "id", rq.call.ID, "route", route, "workspace", workspace, "outcome", rq.outcome, "status", rq.answer.status, "answer", rq.answer.state.String(), "events", rq.answer.events,
		"took", took, "first", first, "cache", rq.cacheSource, "forecast", rq.forecast, "share", rq.share, "tries", describeAttempts(rq.attempts, rq.arrived), "parts", rq.describePrompt(), "identity", rq.describeIdentity(), "revision", revision,
		"resumes", rq.call.Resumes, "after", rq.call.LastEventID, "software", rq.pinned, "known_from", rq.pinSource)
}
