package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
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
	"github.com/oklog/run"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
	"k8s.io/klog/v2"

	"github.com/egrethoist/egrethoist/internal/bootclock"
	"github.com/egrethoist/egrethoist/internal/delegate"
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
	// stallSlack is by how much a tick may be late before the process is reported as having stood still: well above a
	// garbage collection, well below the platform's shortest bound, two seconds.
	stallSlack = 300 * time.Millisecond
	// lapseGrace is how long a target is used whose record lapsed while the store was out of reach, after the store's
	// return: live ones are back within about two seconds.
	lapseGrace = 1800 * time.Millisecond
	// sendMargin is left of the platform's bounds for the way of a request to its target, a new connection included.
	sendMargin = 300 * time.Millisecond
	// awaitMost is how long a request waits for fresh metadata: dozens of round trips to the store. Requests of the platform's
	// shortest latency objective, 120 ms, are late after it, but reach no target that has left.
	awaitMost = 200 * time.Millisecond
	// lapseHeartbeats is how many heartbeats of the targets an outage of the store must last before a record can lapse in it:
	// records lapse after three, and may have been written one before the outage.
	lapseHeartbeats = 2
	// prefillRate is the tokens a second that a model engine is taken to read until its rate is learned.
	prefillRate   = 50_000
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
		Roster:   roster.Options{ExpiryGrace: min(lapseGrace, s.DrainTime*9/10)},
		Returned: func() time.Time { return p.mirror.RecoveredAt() },
		Age:      func() (time.Duration, bool) { return p.mirror.Age() },
		Await:    p.awaitFresh,
		ColdOver: s.ColdOver, ColdSlack: s.ColdSlack,
		RetryRatio: s.RetryRatio, RetryExtra: s.RetryExtra, RetryTime: s.RetryWindow, PrefillRate: prefillRate,
		WeightsTime: s.WeightsTime, LastResort: s.DrainTime - sendMargin, Metrics: scope,
	})
	p.mirror = metastore.NewMirror(metastore.MirrorOptions{
		Store: p.store, Prefix: "", OnChange: p.state.OnChange, FetchPeerCopy: p.copyFromPeer,
		Upstreams: func() []string { return metastore.Upstreams(s.Name, p.state.Members()) }, FetchChanges: p.changesFrom, MinExpiryOutage: lapseHeartbeats * s.Heartbeat,
	})
	p.engines = platform.NewEngines()
	p.keeper = gateway.NewKeeper(p.state, p.engines, p.isCurrent)
	p.gateway = gateway.New(gateway.Options{
		State: p.state, Protocol: platform.Protocol{}, Metrics: scope, Kept: p.keeper,
	})
	return p, nil
}

// awaitFresh waits until the metadata is younger than what the platform allows for leaving targets and configurations, or all
// that can be had.
func (p *process) awaitFresh(ctx context.Context) {
	limit := min(p.settings.DrainTime, p.settings.ConfigTime) - sendMargin
	p.mirror.WaitFresh(ctx, max(limit, metastore.MaxHealthyAge), awaitMost)
}

// isCurrent reports whether the view of the metadata store is fresh enough to use kept-cache stores by.
func (p *process) isCurrent() bool {
	age, known := p.mirror.Age()
	return known && age < gateway.FreshMetadata
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
	self := delegate.Member{Name: p.settings.Name, Domain: p.settings.FailureDomain, Address: p.peerAddress()}
	presence := &metastore.Presence{Store: p.store, Key: gateway.InstancePrefix + p.settings.Name, Value: in}
	p.group.add(p.mirror.Run)
	p.group.add(presence.Run)
	p.group.add(p.tick)
	lock := &metastore.Lock{Store: p.store, Key: gateway.OrdersLock, Owner: p.settings.Name, TTL: p.settings.LeaseTime, IsFree: p.state.OrdersFree}
	p.group.add(lock.Run)
	orderer := gateway.NewOrderer(gateway.OrdererOptions{Self: p.settings.Name, State: p.state, Store: p.store, Lock: lock, Engines: p.engines, Keeper: p.keeper})
	p.group.add((&gateway.NamingRecorder{State: p.state, Store: p.store}).Run)
	p.group.add(p.keeper.Run)
	p.group.add(gateway.NewGossip(gateway.GossipOptions{State: p.state, Keeper: p.keeper, Self: self}).Run)
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
	last := bootclock.Now()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		now := bootclock.Now()
		if gap := now - last; gap > tickPeriod+stallSlack {
			klog.InfoS("process stood still", "for", gap-tickPeriod)
		}
		last = now
		p.state.Tick(time.Now())
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
