package httpclient

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"slices"

	"golang.org/x/net/http/httpguts"
)

// ReadResponse reads the next head from conn, through r, and returns the response to a request with the given method. Its body must be read to the end before
// the next head. After an interim response, the next one answers the same request.
func ReadResponse(conn *Conn, r *bufio.Reader, method string) (*http.Response, error) {
	if !conn.expectsHead() {
		buffered, err := r.Peek(r.Buffered())
		if err != nil {
			return nil, err
		}
		if err := conn.Expect(buffered); err != nil {
			return nil, err
		}
	}
	resp, err := http.ReadResponse(r, &http.Request{Method: method})
	if err != nil {
		return nil, conn.explain(err)
	}
	checkTrailer(resp, conn)
	return resp, nil
}

// checkTrailer makes the body of a response fail at its end if its trailer breaks HTTP/1. The connection is closed then.
func checkTrailer(resp *http.Response, conn *Conn) {
	if slices.Contains(resp.TransferEncoding, "chunked") {
		resp.Body = &trailedBody{ReadCloser: resp.Body, resp: resp, conn: conn}
	}
}

// trailedBody is a body in chunks, which a trailer may follow.
type trailedBody struct {
	io.ReadCloser
	resp *http.Response
	conn *Conn
}

// Read implements io.Reader.
func (b *trailedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != io.EOF {
		return n, err
	}
	for name := range b.resp.Trailer { // which net/http has filled in by now
		if !httpguts.ValidHeaderFieldName(name) {
			_ = b.conn.Close()
			return n, fmt.Errorf("%w: trailer field name %.100q", errMalformed, name)
		}
	}
	return n, err
}
