// Package engine is a small fake model engine for tests and trials. It speaks the HTTP interface of
// internal/engine/wire, batches continuously, keeps a bounded prefix cache, is cold after a start, and fails on
// demand. It writes down every execution, so that a test can judge the system without trusting it.
//
// All time goes through package time, so that testing/synctest drives it.
package engine

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/egrethoist/egrethoist/internal/engine"
)

// Cold describes how a freshly started engine behaves.
type Cold struct {
	InFlight int     // requests in flight that it bears at first; each completed request adds one
	Requests int     // completed requests after which it is warm
	Slowdown float64 // factor on its step time while cold
	Crash    bool    // an overload crashes it instead of answering 503
}

// Options of a fake engine. Zero fields take the defaults of New.
type Options struct {
	Name          string
	Version       string // loaded at start
	MaxVersions   int    // weight versions held at once
	MaxBatch      int    // requests that run at once; more wait
	PrefillPerSec float64
	PrefillChunk  int           // prompt tokens computed in one step, shared among prefills
	DecodeStep    time.Duration // time of a step that decodes one stream
	DecodeStream  time.Duration // added to a step by each further stream
	BlockTokens   int
	BlockBytes    int
	CacheBlocks   int // capacity of the prefix cache
	Cold          Cold
	CancelGrace   time.Duration // a cancelled request may count as in flight this long
	LoadTime      time.Duration // of one weight version, loaded alone
	Loaders       *Loaders      // shared with the other engines of the service
	ChecksFence   bool          // refuses an order with an old fencing number
	ReportLag     time.Duration // age that a load report may reach
	// BlockIDs returns the chained identities of the whole blocks of a prompt.
	BlockIDs func(version, salt string, prompt []byte) []string
}

func (o *Options) setDefaults() {
	o.Name = cmp.Or(o.Name, "engine")
	o.Version = cmp.Or(o.Version, "v1")
	o.MaxVersions = cmp.Or(o.MaxVersions, 2)
	o.MaxBatch = cmp.Or(o.MaxBatch, 16)
	o.PrefillPerSec = cmp.Or(o.PrefillPerSec, 8000)
	o.PrefillChunk = cmp.Or(o.PrefillChunk, 512)
	o.DecodeStep = cmp.Or(o.DecodeStep, 10*time.Millisecond)
	o.DecodeStream = cmp.Or(o.DecodeStream, 500*time.Microsecond)
	o.BlockTokens = cmp.Or(o.BlockTokens, 1000)
	o.BlockBytes = cmp.Or(o.BlockBytes, 4096)
	o.CacheBlocks = cmp.Or(o.CacheBlocks, 64)
	o.Cold.InFlight = cmp.Or(o.Cold.InFlight, 2)
	o.Cold.Requests = cmp.Or(o.Cold.Requests, 8*o.Cold.InFlight)
	o.Cold.Slowdown = cmp.Or(o.Cold.Slowdown, 3)
	o.CancelGrace = cmp.Or(o.CancelGrace, 5*time.Millisecond)
	o.LoadTime = cmp.Or(o.LoadTime, time.Second)
	o.ReportLag = cmp.Or(o.ReportLag, 200*time.Millisecond)
	if o.Loaders == nil {
		o.Loaders = NewLoaders(1)
	}
	if o.BlockIDs == nil {
		tokens := o.BlockTokens
		o.BlockIDs = func(version, salt string, prompt []byte) []string {
			return chainDigests(version, salt, prompt, tokens)
		}
	}
}

// Outcome tells how an execution ended.
type Outcome string

// Outcomes of an execution.
const (
	OutcomeRunning   Outcome = "running"
	OutcomeCompleted Outcome = "completed"
	OutcomeCancelled Outcome = "cancelled" // the caller closed the connection
	OutcomeCrashed   Outcome = "crashed"
	OutcomeCut       Outcome = "cut" // by a fault
)

// Execution is the record of one call that reached the engine.
type Execution struct {
	RequestID    string
	Attempt      string
	Salt         string // cache salt of the workspace
	Version      string
	Priority     int
	ResumeFrom   int
	PromptTokens int
	CachedTokens int
	Computed     int // prompt tokens computed
	OutputTokens int
	Start        time.Time
	End          time.Time
	Outcome      Outcome
	Incarnation  string
}

// Overload is one request given to a cold engine beyond what it bears.
type Overload struct {
	RequestID string
	At        time.Time
	SinceCold time.Duration
	InFlight  int
	Bears     int
}

// OrderRecord is an order that the engine carried out.
type OrderRecord struct {
	engine.Order
	At    time.Time
	Stale bool // its fencing number was smaller than an earlier one
}

// Counts sums what a reader checks at the end of a test.
type Counts struct {
	BadImports int // blocks refused for their length or sum
	WrongBlock int // blocks taken in whose content is not that of their identity
	ForeignUse int // cached blocks of another salt or version met by a request
	Crashes    int
	PeakLoad   int // largest number of requests in flight
}

// Engine is a fake model engine; it is an http.Handler.
type Engine struct {
	opts Options
	mux  *http.ServeMux
	work sync.WaitGroup // steps and loads under way

	mu          sync.Mutex
	faults      Faults
	thaw        chan struct{} // closed when not frozen
	incarnation int
	down        bool
	coldSince   time.Time
	completed   int // since it turned cold
	cold        bool
	inFlight    int
	waiting     []*run
	running     []*run
	stepping    bool
	cache       *prefixCache
	imported    map[string]bool // imported blocks with wrong content
	versions    []string
	loading     int
	fence       uint64
	role        string
	report      engine.LoadReport
	reportAt    time.Time
	log         []*Execution
	overloads   []Overload
	orders      []OrderRecord
	counts      Counts
}

// New returns a running, cold engine.
func New(opts Options) *Engine {
	opts.setDefaults()
	e := &Engine{opts: opts, thaw: make(chan struct{}), role: "mixed"}
	close(e.thaw)
	e.mux = e.routes()
	e.mu.Lock()
	e.reset()
	e.mu.Unlock()
	return e
}

// Close cuts every run and waits until nothing of the engine is left running.
func (e *Engine) Close() {
	e.mu.Lock()
	e.down = true
	e.abortRuns()
	e.mu.Unlock()
	e.Unfreeze()
	e.work.Wait()
}

// reset starts a new incarnation with nothing cached and only the first version loaded.
func (e *Engine) reset() {
	e.incarnation++
	e.down = false
	e.versions = []string{e.opts.Version}
	e.fence = 0
	e.turnCold()
}

func (e *Engine) turnCold() {
	e.cold = true
	e.completed = 0
	e.coldSince = time.Now()
	e.cache = newPrefixCache(e.opts.CacheBlocks, e.opts.BlockTokens)
	e.imported = map[string]bool{}
	e.reportAt = time.Time{}
}

func (e *Engine) incarnationName() string { return fmt.Sprintf("%s-%d", e.opts.Name, e.incarnation) }

// bears returns the number of requests in flight that the engine stands, or -1 for no bound.
func (e *Engine) bears() int {
	if !e.cold {
		return -1
	}
	return e.opts.Cold.InFlight + e.completed
}

// Log returns a copy of the execution log in order of arrival.
func (e *Engine) Log() []Execution {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]Execution, len(e.log))
	for i, x := range e.log {
		out[i] = *x
	}
	return out
}

// Overloads returns every overload of the cold engine.
func (e *Engine) Overloads() []Overload {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.overloads)
}

// Orders returns the orders that were carried out.
func (e *Engine) Orders() []OrderRecord {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders)
}

// Counts returns the sums.
func (e *Engine) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts
}

// Cold reports whether the engine is still cold.
func (e *Engine) Cold() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cold
}

// Warm ends the cold phase at once.
func (e *Engine) Warm() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cold = false
}

// InFlight returns the number of requests in the engine.
func (e *Engine) InFlight() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.inFlight
}

// loadReport returns the engine's view of its load, at most ReportLag old.
func (e *Engine) loadReport() engine.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if !e.reportAt.IsZero() && now.Sub(e.reportAt) < e.opts.ReportLag {
		return e.report
	}
	slow := e.slowdown()
	step := e.opts.DecodeStep + time.Duration(len(e.running))*e.opts.DecodeStream
	e.reportAt = now
	e.report = engine.LoadReport{
		Incarnation:    e.incarnationName(),
		Running:        len(e.running),
		Waiting:        len(e.waiting),
		CacheBlocks:    e.cache.order.Len(),
		CacheCapacity:  e.opts.CacheBlocks,
		PrefillPerSec:  e.opts.PrefillPerSec / slow,
		DecodePerSec:   float64(time.Second) / (float64(step) * slow),
		Versions:       slices.Clone(e.versions),
		Loading:        e.loading > 0,
		Role:           e.role,
		ReportedAtUnix: now.UnixMilli(),
	}
	return e.report
}
