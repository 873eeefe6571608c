package sleep

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against waiting beyond the end of the context, or for a duration other than the one given.
func TestFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		for _, c := range []struct {
			wait, takes time.Duration
			err         error
		}{
			{0, 0, nil},
			{2 * time.Second, 2 * time.Second, nil},
			{time.Hour, time.Second, context.DeadlineExceeded},
			{0, 0, context.DeadlineExceeded},
		} {
			start := time.Now()
			if err := For(ctx, c.wait); !errors.Is(err, c.err) || time.Since(start) != c.takes {
				t.Errorf("For(%v): %v after %v, want %v after %v", c.wait, err, time.Since(start), c.err, c.takes)
			}
		}
	})
}
