package control

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/egrethoist/egrethoist/internal/configkv"
	"github.com/egrethoist/egrethoist/internal/manifest"
	"github.com/egrethoist/egrethoist/internal/platform"
	"github.com/egrethoist/egrethoist/internal/platform/memory"
	"github.com/egrethoist/egrethoist/internal/world"
)

// sample returns the example manifest.
func sample(t testing.TB) *manifest.Document {
	t.Helper()
	src, err := os.ReadFile("../../examples/sangam.jsonc")
	if err != nil {
		t.Fatal(err)
	}
	doc, errs := manifest.ParseDocument("sangam.jsonc", src)
	if errs != nil {
		t.Fatal(errs)
	}
	return doc
}

// sampleWithWeight returns the example manifest with the given weight of its first workspace.
func sampleWithWeight(t testing.TB, weight int) *manifest.Document {
	doc := sample(t)
	doc.Workspaces[0].Weight = weight
	return doc
}

// runWithKV runs f with an in-memory key-value service on a simulated clock; ctx ends after DefaultTimeout.
func runWithKV(t *testing.T, f func(t *testing.T, ctx context.Context, kv *memory.KV, c *Controller)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), DefaultTimeout)
		defer cancel()
		kv := memory.NewKV(memory.Options{})
		f(t, ctx, kv, New(kv))
	})
}

func mustApply(t *testing.T, ctx context.Context, c *Controller, doc *manifest.Document, id string) *Result {
	t.Helper()
	res, err := c.Apply(ctx, doc, ApplyOptions{ApplyID: id})
	if err != nil {
		t.Fatal(err)
	}
	return res
}

// TestApplyExtendsLineage guards against gaps in the lineage, manifests that are deleted too early or never, and a new
// revision for an unchanged manifest.
func TestApplyExtendsLineage(t *testing.T) {
	runWithKV(t, func(t *testing.T, ctx context.Context, kv *memory.KV, c *Controller) {
		for i := 1; i <= configkv.KeptManifests+3; i++ {
			res := mustApply(t, ctx, c, sampleWithWeight(t, i), fmt.Sprint(i))
			if res.Revision.Number != uint64(i) {
				t.Fatalf("apply %d created revision %d", i, res.Revision.Number)
			}
		}
		cfg, err := c.Get(ctx)
		if err != nil {
			t.Fatal(err)
		}
		lineage := cfg.Head.Lineage
		if !lineage.Valid() || manifest.Digest(cfg.Canonical, lineage.Ancestors[0]) != lineage.Revision.Digest {
			t.Error("the head's digest doesn't match its manifest")
		}
		for i, d := range lineage.Ancestors {
			item, err := kv.Get(ctx, configkv.ManifestKey(d))
			if kept := item.Version != 0; err != nil || kept != (i+1 < configkv.KeptManifests) {
				t.Errorf("manifest of ancestor %d: kept %v, %v", i, kept, err)
			}
		}
		if res := mustApply(t, ctx, c, sampleWithWeight(t, configkv.KeptManifests+3), "same"); !res.Unchanged {
			t.Errorf("an equal manifest created revision %d", res.Revision.Number)
		}
	})
}

// TestOneOfRacingOperatorsWins guards against concurrent applies that overwrite each other or report a wrong outcome.
func TestOneOfRacingOperatorsWins(t *testing.T) {
	runWithKV(t, func(t *testing.T, ctx context.Context, kv *memory.KV, c *Controller) {
		mustApply(t, ctx, c, sample(t), "first")
		kv.SetFaults(func(f *memory.Faults) { f.Delay = 10 * time.Millisecond })
		const operators = 8
		errs := make([]error, operators)
		var wg sync.WaitGroup
		for i := range operators {
			wg.Go(func() {
				_, errs[i] = c.Apply(ctx, sampleWithWeight(t, 100+i), ApplyOptions{ApplyID: fmt.Sprint("op-", i)})
			})
		}
		wg.Wait()
		cfg, err := c.Get(ctx)
		if err != nil {
			t.Fatal(err)
		}
		won := 0
		for i, err := range errs {
			var conflict *ConflictError
			switch {
			case err == nil:
				won++
				if got := cfg.Document.World().Workspaces["san-jose-centro"].Weight; got != 100+i {
					t.Errorf("operator %d won, but the weight is %d", i, got)
				}
				if got := cfg.Head.ApplyIDs[0]; got != fmt.Sprint("op-", i) {
					t.Errorf("operator %d won, but %s is in force", i, got)
				}
			case !errors.As(err, &conflict) || conflict.Found.Number != 2:
				t.Errorf("operator %d: %v", i, err)
			}
		}
		if won != 1 {
			t.Errorf("%d operators won, want 1", won)
		}
	})
}

// TestLostAnswers guards against an apply that fails or takes effect twice because responses to its writes were lost.
func TestLostAnswers(t *testing.T) {
	for lost := 1; lost <= 3; lost++ {
		runWithKV(t, func(t *testing.T, ctx context.Context, kv *memory.KV, c *Controller) {
			mustApply(t, ctx, c, sample(t), "first")
			kv.SetFaults(func(f *memory.Faults) { f.LoseAnswers = lost })
			if res := mustApply(t, ctx, c, sampleWithWeight(t, 50), "second"); res.Revision.Number != 2 {
				t.Errorf("%d answers lost: revision %d", lost, res.Revision.Number)
			}
			cfg, err := c.Get(ctx)
			if err != nil || cfg.Head.Lineage.Revision.Number != 2 {
				t.Errorf("%d answers lost: %+v, %v", lost, cfg.Head.Lineage.Revision, err)
			}
		})
	}
}

// outageKV makes the service unavailable after the n-th write, which takes effect but whose response is lost.
type outageKV struct {
	platform.KV
	memory *memory.KV
	writes int
}

func (o *outageKV) CompareAndSwap(ctx context.Context, key string, expect uint64, value []byte, lease platform.LeaseID) (uint64, error) {
	o.writes--
	if o.writes == 0 {
		o.memory.SetFaults(func(f *memory.Faults) { f.LoseAnswers = 1 })
		defer o.memory.SetFaults(func(f *memory.Faults) { f.Down = true })
	}
	return o.KV.CompareAndSwap(ctx, key, expect, value, lease)
}

// headWrite is the position of the head among the writes of an apply, after lineage and manifest.
const headWrite = 3

// TestOutageBeforeTheHeadAppliesNothing guards against an outage before the write of the head that is reported as an
// unknown outcome, and against keys left behind that block another operator's identical change.
func TestOutageBeforeTheHeadAppliesNothing(t *testing.T) {
	for write := 1; write < headWrite; write++ {
		runWithKV(t, func(t *testing.T, ctx context.Context, kv *memory.KV, c *Controller) {
			mustApply(t, ctx, c, sample(t), "first")
			short, cancel := context.WithTimeout(ctx, 2*time.Second)
			defer cancel()
			_, err := New(&outageKV{kv, kv, write}).Apply(short, sampleWithWeight(t, 50), ApplyOptions{ApplyID: "second"})
			var unknown *UnknownError
			if err == nil || errors.As(err, &unknown) {
				t.Fatalf("write %d: got %v, want an error other than an unknown outcome", write, err)
			}
			kv.SetFaults(func(f *memory.Faults) { f.Down = false })
			// Another operator makes the same change, while the first one's keys still exist.
			mustApply(t, ctx, c, sampleWithWeight(t, 50), "third")
			cfg, err := c.Get(ctx)
			if err != nil {
				t.Fatal(err)
			}
			if _, ours := cfg.Head.Applied("second"); ours || cfg.Head.Lineage.Revision.Number != 2 || cfg.Head.ApplyIDs[0] != "third" {
				t.Errorf("write %d: %+v", write, cfg.Head)
			}
		})
	}
}

// TestLineageBeyondHead makes more changes than the head lists. It guards against a head that grows with the history,
// and against a lost lineage or apply ID.
func TestLineageBeyondHead(t *testing.T) {
	runWithKV(t, func(t *testing.T, ctx context.Context, kv *memory.KV, c *Controller) {
		const changes = 100
		for i := range changes {
			mustApply(t, ctx, c, sampleWithWeight(t, i+1), fmt.Sprint("apply-", i))
		}
		item, err := kv.Get(ctx, configkv.HeadKey)
		if err != nil {
			t.Fatal(err)
		}
		if most := 2 << 10; len(item.Value) > most {
			t.Errorf("the head has %d bytes, want at most %d", len(item.Value), most)
		}
		cfg, err := c.Get(ctx)
		if err != nil {
			t.Fatal(err)
		}
		if n := len(cfg.Head.Lineage.Ancestors); n != changes-1 || !cfg.Head.Lineage.Valid() {
			t.Errorf("%d ancestors, want %d", n, changes-1)
		}
		if res := mustApply(t, ctx, c, sampleWithWeight(t, 1), "apply-0"); !res.Repeated || res.Revision.Number != 1 {
			t.Errorf("the first apply ID is no longer known: %+v", res)
		}
	})
}

// overtakenKV loses the response of the first write of the head and makes many other changes before it
// returns. It can also hide a key from reads.
type overtakenKV struct {
	platform.KV
	changes   func() // run once, after the write of the head
	hiddenKey string // reads of this key find nothing
}

func (o *overtakenKV) CompareAndSwap(ctx context.Context, key string, expect uint64, value []byte, lease platform.LeaseID) (uint64, error) {
	version, err := o.KV.CompareAndSwap(ctx, key, expect, value, lease)
	if key != configkv.HeadKey || o.changes == nil {
		return version, err
	}
	o.changes()
	o.changes = nil
	return 0, platform.ErrOutcomeUnknown
}

func (o *overtakenKV) Get(ctx context.Context, key string) (platform.Item, error) {
	if key == o.hiddenKey {
		return platform.Item{}, nil
	}
	return o.KV.Get(ctx, key)
}

// TestOvertakenChangeIsNotReportedAsConflict guards against a change that took effect, but is reported as a conflict
// because its response was lost and the lineage that lists it can't be read.
func TestOvertakenChangeIsNotReportedAsConflict(t *testing.T) {
	for _, lineageReadable := range []bool{true, false} {
		runWithKV(t, func(t *testing.T, ctx context.Context, kv *memory.KV, c *Controller) {
			mustApply(t, ctx, c, sample(t), "first")
			o := &overtakenKV{KV: kv}
			o.changes = func() {
				for i := range 30 {
					mustApply(t, ctx, c, sampleWithWeight(t, 100+i), fmt.Sprint("other-", i))
				}
				head, err := configkv.ReadHead(ctx, kv)
				if err == nil && !lineageReadable {
					o.hiddenKey = configkv.LineageKey(head.Lineage.Revision.Digest)
				}
			}
			short, cancel := context.WithTimeout(ctx, 2*time.Second)
			defer cancel()
			_, err := New(o).Apply(short, sampleWithWeight(t, 50), ApplyOptions{ApplyID: "second"})
			var unknown *UnknownError
			if lineageReadable && err != nil || !lineageReadable && !errors.As(err, &unknown) {
				t.Errorf("lineage readable %v: got %v", lineageReadable, err)
			}
		})
	}
}

// TestMixedReleases guards against lost changes while operators use different releases: an older release writes its
// whole lineage into the head and reads no lineage key.
func TestMixedReleases(t *testing.T) {
	runWithKV(t, func(t *testing.T, ctx context.Context, kv *memory.KV, c *Controller) {
		for i := range 20 {
			mustApply(t, ctx, c, sampleWithWeight(t, i+1), fmt.Sprint("new-", i))
		}
		head, err := configkv.ReadHead(ctx, kv)
		if err != nil || !head.Lineage.Valid() || len(head.Lineage.Ancestors) == 0 || len(head.Deltas) == 0 {
			t.Fatalf("the old release can't use the head: %+v, %v", head, err)
		}
		canonical := manifest.Encode(sampleWithWeight(t, 500))
		parent := head.Lineage.Revision
		next := world.Revision{Number: parent.Number + 1, Digest: manifest.Digest(canonical, parent.Digest), Parent: parent.Digest}
		put(t, ctx, kv, configkv.ManifestKey(next.Digest), 0, manifest.Compress(canonical))
		put(t, ctx, kv, configkv.HeadKey, head.Version, head.Next(next, "old-0", nil).EncodeLineage())
		if res := mustApply(t, ctx, c, sampleWithWeight(t, 501), "new-20"); res.Revision.Parent != next.Digest {
			t.Errorf("based on %x, not on the old release's change", res.Revision.Parent)
		}
		if res := mustApply(t, ctx, c, sampleWithWeight(t, 500), "old-0"); !res.Repeated || res.Revision.Digest != next.Digest {
			t.Errorf("the old release's apply ID is not known: %+v", res)
		}
	})
}

// put writes a key by compare-and-swap.
func put(t *testing.T, ctx context.Context, kv platform.KV, key string, version uint64, value []byte) {
	t.Helper()
	if _, err := kv.CompareAndSwap(ctx, key, version, value, 0); err != nil {
		t.Fatal(err)
	}
}

// TestUnknownOutcomeIsResolvedByApplyID guards against a change that is applied twice when an operator repeats it after
// an unknown outcome.
func TestUnknownOutcomeIsResolvedByApplyID(t *testing.T) {
	runWithKV(t, func(t *testing.T, ctx context.Context, kv *memory.KV, c *Controller) {
		mustApply(t, ctx, c, sample(t), "first")
		short, cancel := context.WithTimeout(ctx, 2*time.Second)
		defer cancel()
		_, err := New(&outageKV{kv, kv, headWrite}).Apply(short, sampleWithWeight(t, 50), ApplyOptions{ApplyID: "second"})
		var unknown *UnknownError
		if !errors.As(err, &unknown) || unknown.ApplyID != "second" {
			t.Fatalf("got %v, want an unknown outcome", err)
		}
		kv.SetFaults(func(f *memory.Faults) { f.Down = false })
		mustApply(t, ctx, c, sampleWithWeight(t, 60), "third")
		res := mustApply(t, ctx, c, sampleWithWeight(t, 50), "second")
		if !res.Repeated || res.Revision.Number != 2 {
			t.Errorf("got %+v, want revision 2 reported as repeated", res)
		}
	})
}

// TestStaleReadIsAConflict guards against a change based on a stale read that overwrites a newer revision.
func TestStaleReadIsAConflict(t *testing.T) {
	runWithKV(t, func(t *testing.T, ctx context.Context, kv *memory.KV, c *Controller) {
		mustApply(t, ctx, c, sample(t), "first")
		kv.SetFaults(func(f *memory.Faults) { f.Stale = true })
		mustApply(t, ctx, c, sampleWithWeight(t, 50), "second")
		time.AfterFunc(time.Second, func() { kv.SetFaults(func(f *memory.Faults) { f.Stale = false }) })
		_, err := c.Apply(ctx, sampleWithWeight(t, 60), ApplyOptions{ApplyID: "third"})
		var conflict *ConflictError
		if !errors.As(err, &conflict) || conflict.Found.Number != 2 || conflict.ApplyID != "second" {
			t.Errorf("got %v, want a conflict with the second apply", err)
		}
	})
}

// TestDrain guards against drain marks that are lost by an apply or that affect other objects.
func TestDrain(t *testing.T) {
	runWithKV(t, func(t *testing.T, ctx context.Context, kv *memory.KV, c *Controller) {
		mustApply(t, ctx, c, sample(t), "first")
		if _, err := c.SetDrained(ctx, KindFailureDomain, "meseta-a", true, "drain"); err != nil {
			t.Fatal(err)
		}
		// An apply without drain marks, as by a pipeline, keeps them.
		mustApply(t, ctx, c, sampleWithWeight(t, 50), "pipeline")
		drained := func() (bool, bool) {
			cfg, err := c.Get(ctx)
			if err != nil {
				t.Fatal(err)
			}
			w := cfg.Document.World()
			return w.FailureDomains["meseta-a"].Drained, w.Targets["dossier-02"].Drained
		}
		if domain, _ := drained(); !domain {
			t.Error("apply returned the failure domain to service")
		}
		if _, err := c.SetDrained(ctx, KindTarget, "dossier-02", true, "drain-2"); err != nil {
			t.Fatal(err)
		}
		if _, err := c.SetDrained(ctx, KindFailureDomain, "meseta-a", false, "return"); err != nil {
			t.Fatal(err)
		}
		if domain, target := drained(); domain || !target {
			t.Errorf("domain drained %v, target drained %v", domain, target)
		}
		if _, err := c.SetDrained(ctx, KindTarget, "nobody", true, "x"); err == nil {
			t.Error("an unknown target was drained")
		}
	})
}

// TestDiff guards against drain marks or shifted list positions that show up as differences.
func TestDiff(t *testing.T) {
	cur := sample(t)
	drained := true
	cur.FailureDomains[0].Drained = &drained
	next := sampleWithWeight(t, 99)
	next.Services[0].Targets = next.Services[0].Targets[1:]
	changes := Diff(cur, next)
	want := []string{"services[dossier-llm].targets[dossier-01]", "workspaces[san-jose-centro].weight"}
	if len(changes) != len(want) {
		t.Fatalf("got %v", changes)
	}
	for i, c := range changes {
		if c.Path != want[i] {
			t.Errorf("change %d is at %s, want %s", i, c.Path, want[i])
		}
	}
	if len(Diff(nil, next)) == 0 {
		t.Error("no difference from an empty configuration")
	}
}

// TestIdenticalChangesRace guards against the loser of a race deleting a manifest that it shares with the winner.
func TestIdenticalChangesRace(t *testing.T) {
	runWithKV(t, func(t *testing.T, ctx context.Context, kv *memory.KV, c *Controller) {
		mustApply(t, ctx, c, sample(t), "first")
		kv.SetFaults(func(f *memory.Faults) { f.Delay = 10 * time.Millisecond })
		var wg sync.WaitGroup
		for i := range 4 {
			wg.Go(func() { c.Apply(ctx, sampleWithWeight(t, 70), ApplyOptions{ApplyID: fmt.Sprint("same-", i)}) })
		}
		wg.Wait()
		// readConfig fails if a loser has deleted the manifest.
		cfg, err := New(kv).readConfig(ctx)
		if err != nil || cfg.Head.Lineage.Revision.Number != 2 {
			t.Errorf("revision %+v, %v", cfg, err)
		}
	})
}

// TestConcurrentDrainsBothHold guards against concurrent drains that overwrite each other.
func TestConcurrentDrainsBothHold(t *testing.T) {
	runWithKV(t, func(t *testing.T, ctx context.Context, kv *memory.KV, c *Controller) {
		mustApply(t, ctx, c, sample(t), "first")
		kv.SetFaults(func(f *memory.Faults) { f.Delay = 10 * time.Millisecond; f.LoseAnswers = 2 })
		var wg sync.WaitGroup
		for _, name := range []string{"meseta-a", "meseta-b"} {
			wg.Go(func() {
				if _, err := c.SetDrained(ctx, KindFailureDomain, name, true, "drain-"+name); err != nil {
					t.Error(err)
				}
			})
		}
		wg.Wait()
		cfg, err := c.Get(ctx)
		if err != nil {
			t.Fatal(err)
		}
		w := cfg.Document.World()
		if !w.FailureDomains["meseta-a"].Drained || !w.FailureDomains["meseta-b"].Drained {
			t.Error("one drain undid the other")
		}
	})
}
