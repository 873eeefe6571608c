package metastore

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"github.com/egrethoist/egrethoist/internal/delegate"
)

// If every instance watched the store, each change would cost one call per instance. Therefore a few instances of each failure
// domain watch it, and the others long-poll these upstreams, which respond at the next change or confirmation. An instance whose
// upstreams fail, or are late, watches the store itself, so a failed upstream delays it by at most one poll.

const (
	// upstreamPollTimeout bounds one poll of an upstream: a watch, its batch delay, and a round trip on a busy machine. A silent
	// upstream is detected by this timeout alone, so it is below the two seconds within which the platform requires that
	// leaving targets are known.
	upstreamPollTimeout = maxWatchWait + watchBatchDelay + 150*time.Millisecond
	// upstreamBatchDelay is the delay before the next poll of an upstream. It is short because polls put no load on the store.
	upstreamBatchDelay = 30 * time.Millisecond
	// upstreamBackoff is how long a failed upstream is not polled: about the time in which the record of a crashed instance expires.
	upstreamBackoff = 5 * time.Second
	// maxUpstreamAge is the maximum age of the state that an upstream serves, and the age of the own state at which a poll ends: a watch,
	// its batch delay, and a slow call. An upstream whose link is full answers each poll in time, but with a state that is old on arrival.
	maxUpstreamAge = maxWatchWait + watchBatchDelay + 300*time.Millisecond
	// receivingPollTimeout bounds a poll of an upstream that is receiving a large answer of the store.
	receivingPollTimeout = 500 * time.Millisecond
	// maxUpstreamReceiving is how long an upstream may be receiving before another one, or the store, is asked.
	maxUpstreamReceiving = 3 * time.Second
	// maxLoggedChanges bounds the changes that an upstream keeps. An instance that is further behind gets the full state.
	maxLoggedChanges = 2048
)

// Upstreams returns the addresses of the instances that self polls for changes, in order of preference. It returns nil if self
// watches the store itself or is not registered yet.
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
		slices.Reverse(upstreams) // balances the load: each upstream is preferred by about half of the instances
	}
	return upstreams
}

// Readers returns by how much self delays the beginning of large answers of the store behind the first instance that reads them, and the
// addresses of the instances that begin first, without self. The instances that watch the store take turns, in all failure domains
// together, so that a change that comes just after one has begun a long transfer is carried by the next one. The delay is negative if self
// does not watch the store.
func Readers(self string, members []delegate.Member) (delay time.Duration, others []string) {
	type reader struct {
		delegate.Member
		preference int // in its failure domain
	}
	domains := map[string]struct{}{}
	for _, m := range members {
		domains[m.Domain] = struct{}{}
	}
	var readers []reader
	for domain := range domains {
		for i, m := range delegate.Choose(delegate.WatchMetadata, domain, members) {
			readers = append(readers, reader{m, i})
		}
	}
	// The widest links come first: their transfers end first.
	slices.SortFunc(readers, func(a, b reader) int {
		return cmp.Or(cmp.Compare(b.LinkMbps, a.LinkMbps), cmp.Compare(a.preference, b.preference), cmp.Compare(a.Domain, b.Domain), cmp.Compare(a.Name, b.Name))
	})
	turns := min(len(readers), maxReaderTurns)
	delay = -1
	for i, r := range readers {
		if r.Name == self {
			delay = time.Duration(i%turns) * staggeredTransfer / time.Duration(turns)
		} else if i < turns {
			others = append(others, r.Address)
		}
	}
	if delay < 0 {
		return -1, nil
	}
	return delay, others
}

// Update is an upstream's response to a poll for changes.
type Update struct {
	AsOf uint64
	Age  time.Duration // time since the store confirmed the upstream's state
	Held time.Duration // time that the upstream held the poll before it responded
	// Receiving is set if a large answer of the store is on its way to the upstream. Its state may be old, and changes may be newer than AsOf.
	Receiving bool
	Whole     bool    // Changes holds the full state instead of the changes
	Changes   []Event // not nil if Whole is set
}

// validate returns an error if the update is not complete.
func (u *Update) validate() error {
	if u.AsOf == 0 || u.Age < 0 || u.Held < 0 {
		return fmt.Errorf("%w: revision %d, age %v, held for %v", errIncomplete, u.AsOf, u.Age, u.Held)
	}
	if u.Whole && u.Changes == nil {
		return fmt.Errorf("%w: no items of revision %d", errIncomplete, u.AsOf)
	}
	for i := range u.Changes {
		if err := u.Changes[i].validate(); err != nil {
			return err
		}
	}
	return nil
}

// changeLog is a bounded log of the latest change of each key, for serving other instances. It is safe for concurrent use.
type changeLog struct {
	mu     sync.Mutex
	base   uint64 // the log holds the latest change of each key that changed after this revision
	asOf   uint64
	events []Event // ordered by revision
}

func (l *changeLog) reset(asOf uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.base, l.asOf, l.events = asOf, asOf, nil
}

// add records changes. Only the latest change of a key is of use to an instance that is behind.
func (l *changeLog) add(events []Event, asOf uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(events) > 0 {
		latest := make(map[string]uint64, len(events))
		for _, e := range events {
			latest[e.Key] = max(latest[e.Key], e.Revision)
		}
		for _, e := range l.events {
			if r, ok := latest[e.Key]; ok && r < e.Revision {
				latest[e.Key] = e.Revision
			}
		}
		// A new slice: since may have returned parts of the old one.
		all := slices.Concat(l.events, events)
		kept := make([]Event, 0, len(all))
		for _, e := range all {
			if r, changed := latest[e.Key]; !changed || r == e.Revision {
				kept = append(kept, e)
				if changed {
					latest[e.Key] = 0 // the same change may be there twice
				}
			}
		}
		slices.SortStableFunc(kept, func(a, b Event) int { return cmp.Compare(a.Revision, b.Revision) })
		l.events = kept
	}
	l.asOf = asOf
	if excess := len(l.events) - maxLoggedChanges; excess > 0 {
		l.base = l.events[excess-1].Revision
		l.events = slices.Clone(l.events[excess:])
	}
}

// since returns the changes after a revision and the latest revision. It returns false if the log no longer holds all of them.
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

// ServeChanges serves a poll of an instance that has the state of revision after: at once if there are changes, else at the
// next confirmation by the store. It returns false if this instance has no fresh state either and is not receiving it, or if nothing happened
// in the time within.
func (m *Mirror) ServeChanges(ctx context.Context, after uint64, within time.Duration) (Update, bool) {
	return m.serveChanges(ctx, after, within, false)
}

// ServeRead is ServeChanges for an instance that polls several readers of the store while a large answer is on its way. What this instance has
// from another one is served at the end of the time within only, since the polling instance gets it from that one as well, and so is a
// confirmation while this instance receives a large answer itself.
func (m *Mirror) ServeRead(ctx context.Context, after uint64, within time.Duration) (Update, bool) {
	return m.serveChanges(ctx, after, within, true)
}

func (m *Mirror) serveChanges(ctx context.Context, after uint64, within time.Duration, onlyRead bool) (Update, bool) {
	calledAt := m.opts.Clock()
	timer := time.NewTimer(within)
	defer timer.Stop()
	serve := func(age time.Duration, receiving bool) (Update, bool) {
		u, ok := m.updateSince(after)
		u.Age, u.Held, u.Receiving = age, m.opts.Clock()-calledAt, receiving
		return u, ok
	}
	for first := true; ; first = false {
		m.mu.Lock()
		wake := m.callEnded
		m.mu.Unlock()
		receiving := m.isReceiving()
		age, known := m.Age() // read before the state: the age must not be understated
		if !known || !receiving && (age > maxUpstreamAge || m.unreachable.Load()) {
			return Update{}, false
		}
		if u, ok := serve(age, receiving); ok && (u.AsOf > after && !(onlyRead && m.relayed.Load()) || u.AsOf == after && !first && !(onlyRead && receiving)) {
			return u, true
		}
		select {
		case <-wake:
		case <-timer.C:
			if age, known := m.Age(); known && m.isReceiving() {
				return serve(age, true)
			}
			return Update{}, false
		case <-ctx.Done():
			return Update{}, false
		}
	}
}

// updateSince returns the update from a revision to the current state: the changes, or the full state if the log does not reach
// back that far. It returns false if this instance is behind that revision.
func (m *Mirror) updateSince(after uint64) (Update, bool) {
	events, asOf, ok := m.changes.since(after)
	if asOf < after {
		return Update{}, false
	}
	if ok {
		return Update{AsOf: asOf, Changes: events}, true
	}
	c := m.published.Load()
	if c == nil || c.AsOf < after {
		return Update{}, false
	}
	u := Update{AsOf: c.AsOf, Whole: true, Changes: make([]Event, len(c.Items))}
	for i, item := range c.Items {
		u.Changes[i] = Event{Item: item}
	}
	return u, true
}

// upstreamSelector selects an upstream that is not in backoff. It is used by Run only.
type upstreamSelector struct {
	backoffUntil map[string]time.Duration // by address; time of the mirror's clock
	current      string                   // upstream of the last poll; empty if the store is watched
	// receivingSince is since when the current upstream has been receiving a large answer; zero: it is not.
	receivingSince time.Duration
}

// choose returns the first upstream that is not in backoff, empty if there is none.
func (s *upstreamSelector) choose(list []string, now time.Duration) string {
	for _, upstream := range list {
		if until, ok := s.backoffUntil[upstream]; !ok || now >= until {
			return upstream
		}
	}
	return ""
}

func (s *upstreamSelector) backOff(upstream string, until time.Duration) {
	if s.backoffUntil == nil {
		s.backoffUntil = map[string]time.Duration{}
	}
	s.backoffUntil[upstream] = until
}

// batchDelay returns the delay before the next call, during which changes accumulate.
func (m *Mirror) batchDelay() time.Duration {
	switch {
	case m.lastSlow:
		return 0 // changes have accumulated during the transfer
	case m.upstreams.current != "":
		return upstreamBatchDelay
	case m.onlySkipped:
		return skippedBatchDelay
	}
	return watchBatchDelay
}

// awaitUpstreamChanges polls an upstream for the next changes and applies them. It returns false if the store is to be watched
// instead.
func (m *Mirror) awaitUpstreamChanges(ctx context.Context) bool {
	if m.opts.Upstreams == nil || m.opts.FetchChanges == nil {
		return false
	}
	calledAt := m.opts.Clock()
	upstream := m.upstreams.choose(m.opts.Upstreams(), calledAt)
	age, _ := m.Age()
	within := min(upstreamPollTimeout, maxUpstreamAge-age)
	receivingSince := m.upstreams.receivingSince
	switch {
	case upstream == "":
	case upstream == m.upstreams.current && receivingSince != 0 && calledAt-receivingSince < maxUpstreamReceiving:
		within = max(within, receivingPollTimeout)
	case within < minWatchWait:
		if upstream == m.upstreams.current {
			klog.InfoS("instance gives old metadata", "upstream", upstream, "age", age, "revision", m.asOf)
			m.upstreams.backOff(upstream, calledAt+upstreamBackoff)
		}
		upstream = ""
	}
	if upstream != m.upstreams.current {
		klog.InfoS("changes of the metadata store come from", "upstream", upstream, "before", m.upstreams.current) // empty: the store itself
		m.upstreams.current, m.upstreams.receivingSince = upstream, 0
	}
	if upstream == "" {
		return false
	}
	m.ageReport.begin("instance "+upstream+", changes", calledAt, nil)
	u, err := m.opts.FetchChanges(ctx, upstream, m.asOf, within)
	if err == nil {
		err = u.validate()
	}
	if err == nil && !u.Whole && EraOf(u.AsOf) != EraOf(m.asOf) {
		err = fmt.Errorf("%w: changes across a restore of the store", errIncomplete)
	}
	m.ageReport.end(err)
	if err != nil || u.AsOf < m.asOf {
		if ctx.Err() == nil {
			reason := "its state is older"
			if err != nil {
				reason = err.Error()
			}
			klog.InfoS("instance gives no changes of the metadata store", "upstream", upstream, "err", reason, "revision", u.AsOf)
			m.upstreams.backOff(upstream, m.opts.Clock()+upstreamBackoff)
			m.upstreams.receivingSince = 0
		}
		return false
	}
	switch {
	case !u.Receiving:
		m.upstreams.receivingSince = 0
	case m.upstreams.receivingSince == 0:
		klog.InfoS("instance is receiving a large answer of the metadata store", "upstream", upstream, "age", u.Age, "revision", u.AsOf)
		m.upstreams.receivingSince = m.opts.Clock()
	}
	if m.upstreams.receivingSince != 0 && u.AsOf > m.asOf {
		m.upstreams.receivingSince = m.opts.Clock() // it passes on newer changes meanwhile
	}
	m.applyUpdate(u)
	// The upstream received the poll after calledAt, so it responded at calledAt+Held at the earliest.
	m.confirm(min(calledAt+u.Held, m.opts.Clock()) - u.Age)
	return true
}

// applyUpdate applies an update, which must not be older than the state.
func (m *Mirror) applyUpdate(u Update) {
	if u.AsOf > m.asOf {
		m.relayed.Store(true)
	}
	if !u.Whole {
		m.apply(u.Changes, u.AsOf)
		return
	}
	items := make([]Item, len(u.Changes))
	for i, e := range u.Changes {
		items[i] = e.Item
	}
	m.replace(items, u.AsOf)
}
