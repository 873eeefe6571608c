// Package plain is a small fake of a plain HTTP service for tests and trials: load slots that are looked up and
// bookings that must land once. It writes down every execution and fails on demand.
package plain

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/egrethoist/egrethoist/internal/engine"
)

// HeaderAnswersRequest names the request for which an answer was computed.
const HeaderAnswersRequest = "X-Answers-Request"

// Booking is the body of POST /bookings.
type Booking struct {
	ID   string `json:"id"`
	Slot string `json:"slot"`
}

// Confirmation is the answer to a booking. Count is the number of executions of the booking ID so far.
type Confirmation struct {
	ID    string `json:"id"`
	Slot  string `json:"slot"`
	Count int    `json:"count"`
}

// Slot is the answer to GET /slots/{id} and GET /lookups/{id}. Value grows with every lookup at the service, so that a repeated
// answer shows.
type Slot struct {
	ID      string    `json:"id"`
	Value   uint64    `json:"value"`
	Booked  int       `json:"booked"`
	ReadAt  time.Time `json:"read_at"`
	Request string    `json:"request"`
}

// Execution is the record of one call that reached the service.
type Execution struct {
	RequestID string
	Attempt   string
	Method    string
	Path      string
	BookingID string
	Start     time.Time
	End       time.Time
	Executed  bool  // the effect took place
	Answered  bool  // the answer was written without a fault
	BodyBytes int64 // echo: read of the body
	BodyWhole bool  // echo: the body was read to its end
}

// Faults that act until they are changed.
type Faults struct {
	Delay       time.Duration // before the effect
	AnswerDelay time.Duration // after the effect
	Hang        bool          // before the effect, until the caller gives up
	HangAfter   bool          // after the effect, until the caller gives up
	DropBefore  int           // cut so many calls before the effect
	DropAnswers int           // cut so many calls after the effect
	CutAnswers  int           // cut so many answers in the middle of the body
	FailStatus  int           // answer with this status and no effect
	CutBodies   int           // echo: cut so many calls after CutBodyAt bytes of the body
	CutBodyAt   int64
}

// Store holds the effects that the targets of one service share.
type Store struct {
	mu     sync.Mutex
	byID   map[string]int
	bySlot map[string]int
	value  uint64
	log    []*Execution
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{byID: map[string]int{}, bySlot: map[string]int{}} }

// Log returns a copy of the executions at all targets of the service in order of arrival.
func (s *Store) Log() []Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Execution, len(s.log))
	for i, x := range s.log {
		out[i] = *x
	}
	return out
}

// Bookings returns the number of executions of each booking ID.
func (s *Store) Bookings() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.byID)
}

// Options of a fake service.
type Options struct {
	Store       *Store        // shared by the targets of a service; nil makes one
	ServiceTime time.Duration // of a call
}

// Service is one target of a plain service; it is an http.Handler.
type Service struct {
	opts  Options
	store *Store
	mux   *http.ServeMux

	mu     sync.Mutex
	faults Faults
	down   bool
	thaw   chan struct{}
	cut    chan struct{} // closed by a crash
	own    []*Execution
}

// New returns a running service.
func New(opts Options) *Service {
	if opts.Store == nil {
		opts.Store = NewStore()
	}
	s := &Service{opts: opts, store: opts.Store, mux: http.NewServeMux(), thaw: make(chan struct{}), cut: make(chan struct{})}
	close(s.thaw)
	s.mux.HandleFunc("GET /slots/{id}", s.lookup)
	s.mux.HandleFunc("GET /lookups/{id}", s.lookup)
	s.mux.HandleFunc("POST /bookings", s.book)
	s.mux.HandleFunc("/echo/", s.echo)
	s.mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	return s
}

// Store returns the effects and the log.
func (s *Service) Store() *Store { return s.store }

// Log returns a copy of the executions at this target.
func (s *Service) Log() []Execution {
	s.mu.Lock()
	own := slices.Clone(s.own)
	s.mu.Unlock()
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	out := make([]Execution, len(own))
	for i, x := range own {
		out[i] = *x
	}
	return out
}

// SetFaults changes the faults in force.
func (s *Service) SetFaults(change func(*Faults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.faults)
}

// Freeze holds calls before and after their effect, with connections left open.
func (s *Service) Freeze() {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.thaw:
		s.thaw = make(chan struct{})
	default:
	}
}

// Unfreeze lets a frozen service go on.
func (s *Service) Unfreeze() {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.thaw:
	default:
		close(s.thaw)
	}
}

// Crash cuts every call, and answers none until Restart. Effects that took place last.
func (s *Service) Crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.down {
		s.down = true
		close(s.cut)
	}
}

// Restart brings a crashed service back.
func (s *Service) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		s.down = false
		s.cut = make(chan struct{})
	}
}

// ServeHTTP runs a call under the faults in force.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		s.wait(r, 0, false)
		return
	}
	s.mux.ServeHTTP(w, r)
}

// call is one call under way.
type call struct {
	s *Service
	w http.ResponseWriter
	r *http.Request
	x *Execution
}

// begin notes the call and waits out the faults that act before the effect. It reports whether to go on.
func (s *Service) begin(w http.ResponseWriter, r *http.Request) (*call, bool) {
	c := &call{s: s, w: w, r: r, x: &Execution{
		RequestID: r.Header.Get(engine.HeaderRequestID),
		Attempt:   r.Header.Get(engine.HeaderAttempt),
		Method:    r.Method,
		Path:      r.URL.Path,
		Start:     time.Now(),
	}}
	s.store.add(c.x)
	s.mu.Lock()
	s.own = append(s.own, c.x)
	f := s.faults
	drop := take(&s.faults.DropBefore)
	s.mu.Unlock()
	s.wait(r, s.opts.ServiceTime+f.Delay, f.Hang)
	if drop {
		panic(http.ErrAbortHandler)
	}
	if f.FailStatus != 0 {
		w.WriteHeader(f.FailStatus)
		return c, false
	}
	return c, true
}

func (st *Store) add(x *Execution) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.log = append(st.log, x)
}

func take(n *int) bool {
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

// wait holds a call; it cuts the connection if the service crashes or the caller gives up meanwhile.
func (s *Service) wait(r *http.Request, d time.Duration, hang bool) {
	s.mu.Lock()
	thaw, cut, down := s.thaw, s.cut, s.down
	s.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
	var timer <-chan time.Time // nil waits for good
	if !hang {
		timer = time.After(d)
	}
	hold(r, timer, cut)
	hold(r, thaw, cut)
}

// hold waits for ready; it cuts the connection if the service crashes or the caller gives up first.
func hold[T any](r *http.Request, ready <-chan T, cut <-chan struct{}) {
	select {
	case <-ready:
	case <-cut:
		panic(http.ErrAbortHandler)
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	}
}

// answer sends the body under the faults that act after the effect.
func (c *call) answer(body []byte) {
	s := c.s
	s.mu.Lock()
	f := s.faults
	drop := take(&s.faults.DropAnswers)
	cut := take(&s.faults.CutAnswers)
	s.mu.Unlock()
	if drop {
		panic(http.ErrAbortHandler)
	}
	if f.AnswerDelay > 0 || f.HangAfter {
		s.wait(c.r, f.AnswerDelay, f.HangAfter)
	}
	c.w.Header().Set(HeaderAnswersRequest, c.x.RequestID)
	if cut {
		_, _ = c.w.Write(body[:len(body)/2])
		_ = http.NewResponseController(c.w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = c.w.Write(body)
	c.end(func(x *Execution) { x.Answered = true })
}

func (c *call) end(change func(*Execution)) {
	c.s.store.mu.Lock()
	defer c.s.store.mu.Unlock()
	c.x.End = time.Now()
	change(c.x)
}

func (s *Service) lookup(w http.ResponseWriter, r *http.Request) {
	c, ok := s.begin(w, r)
	if !ok {
		return
	}
	id := r.PathValue("id")
	st := s.store
	st.mu.Lock()
	st.value++
	c.x.Executed = true
	slot := Slot{ID: id, Value: st.value, Booked: st.bySlot[id], ReadAt: time.Now(), Request: c.x.RequestID}
	st.mu.Unlock()
	c.answer(encode(slot))
}

func (s *Service) book(w http.ResponseWriter, r *http.Request) {
	var b Booking
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	c, ok := s.begin(w, r)
	if !ok {
		return
	}
	st := s.store
	st.mu.Lock()
	c.x.BookingID = b.ID
	c.x.Executed = true
	st.byID[b.ID]++
	st.bySlot[b.Slot]++
	conf := Confirmation{ID: b.ID, Slot: b.Slot, Count: st.byID[b.ID]}
	st.mu.Unlock()
	c.answer(encode(conf))
}

// echo sends the request body back as it comes.
func (s *Service) echo(w http.ResponseWriter, r *http.Request) {
	c, ok := s.begin(w, r)
	if !ok {
		return
	}
	_ = http.NewResponseController(w).EnableFullDuplex()
	c.end(func(x *Execution) { x.Executed = true })
	s.mu.Lock()
	cutAt := s.faults.CutBodyAt
	cut := take(&s.faults.CutBodies)
	s.mu.Unlock()
	body := io.Reader(r.Body)
	if cut {
		body = io.LimitReader(body, cutAt)
	}
	n, err := io.Copy(w, body)
	c.end(func(x *Execution) {
		x.BodyBytes = n
		x.BodyWhole = err == nil && !cut
		x.Answered = x.BodyWhole
	})
	if err != nil || cut {
		panic(http.ErrAbortHandler)
	}
}

func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // the types of this package always encode
	}
	return b
}
