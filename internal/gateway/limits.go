package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/egrethoist/egrethoist/internal/departure"
	"github.com/egrethoist/egrethoist/internal/targetlimit"
)

// limitState holds what this instance knows of the rate limit of a target or KV-cache store. The limit applies to the requests of
// all instances together.
type limitState struct {
	name        string // for logs
	incarnation departure.Incarnation
	observation atomic.Pointer[targetlimit.Observation] // nil if no limit was ever set
}

// rate returns the limit in requests per second of all instances together, false if there is none.
func (l *limitState) rate(now time.Time) (float64, bool) {
	if known := l.observation.Load(); known != nil {
		return known.Rate(now)
	}
	return 0, false
}

// update replaces the observation and logs it; source says where it was received from.
func (l *limitState) update(known targetlimit.Observation, source string) {
	if known.AnsweredAt.IsZero() {
		l.observation.Store(nil)
	} else {
		l.observation.Store(&known)
	}
	klog.InfoS("limit of a target changed", "target", l.name, "named", known.Active, "per_second", known.PerSecond, "heard", source)
}

// limitRegistry holds the observed rate limits of targets and stores, and the limitState of each that is present. It is safe for
// concurrent use.
type limitRegistry struct {
	observations *targetlimit.Tracker

	mu            sync.Mutex
	byIncarnation map[departure.Incarnation]*limitState
}

func newLimitRegistry() *limitRegistry {
	return &limitRegistry{observations: targetlimit.NewTracker(), byIncarnation: map[departure.Incarnation]*limitState{}}
}

// register adds the limitState of an incarnation that has appeared, with the limit that is already known of it.
func (r *limitRegistry) register(name string, i departure.Incarnation) *limitState {
	m := &limitState{name: name, incarnation: i}
	r.mu.Lock()
	r.byIncarnation[i] = m
	r.mu.Unlock()
	if known := r.observations.Latest(i); !known.AnsweredAt.IsZero() {
		m.observation.Store(&known)
	}
	return m
}

// get returns the limitState of an incarnation; nil if the incarnation is not present.
func (r *limitRegistry) get(i departure.Incarnation) *limitState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byIncarnation[i]
}

// remove removes the limitState of an incarnation that has gone. The observed limit is kept, in case the incarnation reappears.
func (r *limitRegistry) remove(m *limitState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byIncarnation[m.incarnation] == m {
		delete(r.byIncarnation, m.incarnation)
	}
}

// observeLimit records the rate limit in an answer that this instance received.
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

// learnLimits records rate limits that other instances have observed.
func (s *State) learnLimits(list []targetlimit.Announcement, now time.Time) {
	for _, a := range list {
		known, changed := s.limits.observations.ApplyAnnouncement(a, now)
		if !changed {
			continue
		}
		if m := s.limits.get(a.Incarnation); m != nil {
			m.update(known, "another instance")
		}
	}
}
