package targetconn

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/egrethoist/egrethoist/internal/fake/rawhttp"
)

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// exchange sends a request over p and returns the response body.
func exchange(t *testing.T, p *Pool, r *Request) string {
	t.Helper()
	conn, err := p.Get(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	e, err := conn.Send(t.Context(), r)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(e)
	if err != nil {
		t.Fatal(err)
	}
	e.Finish()
	return string(body)
}

func get(uri string) *Request {
	return &Request{Method: http.MethodGet, URI: uri, Host: "h", Header: http.Header{"X": {"1"}}}
}

// Guards against opening a new connection for each request.
func TestConnectionReuse(t *testing.T) {
	conns := make(chan struct{}, 10)
	address := rawhttp.ServeConns(t, func(conn net.Conn, r *bufio.Reader) {
		conns <- struct{}{}
		for {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			if _, err := io.WriteString(conn, okResponse); err != nil {
				return
			}
		}
	})
	p := NewPool(address, 5, nil)
	for range 3 {
		if got := exchange(t, p, get("/a")); got != "ok" {
			t.Fatalf("response body %q", got)
		}
	}
	if len(conns) != 1 {
		t.Errorf("%d connections for three requests, want 1", len(conns))
	}
}

// Guards against more connections to a target than the limit of the pool.
func TestConnectionLimit(t *testing.T) {
	address := rawhttp.ServeConns(t, func(_ net.Conn, r *bufio.Reader) { _, _ = r.ReadByte() })
	p := NewPool(address, 1, nil)
	if _, err := p.Get(t.Context()); err != nil {
		t.Fatal(err)
	}
	if _, err := p.Get(t.Context()); !errors.Is(err, ErrNoConnection) {
		t.Errorf("error %v for a second connection, want %v", err, ErrNoConnection)
	}
}

// A target that responds before it has read a long body keeps reading it. If the connection were reused, the target would take the
// bytes of the next request for the rest of the body.
func TestEarlyResponseClosesConnection(t *testing.T) {
	conns := make(chan struct{}, 10)
	address := rawhttp.ServeConns(t, func(conn net.Conn, r *bufio.Reader) {
		conns <- struct{}{}
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.WriteString(conn, okResponse); err != nil {
			return
		}
		if req.ContentLength > 0 {
			_, _ = r.Peek(1)
			select {} // never reads the body
		}
	})
	p := NewPool(address, 5, nil)
	long := &Request{Method: http.MethodPost, URI: "/", Host: "h", Header: http.Header{}, Body: []byte(strings.Repeat("x", 64<<20))}
	if got := exchange(t, p, long); got != "ok" {
		t.Fatalf("response body %q", got)
	}
	if got := exchange(t, p, get("/next")); got != "ok" {
		t.Fatalf("response body %q", got)
	}
	if len(conns) != 2 {
		t.Errorf("%d connections, want a new one for the second request", len(conns))
	}
}

// Guards against treating a truncated response body as complete.
func TestTruncatedBodyFails(t *testing.T) {
	address := rawhttp.Serve(t, rawhttp.Always("HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nhalf"))
	conn, err := NewPool(address, 1, nil).Get(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	e, err := conn.Send(t.Context(), get("/"))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(e); err == nil {
		t.Error("truncated body read without an error")
	}
	e.Abort()
}

// Canceling the request's context closes the connection, so that the target can stop working on the request, and Send returns the
// cause of the cancellation.
func TestCancelClosesConnection(t *testing.T) {
	received, closed := make(chan struct{}), make(chan struct{})
	address := rawhttp.ServeConns(t, func(_ net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		close(received)
		_, _ = r.ReadByte()
		close(closed)
	})
	conn, err := NewPool(address, 1, nil).Get(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancelCause(t.Context())
	reason := errors.New("reason")
	go func() { <-received; cancel(reason) }()
	if _, err := conn.Send(ctx, get("/")); !errors.Is(err, reason) {
		t.Errorf("error %v, want the cause of the cancellation", err)
	}
	<-closed
}

// A connection that is put back unused stays idle from the target's point of view. If PutBack restarted the idle time, the connection
// could be reused after the target's idle timeout.
func TestPutBackKeepsIdleSince(t *testing.T) {
	address := rawhttp.ServeKeepAlive(t, func(*http.Request, int) string { return okResponse })
	p := NewPool(address, 1, nil)
	exchange(t, p, get("/"))
	c, err := p.Get(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	idle := c.idleSince
	c.PutBack()
	again, err := p.Get(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if again != c || again.idleSince != idle {
		t.Errorf("idle since %v after it was put back, want %v", again.idleSince, idle)
	}
	again.discard()
}

// Guards against requests on connections that the target has closed while the machine was suspended: the time of a suspension counts as
// idle time.
func TestIdleConnectionIsNotReusedAfterSuspension(t *testing.T) {
	p := NewPool(rawhttp.ServeKeepAlive(t, func(*http.Request, int) string { return okResponse }), 2, nil)
	var suspended time.Duration
	p.clock = func() time.Duration { return suspended }
	exchange(t, p, get("/"))
	suspended = defaultIdleTimeout
	c, err := p.Get(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if c.used {
		t.Error("a connection was used again that was idle for its timeout while the machine was suspended")
	}
	c.discard()
	exchange(t, p, get("/"))
	suspended += defaultIdleTimeout
	p.Prune(time.Now())
	if len(p.idle) != 0 {
		t.Errorf("%d idle connections kept after a suspension, want none", len(p.idle))
	}
}

// Guards against a request on a connection that has ended since it was chosen, or got bytes of no request.
func TestConnectionThatEndedSinceGetIsNotUsable(t *testing.T) {
	for name, end := range map[string]func(conn net.Conn){
		"closed by the target": func(conn net.Conn) { _ = conn.Close() },
		"unread bytes":         func(conn net.Conn) { _, _ = io.WriteString(conn, "HTTP/1.1 408 S\r\n\r\n") },
		"idle for its timeout": nil,
	} {
		t.Run(name, func(t *testing.T) {
			atTarget := make(chan net.Conn, 2)
			p := NewPool(rawhttp.ServeConns(t, func(conn net.Conn, r *bufio.Reader) {
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				_, _ = io.WriteString(conn, okResponse)
				atTarget <- conn
				_, _ = http.ReadRequest(r)
			}), 1, nil)
			var suspended time.Duration
			p.clock = func() time.Duration { return suspended }
			exchange(t, p, get("/"))
			c, err := p.Get(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			if !c.used || !c.Usable() {
				t.Fatal("the kept connection is not used again")
			}
			if end == nil {
				suspended = defaultIdleTimeout
			} else {
				end(<-atTarget)
			}
			for deadline := time.Now().Add(5 * time.Second); c.Usable() && time.Now().Before(deadline); {
				time.Sleep(time.Millisecond)
			}
			if c.Usable() {
				t.Error("the connection counts as usable")
			}
			c.PutBack()
			if again, err := p.Get(t.Context()); err != nil || again == c {
				t.Errorf("the connection is handed out again: %t, %v", again == c, err)
			}
		})
	}
}

// failingConn is a connection that takes some bytes of a request and fails then.
type failingConn struct {
	net.Conn
	takes int
}

func (c *failingConn) Write([]byte) (int, error) { return c.takes, syscall.ECONNRESET }
func (c *failingConn) Close() error              { return nil }

// A request of which the connection took no byte cannot have run, and only such a request is reported as not sent.
func TestSendReportsWhetherAnythingWasSent(t *testing.T) {
	for name, c := range map[string]struct {
		takes int
		body  string
		want  bool
	}{
		"nothing":             {0, "body", true},
		"nothing, large body": {0, strings.Repeat("b", maxInlineBody+1), true},
		"one byte":            {1, "body", false},
	} {
		t.Run(name, func(t *testing.T) {
			p := NewPool("", 1, func(context.Context, string, string) (net.Conn, error) { return &failingConn{takes: c.takes}, nil })
			conn, err := p.Get(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			_, err = conn.Send(t.Context(), &Request{Method: http.MethodPost, URI: "/a", Host: "h", Body: []byte(c.body)})
			if !errors.Is(err, syscall.ECONNRESET) || errors.Is(err, ErrNotSent) != c.want {
				t.Errorf("%v; want a reset connection, not sent: %t", err, c.want)
			}
		})
	}
}
