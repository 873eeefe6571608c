package tcp

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// dialTCP returns both ends of a TCP connection on loopback.
func dialTCP(t *testing.T) (client, server *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c, err := net.Dial("tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	s, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close(); _ = s.Close() })
	return c.(*net.TCPConn), s.(*net.TCPConn)
}

// awaitFullyClosed waits until both directions of a connection have ended.
func awaitFullyClosed(t *testing.T, c net.Conn) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		closed, err := FullyClosed(c)
		if err != nil {
			t.Fatal(err)
		}
		if closed {
			return
		}
	}
	t.Fatal("connection stays open")
}

// The kernel reports a reset once. If a write is told of it, the read that follows must not see an orderly end.
func TestResetReportedToWriteIsNoEnd(t *testing.T) {
	for name, wrap := range map[string]func(net.Conn) net.Conn{
		"net.Conn": func(c net.Conn) net.Conn { return c },
		"Conn":     func(c net.Conn) net.Conn { return NewConn(c) },
	} {
		client, server := dialTCP(t)
		if err := server.SetLinger(0); err != nil {
			t.Fatal(err)
		}
		_ = server.Close()
		awaitFullyClosed(t, client)
		conn := wrap(client)
		if _, err := conn.Write([]byte("x")); !errors.Is(err, syscall.ECONNRESET) {
			t.Fatalf("%s: %v, want a reset", name, err)
		}
		_, err := conn.Read(make([]byte, 1))
		if ended := err == io.EOF; ended != (name == "net.Conn") { // the first shows that the kernel behaves as this test supposes
			t.Errorf("%s: read after a reset: %v", name, err)
		}
	}
}

// A reset that a look at the socket is told of must not look like an orderly end to the read that follows, also if the Conn is wrapped.
func TestResetReportedToPeekIsNoEnd(t *testing.T) {
	for name, wrap := range map[string]func(*Conn) net.Conn{
		"Conn":    func(c *Conn) net.Conn { return c },
		"wrapped": func(c *Conn) net.Conn { return struct{ *Conn }{c} },
	} {
		client, server := dialTCP(t)
		_ = server.SetLinger(0)
		_ = server.Close()
		awaitFullyClosed(t, client)
		conn := wrap(NewConn(client))
		if IdleAndOpen(conn) {
			t.Errorf("%s: open", name)
		}
		if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("%s: %v, want a reset", name, err)
		}
	}
}

// A reset that a read is told of must not be an end for the next read.
func TestResetReportedToReadIsNoEnd(t *testing.T) {
	client, server := dialTCP(t)
	_ = server.SetLinger(0)
	_ = server.Close()
	awaitFullyClosed(t, client)
	conn := NewConn(client)
	for range 3 {
		if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("%v, want a reset", err)
		}
	}
}

// A server that has closed its direction in order has sent all that it wanted to, whatever becomes of the other direction, and whether or not
// a write is under way.
func TestOrderlyCloseIsAnEnd(t *testing.T) {
	for name, after := range map[string]func(t *testing.T, server *net.TCPConn, conn *Conn){
		"open": func(*testing.T, *net.TCPConn, *Conn) {},
		"write waits": func(t *testing.T, _ *net.TCPConn, conn *Conn) {
			go func() { _, _ = conn.Write(make([]byte, 64<<20)) }()
			for len(conn.writing) == 0 {
				time.Sleep(time.Millisecond)
			}
		},
		"reset, nothing was written": func(t *testing.T, server *net.TCPConn, conn *Conn) {
			_ = server.SetLinger(0)
			_ = server.Close()
			awaitFullyClosed(t, conn)
		},
		"reset, then a write": func(t *testing.T, server *net.TCPConn, conn *Conn) {
			_ = server.SetLinger(0)
			_ = server.Close()
			awaitFullyClosed(t, conn)
			if _, err := conn.Write([]byte("x")); !errors.Is(err, syscall.EPIPE) {
				t.Fatalf("%v, want %v", err, syscall.EPIPE)
			}
		},
		"reset during a write": func(t *testing.T, server *net.TCPConn, conn *Conn) {
			go func() { _, _ = conn.Write(make([]byte, 64<<20)) }()
			for len(conn.writing) == 0 {
				time.Sleep(time.Millisecond)
			}
			_ = server.Close() // with unread bytes
			awaitFullyClosed(t, conn)
		},
	} {
		t.Run(name, func(t *testing.T) {
			client, server := dialTCP(t)
			conn := NewConn(client)
			if _, err := io.WriteString(server, "all"); err != nil {
				t.Fatal(err)
			}
			if err := server.CloseWrite(); err != nil {
				t.Fatal(err)
			}
			if _, err := io.ReadFull(conn, make([]byte, len("all"))); err != nil {
				t.Fatal(err)
			}
			after(t, server, conn)
			start := time.Now()
			if n, err := conn.Read(make([]byte, 1)); n != 0 || err != io.EOF {
				t.Errorf("%d bytes, %v; want the end", n, err)
			}
			if took := time.Since(start); took > 2*writeEndTimeout {
				t.Errorf("the end took %v", took)
			}
		})
	}
}

// blockedConn is a connection whose writes return when released is closed.
type blockedConn struct {
	net.Conn
	released chan struct{}
}

func (c blockedConn) NetConn() net.Conn { return c.Conn }
func (c blockedConn) Read([]byte) (int, error) {
	return 0, io.EOF // a write has taken the report of the reset
}
func (c blockedConn) Write([]byte) (int, error) {
	<-c.released
	return 0, syscall.ECONNRESET
}

// If both directions have ended, the write that may have been told of a reset decides. It is awaited, but not without a limit, and without its result nothing
// is proved.
func TestEndWaitsForWrite(t *testing.T) {
	for _, returns := range []bool{true, false} {
		client, server := dialTCP(t)
		_ = server.SetLinger(0)
		_ = server.Close()
		awaitFullyClosed(t, client)
		released := make(chan struct{})
		conn := NewConn(blockedConn{client, released})
		go func() { _, _ = conn.Write([]byte("x")) }()
		for len(conn.writing) == 0 {
			time.Sleep(time.Millisecond)
		}
		if returns {
			time.AfterFunc(writeEndTimeout/20, func() { close(released) })
		}
		start := time.Now()
		_, err := conn.Read(make([]byte, 1))
		if took := time.Since(start); took > 2*writeEndTimeout {
			t.Errorf("the end took %v", took)
		}
		if returns && !errors.Is(err, syscall.ECONNRESET) || !returns && !errors.Is(err, errEndNotProved) {
			t.Errorf("the write returns: %t; %v", returns, err)
		}
		if !returns {
			close(released)
		}
	}
}

// scriptedConn is a connection without a socket whose writes and reads return given errors.
type scriptedConn struct {
	net.Conn
	writeErr, readErr error
}

func (c scriptedConn) Write([]byte) (int, error) { return 0, c.writeErr }
func (c scriptedConn) Read([]byte) (int, error)  { return 0, c.readErr }

// Errors other than a reset are reported once, too; errors that say nothing of the connection must not be taken for its loss.
func TestErrorsOfWrites(t *testing.T) {
	for _, c := range []struct {
		writeErr error
		whole    bool
	}{
		{&net.OpError{Op: "write", Err: os.NewSyscallError("write", syscall.ECONNRESET)}, false},
		{&net.OpError{Op: "write", Err: os.NewSyscallError("write", syscall.ETIMEDOUT)}, false},
		{&net.OpError{Op: "write", Err: os.NewSyscallError("write", syscall.EHOSTUNREACH)}, false},
		{&net.OpError{Op: "write", Err: os.NewSyscallError("write", syscall.EPIPE)}, true},
		{os.ErrDeadlineExceeded, true},
		{nil, true},
	} {
		conn := NewConn(scriptedConn{writeErr: c.writeErr, readErr: io.EOF})
		_, _ = conn.Write([]byte("x"))
		if _, err := conn.Read(make([]byte, 1)); (err == io.EOF) != c.whole {
			t.Errorf("after %v: %v, want the end: %t", c.writeErr, err, c.whole)
		}
	}
}
