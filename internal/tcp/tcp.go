// Package tcp sets up connections that notice a silent peer: a partition or a lost connection state shows neither a
// reset nor an end, only missing acknowledgements.
package tcp

import (
	"net"
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
