package gateway

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"github.com/egrethoist/egrethoist/internal/coldshare"
	"github.com/egrethoist/egrethoist/internal/departure"
	"github.com/egrethoist/egrethoist/internal/forecast"
	"github.com/egrethoist/egrethoist/internal/roster"
	"github.com/egrethoist/egrethoist/internal/routing"
	"github.com/egrethoist/egrethoist/internal/steadytime"
	"github.com/egrethoist/egrethoist/internal/targetconn"
)

const (
	// minBackoff and maxBackoff bound how long a target is avoided after a failed connection or answer.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 2 * time.Second
	// replacedBackoff is how long a target is avoided after another target answered at its address: longer than the three
	// heartbeats after which the record of a dead target expires.
	replacedBackoff = 10 * time.Second
)

// target is the state that this instance keeps of one incarnation of a target. It is shared by successive views.
type target struct {
	id, address, domain string // immutable
	software            string // version of its software; immutable
	born                int64  // start of the process in Unix milliseconds, zero if unknown; immutable
	incarnation         departure.Incarnation
	limit               *limitState

	idHash         uint64
	pool           *targetconn.Pool
	probes         *targetconn.Pool // for probes of the load
	stats          *routing.Stats
	speed          forecast.Target                         // of an engine
	weightVersions atomic.Pointer[map[string]knownVersion] // weight versions by model
	loadReports    atomic.Uint64                           // load reports received; their sequence number in stats
	failures       atomic.Int64                            // consecutive failed connections or answers
	coldUntil      atomic.Int64                            // end of the cold time as steady time in nanoseconds
	pauses         atomic.Int64                            // consecutive answers that requested a pause

	crashMu sync.Mutex  // guards crash
	crash   *crashCheck // last check of whether the target has crashed; nil if there was none

	// The fields below are guarded by State.mu.
	record               roster.Target
	recordSequence       uint64                 // highest one of the records
	recordVersions       map[string]int         // weight versions in that record, by model
	publishedVersions    map[string]int         // weight versions in the last publication of the rollout leader, by model
	expiredWeights       roster.ObservedVersion // weights whose expiry was logged last
	coldLimiter          *coldshare.Limiter     // nil while the target is warm; renewed with the view
	coldLimiterUntil     time.Time              // end of the cold time that coldLimiter was made for
	coldLimiterCapacity  coldshare.Capacity
	coldLimiterInstances uint64 // fingerprint of the instances that coldLimiter was made for
}

// newTarget returns a target of a roster record. connections limits the pool; a nil dial stands for TCP.
func newTarget(t roster.Target, connections int, dial targetconn.Dial, l *limitRegistry) *target {
	created := &target{
		id: t.ID, address: t.Address, domain: t.FailureDomain, software: t.Software, born: t.Born, incarnation: departure.IncarnationOf(t.ID, t.Address, t.Born), record: t, idHash: xxhash.Sum64String(t.ID), pool: targetconn.NewPool(t.Address, connections, dial), probes: targetconn.NewPool(t.Address, maxProbeConnections, dial),
		stats: new(routing.Stats),
	}
	created.limit = l.register(t.ID, created.incarnation)
	created.stats.Report(routing.Load{Limit: t.Slots}) // assumed idle until the first report
	created.learnRecord(t.Record, time.Now())
	return created
}

// knownVersion is a weight version that a target has, and the time until which that is known.
type knownVersion struct {
	version int
	seenAt  *atomic.Int64 // when the last evidence for it came, in nanoseconds of steady time
}

// learnVersions merges weight versions into those known, by model, and reports whether any of them is new. The evidence has no time, so
// older versions are ignored: an order that is carried out late makes a target load one, see learnAnswered and learnRecord.
func (t *target) learnVersions(versions map[string]int, now time.Time) bool {
	return t.updateVersions(versions, func(_ string, known knownVersion, version int) bool { return version > known.version }, now)
}

// learnAnswered learns the weight version in an answer to a request that was sent at sentAt, and reports whether it is new. An older version
// counts if the request was sent after the last evidence for the known one: answers may overtake each other.
func (t *target) learnAnswered(model string, version int, sentAt, now time.Time) bool {
	if versions := t.weightVersions.Load(); versions != nil {
		if known := (*versions)[model]; known.version == version && known.seenAt != nil {
			known.seenAt.Store(steadytime.UnixNano(now))
			return false
		}
	}
	sent := steadytime.UnixNano(sentAt)
	return t.updateVersions(map[string]int{model: version}, func(_ string, known knownVersion, version int) bool {
		return version > known.version || version < known.version && sent > known.seenAt.Load()
	}, now)
}

// learnRecord learns the weight versions in a record that the target has written, and reports whether any of them is new. An older version
// than in the record before counts if nothing else vouches for the known one. State.mu must be held.
func (t *target) learnRecord(r roster.Record, now time.Time) bool {
	before, later := t.recordVersions, r.Sequence > t.recordSequence // an earlier write can be executed late
	if later || t.recordVersions == nil {
		t.recordVersions, t.recordSequence = r.Weights, r.Sequence
	}
	return t.updateVersions(r.Weights, func(model string, known knownVersion, version int) bool {
		return version > known.version || later && version < known.version && known.version == before[model]
	}, now)
}

// learnPublished learns the weight versions that the rollout leader has published, as far as they differ from its last publication. State.mu
// must be held.
func (t *target) learnPublished(versions map[string]int, now time.Time) {
	for model, version := range versions {
		if t.publishedVersions[model] != version {
			t.learnVersions(map[string]int{model: version}, now)
		}
	}
	t.publishedVersions = versions
}

// updateVersions sets the weight versions that accept returns true for, and reports whether there are any.
func (t *target) updateVersions(versions map[string]int, accept func(model string, known knownVersion, version int) bool, now time.Time) bool {
	for {
		old := t.weightVersions.Load()
		var known, next map[string]knownVersion
		if old != nil {
			known = *old
		}
		for model, version := range versions {
			if !accept(model, known[model], version) {
				continue
			}
			if next == nil {
				next = make(map[string]knownVersion, len(known)+len(versions))
				maps.Copy(next, known)
			}
			seenAt := new(atomic.Int64)
			seenAt.Store(steadytime.UnixNano(now))
			next[model] = knownVersion{version: version, seenAt: seenAt}
		}
		if next == nil {
			return false
		}
		if t.weightVersions.CompareAndSwap(old, &next) {
			return true
		}
	}
}

// version returns the known weight version of a model; zero if unknown.
func (t *target) version(model string) int {
	if v := t.weightVersions.Load(); v != nil {
		return (*v)[model].version
	}
	return 0
}

// newestWeights returns the newest known weight version of all models of the target, zero if unknown.
func (t *target) newestWeights() int {
	newest := 0
	if versions := t.weightVersions.Load(); versions != nil {
		for _, known := range *versions {
			newest = max(newest, known.version)
		}
	}
	return newest
}

// reportLoad records the load that the target reported in an answer.
func (t *target) reportLoad(r Reply, now time.Time) {
	if !r.HasLoad || r.Slots < 1 {
		return
	}
	t.stats.Report(routing.Load{
		Sequence: t.loadReports.Add(1), Limit: r.Slots, InFlight: r.Running, Queued: r.Waiting, ReceivedAt: now,
	})
}

// recordFailure starts a backoff of the target, exponential in the number of consecutive failures.
func (t *target) recordFailure(now time.Time) {
	n := min(t.failures.Add(1)-1, 8)
	t.stats.Backoff(now.Add(min(minBackoff<<n, maxBackoff)))
}

// recordReplaced starts a backoff that lasts until the record of the replaced target has expired.
func (t *target) recordReplaced(now time.Time) {
	t.stats.Backoff(now.Add(replacedBackoff))
	klog.InfoS("another target answers at the address", "target", t.id, "address", t.address)
}

// recordSuccess records that the target has answered, so that the next failure starts the shortest backoff again.
func (t *target) recordSuccess(now time.Time) {
	t.failures.Store(0)
	t.stats.BytesReceived(now)
}

// connect returns a connection for one request, a new one if fresh is set. It returns targetconn.ErrNoConnection if all connections
// that the pool may have are in use. The pool's timeout and ctx limit how long it dials.
func (t *target) connect(ctx context.Context, fresh bool) (*targetconn.Conn, error) {
	if fresh {
		return t.pool.GetNew(ctx)
	}
	return t.pool.Get(ctx)
}
