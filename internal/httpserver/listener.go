package httpserver

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"
)

// errListenerEnded is returned by Accept after a planned stop has ended the listener.
var errListenerEnded = errors.New("listener has ended")

const (
	// handshakeQuiet is how long a listener that takes no new handshakes must have had no connection to be sure that none is under way:
	// several round trips, also over a busy link.
	handshakeQuiet = 200 * time.Millisecond
	// acceptRetryTime is the pause after an error of Accept while the listener ends.
	acceptRetryTime = 5 * time.Millisecond
	// maxHandshakeTime bounds the wait, for platforms that can't refuse handshakes.
	maxHandshakeTime = time.Second
)

// Listen listens at an address, IP:port; at one of IPv4, for IPv4 only. Multipath TCP is not used: its sockets take no filters, by which a
// listener ends.
func Listen(address string) (net.Listener, error) {
	network := "tcp4"
	if a, err := netip.ParseAddrPort(address); err == nil && a.Addr().Is6() {
		network = "tcp"
	}
	var config net.ListenConfig
	config.SetMultipathTCP(false)
	return config.Listen(context.Background(), network, address)
}

// listener accepts the connections of a server. It ends without a reset of connections that clients have established: it refuses new
// handshakes first, then accepts what is queued, and closes when nothing is.
type listener struct {
	net.Listener
	server *Server
	ended  chan struct{} // closed when no further connection will be accepted

	mu     sync.Mutex // guards the rest
	ending bool
	limit  time.Time // of handshakes, once ending
	closed bool
	queued []net.Conn // accepted, not yet returned by Accept
	retry  bool       // the last Accept failed, perhaps for lack of descriptors
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.next()
		if err != nil {
			return nil, err
		}
		if inner == nil {
			continue
		}
		if l.server.opts.WrapConn != nil {
			inner = l.server.opts.WrapConn(inner)
		}
		c := newConn(inner, l.server)
		l.server.remember(c, time.Now())
		return c, nil
	}
}

// next returns the next connection, or nil if it should be called again.
func (l *listener) next() (net.Conn, error) {
	l.mu.Lock()
	if n := len(l.queued); n > 0 {
		defer l.mu.Unlock()
		c := l.queued[0]
		l.queued = l.queued[1:]
		return c, nil
	}
	if l.closed {
		defer l.mu.Unlock()
		close(l.ended)
		return nil, errListenerEnded
	}
	retry := l.retry
	l.retry = false
	l.mu.Unlock()
	if retry {
		time.Sleep(acceptRetryTime)
	}
	c, err := l.Listener.Accept()
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err == nil && l.ending:
		l.awaitHandshakes()
		return c, nil
	case err == nil || !l.ending:
		return c, err
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed) && time.Now().Before(l.limit) {
		klog.ErrorS(err, "connection not accepted, trying again", "server", l.server.opts.Name)
		l.awaitHandshakes()
		l.retry = true
		return nil, nil
	}
	l.closed = true
	l.queued = acceptQueued(l.Listener)
	if err := l.Listener.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		klog.ErrorS(err, "listener not closed", "server", l.server.opts.Name)
	}
	return nil, nil
}

// end makes Accept return an error when all established connections have been accepted. From the time of the handover on it doesn't wait for
// handshakes: what is in the queue has to be refused before the connections are closed.
func (l *listener) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ending {
		return
	}
	l.ending, l.limit = true, time.Now().Add(maxHandshakeTime)
	if handover := l.server.handover.Load(); handover != nil && handover.Before(l.limit) {
		l.limit = *handover
	}
	refuseHandshakes(l.Listener)
	l.awaitHandshakes()
}

// awaitHandshakes makes Accept return an error when no connection has come for handshakeQuiet. l.mu must be held.
func (l *listener) awaitHandshakes() {
	deadline := time.Now().Add(handshakeQuiet)
	if deadline.After(l.limit) {
		deadline = l.limit
	}
	limited, ok := l.Listener.(interface{ SetDeadline(time.Time) error })
	if !ok || limited.SetDeadline(deadline) != nil {
		_ = l.Listener.Close() // Accept reports an error
	}
}

// control runs f with the file descriptor of a listener, if it has one.
func control(l net.Listener, f func(fd int)) {
	sc, ok := l.(syscall.Conn)
	if !ok {
		return
	}
	if raw, err := sc.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { f(int(fd)) }) // an error means that the listener is closed
	}
}

// refuseHandshakes makes the kernel drop packets that begin a connection, so that the queue of the listener can be emptied. A client whose
// packet is dropped sends it again after a second, when the port is closed or another process listens. Platforms without socket filters
// leave a moment between the last accept and the close.
func refuseHandshakes(l net.Listener) {
	const flagsOffset, syn, all = 13, 0x02, 0xffffffff // flagsOffset and syn are of the TCP header
	filter := []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: flagsOffset},
		{Code: unix.BPF_JMP | unix.BPF_JSET | unix.BPF_K, K: syn, Jf: 1},
		{Code: unix.BPF_RET | unix.BPF_K, K: 0},
		{Code: unix.BPF_RET | unix.BPF_K, K: all},
	}
	var err error
	control(l, func(fd int) {
		err = unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]})
	})
	if err != nil {
		klog.InfoS("new handshakes not refused before the listener closes", "err", err.Error())
	}
}

// acceptQueued accepts all connections that wait in the queue of a listener.
func acceptQueued(l net.Listener) []net.Conn {
	var accepted []net.Conn
	control(l, func(fd int) {
		for {
			connection, _, err := unix.Accept4(fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
			switch {
			case err == unix.EINTR || err == unix.ECONNABORTED:
				continue
			case err == unix.EAGAIN:
				return // the queue is empty
			case err != nil:
				klog.ErrorS(err, "listener closes although connections may be queued")
				return
			}
			file := os.NewFile(uintptr(connection), "")
			c, err := net.FileConn(file)
			_ = file.Close() // c has its own descriptor
			if err != nil {
				klog.ErrorS(err, "queued connection not accepted")
				continue
			}
			accepted = append(accepted, c)
		}
	})
	return accepted
}
