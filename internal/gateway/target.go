package gateway

import (
	"context"
	"maps"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"github.com/egrethoist/egrethoist/internal/coldshare"
	"github.com/egrethoist/egrethoist/internal/departure"
	"github.com/egrethoist/egrethoist/internal/roster"
	"github.com/egrethoist/egrethoist/internal/routing"
	"github.com/egrethoist/egrethoist/internal/targetconn"
)

const (
	// backoffLeast and backoffMost bound how long a target is avoided after a connection or an answer failed.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 2 * time.Second
	// replacedBackoff is how long a target is avoided at whose address another one answered: longer than the record of a
	// target that is gone stays, three heartbeats.
	replacedBackoff = 10 * time.Second
)

// target is one incarnation of a target with what this instance knows of it. It outlives views.
type target struct {
	id, address, domain string // never change
	born                int64  // start in Unix milliseconds, zero if unknown; never changes
	incarnation         departure.Incarnation
	limit               *limitState

	idHash         uint64
	pool           *targetconn.Pool
	stats          *routing.Stats
	weightVersions atomic.Pointer[map[string]int] // newest known weight version by model
	loadReports    atomic.Uint64
	failures       atomic.Int64 // in a row
	pauses         atomic.Int64 // answers in a row that asked for a pause

	// The rest belongs to State and is guarded by its lock.
	record             roster.Target
	coldShare          *coldshare.Share // nil while warm; rebuilt with the view
	coldShareUntil     time.Time        // ColdUntil that share was made for
	coldShareInstances uint64           // fingerprint of the instances that share was made for
}

func newTarget(t roster.Target, connections int, dial targetconn.Dial, l *limitRegistry) *target {
	created := &target{
		id: t.ID, address: t.Address, domain: t.FailureDomain, born: t.Born, incarnation: departure.Of(t.ID, t.Address, t.Born), record: t, idHash: xxhash.Sum64String(t.ID), pool: targetconn.NewPool(t.Address, connections, dial),
		stats: new(routing.Stats),
	}
	created.limit = l.register(t.ID, created.incarnation)
	created.stats.Report(routing.Load{Limit: t.Slots}) // nothing is known yet: taken as idle
	created.learnVersions(t.Weights)
	return created
}

// learn takes in weight versions; versions only grow within an incarnation. It reports whether anything was new.
func (t *target) learnVersions(versions map[string]int) bool {
	for {
		old := t.weightVersions.Load()
		var known map[string]int
		if old != nil {
			known = *old
		}
		changed := false
		for model, v := range versions {
			changed = changed || v > known[model]
		}
		if !changed {
			return false
		}
		next := make(map[string]int, len(known)+len(versions))
		maps.Copy(next, known)
		for model, v := range versions {
			next[model] = max(next[model], v)
		}
		if t.weightVersions.CompareAndSwap(old, &next) {
			return true
		}
	}
}

// version returns the newest known weight version of a model; zero if unknown.
func (t *target) version(model string) int {
	if v := t.weightVersions.Load(); v != nil {
		return (*v)[model]
	}
	return 0
}

// report takes in the load that an answer carried.
func (t *target) reportLoad(r Reply, now time.Time) {
	if !r.HasLoad || r.Slots < 1 {
		return
	}
	t.stats.Report(routing.Load{
		Sequence: t.loadReports.Add(1), Limit: r.Slots, InFlight: r.Running, Queued: r.Waiting, At: now,
	})
}

// failed keeps the target out of picks for a while, longer with each failure in a row.
func (t *target) recordFailure(now time.Time) {
	n := min(t.failures.Add(1)-1, 8)
	t.stats.Backoff(now.Add(min(minBackoff<<n, maxBackoff)))
}

// wasReplaced keeps the target out of picks until its record is gone.
func (t *target) recordReplaced(now time.Time) {
	t.stats.Backoff(now.Add(replacedBackoff))
	klog.InfoS("another target answers at the address", "target", t.id, "address", t.address)
}

func (t *target) recordSuccess(now time.Time) {
	t.failures.Store(0)
	t.stats.Heard(now)
}

// connect returns a connection for one request, one that has carried no other if fresh. The time limit is the pool's own and the request's.
func (t *target) connect(ctx context.Context, fresh bool) (*targetconn.Conn, error) {
	if fresh {
		return t.pool.New(ctx)
	}
	return t.pool.Get(ctx)
}
