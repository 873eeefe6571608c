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
	// fail writes an error, or ends a response that has started in such a way that the caller notices the failure.
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
	w         http.ResponseWriter
	requestID string
	headSent  bool
}

func (r *responder) started() bool { return r.headSent }

func (r *responder) writeError(err *Error) {
	writeError(r.w, r.requestID, err)
}

// writeError writes an error response.
func writeError(w http.ResponseWriter, requestID string, err *Error) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderOutcome, string(err.Outcome))
	h.Set(HeaderRequestID, requestID)
	if err.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int((err.RetryAfter+time.Second-1)/time.Second)))
	}
	data, _ := json.Marshal(err.body(requestID)) // cannot fail: strings and a number only
	data = append(data, '\n')
	h.Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(err.status())
	w.Write(data)
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
		s.w.Header().Set("Connection", "close")
	}
}

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

func (s *plainSink) head(status int, header http.Header) error {
	s.headSent = true
	s.closeIfBodyUnread()
	h := s.w.Header()
	connection := h.Values("Connection") // set by closeWhenStopping or closeIfBodyUnread
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
	s.w.WriteHeader(status)
	return nil
}

func (s *plainSink) piece(data []byte) error {
	_, err := s.w.Write(data)
	if err != nil {
		return err
	}
	return http.NewResponseController(s.w).Flush()
}

func (s *plainSink) event(_, data []byte) error { return s.piece(data) }

func (s *plainSink) end(finishInfo) error { return nil }

// resumable returns true because package attempt never resumes plain responses.
func (s *plainSink) resumable() bool { return true }

// fail aborts the connection if the response has started, because a regular end would make a truncated body look complete.
func (s *plainSink) fail(err *Error) {
	if s.headSent {
		panic(http.ErrAbortHandler)
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
	s.headSent = true
	h := s.w.Header()
	h.Set("Content-Type", wire.EventStream)
	h.Set("Cache-Control", "no-store")
	h.Set(HeaderRequestID, s.requestID)
	s.w.WriteHeader(status)
	return http.NewResponseController(s.w).Flush()
}

// passthroughHead starts a response that is forwarded unchanged: an error of the engine, or a complete response that
// contains more than text.
func (s *modelSink) passthroughHead(status int, mediaType string) error {
	s.passthrough, s.headSent = true, true
	h := s.w.Header()
	if mediaType == "" {
		h["Content-Type"] = nil // net/http must not guess what the engine left out
	} else {
		h.Set("Content-Type", mediaType)
	}
	h.Set(HeaderRequestID, s.requestID)
	s.w.WriteHeader(status)
	return nil
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
		_, err := s.w.Write(data)
		return err
	}
	if !s.stream {
		s.text.Write(data)
		return nil
	}
	return s.writeJSONEvent(s.completion(string(data), nil, nil))
}

func (s *modelSink) end(f finishInfo) error {
	if s.passthrough {
		return nil
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
	return s.writeEvent([]byte("[DONE]"))
}

// fail ends a stream that has started with an error event and without the end marker. A forwarded response is aborted.
func (s *modelSink) fail(err *Error) {
	if !s.headSent {
		s.writeError(err)
		return
	}
	if s.passthrough {
		panic(http.ErrAbortHandler)
	}
	s.writeJSONEvent(err.body(s.requestID))
}

// writeWhole writes a response that is not streamed.
func (s *modelSink) writeWhole(c completion) error {
	s.headSent = true
	s.w.Header().Set("Content-Type", "application/json")
	s.w.Header().Set(HeaderRequestID, s.requestID)
	return json.NewEncoder(s.w).Encode(c)
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
	if _, err := s.w.Write(buf); err != nil {
		return err
	}
	return http.NewResponseController(s.w).Flush()
}
