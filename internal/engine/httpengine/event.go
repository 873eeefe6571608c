package httpengine

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/egrethoist/egrethoist/internal/engine/wire"
)

// streamEvent is an event of a model stream. What it names is known to hold no more than text; any other member makes
// the event rich, and so do more choices than one.
type streamEvent struct {
	ID                json.RawMessage `json:"id"`
	Object            json.RawMessage `json:"object"`
	Created           json.RawMessage `json:"created"`
	Model             json.RawMessage `json:"model"`
	SystemFingerprint json.RawMessage `json:"system_fingerprint"`
	ServiceTier       json.RawMessage `json:"service_tier"`
	Choices           []streamChoice  `json:"choices"`
	Usage             *streamUsage    `json:"usage"`
	TokenOffset       uint64          `json:"token_offset"`
	TokenCount        uint32          `json:"token_count"`
	Error             json.RawMessage `json:"error"` // set instead of choices if the engine gives up the run

	rich bool
}

type streamChoice struct {
	Index        int             `json:"index"`
	Text         string          `json:"text"`
	Delta        *streamDelta    `json:"delta"`
	FinishReason *string         `json:"finish_reason"`
	StopReason   json.RawMessage `json:"stop_reason"`
	Logprobs     json.RawMessage `json:"logprobs"`
}

type streamDelta struct {
	Role      string          `json:"role"`
	Content   string          `json:"content"`
	Refusal   json.RawMessage `json:"refusal"`
	ToolCalls json.RawMessage `json:"tool_calls"`
}

// streamUsage takes any account of tokens; members that it does not name are for callers of other systems.
type streamUsage struct{ wire.Usage }

// UnmarshalJSON implements json.Unmarshaler.
func (u *streamUsage) UnmarshalJSON(data []byte) error { return json.Unmarshal(data, &u.Usage) }

// decodeEvent reads an event. One with unknown members is read as far as it is known.
func decodeEvent(data []byte) (*streamEvent, error) {
	e := &streamEvent{}
	strict := json.NewDecoder(bytes.NewReader(data))
	strict.DisallowUnknownFields()
	err := strict.Decode(e)
	if err == nil {
		if _, err := strict.Token(); err != io.EOF {
			return nil, errTrailing
		}
		e.rich = e.holdsMore()
		return e, nil
	}
	e = &streamEvent{rich: true}
	return e, json.Unmarshal(data, e)
}

func (e *streamEvent) holdsMore() bool {
	if len(e.Choices) > 1 {
		return true
	}
	for _, c := range e.Choices {
		d := c.Delta
		if c.Index != 0 || set(c.StopReason) || set(c.Logprobs) || d != nil && (set(d.Refusal) || set(d.ToolCalls)) {
			return true
		}
	}
	return false
}

func set(raw json.RawMessage) bool { return len(raw) > 0 && string(raw) != "null" }

// text returns the text of the first choice.
func (e *streamEvent) text() string {
	if len(e.Choices) == 0 {
		return ""
	}
	if d := e.Choices[0].Delta; d != nil {
		return d.Content
	}
	return e.Choices[0].Text
}

// finishes reports whether the event tells why a choice ended.
func (e *streamEvent) finishes() bool { return len(e.Choices) > 0 && e.Choices[0].FinishReason != nil }
