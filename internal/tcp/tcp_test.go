package tcp

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// A peer that sends an unbounded response head must not exhaust the memory of an instance, for any client built on NewTransport.
func TestTransportRejectsUnboundedHead(t *testing.T) {
	const (
		maxRead    = 1 << 20 // bytes
		writeLimit = 4 << 20
	)
	for name, response := range map[string]struct{ prefix, repeated string }{
		"status line":     {"HTTP/1.1 200 O", "K"},
		"header line":     {"HTTP/1.1 200 OK\r\nX: ", "x"},
		"header lines":    {"HTTP/1.1 200 OK\r\n", "X: x\r\n"},
		"interim answers": {"", "HTTP/1.1 103 Hints\r\nX: x\r\n\r\n"},
	} {
		var written atomic.Int64
		transport := NewTransport(time.Second)
		transport.DialContext = func(context.Context, string, string) (net.Conn, error) {
			client, server := net.Pipe()
			go func() { _, _ = io.Copy(io.Discard, server) }() // discards the request
			go func() {
				defer server.Close()
				chunk := response.prefix
				for written.Load() < writeLimit {
					n, err := io.WriteString(server, chunk)
					written.Add(int64(n))
					if err != nil {
						return
					}
					chunk = strings.Repeat(response.repeated, 1+1000/len(response.repeated))
				}
			}()
			return client, nil
		}
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://10.0.0.1/", nil)
		if err != nil {
			t.Fatal(err)
		}
		if resp, err := (&http.Client{Transport: transport}).Do(req); err == nil {
			_ = resp.Body.Close()
			t.Errorf("%s: accepted as a response", name)
		}
		if got := written.Load(); got > maxRead {
			t.Errorf("%s: %d bytes read, want %d at most", name, got, maxRead)
		}
	}
}

// Guards against a kernel that buffers megabytes for a peer that does not read.
func TestLimitUnsent(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	conn, err := net.Dial("tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := LimitUnsent(conn, 16<<10); err != nil {
		t.Fatal(err)
	}
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	got := 0
	_ = raw.Control(func(fd uintptr) { got, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT) })
	if err != nil || got != 16<<10 {
		t.Errorf("limit %d, %v", got, err)
	}
}
