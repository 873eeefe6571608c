package httpserver

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/egrethoist/egrethoist/internal/drain"
)

// gate holds back goroutines, as a process does that is short of processor time.
type gate struct {
	mu   sync.Mutex
	held chan struct{} // nil while the gate is open
}

func (g *gate) hold() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.held = make(chan struct{})
}

func (g *gate) release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.held != nil {
		close(g.held)
		g.held = nil
	}
}

func (g *gate) wait() {
	g.mu.Lock()
	held := g.held
	g.mu.Unlock()
	if held != nil {
		<-held
	}
}

// slowListener accepts connections and reads from them only while its gates are open. What was sent stays in the kernel until then.
type slowListener struct {
	*net.TCPListener
	accepts, reads *gate
}

func (l slowListener) Accept() (net.Conn, error) {
	c, err := l.TCPListener.Accept()
	l.accepts.wait()
	if err != nil {
		return nil, err
	}
	return slowConn{Conn: c, reads: l.reads}, nil
}

type slowConn struct {
	net.Conn
	reads *gate
}

func (c slowConn) Read(p []byte) (int, error) {
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return 0, err
	}
	readable := func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return err != unix.EAGAIN
	}
	if err := raw.Read(readable); err != nil {
		return 0, err
	}
	c.reads.wait() // the goroutine is woken, and runs only when the gate opens
	return c.Conn.Read(p)
}

func (c slowConn) NetConn() net.Conn { return c.Conn }
func (c slowConn) CloseWrite() error { return c.Conn.(*net.TCPConn).CloseWrite() }

// fixture is a server on loopback TCP whose goroutines can be held back. Requests for /slow are answered when finish is called.
type fixture struct {
	t              *testing.T
	server         *Server
	address        string
	accepts, reads gate
	begun          chan struct{} // receives one value for each request that a handler got
	slow           chan struct{}
	finish         func()
}

func newFixture(t *testing.T, o Options) *fixture {
	f := &fixture{t: t, begun: make(chan struct{}, 1000), slow: make(chan struct{})}
	f.finish = sync.OnceFunc(func() { close(f.slow) })
	o.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.begun <- struct{}{}
		if _, err := io.ReadAll(r.Body); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		if strings.HasPrefix(r.URL.Path, "/slow") {
			<-f.slow
		}
		fmt.Fprintf(w, "answer to %s", r.URL.Path)
	})
	f.server = New(o)
	l, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f.address = l.Addr().String()
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = f.server.Serve(slowListener{l.(*net.TCPListener), &f.accepts, &f.reads})
	}()
	t.Cleanup(func() {
		f.finish()
		f.accepts.release()
		f.reads.release()
		_ = f.server.Close()
		<-served
	})
	return f
}

// client is one end of a connection, which answers are read from.
type client struct {
	f *fixture
	net.Conn
	reader *bufio.Reader
}

func (f *fixture) dial() *client {
	c, err := net.Dial("tcp4", f.address)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = c.Close() })
	return &client{f: f, Conn: c, reader: bufio.NewReader(c)}
}

func (c *client) send(text string) {
	c.f.t.Helper()
	if _, err := c.Write([]byte(text)); err != nil {
		c.f.t.Fatalf("send: %v", err)
	}
}

// answer reads one complete answer and returns its status, and an error unless that is 200, or a promise that the request did not run.
func (c *client) answer() (int, error) {
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0, fmt.Errorf("no answer: %w", err)
	}
	defer resp.Body.Close()
	if _, err := io.ReadAll(resp.Body); err != nil {
		return 0, fmt.Errorf("answer with status %d is cut: %w", resp.StatusCode, err)
	}
	switch resp.StatusCode {
	case http.StatusOK, http.StatusRequestTimeout, http.StatusServiceUnavailable:
		return resp.StatusCode, nil
	}
	return 0, fmt.Errorf("answer with status %d", resp.StatusCode)
}

// get is a request without a body.
func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: test\r\n\r\n" }

// shutdown begins a planned stop and returns when the server knows of it; the function waits for its end.
func (f *fixture) shutdown(limit time.Duration) func() {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer cancel()
		_ = f.server.Shutdown(ctx)
	}()
	time.Sleep(50 * time.Millisecond) // until it has seen the connections
	return func() { <-done }
}

const stopLimit = 3 * time.Second

// Guards against requests that end without an answer because a planned stop closes their connection: unread, being read, or read.
func TestShutdownAnswersEachRequest(t *testing.T) {
	for name, run := range map[string]func(f *fixture) (c *client, answers int){
		"idle connection, request unread": func(f *fixture) (*client, int) {
			c := f.dial()
			c.send(get("/first"))
			if _, err := c.answer(); err != nil {
				f.t.Fatal(err)
			}
			f.reads.hold()
			c.send(get("/second"))
			return c, 1
		},
		"new connection, request unread": func(f *fixture) (*client, int) {
			f.reads.hold()
			c := f.dial()
			c.send(get("/first"))
			return c, 1
		},
		"connection in the listener's queue": func(f *fixture) (*client, int) {
			f.accepts.hold()
			f.dial() // is held in Accept, so that later ones stay in the queue
			time.Sleep(20 * time.Millisecond)
			c := f.dial()
			c.send(get("/first"))
			return c, 1
		},
		"head still coming": func(f *fixture) (*client, int) {
			c := f.dial()
			c.send("GET /first HTTP/1.1\r\nHo")
			time.Sleep(20 * time.Millisecond)
			time.AfterFunc(100*time.Millisecond, func() { _, _ = c.Write([]byte("st: test\r\n\r\n")) })
			return c, 1
		},
		"head that never ends": func(f *fixture) (*client, int) {
			c := f.dial()
			c.send("GET /first HTTP/1.1\r\nHo")
			return c, 1
		},
		"body still coming": func(f *fixture) (*client, int) {
			c := f.dial()
			c.send("POST /first HTTP/1.1\r\nHost: test\r\nContent-Length: 10\r\n\r\n12345")
			<-f.begun
			time.AfterFunc(100*time.Millisecond, func() { _, _ = c.Write([]byte("67890")) })
			return c, 1
		},
		"body that never ends": func(f *fixture) (*client, int) {
			c := f.dial()
			c.send("POST /first HTTP/1.1\r\nHost: test\r\nContent-Length: 10\r\n\r\n12345")
			<-f.begun
			return c, 1
		},
		"chunked body that never ends": func(f *fixture) (*client, int) {
			c := f.dial()
			c.send("POST /first HTTP/1.1\r\nHost: test\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n")
			<-f.begun
			return c, 1
		},
		"pipelined requests in one segment": func(f *fixture) (*client, int) {
			c := f.dial()
			c.send(get("/slow") + get("/second") + get("/third"))
			<-f.begun
			time.AfterFunc(100*time.Millisecond, f.finish)
			return c, 3
		},
		"pipelined requests with bodies": func(f *fixture) (*client, int) {
			c := f.dial()
			post := "POST /slow HTTP/1.1\r\nHost: test\r\nContent-Length: 5\r\n\r\n12345"
			c.send(post + post + get("/third"))
			<-f.begun
			time.AfterFunc(100*time.Millisecond, f.finish)
			return c, 3
		},
		"pipelined requests in segments": func(f *fixture) (*client, int) {
			c := f.dial()
			c.send(get("/slow"))
			<-f.begun
			c.send(get("/second"))
			time.Sleep(20 * time.Millisecond)
			c.send(get("/third"))
			time.AfterFunc(100*time.Millisecond, f.finish)
			return c, 3
		},
		"HTTP/1.0": func(f *fixture) (*client, int) {
			c := f.dial()
			c.send("GET /slow HTTP/1.0\r\n\r\n")
			<-f.begun
			time.AfterFunc(100*time.Millisecond, f.finish)
			return c, 1
		},
		"HTTP/1.0, unread": func(f *fixture) (*client, int) {
			f.reads.hold()
			c := f.dial()
			c.send("GET /first HTTP/1.0\r\n\r\n")
			return c, 1
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, Options{})
			c, answers := run(f)
			wait := f.shutdown(stopLimit)
			f.accepts.release()
			f.reads.release()
			for i := range answers {
				if _, err := c.answer(); err != nil {
					t.Errorf("request %d: %v", i+1, err)
				}
			}
			_ = c.Close()
			wait()
		})
	}
}

// Guards against a request that crosses the end of its idle connection and gets no answer.
func TestRequestThatCrossesTheEndIsRefused(t *testing.T) {
	f := newFixture(t, Options{})
	c := f.dial()
	c.send(get("/first"))
	if _, err := c.answer(); err != nil {
		t.Fatal(err)
	}
	wait := f.shutdown(stopLimit)
	c.send(get("/second")) // the client has not seen the end yet
	if status, err := c.answer(); err != nil || status != http.StatusRequestTimeout {
		t.Errorf("status %d, %v, want the refusal 408", status, err)
	}
	_ = c.Close()
	wait()
}

// Guards against connections that are established, and reset when the listener closes. Clients connect and send without a pause.
func TestNoConnectionIsResetWhenTheListenerCloses(t *testing.T) {
	for round := range 10 {
		f := newFixture(t, Options{})
		var clients sync.WaitGroup
		stopped := make(chan struct{})
		for range 8 {
			clients.Go(func() {
				for {
					select {
					case <-stopped:
						return
					default:
					}
					conn, err := net.DialTimeout("tcp4", f.address, 5*time.Second)
					if err != nil {
						return // refused: the listener is closed
					}
					c := &client{f: f, Conn: conn, reader: bufio.NewReader(conn)}
					_, _ = conn.Write([]byte(get("/first")))
					if _, err := c.answer(); err != nil {
						t.Errorf("round %d: connection established, request sent: %v", round, err)
					}
					_ = conn.Close()
				}
			})
		}
		time.Sleep(10 * time.Millisecond)
		f.shutdown(stopLimit)()
		close(stopped)
		clients.Wait()
	}
}

// Guards against time limits that end a connection although its request has come: only the process was too slow to read it.
func TestTimeLimitsAnswerWhatHasCome(t *testing.T) {
	const limit = 50 * time.Millisecond
	for name, o := range map[string]Options{
		"idle connection": {IdleTimeout: limit},
		"head":            {ReadHeaderTimeout: limit},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, o)
			c := f.dial()
			if o.IdleTimeout > 0 {
				c.send(get("/first"))
				if _, err := c.answer(); err != nil {
					t.Fatal(err)
				}
			}
			f.reads.hold()
			c.send(get("/second"))
			time.Sleep(3 * limit)
			f.reads.release()
			if status, err := c.answer(); err != nil || status != http.StatusOK {
				t.Errorf("status %d, %v; want the handler's answer", status, err)
			}
		})
	}
}

// Guards against a reset behind an answer, by which a client may lose it: the connection is closed while the client has sent more than was
// read.
func TestAnswerIsNotFollowedByReset(t *testing.T) {
	f := newFixture(t, Options{})
	c := f.dial()
	c.send("GET /first HTTP/1.1\r\nHost: test\r\nConnection: close\r\n\r\n" + strings.Repeat("x", 64<<10))
	if _, err := c.answer(); err != nil {
		t.Fatal(err)
	}
	if _, err := c.reader.ReadByte(); err != io.EOF {
		t.Errorf("after the answer: %v, want EOF", err)
	}
}

// Guards against an answer that keeps its connection open although its request came after the balancer could know of the planned stop.
func TestAnswersCloseConnectionsFromTheBeginOfAStop(t *testing.T) {
	closes := false
	f := &fixture{t: t, server: New(Options{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { closes = ClosesAfter(r) })})}
	l, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f.address = l.Addr().String()
	served := make(chan struct{})
	go func() { defer close(served); _ = f.server.Serve(l) }()
	c := f.dial()
	c.send(get("/first"))
	if _, err := c.answer(); err != nil || closes {
		t.Fatalf("before the stop: %v, closes: %v", err, closes)
	}
	_ = f.server.Drain(t.Context(), drain.Options{Deadline: stopLimit}, func(phase drain.Phase) {
		if phase != drain.PhaseUnready {
			return
		}
		c.send(get("/late"))
		if _, err := c.answer(); err != nil {
			t.Error(err)
		}
		_ = c.Close()
	})
	<-served
	if !closes {
		t.Error("the connection was to stay open")
	}
}

// Guards against the same if net/http has read the first byte of the request, since it still watched for the end of the connection.
func TestAnswerClosesConnectionIfTheWatchReadAByte(t *testing.T) {
	closes := make(chan bool, 2)
	f := newFixture(t, Options{})
	f.server.opts.Handler = http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/first" {
			f.begun <- struct{}{}
			<-f.slow
		}
		closes <- ClosesAfter(r)
	})
	f.server.stopping.Store(true)
	c := f.dial()
	c.send(get("/first"))
	<-f.begun
	c.send(get("/late"))
	time.Sleep(20 * time.Millisecond) // the watch reads a byte
	f.finish()
	for i, want := range []bool{false, true} {
		if got := <-closes; got != want {
			t.Errorf("answer %d closes its connection: %v, want %v", i+1, got, want)
		}
	}
}

// Guards against connections that are reset because a planned stop begins between listen and Serve.
func TestShutdownBeforeServeAnswersTheQueue(t *testing.T) {
	f := &fixture{t: t, server: New(Options{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})})}
	l, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f.address = l.Addr().String()
	f.server.Attach(l)
	c := f.dial()
	c.send(get("/first"))
	wait := f.shutdown(stopLimit)
	served := make(chan error, 1)
	go func() { served <- f.server.Serve(l) }()
	if _, err := c.answer(); err != nil {
		t.Error(err)
	}
	_ = c.Close()
	begun := time.Now()
	wait()
	if err := <-served; err != http.ErrServerClosed || time.Since(begun) > stopLimit/2 {
		t.Errorf("the stop took another %v, Serve returned %v", time.Since(begun), err)
	}
}

// Guards against HTTP/2 without TLS that is not recognized, so that its connections are ended as those of HTTP/1, and against a listener
// that takes no IPv6 address.
func TestUnencryptedHTTP2(t *testing.T) {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, r.Proto, " ", IsLast(r)) })
	for _, address := range []string{"127.0.0.1:0", "[::1]:0"} {
		server := New(Options{Handler: handler, Protocols: protocols})
		l, err := Listen(address)
		if err != nil {
			if strings.HasPrefix(address, "[") {
				t.Logf("no IPv6 on this machine: %v", err)
				continue
			}
			t.Fatal(err)
		}
		served := make(chan error, 1)
		go func() { served <- server.Serve(l) }()
		only2 := new(http.Protocols)
		only2.SetUnencryptedHTTP2(true)
		transport := &http.Transport{Protocols: only2}
		for range 2 {
			resp, err := (&http.Client{Transport: transport}).Get("http://" + l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			if err != nil || string(body) != "HTTP/2.0 true" {
				t.Errorf("answer %q, %v, want HTTP/2.0 and the last request", body, err)
			}
		}
		ctx, cancel := context.WithTimeout(t.Context(), stopLimit)
		if err := server.Shutdown(ctx); err != nil {
			t.Errorf("shutdown: %v", err)
		}
		cancel()
		if err := <-served; err != http.ErrServerClosed {
			t.Errorf("Serve returned %v", err)
		}
		transport.CloseIdleConnections()
	}
}
