package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"time"

	"github.com/egrethoist/egrethoist/internal/apikey"
	"github.com/egrethoist/egrethoist/internal/configkv"
	"github.com/egrethoist/egrethoist/internal/control"
	"github.com/egrethoist/egrethoist/internal/distribution"
	"github.com/egrethoist/egrethoist/internal/distribution/plan"
	"github.com/egrethoist/egrethoist/internal/entry"
	"github.com/egrethoist/egrethoist/internal/fleet"
	"github.com/egrethoist/egrethoist/internal/httpclient"
	"github.com/egrethoist/egrethoist/internal/limit"
	"github.com/egrethoist/egrethoist/internal/manifest"
	"github.com/egrethoist/egrethoist/internal/peer"
	"github.com/egrethoist/egrethoist/internal/platform"
	"github.com/egrethoist/egrethoist/internal/platform/memory"
	"github.com/egrethoist/egrethoist/internal/platform/rpc"
	"github.com/egrethoist/egrethoist/internal/sleep"
	"github.com/egrethoist/egrethoist/internal/subset"
	"github.com/egrethoist/egrethoist/internal/units"
	"github.com/egrethoist/egrethoist/internal/world"
)

// Sizes of the declared fleet.
var (
	targetSizes    = []int{400, 800, 1600, 3200}
	workspaceSizes = []int{575, 1150, 2300, 4600}
	quiet          = 3 // calls of which the quickest counts
)

// sized returns the customer's sample with a number of targets and workspaces.
func (o Options) sized(targets, workspaces int) (*manifest.Document, error) {
	doc, err := o.document()
	if err != nil {
		return nil, err
	}
	rng := o.rng(11)
	doc.Workspaces = doc.Workspaces[:1]
	for i := range targets {
		domain := doc.FailureDomains[i%len(doc.FailureDomains)].Name
		addTarget(doc, i, fmt.Sprintf("target-%04d", i), domain, fmt.Sprintf("10.%d.%d.%d:7100", i>>16, i>>8&255, i&255))
	}
	for i := 1; i < workspaces; i++ {
		doc.Workspaces = append(doc.Workspaces, randomWorkspace(rng, i))
	}
	return doc, nil
}

func randomWorkspace(rng *rand.Rand, i int) manifest.Workspace {
	var h units.Hash
	for j := range h {
		h[j] = byte(rng.Uint32())
	}
	return manifest.Workspace{
		Name: fmt.Sprintf("workspace-%04d", i), Weight: 1, MaxInFlight: 16,
		CacheSalt: fmt.Sprintf("%016x", rng.Uint64()), Keys: []manifest.APIKey{{ID: "dev", SHA256: h}},
	}
}

// declared gives the two ways in which a configuration grows to a measure.
func (m *measurer) declared(name, unit string, cost func(doc *manifest.Document) (float64, error)) {
	m.over(name, unit, "target", targetSizes, func(n int) (float64, error) {
		doc, err := m.o.sized(n, 1)
		if err != nil {
			return 0, err
		}
		return cost(doc)
	})
	m.over(name, unit, "workspace", workspaceSizes, func(n int) (float64, error) {
		doc, err := m.o.sized(1, n)
		if err != nil {
			return 0, err
		}
		return cost(doc)
	})
}

// configuration measures what each process does for one change.
func (m *measurer) configuration() {
	m.declared("manifest, canonical", "bytes", func(doc *manifest.Document) (float64, error) {
		return float64(len(manifest.Encode(doc))), nil
	})
	m.declared("manifest, compressed", "bytes", func(doc *manifest.Document) (float64, error) {
		return float64(len(manifest.Compress(manifest.Encode(doc)))), nil
	})
	m.declared("step of one change", "bytes", func(doc *manifest.Document) (float64, error) {
		base, next := oneChange(doc)
		return float64(len(manifest.Delta(base, next))), nil
	})
	m.declared("taking one step", "microseconds", takeStep)
	m.declared("configuration held", "bytes", func(doc *manifest.Document) (float64, error) {
		return heapOf(func() (any, error) {
			canonical := manifest.Encode(doc)
			decoded, err := manifest.Decode(canonical)
			if err != nil {
				return nil, err
			}
			return []any{canonical, decoded.World()}, nil
		})
	})
}

func oneChange(doc *manifest.Document) (base, next []byte) {
	base = manifest.Encode(doc)
	doc.Workspaces[0].Weight++
	return base, manifest.Encode(doc)
}

// takeStep does what a process does with a step: edits, digest, and building what has changed.
func takeStep(doc *manifest.Document) (float64, error) {
	base, next := oneChange(doc)
	edits := manifest.Delta(base, next)
	prev, failed := manifest.Build(nil, base)
	if failed != nil {
		return 0, failed
	}
	took := timeOf(quiet, func() {
		canonical, err := manifest.ApplyDelta(base, edits)
		if err != nil {
			failed = err
			return
		}
		manifest.Digest(canonical, world.Digest{})
		if _, err := manifest.Build(prev, canonical); err != nil {
			failed = err
		}
	})
	return took, failed
}

// entryMemory measures what an entry derives from the configuration.
func (m *measurer) entryMemory() {
	m.declared("entry: view, rebuilt", "microseconds", func(doc *manifest.Document) (float64, error) {
		e, err := newIdleEntry(doc.World())
		if err != nil {
			return 0, err
		}
		return timeOf(2*quiet, e.RebuildView), nil
	})
	m.declared("entry: view, held", "bytes", func(doc *manifest.Document) (float64, error) {
		w := doc.World()
		return heapOf(func() (any, error) {
			e, err := newIdleEntry(w)
			if err == nil {
				e.RebuildView()
			}
			return e, err
		})
	})
	m.over("entry: limits and API keys, made anew", "microseconds", "workspace", workspaceSizes, func(n int) (float64, error) {
		doc, err := m.o.sized(1, n)
		if err != nil {
			return 0, err
		}
		w := doc.World()
		old := limit.NewSet(w, nil)
		return timeOf(quiet, func() {
			limit.NewSet(w, old)
			apikey.NewIndex(w.Workspaces)
		}), nil
	})
	m.over("entry: choice of connections", "microseconds", "target", targetSizes, func(n int) (float64, error) {
		entries, targets := members("entry", n/5), members("target", n)
		return timeOf(quiet, func() { subset.NewFleet(entries, targets, subset.Options{}).Targets(entries[0], nil) }), nil
	})
}

// Layout of the expected fleet.
const (
	letterRegions = 7
	letterDomains = 17
)

func members(role string, n int) []subset.Member {
	out := make([]subset.Member, n)
	for i := range out {
		d := i % letterDomains
		out[i] = subset.Member{
			Name: fmt.Sprintf("%s-%04d", role, i), FailureDomain: fmt.Sprint("domain-", d), Region: fmt.Sprint("region-", d%letterRegions),
		}
	}
	return out
}

func newIdleEntry(w *world.World) (*entry.Entry, error) {
	return entry.New(entry.Options{Name: "entry-1", Config: fleet.NewConfig(w), Seed: 1})
}

// Spans of measurements of traffic.
const (
	settleSpan  = 1500 * time.Millisecond
	measureSpan = 4 * time.Second
	quietWatch  = 20 * time.Millisecond
)

// keyValue measures the load of quiet and of changing processes on the platform.
func (m *measurer) keyValue() {
	var waiting, bytes, busy []Point
	m.over("key-value reads of entries at rest", "reads/s", "entry of one region", []int{8, 16, 32}, func(n int) (float64, error) {
		f, err := m.spread(n)
		if err != nil {
			return 0, err
		}
		defer f.close()
		sleep.For(m.ctx, settleSpan)
		before, sent, cpu, start := f.kv.Counts(), f.wire.bytes.Load(), processorTime(), time.Now()
		sleep.For(m.ctx, measureSpan)
		after, span := f.kv.Counts(), time.Since(start).Seconds()
		x := float64(n)
		waiting = append(waiting, Point{x, float64(after.Waiting)})
		bytes = append(bytes, Point{x, float64(f.wire.bytes.Load()-sent) / span})
		busy = append(busy, Point{x, float64((processorTime() - cpu).Microseconds()) / span})
		return float64(after.Reads-before.Reads) / span, nil
	})
	if m.err != nil {
		return
	}
	m.add(fit("key-value watches waiting", "watches", "entry of one region", waiting))
	m.add(fit("exchanges of configuration at rest", "bytes/s", "process", bytes))
	m.add(fit("exchanges of configuration at rest, both ends", "microseconds/s", "process", busy))
	m.over("key-value writes of a change", "writes", "change", []int{4, 8, 16}, m.writesOf)
	m.over("key-value: head read by each watcher after a change", "bytes", "change before", []int{16, 32, 64, 128}, m.headBytes)
	m.over("key-value: quiet watch of the head", "bytes", "change before", []int{16, 32, 64, 128}, m.quietWatchBytes)
	m.over("instance list, changed", "bytes", "instance", targetSizes, func(n int) (float64, error) { return m.listBytes(n, false) })
	m.over("instance list, unchanged", "bytes", "instance", targetSizes, func(n int) (float64, error) { return m.listBytes(n, true) })
}

// spread starts entries that hold a first revision.
func (m *measurer) spread(entries int) (*configFleet, error) {
	doc, err := m.o.document()
	if err != nil {
		return nil, err
	}
	f, err := newConfigFleet(m.ctx, m.o, doc, fleetSize{entries: entries}, false)
	if err != nil {
		return nil, err
	}
	t := &configTrial{configFleet: f, operator: &operatorKV{KV: f.kv}, doc: doc}
	t.control = control.New(t.operator)
	if err := t.begin(m.ctx); err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

// writesOf counts the writes of a number of changes.
func (m *measurer) writesOf(n int) (float64, error) {
	kv, err := m.changed(n)
	if err != nil {
		return 0, err
	}
	return float64(kv.Counts().Writes), nil
}

// changed returns a service after n changes of one workspace.
func (m *measurer) changed(n int) (*memory.KV, error) {
	kv := memory.NewKV(memory.Options{})
	ctl := control.New(kv)
	doc, err := m.o.document()
	if err != nil {
		return nil, err
	}
	rng := m.o.rng(12)
	for i := range n {
		doc.Workspaces[0].Weight = i + 1
		id := fmt.Sprintf("%016x-%016x", rng.Uint64(), rng.Uint64())
		if _, err := ctl.Apply(m.ctx, doc, control.ApplyOptions{ApplyID: id}); err != nil {
			return nil, err
		}
	}
	return kv, nil
}

// headBytes counts what a watch brings over the wire after n changes.
func (m *measurer) headBytes(n int) (float64, error) {
	kv, err := m.changed(n)
	if err != nil {
		return 0, err
	}
	return m.bytesOf(rpc.Platform{KV: kv}, 2, func(ctx context.Context, c *rpc.Client) error {
		_, err := configkv.ReadHead(ctx, c)
		return err
	})
}

// quietWatchBytes counts what a watch brings that ends without a change.
func (m *measurer) quietWatchBytes(n int) (float64, error) {
	kv, err := m.changed(n)
	if err != nil {
		return 0, err
	}
	var after uint64
	return m.bytesOf(rpc.Platform{KV: kv}, 2, func(ctx context.Context, c *rpc.Client) error {
		head, err := configkv.WaitHead(ctx, c, after, quietWatch)
		after = head.Version
		return err
	})
}

// bytesOf counts the bytes of the last of a number of calls of the platform on one connection.
func (m *measurer) bytesOf(p rpc.Platform, calls int, call func(context.Context, *rpc.Client) error) (float64, error) {
	srv := httptest.NewServer(rpc.NewHandler(p))
	defer srv.Close()
	var w wire
	client := &http.Client{Transport: httpclient.New(&http.Transport{DialContext: w.Dialer("entry-1")})}
	defer client.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(m.ctx, startLimit)
	defer cancel()
	c := rpc.NewClient(client, srv.URL)
	for range calls {
		w.bytes.Store(0)
		if err := call(ctx, c); err != nil {
			return 0, err
		}
	}
	return float64(w.bytes.Load()), nil
}

// listBytes reads the platform's list of n instances, which the reader has already if unchanged.
func (m *measurer) listBytes(n int, unchanged bool) (float64, error) {
	list := memory.NewInstances(0)
	for i := range n {
		list.Put(platform.Instance{
			Name: fmt.Sprintf("target-%04d", i), FailureDomain: fmt.Sprint("domain-", i%letterDomains),
			Address: fmt.Sprintf("10.0.%d.%d:7100", i>>8, i&255), Role: "sidecar",
		})
	}
	calls := 1
	if unchanged {
		calls = 2
	}
	return m.bytesOf(rpc.Platform{Instances: list}, calls, func(ctx context.Context, c *rpc.Client) error {
		got, _, err := c.List(ctx)
		if err == nil && len(got) != n {
			err = fmt.Errorf("%d of %d instances listed", len(got), n)
		}
		return err
	})
}

// start measures the time until a new process holds the configuration while the key-value service is down.
func (m *measurer) start() {
	m.over("start without the key-value service", "milliseconds", "target declared", targetSizes, func(n int) (float64, error) {
		doc, err := m.o.sized(n, n)
		if err != nil {
			return 0, err
		}
		kv := memory.NewKV(memory.Options{})
		if _, err := control.New(kv).Apply(m.ctx, doc, control.ApplyOptions{ApplyID: "1"}); err != nil {
			return 0, err
		}
		return m.startDown(kv)
	})
}

func (m *measurer) startDown(kv *memory.KV) (float64, error) {
	ctx, cancel := context.WithTimeout(m.ctx, startLimit)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cancel()
		return 0, err
	}
	client := peer.NewSet(nil, nil)
	defer client.Close()
	address := l.Addr().String()
	old := distribution.New(distribution.Options{Self: plan.Peer{Name: "entry-1", Address: address}, KV: kv, Client: client})
	_, h := old.Handler()
	srv := peer.NewServer(h, nil)
	go srv.Serve(l)
	defer srv.Close()
	ended := make(chan struct{}, 2)
	run := func(d *distribution.Distributor) {
		d.Run(ctx)
		ended <- struct{}{}
	}
	// The processes end before their connections are closed.
	defer func() { cancel(); <-ended; <-ended }()
	go run(old)
	if err := waitFor(ctx, func() bool { return old.Current() != nil }); err != nil {
		go run(old)
		return 0, err
	}
	kv.SetFaults(func(f *memory.Faults) { f.Down = true })
	started := time.Now()
	next := distribution.New(distribution.Options{
		Self: plan.Peer{Name: "entry-2", Address: "127.0.0.1:1"}, KV: kv, Client: client, Bootstrap: []string{address},
	})
	go run(next)
	err = waitFor(ctx, func() bool { return next.Current() != nil })
	return float64(time.Since(started)) / float64(time.Millisecond), err
}

func waitFor(ctx context.Context, ready func() bool) error {
	for !ready() {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		sleep.For(ctx, time.Millisecond)
	}
	return nil
}
