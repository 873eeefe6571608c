package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/egrethoist/egrethoist/internal/departure"
	"github.com/egrethoist/egrethoist/internal/targetlimit"
)

// meter is what this instance knows of the rate that a target or kept-cache store takes from all instances together.
type meter struct {
	name        string // for logs
	incarnation departure.Incarnation
	limit       atomic.Pointer[targetlimit.Observation] // nil: no limit was ever named
}

// rate returns how many requests a second all instances together may send, false if there is no limit.
func (m *meter) rate(now time.Time) (float64, bool) {
	if known := m.limit.Load(); known != nil {
		return known.Rate(now)
	}
	return 0, false
}

func (m *meter) learn(known targetlimit.Observation, heard string) {
	if known.AnsweredAt.IsZero() {
		m.limit.Store(nil)
	} else {
		m.limit.Store(&known)
	}
	klog.InfoS("limit of a target changed", "target", m.name, "named", known.Active, "per_second", known.PerSecond, "heard", heard)
}

// limits is what targets and stores named, and the meters of those that are present. It is safe for concurrent use.
type limits struct {
	book *targetlimit.Tracker

	mu     sync.Mutex
	meters map[departure.Incarnation]*meter
}

func newLimits() *limits {
	return &limits{book: targetlimit.NewTracker(), meters: map[departure.Incarnation]*meter{}}
}

// meter returns a new meter of an incarnation that has appeared, with what is known of it.
func (l *limits) meter(name string, i departure.Incarnation) *meter {
	m := &meter{name: name, incarnation: i}
	l.mu.Lock()
	l.meters[i] = m
	l.mu.Unlock()
	if known := l.book.Latest(i); !known.AnsweredAt.IsZero() {
		m.limit.Store(&known)
	}
	return m
}

// of returns the meter of an incarnation; nil if it is not present.
func (l *limits) of(i departure.Incarnation) *meter {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.meters[i]
}

// drop forgets the meter of an incarnation that has gone; what it named stays known.
func (l *limits) drop(m *meter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.meters[m.incarnation] == m {
		delete(l.meters, m.incarnation)
	}
}

// observeLimit takes in what an answer says of the rate that its sender takes.
func (s *State) observeLimit(m *meter, l RateLimit, now time.Time) {
	if l.Kind == RateUnknown || l.Kind == RateOpen && m.limit.Load() == nil {
		return
	}
	if l.Kind == RateLimited {
		s.notices.named.Inc(1)
	}
	if known, news := s.limits.book.Observe(m.incarnation, l.Kind == RateLimited, l.PerSecond, now); news {
		m.learn(known, "answer")
	}
}

// learnLimits takes in what targets said to other instances.
func (s *State) learnLimits(list []targetlimit.Announcement, now time.Time) {
	for _, a := range list {
		known, news := s.limits.book.ApplyAnnouncement(a, now)
		if !news {
			continue
		}
		if m := s.limits.of(a.Incarnation); m != nil {
			m.learn(known, "another instance")
		}
	}
}
