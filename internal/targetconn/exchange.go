package targetconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/egrethoist/egrethoist/internal/tcp"
)

const (
	// inlineBody is the size up to which a body is written before the answer is read. A target may answer before it has
	// read a longer one.
	inlineBody = 8 << 10
	// maxForeign bounds the answers to other requests that are dropped before the own one.
	maxForeign = 4
	// maxDropped bounds the body of an answer that is dropped to keep its connection: a new one costs less than reading more.
	maxDropped = 64 << 10
	// drainTime is how long the rest of such a body is waited for: some round trips within a region.
	drainTime = 50 * time.Millisecond
)

// Request is what goes to a target, byte for byte.
type Request struct {
	Method string
	URI    string // path and query as the caller sent them
	Host   string
	Header http.Header // without hop-by-hop fields and Content-Length
	Body   []byte
	// ID returns the id of the request that an answer belongs to, empty if it does not tell. It must be Want, or untold on a connection
	// that has carried no other request; nil: any answer is taken.
	ID   func(http.Header) string
	Want string
}

// Exchange is a request under way with its answer.
type Exchange struct {
	Response *http.Response
	ctx      context.Context
	conn     *Conn
	stop     func() bool
	written  chan error // nil if the body was written before the answer
	done     bool
}

// Send writes the request on the connection and reads the head of its answer. The request may have run if it returns an
// error. The exchange ends with ctx.
func (c *Conn) Send(ctx context.Context, r *Request) (*Exchange, error) {
	e := &Exchange{conn: c, ctx: ctx}
	e.stop = context.AfterFunc(ctx, func() { _ = c.Close() }) // wakes the reader, which reports ctx
	if err := e.write(r); err != nil {
		e.Abort()
		return nil, because(ctx, fmt.Errorf("write request: %w", err))
	}
	if err := e.read(r); err != nil {
		e.Abort()
		return nil, because(ctx, fmt.Errorf("read answer: %w", err))
	}
	return e, nil
}

// because prefers the reason for which the connection was closed.
func because(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

func (e *Exchange) write(r *Request) error {
	w := bufio.NewWriterSize(e.conn, bufferSize)
	fmt.Fprintf(w, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.URI, r.Host)
	if err := r.Header.Write(w); err != nil {
		return err
	}
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		fmt.Fprintf(w, "Content-Length: %d\r\n", len(r.Body))
	}
	if _, err := w.WriteString("\r\n"); err != nil {
		return err
	}
	if len(r.Body) <= inlineBody {
		if _, err := w.Write(r.Body); err != nil {
			return err
		}
		return w.Flush()
	}
	if err := w.Flush(); err != nil {
		return err
	}
	written := make(chan error, 1)
	e.written = written
	conn, body := e.conn.Conn, r.Body
	go func() {
		_, err := conn.Write(body)
		written <- err
	}()
	return nil
}

func (e *Exchange) read(r *Request) error {
	for range maxForeign {
		resp, err := e.conn.readHead(r.Method)
		if err != nil {
			return err
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 {
			continue
		}
		id := r.Want
		if r.ID != nil {
			id = r.ID(resp.Header)
		}
		switch {
		case id == r.Want || id == "" && !e.conn.used:
			e.Response = resp
			return nil
		case id == "":
			return errUntold
		}
		switch n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxDropped+1)); {
		case err != nil:
			return err
		case n > maxDropped:
			return errors.New("answer of another request without an end")
		}
	}
	return errors.New("answers of other requests only")
}

// errUntold says that an answer does not tell whose it is, on a connection on which an earlier one may still come.
var errUntold = errors.New("answer without an id on a connection that has carried another request")

// readHead reads the head of an answer. One that has no end is an error.
func (c *Conn) readHead(method string) (*http.Response, error) {
	c.source.left = tcp.MaxHead
	defer func() { c.source.left = unbounded }()
	return http.ReadResponse(c.reader, &http.Request{Method: method})
}

// source reads from a connection, while a head is read no more than may be left of it.
type source struct {
	net.Conn
	left int // bytes
}

const unbounded = -1

var errEndlessHead = errors.New("head of an answer without an end")

// Read implements io.Reader.
func (s *source) Read(p []byte) (int, error) {
	if s.left == unbounded {
		return s.Conn.Read(p)
	}
	if s.left == 0 {
		return 0, errEndlessHead
	}
	n, err := s.Conn.Read(p[:min(len(p), s.left)])
	s.left -= n
	return n, err
}

// Read reads the body of the answer.
func (e *Exchange) Read(p []byte) (int, error) {
	n, err := e.Response.Body.Read(p)
	if err != nil && err != io.EOF {
		err = because(e.ctx, err)
	}
	return n, err
}

// Finish ends the exchange after the body was read to its end, and keeps the connection if it can be used again.
func (e *Exchange) Finish() {
	if e.done {
		return
	}
	if e.Response.Close || !e.bodyWritten() || !e.stop() {
		e.Abort()
		return
	}
	e.done = true
	e.conn.used = true
	if limit, ok := keepAlive(e.Response.Header); ok {
		e.conn.idleLimit = limit
	}
	e.conn.idleSince = time.Now()
	e.conn.release()
}

// bodyWritten reports whether the request's body has been sent whole. A target that answered early reads on, and would
// take the next request for the rest of the body.
func (e *Exchange) bodyWritten() bool {
	if e.written == nil {
		return true
	}
	select {
	case err := <-e.written:
		return err == nil
	default:
		return false
	}
}

// Abort closes the connection, by which the target learns that the request is cancelled.
func (e *Exchange) Abort() {
	if e.done {
		return
	}
	e.done = true
	e.stop()
	e.conn.discard()
}

// keepAlive returns for how long the target lets the connection be idle, less a margin.
func keepAlive(h http.Header) (time.Duration, bool) {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			return time.Duration(idleMargin * float64(seconds) * float64(time.Second)), true
		}
	}
	return 0, false
}

// Drain drops the rest of the body and ends the exchange. The connection is kept only if the body ends soon.
func (e *Exchange) Drain() {
	err := e.conn.SetReadDeadline(time.Now().Add(drainTime))
	if err == nil {
		var n int64
		if n, err = io.Copy(io.Discard, io.LimitReader(e, maxDropped+1)); n > maxDropped {
			err = errors.New("body without an end")
		}
	}
	if err == nil {
		err = e.conn.SetReadDeadline(time.Time{})
	}
	if err != nil {
		e.Abort()
		return
	}
	e.Finish()
}
