// Package distribution brings an accepted configuration to every process. A few entries of each region wait at the
// key-value service; from there revisions spread between peers over their ConfigService, as steps against the
// revision that the peer holds. A revision is put in force only if its lineage reaches the one in force.
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

// errNeedManifest says that an update holds no content that leads to its revision.
var errNeedManifest = errors.New("update without usable content")

// maxExchanges bounds the exchanges that a process has under way as the caller.
const maxExchanges = 16

// Options of a Distributor.
type Options struct {
	Self    plan.Peer
	Plan    plan.Options
	Tracker *revision.Tracker // nil starts without a revision
	KV      platform.KV
	// Entries returns the entry instances as last listed, and a number that changes with the list. Nil knows
	// none. Sidecars are taken from the configuration.
	Entries   func() ([]plan.Peer, uint64)
	Bootstrap []string // addresses asked before there is a configuration
	Client    connect.HTTPClient
	Scheme    string // "http" or "https"
	Rand      *rand.Rand
	Metrics   tally.Scope // nil counts nothing
}

// Status tells what a process knows of its own revision.
type Status struct {
	Revision     world.Revision
	Confirmed    bool          // the key-value service named it current not long ago
	ConfirmedAge time.Duration // since then; meaningless if it never did
	Watching     bool
	HeadRefused  bool // the key-value service names a revision that doesn't descend from the one in force
}

// Distributor holds the configuration of a process and spreads it. Its methods are safe for concurrent use.
type Distributor struct {
	opts             Options
	state            *state
	metrics          metrics
	exchangeSlots    chan struct{}
	running          sync.WaitGroup // exchanges under way
	acceptSignal     chan struct{}  // signalled when a revision was accepted
	exchangeRequests chan string    // addresses to exchange with
	headRefused      atomic.Bool    // the head at the key-value service doesn't descend from the revision in force

	mu           sync.Mutex // guards planner, its random source and what it was told
	planner      *plan.Planner
	plannerPeers struct {
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

// New returns a Distributor; Run makes it work.
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

// Current returns the configuration in force, or nil before the first.
func (d *Distributor) Current() *world.World {
	if cur := d.state.current.Load(); cur != nil {
		return cur.world
	}
	return nil
}

// Stamp returns the revision in force for requests and answers.
func (d *Distributor) Stamp() *egretv1.RevisionStamp { return configkv.Stamp(d.state.revision()) }

// Status returns what the process knows of its revision. A process whose revision isn't confirmed keeps serving.
func (d *Distributor) Status() Status {
	age, known := d.state.confirmedAge(time.Now())
	d.mu.Lock()
	defer d.mu.Unlock()
	return Status{
		Revision: d.state.revision(), ConfirmedAge: age, Watching: d.planner.IsWatcher(), HeadRefused: d.headRefused.Load(),
		Confirmed: known && age < d.planner.Options().UnconfirmedAfter,
	}
}

// Subscribe returns a channel that is signalled after each accepted revision, and a function that ends it.
// Signals are joined: read Current after each.
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

// Observe takes note of the stamp that the peer at address put on a request, an answer or a report. It doesn't
// block; with equal revisions, the usual case, it takes no lock.
func (d *Distributor) Observe(stamp *egretv1.RevisionStamp, address string) {
	own := d.state.revision()
	if stamp == nil || address == "" || string(stamp.Digest) == string(own.Digest[:]) {
		return
	}
	if d.shouldExchange(stamp.Number, own.Number, address) {
		select {
		case d.exchangeRequests <- address:
		default: // enough is under way; a later stamp asks again
		}
	}
}

func (d *Distributor) shouldExchange(theirs, ours uint64, address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if theirs < ours {
		return d.planner.ShouldPush(time.Now(), address)
	}
	return d.planner.ShouldPull(time.Now(), address)
}

// Run spreads configurations until ctx ends, and returns when its exchanges have ended.
func (d *Distributor) Run(ctx context.Context) error {
	// Before it knows its peers, every entry would take itself for a watcher.
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

// take offers an update to the state and tells subscribers and partners if it was accepted.
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

func (d *Distributor) notifySubscribers() {
	notify(d.acceptSignal)
	d.subs.Lock()
	defer d.subs.Unlock()
	for _, c := range d.subs.channels {
		notify(c)
	}
}

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// refreshPeers hands the planner the peers if they have changed.
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

// sidecars lists the sidecars of a configuration. Those of drained targets still take part.
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
