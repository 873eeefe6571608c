package targetconn

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
)

// dialUnbounded returns a Dial whose server sends prefix and then repeated over and over until the client closes. It counts in written
// the bytes that the client has read, and stops at writeLimit, which only a client without a limit reaches.
func dialUnbounded(written *atomic.Int64, prefix, repeated string) Dial {
	const writeLimit = 4 << 20
	return func(context.Context, string, string) (net.Conn, error) {
		client, server := net.Pipe()
		go func() {
			defer server.Close()
			go func() { _, _ = io.Copy(io.Discard, server) }() // discards the request
			text := prefix + strings.Repeat(repeated, 1+1000/len(repeated))
			for written.Load() < writeLimit {
				n, err := io.WriteString(server, text)
				written.Add(int64(n))
				if err != nil {
					return
				}
				text = strings.Repeat(repeated, 1+1000/len(repeated))
			}
		}()
		return client, nil
	}
}

// A faulty target may send an unbounded response head. Without a limit the process reads until it runs out of memory.
func TestUnboundedHeadFails(t *testing.T) {
	const maxRead = 1 << 20 // bytes; an instance must hold thousands of such responses at once, so each must stay well below its memory
	for name, c := range map[string]struct{ prefix, repeated string }{
		"status line":               {"HTTP/1.1 200 O", "K"},
		"header line":               {"HTTP/1.1 200 OK\r\nX: ", "x"},
		"header name":               {"HTTP/1.1 200 OK\r\n", "x"},
		"continued header line":     {"HTTP/1.1 200 OK\r\nX: a\r\n", " x\r\n"},
		"header lines":              {"HTTP/1.1 200 OK\r\n", "X: x\r\n"},
		"no answer at all":          {"", "\x00"},
		"interim answers":           {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"head of an interim answer": {"HTTP/1.1 100 Continue\r\n", "X: x\r\n"},
		"answers of others":         {"", "HTTP/1.1 200 OK\r\nX-Foreign: 1\r\nContent-Length: 0\r\n\r\n"},
		"body of another's answer":  {"HTTP/1.1 200 OK\r\nX-Foreign: 1\r\n\r\n", "x"},
		"chunks of another's":       {"HTTP/1.1 200 OK\r\nX-Foreign: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			var written atomic.Int64
			conn, err := NewPool("10.0.0.1:80", 1, dialUnbounded(&written, c.prefix, c.repeated)).Get(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			request := get("/")
			request.ResponseID = func(h http.Header) string { return h.Get("X-Foreign") }
			if _, err := conn.Send(t.Context(), request); err == nil {
				t.Error("accepted as a response")
			}
			if got := written.Load(); got > maxRead {
				t.Errorf("%d bytes read, want %d at most", got, maxRead)
			}
		})
	}
}

// A status below 100 can't be passed on to a caller: net/http panics.
func TestInvalidStatusFails(t *testing.T) {
	for _, status := range []string{"000", "099"} {
		var written atomic.Int64
		conn, err := NewPool("10.0.0.1:80", 1, dialUnbounded(&written, "HTTP/1.1 "+status+" S\r\nContent-Length: 0\r\n\r\n", "x")).Get(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := conn.Send(t.Context(), get("/")); err == nil {
			t.Errorf("status %s is accepted", status)
		}
	}
}

// When a response such as a 503 is drained, the rest of its body must neither delay the request nor be left on a connection that is
// reused. Drain closes the connection if the body is too long or has no end.
func TestDrainClosesOnUnboundedBody(t *testing.T) {
	for name, c := range map[string]struct{ prefix, repeated string }{
		"without a length": {"HTTP/1.1 503 S\r\n\r\n", "x"},
		"longer than read": {"HTTP/1.1 503 S\r\nContent-Length: 100000000\r\n\r\n", "x"},
		"in chunks":        {"HTTP/1.1 503 S\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			var written atomic.Int64
			pool := NewPool("10.0.0.1:80", 1, dialUnbounded(&written, c.prefix, c.repeated))
			conn, err := pool.Get(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			e, err := conn.Send(t.Context(), get("/"))
			if err != nil {
				t.Fatal(err)
			}
			if err := e.Drain(); err == nil {
				t.Error("drained without an error")
			}
			if len(pool.idle) != 0 || pool.open != 0 {
				t.Errorf("%d idle connections, %d open, want none", len(pool.idle), pool.open)
			}
		})
	}
}

// Draining a short response must keep the connection for reuse.
func TestDrainKeepsConnectionAfterShortBody(t *testing.T) {
	var written atomic.Int64
	pool := NewPool("10.0.0.1:80", 1, func(ctx context.Context, network, address string) (net.Conn, error) {
		client, server := net.Pipe()
		go func() { _, _ = io.Copy(io.Discard, server) }()
		go func() {
			n, _ := io.WriteString(server, "HTTP/1.1 503 S\r\nContent-Length: 2\r\n\r\nno")
			written.Add(int64(n))
		}()
		return client, nil
	})
	conn, err := pool.Get(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	e, err := conn.Send(t.Context(), get("/"))
	if err != nil {
		t.Fatal(err)
	}
	if err := e.Drain(); err != nil {
		t.Error(err)
	}
	if len(pool.idle) != 1 {
		t.Error("connection not returned to the pool")
	}
}
