// Package tcp sets up connections that notice a silent peer: a partition or a lost connection state shows neither a
// reset nor an end, only missing acknowledgements.
package tcp

import (
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// unackedLimit is how long sent bytes may stay without acknowledgement: many round trips within a region, and
	// shorter than the deadlines of callers.
	unackedLimit = 1200 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount find an idle silent connection within unackedLimit or so.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// MaxHead bounds the head of an answer in bytes: several times what a caller's head may hold. A peer in trouble may send bytes
// without end, and an instance has a hundred megabytes and many connections.
const MaxHead = 64 << 10

// NewTransport returns a transport of HTTP whose connections are closed when the peer is silent, and which takes no endless heads.
// Its caller may change it before the first use.
func NewTransport(dialTimeout time.Duration) *http.Transport {
	return &http.Transport{DialContext: Dialer(dialTimeout).DialContext, DisableCompression: true, MaxResponseHeaderBytes: MaxHead}
}

// Dialer returns a dialer whose connections are closed when the peer is silent.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, c syscall.RawConn) error {
			var failed error
			err := c.Control(func(fd uintptr) {
				failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedLimit.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return failed
		},
	}
}
