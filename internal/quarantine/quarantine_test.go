package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

var epoch = time.Unix(1_800_000_000, 0)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

func part(id string) Part { return Part{Model: "m", ID: id} }

func parts(ids ...string) []Part {
	out := make([]Part, len(ids))
	for i, id := range ids {
		out[i] = part(id)
	}
	return out
}

// crashOf returns a crash under one request with the given parts, on an incarnation of its own.
func crashOf(ms int, ids ...string) Crash {
	c := Crash{Incarnation: uint64(ms) + 1, At: at(ms)}
	for _, id := range ids {
		c.Suspects = append(c.Suspects, Suspect{Part: part(id), Request: uint32(ms)})
	}
	return c
}

func weak(c Crash) Crash {
	for i := range c.Suspects {
		c.Suspects[i].Weak = true
	}
	return c
}

// step changes a tracker at a time.
type step func(t *Tracker)

func crash(c Crash) step { return func(t *Tracker) { t.LearnCrash(c, 1, c.At) } }

func served(ms int, ids ...string) step {
	return func(t *Tracker) { t.RecordServed(parts(ids...), at(ms)) }
}

func peerServed(ms int, id string) step {
	return func(t *Tracker) { t.LearnServed(part(id), at(ms), at(ms)) }
}

// Requests must be refused only if the evidence singles out what they carry, and probed one at a time while it does not.
func TestVerdicts(t *testing.T) {
	for _, c := range []struct {
		name    string
		steps   []step
		request []string
		ms      int // time of the request
		weights int
		want    Verdict
	}{
		{"no evidence", nil, []string{"a", "x"}, 0, 1, Allow},
		{"one crash", []step{crash(crashOf(0, "a", "x"))}, []string{"x", "y"}, 10, 1, Probe},
		{"one crash, other parts", []step{crash(crashOf(0, "a", "x"))}, []string{"b", "y"}, 10, 1, Allow},
		{"one crash, answered since", []step{crash(crashOf(0, "x")), served(10, "x")}, []string{"x"}, 20, 1, Allow},
		{"one crash, answered since by another instance", []step{crash(crashOf(0, "x")), peerServed(10, "x")}, []string{"x"}, 20, 1, Allow},
		{"one crash, answered shortly before", []step{served(-100, "x"), crash(crashOf(0, "x"))}, []string{"x"}, 20, 1, Allow},
		{"one crash, answered long before", []step{served(-100_000, "x"), crash(crashOf(0, "x"))}, []string{"x"}, 20, 1, Probe},
		{"one crash, late in the answer", []step{crash(weak(crashOf(0, "x")))}, []string{"x"}, 20, 1, Allow},
		{"two crashes", []step{crash(crashOf(0, "x")), crash(crashOf(500, "x"))}, []string{"a", "x"}, 600, 1, Refuse},
		{"two crashes at once, all of the time", []step{crash(crashOf(0, "x")), crash(crashOf(20, "x"))}, []string{"x"}, 600, 1, Refuse},
		{
			"two crashes at once, with others, as of a failure domain", []step{crash(crashOf(0, "x")), crash(crashOf(20, "x")), crash(crashOf(10, "y"))},
			[]string{"x"}, 600, 1, Probe,
		},
		{"two crashes, the second one reported twice", []step{crash(crashOf(0, "x")), crash(crashOf(500, "x")), crash(crashOf(500, "x"))}, []string{"x"}, 600, 1, Refuse},
		{"two crashes, answered between them", []step{crash(crashOf(0, "x")), served(100, "x"), crash(crashOf(500, "x"))}, []string{"x"}, 600, 1, Allow},
		{"three crashes late in the answer", []step{crash(weak(crashOf(0, "x"))), crash(weak(crashOf(500, "x"))), crash(weak(crashOf(1000, "x")))}, []string{"x"}, 1100, 1, Refuse},
		{
			"a part that was answered shortly before two crashes", []step{served(-100, "x"), crash(crashOf(0, "x")), crash(crashOf(500, "x"))},
			[]string{"x"}, 600, 1, Probe,
		},
		{
			"a part that became deadly after it was answered", []step{served(-100, "x"), crash(crashOf(0, "x")), crash(crashOf(500, "x")), crash(crashOf(1000, "x"))},
			[]string{"x"}, 1100, 1, Refuse,
		},
		{
			"two crashes, then many others, then a third", []step{
				crash(crashOf(0, "x")), crash(crashOf(50, "x")), crash(crashOf(60, "y")), crash(crashOf(110, "z")), crash(crashOf(120, "w")), crash(crashOf(140, "x")),
			}, []string{"x"}, 200, 1, Refuse,
		},
		{"a companion in both crashes, together", []step{crash(crashOf(0, "x", "s")), crash(crashOf(500, "x", "s"))}, []string{"x", "s"}, 600, 1, Refuse},
		{"a companion in both crashes, alone", []step{crash(crashOf(0, "x", "s")), crash(crashOf(500, "x", "s"))}, []string{"s"}, 600, 1, Probe},
		{"a companion in one crash of two", []step{crash(crashOf(0, "x", "s")), crash(crashOf(500, "x"))}, []string{"x", "r"}, 600, 1, Refuse},
		{"a companion that was answered", []step{crash(crashOf(0, "x", "s")), crash(crashOf(500, "x", "s")), served(600, "s")}, []string{"x", "r"}, 700, 1, Refuse},
		{"the quarantine has run out", []step{crash(crashOf(0, "x")), crash(crashOf(500, "x"))}, []string{"x"}, 500 + 120_001, 1, Probe},
		{"newer weights soon after", []step{crash(crashOf(0, "x")), crash(crashOf(500, "x"))}, []string{"x"}, 10_000, 2, Refuse},
		{"newer weights later", []step{crash(crashOf(0, "x")), crash(crashOf(500, "x"))}, []string{"x"}, 40_000, 2, Probe},
		{"lifted by hand", []step{crash(crashOf(0, "x")), crash(crashOf(500, "x")), func(t *Tracker) { t.Lift(parts("x"), at(600), at(600)) }}, []string{"x"}, 700, 1, Allow},
		{
			"probed by another", []step{crash(crashOf(0, "x")), func(t *Tracker) { t.LearnClaim(parts("x"), 7, at(5)) }}, []string{"x"}, 20, 1, Wait,
		},
		{
			"probed by another that has ended", []step{crash(crashOf(0, "x")), func(t *Tracker) { t.LearnClaim(parts("x"), 7, at(5)); t.Release(parts("x"), 7, at(6)) }},
			[]string{"x"}, 20, 1, Probe,
		},
		{
			"probed by another that was killed", []step{crash(crashOf(0, "x")), func(t *Tracker) { t.LearnClaim(parts("x"), 7, at(5)) }}, []string{"x"}, 10_000, 1, Probe,
		},
		{
			"restored", []step{func(t *Tracker) {
				t.Restore(Quarantine{Parts: parts("x"), Crashes: 2, LastCrash: at(0)}, at(10))
			}}, []string{"x"}, 20, 1, Refuse,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			tracker := NewTracker(epoch.Add(-time.Hour))
			for _, s := range c.steps {
				s(tracker)
			}
			if got := tracker.Check(parts(c.request...), c.weights, at(c.ms)); got.Verdict != c.want {
				t.Errorf("verdict %d with parts %v, want %d; quarantines %v", got.Verdict, got.Parts, c.want, tracker.Quarantines())
			}
		})
	}
}

// Guards against the incident of 2026-12-05 (LOST): the records of a set of parts and of one of them were taken for different crashes, and
// the other part was quarantined alone.
func TestRestoredSetDoesNotBlameOtherPart(t *testing.T) {
	set, single, other := parts("s", "x"), parts("x"), parts("s")
	for _, c := range []struct {
		name     string
		restored [][]Part
		request  []Part
		want     Verdict
	}{
		{"the other part", [][]Part{set, single}, parts("s", "y"), Probe},
		{"the other part, restored in another order", [][]Part{single, set}, parts("s", "y"), Probe},
		{"the recorded part", [][]Part{set, single}, parts("x", "y"), Refuse},
		{"both parts", [][]Part{set, single}, parts("s", "x"), Refuse},
		{"the other part, recorded as well", [][]Part{set, single, other}, parts("s", "y"), Refuse},
	} {
		t.Run(c.name, func(t *testing.T) {
			tracker := NewTracker(epoch)
			for _, restored := range c.restored {
				tracker.Restore(Quarantine{Parts: restored, Crashes: 2, LastCrash: at(0)}, at(10))
			}
			if got := tracker.Check(c.request, 1, at(20)); got.Verdict != c.want {
				t.Errorf("verdict %d with parts %v, want %d; quarantines %v", got.Verdict, got.Parts, c.want, tracker.Quarantines())
			}
		})
	}
}

// A quarantine must count as refuted only by an answer after its last crash: its record is deleted then, and restarted instances would send
// requests with a deadly part again.
func TestRefuted(t *testing.T) {
	both := []step{crash(crashOf(0, "s", "x")), crash(crashOf(500, "s", "x"))}
	for _, c := range []struct {
		name  string
		steps []step
		parts []Part
		want  bool
	}{
		{"no evidence", nil, parts("x"), false},
		{"no answer", both, parts("s", "x"), false},
		{"one part answered after the last crash", append(slices.Clone(both), served(600, "s")), parts("s", "x"), true},
		{"one part answered elsewhere", append(slices.Clone(both), peerServed(600, "s")), parts("s", "x"), true},
		{"the part that was not answered", append(slices.Clone(both), served(600, "s")), parts("x"), false},
		{"answered between the crashes", []step{crash(crashOf(0, "x")), served(100, "x"), crash(crashOf(500, "x"))}, parts("x"), false},
		{"another crash since", append(slices.Clone(both), served(600, "s"), crash(crashOf(700, "s", "x"))), parts("s", "x"), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			tracker := NewTracker(epoch.Add(-time.Hour))
			for _, s := range c.steps {
				s(tracker)
			}
			if got := tracker.Refuted(c.parts); got != c.want {
				t.Errorf("refuted %t, want %t", got, c.want)
			}
		})
	}
}

// Each further crash must lengthen the quarantine, so that a part that stays deadly costs ever fewer targets.
func TestQuarantineGrows(t *testing.T) {
	for crashes, want := range map[int]time.Duration{2: 2 * time.Minute, 3: 8 * time.Minute, 4: 32 * time.Minute, 5: time.Hour, 100: time.Hour} {
		if got := quarantineLength(crashes); got != want {
			t.Errorf("%v after %d crashes, want %v", got, crashes, want)
		}
	}
}

// Of two requests that claim the same probe, at this or different instances, exactly one must get it.
func TestOneProbeAtATime(t *testing.T) {
	a, b := NewTracker(epoch), NewTracker(epoch)
	if !a.Claim(parts("x"), 5, at(0)) || a.Claim(parts("x"), 6, at(1)) {
		t.Error("two requests of an instance hold the claim")
	}
	if !b.Claim(parts("x"), 3, at(0)) {
		t.Error("the other instance cannot claim before it has learned of the first claim")
	}
	a.LearnClaim(parts("x"), 3, at(2))
	b.LearnClaim(parts("x"), 5, at(2))
	if a.Holds(parts("x"), 5, at(3)) || !b.Holds(parts("x"), 3, at(3)) {
		t.Error("want the lower holder to keep the claim, and only that one")
	}
}

// A quarantine must not be forgotten because many targets crash for other reasons.
func TestCrashesDoNotEndQuarantines(t *testing.T) {
	tracker := NewTracker(epoch)
	tracker.LearnCrash(crashOf(0, "x"), 1, at(0))
	tracker.LearnCrash(crashOf(500, "x"), 1, at(500))
	for i := range 2 * maxCrashes {
		c := crashOf(1000+i*200, fmt.Sprint(i))
		tracker.LearnCrash(c, 1, c.At)
	}
	if got := tracker.Check(parts("x"), 1, at(60_000)).Verdict; got != Refuse {
		t.Errorf("verdict %d, want the part still quarantined", got)
	}
}

// Guards against two probes at a time: a claim that arrived before the release of the one before it was ignored, so that a third request claimed
// the probe as well.
func TestClaimBeforeReleaseOfAnotherIsKept(t *testing.T) {
	tracker := NewTracker(epoch)
	tracker.LearnCrash(crashOf(0, "x"), 1, at(0))
	tracker.LearnClaim(parts("x"), 3, at(0))
	tracker.LearnClaim(parts("x"), 9, at(150))
	tracker.Release(parts("x"), 3, at(151))
	if tracker.Claim(parts("x"), 20, at(160)) || tracker.Check(parts("x"), 1, at(160)).Verdict != Wait {
		t.Error("a third request may probe while the second one does")
	}
	tracker.Release(parts("x"), 9, at(300))
	if !tracker.Claim(parts("x"), 20, at(301)) {
		t.Error("the probe cannot be claimed after the release of all claims")
	}
}

// Guards against two probes at a time: messages are sent several times, and a repeated claim of a request that had ended replaced the
// claim of the one that was running.
func TestRepeatedClaimOfEndedProbeIsIgnored(t *testing.T) {
	tracker := NewTracker(epoch)
	tracker.LearnClaim(parts("x"), 3, at(0))
	tracker.Release(parts("x"), 3, at(100))
	tracker.LearnClaim(parts("x"), 9, at(150))
	tracker.LearnClaim(parts("x"), 3, at(250))
	if !tracker.Holds(parts("x"), 9, at(260)) {
		t.Error("a repeated claim replaced the running probe's")
	}
	tracker.LearnClaim(parts("x"), 5, at(400))
	if !tracker.Holds(parts("x"), 9, at(410)) {
		t.Error("a later claim with a lower holder replaced the running probe's")
	}
}

// Instances receive the same reports in different orders, some twice; they must come to the same verdicts.
func TestVerdictsDoNotDependOnOrder(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var crashes []Crash
		for i := range 12 {
			var ids []string
			for range 1 + rng.IntN(4) {
				ids = append(ids, fmt.Sprintf("p%d", rng.IntN(6)))
			}
			c := crashOf(i*rng.IntN(400), ids...)
			c.Incarnation = uint64(i)
			crashes = append(crashes, c)
		}
		var want string
		for order := range 5 {
			tracker := NewTracker(epoch)
			for _, i := range rng.Perm(len(crashes)) {
				for range 1 + rng.IntN(2) {
					tracker.LearnCrash(crashes[i], 1, at(10_000))
				}
			}
			got := fmt.Sprint(tracker.Quarantines(), tracker.SuspectCount())
			if order == 0 {
				want = got
			} else if got != want {
				t.Fatalf("seed %d: %s, in another order %s", seed, got, want)
			}
		}
	}
}

// Whatever parts callers name, and however many targets crash, memory must stay bounded.
func TestMemoryIsBounded(t *testing.T) {
	tracker := NewTracker(epoch)
	for i := range 300 {
		c := crashOf(i * 200)
		for j := range 60 {
			c.Suspects = append(c.Suspects, Suspect{Part: part(fmt.Sprintf("%d-%d", i, j)), Request: uint32(j)})
		}
		tracker.LearnCrash(c, 1, c.At)
		tracker.RecordServed(parts(fmt.Sprintf("other-%d", i)), c.At)
		tracker.LearnClaim(parts(fmt.Sprintf("claim-%d", i)), uint64(i), c.At)
	}
	if len(tracker.crashes) > maxCrashes || len(tracker.clearedAt) > maxCrashes*maxSuspects || len(tracker.versions) > maxCrashes*maxSuspects || len(tracker.claims) > 100 {
		t.Errorf("%d crashes, %d answered parts, %d versions, %d claims", len(tracker.crashes), len(tracker.clearedAt), len(tracker.versions), len(tracker.claims))
	}
	for _, e := range tracker.crashes {
		if len(e.suspects) > maxSuspects {
			t.Fatalf("%d suspects of one crash", len(e.suspects))
		}
	}
}

// A quarantine must survive in the metadata store with its parts, crashes and time, and an operator's lifting must end it until the next
// crash.
func TestRecordRoundTrip(t *testing.T) {
	q := Quarantine{Parts: parts("x", "y"), Crashes: 3, LastCrash: at(0), Until: at(0).Add(quarantineLength(3)), WeightVersion: 4}
	record := NewRecord(q, "i1")
	if got := record.Quarantine(at(1000)); !got.Until.Equal(q.Until) || got.Crashes != 3 || got.WeightVersion != 4 || !slices.Equal(got.Parts, q.Parts) {
		t.Errorf("restored as %+v, want %+v", got, q)
	}
	if record.LiftedMs = at(5).UnixMilli(); !record.Lifted() {
		t.Error("a record that was lifted after its last crash does not count as lifted")
	}
	if record.LastCrashMs = at(10).UnixMilli(); record.Lifted() {
		t.Error("a crash after the lifting does not end it")
	}
	for _, raw := range []string{``, `{}`, `{"parts":[{"m":"m","p":""}],"crashes":2}`, `{"parts":[{"m":"m","p":"x"}],"crashes":0}`, `[1]`} {
		if _, err := ParseRecord([]byte(raw)); err == nil {
			t.Errorf("malformed record %q accepted", raw)
		}
	}
	if got := (&Record{Parts: parts("x"), Crashes: 2, LastCrashMs: at(1 << 30).UnixMilli()}).Quarantine(at(0)); got.LastCrash.After(at(0)) {
		t.Errorf("a record of an instance whose clock is ahead puts the last crash at %v", got.LastCrash)
	}
}

// A message must arrive as it was sent, and a malformed one must be rejected without a crash.
func TestMessages(t *testing.T) {
	c := crashOf(0, "a", "b", "c", "d", "e", "f", "g", "h", "i", "j")
	c.Suspects[1].ServedAt, c.Suspects[2].Weak = at(-1500), true
	var got Crash
	for _, m := range c.Report(3, at(100)) {
		raw, err := m.Encode()
		if err != nil || len(raw) > 1400 {
			t.Fatalf("%d bytes, %v", len(raw), err)
		}
		parsed, err := Parse(raw)
		if err != nil {
			t.Fatal(err)
		}
		part := parsed.Crash.Crash(at(100))
		got.Incarnation, got.At, got.Suspects = part.Incarnation, part.At, append(got.Suspects, part.Suspects...)
	}
	if fmt.Sprint(got) != fmt.Sprint(c) {
		t.Errorf("received %v, sent %v", got, c)
	}
	for _, raw := range []string{"", "K", "K{", "K[]", `K{"c":{"i":1,"a":-1}}`, `K{"c":{"s":[{"m":"m"}]}}`, `K{"s":[{"p":"x","a":-5}]}`, `K{"l":{"s":[{"p":""}]}}`, "Q{}"} {
		if _, err := Parse([]byte(raw)); err == nil {
			t.Errorf("malformed message %q accepted", raw)
		}
	}
}
