package httpserver

import (
	"net"
	"testing"
	"time"
)

// Guards against a connection that is ended, and its request refused, although a handler gets the request: it comes between the look for
// unread bytes and the end.
func TestRequestThatComesBeforeTheEndIsNotRefused(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	c := &conn{Conn: near, server: New(Options{})}
	defer c.Conn.Close()
	read := make(chan error, 1)
	go func() {
		_, err := c.Read(make([]byte, 4096))
		read <- err
	}()
	if _, err := far.Write([]byte(get("/first"))); err != nil {
		t.Fatal(err)
	}
	if err := <-read; err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() { defer close(ended); c.end(phaseWaiting, "stopping") }()
	_ = far.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	if n, err := far.Read(make([]byte, 100)); err == nil {
		t.Errorf("%d bytes were sent on a connection whose request a handler gets", n)
	}
	<-ended
}
