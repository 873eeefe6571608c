package once

import (
	"cmp"
	"container/list"
	"time"
)

// State is the state of a key in a ledger. Handovers contain its numeric value.
type State uint8

// States of a key.
const (
	StateNone    State = iota // not held by the ledger
	StateRunning              // dispatched and not finished
	StateDone                 // ran; the answer may be stored
	StateUnknown              // may have run; the outcome can no longer be found out
	StateFenced               // fenced by a later home; does not run here under older revisions
)

// Answer is the stored answer of a request that ran. Handovers contain it as JSON under the field names.
type Answer struct {
	Status int
	Header []HeaderField
	Body   []byte
}

// HeaderField is one header of an Answer.
type HeaderField struct{ Name, Value string }

// size returns the bytes of the answer that count against Options.MaxBytes.
func (a *Answer) size() int {
	n := len(a.Body)
	for _, h := range a.Header {
		n += len(h.Name) + len(h.Value)
	}
	return n
}

// Verdict is the decision on a request with a key.
type Verdict uint8

// Verdicts. Only Run lets the request reach the target. NotHome, Full, Stale, Invalid, Mismatch and Closed prove that
// this attempt did not run; they say nothing about other attempts with the same key.
const (
	Run              Verdict = iota // dispatch it now; the key is recorded as running
	Replay                          // the request ran; deliver the stored answer, marked as a replay
	Ran                             // the request ran; its answer is no longer stored
	InProgress                      // an earlier attempt is still running; retry later
	OutcomeUnknown                  // an earlier attempt may have run
	Expired                         // the key is older than the retry window
	WrongIncarnation                // the ticket names another incarnation or workspace
	NotHome                         // another target is home of the key
	FenceEarlier                    // fence the key at its earlier homes, then call Begin again with their answers
	Full                            // the ledger has no room for another key
	Stale                           // the request took longer than MaxTransit to get here
	Invalid                         // the key is malformed, or its creation time or the reading time is in the future
	Mismatch                        // the key was used for a different request
	Closed                          // the ledger is closed for a planned stop
)

var verdictNames = [...]string{
	"run", "replay", "ran", "in progress", "outcome unknown", "expired", "wrong incarnation", "not home",
	"ask earlier", "full", "stale", "invalid", "mismatch", "closed",
}

// String returns the name of the verdict.
func (v Verdict) String() string {
	if int(v) >= len(verdictNames) {
		return "invalid"
	}
	return verdictNames[v]
}

// Options configures a Ledger. RetryWindow must be set; zero values of Skew, MaxTransit, MaxPropagation, MaxKeys and
// MaxBytes take the defaults.
type Options struct {
	Target           string
	Incarnation      uint64
	Started          time.Time     // start of the incarnation; no earlier incarnation of the target runs keys after it
	FirstIncarnation bool          // the key-value service proves that no earlier incarnation of the target ran
	RetryWindow      time.Duration // how long a caller may repeat a key after its first use
	Skew             time.Duration // largest difference between any two clocks
	MaxTransit       time.Duration // longest time from an entry gateway's reading of a request to its dispatch here
	MaxPropagation   time.Duration // time within which an accepted revision is in force at every target
	// HandoverWait must be set if handovers are used. It is the time after its start during which an incarnation runs
	// no caller's key, unless it has claimed the handover or found none. A handover older than HandoverWait is not
	// trusted, because an incarnation that did not know of it may have run keys since.
	HandoverWait time.Duration
	MaxKeys      int // largest number of keys held
	MaxBytes     int // largest total size of stored answers in bytes
}

// Defaults of Options.
const (
	defaultSkew           = 500 * time.Millisecond
	defaultMaxTransit     = 30 * time.Second
	defaultMaxPropagation = 5 * time.Second
	defaultMaxKeys        = 80_000
	defaultMaxBytes       = 8 << 20
)

// entry is what the ledger holds for one key.
type entry struct {
	key         Key
	state       State
	fingerprint [32]byte
	answer      *Answer
	fence       fenceRecord
	expiresAt   time.Time     // from then on the entry may be dropped unless its key is running
	expiryElem  *list.Element // element of Ledger.byExpiry
	answerElem  *list.Element // element of Ledger.withAnswer; nil without a stored answer
}

// fenceRecord describes the fence of a key in StateFenced.
type fenceRecord struct {
	newHome  string // target that fenced the key
	revision uint64 // revision of its generation
	notRun   bool   // the key is proved not to have run here
	seq      uint64 // sequence number of the fence in this ledger; see Result.Token
}

// Ledger holds the idempotency keys of one sidecar incarnation and decides whether a key may run.
type Ledger struct {
	opts             Options
	homes            *Homes  // localHomes extended by the inherited history
	localHomes       *Homes  // the homes of the last SetHomes
	inherited        history // history of the predecessor; empty once it has expired
	keys             map[Key]*entry
	byExpiry         *list.List // of *entry, in order of expiresAt
	withAnswer       *list.List // of *entry that store an answer, oldest first
	answerBytes      int
	coverage         coverage
	fenceSeq         uint64
	handoverResolved bool // the handover of the predecessor was adopted, or there is none
	suspended        bool // see SetSuspended
	closed           bool
}

// NewLedger returns an empty ledger under the given homes.
func NewLedger(o Options, homes *Homes) *Ledger {
	o.Skew = cmp.Or(o.Skew, defaultSkew)
	o.MaxTransit = cmp.Or(o.MaxTransit, defaultMaxTransit)
	o.MaxPropagation = cmp.Or(o.MaxPropagation, defaultMaxPropagation)
	o.MaxKeys = cmp.Or(o.MaxKeys, defaultMaxKeys)
	o.MaxBytes = cmp.Or(o.MaxBytes, defaultMaxBytes)
	return &Ledger{
		opts:             o,
		homes:            homes,
		localHomes:       homes,
		keys:             make(map[Key]*entry),
		byExpiry:         list.New(),
		withAnswer:       list.New(),
		coverage:         coverage{since: o.Started, always: o.FirstIncarnation},
		handoverResolved: o.FirstIncarnation,
	}
}

// SetHomes puts the homes of a newer revision in force, extended by the history of the predecessor if its handover was
// adopted.
func (l *Ledger) SetHomes(h *Homes) {
	l.localHomes = h
	l.homes = h.withInherited(l.inherited.Generations, l.inherited.Revision)
}

// SetRetryWindow puts a longer retry window in force. Keys that are held are kept for it. Keys that were dropped under
// the shorter window may now be repeated, so the ledger no longer covers their time. A shorter window is ignored,
// because keys used before it was declared may still be repeated for the longer one.
func (l *Ledger) SetRetryWindow(window time.Duration, now time.Time) {
	longer := window - l.opts.RetryWindow
	if longer <= 0 {
		return
	}
	l.expire(now)
	l.coverage = l.coverage.startingAt(now.Add(-l.retention()))
	l.opts.RetryWindow = window
	l.inherited.expiresAt = l.inherited.expiresAt.Add(longer)
	for el := l.byExpiry.Front(); el != nil; el = el.Next() {
		e := el.Value.(*entry)
		e.expiresAt = e.expiresAt.Add(longer)
	}
}

// Len returns the number of keys held.
func (l *Ledger) Len() int { return len(l.keys) }

// retention returns how long a key is kept: a repetition sent at the end of the retry window may take MaxTransit, and
// the creation time of its key may be ahead of this clock by Skew.
func (l *Ledger) retention() time.Duration { return l.retentionFor(l.opts.RetryWindow) }

func (l *Ledger) retentionFor(window time.Duration) time.Duration {
	return window + l.opts.MaxTransit + 2*l.opts.Skew
}

// BeginRequest is one attempt to run a request under a key.
type BeginRequest struct {
	Key          Key
	ReadAt       time.Time     // when the entry gateway read the request, by its clock
	Fingerprint  [32]byte      // digest of the request, which must not change under a key; zero if the body is still to come
	FenceResults []FenceResult // answers of the earlier homes, after FenceEarlier
	Token        uint64        // Result.Token of that FenceEarlier
}

// Result is the verdict on a BeginRequest. The other fields are set for the verdicts named at them.
type Result struct {
	Verdict Verdict
	Answer  *Answer // Replay
	// Fingerprint is the digest of the request that ran (Replay). A caller whose BeginRequest had none must compare it
	// with the digest of the whole request before it delivers the answer.
	Fingerprint  [32]byte
	FenceTargets []string      // FenceEarlier: targets to send a FenceRequest to
	Token        uint64        // FenceEarlier: last fence of the key here, to be passed in the next BeginRequest
	RetryAfter   time.Duration // OutcomeUnknown, InProgress, Full: delay before the next attempt; zero: not known
}

// Begin decides whether a request may run. After the verdict Run the caller must dispatch the request and then call
// Finish, Abort or MarkUnknown.
func (l *Ledger) Begin(req BeginRequest, now time.Time) Result {
	l.expire(now)
	ticket, err := ParseTicket(req.Key.ID)
	isTicket := err == nil
	if v, bad := l.validate(req, now); bad {
		return Result{Verdict: v}
	}
	if isTicket && !l.ticketMatches(ticket, req.Key) {
		return Result{Verdict: WrongIncarnation}
	}
	e := l.keys[req.Key]
	if e != nil && e.state != StateFenced {
		return l.resultOf(e, req.Fingerprint)
	}
	if l.closed {
		return Result{Verdict: Closed}
	}
	if isTicket {
		// The ticket names this incarnation, so this ledger has seen every attempt that could run.
		return l.admit(req, now)
	}
	return l.beginAtHome(req, e, now)
}

// beginAtHome decides on a key without a ticket that the ledger does not hold, or holds as fenced.
func (l *Ledger) beginAtHome(req BeginRequest, e *entry, now time.Time) Result {
	if l.homes.HomeOf(req.Key) != l.opts.Target {
		return Result{Verdict: NotHome}
	}
	// The target that fenced the key may run it until it is fenced there in turn, which only a later generation can do.
	if e != nil && l.homes.Current().Revision <= e.fence.revision {
		return Result{Verdict: NotHome}
	}
	if l.suspended {
		return Result{Verdict: OutcomeUnknown, RetryAfter: suspendedRetry}
	}
	if wait := l.handoverWait(now); wait > 0 {
		return Result{Verdict: OutcomeUnknown, RetryAfter: wait}
	}
	use := newKeyUse(req.Key, req.ReadAt)
	if r, done := l.checkEarlierHomes(req, e, use, now); done {
		return r
	}
	if wait, ok := l.provesNotRun(req.Key, e, use, now); !ok {
		return Result{Verdict: OutcomeUnknown, RetryAfter: wait}
	}
	return l.admit(req, now)
}

// ticketMatches reports whether the ticket names this incarnation and was issued to the workspace of the key.
func (l *Ledger) ticketMatches(t Ticket, k Key) bool {
	return t.Target == l.opts.Target && t.Incarnation == l.opts.Incarnation && BoundTo(k.ID, k.Workspace)
}

// handoverWait returns for how much longer this incarnation runs no caller's key because it has not resolved the
// handover; zero or less if it may run them.
func (l *Ledger) handoverWait(now time.Time) time.Duration {
	if l.handoverResolved {
		return 0
	}
	return l.opts.Started.Add(l.opts.HandoverWait).Sub(now)
}

// SetSuspended stops or resumes the running of callers' keys. They are suspended while this incarnation may act on
// homes that are no longer in force. Keys that are held are still answered, and tickets still run, as no other target
// can be their home.
func (l *Ledger) SetSuspended(suspended bool) { l.suspended = suspended }

// suspendedRetry is the delay before the next attempt while the ledger is suspended.
const suspendedRetry = 250 * time.Millisecond

// validate checks what does not depend on the content of the ledger. It returns the verdict and true if the request is
// refused.
func (l *Ledger) validate(req BeginRequest, now time.Time) (Verdict, bool) {
	keyTime, timed := CreationTime(req.Key.ID)
	switch {
	case req.Key.ID == "" || len(req.Key.ID) > MaxIDBytes:
		return Invalid, true
	case timed && keyTime.After(now.Add(l.opts.Skew)):
		return Invalid, true
	case req.ReadAt.After(now.Add(l.opts.Skew)):
		return Invalid, true
	// An entry gateway that was paused while it held the request may deliver it after the key has been dropped.
	case now.Sub(req.ReadAt) > l.opts.MaxTransit+l.opts.Skew:
		return Stale, true
	// The retry window is enforced by the key's own time. Together with the bound on transit this ensures that a
	// repetition reaches the ledger before the key is dropped.
	case timed && req.ReadAt.Sub(keyTime) > l.opts.RetryWindow:
		return Expired, true
	}
	return Run, false
}

// resultOf returns the result for a key that the ledger holds. If either fingerprint is not known yet, only the state
// of the key is returned, without a comparison.
func (l *Ledger) resultOf(e *entry, fingerprint [32]byte) Result {
	unknown := [32]byte{}
	if e.fingerprint != fingerprint && e.fingerprint != unknown && fingerprint != unknown {
		return Result{Verdict: Mismatch}
	}
	switch {
	case e.state == StateRunning:
		return Result{Verdict: InProgress, RetryAfter: inProgressRetry}
	case e.state == StateUnknown:
		return Result{Verdict: OutcomeUnknown}
	case e.answer == nil:
		return Result{Verdict: Ran}
	}
	return Result{Verdict: Replay, Answer: e.answer, Fingerprint: e.fingerprint}
}

// inProgressRetry is the delay before the next attempt for a key that is running.
const inProgressRetry = 100 * time.Millisecond

// admit records the key as running. It is the only function that returns Run.
func (l *Ledger) admit(req BeginRequest, now time.Time) Result {
	if old := l.keys[req.Key]; old != nil {
		l.drop(old)
	}
	if len(l.keys) >= l.opts.MaxKeys {
		return Result{Verdict: Full, RetryAfter: l.nextExpiry(now)}
	}
	l.insert(&entry{key: req.Key, state: StateRunning, fingerprint: req.Fingerprint}, now)
	return Result{Verdict: Run}
}

// nextExpiry returns the time until the first entry expires.
func (l *Ledger) nextExpiry(now time.Time) time.Duration {
	if front := l.byExpiry.Front(); front != nil {
		return max(front.Value.(*entry).expiresAt.Sub(now), 0)
	}
	return 0
}

func (l *Ledger) insert(e *entry, now time.Time) {
	e.expiresAt = now.Add(l.retention())
	e.expiryElem = l.byExpiry.PushBack(e)
	l.keys[e.key] = e
}

// Identify records the fingerprint of a running request whose body had not arrived when it began.
func (l *Ledger) Identify(k Key, fingerprint [32]byte) {
	if e := l.keys[k]; e != nil && e.state == StateRunning {
		e.fingerprint = fingerprint
	}
}

// Finish records that the request ran, with its answer. A nil answer, or one larger than a quarter of MaxBytes, is not
// stored.
func (l *Ledger) Finish(k Key, a *Answer) {
	e := l.keys[k]
	if e == nil || e.state != StateRunning {
		return
	}
	e.state = StateDone
	if a == nil || a.size() > l.opts.MaxBytes/4 {
		return
	}
	l.store(e, a)
}

// store keeps an answer and drops the oldest answers until all fit in MaxBytes. The keys of dropped answers stay in
// StateDone.
func (l *Ledger) store(e *entry, a *Answer) {
	e.answer = a
	l.answerBytes += a.size()
	e.answerElem = l.withAnswer.PushBack(e)
	for l.answerBytes > l.opts.MaxBytes {
		l.dropAnswer(l.withAnswer.Front().Value.(*entry))
	}
}

func (l *Ledger) dropAnswer(e *entry) {
	if e.answer == nil {
		return
	}
	l.answerBytes -= e.answer.size()
	l.withAnswer.Remove(e.answerElem)
	e.answer, e.answerElem = nil, nil
}

// Abort records that a dispatched request is proved not to have run; its key may run again.
func (l *Ledger) Abort(k Key) {
	if e := l.keys[k]; e != nil && e.state == StateRunning {
		l.drop(e)
	}
}

// MarkUnknown records that the outcome of a dispatched request can no longer be found out.
func (l *Ledger) MarkUnknown(k Key) {
	if e := l.keys[k]; e != nil && e.state == StateRunning {
		e.state = StateUnknown
	}
}

func (l *Ledger) drop(e *entry) {
	l.dropAnswer(e)
	l.byExpiry.Remove(e.expiryElem)
	delete(l.keys, e.key)
}

// expire drops keys past their retention. A key that is still running is kept for another retention, so it is never
// dropped.
func (l *Ledger) expire(now time.Time) {
	if len(l.inherited.Generations) > 0 && now.After(l.inherited.expiresAt) {
		l.inherited = history{}
		l.SetHomes(l.localHomes)
	}
	for front := l.byExpiry.Front(); front != nil; front = l.byExpiry.Front() {
		e := front.Value.(*entry)
		if now.Before(e.expiresAt) {
			return
		}
		if e.state == StateRunning {
			e.expiresAt = now.Add(l.retention())
			l.byExpiry.MoveToBack(front)
			continue
		}
		l.drop(e)
	}
}
