// Package dev runs a whole system on loopback for development: the sample manifest, stand-ins for the targets,
// and a scenario through the real HTTP path.
package dev

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"

	fakeengine "github.com/egrethoist/egrethoist/internal/fake/engine"
	fakeplain "github.com/egrethoist/egrethoist/internal/fake/plain"
	"github.com/egrethoist/egrethoist/internal/world"
)

// Report is what a scenario did and saw.
type Report struct {
	Manifest string   `json:"manifest"`
	Revision uint64   `json:"revision"`
	Entries  int      `json:"entries"`
	Targets  int      `json:"targets"`
	Steps    []Step   `json:"steps"`
	Failures []string `json:"failures"`
	OK       bool     `json:"ok"`
}

// Step is one request of a scenario.
type Step struct {
	Name         string  `json:"name"`
	Entry        string  `json:"entry"`
	Status       int     `json:"status"`
	PromptTokens int     `json:"prompt_tokens,omitempty"`
	CachedTokens int     `json:"cached_tokens,omitempty"`
	OutputTokens int     `json:"output_tokens,omitempty"`
	FirstByteMS  float64 `json:"first_byte_ms"`
	Whole        bool    `json:"whole"`
	Right        bool    `json:"right"`
	Replayed     bool    `json:"replayed,omitempty"`
	Detail       string  `json:"detail,omitempty"`
}

// scenario sends requests and checks each answer against what the stand-ins must give.
type scenario struct {
	fleet  *Fleet
	model  *world.Service
	plain  *world.Service
	report *Report
}

const (
	historyWords = 3_000
	answerTokens = 24
)

// Run sends the returning-prompt scenario: a long history, its return with a question added, a streamed answer,
// a lookup, a booking, and the same booking again through another entry.
func Run(ctx context.Context, f *Fleet, report *Report) {
	s := &scenario{fleet: f, report: report}
	for _, svc := range f.World().Services {
		switch svc.Kind {
		case world.KindModel:
			s.model = svc
		case world.KindPlain:
			s.plain = svc
		}
	}
	if s.model == nil || s.plain == nil {
		s.fail("the scenario needs a model service and a plain service")
		return
	}
	history := history()
	s.complete(ctx, "first visit", 0, history, false)
	s.complete(ctx, "return", 1%len(f.Entries), history, false)
	s.complete(ctx, "return with a question", 0, history+"Does one more load fit?", true)
	s.lookup(ctx, "lookup", 0)
	s.bookTwice(ctx)
	s.report.OK = len(s.report.Failures) == 0
}

func history() string {
	var b strings.Builder
	for i := range historyWords {
		fmt.Fprintf(&b, "haul %d; ", i)
	}
	return b.String()
}

func (s *scenario) fail(format string, args ...any) {
	s.report.Failures = append(s.report.Failures, fmt.Sprintf(format, args...))
}

func (s *scenario) add(step Step) {
	s.report.Steps = append(s.report.Steps, step)
	if !step.Whole || !step.Right {
		s.fail("%s: whole %t, right %t, status %d: %s", step.Name, step.Whole, step.Right, step.Status, step.Detail)
	}
}

type completionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

type completionAnswer struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Usage *struct {
		PromptTokens     int `json:"prompt_tokens"`
		CompletionTokens int `json:"completion_tokens"`
		Details          struct {
			CachedTokens int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

func (a *completionAnswer) into(step *Step) {
	if a.Usage == nil {
		return
	}
	step.PromptTokens = a.Usage.PromptTokens
	step.CachedTokens = a.Usage.Details.CachedTokens
	step.OutputTokens = a.Usage.CompletionTokens
}

// complete sends one completion and checks its text token by token.
func (s *scenario) complete(ctx context.Context, name string, at int, prompt string, stream bool) {
	body, _ := json.Marshal(completionRequest{Model: s.model.Name, Prompt: prompt, MaxTokens: answerTokens, Stream: stream})
	step, resp := s.send(ctx, name, at, http.MethodPost, "/v1/completions", body, "")
	if resp == nil {
		s.add(step)
		return
	}
	defer resp.Body.Close()
	var text string
	if stream {
		text = s.readStream(resp.Body, &step)
	} else {
		text = s.readWhole(resp.Body, &step)
	}
	step.Right = text == fakeengine.ExpectedText(prompt, s.model.WeightVersion, 0, answerTokens)
	s.add(step)
}

func (s *scenario) readWhole(r io.Reader, step *Step) string {
	var a completionAnswer
	if err := json.NewDecoder(r).Decode(&a); err != nil || len(a.Choices) != 1 {
		step.Detail = fmt.Sprintf("decode answer: %v", err)
		return ""
	}
	step.Whole = true
	a.into(step)
	return a.Choices[0].Text
}

func (s *scenario) readStream(r io.Reader, step *Step) string {
	var text strings.Builder
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			step.Whole = true
			continue
		}
		var a completionAnswer
		if err := json.Unmarshal([]byte(data), &a); err != nil || len(a.Choices) != 1 {
			step.Detail = "event: " + data
			return text.String()
		}
		a.into(step)
		text.WriteString(a.Choices[0].Text)
	}
	return text.String()
}

func (s *scenario) send(ctx context.Context, name string, at int, method, path string, body []byte, key string) (Step, *http.Response) {
	e := s.fleet.Entries[at]
	step := Step{Name: name, Entry: e.Name}
	req, err := http.NewRequestWithContext(ctx, method, e.URL+path, bytes.NewReader(body))
	if err != nil {
		step.Detail = err.Error()
		return step, nil
	}
	req.Header.Set("Authorization", "Bearer "+s.fleet.Key)
	req.Header.Set("Content-Type", "application/json")
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	start := time.Now()
	resp, err := s.fleet.client.Do(req)
	if err != nil {
		step.Detail = err.Error()
		return step, nil
	}
	step.FirstByteMS = float64(time.Since(start).Microseconds()) / 1000
	step.Status = resp.StatusCode
	step.Replayed = resp.Header.Get("X-Idempotent-Replay") == "true"
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		step.Detail = strings.TrimSpace(string(text))
		return step, nil
	}
	return step, resp
}

func (s *scenario) lookup(ctx context.Context, name string, at int) {
	step, resp := s.send(ctx, name, at, http.MethodGet, "/v1/services/"+s.plain.Name+"/slots/gate-7", nil, "")
	if resp != nil {
		defer resp.Body.Close()
		var slot fakeplain.Slot
		step.Whole = json.NewDecoder(resp.Body).Decode(&slot) == nil
		step.Right = slot.ID == "gate-7"
	}
	s.add(step)
}

// bookTwice books through one entry and repeats the call under the same key through another.
func (s *scenario) bookTwice(ctx context.Context) {
	key := uuid.Must(uuid.NewV7()).String()
	body, _ := json.Marshal(fakeplain.Booking{ID: "booking-" + key, Slot: "gate-7"})
	path := "/v1/services/" + s.plain.Name + "/bookings"
	for i, name := range []string{"booking", "booking repeated"} {
		step, resp := s.send(ctx, name, i%len(s.fleet.Entries), http.MethodPost, path, body, key)
		if resp != nil {
			var c fakeplain.Confirmation
			step.Whole = json.NewDecoder(resp.Body).Decode(&c) == nil
			step.Right = c.Count == 1 && step.Replayed == (i == 1)
			resp.Body.Close()
		}
		s.add(step)
	}
	if n := s.fleet.Plain(s.plain.Name).Bookings()["booking-"+key]; n != 1 {
		s.fail("booking executed %d times", n)
	}
}
