// Package stream assembles the response to one request at the entry from the pieces sent by its attempts. It detects and
// drops late, misrouted, duplicate and partly duplicate pieces, never takes a truncated response for a complete one, and
// resumes a failed model stream at the offset up to which the caller has received it. It has no I/O, clock or goroutines.
package stream

import "fmt"

// Unit is the unit of offsets.
type Unit uint8

// Units of offsets.
const (
	Tokens Unit = iota // model streams; pieces cannot be split
	Bytes              // other responses; Count equals len(Data)
)

// Piece is a part of a response as received from a connection.
type Piece struct {
	RequestID string
	Attempt   uint32
	Offset    uint64 // number of tokens or bytes before this piece
	Count     uint32 // number of tokens or bytes in this piece
	Data      []byte
}

// End is the explicit end marker of a response.
type End struct {
	RequestID string
	Attempt   uint32
	Total     uint64 // offset past the last piece
}

// Fault is the reason why a piece or an end was rejected. If it is not FaultNone, nothing of the piece may be delivered to
// the caller.
type Fault uint8

// Faults.
const (
	FaultNone      Fault = iota
	FaultCrossed         // belongs to another request
	FaultLate            // belongs to an attempt that was abandoned
	FaultFuture          // belongs to an attempt that has not begun
	FaultDuplicate       // has already been delivered completely
	FaultTorn            // overlaps what has been delivered and cannot be split; the attempt must be abandoned
	FaultGap             // a preceding piece is missing; the attempt must be abandoned
	FaultMalformed       // count and data are inconsistent; the attempt must be abandoned
	FaultTruncated       // the end shows that pieces are missing; the attempt must be abandoned
	FaultOverrun         // the end is before the delivered offset; the response is broken
	FaultEnded           // arrived after the end of the response
	numFaults
)

var faultNames = [numFaults]string{
	"none", "crossed", "late", "future", "duplicate", "torn", "gap", "malformed", "truncated", "overrun", "ended",
}

// String returns the name of the fault.
func (f Fault) String() string {
	if f >= numFaults {
		return "invalid"
	}
	return faultNames[f]
}

// Fatal reports whether the attempt must be abandoned. The response is then resumed by another attempt or ends as broken.
// After any other fault the attempt continues.
func (f Fault) Fatal() bool {
	switch f {
	case FaultTorn, FaultGap, FaultMalformed, FaultTruncated, FaultOverrun:
		return true
	}
	return false
}

// BrokenError reports that a response cannot be completed.
type BrokenError struct {
	RequestID string
	Attempt   uint32
	Delivered uint64 // tokens or bytes delivered to the caller
	Fault     Fault
}

func (e *BrokenError) Error() string {
	return fmt.Sprintf("answer of %s attempt %d broken after %d: %s", e.RequestID, e.Attempt, e.Delivered, e.Fault)
}

// Assembler joins the pieces of one response. Attempt numbers increase; only pieces of the newest attempt are delivered. It
// is not safe for concurrent use.
type Assembler struct {
	requestID string
	unit      Unit
	attempt   uint32
	next      uint64 // offset up to which the response has been delivered
	abandoned bool   // the current attempt has been abandoned
	complete  bool
	broken    *BrokenError
	dropped   [numFaults]uint64 // number of dropped pieces and ends by fault
}

// NewAssembler returns an assembler for the response to a request. Begin must be called before the first piece.
func NewAssembler(requestID string, unit Unit) *Assembler {
	return &Assembler{requestID: requestID, unit: unit, abandoned: true}
}

// Begin starts an attempt and returns the offset at which it must resume. Pieces of all earlier attempts become late. It
// returns false if the attempt number does not increase or the response is complete or broken.
func (a *Assembler) Begin(attempt uint32) (resume uint64, ok bool) {
	if attempt <= a.attempt || a.complete || a.broken != nil {
		return a.next, false
	}
	a.attempt = attempt
	a.abandoned = false
	return a.next, true
}

// Accept processes a piece and returns the data to deliver to the caller now. Empty data with FaultNone means an empty
// piece. The data aliases the piece.
func (a *Assembler) Accept(p Piece) ([]byte, Fault) {
	if f := a.checkAttempt(p.RequestID, p.Attempt); f != FaultNone {
		return nil, a.recordDrop(f)
	}
	end := p.Offset + uint64(p.Count)
	switch {
	case end < p.Offset, !a.countMatches(p):
		return nil, a.abandon(FaultMalformed)
	case p.Offset > a.next:
		return nil, a.abandon(FaultGap)
	case p.Offset < a.next && end <= a.next:
		return nil, a.recordDrop(FaultDuplicate)
	case p.Offset < a.next && a.unit == Tokens:
		return nil, a.abandon(FaultTorn)
	}
	data := p.Data
	if a.unit == Bytes {
		data = data[a.next-p.Offset:]
	}
	a.next = end
	return data, FaultNone
}

// countMatches reports whether count and data are consistent. Data without a count is rejected, because a duplicate of it
// could not be detected.
func (a *Assembler) countMatches(p Piece) bool {
	if a.unit == Bytes {
		return int(p.Count) == len(p.Data)
	}
	return p.Count > 0 || len(p.Data) == 0
}

// Finish processes the end of an attempt. FaultNone means that the complete response has been delivered.
func (a *Assembler) Finish(e End) Fault {
	if f := a.checkAttempt(e.RequestID, e.Attempt); f != FaultNone {
		return a.recordDrop(f)
	}
	switch {
	case e.Total > a.next:
		return a.abandon(FaultTruncated)
	case e.Total < a.next:
		// More has been delivered than the response contains; resuming cannot correct that.
		a.broken = a.brokenError(FaultOverrun)
		return a.abandon(FaultOverrun)
	}
	a.complete = true
	return FaultNone
}

// checkAttempt returns a fault for a piece or an end that does not belong to the current attempt.
func (a *Assembler) checkAttempt(requestID string, attempt uint32) Fault {
	switch {
	case requestID != a.requestID:
		return FaultCrossed
	case a.complete || a.broken != nil:
		return FaultEnded
	case attempt > a.attempt:
		return FaultFuture
	case attempt < a.attempt || a.abandoned:
		return FaultLate
	}
	return FaultNone
}

// AbandonAttempt abandons the current attempt, for example because its connection was lost. Further pieces of it are late.
func (a *Assembler) AbandonAttempt() { a.abandoned = true }

// Fail ends the response as broken, unless it is complete, and returns the error for the caller. It returns nil if the
// response is complete.
func (a *Assembler) Fail(f Fault) *BrokenError {
	if a.broken == nil && !a.complete {
		a.broken = a.brokenError(f)
	}
	return a.broken
}

func (a *Assembler) brokenError(f Fault) *BrokenError {
	return &BrokenError{RequestID: a.requestID, Attempt: a.attempt, Delivered: a.next, Fault: f}
}

// recordDrop counts a dropped piece or end and returns its fault.
func (a *Assembler) recordDrop(f Fault) Fault {
	a.dropped[f]++
	return f
}

// abandon abandons the current attempt because of a fault, and counts and returns the fault.
func (a *Assembler) abandon(f Fault) Fault {
	a.abandoned = true
	return a.recordDrop(f)
}

// Delivered returns the offset up to which the response has been delivered.
func (a *Assembler) Delivered() uint64 { return a.next }

// Started reports whether any part of the response has been delivered.
func (a *Assembler) Started() bool { return a.next > 0 }

// Complete reports whether the complete response has been delivered and its end has arrived.
func (a *Assembler) Complete() bool { return a.complete }

// Dropped returns the number of pieces and ends dropped because of a fault.
func (a *Assembler) Dropped(f Fault) uint64 {
	if f >= numFaults {
		return 0
	}
	return a.dropped[f]
}
