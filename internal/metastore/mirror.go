package metastore

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/egrethoist/egrethoist/internal/sleep"
)

// Timing of a mirror.
const (
	// watchWait is the longest wait of one watch. A connection that fell silent shows by its end, so it is well below
	// the time within which a new configuration must be in force.
	watchWait = time.Second
	// watchPause collects changes before the next watch: a change that comes in several steps costs one call.
	watchPause = 200 * time.Millisecond
	// retryLeast and retryMost bound the pause after a failed call.
	retryLeast = 50 * time.Millisecond
	retryMost  = 400 * time.Millisecond
	// peerAfter is how long the store must have been out of reach before peers are asked.
	peerAfter = 300 * time.Millisecond
)

// Copy is the state of a mirror, for peers that the store turns away.
type Copy struct {
	AsOf  uint64
	Items []Item
}

// MirrorOptions configure a Mirror.
type MirrorOptions struct {
	Store  Store
	Prefix string
	// OnChange is called from Run after each change, and about once a watch without one. It must not keep items.
	OnChange func(items map[string]Item)
	// FromPeer asks another instance for its copy while the store is out of reach; nil asks none.
	FromPeer func(ctx context.Context) (Copy, error)
}

// Mirror follows all keys under a prefix.
type Mirror struct {
	opts     MirrorOptions
	items    map[string]Item
	asOf     uint64
	copied   atomic.Pointer[Copy]
	contact  atomic.Int64 // unix nanoseconds of the last answer
	returned atomic.Int64 // unix nanoseconds at which the store was reached again
}

// NewMirror returns a mirror that knows nothing yet.
func NewMirror(o MirrorOptions) *Mirror { return &Mirror{opts: o, items: map[string]Item{}} }

// Copy returns the state for peers, and when the store last answered.
func (m *Mirror) Copy() (*Copy, time.Time) { return m.copied.Load(), m.Contact() }

// Contact returns when the store last answered; zero before the first answer.
func (m *Mirror) Contact() time.Time { return stamp(m.contact.Load()) }

// Returned returns when the store was reached again after an outage; zero if there was none.
func (m *Mirror) Returned() time.Time { return stamp(m.returned.Load()) }

func stamp(ns int64) time.Time {
	if ns == 0 {
		return time.Time{}
	}
	return time.Unix(0, ns)
}

// Run follows the store until ctx ends.
func (m *Mirror) Run(ctx context.Context) error {
	synced := false
	failures := 0
	var lostAt time.Time
	for ctx.Err() == nil {
		var err error
		if !synced {
			err = m.resync(ctx)
			synced = err == nil
		} else {
			err = m.follow(ctx)
			if errors.Is(err, ErrHistoryLost) {
				klog.InfoS("history of the metadata store compacted, reading anew", "revision", m.asOf)
				synced, err = false, nil
			}
		}
		now := time.Now()
		if err == nil {
			if failures > 0 {
				klog.InfoS("metadata store reached again", "revision", m.asOf, "failures", failures, "outage", now.Sub(lostAt))
				m.returned.Store(now.UnixNano())
				failures = 0
			}
			m.contact.Store(now.UnixNano())
			_ = sleep.For(ctx, watchPause) // the loop looks at ctx itself
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
		// A reading answers at once when the store is back, and leases may have lapsed unseen.
		synced = false
		m.askPeer(ctx, now.Sub(lostAt))
		pause := min(retryLeast<<min(failures, 6), retryMost)
		_ = sleep.For(ctx, pause/2+rand.N(pause/2)) // the loop looks at ctx itself
	}
	return ctx.Err()
}

func (m *Mirror) resync(ctx context.Context) error {
	items, asOf, err := m.opts.Store.Range(ctx, m.opts.Prefix)
	if err != nil {
		return err
	}
	m.replace(items, asOf)
	return nil
}

// replace takes a whole reading. Keys that changed after it was made keep their newer value.
func (m *Mirror) replace(items []Item, asOf uint64) {
	if asOf < m.asOf {
		return
	}
	next := make(map[string]Item, len(items))
	for _, item := range items {
		if old, ok := m.items[item.Key]; ok && old.Revision > item.Revision {
			item = old
		}
		next[item.Key] = item
	}
	m.items, m.asOf = next, asOf
	m.publish()
}

func (m *Mirror) follow(ctx context.Context) error {
	events, asOf, err := m.opts.Store.Watch(ctx, m.opts.Prefix, m.asOf, watchWait)
	if err != nil {
		return err
	}
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
	m.publish()
	return nil
}

func (m *Mirror) publish() {
	c := &Copy{AsOf: m.asOf, Items: make([]Item, 0, len(m.items))}
	for _, item := range m.items {
		c.Items = append(c.Items, item)
	}
	m.copied.Store(c)
	m.opts.OnChange(m.items)
}

// askPeer takes over the copy of another instance if that is newer.
func (m *Mirror) askPeer(ctx context.Context, outage time.Duration) {
	if m.opts.FromPeer == nil || outage < peerAfter {
		return
	}
	c, err := m.opts.FromPeer(ctx)
	if err != nil {
		klog.V(1).InfoS("no copy of the metadata store from a peer", "err", err.Error())
		return
	}
	if c.AsOf > m.asOf {
		klog.InfoS("state of the metadata store taken from a peer", "revision", c.AsOf, "before", m.asOf)
		m.replace(c.Items, c.AsOf)
	}
}
