package httpengine

import (
	"errors"
	"net/http"
	"testing"

	"github.com/egrethoist/egrethoist/internal/engine"
	"github.com/egrethoist/egrethoist/internal/fake/rawhttp"
)

// An answer of an engine that breaks HTTP must not be passed on as one, nor prove that the engine is up, nor that a call has not run.
func TestBrokenAnswersFail(t *testing.T) {
	const fields = "Content-Type: text/plain\r\n"
	for name, raw := range rawhttp.Broken(fields, "body") {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			target := New(Options{Address: rawhttp.Serve(t, rawhttp.Always(raw))})
			defer target.Close()
			answer, err := target.Do(t.Context(), engine.Call{RequestID: "r", Attempt: 1, Method: http.MethodPost, Path: "/", Body: []byte("{}")})
			var notSent *engine.NotSentError
			if err == nil {
				body, readErr := collect(answer)
				if readErr == nil {
					t.Errorf("taken for an answer with status %d and body %q", answer.Status(), body)
				}
			} else if errors.As(err, &notSent) {
				t.Errorf("%v says that the call was not sent", err)
			}
			if err := target.Probe(t.Context()); err == nil {
				t.Error("a probe takes it for an answer")
			}
		})
	}
}

// Whatever HTTP allows must be passed on.
func TestSoundAnswersPass(t *testing.T) {
	for name, raw := range rawhttp.Sound("Content-Type: text/plain\r\n", "body") {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			target := New(Options{Address: rawhttp.Serve(t, rawhttp.Always(raw))})
			defer target.Close()
			answer, err := target.Do(t.Context(), engine.Call{RequestID: "r", Attempt: 1, Method: http.MethodGet, Path: "/"})
			if err != nil {
				t.Fatal(err)
			}
			if body, err := collect(answer); err != nil || body != "body" || answer.Status() != http.StatusOK {
				t.Errorf("status %d, body %q, %v", answer.Status(), body, err)
			}
		})
	}
}
