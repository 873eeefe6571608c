package streampin

import (
	"sync"
	"time"
)

// maxPins bounds the streams that an instance remembers: some hundred new streams a second for a minute.
const maxPins = 1 << 16

// Pins is an instance's memory of the streams that it has forwarded. It is safe for concurrent use.
type Pins struct {
	mu    sync.Mutex
	byID  map[string]pin
	order []expiry // in the order of insertion
}

type pin struct {
	version Version
	until   time.Time
}

type expiry struct {
	id    string
	until time.Time
}

// NewPins returns an empty memory.
func NewPins() *Pins { return &Pins{byID: map[string]pin{}} }

// Set remembers the version of the stream that an attempt of a caller has begun.
func (p *Pins) Set(id string, v Version, now time.Time, lifetime time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.order) > 0 && (len(p.order) >= maxPins || now.After(p.order[0].until)) {
		oldest := p.order[0]
		p.order = p.order[1:]
		if kept, ok := p.byID[oldest.id]; ok && kept.until.Equal(oldest.until) {
			delete(p.byID, oldest.id)
		}
	}
	until := now.Add(lifetime)
	p.byID[id] = pin{version: v, until: until}
	p.order = append(p.order, expiry{id: id, until: until})
}

// Get returns the version of a stream, false if it is not remembered.
func (p *Pins) Get(id string, now time.Time) (Version, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept, ok := p.byID[id]
	return kept.version, ok && !now.After(kept.until)
}
