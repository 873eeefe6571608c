// Package gateway is the gateway for platforms whose targets run without a sidecar. It accepts callers' requests, chooses a target
// for each, forwards the request unchanged and returns the answer. The wire formats of requests, answers and metadata records are
// left to a platform adapter, which implements Protocol, Records and Engines.
package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/egrethoist/egrethoist/internal/metastore"
	"github.com/egrethoist/egrethoist/internal/roster"
)

// Part is a segment of a prompt. Requests whose prompts have a part with the same ID share it.
type Part struct {
	ID     string
	Tokens int
}

// Call is the information in the headers of a caller's request.
type Call struct {
	ID          string        // identifies this attempt of the caller
	Timeout     time.Duration // how long the caller waits for the answer; zero if unspecified
	APIKey      string
	Model       string
	Parts       []Part // of the prompt, in order; no other request has the last one
	PromptTotal int    // tokens of the prompt
	OutputLimit int    // maximum output tokens
	OutputHint  int    // the caller's estimate of the output tokens; zero if unspecified
	LastEventID uint64 // last event received of a stream that the caller resumes; zero for a new one
	Resumes     string // ID of the caller's attempt that received the first event of that stream; empty if unspecified
}

// ForwardParams is the information that is sent to a target in addition to the caller's headers.
type ForwardParams struct {
	Target          string        // ID of the target that must run the request; others refuse it
	Timeout         time.Duration // time left until the request's deadline
	Workspace       string
	HasPriority     bool
	Priority        int
	CacheScope      string   // requests with different scopes share no cached parts
	WeightVersion   int      // weight version that must run the request; zero: any
	LastEventID     uint64   // last event that the caller has; zero: as in the caller's headers
	FetchFrom       []string // address to fetch each part from, empty for none; nil: no fetch
	FetchDeadlineMs int64    // end of fetches in milliseconds on the target's clock; zero: none
	SaveTo          []string // address of the store to save each part to, empty for none; nil: no save
}

// Notice is the information on a target's state that any of its answers may carry.
type Notice struct {
	Leaving bool          // the target is leaving, even if its record does not say so yet
	Pause   time.Duration // time for which this instance must not send it anything; zero: no pause
	Limit   RateLimit
	// Speed is how many times as long as usual work takes at the target now: 1 is as usual. Zero if the target does not say.
	Speed float64
}

// RateLimit is the rate limit in an answer of a target. The zero value means that nothing is known, as without an answer.
type RateLimit struct {
	Kind      RateLimitKind
	PerSecond float64 // requests per second of all instances together, if Kind is RateLimited
}

// RateLimitKind says whether an answer reports a rate limit.
type RateLimitKind uint8

// Kinds of RateLimit.
const (
	RateUnknown   RateLimitKind = iota // no answer or an invalid limit: the limit known before still holds
	RateUnlimited                      // the answer reports no limit
	RateLimited
)

// Reply is the information in the headers of a target's answer.
type Reply struct {
	Notice
	NotRun        bool   // the target guarantees that it did not run the request
	ImpliesNotRun bool   // callers take the status as a guarantee that the request has not run, whether or not NotRun is set
	Misdirected   bool   // refused because the request asked for another target or another weight version
	Target        string // ID of the target that answered; empty if unknown
	WeightVersion int    // weight version of the target; zero if unknown
	HasLoad       bool   // Running, Waiting and Slots are set
	Running       int    // requests
	Waiting       int    // queued requests
	Slots         int    // requests that the target runs at once
}

// Protocol translates between the platform's headers and this package's types.
type Protocol interface {
	// ReadCall parses a caller's headers. It returns an error if they are invalid.
	ReadCall(h http.Header) (Call, error)
	// TargetHeaders returns the headers to send to the target, given the caller's.
	TargetHeaders(h http.Header, s ForwardParams) http.Header
	ReadReply(status int, h http.Header) Reply
	// ReadRequestID returns the ID of the request that an answer belongs to, empty if its headers have none.
	ReadRequestID(h http.Header) string
	// CallerHeaders returns the headers to send to the caller, given the target's.
	CallerHeaders(h http.Header) http.Header
}

// Records decodes the metadata that operators and targets write.
type Records interface {
	// Update decodes all present items of the metadata store.
	Update(items map[string]metastore.Item) *roster.Snapshot
}

// StoreEvent is a change of the parts that a KV-cache store or a target holds.
type StoreEvent struct {
	Added  bool
	Scope  string
	PartID string
	Tokens int
}

// StoreEvents is the result of one read of the changes of a store or target.
type StoreEvents struct {
	Notice        // also set if the read failed
	Born   int64  // start of the process that answered in Unix milliseconds; zero if unknown
	Epoch  uint64 // changes when the store restarts
	Next   uint64 // position from which to read next
	Gap    bool   // events since the last read are lost
	Events []StoreEvent
	Clock  int64 // milliseconds on the store's clock; zero if unknown
}

// StoreParts is the complete listing of the parts that a store holds.
type StoreParts struct {
	Notice     // also set if the read failed
	Epoch      uint64
	Next       uint64 // position from which to read the changes after the listing
	Complete   []StoreEvent
	Incomplete []StoreEvent // parts whose write is in progress or was aborted
}

// TargetReport is the state that a target reports on request.
type TargetReport struct {
	Notice                        // also set if the report failed
	Born           int64          // start of the process that answered in Unix milliseconds; zero if unknown
	WeightVersions map[string]int // by model
	OrderRunning   bool           // the target is executing an order
	Sequence       uint64         // number of orders accepted
	Running        int            // requests at the target, including queued ones
	Clock          int64          // Unix milliseconds on the target's clock; zero if unknown
}

// LoadOrder orders a target to load a weight version.
type LoadOrder struct {
	Target           string
	Model            string
	Version          int
	Holder           string // name of the instance that holds the rollout lock
	Token            uint64 // fencing token
	ExpectedSequence uint64 // TargetReport.Sequence that the target must have, otherwise it refuses
}

// OrderOutcome is the outcome of an order.
type OrderOutcome uint8

// Outcomes of an order.
const (
	OrderAccepted      OrderOutcome = iota
	OrderAlreadyLoaded              // the target runs that version already
	OrderConflict                   // another order is running, or the sequence differs
	OrderFenced                     // the target has seen a newer fencing token
	OrderRejected                   // the target refused the order for another reason, or the call failed
)

var orderOutcomeNames = [...]string{"accepted", "holds already", "conflict", "fenced off", "rejected"}

// OrderResult is the answer to an order.
type OrderResult struct {
	Notice
	Outcome OrderOutcome
}

// String returns the name of the outcome.
func (o OrderOutcome) String() string { return orderOutcomeNames[o] }

// Engines are the control calls to model engines and KV-cache stores. All return an error if the call fails.
type Engines interface {
	Report(ctx context.Context, address string) (TargetReport, error)
	LoadWeights(ctx context.Context, address string, o LoadOrder) (OrderResult, error)
	// StoreEvents reads the changes of a store or target since a position, by a long poll of at most wait. It returns ErrBusy if
	// there are too many readers already.
	StoreEvents(ctx context.Context, address string, since uint64, wait time.Duration) (StoreEvents, error)
	StoreParts(ctx context.Context, address string) (StoreParts, error)
	// FreeParts removes parts from a store that is still in the epoch.
	FreeParts(ctx context.Context, address string, epoch uint64, parts []StoreEvent) error
}
