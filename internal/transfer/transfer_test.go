package transfer

import (
	"math"
	"testing"
	"time"
)

// Guards against time limits that end a transfer which goes on, and against peers that hold one open with a byte now and then.
func TestDeadlineFollowsProgress(t *testing.T) {
	start := time.Date(2026, 12, 6, 0, 0, 0, 0, time.UTC)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	l := Limits{Head: time.Second, Stall: 500 * time.Millisecond, MinRate: 40_000}
	for name, c := range map[string]struct {
		progress Progress
		want     time.Duration
	}{
		"no answer yet":                {Progress{StartedAt: start}, time.Second},
		"answer begun":                 {Progress{StartedAt: start, HeadAt: at(900 * time.Millisecond), LastAt: at(900 * time.Millisecond)}, 1400 * time.Millisecond},
		"large one goes on":            {Progress{StartedAt: start, HeadAt: at(0), LastAt: at(4 * time.Second), Received: 1_000_000}, 4500 * time.Millisecond},
		"a byte now and then":          {Progress{StartedAt: start, HeadAt: at(0), LastAt: at(400 * time.Millisecond), Received: 2}, 500050 * time.Microsecond},
		"slower than a share of links": {Progress{StartedAt: start, HeadAt: at(0), LastAt: at(5 * time.Second), Received: 200_000}, 5500 * time.Millisecond},
		"no rate asked for":            {Progress{StartedAt: start, HeadAt: at(0), LastAt: at(9 * time.Second), Received: 2}, 9500 * time.Millisecond},
	} {
		limits := l
		if name == "no rate asked for" {
			limits.MinRate = 0
		}
		if got := limits.Deadline(c.progress).Sub(start); got != c.want {
			t.Errorf("%s: fails after %v, want %v", name, got, c.want)
		}
	}
}

// Guards against links whose width is not in the settings: they must not make every transfer fail.
func TestMinRate(t *testing.T) {
	if known, unknown := MinRate(10), MinRate(0); known != unknown || known != 10e6/8/32 {
		t.Errorf("minimum rate %v for 10 Mbit/s, %v if unknown, want %v", known, unknown, 10e6/8/32)
	}
	if got := (Limits{MinRate: MinRate(10)}).Upload(39062); got.Round(10*time.Millisecond) != time.Second {
		t.Errorf("upload of 39 KB is given %v, want 1 s", got)
	}
}

// Guards against a wrong estimate of how long an answer still takes, by which readers of the store take turns.
func TestRemaining(t *testing.T) {
	for _, tt := range []struct {
		received, total int64
		want            time.Duration
	}{
		{25, 100, 3 * time.Second},
		{100, 100, 0},
		{25, -1, 0},
		{0, 100, math.MaxInt64},
	} {
		tracker := NewTracker()
		tracker.Update(tt.received, tt.total)
		if got := tracker.Remaining(time.Second); got != tt.want {
			t.Errorf("%d of %d bytes after a second: %v remain, want %v", tt.received, tt.total, got, tt.want)
		}
	}
}
