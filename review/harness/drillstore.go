package harness

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// DrillStore is the platform's metadata store, with drills: it goes away for a moment and comes back from a copy that is some seconds old.
// It implements http.Handler.
type DrillStore struct {
	Record    *Record
	beforeTxn atomic.Pointer[func(keys []string)]

	mu        sync.Mutex
	state     storeState
	copies    []storeState // one after each change, oldest first
	era       int
	away      bool
	nextLease uint64
	changed   chan struct{} // closed and replaced at each change
	outside   []outsideWrite
}

// storeState is what a copy holds.
type storeState struct {
	at       time.Time
	revision uint64
	items    map[string]storeItem
	history  []storeItem
	leases   map[uint64]storeLease
}

type storeItem struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"createRev,omitempty"`
	Lease     uint64 `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type storeLease struct {
	ttl time.Duration
	end time.Time
}

// outsideWrite is a write of the operator or of a server, which is written again after a drill.
type outsideWrite struct {
	at     time.Time
	key    string
	value  []byte
	remove bool
}

// NewDrillStore returns an empty store, whose leases end with their time.
func NewDrillStore(r *Record) *DrillStore {
	s := &DrillStore{Record: r, era: 1, nextLease: 1000, changed: make(chan struct{})}
	s.state = storeState{revision: 100, items: map[string]storeItem{}, leases: map[uint64]storeLease{}}
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.expire()
		}
	}()
	return s
}

// SetBeforeTxn makes the store call before with the keys of each transaction of the system, before it is executed.
func (s *DrillStore) SetBeforeTxn(before func(keys []string)) { s.beforeTxn.Store(&before) }

func (s *DrillStore) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return
	}
	for id, l := range s.state.leases {
		if time.Now().After(l.end) {
			s.endLease(id)
		}
	}
}

func (s *DrillStore) endLease(id uint64) {
	delete(s.state.leases, id)
	for _, key := range slices.Sorted(maps.Keys(s.state.items)) {
		if s.state.items[key].Lease == id {
			s.remove(key)
		}
	}
}

func (s *DrillStore) commit() {
	s.state.at = time.Now()
	close(s.changed)
	s.changed = make(chan struct{})
	s.copies = append(s.copies, storeState{at: s.state.at, revision: s.state.revision, items: maps.Clone(s.state.items), history: slices.Clone(s.state.history), leases: maps.Clone(s.state.leases)})
}

func (s *DrillStore) put(key string, value []byte, lease uint64) {
	s.state.revision++
	item := storeItem{Key: key, Value: value, Revision: s.state.revision, Created: s.state.revision, Lease: lease}
	if old, ok := s.state.items[key]; ok {
		item.Created = old.Created
	}
	s.state.items[key] = item
	s.state.history = append(s.state.history, item)
	s.Record.Printf("store: revision %d: %s = %s", item.Revision, key, value)
	s.commit()
}

func (s *DrillStore) remove(key string) {
	if _, ok := s.state.items[key]; !ok {
		return
	}
	s.state.revision++
	delete(s.state.items, key)
	s.state.history = append(s.state.history, storeItem{Key: key, Revision: s.state.revision, Tombstone: true})
	s.Record.Printf("store: revision %d: %s removed", s.state.revision, key)
	s.commit()
}

// Put writes a key of the operator or of a server, and returns its revision. It waits while the store is away.
func (s *DrillStore) Put(key string, value any) uint64 {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err) // all values are of this package
	}
	return s.write(outsideWrite{key: key, value: raw})
}

// Remove removes a key of the operator or of a server.
func (s *DrillStore) Remove(key string) uint64 { return s.write(outsideWrite{key: key, remove: true}) }

func (s *DrillStore) write(w outsideWrite) uint64 {
	for {
		s.mu.Lock()
		if !s.away {
			break
		}
		s.mu.Unlock()
		time.Sleep(10 * time.Millisecond)
	}
	defer s.mu.Unlock()
	w.at = time.Now()
	s.outside = append(s.outside, w)
	s.apply(w)
	return s.state.revision
}

func (s *DrillStore) apply(w outsideWrite) {
	if w.remove {
		s.remove(w.key)
	} else {
		s.put(w.key, w.value, 0)
	}
}

// Revision returns the present revision.
func (s *DrillStore) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.revision
}

// Await returns true once the store has n keys with a prefix, false if it does not in time.
func (s *DrillStore) Await(prefix string, n int, timeout time.Duration) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		s.mu.Lock()
		count := 0
		for key := range s.state.items {
			if strings.HasPrefix(key, prefix) {
				count++
			}
		}
		s.mu.Unlock()
		if count >= n {
			return true
		}
	}
	return false
}

// Drill takes the store away for some time and brings it back from the copy of some time before. What the operator and the servers wrote since then
// is written again.
func (s *DrillStore) Drill(away, age time.Duration) {
	s.mu.Lock()
	s.away = true
	began := time.Now()
	s.Record.Printf("drill: the store is away, at revision %d", s.state.revision)
	s.mu.Unlock()
	time.Sleep(away)
	s.mu.Lock()
	defer s.mu.Unlock()
	from := s.copies[0]
	for _, c := range s.copies {
		if !c.at.After(began.Add(-age)) {
			from = c
		}
	}
	copied := began.Add(-age)
	leases := map[uint64]storeLease{}
	for id, l := range from.leases {
		leases[id] = storeLease{ttl: l.ttl, end: time.Now().Add(l.ttl)}
	}
	s.state = storeState{revision: from.revision, items: maps.Clone(from.items), history: slices.Clone(from.history), leases: leases}
	s.copies = nil
	s.era++
	s.Record.Printf("drill: the store is back from a copy that is %v old, at revision %d, era %d", age.Round(time.Millisecond), s.state.revision, s.era)
	s.commit()
	for _, w := range s.outside {
		if w.at.After(copied) {
			s.apply(w)
		}
	}
	s.away = false
}

// ServeHTTP implements http.Handler.
func (s *DrillStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	away, era := s.away, s.era
	s.mu.Unlock()
	if away {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Store-Era", strconv.Itoa(era))
	path := strings.TrimPrefix(r.URL.Path, "/egrethoist/")
	status, body := http.StatusNotFound, any(struct{}{})
	switch {
	case path == "kv-key":
		status, body = s.key(r.URL.Query().Get("key"))
	case path == "kv-range":
		status, body = s.rangeOf(r.URL.Query().Get("prefix"), r.URL.Query().Get("after"))
	case path == "kv-watch":
		status, body = s.watch(r)
	case path == "kv-txn":
		status, body = s.txn(r)
	case path == "kv-lease":
		status, body = s.grant(r)
	case strings.HasPrefix(path, "kv-keep/"), strings.HasPrefix(path, "kv-lease-end/"):
		status = s.lease(path)
	}
	s.mu.Lock()
	lost := s.away || s.era != era
	s.mu.Unlock()
	if lost {
		panic(http.ErrAbortHandler)
	}
	raw, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(raw) // a caller that has gone needs no answer
}

func (s *DrillStore) key(key string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	item, ok := s.state.items[key]
	if !ok {
		return http.StatusNotFound, struct{}{}
	}
	return http.StatusOK, item
}

func (s *DrillStore) rangeOf(prefix, after string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []storeItem{}
	for _, key := range slices.Sorted(maps.Keys(s.state.items)) {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, s.state.items[key])
		}
	}
	return http.StatusOK, map[string]any{"items": items, "hasMore": false, "asOf": s.state.revision}
}

func (s *DrillStore) watch(r *http.Request) (int, any) {
	q := r.URL.Query()
	after, err1 := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, err2 := strconv.Atoi(q.Get("waitMs"))
	if err1 != nil || err2 != nil {
		return http.StatusBadRequest, struct{}{}
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		if after > s.state.revision {
			s.mu.Unlock()
			return http.StatusGone, struct{}{}
		}
		events := []storeItem{}
		for _, e := range s.state.history {
			if e.Revision > after && strings.HasPrefix(e.Key, q.Get("prefix")) {
				events = append(events, e)
			}
		}
		asOf, changed := s.state.revision, s.changed
		s.mu.Unlock()
		body := map[string]any{"events": events, "asOf": asOf}
		if len(events) > 0 {
			return http.StatusOK, body
		}
		select {
		case <-r.Context().Done():
			return http.StatusOK, body
		case <-timer.C:
			return http.StatusOK, body
		case <-changed:
		}
	}
}

func (s *DrillStore) txn(r *http.Request) (int, any) {
	var body struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expected"`
		SetKeys []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"setKeys"`
		Remove []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		return http.StatusBadRequest, struct{}{}
	}
	if before := s.beforeTxn.Load(); before != nil {
		var keys []string
		for _, k := range body.SetKeys {
			keys = append(keys, k.Key)
		}
		(*before)(keys)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range body.Expected {
		if s.state.items[e.Key].Revision != e.Revision {
			items := []storeItem{}
			for _, e := range body.Expected {
				if item, ok := s.state.items[e.Key]; ok {
					items = append(items, item)
				}
			}
			return http.StatusPreconditionFailed, map[string]any{"items": items}
		}
	}
	for _, k := range body.SetKeys {
		if _, ok := s.state.leases[k.Lease]; k.Lease != 0 && !ok {
			return http.StatusNotFound, struct{}{}
		}
	}
	for _, k := range body.SetKeys {
		s.put(k.Key, k.Value, k.Lease)
	}
	for _, key := range body.Remove {
		s.remove(key)
	}
	return http.StatusOK, map[string]any{"revision": s.state.revision}
}

func (s *DrillStore) grant(r *http.Request) (int, any) {
	var body struct {
		TTLMs int64 `json:"ttlMs"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		return http.StatusBadRequest, struct{}{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextLease++
	ttl := time.Duration(body.TTLMs) * time.Millisecond
	s.state.leases[s.nextLease] = storeLease{ttl: ttl, end: time.Now().Add(ttl)}
	return http.StatusOK, map[string]any{"lease": s.nextLease, "ttlMs": body.TTLMs}
}

func (s *DrillStore) lease(path string) int {
	name, text, _ := strings.Cut(path, "/")
	id, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return http.StatusBadRequest
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.state.leases[id]
	if !ok {
		return http.StatusNotFound
	}
	if name == "kv-lease-end" {
		s.endLease(id)
	} else {
		s.state.leases[id] = storeLease{ttl: l.ttl, end: time.Now().Add(l.ttl)}
	}
	return http.StatusOK
}

// PlainServer is a server of a plain service. It implements http.Handler.
type PlainServer struct {
	ID, Service, Zone string
	Address           string
	Record            *Record
	// OnRun is called for each request that it runs.
	OnRun func(server *PlainServer, id, key string)
	born  int64
}

// StartPlainServer starts a server and registers it.
func StartPlainServer(s *DrillStore, p *PlainServer) error {
	p.born = time.Now().UnixMilli()
	address, err := Serve(p)
	if err != nil {
		return err
	}
	p.Address = address
	p.Report(s, "ready")
	return nil
}

// Report writes the server's entry with a state.
func (p *PlainServer) Report(s *DrillStore, state string) uint64 {
	return s.Put("servers/"+p.ID, map[string]any{
		"service": p.Service, "address": p.Address, "zone": p.Zone, "version": "v1", "slots": 64, "state": state, "coldMs": 0, "seq": 1, "born": p.born,
	})
}

// ServeHTTP implements http.Handler.
func (p *PlainServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	w.Header().Set("Instance-Id", p.ID)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != p.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	p.Record.Printf("server %s of %s runs %s for tenant %s", p.ID, p.Service, id, r.Header.Get("Tenant"))
	if p.OnRun != nil {
		p.OnRun(p, id, r.Header.Get("Tenant"))
	}
	time.Sleep(5 * time.Millisecond)
	w.Header().Set("Server-Stamp", p.ID+"."+id)
	w.Header().Set("Server-Load", "1,0,64")
	fmt.Fprintf(w, "%s ran %s\n", p.ID, id)
}
