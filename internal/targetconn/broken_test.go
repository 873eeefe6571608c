package targetconn

import (
	"io"
	"testing"
	"time"

	"github.com/egrethoist/egrethoist/internal/fake/rawhttp"
)

// An answer that breaks HTTP must not be taken for one, and its connection must not be used again.
func TestBrokenAnswersFail(t *testing.T) {
	for name, raw := range rawhttp.Broken("X-Id: 1\r\n", "body") {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := NewPool(rawhttp.Serve(t, rawhttp.Always(raw)), 1, nil)
			status, body, err := tryExchange(t, p)
			if err == nil {
				t.Errorf("taken for an answer with status %d and body %q", status, body)
			}
			if len(p.idle) != 0 || p.open != 0 {
				t.Errorf("%d idle connections, %d open, want none", len(p.idle), p.open)
			}
		})
	}
}

// Whatever HTTP allows, also what is unusual, must be taken for an answer.
func TestSoundAnswersPass(t *testing.T) {
	for name, raw := range rawhttp.Sound("X-Id: 1\r\n", "body") {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := NewPool(rawhttp.Serve(t, rawhttp.Always(raw)), 1, nil)
			if status, body, err := tryExchange(t, p); err != nil || status != 200 || body != "body" {
				t.Errorf("status %d, body %q, %v", status, body, err)
			}
		})
	}
}

// tryExchange sends a request over p and returns the status and the body of the answer.
func tryExchange(t *testing.T, p *Pool) (int, string, error) {
	t.Helper()
	conn, err := p.Get(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	start := time.Now()
	defer func() {
		if took := time.Since(start); took > 5*time.Second {
			t.Errorf("took %v", took)
		}
	}()
	e, err := conn.Send(t.Context(), get("/"))
	if err != nil {
		return 0, "", err
	}
	body, err := io.ReadAll(e)
	if err != nil {
		e.Abort()
		return 0, "", err
	}
	e.Finish()
	return e.Response.StatusCode, string(body), nil
}
