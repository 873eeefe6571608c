// Package engine is the seam towards a target: what the sidecar needs of a model engine or a plain service.
package engine

import (
	"context"
	"io"
	"net/http"
	"time"
)

// Headers by which the system's data reaches an engine or a plain service.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderAttempt   = "X-Attempt"
)

// Call is one HTTP call to a target.
type Call struct {
	RequestID    string
	Attempt      uint32
	Method       string
	Path         string // with query
	Header       http.Header
	Body         []byte
	BodyStream   io.ReadCloser // instead of Body: read once, as the target takes it; an error but io.EOF is a cut
	BodyLength   int64         // of BodyStream in bytes; -1 is unknown
	Priority     int           // lower is more urgent
	CacheSalt    string        // separates the prefix caches of workspaces
	Version      string        // weight version that must run it; empty for plain services
	ResumeOffset uint64        // tokens that the caller already holds
	Stream       bool          // model: the answer must be a stream of pieces
}

// Piece is one part of an answer.
type Piece struct {
	Offset uint64 // tokens (model) or bytes (plain) before this piece
	Count  uint32 // tokens or bytes in this piece
	Data   []byte // model: generated text; plain: raw bytes
	Event  []byte // model: the whole event as JSON, if it holds more than text; nil otherwise
}

// Usage is the engine's account of one finished model run.
type Usage struct {
	PromptTokens int
	CachedTokens int // tokens taken from the prefix cache or from imported blocks
	OutputTokens int
	FinishReason string
}

// Answer is a started answer. Next returns io.EOF after the last piece of a whole answer, and any other
// error for a cut one. Close cancels what is still running.
type Answer interface {
	Status() int
	Header() http.Header
	Next() (Piece, error)
	Usage() Usage // valid after io.EOF
	Close() error
}

// LoadReport is an engine's own, lagging view of its load.
type LoadReport struct {
	Incarnation    string // changes when the engine restarts
	Running        int
	Waiting        int
	CacheBlocks    int // blocks in the prefix cache
	CacheCapacity  int
	PrefillPerSec  float64 // tokens per second
	DecodePerSec   float64 // tokens per second per stream
	Versions       []string
	Loading        bool
	Role           string
	ReportedAtUnix int64 // milliseconds
}

// EventKind tells what a cache event says.
type EventKind string

// Kinds of cache event.
const (
	EventStored  EventKind = "stored"
	EventRemoved EventKind = "removed"
	EventCleared EventKind = "cleared"
)

// CacheEvent is one change of an engine's prefix cache.
type CacheEvent struct {
	Sequence uint64
	Kind     EventKind
	Block    string // hex digest of the chained block
	Parent   string // hex digest of the block before it; empty for the first
	Tokens   int
}

// CacheEvents is a page of events. A gap shows as First greater than the asked sequence.
type CacheEvents struct {
	Incarnation string
	First       uint64 // sequence of the oldest event still held
	Next        uint64 // sequence to ask for next
	Events      []CacheEvent
}

// Order asks an engine to change what it serves.
type Order struct {
	Fence   uint64 // grows with every order; engines that check refuse a smaller one
	Action  OrderAction
	Version string
	Adapter string
	Role    string
}

// OrderAction names what an order does.
type OrderAction string

// Actions of an order.
const (
	OrderLoadVersion   OrderAction = "load_version"
	OrderUnloadVersion OrderAction = "unload_version"
	OrderLoadAdapter   OrderAction = "load_adapter"
	OrderSetRole       OrderAction = "set_role"
)

// Block is one exported KV block.
type Block struct {
	Digest  string // hex digest of the chained block, its identity
	Version string
	Salt    string
	Data    []byte
	Sum     [32]byte // digest of Data
}

// Target is one engine or plain service.
type Target interface {
	// Do starts a call. An error of type *NotSentError proves that the call did not run.
	Do(ctx context.Context, call Call) (Answer, error)
	// Probe returns nil when the target answers at all.
	Probe(ctx context.Context) error
}

// Model is a Target with the operations of a model engine.
type Model interface {
	Target
	Load(ctx context.Context) (LoadReport, error)
	CacheEvents(ctx context.Context, after uint64, wait time.Duration) (CacheEvents, error)
	// CacheBlocks lists the digests of the whole prefix cache, to repair a gap.
	CacheBlocks(ctx context.Context) (CacheEvents, error)
	Give(ctx context.Context, order Order) error
	ExportBlock(ctx context.Context, digest string) (Block, error)
	ImportBlock(ctx context.Context, block Block) error
}

// NotSentError proves that a call never reached the target: no connection could be made, or the target
// answered with an explicit refusal before running it.
type NotSentError struct {
	Peer string
	Err  error
}

func (e *NotSentError) Error() string { return "not sent to " + e.Peer + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }
