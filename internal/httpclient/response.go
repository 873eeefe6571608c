package httpclient

import (
	"bufio"
	"net/http"
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
	return http.ReadResponse(r, &http.Request{Method: method})
}
