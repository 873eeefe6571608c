package main

import (
	"context"
	"errors"
	"log"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/labstack/echo/v4"
	"k8s.io/klog/v2"

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
	listener, err := net.Listen("tcp4", p.settings.FrontAddress)
	if err != nil {
		return trace.Wrap(err, "listen for callers")
	}
	// The data path forwards the path of a request byte for byte and has a single handler, so it uses no router.
	callers := p.newServer("callers", p.gateway, gateway.CallerContext)
	p.serveOn(callers, p.gateway.CallerListener(listener))
	checks := newEcho()
	checks.GET(platform.ReadyPath, p.serveReady)
	if err := p.serveAt("checks", p.settings.ReadyAddress, checks); err != nil {
		return trace.Wrap(err, "listen for checks")
	}
	peers := newEcho()
	(&metapeer.Server{Mirror: p.mirror, Stopping: p.stopping.Load}).Register(peers)
	peers.GET("/metrics", echo.WrapHandler(p.metrics))
	if err := p.serveAt("instances", p.peerAddress(), peers); err != nil {
		return trace.Wrap(err, "listen for other instances")
	}
	p.group.add(func(ctx context.Context) error { return p.drainOnSignal(ctx, callers) })
	return nil
}

const (
	// balancerDelay is how long a stopping instance still accepts connections: the load balancer stops using it after two failed
	// readiness checks, which are a second apart.
	balancerDelay = 2500 * time.Millisecond
	// stopMargin is reserved from the time to stop, to close the requests that are still in flight then in an orderly way.
	stopMargin = 300 * time.Millisecond
	// headerTimeout is the longest time that a caller may take to send a request's headers.
	headerTimeout = 5 * time.Second
	// idleTimeout is longer than callers keep idle connections, so that the caller closes first and no request arrives on a connection
	// that is being closed.
	idleTimeout = time.Minute
)

// serverLog returns a logger that writes the errors of an HTTP server, such as panics in handlers, to the structured log.
func serverLog() *log.Logger { return slog.NewLogLogger(slog.Default().Handler(), slog.LevelError) }

// newEcho returns a router that prints nothing at start.
func newEcho() *echo.Echo {
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	return e
}

// newServer returns a server that does not listen yet. connContext may be nil.
func (p *process) newServer(name string, handler http.Handler, connContext func(context.Context, net.Conn) context.Context) *httpserver.Server {
	return httpserver.New(httpserver.Options{
		Name: name, Handler: handler, ErrorLog: serverLog(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, ConnContext: connContext, Metrics: p.scope,
	})
}

// serveAt starts a server at an address. It returns an error if it can't listen.
func (p *process) serveAt(name, address string, handler http.Handler) error {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	p.serveOn(p.newServer(name, handler, nil), l)
	return nil
}

// serveOn adds a server on a listener to the run group. After a planned stop the server's part of the group ends only when the
// instance is drained.
func (p *process) serveOn(server *httpserver.Server, l net.Listener) {
	p.group.Add(func() error {
		err := server.Serve(l)
		if errors.Is(err, http.ErrServerClosed) {
			<-p.drained // Serve returns at once on Shutdown, while requests are still in flight
			return errStopped
		}
		return trace.Wrap(err, "serve %s", l.Addr())
	}, func(error) {
		p.endDrain()
		_ = server.Close()
	})
}

// serveReady answers the load balancer's readiness check: 200 if the instance can serve requests, otherwise 503.
func (p *process) serveReady(c echo.Context) error {
	if p.stopping.Load() || !p.state.Ready() {
		return c.NoContent(http.StatusServiceUnavailable)
	}
	return c.NoContent(http.StatusOK)
}

// drainOnSignal drains the instance after SIGTERM or SIGINT: the readiness check fails, so that the load balancer stops using it,
// each answer closes its connection, and requests in flight are completed up to the time to stop. It returns errStopped then.
func (p *process) drainOnSignal(ctx context.Context, callers *httpserver.Server) error {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(stop)
	select {
	case <-ctx.Done():
		return ctx.Err()
	case sig := <-stop:
		klog.InfoS("stopping", "signal", sig.String())
	}
	until := time.Now().Add(p.settings.StopTimeout - stopMargin)
	p.stopping.Store(true)
	p.gateway.Drain()
	time.Sleep(min(balancerDelay, p.settings.StopTimeout/2))
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	defer p.endDrain()
	klog.InfoS("connections before the server for callers is shut down", "connections", callers.Connections(), "late", p.lateness.max())
	if err := callers.Shutdown(ctx); err != nil {
		klog.InfoS("requests aborted at the end of the time to stop", "err", err.Error())
	}
	p.gossip.Leave()
	return errStopped
}
