// Package rereads tells from the request lines of gateways why targets read shared parts of prompts that some target had read
// before on the same weights. It has no I/O, clock or globals.
package rereads

import (
	"cmp"
	"slices"
	"time"
)

// Read is one request that a target answered, as far as its last shared part is concerned.
type Read struct {
	Sent    time.Time
	First   time.Time // of the first byte of the answer; zero if there was none
	Part    string    // the last shared part
	Weights int
	Target  string
	Tokens  int  // that the target had to read, as far as the gateway knew; zero if it is not told
	There   bool // the target was known to hold the part
	Fetched bool // it was to come from a store or another target
	Saved   bool // it was to be saved to a store
}

// Cause is why a part was read, or what spared it.
type Cause uint8

// Causes, in the order of the report.
const (
	Fetched        Cause = iota // it was fetched; whether in time only the target knows
	There                       // it was known to be in the target's memory
	LikelyThere                 // the same target had read it moments before
	FirstRead                   // no target had read it on these weights
	BeingRead                   // others had begun to read it, none had ended
	JustSaved                   // saved elsewhere, but for less than a view of the stores takes
	SavedNotUsed                // saved long enough, and known to be stored or being saved: paced, retired, or the store is lost
	SavedNotKnown               // saved long enough, and saved once more: lost from the store, or not known
	ReadNeverSaved              // read before, and no read was to save it
	numCauses
)

var causeNames = [numCauses]string{
	"fetched", "there", "read at the same target just before", "first read on these weights", "being read elsewhere",
	"just saved elsewhere", "saved, not fetched", "saved, not fetched, saved again", "read before, never saved",
}

// String returns the name of the cause.
func (c Cause) String() string { return causeNames[c] }

const (
	// memoryTime is how long a part is likely to stay in a target's memory, which turns over within seconds at high load.
	memoryTime = 2 * time.Second
	// knownAfter is how long after the first token of the read that saves a part it should be known to all: the save itself
	// and the age of a usable view of a store.
	knownAfter = 2 * time.Second
)

// Row is what is told of one cause.
type Row struct {
	Cause    Cause
	Requests int
	Tokens   int           // that the targets had to read, as far as the gateways knew
	P50, P90 time.Duration // from the sending to the first byte
}

type partKey struct {
	part    string
	weights int
}

// Ledger gives each read its cause and adds up the causes that occur.
func Ledger(reads []Read) []Row {
	reads = slices.Clone(reads)
	slices.SortStableFunc(reads, func(a, b Read) int { return a.Sent.Compare(b.Sent) })
	before := map[partKey][]Read{}
	var rows [numCauses]Row
	var took [numCauses][]time.Duration
	for _, r := range reads {
		key := partKey{r.Part, r.Weights}
		cause := causeOf(r, before[key])
		before[key] = append(before[key], r)
		rows[cause].Requests++
		rows[cause].Tokens += r.Tokens
		if !r.First.IsZero() {
			took[cause] = append(took[cause], r.First.Sub(r.Sent))
		}
	}
	var out []Row
	for c := range numCauses {
		if rows[c].Requests == 0 {
			continue
		}
		rows[c].Cause, rows[c].P50, rows[c].P90 = c, quantile(took[c], 0.5), quantile(took[c], 0.9)
		out = append(out, rows[c])
	}
	return out
}

func quantile(list []time.Duration, q float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	slices.SortFunc(list, func(a, b time.Duration) int { return cmp.Compare(a, b) })
	return list[min(int(q*float64(len(list))), len(list)-1)]
}

// causeOf decides by the earlier reads of the same part on the same weights, oldest first.
func causeOf(r Read, before []Read) Cause {
	switch {
	case r.Fetched:
		return Fetched
	case r.There:
		return There
	case len(before) == 0:
		return FirstRead
	}
	ended, saved := false, time.Time{}
	for _, b := range before {
		if b.Target == r.Target && r.Sent.Sub(b.Sent) < memoryTime {
			return LikelyThere
		}
		if b.First.IsZero() || !b.First.Before(r.Sent) {
			continue
		}
		ended = true
		if b.Saved && (saved.IsZero() || b.First.Before(saved)) {
			saved = b.First
		}
	}
	switch {
	case !ended:
		return BeingRead
	case saved.IsZero():
		return ReadNeverSaved
	case r.Sent.Sub(saved) < knownAfter:
		return JustSaved
	case r.Saved:
		return SavedNotKnown
	}
	return SavedNotUsed
}
