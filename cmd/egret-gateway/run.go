package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/labstack/echo/v4"
	"github.com/oklog/run"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
	"k8s.io/klog/v2"

	"github.com/egrethoist/egrethoist/internal/gateway"
	"github.com/egrethoist/egrethoist/internal/metastore"
	"github.com/egrethoist/egrethoist/internal/roster"
	"github.com/egrethoist/egrethoist/platform"
)

const (
	// memoryShare is the part of the memory limit that the garbage collector aims to stay under; the rest is for
	// buffers of the kernel and of the runtime.
	memoryShare = 0.7
	// gcPercent trades memory, of which a gateway uses little, for processor time.
	gcPercent = 400
	// tickPeriod is how often what runs out with time is looked at.
	tickPeriod = 200 * time.Millisecond
	// lapseGrace is how long a target is used whose record lapsed while the store was out of reach, after the store's
	// return: live ones are back within about two seconds.
	lapseGrace = 1800 * time.Millisecond
	// prefillRate is the tokens a second that a model engine is taken to read until its rate is learned.
	prefillRate = 50_000
	// noticeTime is how long a stopping instance still takes new connections: the balancer needs two failed checks a
	// second apart to leave it out.
	noticeTime = 2500 * time.Millisecond
	// stopMargin is left of the time to stop for what is still under way to be cut in order.
	stopMargin = 300 * time.Millisecond

	metricsPeriod = time.Second
)

func serve(s *platform.Settings) error {
	debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryBytes)))
	debug.SetGCPercent(gcPercent)
	klog.InfoS("starting", "name", s.Name, "domain", s.FailureDomain, "store", s.StoreAddress, "first_start", s.FirstStart)
	p, err := newProcess(s)
	if err != nil {
		return err
	}
	return p.run()
}

// process holds what the parts of the program share.
type process struct {
	settings *platform.Settings
	store    *platform.Store
	mirror   *metastore.Mirror
	state    *gateway.State
	gateway  *gateway.Gateway
	engines  *platform.Engines
	keeper   *gateway.Keeper
	metrics  http.Handler
	stopping atomic.Bool
	drained  chan struct{} // closed when the requests under way have ended
	endDrain func()
	group    runGroup
}

func newProcess(s *platform.Settings) (*process, error) {
	p := &process{settings: s, store: platform.NewStore(s.StoreAddress), drained: make(chan struct{})}
	p.endDrain = sync.OnceFunc(func() { close(p.drained) })
	registry := prometheus.NewRegistry()
	reporter := tallyprom.NewReporter(tallyprom.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "egret",
		Tags:                   map[string]string{"instance_name": s.Name, "failure_domain": s.FailureDomain},
		CachedReporter:         reporter,
		Separator:              tallyprom.DefaultSeparator,
		SanitizeOptions:        &tallyprom.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, metricsPeriod)
	p.metrics = reporter.HTTPHandler()
	p.group.onStop = closer.Close
	p.state = gateway.NewState(gateway.StateOptions{
		Self: s.Name, Regions: s.Regions, Domain: s.FailureDomain, Records: platform.NewRecords(),
		Roster:   roster.Options{LapseGrace: min(lapseGrace, s.DrainTime*9/10)},
		Returned: func() time.Time { return p.mirror.Returned() },
		ColdOver: s.ColdOver, ColdSlack: s.ColdSlack,
		RetryRatio: s.RetryRatio, RetryExtra: s.RetryExtra, RetryTime: s.RetryWindow, PrefillRate: prefillRate,
		WeightsTime: s.WeightsTime,
	})
	p.mirror = metastore.NewMirror(metastore.MirrorOptions{Store: p.store, Prefix: "", OnChange: p.state.OnChange, FromPeer: p.copyFromPeer})
	p.engines = platform.NewEngines()
	p.keeper = gateway.NewKeeper(p.state, p.engines, func(now time.Time) bool { return now.Sub(p.mirror.Contact()) < gateway.FreshMetadata })
	p.gateway = gateway.New(gateway.Options{
		State: p.state, Protocol: platform.Protocol{}, Metrics: scope, Kept: p.keeper,
	})
	return p, nil
}

// runGroup is a run.Group whose parts end with one context.
type runGroup struct {
	run.Group
	onStop func() error
}

func (g *runGroup) add(part func(ctx context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error { return part(ctx) }, func(error) { cancel() })
}

func (p *process) run() error {
	in, err := json.Marshal(gateway.Instance{Address: p.peerAddress(), Domain: p.settings.FailureDomain})
	if err != nil {
		return trace.Wrap(err)
	}
	presence := &metastore.Presence{Store: p.store, Key: gateway.InstancePrefix + p.settings.Name, Value: in}
	p.group.add(p.mirror.Run)
	p.group.add(presence.Run)
	p.group.add(p.tick)
	lock := &metastore.Lock{Store: p.store, Key: gateway.OrdersLock, Self: p.settings.Name, TTL: p.settings.LeaseTime, Free: p.state.OrdersFree}
	p.group.add(lock.Run)
	orderer := gateway.NewOrderer(gateway.OrdererOptions{Self: p.settings.Name, State: p.state, Store: p.store, Lock: lock, Engines: p.engines, Keeper: p.keeper})
	p.group.add(p.keeper.Run)
	p.group.add(gateway.NewGossip(p.state, p.settings.Name, p.peerAddress()).Run)
	p.group.add(orderer.Run)
	p.group.add(p.reload)
	if err := p.listen(); err != nil {
		return err
	}
	err = p.group.Run()
	if closeErr := p.group.onStop(); closeErr != nil {
		klog.ErrorS(closeErr, "metrics not closed")
	}
	klog.InfoS("stopped", "name", p.settings.Name)
	if errors.Is(err, context.Canceled) || errors.Is(err, errStopped) {
		return nil
	}
	return err
}

func (p *process) peerAddress() string {
	return net.JoinHostPort(p.settings.IP, fmt.Sprint(p.settings.PeerPort))
}

func (p *process) tick(ctx context.Context) error {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			p.state.Tick(now)
		}
	}
}

// reload reads the settings anew on SIGHUP. Addresses and limits hold for a process's life; the rest is compared and
// reported, so that an operator sees that a restart is needed.
func (p *process) reload(ctx context.Context) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-hup:
			if _, err := platform.LoadSettings(); err != nil {
				klog.ErrorS(err, "changed settings not accepted, the old ones stay in force")
				continue
			}
			klog.InfoS("settings read anew; changes take effect at the next start")
		}
	}
}

// errStopped ends the group after a stop in order.
var errStopped = errors.New("stopped")

// listen starts the servers: callers, the balancer's checks, and the other instances.
func (p *process) listen() error {
	front, err := net.Listen("tcp4", p.settings.FrontAddress)
	if err != nil {
		return trace.Wrap(err, "listen for callers")
	}
	// The data path needs the request's path byte for byte and has one handler, so it uses no router.
	callers := &http.Server{Handler: p.gateway, ErrorLog: serverLog(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	p.serve(callers, front)
	ready := newEcho()
	ready.GET("/egrethoist/ready", p.ready)
	if err := p.serveAt(p.settings.ReadyAddress, ready); err != nil {
		return trace.Wrap(err, "listen for checks")
	}
	peers := newEcho()
	peers.GET(copyPath, p.giveCopy)
	peers.GET("/metrics", echo.WrapHandler(p.metrics))
	if err := p.serveAt(p.peerAddress(), peers); err != nil {
		return trace.Wrap(err, "listen for other instances")
	}
	p.group.add(func(ctx context.Context) error { return p.awaitStop(ctx, callers) })
	return nil
}

const (
	// headerTimeout bounds how long a caller may take to send a request's head.
	headerTimeout = 5 * time.Second
	// idleTimeout is longer than callers keep idle connections, so that the caller closes first.
	idleTimeout = time.Minute
)

// serverLog sends what a server reports, such as a panic in a handler, to the structured log.
func serverLog() *log.Logger { return slog.NewLogLogger(slog.Default().Handler(), slog.LevelError) }

func newEcho() *echo.Echo {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	return e
}

func (p *process) serveAt(address string, handler http.Handler) error {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	p.serve(&http.Server{Handler: handler, ErrorLog: serverLog(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}, l)
	return nil
}

func (p *process) serve(server *http.Server, l net.Listener) {
	p.group.Add(func() error {
		err := server.Serve(l)
		if errors.Is(err, http.ErrServerClosed) {
			<-p.drained // the server's requests go on until then
			return errStopped
		}
		return trace.Wrap(err, "serve %s", l.Addr())
	}, func(error) {
		p.endDrain()
		_ = server.Close()
	})
}

func (p *process) ready(c echo.Context) error {
	if p.stopping.Load() || !p.state.Ready() {
		return c.NoContent(http.StatusServiceUnavailable)
	}
	return c.NoContent(http.StatusOK)
}

// awaitStop drains the instance after SIGTERM: the balancer leaves it out, answers close their connections, and what is
// under way ends.
func (p *process) awaitStop(ctx context.Context, callers *http.Server) error {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(stop)
	select {
	case <-ctx.Done():
		return ctx.Err()
	case sig := <-stop:
		klog.InfoS("stopping", "signal", sig.String())
	}
	until := time.Now().Add(p.settings.StopTime - stopMargin)
	p.stopping.Store(true)
	p.gateway.Drain()
	time.Sleep(min(noticeTime, p.settings.StopTime/2))
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	defer p.endDrain()
	if err := callers.Shutdown(ctx); err != nil {
		klog.InfoS("requests cut at the end of the time to stop", "err", err.Error())
	}
	return errStopped
}
