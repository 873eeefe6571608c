// Package departure remembers which targets have announced in a response to this or another instance that they are
// shutting down. The notice is kept independently of the target's record, which may expire, be stale, or reappear after
// an outage of the metadata store. The package has no I/O and no clock.
package departure

import (
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// retention is how long a notice is kept after it was last seen. It is longer than leaving targets continue to serve,
	// which can exceed the platform's drain timeout by seconds.
	retention = 10 * time.Minute
	// announceWindow is how long after its last observation a notice is sent to the other instances: the time of two
	// messages at the message rate of the largest planned fleet.
	announceWindow = 15 * time.Second
	// maxAnnounced is the maximum number of notices in one message; the others go into the next messages.
	maxAnnounced = 64
)

// Incarnation identifies one start of a target at one address. All instances derive the same value from the target's
// record.
type Incarnation uint64

// IncarnationOf returns the incarnation of a target. born is the target's start time in Unix milliseconds, zero if
// unknown.
func IncarnationOf(id, address string, born int64) Incarnation {
	return Incarnation(xxhash.Sum64String(id + "\x00" + address + "\x00" + strconv.FormatInt(born, 10)))
}

// Notices holds the incarnations that are leaving. It is safe for concurrent use.
type Notices struct {
	mu            sync.Mutex
	byIncarnation map[Incarnation]*notice
}

type notice struct {
	firstSeen     time.Time // when this instance first learned of it
	lastSeen      time.Time // last observation or message from another instance
	lastObserved  time.Time // last announcement to this instance; zero if only other instances observed one
	lastAnnounced time.Time // when it was last sent to the other instances
}

// New returns an empty set of notices.
func New() *Notices { return &Notices{byIncarnation: map[Incarnation]*notice{}} }

// Observe records an announcement to this instance. It returns true if the notice is new.
func (n *Notices) Observe(i Incarnation, now time.Time) bool { return n.record(i, now, true) }

// Learn records an announcement that another instance observed. It returns true if the notice is new.
func (n *Notices) Learn(i Incarnation, now time.Time) bool { return n.record(i, now, false) }

func (n *Notices) record(i Incarnation, now time.Time, observed bool) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	known := n.byIncarnation[i]
	if known == nil {
		known = &notice{firstSeen: now}
		n.byIncarnation[i] = known
	}
	isNew := known.lastSeen.IsZero()
	known.lastSeen = now
	if observed {
		known.lastObserved = now
	}
	return isNew
}

// LeavingSince returns when this instance learned that an incarnation is leaving, false if there is no such notice.
func (n *Notices) LeavingSince(i Incarnation) (time.Time, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if known := n.byIncarnation[i]; known != nil {
		return known.firstSeen, true
	}
	return time.Time{}, false
}

// ToAnnounce returns the incarnations to send to the other instances now and deletes expired notices. Only notices that
// this instance observed itself are sent, so that a notice does not circulate for ever.
func (n *Notices) ToAnnounce(now time.Time) []Incarnation {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []Incarnation
	for i, known := range n.byIncarnation {
		if now.Sub(known.lastSeen) >= retention {
			delete(n.byIncarnation, i)
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
		n.byIncarnation[i].lastAnnounced = now
	}
	return out
}

// leastAnnounced returns the incarnations that were announced the longest time ago, as many as fit into one message. It
// sorts list in place.
func (n *Notices) leastAnnounced(list []Incarnation) []Incarnation {
	slices.SortFunc(list, func(a, b Incarnation) int {
		return n.byIncarnation[a].lastAnnounced.Compare(n.byIncarnation[b].lastAnnounced)
	})
	return list[:maxAnnounced]
}
