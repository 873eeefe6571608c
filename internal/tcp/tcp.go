// Package tcp opens connections that detect an unresponsive peer. After a network partition, or when the peer has lost its connection
// state, neither RST nor FIN arrives; the only sign is missing acknowledgements.
package tcp

import (
	"net"
	"net/http"
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

// NewTransport returns an HTTP transport that closes connections to an unresponsive peer and rejects response heads above
// MaxResponseHeaderBytes. The caller may change it before its first use.
func NewTransport(dialTimeout time.Duration) *http.Transport {
	return &http.Transport{DialContext: Dialer(dialTimeout).DialContext, DisableCompression: true, MaxResponseHeaderBytes: MaxResponseHeaderBytes}
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
