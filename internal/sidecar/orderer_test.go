package sidecar

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/egrethoist/egrethoist/internal/platform/memory"
	"github.com/egrethoist/egrethoist/internal/world"
)

// TestOneLoadingSlotPerTarget guards against a target that holds two loading slots. During an outage of the key-value
// service a slot cannot be renewed, until it is no longer valid for a whole load although its lease has not expired.
// The target must release it before it takes another one.
func TestOneLoadingSlotPerTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := memory.NewKV(memory.Options{})
		svc := &world.Service{Name: "planner-llm", Cold: world.ColdLimits{Loaders: 3}}
		o := newOrderer(&Sidecar{opts: Options{Name: "planner-01", KV: kv}, metrics: newMetrics(tally.NoopScope)})
		held := func() (n int) {
			for i := range svc.Cold.Loaders {
				item, err := kv.Get(t.Context(), fmt.Sprintf("loadslots/%s/%d", svc.Name, i))
				if err != nil {
					t.Fatal(err)
				}
				if item.Version != 0 {
					n++
				}
			}
			return n
		}
		o.acquireSlot(t.Context(), svc)
		kv.SetFaults(func(f *memory.Faults) { f.Down = true })
		for o.slot.Valid(time.Now()) {
			time.Sleep(time.Second)
		}
		kv.SetFaults(func(f *memory.Faults) { f.Down = false })
		o.acquireSlot(t.Context(), svc)
		if n := held(); n != 1 || !o.slot.Valid(time.Now()) {
			t.Errorf("the target holds %d slots of its service, want one valid slot", n)
		}
		o.releaseSlot()
		if n := held(); n != 0 {
			t.Errorf("%d slots held after the release, want 0", n)
		}
		o.s.background.Wait()
	})
}
