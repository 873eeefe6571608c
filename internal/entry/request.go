package entry

import (
	"net/http"
	"strings"
	"time"

	"github.com/egrethoist/egrethoist/internal/kvcache/block"
	"github.com/egrethoist/egrethoist/internal/token"
	"github.com/egrethoist/egrethoist/internal/world"
)

// Headers that callers may set.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderTimeout        = "X-Request-Timeout-Ms"
	HeaderPriority       = "X-Priority"
	HeaderOutcome        = "X-Outcome" // on errors: not_run, unknown or ran
	HeaderReplayed       = "X-Idempotent-Replay"
)

// Defaults for what callers leave out.
const (
	defaultModelTimeout = 5 * time.Minute
	defaultPlainTimeout = 30 * time.Second
	defaultMaxTokens    = 256
	quickMaxTokens      = 64 // model calls with at most this max_tokens get quick priority by default
)

// Request is a validated request of an authenticated caller.
type Request struct {
	ID             string
	Workspace      *world.Workspace
	Service        *world.Service
	Priority       world.Priority
	Deadline       time.Time
	Method         string
	Path           string // path and query at the target
	Header         http.Header
	Body           *body
	Repeatable     bool
	IdempotencyKey string
	ReadAt         time.Time // when the request was read completely, except for a streamed body

	Stream        bool       // model: respond with server-sent events
	Prompt        string     // model: canonical text of the prompt
	MaxTokens     int        // model: largest number of output tokens
	blocks        []block.ID // model: cached result of promptBlocks
	blocksVersion string     // weight version that blocks was computed for

	answer answerRecord
}

// promptTokens returns the estimated number of prompt tokens; zero for plain calls.
func (r *Request) promptTokens() int {
	return token.Estimate(r.Prompt)
}

// promptBlocks returns the IDs of the prompt's cache blocks under a weight version, nil if the service has no block
// cache. The result of the last call is cached.
func (r *Request) promptBlocks(version string) []block.ID {
	if r.Service.BlockTokens <= 0 || version == "" {
		return nil
	}
	if r.blocksVersion != version {
		seed := block.NewSeed(r.Service.Name, version, r.Workspace.CacheSalt)
		r.blocks = block.Chain(seed, []byte(r.Prompt), block.WindowBytes(r.Service.BlockTokens))
		r.blocksVersion = version
	}
	return r.blocks
}

// blockBytes encodes block IDs for the wire.
func blockBytes(ids []block.ID) [][]byte {
	out := make([][]byte, len(ids))
	for i, id := range ids {
		out[i] = id.Bytes()
	}
	return out
}

// modelPriority returns the priority of a model call from its header, or by default from its maximum output length in
// tokens.
func modelPriority(header string, maxTokens int) world.Priority {
	switch header {
	case "quick":
		return world.PriorityQuick
	case "draft":
		return world.PriorityDraft
	}
	if maxTokens <= quickMaxTokens {
		return world.PriorityQuick
	}
	return world.PriorityDraft
}

// callRule returns the first matching rule of a plain service. The default rule is quick priority and not repeatable.
func callRule(s *world.Service, method, path string) world.CallRule {
	for _, r := range s.Calls {
		if r.Method != "" && r.Method != method {
			continue
		}
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return world.CallRule{Priority: world.PriorityQuick}
}
