package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/egrethoist/egrethoist/internal/metastore/memory"
	"github.com/egrethoist/egrethoist/platform/standin"
)

const (
	host      = "shop.example"
	model     = "m"
	engines   = "engines"
	plain     = "plain"
	plainNext = "plain-next" // the second service of the route movedPrefix
	// promptCount is the number of distinct prompt prefixes, which callers repeat so that caches are used.
	promptCount = 40
	// storeCapacityTokens is the capacity of a KV-cache store. It is small enough that a store fills up within a run.
	storeCapacityTokens = 40_000
	// partTokens is the number of tokens in each repeated part of a prompt.
	partTokens = 700
)

// domains are the failure domains.
var domains = []string{"east", "west"}

// keys are the workspaces and their API keys. The last key is revoked and restored during a run.
var keys = []struct{ workspace, key string }{{"open", "key-open"}, {"other", "key-other"}, {"walled", "key-walled"}, {"guest", "key-guest"}}

// bounds are the limits that the instances are configured with and that are checked.
var bounds = standin.Bounds{
	Drain: 2 * time.Second, StopTimeout: 6 * time.Second, ConfigApply: 2 * time.Second, Evacuate: 3 * time.Second, LeaseTTL: 2 * time.Second,
	Weights: 7 * time.Second, RecoveryTime: 2 * time.Second, RetryRatio: 0.2, RetryFloor: 20, RetryWindow: 10 * time.Second,
	ColdRateFactor: 1.5, ColdRateSlack: 5, Contracts: "rollout", ExposeShare: 0.1, ExposeSlack: 10, Rollback: 5 * time.Second,
}

const (
	coldDuration = 2 * time.Second
	coldRate     = 20 // requests per second that a cold engine can serve
)

// fleet is the whole deployment: real instances, and simulations of everything else, with a link in front of each part except the
// metadata store, which has a link per instance.
type fleet struct {
	opts            Options
	disturbances    *disturbances
	history         *history
	checker         *checker
	rng             *rand.Rand
	metaStore       *standin.MetaStore
	metaStoreServer *http.Server
	operator        standin.Operator
	directory       *standin.Directory
	partStores      []*standin.PartStore
	instances       []*instance
	callers         *callers

	mu               sync.Mutex
	config           standin.Config
	endpoints        []*endpoint
	nextID           int
	weightVersion    int
	softwareReleases int
	addedRoutes      int                    // routes that were added during the run
	addedClasses     []*class               // requests to those that callers use now
	backups          []*memory.Backup       // of the metadata store, oldest first
	deadlyPart       atomic.Pointer[string] // part of new requests that crashes engines, nil if there is none
	runningFaults    sync.WaitGroup         // faults that are not over yet
	reservedStops    map[*instance]bool     // instances that a fault stops together with others
	logFaults        func(string)
}

// endpoint is an address at which targets run, one after the other.
type endpoint struct {
	link     *link
	service  string
	domain   string
	target   *standin.Target // nil before the first one has started
	software string          // version of the software of its targets
	reserved bool            // by a fault that changes the target
}

// newFleet starts all parts of the deployment. Instances write their settings and logs to dir; logFaults is called for each
// fault as it starts. It returns an error if a part cannot be started.
func newFleet(o Options, dir string, logFaults func(string)) (*fleet, error) {
	f := &fleet{
		opts: o, disturbances: newDisturbances(), history: newHistory(), rng: rand.New(rand.NewPCG(o.Seed, 0)), metaStore: standin.NewMetaStore(),
		directory: standin.NewDirectory(), weightVersion: 1, logFaults: logFaults,
		reservedStops: map[*instance]bool{},
	}
	f.callers = &callers{fleet: f}
	f.checker = newChecker(f.disturbances, f.history, bounds)
	f.operator = standin.Operator{Store: f.metaStore}
	f.directory.Isolate("walled")
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f.metaStoreServer = &http.Server{Handler: f.metaStore}
	go func() { _ = f.metaStoreServer.Serve(l) }() // ends when close is called
	if err := f.startPartStores(); err != nil {
		return nil, err
	}
	f.config = f.initialConfig()
	f.configure(func(*standin.Config) {})
	f.operator.SetWeightVersion(model, 1)
	for i := range o.Engines {
		if err := f.addEndpoint(engines, domains[i%len(domains)]); err != nil {
			return nil, err
		}
	}
	for i := range o.Plain {
		for _, service := range []string{plain, plainNext} {
			if err := f.addEndpoint(service, domains[i%len(domains)]); err != nil {
				return nil, err
			}
		}
	}
	for i := range o.Instances {
		if err := f.addInstance(i, dir, l.Addr().String()); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// loopback returns a loopback address for the n-th part of a subnet. Parts have separate addresses so that their ports do not
// conflict.
func loopback(subnet, n int) string { return fmt.Sprintf("127.%d.%d.%d", subnet, n/250, n%250+1) }

// Second bytes of the loopback addresses of parts.
const (
	instanceSubnet = 10
	targetSubnet   = 11
	storeSubnet    = 12
)

// startPartStores starts the KV-cache stores and adds them to the configuration.
func (f *fleet) startPartStores() error {
	for i := range f.opts.Stores {
		l, err := newLink(loopback(storeSubnet, i)+":0", "")
		if err != nil {
			return err
		}
		store, local, err := standin.StartPartStore(f.directory, l.Address, loopback(storeSubnet, i), storeCapacityTokens, 3*f.opts.Instances)
		if err != nil {
			return err
		}
		l.setBackend(local)
		f.partStores = append(f.partStores, store)
		f.config.Services = append(f.config.Services, standin.Service{
			Name: fmt.Sprintf("kept-%d", i), KVStoreAddress: l.Address, Domain: domains[i%len(domains)], CapacityTokens: storeCapacityTokens, LinkMbps: 1000,
			MaxReaders: 3 * f.opts.Instances, Managed: true,
		})
	}
	return nil
}

// initialConfig returns the configuration at the start of a run, including the services that f.config already has.
func (f *fleet) initialConfig() standin.Config {
	c := standin.Config{
		Limits: standin.Limits{HeaderBytes: 16384, BodyBytes: 1 << 20, HeaderMs: 3000, IdleMs: 15000},
		Services: append([]standin.Service{
			{Name: plain, MaxConns: 100}, {Name: plainNext, MaxConns: 100},
			{Name: engines, MaxConns: 200, ColdStartS: coldDuration.Seconds(), ColdPerS: coldRate, Engine: &standin.Engine{
				Slots: 16, CapacityTokens: 200_000, MaxReaders: 1, Managed: true, Models: []standin.Model{{Name: model}},
			}},
		}, f.config.Services...),
	}
	for _, cl := range classes {
		kind := "non_idempotent"
		switch {
		case cl.stream:
			kind = "streaming"
		case cl.repeatable:
			kind = "idempotent"
		}
		c.Routes = append(c.Routes, standin.Route{
			Name: cl.name, Host: host, Prefix: cl.prefix, Kind: kind, TimeoutMs: int(cl.patience.Milliseconds()), TargetLatencyMs: 500,
			Service: cl.service, MaxAttempts: 2, Resumable: cl.resumable, StickySessions: cl.stream,
		})
	}
	for _, k := range keys {
		c.Workspaces = append(c.Workspaces, standin.Workspace{Name: k.workspace, Keys: []string{k.key}, Isolated: k.workspace == "walled"})
	}
	return c
}

// configure changes a copy of the configuration and writes it to the metadata store.
func (f *fleet) configure(change func(*standin.Config)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := f.config
	next.Routes = append([]standin.Route(nil), f.config.Routes...)
	next.Workspaces = append([]standin.Workspace(nil), f.config.Workspaces...)
	change(&next)
	next.Version += 1 + uint64(len(next.Routes)%3) // versions may skip numbers
	f.config = next
	// Recorded before the write, because instances may apply it before the write returns.
	f.history.recordConfig(next)
	f.operator.Configure(next)
}

// addEndpoint adds an endpoint and starts a warm target of the service there.
func (f *fleet) addEndpoint(service, domain string) error {
	l, err := newLink(loopback(targetSubnet, len(f.endpoints))+":0", "")
	if err != nil {
		return err
	}
	ep := &endpoint{link: l, service: service, domain: domain, software: "v1"}
	f.endpoints = append(f.endpoints, ep)
	return f.startTarget(ep, service, 0)
}

// startTarget starts a new target of the service at an endpoint. The target is cold for the given time.
func (f *fleet) startTarget(ep *endpoint, service string, cold time.Duration) error {
	f.mu.Lock()
	f.nextID++
	id, weights := fmt.Sprintf("i-%04d", f.nextID), f.weightVersion
	f.mu.Unlock()
	o := standin.TargetOptions{
		ID: id, Service: service, Domain: ep.domain, Public: ep.link.Address, Weights: weights, Software: ep.software, Slots: 8, Cold: cold,
		Store: f.metaStore, Parts: f.directory, Observer: f.checker, Seed: f.opts.Seed + uint64(f.nextID),
	}
	if service == engines {
		o.Model, o.Slots = model, 16
		o.IsDeadly, o.Crash = isDeadly, func(part string) { f.crashUnder(ep, id, part) }
	}
	t, err := standin.StartTarget(o, loopback(targetSubnet, 0))
	if err != nil {
		return err
	}
	ep.link.setBackend(t.ListenAddress)
	if err := ep.link.resume(); err != nil {
		return err
	}
	f.mu.Lock()
	ep.service, ep.target = service, t
	f.mu.Unlock()
	return nil
}

// Ports of each instance, on its own address.
const (
	frontPort = 7000
	readyPort = 7001
	peerPort  = 7002
)

// maxParallelSeeds is the number of consecutive seeds that can run at the same time without sharing addresses.
const maxParallelSeeds = 200

// checkPortsFree returns an error if another process uses one of an instance's ports, such as a process left over from an
// interrupted run.
func checkPortsFree(ip string) error {
	// A process that another seed starts meanwhile would hold the listeners until it executes its program.
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	for _, port := range []int{frontPort, readyPort, peerPort} {
		l, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			return fmt.Errorf("an instance's port is in use (by an earlier run, or a seed %d apart): %w", maxParallelSeeds, err)
		}
		if err := l.Close(); err != nil {
			return err
		}
	}
	return nil
}

// addInstance starts the i-th instance; meta is the address of the metadata store.
func (f *fleet) addInstance(i int, dir, meta string) error {
	name := fmt.Sprintf("front-%d", i)
	ip := loopback(instanceSubnet, int(f.opts.Seed%maxParallelSeeds)*250+i) // concurrent runs have other seeds
	if err := checkPortsFree(ip); err != nil {
		return err
	}
	storeLink, err := newLink(ip+":0", meta)
	if err != nil {
		return err
	}
	storeLink.limit(linkMbps(i))
	callerLink, err := newLink(ip+":0", fmt.Sprintf("%s:%d", ip, frontPort))
	if err != nil {
		return err
	}
	in := &instance{
		program: f.opts.Program, dir: dir, callerLink: callerLink, storeLink: storeLink,
		spec: standin.Instance{
			Name: name, Domain: domains[i%len(domains)], IP: ip, FrontPort: frontPort, ReadyPort: readyPort, PeerPort: peerPort,
			MetaStoreAddress: storeLink.Address, Domains: domains, Bounds: bounds, LinkMbps: linkMbps(i),
		},
	}
	if err := in.writeSettings(); err != nil {
		return err
	}
	f.instances = append(f.instances, in)
	return in.start(func(instance string, err error) {
		f.checker.Violation("FAULT", "instance %s exited unexpectedly: %v", instance, err)
	})
}

// rotation returns the instances to which the load balancer connects callers: those that are ready, or all if fewer than half are.
func (f *fleet) rotation() []*instance {
	var ready []*instance
	for _, in := range f.instances {
		if in.ready.Load() {
			ready = append(ready, in)
		}
	}
	if 2*len(ready) < len(f.instances) {
		return f.instances
	}
	return ready
}

// pollReadiness polls the readiness of all instances until ctx ends.
func (f *fleet) pollReadiness(ctx context.Context) {
	var all sync.WaitGroup
	for _, in := range f.instances {
		all.Go(func() { in.pollReadiness(ctx) })
	}
	all.Wait()
}

// close stops all parts of the deployment.
func (f *fleet) close() {
	for _, in := range f.instances {
		in.shutdown()
		in.callerLink.close()
		in.storeLink.close()
	}
	for _, ep := range f.endpoints {
		if ep.target != nil {
			ep.target.Stop(true)
		}
		ep.link.close()
	}
	for _, s := range f.partStores {
		s.Stop()
	}
	_ = f.metaStoreServer.Close()
}
