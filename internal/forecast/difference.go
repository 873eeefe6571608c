package forecast

import (
	"math"
	"time"
)

const (
	// minGain and minSignificance are the mean gain, in squared logarithms, and its multiple of the standard error from which targets
	// differ in speed for good: 0.005 is a difference of 7 %. The significance is high since consecutive answers are correlated.
	minGain         = 0.005
	minSignificance = 5
	// keptGain and keptSignificance are the same from which a difference that was found counts as still there.
	keptGain         = 0.002
	keptSignificance = 2
	// keepActive is how long a service stays active without evidence that its targets differ.
	keepActive = time.Minute
	// minComparisons is the number of ratios from which the gain is judged.
	minComparisons = 200
	// streamWeight is the number of ratios of first events that the ratio of a stream counts for: the time between events varies
	// much less than the time to the first one.
	streamWeight = 3
	// centerMemory and gainMemory are the numbers of ratios that the mean of the ratios and the gain cover.
	centerMemory = 1000
	gainMemory   = 4000
)

// differences decides whether the targets of a service differ in speed: they do if the learned slowdown of a target predicts its next
// ratio better than the mean of the service does. Targets that are equal give a negative gain.
type differences struct {
	reported     bool      // a target has reported its speed
	lastActive   bool      // last result of ActiveChanged
	evidentUntil time.Time // targets were learned to differ; zero if they never were
	center       float64   // decayed mean of the logarithm of the ratios
	samples      float64
	gain         float64 // decayed mean of the reduction of the squared error
	gainSquares  float64 // decayed mean of its square
	comparisons  float64
}

// AddRatio records the ratio that AddFirst returned, or AddStream if stream is set, for the target that answered.
func (s *Service) AddRatio(t *Target, ratio float64, stream bool, now time.Time) {
	if !(ratio > 0) || math.IsInf(ratio, 0) {
		return
	}
	weight := 1.0
	if stream {
		weight = streamWeight
	}
	log := min(max(math.Log(ratio), -2), 2)
	s.mu.Lock()
	defer s.mu.Unlock()
	d := &s.diff
	own := t.addRatio(log, weight, d.center)
	shared := log - d.center
	d.judge(shared*shared-(shared-own)*(shared-own), now)
	d.samples = min(d.samples+weight, centerMemory)
	d.center += shared * weight / d.samples
}

// judge adds the gain of one comparison and looks for evidence.
func (d *differences) judge(gain float64, now time.Time) {
	d.comparisons = min(d.comparisons+1, gainMemory)
	d.gain += (gain - d.gain) / d.comparisons
	d.gainSquares += (gain*gain - d.gainSquares) / d.comparisons
	if d.comparisons < minComparisons {
		return
	}
	significance := d.gain / math.Sqrt(max(d.gainSquares-d.gain*d.gain, 1e-9)/d.comparisons)
	found := d.gain >= minGain && significance >= minSignificance
	kept := d.gain >= keptGain && significance >= keptSignificance && now.Before(d.evidentUntil)
	if found || kept {
		d.evidentUntil = now.Add(keepActive)
	}
}

// Report records the speed that a target reports; see Target.Report.
func (s *Service) Report(t *Target, slowdown float64, now time.Time) {
	t.Report(slowdown, now)
	if t.hasReported() {
		s.mu.Lock()
		s.diff.reported = true
		s.mu.Unlock()
	}
}

// ReportsSpeed reports whether targets of the service report their speed.
func (s *Service) ReportsSpeed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.diff.reported
}

// Active reports whether targets have reported their speed or are known to differ in it. Once a target has reported, the service stays
// active; a learned difference counts until it has not been seen for a minute.
func (s *Service) Active(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.diff.reported || now.Before(s.diff.evidentUntil)
}

// ActiveChanged returns what Active does, and whether that has changed since the last call.
func (s *Service) ActiveChanged(now time.Time) (active, changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	active = s.diff.reported || now.Before(s.diff.evidentUntil)
	changed, s.diff.lastActive = active != s.diff.lastActive, active
	return active, changed
}

// Slowdown returns the slowdown of a target as Target.Slowdown does. While the service is not active it is 1.
func (s *Service) Slowdown(t *Target, now time.Time) (slowdown float64, age time.Duration) {
	s.mu.Lock()
	center, active := s.diff.center, s.diff.reported || now.Before(s.diff.evidentUntil)
	s.mu.Unlock()
	if !active {
		return 1, -1
	}
	return t.Slowdown(center, now)
}
