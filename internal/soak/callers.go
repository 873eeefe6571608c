package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/egrethoist/egrethoist/internal/sleep"
	"github.com/egrethoist/egrethoist/platform/standin"
)

// classes are the kinds of request, as the users' sheets name them.
var classes = []class{
	{name: "plan", prefix: "/plan/", path: "/plan/a%2fb//c?q=1&r=%20", service: engines, repeatable: true, stream: true, resumable: true, patience: 15 * time.Second},
	{name: "check", prefix: "/check/", path: "/check/1", service: engines, stream: true, patience: 3 * time.Second},
	{name: "book", prefix: "/book/", path: "/book/1", service: plain, patience: 8 * time.Second},
	{name: "look", prefix: "/look/", path: "/look/1", service: plain, repeatable: true, patience: 3 * time.Second},
}

// movedPrefix is the route that operators move between two services.
const movedPrefix = "/look/"

// callers send requests over connections that they keep open until the other end is gone.
type callers struct {
	fleet *fleet
	mu    sync.Mutex
	next  int
}

// run sends requests until ctx ends and waits for their answers.
func (c *callers) run(ctx context.Context) {
	const startSpread = 200 * time.Millisecond
	var all sync.WaitGroup
	for i := range c.fleet.opts.Callers {
		rng := rand.New(rand.NewPCG(c.fleet.opts.Seed, uint64(i)+100))
		all.Go(func() {
			time.Sleep(time.Duration(rng.Int64N(int64(startSpread))))
			c.caller(ctx, i, rng)
		})
	}
	all.Wait()
}

// think is the mean pause of a caller between two requests.
const think = 60 * time.Millisecond

func (c *callers) caller(ctx context.Context, n int, rng *rand.Rand) {
	transport := &http.Transport{
		MaxIdleConnsPerHost: 2, IdleConnTimeout: 10 * time.Second, DisableCompression: true,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) { return c.dial(ctx, rng) },
	}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	for ctx.Err() == nil {
		cl := &classes[rng.IntN(len(classes))]
		if rng.IntN(40) == 0 {
			c.leaveEarly(ctx, client, cl, rng)
		} else {
			c.request(client, cl, rng, 1)
		}
		_ = sleep.For(ctx, time.Duration(rng.ExpFloat64()*float64(think))) // the loop looks at ctx itself
	}
}

// dial connects to an instance in rotation, to any if there is none.
func (c *callers) dial(ctx context.Context, rng *rand.Rand) (net.Conn, error) {
	const dialTime = time.Second
	var ready []*instance
	for _, in := range c.fleet.instances {
		if in.ready.Load() {
			ready = append(ready, in)
		}
	}
	if len(ready) == 0 {
		ready = c.fleet.instances
	}
	c.mu.Lock()
	in := ready[rng.IntN(len(ready))]
	c.mu.Unlock()
	return (&net.Dialer{Timeout: dialTime}).DialContext(ctx, "tcp4", in.front.Address)
}

func (c *callers) newAttempt(cl *class, rng *rand.Rand) *attempt {
	c.mu.Lock()
	c.next++
	id := fmt.Sprintf("%d-%06d", c.fleet.opts.Seed, c.next)
	c.mu.Unlock()
	call := standin.Call{
		ID: id, Host: host, Path: cl.path, Body: fmt.Sprintf("%s %x", id, rng.Uint64()), Key: keys[rng.IntN(len(keys))].key,
		Patience: cl.patience,
	}
	if cl.stream {
		prompt := rng.IntN(prompts)
		call.Model, call.Output = model, 2+rng.IntN(12)
		if cl.resumable && rng.IntN(longStreams) == 0 {
			call.Output += rng.IntN(longStream)
		}
		call.Parts = []standin.Part{
			{ID: fmt.Sprintf("%x", prompt%4), Tokens: partTokens}, {ID: fmt.Sprintf("%x", 100+prompt), Tokens: partTokens}, {ID: "f" + id, Tokens: 50},
		}
		call.Prompt = 2*partTokens + 50
	}
	return &attempt{call: call, class: cl}
}

// request sends one request, and comes back after a refusal.
func (c *callers) request(client *http.Client, cl *class, rng *rand.Rand, retries int) {
	a := c.newAttempt(cl, rng)
	if cl.patience > mostSlow && rng.IntN(slowCallers) == 0 {
		a.bodyPause = leastSlow + time.Duration(rng.Int64N(int64(mostSlow-leastSlow)))
	}
	if rng.IntN(slowCallers) == 0 {
		a.readPause = time.Duration(rng.Int64N(int64(mostSlow)))
	}
	c.send(context.Background(), client, a)
	if a.notRun && retries > 0 {
		after, err := time.ParseDuration(a.reply.RetryAfter + "s")
		if err == nil && after < cl.patience/3 {
			time.Sleep(after)
			c.request(client, cl, rng, retries-1)
		}
	}
}

const (
	// longStreams is the share, one in so many, of resumable streams that are long; the longest lasts three drain bounds.
	longStreams = 4
	longStream  = 1500 // events
	// slowCallers is the share of callers' requests, one in so many, whose body comes late, and of those that read late.
	slowCallers = 12
	// leastSlow and mostSlow bound the pause of a slow caller: beyond the drain bound.
	leastSlow = 2 * time.Second
	mostSlow  = 5 * time.Second
)

// pausingReader gives half of a body, and the rest after a pause.
type pausingReader struct {
	parts []string
	pause time.Duration
}

func (p *pausingReader) Read(b []byte) (int, error) {
	if len(p.parts) == 0 {
		return 0, io.EOF
	}
	if len(p.parts) == 1 {
		time.Sleep(p.pause)
	}
	n := copy(b, p.parts[0])
	p.parts = p.parts[1:] // a transport's buffer takes a whole half
	return n, nil
}

// slowly makes the body of a request come late.
func slowly(req *http.Request, body string, pause time.Duration) {
	half := len(body) / 2
	req.Body, req.GetBody = io.NopCloser(&pausingReader{[]string{body[:half], body[half:]}, pause}), nil
}

// leaveEarly sends a request and does not wait for its answer.
func (c *callers) leaveEarly(ctx context.Context, client *http.Client, cl *class, rng *rand.Rand) {
	a := c.newAttempt(cl, rng)
	a.left = true
	ctx, cancel := context.WithTimeout(ctx, time.Duration(rng.IntN(30))*time.Millisecond)
	defer cancel()
	c.send(ctx, client, a)
}

// giveUpSlack is how long after its deadline a caller still reads an answer.
const giveUpSlack = time.Second

func (c *callers) send(ctx context.Context, client *http.Client, a *attempt) {
	ctx, cancel := context.WithTimeout(ctx, a.class.patience+giveUpSlack)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		c.fleet.ledger.route(a, c.instanceAt(info.Conn.RemoteAddr().String()))
	}})
	a.sent = time.Now()
	c.fleet.ledger.begin(a)
	req, err := a.call.Request(ctx, "http://callers.invalid")
	if err != nil {
		panic(fmt.Sprintf("soak: build request: %v", err)) // own constants
	}
	if a.bodyPause > 0 {
		slowly(req, a.call.Body, a.bodyPause)
	}
	resp, err := client.Do(req)
	if err != nil {
		c.fleet.ledger.end(a, standin.Reply{}, "", err)
		return
	}
	c.fleet.ledger.passedOn(a, standin.ReadReply(resp))
	_ = sleep.For(ctx, a.readPause) // the rest is read either way
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	c.fleet.ledger.end(a, standin.ReadReply(resp), string(body), err)
}

func (c *callers) instanceAt(address string) string {
	for _, in := range c.fleet.instances {
		if in.front.Address == address {
			return in.machine.Name
		}
	}
	return ""
}
