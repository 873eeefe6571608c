// Package gateway is the entry on a platform whose targets have no process of ours beside them: it takes callers'
// requests, picks a target, carries the request there unchanged and passes the answer on. What a request, a target's
// answer and a metadata record look like on the wire is known to the adapter alone.
package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/egrethoist/egrethoist/internal/metastore"
	"github.com/egrethoist/egrethoist/internal/roster"
)

// Part is a piece of a prompt, shared by all requests that name it.
type Part struct {
	ID     string
	Tokens int
}

// Call is what a caller's headers say.
type Call struct {
	ID          string        // of this attempt of the caller
	Patience    time.Duration // how long the caller waits; zero if it does not say
	APIKey      string
	Model       string
	Parts       []Part // of the prompt, in order; the last one is the request's own
	PromptTotal int    // tokens
	OutputLimit int    // tokens
	LastEventID uint64 // of the stream that the caller resumes; zero from the start
}

// Send is what goes to a target besides the caller's own headers.
type Send struct {
	Target      string // the only one that may run it
	Deadline    time.Duration
	Workspace   string
	HasPriority bool
	Priority    int
	CacheScope  string   // requests of different scopes share no cached part
	Weights     int      // the only weight version that may run it; zero: any
	LastEventID uint64   // zero: as the caller sent it
	FetchFrom   []string // source of each part, empty for none; nil: no fetch
	FetchUntil  int64    // milliseconds on the target's clock; zero: no limit
	SaveTo      []string // store of each part, empty for none; nil: no save
}

// Notice is what a target may say besides in any of its answers.
type Notice struct {
	Leaving bool          // it leaves, whatever its record says
	Pause   time.Duration // it wants nothing from this instance for so long; zero: no wish
	Limit   RateLimit
}

// RateLimit is what an answer says of the rate that the target takes. The zero value: there was no answer.
type RateLimit struct {
	Kind      RateLimitKind
	PerSecond float64 // requests from all instances together, if a limit is named
}

// RateLimitKind tells what an answer says of a limit.
type RateLimitKind uint8

// Kinds of RateLimit.
const (
	RateUnknown RateLimitKind = iota // no answer, or a limit that is no number: what was known holds on
	RateOpen                         // the answer names no limit
	RateLimited
)

// Reply is what the headers of a target's answer say.
type Reply struct {
	Notice
	NotRun      bool   // the target says that it did not run the request
	Misdirected bool   // another target, or other weights, than the request asked for
	Target      string // who answered; empty if not told
	Weights     int    // zero if not told
	HasLoad     bool
	Running     int
	Waiting     int
	Slots       int
}

// Protocol translates headers.
type Protocol interface {
	ReadCall(h http.Header) (Call, error)
	// Forward returns the headers for the target.
	Forward(h http.Header, s Send) http.Header
	ReadReply(status int, h http.Header) Reply
	// ReadID returns the id of the request that an answer is for, empty if it does not tell.
	ReadID(h http.Header) string
	// Return returns the headers for the caller.
	Return(h http.Header) http.Header
}

// Records decodes the metadata of operators and targets.
type Records interface {
	Update(items map[string]metastore.Item) *roster.Snapshot
}

// StoreEvent is a change of the parts that a kept-cache store holds.
type StoreEvent struct {
	Added  bool
	Scope  string
	PartID string
	Tokens int
}

// StoreEvents is one reading of a store's changes.
type StoreEvents struct {
	Notice        // also set if the reading failed
	Born   int64  // start of who answered in Unix milliseconds; zero if not told
	Epoch  uint64 // changes when the store restarts
	Next   uint64 // where the next reading begins
	Gap    bool   // events between the last reading and this one are lost
	Events []StoreEvent
	Clock  int64 // milliseconds on its clock; zero if not told
}

// StoreParts is all that a store holds.
type StoreParts struct {
	Notice // also set if the reading failed
	Epoch  uint64
	Next   uint64
	Whole  []StoreEvent
	Broken []StoreEvent // parts that are being written or were broken off
}

// TargetReport is the state of a target as it tells itself.
type TargetReport struct {
	Notice         // also set if there is no report
	Born     int64 // start of who answered in Unix milliseconds; zero if not told
	Weights  map[string]int
	Busy     bool   // an order is being carried out
	Sequence uint64 // orders accepted
	Running  int    // requests there, waiting ones included
}

// WeightsOrder tells a target to load weights.
type WeightsOrder struct {
	Target   string
	Model    string
	Version  int
	Holder   string
	Token    uint64 // fencing token
	Expected uint64 // sequence that the target must be at
}

// OrderOutcome is a target's answer to an order.
type OrderOutcome uint8

// Outcomes of an order.
const (
	OrderAccepted OrderOutcome = iota
	OrderHolds                 // nothing to do
	OrderConflict              // another order runs, or the sequence differs
	OrderFenced                // a newer fencing token was seen
	OrderRejected              // the target does not take it
)

var outcomeNames = [...]string{"accepted", "holds already", "conflict", "fenced off", "rejected"}

// OrderResult is what came of an order.
type OrderResult struct {
	Notice
	Outcome OrderOutcome
}

// String returns the name of the outcome.
func (o OrderOutcome) String() string { return outcomeNames[o] }

// Engines are the calls to model engines and kept-cache stores besides requests.
type Engines interface {
	Report(ctx context.Context, address string) (TargetReport, error)
	LoadWeights(ctx context.Context, address string, o WeightsOrder) (OrderResult, error)
	StoreEvents(ctx context.Context, address string, since uint64, wait time.Duration) (StoreEvents, error)
	StoreParts(ctx context.Context, address string) (StoreParts, error)
	FreeParts(ctx context.Context, address string, epoch uint64, parts []StoreEvent) error
}
