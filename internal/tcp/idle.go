package tcp

import (
	"errors"
	"net"

	"golang.org/x/sys/unix"
)

// IdleAndOpen reports whether an idle connection is still open and has no unread bytes. It peeks at the socket without blocking: the
// target may have closed the connection or sent bytes that belong to no request. Connections without a socket pass.
func IdleAndOpen(conn net.Conn) bool {
	empty := false
	err := control(conn, func(fd int) {
		var b [1]byte
		_, _, err := unix.Recvfrom(fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = err == unix.EAGAIN || err == unix.EWOULDBLOCK
	})
	return errors.Is(err, ErrNoSocket) || err == nil && empty
}
