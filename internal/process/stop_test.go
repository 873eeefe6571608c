package process

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/egrethoist/egrethoist/internal/devkeys"
	"github.com/egrethoist/egrethoist/internal/distribution/plan"
	"github.com/egrethoist/egrethoist/internal/mtls"
	"github.com/egrethoist/egrethoist/internal/peer"
	"github.com/egrethoist/egrethoist/internal/settings"
	"github.com/egrethoist/egrethoist/internal/units"
)

// freeAddress returns a loopback address that nothing listens on.
func freeAddress(t *testing.T) units.Address {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return units.Address{AddrPort: netip.MustParseAddrPort(l.Addr().String())}
}

// newTestProcess returns a process that serves callers at the returned address once it runs.
func newTestProcess(t *testing.T) (*Process, string) {
	p, err := New(Options{
		Settings: settings.Process{
			Name: "entry-1", KeyValue: servePlatform(t, "entry-1"), AllowInsecureLoopback: true, DrainTimeout: units.Duration(10 * time.Second),
		},
		Self: plan.Peer{Name: "entry-1", Role: plan.RoleEntry},
	})
	if err != nil {
		t.Fatal(err)
	}
	callers := freeAddress(t)
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") })
	if err := p.ServeCallers(callers, handler); err != nil {
		t.Fatal(err)
	}
	return p, callers.String()
}

// caller is a connection to a process.
type caller struct {
	net.Conn
	reader *bufio.Reader
}

func dialCaller(address string) (*caller, error) {
	c, err := net.Dial("tcp4", address)
	if err != nil {
		return nil, err
	}
	return &caller{Conn: c, reader: bufio.NewReader(c)}, nil
}

func (c *caller) send() error {
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: test\r\n\r\n")
	return err
}

// answer reads one complete answer and returns an error unless its status is 200, or one that promises that the request did not run.
func (c *caller) answer() error {
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return fmt.Errorf("no answer: %w", err)
	}
	defer resp.Body.Close()
	if _, err := io.ReadAll(resp.Body); err != nil {
		return fmt.Errorf("answer with status %d is cut: %w", resp.StatusCode, err)
	}
	switch resp.StatusCode {
	case http.StatusOK, http.StatusRequestTimeout, http.StatusServiceUnavailable:
		return nil
	}
	return fmt.Errorf("answer with status %d", resp.StatusCode)
}

// stop sends the signal for a planned stop to the process under test, which is this one.
func stop(t *testing.T) {
	if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
}

// Guards against requests that get no answer because a planned stop closes their idle connection before the process has read them. They
// are sent at the moment at which the process's own drain has ended, more than it reads before it goes on.
func TestPlannedStopAnswersIdleConnections(t *testing.T) {
	const connections = 200
	p, address := newTestProcess(t)
	var callers []*caller
	connected, drained, ended := make(chan struct{}), make(chan struct{}), make(chan error, 1)
	drain := func(context.Context) error {
		defer close(drained)
		<-connected
		for _, c := range callers {
			if err := c.send(); err != nil {
				t.Errorf("send: %v", err)
			}
		}
		return nil
	}
	go func() { ended <- p.Run(drain) }()
	for range connections {
		c, err := dialCaller(address)
		if err != nil {
			t.Fatal(err)
		}
		callers = append(callers, c)
		if err := c.send(); err != nil {
			t.Fatal(err)
		}
		if err := c.answer(); err != nil {
			t.Fatal(err)
		}
	}
	close(connected)
	stop(t)
	<-drained
	readAll(t, callers)
	if err := <-ended; err != nil {
		t.Errorf("process ended with %v", err)
	}
}

// Guards against connections that are established, and reset or dropped when a planned stop closes the listener. Callers connect and send
// without a pause.
func TestPlannedStopAnswersNewConnections(t *testing.T) {
	for range 5 {
		p, address := newTestProcess(t)
		ended := make(chan error, 1)
		go func() { ended <- p.Run(func(context.Context) error { return nil }) }()
		var callers sync.WaitGroup
		var lost atomic.Int64
		for range 16 {
			callers.Go(func() {
				for {
					c, err := dialCaller(address)
					if err != nil {
						return // refused: the listener is closed
					}
					if err := errors.Join(c.send(), c.answer()); err != nil && lost.Add(1) == 1 {
						t.Errorf("connection established, request sent: %v", err)
					}
					_ = c.Close()
				}
			})
		}
		time.Sleep(20 * time.Millisecond)
		stop(t)
		if err := <-ended; err != nil {
			t.Errorf("process ended with %v", err)
		}
		callers.Wait()
	}
}

// readAll reads one answer on each connection and closes it.
func readAll(t *testing.T, callers []*caller) {
	var readers sync.WaitGroup
	var mu sync.Mutex
	failed, last := 0, error(nil)
	for _, c := range callers {
		readers.Go(func() {
			defer c.Close()
			if err := c.answer(); err != nil {
				mu.Lock()
				defer mu.Unlock()
				failed, last = failed+1, err
			}
		})
	}
	readers.Wait()
	if failed > 0 {
		t.Errorf("%d of %d requests lost, the last with: %v", failed, len(callers), last)
	}
}

// signalTest is the environment variable that makes the test binary the process of TestSignals.
const signalTest = "EGRET_TEST_SIGNALS"

// Guards against a signal that kills the process by its default action, with connections in a listener's queue: SIGTERM between listen and
// Run, SIGHUP at any time.
func TestSignals(t *testing.T) {
	if order := os.Getenv(signalTest); order != "" {
		p, _ := newTestProcess(t)
		for name := range strings.SplitSeq(order, ",") {
			sig := map[string]syscall.Signal{"TERM": syscall.SIGTERM, "HUP": syscall.SIGHUP}[name]
			if err := syscall.Kill(os.Getpid(), sig); err != nil {
				t.Fatal(err)
			}
			time.Sleep(50 * time.Millisecond) // signals are asynchronous
		}
		err := p.Run(func(context.Context) error {
			fmt.Println("drained")
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
		return
	}
	for _, order := range []string{"TERM", "HUP,TERM", "HUP,HUP,TERM"} {
		t.Run(order, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
			defer cancel()
			cmd := exec.CommandContext(ctx, os.Args[0], "-test.run=^TestSignals$")
			cmd.Env = append(os.Environ(), signalTest+"="+order)
			out, err := cmd.CombinedOutput()
			if err != nil || !strings.Contains(string(out), "drained") {
				t.Errorf("process ended with %v, want a planned stop; its output:\n%s", err, out)
			}
		})
	}
}

// Guards against servers for peers that serve under TLS without HTTP/2 or without the client's certificate, or whose planned stop leaves a
// call without an answer.
func TestPlannedStopOfServerForPeersWithTLS(t *testing.T) {
	dir := t.TempDir()
	holder := devkeys.Holder{
		Name: "entry-1", Roles: []mtls.Role{mtls.RoleEntry, mtls.RoleSidecar}, IPs: []netip.Addr{netip.MustParseAddr("127.0.0.1")},
	}
	if err := devkeys.Issue(dir, holder, time.Now()); err != nil {
		t.Fatal(err)
	}
	p, err := New(Options{
		Settings: settings.Process{
			Name: "entry-1", KeyValue: servePlatform(t, "entry-1"), DrainTimeout: units.Duration(10 * time.Second),
			TLS: &settings.TLS{
				Cert: filepath.Join(dir, "entry-1.pem"), Key: filepath.Join(dir, "entry-1-key.pem"), CA: filepath.Join(dir, devkeys.CAFile),
			},
		},
		Self: plan.Peer{Name: "entry-1", Role: plan.RoleEntry},
	})
	if err != nil {
		t.Fatal(err)
	}
	address := freeAddress(t)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.Proto) })
	if err := p.ServePeers(address, mtls.RequireRole(handler, mtls.RoleEntry)); err != nil {
		t.Fatal(err)
	}
	c := peer.NewClient(peer.Options{Addr: address.String(), TLS: p.TLSFunc(mtls.RoleEntry)})
	defer c.Close()
	call := func() error {
		req, err := http.NewRequest(http.MethodPost, c.URL(), struct{ io.Reader }{strings.NewReader("body")})
		if err != nil {
			return err
		}
		resp, err := c.Do(req)
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		if err == nil && string(body) != "HTTP/2.0" {
			err = fmt.Errorf("status %d, body %q", resp.StatusCode, body)
		}
		return err
	}
	ended := make(chan error, 1)
	go func() { ended <- p.Run(func(context.Context) error { return nil }) }()
	if err := call(); err != nil {
		t.Fatal(err)
	}
	stop(t)
	begun := time.Now()
	for {
		if err := call(); err != nil {
			if !peer.NotProcessed(err) {
				t.Errorf("call neither answered nor refused: %v", err)
			}
			break
		}
	}
	if err := <-ended; err != nil || time.Since(begun) > serverStopLimit {
		t.Errorf("process ended with %v after %v", err, time.Since(begun))
	}
}
