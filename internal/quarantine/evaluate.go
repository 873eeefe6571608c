package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"sort"
	"strings"
	"time"
)

// evaluate draws the conclusions from the evidence and returns what has changed.
func (t *Tracker) evaluate(now time.Time) []Change {
	t.forget(now)
	next := &beliefs{accused: map[Part]bool{}, suspects: map[Part]bool{}, members: map[Part]bool{}}
	records := t.collect()
	t.markExplained(records)
	for _, r := range records {
		next.accused[r.part] = true
		if r.all >= strongCrashes && t.otherCrashes(r, r.crashes) == 0 {
			next.suspects[r.part] = true // in all crashes of the time, even if the part was answered shortly before
		}
		if next.members[r.part] || !t.sufficient(r) || r.explained(records) {
			continue
		}
		q := t.quarantineOf(r, records)
		next.quarantines = append(next.quarantines, q)
		for _, p := range q.Parts {
			next.members[p] = true
		}
	}
	for _, r := range records {
		switch {
		case next.members[r.part]:
			delete(next.suspects, r.part)
		case r.strong > 0:
			next.suspects[r.part] = true
		}
	}
	previous := t.current.Load()
	if len(records) == 0 {
		next = nil
	}
	changes := compare(previous, next)
	t.current.Store(next)
	if len(changes) > 0 {
		t.notify()
	}
	return changes
}

// forget drops evidence that is too old, and what refers only to it.
func (t *Tracker) forget(now time.Time) {
	b := t.current.Load()
	t.crashes = slices.DeleteFunc(t.crashes, func(e *evidence) bool {
		if age := now.Sub(e.at); age >= suspicion {
			maps.DeleteFunc(e.suspects, func(p Part, _ mention) bool { return age >= t.keptFor(p, e, b) })
			return len(e.suspects) == 0
		}
		return false
	})
	mentioned := t.mentionedParts()
	maps.DeleteFunc(t.clearedAt, func(p Part, at time.Time) bool { return now.Sub(at) > suspicion && !mentioned[p] })
	maps.DeleteFunc(t.versions, func(p Part, _ int) bool { return !mentioned[p] })
	maps.DeleteFunc(t.claims, func(_ Part, claims []claim) bool {
		return !slices.ContainsFunc(claims, func(c claim) bool { return c.live(now) })
	})
}

// keptFor returns how long after a crash it is kept as evidence against a part.
func (t *Tracker) keptFor(p Part, e *evidence, b *beliefs) time.Duration {
	kept := suspicion
	if p.IsRequest() && t.clearedAt[p].Before(e.at) {
		kept = requestSuspicion
	}
	if b != nil && b.members[p] {
		for i := range b.quarantines {
			if q := &b.quarantines[i]; slices.Contains(q.Parts, p) && e.mentionsAll(q.Parts) {
				kept = max(kept, q.keptFor())
			}
		}
	}
	return kept
}

// mentionsAll reports whether all parts are suspects of the crash.
func (e *evidence) mentionsAll(parts []Part) bool {
	for _, p := range parts {
		if _, ok := e.suspects[p]; !ok {
			return false
		}
	}
	return true
}

// record is the evidence against one part that no answer has refuted.
type record struct {
	part     Part
	mentions []mentionID // by crash, then by request
	crashes  []partCrash // by time
	// strong and all count crashes with strong and with any evidence, coinciding ones once.
	strong, all int
}

// partCrash is a crash of a part.
type partCrash struct {
	at   time.Time
	weak bool
}

// mentionID identifies a request of a crash.
type mentionID struct {
	crash   int // index in Tracker.crashes
	request uint32
}

// collect returns the evidence against each part, the one with the most crashes first.
func (t *Tracker) collect() []*record {
	byPart := map[Part]*record{}
	for i, e := range t.crashes {
		for p, m := range e.suspects {
			answered := t.clearedAt[p]
			if !answered.IsZero() && !answered.Before(e.at) {
				continue
			}
			r := byPart[p]
			if r == nil {
				r = &record{part: p}
				byPart[p] = r
			}
			trusted := !answered.IsZero() && e.at.Sub(answered) < trust
			r.add(i, e.at, m, m.weak || trusted)
		}
	}
	for _, r := range byPart {
		r.strong, r.all = r.countCrashes(r.crashes, true)
	}
	return slices.SortedFunc(maps.Values(byPart), func(a, b *record) int {
		return cmp.Or(cmp.Compare(b.strong, a.strong), cmp.Compare(b.all, a.all), compareParts(a.part, b.part))
	})
}

// add adds the evidence of a crash, which is later than those added before.
func (r *record) add(crash int, at time.Time, m mention, weak bool) {
	for _, request := range m.requests {
		r.mentions = append(r.mentions, mentionID{crash, request})
	}
	r.crashes = append(r.crashes, partCrash{at: at, weak: weak})
}

// sufficient reports whether any run of consecutive crashes of the part suffices for a quarantine. Whatever happens later, only an answer
// refutes that.
func (t *Tracker) sufficient(r *record) bool {
	for first := range r.crashes {
		for last := first + 1; last < len(r.crashes); last++ {
			run := r.crashes[first : last+1]
			if r.enough(run, t.otherCrashes(r, run)) {
				return true
			}
		}
	}
	return false
}

// enough reports whether a run of crashes of the part suffices for a quarantine. others is the number of crashes at the time that the part
// has nothing to do with: the more there are, the likelier the part was there by chance.
func (r *record) enough(run []partCrash, others int) bool {
	strong, all := r.countCrashes(run, others > 0)
	if others >= unrelatedCrashes {
		return strong > strongCrashes || all > anyCrashes
	}
	return strong >= strongCrashes || all >= anyCrashes
}

// countCrashes counts the crashes with strong and with any evidence, coinciding ones once; strong ones each if mergeStrong is not set.
func (r *record) countCrashes(run []partCrash, mergeStrong bool) (strong, all int) {
	var lastStrong, last time.Time
	window := coincidence
	if r.part.IsRequest() {
		window = requestCoincidence
	}
	for _, c := range run {
		if all == 0 || c.at.Sub(last) > window {
			all, last = all+1, c.at
		}
		if !c.weak && (strong == 0 || !mergeStrong || c.at.Sub(lastStrong) > window) {
			strong, lastStrong = strong+1, c.at
		}
	}
	return strong, all
}

// otherCrashes returns the number of crashes about the time of a run that the part was not in and that no other part with several
// crashes may explain.
func (t *Tracker) otherCrashes(r *record, run []partCrash) int {
	n, from, to := 0, run[0].at.Add(-relatedTime), run[len(run)-1].at
	for _, e := range t.crashes {
		if e.at.Before(from) || e.at.After(to) {
			continue
		}
		if _, ok := e.suspects[r.part]; ok {
			continue
		}
		if !e.explainable {
			n++
		}
	}
	return n
}

// markExplained marks the crashes that have a suspect with several crashes, also with coinciding ones that suffice for a quarantine. The crashes that
// these explain may let those of another part suffice.
func (t *Tracker) markExplained(records []*record) {
	for _, e := range t.crashes {
		e.explainable = false
	}
	explains := map[Part]bool{}
	for changed := true; changed; {
		changed = false
		for _, r := range records {
			if explains[r.part] || r.strong < strongCrashes && (len(r.crashes) < strongCrashes || !t.sufficient(r)) {
				continue
			}
			explains[r.part], changed = true, true
			for _, e := range t.crashes {
				if _, ok := e.suspects[r.part]; ok {
					e.explainable = true
				}
			}
		}
	}
}

// explained reports whether another part with more crashes was a suspect in each of these.
func (r *record) explained(records []*record) bool {
	stronger := records[:sort.Search(len(records), func(i int) bool { return records[i].strong < max(r.strong, strongCrashes) })]
	for _, id := range r.mentions {
		found := slices.ContainsFunc(stronger, func(other *record) bool {
			return other.all > r.all &&
				slices.ContainsFunc(other.mentions, func(o mentionID) bool { return o.crash == id.crash })
		})
		if !found {
			return slices.ContainsFunc(records, r.impliedBy)
		}
	}
	return true
}

// impliedBy reports whether the part was never without the other one in a request of a crash, and the other one has further crashes. It counts
// coinciding crashes apart: the crashes of quarantines restored from records of one time coincide.
func (r *record) impliedBy(other *record) bool {
	if other.strong < max(r.strong, strongCrashes) || len(other.crashes) <= len(r.crashes) {
		return false
	}
	return !slices.ContainsFunc(r.mentions, func(id mentionID) bool {
		_, found := slices.BinarySearchFunc(other.mentions, id, func(a, b mentionID) int {
			return cmp.Or(cmp.Compare(a.crash, b.crash), cmp.Compare(a.request, b.request))
		})
		return !found
	})
}

// quarantineOf returns the quarantine of a part and of those that were in just the same requests of all crashes.
func (t *Tracker) quarantineOf(r *record, records []*record) Quarantine {
	q := Quarantine{Crashes: max(r.all, strongCrashes), LastCrash: r.crashes[len(r.crashes)-1].at}
	for _, other := range records {
		if slices.Equal(r.mentions, other.mentions) {
			q.Parts = append(q.Parts, other.part)
			q.WeightVersion = max(q.WeightVersion, t.versions[other.part])
		}
	}
	slices.SortFunc(q.Parts, compareParts)
	q.Until = q.LastCrash.Add(q.length())
	return q
}

func compareParts(a, b Part) int {
	return cmp.Or(strings.Compare(a.Model, b.Model), strings.Compare(a.ID, b.ID))
}

// quarantineLength returns the length of the quarantine of parts of prompts after a number of crashes.
func quarantineLength(crashes int) time.Duration {
	return growingLength(crashes, quarantineGrowth, maxQuarantine)
}

// growingLength returns a length that begins with firstQuarantine and grows with each crash after strongCrashes.
func growingLength(crashes, growth int, longest time.Duration) time.Duration {
	length := firstQuarantine
	for n := strongCrashes; n < crashes && length < longest; n++ {
		length *= time.Duration(growth)
	}
	return min(length, longest)
}

// compare returns the changes from previous to next. Both may be nil.
func compare(previous, next *beliefs) []Change {
	if previous == nil {
		previous = &beliefs{}
	}
	if next == nil {
		next = &beliefs{}
	}
	var changes []Change
	known := map[string]int{}
	for i := range previous.quarantines {
		known[previous.quarantines[i].Key()] = previous.quarantines[i].Crashes
	}
	for _, q := range next.quarantines {
		if known[q.Key()] != q.Crashes {
			changes = append(changes, Change{Kind: Quarantined, Parts: q.Parts, Quarantine: q})
		}
	}
	var suspected, cleared []Part
	for p := range next.suspects {
		if !previous.suspects[p] {
			suspected = append(suspected, p)
		}
	}
	for _, old := range []map[Part]bool{previous.suspects, previous.members} {
		for p := range old {
			if !next.suspects[p] && !next.members[p] {
				cleared = append(cleared, p)
			}
		}
	}
	for kind, parts := range map[ChangeKind][]Part{Suspected: suspected, Cleared: cleared} {
		if len(parts) > 0 {
			slices.SortFunc(parts, compareParts)
			changes = append(changes, Change{Kind: kind, Parts: parts})
		}
	}
	return changes
}
