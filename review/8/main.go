// Command 8 shows whether a tenant that has become isolated still uses the KV cache of others at an instance that cannot read the store. It
// exits with 1 if it does, 0 if not, and 2 if the case could not run.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/egrethoist/egrethoist/platform/standin"
	"github.com/egrethoist/egrethoist/review/rig"
)

const (
	// configBound is the time after which a configuration must be in force: configApplyMs, and skewMaxMs while the store is in disruption.
	configBound = 7 * time.Second
	cutLength   = 9 * time.Second
)

// use is the use of a cached part by a request.
type use struct {
	at           time.Time
	tenant, made string // who uses the part, and whose request made it
	salt, part   string
}

// engine is a model server that caches the parts of prompts under their salt, as the pages say.
type engine struct {
	id, address string
	born        int64
	mu          sync.Mutex
	cache       map[string]string // tenant by salt and part
	uses        []use
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/egrethoist/report":
		rig.WriteJSON(w, http.StatusOK, map[string]any{"stage": "colocated", "models": []any{map[string]any{"name": rig.Model, "version": 1, "adapters": []string{}}}, "busy": false, "seq": 0, "queued": 0, "running": 0, "kvUsed": 0, "kvTotal": 90000, "handles": 0, "born": e.born})
		return
	case "/egrethoist/kv-events":
		select {
		case <-r.Context().Done():
		case <-time.After(500 * time.Millisecond):
		}
		rig.WriteJSON(w, http.StatusOK, map[string]any{"epoch": 7, "next": 1, "lost": false, "events": []any{}, "clock_ms": time.Now().UnixMilli(), "born": e.born})
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	w.Header().Set("Instance-Id", e.id)
	if want := r.Header.Get("Expect-Instance"); want != "" && want != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	tenant, salt := r.Header.Get("Tenant"), r.Header.Get("Cache-Salt")
	e.mu.Lock()
	for _, field := range strings.Split(r.Header.Get("Prompt-Prefix"), ",") {
		part, _, _ := strings.Cut(field, ":")
		key := salt + " " + part
		if made, cached := e.cache[key]; cached {
			e.uses = append(e.uses, use{time.Now(), tenant, made, salt, part})
			rig.Note("engine: request %s of %s uses part %s, made by %s, salt %q", r.Header.Get("Attempt-Id"), tenant, part, made, salt)
		} else {
			e.cache[key] = tenant
			rig.Note("engine: request %s of %s reads part %s, salt %q", r.Header.Get("Attempt-Id"), tenant, part, salt)
		}
	}
	e.mu.Unlock()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Server-Stamp", "3e1b.07."+r.Header.Get("Attempt-Id"))
	w.Header().Set("Weight-Versions", "1")
	for i := 1; i <= 3; i++ {
		fmt.Fprintf(w, "id: %d\ndata: token\n\n", i)
		_ = http.NewResponseController(w).Flush()
	}
}

// heartbeat writes the entry of the engine.
func (e *engine) heartbeat(store *standin.MetaStore, seq int) {
	raw, _ := json.Marshal(map[string]any{
		"service": rig.Service, "address": e.address, "zone": "meseta-a", "version": "v1", "slots": 64, "state": "ready", "coldMs": 0, "seq": seq, "born": e.born,
		"stage": "colocated", "models": []any{map[string]any{"name": rig.Model, "version": 1, "adapters": []string{}}},
	})
	store.Put("servers/"+e.id, raw)
}

func main() { rig.Main(run) }

func run(trouble bool, d *rig.Deployment) (broken int, err error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	e := &engine{id: "i-7f3a91c2", address: l.Addr().String(), born: time.Now().Add(-time.Minute).UnixMilli(), cache: map[string]string{}}
	go func() { _ = http.Serve(l, e) }()
	e.heartbeat(d.Store, 1)
	go func() {
		for seq := 2; ; seq++ {
			time.Sleep(1200 * time.Millisecond)
			e.heartbeat(d.Store, seq)
		}
	}()
	config := rig.Config(3)
	d.Operator.Configure(config)
	d.Operator.SetWeightVersion(rig.Model, 1)
	if err := d.StartGateways(2); err != nil {
		return 0, err
	}
	time.Sleep(8 * time.Second) // calm: the engine is warm, and the scope that tenants share is recorded
	g1, g2 := d.Gateways[0], d.Gateways[1]
	if rig.Call(g1, "a001", "key-jeye930", "5c1e07a2:800,91bd3f06:410,e4402b7d:250") != http.StatusOK || rig.Call(g1, "a002", "key-zibo746", "5c1e07a2:800,91bd3f06:410,e4402b7e:250") != http.StatusOK {
		return 0, errors.New("a request was not served in calm")
	}
	cutAt := time.Now()
	if trouble {
		rig.Note("trouble: %s is killed, the store gives %s no answer any more", g2.Name, g1.Name)
		_ = g2.Process.Process.Kill()
		g1.Link.Cut.Store(true)
	}
	time.Sleep(300 * time.Millisecond)
	config = rig.Config(8)
	config.Workspaces[1].Isolated = true
	d.Operator.Configure(config)
	acknowledged := time.Now()
	rig.Note("operator: version 8, in which zibo746 is isolated, is acknowledged")
	time.Sleep(configBound + 300*time.Millisecond)
	served := 0
	for i := 0; time.Since(cutAt) < cutLength-400*time.Millisecond && i < 4; i++ {
		prefix := fmt.Sprintf("5c1e07a2:800,%08x:410,", 0x91bd4000+i)
		for j, key := range []string{"key-jeye930", "key-zibo746"} {
			if rig.Call(g1, fmt.Sprintf("b%d%02d", j, i), key, prefix+fmt.Sprintf("%08x:250", 0xe4410000+16*i+j)) == http.StatusOK {
				served++
			}
		}
	}
	if trouble {
		g1.Link.Cut.Store(false)
		rig.Note("the store answers %s again, %.1f s after the beginning", g1.Name, time.Since(cutAt).Seconds())
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, u := range e.uses {
		if u.tenant != u.made && u.at.After(acknowledged.Add(configBound)) {
			broken++
			rig.Note("WALL: %s used part %s, made by %s, %.1f s after the acknowledgement that zibo746 is isolated", u.tenant, u.part, u.made, u.at.Sub(acknowledged).Seconds())
		}
	}
	rig.Note("%d requests served after the change, rule broken %d times", served, broken)
	return broken, nil
}
