package httpclient

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/egrethoist/egrethoist/internal/fake/rawhttp"
)

// readerConn is a connection from which the bytes of a reader are read.
type readerConn struct {
	net.Conn
	io.Reader
}

func (c readerConn) Read(p []byte) (int, error) { return c.Reader.Read(p) }
func (c readerConn) Close() error               { return nil }

// readAnswer reads the first response that is not an interim one, with its body.
func readAnswer(r io.Reader) (status int, body string, err error) {
	conn := NewConn(readerConn{Reader: r})
	buffered := bufio.NewReader(conn)
	for {
		resp, err := ReadResponse(conn, buffered, http.MethodGet)
		if err != nil {
			return 0, "", err
		}
		if resp.StatusCode < 200 {
			continue
		}
		raw, err := io.ReadAll(resp.Body)
		return resp.StatusCode, string(raw), err
	}
}

// Answers that break HTTP must fail, however their bytes arrive, and no others.
func TestReadResponse(t *testing.T) {
	for arrival, wrap := range map[string]func(io.Reader) io.Reader{
		"at once":          func(r io.Reader) io.Reader { return r },
		"bytes":            iotest.OneByteReader,
		"halves":           iotest.HalfReader,
		"end with a block": iotest.DataErrReader,
	} {
		for name, raw := range rawhttp.Broken("X-Id: 1\r\n", "body") {
			status, body, err := readAnswer(wrap(strings.NewReader(raw)))
			if err == nil {
				t.Errorf("%s, %s: status %d, %q", name, arrival, status, body)
			}
			if strings.Contains(name, " with blank") && !errors.Is(err, errMalformed) {
				t.Errorf("%s, %s: %v does not say what is wrong", name, arrival, err)
			}
		}
		for name, raw := range rawhttp.Sound("X-Id: 1\r\n", "body") {
			if status, body, err := readAnswer(wrap(strings.NewReader(raw))); err != nil || status != http.StatusOK || body != "body" {
				t.Errorf("%s, %s: status %d, %q, %v", name, arrival, status, body, err)
			}
		}
	}
}

// What was read behind the end of a response in the reader's buffer must be checked, too.
func TestReadResponseChecksBufferedHead(t *testing.T) {
	const first = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	for second, ok := range map[string]bool{first: true, "HTTP/1.1 200 OK\r\nX Y: 1\r\nContent-Length: 2\r\n\r\nok": false, "HTTP/1.1 000 S\r\nContent-Length: 2\r\n\r\nok": false} {
		for _, wrap := range []func(io.Reader) io.Reader{func(r io.Reader) io.Reader { return r }, iotest.OneByteReader, iotest.HalfReader} {
			conn := NewConn(readerConn{Reader: wrap(strings.NewReader(first + second))})
			r := bufio.NewReader(conn)
			resp, err := ReadResponse(conn, r, http.MethodGet)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := io.ReadAll(resp.Body); err != nil {
				t.Fatal(err)
			}
			if _, err := ReadResponse(conn, r, http.MethodGet); (err == nil) != ok {
				t.Errorf("%q: %v", second, err)
			}
		}
	}
}
