package main

import (
	"context"
	"errors"
	"log"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/labstack/echo/v4"
	"k8s.io/klog/v2"

	"github.com/egrethoist/egrethoist/internal/drain"
	"github.com/egrethoist/egrethoist/internal/gateway"
	"github.com/egrethoist/egrethoist/internal/httpserver"
	"github.com/egrethoist/egrethoist/internal/metapeer"
	"github.com/egrethoist/egrethoist/platform"
)

// errStopped ends the run group after a planned stop.
var errStopped = errors.New("stopped")

// listen starts the servers: for callers, for the load balancer's readiness checks and for the other instances. It returns an error
// if a port is not available.
func (p *process) listen() error {
	// The data path forwards the path of a request byte for byte and has a single handler, so it uses no router.
	callers, err := p.serveAt(httpserver.Options{Name: "callers", Handler: p.gateway, WrapConn: p.gateway.WrapCaller, ConnContext: gateway.CallerContext}, p.settings.FrontAddress)
	if err != nil {
		return trace.Wrap(err, "listen for callers")
	}
	checks := newEcho()
	checks.GET(platform.ReadyPath, p.serveReady)
	checkServer, err := p.serveAt(httpserver.Options{Name: "checks", Handler: checks}, p.settings.ReadyAddress)
	if err != nil {
		return trace.Wrap(err, "listen for checks")
	}
	peers := newEcho()
	(&metapeer.Server{Mirror: p.mirror, Stopping: p.stopping.Load}).Register(peers)
	peers.GET("/metrics", echo.WrapHandler(p.metrics))
	peerServer, err := p.serveAt(httpserver.Options{Name: "instances", Handler: peers}, p.peerAddress())
	if err != nil {
		return trace.Wrap(err, "listen for other instances")
	}
	p.group.add(func(ctx context.Context) error { return p.drainOnSignal(ctx, callers, checkServer, peerServer) })
	return nil
}

const (
	// headerTimeout is the longest time that a caller may take to send a request's headers.
	headerTimeout = 5 * time.Second
	// idleTimeout is longer than callers keep idle connections, so that the caller closes first and no request arrives on a connection
	// that is being closed.
	idleTimeout = time.Minute
	// sideStopTime is how long the servers for checks and for other instances have to end, after that for callers.
	sideStopTime = 500 * time.Millisecond
	// errorStopTime is how long each server has to end if another component of the instance has ended with an error.
	errorStopTime = 2 * time.Second
	// exitTime is reserved from the time to stop, for the process to exit.
	exitTime = 100 * time.Millisecond
)

// serverLog returns a logger that writes the errors of an HTTP server, such as panics in handlers, to the structured log.
func serverLog() *log.Logger { return slog.NewLogLogger(slog.Default().Handler(), slog.LevelError) }

// newEcho returns a router that prints nothing at start.
func newEcho() *echo.Echo {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	return e
}

// serveAt adds a server at an address to the run group. It returns an error if it can't listen.
func (p *process) serveAt(o httpserver.Options, address string) (*httpserver.Server, error) {
	l, err := httpserver.Listen(address)
	if err != nil {
		return nil, err
	}
	o.ErrorLog, o.ReadHeaderTimeout, o.IdleTimeout, o.Metrics = serverLog(), headerTimeout, idleTimeout, p.scope
	server := httpserver.New(o)
	server.Attach(l) // a planned stop may begin before Serve
	p.group.Add(func() error {
		err := server.Serve(l)
		if errors.Is(err, http.ErrServerClosed) {
			<-p.drained // Serve returns when its own server has ended
			return errStopped
		}
		return trace.Wrap(err, "serve %s", l.Addr())
	}, func(error) {
		p.endDrain()
		// The server has ended before, unless the instance ends because of an error.
		p.stopping.Store(true)
		p.gateway.RefuseRequests()
		shutDown(server, errorStopTime)
	})
	return server, nil
}

// shutDown ends a server within a time. It does nothing if the server has ended.
func shutDown(server *httpserver.Server, limit time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		klog.InfoS("connections closed before they were answered", "err", err.Error())
		_ = server.Close()
	}
}

// serveReady answers the load balancer's readiness check: 200 if the instance can serve requests, otherwise 503.
func (p *process) serveReady(c echo.Context) error {
	if p.stopping.Load() || !p.state.Ready() {
		return c.NoContent(http.StatusServiceUnavailable)
	}
	return c.NoContent(http.StatusOK)
}

// drainOnSignal drains the instance after SIGTERM or SIGINT: the readiness check fails, so that the load balancer stops using it,
// each answer closes its connection, and requests in flight are completed up to the time to stop. The other servers end after that for
// callers. It returns errStopped then.
func (p *process) drainOnSignal(ctx context.Context, callers *httpserver.Server, others ...*httpserver.Server) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case sig := <-p.signals.stop:
		klog.InfoS("stopping", "signal", sig.String())
	}
	defer p.endDrain()
	opts := drain.GatewayOptions(p.settings.StopTimeout)
	begun := time.Now()
	err := callers.Drain(ctx, opts, func(phase drain.Phase) {
		switch phase {
		case drain.PhaseUnready:
			p.stopping.Store(true)
			p.gateway.BeginStop(begun.Add(opts.MinNotice), begun.Add(opts.HandoverAfter))
		case drain.PhaseRefusing:
			p.gateway.RefuseRequests()
		}
	})
	if err != nil {
		klog.InfoS("planned stop incomplete", "err", err.Error(), "late", p.lateness.max())
	}
	p.gossip.Leave()
	limit := min(sideStopTime, time.Until(begun.Add(p.settings.StopTimeout-exitTime)))
	var ends sync.WaitGroup
	for _, server := range others {
		ends.Go(func() { shutDown(server, limit) })
	}
	ends.Wait()
	return errStopped
}
