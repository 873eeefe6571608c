package gateway

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/egrethoist/egrethoist/internal/membudget"
	"github.com/egrethoist/egrethoist/internal/pause"
)

const (
	// requestBytes is what a request holds besides its body and answer, in bytes: stacks of its goroutines, the buffers of its target's
	// connection and of its stream.
	requestBytes = 32 << 10
	// bodyCopies is the number of copies of a request body that are counted: the gateway's, and the kernel's while a target reads slowly.
	bodyCopies = 2
	// minReadBuffer is the size in bytes of the first buffer for a body or answer of unknown length.
	minReadBuffer = 4 << 10
	// maxUnknownBody bounds the bytes of a request body of unknown length if neither the configuration nor the budget does.
	maxUnknownBody = 1 << 40
	// includedEventBytes is how much of an incomplete event is covered by requestBytes.
	includedEventBytes = 4 << 10
	// memoryRetry is the time after which refused callers may find memory: connections that are not read give way within it.
	memoryRetry = time.Second
)

// errNoMemory is returned when the memory for an incomplete event or a request body is not available.
var errNoMemory = errors.New("not enough memory")

// memoryService keeps the memory budget of the instance and cuts the connections that it chooses. It is safe for concurrent use.
type memoryService struct {
	lastID  atomic.Uint64
	metrics memoryMetrics

	mu     sync.Mutex // guards the rest
	budget *membudget.Budget
	conns  map[membudget.ConnID]*callerConn
}

// memoryMetrics holds the metrics of the memory budget.
type memoryMetrics struct {
	held    tally.Gauge // bytes held for connections
	blocked tally.Gauge // connections whose caller does not read
	refused tally.Counter
	cut     map[membudget.Reason]tally.Counter
}

// newMemoryService returns the service of an instance with the given memory in bytes, zero for no limit.
func newMemoryService(memoryBytes int64, scope tally.Scope) *memoryService {
	m := memoryMetrics{
		held: scope.Gauge("memory_held_bytes"), blocked: scope.Gauge("callers_blocked"), refused: scope.Counter("requests_refused_for_memory"),
		cut: map[membudget.Reason]tally.Counter{},
	}
	for _, reason := range []membudget.Reason{membudget.TargetWaits, membudget.CallerStops, membudget.MemoryShort} {
		m.cut[reason] = scope.Tagged(map[string]string{"reason": reason.String()}).Counter("callers_cut")
	}
	return &memoryService{metrics: m, budget: membudget.New(memoryBytes), conns: map[membudget.ConnID]*callerConn{}}
}

// update runs a change of the budget, and cuts the connections that have to give way after it.
func (s *memoryService) update(change func(b *membudget.Budget)) {
	s.mu.Lock()
	change(s.budget)
	var victims []*callerConn
	for _, id := range s.budget.Victims(time.Now()) {
		if c := s.conns[id]; c != nil {
			victims = append(victims, c)
		}
	}
	held, blocked := s.budget.Used(), s.budget.Blocked()
	s.mu.Unlock()
	s.metrics.held.Update(float64(held))
	s.metrics.blocked.Update(float64(blocked))
	for _, c := range victims {
		c.interrupt()
	}
}

// open adds a connection that holds bytes; c is nil for a request whose connection is not known.
func (s *memoryService) open(c *callerConn, bytes int64) membudget.ConnID {
	id := membudget.ConnID(s.lastID.Add(1))
	s.update(func(b *membudget.Budget) {
		b.Open(id, bytes)
		if c != nil {
			s.conns[id] = c
		}
	})
	return id
}

func (s *memoryService) close(id membudget.ConnID) {
	s.update(func(b *membudget.Budget) {
		b.Close(id)
		delete(s.conns, id)
	})
}

// HeldMemory returns the bytes that are held for connections now, the most that ever were, and the limit.
func (g *Gateway) HeldMemory() (held, peak, limit int64) {
	g.memory.mu.Lock()
	defer g.memory.mu.Unlock()
	return g.memory.budget.Used(), g.memory.budget.Peak(), g.memory.budget.Limit()
}

// memoryLease is what one request holds of the budget. The zero value holds nothing.
type memoryLease struct {
	service *memoryService
	conn    *callerConn // nil if the request's connection is not known
	id      membudget.ConnID
	held    int64 // bytes
	events  int64 // bytes of held for an incomplete event
}

// lease begins the lease of a request. It must be released.
func (s *memoryService) lease(r *http.Request) memoryLease {
	l := memoryLease{service: s}
	if c, ok := r.Context().Value(callerConnKey{}).(*callerConn); ok {
		l.conn, l.id = c, c.id
	} else {
		l.id = s.open(nil, 0)
	}
	return l
}

// admit reserves bytes for a request that has not been sent anywhere.
func (l *memoryLease) admit(bytes int64) bool {
	return l.reserve(bytes, func(b *membudget.Budget) bool { return b.Admit(l.id, bytes) })
}

// grow reserves further bytes for an admitted request.
func (l *memoryLease) grow(bytes int64) bool {
	return l.reserve(bytes, func(b *membudget.Budget) bool { return b.Grow(l.id, bytes) })
}

// growOptional reserves further bytes that the request can do without.
func (l *memoryLease) growOptional(bytes int64) bool {
	return l.reserve(bytes, func(b *membudget.Budget) bool { return b.GrowOptional(l.id, bytes) })
}

func (l *memoryLease) reserve(bytes int64, try func(*membudget.Budget) bool) bool {
	ok := false
	l.service.update(func(b *membudget.Budget) { ok = try(b) })
	if ok {
		l.held += bytes
	}
	return ok
}

// shrink returns bytes.
func (l *memoryLease) shrink(bytes int64) {
	l.held -= bytes
	l.service.update(func(b *membudget.Budget) { b.Release(l.id, bytes) })
}

// release returns everything, once the caller has received the rest of the answer.
func (l *memoryLease) release() {
	switch {
	case l.service == nil:
	case l.conn == nil:
		l.service.close(l.id)
	default:
		l.conn.flush()
		l.shrink(l.held)
	}
	l.service = nil
}

// holdEvent accounts n buffered bytes of a stream. It returns errNoMemory if they can't be held.
func (l *memoryLease) holdEvent(n int) error {
	need := max(0, 2*int64(n)-includedEventBytes) // a buffer that grows may be twice as large as its content
	switch {
	case need > l.events:
		if !l.grow(need - l.events) {
			return errNoMemory
		}
		l.events = need
	case need == 0 && l.events > 0:
		l.shrink(l.events)
		l.events = 0
	}
	return nil
}

// readAll reads r to its end. reserve accounts the buffer, of which copies are held. first is the expected length in bytes, negative if
// unknown. It returns false if the content is longer than limit bytes, or if there is no memory for all of it; what was read remains
// accounted.
func (l *memoryLease) readAll(r io.Reader, first, limit, copies int64, reserve func(bytes int64) bool) (body []byte, complete bool, err error) {
	size := min(first+1, limit+1)
	if first < 0 {
		size = minReadBuffer
	}
	for {
		if int64(len(body)) > limit || !reserve(copies*size) {
			return body, false, nil
		}
		larger := make([]byte, len(body), size)
		copy(larger, body)
		l.shrink(copies * int64(cap(body)))
		body = larger
		for len(body) < cap(body) {
			n, err := r.Read(body[len(body):cap(body)])
			body = body[:len(body)+n]
			if err == io.EOF {
				return body, true, nil
			}
			if err != nil {
				return body, false, err
			}
		}
		size = min(2*size, limit+1)
	}
}

// reserveMemory reserves what the request needs to run. If it can't, it refuses the request and returns false.
func (rq *request) reserveMemory() bool {
	rq.memory = rq.gateway.memory.lease(rq.incoming)
	need := requestBytes + bodyCopies*max(rq.incoming.ContentLength, 0)
	if !rq.gateway.memory.budget.Fits(need) {
		rq.fail(http.StatusRequestEntityTooLarge, "body too large")
		return false
	}
	if !rq.memory.admit(need) {
		rq.refuseForMemory()
		return false
	}
	return true
}

// refuseForMemory refuses a request that was not sent anywhere.
func (rq *request) refuseForMemory() {
	rq.gateway.memory.metrics.refused.Inc(1)
	rq.refuse(errNoMemory.Error(), pause.RetryDelay(memoryRetry, rq.remaining(time.Now()), rq.rng))
}

// setTargetWaits records whether the target of the present answer waits until the caller reads.
func (rq *request) setTargetWaits(waits bool) {
	if rq.memory.conn != nil {
		rq.memory.conn.targetWaits.Store(waits)
	}
}

// leaveReason returns the outcome of a request whose caller's connection has ended.
func (rq *request) leaveReason() string {
	if rq.memory.conn != nil && rq.memory.conn.cut.Load() {
		return "caller does not read"
	}
	return "caller left"
}
