package httpengine

import (
	"testing"

	"github.com/egrethoist/egrethoist/internal/fake/rawhttp"
)

// A target whose answers to probes are cut must not count as up.
func TestCutAnswerToProbeFails(t *testing.T) {
	for name, c := range map[string]struct {
		raw string
		up  bool
	}{
		"whole":                   {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", true},
		"whole, an error":         {"HTTP/1.1 503 S\r\nContent-Length: 4\r\n\r\nbody", true},
		"in chunks":               {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", true},
		"without a length":        {"HTTP/1.1 200 OK\r\n\r\nbody", true},
		"no content":              {"HTTP/1.1 204 S\r\n\r\n", true},
		"shorter than its length": {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nbody", false},
		"cut between chunks":      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n", false},
		"cut inside the head":     {"HTTP/1.1 200 OK\r\nContent-Le", false},
	} {
		target := New(Options{Address: rawhttp.Serve(t, rawhttp.Always(c.raw))})
		if err := target.Probe(t.Context()); (err == nil) != c.up {
			t.Errorf("%s: %v", name, err)
		}
		target.Close()
	}
}
