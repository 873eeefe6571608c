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

	"github.com/egrethoist/egrethoist/platform"
)

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
	ready.GET(platform.ReadyPath, p.ready)
	if err := p.serveAt(p.settings.ReadyAddress, ready); err != nil {
		return trace.Wrap(err, "listen for checks")
	}
	peers := newEcho()
	peers.GET(copyPath, p.giveCopy)
	peers.GET(changesPath, p.serveChanges)
	peers.GET("/metrics", echo.WrapHandler(p.metrics))
	if err := p.serveAt(p.peerAddress(), peers); err != nil {
		return trace.Wrap(err, "listen for other instances")
	}
	p.group.add(func(ctx context.Context) error { return p.awaitStop(ctx, callers) })
	return nil
}

const (
	// noticeTime is how long a stopping instance still takes new connections: the balancer needs two failed checks a
	// second apart to leave it out.
	noticeTime = 2500 * time.Millisecond
	// stopMargin is left of the time to stop for what is still under way to be cut in order.
	stopMargin = 300 * time.Millisecond
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
