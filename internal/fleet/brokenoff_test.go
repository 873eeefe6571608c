package fleet

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/egrethoist/egrethoist/internal/engine"
	"github.com/egrethoist/egrethoist/internal/world"
)

// script answers the call of one attempt instead of a target's stand-in. It returns false to leave the call to it.
type script func(attempt string, w http.ResponseWriter, r *http.Request) bool

// scripted lets the bed's script answer calls that belong to an attempt.
func (b *bed) scripted(_ *world.Target, standIn http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		attempt := r.Header.Get(engine.HeaderAttempt)
		if s := b.script.Load(); s != nil && attempt != "" && (*s)(attempt, w, r) {
			return
		}
		standIn.ServeHTTP(w, r)
	})
}

// marker is in the body of every scripted answer that continues nothing.
const marker = "other-answer"

// scriptedAnswer is an answer that is not the continuation of a stream.
type scriptedAnswer struct {
	status      int
	contentType string // empty: none
	body        string
}

func (a scriptedAnswer) String() string {
	return fmt.Sprintf("%d %q %d bytes", a.status, a.contentType, len(a.body))
}

// write writes the answer; with cut it breaks off in the middle of the body.
func (a scriptedAnswer) write(w http.ResponseWriter, cut bool) {
	w.Header()["Content-Type"] = nil // net/http must not guess it
	if a.contentType != "" {
		w.Header().Set("Content-Type", a.contentType)
	}
	w.WriteHeader(a.status)
	if cut {
		_, _ = io.WriteString(w, a.body[:len(a.body)/2])
		abort(w)
	}
	_, _ = io.WriteString(w, a.body)
}

// abort cuts the connection after what has been written has left.
func abort(w http.ResponseWriter) {
	_ = http.NewResponseController(w).Flush()
	time.Sleep(10 * time.Millisecond)
	panic(http.ErrAbortHandler)
}

const largeBody = 300 << 10

// otherAnswers returns answers of each status and size, and event streams that end without their last event.
func otherAnswers() []scriptedAnswer {
	var list []scriptedAnswer
	for _, status := range []int{500, 502, 504, 503, 429, 400, 404, 413, 204, 206, 302, 200} {
		if status == http.StatusNoContent {
			list = append(list, scriptedAnswer{status, "", ""}, scriptedAnswer{status, "text/event-stream", ""})
			continue
		}
		for _, kind := range []string{"text/plain", "application/json", ""} {
			small := marker
			if kind == "application/json" {
				small = `{"error": {"message": "` + marker + `"}}`
			}
			large := small + strings.Repeat(" ", largeBody)
			list = append(list, scriptedAnswer{status, kind, small}, scriptedAnswer{status, kind, ""})
			if kind != "" {
				list = append(list, scriptedAnswer{status, kind, large})
			}
		}
		if status != http.StatusOK {
			list = append(list, scriptedAnswer{status, "text/event-stream", "data: {\"choices\": [], \"object\": \"" + marker + "\"}\n\ndata: [DONE]\n\n"})
		}
	}
	const eventless = ": " + marker + "\n\n"
	for _, kind := range []string{"text/event-stream", "text/event-stream; charset=utf-8"} {
		for _, body := range []string{"", eventless, "data: [DONE]\n\n", eventless + "data: [DONE]\n\n",
			"data: {\"choices\": [{\"index\": 0, \"text\": \"" + marker + "\", \"finish_reason\": \"length\"}], \"token_offset\": 0, \"token_count\": 20}\n\ndata: [DONE]\n\n",
			"data: {\"error\": {\"message\": \"" + marker + "\"}}\n\ndata: [DONE]\n\n",
		} {
			list = append(list, scriptedAnswer{http.StatusOK, kind, body})
		}
	}
	return list
}

// modelCall is a model call of a caller.
type modelCall struct {
	chat, stream bool
}

func (c modelCall) path() string {
	if c.chat {
		return "/v1/chat/completions"
	}
	return "/v1/completions"
}

func (c modelCall) body(more string) string {
	prompt := `"prompt": "book it"`
	if c.chat {
		prompt = `"messages": [{"role": "user", "content": "book it"}]`
	}
	return fmt.Sprintf(`{"model": "planner-llm", %s, "max_tokens": %d, "stream": %t%s}`, prompt, callTokens, c.stream, more)
}

const callTokens = 20

// pause is the time between two calls, after which the retry budget bears two more attempts.
const pause = 3 * time.Second

// cutStream writes two events of a sound stream and half of the third, and cuts the connection.
func (b *bed) cutStream(c modelCall, body string, w http.ResponseWriter) {
	w.Header().Set("Content-Type", "text/event-stream")
	for i := range 3 {
		member, _ := json.Marshal(b.text(body, 2*i, 2*i+2))
		text := `"text": ` + string(member)
		if c.chat {
			text = `"delta": {"content": ` + string(member) + `}`
		}
		event := fmt.Sprintf("data: {\"choices\": [{\"index\": 0, %s}], \"token_offset\": %d, \"token_count\": 2}\n\n", text, 2*i)
		if i == 2 {
			event = event[:len(event)/2]
		}
		_, _ = io.WriteString(w, event)
	}
	abort(w)
}

// callerAnswer is what a caller has received. err is the error of the read of the body: the answer was broken off.
type callerAnswer struct {
	status      int
	contentType string
	body        string
	err         error
}

func (b *bed) call(client *http.Client, method, path, body string) callerAnswer {
	req, err := http.NewRequest(method, b.Entries[0].URL+path, bytes.NewReader([]byte(body)))
	if err != nil {
		b.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+b.key)
	resp, err := client.Do(req)
	if err != nil {
		return callerAnswer{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return callerAnswer{resp.StatusCode, resp.Header.Get("Content-Type"), string(data), err}
}

// completion returns the text and the finish reason of a completion or of a stream that looks whole to a caller.
func (a callerAnswer) completion() (text, reason string, whole bool) {
	type choice struct {
		Text           string
		Delta, Message struct{ Content string }
		FinishReason   *string `json:"finish_reason"`
	}
	type part struct{ Choices []choice }
	add := func(data string) (isPart bool) {
		var p part
		if json.Unmarshal([]byte(data), &p) != nil {
			return false
		}
		for _, c := range p.Choices {
			text += c.Text + c.Delta.Content + c.Message.Content
			if c.FinishReason != nil {
				reason += *c.FinishReason
			}
		}
		return len(p.Choices) > 0
	}
	if a.err != nil {
		return "", "", false
	}
	if !strings.HasPrefix(a.contentType, "text/event-stream") {
		whole = add(a.body)
		return text, reason, whole
	}
	for line := range strings.SplitSeq(a.body, "\n") {
		if data, ok := strings.CutPrefix(line, "data: "); ok && data == "[DONE]" {
			whole = true
		} else if ok {
			add(data)
		}
	}
	return text, reason, whole
}

// checkCompletion fails if the answer looks whole and isn't the one that the engine gives.
func (a callerAnswer) checkCompletion(want string) error {
	if text, reason, whole := a.completion(); whole && (text != want || reason != "length" || a.status != http.StatusOK) {
		return fmt.Errorf("looks whole: text %q, want %q; finish reason %q", text, want, reason)
	}
	return nil
}

// clients returns callers over HTTP/1.1 and HTTP/2, in turn from one call to the next. Texts and chats begin
// with different ones, so that both meet every answer.
func (b *bed) clients(c modelCall) (next func() (protocol string, client *http.Client), closeIdle func()) {
	h2 := &http.Transport{DialContext: b.net.Dialer("caller"), Protocols: new(http.Protocols)}
	h2.Protocols.SetUnencryptedHTTP2(true)
	calls := 0
	if c.chat {
		calls = 1
	}
	return func() (string, *http.Client) {
		if calls++; calls%2 == 0 {
			return "HTTP/2", &http.Client{Transport: h2}
		}
		return "HTTP/1.1", b.caller
	}, h2.CloseIdleConnections
}

// Guards against an answer of a later attempt that is written into the begun one, as in the incident of 2026-12-04, and
// against the broken answer being ended as whole: the first target cuts a stream in its third event, the next ones give an
// answer that continues nothing, all of them or only the second.
func TestResumedStreamMeetsAnotherAnswer(t *testing.T) {
	for _, c := range []modelCall{{false, false}, {false, true}, {true, false}, {true, true}} {
		for _, all := range []bool{false, true} {
			if c.chat && all {
				continue // chats differ from texts in the members of events only
			}
			t.Run(fmt.Sprintf("chat %t stream %t all %t", c.chat, c.stream, all), func(t *testing.T) {
				run(t, small(t, 4), func(b *bed) {
					nextClient, closeClients := b.clients(c)
					defer closeClients()
					body := c.body("")
					want := b.text(body, 0, callTokens)
					for _, other := range otherAnswers() {
						protocol, client := nextClient()
						var others atomic.Int32
						s := script(func(attempt string, w http.ResponseWriter, _ *http.Request) bool {
							if attempt == "1" {
								b.cutStream(c, body, w)
							}
							if attempt != "2" && !all {
								return false
							}
							others.Add(1)
							other.write(w, false)
							return true
						})
						b.script.Store(&s)
						got := b.call(client, http.MethodPost, c.path(), body)
						err := got.checkCompletion(want)
						if strings.Contains(got.body, marker) {
							err = errors.Join(err, errors.New("holds a part of the other answer"))
						}
						_, _, whole := got.completion()
						if all && got.status == http.StatusOK && whole {
							err = errors.Join(err, errors.New("is whole though no target ended it"))
						}
						if !all && !whole {
							err = errors.Join(err, errors.New("was not resumed at the third target"))
						}
						if others.Load() == 0 {
							err = errors.Join(err, errors.New("the other answer was not asked for"))
						}
						if err != nil {
							t.Errorf("%s, %v: %v: status %d, %.300q, %v", protocol, other, err, got.status, got.body, got.err)
						}
						time.Sleep(pause)
					}
				})
			})
		}
	}
}

// Guards against an answer of the engine that is no completion and reaches the caller as one, or in another form than the
// engine gave it.
func TestFirstAnswerIsNoCompletion(t *testing.T) {
	for _, c := range []modelCall{{false, false}, {false, true}, {true, false}, {true, true}} {
		t.Run(fmt.Sprintf("chat %t stream %t", c.chat, c.stream), func(t *testing.T) {
			run(t, small(t, 4), func(b *bed) {
				nextClient, closeClients := b.clients(c)
				defer closeClients()
				body := c.body("")
				for _, other := range otherAnswers() {
					if other.status == http.StatusOK && strings.Contains(other.body, "finish_reason") {
						continue // a whole completion if nothing goes before it
					}
					protocol, client := nextClient()
					for _, cut := range []bool{false, true} {
						if cut && other.body == "" {
							continue
						}
						s := script(func(_ string, w http.ResponseWriter, _ *http.Request) bool {
							other.write(w, cut)
							return true
						})
						b.script.Store(&s)
						got := b.call(client, http.MethodPost, c.path(), body)
						same := got.err == nil && got.status == other.status && got.body == other.body
						var err error
						switch {
						case same && cut:
							err = errors.New("whole though it was cut")
						case same, cut && got.err != nil:
						case got.status >= http.StatusBadRequest && strings.Contains(got.body, `"request_id"`):
							// the entry's own error
						case strings.Contains(got.body, `"code":"answer_interrupted"`) && !strings.Contains(got.body, "[DONE]"):
							// the entry's own error at the end of a stream
						default:
							err = errors.New("neither the engine's answer nor an error")
						}
						if err != nil {
							t.Errorf("%s, %v, cut %t: %v: status %d, %q, %.300q, %v", protocol, other, cut, err, got.status, got.contentType, got.body, got.err)
						}
						time.Sleep(pause)
					}
				}
			})
		})
	}
}

// Guards against a plain answer that is cut and reaches the caller as whole, or goes on with the answer of another target: a
// repeatable call is repeated only while the caller has nothing.
func TestCutPlainAnswerIsNotContinued(t *testing.T) {
	run(t, uploadWorld(t), func(b *bed) {
		nextClient, closeClients := b.clients(modelCall{})
		defer closeClients()
		first := strings.Repeat("first ", largeBody/6)
		for _, method := range []string{http.MethodPut, http.MethodPost} { // repeatable, and not
			for _, size := range []int{1, 64, largeBody / 2} {
				for _, declared := range []bool{false, true} {
					for range 2 {
						protocol, client := nextClient()
						s := script(func(attempt string, w http.ResponseWriter, _ *http.Request) bool {
							if attempt != "1" {
								scriptedAnswer{http.StatusOK, "text/plain", marker}.write(w, false)
								return true
							}
							if declared {
								w.Header().Set("Content-Length", fmt.Sprint(len(first)))
							}
							_, _ = io.WriteString(w, first[:size])
							abort(w)
							return true
						})
						b.script.Store(&s)
						got := b.call(client, method, echoPath, "x")
						if got.err == nil || strings.Contains(got.body, marker) {
							t.Errorf("%s %s, %d bytes, declared %t: status %d, %.100q, %v", protocol, method, size, declared, got.status, got.body, got.err)
						}
						time.Sleep(pause)
					}
				}
			}
		}
	})
}
