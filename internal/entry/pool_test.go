package entry

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"

	"github.com/egrethoist/egrethoist/internal/world"
)

// Guards against state streams that start before all connections are in the pool, as when an entry starts: their period
// would be computed from too small a number of streams and exceed the bandwidth budget.
func TestStreamPeriodCountsAllStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const streams = 111
		var wanted []*world.Target
		for i := range streams {
			wanted = append(wanted, &world.Target{Name: fmt.Sprint("target-", i), Sidecar: fmt.Sprintf("10.0.0.%d:1", i+1)})
		}
		p := newPool(&Options{})
		sizes := make(chan int, streams)
		run := func(ctx context.Context, _ *sidecarConn) {
			sizes <- p.size()
			<-ctx.Done()
		}
		if !p.reconcile(t.Context(), wanted, run) || p.reconcile(t.Context(), wanted, run) {
			t.Error("first reconcile must report a change and the second must not")
		}
		for range streams {
			if n := <-sizes; n != streams {
				t.Fatalf("stream started with pool size %d, want %d", n, streams)
			}
		}
		p.close()
	})
}
