package entry

import (
	"encoding/json"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/egrethoist/egrethoist/internal/engine/wire"
)

// sink writes one response to the caller. Its methods are called in order by one goroutine.
type sink interface {
	// head starts the response. It is called once, before the first piece.
	head(status int, header http.Header) error
	// piece writes the next bytes or text of the response.
	piece(data []byte) error
	// event writes a piece that contains more than text: the engine's JSON event, and the text in it.
	event(json, text []byte) error
	// end completes the response.
	end(finish finishInfo) error
	// fail writes an error, or ends a response that has started in such a way that the caller notices the failure. If it
	// cannot, the response is left without an end and broken off by its handler.
	fail(err *Error)
	// started reports whether any part of the response has been written.
	started() bool
	// resumable reports whether another attempt can continue what has been written so far.
	resumable() bool
}

// finishInfo describes a complete response. Reason is the finish reason; the other fields are numbers of tokens.
type finishInfo struct {
	Reason       string
	PromptTokens uint32
	CachedTokens uint32
	OutputTokens uint64
}

// responder is the common part of the sinks.
type responder struct {
	answer    *callerAnswer
	requestID string
}

func (r *responder) started() bool { return r.answer.begun() }

func (r *responder) writeError(err *Error) {
	data := setErrorHeader(r.answer.header(), r.requestID, err)
	if r.answer.begin(err.status()) == nil && r.answer.write(data) == nil {
		_ = r.answer.end() // fails only for an answer that is over
	}
}

// writeError writes the error response of a handler that has written nothing.
func writeError(w http.ResponseWriter, requestID string, err *Error) {
	data := setErrorHeader(w.Header(), requestID, err)
	w.WriteHeader(err.status())
	w.Write(data)
}

// setErrorHeader sets the headers of an error response and returns its body.
func setErrorHeader(h http.Header, requestID string, err *Error) []byte {
	h.Set("Content-Type", "application/json")
	h.Set(HeaderOutcome, string(err.Outcome))
	h.Set(HeaderRequestID, requestID)
	if err.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int((err.RetryAfter+time.Second-1)/time.Second)))
	}
	data, _ := json.Marshal(err.body(requestID)) // cannot fail: strings and a number only
	data = append(data, '\n')
	h.Set("Content-Length", strconv.Itoa(len(data)))
	return data
}

// plainSink writes the response of a plain service unchanged.
type plainSink struct {
	responder
	body *body // request body
}

// closeIfBodyUnread makes the connection close after the response if the request body has not been read to its end.
// Otherwise the rest of the body would be parsed as the next request.
func (s *plainSink) closeIfBodyUnread() {
	if !s.body.sourceEOF.Load() {
		s.answer.header().Set("Connection", "close")
	}
}

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

func (s *plainSink) head(status int, header http.Header) error {
	if s.started() {
		return errAnswerBegun // before the headers change
	}
	s.closeIfBodyUnread()
	h := s.answer.header()
	connection := h.Values("Connection") // set by closeIfBodyUnread
	for name, values := range header {
		h[name] = values
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
	if len(connection) > 0 {
		h["Connection"] = connection
	}
	h.Set(HeaderRequestID, s.requestID)
	return s.answer.begin(status)
}

func (s *plainSink) piece(data []byte) error {
	if err := s.answer.write(data); err != nil {
		return err
	}
	return s.answer.flush()
}

func (s *plainSink) event(_, data []byte) error { return s.piece(data) }

func (s *plainSink) end(finishInfo) error { return s.answer.end() }

// resumable returns true because package attempt never resumes plain responses.
func (s *plainSink) resumable() bool { return true }

// fail leaves a response that has started without an end, because a regular end would make a truncated body look complete.
func (s *plainSink) fail(err *Error) {
	if s.started() {
		return
	}
	s.closeIfBodyUnread()
	s.writeError(err)
}

// completion is the JSON form of a model response or of one event of a streamed response.
type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   *completionUsage   `json:"usage,omitempty"`
}

// completionChoice has Text for text completions, Delta for streamed chat and Message for other chat.
type completionChoice struct {
	Index        int          `json:"index"`
	Text         *string      `json:"text,omitempty"`
	Delta        *chatContent `json:"delta,omitempty"`
	Message      *chatContent `json:"message,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type chatContent struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type completionUsage struct {
	PromptTokens     uint32        `json:"prompt_tokens"`
	CompletionTokens uint64        `json:"completion_tokens"`
	TotalTokens      uint64        `json:"total_tokens"`
	Details          *tokenDetails `json:"prompt_tokens_details,omitempty"`
}

type tokenDetails struct {
	CachedTokens uint32 `json:"cached_tokens"`
}

// modelSink writes the output of a model in the format of the completions APIs, as a stream or as one JSON object.
type modelSink struct {
	responder
	model           string
	chat            bool
	stream          bool
	created         int64
	text            strings.Builder            // output so far, if not streamed
	passthrough     bool                       // the engine's response is not an event stream and is forwarded unchanged
	deliveredEvents bool                       // an event with more than text has been written
	identity        map[string]json.RawMessage // members that replace the engine's in such events; nil before the first
}

// resumable returns true while only text has been delivered, which another attempt can continue at an offset.
func (s *modelSink) resumable() bool { return !s.passthrough && !s.deliveredEvents }

func (s *modelSink) head(status int, header http.Header) error {
	if mediaType := header.Get("Content-Type"); !wire.StreamsTokens(status, mediaType) {
		return s.passthroughHead(status, mediaType)
	}
	if !s.stream {
		return nil
	}
	if s.started() {
		return errAnswerBegun // before the headers change
	}
	h := s.answer.header()
	h.Set("Content-Type", wire.EventStream)
	h.Set("Cache-Control", "no-store")
	h.Set(HeaderRequestID, s.requestID)
	if err := s.answer.begin(status); err != nil {
		return err
	}
	return s.answer.flush()
}

// passthroughHead starts a response that is forwarded unchanged: an error of the engine, or a complete response that
// contains more than text.
func (s *modelSink) passthroughHead(status int, mediaType string) error {
	if s.started() {
		return errAnswerBegun // before the headers change
	}
	s.passthrough = true
	h := s.answer.header()
	if mediaType == "" {
		h["Content-Type"] = nil // net/http must not guess what the engine left out
	} else {
		h.Set("Content-Type", mediaType)
	}
	h.Set(HeaderRequestID, s.requestID)
	return s.answer.begin(status)
}

// event forwards an event of the engine with its identity members (such as id and model) replaced by those of this
// response. The choices are not parsed. If the response is not streamed, only the text is used.
func (s *modelSink) event(data, text []byte) error {
	if !s.stream {
		return s.piece(text)
	}
	members := map[string]json.RawMessage{}
	if err := json.Unmarshal(data, &members); err != nil {
		return err
	}
	s.deliveredEvents = true
	if s.identity == nil {
		identity, err := s.identityMembers()
		if err != nil {
			return err
		}
		s.identity = identity
	}
	maps.Copy(members, s.identity)
	for _, name := range []string{"token_offset", "token_count", "usage"} {
		delete(members, name)
	}
	return s.writeJSONEvent(members)
}

// identityMembers returns the JSON members that are the same in all events of this response.
func (s *modelSink) identityMembers() (map[string]json.RawMessage, error) {
	data, err := json.Marshal(s.completion("", nil, nil))
	if err != nil {
		return nil, err
	}
	identity := map[string]json.RawMessage{}
	if err := json.Unmarshal(data, &identity); err != nil {
		return nil, err
	}
	delete(identity, "choices")
	return identity, nil
}

func (s *modelSink) piece(data []byte) error {
	if s.passthrough {
		return s.answer.write(data)
	}
	if !s.stream {
		s.text.Write(data)
		return nil
	}
	return s.writeJSONEvent(s.completion(string(data), nil, nil))
}

func (s *modelSink) end(f finishInfo) error {
	if s.passthrough {
		return s.answer.end()
	}
	usage := &completionUsage{
		PromptTokens:     f.PromptTokens,
		CompletionTokens: f.OutputTokens,
		TotalTokens:      uint64(f.PromptTokens) + f.OutputTokens,
		Details:          &tokenDetails{CachedTokens: f.CachedTokens},
	}
	if !s.stream {
		return s.writeWhole(s.completion(s.text.String(), &f.Reason, usage))
	}
	last := s.completion("", &f.Reason, usage)
	if s.deliveredEvents {
		last.Choices = []completionChoice{} // the engine's events already contained the finish reason of each choice
	}
	if err := s.writeJSONEvent(last); err != nil {
		return err
	}
	if err := s.writeEvent([]byte("[DONE]")); err != nil {
		return err
	}
	return s.answer.end()
}

// fail ends a stream that has started with an error event and without the end marker. A forwarded response, and one that is
// not streamed, is left without an end.
func (s *modelSink) fail(err *Error) {
	switch {
	case !s.started():
		s.writeError(err)
	case s.stream && !s.passthrough && s.writeJSONEvent(err.body(s.requestID)) == nil:
		_ = s.answer.end() // fails only for an answer that is over
	}
}

// writeWhole writes a response that is not streamed.
func (s *modelSink) writeWhole(c completion) error {
	data, err := json.Marshal(c)
	if err != nil {
		return err
	}
	if s.started() {
		return errAnswerBegun // before the headers change
	}
	h := s.answer.header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderRequestID, s.requestID)
	if err := s.answer.begin(http.StatusOK); err != nil {
		return err
	}
	if err := s.answer.write(append(data, '\n')); err != nil {
		return err
	}
	return s.answer.end()
}

// completion returns the JSON form of an event or of a complete response. finish and usage are nil except at the end.
func (s *modelSink) completion(text string, finish *string, usage *completionUsage) completion {
	choice := completionChoice{FinishReason: finish}
	object := "text_completion"
	switch {
	case s.chat && s.stream:
		object = "chat.completion.chunk"
		choice.Delta = &chatContent{Content: text}
	case s.chat:
		object = "chat.completion"
		choice.Message = &chatContent{Role: "assistant", Content: text}
	default:
		choice.Text = &text
	}
	return completion{
		ID:      s.requestID,
		Object:  object,
		Created: s.created,
		Model:   s.model,
		Choices: []completionChoice{choice},
		Usage:   usage,
	}
}

// writeJSONEvent writes v as a server-sent event.
func (s *modelSink) writeJSONEvent(v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return s.writeEvent(data)
}

// writeEvent writes and flushes a server-sent event.
func (s *modelSink) writeEvent(data []byte) error {
	buf := make([]byte, 0, len(data)+8)
	buf = append(buf, "data: "...)
	buf = append(buf, data...)
	buf = append(buf, "\n\n"...)
	if err := s.answer.write(buf); err != nil {
		return err
	}
	return s.answer.flush()
}
