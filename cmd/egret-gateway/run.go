package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
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
	"github.com/egrethoist/egrethoist/internal/metapeer"
	"github.com/egrethoist/egrethoist/internal/metastore"
	"github.com/egrethoist/egrethoist/internal/roster"
	"github.com/egrethoist/egrethoist/platform"
)

const (
	// memoryShare is the fraction of the memory limit that is set as the soft limit of the Go runtime. The rest is for buffers of
	// the kernel and memory that the runtime does not count.
	memoryShare = 0.7
	// gcPercent is the GOGC value. A gateway uses little memory, so it can trade some for CPU time.
	gcPercent = 400
	// tickPeriod is how often State.Tick applies changes that come with time alone.
	tickPeriod = 200 * time.Millisecond
	// stallThreshold is how late a tick may be before it is logged as a stall of the process: well above a garbage collection, and
	// well below the platform's shortest time limit, two seconds.
	stallThreshold = 300 * time.Millisecond
	// expiryGrace is how long after an outage of the metadata store a target whose record expired in it stays in use: live targets write
	// their records again within about two seconds.
	expiryGrace = 1800 * time.Millisecond
	// sendMargin is reserved from the platform's time limits for sending a request to its target, including a new connection.
	sendMargin = 300 * time.Millisecond
	// maxFreshnessWait is how long a request waits for fresh metadata: dozens of round trips to the store. It exceeds the platform's
	// shortest latency objective, 120 ms: a late answer is better than a request to a target that has left.
	maxFreshnessWait = 200 * time.Millisecond
	// minExpiryHeartbeats is the shortest outage of the metadata store, in heartbeats of the targets, in which a record can expire:
	// records expire after three heartbeats without a write, and the last write may have been one heartbeat before the outage.
	minExpiryHeartbeats = 2
	// initialPrefillRate is the assumed prefill rate of an engine in tokens per second, until its actual rate is learned.
	initialPrefillRate = 50_000
	// replacedValues is how many replaced values of the largest size are kept, by which other instances are sent differences only.
	replacedValues = 4
	// metricsPeriod is how often the metrics are passed to the reporter.
	metricsPeriod = time.Second
)

// signals receives the signals of the process from its start to its end.
type signals struct {
	stop   chan os.Signal // SIGTERM and SIGINT
	reload chan os.Signal // SIGHUP
}

func newSignals() signals {
	s := signals{stop: make(chan os.Signal, 1), reload: make(chan os.Signal, 1)}
	signal.Notify(s.stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reload, syscall.SIGHUP)
	return s
}

// serve runs the gateway until it is stopped. It returns an error unless it was stopped by a signal.
func serve(s *platform.Settings, signals signals) error {
	debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryBytes)))
	debug.SetGCPercent(gcPercent)
	klog.InfoS("starting", "name", s.Name, "domain", s.FailureDomain, "store", s.StoreAddress, "first_start", s.FirstStart)
	p, err := newProcess(s, signals)
	if err != nil {
		return err
	}
	return p.run()
}

// process holds the components of the program.
type process struct {
	settings     *platform.Settings
	store        *platform.Store
	peers        *metapeer.Client
	mirror       *metastore.Mirror
	state        *gateway.State
	gateway      *gateway.Gateway
	engines      *platform.Engines
	cacheTracker *gateway.CacheTracker
	gossip       *gateway.Gossip
	metrics      http.Handler
	scope        tally.Scope
	lateness     lateness
	signals      signals
	stopping     atomic.Bool
	drained      chan struct{} // closed when the requests in flight have ended
	endDrain     func()
	group        runGroup
}

// newProcess creates the components without starting them.
func newProcess(s *platform.Settings, signals signals) (*process, error) {
	p := &process{
		settings: s, store: platform.OpenStore(platform.StoreOptions{Address: s.StoreAddress, LinkMbps: s.LinkMbps, ValueBytes: s.ValueBytes}), drained: make(chan struct{}),
		signals: signals,
	}
	p.peers = metapeer.NewClient(metapeer.ClientOptions{LinkMbps: s.LinkMbps, ValueBytes: s.ValueBytes, Base: func() (metastore.Item, bool) { return p.mirror.Base() }})
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
	p.metrics, p.scope = reporter.HTTPHandler(), scope
	p.lateness.gauge = scope.Gauge("process_late_seconds")
	p.group.onStop = closer.Close
	p.state = gateway.NewState(gateway.StateOptions{
		Self: s.Name, Regions: s.RegionByDomain, Domain: s.FailureDomain, Records: platform.NewRecords(),
		Roster:         roster.Options{ExpiryGrace: min(expiryGrace, s.DrainTimeout*9/10)},
		RecoveredAt:    func() time.Time { return p.mirror.RecoveredAt() },
		MetadataAge:    func() (time.Duration, bool) { return p.mirror.Age() },
		WaitFresh:      p.waitFresh,
		Suspended:      bootclock.NewSuspension().Total,
		ColdRateFactor: s.ColdRateFactor, ColdRateSlack: s.ColdRateSlack,
		RetryRatio: s.RetryRatio, RetryFloor: s.RetryFloor, RetryWindow: s.RetryWindow, InitialPrefillRate: initialPrefillRate,
		RolloutTimeout: s.WeightsDeadline, LastResortTime: s.DrainTimeout - sendMargin, Metrics: scope,
		Store: p.store, FirstStart: s.FirstStart, WorkspaceShares: s.HasContract(platform.ContractPressure), RolloutBounds: s.RolloutBounds(),
	})
	p.mirror = metastore.NewMirror(metastore.MirrorOptions{
		Store: p.store, Prefix: "", SkipPrefix: gateway.StreamPrefix, OnChange: p.state.OnChange, FetchPeerCopy: p.fetchCopy,
		Upstreams: func() []string { return metastore.Upstreams(s.Name, p.state.Members()) }, FetchChanges: p.peers.Changes, MinExpiryOutage: minExpiryHeartbeats * s.HeartbeatInterval,
		Readers: func() (time.Duration, []string) { return metastore.Readers(s.Name, p.state.Members()) }, FetchRead: p.peers.Read,
		UrgentPrefixes: append(platform.UrgentPrefixes(), gateway.KeyPrefix), ReplacedBytes: replacedValues * int(s.ValueBytes),
		OldAfter: min(s.DrainTimeout, s.ConfigDeadline), Metrics: scope,
	})
	p.engines = platform.NewEngines(s.LinkMbps)
	p.cacheTracker = gateway.NewCacheTracker(p.state, p.engines, p.isMetadataFresh)
	p.gateway = gateway.New(gateway.Options{
		State: p.state, Protocol: platform.Protocol{}, Metrics: scope, Cache: p.cacheTracker, MemoryBytes: s.MemoryBytes,
	})
	return p, nil
}

// waitFresh waits until the metadata is fresh enough for the platform's time limits on the use of leaving targets and old
// configurations, at most maxFreshnessWait.
func (p *process) waitFresh(ctx context.Context) {
	limit := min(p.settings.DrainTimeout, p.settings.ConfigDeadline) - sendMargin
	p.mirror.WaitFresh(ctx, max(limit, metastore.MaxHealthyAge), maxFreshnessWait)
}

// fetchCopy fetches a copy of the metadata that is newer than a revision from another instance, chosen at random for each call.
func (p *process) fetchCopy(ctx context.Context, after uint64) (metastore.Copy, error) {
	peers := p.state.PeerAddresses()
	if len(peers) == 0 {
		return metastore.Copy{}, trace.NotFound("no other instance known")
	}
	return p.peers.Copy(ctx, peers[rand.IntN(len(peers))], after)
}

// isMetadataFresh reports whether the metadata is fresh enough to fetch from and save to KV-cache stores.
func (p *process) isMetadataFresh() bool {
	age, known := p.mirror.Age()
	return known && age < gateway.MaxMetadataAge
}

// isListed reports whether this instance has a live record, unless the metadata is too old to tell.
func (p *process) isListed() bool { return p.state.Registered() || !p.isMetadataFresh() }

// runGroup is a run.Group of components that run until their context ends.
type runGroup struct {
	run.Group
	onStop func() error
}

// add adds a component that must return when its context ends.
func (g *runGroup) add(part func(ctx context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error { return part(ctx) }, func(error) { cancel() })
}

// run starts all components and returns when they have stopped. It returns nil after a planned stop.
func (p *process) run() error {
	record, err := json.Marshal(gateway.Instance{Address: p.peerAddress(), Domain: p.settings.FailureDomain, LinkMbps: p.settings.LinkMbps})
	if err != nil {
		return trace.Wrap(err)
	}
	self := delegate.Member{Name: p.settings.Name, Domain: p.settings.FailureDomain, Address: p.peerAddress(), LinkMbps: p.settings.LinkMbps}
	presence := &metastore.Presence{Store: p.store, Key: gateway.InstancePrefix + p.settings.Name, Value: record, IsListed: p.isListed}
	p.group.add(p.mirror.Run)
	p.group.add(presence.Run)
	p.group.add(p.tick)
	lock := &metastore.Lock{Store: p.store, Key: gateway.RolloutLockKey, Owner: p.settings.Name, TTL: p.settings.LeaseTTL, IsFree: p.state.RolloutLockFree}
	p.group.add(lock.Run)
	rollout := gateway.NewRolloutController(gateway.RolloutOptions{Self: p.settings.Name, State: p.state, Store: p.store, Lock: lock, Engines: p.engines, Cache: p.cacheTracker})
	p.group.add((&gateway.VersionRecorder{State: p.state, Store: p.store, Lock: lock}).Run)
	p.group.add((&gateway.MemberRecorder{State: p.state, Store: p.store, Value: record}).Run)
	p.group.add((&gateway.SharedScopeRecorder{State: p.state, Store: p.store}).Run)
	p.group.add((&gateway.QuarantineRecorder{State: p.state, Store: p.store}).Run)
	p.group.add((&gateway.SoftwareRecorder{State: p.state}).Run)
	p.group.add((&gateway.ClockReader{State: p.state, Engines: p.engines}).Run)
	p.group.add(p.cacheTracker.Run)
	p.gossip = gateway.NewGossip(gateway.GossipOptions{State: p.state, Cache: p.cacheTracker, Self: self})
	p.group.add(p.gossip.Run)
	p.group.add(rollout.Run)
	if p.settings.HasContract(platform.ContractRollout) {
		p.group.add(gateway.NewSoftwareRolloutController(gateway.SoftwareRolloutOptions{
			State: p.state, Store: p.store, Lock: lock, EncodeStatus: platform.EncodeRolloutStatus,
		}).Run)
	}
	p.group.add(p.reloadOnSignal)
	if err := p.listen(); err != nil {
		return err
	}
	err = p.group.Run()
	if closeErr := p.group.onStop(); closeErr != nil {
		klog.ErrorS(closeErr, "cannot close metrics reporter")
	}
	klog.InfoS("stopped", "name", p.settings.Name)
	if errors.Is(err, context.Canceled) || errors.Is(err, errStopped) {
		return nil
	}
	return err
}

// peerAddress returns the address, IP:port, at which this instance serves the other instances.
func (p *process) peerAddress() string {
	return net.JoinHostPort(p.settings.IP, fmt.Sprint(p.settings.PeerPort))
}

// tick calls State.Tick periodically until ctx ends, and logs when the process was suspended.
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
		if gap := now - last; gap > tickPeriod+stallThreshold {
			klog.InfoS("process stood still", "for", gap-tickPeriod)
		}
		p.lateness.record(now - last - tickPeriod)
		last = now
		p.mirror.ReportAge()
		p.state.Tick(time.Now())
	}
}

// lateness measures how long goroutines wait for the processor, by how late periodic ticks run.
type lateness struct {
	gauge  tally.Gauge // the latest tick, in seconds
	recent [latenessTicks]atomic.Int64
	next   int
}

// latenessTicks is the number of ticks that max covers, one second.
const latenessTicks = int(time.Second / tickPeriod)

// record records how late a tick ran. It must not be called concurrently.
func (l *lateness) record(late time.Duration) {
	l.gauge.Update(late.Seconds())
	l.recent[l.next].Store(int64(late))
	l.next = (l.next + 1) % latenessTicks
}

// max returns how late the latest tick of the last second ran.
func (l *lateness) max() time.Duration {
	longest := int64(0)
	for i := range l.recent {
		longest = max(longest, l.recent[i].Load())
	}
	return time.Duration(longest)
}

// reloadOnSignal validates the settings file on SIGHUP and logs the result. Changed settings take effect only at the next start, so
// that an operator knows that a restart is needed.
func (p *process) reloadOnSignal(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-p.signals.reload:
			if _, err := platform.LoadSettings(); err != nil {
				klog.ErrorS(err, "invalid settings ignored, the present ones stay in force")
				continue
			}
			klog.InfoS("settings file is valid; changes take effect at the next start")
		}
	}
}
