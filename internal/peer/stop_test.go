package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"golang.org/x/sys/unix"

	egretv1 "github.com/egrethoist/egrethoist/gen/egret/v1"
	"github.com/egrethoist/egrethoist/gen/egret/v1/egretv1connect"
	"github.com/egrethoist/egrethoist/internal/httpserver"
)

// Guards against calls that a planned stop of a server for peers leaves without an answer and without a proof that they have not run.
// Bodies can't be sent again, as those of streams.
func TestPlannedStopOfServer(t *testing.T) {
	const clients, callers = 16, 4
	cert := httptest.NewTLSServer(nil)
	defer cert.Close()
	for name, serverTLS := range map[string]*tls.Config{
		"plain": nil,
		"tls":   {Certificates: cert.TLS.Certificates, NextProtos: []string{"h2"}},
	} {
		t.Run(name, func(t *testing.T) {
			var mu sync.Mutex
			ran := map[string]bool{}
			handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				id, err := io.ReadAll(r.Body)
				if err != nil {
					return
				}
				mu.Lock()
				ran[string(id)] = true
				mu.Unlock()
				_, _ = w.Write(id)
			})
			l, err := httpserver.Listen("127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			serve, stop := testServer(handler, serverTLS)
			go func() { _ = serve(l) }()
			var answered, refused, lost atomic.Int64
			var calls sync.WaitGroup
			var id atomic.Int64
			for range clients {
				opts := Options{Addr: l.Addr().String()}
				if serverTLS != nil {
					opts.TLS = func(host string) *tls.Config {
						return &tls.Config{ServerName: host, NextProtos: []string{"h2"}, RootCAs: cert.Client().Transport.(*http.Transport).TLSClientConfig.RootCAs}
					}
				}
				c := NewClient(opts)
				defer c.Close()
				for range callers {
					calls.Go(func() {
						for {
							id := fmt.Sprint(id.Add(1))
							err := call(c, id)
							switch {
							case err == nil:
								answered.Add(1)
								continue
							case NotProcessed(err):
								mu.Lock()
								if ran[id] {
									t.Errorf("call ran, although its error says that it was not processed: %v", err)
								}
								mu.Unlock()
								refused.Add(1)
							case lost.Add(1) == 1:
								t.Errorf("call neither answered nor refused: %v", err)
							}
							return
						}
					})
				}
			}
			time.Sleep(300 * time.Millisecond)
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			if err := stop(ctx); err != nil {
				t.Errorf("planned stop: %v", err)
			}
			calls.Wait()
			t.Logf("%d calls answered, %d refused, %d lost", answered.Load(), refused.Load(), lost.Load())
		})
	}
}

// slowReads is a connection whose reads wait while it is held, as in a process that is short of processor time.
type slowReads struct {
	net.Conn
	held chan struct{} // closed when reads go on
	hold *atomic.Bool
}

func (c slowReads) Read(p []byte) (int, error) {
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
	if c.hold.Load() {
		<-c.held // the goroutine is woken, and runs only then
	}
	return c.Conn.Read(p)
}

// Guards against connections that are reset with unread calls, so that slow clients don't get the GOAWAY that was sent before.
func TestPlannedStopOfServerWithSlowClients(t *testing.T) {
	const clients = 20
	cert := httptest.NewTLSServer(nil)
	defer cert.Close()
	for name, serverTLS := range map[string]*tls.Config{
		"plain": nil,
		"tls":   {Certificates: cert.TLS.Certificates, NextProtos: []string{"h2"}},
	} {
		t.Run(name, func(t *testing.T) {
			var ran atomic.Int64
			handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				ran.Add(1)
				_, _ = io.Copy(w, r.Body)
			})
			l, err := httpserver.Listen("127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			serve, stop := testServer(handler, serverTLS)
			go func() { _ = serve(l) }()
			held, hold := make(chan struct{}), new(atomic.Bool)
			var all []*Client
			for range clients {
				opts := Options{Addr: l.Addr().String(), Dial: func(ctx context.Context, network, addr string) (net.Conn, error) {
					c, err := new(net.Dialer).DialContext(ctx, network, addr)
					return slowReads{c, held, hold}, err
				}}
				if serverTLS != nil {
					opts.TLS = func(host string) *tls.Config {
						return &tls.Config{ServerName: host, NextProtos: []string{"h2"}, RootCAs: cert.Client().Transport.(*http.Transport).TLSClientConfig.RootCAs}
					}
				}
				c := NewClient(opts)
				defer c.Close()
				if err := call(c, "first"); err != nil {
					t.Fatal(err)
				}
				all = append(all, c)
			}
			hold.Store(true)
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			stopped := make(chan error, 1)
			go func() { stopped <- stop(ctx) }()
			// net/http closes a connection a second after its GOAWAY.
			var calls sync.WaitGroup
			var lost atomic.Int64
			for i, c := range all {
				calls.Go(func() {
					time.Sleep(900*time.Millisecond + time.Duration(i)*50*time.Millisecond)
					second := func() error { return call(c, "second") }
					if i%2 == 1 {
						second = func() error { return openStream(t.Context(), c) }
					}
					if err := second(); err != nil && !NotProcessed(err) && lost.Add(1) == 1 {
						t.Errorf("call neither answered nor refused: %v", err)
					}
				})
			}
			time.Sleep(2500 * time.Millisecond)
			close(held)
			calls.Wait()
			if err := <-stopped; err != nil {
				t.Errorf("planned stop: %v", err)
			}
			t.Logf("%d calls ran, %d of %d lost", ran.Load()-clients, lost.Load(), clients)
		})
	}
}

// Guards against text of a peer that passes for the transport's own report, and against a report that is lost on its way through connect.
func TestNotProcessed(t *testing.T) {
	transport := unprocessedError("10.0.0.1:1", &url.Error{Op: "Post", URL: "http://10.0.0.1:1", Err: errors.New(goAwayError)})
	for _, tc := range []struct {
		err  error
		want bool
	}{
		{connect.NewError(connect.CodeUnavailable, transport), true},
		{connect.NewError(connect.CodeUnavailable, unprocessedError("10.0.0.1:1", &url.Error{Op: "Post", Err: errors.New(unusableError)})), true},
		{connect.NewError(connect.CodeUnavailable, &DialError{Err: io.EOF}), true},
		{unprocessedError("10.0.0.1:1", connect.NewError(connect.CodeUnavailable, errors.New(goAwayError))), false},
		{connect.NewError(connect.CodeUnavailable, errors.New(goAwayError)), false},
		{unprocessedError("10.0.0.1:1", &url.Error{Op: "Post", Err: io.ErrUnexpectedEOF}), false},
	} {
		if got := NotProcessed(tc.err); got != tc.want {
			t.Errorf("%v: not processed %v, want %v", tc.err, got, tc.want)
		}
	}
}

// openStream begins a stream of an attempt, as an entry does, and returns the error with which it ends.
func openStream(ctx context.Context, c *Client) error {
	stream := egretv1connect.NewSidecarServiceClient(c, c.URL(), connect.WithGRPC()).Serve(ctx)
	defer stream.CloseResponse()
	defer stream.CloseRequest()
	if err := stream.Send(&egretv1.ServeRequest{}); err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	_, err := stream.Receive() // io.EOF from Send means that the reason is here
	return err
}

func call(c *Client, id string) error {
	body := struct{ io.Reader }{strings.NewReader(id)} // of a type that net/http can't read again
	req, err := http.NewRequest(http.MethodPost, c.URL(), body)
	if err != nil {
		return err
	}
	resp, err := c.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	if err == nil && (resp.StatusCode != http.StatusOK || string(got) != id) {
		err = fmt.Errorf("status %d, body %q", resp.StatusCode, got)
	}
	return err
}

// testServer returns the functions of a server for peers.
func testServer(handler http.Handler, serverTLS *tls.Config) (serve func(net.Listener) error, stop func(context.Context) error) {
	server := httpserver.New(ServerOptions("peers", handler, serverTLS))
	return server.Serve, server.Shutdown
}
