package once

import (
	"testing"
	"time"
)

// observeFor observes the same reading every 5 s for the given length and returns the time of the last one.
func observeFor(d *DepartureDetector, from time.Time, length time.Duration, reading ListReading) time.Time {
	now := from
	for ; now.Sub(from) < length; now = now.Add(5 * time.Second) {
		d.Observe(reading, []string{"a"}, now)
	}
	return now.Add(-5 * time.Second)
}

// A target counts as gone only after an uninterrupted absence of GoneAfter from the start of the generation on.
func TestDepartures(t *testing.T) {
	missing := ListReading{SelfListed: true}
	present := ListReading{SelfListed: true, Present: map[string]bool{"a": true}}
	long := 2 * GoneAfter
	for _, tc := range []struct {
		name string
		read func(d *DepartureDetector) (began, now, want time.Time)
	}{
		{"missing long enough", func(d *DepartureDetector) (began, now, want time.Time) {
			return epoch.Add(-time.Hour), observeFor(d, epoch, long, missing), epoch.Add(GoneAfter)
		}},
		{"missing once", func(d *DepartureDetector) (began, now, want time.Time) {
			d.Observe(missing, []string{"a"}, epoch)
			return epoch.Add(-time.Hour), epoch, time.Time{}
		}},
		{"not yet long enough", func(d *DepartureDetector) (began, now, want time.Time) {
			return epoch.Add(-time.Hour), observeFor(d, epoch, GoneAfter, missing), time.Time{}
		}},
		{"listed again in between", func(d *DepartureDetector) (began, now, want time.Time) {
			now = observeFor(d, epoch, GoneAfter, missing)
			now = observeFor(d, now.Add(5*time.Second), 5*time.Second, present)
			return epoch.Add(-time.Hour), observeFor(d, now.Add(5*time.Second), GoneAfter, missing), time.Time{}
		}},
		{"leaving or paused, but listed", func(d *DepartureDetector) (began, now, want time.Time) {
			return epoch.Add(-time.Hour), observeFor(d, epoch, long, present), time.Time{}
		}},
		{"readings too far apart", func(d *DepartureDetector) (began, now, want time.Time) {
			now = observeFor(d, epoch, GoneAfter, missing)
			return epoch.Add(-time.Hour), observeFor(d, now.Add(MaxReadingGap+time.Second), GoneAfter, missing), time.Time{}
		}},
		{"last reading too old", func(d *DepartureDetector) (began, now, want time.Time) {
			now = observeFor(d, epoch, long, missing)
			return epoch.Add(-time.Hour), now.Add(MaxReadingGap + time.Second), time.Time{}
		}},
		{"the list shows no targets", func(d *DepartureDetector) (began, now, want time.Time) {
			return epoch.Add(-time.Hour), observeFor(d, epoch, long, ListReading{}), time.Time{}
		}},
		{"gone before the generation began", func(d *DepartureDetector) (began, now, want time.Time) {
			began = epoch.Add(GoneAfter)
			return began, observeFor(d, epoch, 3*GoneAfter, missing), began.Add(GoneAfter)
		}},
		{"the generation began just now", func(d *DepartureDetector) (began, now, want time.Time) {
			now = observeFor(d, epoch, long, missing)
			return now, now, time.Time{}
		}},
	} {
		var d DepartureDetector
		began, now, want := tc.read(&d)
		if got := d.GoneSince("a", began, now); !got.Equal(want) {
			t.Errorf("%s: gone since %v, want %v", tc.name, got, want)
		}
	}
}

// Settled needs an acknowledgement older than the retention; Since is the time of the first that covers the revision.
func TestAckedRevisions(t *testing.T) {
	const retention = time.Minute
	var a AckedRevisions
	a.Ack("a", 4, epoch)
	a.Ack("a", 7, epoch.Add(50*time.Second))
	a.Ack("a", 6, epoch.Add(55*time.Second)) // arrives out of order and changes nothing
	for _, tc := range []struct {
		after    time.Duration
		revision uint64
		want     bool
	}{
		{retention, 4, false},
		{retention + time.Second, 4, true},
		{retention + time.Second, 5, false},
		{retention + 50*time.Second, 7, false},
		{retention + 51*time.Second, 7, true},
		{retention + 51*time.Second, 8, false},
	} {
		if got := a.Settled("a", tc.revision, epoch.Add(tc.after), retention); got != tc.want {
			t.Errorf("revision %d settled after %v: %v", tc.revision, tc.after, got)
		}
	}
	for revision, after := range map[uint64]time.Duration{4: 0, 5: 50 * time.Second, 7: 50 * time.Second} {
		var a AckedRevisions
		a.Ack("a", 4, epoch)
		a.Ack("a", 7, epoch.Add(50*time.Second))
		if got := a.Since("a", revision); !got.Equal(epoch.Add(after)) {
			t.Errorf("acts on revision %d since %v", revision, got)
		}
		if got := a.Since("a", 8); !got.IsZero() {
			t.Errorf("acts since %v on a revision that it has not acknowledged", got)
		}
	}
	if a.Settled("b", 1, epoch.Add(time.Hour), retention) {
		t.Error("a target without an acknowledgement is settled")
	}
}
