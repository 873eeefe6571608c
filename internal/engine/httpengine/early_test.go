package httpengine

import (
	"net/http"
	"testing"
	"time"

	"github.com/egrethoist/egrethoist/internal/engine"
	"github.com/egrethoist/egrethoist/internal/fake/rawhttp"
)

// sendEarly uploads a long body to a new target that answers before it has read it, and returns the answer.
func sendEarly(t *testing.T, a rawhttp.EarlyAnswer) (status int, body string, err error) {
	t.Helper()
	const upload = 16 << 20
	target := New(Options{Address: rawhttp.ServeEarly(t, a)})
	defer target.Close()
	answer, err := target.Do(t.Context(), engine.Call{RequestID: "r", Attempt: 1, Method: http.MethodPost, Path: "/", Body: make([]byte, upload)})
	if err != nil {
		return 0, "", err
	}
	body, err = collect(answer)
	return answer.Status(), body, err
}

// A target that answers a long upload at once, without a length, and resets the connection while the upload is written must not have its part taken for
// the whole answer. Which call learns of the reset is a race, so each try has a new target.
func TestResetDuringUploadIsNoEnd(t *testing.T) {
	const tries = 10
	for name, raw := range map[string]string{
		"part": "HTTP/1.1 200 OK\r\n\r\npart", "empty": "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.0": "HTTP/1.0 200 OK\r\n\r\npart", "HTTP/2.0": "HTTP/2.0 200 OK\r\n\r\npart",
		"shorter than its length": "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\npart", "cut between chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for try := range tries {
				status, body, err := sendEarly(t, rawhttp.EarlyAnswer{Answer: rawhttp.Always(raw), Pause: time.Duration(try%3) * 10 * time.Millisecond, End: rawhttp.EarlyReset})
				if err == nil {
					t.Errorf("try %d: status %d, %q", try, status, body)
				}
			}
		})
	}
}

// A whole answer that a target sends before it has read the call must be passed on.
func TestEarlyAnswerIsWhole(t *testing.T) {
	for name, raw := range map[string]string{
		"with a length": "HTTP/1.1 413 S\r\nContent-Length: 5\r\n\r\nwhole", "in chunks": "HTTP/1.1 413 S\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
	} {
		for range 5 {
			status, body, err := sendEarly(t, rawhttp.EarlyAnswer{Answer: rawhttp.Always(raw), Pause: 20 * time.Millisecond, End: rawhttp.EarlyReadsRest})
			if err != nil || status != http.StatusRequestEntityTooLarge || body != "whole" {
				t.Errorf("%s: status %d, %q, %v", name, status, body, err)
			}
		}
	}
}
