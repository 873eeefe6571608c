package bench

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	fakeengine "github.com/egrethoist/egrethoist/internal/fake/engine"
	fakeplain "github.com/egrethoist/egrethoist/internal/fake/plain"
	"github.com/egrethoist/egrethoist/internal/httpclient"
)

// caller sends requests as a customer's application does.
type caller struct {
	client  *http.Client
	entries []string // base URLs
}

// callerPatience is how long a caller waits past the deadline that it has told.
const callerPatience = 500 * time.Millisecond

const callerConns = 2048

func newCaller(entries []string) *caller {
	return &caller{
		entries: entries,
		client: &http.Client{Transport: httpclient.New(&http.Transport{
			DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
			MaxIdleConnsPerHost: callerConns,
		})},
	}
}

func (c *caller) close() { c.client.CloseIdleConnections() }

// prompt is one model request.
type prompt struct {
	service  string
	key      string // API key
	text     string
	tokens   int // of the answer
	versions []string
	priority string
	timeout  time.Duration // zero sends none
}

type completionBody struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

type completionEvent struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Usage *struct {
		PromptTokens int `json:"prompt_tokens"`
		Details      struct {
			CachedTokens int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
	Error *errorBody `json:"error"`
}

type errorBody struct {
	Code       string  `json:"code"`
	Step       string  `json:"step"`
	Outcome    string  `json:"outcome"`
	RetryAfter float64 `json:"retry_after_seconds"`
}

// complete streams one completion through an entry and checks its text.
func (c *caller) complete(ctx context.Context, entry int, p prompt) reply {
	if p.timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, p.timeout+callerPatience)
		defer cancel()
	}
	body, err := json.Marshal(completionBody{Model: p.service, Prompt: p.text, MaxTokens: p.tokens, Stream: true})
	if err != nil {
		return reply{outcome: outcomeFailed, problem: err.Error()}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.entries[entry%len(c.entries)]+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return reply{outcome: outcomeFailed, problem: err.Error()}
	}
	req.Header.Set("Authorization", "Bearer "+p.key)
	req.Header.Set("Content-Type", "application/json")
	if p.priority != "" {
		req.Header.Set("X-Priority", p.priority)
	}
	if p.timeout > 0 {
		req.Header.Set("X-Request-Timeout-Ms", strconv.FormatInt(p.timeout.Milliseconds(), 10))
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return reply{outcome: outcomeFailed}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return refusal(resp)
	}
	return readStream(resp.Body, p)
}

func refusal(resp *http.Response) reply {
	var m struct{ Error errorBody }
	out := reply{outcome: outcomeFailed}
	if json.NewDecoder(resp.Body).Decode(&m) != nil {
		return out
	}
	if m.Error.Outcome == "not_run" {
		out.outcome = outcomeRefused
	}
	out.cause = m.Error.Code + " at " + m.Error.Step
	return out
}

func readStream(r io.Reader, p prompt) reply {
	out := reply{outcome: outcomeFailed}
	var text strings.Builder
	lines := bufio.NewReader(r)
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			return out
		}
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return checked(out, text.String(), p)
		}
		var ev completionEvent
		if json.Unmarshal([]byte(data), &ev) != nil {
			return out
		}
		if ev.Error != nil {
			out.cause = ev.Error.Code + " at " + ev.Error.Step
			return out
		}
		if len(ev.Choices) != 1 {
			return out
		}
		if out.first.IsZero() && ev.Choices[0].Text != "" {
			out.first = time.Now()
		}
		text.WriteString(ev.Choices[0].Text)
		if ev.Usage != nil {
			out.prompt, out.cached = ev.Usage.PromptTokens, ev.Usage.Details.CachedTokens
		}
	}
}

// checked compares a finished stream with what the stand-in gives under each allowed version.
func checked(out reply, text string, p prompt) reply {
	for _, v := range p.versions {
		if text == fakeengine.ExpectedText(p.text, v, 0, p.tokens) {
			out.outcome = outcomeWhole
			return out
		}
	}
	out.problem = "an answer ended as whole but is not: " + strconv.Quote(text)
	return out
}

// plainCall is one request to a plain service.
type plainCall struct {
	service string
	key     string // API key
	method  string
	path    string
	body    []byte
	idemKey string
}

// plainReply is what came back.
type plainReply struct {
	status     int
	body       []byte
	notRun     bool
	retryAfter time.Duration
	err        error
}

func (c *caller) plain(ctx context.Context, entry int, p plainCall) plainReply {
	url := c.entries[entry%len(c.entries)] + "/v1/services/" + p.service + p.path
	req, err := http.NewRequestWithContext(ctx, p.method, url, bytes.NewReader(p.body))
	if err != nil {
		return plainReply{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+p.key)
	if p.idemKey != "" {
		req.Header.Set("Idempotency-Key", p.idemKey)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return plainReply{err: err}
	}
	defer resp.Body.Close()
	out := plainReply{status: resp.StatusCode}
	out.body, out.err = io.ReadAll(resp.Body)
	if resp.StatusCode != http.StatusOK {
		var m struct{ Error errorBody }
		if json.Unmarshal(out.body, &m) == nil {
			out.notRun = m.Error.Outcome == "not_run"
			out.retryAfter = time.Duration(m.Error.RetryAfter * float64(time.Second))
		}
	}
	return out
}

// booking books under one idempotency key and repeats the call through other entries until it is answered.
type booking struct {
	caller  *caller
	service string
	key     string // API key
	id      string // booking id
	idemKey string // empty: without a key, which must not be repeated unless told that it did not run
	tries   int
}

const (
	bookingTimeout = 3 * time.Second
	bookingPause   = 100 * time.Millisecond
)

var errNoAnswer = errors.New("no answer")

// run returns the reply and whether any answer said that the booking did not run as its last word.
func (b *booking) run(ctx context.Context, entry int) (reply, bool) {
	body, err := json.Marshal(fakeplain.Booking{ID: b.id, Slot: "slot"})
	if err != nil {
		return reply{outcome: outcomeFailed, problem: err.Error()}, false
	}
	last := plainReply{err: errNoAnswer}
	for try := range b.tries {
		callCtx, cancel := context.WithTimeout(ctx, bookingTimeout)
		last = b.caller.plain(callCtx, entry+try, plainCall{
			service: b.service, key: b.key, method: http.MethodPost, path: "/bookings", body: body, idemKey: b.idemKey,
		})
		cancel()
		if last.err == nil && last.status == http.StatusOK {
			return b.confirmed(last), false
		}
		if b.idemKey == "" && !last.notRun {
			break
		}
		time.Sleep(min(max(last.retryAfter, bookingPause), time.Second))
	}
	if last.notRun {
		return reply{outcome: outcomeRefused}, true
	}
	return reply{outcome: outcomeFailed}, false
}

func (b *booking) confirmed(r plainReply) reply {
	var c fakeplain.Confirmation
	if json.Unmarshal(r.body, &c) != nil || c.ID != b.id {
		return reply{outcome: outcomeFailed, problem: "booking " + b.id + " got the answer " + strconv.Quote(string(r.body))}
	}
	return reply{outcome: outcomeWhole, first: time.Now()}
}
