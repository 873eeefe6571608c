package store

import (
	"context"
	"sync"
	"time"

	"github.com/egrethoist/egrethoist/internal/sleep"
)

// Link is a shared path of limited rate. Its users' transfers queue one behind the other.
type Link struct {
	mu          sync.Mutex
	bytesPerSec float64
	delay       time.Duration
	free        time.Time // when the last transfer taken ends
}

// NewLink returns a link of the given rate and one-way delay. A rate of zero is unlimited.
func NewLink(bytesPerSec float64, delay time.Duration) *Link {
	return &Link{bytesPerSec: bytesPerSec, delay: delay}
}

// SetRate changes the rate of transfers taken from now on.
func (l *Link) SetRate(bytesPerSec float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bytesPerSec = bytesPerSec
}

// Transfer returns once the bytes have passed the link.
func (l *Link) Transfer(ctx context.Context, bytes int) error {
	if l == nil {
		return ctx.Err()
	}
	return sleep.For(ctx, l.take(time.Now(), bytes))
}

func (l *Link) take(now time.Time, bytes int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.bytesPerSec <= 0 {
		return l.delay
	}
	if l.free.Before(now) {
		l.free = now
	}
	d := time.Duration(float64(bytes) / l.bytesPerSec * float64(time.Second))
	l.free = l.free.Add(d)
	return l.free.Sub(now) + l.delay
}
