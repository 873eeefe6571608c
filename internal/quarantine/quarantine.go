// Package quarantine decides which parts of prompts crash the targets that answer requests with them. A crash is evidence against
// every part of the requests that the target had just begun to answer; a complete answer to a request is evidence for each of its
// parts. A part that may be the cause of a crash is a suspect: its requests run one at a time, as probes. A part whose probes crash as
// well is quarantined: its requests are refused. The evidence of all instances is merged, so that all come to the same verdicts.
// The package has no I/O and no clock.
package quarantine

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// strongCrashes is the number of crashes after which a part is quarantined. A single crash may have any other cause.
	strongCrashes = 2
	// anyCrashes is the same if crashes with weak evidence count as well.
	anyCrashes = 3
	// coincidence is the time within which several crashes count as one. Targets that crash together, such as those of a failure
	// domain, have a common cause outside their requests.
	coincidence = 100 * time.Millisecond
	// requestCoincidence is the same for a whole request: a probe of it can crash its target that soon after the crash before, and a request that is cut
	// twice by chance is rare.
	requestCoincidence = 40 * time.Millisecond
	// unrelatedCrashes is the number of crashes without a part, from relatedTime before its first crash to its last one, from which one
	// more crash is needed for its quarantine.
	unrelatedCrashes = 3
	relatedTime      = 2 * time.Second
	// trust is how long an answer makes later evidence against its parts weak.
	trust = time.Minute
	// suspicion is how long a crash is kept as evidence against parts of prompts if it leads to no quarantine. requestSuspicion is the same
	// for whole requests: these may come again after hours, and no other request vouches for them meanwhile.
	suspicion        = 10 * time.Minute
	requestSuspicion = 24 * time.Hour
	// firstQuarantine is the length of a part's first quarantine. Each further crash multiplies it by quarantineGrowth, up to
	// maxQuarantine.
	firstQuarantine  = 2 * time.Minute
	quarantineGrowth = 4
	maxQuarantine    = time.Hour
	// requestQuarantineGrowth and maxRequestQuarantine are the same for whole requests: 2 min, 1 h, 30 h, then the longest. A wrong quarantine refuses
	// one caller's single request, and one that crashes targets for good may crash no more than six in all.
	requestQuarantineGrowth = 30
	maxRequestQuarantine    = 30 * 24 * time.Hour
	// upgradeDelay is the shortest time between a crash and a probe on weights that are newer than those that crashed.
	upgradeDelay = 30 * time.Second
	// claimTTL is how long a probe may take: the time to the first token of a request under load.
	claimTTL = 3 * time.Second
	// claimContest is how long a claim may lose against another one: its request has not been sent yet.
	claimContest = 20 * time.Millisecond
	// maxCrashes, maxSuspects, maxEvidence and maxRequests bound the evidence that is kept: crashes, suspects of one crash and of all, and
	// requests with one part.
	maxCrashes  = 512
	maxSuspects = 128
	maxEvidence = 4096
	maxRequests = 8
	// maxClaims and maxClaimsPerPart bound the claims that are remembered: parts with claims, and claims on one of them.
	maxClaims        = 4096
	maxClaimsPerPart = 16
	// maxRestored bounds the crashes of a restored quarantine: more do not lengthen it.
	maxRestored = 6
)

// Part identifies a part of the prompts for one model.
type Part struct {
	Model string `json:"m"`
	ID    string `json:"p"`
}

// Suspect is a part of a request that a target was answering when it crashed.
type Suspect struct {
	Part
	Request uint32 // hash of the request's ID: parts that only occur together can't be told apart
	// Weak marks evidence that does not suffice for a suspicion: the target had been answering the request for a while.
	Weak bool
	// ServedAt is when the reporting instance last received a complete answer for the part; zero if not lately.
	ServedAt time.Time
}

// Crash is the end of one incarnation of a target, with the parts of the requests that it was answering.
type Crash struct {
	Incarnation uint64
	At          time.Time
	Suspects    []Suspect
}

// Quarantine is a set of parts whose requests are refused. Usually it is a single part. It has several if all crashes had all of
// them in common; then only requests with all of them are refused.
type Quarantine struct {
	Parts         []Part
	Crashes       int
	LastCrash     time.Time
	Until         time.Time
	WeightVersion int // newest version that is known to crash; zero if unknown
}

// Key identifies the set of parts.
func (q *Quarantine) Key() string {
	ids := make([]string, len(q.Parts))
	for i, p := range q.Parts {
		ids[i] = p.Model + "/" + p.ID
	}
	return strings.Join(ids, "+")
}

// ofRequest reports whether only a single request and its repetitions are refused.
func (q *Quarantine) ofRequest() bool { return slices.ContainsFunc(q.Parts, Part.IsRequest) }

// keptFor returns how long after a crash the evidence is kept that the quarantine rests on.
func (q *Quarantine) keptFor() time.Duration {
	if q.ofRequest() {
		return 2 * maxRequestQuarantine
	}
	return 2 * maxQuarantine
}

// length returns the length of the quarantine.
func (q *Quarantine) length() time.Duration {
	if q.ofRequest() {
		return growingLength(q.Crashes, requestQuarantineGrowth, maxRequestQuarantine)
	}
	return quarantineLength(q.Crashes)
}

// matches reports whether all parts of the quarantine are among those of a request.
func (q *Quarantine) matches(parts []Part) bool {
	for _, p := range q.Parts {
		if !slices.Contains(parts, p) {
			return false
		}
	}
	return true
}

// Verdict says what may be done with a request.
type Verdict uint8

// Verdicts, in the order of increasing caution.
const (
	Allow  Verdict = iota
	Probe          // the request may run if the instance can claim the probe of its suspected parts
	Wait           // another request probes a suspected part
	Refuse         // the request would crash its target
)

// Decision is the verdict on one request.
type Decision struct {
	Verdict Verdict
	Parts   []Part    // the suspected parts, or those of the quarantine
	Until   time.Time // end of the quarantine, only for Refuse
}

// ChangeKind is the kind of a Change.
type ChangeKind uint8

// Kinds of changes.
const (
	Suspected ChangeKind = iota
	Cleared              // neither suspected nor quarantined any more
	Quarantined
)

// Change is a changed belief about a part or a set of parts.
type Change struct {
	Kind       ChangeKind
	Parts      []Part
	Quarantine Quarantine // only for Quarantined
}

// beliefs are the conclusions from the evidence. They are immutable.
type beliefs struct {
	accused     map[Part]bool // parts with any evidence that no answer has refuted
	suspects    map[Part]bool
	quarantines []Quarantine
	members     map[Part]bool // of quarantines
}

// Tracker merges the evidence and decides on requests. It is safe for concurrent use. Requests take no lock while there is no
// suspicion.
type Tracker struct {
	served  servedTable
	current atomic.Pointer[beliefs] // nil while there is no evidence that is not refuted

	mu        sync.Mutex
	crashes   []*evidence // by time
	clearedAt map[Part]time.Time
	claims    map[Part][]claim     // the first one may probe, the others were made at the same time or learned before its release
	released  map[uint64]time.Time // by holder of an ended claim: messages may repeat the claim
	versions  map[Part]int         // newest weight version on which a part was seen to crash
	changed   chan struct{}        // closed at the next change
}

// evidence is a crash with the evidence of all instances.
type evidence struct {
	incarnation uint64
	at          time.Time
	suspects    map[Part]mention
	explainable bool // a suspect has several crashes; set by evaluate
}

// mention is the evidence of one crash against one part.
type mention struct {
	weak     bool
	requests []uint32 // with the part, sorted; the first maxRequests
}

// covers reports whether the mention has that of a suspect already.
func (m mention) covers(s Suspect) bool {
	_, found := slices.BinarySearch(m.requests, s.Request)
	return !m.weak && s.Weak || m.weak == s.Weak && (found || len(m.requests) >= maxRequests)
}

// add returns the mention with that of a further suspect.
func (m mention) add(s Suspect) mention {
	if m.weak && !s.Weak {
		return mention{requests: []uint32{s.Request}}
	}
	i, found := slices.BinarySearch(m.requests, s.Request)
	if m.weak == s.Weak && !found && len(m.requests) < maxRequests {
		m.requests = slices.Insert(slices.Clone(m.requests), i, s.Request)
	}
	return m
}

// NewTracker returns a tracker without evidence. now is the time of its start.
func NewTracker(now time.Time) *Tracker {
	return &Tracker{served: servedTable{epoch: now}, clearedAt: map[Part]time.Time{}, claims: map[Part][]claim{}, released: map[uint64]time.Time{}, versions: map[Part]int{}, changed: make(chan struct{})}
}

// Changed returns a channel that is closed when a belief or a claim changes.
func (t *Tracker) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// HasEvidence reports whether there is any evidence that no answer has refuted. Without it all requests may run.
func (t *Tracker) HasEvidence() bool { return t.current.Load() != nil }

// Check decides on a request with the given parts. weights is the newest weight version of its model.
func (t *Tracker) Check(parts []Part, weights int, now time.Time) Decision {
	b := t.current.Load()
	if b == nil {
		return Decision{}
	}
	for i := range b.quarantines {
		q := &b.quarantines[i]
		if q.matches(parts) && now.Before(q.Until) && !q.upgraded(weights, now) {
			return Decision{Verdict: Refuse, Parts: q.Parts, Until: q.Until}
		}
	}
	var pending []Part
	for _, p := range parts {
		if b.suspects[p] || b.members[p] {
			pending = append(pending, p)
		}
	}
	if len(pending) == 0 {
		return Decision{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.claimed(pending, 0, now) {
		return Decision{Verdict: Wait, Parts: pending}
	}
	return Decision{Verdict: Probe, Parts: pending}
}

// upgraded reports whether newer weights than those that crashed are in use and may be probed.
func (q *Quarantine) upgraded(weights int, now time.Time) bool {
	return q.WeightVersion > 0 && weights > q.WeightVersion && now.Sub(q.LastCrash) >= upgradeDelay
}

// RecordServed records that this instance has received a complete answer to a request with the given parts. It returns those that
// the other instances must be told of, because there was evidence against them.
func (t *Tracker) RecordServed(parts []Part, now time.Time) (announce []Part, changes []Change) {
	for _, p := range parts {
		t.served.record(p, now)
	}
	b := t.current.Load()
	if b == nil || !slices.ContainsFunc(parts, func(p Part) bool { return b.accused[p] }) {
		return nil, nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range parts {
		if !b.accused[p] {
			continue
		}
		t.clearedAt[p] = now
		if b.suspects[p] || b.members[p] {
			announce = append(announce, p)
		}
	}
	if len(announce) == 0 {
		return nil, nil // no belief depends on these parts yet
	}
	return announce, t.evaluate(now)
}

// LearnServed records that another instance has received a complete answer at a time.
func (t *Tracker) LearnServed(p Part, at, now time.Time) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !at.After(t.clearedAt[p]) || !t.mentioned(p) {
		return nil
	}
	t.clearedAt[p] = at
	return t.evaluate(now)
}

// mentioned reports whether there is any evidence against the part, refuted or not.
func (t *Tracker) mentioned(p Part) bool {
	return slices.ContainsFunc(t.crashes, func(e *evidence) bool { _, ok := e.suspects[p]; return ok })
}

// mentionedParts returns the parts with evidence, refuted or not.
func (t *Tracker) mentionedParts() map[Part]bool {
	out := map[Part]bool{}
	for _, e := range t.crashes {
		for p := range e.suspects {
			out[p] = true
		}
	}
	return out
}

// LastServed returns when this instance last received a complete answer for the part, false if not lately.
func (t *Tracker) LastServed(p Part, now time.Time) (time.Time, bool) {
	at, ok := t.served.last(p, now)
	return at, ok && now.Sub(at) < trust
}

// LearnCrash adds evidence from this or another instance. weights is the newest weight version of the crashed target's models, zero
// if unknown. It returns the parts that this instance has answered lately: the other instances must be told of these.
func (t *Tracker) LearnCrash(c Crash, weights int, now time.Time) (answered []Part, changes []Change) {
	t.mu.Lock()
	defer t.mu.Unlock()
	count := len(t.crashes)
	e := t.findOrAdd(c)
	if e == nil {
		return nil, nil
	}
	news := len(t.crashes) != count
	for _, s := range c.Suspects {
		m, known := e.suspects[s.Part]
		switch {
		case known && m.covers(s):
			continue
		case known:
			e.suspects[s.Part] = m.add(s)
		case len(e.suspects) < maxSuspects:
			e.suspects[s.Part] = mention{weak: s.Weak, requests: []uint32{s.Request}}
		default:
			continue
		}
		news = true
		t.versions[s.Part] = max(t.versions[s.Part], weights)
		vouched := s.ServedAt
		if known := t.clearedAt[s.Part]; known.After(vouched) {
			vouched = known
		}
		if at, ok := t.LastServed(s.Part, now); ok && at.After(vouched) {
			if e.at.Sub(vouched) >= trust && !s.Weak {
				answered = append(answered, s.Part)
			}
			vouched = at
		}
		if !vouched.IsZero() {
			t.clearedAt[s.Part] = vouched
		}
	}
	if !news {
		return nil, nil
	}
	return answered, t.evaluate(now)
}

// CrashedAt returns when an incarnation of a target crashed as far as is known, false if it is not known to have crashed.
func (t *Tracker) CrashedAt(incarnation uint64) (time.Time, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.crashes {
		if e.incarnation == incarnation {
			return e.at, true
		}
	}
	return time.Time{}, false
}

// findOrAdd returns the evidence of a crash, nil if it is too old.
func (t *Tracker) findOrAdd(c Crash) *evidence {
	for _, e := range t.crashes {
		if e.incarnation == c.Incarnation {
			return e
		}
	}
	for len(t.crashes) >= maxCrashes || t.countEvidence()+min(len(c.Suspects), maxSuspects) > maxEvidence {
		if !t.dropOldest(c.At) {
			return nil
		}
	}
	e := &evidence{incarnation: c.Incarnation, at: c.At, suspects: map[Part]mention{}}
	i, _ := slices.BinarySearchFunc(t.crashes, e, func(a, b *evidence) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.incarnation, b.incarnation))
	})
	t.crashes = slices.Insert(t.crashes, i, e)
	return e
}

// dropOldest drops the oldest crash that no quarantine rests on, or the oldest one of all: what crashes targets now matters more than what did so
// long ago. It returns false if there is none from before the given time.
func (t *Tracker) dropOldest(before time.Time) bool {
	b := t.current.Load()
	i := slices.IndexFunc(t.crashes, func(e *evidence) bool { return e.at.Before(before) && !e.supports(b) })
	if i < 0 {
		i = slices.IndexFunc(t.crashes, func(e *evidence) bool { return e.at.Before(before) })
	}
	if i >= 0 {
		t.crashes = slices.Delete(t.crashes, i, i+1)
	}
	return i >= 0
}

// countEvidence returns the number of suspects of all crashes.
func (t *Tracker) countEvidence() int {
	n := 0
	for _, e := range t.crashes {
		n += len(e.suspects)
	}
	return n
}

// supports reports whether the crash is evidence for any of the quarantines.
func (e *evidence) supports(b *beliefs) bool {
	return b != nil && slices.ContainsFunc(b.quarantines, func(q Quarantine) bool { return e.mentionsAll(q.Parts) })
}

// Restore adds a quarantine that was kept outside this process.
func (t *Tracker) Restore(q Quarantine, now time.Time) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := 0
	if b := t.current.Load(); b != nil {
		for i := range b.quarantines {
			if b.quarantines[i].Key() == q.Key() {
				known = b.quarantines[i].Crashes
			}
		}
	}
	if known >= q.Crashes || len(q.Parts) == 0 {
		return nil
	}
	suspects := make([]Suspect, len(q.Parts))
	for i, p := range q.Parts {
		suspects[i] = Suspect{Part: p}
		t.versions[p] = max(t.versions[p], q.WeightVersion)
	}
	base := hash(Part{ID: q.Key()})
	for i := range min(q.Crashes, maxRestored) - known {
		// The times of the earlier crashes are not kept: any that do not coincide will do.
		e := t.findOrAdd(Crash{Incarnation: base + uint64(i), At: q.LastCrash.Add(-2 * coincidence * time.Duration(i))})
		if e == nil {
			continue
		}
		for _, s := range suspects {
			e.suspects[s.Part] = mention{requests: []uint32{0}}
		}
	}
	return t.evaluate(now)
}

// Lift drops all evidence against the parts up to a time.
func (t *Tracker) Lift(parts []Part, at, now time.Time) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range parts {
		if at.After(t.clearedAt[p]) {
			t.clearedAt[p] = at
		}
	}
	return t.evaluate(now)
}

// Quarantines returns the quarantines, also those that have run out but were not disproved.
func (t *Tracker) Quarantines() []Quarantine {
	if b := t.current.Load(); b != nil {
		return b.quarantines
	}
	return nil
}

// Refuted reports whether one of the parts was answered after the last known crash of all of them: a quarantine of these parts is no longer
// justified.
func (t *Tracker) Refuted(parts []Part) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range slices.Backward(t.crashes) {
		if e.mentionsAll(parts) {
			return slices.ContainsFunc(parts, func(p Part) bool { return !t.clearedAt[p].Before(e.at) })
		}
	}
	return false
}

// SuspectCount returns the number of suspected parts.
func (t *Tracker) SuspectCount() int {
	if b := t.current.Load(); b != nil {
		return len(b.suspects)
	}
	return 0
}

// Evidence returns the crashes that count against quarantined or suspected parts, with these parts only.
func (t *Tracker) Evidence() []Crash {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.current.Load()
	if b == nil {
		return nil
	}
	var out []Crash
	for _, e := range t.crashes {
		c := Crash{Incarnation: e.incarnation, At: e.at}
		for p, m := range e.suspects {
			if !(b.suspects[p] || b.members[p]) || !e.at.After(t.clearedAt[p]) {
				continue
			}
			for _, request := range m.requests {
				c.Suspects = append(c.Suspects, Suspect{Part: p, Request: request, Weak: m.weak})
			}
		}
		if len(c.Suspects) > 0 {
			out = append(out, c)
		}
	}
	return out
}

// Expire drops evidence that is too old.
func (t *Tracker) Expire(now time.Time) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.crashes) == 0 {
		return nil
	}
	return t.evaluate(now)
}

// notify wakes those that wait on Changed.
func (t *Tracker) notify() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// MustAnnounce reports whether no instance has told yet that the part was answered since the evidence against it.
func (t *Tracker) MustAnnounce(p Part, now time.Time) bool {
	at, ok := t.LastServed(p, now)
	t.mu.Lock()
	defer t.mu.Unlock()
	return ok && !t.clearedAt[p].After(at)
}
