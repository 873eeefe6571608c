// Package wire holds the JSON bodies and header names of a model server's HTTP interface: the usual completion
// calls with this system's extensions, load reports, cache events, blocks and orders.
package wire

import (
	"encoding/json"
	"mime"
	"net/http"

	"github.com/egrethoist/egrethoist/internal/engine"
)

// Paths of a model server.
const (
	PathCompletions     = "/v1/completions"
	PathChatCompletions = "/v1/chat/completions"
	PathModels          = "/v1/models"
	PathLoad            = "/load"
	PathCacheEvents     = "/cache/events"
	PathCacheBlocks     = "/cache/blocks"
	PathOrders          = "/orders"
	PathHealth          = "/health"
)

// Headers of block transfers and of answers.
const (
	HeaderBlockSum     = "X-Block-Sum" // hex digest (BLAKE3) of the content
	HeaderBlockVersion = "X-Block-Version"
	HeaderBlockSalt    = "X-Block-Salt"
	HeaderIncarnation  = "X-Engine-Incarnation"
	HeaderNotRun       = "X-Not-Run" // "true" on a refusal that was given before anything ran
)

// StreamDone is the data of the last event of a whole stream.
const StreamDone = "[DONE]"

// EventStream is the media type of a streamed answer.
const EventStream = "text/event-stream"

// StreamsTokens reports whether an answer is a stream of tokens. Any other answer is forwarded as it is. The sidecar, which
// reads the answer, and the entry, which writes it, must agree: bytes taken for text make a completion of an error.
func StreamsTokens(status int, contentType string) bool {
	mediaType, _, err := mime.ParseMediaType(contentType)
	return err == nil && mediaType == EventStream && status == http.StatusOK
}

// CompletionRequest is the body of both completion calls. Prompt or Messages is set.
type CompletionRequest struct {
	Model         string          `json:"model,omitempty"`
	Prompt        string          `json:"prompt,omitempty"`
	Messages      json.RawMessage `json:"messages,omitempty"`
	MaxTokens     int             `json:"max_tokens,omitempty"`
	Stream        bool            `json:"stream,omitempty"`
	Priority      int             `json:"priority,omitempty"`       // lower is more urgent
	CacheSalt     string          `json:"cache_salt,omitempty"`     // separates prefix caches
	ResumeFrom    int             `json:"resume_from,omitempty"`    // tokens that the caller already holds
	WeightVersion string          `json:"weight_version,omitempty"` // only this version may run it
	Tools         json.RawMessage `json:"tools,omitempty"`
	Logprobs      json.RawMessage `json:"logprobs,omitempty"`
}

// Usage is the account of a finished run.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
	CachedTokens     int `json:"cached_tokens"`
}

// Choice is one alternative of an answer. Text is used by completions, Delta and Message by chats.
type Choice struct {
	Index        int             `json:"index"`
	Text         string          `json:"text,omitempty"`
	Delta        *Message        `json:"delta,omitempty"`
	Message      *Message        `json:"message,omitempty"`
	FinishReason *string         `json:"finish_reason"`
	Logprobs     json.RawMessage `json:"logprobs,omitempty"`
}

// Message is what an assistant answers in a chat.
type Message struct {
	Role      string          `json:"role"`
	Content   string          `json:"content"`
	ToolCalls json.RawMessage `json:"tool_calls,omitempty"`
}

// Completion is a whole answer, or one event of a stream. TokenOffset and TokenCount place an event's text.
type Completion struct {
	ID          string   `json:"id"`
	Object      string   `json:"object"`
	Model       string   `json:"model"`
	Choices     []Choice `json:"choices"`
	Usage       *Usage   `json:"usage,omitempty"`
	TokenOffset uint64   `json:"token_offset"`
	TokenCount  uint32   `json:"token_count"`
}

// Text returns the text of the first choice, whichever form it takes.
func (c *Completion) Text() string {
	if len(c.Choices) == 0 {
		return ""
	}
	first := c.Choices[0]
	switch {
	case first.Delta != nil:
		return first.Delta.Content
	case first.Message != nil:
		return first.Message.Content
	default:
		return first.Text
	}
}

// Error is the body of a refusal.
type Error struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail says what was wrong.
type ErrorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
}

// Order is the body of an order.
type Order struct {
	Fence   uint64             `json:"fence"`
	Action  engine.OrderAction `json:"action"`
	Version string             `json:"version,omitempty"`
	Adapter string             `json:"adapter,omitempty"`
	Role    string             `json:"role,omitempty"`
}

// Encode returns the JSON of a value whose type always encodes.
func Encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // the types of this package have no value that fails
	}
	return b
}
