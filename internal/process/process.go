// Package process wires what the long-running binaries have in common: TLS, the platform, the distribution of
// configuration, metrics, the admin page and graceful shutdown.
package process

import (
	"context"
	"crypto/tls"
	"errors"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/oklog/run"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
	"k8s.io/klog/v2"

	egretv1 "github.com/egrethoist/egrethoist/gen/egret/v1"
	"github.com/egrethoist/egrethoist/internal/distribution"
	"github.com/egrethoist/egrethoist/internal/distribution/plan"
	"github.com/egrethoist/egrethoist/internal/httpserver"
	"github.com/egrethoist/egrethoist/internal/mtls"
	"github.com/egrethoist/egrethoist/internal/peer"
	"github.com/egrethoist/egrethoist/internal/platform"
	"github.com/egrethoist/egrethoist/internal/platform/rpc"
	"github.com/egrethoist/egrethoist/internal/settings"
	"github.com/egrethoist/egrethoist/internal/statusz"
	"github.com/egrethoist/egrethoist/internal/units"
	"github.com/egrethoist/egrethoist/internal/world"
)

// Periods of the process's own loops.
const (
	tlsReloadPeriod = time.Minute
	metricsPeriod   = time.Second
	serverStopLimit = 5 * time.Second
)

// Process is what every long-running binary holds.
type Process struct {
	Settings  settings.Process
	Peers     *peer.Set
	Platform  *rpc.Client           // the key-value service
	Instances platform.InstanceList // may lie elsewhere
	Config    *Config
	Scope     tally.Scope
	Metrics   http.Handler
	Describe  func(*statusz.Process) // completes what /statusz tells; nil adds nothing

	group   run.Group
	signals signals
	drained chan struct{}        // closed when a planned stop has ended, or the process ends without one
	servers []*httpserver.Server // end with a planned stop, before any actor is interrupted
	tls     *mtls.Source         // nil without TLS between our own processes
	spread  *distribution.Distributor
	ready   func() error
}

// Options of a process.
type Options struct {
	Settings settings.Process
	Self     plan.Peer
	// Entries lists the entry instances for the distribution of configuration; nil knows none.
	Entries func() ([]plan.Peer, uint64)
}

// signals receive what the operating system sends to the process, from before the first listener until the process ends: a signal with its
// default action would kill the process with connections in a listener's queue.
type signals struct {
	stop   chan os.Signal // SIGINT and SIGTERM
	hangUp chan os.Signal // SIGHUP; a channel of its own, so that it can't displace a signal to stop
}

func newSignals() signals {
	s := signals{stop: make(chan os.Signal, 1), hangUp: make(chan os.Signal, 1)}
	signal.Notify(s.stop, os.Interrupt, syscall.SIGTERM)
	signal.Notify(s.hangUp, syscall.SIGHUP)
	return s
}

// New prepares a process. Nothing runs before Run, but from now on a signal to stop waits for Run.
func New(o Options) (*Process, error) {
	p := &Process{Settings: o.Settings, signals: newSignals(), drained: make(chan struct{})}
	if err := p.secure(); err != nil {
		return nil, err
	}
	p.measure()
	if err := p.reachPlatform(); err != nil {
		return nil, err
	}
	p.spread = distribution.New(distribution.Options{
		Self:      o.Self,
		KV:        p.Platform,
		Entries:   o.Entries,
		Bootstrap: addresses(o.Settings.Bootstrap),
		Client:    p.Peers,
		Scheme:    p.Peers.Scheme(),
		Metrics:   p.Scope,
	})
	p.Config = newConfig(p.spread)
	p.ready = func() error {
		if p.Config.Current() == nil {
			return errors.New("no configuration yet")
		}
		return nil
	}
	p.Add(p.spread.Run)
	p.Add(p.Config.run)
	p.Add(p.showStatus)
	return p, nil
}

func addresses(list []units.Address) []string {
	out := make([]string, len(list))
	for i, a := range list {
		out[i] = a.String()
	}
	return out
}

// secure reads the TLS files, if the settings name any.
func (p *Process) secure() error {
	if p.Settings.TLS == nil {
		klog.InfoS("no TLS between our own processes: allow_insecure_loopback is set", "name", p.Settings.Name)
		p.Peers = peer.NewSet(nil, nil)
		return nil
	}
	source, err := p.keys(p.Settings.TLS)
	if err != nil {
		return err
	}
	p.tls = source
	p.Peers = peer.NewSet(nil, source.ClientConfigFunc(mtls.RoleEntry, mtls.RoleSidecar))
	return nil
}

// keys reads TLS files and follows their rotation.
func (p *Process) keys(files *settings.TLS) (*mtls.Source, error) {
	source, err := mtls.New(mtls.Options{Cert: files.Cert, Key: files.Key, CA: files.CA})
	if err != nil {
		return nil, trace.Wrap(err, "start %v", p.Settings.Name)
	}
	p.Add(func(ctx context.Context) error { return source.Run(ctx, tlsReloadPeriod) })
	return source, nil
}

// reachPlatform prepares the client of the platform.
func (p *Process) reachPlatform() error {
	dial := func(a units.Address) *rpc.Client { return rpc.NewPlainClient(a.String()) }
	if p.Settings.PlatformTLS != nil {
		source, err := p.keys(p.Settings.PlatformTLS)
		if err != nil {
			return err
		}
		dial = func(a units.Address) *rpc.Client {
			return rpc.NewTLSClient(source.ClientConfigFunc(mtls.RolePlatform), a.String())
		}
	}
	p.Platform = dial(p.Settings.KeyValue)
	p.Instances = p.Platform
	if p.Settings.Instances != p.Settings.KeyValue {
		p.Instances = dial(p.Settings.Instances)
	}
	return nil
}

func (p *Process) measure() {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	reporter := tallyprom.NewReporter(tallyprom.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "egret",
		Tags:                   map[string]string{"instance_name": p.Settings.Name, "failure_domain": p.Settings.FailureDomain},
		CachedReporter:         reporter,
		Separator:              tallyprom.DefaultSeparator,
		SanitizeOptions:        &tallyprom.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, metricsPeriod)
	p.Scope = scope
	p.Metrics = reporter.HTTPHandler()
	p.Add(func(ctx context.Context) error {
		<-ctx.Done()
		return closer.Close()
	})
}

// Add adds an actor that runs until its context ends.
func (p *Process) Add(actor func(ctx context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	p.group.Add(func() error { return actor(ctx) }, func(error) { cancel() })
}

// ConfigHandler returns the path and handler by which peers exchange configurations.
func (p *Process) ConfigHandler() (string, http.Handler) { return p.spread.Handler() }

// TLSFunc returns how the process dials peers of a role; nil without TLS.
func (p *Process) TLSFunc(expect mtls.Role) peer.TLSFunc {
	if p.tls == nil {
		return nil
	}
	return p.tls.ClientConfigFunc(expect)
}

// ServePeers serves entries and sidecars, under TLS if the settings name keys.
func (p *Process) ServePeers(addr units.Address, h http.Handler) error {
	if p.tls == nil {
		return p.serve("peers", addr, h, nil)
	}
	return p.serve("peers", addr, h, p.tls.ServerConfig(mtls.RoleEntry, mtls.RoleSidecar))
}

// ServeCallers serves callers in plain HTTP; the platform's balancer ends their TLS.
func (p *Process) ServeCallers(addr units.Address, h http.Handler) error {
	return p.serve("callers", addr, h, nil)
}

// ServeAdmin serves health, readiness and metrics, if the settings give an address.
func (p *Process) ServeAdmin(ready func() error) error {
	if !p.Settings.Admin.IsValid() {
		return nil
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte("ok\n")) })
	mux.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) { p.answerReady(w, ready) })
	mux.HandleFunc("/statusz", p.answerStatus)
	mux.Handle("/metrics", p.Metrics)
	return p.serve("admin", p.Settings.Admin, mux, nil)
}

func (p *Process) answerReady(w http.ResponseWriter, ready func() error) {
	err := p.ready()
	if err == nil && ready != nil {
		err = ready()
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Write([]byte("ready\n"))
}

// serve listens at once, so that a taken address fails the start, and serves from Run on. A planned stop answers or refuses whatever
// was sent to the server.
func (p *Process) serve(name string, addr units.Address, h http.Handler, tlsConfig *tls.Config) error {
	l, err := httpserver.Listen(addr.String())
	if err != nil {
		return trace.Wrap(err, "listen for %v", name)
	}
	o := peer.ServerOptions(name, h, tlsConfig)
	o.Metrics = p.Scope
	server := httpserver.New(o)
	server.Attach(l) // a planned stop may begin before Serve
	p.servers = append(p.servers, server)
	klog.InfoS("listening", "name", p.Settings.Name, "for", name, "address", addr.String())
	p.group.Add(func() error {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return trace.Wrap(err, "serve %v", name)
		}
		<-p.drained // the server of Serve has ended, perhaps not the others
		return nil
	}, func(error) { endServer(server) })
	return nil
}

// endServer ends a server within serverStopLimit. It does nothing if the server has ended.
func endServer(server *httpserver.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), serverStopLimit)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		klog.InfoS("connections closed before they were answered", "err", err.Error())
		_ = server.Close() // the listener has ended
	}
}

// endServers ends all servers.
func (p *Process) endServers() {
	var ends sync.WaitGroup
	for _, server := range p.servers {
		ends.Go(func() { endServer(server) })
	}
	ends.Wait()
}

// Run runs all actors until one fails or a signal asks for a planned stop. Then shutdown runs to its end, after it the servers end, before any
// actor is interrupted, since requests under way need all of them.
func (p *Process) Run(shutdown func(ctx context.Context) error) error {
	done := make(chan struct{})
	p.group.Add(func() error {
		defer close(p.drained)
		if !p.awaitStop(done) {
			return nil
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(p.Settings.DrainTimeout))
		defer cancel()
		err := shutdown(ctx)
		p.endServers()
		return err
	}, func(error) { close(done) })
	err := p.group.Run()
	p.Peers.Close()
	return err
}

// awaitStop waits for a signal that asks for a planned stop. It returns false if done is closed first.
func (p *Process) awaitStop(done <-chan struct{}) bool {
	for {
		select {
		case s := <-p.signals.stop:
			klog.InfoS("planned stop", "name", p.Settings.Name, "signal", s.String())
			return true
		case <-p.signals.hangUp:
			klog.InfoS("signal ignored, settings are read at start", "name", p.Settings.Name, "signal", syscall.SIGHUP.String())
		case <-done:
			return false
		}
	}
}

// Config gives the configuration in force to entries and sidecars.
type Config struct {
	spread  *distribution.Distributor
	mu      sync.Mutex
	changed chan struct{}
}

func newConfig(d *distribution.Distributor) *Config {
	return &Config{spread: d, changed: make(chan struct{})}
}

// Current returns the configuration in force, or nil before the first.
func (c *Config) Current() *world.World { return c.spread.Current() }

// Stamp names the revision in force.
func (c *Config) Stamp() *egretv1.RevisionStamp { return c.spread.Stamp() }

// Observe takes the stamp that the peer at an address sent with its own message.
func (c *Config) Observe(stamp *egretv1.RevisionStamp, addr string) { c.spread.Observe(stamp, addr) }

// Changed returns a channel that is closed at the next change.
func (c *Config) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

func (c *Config) run(ctx context.Context) error {
	signals, cancel := c.spread.Subscribe()
	defer cancel()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-signals:
			c.signal()
		}
	}
}

func (c *Config) signal() {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.changed)
	c.changed = make(chan struct{})
}
