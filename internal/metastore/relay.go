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

// Changes of the store wake every instance, so the store's calls would grow with the fleet. A few instances of each failure
// domain watch the store; the others ask these, which answer as soon as they know of a change or were confirmed anew. An
// instance whose givers fail watches the store itself, so nothing depends on a giver for longer than one answer takes.

const (
	// giverWait is how long an instance waits for a giver: a watch, its pause, and a round trip on a busy machine. It is
	// below the platform's shortest bound on leaving targets, two seconds, since a silent giver shows by it alone.
	giverWait = watchWait + watchPause + 150*time.Millisecond
	// giverPause collects changes before a giver is asked again: these calls cost the store nothing.
	giverPause = 30 * time.Millisecond
	// giverAvoid is how long a giver is not asked that failed: about the time in which the record of a dead one lapses.
	giverAvoid = 5 * time.Second
	// giverFresh is how recently a giver must have heard of the store itself: a watch and its pause, and a slow call.
	giverFresh = watchWait + watchPause + 300*time.Millisecond
	// changesKept bounds the changes that a giver remembers; who lacks more gets the whole state.
	changesKept = 2048
)

// Givers returns the addresses of the instances that self asks for changes, the preferred one first; none if it watches the
// store itself.
func Givers(self string, members []delegate.Member) []string {
	own, ok := delegate.Find(self, members)
	if !ok {
		return nil
	}
	var givers []string
	for _, m := range delegate.Choose(delegate.WatchMetadata, own.Domain, members) {
		if m.Name == self {
			return nil
		}
		givers = append(givers, m.Address)
	}
	if xxhash.Sum64String(self)&1 == 1 {
		slices.Reverse(givers) // each serves about half
	}
	return givers
}

// Update is what a giver tells.
type Update struct {
	AsOf    uint64
	Age     time.Duration // since the store confirmed the giver's state
	Held    time.Duration // for which the giver held the call before it answered
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

// Give answers another instance that has the state of a revision: at once if there are changes, else as soon as the store has
// confirmed the state anew. It returns false if this instance does not hear of the store either, or not within the time.
func (m *Mirror) Give(ctx context.Context, after uint64, within time.Duration) (Update, bool) {
	asked := m.opts.Clock()
	timer := time.NewTimer(within)
	defer timer.Stop()
	for first := true; ; first = false {
		m.mu.Lock()
		wake := m.wake
		m.mu.Unlock()
		age, known := m.Age() // before the state: it must not be told younger than it is
		if !known || age > giverFresh || m.lost.Load() {
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

// giverChoice is which givers failed lately.
type giverChoice struct {
	avoided map[string]time.Duration // until when, by the mirror's clock
	last    string                   // who gave the last changes, for the log
}

// choose returns the first giver that has not failed lately, empty for none.
func (g *giverChoice) choose(list []string, now time.Duration) string {
	for _, giver := range list {
		if until, ok := g.avoided[giver]; !ok || now >= until {
			return giver
		}
	}
	return ""
}

func (g *giverChoice) avoid(giver string, until time.Duration) {
	if g.avoided == nil {
		g.avoided = map[string]time.Duration{}
	}
	g.avoided[giver] = until
}

// pause returns how long changes are collected before the next call.
func (m *Mirror) pause() time.Duration {
	if m.givers.last != "" {
		return giverPause
	}
	return watchPause
}

// followGiver waits for the next changes at another instance. It returns false if the store is to be watched.
func (m *Mirror) followGiver(ctx context.Context) bool {
	if m.opts.Givers == nil || m.opts.FromGiver == nil {
		return false
	}
	asked := m.opts.Clock()
	giver := m.givers.choose(m.opts.Givers(), asked)
	if giver != m.givers.last {
		klog.InfoS("changes of the metadata store come from", "giver", giver, "before", m.givers.last) // empty: the store itself
		m.givers.last = giver
	}
	if giver == "" {
		return false
	}
	u, err := m.opts.FromGiver(ctx, giver, m.asOf, giverWait)
	if err != nil || u.AsOf < m.asOf {
		if ctx.Err() == nil {
			klog.InfoS("instance gives no changes of the metadata store", "giver", giver, "err", err, "revision", u.AsOf)
			m.givers.avoid(giver, m.opts.Clock()+giverAvoid)
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
	// The giver answered when it had held the call, at the earliest.
	m.confirm(min(asked+u.Held, m.opts.Clock()) - u.Age)
	return true
}
