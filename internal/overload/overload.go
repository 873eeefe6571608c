// Package overload decides in the gateway which requests may wait at a model engine and which are refused at once: those that would not
// be answered before their caller leaves, and those for which the engine has no room. An engine that is given more than it can
// hold preempts running requests and evicts cached prompts, which are then prefilled again, so that callers are late that would
// have been in time. The package has no I/O, clock or globals.
package overload

import (
	"math/rand/v2"
	"time"

	"github.com/egrethoist/egrethoist/internal/pause"
)

// minRoomAfter is the shortest time after which there may be room: until the instances know more of each other's load than now.
const minRoomAfter = 150 * time.Millisecond

// Request holds the inputs of a decision.
type Request struct {
	QueueWait   time.Duration // expected until the best target starts to prefill the prompt
	QueueLimit  time.Duration // longest QueueWait at which the target has room for the request beside those sent to it before
	PrefillTime time.Duration // expected for the prompt of the request itself
	StreamTime  time.Duration // expected from the first event of the answer to its last
	FirstWithin time.Duration // until the caller leaves if the answer has not begun
	Remaining   time.Duration // until the caller leaves if the answer has not ended
	TargetIdle  bool          // no instance has a request at the target
}

// Decision is the result of Decide.
type Decision struct {
	Admit      bool
	RoomAfter  time.Duration // set if refused: until the queue admits the request, if no others come; includes jitter
	RetryAfter time.Duration // set if refused: RoomAfter at least, spread over the time that the caller waits
}

// LongestWait returns the longest wait after which the request is still answered before its caller leaves, negative if none is.
func (r Request) LongestWait() time.Duration {
	return min(r.FirstWithin, r.Remaining-r.StreamTime) - r.PrefillTime
}

// Decide admits a request if its answer is expected to begin and to end before the caller leaves, and the target has room for it. An idle
// target always gets a request, regardless of the estimates, since only responses update them.
func Decide(r Request, rng *rand.Rand) Decision {
	limit := min(r.LongestWait(), r.QueueLimit)
	if r.TargetIdle || r.QueueWait <= limit {
		return Decision{Admit: true}
	}
	room := max(r.QueueWait-max(limit, 0), minRoomAfter)
	room += time.Duration(rng.Int64N(int64(room))) // jitter: callers refused meanwhile return too
	// A shortage mostly lasts longer, and callers have few attempts, so the retries are spread over all the time for which the protocol lets
	// them wait.
	return Decision{RoomAfter: room, RetryAfter: pause.RetryDelayWithBacklog(room, r.Remaining, r.Remaining, rng)}
}
