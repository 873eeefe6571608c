package routing

import (
	"sync/atomic"
	"time"

	"github.com/egrethoist/egrethoist/internal/steadytime"
)

// Load is one load report of a target, pushed by Watch or piggybacked on a response.
type Load struct {
	Incarnation uint64
	Sequence    uint64 // increases with every report of an incarnation
	Limit       int    // current limit of requests in flight
	InFlight    int    // admitted requests from all gateways
	Queued      int    // requests waiting at the sidecar
	QueueWait   time.Duration
	ReceivedAt  time.Time // when this gateway received the report
}

// receivedLoad is a Load with the value of Stats.starts when it was received.
type receivedLoad struct {
	Load
	startsAtReport int64
}

// Stats is the mutable state of a target from the view of one gateway. It outlives snapshots and is safe for
// concurrent use. The zero value is ready to use.
type Stats struct {
	load          atomic.Pointer[receivedLoad]
	starts        atomic.Int64                // attempts sent by this gateway in total
	inFlight      atomic.Int64                // attempts of this gateway that have not ended
	backoffUntil  atomic.Int64                // steady time in nanoseconds
	meanRun       atomic.Int64                // nanoseconds, moving average over completed runs
	runDeviation  atomic.Int64                // nanoseconds, moving average of the deviation of runs from meanRun
	prefillRate   atomic.Int64                // tokens per second; zero if unknown
	pendingTokens [UrgencyLevels]atomic.Int64 // prompt tokens sent by this gateway and not prefilled yet, by urgency
	heldTokens    [UrgencyLevels]atomic.Int64 // tokens of requests of this gateway that have not ended, by urgency
	peers         atomic.Pointer[PeerLoad]
	busySince     atomic.Int64 // steady time in nanoseconds since which at least one attempt has been in flight
	lastBytesAt   atomic.Int64 // steady time in nanoseconds of the last bytes from the target

	// Deadlines announced by the target. They keep their monotonic clock reading, since the wall clock may jump.
	lastResortUntil atomic.Pointer[time.Time] // set once the target is leaving: until then it may be chosen if no other target can serve
	pausedUntil     atomic.Pointer[time.Time] // end of the pause that the target asked for

	ended atomic.Bool // nothing listened at the target's address

	deniedUntil [UrgencyLevels]atomic.Pointer[time.Time] // by urgency: until then the target's rate limit is used up
}

// meanRunShift sets the weight of one sample in the moving average of run times to 1/2^meanRunShift.
const meanRunShift = 5

// Start counts an attempt sent to the target. Call it between Pick and sending, so that the next Pick counts it.
func (s *Stats) Start() {
	s.inFlight.Add(1)
	s.starts.Add(1)
}

// StartAt is Start for callers that also call BytesReceived, so that StallTime can be computed.
func (s *Stats) StartAt(now time.Time) {
	if s.inFlight.Load() == 0 {
		s.busySince.Store(steadytime.UnixNano(now))
	}
	s.Start()
}

// BytesReceived records that bytes arrived from the target.
func (s *Stats) BytesReceived(now time.Time) { s.lastBytesAt.Store(steadytime.UnixNano(now)) }

// StallTime returns how long no bytes have arrived from the target while attempts were in flight, zero if none are in
// flight.
func (s *Stats) StallTime(now time.Time) time.Duration {
	since := max(s.busySince.Load(), s.lastBytesAt.Load())
	if since == 0 || s.inFlight.Load() == 0 {
		return 0
	}
	return time.Duration(steadytime.UnixNano(now) - since)
}

// UrgencyLevels is the number of urgency levels of requests; level 0 is the most urgent.
const UrgencyLevels = 10

// AddPendingTokens adds to the prompt tokens that were sent to the target and wait for prefill. tokens is negative when
// the prefill ends.
func (s *Stats) AddPendingTokens(urgency, tokens int) {
	s.pendingTokens[clampUrgency(urgency)].Add(int64(tokens))
}

// AddHeldTokens adds to the tokens of requests at the target that have not ended. tokens is negative when a request
// ends.
func (s *Stats) AddHeldTokens(urgency, tokens int) {
	s.heldTokens[clampUrgency(urgency)].Add(int64(tokens))
}

// PeerLoad is the load that the other gateways put on a target.
type PeerLoad struct {
	PendingTokens [UrgencyLevels]int // prompt tokens not prefilled yet, by urgency
	HeldTokens    [UrgencyLevels]int // tokens of requests that have not ended, by urgency
	Scale         float64            // all gateways / gateways with a known load, including this one; extrapolates to the unknown ones
}

// SetPeerLoad replaces the load reported by the other gateways.
func (s *Stats) SetPeerLoad(l *PeerLoad) { s.peers.Store(l) }

// OwnPendingTokens returns the prompt tokens from this gateway, of exactly this urgency, that the target has not
// prefilled yet.
func (s *Stats) OwnPendingTokens(urgency int) int {
	return int(max(s.pendingTokens[clampUrgency(urgency)].Load(), 0))
}

// OwnHeldTokens returns the tokens of this gateway's requests, of exactly this urgency, that have not ended at the
// target.
func (s *Stats) OwnHeldTokens(urgency int) int {
	return int(max(s.heldTokens[clampUrgency(urgency)].Load(), 0))
}

// PendingTokens estimates the prompt tokens from all gateways that the target prefills before a request of this
// urgency.
func (s *Stats) PendingTokens(urgency int) int {
	peers := s.peers.Load()
	sum := 0
	for i := range clampUrgency(urgency) + 1 {
		sum += s.OwnPendingTokens(i)
		if peers != nil {
			sum += peers.PendingTokens[i]
		}
	}
	return extrapolate(sum, peers)
}

// HeldTokens estimates the tokens of requests from all gateways that have not ended at the target and that a request of
// this urgency does not preempt: a target that is short of memory preempts less urgent requests.
func (s *Stats) HeldTokens(urgency int) int {
	peers := s.peers.Load()
	sum := 0
	for u := range clampUrgency(urgency) + 1 {
		sum += s.OwnHeldTokens(u)
		if peers != nil {
			sum += peers.HeldTokens[u]
		}
	}
	return extrapolate(sum, peers)
}

// extrapolate scales a sum over the gateways with a known load to all gateways.
func extrapolate(sum int, peers *PeerLoad) int {
	if peers == nil || peers.Scale <= 1 {
		return sum
	}
	return int(float64(sum) * peers.Scale)
}

func clampUrgency(u int) int { return min(max(u, 0), UrgencyLevels-1) }

// Finish counts the end of an attempt. A positive run updates the mean run time.
func (s *Stats) Finish(run time.Duration) {
	s.inFlight.Add(-1)
	if run <= 0 {
		return
	}
	old, deviation := s.meanRun.Load(), s.runDeviation.Load()
	next, nextDeviation := old+(int64(run)-old)>>meanRunShift, deviation+(max(int64(run)-old, old-int64(run))-deviation)>>meanRunShift
	if old == 0 {
		next, nextDeviation = int64(run), int64(run)/2
	}
	// A lost update between gateways of the same process only skips one sample.
	s.meanRun.CompareAndSwap(old, next)
	s.runDeviation.CompareAndSwap(deviation, nextDeviation)
}

// Report stores a load report if it is newer than the stored one, and reports whether it was. A late report of the
// same incarnation is recognized by its sequence number, a late report of an earlier incarnation by its incarnation.
func (s *Stats) Report(l Load) bool {
	next := &receivedLoad{Load: l}
	for {
		old := s.load.Load()
		if old != nil && !newer(l, old.Load) {
			return false
		}
		next.startsAtReport = s.starts.Load()
		if s.load.CompareAndSwap(old, next) {
			return true
		}
	}
}

// newer reports whether a is newer than b. Incarnations are start times, so the larger one is the later one.
func newer(a, b Load) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Sequence > b.Sequence
}

// Backoff excludes the target from picks until the given time. It never shortens a backoff in force.
func (s *Stats) Backoff(until time.Time) {
	next := steadytime.UnixNano(until)
	for {
		old := s.backoffUntil.Load()
		if old >= next || s.backoffUntil.CompareAndSwap(old, next) {
			return
		}
	}
}

// MarkLeaving records that the target is shutting down. Until lastResort it may still be chosen if no other target can
// serve. Later calls have no effect.
func (s *Stats) MarkLeaving(lastResort time.Time) { s.lastResortUntil.CompareAndSwap(nil, &lastResort) }

// Leaving reports whether the target is shutting down.
func (s *Stats) Leaving() bool { return s.lastResortUntil.Load() != nil }

// MarkEnded records that the target's process has ended.
func (s *Stats) MarkEnded() { s.ended.Store(true) }

// Ended reports whether the target's process has ended.
func (s *Stats) Ended() bool { return s.ended.Load() }

// Pause excludes the target from picks until the given time.
func (s *Stats) Pause(until time.Time) { s.pausedUntil.Store(&until) }

// PauseRemaining returns how much longer the target is paused, zero if it is not.
func (s *Stats) PauseRemaining(now time.Time) time.Duration {
	until := s.pausedUntil.Load()
	if until == nil {
		return 0
	}
	return max(until.Sub(now), 0)
}

// Deny excludes the target for requests of this urgency and less urgent ones until the given time, since its rate limit
// is used up.
func (s *Stats) Deny(urgency int, until time.Time) {
	for u := clampUrgency(urgency); u < UrgencyLevels; u++ {
		s.deniedUntil[u].Store(&until)
	}
}

// DenialRemaining returns how much longer the target is excluded by Deny for requests of this urgency.
func (s *Stats) DenialRemaining(urgency int, now time.Time) time.Duration {
	until := s.deniedUntil[clampUrgency(urgency)].Load()
	if until == nil {
		return 0
	}
	return max(until.Sub(now), 0)
}

// Blocked reports whether the target is paused or leaving, so that no request may be sent now. With lastResort a leaving
// target is not blocked until its last-resort deadline.
func (s *Stats) Blocked(lastResort bool, now time.Time) bool {
	if s.PauseRemaining(now) > 0 {
		return true
	}
	until := s.lastResortUntil.Load()
	return until != nil && !(lastResort && now.Before(*until))
}

// SetPrefillRate records the target's prefill rate in tokens per second.
func (s *Stats) SetPrefillRate(tokensPerSec float64) { s.prefillRate.Store(int64(tokensPerSec)) }

// InFlight returns the number of attempts of this gateway that have not ended.
func (s *Stats) InFlight() int { return int(s.inFlight.Load()) }

// MeanRun returns the moving average of run times, zero before the first completed run.
func (s *Stats) MeanRun() time.Duration { return time.Duration(s.meanRun.Load()) }

// LongRun returns a run time that few runs exceed, zero before the first completed run. It is computed like the retransmission timeout of
// TCP: four mean deviations above the mean.
func (s *Stats) LongRun() time.Duration {
	return time.Duration(s.meanRun.Load() + 4*s.runDeviation.Load())
}

// Incarnation returns the incarnation of the last report, zero before the first.
func (s *Stats) Incarnation() uint64 {
	if r := s.load.Load(); r != nil {
		return r.Incarnation
	}
	return 0
}

// statsView is a copy of the Stats that a score is computed from.
type statsView struct {
	hasReport       bool // a report has arrived
	limit           int
	reported        int // requests in flight and queued at the target by the last report
	sentSinceReport int // sent by this gateway since the report and not ended
	ownInFlight     int // sent by this gateway and not ended
	queueWait       time.Duration
	reportedAt      time.Time
}

// backlog is the number of requests at the target, assuming that the other gateways' requests have not changed since
// the report.
func (v *statsView) backlog() int { return max(v.reported+v.sentSinceReport, v.ownInFlight) }

// currentView combines the last report with the requests that this gateway has sent since, so that picks made on the
// same report count the requests that earlier picks have added.
func (s *Stats) currentView(coldLimit int) statsView {
	own := int(s.inFlight.Load())
	r := s.load.Load()
	if r == nil {
		return statsView{limit: coldLimit, sentSinceReport: own, ownInFlight: own}
	}
	// The counters are not read atomically together, so the difference may be off: clamp it.
	added := max(0, min(int(s.starts.Load()-r.startsAtReport), own))
	return statsView{
		hasReport:       true,
		limit:           r.Limit,
		reported:        r.InFlight + r.Queued,
		sentSinceReport: added,
		ownInFlight:     own,
		queueWait:       r.QueueWait,
		reportedAt:      r.ReceivedAt,
	}
}
