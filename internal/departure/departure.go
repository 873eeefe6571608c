// Package departure remembers which targets have announced in an answer that they leave, to this instance or to another one.
// The announcement outlasts the target's record: a record may lapse, be old, or come back after an outage of the
// metadata store. It has no I/O and no clock.
package departure

import (
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// keepFor is how long a notice is remembered after it was last repeated: longer than leaving targets serve on, which
	// is seconds at times beyond the platform's drain bound.
	retention = 10 * time.Minute
	// announceFor is how long after it was last observed a notice is passed on to the other instances: two messages at the rate
	// of the largest fleet that is planned for.
	announceWindow = 15 * time.Second
	// maxAnnounced bounds the notices in one message; the rest go with the next ones.
	maxAnnounced = 64
)

// Incarnation is one start of a target at one address. All instances derive the same value from a target's record.
type Incarnation uint64

// Of returns the incarnation of a target. born is its start in Unix milliseconds, zero if unknown.
func IncarnationOf(id, address string, born int64) Incarnation {
	return Incarnation(xxhash.Sum64String(id + "\x00" + address + "\x00" + strconv.FormatInt(born, 10)))
}

// Notices holds the incarnations that leave. It is safe for concurrent use.
type Notices struct {
	mu      sync.Mutex
	notices map[Incarnation]*notice
}

type notice struct {
	firstSeen     time.Time // when this instance learned of it
	lastSeen      time.Time // last seen, first or second hand
	lastObserved  time.Time // last answer of the target to this instance; zero if only others had one
	lastAnnounced time.Time // last sent to the others
}

// New returns an empty set.
func New() *Notices { return &Notices{notices: map[Incarnation]*notice{}} }

// Observe records an announcement to this instance. It returns true if it was not known.
func (n *Notices) Observe(i Incarnation, now time.Time) bool { return n.record(i, now, true) }

// Learn records an announcement that another instance observed. It returns true if it was not known.
func (n *Notices) Learn(i Incarnation, now time.Time) bool { return n.record(i, now, false) }

func (n *Notices) record(i Incarnation, now time.Time, observed bool) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	known := n.notices[i]
	if known == nil {
		known = &notice{firstSeen: now}
		n.notices[i] = known
	}
	isNew := known.lastSeen.IsZero()
	known.lastSeen = now
	if observed {
		known.lastObserved = now
	}
	return isNew
}

// Since returns when this instance learned that an incarnation leaves, false if it does not.
func (n *Notices) LeavingSince(i Incarnation) (time.Time, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if known := n.notices[i]; known != nil {
		return known.firstSeen, true
	}
	return time.Time{}, false
}

// ToAnnounce returns the incarnations to send to the other instances now, and drops those that are long gone. Only what this
// instance observed itself is passed on, so that a notice does not circulate for ever.
func (n *Notices) ToAnnounce(now time.Time) []Incarnation {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []Incarnation
	for i, known := range n.notices {
		if now.Sub(known.lastSeen) >= retention {
			delete(n.notices, i)
			continue
		}
		if !known.lastObserved.IsZero() && now.Sub(known.lastObserved) < announceWindow {
			out = append(out, i)
		}
	}
	if len(out) > maxAnnounced {
		out = n.leastAnnounced(out)
	}
	for _, i := range out {
		n.notices[i].lastAnnounced = now
	}
	return out
}

// leastAnnounced returns the incarnations that were sent longest ago, as many as fit into one message.
func (n *Notices) leastAnnounced(list []Incarnation) []Incarnation {
	slices.SortFunc(list, func(a, b Incarnation) int { return n.notices[a].lastAnnounced.Compare(n.notices[b].lastAnnounced) })
	return list[:maxAnnounced]
}
