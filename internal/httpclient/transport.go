package httpclient

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"

	"github.com/egrethoist/egrethoist/internal/tcp"
)

// errNoTLSDial is returned for a call with TLS through a transport without a dial function for it.
var errNoTLSDial = errors.New("transport without DialTLSContext")

// Transport is an http.RoundTripper whose connections are of type Conn, except those on which HTTP/2 was negotiated.
type Transport struct {
	base *http.Transport
}

// New returns a transport with the settings of base, which must not be used otherwise. If base has no dial function, connections are those of
// a net.Dialer; TLS needs one. Response heads are limited to tcp.MaxResponseHeaderBytes, and bodies are not decompressed.
func New(base *http.Transport) *Transport {
	base.DisableCompression, base.MaxResponseHeaderBytes = true, tcp.MaxResponseHeaderBytes
	if base.DialContext == nil {
		base.DialContext = (&net.Dialer{}).DialContext
	}
	if base.DialTLSContext == nil {
		base.DialTLSContext = func(context.Context, string, string) (net.Conn, error) { return nil, errNoTLSDial }
	}
	base.DialContext, base.DialTLSContext = checked(base.DialContext), checked(base.DialTLSContext)
	return &Transport{base: base}
}

// NewDefault returns a transport with the settings of http.DefaultTransport.
func NewDefault() *Transport { return New(http.DefaultTransport.(*http.Transport).Clone()) }

// dialFunc opens a connection.
type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// checked returns a dial function whose connections are of type Conn, except those with HTTP/2.
func checked(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if secure, ok := conn.(*tls.Conn); ok {
			if err := secure.HandshakeContext(ctx); err != nil {
				_ = conn.Close()
				return nil, err
			}
			if secure.ConnectionState().NegotiatedProtocol == "h2" {
				return conn, nil // net/http recognizes HTTP/2 by the type of the connection
			}
		}
		return NewConn(conn), nil
	}
}

// RoundTrip implements http.RoundTripper. It returns an error for an answer that breaks HTTP.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	var conn *Conn // nil with HTTP/2
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, _ = info.Conn.(*Conn); conn != nil {
			conn.beginCall(req.Method)
		}
	}}
	resp, err := t.base.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		if conn != nil {
			err = conn.explain(err)
		}
		return nil, err
	}
	resp.Request = req
	if conn == nil {
		if err := CheckHTTP2(resp); err != nil {
			return nil, err
		}
		return resp, nil
	}
	explainBody(resp, conn)
	return resp, nil
}

// CheckHTTP2 returns an error if the status of a response over HTTP/2 is invalid, and closes its body then. net/http checks all else that arrives in frames.
func CheckHTTP2(resp *http.Response) error {
	code, _, _ := strings.Cut(resp.Status, " ")
	if validStatus([]byte(code)) && resp.StatusCode >= http.StatusOK {
		return nil
	}
	_ = resp.Body.Close() // the response is not used
	return fmt.Errorf("%w: status %.20q", errMalformed, code)
}

// CloseIdleConnections closes the connections that carry no call.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }
