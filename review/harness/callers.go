package harness

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/egrethoist/egrethoist/platform/standin"
)

// Callers sends requests to gateways and records the answers.
type Callers struct {
	Record *Record
	// Sent, OK and Refused count the requests, those answered 200 with a complete body, and those answered 503.
	Sent, OK, Refused atomic.Int64

	client *http.Client
	nextID atomic.Int64
	all    sync.WaitGroup
}

// NewCallers returns callers that keep their connections.
func NewCallers(r *Record) *Callers {
	return &Callers{Record: r, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 200}}}
}

// Send sends a call to a gateway in the background, under an ID of its own.
func (c *Callers) Send(ctx context.Context, front string, call standin.Call) {
	c.SendAs(ctx, fmt.Sprintf("%016x", 0xa0000000+c.nextID.Add(1)), front, call)
}

// SendAs is Send under a given ID.
func (c *Callers) SendAs(ctx context.Context, id, front string, call standin.Call) {
	call.ID = id
	c.Sent.Add(1)
	c.all.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, call.Patience)
		defer cancel()
		req, err := call.Request(ctx, "http://"+front)
		if err != nil {
			c.Record.Printf("request %s: %v", call.ID, err)
			return
		}
		begun := time.Now()
		resp, err := c.client.Do(req)
		if err != nil {
			c.Record.Printf("request %s to %s: no answer: %v", call.ID, front, err)
			return
		}
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		c.Record.Printf("request %s to %s, parts %v: status %d, %d bytes, complete %t, after %v", call.ID, front, call.Parts, resp.StatusCode, len(body), err == nil, time.Since(begun).Round(time.Millisecond))
		switch {
		case resp.StatusCode == http.StatusOK && err == nil:
			c.OK.Add(1)
		case resp.StatusCode == http.StatusServiceUnavailable:
			c.Refused.Add(1)
		}
	})
}

// Wait waits for the answers to all requests.
func (c *Callers) Wait() { c.all.Wait() }
