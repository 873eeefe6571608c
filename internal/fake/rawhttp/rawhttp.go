// Package rawhttp serves HTTP answers as raw bytes over TCP on loopback, for tests of answers that net/http does not send: cut, unframed,
// sent twice or followed by other bytes.
package rawhttp

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
)

// Serve starts a server that answers one request per connection with the bytes that answer returns, and then closes the connection. The
// request's body is read and discarded before. Serve returns the server's address; the server accepts connections until the test ends.
func Serve(t testing.TB, answer func(r *http.Request) string) (address string) {
	t.Helper()
	return ServeConns(t, func(conn net.Conn, r *bufio.Reader) { _ = exchange(conn, r, answer) })
}

// Always returns an answer function for Serve that returns the same bytes each time.
func Always(raw string) func(r *http.Request) string {
	return func(*http.Request) string { return raw }
}

// ServeKeepAlive is like Serve, but answers requests on a connection until the client closes it; n counts the connection's earlier requests.
func ServeKeepAlive(t testing.TB, answer func(r *http.Request, n int) string) (address string) {
	t.Helper()
	return ServeConns(t, func(conn net.Conn, r *bufio.Reader) {
		for n := 0; ; n++ {
			if err := exchange(conn, r, func(req *http.Request) string { return answer(req, n) }); err != nil {
				return
			}
		}
	})
}

// ServeConns starts a server that runs handle on each connection, in a goroutine of its own, and closes the connection when handle returns.
// It returns the server's address.
func ServeConns(t testing.TB, handle func(conn net.Conn, r *bufio.Reader)) (address string) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				handle(conn, bufio.NewReader(conn))
			}()
		}
	}()
	return l.Addr().String()
}

// exchange reads a request and writes its answer.
func exchange(w io.Writer, r *bufio.Reader, answer func(r *http.Request) string) error {
	req, err := http.ReadRequest(r)
	if err != nil {
		return err
	}
	_, _ = io.Copy(io.Discard, req.Body)
	_, err = io.WriteString(w, answer(req))
	return err
}
