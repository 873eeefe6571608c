package soak

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/egrethoist/egrethoist/internal/httpclient"
	"github.com/egrethoist/egrethoist/platform/standin"
)

// connCallers use connections to one instance, without a link between, until its process has ended. They know when the other end has
// closed a connection, so that the checker can tell a request that was sent on an open connection from one that crossed its end.
type connCallers struct {
	*callers
	in   *instance
	done <-chan struct{} // closed when the process has ended
}

// connUse is a way to use a connection.
type connUse struct {
	name     string
	count    int  // connections
	late     bool // the first request is sent after an idle time
	once     bool // for one request
	pipeline int  // requests in one write; zero: one
	http10   bool // with keep-alive
	slowBody bool // half of the body is sent later
}

var connUses = []connUse{
	{name: "kept", count: 12},
	{name: "late", count: 8, late: true},
	{name: "pipelined", count: 4, pipeline: 2},
	{name: "HTTP/1.0", count: 4, http10: true},
	{name: "slow body", count: 4, slowBody: true},
}

const (
	// connsPerBurst connections are opened at once, and the next ones up to maxBurstGap later.
	connsPerBurst = 6
	maxBurstGap   = 500 * time.Millisecond
	// reconnectDelay is the pause after the end of a connection.
	reconnectDelay = 100 * time.Millisecond
)

// run starts all callers and returns when the process has ended and the last requests are answered.
func (c *connCallers) run(rng *rand.Rand) {
	var all sync.WaitGroup
	for _, u := range connUses {
		for range u.count {
			own := rand.New(rand.NewPCG(rng.Uint64(), 0))
			all.Go(func() {
				for ok := true; ok; ok = c.wait(reconnectDelay) {
					if c.inRotation() {
						c.use(u, own)
					}
				}
			})
		}
	}
	for c.wait(time.Duration(rng.Int64N(int64(maxBurstGap)))) {
		if !c.inRotation() {
			continue
		}
		for range connsPerBurst {
			own := rand.New(rand.NewPCG(rng.Uint64(), 0))
			all.Go(func() { c.use(connUse{name: "new", once: true}, own) })
		}
	}
	all.Wait()
}

// wait waits for d and reports whether the process still runs.
func (c *connCallers) wait(d time.Duration) bool {
	select {
	case <-c.done:
		return false
	case <-time.After(d):
		return true
	}
}

// inRotation reports whether the load balancer connects callers to the instance.
func (c *connCallers) inRotation() bool { return slices.Contains(c.fleet.rotation(), c.in) }

// use connects to the instance and sends requests, with idle times between, until the connection or the process ends.
func (c *connCallers) use(u connUse, rng *rand.Rand) {
	conn, err := dialDirect(c.in)
	if err != nil {
		return // refused before anything was sent
	}
	defer conn.close()
	if u.late && !c.wait(idleTime(rng)) {
		return
	}
	for c.exchange(conn, u, rng) && !u.once && c.wait(idleTime(rng)) {
	}
}

// idleTime returns a random time up to the time to stop; half are below a quarter of it.
func idleTime(rng *rand.Rand) time.Duration {
	x := rng.Float64()
	return time.Duration(x * x * float64(bounds.StopTimeout))
}

// exchange sends the requests of one write and reads their answers. It reports whether the connection can be used again.
func (c *connCallers) exchange(conn *directConn, u connUse, rng *rand.Rand) bool {
	attempts := make([]*attempt, max(u.pipeline, 1))
	var out []byte
	for i := range attempts {
		cl := c.fleet.pickClass(rng)
		for cl.resumable || (u.http10 || u.slowBody) && cl.stream || u.slowBody && cl.patience <= maxSlowPause {
			cl = c.fleet.pickClass(rng)
		}
		a := c.newAttempt(cl, rng)
		a.instance, a.conn = c.in.spec.Name, u.name
		attempts[i] = a
		out = append(out, encode(&a.call, u.http10)...)
	}
	if received, err := conn.pending(); err != nil || len(received) > 0 {
		if len(received) > 0 && !isRequestTimeout(received) {
			c.fleet.checker.Violation("MIXED", "instance %s sent %q on a connection without a request", c.in.spec.Name, received)
		}
		return false // closed while it was idle
	}
	for _, a := range attempts {
		a.sent = time.Now()
		c.fleet.checker.recordSend(a)
	}
	pause := time.Duration(0)
	if u.slowBody {
		pause = time.Duration(rng.Int64N(int64(maxSlowPause)))
	}
	if conn.send(out, pause) {
		c.fleet.checker.recordSentWhole(attempts)
	}
	return c.receive(conn, attempts)
}

// receive reads the answers to the attempts in order and passes them to the checker. It reports whether the connection can be used again.
func (c *connCallers) receive(conn *directConn, attempts []*attempt) bool {
	var deadline time.Time
	for _, a := range attempts {
		if end := a.sent.Add(a.class.patience + deadlineGrace); end.After(deadline) {
			deadline = end
		}
	}
	conn.readUntil(deadline)
	defer conn.readUntil(time.Time{}) // the connection may be idle for longer
	reusable, closing, cut := true, false, false
	for i, a := range attempts {
		resp, err := httpclient.ReadResponse(conn.Conn, conn.reader, http.MethodPost)
		if err != nil {
			a.afterClose, a.afterCut = closing, cut
			c.fleet.checker.checkReply(a, standin.Reply{}, "", err)
			reusable = false
			continue
		}
		reply := standin.ReadReply(resp)
		c.fleet.checker.recordResponseHead(a, reply)
		body, err := io.ReadAll(resp.Body)
		c.fleet.checker.checkReply(a, reply, string(body), err)
		if reply.Status == http.StatusRequestTimeout && resp.Close {
			for _, behind := range attempts[i+1:] { // it stands for all that the instance had not read
				c.fleet.checker.checkReply(behind, reply, "", nil)
			}
			return false
		}
		closing, cut = closing || resp.Close, cut || err != nil
		reusable = reusable && err == nil && !closing
	}
	return reusable
}

// encode returns a call as it is sent.
func encode(call *standin.Call, http10 bool) []byte {
	var out bytes.Buffer
	req, err := call.Request(context.Background(), "http://callers.invalid")
	if err == nil && http10 {
		req.Header.Set("Connection", "keep-alive")
	}
	if err == nil {
		err = req.Write(&out)
	}
	if err != nil {
		panic(fmt.Sprintf("soak: encode request: %v", err)) // impossible: the URL is built from constants and a buffer takes all
	}
	if http10 {
		return bytes.Replace(out.Bytes(), []byte("HTTP/1.1"), []byte("HTTP/1.0"), 1)
	}
	return out.Bytes()
}

// isRequestTimeout reports whether bytes begin an answer with the status 408, which ends an idle connection.
func isRequestTimeout(received []byte) bool {
	_, status, _ := bytes.Cut(received, []byte(" "))
	return bytes.HasPrefix(status, []byte("408"))
}

// directConn is a connection to an instance without a link between.
type directConn struct {
	*httpclient.Conn
	socket *net.TCPConn // that Conn wraps
	reader *bufio.Reader
}

// dialDirect connects to an instance's own port for callers.
func dialDirect(in *instance) (*directConn, error) {
	const dialTimeout = time.Second
	c, err := net.DialTimeout("tcp4", fmt.Sprintf("%s:%d", in.spec.IP, in.spec.FrontPort), dialTimeout)
	if err != nil {
		return nil, err
	}
	checked := httpclient.NewConn(c)
	return &directConn{checked, c.(*net.TCPConn), bufio.NewReader(checked)}, nil
}

func (c *directConn) close() { _ = c.Close() }

// readUntil makes reads fail from the given time on; zero: never.
func (c *directConn) readUntil(deadline time.Time) {
	if err := c.SetReadDeadline(deadline); err != nil {
		panic(fmt.Sprintf("soak: set deadline: %v", err)) // impossible: the connection is open at this end
	}
}

// pending returns some of what the other end has sent and was not read yet, without waiting. It returns an error if there is nothing
// and the other end has closed the connection.
func (c *directConn) pending() ([]byte, error) {
	if n := c.reader.Buffered(); n > 0 {
		return c.reader.Peek(n)
	}
	const enough = 64
	buffer := make([]byte, enough)
	raw, err := c.socket.SyscallConn()
	if err != nil {
		return nil, err
	}
	n, received := 0, error(nil)
	err = raw.Read(func(fd uintptr) bool {
		n, _, received = syscall.Recvfrom(int(fd), buffer, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	switch {
	case err != nil:
		return nil, err
	case errors.Is(received, syscall.EAGAIN):
		return nil, nil
	case received != nil:
		c.RecordLoss(received) // the kernel won't report it to a read again
		return nil, received
	case n == 0:
		return nil, io.EOF
	}
	return buffer[:n], nil
}

// open reports whether the other end has not ended the connection as far as can be seen here.
func (c *directConn) open() bool {
	received, err := c.pending()
	return err == nil && !isRequestTimeout(received)
}

// send sends requests, with a pause before their last bytes, and reports whether all was sent before the other end ended the connection. It
// sends no more once there is an answer.
func (c *directConn) send(out []byte, pause time.Duration) bool {
	const delayed = 8 // bytes, of a longer body
	if pause > 0 {
		if _, err := c.Write(out[:len(out)-delayed]); err != nil {
			return false
		}
		time.Sleep(pause)
		if received, err := c.pending(); err != nil || len(received) > 0 {
			return false
		}
		out = out[len(out)-delayed:]
	}
	// Loopback delivers what is written before Write returns, so the end of the connection is seen afterwards if it came before.
	_, err := c.Write(out)
	return err == nil && c.open()
}
