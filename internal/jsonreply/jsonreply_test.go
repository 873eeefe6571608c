package jsonreply

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/egrethoist/egrethoist/internal/transfer"
)

// A value that is not the complete answer must not be decoded into zero values.
func TestDecode(t *testing.T) {
	for raw, ok := range map[string]bool{
		`{"a":0,"b":[]}`: true, ` {"b":[1],"a":3,"c":null} `: true,
		``: false, ` `: false, `null`: false, `{}`: false, `[]`: false, `3`: false, `"x"`: false, `{"a":0}`: false, `{"a":0,"b":null}`: false,
		`{"A":0,"b":[]}`: false, `{"a":0,"b":[]`: false, `{"a":0,"b":[]}{"a":0,"b":[]}`: false, `{"a":0,"b":[]}x`: false, `{"a":"0","b":[]}`: false,
		`<html></html>`: false,
	} {
		var v struct {
			A int
			B []int
		}
		if err := Decode([]byte(raw), &v, "a", "b"); (err == nil) != ok {
			t.Errorf("%q: %v, want success %v", raw, err, ok)
		}
	}
}

// A body that is cut off at the limit must not be returned as the whole body.
func TestReadFailsBeyondLimit(t *testing.T) {
	for body, ok := range map[string]bool{"": true, "1234": true, "12345": false} {
		raw, err := Read(&http.Response{Body: io.NopCloser(strings.NewReader(body))}, 4)
		if ok && (err != nil || string(raw) != body) || !ok && !errors.Is(err, ErrTooLong) {
			t.Errorf("%q: %q, %v", body, raw, err)
		}
	}
}

// Guards against answers that are cut by a fixed time although they go on, and against peers that pause or send a byte now and then for good.
func TestFetchFollowsProgress(t *testing.T) {
	limits := transfer.Limits{Head: time.Second, Stall: time.Second, MinRate: 1000}
	for name, c := range map[string]struct {
		headAfter, pause time.Duration
		blocks, size     int
		limit            bool // ends by its limits
	}{
		"at once":             {0, 0, 1, 10, false},
		"longer than a limit": {0, 50 * time.Millisecond, 30, 1000, false},
		"no head":             {2 * time.Second, 0, 1, 10, true},
		"pause":               {0, 2 * time.Second, 2, 1000, true},
		"drip":                {0, 50 * time.Millisecond, 40, 1, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				time.Sleep(c.headAfter)
				w.Header().Set("Content-Length", strconv.Itoa(c.blocks*c.size))
				for range c.blocks {
					if _, err := w.Write(make([]byte, c.size)); err != nil {
						return
					}
					_ = http.NewResponseController(w).Flush()
					time.Sleep(c.pause)
				}
			}))
			defer server.Close()
			req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL, nil)
			if err != nil {
				t.Fatal(err)
			}
			_, raw, err := Fetch(server.Client(), req, limits, 1<<20)
			var limit *transfer.Error
			if errors.As(err, &limit) != c.limit || !c.limit && (err != nil || len(raw) != c.blocks*c.size) {
				t.Errorf("%d bytes, error %v; want an error by the limits: %v", len(raw), err, c.limit)
			}
		})
	}
}
