package once

import (
	"maps"
	"slices"
	"strings"
	"testing"
	"time"
)

// newTestLedger returns a ledger of target a, for its first incarnation unless edit changes that.
func newTestLedger(homes *Homes, edit func(*Options)) *Ledger {
	o := Options{
		Target: "a", Incarnation: 7, Started: epoch, FirstIncarnation: true, RetryWindow: testWindow, Skew: testSkew,
		MaxTransit: testTransit, MaxPropagation: testPropagation, MaxKeys: 3, MaxBytes: 100,
	}
	if edit != nil {
		edit(&o)
	}
	if homes == nil {
		homes = NewHomes(Generation{Revision: 1, Targets: []string{"a"}})
	}
	return NewLedger(o, homes)
}

func testKey(id string) Key { return Key{Workspace: "w", Service: testService, ID: id} }

func atOffset(d time.Duration) time.Time { return epoch.Add(d) }

// wantVerdict begins a request that was read at one time and arrives at another, and fails the test if the verdict is
// not v.
func wantVerdict(t *testing.T, l *Ledger, id string, read, now time.Duration, v Verdict) Result {
	t.Helper()
	r := l.Begin(BeginRequest{Key: testKey(id), ReadAt: atOffset(read), Fingerprint: [32]byte{1}}, atOffset(now))
	if r.Verdict != v {
		t.Fatalf("key %.20s read at %v, begun at %v: %s, want %s", id, read, now, r.Verdict, v)
	}
	return r
}

// A key is kept while callers may repeat it, and also when it is still running after its retention. A full ledger
// refuses new keys and fences instead of dropping such keys.
func TestLedgerNeverForgetsALiveKey(t *testing.T) {
	l := newTestLedger(nil, nil)
	for _, id := range []string{"k1", "k2", "k3"} {
		wantVerdict(t, l, id, 0, 0, Run)
	}
	if r := wantVerdict(t, l, "k4", time.Second, time.Second, Full); r.RetryAfter <= 0 {
		t.Error("a full ledger returned no RetryAfter")
	}
	if a := l.Fence(FenceRequest{Key: testKey("k5"), NewHome: "b", Revision: 2, ReadAt: atOffset(time.Second)}, atOffset(time.Second)); a.State != StateUnknown {
		t.Errorf("a full ledger promised a fence that it cannot record: state %d", a.State)
	}
	l.Finish(testKey("k2"), nil)
	l.Abort(testKey("k3"))
	wantVerdict(t, l, "k3", 2*time.Second, 2*time.Second, Run)
	// The last repetition within the window may take MaxTransit, with both clocks off by Skew.
	late := testWindow + testTransit + testSkew
	wantVerdict(t, l, "k2", testWindow, late, Ran)
	// k1 still runs after its retention and is kept; k2 is dropped, which leaves room for k4.
	past := late + 2*testSkew + time.Second
	wantVerdict(t, l, "k1", past, past, InProgress)
	wantVerdict(t, l, "k4", past, past, Run)
}

func TestLedgerRefusals(t *testing.T) {
	l := newTestLedger(nil, nil)
	wantVerdict(t, l, "", 0, 0, Invalid)
	wantVerdict(t, l, strings.Repeat("x", MaxIDBytes+1), 0, 0, Invalid)
	wantVerdict(t, l, "k", 2*time.Second, 0, Invalid)
	wantVerdict(t, l, timedID(atOffset(testSkew+time.Millisecond), 1), 0, 0, Invalid)
	wantVerdict(t, l, timedID(atOffset(-testWindow-time.Millisecond), 1), 0, 0, Expired)
	wantVerdict(t, l, "k", 0, testTransit+testSkew+1, Stale)
	wantVerdict(t, l, "k", 0, 0, Run)
	l.Finish(testKey("k"), &Answer{Body: []byte("done")})
	r := l.Begin(BeginRequest{Key: testKey("k"), ReadAt: atOffset(0), Fingerprint: [32]byte{2}}, atOffset(0))
	if r.Verdict != Mismatch {
		t.Errorf("other request under the same key: %s", r.Verdict)
	}
	l.Close()
	wantVerdict(t, l, "new", 0, 0, Closed)
	wantVerdict(t, l, "k", 0, 0, Replay)
}

// The oldest answers are dropped when the stored answers exceed MaxBytes; their keys stay.
func TestLedgerBoundsAnswers(t *testing.T) {
	l := newTestLedger(nil, func(o *Options) { o.MaxKeys = 10 })
	for i, id := range []string{"k0", "k1", "k2", "k3", "k4", "k5"} {
		wantVerdict(t, l, id, 0, 0, Run)
		l.Finish(testKey(id), &Answer{Body: make([]byte, 20+i)})
	}
	wantVerdict(t, l, "k0", 0, 0, Ran)
	wantVerdict(t, l, "k5", 0, 0, Replay)
	if l.answerBytes > 100 {
		t.Errorf("%d bytes stored, bound 100", l.answerBytes)
	}
}

// A ticket runs only at the incarnation that it names, and only for the workspace that it was issued to.
func TestTicketNamesOneIncarnation(t *testing.T) {
	// A ticket runs whatever the homes are and whatever an earlier incarnation may have run.
	l := newTestLedger(NewHomes(Generation{Targets: []string{"b"}}), func(o *Options) { o.FirstIncarnation = false })
	ticket := Ticket{Target: "a", Incarnation: 7, Workspace: "w", Minted: epoch, Nonce: [8]byte{9}}
	wantVerdict(t, l, ticket.String(), 0, 0, Run)
	for _, wrong := range []Ticket{
		{Target: "b", Incarnation: 7, Workspace: "w", Minted: epoch},
		{Target: "a", Incarnation: 6, Workspace: "w", Minted: epoch},
		{Target: "a", Incarnation: 7, Workspace: "v", Minted: epoch},
	} {
		wantVerdict(t, l, wrong.String(), 0, 0, WrongIncarnation)
	}
}

// A successor without the handover must not run keys of its predecessor; with it, it replays their answers and runs new
// keys. An open ledger, too few bytes and a handover of the same incarnation are errors.
func TestHandover(t *testing.T) {
	old := newTestLedger(nil, func(o *Options) { o.MaxKeys = 10 })
	wantVerdict(t, old, "ran", 0, 0, Run)
	old.Finish(testKey("ran"), &Answer{Body: []byte("done")})
	if _, err := old.Export(atOffset(0), 1<<20); err == nil {
		t.Fatal("an open ledger was exported")
	}
	old.Close()
	if _, err := old.Export(atOffset(0), 10); err == nil {
		t.Fatal("keys were exported in 10 bytes")
	}
	b, err := old.Export(atOffset(0), 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	if err := newTestLedger(nil, nil).Adopt(b, atOffset(0)); err == nil {
		t.Error("an incarnation adopted its own handover")
	}
	next := newTestLedger(nil, func(o *Options) {
		o.Incarnation, o.FirstIncarnation, o.MaxKeys, o.HandoverWait = 8, false, 10, testHandoverWait
	})
	wantVerdict(t, next, "ran", 0, 0, OutcomeUnknown)
	if err := next.Adopt(b, atOffset(0)); err != nil {
		t.Fatal(err)
	}
	wantVerdict(t, next, "ran", 0, 0, Replay)
	wantVerdict(t, next, "new", 0, 0, Run)
	// The successor's clock may be ahead by Skew.
	kept := old.retention() + testSkew - 1
	if next.expire(atOffset(kept)); next.keys[testKey("ran")] == nil {
		t.Error("a key from the handover was dropped too early")
	}
}

// TestHandoverToALongerWindow: a successor with a longer retry window must not run a key again that its predecessor
// dropped after the shorter one.
func TestHandoverToALongerWindow(t *testing.T) {
	const longer = 10 * testWindow
	old := newTestLedger(nil, nil)
	wantVerdict(t, old, "forgotten", 0, 0, Run)
	old.Finish(testKey("forgotten"), nil)
	stop := 2*testWindow + time.Second
	wantVerdict(t, old, "held", stop-time.Second, stop-time.Second, Run)
	old.Finish(testKey("held"), nil)
	old.Close()
	b, err := old.Export(atOffset(stop), 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	next := newTestLedger(nil, func(o *Options) {
		o.Incarnation, o.FirstIncarnation, o.HandoverWait, o.Started, o.RetryWindow = 8, false, testHandoverWait, atOffset(stop), longer
	})
	if err := next.Adopt(b, atOffset(stop)); err != nil {
		t.Fatal(err)
	}
	wantVerdict(t, next, "forgotten", stop, stop, OutcomeUnknown)
	wantVerdict(t, next, "held", longer, longer, Ran)
	wantVerdict(t, next, "new", stop+longer, stop+longer, Run)
}

// TestOldHandoverIsNotTrusted: another incarnation may have run keys between an old handover and this start.
func TestOldHandoverIsNotTrusted(t *testing.T) {
	old := newTestLedger(nil, nil)
	old.Close()
	b, err := old.Export(atOffset(0), 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	for age, verdict := range map[time.Duration]Verdict{
		testHandoverWait - testSkew - time.Millisecond: Run, testHandoverWait - testSkew: OutcomeUnknown,
	} {
		next := newTestLedger(nil, func(o *Options) {
			o.Incarnation, o.FirstIncarnation, o.HandoverWait, o.Started = 8, false, testHandoverWait, atOffset(age)
		})
		if err := next.Adopt(b, atOffset(age)); err != nil {
			t.Fatal(err)
		}
		wantVerdict(t, next, "k", age, age, verdict)
	}
	fresh := newTestLedger(nil, func(o *Options) { o.FirstIncarnation, o.HandoverWait = false, testHandoverWait })
	id := timedID(atOffset(testHandoverWait-time.Second), 1)
	wantVerdict(t, fresh, id, testHandoverWait-time.Second, testHandoverWait-time.Second, OutcomeUnknown)
	wantVerdict(t, fresh, id, testHandoverWait, testHandoverWait, Run)
	fresh = newTestLedger(nil, func(o *Options) { o.FirstIncarnation, o.HandoverWait = false, testHandoverWait })
	fresh.NoHandover()
	wantVerdict(t, fresh, id, testHandoverWait-time.Second, testHandoverWait-time.Second, Run)
}

// A key runs at its home only if the history of homes proves that no earlier home can have run it.
func TestHistoryOfHomes(t *testing.T) {
	gen := func(revision uint64, began time.Duration, targets ...string) Generation {
		return Generation{Revision: revision, Began: atOffset(began), NotBefore: atOffset(began), Targets: targets}
	}
	origin := Generation{Revision: 1, Targets: []string{"b"}}
	late := func(o *Options) { o.FirstIncarnation = false }

	// The homes before the oldest known generation are not known.
	l := newTestLedger(NewHomes(gen(2, time.Second, "a")), nil)
	wantVerdict(t, l, "k", 2*time.Second, 2*time.Second, OutcomeUnknown)
	wantVerdict(t, l, timedID(atOffset(time.Second+testPropagation), 1), 5*time.Second, 5*time.Second, OutcomeUnknown)
	wantVerdict(t, l, timedID(atOffset(5*time.Second), 1), 5*time.Second, 5*time.Second, Run)

	// When a key returns to this home, the target that had fenced it is queried even if the history no longer contains
	// it.
	l = newTestLedger(NewHomes(Generation{Revision: 1, Targets: []string{"a"}}), nil)
	fence := FenceRequest{Key: testKey("k"), NewHome: "b", Revision: 2, ReadAt: atOffset(0)}
	if a := l.Fence(fence, atOffset(0)); a.State != StateNone {
		t.Fatalf("fence of an unused key: state %d", a.State)
	}
	wantVerdict(t, l, "k", 0, 0, NotHome)
	l.SetHomes(NewHomes(gen(3, time.Second, "a"), Generation{Revision: 1, Targets: []string{"a"}}))
	r := wantVerdict(t, l, "k", 0, 0, FenceEarlier)
	if len(r.FenceTargets) != 1 || r.FenceTargets[0] != "b" {
		t.Errorf("asks %v, want b", r.FenceTargets)
	}
	if a := l.Fence(fence, atOffset(0)); a.State != StateUnknown {
		t.Errorf("a fence request of an older revision got state %d", a.State)
	}

	// An answer fetched before the key was fenced in this ledger is void.
	l = newTestLedger(NewHomes(gen(2, 0, "a"), origin), nil)
	r = wantVerdict(t, l, "k", 0, 0, FenceEarlier)
	l.Fence(FenceRequest{Key: testKey("k"), NewHome: "b", Revision: 3, ReadAt: atOffset(0)}, atOffset(0))
	l.SetHomes(NewHomes(gen(4, 0, "a"), gen(3, 0, "b"), gen(2, 0, "a"), origin))
	again := l.Begin(BeginRequest{
		Key: testKey("k"), ReadAt: atOffset(0), Fingerprint: [32]byte{1}, Token: r.Token, FenceResults: []FenceResult{{Target: "b"}},
	}, atOffset(0))
	if again.Verdict != FenceEarlier {
		t.Errorf("an answer older than the fence was accepted: %s", again.Verdict)
	}

	// A target that became home within this incarnation can take the key for new only if it was not home before.
	answered := func(l *Ledger) Verdict {
		return l.Begin(BeginRequest{
			Key: testKey("k"), ReadAt: atOffset(3 * time.Second), Fingerprint: [32]byte{1}, FenceResults: []FenceResult{{Target: "b"}},
		}, atOffset(3*time.Second)).Verdict
	}
	if v := answered(newTestLedger(NewHomes(gen(2, 2*time.Second, "a"), origin), late)); v != Run {
		t.Errorf("home for the first time: %s, want run", v)
	}
	// The time at which a generation was learned does not prove when it began: an earlier incarnation may have been
	// home.
	learned := gen(2, 2*time.Second, "a")
	learned.NotBefore = time.Time{}
	if v := answered(newTestLedger(NewHomes(learned, origin), late)); v != OutcomeUnknown {
		t.Errorf("home for the first time, learned late: %s, want outcome unknown", v)
	}
	first := Generation{Revision: 1, Targets: []string{"a"}}
	if v := answered(newTestLedger(NewHomes(gen(3, 2*time.Second, "a"), gen(2, time.Second, "b"), first), late)); v != OutcomeUnknown {
		t.Errorf("home for the second time: %s, want outcome unknown", v)
	}
}

// After a missed revision the homes before it are not known, so a key without a creation time must not run on the
// strength of the history alone.
func TestMissedRevisionsEndTheHistory(t *testing.T) {
	settled := func(string, uint64) bool { return true }
	gen := func(revision uint64, began time.Duration, targets ...string) Generation {
		return Generation{Revision: revision, Began: atOffset(began), Targets: targets}
	}
	h := NewHomes(Generation{Revision: 5, Targets: []string{"a"}})
	step := h.Advance(gen(6, time.Second, "a"), atOffset(time.Second), testWindow, settled)
	missed := h.Advance(gen(7, time.Second, "a"), atOffset(time.Second), testWindow, settled)
	wantVerdict(t, newTestLedger(step, nil), "k", 2*time.Second, 2*time.Second, Run)
	wantVerdict(t, newTestLedger(missed, nil), "k", 2*time.Second, 2*time.Second, OutcomeUnknown)

	// A successor inherits the history of its predecessor, unless a revision between the two was missed.
	for revision, verdict := range map[uint64]Verdict{5: Run, 6: Run, 7: OutcomeUnknown} {
		old := newTestLedger(h, nil)
		old.Close()
		b, err := old.Export(atOffset(0), 1<<20)
		if err != nil {
			t.Fatal(err)
		}
		start := NewHomes(gen(revision, time.Second, "a"))
		next := newTestLedger(start, func(o *Options) { o.Incarnation, o.FirstIncarnation, o.HandoverWait = 8, false, testHandoverWait })
		if err := next.Adopt(b, atOffset(time.Second)); err != nil {
			t.Fatal(err)
		}
		next.SetHomes(start)
		wantVerdict(t, next, "k", 2*time.Second, 2*time.Second, verdict)

		// With few declared targets all of them are queried for the missed revisions.
		declared := gen(revision, time.Second, "a")
		declared.Declared = []string{"a", "b", "c"}
		next.SetHomes(NewHomes().Advance(declared, atOffset(time.Second), testWindow, settled))
		if verdict == Run {
			wantVerdict(t, next, "l", 2*time.Second, 2*time.Second, Run)
			continue
		}
		if r := wantVerdict(t, next, "l", 2*time.Second, 2*time.Second, FenceEarlier); len(r.FenceTargets) != 2 {
			t.Errorf("asks %v, want b and c", r.FenceTargets)
		}
	}
}

// TestUnsettledHomesStayInTheHistory: a target that may still act on an old generation stays in the history however old
// the generation is.
func TestUnsettledHomesStayInTheHistory(t *testing.T) {
	for _, settled := range []bool{true, false} {
		ackedAll := func(string, uint64) bool { return settled }
		h := NewHomes(Generation{Revision: 1, Targets: []string{"b"}})
		h = h.Advance(Generation{Revision: 2, Began: atOffset(0), Targets: []string{"a"}}, atOffset(0), testWindow, ackedAll)
		h = h.Advance(Generation{Revision: 3, Began: atOffset(0), Targets: []string{"a"}}, atOffset(testWindow), testWindow, ackedAll)
		if n := len(h.EarlierHomes(testKey("k"), "a")); n != 1 {
			t.Errorf("%d earlier homes within the window, want 1", n)
		}
		h = h.Advance(Generation{Revision: 4, Targets: []string{"a"}}, atOffset(testWindow+1), testWindow, ackedAll)
		if n := len(h.EarlierHomes(testKey("k"), "a")); (n == 0) != settled {
			t.Errorf("settled %t: %d earlier homes after the window", settled, n)
		}
	}
}

// Recorded generations are joined to the known ones; a gap between the two, or a record that does not go back far
// enough, is filled with a generation for the missed revisions.
func TestWithRecorded(t *testing.T) {
	const horizon = time.Hour
	all := []string{"a", "b", "c"}
	recent := []Generation{
		{Revision: 9, Began: atOffset(0), Targets: []string{"a"}},
		{Revision: 7, Began: atOffset(-time.Minute), Targets: []string{"b"}, Declared: all},
	}
	whole := slices.Clone(recent)
	whole[1].Began = time.Time{}
	long := slices.Clone(recent)
	long[1].Began = atOffset(-2 * horizon)
	over := []Generation{{Revision: 9, Began: atOffset(-horizon - 1), Targets: []string{"a"}}, recent[1]}
	known := func(revision uint64, until uint64) *Homes {
		h := NewHomes(Generation{Revision: revision, Began: atOffset(-2 * horizon), Targets: []string{"c"}})
		h.revision = until
		return h
	}
	for _, tc := range []struct {
		name   string
		known  *Homes
		record []Generation
		want   []string // earlier homes, newest first
	}{
		{"from the beginning of the service", NewHomes(), whole, []string{"b"}},
		{"as far back as it matters", NewHomes(), long, []string{"b"}},
		{"begun too late", NewHomes(), recent, all[1:]},
		{"over", NewHomes(), over, nil},
		{"joins what was known", known(3, 6), recent, []string{"b", "c"}},
		{"older ones that were known are not over", known(3, 8), over, []string{"c"}},
		{"revisions missed in between", known(3, 5), recent, []string{"b", "c"}},
		{"revisions missed before a whole record", known(3, 5), long, []string{"b", "c"}},
	} {
		h := tc.known.WithRecorded(tc.record, 9, atOffset(0), horizon)
		got := h.EarlierHomes(testKey("k"), "a")
		if !slices.Equal(got, tc.want) {
			t.Errorf("%s: earlier homes %v, want %v", tc.name, got, tc.want)
		}
	}
	missed := known(3, 5).WithRecorded(recent, 9, atOffset(0), horizon).Generations()
	if last := missed[len(missed)-1]; !last.Any {
		t.Errorf("missed revisions: the oldest generation is %+v", last)
	}
	if g := known(9, 9).WithRecorded(recent, 9, atOffset(0), horizon).Current(); !g.Began.Equal(atOffset(-2 * horizon)) {
		t.Errorf("a generation known earlier began at %v", g.Began)
	}
}

// FormerHomes returns for each earlier home the revision since which it is no longer home of keys of this target.
func TestFormerHomes(t *testing.T) {
	h := NewHomes(
		Generation{Revision: 9, Targets: []string{"a", "b"}},
		Generation{Revision: 7, Targets: []string{"a", "b", "c"}},
		Generation{Revision: 5, Targets: []string{"b", "c", "d"}},
		Generation{Revision: 3, Targets: []string{"a", "e"}},
	)
	want := map[string]uint64{"b": 7, "c": 9, "d": 7, "e": 5}
	if got := h.FormerHomes("a"); !maps.Equal(got, want) {
		t.Errorf("former homes %v, want %v", got, want)
	}
	if got := h.FormerHomes("c"); got["c"] != 0 {
		t.Errorf("a drained target is its own former home: %v", got)
	}
}

// TestMissedRevisionsAndKnownOnes: known generations still count beside a generation for missed revisions.
func TestMissedRevisionsAndKnownOnes(t *testing.T) {
	settled := func(string, uint64) bool { return true }
	g := Generation{Revision: 9, Began: atOffset(time.Second), NotBefore: atOffset(time.Second), Targets: []string{"a"}, Declared: []string{"a"}}
	// Homes known from before the gap are queried, even if they are no longer declared.
	homes := NewHomes(Generation{Revision: 5, Targets: []string{"b"}}).Advance(g, atOffset(time.Second), testWindow, settled)
	if ask := homes.EarlierHomes(testKey("k"), "a"); len(ask) != 1 || ask[0] != "b" {
		t.Errorf("asks %v, want b", ask)
	}
	present := func(l *Ledger, id string, b FenceResult) Verdict {
		b.Target = "b"
		p := BeginRequest{Key: testKey(id), ReadAt: atOffset(6 * time.Second), FenceResults: []FenceResult{b}}
		return l.Begin(p, atOffset(6*time.Second)).Verdict
	}
	// An earlier incarnation of this target may have been home under the missed revisions.
	crashed := newTestLedger(homes, func(o *Options) { o.FirstIncarnation = false })
	if v := present(crashed, "k", FenceResult{}); v != OutcomeUnknown {
		t.Errorf("own earlier incarnation: %s", v)
	}
	// A home under a known revision must answer; being unreachable is no proof.
	missed := Generation{Revision: 4, Any: true, Targets: []string{"a", "b"}}
	known := Generation{Revision: 5, Began: atOffset(time.Second), Targets: []string{"b"}}
	l := newTestLedger(NewHomes(g, known, missed), nil)
	if v := present(l, timedID(atOffset(6*time.Second), 1), FenceResult{State: StateUnknown, Unreachable: true}); v != OutcomeUnknown {
		t.Errorf("unreachable known home: %s", v)
	}
}

// TestUnreachableUnderMissedRevisions: a key first used after the later revision has reached every target cannot run at
// an unreachable home under missed revisions.
func TestUnreachableUnderMissedRevisions(t *testing.T) {
	g := Generation{Revision: 9, Began: atOffset(time.Second), Targets: []string{"a"}, Declared: []string{"a", "b"}}
	homes := NewHomes().Advance(g, atOffset(time.Second), testWindow, func(string, uint64) bool { return true })
	late := 5 * time.Second
	for _, c := range []struct {
		created     time.Duration
		unreachable bool
		want        Verdict
	}{
		{late, true, Run}, {late, false, OutcomeUnknown}, {time.Second + testPropagation, true, OutcomeUnknown},
	} {
		l := newTestLedger(homes, nil)
		r := l.Begin(BeginRequest{
			Key: testKey(timedID(atOffset(c.created), 1)), ReadAt: atOffset(late),
			FenceResults: []FenceResult{{Target: "b", State: StateUnknown, Unreachable: c.unreachable}},
		}, atOffset(late))
		if r.Verdict != c.want {
			t.Errorf("created at %v, unreachable %t: %s, want %s", c.created, c.unreachable, r.Verdict, c.want)
		}
	}
}

// A fence is answered with StateNone only if the ledger covers the time of the key, also when it is repeated.
func TestFenceCertifiesOnlyWhatIsKnown(t *testing.T) {
	l := newTestLedger(nil, func(o *Options) { o.FirstIncarnation = false })
	for id, state := range map[string]State{"untimed": StateUnknown, timedID(atOffset(2*time.Second), 1): StateNone} {
		for range 2 {
			a := l.Fence(FenceRequest{Key: testKey(id), NewHome: "b", Revision: 2, ReadAt: atOffset(2 * time.Second)}, atOffset(2*time.Second))
			if a.State != state {
				t.Errorf("fence of %.20s: state %d, want %d", id, a.State, state)
			}
		}
		wantVerdict(t, l, id, 2*time.Second, 2*time.Second, NotHome)
	}
}

// TestNoUnknownWithoutFaults: without a fault no key gets an unknown outcome, whichever target is its home.
func TestNoUnknownWithoutFaults(t *testing.T) {
	homes := NewHomes(Generation{Revision: 1, Targets: []string{"a", "b", "c"}})
	for i := range 200 {
		id := timedID(atOffset(time.Minute), i)
		home := homes.HomeOf(testKey(id))
		l := newTestLedger(homes, func(o *Options) { o.Target, o.FirstIncarnation = home, false })
		wantVerdict(t, l, id, time.Minute, time.Minute, Run)
		l.Finish(testKey(id), &Answer{Status: 200})
		wantVerdict(t, l, id, 70*time.Second, 70*time.Second, Replay)
	}
}

func TestTimeOf(t *testing.T) {
	for _, c := range []struct {
		id    string
		ms    int64
		timed bool
	}{
		{"01890a5d-ac96-774b-bcce-b302099a8057", 0x01890a5dac96, true},
		{"f81d4fae-7dec-11d0-a765-00a0c91e6bf6", 0, false},
		{"01ARZ3NDEKTSV4RRFFQ69G5FAV", 1469922850259, true},
		{"01arz3ndektsv4rrffq69g5fav", 1469922850259, true},
		{"01ARZ3NDEKTSV4RRFFQ69G5FAU", 0, false},
		{"booking-17", 0, false},
	} {
		got, timed := CreationTime(c.id)
		if timed != c.timed || timed && got.UnixMilli() != c.ms {
			t.Errorf("CreationTime(%s) = %d, %t", c.id, got.UnixMilli(), timed)
		}
	}
}

func FuzzTicket(f *testing.F) {
	f.Add(Ticket{Target: "a", Incarnation: 7, Workspace: "w", Minted: epoch}.String())
	f.Add("egt1.AAAA")
	f.Fuzz(func(t *testing.T, id string) {
		ticket, err := ParseTicket(id)
		if err != nil {
			return
		}
		if BoundTo(id, "w") {
			ticket.Workspace = "w"
			if ticket.String() != id {
				t.Errorf("%q is encoded as %q again", id, ticket.String())
			}
		}
	})
}

// TestFingerprintComesLater begins keys whose request body is still to come. Without both fingerprints nothing is
// compared, and a replay returns the fingerprint with which the caller must compare the body.
func TestFingerprintComesLater(t *testing.T) {
	l := newTestLedger(nil, nil)
	present := func(fingerprint [32]byte) Result {
		return l.Begin(BeginRequest{Key: testKey("k"), ReadAt: atOffset(0), Fingerprint: fingerprint}, atOffset(0))
	}
	one, two, later := [32]byte{1}, [32]byte{2}, [32]byte{}
	if r := present(later); r.Verdict != Run {
		t.Fatal(r.Verdict)
	}
	for _, f := range [][32]byte{one, two, later} {
		if r := present(f); r.Verdict != InProgress {
			t.Errorf("while the request runs: %v", r.Verdict)
		}
	}
	l.Identify(testKey("k"), one)
	l.Finish(testKey("k"), &Answer{Body: []byte("done")})
	l.Identify(testKey("k"), two) // ignored: the request has finished
	if r := present(later); r.Verdict != Replay || r.Fingerprint != one {
		t.Errorf("body to come: %v, %v", r.Verdict, r.Fingerprint)
	}
	if r := present(one); r.Verdict != Replay {
		t.Errorf("same request: %v", r.Verdict)
	}
	if r := present(two); r.Verdict != Mismatch {
		t.Errorf("other request: %v", r.Verdict)
	}
}
