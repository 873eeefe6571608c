// Package httpengine speaks to a target over HTTP/1.1: to a model server by the interface of
// internal/engine/wire, to a plain service as it is. It is the only place that may claim that a call was not
// sent, and it claims so only with proof: no connection was made, not one byte of the call was written, or the
// target refused it explicitly before running it.
package httpengine

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"time"

	"github.com/egrethoist/egrethoist/internal/engine"
	"github.com/egrethoist/egrethoist/internal/engine/wire"
	"github.com/egrethoist/egrethoist/internal/httpclient"
)

// Options of a Target.
type Options struct {
	Address string // IP:port of the target
	// Dial opens a connection; nil dials TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// DialTimeout bounds one dial; zero is one second.
	DialTimeout time.Duration
	// MaxIdle is the number of idle connections kept; zero is 32.
	MaxIdle int
	// ProbePath is asked by Probe; empty is /health.
	ProbePath string
}

const (
	defaultDialTimeout = time.Second
	defaultMaxIdle     = 32
	idleTimeout        = 30 * time.Second
	sseBuffer          = 16 << 10 // bytes read from a stream at once
	maxProbeBody       = 64 << 10 // bytes of a probe's answer that are read
	// suspectAfter is how long a call that ends without an answer must have waited to make the idle connections
	// suspect: whatever made its connection silent may have made them silent too.
	suspectAfter = 500 * time.Millisecond
)

// Target is an HTTP target of the plain kind; it implements engine.Target.
type Target struct {
	opts      Options
	transport *httpclient.Transport
}

// New returns a target. No connection is made before the first call.
func New(opts Options) *Target { return newTarget(opts, false) }

// newTarget returns a target that makes a new connection for each call if fresh is set.
func newTarget(opts Options, fresh bool) *Target {
	if opts.Dial == nil {
		opts.Dial = (&net.Dialer{}).DialContext
	}
	opts.DialTimeout = cmp.Or(opts.DialTimeout, defaultDialTimeout)
	opts.MaxIdle = cmp.Or(opts.MaxIdle, defaultMaxIdle)
	if opts.ProbePath == "" {
		opts.ProbePath = wire.PathHealth
	}
	t := &Target{opts: opts}
	t.transport = httpclient.New(&http.Transport{
		DialContext:         t.dial,
		MaxIdleConnsPerHost: opts.MaxIdle,
		IdleConnTimeout:     idleTimeout,
		DisableKeepAlives:   fresh,
		ReadBufferSize:      sseBuffer,
	})
	return t
}

// Close drops the idle connections.
func (t *Target) Close() { t.transport.CloseIdleConnections() }

func (t *Target) dial(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, t.opts.DialTimeout)
	defer cancel()
	conn, err := t.opts.Dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if err := watchSilence(conn); err != nil {
		conn.Close()
		return nil, err
	}
	return &countedConn{Conn: conn}, nil
}

// Do starts a call. The answer's pieces are bytes.
func (t *Target) Do(ctx context.Context, call engine.Call) (engine.Answer, error) {
	resp, cancel, err := t.send(ctx, call)
	if err != nil {
		return nil, err
	}
	return newRawAnswer(resp, cancel), nil
}

// Probe returns nil when the target answers at all. An answer that is cut is none.
func (t *Target) Probe(ctx context.Context) error {
	resp, cancel, err := t.send(ctx, engine.Call{Method: http.MethodGet, Path: t.opts.ProbePath})
	if err != nil {
		return err
	}
	defer cancel()
	defer resp.Body.Close()
	if _, err := io.CopyN(io.Discard, resp.Body, maxProbeBody); err != nil && err != io.EOF {
		return fmt.Errorf("probe of %s: %w", t.opts.Address, err)
	}
	return nil
}

// send writes the call and returns the head of its answer. The caller closes the body and then calls cancel.
func (t *Target) send(ctx context.Context, call engine.Call) (*http.Response, context.CancelFunc, error) {
	ctx, cancel := context.WithCancel(ctx)
	proof := &sendProof{}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: proof.gotConn})
	req, err := t.request(ctx, call)
	if err != nil {
		cancel()
		return nil, nil, &engine.NotSentError{Peer: t.opts.Address, Err: err}
	}
	start := time.Now()
	resp, err := t.transport.RoundTrip(req)
	if err == nil {
		return resp, cancel, nil
	}
	cancel()
	if time.Since(start) >= suspectAfter {
		t.transport.CloseIdleConnections()
	}
	if proof.nothingWritten() {
		return nil, nil, &engine.NotSentError{Peer: t.opts.Address, Err: err}
	}
	return nil, nil, fmt.Errorf("call %s at %s: %w", call.RequestID, t.opts.Address, err)
}

func (t *Target) request(ctx context.Context, call engine.Call) (*http.Request, error) {
	// The body's type is unknown to package http on purpose: a request whose body can be read again, or that
	// has none, may be sent twice by the transport when a connection breaks, also after it has run.
	body, length := io.NopCloser(bytes.NewReader(call.Body)), int64(len(call.Body))
	if call.BodyStream != nil {
		body, length = call.BodyStream, call.BodyLength
	}
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+t.opts.Address+call.Path, body)
	if err != nil {
		return nil, err
	}
	if call.Header != nil {
		req.Header = call.Header.Clone()
	}
	dropHopHeaders(req.Header)
	req.ContentLength = length
	if call.RequestID != "" {
		req.Header.Set(engine.HeaderRequestID, call.RequestID)
		req.Header.Set(engine.HeaderAttempt, strconv.FormatUint(uint64(call.Attempt), 10))
	}
	return req, nil
}

// dropHopHeaders removes the headers that belong to one connection or are set from the body.
func dropHopHeaders(h http.Header) {
	for _, name := range []string{
		"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
		"Content-Length", "Expect",
	} {
		h.Del(name)
	}
}
