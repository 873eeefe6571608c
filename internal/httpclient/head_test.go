package httpclient

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/egrethoist/egrethoist/internal/fake/rawhttp"
)

// feed passes an answer to a new check in blocks of at most size bytes, until it fails. It returns the bytes that may be read.
func feed(raw string, size int) (passed string, left *headCheck, err error) {
	h := &headCheck{}
	h.expect()
	for rest := []byte(raw); len(rest) > 0; {
		block := rest[:min(size, len(rest))]
		rest = rest[len(block):]
		n, err := h.check(bytes.Clone(block)) // a connection reuses its buffer
		passed += string(block[:n])
		if err != nil {
			return passed, h, err
		}
	}
	return passed, h, nil
}

// The verdict must not depend on how the bytes arrive, and a parser must not get the end of a head that is refused.
func TestHeadCheck(t *testing.T) {
	for _, size := range []int{1, 2, 3, 7, 64, 1 << 20} {
		for name, raw := range rawhttp.Sound("X-Id: 1\r\n", "body") {
			if passed, h, err := feed(raw, size); err != nil || passed != raw || h.active {
				t.Errorf("%s, blocks of %d: %q, %v, active %t", name, size, passed, err, h.active)
			}
		}
		for name, raw := range rawhttp.Broken("X-Id: 1\r\n", "body") {
			passed, _, err := feed(raw, size)
			if err == nil {
				continue // left to net/http
			}
			if !errors.Is(err, errMalformed) || !strings.HasPrefix(raw, passed) || len(passed) == 0 {
				t.Errorf("%s, blocks of %d: %q, %v", name, size, passed, err)
			}
			if heads := strings.Count(passed, "\n\r\n") + strings.Count(passed, "\n\n"); heads > strings.Count(passed, "HTTP/1.1 103") {
				t.Errorf("%s, blocks of %d: a whole head in %q was passed on", name, size, passed)
			}
		}
	}
}

// Bytes of a body must not be taken for a head, whatever they look like.
func TestHeadCheckEndsWithHead(t *testing.T) {
	const raw = "HTTP/1.1 200 OK\r\n\r\nHTTP/1.1 000 S\r\n\r\nX Y: 1\r\n"
	for _, size := range []int{1, 5, 1 << 10} {
		if passed, _, err := feed(raw, size); err != nil || passed != raw {
			t.Errorf("%q, %v", passed, err)
		}
	}
}
