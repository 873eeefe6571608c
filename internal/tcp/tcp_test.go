package tcp

import (
	"net"
	"testing"

	"golang.org/x/sys/unix"
)

// Guards against a kernel that buffers megabytes for a peer that does not read.
func TestLimitUnsent(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	conn, err := net.Dial("tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := LimitUnsent(conn, 16<<10); err != nil {
		t.Fatal(err)
	}
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	got := 0
	_ = raw.Control(func(fd uintptr) { got, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT) })
	if err != nil || got != 16<<10 {
		t.Errorf("limit %d, %v", got, err)
	}
}
