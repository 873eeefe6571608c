package attempt

import (
	"errors"
	"testing"

	"pgregory.net/rapid"

	"github.com/egrethoist/egrethoist/internal/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m, rapidtest.Setting{Flag: "checks", Value: "3000"}) }

// attemptAfter returns an attempt after the given events, which must all be allowed.
func attemptAfter(t *testing.T, events ...Event) *Attempt {
	t.Helper()
	a := new(Attempt)
	for _, e := range events {
		if err := a.Apply(e); err != nil {
			t.Fatal(err)
		}
	}
	return a
}

// TestNext lists the action after each way in which an attempt can end, for each kind of call.
func TestNext(t *testing.T) {
	once := Request{Call: CallOnce, MayRetry: true}
	keyed := Request{Call: CallOnce, Keyed: true, MayRetry: true}
	again := Request{Call: CallRepeatable, MayRetry: true}
	model := Request{Call: CallModel, MayRetry: true}
	started := func(r Request) Request { r.Started = true; return r }
	last := func(r Request) Request { r.MayRetry = false; return r }
	for _, c := range []struct {
		name   string
		events []Event
		want   map[Request]Action
	}{
		{"dial failed", []Event{DialFailed}, map[Request]Action{
			once: RetryAny, keyed: RetrySame, again: RetryAny, model: RetryAny, started(model): Resume,
			last(once): AnswerNotRun, last(again): AnswerNotRun, last(started(model)): AnswerBroken,
		}},
		{"refused", []Event{Sent, PeerRefused}, map[Request]Action{
			once: RetryAny, keyed: RetrySame, again: RetryAny, model: RetryAny, last(keyed): AnswerNotRun,
		}},
		{"connection lost after sending", []Event{Sent, LinkLost}, map[Request]Action{
			once: AnswerUnknown, keyed: RetrySame, again: RetryAny, model: RetryAny, last(keyed): AnswerUnknown,
			last(again): AnswerUnknown,
		}},
		{"accepted, then proved not to have run", []Event{Sent, PeerAccepted, FailedNotRun}, map[Request]Action{
			once: RetryAny, keyed: RetrySame, last(once): AnswerNotRun,
		}},
		{"accepted, then unknown", []Event{Sent, PeerAccepted, FailedUnknown}, map[Request]Action{
			once: AnswerUnknown, keyed: RetrySame, again: RetryAny,
		}},
		{"timed out before an answer", []Event{Sent, PeerAccepted, TimedOut}, map[Request]Action{last(once): AnswerUnknown}},
		{"connection lost during the answer", []Event{Sent, PeerAccepted, HeadReceived, PieceReceived, LinkLost}, map[Request]Action{
			started(once): AnswerBroken, started(keyed): AnswerBroken, started(again): AnswerBroken, started(model): Resume,
			once: AnswerUnknown, last(started(model)): AnswerBroken,
		}},
		{"whole", []Event{Sent, PeerAccepted, HeadReceived, EndReceived}, map[Request]Action{once: Deliver, model: Deliver}},
		{"caller gone", []Event{Sent, Cancelled}, map[Request]Action{once: Drop, model: Drop}},
	} {
		for r, want := range c.want {
			if got := Next(attemptAfter(t, c.events...), r); got != want {
				t.Errorf("%s, %+v: %s, want %s", c.name, r, got, want)
			}
		}
	}
}

// "Not run" must not be answered if an earlier attempt of the same request may have run.
func TestEarlierAttemptsCount(t *testing.T) {
	r := Request{Call: CallOnce, Earlier: PerhapsRun}
	if got := Next(attemptAfter(t, DialFailed), r); got != AnswerUnknown {
		t.Errorf("action %s although an earlier attempt may have run", got)
	}
}

// TestNotRunIsNeverClaimedOfARun draws sequences of events and whether the target really ran the request. A request
// that ran must never be answered with "not run" nor sent to another target.
func TestNotRunIsNeverClaimedOfARun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := new(Attempt)
		sent, ran := false, false
		for range rapid.IntRange(1, 8).Draw(t, "n") {
			e := Event(rapid.IntRange(0, int(Cancelled)).Draw(t, "event"))
			sent = sent || e == Sent
			// The peers follow the protocol: a sign of a run comes only after the request was sent, and a denial only
			// if it did not run.
			signOfRun := e == HeadReceived || e == PieceReceived || e == EndReceived || e == FailedRan
			denial := e == PeerRefused || e == FailedNotRun
			if signOfRun && !sent || denial && ran {
				continue
			}
			ran = ran || signOfRun || sent && !a.Ended() && !denial && rapid.Bool().Draw(t, "ran")
			wasEnded := a.Ended()
			var refused *TransitionError
			if err := a.Apply(e); wasEnded && !errors.As(err, &refused) {
				t.Fatalf("event %s after the end: %v", e, err)
			}
			if a.Ended() {
				break
			}
		}
		if ran && !a.State().MayHaveRun() {
			t.Fatalf("the request ran, but the state is %s", a.State())
		}
		r := Request{
			Call: CallOnce, Keyed: rapid.Bool().Draw(t, "keyed"), MayRetry: rapid.Bool().Draw(t, "retry"),
			Started: rapid.Bool().Draw(t, "started"),
		}
		if next := Next(a, r); ran && (next == AnswerNotRun || next == RetryAny) {
			t.Fatalf("the request ran, but the next action is %s", next)
		}
	})
}

// TestEndIsFinal: events after the end of an attempt do not change its state.
func TestEndIsFinal(t *testing.T) {
	for _, late := range []Event{PeerRefused, FailedNotRun, PieceReceived, EndReceived} {
		a := attemptAfter(t, Sent, LinkLost)
		if err := a.Apply(late); err == nil || a.State() != PerhapsRun || a.Complete() {
			t.Errorf("%s after the end: state %s, error %v", late, a.State(), err)
		}
	}
}

// TestContradictionRevokesProof: a refusal proves nothing if the peer also sends an answer.
func TestContradictionRevokesProof(t *testing.T) {
	a := attemptAfter(t, Sent, PeerRefused)
	if err := a.Apply(PieceReceived); err == nil || !a.State().MayHaveRun() {
		t.Errorf("state %s, error %v", a.State(), err)
	}
	b := attemptAfter(t, Sent, PieceReceived)
	if err := b.Apply(PeerRefused); err == nil || b.State() != Run {
		t.Errorf("state %s, error %v", b.State(), err)
	}
}
