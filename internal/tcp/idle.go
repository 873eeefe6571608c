package tcp

import (
	"crypto/tls"
	"errors"
	"net"

	"golang.org/x/sys/unix"
)

// IdleAndOpen reports whether an idle connection is still open and has no unread bytes. It peeks at the socket without blocking: the
// target may have closed the connection or sent bytes that belong to no request. Connections without a socket pass, and those with TLS.
func IdleAndOpen(conn net.Conn) bool {
	if encrypted(conn) {
		return true // unread bytes may be a message of TLS
	}
	empty := false
	err := control(conn, func(fd int) {
		var b [1]byte
		_, _, err := unix.Recvfrom(fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		if empty = err == unix.EAGAIN || err == unix.EWOULDBLOCK; !empty {
			recordLoss(conn, err)
		}
	})
	return errors.Is(err, ErrNoSocket) || err == nil && empty
}

// encrypted reports whether a connection is one with TLS, or wraps one.
func encrypted(conn net.Conn) bool {
	for {
		if _, ok := conn.(*tls.Conn); ok {
			return true
		}
		wrapper, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			return false
		}
		conn = wrapper.NetConn()
	}
}
