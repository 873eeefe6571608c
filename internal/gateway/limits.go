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
type limitState struct {
	name        string // for logs
	incarnation departure.Incarnation
	observation atomic.Pointer[targetlimit.Observation] // nil: no limit was ever named
}

// rate returns how many requests a second all instances together may send, false if there is no limit.
func (m *limitState) rate(now time.Time) (float64, bool) {
	if known := m.observation.Load(); known != nil {
		return known.Rate(now)
	}
	return 0, false
}

func (m *limitState) update(known targetlimit.Observation, source string) {
	if known.At.IsZero() {
		m.observation.Store(nil)
	} else {
		m.observation.Store(&known)
	}
	klog.InfoS("limit of a target changed", "target", m.name, "named", known.Named, "per_second", known.PerSecond, "heard", source)
}

// limits is what targets and stores named, and the meters of those that are present. It is safe for concurrent use.
type limitRegistry struct {
	observations *targetlimit.Book

	mu            sync.Mutex
	byIncarnation map[departure.Incarnation]*limitState
}

func newLimitRegistry() *limitRegistry {
	return &limitRegistry{observations: targetlimit.NewBook(), byIncarnation: map[departure.Incarnation]*limitState{}}
}

// meter returns a new meter of an incarnation that has appeared, with what is known of it.
func (l *limitRegistry) register(name string, i departure.Incarnation) *limitState {
	m := &limitState{name: name, incarnation: i}
	l.mu.Lock()
	l.byIncarnation[i] = m
	l.mu.Unlock()
	if known := l.observations.Known(i); !known.At.IsZero() {
		m.observation.Store(&known)
	}
	return m
}

// of returns the meter of an incarnation; nil if it is not present.
func (l *limitRegistry) get(i departure.Incarnation) *limitState {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.byIncarnation[i]
}

// drop forgets the meter of an incarnation that has gone; what it named stays known.
func (l *limitRegistry) remove(m *limitState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byIncarnation[m.incarnation] == m {
		delete(l.byIncarnation, m.incarnation)
	}
}

// observeLimit takes in what an answer says of the rate that its sender takes.
func (s *State) observeLimit(m *limitState, l RateLimit, now time.Time) {
	if l.Kind == RateUnknown || l.Kind == RateUnlimited && m.observation.Load() == nil {
		return
	}
	if l.Kind == RateLimited {
		s.notices.limitsNamed.Inc(1)
	}
	if known, changed := s.limits.observations.Observe(m.incarnation, l.Kind == RateLimited, l.PerSecond, now); changed {
		m.update(known, "answer")
	}
}

// learnLimits takes in what targets said to other instances.
func (s *State) learnLimits(list []targetlimit.Announcement, now time.Time) {
	for _, a := range list {
		known, changed := s.limits.observations.Learn(a, now)
		if !changed {
			continue
		}
		if m := s.limits.get(a.Incarnation); m != nil {
			m.update(known, "another instance")
		}
	}
}
