// Package tcp opens connections that detect an unresponsive peer. After a network partition, or when the peer has lost its connection
// state, neither RST nor FIN arrives; the only sign is missing acknowledgements.
package tcp

import (
	"net"
	"net/http"
	"slices"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// userTimeout is the TCP_USER_TIMEOUT, the longest time for which sent bytes may stay unacknowledged. It spans many round trips
	// within a region and is shorter than callers' deadlines.
	userTimeout = 1200 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount make keepalive probes detect an unresponsive peer on an idle connection
	// within about the same time.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// MaxResponseHeaderBytes bounds the head of a response, in bytes. It is several times the limit for a caller's request head. A faulty
// peer may send an unbounded head, and an instance has about a hundred megabytes of memory for many connections.
const MaxResponseHeaderBytes = 64 << 10

// Framed reports whether the end of a response's body can be told from a cut. In HTTP/1, a body without length and chunks ends with its
// connection, which a server that is killed ends in order, too.
func Framed(resp *http.Response) bool {
	return resp.ProtoMajor >= 2 || resp.ContentLength >= 0 || slices.Contains(resp.TransferEncoding, "chunked")
}

// Dialer returns a dialer whose connections fail when the peer becomes unresponsive. timeout bounds connection setup.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, c syscall.RawConn) error {
			var sockoptErr error
			err := c.Control(func(fd uintptr) {
				sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return sockoptErr
		},
	}
}

// LimitUnsent bounds the bytes that the kernel buffers for a connection beyond the peer's window, so that a peer that does not read costs
// little memory. The throughput of a peer that reads does not suffer, as sent bytes that are not acknowledged yet don't count. It does
// nothing for connections other than TCP.
func LimitUnsent(conn net.Conn, bytes int) error {
	tcpConn, ok := conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	raw, err := tcpConn.SyscallConn()
	if err != nil {
		return err
	}
	var sockoptErr error
	if err := raw.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, bytes)
	}); err != nil {
		return err
	}
	return sockoptErr
}
