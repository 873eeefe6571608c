package httpengine

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/egrethoist/egrethoist/internal/engine"
)

// lateConn tells of its end only once late is closed, as a reader does that waits for the processor.
type lateConn struct {
	*net.TCPConn
	late chan struct{}
}

func (c *lateConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if err != nil {
		<-c.late
	}
	return n, err
}

// Guards against a call that counts as perhaps run, although its target had closed the kept connection before the call was written to it.
func TestCallOnClosedConnectionWasNotSent(t *testing.T) {
	var calls atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { calls.Add(1) }))
	defer server.Close()
	late := make(chan struct{})
	target := New(Options{Address: server.Listener.Addr().String(), Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &lateConn{conn.(*net.TCPConn), late}, nil
	}})
	defer target.Close()
	call := func() error {
		answer, err := target.Do(t.Context(), engine.Call{Method: http.MethodPost, Path: "/", Body: []byte("x")})
		if err != nil {
			return err
		}
		defer answer.Close()
		for err == nil {
			_, err = answer.Next()
		}
		if !errors.Is(err, io.EOF) {
			t.Error(err)
		}
		return nil
	}
	if err := call(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(20 * time.Millisecond) // the connection becomes idle at both ends
	server.CloseClientConnections()
	time.AfterFunc(50*time.Millisecond, func() { close(late) })
	err := call()
	var notSent *engine.NotSentError
	if err != nil && !errors.As(err, &notSent) {
		t.Errorf("call ended by %v, want one that was not sent, or an answer", err)
	}
	if n := calls.Load(); (err == nil) != (n == 2) {
		t.Errorf("target got %d calls, the second one ended by %v", n, err)
	}
}
