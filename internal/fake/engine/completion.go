package engine

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/egrethoist/egrethoist/internal/engine"
	"github.com/egrethoist/egrethoist/internal/engine/wire"
	"github.com/egrethoist/egrethoist/internal/prompt"
	"github.com/egrethoist/egrethoist/internal/token"
)

// defaultMaxTokens is the length of an answer whose request names none.
const defaultMaxTokens = 16

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var req wire.CompletionRequest
	text, err := readCall(r.Body, &req)
	if err != nil {
		refuse(w, http.StatusBadRequest, "body", err.Error())
		return
	}
	if req.MaxTokens <= 0 {
		req.MaxTokens = defaultMaxTokens
	}
	if !e.reserve(r) {
		refuse(w, http.StatusServiceUnavailable, "overloaded", "cold engine is overloaded")
		return
	}
	run, status, cause := e.admit(r, &req, text)
	if run == nil {
		e.release()
		refuse(w, status, "refused", cause)
		return
	}
	s := &sender{e: e, run: run, req: &req, w: w, r: r, chat: r.URL.Path == wire.PathChatCompletions}
	s.seed = textSeed(text, run.exec.Version)
	s.serve()
}

// readCall reads a body and returns the text of its prompt.
func readCall(r io.Reader, req *wire.CompletionRequest) (string, error) {
	data, err := io.ReadAll(r)
	if err != nil {
		return "", err
	}
	if err := json.Unmarshal(data, req); err != nil {
		return "", err
	}
	call, err := prompt.Parse(data)
	if err != nil {
		return "", err
	}
	return call.Text, nil
}

// reserve counts a request as in flight, unless the cold engine does not bear it. A cancelled request may still
// be on its way out, so the count is looked at again after the grace.
func (e *Engine) reserve(r *http.Request) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.over() {
		e.mu.Unlock()
		time.Sleep(e.opts.CancelGrace)
		e.mu.Lock()
	}
	if e.over() {
		e.overload(r)
		return false
	}
	e.inFlight++
	e.counts.PeakLoad = max(e.counts.PeakLoad, e.inFlight)
	return true
}

// over reports whether one more request exceeds what the engine bears.
func (e *Engine) over() bool { return e.bears() >= 0 && e.inFlight >= e.bears() }

func (e *Engine) overload(r *http.Request) {
	now := time.Now()
	e.overloads = append(e.overloads, Overload{
		RequestID: r.Header.Get(engine.HeaderRequestID),
		At:        now,
		SinceCold: now.Sub(e.coldSince),
		InFlight:  e.inFlight + 1,
		Bears:     e.bears(),
	})
	if e.opts.Cold.Crash {
		e.crashLocked()
		panic(http.ErrAbortHandler)
	}
}

// admit makes a run of a request, or returns the status and cause of its refusal.
func (e *Engine) admit(r *http.Request, req *wire.CompletionRequest, text string) (*run, int, string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		e.inFlight--
		panic(http.ErrAbortHandler)
	}
	if e.faults.FailStatus != 0 {
		return nil, e.faults.FailStatus, "fault"
	}
	version := req.WeightVersion
	if version == "" && len(e.versions) > 0 {
		version = e.versions[len(e.versions)-1]
	}
	if !slices.Contains(e.versions, version) {
		return nil, http.StatusConflict, "weight version is not loaded"
	}
	x := &Execution{
		RequestID:    r.Header.Get(engine.HeaderRequestID),
		Attempt:      r.Header.Get(engine.HeaderAttempt),
		Salt:         req.CacheSalt,
		Version:      version,
		Priority:     req.Priority,
		ResumeFrom:   req.ResumeFrom,
		PromptTokens: token.Estimate(text),
		Start:        time.Now(),
		Outcome:      OutcomeRunning,
		Incarnation:  e.incarnationName(),
	}
	e.log = append(e.log, x)
	ru := &run{
		exec:     x,
		chain:    e.opts.BlockIDs(version, req.CacheSalt, []byte(text)),
		produced: req.ResumeFrom,
		max:      max(req.MaxTokens, req.ResumeFrom),
		wake:     make(chan struct{}, 1),
	}
	e.enqueue(ru)
	return ru, 0, ""
}

// release gives back the reservation of a request that was not run.
func (e *Engine) release() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inFlight--
}

// sender writes the answer of one run.
type sender struct {
	e    *Engine
	run  *run
	req  *wire.CompletionRequest
	w    http.ResponseWriter
	r    *http.Request
	seed uint64
	chat bool
	sent int
}

// progress is a snapshot of a run.
type progress struct {
	produced int
	over     bool
	outcome  Outcome
	hang     bool
	thaw     chan struct{}
}

func (s *sender) progress() progress {
	s.e.mu.Lock()
	defer s.e.mu.Unlock()
	return progress{
		produced: s.run.produced,
		over:     s.run.over,
		outcome:  s.run.exec.Outcome,
		hang:     s.e.faults.HangFirstByte,
		thaw:     s.e.thaw,
	}
}

func (s *sender) serve() {
	s.sent = s.req.ResumeFrom
	for {
		select {
		case <-s.run.wake:
		case <-s.r.Context().Done():
			s.e.cancel(s.run, OutcomeCancelled)
			return
		}
		p := s.progress()
		s.hold(p)
		if p.over && p.outcome != OutcomeCompleted {
			panic(http.ErrAbortHandler)
		}
		if s.req.Stream {
			s.stream(p.produced)
		}
		if p.over {
			s.end()
			return
		}
	}
}

// hold waits while the engine is frozen, or for good if it hangs before the first byte.
func (s *sender) hold(p progress) {
	if p.hang {
		<-s.r.Context().Done()
		s.e.cancel(s.run, OutcomeCancelled)
		panic(http.ErrAbortHandler)
	}
	select {
	case <-p.thaw:
	case <-s.r.Context().Done():
		s.e.cancel(s.run, OutcomeCancelled)
		panic(http.ErrAbortHandler)
	}
}

// stream sends the tokens up to but without to as one event, unless a fault cuts it.
func (s *sender) stream(to int) {
	if s.cutBefore(to) {
		s.e.cancel(s.run, OutcomeCut)
		panic(http.ErrAbortHandler)
	}
	if to <= s.sent {
		return
	}
	s.event(s.completion(s.sent, to, nil))
	s.sent = to
}

// cutBefore takes one cut from the faults if the next event would reach the token at which streams are cut. The
// tokens before it are still sent.
func (s *sender) cutBefore(to int) bool {
	s.e.mu.Lock()
	f := &s.e.faults
	at := f.CutAtToken
	cut := f.CutStreams > 0 && to > at && s.sent <= at
	if cut {
		f.CutStreams--
	}
	s.e.mu.Unlock()
	if cut && at > s.sent {
		s.event(s.completion(s.sent, at, nil))
	}
	return cut
}

func (s *sender) completion(from, to int, finish *string) *wire.Completion {
	text := textBetween(s.seed, from, to)
	choice := wire.Choice{FinishReason: finish}
	switch {
	case s.chat && s.req.Stream:
		choice.Delta = s.message(text)
	case s.chat:
		choice.Message = s.message(text)
	default:
		choice.Text = text
	}
	if len(s.req.Logprobs) > 0 {
		choice.Logprobs = wire.Encode(tokenLogprobs{Content: []tokenLogprob{{Token: text}}})
	}
	return &wire.Completion{
		ID:          s.run.exec.RequestID,
		Object:      s.object(),
		Model:       s.run.exec.Version,
		Choices:     []wire.Choice{choice},
		TokenOffset: uint64(from),
		TokenCount:  uint32(to - from),
	}
}

// message answers with a call of a tool if the request offers any; the text is then its arguments.
func (s *sender) message(text string) *wire.Message {
	m := &wire.Message{Role: "assistant", Content: text}
	if len(s.req.Tools) > 0 {
		m.Content = ""
		m.ToolCalls = wire.Encode([]ToolCall{{ID: "call-1", Type: "function", Function: ToolFunction{Name: "book", Arguments: text}}})
	}
	return m
}

// ToolCall is how the fake calls a tool, whole or in part.
type ToolCall struct {
	Index    int          `json:"index"`
	ID       string       `json:"id"`
	Type     string       `json:"type"`
	Function ToolFunction `json:"function"`
}

// ToolFunction names a tool with its arguments.
type ToolFunction struct {
	Name      string `json:"name"`
	Arguments string `json:"arguments"`
}

type tokenLogprobs struct {
	Content []tokenLogprob `json:"content"`
}

type tokenLogprob struct {
	Token   string  `json:"token"`
	Logprob float64 `json:"logprob"`
}

func (s *sender) object() string {
	switch {
	case !s.chat:
		return "text_completion"
	case s.req.Stream:
		return "chat.completion.chunk"
	default:
		return "chat.completion"
	}
}

// event writes one server-sent event and flushes it.
func (s *sender) event(c *wire.Completion) { s.data(wire.Encode(c)) }

func (s *sender) data(b []byte) {
	s.w.Header().Set("Content-Type", "text/event-stream")
	_, _ = s.w.Write(append(append([]byte("data: "), b...), "\n\n"...))
	_ = http.NewResponseController(s.w).Flush()
}

// end writes the last event with the usage, or the whole answer if it is not streamed.
func (s *sender) end() {
	reason := "length"
	if len(s.req.Tools) > 0 {
		reason = "tool_calls"
	}
	from := s.req.ResumeFrom
	if s.req.Stream {
		from = s.sent
	}
	c := s.completion(from, s.run.max, &reason)
	x := s.run.exec // no longer changes
	c.Usage = &wire.Usage{
		PromptTokens:     x.PromptTokens,
		CompletionTokens: x.OutputTokens,
		TotalTokens:      x.PromptTokens + x.OutputTokens,
		CachedTokens:     x.CachedTokens,
	}
	if !s.req.Stream {
		reply(s.w, c)
		return
	}
	s.event(c)
	s.data([]byte(wire.StreamDone))
}
