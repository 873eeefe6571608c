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

// endless writes the beginning and then the rest again and again until the peer closes, and counts the bytes that the peer has read. It
// stops at a size that shows that nothing bounds the reader.
func endless(written *atomic.Int64, begin, rest string) Dial {
	const giveUp = 4 << 20
	return func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() {
			defer far.Close()
			go func() { _, _ = io.Copy(io.Discard, far) }() // the request
			text := begin + strings.Repeat(rest, 1+1000/len(rest))
			for written.Load() < giveUp {
				n, err := io.WriteString(far, text)
				written.Add(int64(n))
				if err != nil {
					return
				}
				text = strings.Repeat(rest, 1+1000/len(rest))
			}
		}()
		return near, nil
	}
}

// A target in trouble that sends bytes without end where a head is due could end a process: nothing bounded what was read.
func TestEndlessHeadIsCutOff(t *testing.T) {
	const most = 1 << 20 // bytes: thousands of such answers at once fit into the memory of an instance only if they are bounded well below it
	for name, c := range map[string]struct{ begin, rest string }{
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
			conn, err := NewPool("10.0.0.1:80", 1, endless(&written, c.begin, c.rest)).Get(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			request := get("/")
			request.ID = func(h http.Header) string { return h.Get("X-Foreign") }
			if _, err := conn.Send(t.Context(), request); err == nil {
				t.Error("taken for an answer")
			}
			if got := written.Load(); got > most {
				t.Errorf("%d bytes read, want %d at most", got, most)
			}
		})
	}
}

// The rest of a refusal's body must neither hold the request up nor be left on a connection that is used again.
func TestRefusalWithoutAnEndIsDropped(t *testing.T) {
	for name, c := range map[string]struct{ begin, rest string }{
		"without a length": {"HTTP/1.1 503 S\r\n\r\n", "x"},
		"longer than read": {"HTTP/1.1 503 S\r\nContent-Length: 100000000\r\n\r\n", "x"},
		"in chunks":        {"HTTP/1.1 503 S\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			var written atomic.Int64
			pool := NewPool("10.0.0.1:80", 1, endless(&written, c.begin, c.rest))
			conn, err := pool.Get(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			e, err := conn.Send(t.Context(), get("/"))
			if err != nil {
				t.Fatal(err)
			}
			e.Drain()
			if len(pool.idle) != 0 || pool.open != 0 {
				t.Errorf("%d idle connections, %d open", len(pool.idle), pool.open)
			}
		})
	}
}

// A short refusal leaves its connection usable.
func TestShortRefusalKeepsItsConnection(t *testing.T) {
	var written atomic.Int64
	pool := NewPool("10.0.0.1:80", 1, func(ctx context.Context, network, address string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() { _, _ = io.Copy(io.Discard, far) }()
		go func() {
			n, _ := io.WriteString(far, "HTTP/1.1 503 S\r\nContent-Length: 2\r\n\r\nno")
			written.Add(int64(n))
		}()
		return near, nil
	})
	conn, err := pool.Get(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	e, err := conn.Send(t.Context(), get("/"))
	if err != nil {
		t.Fatal(err)
	}
	e.Drain()
	if len(pool.idle) != 1 {
		t.Error("connection not kept")
	}
}
