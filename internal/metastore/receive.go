package metastore

import (
	"context"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"github.com/egrethoist/egrethoist/internal/transfer"
)

// A large answer of the store takes seconds on a narrow link. Meanwhile small changes are read beside it, and another instance that has
// the same changes already is asked for them: between instances only differences are sent.

const (
	// copyPollInterval is the time between two requests for another instance's copy while a large answer is on its way.
	copyPollInterval = 250 * time.Millisecond
	// confirmTime is the time after a large answer in which the next call confirms the state.
	confirmTime = watchBatchDelay + minWatchWait + 300*time.Millisecond
	// urgentWatchWait is the wait of a watch of urgent keys.
	urgentWatchWait = time.Second
)

// errSuperseded means that a call of the store was given up, since another instance had what it would return.
var errSuperseded = errors.New("call superseded by the copy of another instance")

// receive runs a call of the store and keeps the state fresh as far as possible while a large answer is on its way. It is used by Run only.
func (m *Mirror) receive(ctx context.Context, name string, call func(ctx context.Context) error) (err error) {
	tracker := transfer.NewTracker()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	m.ageReport.begin(name, m.opts.Clock(), tracker)
	m.receiving.Store(tracker)
	defer func() {
		if tracker.IsLarge() {
			m.receivedAt.Store(int64(m.opts.Clock()))
		}
		m.receiving.Store(nil)
		m.ageReport.end(err)
	}()
	done := make(chan error, 1)
	go func() { done <- call(transfer.WithTracker(ctx, tracker)) }()
	select {
	case err := <-done:
		return err
	case <-tracker.Large():
	}
	urgent, copies := m.watchUrgent(ctx), m.pollCopies(ctx)
	for {
		select {
		case err := <-done:
			return err
		case events := <-urgent:
			m.apply(m.withoutSkipped(events), m.asOf)
			m.notifyWaiters()
		case c := <-copies:
			if c.AsOf <= m.asOf {
				continue // also if it was asked for before urgent changes came
			}
			klog.InfoS("large answer of the metadata store given up for another instance's copy", "call", name, "progress", tracker.String())
			cancel()
			<-done // the call uses variables of the caller
			m.useCopy(c.Copy, c.calledAt)
			return errSuperseded
		}
	}
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
	after := m.asOf
	go func() {
		ticker := time.NewTicker(copyPollInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
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
