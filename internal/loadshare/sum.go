package loadshare

import (
	"cmp"
	"slices"
	"time"

	"github.com/egrethoist/egrethoist/internal/targetlimit"
)

// Sum is the aggregated content of the messages of several instances.
type Sum struct {
	Members int                        // number of instances included
	Fetches []Fetches                  // one for each store
	Leaving []uint64                   // incarnations of leaving targets
	Limits  []targetlimit.Announcement // the latest of each target
	Loads   []Load                     // one for each target and urgency
}

type loadKey struct {
	target  uint64
	urgency uint8
}

// Add aggregates sums. The lateness ratio of a store is the mean over its fetches.
func Add(sums ...*Sum) *Sum {
	out := &Sum{}
	limits := make([][]targetlimit.Announcement, len(sums))
	index := map[loadKey]int{}
	lateness := map[uint64][2]int{} // by store: count, and lateness ratio times count
	leaving := map[uint64]bool{}
	for i, s := range sums {
		limits[i] = s.Limits
		out.Members += s.Members
		for _, l := range s.Loads {
			key := loadKey{l.Target, l.Urgency}
			if i, ok := index[key]; ok {
				out.Loads[i].PendingPrefill += l.PendingPrefill
				out.Loads[i].InFlight += l.InFlight
				continue
			}
			index[key] = len(out.Loads)
			out.Loads = append(out.Loads, l)
		}
		for _, f := range s.Fetches {
			sum := lateness[f.Store]
			lateness[f.Store] = [2]int{sum[0] + int(f.Count), sum[1] + int(f.Count)*int(f.LatenessRatio)}
		}
		for _, i := range s.Leaving {
			if !leaving[i] {
				leaving[i] = true
				out.Leaving = append(out.Leaving, i)
			}
		}
	}
	out.Limits = targetlimit.Merge(limits...)
	for store, sum := range lateness {
		if sum[0] > 0 {
			out.Fetches = append(out.Fetches, Fetches{Store: store, Count: uint8(min(sum[0], 255)), LatenessRatio: uint16(sum[1] / sum[0])})
		}
	}
	slices.SortFunc(out.Fetches, func(a, b Fetches) int { return cmp.Compare(a.Store, b.Store) })
	return out
}

// Without returns the loads of the sum minus the given loads of one instance. The results are clamped at zero, since the instance may
// have sent work after the sum was made.
func (s *Sum) Without(own []Load) []Load {
	ownLoads := make(map[loadKey]Load, len(own))
	for _, l := range own {
		ownLoads[loadKey{l.Target, l.Urgency}] = l
	}
	out := make([]Load, 0, len(s.Loads))
	for _, l := range s.Loads {
		o := ownLoads[loadKey{l.Target, l.Urgency}]
		l.PendingPrefill -= min(l.PendingPrefill, o.PendingPrefill)
		l.InFlight -= min(l.InFlight, o.InFlight)
		if l.PendingPrefill > 0 || l.InFlight > 0 {
			out = append(out, l)
		}
	}
	return out
}

// Sum returns the content of the message as a sum.
func (m *Message) Sum() *Sum {
	return &Sum{Members: int(m.Members), Fetches: m.Fetches, Leaving: m.Leaving, Limits: m.Limits, Loads: m.Loads}
}

// agedBy returns the sum with the ages of its limits increased by the elapsed time.
func (s *Sum) agedBy(elapsed time.Duration) *Sum {
	if len(s.Limits) == 0 {
		return s
	}
	out := *s
	out.Limits = make([]targetlimit.Announcement, len(s.Limits))
	for i, l := range s.Limits {
		out.Limits[i] = l.AgedBy(elapsed)
	}
	return &out
}

// Split encodes the message as fragments of at most maxBytes bytes, which Table reassembles. The first fragment may be larger if
// Fetches, Leaving and Limits alone need more.
func (m *Message) Split(maxBytes int) [][]byte {
	const maxLoadBytes = 9 + 2*5 // target and urgency, and two varints of 32-bit numbers
	headBytes := headerBytes + len(m.Fetches)*fetchesBytes + len(m.Leaving)*leavingBytes + len(m.Limits)*targetlimit.AnnouncementBytes
	loadsPerFragment := max((maxBytes-headBytes)/maxLoadBytes, 1)
	fragments := max((len(m.Loads)+loadsPerFragment-1)/loadsPerFragment, 1)
	out := make([][]byte, 0, fragments)
	for i := range fragments {
		fragment := *m
		fragment.Fragment, fragment.Fragments = uint8(i), uint8(min(fragments, 255))
		fragment.Loads = m.Loads[min(i*loadsPerFragment, len(m.Loads)):min((i+1)*loadsPerFragment, len(m.Loads))]
		if i > 0 {
			fragment.Fetches, fragment.Leaving, fragment.Limits = nil, nil, nil
		}
		out = append(out, fragment.Append(nil))
	}
	return out
}

// Latest returns the last messages of the given senders, without those that are missing or expired.
func (t *Table) Latest(senders []uint64, now time.Time) []*Sum {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*Sum
	for _, sender := range senders {
		if state := t.senders[sender]; state != nil && state.sum != nil && now.Sub(state.receivedAt) < t.ttl {
			out = append(out, state.sum.agedBy(now.Sub(state.receivedAt)))
		}
	}
	return out
}
