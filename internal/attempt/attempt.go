// Package attempt is the state machine of one attempt of a request at one target, as seen by the entry gateway. It
// decides what the gateway may do next without making a false claim: retry, resume, answer "not run", or answer
// "outcome unknown". It has no I/O and no clock.
package attempt

import "fmt"

// State is the knowledge of whether an attempt ran.
type State uint8

// States of an attempt. NotSent and Refused prove that the attempt did not run.
const (
	NotSent    State = iota // no byte of the request has been written
	PerhapsRun              // the request was sent; it is not known whether it runs
	Refused                 // the sidecar refused it before dispatch and will never run it
	Run                     // the request runs or ran, at least in part
)

// NumStates is the number of states.
const NumStates = int(Run) + 1

var stateNames = [NumStates]string{"not sent", "perhaps run", "refused", "run"}

// String returns the name of the state.
func (s State) String() string {
	if int(s) >= len(stateNames) {
		return "invalid"
	}
	return stateNames[s]
}

// Event is an event in the course of an attempt.
type Event uint8

// Events of an attempt.
const (
	DialFailed    Event = iota // no connection was made, so nothing was written
	Sent                       // the first byte is about to be written; applied before the write, never after
	PeerRefused                // the sidecar answered Refused
	PeerAccepted               // the sidecar answered Accepted: from now on the target may have the request
	HeadReceived               // status and headers of the answer arrived
	PieceReceived              // part of the answer arrived
	EndReceived                // the answer is complete
	FailedNotRun               // the sidecar answered Failure with the proof that the request did not run
	FailedRan                  // the sidecar answered Failure and knows that the request ran in part
	FailedUnknown              // the sidecar does not know the outcome; also if it refuses because of an earlier attempt with the key
	LinkLost                   // the connection broke or no data came for too long
	TimedOut                   // the deadline passed
	Cancelled                  // the caller is gone
)

var eventNames = [...]string{
	"dial failed", "sent", "peer refused", "peer accepted", "head received", "piece received", "end received",
	"failed not run", "failed ran", "failed unknown", "link lost", "timed out", "cancelled",
}

// String returns the name of the event.
func (e Event) String() string {
	if int(e) >= len(eventNames) {
		return "invalid"
	}
	return eventNames[e]
}

// TransitionError is returned by Apply for an event that is not allowed in a state: the peer violated the protocol.
type TransitionError struct {
	State State
	Event Event
	Ended bool
}

func (e *TransitionError) Error() string {
	return fmt.Sprintf("attempt: event %q in state %q (ended: %t)", e.Event, e.State, e.Ended)
}

// Attempt tracks one attempt. The zero value has not been sent.
type Attempt struct {
	state        State
	ended        bool
	complete     bool
	headReceived bool
	lastEvent    Event
}

// State returns the knowledge of whether the attempt ran.
func (a *Attempt) State() State { return a.state }

// Ended reports whether the attempt is over; it accepts no further event.
func (a *Attempt) Ended() bool { return a.ended }

// Complete reports whether the complete answer arrived.
func (a *Attempt) Complete() bool { return a.complete }

// Apply applies an event. If the event is not allowed it returns a TransitionError and leaves the state unchanged,
// except that a sign of a run turns Refused into PerhapsRun.
func (a *Attempt) Apply(e Event) error {
	next, ends, ok := step(a.state, e)
	if !ok || a.ended {
		err := &TransitionError{State: a.state, Event: e, Ended: a.ended}
		a.revokeProof(e)
		return err
	}
	a.state = next
	a.ended = ends
	a.lastEvent = e
	a.headReceived = a.headReceived || e == HeadReceived
	a.complete = e == EndReceived
	return nil
}

// revokeProof turns Refused into PerhapsRun if the peer sends a sign that the request did run.
func (a *Attempt) revokeProof(e Event) {
	signOfRun := e == PeerAccepted || e == HeadReceived || e == PieceReceived || e == EndReceived || e == FailedRan
	if a.state == Refused && signOfRun {
		a.state = PerhapsRun
	}
}

// step is the transition table. It returns the next state, whether the attempt ends, and whether the event is allowed.
func step(s State, e Event) (next State, ends, ok bool) {
	switch s {
	case NotSent:
		return stepNotSent(e)
	case PerhapsRun:
		return stepPerhapsRun(e)
	case Run:
		return stepRun(e)
	}
	return s, false, false
}

func stepNotSent(e Event) (State, bool, bool) {
	switch e {
	case Sent:
		return PerhapsRun, false, true
	case DialFailed, LinkLost, TimedOut, Cancelled:
		return NotSent, true, true
	}
	return NotSent, false, false
}

func stepPerhapsRun(e Event) (State, bool, bool) {
	switch e {
	case PeerRefused, FailedNotRun:
		return Refused, true, true
	case PeerAccepted:
		// Accepted does not prove a run: the sidecar may still fail to reach the target.
		return PerhapsRun, false, true
	case HeadReceived, PieceReceived:
		return Run, false, true
	case EndReceived, FailedRan:
		return Run, true, true
	case FailedUnknown, LinkLost, TimedOut, Cancelled:
		return PerhapsRun, true, true
	}
	return PerhapsRun, false, false
}

func stepRun(e Event) (State, bool, bool) {
	switch e {
	case HeadReceived, PieceReceived:
		return Run, false, true
	case EndReceived, FailedRan, FailedUnknown, LinkLost, TimedOut, Cancelled:
		return Run, true, true
	}
	// A refusal, or a proof that the request did not run, contradicts the part of the answer that has arrived: keep
	// Run.
	return Run, false, false
}

// CallKind says whether a request may be repeated.
type CallKind uint8

// Kinds of calls.
const (
	CallOnce       CallKind = iota // must run at most once; as the zero value, the strictest kind is the default
	CallRepeatable                 // may be repeated, but only from the start
	CallModel                      // a model run: may be repeated, and a broken stream may be resumed at an offset
)

// Action is what the entry gateway does after an attempt ended.
type Action uint8

// Actions after an attempt. RetryAny, RetrySame and Resume are subject to the retry budget and the deadline.
const (
	Deliver       Action = iota // the answer is complete
	RetryAny                    // send again to any target
	RetrySame                   // send again, only to the home of the key or the incarnation named by the ticket
	Resume                      // send again with the offset up to which the caller has the answer
	AnswerNotRun                // answer that the request did not run
	AnswerUnknown               // answer that the outcome is unknown
	AnswerBroken                // end the answer that has begun with an explicit failure
	Drop                        // send nothing; the caller is gone
)

var actionNames = [...]string{
	"deliver", "retry any", "retry same", "resume", "answer not run", "answer unknown", "answer broken", "drop",
}

// String returns the name of the action.
func (a Action) String() string {
	if int(a) >= len(actionNames) {
		return "invalid"
	}
	return actionNames[a]
}

// Request holds the properties of the request, besides the attempt, that the decision depends on.
type Request struct {
	Call     CallKind
	Keyed    bool  // for CallOnce: the caller's key has one home, and only that target may be tried
	Started  bool  // part of the answer has been delivered to the caller
	MayRetry bool  // retry budget, deadline and candidates allow another attempt
	Earlier  State // worst State of the earlier attempts of the request, by Worse
}

// Next returns the action after the attempt ended.
func Next(a *Attempt, r Request) Action {
	switch {
	case a.complete:
		return Deliver
	case a.lastEvent == Cancelled:
		return Drop
	}
	switch r.Call {
	case CallModel:
		return nextModel(a, r)
	case CallRepeatable:
		return nextRepeatable(a, r)
	}
	return nextOnce(a, r)
}

func nextModel(a *Attempt, r Request) Action {
	switch {
	case r.MayRetry && r.Started:
		return Resume
	case r.MayRetry:
		return RetryAny
	}
	return finalAction(a, r)
}

func nextRepeatable(a *Attempt, r Request) Action {
	// A plain answer that has begun cannot be continued with the answer of another run.
	if r.MayRetry && !r.Started {
		return RetryAny
	}
	return finalAction(a, r)
}

func nextOnce(a *Attempt, r Request) Action {
	notRun := !a.state.MayHaveRun()
	switch {
	case notRun && r.MayRetry && r.Keyed:
		return RetrySame
	case notRun && r.MayRetry:
		return RetryAny
	case a.state == PerhapsRun && r.MayRetry && r.Keyed && !r.Started:
		// The ledger of the home knows whether the request ran, so sending it again under the same key never runs it
		// twice.
		return RetrySame
	}
	return finalAction(a, r)
}

// finalAction returns the action when no further attempt is made: the strongest statement that the states of all
// attempts allow.
func finalAction(a *Attempt, r Request) Action {
	switch {
	case r.Started:
		return AnswerBroken
	case Worse(a.state, r.Earlier).MayHaveRun():
		return AnswerUnknown
	}
	return AnswerNotRun
}

// MayHaveRun reports whether the state does not prove that the attempt did not run.
func (s State) MayHaveRun() bool { return s == PerhapsRun || s == Run }

// Worse returns the state that is further from a proof of not having run.
func Worse(a, b State) State {
	if rank(a) >= rank(b) {
		return a
	}
	return b
}

// rank orders the states by how far they are from a proof of not having run.
func rank(s State) int {
	switch s {
	case Run:
		return 3
	case PerhapsRun:
		return 2
	case Refused:
		return 1
	}
	return 0
}
