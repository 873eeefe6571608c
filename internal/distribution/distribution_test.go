package distribution

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"k8s.io/klog/v2"

	egretv1 "github.com/egrethoist/egrethoist/gen/egret/v1"
	"github.com/egrethoist/egrethoist/internal/configkv"
	"github.com/egrethoist/egrethoist/internal/control"
	"github.com/egrethoist/egrethoist/internal/distribution/plan"
	"github.com/egrethoist/egrethoist/internal/manifest"
	"github.com/egrethoist/egrethoist/internal/platform/memory"
)

func TestMain(m *testing.M) {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	os.Exit(m.Run())
}

// convergenceLimit bounds the time from an apply until every process has the revision.
const convergenceLimit = 5 * time.Second

// network calls HTTP handlers directly. Requests from and to cut addresses hang until their context ends.
type network struct {
	mu       sync.Mutex
	handlers map[string]http.Handler
	cut      map[string]bool
}

func (n *network) setCut(address string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[address] = cut
}

// networkClient is the HTTP client of the process with address self.
type networkClient struct {
	*network
	self string
}

func (p networkClient) Do(req *http.Request) (*http.Response, error) {
	p.mu.Lock()
	h, cut := p.handlers[req.URL.Host], p.cut[req.URL.Host] || p.cut[p.self]
	p.mu.Unlock()
	if h == nil {
		return nil, errors.New("connection refused")
	}
	if cut {
		<-req.Context().Done()
		return nil, req.Context().Err()
	}
	time.Sleep(time.Millisecond)
	rec := httptest.NewRecorder()
	h.ServeHTTP(rec, req)
	return rec.Result(), nil
}

// fleet runs entries and sidecars of one region with an in-memory key-value service.
type fleet struct {
	t          *testing.T
	ctx        context.Context
	kv         *memory.KV
	control    *control.Controller
	net        *network
	entries    []plan.Peer
	version    atomic.Uint64 // version of the instance list; zero before it can be read
	nodes      map[string]*Distributor
	applyCount int
	background sync.WaitGroup
}

const (
	testEntries  = 6
	testSidecars = 15 // all targets of the example manifest
)

// withFleet runs f with a fleet on a simulated clock.
func withFleet(t *testing.T, f func(f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		kv := memory.NewKV(memory.Options{})
		fl := &fleet{
			t: t, ctx: ctx, kv: kv, control: control.New(kv), nodes: map[string]*Distributor{},
			net: &network{handlers: map[string]http.Handler{}, cut: map[string]bool{}},
		}
		for i := range testEntries {
			fl.entries = append(fl.entries, plan.Peer{
				Name: fmt.Sprint("entry-", i), Region: "meseta-central", Address: fmt.Sprintf("127.0.0.1:%d", 9000+i),
			})
		}
		for _, p := range fl.entries {
			fl.start(p, true)
		}
		for _, s := range document(t, 1).Services {
			for _, target := range s.Targets {
				fl.start(plan.Peer{Name: target.Name, Region: "meseta-central", Address: target.Sidecar.String(), Role: plan.RoleSidecar}, true)
			}
		}
		defer fl.background.Wait()
		defer cancel()
		// The instance list becomes readable shortly after the processes have started.
		time.Sleep(300 * time.Millisecond)
		fl.version.Store(1)
		f(fl)
	})
}

// document returns the example manifest with the given weight of its first workspace.
func document(t testing.TB, weight int) *manifest.Document {
	src, err := os.ReadFile("../../examples/sangam.jsonc")
	if err != nil {
		t.Fatal(err)
	}
	doc, errs := manifest.ParseDocument("sangam.jsonc", src)
	if errs != nil {
		t.Fatal(errs)
	}
	doc.Workspaces[0].Weight = weight
	return doc
}

// start runs a process, which replaces the one with the same address in the network.
func (f *fleet) start(p plan.Peer, kv bool) *Distributor {
	opts := Options{
		Self: p, Bootstrap: []string{f.entries[0].Address, f.entries[1].Address}, Client: networkClient{f.net, p.Address},
		Rand: rand.New(rand.NewPCG(uint64(len(f.nodes)), 7)),
	}
	if kv {
		opts.KV = f.kv
	}
	if p.Role == plan.RoleEntry {
		opts.Entries = func() ([]plan.Peer, uint64) {
			version := f.version.Load()
			if version == 0 {
				return nil, 0
			}
			return f.entries, version
		}
	}
	d := New(opts)
	_, h := d.Handler()
	f.net.mu.Lock()
	f.net.handlers[p.Address] = h
	f.net.mu.Unlock()
	f.nodes[p.Address] = d
	f.background.Go(func() { d.Run(f.ctx) })
	return d
}

// apply applies a new manifest and returns its revision number.
func (f *fleet) apply() uint64 {
	f.t.Helper()
	f.applyCount++
	ctx, cancel := context.WithTimeout(f.ctx, control.DefaultTimeout)
	defer cancel()
	res, err := f.control.Apply(ctx, document(f.t, f.applyCount+100), control.ApplyOptions{ApplyID: fmt.Sprint(f.applyCount)})
	if err != nil {
		f.t.Fatal(err)
	}
	return res.Revision.Number
}

// expectRevision waits for convergenceLimit and checks that every process holds the revision, except those at the given
// addresses.
func (f *fleet) expectRevision(number uint64, except ...string) {
	f.t.Helper()
	time.Sleep(convergenceLimit)
	missing := 0
	for address, d := range f.nodes {
		if contains(except, address) {
			continue
		}
		if d.Current() == nil || d.Current().Revision.Number != number {
			missing++
		}
	}
	if missing > 0 {
		f.t.Errorf("%d of %d processes don't hold revision %d after %v", missing, len(f.nodes), number, convergenceLimit)
	}
}

func contains(list []string, s string) bool {
	for _, v := range list {
		if v == s {
			return true
		}
	}
	return false
}

// watchers returns the entries that watch the key-value service.
func (f *fleet) watchers() []*Distributor {
	var list []*Distributor
	for _, p := range f.entries {
		if d := f.nodes[p.Address]; d.Status().Watching {
			list = append(list, d)
		}
	}
	return list
}

// TestRevisionReachesEveryProcess also guards against more watches at the key-value service than the configured
// watchers need.
func TestRevisionReachesEveryProcess(t *testing.T) {
	withFleet(t, func(f *fleet) {
		for range 5 {
			f.expectRevision(f.apply())
		}
		if n := len(f.watchers()); n != plan.DefaultWatchersPerRegion {
			t.Errorf("%d entries watch", n)
		}
		if c := f.kv.Counts(); c.PeakWaiting > plan.DefaultWatchersPerRegion+1 {
			t.Errorf("%d concurrent watches at the key-value service", c.PeakWaiting)
		}
		for _, d := range f.nodes {
			if !d.Status().Confirmed {
				t.Errorf("%s: revision not confirmed", d.opts.Self.Name)
			}
		}
	})
}

// TestKeyValueServiceFaults guards against a revision that arrives late because a watch was dropped, a read was slow or
// a write's response was lost.
func TestKeyValueServiceFaults(t *testing.T) {
	for name, set := range map[string]func(*memory.Faults){
		"dropped watches": func(f *memory.Faults) { f.DropWatches = true },
		"slow":            func(f *memory.Faults) { f.Delay = 500 * time.Millisecond },
		"answers lost":    func(f *memory.Faults) { f.LoseAnswers = 2 },
	} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, func(f *fleet) {
				f.expectRevision(f.apply())
				f.kv.SetFaults(set)
				f.expectRevision(f.apply())
			})
		})
	}
}

// TestStaleReadsNeverRevert guards against processes that return to an older revision when a lagging replica serves
// their reads, and against watchers that retry such reads without backoff.
func TestStaleReadsNeverRevert(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.expectRevision(f.apply())
		f.kv.SetFaults(func(f *memory.Faults) { f.Stale = true })
		reads := f.kv.Counts().Reads
		time.Sleep(time.Minute)
		if n := f.kv.Counts().Reads - reads; n > 300 {
			t.Errorf("%d reads in a minute of stale responses, want at most 300", n)
		}
		f.expectRevision(1)
		f.kv.SetFaults(func(f *memory.Faults) { f.Stale = false })
		f.expectRevision(f.apply())
		f.kv.SetFaults(func(f *memory.Faults) { f.Stale = true })
		f.expectRevision(2)
	})
}

// TestKeyValueServiceOutage guards against processes that lose their revision, report it as confirmed or can't start
// while the key-value service is down.
func TestKeyValueServiceOutage(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.expectRevision(f.apply())
		f.kv.SetFaults(func(f *memory.Faults) { f.Down = true })
		time.Sleep(10 * time.Minute)
		f.expectRevision(1)
		// A process that starts now gets the configuration from a peer.
		fresh := f.start(plan.Peer{Name: "entry-new", Region: "meseta-central", Address: "127.0.0.1:9100"}, true)
		f.expectRevision(1)
		for _, d := range f.nodes {
			if d.Status().Confirmed {
				t.Errorf("%s: revision confirmed during the outage", d.opts.Self.Name)
			}
		}
		f.kv.SetFaults(func(f *memory.Faults) { f.Down = false })
		f.expectRevision(f.apply())
		if !fresh.Status().Confirmed {
			t.Error("revision not confirmed after the outage")
		}
	})
}

// TestWatchersCutOffFromPeers guards against a region that misses a revision because all its watchers are partitioned
// from their peers: other entries must read the head once their revision is unconfirmed.
func TestWatchersCutOffFromPeers(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.expectRevision(f.apply())
		var cutOff []string
		for _, d := range f.watchers() {
			// The watchers are still in the instance list and read the service, but can't reach any peer.
			address := d.opts.Self.Address
			cutOff = append(cutOff, address)
			f.net.setCut(address, true)
		}
		number := f.apply()
		time.Sleep(plan.DefaultUnconfirmedAfter)
		f.expectRevision(number, cutOff...)
		for _, address := range cutOff {
			f.net.setCut(address, false)
		}
		f.expectRevision(f.apply())
	})
}

// TestPausedProcessCatchesUp guards against a process that can't catch up after it missed more revisions than deltas
// and manifests are kept for.
func TestPausedProcessCatchesUp(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.expectRevision(f.apply())
		paused := f.nodes[f.entries[5].Address]
		f.net.setCut(paused.opts.Self.Address, true)
		for range 40 { // more than the deltas in the head and the kept manifests
			f.apply()
		}
		f.expectRevision(41, paused.opts.Self.Address)
		f.net.setCut(paused.opts.Self.Address, false)
		f.expectRevision(41)
	})
}

// TestLineageBeyondHead guards against a process without peers that can't follow the key-value service after it missed
// more revisions than the head lists: it must read the lineage's key, and reject the head if that key is missing or
// belongs to another revision.
func TestLineageBeyondHead(t *testing.T) {
	withFleet(t, func(f *fleet) {
		isolated := New(Options{Self: plan.Peer{Name: "lone", Region: "elsewhere"}, KV: f.kv, Client: networkClient{f.net, "lone"}})
		read := func(want uint64) {
			t.Helper()
			if _, err := isolated.readHead(f.ctx, 0, 0); err != nil || isolated.state.revision().Number != want {
				t.Errorf("revision %d, want %d: %v", isolated.state.revision().Number, want, err)
			}
		}
		f.apply()
		read(1)
		for range 40 {
			f.apply()
		}
		read(41)
		for range 40 {
			f.apply()
		}
		// Without the lineage's key, as after a stale read or with a release that doesn't write it, descent can't be
		// verified.
		head, err := configkv.ReadHead(f.ctx, f.kv)
		if err != nil {
			t.Fatal(err)
		}
		key := configkv.LineageKey(head.Lineage.Revision.Digest)
		lineage, err := f.kv.Get(f.ctx, key)
		if err != nil || f.kv.Delete(f.ctx, key, lineage.Version) != nil {
			t.Fatal("can't delete the lineage", err)
		}
		read(41)
		if !isolated.Status().HeadRefused {
			t.Error("HeadRefused is false for a head without a lineage")
		}
		put := func(value []byte) {
			t.Helper()
			if _, err := f.kv.CompareAndSwap(f.ctx, key, 0, value, 0); err != nil {
				t.Fatal(err)
			}
		}
		// The lineage of another revision doesn't help either.
		put((configkv.Head{}).Next(isolated.state.revision(), "x", nil).EncodeLineage())
		read(41)
		wrong, _ := f.kv.Get(f.ctx, key)
		f.kv.Delete(f.ctx, key, wrong.Version)
		put(lineage.Value)
		read(81)
	})
}

// TestForkIsRefused guards against processes that switch to another branch because its revision number is larger.
func TestForkIsRefused(t *testing.T) {
	withFleet(t, func(f *fleet) {
		for range 3 {
			f.apply()
		}
		f.expectRevision(3)
		before := f.nodes[f.entries[0].Address].Stamp()
		// The service was restored from an old backup, and operators applied more changes on top of it.
		f.replaceHistory(5)
		time.Sleep(time.Minute)
		f.expectRevision(3)
		if got := f.nodes[f.entries[0].Address].Stamp(); string(got.Digest) != string(before.Digest) {
			t.Error("switched to another branch")
		}
		for _, d := range f.watchers() {
			if s := d.Status(); !s.HeadRefused || s.Confirmed {
				t.Errorf("a watcher doesn't report that it refuses the head: %+v", s)
			}
		}
	})
}

// replaceHistory replaces the head by one of an unrelated history with that many revisions.
func (f *fleet) replaceHistory(revisions int) {
	other := memory.NewKV(memory.Options{})
	ctl := control.New(other)
	for i := range revisions {
		if _, err := ctl.Apply(f.ctx, document(f.t, 900+i), control.ApplyOptions{ApplyID: fmt.Sprint("x", i)}); err != nil {
			f.t.Fatal(err)
		}
	}
	head, err := configkv.ReadHead(f.ctx, other)
	if err != nil {
		f.t.Fatal(err)
	}
	now, err := f.kv.Get(f.ctx, configkv.HeadKey)
	if err != nil {
		f.t.Fatal(err)
	}
	if _, err := f.kv.CompareAndSwap(f.ctx, configkv.HeadKey, now.Version, head.Encode(), 0); err != nil {
		f.t.Fatal(err)
	}
}

// TestObserveTriggersExchange guards against a process that no peer knows and that stays on an old revision although
// stamps on requests show a newer one. A stamp of an older revision afterwards must not revert it.
func TestObserveTriggersExchange(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.expectRevision(f.apply())
		isolated := plan.Peer{Name: "lone", Region: "elsewhere", Address: "127.0.0.1:9200", Role: plan.RoleSidecar}
		d := f.start(isolated, false)
		f.expectRevision(1)
		before := d.Stamp()
		f.expectRevision(f.apply(), isolated.Address)
		signal, stop := d.Subscribe()
		defer stop()
		ahead := f.nodes[f.entries[2].Address]
		d.Observe(ahead.Stamp(), ahead.opts.Self.Address)
		d.Observe(&egretv1.RevisionStamp{Number: 1, Digest: before.Digest}, ahead.opts.Self.Address)
		time.Sleep(convergenceLimit)
		select {
		case <-signal:
		default:
			t.Error("no signal to the subscriber")
		}
		if got := d.Current().Revision.Number; got != 2 {
			t.Errorf("revision %d after a stamp of revision 2", got)
		}
	})
}
