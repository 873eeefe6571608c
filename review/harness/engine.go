package harness

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// Engine is a model server that takes orders to load weights. It implements http.Handler.
type Engine struct {
	ID, Zone string
	Service  string
	Model    string
	LoadTime time.Duration
	Record   *Record
	// OnOrder is called for each order that arrives, with its fencing token, before it is judged.
	OnOrder func(engine *Engine, holder string, token uint64)

	address string
	store   *DrillStore
	born    int64

	mu      sync.Mutex
	weights int
	loading bool
	seq     uint64
	fence   uint64
}

// StartEngine starts an engine on weights 1 and registers it.
func StartEngine(s *DrillStore, e *Engine) error {
	e.store, e.born, e.weights = s, time.Now().UnixMilli(), 1
	address, err := Serve(e)
	if err != nil {
		return err
	}
	e.address = address
	e.report()
	return nil
}

func (e *Engine) models() []any {
	return []any{map[string]any{"name": e.Model, "version": e.weights, "adapters": []string{}}}
}

// report writes the engine's entry.
func (e *Engine) report() {
	e.mu.Lock()
	entry := map[string]any{
		"service": e.Service, "address": e.address, "zone": e.Zone, "version": "v1", "slots": 128, "state": "ready", "coldMs": 0, "seq": e.seq, "born": e.born,
		"stage": "colocated", "models": e.models(),
	}
	e.mu.Unlock()
	e.store.Put("servers/"+e.ID, entry)
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	switch r.URL.Path {
	case "/egrethoist/report":
		e.mu.Lock()
		raw, err := json.Marshal(map[string]any{
			"stage": "colocated", "models": e.models(), "busy": e.loading, "seq": e.seq, "queued": 0, "running": 0, "kvUsed": 0, "kvTotal": 100000, "handles": 0, "born": e.born,
		})
		e.mu.Unlock()
		if err != nil {
			panic(err)
		}
		_, _ = w.Write(raw) // a caller that has gone needs no answer
	case "/egrethoist/order":
		w.WriteHeader(e.order(r))
	default:
		w.WriteHeader(http.StatusTooManyRequests) // no events are kept
	}
}

// order returns the status of the answer to an order.
func (e *Engine) order(r *http.Request) int {
	var body struct {
		Op, Model, Mode, Holder string
		Version                 int
		FencingToken            uint64
		Expected                *uint64
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || body.Op != "version" || body.Holder == "" || body.FencingToken == 0 {
		return http.StatusBadRequest
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != e.ID {
		return http.StatusMisdirectedRequest
	}
	e.Record.Printf("engine %s gets an order of %s: version %d, fencing token %d", e.ID, body.Holder, body.Version, body.FencingToken)
	e.OnOrder(e, body.Holder, body.FencingToken)
	e.mu.Lock()
	defer e.mu.Unlock()
	if body.FencingToken < e.fence {
		return http.StatusPreconditionFailed
	}
	e.fence = body.FencingToken
	switch {
	case e.weights == body.Version:
		return http.StatusOK
	case e.loading || body.Expected != nil && *body.Expected != e.seq:
		return http.StatusConflict
	}
	e.seq++
	e.loading = true
	time.AfterFunc(e.LoadTime, func() {
		e.mu.Lock()
		e.weights, e.loading = body.Version, false
		e.mu.Unlock()
		e.Record.Printf("engine %s has weights %d", e.ID, body.Version)
		e.report()
	})
	return http.StatusAccepted
}
