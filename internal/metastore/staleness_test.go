package metastore

import (
	"testing"
	"time"
)

// Guards against instances that go on with old state and say so nowhere: once when it gets old, at intervals, and at the end.
func TestStalenessIsReported(t *testing.T) {
	s := staleness{oldAfter: 2 * time.Second}
	for _, step := range []struct {
		now, age time.Duration
		want     stalenessEvent
		since    time.Duration
	}{
		{10 * time.Second, time.Second, nothingToReport, 0},
		{11500 * time.Millisecond, 2500 * time.Millisecond, becameOld, 500 * time.Millisecond},
		{12 * time.Second, 3 * time.Second, nothingToReport, time.Second},
		{16500 * time.Millisecond, 7500 * time.Millisecond, stayedOld, 5500 * time.Millisecond},
		{17 * time.Second, 8 * time.Second, nothingToReport, 6 * time.Second},
		{18 * time.Second, time.Second, becameFresh, 7 * time.Second},
		{19 * time.Second, time.Second, nothingToReport, 0},
		{21 * time.Second, 2 * time.Second, becameOld, 0},
	} {
		if event, since := s.observe(step.age, step.now); event != step.want || since != step.since {
			t.Errorf("age %v at %v: event %d after %v, want %d after %v", step.age, step.now, event, since, step.want, step.since)
		}
	}
}
