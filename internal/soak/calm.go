package soak

import (
	"sync"
	"time"
)

// everywhere is the name of disturbances that concern all parts, such as a stall of the machine that the soak runs on.
const everywhere = "everywhere"

// metaStore is the name of the metadata store.
const metaStore = "metadata store"

// calm knows when which part was disturbed. Promises with a bound in time hold only for parts that were not.
type calm struct {
	mu    sync.Mutex
	spans map[string][]span
}

type span struct{ from, to time.Time } // to is zero while it goes on

func newCalm() *calm { return &calm{spans: map[string][]span{}} }

// disturb notes that a disturbance of the part begins and returns what ends it.
func (c *calm) disturb(part string) (end func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.spans[part] = append(c.spans[part], span{from: time.Now()})
	i := len(c.spans[part]) - 1
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.spans[part][i].to = time.Now()
	}
}

// note adds a disturbance that is over.
func (c *calm) note(part string, from, to time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.spans[part] = append(c.spans[part], span{from, to})
}

// quiet reports whether none of the parts was disturbed between two times.
func (c *calm) quiet(from, to time.Time, parts ...string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, part := range append(parts, everywhere) {
		for _, s := range c.spans[part] {
			if s.from.Before(to) && (s.to.IsZero() || s.to.After(from)) {
				return false
			}
		}
	}
	return true
}

// allQuiet reports whether nothing but the links of callers was disturbed between two times.
func (c *calm) allQuiet(from, to time.Time) bool {
	c.mu.Lock()
	parts := make([]string, 0, len(c.spans))
	for part := range c.spans {
		if part != frontLinks {
			parts = append(parts, part)
		}
	}
	c.mu.Unlock()
	return c.quiet(from, to, parts...)
}

// count returns how often a part was disturbed.
func (c *calm) count(part string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.spans[part])
}

const (
	stallTick = 20 * time.Millisecond
	// stallLimit is by how much a timer may be late before times measured around it prove nothing.
	stallLimit = 150 * time.Millisecond
)

// watchStalls notes the times in which this machine was too busy to keep time, until done is closed.
func (c *calm) watchStalls(done <-chan struct{}) {
	last := time.Now()
	for {
		select {
		case <-done:
			return
		case <-time.After(stallTick):
		}
		now := time.Now()
		if now.Sub(last) > stallTick+stallLimit {
			c.note(everywhere, last, now)
		}
		last = now
	}
}
