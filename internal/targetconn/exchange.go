package targetconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/egrethoist/egrethoist/internal/bootclock"
	"github.com/egrethoist/egrethoist/internal/httpclient"
)

const (
	// maxInlineBody is the size in bytes up to which a request body is written before the response is read. A longer body is
	// written concurrently, because the target may respond before it has read all of it.
	maxInlineBody = 8 << 10
	// maxResponses bounds the responses read for one request. Interim responses and those to earlier requests are skipped but
	// counted.
	maxResponses = 4
	// maxDiscardedBody bounds, in bytes, the response body that is discarded to reuse a connection. Opening a new connection
	// costs less than reading more.
	maxDiscardedBody = 64 << 10
	// drainTimeout bounds the wait for the rest of a discarded body: several round trips within a region.
	drainTimeout = 50 * time.Millisecond
)

// Request is an HTTP request to a target. It is sent unchanged.
type Request struct {
	Method string
	URI    string // path and query as the caller sent them
	Host   string
	Header http.Header // without hop-by-hop fields and Content-Length
	Body   []byte
	// ResponseID extracts from the response header the ID of the request that the response belongs to, or "" if there is none.
	// A response is accepted if the ID equals WantID, or if it has no ID and the connection has carried no other request.
	// If ResponseID is nil, every response is accepted.
	ResponseID func(http.Header) string
	WantID     string
}

// Exchange is an in-flight request with its response.
type Exchange struct {
	Response      *http.Response
	ctx           context.Context
	conn          *Conn
	stopAfterFunc func() bool
	bodyWrite     chan error // result of the concurrent body write; nil if the body was written before the response was read
	done          bool
}

// ErrNotSent is returned by Conn.Send if the connection took no byte of the request: the target has closed it, or is gone.
var ErrNotSent = errors.New("nothing was sent")

// Send writes the request to the connection and reads the response head. If it returns an error other than ErrNotSent, the target
// may have executed the request. Canceling ctx aborts the exchange by closing the connection.
func (c *Conn) Send(ctx context.Context, r *Request) (*Exchange, error) {
	e := &Exchange{conn: c, ctx: ctx}
	e.stopAfterFunc = context.AfterFunc(ctx, func() { _ = c.Close() }) // unblocks the reader, which returns the cause of ctx
	if sent, err := e.write(r); err != nil {
		e.Abort()
		err = preferCause(ctx, fmt.Errorf("write request: %w", err))
		if !sent {
			err = fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		return nil, err
	}
	if err := e.read(r); err != nil {
		e.Abort()
		return nil, preferCause(ctx, fmt.Errorf("read response: %w", err))
	}
	return e, nil
}

// preferCause returns the cancellation cause of ctx if ctx has ended, and err otherwise. Canceling ctx closes the connection, so
// err is then only a consequence.
func preferCause(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

// write sends the request head and body. If it fails, it also returns whether the connection took any of it. A body longer than
// maxInlineBody is written by a goroutine, which reports to e.bodyWrite.
func (e *Exchange) write(r *Request) (sent bool, err error) {
	counted := &countingWriter{w: e.conn}
	if err := writeRequest(counted, r); err != nil {
		return counted.n > 0, err
	}
	if len(r.Body) > maxInlineBody {
		bodyWrite := make(chan error, 1)
		e.bodyWrite = bodyWrite
		conn, body := e.conn.Conn, r.Body
		go func() {
			_, err := conn.Write(body)
			bodyWrite <- err
		}()
	}
	return true, nil
}

// writeRequest writes the request head, and the body unless it is longer than maxInlineBody.
func writeRequest(conn io.Writer, r *Request) error {
	w := bufio.NewWriterSize(conn, bufferSize)
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
	if len(r.Body) <= maxInlineBody {
		if _, err := w.Write(r.Body); err != nil {
			return err
		}
	}
	return w.Flush()
}

// countingWriter counts the bytes that w has taken.
type countingWriter struct {
	w io.Writer
	n int
}

// Write implements io.Writer.
func (c *countingWriter) Write(p []byte) (int, error) {
	n, err := c.w.Write(p)
	c.n += n
	return n, err
}

// read reads response heads until one belongs to r, and stores that response. It skips interim responses and responses to earlier
// requests.
func (e *Exchange) read(r *Request) error {
	for range maxResponses {
		resp, err := httpclient.ReadResponse(e.conn.Conn, e.conn.reader, r.Method)
		if err != nil {
			return err
		}
		if resp.StatusCode < 200 {
			continue
		}
		id := r.WantID
		if r.ResponseID != nil {
			id = r.ResponseID(resp.Header)
		}
		switch {
		case id == r.WantID || id == "" && !e.conn.used:
			e.Response = resp
			return nil
		case id == "":
			return errMissingID
		}
		switch n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxDiscardedBody+1)); {
		case err != nil:
			return err
		case n > maxDiscardedBody:
			return errors.New("body of a response to another request is too long")
		}
	}
	return errors.New("no response to this request among those received")
}

// errMissingID is returned for a response without a request ID on a reused connection, where it may belong to an earlier request.
var errMissingID = errors.New("response without a request ID on a reused connection")

// Read reads the response body. If the context of Send has ended, the error is its cause.
func (e *Exchange) Read(p []byte) (int, error) {
	n, err := e.Response.Body.Read(p)
	if err != nil && err != io.EOF {
		err = preferCause(e.ctx, err)
	}
	return n, err
}

// Finish ends the exchange after the response body was read to EOF, and returns the connection to the pool if it can be reused.
func (e *Exchange) Finish() {
	if e.done {
		return
	}
	if e.Response.Close || !e.bodyWritten() || !e.stopAfterFunc() {
		e.Abort()
		return
	}
	e.done = true
	e.conn.used = true
	if limit, ok := keepAliveTimeout(e.Response.Header); ok {
		e.conn.idleTimeout = limit
	}
	e.conn.idleSince = bootclock.At(time.Now(), e.conn.pool.clock())
	e.conn.release()
}

// bodyWritten reports whether the request body has been sent completely. A target that responded early keeps reading the body and
// would mistake the next request for the rest of it.
func (e *Exchange) bodyWritten() bool {
	if e.bodyWrite == nil {
		return true
	}
	select {
	case err := <-e.bodyWrite:
		return err == nil
	default:
		return false
	}
}

// Abort closes the connection, which cancels the request at the target.
func (e *Exchange) Abort() {
	if e.done {
		return
	}
	e.done = true
	e.stopAfterFunc()
	e.conn.discard()
}

// keepAliveTimeout returns the idle timeout of the Keep-Alive header, reduced by a safety margin, and whether there is one.
func keepAliveTimeout(h http.Header) (time.Duration, bool) {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			return time.Duration(idleTimeoutFraction * float64(seconds) * float64(time.Second)), true
		}
	}
	return 0, false
}

// Drain discards the rest of the response body and ends the exchange. It returns an error if the body does not end within drainTimeout and
// maxDiscardedBody, or is cut. The connection is closed then, and otherwise reused.
func (e *Exchange) Drain() error {
	err := e.conn.SetReadDeadline(time.Now().Add(drainTimeout))
	if err == nil {
		var n int64
		if n, err = io.Copy(io.Discard, io.LimitReader(e, maxDiscardedBody+1)); n > maxDiscardedBody {
			err = errors.New("rest of the response body is too long")
		}
	}
	if err == nil {
		err = e.conn.SetReadDeadline(time.Time{})
	}
	if err != nil {
		e.Abort()
		return err
	}
	e.Finish()
	return nil
}
