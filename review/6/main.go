// Command 6 shows whether an instance that was frozen while a KV-cache store restarted lets requests take parts from the store that are being written
// again. It exits with 1 if it does, 0 if not, and 2 if the case could not run.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/egrethoist/egrethoist/platform/standin"
	"github.com/egrethoist/egrethoist/review/rig"
)

const (
	sessions    = 48
	partTokens  = 8610                  // the shared part of a session, as on the site
	writeTime   = 45 * time.Millisecond // of such a part: 18.432 KB a token at 32 Gbit/s, and 6 ms before
	downTime    = 500 * time.Millisecond
	freezeLimit = 7900 * time.Millisecond
	rounds      = 13               // at most, until the rule breaks
	lastRound   = 88 * time.Second // no round begins later
	copies      = 4                // KV-cache stores
)

// event is a change of a store's content.
type event struct {
	number   uint64
	salt, id string
	tokens   int
}

// kvStore is a managed store of KV cache. Its transfers run one after another.
type kvStore struct {
	address string

	mu       sync.Mutex
	server   *http.Server
	down     bool
	epoch    uint64
	complete map[string]int  // tokens by salt and part
	partial  map[string]bool // being written
	events   []event
	changed  chan struct{}
	linkFree time.Time
	waiting  int // long polls that wait
}

func (s *kvStore) start(epoch uint64) error {
	l, err := net.Listen("tcp4", s.address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.address, s.epoch, s.complete, s.partial, s.events, s.changed = l.Addr().String(), epoch, map[string]int{}, map[string]bool{}, nil, make(chan struct{})
	s.server, s.down = &http.Server{Handler: s}, false
	go func(server *http.Server) { _ = server.Serve(l) }(s.server)
	return nil
}

// crash ends the process of the store at once.
func (s *kvStore) crash() {
	s.mu.Lock()
	s.down = true
	server := s.server
	s.mu.Unlock()
	_ = server.Close()
}

// save begins to write a part, unless the store holds it or it is being written.
func (s *kvStore) save(salt, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key, epoch := salt+" "+id, s.epoch
	if s.down || s.complete[key] > 0 || s.partial[key] {
		return
	}
	s.partial[key] = true
	if now := time.Now(); s.linkFree.Before(now) {
		s.linkFree = now
	}
	s.linkFree = s.linkFree.Add(writeTime)
	time.AfterFunc(time.Until(s.linkFree), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.epoch != epoch {
			return // the store has restarted
		}
		delete(s.partial, key)
		s.complete[key] = partTokens
		s.events = append(s.events, event{uint64(len(s.events) + 1), salt, id, partTokens})
		close(s.changed)
		s.changed = make(chan struct{})
	})
}

// state returns whether a part is "whole", "partial" or "absent".
func (s *kvStore) state(salt, id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch key := salt + " " + id; {
	case s.down:
		return "not to be had"
	case s.complete[key] > 0:
		return "whole"
	case s.partial[key]:
		return "partial"
	}
	return "absent"
}

func (s *kvStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/egrethoist/kv-list":
		s.mu.Lock()
		held, partial := [][]any{}, [][]any{}
		for key, tokens := range s.complete {
			salt, id, _ := strings.Cut(key, " ")
			held = append(held, []any{salt, id, tokens, rig.Model})
		}
		for key := range s.partial {
			salt, id, _ := strings.Cut(key, " ")
			partial = append(partial, []any{salt, id, 0, partTokens})
		}
		body := map[string]any{"epoch": s.epoch, "next": len(s.events), "held": held, "partial": partial}
		s.mu.Unlock()
		rig.WriteJSON(w, http.StatusOK, body)
	case "/egrethoist/kv-events":
		since, _ := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
		wait, _ := strconv.Atoi(r.Header.Get("Wait-Ms"))
		timer := time.After(time.Duration(wait) * time.Millisecond)
		for {
			s.mu.Lock()
			lost := since > uint64(len(s.events))
			list := [][]any{}
			if !lost {
				for _, e := range s.events[since:] {
					list = append(list, []any{e.number, "+", e.salt, e.id, e.tokens, rig.Model})
				}
			}
			body := map[string]any{"epoch": s.epoch, "next": len(s.events), "lost": lost, "events": list, "clock_ms": time.Now().UnixMilli()}
			changed := s.changed
			s.waiting++
			s.mu.Unlock()
			ended := lost || len(list) > 0
			if !ended {
				select {
				case <-changed:
				case <-timer:
					ended = true
				case <-r.Context().Done():
					ended = true
				}
			}
			s.mu.Lock()
			s.waiting--
			s.mu.Unlock()
			if ended {
				rig.WriteJSON(w, http.StatusOK, body)
				return
			}
		}
	default:
		rig.WriteJSON(w, http.StatusOK, map[string]any{"kvUsed": 0, "kvTotal": 1070334, "epoch": s.epoch})
	}
}

// engine is a model server whose memory is taken by other prompts, so that it fetches all parts that it is told to.
type engine struct {
	id, address string
	born        int64
	stores      []*kvStore
	mu          sync.Mutex
	broken      int
	fetched     int
	saves       int
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/egrethoist/report":
		rig.WriteJSON(w, http.StatusOK, map[string]any{"stage": "colocated", "models": e.models(), "busy": false, "seq": 0, "queued": 0, "running": 0, "kvUsed": 0, "kvTotal": 90000, "handles": 0, "born": e.born})
		return
	case "/egrethoist/kv-events":
		select {
		case <-r.Context().Done():
		case <-time.After(900 * time.Millisecond):
		}
		rig.WriteJSON(w, http.StatusOK, map[string]any{"epoch": 7, "next": 1, "lost": false, "events": []any{}, "clock_ms": time.Now().UnixMilli(), "born": e.born})
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	w.Header().Set("Instance-Id", e.id)
	if r.Header.Get("Expect-Instance") != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	salt, id := r.Header.Get("Cache-Salt"), r.Header.Get("Attempt-Id")
	from, to := strings.Split(r.Header.Get("Kv-Fetch-From"), ","), strings.Split(r.Header.Get("Kv-Save-To"), ",")
	until, _ := strconv.ParseInt(r.Header.Get("Kv-Until"), 10, 64)
	for i, field := range strings.Split(r.Header.Get("Prompt-Prefix"), ",") {
		part, _, _ := strings.Cut(field, ":")
		if store := e.at(from, i); store != nil {
			state := store.state(salt, part)
			thrownAway := until > 0 && time.Now().Add(writeTime).UnixMilli() > until
			rig.Note("server: request %s fetches part %s from the store, where it is %s", id, part, state)
			e.mu.Lock()
			e.fetched++
			if state == "partial" && !thrownAway {
				e.broken++
			}
			e.mu.Unlock()
		}
		if store := e.at(to, i); store != nil {
			rig.Note("server: request %s saves part %s to the store", id, part)
			e.mu.Lock()
			e.saves++
			e.mu.Unlock()
			store.save(salt, part)
		}
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Server-Stamp", "3e1b.07."+id)
	w.Header().Set("Weight-Versions", "1")
	for i := 1; i <= 3; i++ {
		fmt.Fprintf(w, "id: %d\ndata: token\n\n", i)
		_ = http.NewResponseController(w).Flush()
	}
}

// at returns the store that the i-th address of a list names, nil for none.
func (e *engine) at(list []string, i int) *kvStore {
	for _, s := range e.stores {
		if i < len(list) && list[i] == s.address {
			return s
		}
	}
	return nil
}

func (e *engine) models() []any {
	return []any{map[string]any{"name": rig.Model, "version": 1, "adapters": []string{}}}
}

func (e *engine) heartbeat(store *standin.MetaStore, seq int) {
	raw, _ := json.Marshal(map[string]any{
		"service": rig.Service, "address": e.address, "zone": "meseta-a", "version": "v1", "slots": 64, "state": "ready", "coldMs": 0, "seq": seq, "born": e.born,
		"stage": "colocated", "models": e.models(),
	})
	store.Put("servers/"+e.id, raw)
}

func (e *engine) count() (fetched, saves, broken int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fetched, e.saves, e.broken
}

func main() { rig.Main(run) }

func run(trouble bool, d *rig.Deployment) (broken int, err error) {
	var stores []*kvStore
	for n := range copies {
		store := &kvStore{address: "127.0.0.1:0"}
		if err := store.start(uint64(77120 + 1000*n)); err != nil {
			return 0, err
		}
		stores = append(stores, store)
	}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	e := &engine{id: "i-7f3a91c2", address: l.Addr().String(), born: time.Now().Add(-time.Minute).UnixMilli(), stores: stores}
	go func() { _ = http.Serve(l, e) }()
	e.heartbeat(d.Store, 1)
	go func() {
		for seq := 2; ; seq++ {
			time.Sleep(1200 * time.Millisecond)
			e.heartbeat(d.Store, seq)
		}
	}()
	config := rig.Config(3)
	for n, store := range stores {
		config.Services = append(config.Services, standin.Service{Name: fmt.Sprintf("prompt-vault-b-%d", n), KVStoreAddress: store.address, Domain: "meseta-a", CapacityTokens: 1070334, LinkMbps: 32000, MaxReaders: 12, Managed: true})
	}
	d.Operator.Configure(config)
	d.Operator.SetWeightVersion(rig.Model, 1)
	if err := d.StartGateways(2); err != nil {
		return 0, err
	}
	time.Sleep(8 * time.Second) // calm
	g1, g2 := d.Gateways[0], d.Gateways[1]
	request := 0
	send := func(g *rig.Gateway, session int) int {
		request++
		return rig.Call(g, fmt.Sprintf("a%05d", request), "key-jeye930", fmt.Sprintf("%08x:%d,%08x:250", 0x91bd4000+session, partTokens, 0xe4410000+request))
	}
	// all sends a request of each session to a gateway at the same time.
	all := func(g *rig.Gateway) {
		var group sync.WaitGroup
		for session := range sessions {
			request++
			id := request
			group.Go(func() {
				rig.Call(g, fmt.Sprintf("b%05d", id), "key-jeye930", fmt.Sprintf("%08x:%d,%08x:250", 0x91bd4000+session, partTokens, 0xe4410000+id))
			})
		}
		group.Wait()
	}
	for range 8 {
		all(g2)
		time.Sleep(1500 * time.Millisecond)
		all(g1)
		if fetched, saves, _ := e.count(); saves >= sessions && fetched >= sessions {
			break
		}
	}
	if fetched, saves, _ := e.count(); saves < sessions/2 || fetched < sessions/2 {
		return 0, fmt.Errorf("%d parts are saved and %d fetched in calm", saves, fetched)
	}
	begun := time.Now()
	for round := 1; round <= rounds && broken == 0 && time.Since(begun) < lastRound; round++ {
		for polls := 0; polls < copies*3/2; time.Sleep(2 * time.Millisecond) { // most of the gateways' polls are at the stores
			polls = 0
			for _, store := range stores {
				store.mu.Lock()
				polls += store.waiting
				store.mu.Unlock()
			}
		}
		frozenAt := time.Now()
		if trouble {
			rig.Note("trouble, round %d: %s freezes", round, g1.Name)
			_ = g1.Process.Process.Signal(syscall.SIGSTOP)
		}
		time.Sleep(200 * time.Millisecond)
		send(g2, 1000+round) // another part is saved: all polls of the store are answered
		time.Sleep(400 * time.Millisecond)
		if trouble {
			rig.Note("trouble: the stores crash")
			for _, store := range stores {
				store.crash()
			}
			time.Sleep(downTime)
			for n, store := range stores {
				if err := store.start(uint64(90411 + 1000*n + round)); err != nil {
					return 0, err
				}
			}
			rig.Note("the stores are back, empty")
		}
		_, before, _ := e.count()
		for i := 0; ; i++ { // until parts are saved again
			if trouble && time.Since(frozenAt) > freezeLimit-500*time.Millisecond || i > 200 {
				return 0, errors.New("the store is not used again in time")
			}
			send(g2, 2000+200*round+i)
			if _, saves, _ := e.count(); saves > before {
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
		go all(g1) // these clients wait for the frozen gateway
		go all(g2)
		time.Sleep(10 * time.Millisecond)
		if trouble {
			_ = g1.Process.Process.Signal(syscall.SIGCONT)
			rig.Note("%s wakes after %.1f s", g1.Name, time.Since(frozenAt).Seconds())
		}
		for woken := time.Now(); time.Since(woken) < time.Second; time.Sleep(50 * time.Millisecond) {
			all(g1)
		}
		_, _, broken = e.count()
		for range 2 { // calm: all parts are in the stores, and both gateways know it
			time.Sleep(900 * time.Millisecond)
			all(g2)
		}
	}
	rig.Note("MIXED: requests took %d parts from the store that were being written", broken)
	return broken, nil
}
