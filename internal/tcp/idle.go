package tcp

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// IdleAndOpen reports whether an idle connection is still open and has no unread bytes. It peeks at the socket without blocking: the
// target may have closed the connection or sent bytes that belong to no request. Connections without a file descriptor pass.
func IdleAndOpen(conn net.Conn) bool {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = err == unix.EAGAIN || err == unix.EWOULDBLOCK
	})
	return err == nil && empty
}
