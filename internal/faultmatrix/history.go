package faultmatrix

import (
	"time"

	fakeengine "github.com/egrethoist/egrethoist/internal/fake/engine"
	"github.com/egrethoist/egrethoist/internal/fake/plain"
)

// Call is one thing that a caller wants. It may take several tries.
type Call struct {
	Name      string
	Kind      Kind
	Workspace string
	Prompt    string // model streams
	Tokens    int
	Key       string // non-repeatable calls with a key
	Booking   string // non-repeatable calls
	Tries     []Try
}

// Whole reports whether the caller got a whole answer in the end.
func (c *Call) Whole() bool {
	return len(c.Tries) > 0 && c.Tries[len(c.Tries)-1].Whole
}

// Try is one HTTP request of a caller and what came back.
type Try struct {
	RequestID string
	Entry     int
	Sent      time.Time
	First     time.Time // first piece of the body; zero if none came
	Done      time.Time
	Status    int    // zero if no answer came
	Outcome   string // what the system says of a request without a whole answer
	Whole     bool   // the answer claims to be whole and ended properly
	Replayed  bool
	Text      string // model text, or the body
	Err       string // of the connection
	Silenced  bool   // a fault made the caller's own connection silent
}

// Drain is a failure domain that was taken out, as told to every process that an order was meant for.
type Drain struct {
	Domain string
	At     time.Time
	Until  time.Time // zero while it is out
}

// Version is a weight version put in force.
type Version struct {
	Name string
	At   time.Time
}

// TargetLog is what one fake target wrote down.
type TargetLog struct {
	Name      string
	Domain    string
	Engine    []fakeengine.Execution
	Plain     []plain.Execution
	Overloads []fakeengine.Overload
	Counts    fakeengine.Counts
	ColdSince []time.Time // unannounced cold starts
}

// History is all that a case left behind.
type History struct {
	Calls    []*Call
	Targets  []TargetLog
	Bookings map[string]int // executions by booking ID
	Drains   []Drain
	Versions []Version
	Salts    map[string]string // cache salt by workspace
	Planned  bool              // nothing but planned stops and orders happened
	End      time.Time
}
