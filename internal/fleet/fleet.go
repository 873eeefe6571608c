// Package fleet runs entries and sidecars with stand-ins for their targets in one process, for development,
// trials and tests. The processes talk over real HTTP, on loopback or over a network that the caller gives.
package fleet

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/uber-go/tally/v4"

	"github.com/egrethoist/egrethoist/internal/engine/httpengine"
	"github.com/egrethoist/egrethoist/internal/entry"
	fakeengine "github.com/egrethoist/egrethoist/internal/fake/engine"
	fakeplain "github.com/egrethoist/egrethoist/internal/fake/plain"
	fakestore "github.com/egrethoist/egrethoist/internal/fake/store"
	"github.com/egrethoist/egrethoist/internal/peer"
	"github.com/egrethoist/egrethoist/internal/platform"
	"github.com/egrethoist/egrethoist/internal/sidecar"
	"github.com/egrethoist/egrethoist/internal/standin"
	"github.com/egrethoist/egrethoist/internal/world"
)

// Network opens listeners and connections for the processes of a fleet.
type Network interface {
	// Listen opens a listener. An address of port zero takes a free one.
	Listen(host, addr string) (net.Listener, error)
	// Dialer returns how a process on host dials.
	Dialer(host string) peer.DialFunc
}

// Loopback is the machine's own TCP.
type Loopback struct{}

// Listen implements Network.
func (Loopback) Listen(_, addr string) (net.Listener, error) { return net.Listen("tcp", addr) }

// Dialer implements Network.
func (Loopback) Dialer(string) peer.DialFunc {
	d := &net.Dialer{Timeout: time.Second}
	return d.DialContext
}

// Options configure a Fleet.
type Options struct {
	World     *world.World // addresses of sidecars may be replaced, see FreePorts
	FreePorts bool         // listen on free loopback ports instead of the declared ones
	Entries   []EntryOptions
	Network   Network // nil is Loopback
	// Engine returns the options of the fake engine of a model target; nil takes its defaults.
	Engine func(t *world.Target) fakeengine.Options
	// Plain returns the options of the fake of a plain target; nil takes its defaults.
	Plain   func(t *world.Target) fakeplain.Options
	KV      platform.KV // of the platform; nil gives no order to load weights
	Metrics tally.Scope // nil discards
	Seed    uint64
	// Store returns the options of a store's stand-in; nil takes what the configuration declares.
	Store func(s *world.Store) fakestore.Options
	// NoCache leaves the stores out: sidecars neither export nor import blocks.
	NoCache bool
	// NewSidecar changes the options of a sidecar before it starts; nil changes nothing.
	NewSidecar func(t *world.Target, o *sidecar.Options)
	// NewEntry changes the options of an entry before it starts; nil changes nothing.
	NewEntry func(o *entry.Options)
	// Backend wraps the stand-in of a target; nil leaves it as it is.
	Backend func(t *world.Target, standIn http.Handler) http.Handler
	// ErrorLog receives the lines of all HTTP servers; nil is the standard logger.
	ErrorLog *log.Logger
}

// EntryOptions place one entry.
type EntryOptions struct {
	Name          string
	Addr          string // IP:port; empty takes a free loopback port
	FailureDomain string
	Region        string
}

// SpreadEntries places a number of entries over the failure domains in turn.
func SpreadEntries(w *world.World, n int) []EntryOptions {
	domains := w.DomainNames()
	out := make([]EntryOptions, n)
	for i := range out {
		d := w.FailureDomains[domains[i%len(domains)]]
		out[i] = EntryOptions{Name: fmt.Sprintf("entry-%d", i+1), FailureDomain: d.Name, Region: d.Region}
	}
	return out
}

// Fleet is a running set of processes.
type Fleet struct {
	opts    Options
	world   *world.World
	Entries []*EntryNode
	Targets map[string]*TargetNode
	Stores  map[string]*StoreNode
	plain   map[string]*fakeplain.Store // by service
	mu      sync.Mutex
	started uint64 // last incarnation given out
}

// Start starts everything and returns once every listener is open.
func Start(opts Options) (*Fleet, error) {
	if opts.World == nil {
		return nil, trace.BadParameter("fleet needs a world")
	}
	if opts.Network == nil {
		opts.Network = Loopback{}
	}
	if opts.Metrics == nil {
		opts.Metrics = tally.NoopScope
	}
	f := &Fleet{
		opts:    opts,
		world:   opts.World,
		Targets: map[string]*TargetNode{},
		Stores:  map[string]*StoreNode{},
		plain:   map[string]*fakeplain.Store{},
	}
	if err := f.start(); err != nil {
		f.Close()
		return nil, trace.Wrap(err)
	}
	return f, nil
}

func (f *Fleet) start() error {
	var listeners map[string]net.Listener
	if f.opts.FreePorts {
		var err error
		if listeners, err = f.reassign(); err != nil {
			return err
		}
	}
	if err := f.startOn(listeners); err != nil {
		closeAll(listeners) // those of targets that started are closed a second time, which does nothing
		return err
	}
	return nil
}

// startOn starts stores, targets with their sidecars on the given listeners, and entries.
func (f *Fleet) startOn(listeners map[string]net.Listener) error {
	if err := f.startStores(); err != nil {
		return err
	}
	for _, name := range f.targetNames() {
		if err := f.startTarget(f.world.Targets[name], listeners[name]); err != nil {
			return err
		}
	}
	for _, o := range f.opts.Entries {
		if err := f.startEntry(o); err != nil {
			return err
		}
	}
	return nil
}

// reassign opens a free port for each sidecar and copies the world with these addresses.
func (f *Fleet) reassign() (map[string]net.Listener, error) {
	listeners := make(map[string]net.Listener, len(f.world.Targets))
	addrs := make(map[string]string, len(f.world.Targets))
	for _, name := range f.targetNames() {
		l, err := f.opts.Network.Listen(name, "127.0.0.1:0")
		if err != nil {
			closeAll(listeners)
			return nil, err
		}
		listeners[name] = l
		addrs[name] = l.Addr().String()
	}
	f.world = f.world.Clone(func(t *world.Target) { t.Sidecar = addrs[t.Name] })
	return listeners, nil
}

func closeAll(listeners map[string]net.Listener) {
	for _, l := range listeners {
		l.Close()
	}
}

func (f *Fleet) targetNames() []string {
	return slices.Sorted(maps.Keys(f.world.Targets))
}

// World returns the configuration that the fleet was started with, with the addresses in use.
func (f *Fleet) World() *world.World { return f.world }

// Apply puts a configuration in force in every process.
func (f *Fleet) Apply(w *world.World) {
	for _, t := range f.Targets {
		t.Config.Set(w)
	}
	for _, e := range f.Entries {
		e.Config.Set(w)
	}
}

// Plain returns the effects of a plain service.
func (f *Fleet) Plain(service string) *fakeplain.Store { return f.plain[service] }

// Close stops everything at once.
func (f *Fleet) Close() {
	for _, e := range f.Entries {
		e.Kill()
	}
	for _, t := range f.Targets {
		t.Kill()
		t.stopBackend()
	}
	for _, s := range f.Stores {
		s.proc.kill()
	}
}

// incarnation returns a number larger than any before it: the time, unless two start at the same instant.
func (f *Fleet) incarnation() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.started = max(f.started+1, uint64(time.Now().UnixNano()))
	return f.started
}

// process is a server with a loop beside it.
type process struct {
	server *http.Server
	cancel context.CancelFunc
	done   sync.WaitGroup
}

func (f *Fleet) serve(l net.Listener, h http.Handler, run func(context.Context) error) *process {
	ctx, cancel := context.WithCancel(context.Background())
	p := &process{server: peer.NewServer(h, nil), cancel: cancel}
	p.server.ErrorLog = f.opts.ErrorLog
	p.done.Go(func() { p.server.Serve(l) })
	if run != nil {
		p.done.Go(func() { run(ctx) })
	}
	return p
}

func (p *process) kill() {
	if p == nil {
		return
	}
	p.cancel()
	p.server.Close()
	p.done.Wait()
}

// EntryNode is one running entry.
type EntryNode struct {
	Name   string
	Entry  *entry.Entry
	Config *Config
	URL    string
	proc   *process
}

func (f *Fleet) startEntry(o EntryOptions) error {
	if o.Addr == "" {
		o.Addr = "127.0.0.1:0"
	}
	l, err := f.opts.Network.Listen(o.Name, o.Addr)
	if err != nil {
		return err
	}
	cfg := NewConfig(f.world)
	opts := entry.Options{
		Name:          o.Name,
		FailureDomain: o.FailureDomain,
		Region:        o.Region,
		Config:        cfg,
		Dial:          f.opts.Network.Dialer(o.Name),
		Metrics:       f.opts.Metrics,
		Seed:          f.opts.Seed + uint64(len(f.Entries)) + 1,
	}
	if f.opts.NewEntry != nil {
		f.opts.NewEntry(&opts)
	}
	e, err := entry.New(opts)
	if err != nil {
		l.Close()
		return err
	}
	n := &EntryNode{Name: o.Name, Entry: e, Config: cfg, URL: "http://" + l.Addr().String()}
	n.proc = f.serve(l, e.Handler(), e.Run)
	f.Entries = append(f.Entries, n)
	return nil
}

// Kill ends the entry as a crash would.
func (n *EntryNode) Kill() { n.proc.kill() }

// Stop ends the entry as planned: not ready first, then the requests under way end, then the connections close.
func (n *EntryNode) Stop(ctx context.Context) error {
	if err := n.Entry.Shutdown(ctx); err != nil {
		return err
	}
	if err := n.proc.server.Shutdown(ctx); err != nil {
		return trace.Wrap(err, "stopping entry %v", n.Name)
	}
	n.proc.kill()
	return nil
}

// TargetNode is one fake target with the sidecar beside it.
type TargetNode struct {
	Target  *world.Target
	Sidecar *sidecar.Sidecar
	Config  *Config
	Engine  *fakeengine.Engine // model targets
	Plain   *fakeplain.Service // plain targets

	fleet   *Fleet
	backend *process
	addr    string             // of the backend
	client  *httpengine.Target // the sidecar's connections to the backend
	model   *httpengine.Model  // model targets
	stores  storeClients
	proc    *process
}

func (f *Fleet) startTarget(t *world.Target, l net.Listener) error {
	n := &TargetNode{Target: t, Config: NewConfig(f.world), fleet: f}
	if err := n.startBackend(); err != nil {
		return err
	}
	f.Targets[t.Name] = n
	return n.startSidecar(l)
}

func (n *TargetNode) startBackend() error {
	l, err := n.fleet.opts.Network.Listen(n.Target.Name+"-backend", "127.0.0.1:0")
	if err != nil {
		return err
	}
	n.addr = l.Addr().String()
	backend := n.newBackend()
	if n.fleet.opts.Backend != nil {
		backend = n.fleet.opts.Backend(n.Target, backend)
	}
	n.backend = n.fleet.serve(l, backend, nil)
	return nil
}

func (n *TargetNode) newBackend() http.Handler {
	svc := n.fleet.world.Services[n.Target.Service]
	if svc.Kind == world.KindModel {
		n.Engine = fakeengine.New(n.engineOptions(svc))
		return n.Engine
	}
	opts := fakeplain.Options{}
	if n.fleet.opts.Plain != nil {
		opts = n.fleet.opts.Plain(n.Target)
	}
	if n.fleet.plain[svc.Name] == nil {
		n.fleet.plain[svc.Name] = fakeplain.NewStore()
	}
	opts.Store = n.fleet.plain[svc.Name]
	n.Plain = fakeplain.New(opts)
	return n.Plain
}

func (n *TargetNode) engineOptions(svc *world.Service) fakeengine.Options {
	o := fakeengine.Options{}
	if n.fleet.opts.Engine != nil {
		o = n.fleet.opts.Engine(n.Target)
	}
	o.Name = n.Target.Name
	if o.Version == "" {
		o.Version = svc.WeightVersion
	}
	o.BlockTokens = cmp.Or(o.BlockTokens, svc.BlockTokens)
	o.BlockBytes = cmp.Or(o.BlockBytes, svc.BlockBytes)
	o.Cold.InFlight = cmp.Or(o.Cold.InFlight, svc.Cold.InFlight)
	o.ChecksFence = svc.FencesOrders
	o.BlockIDs = standin.BlockIDs(svc)
	return o
}

// startSidecar starts the sidecar on l, or on the target's declared address.
func (n *TargetNode) startSidecar(l net.Listener) error {
	if l == nil {
		var err error
		if l, err = n.fleet.opts.Network.Listen(n.Target.Name, n.Target.Sidecar); err != nil {
			return err
		}
	}
	s, err := sidecar.New(n.sidecarOptions())
	if err != nil {
		l.Close()
		return err
	}
	n.Sidecar = s
	n.proc = n.fleet.serve(l, s.Handler(), s.Run)
	return nil
}

func (n *TargetNode) sidecarOptions() sidecar.Options {
	dial := n.fleet.opts.Network.Dialer(n.Target.Name)
	o := sidecar.Options{
		Name:             n.Target.Name,
		Service:          n.Target.Service,
		Incarnation:      n.fleet.incarnation(),
		FirstIncarnation: n.Sidecar == nil,
		Config:           n.Config,
		KV:               n.fleet.opts.KV,
		Dial:             dial,
		Metrics:          n.fleet.opts.Metrics,
	}
	backend := httpengine.Options{Address: n.addr, Dial: dial}
	if n.Engine != nil {
		m := httpengine.NewModel(backend)
		o.Target, o.Model = m, m
		n.client, n.model = m.Target, m
	} else {
		n.client = httpengine.New(backend)
		o.Target = n.client
	}
	if n.Engine != nil && !n.fleet.opts.NoCache {
		o.NewCache = n.newCache
	}
	if n.fleet.opts.NewSidecar != nil {
		n.fleet.opts.NewSidecar(n.Target, &o)
	}
	return o
}

// Kill ends the sidecar as a crash would. The target goes on.
func (n *TargetNode) Kill() {
	n.proc.kill()
	n.client.Close()
	n.closeStores()
}

// Restart starts a new incarnation of a killed or stopped sidecar on the same address.
func (n *TargetNode) Restart() error { return n.startSidecar(nil) }

// Stop ends the sidecar as planned.
func (n *TargetNode) Stop(ctx context.Context) error {
	err := n.Life().Drain(ctx)
	n.Kill()
	return err
}

// Life is one running incarnation of a sidecar.
type Life struct {
	sidecar *sidecar.Sidecar
	proc    *process
}

// Life returns the incarnation that was started last.
func (n *TargetNode) Life() Life { return Life{sidecar: n.Sidecar, proc: n.proc} }

// Drain lets the runs under way end and then closes the connections in order.
func (l Life) Drain(ctx context.Context) error {
	if err := l.sidecar.Shutdown(ctx); err != nil {
		return err
	}
	return trace.Wrap(l.proc.server.Shutdown(ctx), "stopping a sidecar")
}

// Backend returns the address of the fake target itself, past its sidecar.
func (n *TargetNode) Backend() string { return n.addr }

func (n *TargetNode) stopBackend() {
	n.backend.kill()
	if n.Engine != nil {
		n.Engine.Close()
	}
}

// WaitReady returns once every entry has a live connection to every target, or ctx ends.
func (f *Fleet) WaitReady(ctx context.Context) error {
	for {
		missing := f.unready()
		if missing == "" {
			return nil
		}
		select {
		case <-ctx.Done():
			return trace.Wrap(errors.Join(ctx.Err(), fmt.Errorf("not ready: %s", missing)))
		case <-time.After(readyPoll):
		}
	}
}

const readyPoll = 10 * time.Millisecond

func (f *Fleet) unready() string {
	for _, e := range f.Entries {
		targets := e.Entry.Targets()
		if len(targets) < len(f.Targets) {
			return e.Name + " without configuration"
		}
		for _, s := range targets {
			if !s.Eligible {
				return e.Name + " to " + s.Target + " (" + s.Phase + ")"
			}
		}
	}
	return ""
}
