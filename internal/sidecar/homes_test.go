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

// The plain service of the example manifest and two of its targets.
const (
	plainService = "allot-app"
	formerHome   = "allot-01"
	newHome      = "allot-02"
)

// testConfig is a Config whose configuration the test sets.
type testConfig struct{ world atomic.Pointer[world.World] }

func (c *testConfig) Current() *world.World                  { return c.world.Load() }
func (c *testConfig) Stamp() *egretv1.RevisionStamp          { return nil }
func (c *testConfig) Observe(*egretv1.RevisionStamp, string) {}
func (c *testConfig) Changed() <-chan struct{}               { return nil }

// dial returns a dialer on the network of the cluster; without a network every connection fails.
func (c cluster) dial(target string) peer.DialFunc {
	if c.net != nil {
		return c.net.Dialer(target)
	}
	return func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("unreachable") }
}

// unusedTarget panics if it is called. The tests use the ledger only and send nothing to the target.
type unusedTarget struct{ engine.Target }

// cluster holds the platform services of a test and changes the configuration in its key-value service.
type cluster struct {
	t         *testing.T
	kv        *memory.KV
	instances *memory.Instances
	net       *network.Network // nil: no sidecar reaches another
}

// moveHome makes one target the only home of all keys and returns the configuration then in force.
func (c cluster) moveHome(target string) *world.World {
	return c.apply(func(doc *manifest.Document) { drainAllBut(doc, target) })
}

// drainAllBut drains all targets of the plain service except one.
func drainAllBut(doc *manifest.Document, target string) {
	for i := range doc.Services {
		for j := range doc.Services[i].Targets {
			tg := &doc.Services[i].Targets[j]
			drained := doc.Services[i].Name == plainService && tg.Name != target
			tg.Drained = &drained
		}
	}
}

// setWeight makes a change of the configuration that does not affect homes: it sets the weight of the first workspace.
func (c cluster) setWeight(weight int) *world.World {
	return c.apply(func(doc *manifest.Document) { doc.Workspaces[0].Weight = weight })
}

// removeTarget removes a target before it has been drained for long enough.
func (c cluster) removeTarget(target string) *world.World {
	return c.apply(func(doc *manifest.Document) {
		for i := range doc.Services {
			s := &doc.Services[i]
			s.Targets = slices.DeleteFunc(s.Targets, func(t manifest.Target) bool { return t.Name == target })
		}
	})
}

// apply edits the example manifest, puts the result in force and returns it.
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

// currentConfig returns the configuration in force.
func (c cluster) currentConfig() *world.World {
	cfg, err := control.New(c.kv).Get(c.t.Context())
	if err != nil {
		c.t.Fatal(err)
	}
	w := cfg.Document.World()
	w.Revision = cfg.Head.Lineage.Revision
	return w
}

// testSidecar is a sidecar with its own configuration. pause and resume stop and start its background loops.
type testSidecar struct {
	*Sidecar
	config *testConfig
	resume func()
	pause  func()
}

// startHome starts a sidecar of the plain service with the configuration.
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

// setConfig puts the configuration in force at the sidecar.
func (s *testSidecar) setConfig(w *world.World) {
	s.config.world.Store(w)
	s.applyConfig()
}

// wantVerdict begins a request that an entry gateway has read now, and checks the verdict on its key.
func (s *testSidecar) wantVerdict(t *testing.T, situation, id string, verdict once.Verdict) {
	t.Helper()
	if r := beginKey(t, s.Sidecar, id, time.Now()); r.Verdict != verdict {
		t.Errorf("%s: got verdict %v, want %v", situation, r.Verdict, verdict)
	}
}

// beginKey begins a request that an entry gateway has read at readAt.
func beginKey(t *testing.T, s *Sidecar, id string, readAt time.Time) once.Result {
	r := &attemptRun{s: s, open: &egretv1.Open{
		Service: plainService, Workspace: "w", IdempotencyKey: id, Method: "POST", Path: "/bookings",
		ReadUnixMicros: readAt.UnixMicro(),
	}}
	return r.beginKey(t.Context(), r.key())
}

// timestampedKey returns a UUID version 7 whose creation time is now by the test's clock.
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

// withCluster runs a test in which the platform's instance list contains both targets.
func withCluster(t *testing.T, f func(t *testing.T, c cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := cluster{t: t, kv: memory.NewKV(memory.Options{}), instances: memory.NewInstances(time.Second)}
		c.listTarget(formerHome)
		c.instances.Put(platform.Instance{Name: "slot-2", Address: "127.0.0.1:7452"}) // the instance of newHome
		f(t, c)
	})
}

// listTarget adds a target to the platform's instance list.
func (c cluster) listTarget(target string) {
	c.instances.Put(platform.Instance{Name: target, Role: "target"})
}

// TestPartitionedFormerHome guards against running a key at two targets when a former home is partitioned: it does
// not learn of the move and keeps running keys that a stale entry gateway sends, while the new home starts after the
// move and cannot reach it.
func TestPartitionedFormerHome(t *testing.T) {
	withCluster(t, func(t *testing.T, c cluster) {
		former := c.startHome(formerHome, c.moveHome(formerHome))
		time.Sleep(time.Hour)
		successor := c.startHome(newHome, c.moveHome(newHome))
		time.Sleep(time.Minute)
		id := timestampedKey(t)
		former.wantVerdict(t, "the partitioned home", id, once.Run)
		time.Sleep(time.Second)
		successor.wantVerdict(t, "the new home", id, once.OutcomeUnknown)
		// It counts as a former home as long as it may act on the old configuration, not only during the retry window.
		time.Sleep(30 * time.Minute)
		id = timestampedKey(t)
		former.wantVerdict(t, "the partitioned home, later", id, once.Run)
		successor.wantVerdict(t, "the new home, later", id, once.OutcomeUnknown)
		successor.pause()
		restarted := c.startHome(newHome, c.setWeight(3))
		time.Sleep(time.Minute)
		id = timestampedKey(t)
		former.wantVerdict(t, "the partitioned home, after the restart", id, once.Run)
		restarted.wantVerdict(t, "the restarted home", id, once.OutcomeUnknown)
	})
}

// TestPausedFormerHome guards against a former home that is paused during the move and, once resumed, runs a key that
// the new home has run. This must hold whether or not the platform considered the paused instance dead.
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
			// The request waited at the paused home or comes from a stale entry gateway.
			former.wantVerdict(t, "the former home when it is resumed", id, once.OutcomeUnknown)
			former.resume()
			time.Sleep(10 * time.Second)
			former.wantVerdict(t, "the former home before it has the new configuration", id, once.OutcomeUnknown)
			former.setConfig(moved)
			former.wantVerdict(t, "the former home", id, once.NotHome)
		})
	}
}

// TestGoneFormerHome guards against running keys of a former home that may still be alive: their outcome is unknown
// until the home has been missing from the platform's instance list for once.GoneAfter without interruption.
func TestGoneFormerHome(t *testing.T) {
	withCluster(t, func(t *testing.T, c cluster) {
		former := c.startHome(formerHome, c.moveHome(formerHome))
		time.Sleep(time.Hour)
		former.pause() // simulates a crash
		c.instances.Remove(formerHome)
		successor := c.startHome(newHome, c.moveHome(newHome))
		time.Sleep(once.GoneAfter - 10*time.Second)
		early := timestampedKey(t)
		successor.wantVerdict(t, "a key before the former home was missing for long enough", early, once.OutcomeUnknown)
		c.listTarget(formerHome)
		time.Sleep(10 * time.Second)
		c.instances.Remove(formerHome)
		time.Sleep(once.GoneAfter - 10*time.Second)
		successor.wantVerdict(t, "a key after the former home was listed again in between", timestampedKey(t), once.OutcomeUnknown)
		time.Sleep(30 * time.Second)
		successor.wantVerdict(t, "gone", timestampedKey(t), once.Run)
		successor.wantVerdict(t, "a key from before the former home was gone", early, once.OutcomeUnknown)
	})
}

// TestListWithoutOwnTarget guards against taking targets for gone because of an instance list that contains no
// targets: a list without the sidecar's own target proves nothing.
func TestListWithoutOwnTarget(t *testing.T) {
	withCluster(t, func(t *testing.T, c cluster) {
		c.startHome(formerHome, c.moveHome(formerHome)).pause()
		c.instances.Remove(formerHome)
		c.instances.Remove("slot-2")
		successor := c.startHome(newHome, c.moveHome(newHome))
		time.Sleep(10 * time.Minute)
		successor.wantVerdict(t, "a key while no target is known to be gone", timestampedKey(t), once.OutcomeUnknown)
	})
}

// TestStartWithOldConfiguration guards against running keys under an old configuration that a starting sidecar
// received from a stale peer.
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

// TestBarrierNeedsKeyValueService guards against running keys after a long pause without reading the revision in force.
// While the key-value service is down, a sidecar that was paused runs no caller's key; one that keeps running does.
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

// TestBarrier guards against lowering the barrier with a revision that was read before a long pause, and against
// missing a pause that only one of the two clocks shows.
func TestBarrier(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	b := barrier{}
	b.raise()
	if b.lower(5, now, now.Add(once.MaxPause+1)) || b.passed(9) {
		t.Error("a revision that was read before a long pause lowered the barrier")
	}
	if !b.lower(5, now, now.Add(time.Second)) || b.passed(4) || !b.passed(5) {
		t.Error("the barrier must be passed from the revision that was read on, and not before")
	}
	if !exceedsMaxPause(0, once.MaxPause+1) || !exceedsMaxPause(once.MaxPause+1, 0) || exceedsMaxPause(once.MaxPause, once.MaxPause) {
		t.Error("the longer of the monotonic and the wall-clock interval must count")
	}
}

// TestRemovedFormerHome guards against waiting without limit for a former home that operators have removed: after the
// retention of its generation, its keys may run. Before that, they must not.
func TestRemovedFormerHome(t *testing.T) {
	withCluster(t, func(t *testing.T, c cluster) {
		c.startHome(formerHome, c.moveHome(formerHome)).pause()
		successor := c.startHome(newHome, c.moveHome(newHome))
		time.Sleep(time.Minute)
		successor.setConfig(c.removeTarget(formerHome))
		successor.wantVerdict(t, "within the retention", timestampedKey(t), once.OutcomeUnknown)
		time.Sleep(successor.ledger.retention)
		successor.wantVerdict(t, "after the retention", timestampedKey(t), once.Run)
	})
}

// TestReachableFormerHome guards against fencing keys at former homes for longer than necessary: once a former home
// has acknowledged the move, keys used later run without its answer, and after the retention it is no longer queried.
// It must not count as having acknowledged the move before it has the new configuration.
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
		// The former home answers, but acts on the old configuration.
		time.Sleep(time.Minute)
		if since := successor.ledger.ackedSince(formerHome); !since.IsZero() {
			t.Errorf("the former home acknowledged the move at %v, before it had the new configuration", since)
		}
		former.setConfig(moved)
		fence := successor.fenceHome(t.Context(), once.Key{Workspace: "w", Service: plainService, ID: "k"}, time.Now().UnixMicro(), formerHome)
		if fence.State != once.StateNone {
			t.Errorf("got fence result %+v from the former home, want StateNone", fence)
		}
		if since := successor.ledger.ackedSince(formerHome); !since.Equal(time.Now()) {
			t.Errorf("after an answer to Fence: got time of acknowledgement %v, want now", since)
		}
		restarted := c.startHome(newHome, moved)
		time.Sleep(formerHomePollPeriod)
		if since := restarted.ledger.ackedSince(formerHome); since.IsZero() {
			t.Error("an answer to Ping did not count as acknowledgement of the move")
		}
		early := timestampedKey(t)
		server.Close()
		c.instances.Remove(formerHome)
		time.Sleep(time.Second)
		restarted.wantVerdict(t, "a key used after the former home acknowledged the move", early, once.Run)
		time.Sleep(restarted.ledger.retention)
		restarted.pause()
		if n := len(restarted.ledger.homes.Generations()); n != 1 {
			t.Errorf("%d generations after the retention, want 1", n)
		}
	})
}
