// Package inflight counts in-flight requests, so that a planned stop can wait for them to end. Unlike sync.WaitGroup it allows requests
// to start during the wait, as they do while a stopping process still answers requests with refusals.
package inflight

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/egrethoist/egrethoist/internal/steadytime"
)

// pollInterval is how often Wait and Drain read the count.
const pollInterval = 5 * time.Millisecond

// Counter counts in-flight requests. The zero value is ready for use; it is safe for concurrent use.
type Counter struct {
	n         atomic.Int64
	lastStart atomic.Int64 // steady time of the last start in nanoseconds; zero if there was none
}

// Start records the start of a request.
func (c *Counter) Start() {
	c.n.Add(1)
	c.lastStart.Store(steadytime.UnixNano(time.Now()))
}

// LastArrival returns when the last request started, or the zero time if none has.
func (c *Counter) LastArrival() time.Time {
	if nanos := c.lastStart.Load(); nanos != 0 {
		return steadytime.Time(nanos)
	}
	return time.Time{}
}

// Done records the end of a request. It must be called once for each Start.
func (c *Counter) Done() { c.n.Add(-1) }

// Count returns the number of in-flight requests.
func (c *Counter) Count() int64 { return c.n.Load() }

// Wait polls until no request is in flight and returns nil, or the error of ctx if ctx ends first.
func (c *Counter) Wait(ctx context.Context) error {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for c.n.Load() > 0 {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}
