package gateway

import (
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

func newMeter(name string, i departure.Incarnation) *meter {
	return &meter{name: name, incarnation: i}
}

// rate returns how many requests a second all instances together may send, false if there is no limit.
func (m *meter) rate(now time.Time) (float64, bool) {
	if known := m.limit.Load(); known != nil {
		return known.Rate(now)
	}
	return 0, false
}

// observeLimit takes in what an answer says of the rate that its sender takes.
func (s *State) observeLimit(m *meter, l RateLimit, now time.Time) {
	if l.Kind == RateUnknown || l.Kind == RateOpen && m.limit.Load() == nil {
		return
	}
	if l.Kind == RateLimited {
		s.notices.named.Inc(1)
	}
	known, news := s.notices.limits.Observe(m.incarnation, l.Kind == RateLimited, l.PerSecond, now)
	if news {
		m.learn(known, "answer")
	}
}

func (m *meter) learn(known targetlimit.Observation, heard string) {
	m.limit.Store(&known)
	klog.InfoS("limit of a target changed", "target", m.name, "named", known.Named, "per_second", known.PerSecond, "heard", heard)
}
