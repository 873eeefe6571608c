package network

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

const (
	client  = "10.0.0.1"
	server  = "10.0.0.2"
	address = server + ":80"
)

// connect returns both ends of a connection.
func connect(t *testing.T, n *Network) (c, s net.Conn) {
	t.Helper()
	l, err := n.Listen(address)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if c, err = n.Dialer(client)(t.Context(), "tcp", address); err != nil {
		t.Fatal(err)
	}
	if s, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	return c, s
}

// arrival writes at c and returns how long the bytes take to s, or the error of the read.
func arrival(c, s net.Conn, timeout time.Duration) (time.Duration, error) {
	start := time.Now()
	if _, err := c.Write([]byte("x")); err != nil {
		return 0, err
	}
	_ = s.SetReadDeadline(start.Add(timeout))
	_, err := io.ReadFull(s, make([]byte, 1))
	return time.Since(start), err
}

func TestDelayAndEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := New(time.Millisecond)
		c, s := connect(t, n)
		n.Delay(client, server, time.Second)
		if d, err := arrival(c, s, time.Minute); d != time.Second || err != nil {
			t.Errorf("arrived after %v, %v", d, err)
		}
		_, _ = c.Write([]byte("rest"))
		_ = c.Close()
		_ = s.SetReadDeadline(time.Time{})
		if b, err := io.ReadAll(s); string(b) != "rest" || err != nil {
			t.Errorf("read %q, %v", b, err)
		}
		if _, err := s.Write([]byte("x")); !errors.Is(err, syscall.EPIPE) {
			t.Errorf("write to a closed end: %v", err)
		}
	})
}

func TestWaitingFaults(t *testing.T) {
	const lasts = 10 * time.Second
	for name, tc := range map[string]struct {
		begin, end func(*Network)
	}{
		"partition": {
			func(n *Network) { n.Partition(client, server) },
			func(n *Network) { n.Heal(client, server) },
		},
		"freeze of the server": {
			func(n *Network) { n.Freeze(server) },
			func(n *Network) { n.Unfreeze(server) },
		},
		"freeze of the client": {
			func(n *Network) { n.Freeze(client) },
			func(n *Network) { n.Unfreeze(client) },
		},
	} {
		synctest.Test(t, func(t *testing.T) {
			n := New(0)
			c, s := connect(t, n)
			tc.begin(n)
			time.AfterFunc(lasts, func() { tc.end(n) })
			if d, err := arrival(c, s, time.Minute); d != lasts || err != nil {
				t.Errorf("%s: arrived after %v, %v", name, d, err)
			}
		})
	}
}

func TestPartitionIsOneWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := New(0)
		c, s := connect(t, n)
		n.Partition(client, server)
		if _, err := arrival(c, s, time.Second); !errors.Is(err, context.DeadlineExceeded) && !isTimeout(err) {
			t.Errorf("against the partition: %v", err)
		}
		if _, err := arrival(s, c, time.Second); err != nil {
			t.Errorf("along the open direction: %v", err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, err := n.Dialer(server)(ctx, "tcp", client+":80"); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("dial whose answer is lost: %v", err)
		}
	})
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

func TestSilenceLeavesNewConnectionsWorking(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := New(0)
		c, s := connect(t, n)
		if hit := n.Silence(client, server); hit != 1 {
			t.Fatalf("%d connections silenced", hit)
		}
		if _, err := arrival(c, s, time.Hour); !isTimeout(err) {
			t.Errorf("silent connection: %v", err)
		}
		_ = c.Close()
		_ = s.SetReadDeadline(time.Now().Add(time.Hour))
		if _, err := s.Read(make([]byte, 1)); !isTimeout(err) {
			t.Errorf("the end learnt of the close: %v", err)
		}
		c2, s2 := connect(t, n)
		if _, err := arrival(c2, s2, time.Second); err != nil {
			t.Errorf("new connection: %v", err)
		}
	})
}

func TestBrokenConnections(t *testing.T) {
	for name, tc := range map[string]struct {
		fault func(*Network)
		dial  error // of a new connection with a listener waiting
	}{
		"reset": {func(n *Network) { n.Reset(client, server) }, nil},
		"kill":  {func(n *Network) { n.Kill(server) }, syscall.ECONNREFUSED},
	} {
		synctest.Test(t, func(t *testing.T) {
			n := New(0)
			c, s := connect(t, n)
			l, err := n.Listen(address)
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			time.AfterFunc(time.Second, func() { tc.fault(n) })
			for _, end := range []net.Conn{c, s} {
				if _, err := end.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
					t.Errorf("%s: read: %v", name, err)
				}
			}
			if _, err := n.Dialer(client)(t.Context(), "tcp", address); !errors.Is(err, tc.dial) {
				t.Errorf("%s: dial: %v, want %v", name, err, tc.dial)
			}
		})
	}
}

func TestWindowStopsTheSender(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := New(0)
		c, s := connect(t, n)
		_ = c.SetWriteDeadline(time.Now().Add(time.Second))
		if sent, err := c.Write(make([]byte, 2*windowBytes)); sent != windowBytes || !isTimeout(err) {
			t.Errorf("wrote %d bytes, %v", sent, err)
		}
		if got, err := io.ReadFull(s, make([]byte, windowBytes)); err != nil {
			t.Errorf("read %d bytes, %v", got, err)
		}
	})
}

// TestHTTP2 runs streams over one connection, through a delay and a reset.
func TestHTTP2(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := New(time.Millisecond)
		l, err := n.Listen(address)
		if err != nil {
			t.Fatal(err)
		}
		var protocols http.Protocols
		protocols.SetUnencryptedHTTP2(true)
		echo := func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) }
		srv := &http.Server{Handler: http.HandlerFunc(echo), Protocols: &protocols}
		go srv.Serve(l)
		defer srv.Close()
		tr := &http.Transport{DialContext: n.Dialer(client), Protocols: &protocols}
		defer tr.CloseIdleConnections()
		ask := func() error {
			req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address, strings.NewReader("hello"))
			if err != nil {
				return err
			}
			resp, err := tr.RoundTrip(req)
			if err != nil {
				return err
			}
			defer resp.Body.Close()
			b, err := io.ReadAll(resp.Body)
			if err == nil && (string(b) != "hello" || resp.ProtoMajor != 2) {
				t.Errorf("HTTP/%d answered %q", resp.ProtoMajor, b)
			}
			return err
		}
		for range 3 {
			if err := ask(); err != nil {
				t.Error(err)
			}
		}
		if got := n.Connections(client, server); got != 1 {
			t.Errorf("%d connections, want 1", got)
		}
		n.Delay(client, server, time.Second)
		time.AfterFunc(500*time.Millisecond, func() { n.Reset(client, server) })
		if err := ask(); err == nil {
			t.Error("no error through a reset")
		}
		if err := ask(); err != nil {
			t.Errorf("after the reset: %v", err)
		}
	})
}

// Guards against tests of narrow links on a network that does not slow anything down, or in which one connection takes all of a link.
func TestWidthOfHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const width, size = 100 << 10, 200 << 10
		n := New(time.Millisecond)
		n.Width("b", width)
		l, err := n.Listen("b:1")
		if err != nil {
			t.Fatal(err)
		}
		start, took := time.Now(), make(chan time.Duration, 2)
		for range 2 {
			go func() {
				c, err := n.Dialer("a")(t.Context(), "tcp", "b:1")
				if err != nil {
					t.Error(err)
					return
				}
				_, _ = c.Write(make([]byte, size))
				_ = c.Close()
			}()
			c, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			go func() {
				_, _ = io.Copy(io.Discard, c)
				took <- time.Since(start)
			}()
		}
		for range 2 {
			if got := <-took; got < 3900*time.Millisecond || got > 4100*time.Millisecond {
				t.Errorf("two transfers of 200 KB each to a host that receives 100 KB a second: one took %v, want about 4 s", got)
			}
		}
	})
}
