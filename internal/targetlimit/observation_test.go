package targetlimit

import (
	"testing"
	"time"

	"github.com/egrethoist/egrethoist/internal/departure"
)

var start = time.Date(2026, 12, 4, 10, 0, 0, 0, time.UTC)

const incarnation = departure.Incarnation(7)

// rateOf returns the rate of an observation, -1 if it is unlimited.
func rateOf(t *testing.T, o Observation, now time.Time) float64 {
	t.Helper()
	rate, limited := o.Rate(now)
	if !limited {
		return -1
	}
	return rate
}

// A target that has never reported a limit must stay unlimited and use no memory.
func TestUnlimitedTargetHasNoEntry(t *testing.T) {
	tracker := NewTracker()
	if o, _ := tracker.Observe(incarnation, false, 0, start); rateOf(t, o, start) != -1 {
		t.Errorf("%+v", o)
	}
	if len(tracker.entries) != 0 {
		t.Errorf("%d entries, want none", len(tracker.entries))
	}
}

// After a limit ends, the rate must grow gradually: a target kept at its low limit would be starved, and one without any bound would
// get all waiting requests at once.
func TestRateRecoversGradually(t *testing.T) {
	tracker := NewTracker()
	tracker.Observe(incarnation, true, 0.01, start)
	o, changed := tracker.Observe(incarnation, false, 0, start)
	if !changed {
		t.Error("the end of the limit was not reported as a change")
	}
	for _, c := range []struct {
		after time.Duration
		want  float64
	}{{0, 1}, {time.Second, 2}, {3 * time.Second, 8}, {recoveryTime, -1}, {time.Minute, -1}} {
		if got := rateOf(t, o, start.Add(c.after)); got != c.want {
			t.Errorf("%v after the end: %v requests per second, want %v", c.after, got, c.want)
		}
	}
	// Further answers without a limit must not restart the recovery.
	if o, changed = tracker.Observe(incarnation, false, 0, start.Add(time.Second)); changed || !o.EndedAt.Equal(start) {
		t.Errorf("got %+v, changed %v; want the end unchanged", o, changed)
	}
	if o, _ = tracker.Observe(incarnation, true, 3, start.Add(2*time.Second)); rateOf(t, o, start.Add(2*time.Second)) != 3 {
		t.Errorf("got %+v after the target reported a limit of 3", o)
	}
}

// A target with a limit of zero must still get occasional requests: the end of a limit shows only in an answer.
func TestZeroLimitKeepsMinRate(t *testing.T) {
	for _, limit := range []float64{0, 0.01} {
		o, _ := NewTracker().Observe(incarnation, true, limit, start)
		if got := rateOf(t, o, start.Add(time.Minute)); got != minRate {
			t.Errorf("limit %v: %v requests per second, want %v", limit, got, minRate)
		}
	}
}

// Announcements of other instances must not override a later own answer, and must not be passed on.
func TestLatestAnswerWins(t *testing.T) {
	one, other := NewTracker(), NewTracker()
	one.Observe(incarnation, true, 5, start)
	announced := one.Announcements(start.Add(time.Second))
	if len(announced) != 1 || announced[0].Age != time.Second {
		t.Fatalf("announced %+v", announced)
	}
	if o, changed := other.ApplyAnnouncement(announced[0], start.Add(time.Second)); !changed || rateOf(t, o, start.Add(time.Second)) != 5 || !o.AnsweredAt.Equal(start) {
		t.Errorf("got %+v from the announcement, changed %v", o, changed)
	}
	if got := other.Announcements(start.Add(time.Second)); len(got) != 0 {
		t.Errorf("limits learned from another instance were announced: %+v", got)
	}
	other.Observe(incarnation, false, 0, start.Add(2*time.Second))
	if o, changed := other.ApplyAnnouncement(announced[0], start.Add(2*time.Second)); changed || o.Active {
		t.Errorf("an older announcement reactivated the limit: %+v", o)
	}
	ended := other.Announcements(start.Add(3 * time.Second))
	if o, changed := one.ApplyAnnouncement(ended[0], start.Add(3*time.Second)); !changed || o.Active || !o.EndedAt.Equal(start.Add(2*time.Second)) {
		t.Errorf("the announced end of the limit was not applied: %+v", o)
	}
	one.Announcements(start.Add(time.Hour))
	if len(one.entries) != 0 {
		t.Error("an expired limit was not dropped")
	}
}

// A limit must persist while there are no answers: without requests to the target there are none.
func TestLimitPersistsWithoutAnswers(t *testing.T) {
	tracker := NewTracker()
	tracker.Observe(incarnation, true, 0, start)
	tracker.Announcements(start.Add(10 * time.Minute))
	if got := rateOf(t, tracker.Latest(incarnation), start.Add(10*time.Minute)); got != minRate {
		t.Errorf("%v requests per second after ten minutes without an answer, want the minimum rate", got)
	}
}

// Guards against a caller that keeps a limit forever after the tracker has dropped it: the next answer without a limit must be reported
// as a change.
func TestExpiredLimitIsClearedByNextAnswer(t *testing.T) {
	tracker := NewTracker()
	tracker.Observe(incarnation, true, 0, start)
	tracker.Announcements(start.Add(observationTTL))
	if o, changed := tracker.Observe(incarnation, false, 0, start.Add(observationTTL)); !changed || rateOf(t, o, start.Add(observationTTL)) != -1 {
		t.Errorf("got %+v, changed %v; want an unlimited target and a change", o, changed)
	}
}

// Of several announcements of one target the latest must win, in any order.
func TestMergeKeepsLatest(t *testing.T) {
	older := []Announcement{{Incarnation: 1, Active: true, PerSecond: 1, Age: time.Second}, {Incarnation: 2, Active: true}}
	newer := []Announcement{{Incarnation: 1, Active: true, PerSecond: 2, Age: time.Millisecond}}
	for _, lists := range [][][]Announcement{{older, newer}, {newer, older}} {
		got := Merge(lists...)
		if len(got) != 2 {
			t.Fatalf("%+v", got)
		}
		for _, a := range got {
			if a.Incarnation == 1 && a.PerSecond != 2 {
				t.Errorf("%+v", a)
			}
		}
	}
}
