package sidecar

import (
	"context"
	"errors"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"

	egretv1 "github.com/egrethoist/egrethoist/gen/egret/v1"
	"github.com/egrethoist/egrethoist/internal/control"
	"github.com/egrethoist/egrethoist/internal/engine"
	"github.com/egrethoist/egrethoist/internal/fake/network"
	"github.com/egrethoist/egrethoist/internal/manifest"
	"github.com/egrethoist/egrethoist/internal/once"
	"github.com/egrethoist/egrethoist/internal/peer"
	"github.com/egrethoist/egrethoist/internal/platform"
	"github.com/egrethoist/egrethoist/internal/platform/memory"
	"github.com/egrethoist/egrethoist/internal/world"
)

// Two of the plain service's targets.
const (
	plainService = "allot-app"
	formerHome   = "allot-01"
	newHome      = "allot-02"
)

// heldConfig is the configuration that a process holds.
type testConfig struct{ world atomic.Pointer[world.World] }

func (c *testConfig) Current() *world.World                  { return c.world.Load() }
func (c *testConfig) Stamp() *egretv1.RevisionStamp          { return nil }
func (c *testConfig) Observe(*egretv1.RevisionStamp, string) {}
func (c *testConfig) Changed() <-chan struct{}               { return nil }

// dial reaches no sidecar, or those on a network.
func (c cluster) dial(target string) peer.DialFunc {
	if c.net != nil {
		return c.net.Dialer(target)
	}
	return func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("unreachable") }
}

// noTarget is never called: the tests end at the ledger.
type unusedTarget struct{ engine.Target }

// operators change the configuration of the tests.
type cluster struct {
	t         *testing.T
	kv        *memory.KV
	instances *memory.Instances
	net       *network.Network // nil: no sidecar reaches another
}

// home makes one target the only home and returns the configuration then in force.
func (c cluster) moveHome(target string) *world.World {
	return c.apply(func(doc *manifest.Document) { drainAllBut(doc, target) })
}

func drainAllBut(doc *manifest.Document, target string) {
	for i := range doc.Services {
		for j := range doc.Services[i].Targets {
			tg := &doc.Services[i].Targets[j]
			drained := doc.Services[i].Name == plainService && tg.Name != target
			tg.Drained = &drained
		}
	}
}

// weigh changes what has nothing to do with homes.
func (c cluster) setWeight(weight int) *world.World {
	return c.apply(func(doc *manifest.Document) { doc.Workspaces[0].Weight = weight })
}

// without removes a target that has not been drained for long enough.
func (c cluster) removeTarget(target string) *world.World {
	return c.apply(func(doc *manifest.Document) {
		for i := range doc.Services {
			s := &doc.Services[i]
			s.Targets = slices.DeleteFunc(s.Targets, func(t manifest.Target) bool { return t.Name == target })
		}
	})
}

func (c cluster) apply(edit func(doc *manifest.Document)) *world.World {
	c.t.Helper()
	src, err := os.ReadFile("../../examples/sangam.jsonc")
	if err != nil {
		c.t.Fatal(err)
	}
	doc, errs := manifest.ParseDocument("sangam.jsonc", src)
	if errs != nil {
		c.t.Fatal(errs)
	}
	edit(doc)
	ctl := control.New(c.kv)
	if _, err := ctl.Apply(c.t.Context(), doc, control.ApplyOptions{ApplyID: uuid.NewString(), RemoveUndrained: true}); err != nil {
		c.t.Fatal(err)
	}
	return c.currentConfig()
}

func (c cluster) currentConfig() *world.World {
	cfg, err := control.New(c.kv).Get(c.t.Context())
	if err != nil {
		c.t.Fatal(err)
	}
	w := cfg.Document.World()
	w.Revision = cfg.Head.Offer.Revision
	return w
}

// home is a sidecar of the tests with its configuration, which can be paused.
type testSidecar struct {
	*Sidecar
	config *testConfig
	resume func()
	pause  func()
}

// startHome starts a sidecar.
func (c cluster) startHome(name string, w *world.World) *testSidecar {
	c.t.Helper()
	s := &testSidecar{config: &testConfig{}}
	s.config.world.Store(w)
	var err error
	s.Sidecar, err = New(Options{
		Name: name, Service: plainService, Config: s.config, Target: unusedTarget{}, KV: c.kv, Instances: c.instances,
		Dial: c.dial(name),
	})
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(s.peers.Close)
	s.resume = func() {
		ctx, cancel := context.WithCancel(c.t.Context())
		var loops sync.WaitGroup
		loops.Go(func() { s.maintainBarrier(ctx) })
		loops.Go(func() { s.watchFormerHomes(ctx) })
		s.pause = func() { cancel(); loops.Wait() }
	}
	s.applyConfig()
	s.resume()
	s.takeOverLedger(c.t.Context())
	c.t.Cleanup(func() { s.pause() })
	return s
}

// learn puts the configuration in force at the sidecar.
func (s *testSidecar) setConfig(w *world.World) {
	s.config.world.Store(w)
	s.applyConfig()
}

// want presents a key that an entry reads now.
func (s *testSidecar) wantVerdict(t *testing.T, situation, id string, verdict once.Verdict) {
	t.Helper()
	if r := beginKey(t, s.Sidecar, id, time.Now()); r.Verdict != verdict {
		t.Errorf("%s: %v, want %v", situation, r.Verdict, verdict)
	}
}

// presentKey presents a key that an entry reads now.
func beginKey(t *testing.T, s *Sidecar, id string, readAt time.Time) once.Result {
	r := &attemptRun{s: s, open: &egretv1.Open{
		Service: plainService, Workspace: "w", IdempotencyKey: id, Method: "POST", Path: "/bookings",
		ReadUnixMicros: readAt.UnixMicro(),
	}}
	return r.beginKey(t.Context(), r.key())
}

// timedKey is a key created now.
func timestampedKey(t *testing.T) string {
	t.Helper()
	id, err := uuid.NewV7()
	if err != nil {
		t.Fatal(err)
	}
	ms := uint64(time.Now().UnixMilli())
	for i := range 6 {
		id[i] = byte(ms >> (40 - 8*i))
	}
	return id.String()
}

// withOperators runs a test in which both targets are listed.
func withCluster(t *testing.T, f func(t *testing.T, o cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := cluster{t: t, kv: memory.NewKV(memory.Options{}), instances: memory.NewInstances(time.Second)}
		c.listTarget(formerHome)
		c.instances.Put(platform.Instance{Name: "slot-2", Address: "127.0.0.1:7452"}) // of the new home
		f(t, c)
	})
}

func (c cluster) listTarget(target string) {
	c.instances.Put(platform.Instance{Name: target, Role: "target"})
}

// TestCutOffFormerHome has a former home that never learns of the move and goes on running keys that a stale entry
// sends it, while the new home starts after the move and can't reach it.
func TestPartitionedFormerHome(t *testing.T) {
	withCluster(t, func(t *testing.T, c cluster) {
		former := c.startHome(formerHome, c.moveHome(formerHome))
		time.Sleep(time.Hour)
		successor := c.startHome(newHome, c.moveHome(newHome))
		time.Sleep(time.Minute)
		id := timestampedKey(t)
		former.wantVerdict(t, "the cut-off home", id, once.Run)
		time.Sleep(time.Second)
		successor.wantVerdict(t, "the new home", id, once.OutcomeUnknown)
		// It stays a former home while it may act on the old configuration, not only for the retry window.
		time.Sleep(30 * time.Minute)
		id = timestampedKey(t)
		former.wantVerdict(t, "the cut-off home, later", id, once.Run)
		successor.wantVerdict(t, "the new home, later", id, once.OutcomeUnknown)
		successor.pause()
		restarted := c.startHome(newHome, c.setWeight(3))
		time.Sleep(time.Minute)
		id = timestampedKey(t)
		former.wantVerdict(t, "the cut-off home, after the restart", id, once.Run)
		restarted.wantVerdict(t, "the restarted home", id, once.OutcomeUnknown)
	})
}

// TestPausedFormerHome has a former home that is paused over the move. Taken for dead by the platform or not, it must
// not run a key after it wakes that the new home has run.
func TestPausedFormerHome(t *testing.T) {
	for _, delisted := range []bool{false, true} {
		withCluster(t, func(t *testing.T, c cluster) {
			former := c.startHome(formerHome, c.moveHome(formerHome))
			time.Sleep(time.Hour)
			former.pause()
			moved := c.moveHome(newHome)
			if delisted {
				c.instances.Remove(formerHome)
			}
			successor := c.startHome(newHome, moved)
			time.Sleep(2 * time.Minute)
			id := timestampedKey(t)
			verdict := once.OutcomeUnknown
			if delisted {
				verdict = once.Run
			}
			successor.wantVerdict(t, "the new home", id, verdict)
			// The request has waited at the paused home, or comes from a stale entry.
			former.wantVerdict(t, "the former home as it wakes", id, once.OutcomeUnknown)
			former.resume()
			time.Sleep(10 * time.Second)
			former.wantVerdict(t, "the former home before it has learned of the move", id, once.OutcomeUnknown)
			former.setConfig(moved)
			former.wantVerdict(t, "the former home", id, once.NotHome)
		})
	}
}

// TestGoneFormerHome: keys of a dead home are unknown until the platform's list has shown for long enough that it is
// gone; a shorter absence proves nothing.
func TestGoneFormerHome(t *testing.T) {
	withCluster(t, func(t *testing.T, c cluster) {
		former := c.startHome(formerHome, c.moveHome(formerHome))
		time.Sleep(time.Hour)
		former.pause() // it has died
		c.instances.Remove(formerHome)
		successor := c.startHome(newHome, c.moveHome(newHome))
		time.Sleep(once.GoneAfter - 10*time.Second)
		early := timestampedKey(t)
		successor.wantVerdict(t, "not gone for long enough", early, once.OutcomeUnknown)
		c.listTarget(formerHome)
		time.Sleep(10 * time.Second)
		c.instances.Remove(formerHome)
		time.Sleep(once.GoneAfter - 10*time.Second)
		successor.wantVerdict(t, "listed in between", timestampedKey(t), once.OutcomeUnknown)
		time.Sleep(30 * time.Second)
		successor.wantVerdict(t, "gone", timestampedKey(t), once.Run)
		successor.wantVerdict(t, "a key from before it was gone", early, once.OutcomeUnknown)
	})
}

// TestListWithoutTargets: a list that does not show the sidecar itself shows no targets.
func TestListWithoutOwnTarget(t *testing.T) {
	withCluster(t, func(t *testing.T, c cluster) {
		c.startHome(formerHome, c.moveHome(formerHome)).pause()
		c.instances.Remove(formerHome)
		c.instances.Remove("slot-2")
		successor := c.startHome(newHome, c.moveHome(newHome))
		time.Sleep(10 * time.Minute)
		successor.wantVerdict(t, "nothing is known to be gone", timestampedKey(t), once.OutcomeUnknown)
	})
}

// TestStartWithOldConfiguration: a sidecar that a stale peer gave its first configuration runs nothing under it.
func TestStartWithOldConfiguration(t *testing.T) {
	withCluster(t, func(t *testing.T, c cluster) {
		old := c.moveHome(formerHome)
		moved := c.moveHome(newHome)
		former := c.startHome(formerHome, old)
		time.Sleep(time.Minute)
		former.wantVerdict(t, "with an old configuration", timestampedKey(t), once.OutcomeUnknown)
		former.setConfig(moved)
		former.wantVerdict(t, "with the newest", timestampedKey(t), once.NotHome)
	})
}

// TestBarrierNeedsTheService: while the key-value service is down, a sidecar that has been paused runs no caller's key,
// and one that goes on running does.
func TestBarrierNeedsKeyValueService(t *testing.T) {
	withCluster(t, func(t *testing.T, c cluster) {
		s := c.startHome(newHome, c.moveHome(newHome))
		time.Sleep(time.Minute)
		c.kv.SetFaults(func(f *memory.Faults) { f.Down = true })
		time.Sleep(time.Hour)
		s.wantVerdict(t, "during the outage", timestampedKey(t), once.Run)
		s.pause()
		time.Sleep(once.MaxPause - time.Second)
		s.wantVerdict(t, "after a short pause", timestampedKey(t), once.Run)
		time.Sleep(once.MaxPause + time.Second)
		s.resume()
		time.Sleep(time.Second)
		s.wantVerdict(t, "after a long pause", timestampedKey(t), once.OutcomeUnknown)
		c.kv.SetFaults(func(f *memory.Faults) { f.Down = false })
		time.Sleep(5 * time.Second)
		s.wantVerdict(t, "after the outage", timestampedKey(t), once.Run)
	})
}

func TestBarrier(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	b := barrier{}
	b.raise()
	if b.lower(5, now, now.Add(once.MaxPause+1)) || b.passed(9) {
		t.Error("a revision that was read before a long pause lowers the barrier")
	}
	if !b.lower(5, now, now.Add(time.Second)) || b.passed(4) || !b.passed(5) {
		t.Error("the barrier does not hold until the revision that was read")
	}
	if !exceedsMaxPause(0, once.MaxPause+1) || !exceedsMaxPause(once.MaxPause+1, 0) || exceedsMaxPause(once.MaxPause, once.MaxPause) {
		t.Error("the longer of both clocks must count")
	}
}

// TestRemovedFormerHome: of a target that is no longer declared the operators have said that it is settled.
func TestRemovedFormerHome(t *testing.T) {
	withCluster(t, func(t *testing.T, c cluster) {
		c.startHome(formerHome, c.moveHome(formerHome)).pause()
		successor := c.startHome(newHome, c.moveHome(newHome))
		time.Sleep(time.Minute)
		successor.setConfig(c.removeTarget(formerHome))
		successor.wantVerdict(t, "within the retry window", timestampedKey(t), once.OutcomeUnknown)
		time.Sleep(successor.ledger.retention)
		successor.wantVerdict(t, "after it", timestampedKey(t), once.Run)
	})
}

// TestReachableFormerHome: once a former home has said that it acts on the move, keys used later need no answer of it,
// and after the retry window it is no longer asked.
func TestReachableFormerHome(t *testing.T) {
	withCluster(t, func(t *testing.T, c cluster) {
		c.net = network.New(time.Millisecond)
		before := c.moveHome(formerHome)
		former := c.startHome(formerHome, before)
		l, err := c.net.Listen(before.Targets[formerHome].Sidecar)
		if err != nil {
			t.Fatal(err)
		}
		server := peer.NewServer(former.Handler(), nil)
		go server.Serve(l)
		defer server.Close()
		time.Sleep(time.Minute)
		moved := c.moveHome(newHome)
		successor := c.startHome(newHome, moved)
		// The former home answers, but under the old configuration.
		time.Sleep(time.Minute)
		if since := successor.ledger.ackedSince(formerHome); !since.IsZero() {
			t.Errorf("the former home acts on the move since %v before it has learned of it", since)
		}
		former.setConfig(moved)
		fence := successor.fenceHome(t.Context(), once.Key{Workspace: "w", Service: plainService, ID: "k"}, time.Now().UnixMicro(), formerHome)
		if fence.State != once.StateNone {
			t.Errorf("the former home answers %+v", fence)
		}
		if since := successor.ledger.ackedSince(formerHome); !since.Equal(time.Now()) {
			t.Errorf("after an answer to Fence it acts on the move since %v", since)
		}
		restarted := c.startHome(newHome, moved)
		time.Sleep(formerHomePollPeriod)
		if since := restarted.ledger.ackedSince(formerHome); since.IsZero() {
			t.Error("after an answer to Ping the former home is not known to act on the move")
		}
		early := timestampedKey(t)
		server.Close()
		c.instances.Remove(formerHome)
		time.Sleep(time.Second)
		restarted.wantVerdict(t, "a key used after the former home acted on the move", early, once.Run)
		time.Sleep(restarted.ledger.retention)
		restarted.pause()
		if n := len(restarted.ledger.homes.Generations()); n != 1 {
			t.Errorf("%d generations after the retry window", n)
		}
	})
}
