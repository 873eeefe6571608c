// Package targetlimit decides how targets are given no more requests a second than they have named, summed over all instances:
// what the present limit of a target is, which instance grants its requests, and whether a request is granted. It has no I/O,
// clock or globals.
package targetlimit

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/egrethoist/egrethoist/internal/departure"
)

const (
	// floorRate is the rate at which a target is sent requests that takes fewer, or none: only an answer tells that its need has
	// passed.
	floorRate = 0.25 // requests a second
	// mostRate is the rate from which on a limit bounds nothing: more than all requests of the largest fleet that is planned for.
	mostRate = 1e5 // requests a second
	// recoveryTime is how long the rate of a target whose limit has ended is still bounded, and recoveryBase the rate from which
	// it then doubles each second: with as many instances as wait for it, it would get all they have at once.
	recoveryTime = 5 * time.Second
	recoveryBase = 1.0 // requests a second
	// keepFor is how long the limit of a target that nothing is heard of is remembered: longer than any outage in which no
	// instance has a request for it.
	keepFor = time.Hour
	// announceFor is how long after its last own answer an instance announces a limit: longer than the time between two
	// requests at the floor rate.
	announceFor = 15 * time.Second
	// maxAnnounced bounds the limits in one message; the rest go with the next ones.
	maxAnnounced = 32
	// mostMerged bounds the limits in a message that sums up those of several instances.
	mostMerged = 48
)

// Observation is what a target said last. The zero value: it has never named a limit.
type Observation struct {
	At        time.Time // when the last answer was seen, by any instance
	Named     bool      // the limit holds; otherwise it ended at Ended
	PerSecond float64   // requests from all instances together
	Ended     time.Time
}

// Rate returns how many requests a second the target is to get from all instances together, false if it takes any number.
func (o Observation) Rate(now time.Time) (float64, bool) {
	switch {
	case o.At.IsZero() || o.PerSecond >= mostRate:
		return 0, false
	case o.Named:
		return max(o.PerSecond, floorRate), true
	}
	since := now.Sub(o.Ended)
	if since >= recoveryTime {
		return 0, false
	}
	return max(o.PerSecond, recoveryBase) * math.Exp2(max(since, 0).Seconds()), true
}

// sameAs reports whether two observations say the same.
func (o Observation) sameAs(p Observation) bool {
	return o.Named == p.Named && o.PerSecond == p.PerSecond && o.Ended.Equal(p.Ended)
}

// Announcement is an observation for the other instances. Ages are those at the time of the announcement.
type Announcement struct {
	Incarnation departure.Incarnation
	Named       bool
	PerSecond   float64
	Age         time.Duration // since the last answer
	EndedAgo    time.Duration // since the limit ended; zero if it holds
}

// Announce returns the observation in the form for other instances.
func (o Observation) Announce(i departure.Incarnation, now time.Time) Announcement {
	a := Announcement{Incarnation: i, Named: o.Named, PerSecond: o.PerSecond, Age: max(now.Sub(o.At), 0)}
	if !o.Named {
		a.EndedAgo = max(now.Sub(o.Ended), 0)
	}
	return a
}

// After returns the announcement as it is after a time.
func (a Announcement) After(d time.Duration) Announcement {
	a.Age += d
	if !a.Named {
		a.EndedAgo += d
	}
	return a
}

// Observation returns what another instance announced.
func (a Announcement) Observation(now time.Time) Observation {
	o := Observation{At: now.Add(-a.Age), Named: a.Named, PerSecond: a.PerSecond}
	if !a.Named {
		o.Ended = now.Add(-a.EndedAgo)
	}
	return o
}

// Book holds the last observation of each incarnation of a target that has named a limit, also while its record is missing. It is
// safe for concurrent use.
type Book struct {
	mu      sync.Mutex
	entries map[departure.Incarnation]*entry
}

type entry struct {
	Observation
	own       time.Time // last answer to this instance; zero if only others had one
	announced time.Time
}

// NewBook returns an empty book.
func NewBook() *Book { return &Book{entries: map[departure.Incarnation]*entry{}} }

// Observe takes in an answer of a target to this instance that names a limit, or none. It returns what is known now, and whether
// that may be news. Callers that know of no limit need not ask about answers without one.
func (b *Book) Observe(i departure.Incarnation, named bool, perSecond float64, now time.Time) (Observation, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.entries[i]
	if e == nil {
		if !named {
			return Observation{}, true // what the caller may still know was forgotten here
		}
		e = &entry{}
		b.entries[i] = e
	}
	before := e.Observation
	next := Observation{At: now, Named: named, PerSecond: perSecond}
	if !named {
		next.PerSecond, next.Ended = before.PerSecond, before.Ended
		if before.Named {
			next.Ended = now
		}
	}
	e.Observation, e.own = next, now
	return next, !next.sameAs(before)
}

// Learn takes in what another instance announced. It returns what is known now, and whether that is news.
func (b *Book) Learn(a Announcement, now time.Time) (Observation, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	next := a.Observation(now)
	e := b.entries[a.Incarnation]
	switch {
	case e == nil:
		if _, limited := next.Rate(now); !limited {
			return Observation{}, false
		}
		e = &entry{}
		b.entries[a.Incarnation] = e
	case !next.At.After(e.At):
		return e.Observation, false
	case !next.Named && !e.Named:
		next.Ended = e.Ended // ages are rounded on the way: one end stays one
	}
	news := !next.sameAs(e.Observation)
	e.Observation = next
	return next, news
}

// Known returns what is known of an incarnation.
func (b *Book) Known(i departure.Incarnation) Observation {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e := b.entries[i]; e != nil {
		return e.Observation
	}
	return Observation{}
}

// ToAnnounce returns what this instance observed lately, for the others, and drops what is over. Only own observations are passed
// on, so that none circulates for ever.
func (b *Book) ToAnnounce(now time.Time) []Announcement {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []departure.Incarnation
	for i, e := range b.entries {
		_, limited := e.Rate(now)
		if !limited && now.Sub(e.At) >= announceFor || now.Sub(e.At) >= keepFor {
			delete(b.entries, i)
			continue
		}
		if !e.own.IsZero() && now.Sub(e.own) < announceFor {
			list = append(list, i)
		}
	}
	if len(list) > maxAnnounced {
		slices.SortFunc(list, func(i, j departure.Incarnation) int { return b.entries[i].announced.Compare(b.entries[j].announced) })
		list = list[:maxAnnounced]
	}
	out := make([]Announcement, len(list))
	for n, i := range list {
		b.entries[i].announced = now
		out[n] = b.entries[i].Announce(i, now)
	}
	return out
}

// Merge returns the latest announcement of each incarnation, those of the latest ones if they are too many for a message.
func Merge(lists ...[]Announcement) []Announcement {
	at := map[departure.Incarnation]int{}
	var out []Announcement
	for _, list := range lists {
		for _, a := range list {
			i, ok := at[a.Incarnation]
			switch {
			case !ok:
				at[a.Incarnation] = len(out)
				out = append(out, a)
			case a.Age < out[i].Age:
				out[i] = a
			}
		}
	}
	if len(out) > mostMerged {
		slices.SortFunc(out, func(a, b Announcement) int { return cmp.Compare(a.Age, b.Age) })
		out = out[:mostMerged]
	}
	return out
}
