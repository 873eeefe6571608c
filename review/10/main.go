// Command 10 shows whether a tenant that has become isolated still uses the KV cache of others at an instance that cannot read the store. It
// exits with 1 if it does, 0 if not, and 2 if the case could not run.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/egrethoist/egrethoist/platform/standin"
)

const (
	modelName = "daka510000"
	hostName  = "pule25.example"
	// configBound is the time after which a configuration must be in force: configApplyMs, and skewMaxMs while the store is in disruption.
	configBound = 7 * time.Second
	cutLength   = 9 * time.Second
)

var (
	began  = time.Now()
	logMu  sync.Mutex
	record *os.File
)

func note(format string, a ...any) {
	logMu.Lock()
	defer logMu.Unlock()
	line := fmt.Sprintf("%8.3f  ", time.Since(began).Seconds()) + fmt.Sprintf(format, a...)
	fmt.Fprintln(record, line)
	fmt.Println(line)
}

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
		writeJSON(w, map[string]any{"stage": "colocated", "models": []any{map[string]any{"name": modelName, "version": 1, "adapters": []string{}}}, "busy": false, "seq": 0, "queued": 0, "running": 0, "kvUsed": 0, "kvTotal": 90000, "handles": 0, "born": e.born})
		return
	case "/egrethoist/kv-events":
		select {
		case <-r.Context().Done():
		case <-time.After(500 * time.Millisecond):
		}
		writeJSON(w, map[string]any{"epoch": 7, "next": 1, "lost": false, "events": []any{}, "clock_ms": time.Now().UnixMilli(), "born": e.born})
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
			note("engine: request %s of %s uses part %s, made by %s, salt %q", r.Header.Get("Attempt-Id"), tenant, part, made, salt)
		} else {
			e.cache[key] = tenant
			note("engine: request %s of %s reads part %s, salt %q", r.Header.Get("Attempt-Id"), tenant, part, salt)
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

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

// heartbeat writes the entry of the engine.
func (e *engine) heartbeat(store *standin.MetaStore, seq int) {
	raw, _ := json.Marshal(map[string]any{
		"service": "lode27a", "address": e.address, "zone": "meseta-a", "version": "v1", "slots": 64, "state": "ready", "coldMs": 0, "seq": seq, "born": e.born,
		"stage": "colocated", "models": []any{map[string]any{"name": modelName, "version": 1, "adapters": []string{}}},
	})
	store.Put("servers/"+e.id, raw)
}

// link is a proxy that can hold back everything, as for a machine that the store does not answer.
type link struct {
	address string
	cut     atomic.Bool
}

func newLink(backend string) (*link, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &link{address: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				s, err := net.Dial("tcp4", backend)
				if err != nil {
					_ = c.Close()
					return
				}
				pipe := func(to, from net.Conn) {
					b := make([]byte, 32<<10)
					for {
						n, err := from.Read(b)
						for k.cut.Load() {
							time.Sleep(20 * time.Millisecond)
						}
						if n > 0 {
							if _, err := to.Write(b[:n]); err != nil {
								break
							}
						}
						if err != nil {
							break
						}
					}
					_ = to.Close()
					_ = from.Close()
				}
				go pipe(s, c)
				pipe(c, s)
			}()
		}
	}()
	return k, nil
}

type gateway struct {
	name, front, ready string
	link               *link
	process            *exec.Cmd
}

// freePorts returns a port from which 30 on are free at an address.
func freePorts(ip string) (int, error) {
	for base := 21000; base < 60000; base += 37 {
		free := true
		for p := base; p < base+30 && free; p++ {
			l, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, p))
			if free = err == nil; free {
				_ = l.Close()
			}
		}
		if free {
			return base, nil
		}
	}
	return 0, fmt.Errorf("no free ports at %s", ip)
}

func startGateway(n int, dir, program, store string) (*gateway, error) {
	ip := fmt.Sprintf("127.0.71.%d", n)
	base, err := freePorts(ip)
	if err != nil {
		return nil, err
	}
	k, err := newLink(store)
	if err != nil {
		return nil, err
	}
	g := &gateway{name: fmt.Sprintf("front-meseta-a-%d", n), front: fmt.Sprintf("%s:%d", ip, base), ready: fmt.Sprintf("%s:%d", ip, base+1), link: k}
	lines := []string{
		"nodeName=" + g.name, "role=entry", "machineClass=front", "serves=front", "ip=" + ip, "zone=meseta-a", "region=meseta-central", "zones.meseta-a=meseta-central",
		"listen.front=" + g.front, "listen.ready=" + g.ready, fmt.Sprintf("portRange=%d,%d", base+5, base+20), "bootstrap=true", "limits.cpuShare=0.304", "limits.cores=1",
		"limits.memoryMb=134", "limits.maxFds=4100", "limits.linkMbps=1000.0", "discovery=platform", "entry=vip", "heartbeatMs=1200",
		"contracts=base,drain,config,cost,retry,recover,kvcache,stream,engine,tenants,places,platform", "bounds.contactMs=3000", "bounds.drainMs=2000", "bounds.graceS=8",
		"bounds.configApplyMs=2000", "bounds.skewMaxMs=5000", "bounds.revokeFailClosed=false", "bounds.retryBudgetRatio=0.2", "bounds.budgetWindowS=10", "bounds.retryBudgetExtra=58",
		"bounds.coldOver=1.5", "bounds.coldSlack=5", "bounds.evacMs=5000", "bounds.fencingEnforced=true", "bounds.leaseMs=3000", "bounds.versionMs=10000",
		"platform.address=" + k.address, "platform.form=kv", "platform.writesPerS=400", "platform.readsPerS=2000", "platform.historyS=20", "platform.valueBytes=1048576", "platform.ttlMinMs=1000",
	}
	file := filepath.Join(dir, g.name+".conf")
	if err := os.WriteFile(file, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		return nil, err
	}
	output, err := os.Create(filepath.Join(dir, g.name+".log"))
	if err != nil {
		return nil, err
	}
	g.process = exec.Command(program)
	g.process.Env = append(os.Environ(), "EGRETHOIST_NODE_FILE="+file)
	g.process.Stdout, g.process.Stderr = output, output
	return g, g.process.Start()
}

// call sends a request of a tenant to a gateway and reports whether it was answered whole.
func call(g *gateway, id, key, prefix string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.front+"/puxa400/2f", strings.NewReader("prompt"))
	req.Host = hostName
	for name, value := range map[string]string{"Attempt-Id": id, "Model": modelName, "Token-Usage": "1460,80", "Prompt-Prefix": prefix, "Deadline-Ms": "4000", "Authorization": "Bearer " + key} {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		note("client: request %s with %s: %v", id, key, err)
		return false
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	note("client: request %s with %s: %d, %d bytes, %v", id, key, resp.StatusCode, len(body), err)
	return err == nil && resp.StatusCode == http.StatusOK
}

func awaitReady(g *gateway) error {
	for range 100 {
		if resp, err := http.Get("http://" + g.ready + "/egrethoist/ready"); err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("%s is not ready", g.name)
}

func main() {
	code, err := run(os.Getenv("TROUBLE") != "0", os.Args[1], os.Args[2])
	if err != nil {
		fmt.Println("could not run:", err)
		code = 2
	}
	os.Exit(code)
}

func run(trouble bool, program, recordFile string) (code int, err error) {
	if record, err = os.Create(recordFile); err != nil {
		return 2, err
	}
	defer record.Close()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return 2, err
	}
	defer os.RemoveAll(dir)
	store := standin.NewMetaStore()
	storeListener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return 2, err
	}
	go func() { _ = http.Serve(storeListener, store) }()
	engineListener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return 2, err
	}
	e := &engine{id: "i-7f3a91c2", address: engineListener.Addr().String(), born: time.Now().Add(-time.Minute).UnixMilli(), cache: map[string]string{}}
	go func() { _ = http.Serve(engineListener, e) }()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	e.heartbeat(store, 1)
	go func() {
		for seq := 2; ctx.Err() == nil; seq++ {
			time.Sleep(1200 * time.Millisecond)
			e.heartbeat(store, seq)
		}
	}()
	config := standin.Config{
		Version: 3, Limits: standin.Limits{HeaderBytes: 16384, BodyBytes: 4194304, HeaderMs: 5000, IdleMs: 15000},
		Routes:     []standin.Route{{Name: "r-1", Host: hostName, Prefix: "/puxa400/", Kind: "streaming", TimeoutMs: 4000, TargetLatencyMs: 1000, Service: "lode27a", MaxAttempts: 2, Resumable: true, StickySessions: true}},
		Services:   []standin.Service{{Name: "lode27a", MaxConns: 370, ColdStartS: 3, ColdPerS: 12, Engine: &standin.Engine{Slots: 64, CapacityTokens: 80086, MaxReaders: 12, Models: []standin.Model{{Name: modelName}}}}},
		Workspaces: []standin.Workspace{{Name: "jeye930", Keys: []string{"key-jeye930"}}, {Name: "zibo746", Keys: []string{"key-zibo746"}}},
	}
	operator := standin.Operator{Store: store}
	operator.Configure(config)
	operator.SetWeightVersion(modelName, 1)
	var gateways []*gateway
	defer func() {
		for _, g := range gateways {
			_ = g.process.Process.Kill()
			_ = g.process.Wait()
		}
	}()
	for n := 1; n <= 2; n++ {
		g, err := startGateway(n, dir, program, storeListener.Addr().String())
		if err != nil {
			return 2, err
		}
		gateways = append(gateways, g)
	}
	for _, g := range gateways {
		if err := awaitReady(g); err != nil {
			return 2, err
		}
	}
	time.Sleep(8 * time.Second) // calm: the engine is warm, and the scope that tenants share is recorded
	g1, g2 := gateways[0], gateways[1]
	if !call(g1, "a001", "key-jeye930", "5c1e07a2:800,91bd3f06:410,e4402b7d:250") || !call(g1, "a002", "key-zibo746", "5c1e07a2:800,91bd3f06:410,e4402b7e:250") {
		return 2, fmt.Errorf("a request was not served in calm")
	}
	cutAt := time.Now()
	if trouble {
		note("trouble: %s is killed, the store gives %s no answer any more", g2.name, g1.name)
		_ = g2.process.Process.Kill()
		g1.link.cut.Store(true)
	}
	time.Sleep(300 * time.Millisecond)
	config.Version, config.Workspaces = 8, []standin.Workspace{{Name: "jeye930", Keys: []string{"key-jeye930"}}, {Name: "zibo746", Keys: []string{"key-zibo746"}, Isolated: true}}
	operator.Configure(config)
	acknowledged := time.Now()
	note("operator: version 8, in which zibo746 is isolated, is acknowledged")
	time.Sleep(configBound + 300*time.Millisecond)
	served := 0
	for i := 0; time.Since(cutAt) < cutLength-400*time.Millisecond && i < 4; i++ {
		prefix := fmt.Sprintf("5c1e07a2:800,%08x:410,", 0x91bd4000+i)
		for j, key := range []string{"key-jeye930", "key-zibo746"} {
			if call(g1, fmt.Sprintf("b%d%02d", j, i), key, prefix+fmt.Sprintf("%08x:250", 0xe4410000+16*i+j)) {
				served++
			}
		}
	}
	if trouble {
		g1.link.cut.Store(false)
		note("the store answers %s again, %.1f s after the beginning", g1.name, time.Since(cutAt).Seconds())
	}
	broken := 0
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, u := range e.uses {
		if u.tenant != u.made && u.at.After(acknowledged.Add(configBound)) {
			broken++
			note("WALL: %s used part %s, made by %s, %.1f s after the acknowledgement that zibo746 is isolated", u.tenant, u.part, u.made, u.at.Sub(acknowledged).Seconds())
		}
	}
	note("%d requests served after the change, rule broken %d times", served, broken)
	if broken > 0 {
		return 1, nil
	}
	return 0, nil
}
