package rawhttp

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// EarlyEnd is how a server ends the connection of an early answer.
type EarlyEnd uint8

// Ends of an early answer's connection.
const (
	// EarlyReset resets the connection.
	EarlyReset EarlyEnd = iota
	// EarlyReadsRest closes the sending direction, and the connection once the request's body has been read.
	EarlyReadsRest
	// EarlyLeavesRest closes the sending direction, and the connection after another pause, with the rest of the body unread: the system
	// resets it then.
	EarlyLeavesRest
)

// EarlyAnswer is an answer that a server sends while the client still writes the request's body.
type EarlyAnswer struct {
	Answer func(r *http.Request) string // the bytes to send; the body of r must not be read
	Reads  int64                        // bytes of the body that are read before the answer
	Pause  time.Duration                // between the answer and the end
	End    EarlyEnd
}

// ServeEarly starts a server that answers one request per connection early. It returns the server's address.
func ServeEarly(t testing.TB, a EarlyAnswer) (address string) {
	t.Helper()
	return ServeConns(t, func(conn net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.CopyN(io.Discard, req.Body, a.Reads); err != nil {
			return
		}
		_, _ = io.WriteString(conn, a.Answer(req))
		time.Sleep(a.Pause)
		socket := conn.(*net.TCPConn)
		if a.End == EarlyReset {
			_ = socket.SetLinger(0)
			return
		}
		_ = socket.CloseWrite()
		if a.End == EarlyReadsRest {
			_, _ = io.Copy(io.Discard, req.Body)
		} else {
			time.Sleep(a.Pause)
		}
	})
}
