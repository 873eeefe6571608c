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

// inForceWithin bounds the time until a configuration is in force everywhere.
const convergenceLimit = 5 * time.Second

// network calls handlers directly. Cut addresses don't answer.
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

// port is one process's way into the network.
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

// fleet runs entries and sidecars in one region over one key-value service.
type fleet struct {
	t          *testing.T
	ctx        context.Context
	kv         *memory.KV
	control    *control.Controller
	net        *network
	entries    []plan.Peer
	version    atomic.Uint64 // number of the listing; zero before it can be read
	nodes      map[string]*Distributor
	applyCount int
	background sync.WaitGroup
}

const (
	testEntries  = 6
	testSidecars = 15 // all targets of the sample
)

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
		// The list is read a little after the processes have started.
		time.Sleep(300 * time.Millisecond)
		fl.version.Store(1)
		f(fl)
	})
}

// document returns the sample with another weight of its first workspace.
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

// expect checks after the bound that every process but the excepted holds the revision.
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

func (f *fleet) watchers() []*Distributor {
	var list []*Distributor
	for _, p := range f.entries {
		if d := f.nodes[p.Address]; d.Status().Watching {
			list = append(list, d)
		}
	}
	return list
}

func TestRevisionReachesEveryProcess(t *testing.T) {
	withFleet(t, func(f *fleet) {
		for range 5 {
			f.expectRevision(f.apply())
		}
		if n := len(f.watchers()); n != plan.DefaultWatchersPerRegion {
			t.Errorf("%d entries watch", n)
		}
		if c := f.kv.Counts(); c.PeakWaiting > plan.DefaultWatchersPerRegion+1 {
			t.Errorf("%d watches waited at once", c.PeakWaiting)
		}
		for _, d := range f.nodes {
			if !d.Status().Confirmed {
				t.Errorf("%s can't confirm its revision", d.opts.Self.Name)
			}
		}
	})
}

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

func TestStaleReadsNeverRevert(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.expectRevision(f.apply())
		f.kv.SetFaults(func(f *memory.Faults) { f.Stale = true })
		reads := f.kv.Counts().Reads
		time.Sleep(time.Minute)
		if n := f.kv.Counts().Reads - reads; n > 300 {
			t.Errorf("%d reads in a minute of stale answers", n)
		}
		f.expectRevision(1)
		f.kv.SetFaults(func(f *memory.Faults) { f.Stale = false })
		f.expectRevision(f.apply())
		f.kv.SetFaults(func(f *memory.Faults) { f.Stale = true })
		f.expectRevision(2)
	})
}

func TestKeyValueServiceOutage(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.expectRevision(f.apply())
		f.kv.SetFaults(func(f *memory.Faults) { f.Down = true })
		time.Sleep(10 * time.Minute)
		f.expectRevision(1)
		// A process that starts now learns the configuration from a peer.
		fresh := f.start(plan.Peer{Name: "entry-new", Region: "meseta-central", Address: "127.0.0.1:9100"}, true)
		f.expectRevision(1)
		for _, d := range f.nodes {
			if d.Status().Confirmed {
				t.Errorf("%s claims to know that its revision is current", d.opts.Self.Name)
			}
		}
		f.kv.SetFaults(func(f *memory.Faults) { f.Down = false })
		f.expectRevision(f.apply())
		if !fresh.Status().Confirmed {
			t.Error("not confirmed after the outage")
		}
	})
}

func TestWatchersCutOffFromPeers(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.expectRevision(f.apply())
		var cutOff []string
		for _, d := range f.watchers() {
			// The instance list still names them, and they still read the service, but they reach no peer.
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

func TestPausedProcessCatchesUp(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.expectRevision(f.apply())
		paused := f.nodes[f.entries[5].Address]
		f.net.setCut(paused.opts.Self.Address, true)
		for range 40 { // more than the head's steps and the kept manifests
			f.apply()
		}
		f.expectRevision(41, paused.opts.Self.Address)
		f.net.setCut(paused.opts.Self.Address, false)
		f.expectRevision(41)
	})
}

// TestLineageOfTheService lets a process that reaches no peer miss more changes than the head names.
func TestLineageBeyondHead(t *testing.T) {
	withFleet(t, func(f *fleet) {
		lone := New(Options{Self: plan.Peer{Name: "lone", Region: "elsewhere"}, KV: f.kv, Client: networkClient{f.net, "lone"}})
		read := func(want uint64) {
			t.Helper()
			if _, err := lone.readHead(f.ctx, 0, 0); err != nil || lone.state.revision().Number != want {
				t.Errorf("holds %d, want %d: %v", lone.state.revision().Number, want, err)
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
		// A head of a release that knows no lineage's key, or a stale read: nothing proves descent.
		head, err := configkv.ReadHead(f.ctx, f.kv)
		if err != nil {
			t.Fatal(err)
		}
		key := configkv.LineageKey(head.Lineage.Revision.Digest)
		lineage, err := f.kv.Get(f.ctx, key)
		if err != nil || f.kv.Delete(f.ctx, key, lineage.Version) != nil {
			t.Fatal("lineage can't be removed", err)
		}
		read(41)
		if !lone.Status().HeadRefused {
			t.Error("doesn't say that it refuses the head")
		}
		put := func(value []byte) {
			t.Helper()
			if _, err := f.kv.CompareAndSwap(f.ctx, key, 0, value, 0); err != nil {
				t.Fatal(err)
			}
		}
		// The lineage of another revision proves nothing either.
		put((configkv.Head{}).Next(lone.state.revision(), "x", nil).EncodeLineage())
		read(41)
		wrong, _ := f.kv.Get(f.ctx, key)
		f.kv.Delete(f.ctx, key, wrong.Version)
		put(lineage.Value)
		read(81)
	})
}

func TestForkIsRefused(t *testing.T) {
	withFleet(t, func(f *fleet) {
		for range 3 {
			f.apply()
		}
		f.expectRevision(3)
		before := f.nodes[f.entries[0].Address].Stamp()
		// The service comes back from an old backup, and operators go on from there to a larger number.
		f.replaceHistory(5)
		time.Sleep(time.Minute)
		f.expectRevision(3)
		if got := f.nodes[f.entries[0].Address].Stamp(); string(got.Digest) != string(before.Digest) {
			t.Error("reverted to another branch")
		}
		for _, d := range f.watchers() {
			if s := d.Status(); !s.HeadRefused || s.Confirmed {
				t.Errorf("a watcher doesn't say that it refuses the head: %+v", s)
			}
		}
	})
}

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

func TestObserveTriggersExchange(t *testing.T) {
	withFleet(t, func(f *fleet) {
		f.expectRevision(f.apply())
		lone := plan.Peer{Name: "lone", Region: "elsewhere", Address: "127.0.0.1:9200", Role: plan.RoleSidecar}
		d := f.start(lone, false)
		f.expectRevision(1)
		before := d.Stamp()
		f.expectRevision(f.apply(), lone.Address)
		signal, stop := d.Subscribe()
		defer stop()
		ahead := f.nodes[f.entries[2].Address]
		d.Observe(ahead.Stamp(), ahead.opts.Self.Address)
		d.Observe(&egretv1.RevisionStamp{Number: 1, Digest: before.Digest}, ahead.opts.Self.Address)
		time.Sleep(convergenceLimit)
		select {
		case <-signal:
		default:
			t.Error("no signal")
		}
		if got := d.Current().Revision.Number; got != 2 {
			t.Errorf("holds revision %d after the stamp of revision 2", got)
		}
	})
}
