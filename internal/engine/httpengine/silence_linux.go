package httpengine

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// limitUnacknowledged breaks a connection whose sent bytes stay unacknowledged; there are no keepalive probes
// meanwhile.
func limitUnacknowledged(conn net.Conn) error {
	tcp, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	var set error
	err = raw.Control(func(fd uintptr) {
		set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silentAfter.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return set
}
