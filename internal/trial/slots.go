package trial

import (
	"time"

	"github.com/egrethoist/egrethoist/internal/fairness"
)

// job is one request of a trial.
type job struct {
	small  bool
	arrive time.Time
	actual time.Duration
}

// item is a job as it waits.
type item = fairness.Item[*job]

// line is the order of waiting work in a trial.
type line interface {
	enqueue(it *item, now time.Time) (refused []*item)
	next(now time.Time) (it *item, late []*item)
	done(it *item, actual time.Duration)
}

type fairLine struct{ *fairness.Queue[*job] }

func newFairLine() *fairLine {
	q := fairness.New[*job](fairness.Options{MaxItems: sharesQueue})
	q.SetSlots(sharesSlots)
	return &fairLine{q}
}

func (l *fairLine) enqueue(it *item, now time.Time) []*item {
	d := l.Enqueue(it, now)
	switch {
	case d.Refusal != fairness.RefusalNone:
		return []*item{it}
	case d.Displaced != nil:
		return []*item{d.Displaced}
	}
	return nil
}

func (l *fairLine) next(now time.Time) (*item, []*item) {
	late := l.Expire(now)
	it, _ := l.Next(now)
	return it, late
}

func (l *fairLine) done(it *item, actual time.Duration) { l.Done(it, actual) }

// fifoLine is one bounded queue in order of arrival. It drops what is past its deadline.
type fifoLine struct{ items []*item }

func (l *fifoLine) enqueue(it *item, _ time.Time) []*item {
	if len(l.items) >= sharesQueue {
		return []*item{it}
	}
	l.items = append(l.items, it)
	return nil
}

func (l *fifoLine) next(now time.Time) (*item, []*item) {
	var late []*item
	for len(l.items) > 0 {
		it := l.items[0]
		l.items = l.items[1:]
		if !now.Add(it.Cost).After(it.Deadline) {
			return it, late
		}
		late = append(late, it)
	}
	return nil, late
}

func (l *fifoLine) done(*item, time.Duration) {}

// slots serve jobs in the order of a line, so many at once.
type slots struct {
	*timeline
	line     line
	free     int
	refused  func(*item) // refused, displaced or expired
	started  func(*item)
	finished func(*item)
}

func newSlots(l line, n int) *slots { return &slots{timeline: newTimeline(), line: l, free: n} }

// offer lets a job wait, and starts what can start.
func (s *slots) offer(it *item) {
	s.refuse(s.line.enqueue(it, s.now))
	s.pump()
}

func (s *slots) refuse(items []*item) {
	for _, it := range items {
		s.refused(it)
	}
}

func (s *slots) pump() {
	for s.free > 0 {
		it, late := s.line.next(s.now)
		s.refuse(late)
		if it == nil {
			return
		}
		s.free--
		s.start(it)
	}
}

func (s *slots) start(it *item) {
	s.started(it)
	s.after(it.Value.actual, func() {
		s.free++
		s.finished(it)
		s.line.done(it, it.Value.actual)
		s.pump()
	})
}
