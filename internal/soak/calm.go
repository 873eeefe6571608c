package soak

import (
	"sync"
	"time"
)

// allParts is the part name of disturbances that affect all parts, such as a stall of the machine that runs the soak.
const allParts = "everywhere"

// metaStorePart is the part name of the metadata store.
const metaStorePart = "metadata store"

// disturbances records the periods in which each part of the deployment was disturbed by a fault. Guarantees with a time limit are
// checked only for parts that were not disturbed. It is safe for concurrent use.
type disturbances struct {
	mu    sync.Mutex
	spans map[string][]span // by part
}

// span is the period of a disturbance; to is zero while it lasts.
type span struct{ from, to time.Time }

func newDisturbances() *disturbances { return &disturbances{spans: map[string][]span{}} }

// begin records the start of a disturbance of the part. The returned function records its end.
func (d *disturbances) begin(part string) (end func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.spans[part] = append(d.spans[part], span{from: time.Now()})
	i := len(d.spans[part]) - 1
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.spans[part][i].to = time.Now()
	}
}

// add records a disturbance that has ended.
func (d *disturbances) add(part string, from, to time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.spans[part] = append(d.spans[part], span{from, to})
}

// undisturbed reports whether none of the parts was disturbed between two times. Disturbances of allParts count for each part.
func (d *disturbances) undisturbed(from, to time.Time, parts ...string) bool {
	return !d.anyWithin(from, to, append(parts, allParts)...)
}

// anyWithin reports whether one of the parts was disturbed between two times. Disturbances of allParts count for allParts only.
func (d *disturbances) anyWithin(from, to time.Time, parts ...string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, part := range parts {
		for _, s := range d.spans[part] {
			if s.from.Before(to) && (s.to.IsZero() || s.to.After(from)) {
				return true
			}
		}
	}
	return false
}

// allUndisturbed reports whether no part except the links of callers was disturbed between two times.
func (d *disturbances) allUndisturbed(from, to time.Time) bool {
	d.mu.Lock()
	parts := make([]string, 0, len(d.spans))
	for part := range d.spans {
		if part != callerLinksPart {
			parts = append(parts, part)
		}
	}
	d.mu.Unlock()
	return d.undisturbed(from, to, parts...)
}

// count returns the number of disturbances of a part.
func (d *disturbances) count(part string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.spans[part])
}

const (
	stallCheckInterval = 20 * time.Millisecond
	// maxTimerDelay is the delay of a timer above which the machine counts as stalled, because time limits cannot be checked
	// reliably during such a period.
	maxTimerDelay = 150 * time.Millisecond
)

// watchStalls records a disturbance of allParts whenever a timer fires more than maxTimerDelay late, until done is closed.
func (d *disturbances) watchStalls(done <-chan struct{}) {
	last := time.Now()
	for {
		select {
		case <-done:
			return
		case <-time.After(stallCheckInterval):
		}
		now := time.Now()
		if now.Sub(last) > stallCheckInterval+maxTimerDelay {
			d.add(allParts, last, now)
		}
		last = now
	}
}
