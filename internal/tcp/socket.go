package tcp

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// ErrNoSocket is returned for a connection that has no socket.
var ErrNoSocket = errors.New("connection without a socket")

// Innermost returns the connection that others wrap. A wrapper has a method NetConn.
func Innermost(c net.Conn) net.Conn {
	for {
		wrapper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return c
		}
		c = wrapper.NetConn()
	}
}

// control calls f with the file descriptor of a connection. It returns ErrNoSocket if there is none, and another error if the connection was
// closed at this end.
func control(conn net.Conn, f func(fd int)) error {
	sc, ok := Innermost(conn).(syscall.Conn)
	if !ok {
		return ErrNoSocket
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Control(func(fd uintptr) { f(int(fd)) })
}

// stateClosed is the state of a connection whose two directions have ended, as in the kernel's TCP_CLOSE.
const stateClosed = 7

// FullyClosed reports whether both directions of a connection have ended: it was reset, or its peer no longer responds. After an orderly close by
// the peer alone, the direction to the peer is still open. It returns an error if the connection was closed at this end or has no socket that can
// tell.
func FullyClosed(conn net.Conn) (bool, error) {
	var info *unix.TCPInfo
	var sockoptErr error
	if err := control(conn, func(fd int) { info, sockoptErr = unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO) }); err != nil {
		return false, err
	}
	if sockoptErr != nil {
		return false, sockoptErr
	}
	return info.State == stateClosed, nil
}
