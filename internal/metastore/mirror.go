package metastore

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/egrethoist/egrethoist/internal/bootclock"
	"github.com/egrethoist/egrethoist/internal/sleep"
)

// Timing of a mirror.
const (
	// watchWait is the longest wait of one watch. A connection that fell silent shows by its end, so it is well below
	// the time within which a new configuration must be in force.
	watchWait = time.Second
	// watchLeast is the shortest wait of a watch: a few round trips.
	watchLeast = 100 * time.Millisecond
	// watchPause collects changes before the next watch: a change that comes in several steps costs one call.
	watchPause = 200 * time.Millisecond
	// retryLeast and retryMost bound the pause after a failed call.
	retryLeast = 50 * time.Millisecond
	retryMost  = 400 * time.Millisecond
	// CalmAge is the greatest age of the state while the store answers: a watch, its pause and some round trips.
	CalmAge = watchWait + watchPause + 200*time.Millisecond
	// leastOutage is the shortest time without word of the store that counts as an outage: more than the state's age when one
	// watch fails and the next call does not.
	leastOutage = 2 * watchWait
	// peerAfter is how long the store must have been out of reach before peers are asked.
	peerAfter = 300 * time.Millisecond
)

// Copy is the state of a mirror, for peers that the store turns away.
type Copy struct {
	AsOf  uint64
	Age   time.Duration // since the store confirmed the state
	Items []Item        // empty for a peer that has the revision already
}

// MirrorOptions configure a Mirror.
type MirrorOptions struct {
	Store  Store
	Prefix string
	// OnChange is called from Run after each change, and about once a watch without one, with the items and the store's
	// revision that they are of. It must not keep items.
	OnChange func(items map[string]Item, revision uint64)
	// FromPeer asks another instance for its copy while the store is out of reach, if it is newer than a revision; nil asks
	// none.
	FromPeer func(ctx context.Context, after uint64) (Copy, error)
	// Upstreams returns the other instances that are to be asked for changes in place of the store, the preferred one first; nil or
	// none: the store is watched.
	Upstreams func() []string
	// FromUpstream asks one of them for what changed after a revision. It answers with the change or the next confirmation, within
	// a time.
	FromUpstream func(ctx context.Context, upstream string, after uint64, within time.Duration) (Update, error)
	// LapseAfter is the shortest outage of the store in which records can have lapsed unseen; at least leastOutage counts.
	LapseAfter time.Duration
	// Clock also counts the time for which the machine is suspended; nil: bootclock.Now.
	Clock func() time.Duration
}

// Mirror follows all keys under a prefix.
type Mirror struct {
	opts      MirrorOptions
	items     map[string]Item
	asOf      uint64
	copied    atomic.Pointer[Copy]
	changes   changeLog
	upstreams upstreamChoice
	current   atomic.Int64 // clock at which the state was last known to be that of the store; zero: never
	returned  atomic.Pointer[time.Time]

	lost atomic.Bool   // the store is out of reach: a call failed, and the next one too
	mu   sync.Mutex    // guards wake
	wake chan struct{} // closed after each call
}

// NewMirror returns a mirror that knows nothing yet.
func NewMirror(o MirrorOptions) *Mirror {
	if o.Clock == nil {
		o.Clock = bootclock.Now
	}
	o.LapseAfter = max(o.LapseAfter, leastOutage)
	return &Mirror{opts: o, items: map[string]Item{}, wake: make(chan struct{})}
}

// Copy returns the state for a peer that has one revision already; false if there is none yet.
func (m *Mirror) Copy(after uint64) (Copy, bool) {
	age, known := m.Age() // before the state: it must not be told younger than it is
	c := m.copied.Load()
	if c == nil || !known {
		return Copy{}, false
	}
	out := Copy{AsOf: c.AsOf, Age: age}
	if c.AsOf > after {
		out.Items = c.Items
	}
	return out, true
}

// Age returns the time since the state was known to be that of the store, from its answer or from a peer that had one;
// false before the first. Jumps of the time of day do not change it.
func (m *Mirror) Age() (time.Duration, bool) {
	at := m.current.Load()
	return m.opts.Clock() - time.Duration(at), at != 0
}

// confirm notes that the state was that of the store at a time of the clock.
func (m *Mirror) confirm(at time.Duration) {
	m.current.Store(max(m.current.Load(), int64(at)))
}

// Await returns once the state is younger than limit, or the store is known to be out of reach so that the state is all there
// is; after most at the latest. A process that stood still meets requests before it has read what it missed.
func (m *Mirror) Await(ctx context.Context, limit, most time.Duration) {
	if m.settled(limit) {
		return
	}
	timer := time.NewTimer(most)
	defer timer.Stop()
	for {
		m.mu.Lock()
		wake := m.wake
		m.mu.Unlock()
		if m.settled(limit) {
			return
		}
		select {
		case <-wake:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (m *Mirror) settled(limit time.Duration) bool {
	age, known := m.Age()
	return !known || age < limit || m.lost.Load()
}

// called wakes those who await the outcome of a call.
func (m *Mirror) called() {
	m.mu.Lock()
	defer m.mu.Unlock()
	close(m.wake)
	m.wake = make(chan struct{})
}

// Returned returns when the store was reached again after an outage in which records can have lapsed; zero if there was
// none.
func (m *Mirror) Returned() time.Time {
	if at := m.returned.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// noteReturn notes the first answer of the store after failed calls, if these make an outage.
func (m *Mirror) noteReturn(now time.Time) {
	if age, known := m.Age(); known && age >= m.opts.LapseAfter {
		klog.InfoS("records may have lapsed unseen", "revision", m.asOf, "age", age)
		m.returned.Store(&now)
	}
}

// Run follows the store until ctx ends.
func (m *Mirror) Run(ctx context.Context) error {
	synced := false
	failures := 0
	var lostAt time.Time
	for ctx.Err() == nil {
		var err error
		if !synced {
			err = m.resync(ctx, failures > 0)
			synced = err == nil
		} else {
			err = m.follow(ctx)
			if errors.Is(err, ErrHistoryLost) {
				klog.InfoS("history of the metadata store compacted, reading anew", "revision", m.asOf)
				synced = false
				continue
			}
		}
		now := time.Now()
		if err == nil {
			if failures > 0 {
				klog.InfoS("metadata store reached again", "revision", m.asOf, "failures", failures, "outage", now.Sub(lostAt))
				failures = 0
			}
			m.lost.Store(false)
			m.called()
			_ = sleep.For(ctx, m.pause()) // the loop looks at ctx itself
			continue
		}
		if ctx.Err() != nil {
			break
		}
		if failures == 0 {
			lostAt = now
			klog.InfoS("metadata store lost", "revision", m.asOf, "err", err.Error())
		}
		failures++
		m.lost.Store(failures > 1)
		m.called()
		// A reading answers at once when the store is back, and leases may have lapsed unseen.
		synced = false
		m.askPeer(ctx, now.Sub(lostAt))
		pause := min(retryLeast<<min(failures, 6), retryMost)
		_ = sleep.For(ctx, pause/2+rand.N(pause/2)) // the loop looks at ctx itself
	}
	return ctx.Err()
}

// resync reads all items anew, after failed calls if lost is set.
func (m *Mirror) resync(ctx context.Context, lost bool) error {
	asked := m.opts.Clock()
	items, asOf, err := m.opts.Store.Range(ctx, m.opts.Prefix)
	if err != nil {
		return err
	}
	if asOf < m.asOf {
		return fmt.Errorf("%w: revision %d, known %d", errOldReading, asOf, m.asOf)
	}
	if lost {
		m.noteReturn(time.Now()) // before the items: what is missing of them may have lapsed
	}
	m.replace(items, asOf)
	m.confirm(asked)
	return nil
}

// errOldReading says that the store answered with a state from before the one that it, or a peer, gave earlier.
var errOldReading = errors.New("reading older than the known state")

// replace takes a whole reading that is not older than the state. Keys that changed after it was made keep their newer value.
func (m *Mirror) replace(items []Item, asOf uint64) {
	next := make(map[string]Item, len(items))
	for _, item := range items {
		if old, ok := m.items[item.Key]; ok && old.Revision > item.Revision {
			item = old
		}
		next[item.Key] = item
	}
	m.items, m.asOf = next, asOf
	m.changes.reset(asOf)
	m.publish()
}

// follow waits for the next changes, at an upstream if there is one, else at the store.
func (m *Mirror) follow(ctx context.Context) error {
	if m.followUpstream(ctx) {
		return nil
	}
	asked, wait := m.opts.Clock(), m.wait()
	events, asOf, err := m.opts.Store.Watch(ctx, m.opts.Prefix, m.asOf, wait)
	if err != nil {
		return err
	}
	// The process may have stood still since the answer was made. An answer without changes was made when the wait was over,
	// one with changes at any time since the call.
	made := asked
	if len(events) == 0 {
		made = min(asked+wait, m.opts.Clock())
	}
	m.apply(events, asOf)
	m.confirm(made)
	return nil
}

// apply takes in changes that lead to a revision.
func (m *Mirror) apply(events []Event, asOf uint64) {
	for _, e := range events {
		old, ok := m.items[e.Key]
		switch {
		case ok && old.Revision >= e.Revision:
		case e.Deleted:
			delete(m.items, e.Key)
		default:
			m.items[e.Key] = e.Item
		}
	}
	m.asOf = max(m.asOf, asOf)
	m.changes.add(events, m.asOf)
	m.publish()
}

// wait returns how long the next watch waits: after one that ended with changes it is shorter, so that the state does not
// grow older than without changes.
func (m *Mirror) wait() time.Duration {
	age, _ := m.Age()
	return max(watchWait+watchPause-age, watchLeast)
}

func (m *Mirror) publish() {
	c := &Copy{AsOf: m.asOf, Items: make([]Item, 0, len(m.items))}
	for _, item := range m.items {
		c.Items = append(c.Items, item)
	}
	m.copied.Store(c)
	m.opts.OnChange(m.items, m.asOf)
}

// askPeer takes over the copy of another instance if that is newer. An older one still confirms the own state.
func (m *Mirror) askPeer(ctx context.Context, outage time.Duration) {
	if m.opts.FromPeer == nil || outage < peerAfter {
		return
	}
	asked := m.opts.Clock()
	c, err := m.opts.FromPeer(ctx, m.asOf)
	if err != nil {
		klog.V(1).InfoS("no copy of the metadata store from a peer", "err", err.Error())
		return
	}
	if c.AsOf > m.asOf {
		klog.InfoS("state of the metadata store taken from a peer", "revision", c.AsOf, "before", m.asOf)
		m.replace(c.Items, c.AsOf)
	}
	m.confirm(asked - c.Age)
}
