package routing

import (
	"sync/atomic"
	"time"
)

// Load is one load report of a sidecar, pushed by Watch or piggybacked on an answer.
type Load struct {
	Incarnation uint64
	Sequence    uint64 // grows with every report of an incarnation
	Limit       int    // requests in flight that the target bears now
	InFlight    int    // admitted requests, of all entries
	Queued      int    // requests waiting at the sidecar
	QueueWait   time.Duration
	At          time.Time // when the report reached this entry
}

// reported is a Load together with the starts that this entry had made when it arrived.
type reported struct {
	Load
	starts int64
}

// Stats is the changing state of a target as one entry sees it. It outlives snapshots and is safe for
// concurrent use. The zero value is ready.
type Stats struct {
	load         atomic.Pointer[reported]
	starts       atomic.Int64            // attempts ever sent by this entry
	inFlight     atomic.Int64            // attempts of this entry that have not ended
	backoffUntil atomic.Int64            // unix nanoseconds
	meanRun      atomic.Int64            // nanoseconds, moving average of finished runs
	prefillRate  atomic.Int64            // tokens per second; zero is not known
	pending      [Urgencies]atomic.Int64 // prompt tokens, by urgency, that this entry has sent and the target has not read
	held         [Urgencies]atomic.Int64 // tokens of requests of this entry that have not ended, by urgency
	others       atomic.Pointer[Others]
	waitingSince atomic.Int64 // unix nanoseconds since which attempts are in flight without a pause
	heardAt      atomic.Int64 // unix nanoseconds of the last bytes from the target

	// What the target asked for. Times with their monotonic reading: the time of day may jump.
	lastResort atomic.Pointer[time.Time] // set once it leaves: until when it may be chosen if no other target can serve
	paused     atomic.Pointer[time.Time] // until when it wants nothing

	denied [Urgencies]atomic.Pointer[time.Time] // by urgency: until when its rate limit leaves no room
}

// meanRunShift is the base-two logarithm of the weight of history in the moving average of run times.
const meanRunShift = 5

// Start counts an attempt sent to the target. Call it between Pick and sending, so that the next Pick sees it.
func (s *Stats) Start() {
	s.inFlight.Add(1)
	s.starts.Add(1)
}

// StartAt is Start for callers that also tell when the target is heard of.
func (s *Stats) StartAt(now time.Time) {
	if s.inFlight.Load() == 0 {
		s.waitingSince.Store(now.UnixNano())
	}
	s.Start()
}

// Heard records that bytes arrived from the target.
func (s *Stats) Heard(now time.Time) { s.heardAt.Store(now.UnixNano()) }

// Silence returns for how long nothing was heard of the target while attempts were in flight.
func (s *Stats) Silence(now time.Time) time.Duration {
	since := max(s.waitingSince.Load(), s.heardAt.Load())
	if since == 0 || s.inFlight.Load() == 0 {
		return 0
	}
	return time.Duration(now.UnixNano() - since)
}

// Urgencies is the number of ranks of requests; 0 is the most urgent.
const Urgencies = 10

// Reading changes the prompt tokens that were sent to the target and wait to be read there.
func (s *Stats) Reading(urgency, tokens int) { s.pending[clampUrgency(urgency)].Add(int64(tokens)) }

// Holding changes the tokens of requests at the target that have not ended.
func (s *Stats) Holding(urgency, tokens int) { s.held[clampUrgency(urgency)].Add(int64(tokens)) }

// Others is the work of the other entries at a target.
type Others struct {
	Pending [Urgencies]int // prompt tokens not read yet, by urgency
	Held    [Urgencies]int // tokens of requests that have not ended, by urgency
	Scale   float64        // all entries over those heard of, this one included; stands in for the silent ones
}

// SetOthers takes in what the other entries tell.
func (s *Stats) SetOthers(o *Others) { s.others.Store(o) }

// OwnPending returns the prompt tokens of this entry of exactly the urgency that the target has not read yet.
func (s *Stats) OwnPending(urgency int) int {
	return int(max(s.pending[clampUrgency(urgency)].Load(), 0))
}

// OwnHeld returns the tokens of this entry's requests of exactly the urgency at the target that have not ended.
func (s *Stats) OwnHeld(urgency int) int {
	return int(max(s.held[clampUrgency(urgency)].Load(), 0))
}

// Pending estimates the prompt tokens of all entries that the target reads before a request of the urgency.
func (s *Stats) Pending(urgency int) int {
	others := s.others.Load()
	sum := 0
	for i := range clampUrgency(urgency) + 1 {
		sum += s.OwnPending(i)
		if others != nil {
			sum += others.Pending[i]
		}
	}
	return scaled(sum, others)
}

// Held estimates the tokens of all entries' requests at the target that have not ended and that a request of the urgency does
// not displace: a target that is short of memory puts less urgent ones back.
func (s *Stats) Held(urgency int) int {
	others := s.others.Load()
	sum := 0
	for u := range clampUrgency(urgency) + 1 {
		sum += s.OwnHeld(u)
		if others != nil {
			sum += others.Held[u]
		}
	}
	return scaled(sum, others)
}

func scaled(sum int, others *Others) int {
	if others == nil || others.Scale <= 1 {
		return sum
	}
	return int(float64(sum) * others.Scale)
}

func clampUrgency(u int) int { return min(max(u, 0), Urgencies-1) }

// Finish counts the end of an attempt. A positive run updates the mean run time.
func (s *Stats) Finish(run time.Duration) {
	s.inFlight.Add(-1)
	if run <= 0 {
		return
	}
	old := s.meanRun.Load()
	next := old + (int64(run)-old)>>meanRunShift
	if old == 0 {
		next = int64(run)
	}
	// A lost update between entries of the same process only skips one sample.
	s.meanRun.CompareAndSwap(old, next)
}

// Report takes in a load report and reports whether it was newer than the one held. A late report of the same
// incarnation is dropped by its sequence; a late report of an earlier incarnation by its number.
func (s *Stats) Report(l Load) bool {
	next := &reported{Load: l}
	for {
		old := s.load.Load()
		if old != nil && !newer(l, old.Load) {
			return false
		}
		next.starts = s.starts.Load()
		if s.load.CompareAndSwap(old, next) {
			return true
		}
	}
}

// newer compares reports. Incarnations are start times, so the larger one is the later one.
func newer(a, b Load) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Sequence > b.Sequence
}

// Backoff keeps the target out of picks until then. An earlier time than the one in force is ignored.
func (s *Stats) Backoff(until time.Time) {
	next := until.UnixNano()
	for {
		old := s.backoffUntil.Load()
		if old >= next || s.backoffUntil.CompareAndSwap(old, next) {
			return
		}
	}
}

// Leave notes that the target leaves. Until lastResort it may still be chosen if no other target can serve.
func (s *Stats) Leave(lastResort time.Time) { s.lastResort.CompareAndSwap(nil, &lastResort) }

// Leaving reports whether the target leaves.
func (s *Stats) Leaving() bool { return s.lastResort.Load() != nil }

// Pause keeps everything from the target until then.
func (s *Stats) Pause(until time.Time) { s.paused.Store(&until) }

// PauseLeft returns for how much longer the target wants nothing, zero if it wants work.
func (s *Stats) PauseLeft(now time.Time) time.Duration {
	until := s.paused.Load()
	if until == nil {
		return 0
	}
	return max(until.Sub(now), 0)
}

// Deny keeps requests of the urgency, and less urgent ones, from the target until then: its rate limit leaves no room.
func (s *Stats) Deny(urgency int, until time.Time) {
	for u := clampUrgency(urgency); u < Urgencies; u++ {
		s.denied[u].Store(&until)
	}
}

// DeniedLeft returns for how much longer the target's rate limit leaves no room for a request of the urgency.
func (s *Stats) DeniedLeft(urgency int, now time.Time) time.Duration {
	until := s.denied[clampUrgency(urgency)].Load()
	if until == nil {
		return 0
	}
	return max(until.Sub(now), 0)
}

// Declines reports whether the target has asked not to be sent a request now. A last resort may be sent to a leaving target
// for a while.
func (s *Stats) Declines(lastResort bool, now time.Time) bool {
	if s.PauseLeft(now) > 0 {
		return true
	}
	until := s.lastResort.Load()
	return until != nil && !(lastResort && now.Before(*until))
}

// SetPrefillRate records the target's prefill rate in tokens per second.
func (s *Stats) SetPrefillRate(tokensPerSec float64) { s.prefillRate.Store(int64(tokensPerSec)) }

// InFlight returns the attempts of this entry that have not ended.
func (s *Stats) InFlight() int { return int(s.inFlight.Load()) }

// MeanRun returns the moving average of run times; zero before the first.
func (s *Stats) MeanRun() time.Duration { return time.Duration(s.meanRun.Load()) }

// Incarnation returns the incarnation of the last report, zero before the first.
func (s *Stats) Incarnation() uint64 {
	if r := s.load.Load(); r != nil {
		return r.Incarnation
	}
	return 0
}

// view is one consistent reading of Stats.
type view struct {
	known     bool // a report has arrived
	limit     int
	reported  int // requests at the target by the last report
	added     int // sent by this entry since the report and not ended
	own       int // sent by this entry and not ended
	queueWait time.Duration
	at        time.Time
}

// backlog is the number of requests at the target if nobody else has sent or ended any since the report.
func (v *view) backlog() int { return max(v.reported+v.added, v.own) }

// read combines the last report with what this entry has sent since, so that no figure is acted on twice
// without counting the effect of the first act.
func (s *Stats) read(coldLimit int) view {
	own := int(s.inFlight.Load())
	r := s.load.Load()
	if r == nil {
		return view{limit: coldLimit, added: own, own: own}
	}
	// The counters are read one by one, so clamp.
	added := max(0, min(int(s.starts.Load()-r.starts), own))
	return view{
		known:     true,
		limit:     r.Limit,
		reported:  r.InFlight + r.Queued,
		added:     added,
		own:       own,
		queueWait: r.QueueWait,
		at:        r.At,
	}
}
