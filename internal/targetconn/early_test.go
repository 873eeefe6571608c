package targetconn

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/egrethoist/egrethoist/internal/fake/rawhttp"
)

const (
	longUpload = 16 << 20 // bytes; more than the buffers of both ends take, so that the target answers while it is written
	// earlyTries is how often each case is tried, each time with a new target: which call learns of a reset is a race.
	earlyTries = 10
)

// A reset is reported to one call only. If that is the write of the upload, the read sees an end like an orderly one: a part of an answer
// without length and chunks must not be taken for the whole one then.
func TestResetDuringUploadIsNoEnd(t *testing.T) {
	large := strings.Repeat("x", 3<<20)
	for name, c := range map[string]struct {
		answer string
		reads  int64
		pause  time.Duration
	}{
		"at once":                  {answer: "HTTP/1.1 200 OK\r\n\r\npart"},
		"after 10 ms":              {answer: "HTTP/1.1 200 OK\r\n\r\npart", pause: 10 * time.Millisecond},
		"after 30 ms":              {answer: "HTTP/1.1 200 OK\r\n\r\npart", pause: 30 * time.Millisecond},
		"half of the upload read":  {answer: "HTTP/1.1 200 OK\r\n\r\npart", reads: longUpload / 2, pause: 10 * time.Millisecond},
		"no byte of a body":        {answer: "HTTP/1.1 200 OK\r\n\r\n", pause: 10 * time.Millisecond},
		"HTTP/1.0":                 {answer: "HTTP/1.0 200 OK\r\n\r\npart", pause: 10 * time.Millisecond},
		"large part":               {answer: "HTTP/1.1 200 OK\r\n\r\n" + large, pause: 10 * time.Millisecond},
		"connection to be closed":  {answer: "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart", pause: 10 * time.Millisecond},
		"error, after another one": {answer: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 500 S\r\n\r\npart", pause: 10 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			whole := 0
			for range earlyTries {
				body, err := sendEarly(t, rawhttp.EarlyAnswer{Answer: rawhttp.Always(c.answer), Reads: c.reads, Pause: c.pause, End: rawhttp.EarlyReset})
				if err == nil {
					whole++
					t.Logf("%d bytes read as a whole answer", len(body))
				}
			}
			if whole > 0 {
				t.Errorf("%d of %d answers that a reset has cut are taken for whole", whole, earlyTries)
			}
		})
	}
}

// A whole answer must pass although the target has not read the request, or never will: with a length or chunks in any case, without them if
// the target has closed its sending direction in order.
func TestEarlyAnswerIsWhole(t *testing.T) {
	large := strings.Repeat("x", 3<<20)
	for name, c := range map[string]struct {
		answer, body string
		end          rawhttp.EarlyEnd
		pause        time.Duration
	}{
		"with a length, rest read":      {answer: okResponse, body: "ok", end: rawhttp.EarlyReadsRest},
		"with a length, then reset":     {answer: okResponse, body: "ok", end: rawhttp.EarlyReset, pause: 30 * time.Millisecond},
		"in chunks, then reset":         {answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", body: "ok", end: rawhttp.EarlyReset, pause: 30 * time.Millisecond},
		"without a length, rest read":   {answer: "HTTP/1.1 413 S\r\n\r\nno", body: "no", end: rawhttp.EarlyReadsRest},
		"without a length, at once":     {answer: "HTTP/1.1 413 S\r\n\r\nno", body: "no", end: rawhttp.EarlyLeavesRest},
		"without a length, rest unread": {answer: "HTTP/1.1 413 S\r\n\r\nno", body: "no", end: rawhttp.EarlyLeavesRest, pause: 10 * time.Millisecond},
		"HTTP/1.0, rest unread":         {answer: "HTTP/1.0 413 S\r\n\r\nno", body: "no", end: rawhttp.EarlyLeavesRest, pause: 10 * time.Millisecond},
		"large, without a length":       {answer: "HTTP/1.1 200 OK\r\n\r\n" + large, body: large, end: rawhttp.EarlyReadsRest},
		"large, rest unread":            {answer: "HTTP/1.1 200 OK\r\n\r\n" + large, body: large, end: rawhttp.EarlyLeavesRest, pause: 100 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for range earlyTries {
				start := time.Now()
				body, err := sendEarly(t, rawhttp.EarlyAnswer{Answer: rawhttp.Always(c.answer), Pause: c.pause, End: c.end})
				if err != nil || body != c.body {
					t.Errorf("%d bytes, %v; want a whole answer of %d", len(body), err, len(c.body))
				}
				if took := time.Since(start); took > 10*time.Second {
					t.Errorf("answer after %v", took)
				}
			}
		})
	}
}

// An answer without a length must pass too if the connection ends in order after the upload was read, and the connection must end with it.
func TestAnswerToWholeUploadWithoutLength(t *testing.T) {
	for _, size := range []int{1, 1 << 10, maxInlineBody + 1, longUpload} {
		address := rawhttp.Serve(t, rawhttp.Always("HTTP/1.1 200 OK\r\n\r\nwhole"))
		body, err := upload(t, address, size)
		if err != nil || body != "whole" {
			t.Errorf("upload of %d bytes: %q, %v", size, body, err)
		}
	}
}

// sendEarly uploads longUpload bytes to a new target that answers early and returns the body of the answer.
func sendEarly(t *testing.T, a rawhttp.EarlyAnswer) (string, error) {
	t.Helper()
	return upload(t, rawhttp.ServeEarly(t, a), longUpload)
}

// upload sends a request of size bytes to a target over a new pool and returns the body of the answer.
func upload(t *testing.T, address string, size int) (string, error) {
	t.Helper()
	p := NewPool(address, 1, nil)
	conn, err := p.Get(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	e, err := conn.Send(t.Context(), &Request{Method: http.MethodPost, URI: "/", Host: "h", Header: http.Header{}, Body: make([]byte, size)})
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(e)
	if err != nil {
		e.Abort()
	} else {
		e.Finish()
	}
	if len(p.idle) != 0 && !strings.Contains(fmt.Sprint(e.Response.Header), "Content-Length") {
		t.Error("connection of an answer without a length is kept")
	}
	return string(body), err
}
