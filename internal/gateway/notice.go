package gateway

import (
	"time"

	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"

	"github.com/egrethoist/egrethoist/internal/departure"
	"github.com/egrethoist/egrethoist/internal/pause"
)

// notices is what targets announced in their answers, with its metrics. Its parts are safe for concurrent use.
type notices struct {
	departures *departure.Notices
	pauses     *pause.Tracker
	paused     map[string]bool // services all of whose targets pause; guarded by the lock of State

	leaving tally.Counter // targets that announced that they leave
	asked   tally.Counter // pauses asked for
	kept    tally.Counter // pauses asked for again and again without a served request between them
	none    tally.Gauge   // services without a target that wants work
	named   tally.Counter // answers that named a limit
	limited tally.Gauge   // targets whose rate is limited
}

func newNotices(s tally.Scope) notices {
	if s == nil {
		s = tally.NoopScope
	}
	return notices{
		departures: departure.New(), pauses: pause.NewTracker(), paused: map[string]bool{},
		leaving: s.Counter("targets_said_leaving"), asked: s.Counter("target_pauses"), kept: s.Counter("target_pauses_repeated"),
		none: s.Gauge("services_paused"), named: s.Counter("target_limits_named"), limited: s.Gauge("targets_limited"),
	}
}

// observeNotice takes in the notice of an answer. born is the start of the process that answered, zero if it is not known.
func (s *State) observeNotice(t *target, n Notice, born int64, now time.Time) {
	if born != 0 && t.born != 0 && born != t.born {
		return // another incarnation answers at the address
	}
	if n.Leaving {
		s.observeLeaving(t, now)
	}
	s.observeLimit(t.meter, n.Limit, now)
	switch {
	case n.Pause > 0:
		s.observePause(t, n.Pause, now)
	case t.pauses.Load() > 0:
		t.pauses.Store(0)
	}
}

func (s *State) observeLeaving(t *target, now time.Time) {
	known := t.stats.Leaving()
	// Each answer prolongs the time for which the other instances are notified.
	if fresh := s.notices.departures.Observe(t.incarnation, now); known || !fresh {
		return
	}
	t.stats.MarkLeaving(now.Add(s.opts.LastResort))
	s.notices.leaving.Inc(1)
	klog.InfoS("target says that it leaves", "target", t.id, "address", t.address, "born", t.born, "heard", "answer")
}

func (s *State) observePause(t *target, wish time.Duration, now time.Time) {
	until := s.notices.pauses.Record(t.incarnation, wish, now)
	t.stats.Pause(until)
	inRow := t.pauses.Add(1)
	s.notices.asked.Inc(1)
	if inRow >= pause.RepeatThreshold {
		s.notices.kept.Inc(1)
	}
	klog.InfoS("target asks for a pause", "target", t.id, "wish", wish, "kept", until.Sub(now), "in_row", inRow)
}

// learnLeaving takes in the incarnations that announced to another instance that they leave.
func (s *State) learnLeaving(list []uint64, now time.Time) {
	for _, i := range list {
		incarnation := departure.Incarnation(i)
		if !s.notices.departures.Learn(incarnation, now) {
			continue
		}
		s.mu.Lock()
		for _, t := range s.targets {
			if t.incarnation == incarnation {
				t.stats.MarkLeaving(now.Add(s.opts.LastResort))
				klog.InfoS("target says that it leaves", "target", t.id, "address", t.address, "born", t.born, "heard", "another instance")
			}
		}
		s.mu.Unlock()
	}
}

// leavingToAnnounce returns the leaving incarnations that the other instances are to be notified of.
func (s *State) leavingToAnnounce(now time.Time) []uint64 {
	list := s.notices.departures.ToAnnounce(now)
	out := make([]uint64, len(list))
	for i, incarnation := range list {
		out[i] = uint64(incarnation)
	}
	return out
}

// restoreNotices applies earlier notices of the incarnation to a new target object: its record may have been missing meanwhile.
func (s *State) restoreNotices(t *target) {
	if since, ok := s.notices.departures.LeavingSince(t.incarnation); ok {
		t.stats.MarkLeaving(since.Add(s.opts.LastResort))
	}
	if until := s.notices.pauses.Until(t.incarnation); !until.IsZero() {
		t.stats.Pause(until)
	}
}

// watchNotices reports services that pauses leave without a target, and their return, and counts the targets that name limits.
func (s *State) watchNotices(now time.Time) {
	v := s.current.Load()
	if v == nil {
		return
	}
	count, limited := 0, 0
	for name, sv := range v.services {
		for _, t := range sv.order {
			if _, ok := t.meter.rate(now); ok {
				limited++
			}
		}
		paused := sv.allPaused(now)
		if paused {
			count++
		}
		if paused != s.notices.paused[name] {
			s.notices.paused[name] = paused
			klog.InfoS("service without a target that wants work changed", "service", name, "paused", paused, "targets", len(sv.order))
		}
	}
	s.notices.none.Update(float64(count))
	s.notices.limited.Update(float64(limited))
}

// allPaused reports whether the service has targets and all of them pause.
func (sv *service) allPaused(now time.Time) bool {
	for _, t := range sv.order {
		if t.stats.PauseRemaining(now) == 0 {
			return false
		}
	}
	return len(sv.order) > 0
}
