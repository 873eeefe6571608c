package metastore

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"github.com/egrethoist/egrethoist/internal/delegate"
)

// If every instance watched the store, each change would cost as many calls as there are instances. A few instances of each
// failure domain watch it; the others long-poll these upstreams, which answer on the next change or confirmation. An instance
// whose upstreams fail watches the store itself, so it depends on an upstream for one poll at most.

const (
	// upstreamWait is how long an instance waits for an upstream: a watch, its pause, and a round trip on a busy machine. It is
	// below the platform's shortest bound on leaving targets, two seconds, since a silent upstream shows by it alone.
	upstreamWait = watchWait + watchPause + 150*time.Millisecond
	// upstreamPause collects changes before an upstream is asked again: these calls cost the store nothing.
	upstreamPause = 30 * time.Millisecond
	// upstreamBackoff is how long an upstream is not asked that failed: about the time in which the record of a dead one lapses.
	upstreamBackoff = 5 * time.Second
	// upstreamFresh is how recently the store must have confirmed an upstream's state: a watch and its pause, and a slow call.
	upstreamFresh = watchWait + watchPause + 300*time.Millisecond
	// changesKept bounds the changes that an upstream remembers; who lacks more gets the whole state.
	changesKept = 2048
)

// Upstreams returns the addresses of the instances that self asks for changes, the preferred one first; none if it watches the
// store itself.
func Upstreams(self string, members []delegate.Member) []string {
	own, ok := delegate.Find(self, members)
	if !ok {
		return nil
	}
	var upstreams []string
	for _, m := range delegate.Choose(delegate.WatchMetadata, own.Domain, members) {
		if m.Name == self {
			return nil
		}
		upstreams = append(upstreams, m.Address)
	}
	if xxhash.Sum64String(self)&1 == 1 {
		slices.Reverse(upstreams) // each serves about half
	}
	return upstreams
}

// Update is an upstream's answer.
type Update struct {
	AsOf    uint64
	Age     time.Duration // since the store confirmed the upstream's state
	Held    time.Duration // for which the upstream held the call before it answered
	Whole   bool          // Changes are all items
	Changes []Event
}

// changeLog remembers the last changes for those that ask for them.
type changeLog struct {
	mu     sync.Mutex
	base   uint64 // revision after which all changes are known
	asOf   uint64
	events []Event
}

func (l *changeLog) reset(asOf uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.base, l.asOf, l.events = asOf, asOf, nil
}

func (l *changeLog) add(events []Event, asOf uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.events = append(l.events, events...)
	l.asOf = asOf
	if over := len(l.events) - changesKept; over > 0 {
		l.base = l.events[over-1].Revision
		l.events = slices.Clone(l.events[over:])
	}
}

// since returns the changes after a revision and the revision that they lead to; false if they are not all known.
func (l *changeLog) since(after uint64) ([]Event, uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if after < l.base {
		return nil, l.asOf, false
	}
	var out []Event
	for _, e := range l.events {
		if e.Revision > after {
			out = append(out, e)
		}
	}
	return out, l.asOf, true
}

// ServeChanges answers another instance that has the state of a revision: at once if there are changes, else as soon as the store has
// confirmed the state anew. It returns false if this instance has lost the store too, or nothing came within the time.
func (m *Mirror) ServeChanges(ctx context.Context, after uint64, within time.Duration) (Update, bool) {
	asked := m.opts.Clock()
	timer := time.NewTimer(within)
	defer timer.Stop()
	for first := true; ; first = false {
		m.mu.Lock()
		wake := m.wake
		m.mu.Unlock()
		age, known := m.Age() // before the state: it must not be reported younger than it is
		if !known || age > upstreamFresh || m.lost.Load() {
			return Update{}, false
		}
		if u, ok := m.update(after); ok && (u.AsOf > after || !first) {
			u.Age, u.Held = age, m.opts.Clock()-asked
			return u, true
		}
		select {
		case <-wake:
		case <-timer.C:
			return Update{}, false
		case <-ctx.Done():
			return Update{}, false
		}
	}
}

// update returns what leads from a revision to the present state, false if this instance knows less.
func (m *Mirror) update(after uint64) (Update, bool) {
	events, asOf, ok := m.changes.since(after)
	if asOf < after {
		return Update{}, false
	}
	if ok {
		return Update{AsOf: asOf, Changes: events}, true
	}
	c := m.copied.Load()
	if c == nil || c.AsOf < after {
		return Update{}, false
	}
	u := Update{AsOf: c.AsOf, Whole: true, Changes: make([]Event, len(c.Items))}
	for i, item := range c.Items {
		u.Changes[i] = Event{Item: item}
	}
	return u, true
}

// upstreamChoice is which upstreams failed lately.
type upstreamChoice struct {
	avoided map[string]time.Duration // until when, by the mirror's clock
	last    string                   // who gave the last changes, for the log
}

// choose returns the first upstream that has not failed lately, empty for none.
func (g *upstreamChoice) choose(list []string, now time.Duration) string {
	for _, upstream := range list {
		if until, ok := g.avoided[upstream]; !ok || now >= until {
			return upstream
		}
	}
	return ""
}

func (g *upstreamChoice) avoid(upstream string, until time.Duration) {
	if g.avoided == nil {
		g.avoided = map[string]time.Duration{}
	}
	g.avoided[upstream] = until
}

// pause returns how long changes are collected before the next call.
func (m *Mirror) pause() time.Duration {
	if m.upstreams.last != "" {
		return upstreamPause
	}
	return watchPause
}

// followUpstream waits for the next changes at another instance. It returns false if the store is to be watched.
func (m *Mirror) followUpstream(ctx context.Context) bool {
	if m.opts.Upstreams == nil || m.opts.FromUpstream == nil {
		return false
	}
	asked := m.opts.Clock()
	upstream := m.upstreams.choose(m.opts.Upstreams(), asked)
	if upstream != m.upstreams.last {
		klog.InfoS("changes of the metadata store come from", "upstream", upstream, "before", m.upstreams.last) // empty: the store itself
		m.upstreams.last = upstream
	}
	if upstream == "" {
		return false
	}
	u, err := m.opts.FromUpstream(ctx, upstream, m.asOf, upstreamWait)
	if err != nil || u.AsOf < m.asOf {
		if ctx.Err() == nil {
			klog.InfoS("instance gives no changes of the metadata store", "upstream", upstream, "err", err, "revision", u.AsOf)
			m.upstreams.avoid(upstream, m.opts.Clock()+upstreamBackoff)
		}
		return false
	}
	if u.Whole {
		items := make([]Item, len(u.Changes))
		for i, e := range u.Changes {
			items[i] = e.Item
		}
		m.replace(items, u.AsOf)
	} else {
		m.apply(u.Changes, u.AsOf)
	}
	// The upstream answered when it had held the call, at the earliest.
	m.confirm(min(asked+u.Held, m.opts.Clock()) - u.Age)
	return true
}
