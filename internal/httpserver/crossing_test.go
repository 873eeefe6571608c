package httpserver

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/egrethoist/egrethoist/internal/drain"
)

// peekHook is a connection whose unread-bytes check can be held after it has run, and whose reads can be held after they have got bytes.
type peekHook struct {
	net.Conn
	hook *hooks
}

type hooks struct {
	server   *Server
	mu       sync.Mutex
	armed    bool
	afterGot chan struct{} // closed when a read has got bytes
	letRead  chan struct{} // closed when that read may return
	once     sync.Once
}

func (c *peekHook) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.hook.mu.Lock()
	armed := c.hook.armed
	c.hook.mu.Unlock()
	if armed && n > 1 {
		c.hook.once.Do(func() { close(c.hook.afterGot) })
		<-c.hook.letRead
	}
	return n, err
}
func (c *peekHook) CloseWrite() error { return c.Conn.(*net.TCPConn).CloseWrite() }
func (c *peekHook) SyscallConn() (syscall.RawConn, error) {
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	return rawHook{raw, c.hook}, err
}

type rawHook struct {
	syscall.RawConn
	hook *hooks
}

func (r rawHook) Control(f func(uintptr)) error {
	err := r.RawConn.Control(f)
	r.hook.mu.Lock()
	armed := r.hook.armed && r.hook.server.refusing.Load()
	r.hook.armed = r.hook.armed && !armed
	r.hook.mu.Unlock()
	if armed {
		close(r.hook.letRead)
		for range 100_000 { // until the read has returned its bytes to net/http
			reading := false
			r.hook.server.forEach(func(c *conn) {
				if reading = !c.mu.TryLock(); reading { // held by the check itself
					return
				}
				reading = c.phase != phaseWaiting
				c.mu.Unlock()
			})
			if reading {
				break
			}
		}
	}
	return err
}

// Guards against a request that runs although its caller was told by a 408 that it has not.
func TestRequestRunsAfter408(t *testing.T) {
	bad := 0
	for range 50 {
		if status, ran := runCrossing(t); ran && status != http.StatusOK {
			bad++
			t.Logf("caller got %d, but its request has run", status)
		}
	}
	if bad > 0 {
		t.Errorf("%d of 50 requests ran after the refusal", bad)
	}
}

func runCrossing(t *testing.T) (status int, ran bool) {
	h := &hooks{afterGot: make(chan struct{}), letRead: make(chan struct{})}
	var second atomic.Bool
	s := New(Options{
		WrapConn: func(c net.Conn) net.Conn { return &peekHook{c, h} },
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/second" {
				second.Store(true)
			}
			fmt.Fprint(w, "ok")
		}),
	})
	h.server = s
	l, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go s.Serve(l)
	defer s.Close()
	f := &fixture{t: t, server: s, address: l.Addr().String()}
	c := f.dial()
	c.send(get("/first"))
	if _, err := c.answer(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(5 * time.Millisecond)
	h.mu.Lock()
	h.armed = true
	h.mu.Unlock()
	c.send("GET /second HTTP/1.1\r\nHost: test\r\n" + strings.Repeat("A: b\r\n", 500) + "\r\n")
	<-h.afterGot
	wait := f.shutdown(stopLimit)
	status, _ = c.answer()
	time.Sleep(20 * time.Millisecond)
	ran = second.Load()
	_ = c.Close()
	wait()
	return status, ran
}

// Guards against requests that are neither answered nor refused, since their connection's goroutine does not run until the end of the stop.
func TestUnreadAtDeadlineIsRefused(t *testing.T) {
	f := newFixture(t, Options{})
	c := f.dial()
	c.send(get("/first"))
	if _, err := c.answer(); err != nil {
		t.Fatal(err)
	}
	f.reads.hold()
	c.send(get("/second"))
	wait := f.shutdown(time.Second)
	if status, err := c.answer(); err != nil {
		t.Errorf("status %d, %v", status, err)
	}
	f.reads.release()
	wait()
}

// Guards against a request that is cut since net/http still waits for its watch of the connection when the answer before has been sent.
func TestUnreadAfterAnswerIsRefused(t *testing.T) {
	for name, answeredAfter := range map[string]time.Duration{"before the stop": 0, "before the handover": time.Second, "after it": 2450 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, Options{})
			c := f.dial()
			c.send(get("/slow"))
			<-f.begun
			f.reads.hold()
			c.send(get("/second"))
			time.Sleep(20 * time.Millisecond) // the watch is woken
			if answeredAfter == 0 {
				f.finish()
			}
			wait := f.shutdown(stopLimit) // handover at 2.4 s
			if answeredAfter > 0 {
				time.AfterFunc(answeredAfter-50*time.Millisecond, f.finish)
			}
			for i := range 2 {
				if status, err := c.answer(); err != nil {
					t.Errorf("request %d: status %d, %v", i+1, status, err)
				}
			}
			f.reads.release()
			wait()
			if len(f.begun) > 0 {
				t.Error("the refused request has run")
			}
		})
	}
}

// Guards against a partial request after one that was being answered at the handover: it must be refused, not cut.
func TestPartialHeadAfterHandover(t *testing.T) {
	for name, second := range map[string]string{
		"partial head": "GET /second HTTP/1.1\r\nHo",
		"partial body": "POST /second HTTP/1.1\r\nHost: test\r\nContent-Length: 10\r\n\r\n12345",
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, Options{})
			c := f.dial()
			c.send(get("/slow"))
			<-f.begun
			wait := f.shutdown(2 * time.Second)
			time.Sleep(1560 * time.Millisecond) // handover at 1.6 s
			c.send(second)
			time.Sleep(20 * time.Millisecond)
			f.finish()
			if _, err := c.answer(); err != nil {
				t.Errorf("first: %v", err)
			}
			if _, err := c.answer(); err != nil {
				t.Errorf("second: %v", err)
			}
			_ = c.Close()
			wait()
		})
	}
}

// Guards against a connection of a client that never closes, that counts as a request being answered.
func TestAnsweredConnectionIsNotBusy(t *testing.T) {
	s := New(Options{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Connection", "close")
		fmt.Fprint(w, "ok")
	})})
	l, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go s.Serve(l)
	defer s.Close()
	f := &fixture{t: t, server: s, address: l.Addr().String()}
	c := f.dial()
	c.send(get("/first"))
	if _, err := c.answer(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(100 * time.Millisecond)
	if w := s.work(); w.Busy != 0 {
		t.Errorf("answered, not closed by the client: %d busy", w.Busy)
	}
}

// Guards against the loss of a pipelined request whose head ends like the last chunk of a body.
func TestPipelinedAfterChunked(t *testing.T) {
	s := New(Options{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		if ClosesAfter(r) {
			w.Header().Set("Connection", "close")
		}
		fmt.Fprint(w, "ok")
	})})
	l, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go s.Serve(l)
	defer s.Close()
	f := &fixture{t: t, server: s, address: l.Addr().String()}
	c := f.dial()
	s.stopping.Store(true)
	c.send("POST /first HTTP/1.1\r\nHost: test\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n0\r\n\r\n" + "GET /second HTTP/1.1\r\nHost: 127.0.0.1:8080\r\n\r\n")
	for i := range 2 {
		if _, err := c.answer(); err != nil {
			t.Errorf("request %d: %v", i+1, err)
		}
	}
}

// Guards against connections reset because the stop came before the listener was served.
func TestStopBeforeServe(t *testing.T) {
	s := New(Options{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, "ok") })})
	l, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &fixture{t: t, server: s, address: l.Addr().String()}
	c := f.dial()
	c.send(get("/first"))
	s.Attach(l)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	done := make(chan struct{})
	go func() { defer close(done); _ = s.Shutdown(ctx) }()
	time.Sleep(100 * time.Millisecond)
	go s.Serve(l)
	if _, err := c.answer(); err != nil {
		t.Error(err)
	}
	<-done
}

// Guards against an answer that a planned stop gives to a request on a half-closed connection, or its loss.
func TestHalfClosed(t *testing.T) {
	for name, unread := range map[string]bool{"read": false, "unread": true} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, Options{})
			if unread {
				f.reads.hold()
			}
			c := f.dial()
			c.send(get("/first"))
			_ = c.Conn.(*net.TCPConn).CloseWrite()
			wait := f.shutdown(stopLimit)
			f.reads.release()
			if _, err := c.answer(); err != nil {
				t.Error(err)
			}
			_ = c.Close()
			wait()
		})
	}
}

// Guards against a connection that is accepted after the handover, and cut with an incomplete request instead of being refused.
func TestAcceptedAfterHandover(t *testing.T) {
	f := newFixture(t, Options{})
	f.accepts.hold()
	f.dial()
	time.Sleep(20 * time.Millisecond)
	c := f.dial()
	c.send("GET /first HTTP/1.1\r\nHo")
	wait := f.shutdown(2 * time.Second)
	time.Sleep(1600 * time.Millisecond)
	f.accepts.release()
	if _, err := c.answer(); err != nil {
		t.Error(err)
	}
	_ = c.Close()
	wait()
}

// Guards against a pipelined request that was sent, but not read, when an answer closes its connection.
func TestClosesAfterWithUnread(t *testing.T) {
	var f fixture
	s := New(Options{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/first" {
			time.Sleep(100 * time.Millisecond)
		}
		if ClosesAfter(r) {
			w.Header().Set("Connection", "close")
		}
		fmt.Fprint(w, "ok")
	})})
	l, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go s.Serve(slowListener{l.(*net.TCPListener), &f.accepts, &f.reads})
	defer s.Close()
	f.t, f.server, f.address = t, s, l.Addr().String()
	c := f.dial()
	s.stopping.Store(true)
	c.send(get("/first"))
	time.Sleep(30 * time.Millisecond)
	f.reads.hold()
	c.send(get("/second"))
	time.AfterFunc(200*time.Millisecond, f.reads.release)
	for i := range 2 {
		if _, err := c.answer(); err != nil {
			t.Errorf("request %d: %v", i+1, err)
		}
	}
}

// Guards against a stop with little time that resets connections which wait in the queue: the side servers of a gateway get 0.2 s after an overdue stop.
func TestShortShutdown(t *testing.T) {
	lost := 0
	for range 10 {
		f := newFixture(t, Options{})
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		if err := f.server.Shutdown(ctx); err != nil {
			lost++
			t.Log(err)
		}
		cancel()
	}
	if lost > 0 {
		t.Errorf("%d of 10 stops of an idle server did not end in order", lost)
	}
}

// Guards against a listener whose wait for handshakes lasts to the end of a short stop, which then resets what is queued.
func TestHandshakeWaitEndsAtHandover(t *testing.T) {
	const handover = 50 * time.Millisecond
	shortest := time.Hour
	for range 5 {
		f := newFixture(t, Options{})
		began := time.Now()
		if err := f.server.Drain(t.Context(), drain.Options{HandoverAfter: handover, Deadline: time.Hour}, func(drain.Phase) {}); err != nil {
			t.Fatal(err)
		}
		shortest = min(shortest, time.Since(began))
	}
	if shortest >= handshakeQuiet {
		t.Errorf("shortest of five stops of an idle server took %v, want less than %v with a handover after %v", shortest, handshakeQuiet, handover)
	}
}

// exhausted is a listener in a process that has no free file descriptors for a moment after its stop began.
type exhausted struct {
	*net.TCPListener
	failing atomic.Bool
}

func (l *exhausted) SyscallConn() (syscall.RawConn, error) {
	if l.failing.Load() {
		return nil, syscall.EMFILE // as accept4 would fail
	}
	return l.TCPListener.SyscallConn()
}

func (l *exhausted) Accept() (net.Conn, error) {
	if l.failing.Load() {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.TCPListener.Accept()
}

// Guards against a queue that is given up because descriptors are short for a moment.
func TestQueueWithoutDescriptors(t *testing.T) {
	s := New(Options{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, "ok") })})
	l, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &exhausted{TCPListener: l.(*net.TCPListener)}
	f := &fixture{t: t, server: s, address: l.Addr().String()}
	e.failing.Store(true)
	time.AfterFunc(100*time.Millisecond, func() { e.failing.Store(false) })
	c := f.dial()
	c.send(get("/first"))
	own := make(chan struct{})
	go func() { defer close(own); _ = s.Serve(e) }()
	time.Sleep(20 * time.Millisecond)
	wait := f.shutdown(2 * time.Second)
	if _, err := c.answer(); err != nil {
		t.Error(err)
	}
	_ = c.Close()
	wait()
}

// Guards against requests that run although their caller got a 408, without any hook: many requests cross the end of their connections.
func TestManyCrossings(t *testing.T) {
	crossed, bad, lost := 0, 0, 0
	for range 10 {
		var ran sync.Map
		s := New(Options{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			ran.Store(r.URL.Path, true)
			fmt.Fprint(w, "ok")
		})})
		l, err := Listen("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go s.Serve(l)
		f := &fixture{t: t, server: s, address: l.Addr().String()}
		var cs []*client
		for range 300 {
			c := f.dial()
			c.send(get("/first"))
			if _, err := c.answer(); err != nil {
				t.Fatal(err)
			}
			cs = append(cs, c)
		}
		var senders sync.WaitGroup
		for part := range 4 {
			senders.Go(func() {
				for i := part; i < len(cs); i += 4 {
					fmt.Fprintf(cs[i], "GET /%d HTTP/1.1\r\nHost: t\r\n%s\r\n", i, strings.Repeat("A: b\r\n", 300))
				}
			})
		}
		done := make(chan struct{})
		go func() {
			defer close(done)
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			_ = s.Shutdown(ctx)
		}()
		senders.Wait()
		for i, c := range cs {
			status, err := c.answer()
			if err != nil {
				lost++
				t.Log(err)
			}
			if status == http.StatusRequestTimeout {
				crossed++
				if _, has := ran.Load(fmt.Sprintf("/%d", i)); has {
					bad++
				}
			}
			_ = c.Close()
		}
		<-done
	}
	t.Logf("%d refused, %d of them ran, %d lost", crossed, bad, lost)
	if bad > 0 || lost > 0 {
		t.Errorf("%d requests ran after their 408, %d lost", bad, lost)
	}
}

// Guards against a client that holds up a stop beyond its deadline by a request that looks like HTTP/2.
func TestPrefaceDoesNotHoldUpTheStop(t *testing.T) {
	f := newFixture(t, Options{})
	c := f.dial()
	c.send("PRI * HTTP/2.0\r\nHost: test\r\nContent-Length: 10\r\n\r\n12345")
	select {
	case <-f.begun:
	case <-time.After(time.Second):
		t.Fatal("no handler")
	}
	done := make(chan error, 1)
	go func() {
		done <- f.server.Drain(context.Background(), drain.Options{HandoverAfter: 500 * time.Millisecond, Deadline: time.Second}, func(drain.Phase) {})
	}()
	select {
	case err := <-done:
		t.Log(err)
	case <-time.After(4 * time.Second):
		t.Error("a stop with a deadline of 1 s lasts longer than 4 s")
	}
}
