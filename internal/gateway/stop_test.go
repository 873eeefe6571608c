package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/sys/unix"

	"github.com/egrethoist/egrethoist/internal/httpserver"
)

// Guards against callers that do not read: the refusal on their connections must not hold up the stop.
func TestStopIsNotHeldUpByCallersThatDoNotRead(t *testing.T) {
	g := New(Options{MemoryBytes: 1 << 30, Metrics: tally.NoopScope})
	s := httpserver.New(httpserver.Options{WrapConn: g.WrapCaller, ConnContext: CallerContext, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/big" {
			w.Header().Set("Content-Length", r.URL.Query().Get("n"))
			n, _ := strconv.Atoi(r.URL.Query().Get("n"))
			_, _ = w.Write([]byte(strings.Repeat("x", n)))
			return
		}
		fmt.Fprint(w, "ok")
	})})
	l, err := httpserver.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go s.Serve(l)
	defer s.Close()
	for i := range 60 {
		d := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error { // a small window from the start
			return raw.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 4096) })
		}}
		c, err := d.DialContext(context.Background(), "tcp4", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		fmt.Fprintf(c, "GET /big?n=%d HTTP/1.1\r\nHost: t\r\n\r\n", 18000+100*i)
	}
	time.Sleep(200 * time.Millisecond)
	t.Logf("%+v", s.Connections())
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	start := time.Now()
	err = s.Shutdown(ctx)
	took := time.Since(start)
	t.Logf("took %v, %v", took, err)
	if took > 3200*time.Millisecond {
		t.Errorf("stop of 3 s took %v", took)
	}
}
