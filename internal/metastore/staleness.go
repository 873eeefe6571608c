package metastore

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"k8s.io/klog/v2"
)

// staleLogInterval is the time between two log lines about a state that stays old.
const staleLogInterval = 5 * time.Second

// staleness decides when an instance reports that its state is old. It holds no clock.
type staleness struct {
	oldAfter time.Duration
	since    time.Duration // when the state became old; zero: it is not
	loggedAt time.Duration
}

// stalenessEvent is what an observation of the age gives reason to report.
type stalenessEvent uint8

const (
	nothingToReport stalenessEvent = iota
	becameOld
	stayedOld
	becameFresh
)

// observe takes the age of the state at a time and returns what to report, with the time for which the state has been old.
func (s *staleness) observe(age, now time.Duration) (stalenessEvent, time.Duration) {
	switch {
	case age < s.oldAfter && s.since == 0:
		return nothingToReport, 0
	case age < s.oldAfter:
		old := now - s.since
		s.since = 0
		return becameFresh, old
	case s.since == 0:
		s.since, s.loggedAt = now-(age-s.oldAfter), now
		return becameOld, now - s.since
	case now-s.loggedAt >= staleLogInterval:
		s.loggedAt = now
		return stayedOld, now - s.since
	}
	return nothingToReport, now - s.since
}

// ageReport reports the age of a mirror's state, with the reason if it is old. It is safe for concurrent use.
type ageReport struct {
	age       tally.Gauge // seconds since the state last matched the store
	old       tally.Gauge // 1 while the state is old
	failures  tally.Counter
	mu        sync.Mutex
	staleness staleness
	call      string // call under way; empty: none
	calledAt  time.Duration
	progress  fmt.Stringer // of the call under way; nil: unknown
	failure   string       // last failed call since the state was confirmed; empty: none
}

func newAgeReport(scope tally.Scope, oldAfter time.Duration) *ageReport {
	if scope == nil {
		scope = tally.NoopScope
	}
	return &ageReport{
		age: scope.Gauge("metadata_age_seconds"), old: scope.Gauge("metadata_old"), failures: scope.Counter("metadata_calls_failed"),
		staleness: staleness{oldAfter: oldAfter},
	}
}

// begin records that a call for changes or for the whole state begins. progress tells how far it is; nil: unknown.
func (r *ageReport) begin(call string, now time.Duration, progress fmt.Stringer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.call, r.calledAt, r.progress = call, now, progress
}

// end records how the call ended.
func (r *ageReport) end(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failure = ""
	if err != nil && !errors.Is(err, errSuperseded) {
		r.failure = fmt.Sprintf("%s: %v", r.call, err)
		r.failures.Inc(1)
	}
	r.call = ""
}

// reason tells why the state is not fresh. r.mu must be held.
func (r *ageReport) reason(now time.Duration) string {
	switch {
	case r.call != "":
		text := fmt.Sprintf("%s under way for %v", r.call, (now - r.calledAt).Round(time.Millisecond))
		if r.progress != nil {
			text += ", " + r.progress.String()
		}
		if r.failure != "" {
			text += "; before: " + r.failure
		}
		return text
	case r.failure != "":
		return r.failure
	}
	return "no call since"
}

// ReportAge updates the gauges of the state's age and logs when the state becomes old, stays old or is fresh again. It is to be called
// several times a second.
func (m *Mirror) ReportAge() {
	age, known := m.Age()
	if !known {
		return // the instance is not ready yet
	}
	r, now := m.ageReport, m.opts.Clock()
	r.mu.Lock()
	defer r.mu.Unlock()
	event, since := r.staleness.observe(age, now)
	r.age.Update(age.Seconds())
	r.old.Update(0)
	if r.staleness.since != 0 {
		r.old.Update(1)
	}
	revision := uint64(0)
	if c := m.published.Load(); c != nil {
		revision = c.AsOf
	}
	switch event {
	case becameOld, stayedOld:
		klog.InfoS("metadata is old", "age", age, "since", since, "revision", revision, "reason", r.reason(now))
	case becameFresh:
		klog.InfoS("metadata is fresh again", "age", age, "old_for", since, "revision", revision)
	}
}
