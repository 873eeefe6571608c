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

	"github.com/egrethoist/egrethoist/internal/httpclient"
	"github.com/egrethoist/egrethoist/internal/sleep"
	"github.com/egrethoist/egrethoist/platform/standin"
)

// classes are the kinds of request, as the specification names them.
var classes = []class{
	{name: "plan", prefix: "/plan/", path: "/plan/a%2fb//c?q=1&r=%20", service: engines, repeatable: true, stream: true, resumable: true, patience: 15 * time.Second},
	{name: "check", prefix: "/check/", path: "/check/1", service: engines, stream: true, patience: 3 * time.Second},
	{name: "book", prefix: "/book/", path: "/book/1", service: plain, patience: 8 * time.Second},
	{name: "look", prefix: "/look/", path: "/look/1", service: plain, repeatable: true, patience: 3 * time.Second},
}

// movedPrefix is the prefix of the route that is switched between the services plain and plainNext during a run.
const movedPrefix = "/look/"

// callers simulates the clients, which send requests over persistent connections.
type callers struct {
	fleet  *fleet
	mu     sync.Mutex
	lastID int
}

// run starts all callers, which send requests until ctx ends, and waits until their last requests are answered.
func (c *callers) run(ctx context.Context) {
	const startSpread = 200 * time.Millisecond
	var all sync.WaitGroup
	for i := range c.fleet.opts.Callers {
		rng := rand.New(rand.NewPCG(c.fleet.opts.Seed, uint64(i)+100))
		all.Go(func() {
			time.Sleep(time.Duration(rng.Int64N(int64(startSpread))))
			c.runCaller(ctx, i, rng)
		})
	}
	all.Wait()
}

// meanThinkTime is the mean of the exponentially distributed pause between two requests of a caller.
const meanThinkTime = 60 * time.Millisecond

// runCaller sends requests of random classes, one after the other, until ctx ends. One in 40 is abandoned early.
func (c *callers) runCaller(ctx context.Context, n int, rng *rand.Rand) {
	transport := httpclient.New(&http.Transport{
		MaxIdleConnsPerHost: 2, IdleConnTimeout: 10 * time.Second,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) { return c.dial(ctx, rng) },
	})
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, CheckRedirect: func(*http.Request, []*http.Request) error {
		return http.ErrUseLastResponse // a redirect is an answer to check like any other
	}}
	for ctx.Err() == nil {
		cl := c.fleet.pickClass(rng)
		if rng.IntN(40) == 0 {
			c.sendAndAbandon(ctx, client, cl, rng)
		} else {
			c.sendWithRetry(client, cl, rng, 1)
		}
		_ = sleep.For(ctx, time.Duration(rng.ExpFloat64()*float64(meanThinkTime))) // the loop condition checks ctx
	}
}

// dial connects to a random instance in the load balancer's rotation.
func (c *callers) dial(ctx context.Context, rng *rand.Rand) (net.Conn, error) {
	const dialTimeout = time.Second
	instances := c.fleet.rotation()
	c.mu.Lock()
	in := instances[rng.IntN(len(instances))]
	c.mu.Unlock()
	return (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp4", in.callerLink.Address)
}

// newAttempt returns an attempt of the class with a new ID, a random API key and a random body or prompt.
func (c *callers) newAttempt(cl *class, rng *rand.Rand) *attempt {
	c.mu.Lock()
	c.lastID++
	id := fmt.Sprintf("%d-%06d", c.fleet.opts.Seed, c.lastID)
	c.mu.Unlock()
	call := standin.Call{
		ID: id, Host: host, Path: cl.path, Body: fmt.Sprintf("%s %x", id, rng.Uint64()), Key: keys[rng.IntN(len(keys))].key,
		Patience: cl.patience,
	}
	if cl.key != "" {
		call.Key = cl.key
	}
	if cl.stream {
		prompt := rng.IntN(promptCount)
		call.Model, call.Output = model, 2+rng.IntN(12)
		if cl.resumable && rng.IntN(longStreamOdds) == 0 {
			call.Output += rng.IntN(maxExtraEvents)
		}
		call.Parts = []standin.Part{
			{ID: fmt.Sprintf("%x", prompt%4), Tokens: partTokens}, {ID: fmt.Sprintf("%x", 100+prompt), Tokens: partTokens}, {ID: "f" + id, Tokens: 50},
		}
		if deadly := c.fleet.deadlyPart.Load(); deadly != nil && rng.IntN(deadlyOdds) == 0 {
			call.Parts[1].ID = *deadly
		}
		call.Prompt = 2*partTokens + 50
	}
	return &attempt{call: call, class: cl}
}

// sendWithRetry sends one request. If it is refused and the Retry-After time is less than a third of the caller's patience, it
// waits that long and sends a new request, at most retries times.
func (c *callers) sendWithRetry(client *http.Client, cl *class, rng *rand.Rand, retries int) {
	a := c.newAttempt(cl, rng)
	if cl.patience > maxSlowPause && rng.IntN(slowCallerOdds) == 0 {
		a.bodyPause = minSlowPause + time.Duration(rng.Int64N(int64(maxSlowPause-minSlowPause)))
	}
	if rng.IntN(slowCallerOdds) == 0 {
		a.readPause = time.Duration(rng.Int64N(int64(maxSlowPause)))
	}
	c.send(context.Background(), client, a)
	c.takeUp(client, a, rng)
	if a.notRun && retries > 0 {
		after, err := time.ParseDuration(a.reply.RetryAfter + "s")
		if err == nil && after < cl.patience/3 {
			time.Sleep(after)
			c.sendWithRetry(client, cl, rng, retries-1)
		}
	}
}

const (
	// One in longStreamOdds resumable streams is long, with up to maxExtraEvents more events. The longest streams last three times
	// the drain bound.
	longStreamOdds = 4
	maxExtraEvents = 1500
	// One in slowCallerOdds requests, if its caller has patience enough, is sent with a pause in the middle of the body. The
	// answers of one in as many are read late.
	slowCallerOdds = 12
	// minSlowPause and maxSlowPause bound the pause in a body. They are not below the drain bound, so that a drain runs out
	// meanwhile.
	minSlowPause = 2 * time.Second
	maxSlowPause = 5 * time.Second
)

// pausingReader returns the parts of a body one by one and pauses before the last one.
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
	p.parts = p.parts[1:] // the transport's buffer is larger than a part, so copy never truncates
	return n, nil
}

// delayBody makes the request send the second half of its body only after a pause.
func delayBody(req *http.Request, body string, pause time.Duration) {
	half := len(body) / 2
	req.Body, req.GetBody = io.NopCloser(&pausingReader{[]string{body[:half], body[half:]}, pause}), nil
}

// sendAndAbandon sends a request and cancels it after less than 30 ms.
func (c *callers) sendAndAbandon(ctx context.Context, client *http.Client, cl *class, rng *rand.Rand) {
	a := c.newAttempt(cl, rng)
	a.abandoned = true
	ctx, cancel := context.WithTimeout(ctx, time.Duration(rng.IntN(30))*time.Millisecond)
	defer cancel()
	c.send(ctx, client, a)
}

// deadlineGrace is the time after the deadline of a request during which its caller still reads the answer.
const deadlineGrace = time.Second

// send sends an attempt, reads the answer and passes both to the checker.
func (c *callers) send(ctx context.Context, client *http.Client, a *attempt) {
	ctx, cancel := context.WithTimeout(ctx, a.class.patience+deadlineGrace)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		c.fleet.checker.recordInstance(a, c.instanceAt(info.Conn.RemoteAddr().String()))
	}})
	a.sent = time.Now()
	c.fleet.checker.recordSend(a)
	req, err := a.call.Request(ctx, "http://callers.invalid")
	if err != nil {
		panic(fmt.Sprintf("soak: build request: %v", err)) // impossible: the URL is built from constants
	}
	if a.bodyPause > 0 {
		delayBody(req, a.call.Body, a.bodyPause)
	}
	resp, err := client.Do(req)
	if err != nil {
		c.fleet.checker.checkReply(a, standin.Reply{}, "", err)
		return
	}
	c.fleet.checker.recordResponseHead(a, standin.ReadReply(resp))
	_ = sleep.For(ctx, a.readPause) // the body is read even if ctx has ended
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	c.fleet.checker.checkReply(a, standin.ReadReply(resp), string(body), err)
}

// instanceAt returns the name of the instance with the given public address, or an empty string.
func (c *callers) instanceAt(address string) string {
	for _, in := range c.fleet.instances {
		if in.callerLink.Address == address {
			return in.spec.Name
		}
	}
	return ""
}
