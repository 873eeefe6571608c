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
type heldConfig struct{ world atomic.Pointer[world.World] }

func (c *heldConfig) Current() *world.World                  { return c.world.Load() }
func (c *heldConfig) Stamp() *egretv1.RevisionStamp          { return nil }
func (c *heldConfig) Observe(*egretv1.RevisionStamp, string) {}
func (c *heldConfig) Changed() <-chan struct{}               { return nil }

// dial reaches no sidecar, or those on a network.
func (o operators) dial(target string) peer.DialFunc {
	if o.net != nil {
		return o.net.Dialer(target)
	}
	return func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("unreachable") }
}

// noTarget is never called: the tests end at the ledger.
type noTarget struct{ engine.Target }

// operators change the configuration of the tests.
type operators struct {
	t    *testing.T
	kv   *memory.KV
	list *memory.Instances
	net  *network.Network // nil: no sidecar reaches another
}

// home makes one target the only home and returns the configuration then in force.
func (o operators) home(target string) *world.World {
	return o.apply(func(doc *manifest.Document) { onlyHome(doc, target) })
}

func onlyHome(doc *manifest.Document, target string) {
	for i := range doc.Services {
		for j := range doc.Services[i].Targets {
			tg := &doc.Services[i].Targets[j]
			drained := doc.Services[i].Name == plainService && tg.Name != target
			tg.Drained = &drained
		}
	}
}

// weigh changes what has nothing to do with homes.
func (o operators) weigh(weight int) *world.World {
	return o.apply(func(doc *manifest.Document) { doc.Workspaces[0].Weight = weight })
}

// without removes a target that has not been drained for long enough.
func (o operators) without(target string) *world.World {
	return o.apply(func(doc *manifest.Document) {
		for i := range doc.Services {
			s := &doc.Services[i]
			s.Targets = slices.DeleteFunc(s.Targets, func(t manifest.Target) bool { return t.Name == target })
		}
	})
}

func (o operators) apply(edit func(doc *manifest.Document)) *world.World {
	o.t.Helper()
	src, err := os.ReadFile("../../examples/sangam.jsonc")
	if err != nil {
		o.t.Fatal(err)
	}
	doc, errs := manifest.ParseDocument("sangam.jsonc", src)
	if errs != nil {
		o.t.Fatal(errs)
	}
	edit(doc)
	ctl := control.New(o.kv)
	if _, err := ctl.Apply(o.t.Context(), doc, control.ApplyOptions{ApplyID: uuid.NewString(), RemoveUndrained: true}); err != nil {
		o.t.Fatal(err)
	}
	return o.current()
}

func (o operators) current() *world.World {
	cfg, err := control.New(o.kv).Get(o.t.Context())
	if err != nil {
		o.t.Fatal(err)
	}
	w := cfg.Document.World()
	w.Revision = cfg.Head.Lineage.Revision
	return w
}

// home is a sidecar of the tests with its configuration, which can be paused.
type home struct {
	*Sidecar
	config *heldConfig
	resume func()
	pause  func()
}

// startHome starts a sidecar.
func (o operators) startHome(name string, w *world.World) *home {
	o.t.Helper()
	h := &home{config: &heldConfig{}}
	h.config.world.Store(w)
	var err error
	h.Sidecar, err = New(Options{
		Name: name, Service: plainService, Config: h.config, Target: noTarget{}, KV: o.kv, Instances: o.list,
		Dial: o.dial(name),
	})
	if err != nil {
		o.t.Fatal(err)
	}
	o.t.Cleanup(h.neighbours.Close)
	h.resume = func() {
		ctx, cancel := context.WithCancel(o.t.Context())
		var loops sync.WaitGroup
		loops.Go(func() { h.guardKeys(ctx) })
		loops.Go(func() { h.watchFormer(ctx) })
		h.pause = func() { cancel(); loops.Wait() }
	}
	h.follow()
	h.resume()
	h.takeOver(o.t.Context())
	o.t.Cleanup(func() { h.pause() })
	return h
}

// learn puts the configuration in force at the sidecar.
func (h *home) learn(w *world.World) {
	h.config.world.Store(w)
	h.follow()
}

// want presents a key that an entry reads now.
func (h *home) want(t *testing.T, what, id string, verdict once.Verdict) {
	t.Helper()
	if r := presentKey(t, h.Sidecar, id, time.Now()); r.Verdict != verdict {
		t.Errorf("%s: %v, want %v", what, r.Verdict, verdict)
	}
}

// presentKey presents a key that an entry reads now.
func presentKey(t *testing.T, s *Sidecar, id string, read time.Time) once.Result {
	r := &attemptRun{s: s, open: &egretv1.Open{
		Service: plainService, Workspace: "w", IdempotencyKey: id, Method: "POST", Path: "/bookings",
		ReadUnixMicros: read.UnixMicro(),
	}}
	return r.present(t.Context(), r.key())
}

// timedKey is a key created now.
func timedKey(t *testing.T) string {
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
func withOperators(t *testing.T, f func(t *testing.T, o operators)) {
	synctest.Test(t, func(t *testing.T) {
		o := operators{t: t, kv: memory.NewKV(memory.Options{}), list: memory.NewInstances(time.Second)}
		o.appear(formerHome)
		o.list.Put(platform.Instance{Name: "slot-2", Address: "127.0.0.1:7452"}) // of the new home
		f(t, o)
	})
}

func (o operators) appear(target string) {
	o.list.Put(platform.Instance{Name: target, Role: "target"})
}

// TestCutOffFormerHome has a former home that never learns of the move and goes on running keys that a stale entry
// sends it, while the new home starts after the move and can't reach it.
func TestCutOffFormerHome(t *testing.T) {
	withOperators(t, func(t *testing.T, o operators) {
		former := o.startHome(formerHome, o.home(formerHome))
		time.Sleep(time.Hour)
		taker := o.startHome(newHome, o.home(newHome))
		time.Sleep(time.Minute)
		id := timedKey(t)
		former.want(t, "the cut-off home", id, once.Run)
		time.Sleep(time.Second)
		taker.want(t, "the new home", id, once.OutcomeUnknown)
		// It stays a former home while it may act on the old configuration, not only for the retry window.
		time.Sleep(30 * time.Minute)
		id = timedKey(t)
		former.want(t, "the cut-off home, later", id, once.Run)
		taker.want(t, "the new home, later", id, once.OutcomeUnknown)
		taker.pause()
		restarted := o.startHome(newHome, o.weigh(3))
		time.Sleep(time.Minute)
		id = timedKey(t)
		former.want(t, "the cut-off home, after the restart", id, once.Run)
		restarted.want(t, "the restarted home", id, once.OutcomeUnknown)
	})
}

// TestPausedFormerHome has a former home that is paused over the move. Taken for dead by the platform or not, it must
// not run a key after it wakes that the new home has run.
func TestPausedFormerHome(t *testing.T) {
	for _, delisted := range []bool{false, true} {
		withOperators(t, func(t *testing.T, o operators) {
			former := o.startHome(formerHome, o.home(formerHome))
			time.Sleep(time.Hour)
			former.pause()
			moved := o.home(newHome)
			if delisted {
				o.list.Remove(formerHome)
			}
			taker := o.startHome(newHome, moved)
			time.Sleep(2 * time.Minute)
			id := timedKey(t)
			verdict := once.OutcomeUnknown
			if delisted {
				verdict = once.Run
			}
			taker.want(t, "the new home", id, verdict)
			// The request has waited at the paused home, or comes from a stale entry.
			former.want(t, "the former home as it wakes", id, once.OutcomeUnknown)
			former.resume()
			time.Sleep(10 * time.Second)
			former.want(t, "the former home before it has learned of the move", id, once.OutcomeUnknown)
			former.learn(moved)
			former.want(t, "the former home", id, once.NotHome)
		})
	}
}

// TestGoneFormerHome: keys of a dead home are unknown until the platform's list has shown for long enough that it is
// gone; a shorter absence proves nothing.
func TestGoneFormerHome(t *testing.T) {
	withOperators(t, func(t *testing.T, o operators) {
		former := o.startHome(formerHome, o.home(formerHome))
		time.Sleep(time.Hour)
		former.pause() // it has died
		o.list.Remove(formerHome)
		taker := o.startHome(newHome, o.home(newHome))
		time.Sleep(once.GoneAfter - 10*time.Second)
		early := timedKey(t)
		taker.want(t, "not gone for long enough", early, once.OutcomeUnknown)
		o.appear(formerHome)
		time.Sleep(10 * time.Second)
		o.list.Remove(formerHome)
		time.Sleep(once.GoneAfter - 10*time.Second)
		taker.want(t, "listed in between", timedKey(t), once.OutcomeUnknown)
		time.Sleep(30 * time.Second)
		taker.want(t, "gone", timedKey(t), once.Run)
		taker.want(t, "a key from before it was gone", early, once.OutcomeUnknown)
	})
}

// TestListWithoutTargets: a list that does not show the sidecar itself shows no targets.
func TestListWithoutTargets(t *testing.T) {
	withOperators(t, func(t *testing.T, o operators) {
		o.startHome(formerHome, o.home(formerHome)).pause()
		o.list.Remove(formerHome)
		o.list.Remove("slot-2")
		taker := o.startHome(newHome, o.home(newHome))
		time.Sleep(10 * time.Minute)
		taker.want(t, "nothing is known to be gone", timedKey(t), once.OutcomeUnknown)
	})
}

// TestStartWithOldConfiguration: a sidecar that a stale peer gave its first configuration runs nothing under it.
func TestStartWithOldConfiguration(t *testing.T) {
	withOperators(t, func(t *testing.T, o operators) {
		old := o.home(formerHome)
		moved := o.home(newHome)
		former := o.startHome(formerHome, old)
		time.Sleep(time.Minute)
		former.want(t, "with an old configuration", timedKey(t), once.OutcomeUnknown)
		former.learn(moved)
		former.want(t, "with the newest", timedKey(t), once.NotHome)
	})
}

// TestBarrierNeedsTheService: while the key-value service is down, a sidecar that has been paused runs no caller's key,
// and one that goes on running does.
func TestBarrierNeedsTheService(t *testing.T) {
	withOperators(t, func(t *testing.T, o operators) {
		h := o.startHome(newHome, o.home(newHome))
		time.Sleep(time.Minute)
		o.kv.SetFaults(func(f *memory.Faults) { f.Down = true })
		time.Sleep(time.Hour)
		h.want(t, "during the outage", timedKey(t), once.Run)
		h.pause()
		time.Sleep(once.MaxPause - time.Second)
		h.want(t, "after a short pause", timedKey(t), once.Run)
		time.Sleep(once.MaxPause + time.Second)
		h.resume()
		time.Sleep(time.Second)
		h.want(t, "after a long pause", timedKey(t), once.OutcomeUnknown)
		o.kv.SetFaults(func(f *memory.Faults) { f.Down = false })
		time.Sleep(5 * time.Second)
		h.want(t, "after the outage", timedKey(t), once.Run)
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
	if !tooLong(0, once.MaxPause+1) || !tooLong(once.MaxPause+1, 0) || tooLong(once.MaxPause, once.MaxPause) {
		t.Error("the longer of both clocks must count")
	}
}

// TestRemovedFormerHome: of a target that is no longer declared the operators have said that it is settled.
func TestRemovedFormerHome(t *testing.T) {
	withOperators(t, func(t *testing.T, o operators) {
		o.startHome(formerHome, o.home(formerHome)).pause()
		taker := o.startHome(newHome, o.home(newHome))
		time.Sleep(time.Minute)
		taker.learn(o.without(formerHome))
		taker.want(t, "within the retry window", timedKey(t), once.OutcomeUnknown)
		time.Sleep(taker.ledger.keep)
		taker.want(t, "after it", timedKey(t), once.Run)
	})
}

// TestReachableFormerHome: once a former home has said that it acts on the move, keys used later need no answer of it,
// and after the retry window it is no longer asked.
func TestReachableFormerHome(t *testing.T) {
	withOperators(t, func(t *testing.T, o operators) {
		o.net = network.New(time.Millisecond)
		before := o.home(formerHome)
		former := o.startHome(formerHome, before)
		l, err := o.net.Listen(before.Targets[formerHome].Sidecar)
		if err != nil {
			t.Fatal(err)
		}
		server := peer.NewServer(former.Handler(), nil)
		go server.Serve(l)
		defer server.Close()
		time.Sleep(time.Minute)
		moved := o.home(newHome)
		taker := o.startHome(newHome, moved)
		// The former home answers, but under the old configuration.
		time.Sleep(time.Minute)
		if since := taker.ledger.movedOn(formerHome); !since.IsZero() {
			t.Errorf("the former home acts on the move since %v before it has learned of it", since)
		}
		former.learn(moved)
		fence := taker.askHome(t.Context(), once.Key{Workspace: "w", Service: plainService, ID: "k"}, time.Now().UnixMicro(), formerHome)
		if fence.State != once.StateNone {
			t.Errorf("the former home answers %+v", fence)
		}
		if since := taker.ledger.movedOn(formerHome); !since.Equal(time.Now()) {
			t.Errorf("after an answer to Fence it acts on the move since %v", since)
		}
		second := o.startHome(newHome, moved)
		time.Sleep(formerPeriod)
		if since := second.ledger.movedOn(formerHome); since.IsZero() {
			t.Error("after an answer to Ping the former home is not known to act on the move")
		}
		early := timedKey(t)
		server.Close()
		o.list.Remove(formerHome)
		time.Sleep(time.Second)
		second.want(t, "a key used after the former home acted on the move", early, once.Run)
		time.Sleep(second.ledger.keep)
		second.pause()
		if n := len(second.ledger.homes.Generations()); n != 1 {
			t.Errorf("%d generations after the retry window", n)
		}
	})
}
