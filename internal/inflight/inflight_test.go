package inflight

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against Wait returning while a request is in flight, or ignoring the end of its context.
func TestWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var c Counter
		c.Start()
		short, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if err := c.Wait(short); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("with a request in flight: error %v, want a deadline error", err)
		}
		time.AfterFunc(time.Minute, func() { c.Start(); c.Done(); c.Done() })
		start := time.Now()
		if err := c.Wait(t.Context()); err != nil || time.Since(start) < time.Minute || c.Count() != 0 {
			t.Errorf("error %v after %v with %d requests in flight", err, time.Since(start), c.Count())
		}
	})
}

// Requests start and end around each Wait, a reuse that sync.WaitGroup restricts. Guards against Wait missing the end of a request.
func TestStartWhileWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var c Counter
		for range 100 {
			c.Start()
			time.AfterFunc(pollInterval/2, c.Done)
			if err := c.Wait(t.Context()); err != nil {
				t.Fatal(err)
			}
		}
	})
}
