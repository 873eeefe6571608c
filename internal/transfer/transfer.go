// Package transfer decides when a transfer between two machines has failed. A transfer whose size grows with the fleet or the configuration
// may take longer than any fixed time on a narrow link, while a dead peer must be noticed soon: so the limits are on progress, and
// the time for all of it follows from the bytes and the link. The package has no I/O, clock or globals.
package transfer

import (
	"context"
	"fmt"
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// Limits bound a call whose answer may be large. Other traffic shares the link, so the answer is given a small part of it.
type Limits struct {
	Head    time.Duration // longest time until the answer begins
	Stall   time.Duration // longest time without a byte of it
	MinRate float64       // bytes per second that the answer must reach on average from Stall after its beginning on
}

// defaultLinkMbps is the width of a link of unknown width, minLinkShare the part of a link that a transfer must reach on average.
const (
	defaultLinkMbps = 10
	minLinkShare    = 1.0 / 32
)

// bytesPerSecond returns what a link carries. Zero means that its width in Mbit/s is unknown.
func bytesPerSecond(linkMbps float64) float64 {
	const bytesPerMegabit = 1e6 / 8
	if linkMbps <= 0 {
		linkMbps = defaultLinkMbps
	}
	return linkMbps * bytesPerMegabit
}

// MinRate returns the rate that transfers over a link must reach, in bytes per second.
func MinRate(linkMbps float64) float64 { return bytesPerSecond(linkMbps) * minLinkShare }

// Time returns the time that an empty link takes for a number of bytes.
func Time(bytes int, linkMbps float64) time.Duration {
	return time.Duration(float64(bytes) / bytesPerSecond(linkMbps) * float64(time.Second))
}

// Upload returns the time in which a request body of a size must be sent, in addition to the time until its answer begins.
func (l Limits) Upload(bytes int) time.Duration {
	if l.MinRate <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) / l.MinRate * float64(time.Second))
}

// Progress is how far a transfer has come. Times are those of any clock, as long as it is the same for all of them.
type Progress struct {
	StartedAt, HeadAt, LastAt time.Time // HeadAt and LastAt are zero before the answer begins
	Received                  int64     // bytes of the body
}

// Deadline returns when the transfer has failed, unless it goes on before.
func (l Limits) Deadline(p Progress) time.Time {
	if p.HeadAt.IsZero() {
		return p.StartedAt.Add(l.Head)
	}
	deadline := p.LastAt.Add(l.Stall)
	if l.MinRate > 0 {
		slowest := p.HeadAt.Add(l.Stall + time.Duration(float64(p.Received)/l.MinRate*float64(time.Second)))
		if slowest.Before(deadline) {
			return slowest
		}
	}
	return deadline
}

// Error is the failure of a transfer by its limits.
type Error struct {
	Received, Total int64 // bytes; Total is -1 if it is unknown
	HeadSeen        bool
	After           time.Duration // since its start
}

// Error implements error.
func (e *Error) Error() string {
	if !e.HeadSeen {
		return fmt.Sprintf("no answer within %v", e.After.Round(time.Millisecond))
	}
	return fmt.Sprintf("answer stalled after %d of %d bytes and %v", e.Received, e.Total, e.After.Round(time.Millisecond))
}

// Timeout reports that it is a time limit.
func (e *Error) Timeout() bool { return true }

// largeBytes is the size from which an answer counts as large: it takes a noticeable time on a narrow link.
const largeBytes = 64 << 10

// Tracker follows the transfer of one call for another goroutine. It is safe for concurrent use.
type Tracker struct {
	received, total atomic.Int64
	once            sync.Once
	large           chan struct{}
}

// NewTracker returns a tracker of a call that has not begun.
func NewTracker() *Tracker { return &Tracker{large: make(chan struct{})} }

// Update records the bytes that have come, and the size of the answer, -1 if it is unknown.
func (t *Tracker) Update(received, total int64) {
	t.total.Store(total)
	t.received.Store(received)
	if max(received, total) >= largeBytes {
		t.once.Do(func() { close(t.large) })
	}
}

// Large is closed as soon as the answer is known to be large.
func (t *Tracker) Large() <-chan struct{} { return t.large }

// IsLarge reports whether the answer is known to be large.
func (t *Tracker) IsLarge() bool {
	select {
	case <-t.large:
		return true
	default:
		return false
	}
}

// Remaining returns the time that the rest of the answer takes at the rate of the time since it began.
func (t *Tracker) Remaining(elapsed time.Duration) time.Duration {
	received, total := t.received.Load(), t.total.Load()
	switch {
	case total <= received:
		return 0 // it has come, or its size is unknown
	case received == 0:
		return math.MaxInt64
	}
	return time.Duration(float64(elapsed) * float64(total-received) / float64(received))
}

// String tells how far the transfer has come.
func (t *Tracker) String() string {
	return fmt.Sprintf("%d of %d bytes received", t.received.Load(), t.total.Load())
}

type trackerKey struct{}

// WithTracker returns a context whose calls update a tracker.
func WithTracker(ctx context.Context, t *Tracker) context.Context {
	return context.WithValue(ctx, trackerKey{}, t)
}

// TrackerOf returns the tracker of a context; nil: none.
func TrackerOf(ctx context.Context) *Tracker {
	t, _ := ctx.Value(trackerKey{}).(*Tracker)
	return t
}
