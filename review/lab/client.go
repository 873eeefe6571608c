package lab

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/egrethoist/egrethoist/platform/standin"
)

const (
	// connectTime is how long a client allows a new connection.
	connectTime = time.Second
	// unreadTime is how long a client waits for an instance that does not read its request, if that may be repeated.
	unreadTime = time.Second
)

// errAbandoned is returned if a client gives up.
var errAbandoned = errors.New("abandoned")

// Client sends one request at a time to an instance on a connection that it keeps. It is not safe for concurrent use.
type Client struct {
	lab  *Lab
	via  *Gateway
	conn net.Conn
	in   *bufio.Reader
}

// NewClient returns a client of an instance. The caller must call Close.
func (l *Lab) NewClient(via *Gateway) *Client { return &Client{lab: l, via: via} }

// Close closes the connection.
func (c *Client) Close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// Connect opens the connection if there is none. A new one goes to an instance only while the platform counts it as ready.
func (c *Client) Connect() error {
	if c.conn != nil {
		return nil
	}
	if !c.via.Ready() {
		return errors.New("instance is out of rotation")
	}
	conn, err := net.DialTimeout("tcp4", c.via.Front, connectTime)
	if err != nil {
		return err
	}
	c.conn, c.in = conn, bufio.NewReader(conn)
	return nil
}

// Answer is what a client has received.
type Answer struct {
	standin.Reply
	Body  string
	Close bool // the instance closes the connection
}

// Send sends a call and reads the answer. The client leaves after silence without a byte of the answer, or between two of its bytes, and at the
// deadline of the call.
func (c *Client) Send(ctx context.Context, call *standin.Call, silence time.Duration) (Answer, error) {
	if err := c.Connect(); err != nil {
		return Answer{}, fmt.Errorf("no connection: %w", err)
	}
	stop := context.AfterFunc(ctx, func() { _ = c.conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	answer, err := c.exchange(ctx, call, silence)
	if err != nil || answer.Close {
		c.Close()
	}
	return answer, err
}

func (c *Client) exchange(ctx context.Context, call *standin.Call, silence time.Duration) (Answer, error) {
	req, err := call.Request(ctx, "http://"+c.via.Front)
	if err != nil {
		return Answer{}, err
	}
	if err := req.Write(c.conn); err != nil {
		return Answer{}, fmt.Errorf("send: %w", err)
	}
	deadline := time.Now().Add(call.Patience)
	patient := &patientReader{conn: c.conn, via: c.via, deadline: deadline, silence: silence}
	c.in.Reset(patient)
	resp, err := http.ReadResponse(c.in, req)
	if err != nil {
		return Answer{}, fmt.Errorf("read head: %w", err)
	}
	body, err := io.ReadAll(resp.Body)
	answer := Answer{Reply: standin.ReadReply(resp), Body: string(body), Close: resp.Close}
	if err != nil {
		return answer, fmt.Errorf("read body: %w", err)
	}
	return answer, nil
}

// patientReader reads from a connection until a deadline, or until nothing has come for some time.
type patientReader struct {
	conn     net.Conn
	via      *Gateway
	deadline time.Time
	silence  time.Duration
	begun    bool
}

// Read implements io.Reader.
func (r *patientReader) Read(p []byte) (int, error) {
	until := time.Now().Add(r.silence)
	if until.After(r.deadline) {
		until = r.deadline
	}
	if unread := time.Now().Add(unreadTime); !r.begun && unread.Before(until) {
		_ = r.conn.SetReadDeadline(unread)
		n, err := r.conn.Read(p)
		if !timedOut(err) {
			r.begun = n > 0
			return n, err
		}
		if r.via.frozen.Load() {
			return n, errAbandoned
		}
	}
	_ = r.conn.SetReadDeadline(until) // an error means that the connection is closed
	n, err := r.conn.Read(p)
	r.begun = r.begun || n > 0
	if timedOut(err) {
		return n, errAbandoned
	}
	return n, err
}

func timedOut(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
