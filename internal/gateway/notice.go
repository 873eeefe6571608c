package gateway

import (
	"time"

	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"github.com/egrethoist/egrethoist/internal/departure"
	"github.com/egrethoist/egrethoist/internal/pause"
)

// notices holds the departures and pauses that targets have announced in their answers, and their metrics. Its fields are safe for
// concurrent use unless noted.
type notices struct {
	departures     *departure.Notices
	pauses         *pause.Tracker
	pausedServices map[string]bool // services all of whose targets are paused; guarded by State.mu

	leavingTargets     tally.Counter // targets that announced that they leave
	pausesRequested    tally.Counter // pauses that targets requested
	pausesRepeated     tally.Counter // those from the pause.RepeatThreshold-th in a row on, without an answered request in between
	pausedServiceCount tally.Gauge   // services all of whose targets are paused
	limitsReported     tally.Counter // answers that report a rate limit
	limitedTargetCount tally.Gauge   // targets with a rate limit in force
}

func newNotices(s tally.Scope) notices {
	if s == nil {
		s = tally.NoopScope
	}
	return notices{
		departures: departure.New(), pauses: pause.NewTracker(), pausedServices: map[string]bool{},
		leavingTargets: s.Counter("targets_said_leaving"), pausesRequested: s.Counter("target_pauses"), pausesRepeated: s.Counter("target_pauses_repeated"),
		pausedServiceCount: s.Gauge("services_paused"), limitsReported: s.Counter("target_limits_named"), limitedTargetCount: s.Gauge("targets_limited"),
	}
}

// observeNotice applies the notice in an answer that this instance received. born is the start time of the process that answered
// in Unix milliseconds, zero if unknown; the notice of another incarnation is ignored.
func (s *State) observeNotice(t *target, n Notice, born int64, now time.Time) {
	if born != 0 && t.born != 0 && born != t.born {
		return // another incarnation answers at the address
	}
	if n.Leaving {
		s.observeLeaving(t, now)
	}
	s.observeLimit(t.limit, n.Limit, now)
	t.speed.Report(n.Speed, now)
	switch {
	case n.Pause > 0:
		s.observePause(t, n.Pause, now)
	case t.pauses.Load() > 0:
		t.pauses.Store(0)
	}
}

// observeLeaving records that a target has announced that it leaves.
func (s *State) observeLeaving(t *target, now time.Time) {
	wasLeaving := t.stats.Leaving()
	// Each such answer extends the time for which the departure is announced to the other instances.
	if isNew := s.notices.departures.Observe(t.incarnation, now); wasLeaving || !isNew {
		return
	}
	t.stats.MarkLeaving(now.Add(s.opts.LastResortTime))
	s.notices.leavingTargets.Inc(1)
	klog.InfoS("target says that it leaves", "target", t.id, "address", t.address, "born", t.born, "heard", "answer")
}

// observePause records that a target has requested a pause of a length.
func (s *State) observePause(t *target, requested time.Duration, now time.Time) {
	until := s.notices.pauses.Record(t.incarnation, requested, now)
	t.stats.Pause(until)
	consecutive := t.pauses.Add(1)
	s.notices.pausesRequested.Inc(1)
	if consecutive >= pause.RepeatThreshold {
		s.notices.pausesRepeated.Inc(1)
	}
	klog.InfoS("target asks for a pause", "target", t.id, "wish", requested, "kept", until.Sub(now), "in_row", consecutive)
}

// learnLeaving records departures of incarnations that other instances have observed.
func (s *State) learnLeaving(list []uint64, now time.Time) {
	for _, i := range list {
		incarnation := departure.Incarnation(i)
		if !s.notices.departures.Learn(incarnation, now) {
			continue
		}
		s.mu.Lock()
		for _, t := range s.targets {
			if t.incarnation == incarnation {
				t.stats.MarkLeaving(now.Add(s.opts.LastResortTime))
				klog.InfoS("target says that it leaves", "target", t.id, "address", t.address, "born", t.born, "heard", "another instance")
			}
		}
		s.mu.Unlock()
	}
}

// leavingToAnnounce returns the leaving incarnations to announce to the other instances.
func (s *State) leavingToAnnounce(now time.Time) []uint64 {
	list := s.notices.departures.ToAnnounce(now)
	out := make([]uint64, len(list))
	for i, incarnation := range list {
		out[i] = uint64(incarnation)
	}
	return out
}

// restoreNotices applies earlier notices of the incarnation to a new target object: the target's record may have disappeared for a
// while and come back.
func (s *State) restoreNotices(t *target) {
	if since, ok := s.notices.departures.LeavingSince(t.incarnation); ok {
		t.stats.MarkLeaving(since.Add(s.opts.LastResortTime))
	}
	if until := s.notices.pauses.Until(t.incarnation); !until.IsZero() {
		t.stats.Pause(until)
	}
}

// reportNotices logs when all targets of a service become paused and when that ends, and updates the gauges of paused services and
// limited targets. s.mu must be held.
func (s *State) reportNotices(now time.Time) {
	v := s.current.Load()
	if v == nil {
		return
	}
	pausedCount, limitedCount := 0, 0
	for name, sv := range v.services {
		for _, t := range sv.orderedTargets {
			if _, ok := t.limit.rate(now); ok {
				limitedCount++
			}
		}
		paused := sv.allPaused(now)
		if paused {
			pausedCount++
		}
		if paused != s.notices.pausedServices[name] {
			s.notices.pausedServices[name] = paused
			klog.InfoS("service without a target that wants work changed", "service", name, "paused", paused, "targets", len(sv.orderedTargets))
		}
	}
	s.notices.pausedServiceCount.Update(float64(pausedCount))
	s.notices.limitedTargetCount.Update(float64(limitedCount))
}

// allPaused reports whether the service has targets and all of them are paused.
func (sv *service) allPaused(now time.Time) bool {
	for _, t := range sv.orderedTargets {
		if t.stats.PauseRemaining(now) == 0 {
			return false
		}
	}
	return len(sv.orderedTargets) > 0
}
