package gateway

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/egrethoist/egrethoist/internal/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m) }

// An answer must consist of one head, the body that belongs to it and one end, whatever the attempts at targets do, and must be broken off
// without that end.
func TestAnswerIsOneAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		recorder := httptest.NewRecorder()
		a := callerAnswer{writer: recorder}
		status, body, ended, stream := 0, "", false, false
		steps := rapid.SliceOfN(rapid.SampledFrom([]string{"whole", "body", "stream", "write", "event", "old event", "end"}), 0, 8).Draw(t, "steps")
		for i, step := range steps {
			code := 500 + i
			text := fmt.Sprintf("id: %d\ndata: x\n\n", i+1)
			var err error
			valid := false
			switch step {
			case "whole":
				valid, err = status == 0, a.sendWhole(code, http.Header{}, []byte(text))
			case "body":
				valid, err = status == 0, a.beginBody(code, http.Header{}, -1)
			case "stream":
				valid, err = status == 0, a.beginStream(code, http.Header{})
			case "write":
				valid = status != 0 && !ended && !stream
				_, err = a.Write([]byte(text))
			case "event":
				valid, err = status != 0 && !ended && stream, a.sendEvent([]byte(text))
			case "old event":
				if got, want := a.received([]byte("id: 1\n\n")), a.lastEventID >= 1; got != want {
					t.Fatalf("event 1 received: %v, want %v", got, want)
				}
				continue
			case "end":
				valid, err = status != 0 && !ended, a.end()
			}
			if (err == nil) != valid {
				t.Fatalf("step %d, %s: %v, want success: %v", i, step, err, valid)
			}
			if !valid {
				continue
			}
			switch step {
			case "whole":
				status, body, ended = code, text, true
			case "body", "stream":
				status, stream = code, step == "stream"
			case "write", "event":
				body += text
			case "end":
				ended = true
			}
		}
		if got := recorder.Body.String(); got != body || status != 0 && recorder.Code != status || a.status != status {
			t.Fatalf("the caller received status %d and %q, want %d and %q", recorder.Code, got, status, body)
		}
		if brokenOff := closeBreaksOff(&a); brokenOff == ended {
			t.Fatalf("broken off: %v, ended: %v", brokenOff, ended)
		}
	})
}

// closeBreaksOff closes the answer and reports whether that breaks it off.
func closeBreaksOff(a *callerAnswer) (brokenOff bool) {
	defer func() {
		if r := recover(); r != nil {
			brokenOff = errors.Is(r.(error), http.ErrAbortHandler)
		}
	}()
	a.close()
	return false
}

// failingWriter is a caller that has gone.
type failingWriter struct{ http.ResponseWriter }

func (failingWriter) Write([]byte) (int, error) { return 0, errors.New("connection reset") }

// A body that the caller did not take must not be ended as complete, nor continued by another target.
func TestAnswerAfterFailedWriteIsBrokenOff(t *testing.T) {
	a := callerAnswer{writer: failingWriter{httptest.NewRecorder()}}
	if err := a.sendWhole(http.StatusOK, http.Header{}, []byte("x")); !errors.Is(err, errCallerWrite) {
		t.Errorf("error %v, want errCallerWrite", err)
	}
	if err := a.end(); err == nil || a.continuable() || !closeBreaksOff(&a) {
		t.Errorf("end: %v, continuable: %v", err, a.continuable())
	}
}

// Only events of a stream of the same status and type may follow a stream that has begun, and nothing may follow another answer.
func TestWhatContinuesAnAnswer(t *testing.T) {
	const events = "text/event-stream"
	streamOf := func(text string) *callerAnswer {
		a := &callerAnswer{writer: httptest.NewRecorder()}
		err := a.beginStream(http.StatusOK, http.Header{"Content-Type": {events + "; charset=utf-8"}})
		if err == nil {
			err = a.sendEvent([]byte(text))
		}
		if err != nil {
			t.Fatal(err)
		}
		return a
	}
	body := &callerAnswer{writer: httptest.NewRecorder()}
	if err := body.beginBody(http.StatusOK, http.Header{"Content-Type": {events}}, -1); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name        string
		answer      *callerAnswer
		status      int
		contentType string
		want        bool
	}{
		{"nothing sent, error", &callerAnswer{}, 500, "", true},
		{"stream, same type", streamOf("id: 1\n\n"), 200, strings.ToUpper(events), true},
		{"stream, error", streamOf("id: 1\n\n"), 500, events, false},
		{"stream, partial content", streamOf("id: 1\n\n"), 206, events, false},
		{"stream, other type", streamOf("id: 1\n\n"), 200, "text/plain", false},
		{"stream, no type", streamOf("id: 1\n\n"), 200, "", false},
		{"stream of events without IDs", streamOf("data: x\n\n"), 200, events, false},
		{"other body", body, 200, events, false},
	} {
		resp := &http.Response{StatusCode: c.status, Header: http.Header{"Content-Type": {c.contentType}}}
		if got := c.answer.continuedBy(resp); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
}
