package prompt

import (
	"encoding/json"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/egrethoist/egrethoist/internal/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m) }

// renderText returns the rendered prompt of a body.
func renderText(t testing.TB, body string) string {
	t.Helper()
	c, err := Parse([]byte(body))
	if err != nil {
		t.Fatalf("%s: %v", body, err)
	}
	return c.Text
}

// Guards against two bodies that mean different prompts sharing a text and thus cached blocks.
func TestDistinctPromptsRenderDifferently(t *testing.T) {
	seen := map[string]string{}
	for _, body := range []string{
		`{"prompt": "a"}`,
		`{"prompt": "\u0000a"}`,
		`{"prompt": "\u0000\n{}\n{\"role\":\"user\"}\"a\n"}`,
		`{"prompt": "a", "tools": [1]}`,
		`{"prompt": [97]}`,
		`{"prompt": ["a"]}`,
		`{"messages": [{"role": "user", "content": "a"}]}`,
		`{"messages": [{"role": "system", "content": "a"}]}`,
		`{"messages": [{"role": "user", "content": "a", "name": "b"}]}`,
		`{"messages": [{"role": "user", "content": ["a"]}]}`,
		`{"messages": [{"role": "user", "content": "[\"a\"]"}]}`,
		`{"messages": [{"role": "user"}]}`,
		`{"messages": [{"role": "user", "content": "a"}], "tools": [{"type": "function"}]}`,
		`{"messages": [{"role": "user", "content": "a"}], "tools": [{"type": "other"}]}`,
		`{"messages": [{"role": "user", "content": "a"}], "response_format": {"type": "json_object"}}`,
		`{"messages": [{"role": "user", "content": "a"}, {"role": "user", "content": "b"}]}`,
		`{"messages": [{"role": "user", "content": "a\n{\"role\":\"user\"}\"b"}]}`,
		`{"messages": [{"role": "user", "content": "a\\n{\"role\":\"user\"}\"b"}]}`,
	} {
		got := renderText(t, body)
		if other, ok := seen[got]; ok {
			t.Errorf("%s and %s render to the same text %q", body, other, got)
		}
		seen[got] = body
	}
}

// Guards against cache misses for bodies that differ only in JSON form or in members that do not affect the prompt.
func TestEquivalentBodiesRenderEqually(t *testing.T) {
	base := renderText(t, `{"messages": [{"role": "user", "content": "a<b"}], "tools": [{"b": 1.50, "a": "x"}]}`)
	for _, body := range []string{
		`{"tools": [{"a": "\u0078", "b": 1.50}], "messages": [{"content": "a\u003cb", "role": "user"}]}`,
		`{"messages": [{"role": "user", "content": "a<b", "name": null}], "tools": [{"b": 1.50, "a": "x"}], "seed": 7}`,
		`{"messages": [{"role": "user", "content": "a<b"}], "tools": [{"b": 1.50, "a": "x"}], "stream": true, "cache_salt": "s"}`,
	} {
		if got := renderText(t, body); got != base {
			t.Errorf("%s renders to %q, want %q", body, got, base)
		}
	}
}

// Guards against a continued conversation or a longer message losing the prefix that it shares with the shorter one.
func TestExtendedPromptsKeepThePrefix(t *testing.T) {
	type message struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}
	type call struct {
		Messages []message       `json:"messages"`
		Tools    json.RawMessage `json:"tools,omitempty"`
	}
	render := func(t testing.TB, c call) string {
		body, err := json.Marshal(c)
		if err != nil {
			t.Fatal(err)
		}
		return renderText(t, string(body))
	}
	rapid.Check(t, func(rt *rapid.T) {
		c := call{Tools: json.RawMessage(rapid.SampledFrom([]string{"", `[{"a":1}]`}).Draw(rt, "tools"))}
		for range rapid.IntRange(1, 4).Draw(rt, "turns") {
			c.Messages = append(c.Messages, message{rapid.SampledFrom([]string{"user", "system"}).Draw(rt, "role"), rapid.String().Draw(rt, "content")})
		}
		short := render(t, c)
		longer := call{Messages: append([]message(nil), c.Messages...), Tools: c.Tools}
		last := &longer.Messages[len(longer.Messages)-1]
		last.Content += rapid.String().Draw(rt, "more")
		if got := render(t, longer); !strings.HasPrefix(got, strings.TrimSuffix(short, "\n")) {
			rt.Fatalf("%q is not an extension of %q", got, short)
		}
		c.Messages = append(c.Messages, message{"user", rapid.String().Draw(rt, "next")})
		if got := render(t, c); !strings.HasPrefix(got, short) {
			rt.Fatalf("%q is not an extension of %q", got, short)
		}
	})
}

func TestParse(t *testing.T) {
	for body, want := range map[string]Call{
		`{"model": "m", "prompt": "x", "max_tokens": 5, "stream": true}`: {Model: "m", MaxTokens: 5, Stream: true, Text: "x"},
		`{"model": "m", "prompt": "x", "max_completion_tokens": 6}`:      {Model: "m", MaxTokens: 6, Text: "x"},
		`{"model": "m"}`:                               {Model: "m", Empty: true, Text: "\x00\n{}\n"},
		`{"model": "m", "prompt": null}`:               {Model: "m", Empty: true, Text: "\x00\n{}\n"},
		`{"model": "m", "messages": [], "prompt": ""}`: {Model: "m"},
	} {
		got, err := Parse([]byte(body))
		if err != nil || *got != want {
			t.Errorf("%s: %+v, %v; want %+v", body, got, err, want)
		}
	}
	for _, body := range []string{`{"messages": [1]}`, `{"prompt": `, `[]`, `{"max_tokens": "x"}`, `{"prompt": "a", "prompt": "b"}`} {
		if _, err := Parse([]byte(body)); err == nil {
			t.Errorf("%s: no error", body)
		}
	}
}

func BenchmarkParse(b *testing.B) {
	content := strings.Repeat("haul 17; ", 20_000)
	body, err := json.Marshal(map[string]any{"model": "m", "messages": []map[string]string{{"role": "user", "content": content}}})
	if err != nil {
		b.Fatal(err)
	}
	b.SetBytes(int64(len(body)))
	for b.Loop() {
		if _, err := Parse(body); err != nil {
			b.Fatal(err)
		}
	}
}
