package fleet

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	fakeengine "github.com/egrethoist/egrethoist/internal/fake/engine"
	"github.com/egrethoist/egrethoist/internal/prompt"
	"github.com/egrethoist/egrethoist/internal/world"
)

const chat = "/v1/chat/completions"

// chatBody asks for 20 tokens; more is put among the members of the request.
func chatBody(more string) string {
	return `{"model": "planner-llm", "messages": [{"role": "user", "content": "book it"}], "max_tokens": 20` + more + `}`
}

// chatAnswer is what the tests read of an answer, whole or in events.
type chatAnswer struct {
	ID      string
	Object  string
	Choices []struct {
		Delta, Message struct {
			Content   string
			ToolCalls []fakeengine.ToolCall `json:"tool_calls"`
		}
		Logprobs     json.RawMessage
		FinishReason string `json:"finish_reason"`
	}
	Usage *struct {
		CompletionTokens int `json:"completion_tokens"`
	}
	Error *struct{ Code, Outcome string }
}

// events reads a stream; done tells whether it has its end mark.
func events(t *testing.T, body string) (list []chatAnswer, done bool) {
	for line := range strings.SplitSeq(body, "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			done = true
			continue
		}
		var a chatAnswer
		if err := json.Unmarshal([]byte(data), &a); err != nil {
			t.Errorf("event %s: %v", data, err)
		}
		list = append(list, a)
	}
	return list, done
}

func (b *bed) chat(body string) (int, string) {
	status, answer, err := b.send(0, http.MethodPost, chat, body, "")
	if err != nil {
		b.t.Fatal(err)
	}
	return status, answer
}

// text is what the fake engine answers to a body.
func (b *bed) text(body string, from, to int) string {
	call, err := prompt.Parse([]byte(body))
	if err != nil {
		b.t.Fatal(err)
	}
	return fakeengine.ExpectedText(call.Text, b.World().Services["planner-llm"].WeightVersion, from, to)
}

// runs counts the runs of all engines.
func (b *bed) runs() int {
	n := 0
	for _, node := range b.Targets {
		if node.Engine != nil {
			n += len(node.Engine.Log())
		}
	}
	return n
}

func TestToolCallsPassThroughAStream(t *testing.T) {
	run(t, small(t, 3), func(b *bed) {
		ask := chatBody(`, "stream": true, "tools": [{"type": "function"}]`)
		status, body := b.chat(ask)
		list, done := events(t, body)
		if status != http.StatusOK || !done || len(list) < 2 {
			t.Fatalf("status %d, done %t: %s", status, done, body)
		}
		arguments, reasons := "", ""
		for _, e := range list {
			if e.ID == "" || e.ID != list[0].ID || e.Object != "chat.completion.chunk" {
				t.Errorf("event under another name: %+v", e)
			}
			for _, c := range e.Choices {
				reasons += c.FinishReason
				for _, call := range c.Delta.ToolCalls {
					arguments += call.Function.Arguments
				}
			}
		}
		if want := b.text(ask, 0, 20); arguments != want || reasons != "tool_calls" {
			t.Errorf("arguments %q, want %q; reasons %q; %s", arguments, want, reasons, body)
		}
		if u := list[len(list)-1].Usage; u == nil || u.CompletionTokens != 20 {
			t.Errorf("usage %+v", u)
		}
	})
}

func TestLogprobsPassThroughAStream(t *testing.T) {
	run(t, small(t, 1), func(b *bed) {
		ask := chatBody(`, "stream": true, "logprobs": true`)
		_, body := b.chat(ask)
		list, done := events(t, body)
		text, tokens := "", ""
		for _, e := range list {
			for _, c := range e.Choices {
				text += c.Delta.Content
				var l struct{ Content []struct{ Token string } }
				if len(c.Logprobs) > 0 && json.Unmarshal(c.Logprobs, &l) == nil {
					tokens += l.Content[0].Token
				}
			}
		}
		if want := b.text(ask, 0, 20); !done || text != want || tokens != want {
			t.Errorf("done %t, text %q, tokens %q, want %q", done, text, tokens, want)
		}
	})
}

func TestWholeToolCallsPassThrough(t *testing.T) {
	run(t, small(t, 1), func(b *bed) {
		ask := chatBody(`, "tools": [{"type": "function"}]`)
		status, body := b.chat(ask)
		var a chatAnswer
		if err := json.Unmarshal([]byte(body), &a); err != nil || status != http.StatusOK || len(a.Choices) != 1 {
			t.Fatalf("status %d, %v: %s", status, err, body)
		}
		calls := a.Choices[0].Message.ToolCalls
		if len(calls) != 1 || calls[0].Function.Arguments != b.text(ask, 0, 20) || a.Choices[0].FinishReason != "tool_calls" {
			t.Errorf("got %s", body)
		}
	})
}

// TestCutToolCallsAreNotResumed cuts a stream in the middle: text goes on at its offset, anything else ends with an
// error event and no end mark.
func TestCutToolCallsAreNotResumed(t *testing.T) {
	run(t, small(t, 3), func(b *bed) {
		for _, tools := range []bool{false, true} {
			for _, n := range b.Targets {
				if n.Engine != nil && (tools || n.Target.Name != "planner-02") {
					n.Engine.SetFaults(func(f *fakeengine.Faults) { f.CutAtToken, f.CutStreams = 5, 1 })
				}
			}
			more := `, "stream": true`
			if tools {
				more += `, "tools": [{"type": "function"}]`
			}
			before := b.runs()
			_, body := b.chat(chatBody(more))
			if n := b.runs() - before; tools && n != 1 {
				t.Errorf("%d runs", n)
			}
			list, done := events(t, body)
			last := list[len(list)-1]
			if done == tools {
				t.Errorf("tools %t, done %t: %s", tools, done, body)
			}
			if tools && (last.Error == nil || last.Error.Code != "answer_interrupted" || last.Error.Outcome != "ran") {
				t.Errorf("last event %+v", last)
			}
		}
	})
}

func TestRefusalOfTheEngineKeepsItsStatus(t *testing.T) {
	run(t, small(t, 1), func(b *bed) {
		for _, stream := range []string{"", `, "stream": true`} {
			status, body := b.chat(chatBody(stream + `, "resume_from": "x", "tools": 7, "logprobs": {}, "messages": "none"`))
			if status != http.StatusBadRequest || strings.Contains(body, "choices") {
				t.Errorf("stream %q: status %d: %s", stream, status, body)
			}
		}
	})
}

// The class of the incident of 2026-12-04 (a view kept over time): a key that was taken away while the body was under way.
func TestLateBodyIsJudgedByTheKeysInForce(t *testing.T) {
	for _, path := range []string{"/v1/chat/completions", bookings} {
		run(t, small(t, 1), func(b *bed) {
			body, writer := io.Pipe()
			go func() {
				_, _ = io.WriteString(writer, "{")
				time.Sleep(time.Second) // the entry waits for the rest
				next := b.Entries[0].Config.Current().Clone(func(*world.Target) {})
				next.Workspaces = map[string]*world.Workspace{}
				for name, ws := range b.Entries[0].Config.Current().Workspaces {
					without := *ws
					without.Keys = nil
					next.Workspaces[name] = &without
				}
				next.Revision.Number++
				b.setWorld(next)
				time.Sleep(time.Second)
				_, _ = io.WriteString(writer, chatBody("")[1:])
				_ = writer.Close()
			}()
			req, err := http.NewRequest(http.MethodPost, b.Entries[0].URL+path, body)
			if err != nil {
				t.Fatal(err)
			}
			req.Header.Set("Authorization", "Bearer "+b.key)
			req.ContentLength = int64(len(chatBody("")))
			resp, err := b.caller.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			if resp.StatusCode != http.StatusUnauthorized {
				t.Errorf("%s: status %d with a key that no workspace holds", path, resp.StatusCode)
			}
		})
	}
}
