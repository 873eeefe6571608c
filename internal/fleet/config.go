package fleet

import (
	"sync"

	egretv1 "github.com/egrethoist/egrethoist/gen/egret/v1"
	"github.com/egrethoist/egrethoist/internal/world"
)

// Config holds the configuration of one process. Each process has its own, so that a test can let a change
// reach some of them only.
type Config struct {
	mu      sync.Mutex
	world   *world.World
	changed chan struct{}
}

// NewConfig returns a holder of w, which may be nil.
func NewConfig(w *world.World) *Config {
	return &Config{world: w, changed: make(chan struct{})}
}

// Set puts w in force.
func (c *Config) Set(w *world.World) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.world = w
	close(c.changed)
	c.changed = make(chan struct{})
}

// Current returns the configuration in force.
func (c *Config) Current() *world.World {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.world
}

// Stamp names the revision in force.
func (c *Config) Stamp() *egretv1.RevisionStamp {
	w := c.Current()
	if w == nil {
		return &egretv1.RevisionStamp{}
	}
	return &egretv1.RevisionStamp{Number: w.Revision.Number, Digest: w.Revision.Digest[:]}
}

// Observe ignores the stamps of peers: changes arrive by Set alone.
func (c *Config) Observe(*egretv1.RevisionStamp, string) {}

// Changed returns a channel that is closed at the next change.
func (c *Config) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}
