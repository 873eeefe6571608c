package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"

	"github.com/egrethoist/egrethoist/internal/configkv"
	"github.com/egrethoist/egrethoist/internal/distribution"
	"github.com/egrethoist/egrethoist/internal/distribution/plan"
	"github.com/egrethoist/egrethoist/internal/manifest"
	"github.com/egrethoist/egrethoist/internal/peer"
	"github.com/egrethoist/egrethoist/internal/platform"
	"github.com/egrethoist/egrethoist/internal/platform/memory"
	"github.com/egrethoist/egrethoist/internal/sleep"
	"github.com/egrethoist/egrethoist/internal/units"
	"github.com/egrethoist/egrethoist/internal/world"
)

// configFleet is a number of processes that hold the configuration, over loopback, with one key-value service.
type configFleet struct {
	kv      *memory.KV
	stale   atomic.Bool
	nodes   []*configNode
	entries []plan.Peer
	wire    wire
	cancel  context.CancelFunc
	done    sync.WaitGroup

	pausing sync.Mutex
	paused  bool
	closed  bool
}

// configNode is one process.
type configNode struct {
	history
	gate    gate
	self    plan.Peer
	server  *http.Server
	client  *peer.Set
	current atomic.Pointer[world.World]
}

// gate holds up whatever passes it while its process is paused.
type gate struct{ lock sync.RWMutex }

func (g *gate) pass() {
	g.lock.RLock()
	defer g.lock.RUnlock()
}

// fleetSize is the number of processes of a configFleet and whether their last failure domain is a second region.
type fleetSize struct {
	entries, sidecars int
	twoRegions        bool
}

// newConfigFleet starts the processes and gives the sidecars' addresses to doc.
func newConfigFleet(ctx context.Context, o Options, doc *manifest.Document, size fleetSize, naive bool) (*configFleet, error) {
	ctx, cancel := context.WithCancel(ctx)
	f := &configFleet{kv: memory.NewKV(memory.Options{ReadsPerSec: kvReadsPerSec, WritesPerSec: kvWritesPerSec}), cancel: cancel}
	if size.twoRegions {
		doc.FailureDomains[len(doc.FailureDomains)-1].Region = "other-region"
	}
	var listeners []net.Listener
	for i := range size.entries + size.sidecars {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			cancel()
			return nil, trace.Wrap(err)
		}
		listeners = append(listeners, l)
		f.declare(i-size.entries, i, l.Addr().String(), doc)
	}
	for i, n := range f.nodes {
		f.start(ctx, o, n, listeners[i], naive)
	}
	return f, nil
}

// declare makes process i: an entry, or the sidecar of a target if target is not negative.
func (f *configFleet) declare(target, i int, address string, doc *manifest.Document) {
	domain := doc.FailureDomains[i%len(doc.FailureDomains)]
	self := plan.Peer{Name: fmt.Sprintf("entry-%02d", i), Region: domain.Region, Address: address}
	if target >= 0 {
		self.Name, self.Role = fmt.Sprintf("target-%02d", target), plan.RoleSidecar
		addTarget(doc, target, self.Name, domain.Name, address)
	} else {
		f.entries = append(f.entries, self)
	}
	f.nodes = append(f.nodes, &configNode{self: self})
}

// addTarget replaces the targets of the first service, the first time, and adds to them from then on.
func addTarget(doc *manifest.Document, i int, name, domain, address string) {
	if i == 0 {
		doc.Services = doc.Services[:1]
		doc.Services[0].Targets = nil
	}
	var a units.Address
	if err := a.UnmarshalText([]byte(address)); err != nil {
		panic(err) // it is a listener's
	}
	s := &doc.Services[0]
	s.Targets = append(s.Targets, manifest.Target{Name: name, FailureDomain: domain, Sidecar: a})
}

func (f *configFleet) start(ctx context.Context, o Options, n *configNode, l net.Listener, naive bool) {
	rng := rand.New(rand.NewPCG(o.Seed, xxhash.Sum64String(n.self.Name)))
	kv := &processKV{KV: f.kv, fleet: f, gate: &n.gate, rng: rng}
	if naive {
		l.Close()
		f.done.Go(func() { n.followNaively(ctx, kv) })
		return
	}
	n.client = peer.NewSet(f.wire.Dialer(n.self.Name), nil)
	opts := distribution.Options{
		Self: n.self, KV: kv, Client: n, Rand: rng,
		Bootstrap: []string{f.entries[0].Address, f.entries[1].Address},
	}
	if n.self.Role == plan.RoleEntry {
		opts.Entries = func() ([]plan.Peer, uint64) { return f.entries, 1 }
	}
	d := distribution.New(opts)
	mux := http.NewServeMux()
	path, h := d.Handler()
	mux.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) {
		n.gate.pass()
		h.ServeHTTP(w, r)
	})
	n.server = peer.NewServer(mux, nil)
	f.done.Go(func() { n.server.Serve(l) })
	f.done.Go(func() { d.Run(ctx) })
	f.done.Go(func() { n.follow(ctx, d) })
}

// Do sends a request to a peer unless the process is paused.
func (n *configNode) Do(req *http.Request) (*http.Response, error) {
	n.gate.pass()
	return n.client.Do(req)
}

func (n *configNode) follow(ctx context.Context, d *distribution.Distributor) {
	changed, end := d.Subscribe()
	defer end()
	for ctx.Err() == nil {
		n.hold(d.Current())
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

func (n *configNode) hold(w *world.World) {
	n.current.Store(w)
	n.note(w)
}

// Times of the naive version.
const (
	naiveWait    = 2 * time.Second
	naiveBackoff = 500 * time.Millisecond
)

// followNaively waits for changes of the head and puts in force whatever it names.
func (n *configNode) followNaively(ctx context.Context, kv platform.KV) {
	var after uint64
	for ctx.Err() == nil {
		head, err := configkv.WaitHead(ctx, kv, after, naiveWait)
		if err == nil && head.Version != after {
			err = n.takeNaively(ctx, kv, head)
		}
		if err != nil {
			sleep.For(ctx, naiveBackoff)
			continue
		}
		after = head.Version
	}
}

func (n *configNode) takeNaively(ctx context.Context, kv platform.KV, head configkv.Head) error {
	canonical, err := configkv.ReadManifest(ctx, kv, head.Lineage.Revision)
	if err != nil {
		return err
	}
	doc, err := manifest.Decode(canonical)
	if err != nil {
		return err
	}
	w := doc.World()
	w.Revision = head.Lineage.Revision
	n.hold(w)
	return nil
}

// holdingAtLeast counts the processes that hold a revision or a later one.
func (f *configFleet) holdingAtLeast(number uint64) int {
	count := 0
	for _, n := range f.nodes {
		if w := n.current.Load(); w != nil && w.Revision.Number >= number {
			count++
		}
	}
	return count
}

// pause stops or resumes one entry and two sidecars. A closed fleet is paused no more.
func (f *configFleet) pause(on bool) {
	f.pausing.Lock()
	defer f.pausing.Unlock()
	if !f.closed {
		f.setPaused(on)
	}
}

func (f *configFleet) setPaused(on bool) {
	if on == f.paused {
		return
	}
	f.paused = on
	for _, i := range []int{0, configEntries, configEntries + 1} {
		n := f.nodes[i]
		if on {
			n.gate.lock.Lock()
			continue
		}
		n.mu.Lock()
		n.resumed = time.Now()
		n.mu.Unlock()
		n.gate.lock.Unlock()
	}
}

// close ends the processes. Those that are paused go on first, since they could not end.
func (f *configFleet) close() {
	f.pausing.Lock()
	f.setPaused(false)
	f.closed = true
	f.pausing.Unlock()
	f.cancel()
	for _, n := range f.nodes {
		if n.server != nil {
			n.server.Close()
			n.client.Close()
		}
	}
	f.done.Wait()
}

// Stale reads: one in staleOneIn shows the head staleBy changes ago.
const (
	staleOneIn = 3
	staleBy    = 3
)

// processKV is the key-value service as one process reaches it.
type processKV struct {
	platform.KV
	fleet *configFleet
	gate  *gate
	mu    sync.Mutex
	rng   *rand.Rand
	heads []platform.Item // distinct heads read, the latest last
}

// Get implements platform.KV.
func (k *processKV) Get(ctx context.Context, key string) (platform.Item, error) {
	k.gate.pass()
	item, err := k.KV.Get(ctx, key)
	return k.read(key, item, err), err
}

// Wait implements platform.KV.
func (k *processKV) Wait(ctx context.Context, key string, after uint64, wait time.Duration) (platform.Item, error) {
	k.gate.pass()
	item, err := k.KV.Wait(ctx, key, after, wait)
	k.gate.pass()
	return k.read(key, item, err), err
}

// read returns an earlier head now and then while reads are stale.
func (k *processKV) read(key string, item platform.Item, err error) platform.Item {
	if err != nil || key != configkv.HeadKey || item.Version == 0 {
		return item
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if n := len(k.heads); n == 0 || k.heads[n-1].Version != item.Version {
		k.heads = append(k.heads, item)
	}
	if n := len(k.heads); k.fleet.stale.Load() && n > staleBy && k.rng.IntN(staleOneIn) == 0 {
		return k.heads[n-1-staleBy]
	}
	return item
}
