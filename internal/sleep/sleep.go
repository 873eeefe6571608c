// Package sleep pauses a goroutine for a duration or until a context ends, whichever comes first.
package sleep

import (
	"context"
	"time"
)

// For waits for d and returns nil, or returns the error of ctx if ctx ends first. If d is zero or negative it returns immediately, with
// the error of ctx if ctx has already ended.
func For(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
