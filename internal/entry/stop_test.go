package entry

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/egrethoist/egrethoist/internal/httpserver"
)

// Guards against the loss of pipelined requests behind one whose answer closes the connection, since the entry is stopping.
func TestPipelinedRequestsAreAnsweredInPlannedStop(t *testing.T) {
	e, err := New(Options{Name: "entry-1", Config: fixedConfig{plainWorld()}})
	if err != nil {
		t.Fatal(err)
	}
	server := httpserver.New(httpserver.Options{Handler: e.Handler()})
	l, err := httpserver.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = server.Serve(l) // ends with Close
	}()
	defer func() {
		_ = server.Close()
		<-served
	}()
	e.stopping.Store(true)
	const get = "GET /healthz HTTP/1.1\r\nHost: test\r\n\r\n"
	for _, requests := range []int{1, 3} {
		c, err := net.Dial("tcp4", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if _, err := io.WriteString(c, strings.Repeat(get, requests)); err != nil {
			t.Fatal(err)
		}
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		reader := bufio.NewReader(c)
		for i := range requests {
			resp, err := http.ReadResponse(reader, nil)
			if err != nil {
				t.Fatalf("request %d of %d: %v", i+1, requests, err)
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			if requests == 1 && !resp.Close {
				t.Error("the answer to a single request does not close its connection")
			}
		}
	}
}

// Guards against a request that the server ends in a planned stop counting as one whose caller has left.
func TestCallerIsNotGoneWhenTheServerEndsTheRequest(t *testing.T) {
	for cause, gone := range map[error]bool{httpserver.ErrStopping: false, errors.New("connection closed"): true} {
		ctx, cancel := context.WithCancelCause(t.Context())
		cancel(cause)
		if got := callerGone(ctx, &Error{}); got != gone {
			t.Errorf("cause %q: caller gone: %v, want %v", cause, got, gone)
		}
	}
}
