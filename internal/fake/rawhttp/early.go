package rawhttp

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// EarlyEnd is how a server ends the connection of an early answer.
type EarlyEnd uint8

// Ends of an early answer's connection.
const (
	// EarlyReset resets the connection.
	EarlyReset EarlyEnd = iota
	// EarlyReadsRest closes the sending direction, and the connection once the request's body has been read.
	EarlyReadsRest
	// EarlyLeavesRest closes the sending direction, and the connection another pause after the client has the answer, with the rest of the body
	// unread: the system resets it then.
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
			waitDelivered(socket)
			time.Sleep(a.Pause)
		}
	})
}

// maxDelivery bounds the time until a client has taken an answer.
const maxDelivery = 10 * time.Second

// waitDelivered waits until the client's system has acknowledged all that was sent: what it has not would be lost in a reset.
func waitDelivered(c *net.TCPConn) {
	raw, err := c.SyscallConn()
	if err != nil {
		return
	}
	for end := time.Now().Add(maxDelivery); time.Now().Before(end); time.Sleep(time.Millisecond) {
		unsent := 0
		if raw.Control(func(fd uintptr) { unsent, err = unix.IoctlGetInt(int(fd), unix.TIOCOUTQ) }) != nil || err != nil || unsent == 0 {
			return // gone, or delivered
		}
	}
}
