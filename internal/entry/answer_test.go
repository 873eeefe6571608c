package entry

import (
	"errors"
	"fmt"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// failLog fails the test for each line of an HTTP server, such as a second status for one response.
type failLog struct{ t *testing.T }

func (l failLog) Write(line []byte) (int, error) {
	l.t.Errorf("HTTP server: %s", line)
	return len(line), nil
}

// serveAnswer serves one handler over HTTP/1.1 and HTTP/2 and calls check with what a caller of each receives. err is the
// error of the call or of the read of the body, and means that the answer was broken off.
func serveAnswer(t *testing.T, h http.HandlerFunc, check func(status int, body string, err error)) {
	t.Helper()
	srv := httptest.NewUnstartedServer(h)
	srv.Config.ErrorLog = log.New(failLog{t}, "", 0)
	srv.Config.Protocols = new(http.Protocols)
	srv.Config.Protocols.SetHTTP1(true)
	srv.Config.Protocols.SetUnencryptedHTTP2(true)
	srv.Start()
	defer srv.Close()
	for _, http2 := range []bool{false, true} {
		transport := &http.Transport{Protocols: new(http.Protocols)}
		transport.Protocols.SetHTTP1(!http2)
		transport.Protocols.SetUnencryptedHTTP2(http2)
		client := &http.Client{Transport: transport}
		resp, err := client.Get(srv.URL)
		if err != nil {
			check(0, "", err)
			continue
		}
		data, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		check(resp.StatusCode, string(data), err)
		transport.CloseIdleConnections()
	}
}

// brokenWriter fails all writes after the first few.
type brokenWriter struct {
	http.ResponseWriter
	left int
}

var errBrokenWriter = errors.New("broken writer")

func (w *brokenWriter) Write(data []byte) (int, error) {
	if w.left--; w.left < 0 {
		return 0, errBrokenWriter
	}
	return w.ResponseWriter.Write(data)
}

func (w *brokenWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// steps calls methods of a sink. The errors are ignored on purpose: a path that forgets to look at one must do no harm.
type steps func(s sink)

var (
	jsonHeader   = http.Header{"Content-Type": {"application/json"}}
	streamHeader = http.Header{"Content-Type": {"text/event-stream"}}
	testError    = &Error{Code: CodeInterrupted, Outcome: OutcomeRan}
)

// Guards against an answer that is written in a second one, as in the incident of 2026-12-04, and against one that ends as
// complete without its end: whatever order a path calls the methods of a sink in, a caller sees either the first answer whole,
// or its beginning and a broken connection, or the beginning of a stream and the error event.
func TestSinkNeverMixesOrEndsEarly(t *testing.T) {
	const broken, whole = false, true
	head := func(s sink) { _ = s.head(200, jsonHeader); _ = s.piece([]byte("first ")) }
	stream := func(s sink) { _ = s.head(200, streamHeader); _ = s.piece([]byte("first ")) }
	other := func(s sink) { _ = s.head(500, jsonHeader); _ = s.piece([]byte("first too")) }
	end := func(s sink) { _ = s.end(finishInfo{Reason: "stop"}) }
	fail := func(s sink) { s.fail(testError) }
	for name, tc := range map[string]struct {
		kind  string
		steps []steps
		limit int // writes that work; zero is all
		whole bool
		want  string // in the body
		not   string // not in the body
	}{
		"plain, whole":                      {"plain", []steps{head, end}, 0, whole, "first ", ""},
		"plain, no end":                     {"plain", []steps{head}, 0, broken, "", ""},
		"plain, nothing":                    {"plain", nil, 0, broken, "", ""},
		"plain, end without head":           {"plain", []steps{end}, 0, broken, "", ""},
		"plain, piece without head":         {"plain", []steps{func(s sink) { _ = s.piece([]byte("x")) }}, 0, broken, "", "x"},
		"plain, fail":                       {"plain", []steps{fail}, 0, whole, "answer_interrupted", ""},
		"plain, fail after head":            {"plain", []steps{head, fail}, 0, broken, "", "answer_interrupted"},
		"plain, end after fail":             {"plain", []steps{fail, end}, 0, whole, "answer_interrupted", ""},
		"plain, fail after end":             {"plain", []steps{head, end, fail}, 0, whole, "first ", "answer_interrupted"},
		"plain, second head after end":      {"plain", []steps{head, end, other}, 0, whole, "first ", "too"},
		"plain, write error":                {"plain", []steps{head, head, end}, 1, broken, "", ""},
		"passthrough, whole":                {"stream", []steps{head, end}, 0, whole, "first ", ""},
		"passthrough, no end":               {"stream", []steps{head}, 0, broken, "", ""},
		"passthrough, fail":                 {"whole", []steps{head, fail}, 0, broken, "", "answer_interrupted"},
		"passthrough, write error":          {"whole", []steps{head, end}, -1, broken, "", ""},
		"stream, whole":                     {"stream", []steps{stream, end}, 0, whole, "[DONE]", ""},
		"stream, no end":                    {"stream", []steps{stream}, 0, broken, "", "[DONE]"},
		"stream, fail":                      {"stream", []steps{stream, fail}, 0, whole, "answer_interrupted", "[DONE]"},
		"stream, end after fail":            {"stream", []steps{stream, fail, end}, 0, whole, "answer_interrupted", "[DONE]"},
		"stream, fail after end":            {"stream", []steps{stream, end, fail}, 0, whole, "[DONE]", "answer_interrupted"},
		"stream, passthrough after end":     {"stream", []steps{stream, end, other}, 0, whole, "[DONE]", "too"},
		"stream, write error":               {"stream", []steps{stream, end}, 1, broken, "", "[DONE]"},
		"stream, write error of [DONE]":     {"stream", []steps{stream, end}, 2, broken, "", "[DONE]"},
		"stream, write error of fail":       {"stream", []steps{stream, fail}, 1, broken, "", "answer_interrupted"},
		"not streamed, whole":               {"whole", []steps{stream, end}, 0, whole, `"finish_reason":"stop"`, ""},
		"not streamed, no end":              {"whole", []steps{stream}, 0, broken, "", ""},
		"not streamed, fail":                {"whole", []steps{stream, fail}, 0, whole, "answer_interrupted", "first"},
		"not streamed, end after fail":      {"whole", []steps{stream, fail, end}, 0, whole, "answer_interrupted", "first"},
		"not streamed, fail after end":      {"whole", []steps{stream, end, fail}, 0, whole, `"finish_reason":"stop"`, "answer_interrupted"},
		"not streamed, write error":         {"whole", []steps{stream, end}, -1, broken, "", ""},
		"not streamed, write error of fail": {"whole", []steps{fail}, -1, broken, "", ""},
	} {
		t.Run(name, func(t *testing.T) {
			serveAnswer(t, func(w http.ResponseWriter, _ *http.Request) {
				if tc.limit != 0 {
					w = &brokenWriter{ResponseWriter: w, left: max(tc.limit, 0)}
				}
				answer := &callerAnswer{w: w}
				common := responder{answer: answer, requestID: "r1"}
				var s sink = &modelSink{responder: common, stream: tc.kind == "stream"}
				if tc.kind == "plain" {
					s = &plainSink{responder: common, body: newCompleteBody(nil)}
				}
				for _, step := range tc.steps {
					step(s)
				}
				answer.settle()
			}, func(status int, body string, err error) {
				if (err == nil) != tc.whole || !strings.Contains(body, tc.want) || tc.not != "" && strings.Contains(body, tc.not) {
					t.Errorf("status %d, %q, %v", status, body, err)
				}
			})
		})
	}
}

// Guards against a second status that reaches the caller or changes the headers of the first.
func TestSecondHeadIsAnError(t *testing.T) {
	for name, s := range map[string]func(responder) sink{
		"plain":        func(r responder) sink { return &plainSink{responder: r, body: newCompleteBody(nil)} },
		"streamed":     func(r responder) sink { return &modelSink{responder: r, stream: true} },
		"not streamed": func(r responder) sink { return &modelSink{responder: r} },
	} {
		for _, second := range []http.Header{jsonHeader, {}} {
			t.Run(fmt.Sprint(name, second), func(t *testing.T) {
				rec := httptest.NewRecorder()
				out := s(responder{answer: &callerAnswer{w: rec}, requestID: "r1"})
				if err := out.head(http.StatusTooManyRequests, http.Header{"Content-Type": {"text/plain"}}); err != nil {
					t.Fatal(err)
				}
				if err := out.head(http.StatusBadGateway, second); !errors.Is(err, errAnswerBegun) {
					t.Errorf("second head: %v", err)
				}
				if rec.Code != http.StatusTooManyRequests || rec.Header().Get("Content-Type") != "text/plain" {
					t.Errorf("status %d, headers %v", rec.Code, rec.Header())
				}
			})
		}
	}
}

// Guards against breaking off the replay of an answer without a body, whose only piece is empty: an HTTP/2 writer refuses
// even that after status 204.
func TestEmptyPieceAfterNoContent(t *testing.T) {
	serveAnswer(t, func(w http.ResponseWriter, _ *http.Request) {
		answer := &callerAnswer{w: w}
		s := &plainSink{responder: responder{answer: answer, requestID: "r1"}, body: newCompleteBody(nil)}
		if err := errors.Join(s.head(http.StatusNoContent, nil), s.piece(nil), s.end(finishInfo{})); err != nil {
			t.Error(err)
		}
		answer.settle()
	}, func(status int, _ string, err error) {
		if status != http.StatusNoContent || err != nil {
			t.Errorf("status %d, %v", status, err)
		}
	})
}
