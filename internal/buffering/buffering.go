// Package buffering limits how many requests are held, and for how long, during a short restart of the only target that may run them.
// A request that has another target never waits, and one whose target does not return is answered as soon as its maximum wait is over.
package buffering

import (
	"cmp"
	"sync/atomic"
	"time"
)

// Options configures a Buffer. Zero values select the defaults of the package.
type Options struct {
	MaxWait    time.Duration // maximum wait of one request
	MaxWaiting int           // maximum number of requests that wait at the same time
	Reserve    time.Duration // time that must be left until the deadline after the wait
}

// Defaults of Options.
const (
	defaultMaxWait    = 4 * time.Second
	defaultMaxWaiting = 512
	defaultReserve    = 100 * time.Millisecond
)

// Buffer counts the waiting requests. It is lock-free and safe for concurrent use.
type Buffer struct {
	opts    Options
	waiting atomic.Int64
}

// New returns an empty buffer.
func New(opts Options) *Buffer {
	opts.MaxWait = cmp.Or(opts.MaxWait, defaultMaxWait)
	opts.MaxWaiting = cmp.Or(opts.MaxWaiting, defaultMaxWaiting)
	opts.Reserve = cmp.Or(opts.Reserve, defaultReserve)
	return &Buffer{opts: opts}
}

// Enter adds a request with the given deadline and returns the time until which it may wait. It returns false if the request must not
// wait, since the buffer is full or the deadline is too close. Each successful call must be paired with one call of Leave.
func (b *Buffer) Enter(now, deadline time.Time) (until time.Time, ok bool) {
	until = now.Add(b.opts.MaxWait)
	if latest := deadline.Add(-b.opts.Reserve); latest.Before(until) {
		until = latest
	}
	if !until.After(now) {
		return time.Time{}, false
	}
	if b.waiting.Add(1) > int64(b.opts.MaxWaiting) {
		b.waiting.Add(-1)
		return time.Time{}, false
	}
	return until, true
}

// Leave removes a request that Enter added.
func (b *Buffer) Leave() { b.waiting.Add(-1) }

// Waiting returns the number of waiting requests.
func (b *Buffer) Waiting() int { return int(b.waiting.Load()) }
