package departure

import (
	"testing"
	"time"
)

var epoch = time.Unix(1_800_000_000, 0)

func TestNoticeHoldsForOneIncarnation(t *testing.T) {
	n := New()
	old := IncarnationOf("t", "10.0.0.1:80", 1)
	if !n.Observe(old, epoch) {
		t.Error("the first notice was known before")
	}
	if n.Observe(old, epoch.Add(time.Second)) {
		t.Error("a repeated notice counts as new")
	}
	if since, ok := n.LeavingSince(old); !ok || !since.Equal(epoch) {
		t.Errorf("leaving since %v, %v; want the first notice", since, ok)
	}
	for name, other := range map[string]Incarnation{
		"restarted": IncarnationOf("t", "10.0.0.1:80", 2), "moved": IncarnationOf("t", "10.0.0.2:80", 1), "another target": IncarnationOf("u", "10.0.0.1:80", 1),
	} {
		if _, ok := n.LeavingSince(other); ok {
			t.Errorf("%s: taken as leaving", name)
		}
	}
}

func TestOnlyObservedNoticesAreAnnounced(t *testing.T) {
	n := New()
	own, others := IncarnationOf("a", "x", 1), IncarnationOf("b", "x", 1)
	n.Observe(own, epoch)
	n.Learn(others, epoch)
	if got := n.ToAnnounce(epoch); len(got) != 1 || got[0] != own {
		t.Errorf("told on %v, want the own notice alone", got)
	}
	if got := n.ToAnnounce(epoch.Add(announceWindow)); len(got) != 0 {
		t.Errorf("told on %v though the target has been silent", got)
	}
	n.Observe(others, epoch.Add(announceWindow))
	if got := n.ToAnnounce(epoch.Add(announceWindow)); len(got) != 1 || got[0] != others {
		t.Errorf("told on %v, want what was heard meanwhile", got)
	}
}

// Pattern: a zone's targets leave together, more than one message holds.
func TestNoticesRotateAcrossMessages(t *testing.T) {
	n, seen := New(), map[Incarnation]bool{}
	for i := range 3 * maxAnnounced {
		n.Observe(IncarnationOf("t", "x", int64(i)), epoch)
	}
	for round := range 3 {
		list := n.ToAnnounce(epoch.Add(time.Duration(round) * time.Second))
		if len(list) > maxAnnounced {
			t.Fatalf("%d notices in one message", len(list))
		}
		for _, i := range list {
			seen[i] = true
		}
	}
	if len(seen) != 3*maxAnnounced {
		t.Errorf("%d of %d notices told in three messages", len(seen), 3*maxAnnounced)
	}
}

func TestNoticesExpire(t *testing.T) {
	n := New()
	i := IncarnationOf("t", "x", 1)
	n.Observe(i, epoch)
	n.ToAnnounce(epoch.Add(retention - time.Second))
	if _, ok := n.LeavingSince(i); !ok {
		t.Error("forgotten too early")
	}
	n.ToAnnounce(epoch.Add(retention))
	if _, ok := n.LeavingSince(i); ok {
		t.Error("kept for ever")
	}
}
