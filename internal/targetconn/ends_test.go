package targetconn

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/egrethoist/egrethoist/internal/fake/rawhttp"
)

// A response that ends before its length or its last chunk must not be read as complete, and its connection must not be used again: the next
// response on it would begin in the middle of this one.
func TestCutResponsesFail(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, c := range map[string]struct {
		response string
		reset    bool // the connection ends by a reset
	}{
		"shorter than its length":           {response: "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nhalf"},
		"no body, but a length":             {response: "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n"},
		"shorter than its length, HTTP/1.0": {response: "HTTP/1.0 200 OK\r\nContent-Length: 20\r\n\r\nhalf"},
		"no chunk":                          {response: chunked},
		"cut inside the size of a chunk":    {response: chunked + "4"},
		"cut inside a chunk":                {response: chunked + "8\r\nhalf"},
		"cut before the end of a chunk":     {response: chunked + "4\r\nhalf"},
		"cut between chunks":                {response: chunked + "4\r\nhalf\r\n"},
		"cut inside the last chunk":         {response: chunked + "4\r\nhalf\r\n0"},
		"cut after the last chunk's size":   {response: chunked + "4\r\nhalf\r\n0\r\n"},
		"cut inside the trailer":            {response: chunked + "4\r\nhalf\r\n0\r\nX: y"},
		"invalid size of a chunk":           {response: chunked + "4\r\nhalf\r\nzz\r\n"},
		"reset, without a length":           {response: "HTTP/1.1 200 OK\r\n\r\nhalf", reset: true},
		"reset, without a length, HTTP/1.0": {response: "HTTP/1.0 200 OK\r\n\r\nhalf", reset: true},
	} {
		t.Run(name, func(t *testing.T) {
			received := make(chan struct{})
			address := rawhttp.ServeConns(t, func(conn net.Conn, r *bufio.Reader) {
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				_, _ = io.WriteString(conn, c.response)
				if c.reset {
					<-received // a reset discards what the client has not read
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
			})
			for _, end := range []string{"read", "drained"} {
				p := NewPool(address, 1, nil)
				conn, err := p.Get(t.Context())
				if err != nil {
					t.Fatal(err)
				}
				e, err := conn.Send(t.Context(), get("/"))
				if err != nil {
					t.Fatal(err)
				}
				if c.reset {
					if _, err := io.ReadFull(e, make([]byte, 4)); err != nil {
						t.Fatal(err)
					}
					received <- struct{}{}
				}
				if end == "read" {
					if body, err := io.ReadAll(e); err == nil {
						t.Errorf("%q read as complete", body)
					}
					e.Abort()
				} else if err := e.Drain(); err == nil {
					t.Error("drained without an error")
				}
				if len(p.idle) != 0 || p.open != 0 {
					t.Errorf("%s: %d idle connections, %d open, want none", end, len(p.idle), p.open)
				}
			}
		})
	}
}

// A connection must not be used again after a response without a length, which ends with its connection, of an HTTP/1.0 target, which closes
// it, or one that is followed by bytes of no request: those of a body where none is allowed, or of a second response.
func TestConnectionIsNotReusedAfterUnframedBytes(t *testing.T) {
	for name, c := range map[string]struct{ response, want string }{
		"without a length":               {"HTTP/1.1 200 OK\r\n\r\nbody", "body"},
		"without a length, HTTP/1.0":     {"HTTP/1.0 200 OK\r\n\r\nbody", "body"},
		"with a length, HTTP/1.0":        {"HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\nbody", "body"},
		"no content with a body":         {"HTTP/1.1 204 S\r\n\r\nbody", ""},
		"no content with a length":       {"HTTP/1.1 204 S\r\nContent-Length: 4\r\n\r\nbody", ""},
		"not modified with a body":       {"HTTP/1.1 304 S\r\nContent-Length: 4\r\n\r\nbody", ""},
		"bytes after the length":         {okResponse + "more", "ok"},
		"bytes after the last chunk":     {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\nmore", "ok"},
		"interim response, then another": {"HTTP/1.1 100 Continue\r\n\r\n" + okResponse + okResponse, "ok"},
	} {
		t.Run(name, func(t *testing.T) {
			conns := make(chan struct{}, 10)
			address := rawhttp.ServeConns(t, func(conn net.Conn, r *bufio.Reader) {
				conns <- struct{}{}
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				_, _ = io.WriteString(conn, c.response)
				if c.want == "body" {
					return // the end of the connection ends the response
				}
				_, _ = http.ReadRequest(r)
			})
			p := NewPool(address, 1, nil)
			for n := range 2 {
				if body := exchange(t, p, get("/")); body != c.want {
					t.Errorf("response body %q, want %q", body, c.want)
				}
				time.Sleep(5 * time.Millisecond) // the rest of the bytes arrives
				if len(conns) != n+1 {
					t.Errorf("%d connections for %d requests", len(conns), n+1)
				}
			}
		})
	}
}

// A body in a response to HEAD is not read, so its bytes must not be taken for the next response.
func TestBodyOfHeadResponseIsNotTheNextResponse(t *testing.T) {
	address := rawhttp.ServeKeepAlive(t, func(r *http.Request, _ int) string {
		return "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n" + r.Method
	})
	p := NewPool(address, 1, nil)
	head := &Request{Method: http.MethodHead, URI: "/", Host: "h", Header: http.Header{}}
	for range 2 {
		if body := exchange(t, p, head); body != "" {
			t.Errorf("response body %q to HEAD", body)
		}
	}
}
