package faultmatrix

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/egrethoist/egrethoist/internal/apikey"
	"github.com/egrethoist/egrethoist/internal/engine"
	"github.com/egrethoist/egrethoist/internal/engine/httpengine"
	"github.com/egrethoist/egrethoist/internal/entry"
	fakeengine "github.com/egrethoist/egrethoist/internal/fake/engine"
	"github.com/egrethoist/egrethoist/internal/fake/network"
	"github.com/egrethoist/egrethoist/internal/fake/plain"
	fakestore "github.com/egrethoist/egrethoist/internal/fake/store"
	"github.com/egrethoist/egrethoist/internal/fleet"
	"github.com/egrethoist/egrethoist/internal/platform/memory"
	"github.com/egrethoist/egrethoist/internal/sidecar"
	"github.com/egrethoist/egrethoist/internal/world"
)

// Names in the world of the matrix.
const (
	modelService = "planner-llm"
	plainService = "dispatch-app"
	firstVersion = "v1"
	nextVersion  = "v2"
	caller       = "caller"
)

// linkDelay is the one-way delay of every link. It is large, so that each hop of a request is a window of
// time in which a fault can strike.
const linkDelay = 10 * time.Millisecond

// domains are the failure domains; each holds one target of each service.
var domains = []string{"lufkin", "nacogdoches", "jasper"}

// workspaces are the callers' workspaces.
var workspaces = []string{"angelina-mill", "neches-yard"}

func apiKey(workspace string) string { return "sk-" + workspace }

func saltOf(workspace string) string { return "salt-of-" + workspace }

// newWorld declares three failure domains with one target of each service.
func newWorld() *world.World {
	w := &world.World{
		Revision:       world.Revision{Number: 1},
		FailureDomains: map[string]*world.FailureDomain{},
		Services:       map[string]*world.Service{},
		Targets:        map[string]*world.Target{},
		Workspaces:     map[string]*world.Workspace{},
		Stores:         map[string]*world.Store{},
		Links:          map[string]*world.Link{},
	}
	for i, name := range []string{"tract-cache", "quota-cache"} {
		link := &world.Link{Name: name + "-link", BytesPerSec: 1 << 30, Delay: time.Millisecond}
		w.Links[link.Name] = link
		w.Stores[name] = &world.Store{
			Name: name, FailureDomain: domains[i], Address: "127.0.0.1:0",
			MemoryBytes: 1 << 20, DiskBytes: 1 << 22, Link: link.Name,
		}
	}
	llm := &world.Service{
		Name: modelService, Kind: world.KindModel, WeightVersion: firstVersion,
		Cold: world.ColdLimits{InFlight: coldInFlight, Loaders: 1}, MaxInFlight: 16,
		BlockTokens: blockTokens, BlockBytes: 1024, Stores: []string{"tract-cache", "quota-cache"},
	}
	app := &world.Service{
		Name: plainService, Kind: world.KindPlain,
		Cold: world.ColdLimits{InFlight: 4, Loaders: 1}, MaxInFlight: 16, RetryWindow: 10 * time.Minute,
		Calls: []world.CallRule{
			{Method: http.MethodGet, PathPrefix: "/slots", Repeatable: true, Priority: world.PriorityQuick},
			{Method: http.MethodPost, PathPrefix: "/bookings", Priority: world.PriorityQuick},
		},
	}
	for _, d := range domains {
		w.FailureDomains[d] = &world.FailureDomain{Name: d, Region: "etx"}
		for _, s := range []*world.Service{llm, app} {
			t := &world.Target{Name: s.Name + "-" + d, Service: s.Name, FailureDomain: d, Sidecar: "127.0.0.1:0"}
			s.Targets = append(s.Targets, t)
			w.Targets[t.Name] = t
		}
	}
	for _, s := range []*world.Service{llm, app} {
		slices.SortFunc(s.Targets, func(a, b *world.Target) int {
			if a.Name < b.Name {
				return -1
			}
			return 1
		})
		w.Services[s.Name] = s
	}
	for _, name := range workspaces {
		w.Workspaces[name] = &world.Workspace{
			Name: name, Weight: 1, CacheSalt: saltOf(name),
			Keys: []world.APIKey{{ID: "k", SHA256: apikey.Hash(apiKey(name))}},
		}
	}
	return w
}

const (
	coldInFlight = 2
	blockTokens  = 64
	plainTime    = 20 * time.Millisecond // service time of a plain call
	startLimit   = 30 * time.Second
	stopLimit    = 10 * time.Second
	closeTime    = 6 * time.Minute // runs and connections that hang for good are given up within it
)

// bed is a running fleet under faults.
type bed struct {
	*fleet.Fleet
	hosts    *hosts
	kv       *memory.KV
	list     *instanceList
	start    time.Time  // when the call under test is sent
	procs    sync.Mutex // held while a sidecar is started or ended
	applying sync.Mutex

	mu       sync.Mutex
	world    *world.World
	h        History
	cold     map[string][]time.Time
	planned  bool
	silenced []time.Time      // when the caller's connections went silent
	sent     map[string]int64 // bytes from the first entry to each sidecar before the call
	cancel   context.CancelFunc
	work     sync.WaitGroup
}

// newBed starts a fleet whose engines hold both weight versions.
func newBed(ctx context.Context) (*bed, error) {
	b := &bed{
		hosts:   newHosts(network.New(linkDelay)),
		kv:      memory.NewKV(memory.Options{}),
		world:   newWorld(),
		cold:    map[string][]time.Time{},
		planned: true,
	}
	b.list = newInstanceList(b.world)
	f, err := fleet.Start(fleet.Options{
		NewSidecar: func(t *world.Target, o *sidecar.Options) {
			o.KV = &hostKV{KV: b.kv, hosts: b.hosts, ip: b.hosts.ip(t.Name)}
		},
		NewEntry:  func(o *entry.Options) { o.Instances = b.list.reading },
		World:     b.world,
		FreePorts: true,
		Network:   b.hosts,
		Entries: []fleet.EntryOptions{
			{Name: "entry-1", FailureDomain: domains[0], Region: "etx"},
			{Name: "entry-2", FailureDomain: domains[1], Region: "etx"},
		},
		Engine: engineOptions,
		KV:     b.kv,
		Plain:  func(*world.Target) plain.Options { return plain.Options{ServiceTime: plainTime} },
		Seed:   1,
	})
	if err != nil {
		return nil, err
	}
	b.Fleet = f
	b.world = f.World()
	b.h.Versions = []Version{{Name: firstVersion, At: time.Now()}}
	if err := b.ready(ctx); err != nil {
		b.close()
		return nil, err
	}
	return b, nil
}

// engineOptions make an engine that stays cold, at a steady speed, so that overloads count in every case.
func engineOptions(t *world.Target) fakeengine.Options {
	return fakeengine.Options{
		PrefillChunk: 2048,
		DecodeStream: time.Microsecond,
		BlockTokens:  blockTokens,
		BlockBytes:   1024,
		CacheBlocks:  64,
		LoadTime:     time.Millisecond,
		Cold:         fakeengine.Cold{InFlight: coldInFlight, Requests: 1 << 20, Slowdown: 1},
	}
}

// ready loads the next weight version everywhere and waits until every entry knows every target.
func (b *bed) ready(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	for _, n := range b.Targets {
		if n.Engine != nil {
			if err := b.load(ctx, n); err != nil {
				return err
			}
		}
	}
	return b.WaitReady(ctx)
}

// load has the target load the next version of its weights, as an operator orders it.
func (b *bed) load(ctx context.Context, n *fleet.TargetNode) error {
	m := httpengine.NewModel(httpengine.Options{
		Address: b.hosts.ip(n.Target.Name+"-backend") + ":" + hostPort,
		Dial:    b.hosts.Dialer("operator"),
	})
	defer m.Close()
	return m.Give(ctx, engine.Order{Action: engine.OrderLoadVersion, Version: nextVersion})
}

// close ends everything that the case started.
func (b *bed) close() {
	b.healAll()
	b.work.Wait()
	b.Close()
	time.Sleep(closeTime)
}

// healAll ends the faults of the network and of the targets.
func (b *bed) healAll() {
	for _, process := range b.processes() {
		b.hosts.Unfreeze(b.hosts.ip(process))
		for _, other := range b.processes() {
			b.hosts.Heal(b.hosts.ip(process), b.hosts.ip(other))
			b.hosts.Delay(b.hosts.ip(process), b.hosts.ip(other), linkDelay)
		}
	}
	for _, n := range b.Targets {
		healTarget(n)
	}
	b.kv.SetFaults(func(f *memory.Faults) { *f = memory.Faults{} })
	for _, s := range b.Stores {
		s.Store.SetFaults(fakestore.Faults{})
	}
}

func healTarget(n *fleet.TargetNode) {
	if n.Engine != nil {
		n.Engine.SetFaults(func(f *fakeengine.Faults) { *f = fakeengine.Faults{} })
		n.Engine.Unfreeze()
		return
	}
	n.Plain.SetFaults(func(f *plain.Faults) { *f = plain.Faults{} })
	n.Plain.Unfreeze()
	n.Plain.Restart()
}

func (b *bed) processes() []string {
	out := []string{caller}
	for _, e := range b.Entries {
		out = append(out, e.Name)
	}
	for _, name := range slices.Sorted(maps.Keys(b.Targets)) {
		out = append(out, name, name+"-backend")
	}
	return out
}

// apply puts a changed configuration in force at the processes that to names. One at a time: what keeps an older
// configuration from coming back is tested where configurations are distributed.
func (b *bed) apply(to scope, change func(w *world.World)) {
	b.applying.Lock()
	defer b.applying.Unlock()
	w := b.next(change)
	if to != onlyEntries {
		for _, n := range b.Targets {
			n.Config.Set(w)
		}
	}
	if to != onlySidecars {
		for _, e := range b.Entries {
			e.Config.Set(w)
		}
	}
}

// next makes the configuration that follows the last one.
func (b *bed) next(change func(w *world.World)) *world.World {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.world.Clone(func(*world.Target) {})
	w.FailureDomains = map[string]*world.FailureDomain{}
	for name, d := range b.world.FailureDomains {
		copied := *d
		w.FailureDomains[name] = &copied
	}
	w.Revision.Number++
	change(w)
	b.world = w
	return w
}

// scope says which processes an order reaches.
type scope int

const (
	everywhere scope = iota
	onlyEntries
	onlySidecars
)

// history gathers what the case left behind.
func (b *bed) history() *History {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := &b.h
	h.Planned = b.planned
	h.Bookings = b.Plain(plainService).Bookings()
	h.Salts = map[string]string{}
	for _, name := range workspaces {
		h.Salts[name] = saltOf(name)
	}
	for _, name := range slices.Sorted(maps.Keys(b.Targets)) {
		h.Targets = append(h.Targets, b.targetLog(b.Targets[name]))
	}
	h.End = time.Now()
	return h
}

func (b *bed) targetLog(n *fleet.TargetNode) TargetLog {
	log := TargetLog{Name: n.Target.Name, Domain: n.Target.FailureDomain, ColdSince: b.cold[n.Target.Name]}
	if n.Engine != nil {
		log.Engine = n.Engine.Log()
		log.Overloads = n.Engine.Overloads()
		log.Counts = n.Engine.Counts()
		return log
	}
	log.Plain = n.Plain.Log()
	return log
}
