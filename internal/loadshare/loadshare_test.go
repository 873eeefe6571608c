package loadshare

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/egrethoist/egrethoist/internal/departure"
	"github.com/egrethoist/egrethoist/internal/rapidtest"
	"github.com/egrethoist/egrethoist/internal/targetlimit"
)

func TestMain(m *testing.M) { rapidtest.Main(m) }

var epoch = time.Unix(1_800_000_000, 0)

// Messages must survive a round trip, and truncated ones must not cause a panic.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		loads := rapid.SliceOf(rapid.Custom(func(t *rapid.T) Load {
			return Load{
				Target: rapid.Uint64().Draw(t, "target"), Urgency: rapid.Uint8().Draw(t, "urgency"),
				PendingPrefill: rapid.Uint32().Draw(t, "pending"), InFlight: rapid.Uint32().Draw(t, "held"),
			}
		})).Draw(t, "loads")
		fetches := rapid.SliceOf(rapid.Custom(func(t *rapid.T) Fetches {
			return Fetches{
				Store: rapid.Uint64().Draw(t, "store"), Count: rapid.Uint8().Draw(t, "count"), LatenessRatio: rapid.Uint16().Draw(t, "strain"),
			}
		})).Draw(t, "fetches")
		leaving := rapid.SliceOf(rapid.Uint64()).Draw(t, "leaving")
		limits := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) targetlimit.Announcement {
			a := targetlimit.Announcement{
				Incarnation: departure.Incarnation(rapid.Uint64().Draw(t, "incarnation")), Active: rapid.Bool().Draw(t, "named"),
				PerSecond: float64(rapid.Float32Range(0, 1e6).Draw(t, "rate")), Age: time.Duration(rapid.IntRange(0, 1e6).Draw(t, "age")) * time.Millisecond,
			}
			if !a.Active {
				a.EndedAgo = time.Duration(rapid.IntRange(0, 1e6).Draw(t, "ended")) * time.Millisecond
			}
			return a
		}), 0, maxListEntries).Draw(t, "limits")
		m := Message{Sender: 7, Sequence: 9, Kind: Total, Members: 68, Fragments: 1, Fetches: fetches, Leaving: leaving, Limits: limits, Loads: loads}
		b := m.Append(nil)
		got, err := Parse(b)
		if err != nil || got.Sender != 7 || got.Sequence != 9 || !slices.Equal(got.Loads, loads) || !slices.Equal(got.Fetches, fetches) ||
			!slices.Equal(got.Leaving, leaving) || !slices.Equal(got.Limits, limits) {
			t.Fatalf("%+v %v, want %+v", got, err, m)
		}
		cut := rapid.IntRange(1, len(b)-1).Draw(t, "cut")
		_, _ = Parse(b[:cut]) // must not panic
	})
}

// Guards against a limit that looks newer than it is after it was forwarded by hubs: the latest answer of a target must win.
func TestLimitsAgeInTransit(t *testing.T) {
	table := NewTable(time.Second)
	table.Receive(&Message{Sender: 1, Sequence: 1, Members: 1, Limits: []targetlimit.Announcement{{Incarnation: 3, Active: true, PerSecond: 4, Age: 100 * time.Millisecond}}}, epoch)
	table.Receive(&Message{Sender: 2, Sequence: 1, Members: 1, Limits: []targetlimit.Announcement{{Incarnation: 3, EndedAgo: time.Millisecond}}}, epoch.Add(300*time.Millisecond))
	now := epoch.Add(500 * time.Millisecond)
	sums := table.Latest([]uint64{1, 2}, now)
	want := targetlimit.Announcement{Incarnation: 3, Age: 200 * time.Millisecond, EndedAgo: 201 * time.Millisecond}
	for name, all := range map[string]*Sum{"all": table.Sum(now), "some": Add(sums...), "some, in the other order": Add(sums[1], sums[0])} {
		if len(all.Limits) != 1 || all.Limits[0] != want {
			t.Errorf("%s: %+v, want %+v", name, all.Limits, want)
		}
	}
	if got := sums[0].Limits[0].Age; got != 600*time.Millisecond {
		t.Errorf("limit has age %v, want 600ms", got)
	}
}

// The table must ignore overtaken messages, drop silent senders, and accept a restarted one.
func TestTable(t *testing.T) {
	table := NewTable(time.Second)
	table.Receive(&Message{Sender: 1, Sequence: 5, Members: 1, Loads: []Load{{Target: 9, PendingPrefill: 100}}}, epoch)
	if table.Receive(&Message{Sender: 1, Sequence: 4, Loads: []Load{{Target: 9, PendingPrefill: 900}}}, epoch) {
		t.Error("an overtaken message was accepted")
	}
	table.Receive(&Message{Sender: 2, Sequence: 1, Members: 1, Loads: []Load{{Target: 9, PendingPrefill: 10}}}, epoch)
	if all := table.Sum(epoch); all.Members != 2 || len(all.Loads) != 1 || all.Loads[0].PendingPrefill != 110 {
		t.Errorf("%d instances, loads %v; want 2 instances and 110 pending tokens at one target", all.Members, all.Loads)
	}
	if all := table.Sum(epoch.Add(time.Second)); all.Members != 0 {
		t.Errorf("%d instances after a second without messages, want none", all.Members)
	}
	// A restarted process begins its sequence numbers anew.
	table.Receive(&Message{Sender: 1, Sequence: 1, Members: 1}, epoch.Add(2*time.Second))
	if all := table.Sum(epoch.Add(2 * time.Second)); all.Members != 1 {
		t.Error("the message of a restarted instance was ignored")
	}
}
