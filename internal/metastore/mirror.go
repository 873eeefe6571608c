package metastore

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"github.com/egrethoist/egrethoist/internal/bootclock"
	"github.com/egrethoist/egrethoist/internal/sleep"
	"github.com/egrethoist/egrethoist/internal/transfer"
)

// Timing of a Mirror.
const (
	// maxWatchWait is the longest wait of one watch call. A silent connection is detected only when the wait is over, so it is
	// well below the time within which a new configuration must be in force.
	maxWatchWait = time.Second
	// minWatchWait is the shortest wait of a watch call: a few round trips.
	minWatchWait = 100 * time.Millisecond
	// watchBatchDelay is the delay before the next watch call, so that a change written in several steps costs one call.
	watchBatchDelay = 200 * time.Millisecond
	// skippedBatchDelay is the same after a watch that returned nothing but keys that are left out. Such keys may be written many times
	// a second.
	skippedBatchDelay = 500 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the exponential backoff after failed calls.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
	// MaxHealthyAge is the maximum age of the state while the store answers: a watch, its batch delay and some round trips.
	MaxHealthyAge = maxWatchWait + watchBatchDelay + 200*time.Millisecond
	// minOutage is the shortest time without confirmation by the store that counts as an outage. It exceeds the age that the
	// state reaches when one watch fails and the next call succeeds.
	minOutage = 2 * maxWatchWait
	// maxOutageQueries is how many other instances are asked after an outage whether they had it too: some may have started since.
	maxOutageQueries = 4
	// outageQueryTimeout bounds these calls in all, since the state is not renewed meanwhile.
	outageQueryTimeout = 500 * time.Millisecond
	// peerFallbackDelay is how long the store must have been unreachable before a peer's copy is fetched.
	peerFallbackDelay = 300 * time.Millisecond
)

// Copy is the state of a mirror, served to peers that can't reach the store.
type Copy struct {
	AsOf   uint64
	Age    time.Duration // time since the store confirmed the state
	Steady time.Duration // time before that in which there was no outage during which leases can have expired; zero if unknown
	Items  []Item        // nil if the peer already has this revision, otherwise all items, perhaps none

	base Item // the item with the largest value, if that is large
}

// covers reports whether the peer has been in touch with the store for the given time, so that no leases can have expired in it.
func (c *Copy) covers(age time.Duration) bool { return c.Age+c.Steady >= age }

// errIncomplete means that an answer of another instance is not complete.
var errIncomplete = errors.New("incomplete answer of another instance")

// validate returns an error if the copy, received by an instance that has revision after, is not complete.
func (c *Copy) validate(after uint64) error {
	if c.AsOf == 0 || c.Age < 0 {
		return fmt.Errorf("%w: revision %d, age %v", errIncomplete, c.AsOf, c.Age)
	}
	if c.AsOf > after && c.Items == nil {
		return fmt.Errorf("%w: no items of revision %d", errIncomplete, c.AsOf)
	}
	for i := range c.Items {
		if err := c.Items[i].validate(); err != nil {
			return err
		}
	}
	return nil
}

// validate returns an error if the item has no key or no revision.
func (i *Item) validate() error {
	if i.Key == "" || i.Revision == 0 {
		return fmt.Errorf("%w: item with key %q and revision %d", errIncomplete, i.Key, i.Revision)
	}
	return nil
}

// MirrorOptions configure a Mirror.
type MirrorOptions struct {
	Store  Store
	Prefix string
	// SkipPrefix is the prefix of the keys that are left out of the copy; empty: none. They are read from the store when they are
	// needed. They can be many times as many as the others, so a full read must not page through them.
	SkipPrefix string
	// OnChange is called from Run after each change, and about once per watch without changes, with all items and their
	// revision. It must not retain the map.
	OnChange func(items map[string]Item, revision uint64)
	// FetchPeerCopy fetches the copy of another instance while the store is unreachable. The items are omitted unless the copy
	// is newer than revision after. Nil disables it.
	FetchPeerCopy func(ctx context.Context, after uint64) (Copy, error)
	// Upstreams returns the instances to poll for changes in place of the store, in order of preference. If it is nil or
	// returns none, the store is watched directly.
	Upstreams func() []string
	// Readers returns the delay of large answers of the store, negative for none, and the instances to poll for changes meanwhile (see the
	// function Readers). If it is nil, no answer is delayed.
	Readers func() (delay time.Duration, others []string)
	// FetchRead is FetchChanges for one of the Readers, which may leave out what it has from another one.
	FetchRead func(ctx context.Context, reader string, after uint64, within time.Duration) (Update, error)
	// FetchChanges long-polls an upstream for the changes after a revision. It returns at the next change or confirmation, or
	// an error once the time within has passed.
	FetchChanges func(ctx context.Context, upstream string, after uint64, within time.Duration) (Update, error)
	// MinExpiryOutage is the shortest outage of the store during which leases of live writers can have expired. Values below
	// minOutage are raised to it.
	MinExpiryOutage time.Duration
	// UrgentPrefixes are prefixes of keys whose changes must not wait while a large answer of the store is on its way.
	UrgentPrefixes []string
	// ReplacedBytes bounds the replaced large values that are kept, by which other instances are sent differences only. Default: 4 MiB.
	ReplacedBytes int
	// OldAfter is the age from which the state is reported as old. Default: MaxHealthyAge.
	OldAfter time.Duration
	Metrics  tally.Scope // nil: no metrics
	// Clock returns monotonic time that advances while the machine is suspended. Default: bootclock.Now.
	Clock func() time.Duration
}

// Mirror keeps a local copy of all keys under a prefix. It watches the store directly or through an upstream instance.
type Mirror struct {
	opts        MirrorOptions
	items       map[string]Item
	asOf        uint64
	deleted     map[string]uint64 // revisions of deletions after asOf, by key
	published   atomic.Pointer[Copy]
	changes     changeLog
	replaced    replacedValues
	receiving   atomic.Pointer[transfer.Tracker] // of the call of the store under way, nil if there is none
	receivedAt  atomic.Int64                     // by Clock, end of the last large answer of the store; zero: there was none
	relayed     atomic.Bool                      // another instance sent the latest changes
	upstreams   upstreamSelector
	ageReport   *ageReport
	confirmedAt atomic.Int64 // by Clock, when the state last matched the store; zero: never
	steadySince atomic.Int64 // by Clock, the first such time after the last outage during which leases can have expired
	recoveredAt atomic.Pointer[time.Time]

	turnUntil   time.Duration // by Clock, until when a large answer is read without waiting for the turn; used by Run only
	lastSlow    bool          // the last answer of the store took so long that its readers take turns; used by Run only
	onlySkipped bool          // the last watch returned nothing but keys that are left out; used by Run only
	unreachable atomic.Bool   // set after two failed calls in a row
	mu          sync.Mutex    // guards callEnded
	callEnded   chan struct{} // closed and replaced after each call
}

// NewMirror returns an empty mirror. Run fills it.
func NewMirror(o MirrorOptions) *Mirror {
	if o.Clock == nil {
		o.Clock = bootclock.Now
	}
	o.MinExpiryOutage = max(o.MinExpiryOutage, minOutage)
	if o.OldAfter == 0 {
		o.OldAfter = MaxHealthyAge
	}
	if o.ReplacedBytes == 0 {
		o.ReplacedBytes = defaultReplacedBytes
	}
	return &Mirror{
		opts: o, items: map[string]Item{}, deleted: map[string]uint64{}, replaced: replacedValues{maxBytes: o.ReplacedBytes},
		callEnded: make(chan struct{}), ageReport: newAgeReport(o.Metrics, o.OldAfter),
	}
}

// Copy returns the state for a peer that has revision after. It returns false if the mirror has no state yet.
func (m *Mirror) Copy(after uint64) (Copy, bool) {
	confirmedAt := m.confirmedAt.Load() // read before the state: the age must not be understated
	c := m.published.Load()
	if c == nil || confirmedAt == 0 {
		return Copy{}, false
	}
	out := Copy{AsOf: c.AsOf, Age: m.opts.Clock() - time.Duration(confirmedAt), Steady: time.Duration(max(confirmedAt-m.steadySince.Load(), 0))}
	if c.AsOf > after {
		out.Items = c.Items
	}
	return out, true
}

// Age returns the time since the state last matched the store, confirmed by the store itself or by a peer. It returns false
// before the first confirmation. Changes of the wall clock do not affect it.
func (m *Mirror) Age() (time.Duration, bool) {
	at := m.confirmedAt.Load()
	return m.opts.Clock() - time.Duration(at), at != 0
}

// confirm records that the state matched the store at a time of Clock. It ignores times before the recorded one.
func (m *Mirror) confirm(at time.Duration) {
	last := m.confirmedAt.Load()
	if last == 0 || int64(at)-last >= int64(m.opts.MinExpiryOutage) {
		m.steadySince.Store(int64(at))
	}
	m.confirmedAt.Store(max(last, int64(at)))
}

// WaitFresh returns once the state is younger than maxAge or the store is known to be unreachable, after maxWait at the latest.
// It covers requests that a suspended process handles before it has read the changes that it missed.
func (m *Mirror) WaitFresh(ctx context.Context, maxAge, maxWait time.Duration) {
	if m.freshOrUnreachable(maxAge) {
		return
	}
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	for {
		m.mu.Lock()
		wake := m.callEnded
		m.mu.Unlock()
		if m.freshOrUnreachable(maxAge) {
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

func (m *Mirror) freshOrUnreachable(maxAge time.Duration) bool {
	age, known := m.Age()
	return !known || age < maxAge || m.unreachable.Load()
}

// notifyWaiters wakes the goroutines that wait for the end of a call.
func (m *Mirror) notifyWaiters() {
	m.mu.Lock()
	defer m.mu.Unlock()
	close(m.callEnded)
	m.callEnded = make(chan struct{})
}

// RecoveredAt returns the wall time at which the store was last reached after an outage in which leases can have expired, zero
// if there was none.
func (m *Mirror) RecoveredAt() time.Time {
	if at := m.recoveredAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// recordRecovery sets the time of recovery if the state is old enough for the failed calls to count as an outage of the store.
func (m *Mirror) recordRecovery(ctx context.Context) {
	age, known := m.Age()
	if !known || age < m.opts.MinExpiryOutage {
		return
	}
	if m.isOutageOwn(ctx) {
		klog.InfoS("another instance was in touch with the store during the outage", "revision", m.asOf, "age", age)
		return
	}
	m.setRecovered(age)
}

// setRecovered records that leases can have expired during an outage of the store, which ends now.
func (m *Mirror) setRecovered(age time.Duration) {
	klog.InfoS("records may have expired during the outage", "revision", m.asOf, "age", age)
	now := time.Now()
	m.recoveredAt.Store(&now)
}

// isOutageOwn reports whether another instance was in touch with the store for as long as this one was not: records that are missing
// were then removed and did not expire.
func (m *Mirror) isOutageOwn(ctx context.Context) bool {
	const noItems = math.MaxUint64 // a revision that no instance has
	if m.opts.FetchPeerCopy == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, outageQueryTimeout)
	defer cancel()
	for range maxOutageQueries {
		c, err := m.opts.FetchPeerCopy(ctx, noItems)
		if err == nil {
			err = c.validate(noItems)
		}
		if err != nil {
			klog.InfoS("another instance does not tell whether the store was away", "err", err.Error())
			continue
		}
		if age, _ := m.Age(); c.covers(age) { // the age after the call, which may have taken long
			return true
		}
	}
	return false
}

// Run keeps the mirror up to date until ctx ends, and returns the error of ctx.
func (m *Mirror) Run(ctx context.Context) error {
	synced := false
	failures := 0
	var lostAt time.Time
	for ctx.Err() == nil {
		var err error
		// One failed call says little of the store: the own link, or an upstream that fell silent before, can be the cause.
		recovering := failures > 1
		if !synced {
			before, _ := m.Base()
			err = m.resync(ctx, recovering)
			after, _ := m.Base()
			// While a large value changes more often than it can be read, the changes are more bytes than all keys.
			synced = err == nil && (!m.lastSlow || after.Revision == before.Revision)
		} else {
			// After failures, too, only what has changed is read: all keys are many times as many bytes, and all instances may come back at
			// the same time.
			err = m.awaitChanges(ctx, failures > 0, recovering)
			if errors.Is(err, ErrHistoryLost) {
				klog.InfoS("metadata store history compacted or larger than the state, reading all keys again", "revision", m.asOf, "err", err.Error())
				synced = false
				continue
			}
		}
		if errors.Is(err, errTurn) {
			synced = false
			continue
		}
		now := time.Now()
		if err == nil {
			if failures > 0 {
				klog.InfoS("metadata store reached again", "revision", m.asOf, "failures", failures, "outage", now.Sub(lostAt))
				failures = 0
			}
			m.unreachable.Store(false)
			m.notifyWaiters()
			_ = sleep.For(ctx, m.batchDelay()) // the loop condition checks ctx
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
		m.unreachable.Store(failures > 1)
		m.notifyWaiters()
		if m.fetchPeerCopy(ctx, now.Sub(lostAt)) {
			synced = true
		}
		pause := min(minRetryDelay<<min(failures, 6), maxRetryDelay)
		_ = sleep.For(ctx, pause/2+rand.N(pause/2)) // the loop condition checks ctx
	}
	return ctx.Err()
}

// resync reads all items again. recovering is set after an outage. It returns errStaleRead if the store returns an older
// revision than the known one.
func (m *Mirror) resync(ctx context.Context, recovering bool) error {
	var calledAt time.Duration
	var knownAsOf uint64 // when the call began
	var omit []string
	if m.opts.SkipPrefix != "" {
		omit = []string{m.opts.SkipPrefix}
	}
	var items []Item
	var asOf uint64
	err := m.receive(ctx, "store, all keys", func(ctx context.Context, after uint64) (err error) {
		knownAsOf, calledAt = after, m.opts.Clock()
		items, asOf, err = m.opts.Store.Range(ctx, m.opts.Prefix, omit...)
		return err
	})
	if errors.Is(err, errSuperseded) {
		return nil
	}
	if err != nil {
		return err
	}
	if asOf < m.asOf {
		if asOf >= knownAsOf {
			m.confirm(calledAt) // other instances sent newer changes meanwhile
			return nil
		}
		return fmt.Errorf("%w: revision %d, known %d", errStaleRead, asOf, m.asOf)
	}
	if recovering {
		m.recordRecovery(ctx) // before OnChange is called: missing records may have expired
	}
	m.relayed.Store(false)
	m.replace(items, asOf)
	m.confirm(calledAt)
	return nil
}

// errStaleRead means that the store returned an older revision than it, or a peer, returned before.
var errStaleRead = errors.New("read is older than the known state")

// replace installs a full read of revision asOf, which must not be older than the state. Keys with a newer local revision keep
// their value. Records that are missing in a restored store can be of live writers, as after an outage.
func (m *Mirror) replace(items []Item, asOf uint64) {
	if m.asOf != 0 && EraOf(asOf) > EraOf(m.asOf) {
		age, _ := m.Age()
		klog.InfoS("metadata store was restored", "revision", asOf, "before", m.asOf)
		m.setRecovered(age) // before OnChange is called
	}
	next := make(map[string]Item, len(items))
	for _, item := range items {
		if m.deleted[item.Key] > item.Revision {
			continue
		}
		if old, ok := m.items[item.Key]; ok && old.Revision > item.Revision {
			item = old
		} else if ok && old.Revision < item.Revision {
			m.replaced.add(old)
		}
		next[item.Key] = item
	}
	for key, old := range m.items {
		if _, ok := next[key]; !ok && old.Revision > asOf {
			next[key] = old // written after the read
		}
	}
	m.items = next
	m.advance(asOf)
	m.changes.reset(asOf)
	m.publish()
}

// awaitChanges waits for the next changes from an upstream if there is one, else from the store, and applies them. failed is set if the last
// call failed, recovering after an outage.
func (m *Mirror) awaitChanges(ctx context.Context, failed, recovering bool) error {
	if m.awaitUpstreamChanges(ctx) {
		return nil
	}
	var calledAt time.Duration
	wait := m.nextWatchWait()
	if failed {
		wait = minWatchWait // the answer tells soon that the store is back
	}
	var events []Event
	var asOf uint64
	err := m.receive(ctx, "store, changes", func(ctx context.Context, after uint64) (err error) {
		calledAt = m.opts.Clock()
		events, asOf, err = m.opts.Store.Watch(ctx, m.opts.Prefix, after, wait)
		return err
	})
	if errors.Is(err, errSuperseded) {
		return nil
	}
	if err != nil {
		return err
	}
	// The process may have been suspended since the store sent its response. A response without changes was sent at the end of
	// the wait, one with changes at any time since the call began, so the earliest such time is confirmed.
	respondedAt := calledAt
	if len(events) == 0 {
		respondedAt = min(calledAt+wait, m.opts.Clock())
	}
	returned := len(events)
	events = m.withoutSkipped(events)
	m.onlySkipped = returned > 0 && len(events) == 0
	if recovering {
		m.recordRecovery(ctx) // before OnChange is called: records that were deleted may have expired
	}
	if asOf > m.asOf {
		m.relayed.Store(false)
	}
	m.apply(events, asOf)
	m.confirm(respondedAt)
	return nil
}

// withoutSkipped removes the events of keys that are left out of the copy.
func (m *Mirror) withoutSkipped(events []Event) []Event {
	if m.opts.SkipPrefix == "" {
		return events
	}
	return slices.DeleteFunc(events, func(e Event) bool { return strings.HasPrefix(e.Key, m.opts.SkipPrefix) })
}

// apply applies events, skipping those that are already known, and advances the state to revision asOf.
func (m *Mirror) apply(events []Event, asOf uint64) {
	// The state has all changes up to its revision, so an older event is of a call that began before it.
	received := events
	events = make([]Event, 0, len(received))
	for _, e := range received {
		if e.Revision > m.asOf {
			events = append(events, e)
		}
	}
	for _, e := range events {
		old, ok := m.items[e.Key]
		switch {
		case ok && old.Revision >= e.Revision, m.deleted[e.Key] > e.Revision:
			continue
		case e.Deleted:
			delete(m.items, e.Key)
			m.deleted[e.Key] = e.Revision
		default:
			m.items[e.Key] = e.Item
		}
		if ok {
			m.replaced.add(old)
		}
	}
	m.advance(max(m.asOf, asOf))
	m.changes.add(events, m.asOf)
	m.publish()
}

// advance sets the revision of the state. Deletions up to it need not be known any more: no later answer can contain the deleted items.
func (m *Mirror) advance(asOf uint64) {
	m.asOf = asOf
	maps.DeleteFunc(m.deleted, func(_ string, revision uint64) bool { return revision <= asOf })
}

// nextWatchWait returns the wait of the next watch. It is shorter after a watch that returned changes, since that one confirms
// only the time of its call; the state thus grows no older than without changes.
func (m *Mirror) nextWatchWait() time.Duration {
	if m.lastSlow {
		return minWatchWait // the state that the answer held is as old as its transfer took
	}
	age, _ := m.Age()
	return max(maxWatchWait+watchBatchDelay-age, minWatchWait)
}

// publish makes the state available to Copy and passes it to OnChange.
func (m *Mirror) publish() {
	c := &Copy{AsOf: m.asOf, Items: make([]Item, 0, len(m.items))}
	for _, item := range m.items {
		c.Items = append(c.Items, item)
		if isLarge(item) && len(item.Value) > len(c.base.Value) {
			c.base = item
		}
	}
	m.published.Store(c)
	m.opts.OnChange(m.items, m.asOf)
}

// fetchPeerCopy installs the copy of another instance if it is newer. A copy that is not newer still confirms the local state,
// as of the time at which the store confirmed the copy. It returns false if there was no copy.
func (m *Mirror) fetchPeerCopy(ctx context.Context, outage time.Duration) bool {
	if m.opts.FetchPeerCopy == nil || outage < peerFallbackDelay {
		return false
	}
	calledAt := m.opts.Clock()
	c, err := m.opts.FetchPeerCopy(ctx, m.asOf)
	if err == nil {
		err = c.validate(m.asOf)
	}
	if err != nil {
		klog.V(1).InfoS("failed to fetch a copy of the metadata store from a peer", "err", err.Error())
		return false
	}
	m.useCopy(c, calledAt)
	return true
}

// useCopy installs the copy of another instance, which was asked for at a time, if it is newer.
func (m *Mirror) useCopy(c Copy, calledAt time.Duration) {
	if c.AsOf > m.asOf {
		klog.InfoS("state of the metadata store taken from a peer", "revision", c.AsOf, "before", m.asOf)
		if age, known := m.Age(); known && age >= m.opts.MinExpiryOutage && !c.covers(age) {
			m.setRecovered(age)
		}
		m.relayed.Store(true)
		m.replace(c.Items, c.AsOf)
	}
	m.confirm(calledAt - c.Age)
}
