package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/egrethoist/egrethoist/platform/standin"
)

const (
	host      = "shop.example"
	model     = "m"
	engines   = "engines"
	plain     = "plain"
	plainNext = "plain-next" // the service that a route moves to and back
	// prompts is the number of prompts that callers return to.
	prompts = 40
	// storeTokens is the capacity of a kept-cache store: it fills up within a run.
	storeTokens = 40_000
	partTokens  = 700
)

var domains = []string{"east", "west"}

// keys are API keys by workspace; the last one is taken away and given back.
var keys = []struct{ workspace, key string }{{"open", "key-open"}, {"other", "key-other"}, {"walled", "key-walled"}, {"guest", "key-guest"}}

var bounds = standin.Bounds{
	Drain: 2 * time.Second, StopTimeout: 6 * time.Second, ConfigApply: 2 * time.Second, Evacuate: 3 * time.Second, LeaseTTL: 2 * time.Second,
	Weights: 7 * time.Second, RecoveryTime: 2 * time.Second, RetryRatio: 0.2, RetryFloor: 20, RetryWindow: 10 * time.Second,
	ColdRateFactor: 1.5, ColdRateSlack: 5,
}

const (
	coldTime = 2 * time.Second
	coldRate = 20 // requests a second that a cold engine bears
)

// fleet is the whole deployment: real instances, and stand-ins of all else, with a link in front of each.
type fleet struct {
	opts      Options
	calm      *calm
	world     *history
	ledger    *ledger
	rng       *rand.Rand
	meta      *standin.MetaStore
	metaHTTP  *http.Server
	operator  standin.Operator
	parts     *standin.Directory
	stores    []*standin.PartStore
	instances []*instance

	mu        sync.Mutex
	config    standin.Config
	targets   []*place
	nextID    int
	weights   int
	running   sync.WaitGroup // faults under way
	logFaults func(string)
}

// place is an address at which one target after another lives.
type place struct {
	link    *link
	service string
	domain  string
	target  *standin.Target // nil while none lives there
	busy    bool            // a fault changes it
}

func newFleet(o Options, dir string, logFaults func(string)) (*fleet, error) {
	f := &fleet{
		opts: o, calm: newCalm(), world: newHistory(), rng: rand.New(rand.NewPCG(o.Seed, 0)), meta: standin.NewMetaStore(),
		parts: standin.NewDirectory(), weights: 1, logFaults: logFaults,
	}
	f.ledger = newLedger(f.calm, f.world, bounds)
	f.operator = standin.Operator{Store: f.meta}
	f.parts.Isolate("walled")
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f.metaHTTP = &http.Server{Handler: f.meta}
	go func() { _ = f.metaHTTP.Serve(l) }() // ends with close
	if err := f.startStores(); err != nil {
		return nil, err
	}
	f.config = f.firstConfig()
	f.configure(func(*standin.Config) {})
	f.operator.SetWeightVersion(model, 1)
	for i := range o.Engines {
		if err := f.addPlace(engines, domains[i%len(domains)]); err != nil {
			return nil, err
		}
	}
	for i := range o.Plain {
		for _, service := range []string{plain, plainNext} {
			if err := f.addPlace(service, domains[i%len(domains)]); err != nil {
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

// loopback returns an address of its own for each part, so that ports never clash.
func loopback(group, n int) string { return fmt.Sprintf("127.%d.%d.%d", group, n/250, n%250+1) }

const (
	groupInstances = 10
	groupTargets   = 11
	groupStores    = 12
)

func (f *fleet) startStores() error {
	for i := range f.opts.Stores {
		l, err := newLink(loopback(groupStores, i)+":0", "")
		if err != nil {
			return err
		}
		store, local, err := standin.StartPartStore(f.parts, l.Address, loopback(groupStores, i), storeTokens, 3*f.opts.Instances)
		if err != nil {
			return err
		}
		l.setBackend(local)
		f.stores = append(f.stores, store)
		f.config.Services = append(f.config.Services, standin.Service{
			Name: fmt.Sprintf("kept-%d", i), KVStoreAddress: l.Address, Domain: domains[i%len(domains)], CapacityTokens: storeTokens, LinkMbps: 1000,
			MaxReaders: 3 * f.opts.Instances, Managed: true,
		})
	}
	return nil
}

func (f *fleet) firstConfig() standin.Config {
	c := standin.Config{
		Limits: standin.Limits{HeaderBytes: 16384, BodyBytes: 1 << 20, HeaderMs: 3000, IdleMs: 15000},
		Services: append([]standin.Service{
			{Name: plain, MaxConns: 100}, {Name: plainNext, MaxConns: 100},
			{Name: engines, MaxConns: 200, ColdStartS: coldTime.Seconds(), ColdPerS: coldRate, Engine: &standin.Engine{
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

// configure changes the configuration and puts it into force.
func (f *fleet) configure(change func(*standin.Config)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := f.config
	next.Routes = append([]standin.Route(nil), f.config.Routes...)
	next.Workspaces = append([]standin.Workspace(nil), f.config.Workspaces...)
	change(&next)
	next.Version += 1 + uint64(len(next.Routes)%3) // in uneven steps
	f.config = next
	// Noted first: a request may run by it before the write returns.
	f.world.configured(next)
	f.operator.Configure(next)
}

func (f *fleet) addPlace(service, domain string) error {
	l, err := newLink(loopback(groupTargets, len(f.targets))+":0", "")
	if err != nil {
		return err
	}
	p := &place{link: l, service: service, domain: domain}
	f.targets = append(f.targets, p)
	return f.fill(p, service, 0)
}

// fill starts a new target at a place.
func (f *fleet) fill(p *place, service string, cold time.Duration) error {
	f.mu.Lock()
	f.nextID++
	id, weights := fmt.Sprintf("i-%04d", f.nextID), f.weights
	f.mu.Unlock()
	o := standin.TargetOptions{
		ID: id, Service: service, Domain: p.domain, Public: p.link.Address, Weights: weights, Slots: 8, Cold: cold,
		Store: f.meta, Parts: f.parts, Observer: f.ledger, Seed: f.opts.Seed + uint64(f.nextID),
	}
	if service == engines {
		o.Model, o.Slots = model, 16
	}
	t, err := standin.StartTarget(o, loopback(groupTargets, 0))
	if err != nil {
		return err
	}
	p.link.setBackend(t.ListenAddress)
	f.mu.Lock()
	p.service, p.target = service, t
	f.mu.Unlock()
	return nil
}

const (
	frontPort = 7000
	readyPort = 7001
	peerPort  = 7002
)

// seedAddresses is the number of seeds that can be played side by side without sharing addresses.
const seedAddresses = 200

// checkFree fails if another process uses an instance's ports, such as one that an interrupted run left behind.
func checkFree(ip string) error {
	for _, port := range []int{frontPort, readyPort, peerPort} {
		l, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			return fmt.Errorf("an instance's port is in use (by an earlier run, or a seed %d apart): %w", seedAddresses, err)
		}
		if err := l.Close(); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) addInstance(i int, dir, meta string) error {
	name := fmt.Sprintf("front-%d", i)
	ip := loopback(groupInstances, int(f.opts.Seed%seedAddresses)*250+i) // runs beside this one have other seeds
	if err := checkFree(ip); err != nil {
		return err
	}
	store, err := newLink(ip+":0", meta)
	if err != nil {
		return err
	}
	front, err := newLink(ip+":0", fmt.Sprintf("%s:%d", ip, frontPort))
	if err != nil {
		return err
	}
	in := &instance{
		program: f.opts.Program, dir: dir, front: front, store: store,
		machine: standin.Instance{
			Name: name, Domain: domains[i%len(domains)], IP: ip, FrontPort: frontPort, ReadyPort: readyPort, PeerPort: peerPort,
			MetaStoreAddress: store.Address, Domains: domains, Bounds: bounds,
		},
	}
	if err := in.writeSettings(); err != nil {
		return err
	}
	f.instances = append(f.instances, in)
	return in.start(func(instance string, err error) {
		f.ledger.Violation("FAULT", "instance %s ended by itself: %v", instance, err)
	})
}

// checkReadiness keeps the balancer's rotation up to date until ctx ends.
func (f *fleet) checkReadiness(ctx context.Context) {
	var all sync.WaitGroup
	for _, in := range f.instances {
		all.Go(func() { in.check(ctx) })
	}
	all.Wait()
}

// close ends everything that the fleet started.
func (f *fleet) close() {
	for _, in := range f.instances {
		in.shutdown()
		in.front.close()
		in.store.close()
	}
	for _, p := range f.targets {
		if p.target != nil {
			p.target.Stop(true)
		}
		p.link.close()
	}
	for _, s := range f.stores {
		s.Stop()
	}
	_ = f.metaHTTP.Close()
}
