package loadshare

import (
	"cmp"
	"slices"
	"time"

	"github.com/egrethoist/egrethoist/internal/targetlimit"
)

// Sum is the work of several instances.
type Sum struct {
	Members int // instances that it is the work of
	Fetches []Fetches
	Leaving []uint64
	Limits  []targetlimit.Announcement // the latest of each target
	Loads   []Load                     // one for each target and urgency
}

type loadKey struct {
	target  uint64
	urgency uint8
}

// Add puts sums together. A store's strain is the mean over its fetches.
func Add(list ...*Sum) *Sum {
	out := &Sum{}
	limits := make([][]targetlimit.Announcement, len(list))
	at := map[loadKey]int{}
	strain := map[uint64][2]int{} // count, and strain times count
	leaving := map[uint64]bool{}
	for i, s := range list {
		limits[i] = s.Limits
		out.Members += s.Members
		for _, l := range s.Loads {
			key := loadKey{l.Target, l.Urgency}
			if i, ok := at[key]; ok {
				out.Loads[i].Pending += l.Pending
				out.Loads[i].Held += l.Held
				continue
			}
			at[key] = len(out.Loads)
			out.Loads = append(out.Loads, l)
		}
		for _, f := range s.Fetches {
			sum := strain[f.Store]
			strain[f.Store] = [2]int{sum[0] + int(f.Count), sum[1] + int(f.Count)*int(f.Strain)}
		}
		for _, i := range s.Leaving {
			if !leaving[i] {
				leaving[i] = true
				out.Leaving = append(out.Leaving, i)
			}
		}
	}
	out.Limits = targetlimit.Merge(limits...)
	for store, sum := range strain {
		if sum[0] > 0 {
			out.Fetches = append(out.Fetches, Fetches{Store: store, Count: uint8(min(sum[0], 255)), Strain: uint16(sum[1] / sum[0])})
		}
	}
	slices.SortFunc(out.Fetches, func(a, b Fetches) int { return cmp.Compare(a.Store, b.Store) })
	return out
}

// Without returns the sum less the loads of one instance that are in it. What it has sent since the sum was made counts as not
// in it, so nothing falls below zero.
func (s *Sum) Without(own []Load) []Load {
	taken := make(map[loadKey]Load, len(own))
	for _, l := range own {
		taken[loadKey{l.Target, l.Urgency}] = l
	}
	out := make([]Load, 0, len(s.Loads))
	for _, l := range s.Loads {
		o := taken[loadKey{l.Target, l.Urgency}]
		l.Pending -= min(l.Pending, o.Pending)
		l.Held -= min(l.Held, o.Held)
		if l.Pending > 0 || l.Held > 0 {
			out = append(out, l)
		}
	}
	return out
}

// Sum returns the content of the message.
func (m *Message) Sum() *Sum {
	return &Sum{Members: int(m.Members), Fetches: m.Fetches, Leaving: m.Leaving, Limits: m.Limits, Loads: m.Loads}
}

// aged returns the sum as it is after a time.
func (s *Sum) aged(d time.Duration) *Sum {
	if len(s.Limits) == 0 {
		return s
	}
	later := *s
	later.Limits = make([]targetlimit.Announcement, len(s.Limits))
	for i, l := range s.Limits {
		later.Limits[i] = l.AgedBy(d)
	}
	return &later
}

// Split encodes the message in pieces of at most limit bytes, which Table puts together again.
func (m *Message) Split(limit int) [][]byte {
	const entry = 9 + 2*5 // the longest load: two numbers of 32 bits
	fixed := headerBytes + len(m.Fetches)*fetchesBytes + len(m.Leaving)*leavingBytes + len(m.Limits)*targetlimit.AnnouncementBytes
	each := max((limit-fixed)/entry, 1)
	pieces := max((len(m.Loads)+each-1)/each, 1)
	out := make([][]byte, 0, pieces)
	for i := range pieces {
		piece := *m
		piece.Piece, piece.Pieces = uint8(i), uint8(min(pieces, 255))
		piece.Loads = m.Loads[min(i*each, len(m.Loads)):min((i+1)*each, len(m.Loads))]
		if i > 0 {
			piece.Fetches, piece.Leaving, piece.Limits = nil, nil, nil
		}
		out = append(out, piece.Append(nil))
	}
	return out
}

// Latest returns the sum of the last messages of some senders that have a fresh one.
func (t *Table) Latest(senders []uint64, now time.Time) []*Sum {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*Sum
	for _, s := range senders {
		if p := t.peers[s]; p != nil && p.sum != nil && now.Sub(p.at) < t.fresh {
			out = append(out, p.sum.aged(now.Sub(p.at)))
		}
	}
	return out
}
