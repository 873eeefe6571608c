package gateway

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/egrethoist/egrethoist/internal/metastore/memory"
	"github.com/egrethoist/egrethoist/internal/streampin"
)

// Guards against records of streams that end before their streams, which would then go on at another software version: the lease of a
// record runs on while the machine is suspended.
func TestRecordsAfterSuspensionGetNewLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const lifetime = 30 * time.Second
		store := memory.New()
		metrics := newStreamMetrics(tally.NoopScope)
		r := newStreamRecorder(store, &metrics)
		var suspended atomic.Int64
		r.clock = func() time.Duration { return time.Duration(suspended.Load()) }
		go r.run(t.Context())
		for _, id := range []string{"before", "after"} {
			if err := r.add(id, streampin.Version{Service: "s", Software: "v"}, lifetime).wait(t.Context()); err != nil {
				t.Fatal(err)
			}
			suspended.Add(int64(lifetime))
		}
		before, _ := store.Lookup(streamKey("before"))
		after, _ := store.Lookup(streamKey("after"))
		if before.Lease == after.Lease {
			t.Errorf("both records are on lease %d, although the machine was suspended for %v in between", before.Lease, lifetime)
		}
	})
}
