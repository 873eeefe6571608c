// Package rereads determines from the request logs of gateways why targets prefilled shared prompt parts that some target
// had already prefilled with the same weights. A shared part is a leading part of a prompt that other prompts also begin
// with. The package has no I/O, clock or mutable globals.
package rereads

import (
	"cmp"
	"slices"
	"time"
)

// Prefill describes a request sent to a target, with regard to the last shared part of its prompt.
type Prefill struct {
	Sent          time.Time
	FirstByte     time.Time // when the first byte of the response arrived; zero if there was none
	Part          string    // ID of the last shared part
	WeightVersion int
	Target        string
	Tokens        int  // tokens that the gateway expected the target to prefill; zero if unknown
	Resident      bool // the gateway knew that the target held the part in memory
	Fetched       bool // the target was to fetch the part from a store or another target
	Saved         bool // the target was to save the part to a store
}

// Cause is the reason why a part was prefilled, or why that was avoided.
type Cause uint8

// Causes, in report order.
const (
	Fetched           Cause = iota // a fetch was requested; the log does not show whether it completed in time
	Resident                       // the gateway knew that the part was in the target's memory
	LikelyResident                 // the same target prefilled it less than residencyTime before
	FirstPrefill                   // no target had prefilled it with these weights
	PrefillInProgress              // other prefills had started, but none had completed
	JustSaved                      // saved elsewhere less than saveVisibleAfter before
	SavedNotFetched                // saved earlier, not to be saved again: fetch paced, part retired or store lost
	SavedAgain                     // saved earlier, but to be saved again: lost from the store, or unknown to the gateway
	NeverSaved                     // prefilled before, but never to be saved
	numCauses
)

var causeNames = [numCauses]string{
	"fetched", "there", "read at the same target just before", "first read on these weights", "being read elsewhere",
	"just saved elsewhere", "saved, not fetched", "saved, not fetched, saved again", "read before, never saved",
}

// String returns the name of the cause.
func (c Cause) String() string { return causeNames[c] }

const (
	// residencyTime is how long a part is likely to stay in a target's memory. At high load the memory is replaced within
	// seconds.
	residencyTime = 2 * time.Second
	// saveVisibleAfter is the time from the first token of the prefill that saves a part until all gateways should know
	// that it is stored. It covers the save itself and the maximum staleness of a gateway's view of a store.
	saveVisibleAfter = 2 * time.Second
)

// Row summarizes the prefills with one cause.
type Row struct {
	Cause    Cause
	Requests int
	Tokens   int           // tokens that the gateways expected the targets to prefill
	P50, P90 time.Duration // quantiles of the time from sending the request to the first byte
}

// prefillKey identifies a part under one weight version.
type prefillKey struct {
	part          string
	weightVersion int
}

// Summarize determines the cause of each prefill and returns a row for each cause that occurs, in report order. The prefills
// may be in any order.
func Summarize(prefills []Prefill) []Row {
	prefills = slices.Clone(prefills)
	slices.SortStableFunc(prefills, func(a, b Prefill) int { return a.Sent.Compare(b.Sent) })
	earlier := map[prefillKey][]Prefill{}
	var rows [numCauses]Row
	var latencies [numCauses][]time.Duration
	for _, r := range prefills {
		key := prefillKey{r.Part, r.WeightVersion}
		cause := classify(r, earlier[key])
		earlier[key] = append(earlier[key], r)
		rows[cause].Requests++
		rows[cause].Tokens += r.Tokens
		if !r.FirstByte.IsZero() {
			latencies[cause] = append(latencies[cause], r.FirstByte.Sub(r.Sent))
		}
	}
	var out []Row
	for c := range numCauses {
		if rows[c].Requests == 0 {
			continue
		}
		rows[c].Cause, rows[c].P50, rows[c].P90 = c, quantile(latencies[c], 0.5), quantile(latencies[c], 0.9)
		out = append(out, rows[c])
	}
	return out
}

// quantile returns the q-quantile of a list, which it sorts, or zero if the list is empty.
func quantile(list []time.Duration, q float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	slices.SortFunc(list, func(a, b time.Duration) int { return cmp.Compare(a, b) })
	return list[min(int(q*float64(len(list))), len(list)-1)]
}

// classify determines the cause of a prefill from the earlier ones of the same part with the same weights, oldest first.
func classify(r Prefill, earlier []Prefill) Cause {
	switch {
	case r.Fetched:
		return Fetched
	case r.Resident:
		return Resident
	case len(earlier) == 0:
		return FirstPrefill
	}
	completed, firstSaved := false, time.Time{}
	for _, b := range earlier {
		if b.Target == r.Target && r.Sent.Sub(b.Sent) < residencyTime {
			return LikelyResident
		}
		if b.FirstByte.IsZero() || !b.FirstByte.Before(r.Sent) {
			continue
		}
		completed = true
		if b.Saved && (firstSaved.IsZero() || b.FirstByte.Before(firstSaved)) {
			firstSaved = b.FirstByte
		}
	}
	switch {
	case !completed:
		return PrefillInProgress
	case firstSaved.IsZero():
		return NeverSaved
	case r.Sent.Sub(firstSaved) < saveVisibleAfter:
		return JustSaved
	case r.Saved:
		return SavedAgain
	}
	return SavedNotFetched
}
