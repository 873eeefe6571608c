package departure

import (
	"testing"
	"time"
)

var epoch = time.Unix(1_800_000_000, 0)

// A notice must not apply to a target that has restarted, moved to another address, or only shares the address.
func TestNoticeHoldsForOneIncarnation(t *testing.T) {
	n := New()
	old := IncarnationOf("t", "10.0.0.1:80", 1)
	if !n.Observe(old, epoch) {
		t.Error("the first notice does not count as new")
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
			t.Errorf("%s: treated as leaving", name)
		}
	}
}

// Guards against notices that circulate between instances for ever: those learned from other instances are not
// announced.
func TestOnlyObservedNoticesAreAnnounced(t *testing.T) {
	n := New()
	own, others := IncarnationOf("a", "x", 1), IncarnationOf("b", "x", 1)
	n.Observe(own, epoch)
	n.Learn(others, epoch)
	if got := n.ToAnnounce(epoch); len(got) != 1 || got[0] != own {
		t.Errorf("announced %v, want only the notice observed by this instance", got)
	}
	if got := n.ToAnnounce(epoch.Add(announceWindow)); len(got) != 0 {
		t.Errorf("announced %v after the announce window", got)
	}
	n.Observe(others, epoch.Add(announceWindow))
	if got := n.ToAnnounce(epoch.Add(announceWindow)); len(got) != 1 || got[0] != others {
		t.Errorf("announced %v, want the notice observed meanwhile", got)
	}
}

// Guards against notices that are never announced when all targets of a failure domain leave together, more than fit into
// one message.
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
		t.Errorf("%d of %d notices announced in three messages", len(seen), 3*maxAnnounced)
	}
}

// Guards against a set of notices that grows without bound.
func TestNoticesExpire(t *testing.T) {
	n := New()
	i := IncarnationOf("t", "x", 1)
	n.Observe(i, epoch)
	n.ToAnnounce(epoch.Add(retention - time.Second))
	if _, ok := n.LeavingSince(i); !ok {
		t.Error("notice dropped before the end of the retention")
	}
	n.ToAnnounce(epoch.Add(retention))
	if _, ok := n.LeavingSince(i); ok {
		t.Error("notice kept after the end of the retention")
	}
}
