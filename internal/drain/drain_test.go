package drain

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/egrethoist/egrethoist/internal/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m) }

var start = time.Unix(1_800_000_000, 0)

func secondsAfterStart(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// Guards against phases that are skipped or entered at the wrong time.
func TestPhases(t *testing.T) {
	type step struct {
		seconds float64
		running int
		arrival float64 // seconds of the last arrival
		want    Phase
		busy    int
	}
	for name, c := range map[string]struct {
		opts  Options
		steps []step
	}{
		"idle entry gives notice first": {EntryOptions(), []step{{0, 0, -9, PhaseUnready, 0}, {4, 0, -9, PhaseUnready, 0},
			{5, 0, -9, PhaseRefusing, 0}, {5, 0, -9, PhaseStoppable, 0}}},
		"entry serves what the balancer still sends": {EntryOptions(), []step{{6, 1, 5, PhaseUnready, 0},
			{7, 1, 5, PhaseRefusing, 0}, {8, 1, 5, PhaseRefusing, 0}, {9, 0, 5, PhaseStoppable, 0}}},
		"balancer that never learns": {EntryOptions(), []step{{19, 1, 19, PhaseUnready, 0}, {20, 1, 20, PhaseRefusing, 0}}},
		"entry never moves a caller": {EntryOptions(), []step{{200, 1, 0, PhaseRefusing, 0}, {299, 1, 0, PhaseRefusing, 0},
			{300, 1, 0, PhaseOverdue, 0}, {301, 0, 0, PhaseStoppable, 0}}},
		"sidecar hands over long streams": {SidecarOptions(), []step{{2, 3, 0, PhaseRefusing, 0},
			{60, 1, 0, PhaseHandover, 0}, {61, 0, 0, PhaseStoppable, 0}}},
		"idle gateway": {GatewayOptions(8 * time.Second), []step{{2, 5, 1, PhaseUnready, 0}, {2.6, 5, 1, PhaseRefusing, 0}, {2.7, 0, 1, PhaseStoppable, 0}}},
		"gateway serves while it is busy": {GatewayOptions(8 * time.Second), []step{{2.6, 5, 1, PhaseUnready, 1}, {4, 5, 1, PhaseUnready, 1},
			{4.1, 5, 1, PhaseRefusing, 0}}},
		"gateway whose balancer never learns": {GatewayOptions(8 * time.Second), []step{{5.6, 5, 5.6, PhaseUnready, 3}, {5.8, 5, 5.8, PhaseRefusing, 3},
			{7.3, 5, 5.8, PhaseRefusing, 3}, {7.4, 5, 5.8, PhaseHandover, 3}, {7.7, 1, 5.8, PhaseOverdue, 1}}},
		"gateway with little time": {GatewayOptions(time.Second), []step{{0.2, 1, 0, PhaseUnready, 1}, {0.4, 1, 0.4, PhaseRefusing, 1},
			{0.6, 1, 0.4, PhaseHandover, 1}, {0.75, 1, 0.4, PhaseOverdue, 1}}},
	} {
		t.Run(name, func(t *testing.T) {
			s := New(c.opts)
			s.Begin(start)
			for _, st := range c.steps {
				s.Begin(secondsAfterStart(st.seconds)) // repeated calls have no effect
				if got := s.Next(Work{Running: st.running, Busy: st.busy, LastArrival: secondsAfterStart(st.arrival)}, secondsAfterStart(st.seconds)); got != st.want {
					t.Fatalf("at %v s with %d running: %v, want %v", st.seconds, st.running, got, st.want)
				}
			}
		})
	}
}

// Requests arrive and end at random. Guards against refusing requests before MinNotice has elapsed, and against exiting with requests
// in flight or while the process still accepts some.
func TestNoRequestIsInterrupted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		opts := rapid.SampledFrom([]Options{EntryOptions(), SidecarOptions(), GatewayOptions(8 * time.Second)}).Draw(t, "options")
		s, now, running, lastArrival := New(opts), start, 0, time.Time{}
		before := s.Phase()
		var startedAt time.Time
		for range 100 {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				if s.Phase().Accepts() {
					running++
					lastArrival = now
				}
			case 1:
				running = max(0, running-1)
			case 2:
				if startedAt.IsZero() {
					startedAt = now
					s.Begin(now)
				}
			}
			phase := s.Next(Work{Running: running, LastArrival: lastArrival}, now)
			if phase < before {
				t.Fatalf("phase went back from %v to %v", before, phase)
			}
			if phase == PhaseStoppable && (running > 0 || before.Accepts()) {
				t.Fatalf("stoppable after %v with %d requests in flight", before, running)
			}
			if !startedAt.IsZero() && !phase.Accepts() && now.Sub(startedAt) < opts.MinNotice {
				t.Fatalf("phase %v only %v after the start of the stop", phase, now.Sub(startedAt))
			}
			before = phase
		}
	})
}
