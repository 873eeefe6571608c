package once

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// HandedKey is one ledger entry in a Handover. GivenTo, Revision and Certain are set for StateFenced.
type HandedKey struct {
	Key         Key
	State       State
	Fingerprint [32]byte
	Answer      *Answer   `json:",omitempty"`
	GivenTo     string    `json:",omitempty"` // target that fenced the key
	Revision    uint64    `json:",omitempty"` // of the generation under which it did
	Certain     bool      `json:",omitempty"` // the key is proved not to have run here
	Forget      time.Time // from then on the successor may drop the entry
}

// Handover is the content of the ledger of an incarnation that stopped as planned, written once to the key-value
// service as JSON under the field names. The successor claims it by compare-and-swap before it adopts it, so that no
// later incarnation adopts it again.
type Handover struct {
	Target      string
	Incarnation uint64
	Closed      time.Time // when it was written; the incarnation ran no key after this
	Since       time.Time // Keys holds every key dispatched at this time or later
	Always      bool      // Keys is complete since the first incarnation of the target
	RetryWindow time.Duration
	Keys        []HandedKey
	History     history // generations of homes known to the incarnation
}

// history is what an incarnation knew about the homes: every generation up to Revision, newest first.
type history struct {
	Revision    uint64
	Generations []Generation
	expiresAt   time.Time // from then on every use of a key lies within the successor's own history
}

// Close stops the admission of new keys for a planned stop. Keys that are held are still answered.
func (l *Ledger) Close() { l.closed = true }

// Export returns the encoded Handover, at most maxBytes long. Stored answers are left out, oldest first, until it fits.
// Requests that are still running are handed over with an unknown outcome. It returns an error if the ledger is not
// closed or its keys do not fit even without answers.
func (l *Ledger) Export(now time.Time, maxBytes int) ([]byte, error) {
	if !l.closed {
		return nil, fmt.Errorf("ledger of %s is not closed and cannot be handed over", l.opts.Target)
	}
	l.expire(now)
	h := Handover{
		Target: l.opts.Target, Incarnation: l.opts.Incarnation, Closed: now,
		Since: l.coverage.since, Always: l.coverage.always, RetryWindow: l.opts.RetryWindow,
		History: history{Revision: l.homes.revision, Generations: l.homes.generations},
	}
	for el := l.byExpiry.Front(); el != nil; el = el.Next() {
		h.Keys = append(h.Keys, exportEntry(el.Value.(*entry)))
	}
	return encodeHandover(h, maxBytes)
}

func exportEntry(e *entry) HandedKey {
	k := HandedKey{
		Key: e.key, State: e.state, Fingerprint: e.fingerprint, Answer: e.answer, Forget: e.expiresAt,
		GivenTo: e.fence.newHome, Revision: e.fence.revision, Certain: e.fence.notRun,
	}
	if k.State == StateRunning {
		k.State = StateUnknown
	}
	return k
}

// encodeHandover drops the older half of the answers until the encoding fits.
func encodeHandover(h Handover, maxBytes int) ([]byte, error) {
	for keep := len(h.Keys); ; keep /= 2 {
		for i := range h.Keys[:len(h.Keys)-keep] {
			h.Keys[i].Answer = nil
		}
		b, err := json.Marshal(h)
		if err != nil {
			return nil, err
		}
		if len(b) <= maxBytes {
			return b, nil
		}
		if keep == 0 {
			return nil, fmt.Errorf("ledger of %s: %d keys do not fit in %d bytes", h.Target, len(h.Keys), maxBytes)
		}
	}
}

// NoHandover records that this incarnation has looked for a handover, claimed its place in the key-value service and
// found none.
func (l *Ledger) NoHandover() { l.handoverResolved = true }

// Adopt takes over the ledger of the previous incarnation from its encoded Handover, which this incarnation must have
// claimed. It may be called after requests have begun, since it only adds entries and coverage. It returns an error if
// the handover cannot be decoded or belongs to another target or to an incarnation that is not earlier.
func (l *Ledger) Adopt(encoded []byte, now time.Time) error {
	var h Handover
	if err := json.Unmarshal(encoded, &h); err != nil {
		return err
	}
	if h.Target != l.opts.Target || h.Incarnation >= l.opts.Incarnation {
		return fmt.Errorf("handover of %s incarnation %d is not for %s incarnation %d",
			h.Target, h.Incarnation, l.opts.Target, l.opts.Incarnation)
	}
	l.handoverResolved = true
	longer := l.windowIncrease(h)
	for _, k := range h.Keys {
		// The predecessor's clock may have been behind this one.
		k.Forget = k.Forget.Add(l.opts.Skew + longer)
		l.adoptKey(k)
	}
	l.sortByExpiry()
	if l.isContiguousWith(h) {
		l.inheritCoverage(h, now)
	}
	l.expire(now)
	return nil
}

// windowIncrease returns by how much the retry window is longer than the predecessor's; zero if it is not.
func (l *Ledger) windowIncrease(h Handover) time.Duration {
	if h.RetryWindow == 0 {
		return 0 // written by a version whose handovers did not have the field
	}
	return max(l.opts.RetryWindow-h.RetryWindow, 0)
}

// isContiguousWith reports whether no incarnation can have run a caller's key between the handover and the start of
// this one. An incarnation that started in between without claiming the handover ran none until HandoverWait had
// passed, which is after this start.
func (l *Ledger) isContiguousWith(h Handover) bool {
	return l.opts.Started.Sub(h.Closed)+l.opts.Skew < l.opts.HandoverWait
}

// inheritCoverage extends the history of homes and the coverage of this ledger to the time of its predecessor.
func (l *Ledger) inheritCoverage(h Handover, now time.Time) {
	l.inherited = h.History
	l.inherited.expiresAt = now.Add(l.retention() + l.opts.MaxPropagation + l.opts.Skew)
	l.SetHomes(l.localHomes)
	covered := coverage{since: h.Since, always: h.Always}
	if l.windowIncrease(h) > 0 {
		covered = covered.startingAt(h.Closed.Add(-l.retentionFor(h.RetryWindow)))
	}
	l.coverage.always = l.coverage.always || covered.always
	if covered.since.Before(l.coverage.since) {
		l.coverage.since = covered.since
	}
}

func (l *Ledger) adoptKey(k HandedKey) {
	if l.keys[k.Key] != nil {
		return
	}
	l.fenceSeq++
	e := &entry{
		key: k.Key, state: k.State, fingerprint: k.Fingerprint, expiresAt: k.Forget,
		fence: fenceRecord{newHome: k.GivenTo, revision: k.Revision, notRun: k.Certain, seq: l.fenceSeq},
	}
	e.expiryElem = l.byExpiry.PushBack(e)
	l.keys[k.Key] = e
	if k.Answer != nil {
		l.store(e, k.Answer)
	}
}

// sortByExpiry restores the order of byExpiry after adopted keys were appended.
func (l *Ledger) sortByExpiry() {
	entries := make([]*entry, 0, l.byExpiry.Len())
	for el := l.byExpiry.Front(); el != nil; el = el.Next() {
		entries = append(entries, el.Value.(*entry))
	}
	slices.SortStableFunc(entries, func(a, b *entry) int { return a.expiresAt.Compare(b.expiresAt) })
	l.byExpiry.Init()
	for _, e := range entries {
		e.expiryElem = l.byExpiry.PushBack(e)
	}
}
