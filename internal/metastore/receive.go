package metastore

import (
	"context"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"github.com/egrethoist/egrethoist/internal/sleep"
	"github.com/egrethoist/egrethoist/internal/transfer"
)

// A large answer of the store takes seconds on a narrow link. Meanwhile small changes are read beside it, and another instance that has
// the same changes already is asked for them: between instances only differences are sent.

const (
	// copyPollInterval is the time between two requests for another instance's copy while a large answer is on its way.
	copyPollInterval = 250 * time.Millisecond
	// confirmTime is the time after a large answer in which the next call confirms the state.
	confirmTime = watchBatchDelay + minWatchWait + 300*time.Millisecond
	// readPollTimeout bounds a poll of another reader of the store. On a full link each answer keeps the next poll back, so it is long.
	readPollTimeout = 2 * time.Second
	// urgentWatchWait is the wait of a watch of urgent keys.
	urgentWatchWait = time.Second
	// maxReaderTurns bounds the turns in which the instances that read the store begin large answers.
	maxReaderTurns = 4
	// staggeredTransfer is the transfer time over which the turns are spread: the largest value, over half of a link of 10 Mbit/s.
	staggeredTransfer = 2200 * time.Millisecond
	// judgeDelay is the time of a large answer after which the rest of it is estimated. A wide link has carried it by then.
	judgeDelay = 100 * time.Millisecond
	// maxUnstaggered is the longest transfer that needs no turns: two of them, one after the other, are in time.
	maxUnstaggered = time.Second
)

// errSuperseded means that a call of the store was given up, since another instance had what it would return.
var errSuperseded = errors.New("call superseded by the copy of another instance")

// errTurn means that a call of the store was given up until now, the turn of this instance to read all keys.
var errTurn = errors.New("turn to read all keys")

// reading is a call of the store under way, run by receive.
type reading struct {
	tracker *transfer.Tracker
	cancel  context.CancelFunc
	done    chan error
}

// startReading runs a call of the store that asks for what is newer than the state.
func (m *Mirror) startReading(ctx context.Context, name string, call func(ctx context.Context, after uint64) error) *reading {
	ctx, cancel := context.WithCancel(ctx)
	r := &reading{tracker: transfer.NewTracker(), cancel: cancel, done: make(chan error, 1)}
	m.ageReport.begin(name, m.opts.Clock(), r.tracker)
	after := m.asOf
	go func() { r.done <- call(transfer.WithTracker(ctx, r.tracker), after) }()
	return r
}

// abandon ends the call and waits for it, since it uses variables of the caller.
func (r *reading) abandon() {
	r.cancel()
	<-r.done
}

// receive runs a call of the store and keeps the state fresh as far as possible while a large answer is on its way. It
// returns errTurn if the answer gave way to those of other instances that read the store. It is used by Run only.
func (m *Mirror) receive(ctx context.Context, name string, call func(ctx context.Context, after uint64) error) (err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := m.startReading(ctx, name, call)
	m.receiving.CompareAndSwap(nil, r.tracker) // after errTurn the abandoned answer stands for the next one until that is known to be large
	large := false
	m.lastSlow = false
	defer func() {
		if large {
			m.receivedAt.Store(int64(m.opts.Clock()))
		}
		if !errors.Is(err, errTurn) {
			m.receiving.Store(nil)
		}
		m.ageReport.end(err)
	}()
	select {
	case err := <-r.done:
		large = r.tracker.IsLarge()
		return err
	case <-r.tracker.Large():
	}
	large = true
	m.receiving.Store(r.tracker)
	// The answer on its way holds the state of answerAt or before.
	answerAt := m.opts.Clock()
	delay, readers := time.Duration(-1), []string(nil)
	if m.opts.Readers != nil && !m.unreachable.Load() { // after an outage only copies tell whether leases can have expired
		delay, readers = m.opts.Readers()
	}
	urgent, updates := m.watchUrgent(ctx), m.pollReaders(ctx, readers)
	var copies <-chan polledCopy
	if len(readers) == 0 {
		copies = m.pollCopies(ctx)
	}
	var judge, begin <-chan time.Time
	judged := delay < 0
	if !judged {
		judge = time.After(judgeDelay)
	}
	slow, newer := false, false // the answer takes so long that readers take turns; another instance sent a newer state
	done := r.done
	for {
		select {
		case err := <-done:
			m.lastSlow = slow
			if slow {
				m.turnUntil = m.opts.Clock() + confirmTime
			}
			return err
		case events := <-urgent:
			m.apply(m.withoutSkipped(events), m.asOf)
			m.notifyWaiters()
		case <-judge:
			judged, slow = true, r.tracker.Remaining(m.opts.Clock()-answerAt) > maxUnstaggered
			if !slow && newer {
				return m.supersede(r, done, name)
			}
			if slow && delay > judgeDelay && m.opts.Clock() >= m.turnUntil {
				klog.InfoS("large answer of the metadata store waits for those of other instances", "call", name, "delay", delay, "progress", r.tracker.String())
				r.abandon()
				done, begin = nil, time.After(delay-judgeDelay)
			}
		case <-ctx.Done():
			if done != nil {
				r.abandon()
			}
			return ctx.Err()
		case <-begin:
			m.turnUntil = m.opts.Clock() + confirmTime
			return errTurn
		case c := <-copies:
			if c.AsOf <= m.asOf {
				continue // also if it was asked for before urgent changes came
			}
			m.useCopy(c.Copy, c.calledAt)
			m.notifyWaiters()
			newer = true
			if judged && !slow || c.calledAt-c.Age >= answerAt {
				return m.supersede(r, done, name)
			}
		case u := <-updates:
			if u.AsOf < m.asOf {
				continue
			}
			if u.AsOf > m.asOf {
				newer = true
				m.applyUpdate(u.Update)
			}
			m.confirm(u.confirmedAt())
			m.notifyWaiters()
			if judged && !slow && newer || u.confirmedAt() >= answerAt {
				return m.supersede(r, done, name)
			}
		}
	}
}

// supersede gives up a call, unless it has ended, since another instance had what it would return.
func (m *Mirror) supersede(r *reading, done <-chan error, name string) error {
	klog.InfoS("large answer of the metadata store given up for another instance's copy", "call", name, "progress", r.tracker.String())
	if done != nil {
		r.abandon()
	}
	m.turnUntil = 0
	return errSuperseded
}

// polledUpdate is the update of another instance that reads the store and when it was asked for.
type polledUpdate struct {
	Update
	calledAt, receivedAt time.Duration
}

// confirmedAt returns the earliest time at which the store can have confirmed the update.
func (u *polledUpdate) confirmedAt() time.Duration {
	return min(u.calledAt+u.Held, u.receivedAt) - u.Age
}

// pollReaders long-polls the instances at the addresses for changes until ctx ends and sends their updates, also those that only confirm
// the state.
func (m *Mirror) pollReaders(ctx context.Context, addresses []string) <-chan polledUpdate {
	out := make(chan polledUpdate)
	if m.opts.FetchRead == nil {
		return out
	}
	for _, address := range addresses {
		go func() {
			for ctx.Err() == nil {
				state := m.published.Load()
				if state == nil {
					return // nothing is known yet
				}
				calledAt := m.opts.Clock()
				u, err := m.opts.FetchRead(ctx, address, state.AsOf, readPollTimeout)
				if err == nil {
					err = u.validate()
				}
				if err != nil || u.AsOf < state.AsOf || !u.Whole && EraOf(u.AsOf) != EraOf(state.AsOf) {
					_ = sleep.For(ctx, copyPollInterval) // the answer of the store is awaited anyway
					continue
				}
				select {
				case out <- polledUpdate{u, calledAt, m.opts.Clock()}:
				case <-ctx.Done():
				}
			}
		}()
	}
	return out
}

// watchUrgent watches the urgent keys until ctx ends and sends their changes.
func (m *Mirror) watchUrgent(ctx context.Context) <-chan []Event {
	out := make(chan []Event)
	for _, prefix := range m.opts.UrgentPrefixes {
		after := m.asOf
		if after == 0 {
			break // nothing is known yet
		}
		go func() {
			for ctx.Err() == nil {
				events, asOf, err := m.opts.Store.Watch(ctx, prefix, after, urgentWatchWait)
				if err != nil {
					return // the large answer tells it as well
				}
				after = asOf
				if len(events) == 0 {
					continue
				}
				select {
				case out <- events:
				case <-ctx.Done():
				}
			}
		}()
	}
	return out
}

// polledCopy is the copy of another instance and when it was asked for.
type polledCopy struct {
	Copy
	calledAt time.Duration
}

// pollCopies asks other instances for copies until ctx ends and sends those that are newer than the state.
func (m *Mirror) pollCopies(ctx context.Context) <-chan polledCopy {
	out := make(chan polledCopy)
	if m.opts.FetchPeerCopy == nil {
		return out
	}
	go func() {
		ticker := time.NewTicker(copyPollInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			var after uint64
			if state := m.published.Load(); state != nil {
				after = state.AsOf
			}
			calledAt := m.opts.Clock()
			c, err := m.opts.FetchPeerCopy(ctx, after)
			if err != nil || c.validate(after) != nil || c.AsOf <= after {
				continue // the answer of the store is awaited anyway
			}
			select {
			case out <- polledCopy{c, calledAt}:
			case <-ctx.Done():
			}
		}
	}()
	return out
}

// isReceiving reports whether a large answer of the store is on its way, or came just now, so that the state is not confirmed yet. Its
// limits end it if it stalls.
func (m *Mirror) isReceiving() bool {
	if t := m.receiving.Load(); t != nil && t.IsLarge() {
		return true
	}
	at := m.receivedAt.Load()
	age, _ := m.Age()
	return at != 0 && m.opts.Clock()-time.Duration(at) < confirmTime && age > maxUpstreamAge
}
