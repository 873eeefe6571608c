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
)

// A peer that sends a head without end must not fill the memory of an instance, whichever client asked it.
func TestTransportTakesNoEndlessHead(t *testing.T) {
	const (
		most   = 1 << 20 // bytes
		giveUp = 4 << 20
	)
	for name, text := range map[string]struct{ begin, rest string }{
		"status line":     {"HTTP/1.1 200 O", "K"},
		"header line":     {"HTTP/1.1 200 OK\r\nX: ", "x"},
		"header lines":    {"HTTP/1.1 200 OK\r\n", "X: x\r\n"},
		"interim answers": {"", "HTTP/1.1 103 Hints\r\nX: x\r\n\r\n"},
	} {
		var written atomic.Int64
		transport := NewTransport(time.Second)
		transport.DialContext = func(context.Context, string, string) (net.Conn, error) {
			near, far := net.Pipe()
			go func() { _, _ = io.Copy(io.Discard, far) }() // the request
			go func() {
				defer far.Close()
				more := text.begin
				for written.Load() < giveUp {
					n, err := io.WriteString(far, more)
					written.Add(int64(n))
					if err != nil {
						return
					}
					more = strings.Repeat(text.rest, 1+1000/len(text.rest))
				}
			}()
			return near, nil
		}
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://10.0.0.1/", nil)
		if err != nil {
			t.Fatal(err)
		}
		if resp, err := (&http.Client{Transport: transport}).Do(req); err == nil {
			_ = resp.Body.Close()
			t.Errorf("%s: taken for an answer", name)
		}
		if got := written.Load(); got > most {
			t.Errorf("%s: %d bytes read, want %d at most", name, got, most)
		}
	}
}
