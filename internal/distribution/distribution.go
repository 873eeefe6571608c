// Package distribution propagates configuration revisions to every process. A few entries (gateway processes) of each
// region watch the key-value service. Peers then exchange revisions by push and anti-entropy over their ConfigService,
// preferably as deltas against the revision that the receiver has. A process applies a revision only if the
// revision's lineage contains the one in force.
package distribution

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"
	"k8s.io/klog/v2"

	egretv1 "github.com/egrethoist/egrethoist/gen/egret/v1"
	"github.com/egrethoist/egrethoist/internal/configkv"
	"github.com/egrethoist/egrethoist/internal/distribution/plan"
	"github.com/egrethoist/egrethoist/internal/platform"
	"github.com/egrethoist/egrethoist/internal/revision"
	"github.com/egrethoist/egrethoist/internal/world"
)

// errNeedManifest reports that an update has neither a manifest nor deltas that apply to the current revision.
var errNeedManifest = errors.New("update contains neither a manifest nor applicable deltas")

// maxExchanges bounds the concurrent exchanges that a process initiates.
const maxExchanges = 16

// Options configures a Distributor.
type Options struct {
	Self    plan.Peer
	Plan    plan.Options
	Tracker *revision.Tracker // nil: starts without a revision
	KV      platform.KV
	// Entries returns the entries of the last instance list and a version that changes with the list; version zero
	// means that the list has not been read yet. With a nil function no entries are known. Sidecars come from the
	// configuration.
	Entries   func() ([]plan.Peer, uint64)
	Bootstrap []string // IP:port of peers that provide the first configuration
	Client    connect.HTTPClient
	Scheme    string // "http" or "https"
	Rand      *rand.Rand
	Metrics   tally.Scope // nil: no metrics
}

// Status describes the revision in force and whether it is known to be current.
type Status struct {
	Revision     world.Revision
	Confirmed    bool          // the key-value service reported it as current within plan.Options.UnconfirmedAfter
	ConfirmedAge time.Duration // time since that report; undefined if there was none
	Watching     bool          // this process watches the key-value service
	HeadRefused  bool          // the head at the key-value service doesn't descend from the revision in force
}

// Distributor holds the configuration of a process and exchanges it with peers. Its methods are safe for concurrent
// use.
type Distributor struct {
	opts             Options
	state            *state
	metrics          metrics
	exchangeSlots    chan struct{}
	running          sync.WaitGroup // exchanges in flight
	acceptSignal     chan struct{}  // signalled after each accepted revision
	exchangeRequests chan string    // addresses of peers whose stamps call for an exchange
	headRefused      atomic.Bool    // see Status.HeadRefused

	mu           sync.Mutex // guards planner, plannerPeers and opts.Rand
	planner      *plan.Planner
	plannerPeers struct { // the configuration and the instance list that the planner's peers come from
		world          *world.World
		entriesVersion uint64
	}

	subs struct {
		sync.Mutex
		nextID   int
		channels map[int]chan struct{}
	}
}

type metrics struct {
	accepted, kept, conflicts, failures, exchanges, fullSent, deltasSent, kvReads, kvReadErrors tally.Counter
}

// New returns a Distributor. Exchanges start with Run.
func New(opts Options) *Distributor {
	if opts.Metrics == nil {
		opts.Metrics = tally.NoopScope
	}
	if opts.Scheme == "" {
		opts.Scheme = "http"
	}
	if opts.Rand == nil {
		opts.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	m := opts.Metrics.SubScope("config")
	d := &Distributor{
		opts: opts, state: newState(opts.Tracker), planner: plan.New(opts.Self, opts.Plan),
		exchangeSlots: make(chan struct{}, maxExchanges), acceptSignal: make(chan struct{}, 1), exchangeRequests: make(chan string, maxExchanges),
		metrics: metrics{
			accepted: m.Counter("accepted"), kept: m.Counter("kept"), conflicts: m.Counter("conflicts"),
			failures: m.Counter("exchange_failures"), exchanges: m.Counter("exchanges"),
			fullSent: m.Counter("full_sent"), deltasSent: m.Counter("deltas_sent"),
			kvReads: m.Counter("kv_reads"), kvReadErrors: m.Counter("kv_read_errors"),
		},
	}
	d.subs.channels = map[int]chan struct{}{}
	return d
}

// Current returns the configuration in force, or nil if there is none yet.
func (d *Distributor) Current() *world.World {
	if cur := d.state.current.Load(); cur != nil {
		return cur.world
	}
	return nil
}

// Stamp returns the revision in force in the form that requests and responses carry.
func (d *Distributor) Stamp() *egretv1.RevisionStamp { return configkv.Stamp(d.state.revision()) }

// Status returns the revision in force and its confirmation state. A process keeps serving while its revision is
// unconfirmed.
func (d *Distributor) Status() Status {
	age, known := d.state.confirmedAge(time.Now())
	d.mu.Lock()
	defer d.mu.Unlock()
	return Status{
		Revision: d.state.revision(), ConfirmedAge: age, Watching: d.planner.IsWatcher(), HeadRefused: d.headRefused.Load(),
		Confirmed: known && age < d.planner.Options().UnconfirmedAfter,
	}
}

// Subscribe returns a channel that is signalled after each accepted revision, and a function that cancels the
// subscription. Signals are coalesced: read Current after each.
func (d *Distributor) Subscribe() (<-chan struct{}, func()) {
	d.subs.Lock()
	defer d.subs.Unlock()
	id := d.subs.nextID
	d.subs.nextID++
	c := make(chan struct{}, 1)
	d.subs.channels[id] = c
	return c, func() {
		d.subs.Lock()
		defer d.subs.Unlock()
		delete(d.subs.channels, id)
	}
}

// Observe processes the stamp that the peer at address put on a request, a response or a report, and schedules an
// exchange if the revisions differ. It doesn't block. If the revisions are equal, the common case, it takes no lock.
func (d *Distributor) Observe(stamp *egretv1.RevisionStamp, address string) {
	own := d.state.revision()
	if stamp == nil || address == "" || string(stamp.Digest) == string(own.Digest[:]) {
		return
	}
	if d.shouldExchange(stamp.Number, own.Number, address) {
		select {
		case d.exchangeRequests <- address:
		default: // the queue is full; a later stamp tries again
		}
	}
}

// shouldExchange reports whether to exchange now with the peer at address, whose revision number is theirs.
func (d *Distributor) shouldExchange(theirs, ours uint64, address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if theirs < ours {
		return d.planner.ShouldPush(time.Now(), address)
	}
	return d.planner.ShouldPull(time.Now(), address)
}

// Run exchanges revisions with peers, and on entries follows the key-value service, until ctx ends. It returns after
// the exchanges in flight have ended.
func (d *Distributor) Run(ctx context.Context) error {
	// Without peers, every entry would consider itself a watcher.
	d.refreshPeers()
	defer d.running.Wait()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return d.loadInitial(ctx) })
	g.Go(func() error { return d.runExchanges(ctx) })
	if d.opts.KV != nil && d.opts.Self.Role == plan.RoleEntry {
		g.Go(func() error { return d.runWatch(ctx) })
	}
	return g.Wait()
}

// applyUpdate applies an update and, if it was accepted, notifies subscribers and triggers a push to peers.
func (d *Distributor) applyUpdate(u update) (revision.Verdict, error) {
	v, err := d.state.apply(time.Now(), u)
	switch v {
	case revision.Accept:
		d.metrics.accepted.Inc(1)
		klog.InfoS("configuration accepted", "revision", u.lineage.Revision.Number, "name", d.opts.Self.Name)
		d.notifySubscribers()
	case revision.Conflict:
		d.metrics.conflicts.Inc(1)
	default:
		d.metrics.kept.Inc(1)
	}
	return v, err
}

// notifySubscribers signals the push loop and all subscribers.
func (d *Distributor) notifySubscribers() {
	notify(d.acceptSignal)
	d.subs.Lock()
	defer d.subs.Unlock()
	for _, c := range d.subs.channels {
		notify(c)
	}
}

// notify sends a signal unless one is pending.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// refreshPeers updates the planner's peers if the configuration or the instance list has changed.
func (d *Distributor) refreshPeers() {
	var entries []plan.Peer
	var version uint64
	if d.opts.Entries != nil {
		entries, version = d.opts.Entries()
	}
	w := d.Current()
	d.mu.Lock()
	defer d.mu.Unlock()
	if w == d.plannerPeers.world && version == d.plannerPeers.entriesVersion {
		return
	}
	d.plannerPeers.world, d.plannerPeers.entriesVersion = w, version
	d.planner.SetPeers(append(append([]plan.Peer(nil), entries...), sidecarPeers(w)...))
}

// sidecarPeers lists the sidecars of a configuration, including those of drained targets.
func sidecarPeers(w *world.World) []plan.Peer {
	if w == nil {
		return nil
	}
	list := make([]plan.Peer, 0, len(w.Targets))
	for _, t := range w.Targets {
		p := plan.Peer{Name: t.Name, Address: t.Sidecar, Role: plan.RoleSidecar}
		if f := w.FailureDomains[t.FailureDomain]; f != nil {
			p.Region = f.Region
		}
		list = append(list, p)
	}
	return list
}
