// Package membudget accounts what an instance holds in memory for its connections and decides what gives way when memory is short: which
// requests are refused before they are sent anywhere, and which connections are cut because their peer does not read. It does no I/O and
// reads no clock.
package membudget

import (
	"container/list"
	"time"
)

const (
	// dataShare is the fraction of an instance's memory that the budget covers. The rest is for the program, its view of the metadata,
	// garbage that is not collected yet, and the kernel's buffers of connections that are not blocked.
	dataShare = 0.5
	// shortShare is the fraction of the budget above which memory is short: connections that are not read give way.
	shortShare = 0.75
	// optionalShare is the fraction of the budget up to which bytes are reserved that a request can do without.
	optionalShare = 0.5
	// stallShare is the fraction of the budget up to which the kernel's buffers of blocked connections are accounted. It leaves room for new
	// requests until connections have given way.
	stallShare = 0.85
	// admitShare is the fraction of the budget up to which requests are admitted. The rest is for what admitted requests still need.
	admitShare = 0.9
	// targetStall is how long a caller may read nothing while a target waits for it. Targets cut an answer that stays unread for some
	// seconds, so the limit is below three.
	targetStall = 2500 * time.Millisecond
	// callerStall is the same while no target waits. The kernel takes more bytes only once most of its unsent ones are gone, some tens of
	// kilobytes, so a caller that reads 1 KB a second shows progress only every half minute.
	callerStall = time.Minute
	// shortStall is how long a connection must have been without progress to give way while memory is short. A caller that reads a little
	// each second shows progress within it.
	shortStall = 1500 * time.Millisecond
	// fullStall is the same once new requests would find no memory.
	fullStall = 500 * time.Millisecond
)

// ConnID identifies a connection of the budget.
type ConnID uint64

// Reason says why a connection is to be cut.
type Reason uint8

// Reasons for a cut.
const (
	Keep        Reason = iota // the connection is not to be cut
	TargetWaits               // the caller reads nothing and the target would cut the answer
	CallerStops               // the caller has read nothing for long
	MemoryShort               // the caller reads nothing and memory is short
)

// String returns the reason as a label of metrics.
func (r Reason) String() string {
	return [...]string{"keep", "target_waits", "caller_stops", "memory_short"}[r]
}

// Budget is the account of one instance. It is not safe for concurrent use.
type Budget struct {
	limit     int64 // bytes
	used      int64 // bytes, at most limit except for connections that were accepted above it
	condemned int64 // bytes of used that belong to connections that are being cut
	wanted    int64 // bytes that blocked connections hold and that are not accounted yet
	peak      int64 // largest value of used
	conns     map[ConnID]*conn
	blocked   *list.List // of *conn, longest without progress first
}

// conn is one connection.
type conn struct {
	id         ConnID
	held       int64         // bytes
	element    *list.Element // in Budget.blocked; nil while writes are not blocked
	progressAt time.Time     // when the peer last read something, or the blocked write began
	kernel     int64         // bytes of held for the kernel's buffer of a blocked connection
	wanted     int64         // bytes of that buffer that are not accounted yet
	cut        bool
}

// New returns the budget of an instance with the given memory in bytes; zero or less means that it is unlimited.
func New(memoryBytes int64) *Budget {
	b := &Budget{limit: int64(dataShare * float64(memoryBytes)), conns: map[ConnID]*conn{}, blocked: list.New()}
	if memoryBytes <= 0 {
		b.limit = 1 << 62
	}
	return b
}

// Limit returns the bytes that the budget covers.
func (b *Budget) Limit() int64 { return b.limit }

// Used returns the bytes that are held now.
func (b *Budget) Used() int64 { return b.used }

// Peak returns the most bytes that were ever held.
func (b *Budget) Peak() int64 { return b.peak }

// Blocked returns the number of connections whose peer does not read at present.
func (b *Budget) Blocked() int { return b.blocked.Len() }

// Open adds a connection that holds bytes from now on. It is counted even above the limit, since it was accepted already.
func (b *Budget) Open(id ConnID, bytes int64) {
	c := &conn{id: id}
	b.conns[id] = c
	b.add(c, bytes)
}

// Close removes a connection with all that it holds.
func (b *Budget) Close(id ConnID) {
	if c := b.conns[id]; c != nil {
		b.unblock(c)
		b.add(c, -c.held)
		delete(b.conns, id)
	}
}

// Admit reserves bytes for a new request of a connection. It returns false if the request must be refused.
func (b *Budget) Admit(id ConnID, bytes int64) bool {
	return b.reserve(id, bytes, int64(admitShare*float64(b.limit)))
}

// Grow reserves further bytes for an admitted request. It returns false if they are not available.
func (b *Budget) Grow(id ConnID, bytes int64) bool { return b.reserve(id, bytes, b.limit) }

// GrowOptional is Grow for bytes that the request can do without. It leaves more room for others.
func (b *Budget) GrowOptional(id ConnID, bytes int64) bool {
	return b.reserve(id, bytes, int64(optionalShare*float64(b.limit)))
}

// Fits reports whether a request of this many bytes could ever be admitted.
func (b *Budget) Fits(bytes int64) bool { return bytes <= int64(admitShare*float64(b.limit)) }

func (b *Budget) reserve(id ConnID, bytes, limit int64) bool {
	c := b.conns[id]
	if c == nil || c.cut || bytes > limit-b.used {
		return false
	}
	b.add(c, bytes)
	return true
}

// Release returns bytes that a connection no longer holds.
func (b *Budget) Release(id ConnID, bytes int64) {
	if c := b.conns[id]; c != nil {
		b.add(c, -min(bytes, c.held-c.kernel))
	}
}

// add changes what a connection holds.
func (b *Budget) add(c *conn, bytes int64) {
	c.held += bytes
	b.used += bytes
	if c.cut {
		b.condemned += bytes
	}
	b.peak = max(b.peak, b.used)
}

// Stall is the state of a write that the peer does not take.
type Stall struct {
	Since       time.Time // beginning of the write
	Progressed  bool      // the peer has read something since the last call
	TargetSince time.Time // since when the answer's target waits until the peer reads; zero if it does not
	KernelBytes int64     // what the kernel holds of the unread answer, in bytes
}

// RecordStall records that a write to the peer is blocked, and returns whether the connection is to be cut now. It must be called again
// every few hundred milliseconds while the write lasts.
func (b *Budget) RecordStall(id ConnID, s Stall, now time.Time) Reason {
	c := b.conns[id]
	switch {
	case c == nil:
		return Keep
	case c.cut && !s.Progressed:
		return MemoryShort
	case c.cut:
		b.cancelCut(c)
		b.insert(c)
	case c.element == nil:
		c.progressAt = s.Since
		b.insert(c)
	}
	if s.Progressed {
		c.progressAt = now
		b.blocked.MoveToBack(c.element)
	}
	b.accountKernel(c, s.KernelBytes)
	switch {
	case !s.TargetSince.IsZero() && now.Sub(s.TargetSince) >= targetStall && now.Sub(c.progressAt) >= targetStall:
		b.condemn(c)
		return TargetWaits
	case now.Sub(c.progressAt) >= callerStall:
		b.condemn(c)
		return CallerStops
	}
	return Keep
}

// accountKernel accounts the kernel's buffer of a blocked connection. If that is not possible now, Victims makes room and a later call
// accounts it.
func (b *Budget) accountKernel(c *conn, bytes int64) {
	if c.kernel > 0 {
		return
	}
	b.want(c, bytes)
	if bytes <= int64(stallShare*float64(b.limit))-b.used {
		b.want(c, 0)
		c.kernel = bytes
		b.add(c, bytes)
	}
}

// want sets the bytes of a connection that are not accounted yet.
func (b *Budget) want(c *conn, bytes int64) {
	b.wanted += bytes - c.wanted
	c.wanted = bytes
}

// insert adds a connection to the blocked ones, ordered by the time without progress.
func (b *Budget) insert(c *conn) {
	for e := b.blocked.Back(); e != nil; e = e.Prev() {
		if !e.Value.(*conn).progressAt.After(c.progressAt) {
			c.element = b.blocked.InsertAfter(c, e)
			return
		}
	}
	c.element = b.blocked.PushFront(c)
}

// RecordWritten records that the blocked write of a connection has ended.
func (b *Budget) RecordWritten(id ConnID) {
	c := b.conns[id]
	if c == nil {
		return
	}
	b.cancelCut(c) // its write ended before it was cut
	b.unblock(c)
	b.add(c, -c.kernel)
	c.kernel = 0
}

// cancelCut keeps a connection that was to be cut: its caller has read something since.
func (b *Budget) cancelCut(c *conn) {
	if c.cut {
		c.cut = false
		b.condemned -= c.held
	}
}

func (b *Budget) unblock(c *conn) {
	if c.element != nil {
		b.blocked.Remove(c.element)
		c.element = nil
	}
	b.want(c, 0)
}

func (b *Budget) condemn(c *conn) {
	c.cut = true
	b.condemned += c.held
	b.unblock(c)
}

// Victims returns the connections to cut now because memory is short: those without progress for the longest time first, and none that
// has made progress within shortStall, or fullStall while new requests would be refused. What they hold becomes free when they are
// closed. Each connection is returned once.
func (b *Budget) Victims(now time.Time) []ConnID {
	var out []ConnID
	for {
		minStall := shortStall
		switch need := float64(b.used - b.condemned + b.wanted); {
		case need <= shortShare*float64(b.limit):
			return out
		case need > admitShare*float64(b.limit):
			minStall = fullStall
		}
		front := b.blocked.Front()
		if front == nil || now.Sub(front.Value.(*conn).progressAt) < minStall {
			return out
		}
		c := front.Value.(*conn)
		b.condemn(c)
		out = append(out, c.id)
	}
}
