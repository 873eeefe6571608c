package httpclient

import (
	"bufio"
	"io"
	"net/http"
)

// ReadResponse reads the next head from conn, through r, and returns the response to a request with the given method. Its body must be read to the end before
// the next head. After an interim response, the next one answers the same request.
func ReadResponse(conn *Conn, r *bufio.Reader, method string) (*http.Response, error) {
	if !conn.expects() {
		conn.Expect(method)
	}
	resp, err := http.ReadResponse(r, &http.Request{Method: method})
	if err != nil {
		return nil, conn.explain(err)
	}
	explainBody(resp, conn)
	return resp, nil
}

// explainBody makes the errors of a response's body say what is wrong with the answer.
func explainBody(resp *http.Response, conn *Conn) {
	if resp.Body != http.NoBody {
		resp.Body = explainedBody{resp.Body, conn}
	}
}

// explainedBody is the body of a response on a Conn.
type explainedBody struct {
	io.ReadCloser
	conn *Conn
}

// Read implements io.Reader.
func (b explainedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && err != io.EOF {
		err = b.conn.explain(err)
	}
	return n, err
}
