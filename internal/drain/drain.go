// Package drain is the state machine of a planned stop of a process. The order of its phases ensures that no request is interrupted:
// first the process reports that it is not ready but still accepts requests, so that load balancers and peers stop sending; then it
// refuses new requests and finishes those in flight; streams that would not finish in time are handed over; the process exits only
// when it is idle.
package drain

import "time"

// Phase is a phase of a planned stop. Phases only move forward.
type Phase int

// Phases of a planned stop.
const (
	PhaseServing   Phase = iota // no stop has been started
	PhaseUnready                // reports not ready to load balancers and peers, but still accepts requests
	PhaseRefusing               // refuses new requests
	PhaseHandover               // hands over streams that can be resumed elsewhere, or ends what still runs
	PhaseOverdue                // requests are still in flight after the deadline
	PhaseStoppable              // idle: the process may exit
)

var phaseNames = [...]string{"serving", "unready", "refusing", "handover", "overdue", "stoppable"}

// String returns the lower-case name of the phase.
func (p Phase) String() string { return phaseNames[p] }

// Ready reports whether the process reports itself ready for requests.
func (p Phase) Ready() bool { return p == PhaseServing }

// Accepts reports whether the process accepts new requests.
func (p Phase) Accepts() bool { return p <= PhaseUnready }

// HandsOver reports whether streams that can be resumed elsewhere are to be handed over.
func (p Phase) HandsOver() bool { return p == PhaseHandover || p == PhaseOverdue }

// Options are the durations of a planned stop. All but QuietPeriod count from its start.
type Options struct {
	MinNotice   time.Duration // shortest time in PhaseUnready, for load balancers and peers to notice
	QuietPeriod time.Duration // time without arrivals after which they are assumed to have noticed
	MaxNotice   time.Duration // longest time in PhaseUnready, in case a load balancer never notices
	// ServeWhileBusy keeps the process in PhaseUnready while requests are answered, up to MaxNotice: it has to wait for them in any case,
	// and a load balancer without enough other instances goes on using it.
	ServeWhileBusy bool
	HandoverAfter  time.Duration // when handing over streams begins; zero: never
	Deadline       time.Duration // when the platform kills the process
}

// EntryOptions returns the durations for an entry, whose load balancer probes its readiness. Callers' streams can't be handed over, so
// the entry waits for them until the deadline.
func EntryOptions() Options {
	return Options{MinNotice: 5 * time.Second, QuietPeriod: 2 * time.Second, MaxNotice: 20 * time.Second, Deadline: 5 * time.Minute}
}

// GatewayOptions returns the durations for a gateway with the given time between the signal and the platform's kill. Its load balancer
// probes the readiness once a second and takes an instance out after two failures, but uses it again while few others are ready. What still
// runs at HandoverAfter is ended with an answer.
func GatewayOptions(stopTimeout time.Duration) Options {
	const (
		notice    = 2500 * time.Millisecond
		quiet     = 500 * time.Millisecond
		finish    = 1700 * time.Millisecond // for requests that arrived just before MaxNotice
		answer    = 600 * time.Millisecond  // before the kill, to end what still runs
		endMargin = 300 * time.Millisecond  // before the kill, to end the process
	)
	deadline := max(stopTimeout-endMargin, stopTimeout/2)
	handover := max(stopTimeout-answer, deadline*3/4)
	return Options{
		MinNotice: min(notice, handover/3), QuietPeriod: min(quiet, handover/10), MaxNotice: max(handover-finish, handover/2), ServeWhileBusy: true,
		HandoverAfter: handover, Deadline: deadline,
	}
}

// SidecarOptions returns the durations for a sidecar. Entries learn of the stop over open connections and retry elsewhere when refused.
func SidecarOptions() Options {
	return Options{
		MinNotice:     time.Second,
		QuietPeriod:   time.Second,
		MaxNotice:     3 * time.Second,
		HandoverAfter: time.Minute,
		Deadline:      5 * time.Minute,
	}
}

// Work describes the requests of a process.
type Work struct {
	Running     int       // what the process must not be stopped for: accepted requests, including queued ones, or their connections
	Busy        int       // requests that are being answered, for ServeWhileBusy
	LastArrival time.Time // when the last request or connection arrived; zero if none has
}

// Stop is the state of one planned stop. It is not safe for concurrent use.
type Stop struct {
	opts      Options
	phase     Phase
	startedAt time.Time
}

// New returns a stop that has not been started.
func New(opts Options) *Stop { return &Stop{opts: opts} }

// Begin starts the stop. Later calls have no effect.
func (s *Stop) Begin(now time.Time) {
	if s.phase == PhaseServing {
		s.phase = PhaseUnready
		s.startedAt = now
	}
}

// Phase returns the current phase, as set by Begin and Next.
func (s *Stop) Phase() Phase { return s.phase }

// Next advances the stop as far as the time and w allow and returns the phase. The caller invokes it periodically. Once it returns
// PhaseRefusing, the caller must stop accepting requests before it reads Running for the next call; otherwise a request accepted in
// between is missed by the count.
func (s *Stop) Next(w Work, now time.Time) Phase {
	elapsed := now.Sub(s.startedAt)
	switch s.phase {
	case PhaseServing, PhaseStoppable:
		return s.phase
	case PhaseUnready:
		if s.noticeComplete(w, now) {
			s.phase = PhaseRefusing
		}
		return s.phase // even an idle process must enter PhaseRefusing before it may exit
	}
	switch {
	case w.Running == 0:
		s.phase = PhaseStoppable
	case elapsed >= s.opts.Deadline:
		s.phase = PhaseOverdue
	case s.opts.HandoverAfter > 0 && elapsed >= s.opts.HandoverAfter:
		s.phase = PhaseHandover
	}
	return s.phase
}

// noticeComplete reports whether load balancers and peers have had time to notice the stop and have stopped sending, or the wait for
// them has reached MaxNotice.
func (s *Stop) noticeComplete(w Work, now time.Time) bool {
	elapsed := now.Sub(s.startedAt)
	if elapsed < s.opts.MinNotice {
		return false
	}
	if elapsed >= s.opts.MaxNotice {
		return true
	}
	return now.Sub(w.LastArrival) >= s.opts.QuietPeriod && (w.Busy == 0 || !s.opts.ServeWhileBusy)
}
