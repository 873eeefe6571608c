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
	observation atomic.Pointer[targetlimit.Observation] // nil if no limit was ever reported
}

// rate returns the limit in requests per second of all instances together, false if there is none.
func (l *limitState) rate(now time.Time) (float64, bool) {
	if observation := l.observation.Load(); observation != nil {
		return observation.Rate(now)
	}
	return 0, false
}

// update replaces the observation and logs it; source says where it was received from.
func (l *limitState) update(observation targetlimit.Observation, source string) {
	if observation.AnsweredAt.IsZero() {
		l.observation.Store(nil)
	} else {
		l.observation.Store(&observation)
	}
	klog.InfoS("limit of a target changed", "target", l.name, "named", observation.Active, "per_second", observation.PerSecond, "heard", source)
}

// limitRegistry holds the observed rate limits of targets and stores, and the limitState of each that is present. It is safe for
// concurrent use.
type limitRegistry struct {
	tracker *targetlimit.Tracker

	mu            sync.Mutex
	byIncarnation map[departure.Incarnation]*limitState
}

func newLimitRegistry() *limitRegistry {
	return &limitRegistry{tracker: targetlimit.NewTracker(), byIncarnation: map[departure.Incarnation]*limitState{}}
}

// register adds the limitState of an incarnation that has appeared, with the limit that is already known of it.
func (r *limitRegistry) register(name string, i departure.Incarnation) *limitState {
	limit := &limitState{name: name, incarnation: i}
	r.mu.Lock()
	r.byIncarnation[i] = limit
	r.mu.Unlock()
	if observation := r.tracker.Latest(i); !observation.AnsweredAt.IsZero() {
		limit.observation.Store(&observation)
	}
	return limit
}

// get returns the limitState of an incarnation; nil if the incarnation is not present.
func (r *limitRegistry) get(i departure.Incarnation) *limitState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byIncarnation[i]
}

// remove removes the limitState of an incarnation that has gone. The observed limit is kept, in case the incarnation reappears.
func (r *limitRegistry) remove(limit *limitState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byIncarnation[limit.incarnation] == limit {
		delete(r.byIncarnation, limit.incarnation)
	}
}

// observeLimit records the rate limit in an answer that this instance received.
func (s *State) observeLimit(limit *limitState, reported RateLimit, now time.Time) {
	if reported.Kind == RateUnknown || reported.Kind == RateUnlimited && limit.observation.Load() == nil {
		return
	}
	if reported.Kind == RateLimited {
		s.notices.limitsReported.Inc(1)
	}
	if observation, changed := s.limits.tracker.Observe(limit.incarnation, reported.Kind == RateLimited, reported.PerSecond, now); changed {
		limit.update(observation, "answer")
	}
}

// learnLimits records rate limits that other instances have observed.
func (s *State) learnLimits(list []targetlimit.Announcement, now time.Time) {
	for _, a := range list {
		observation, changed := s.limits.tracker.ApplyAnnouncement(a, now)
		if !changed {
			continue
		}
		if limit := s.limits.get(a.Incarnation); limit != nil {
			limit.update(observation, "another instance")
		}
	}
}
