// Command 1 shows that gateways keep an old configuration for good after a drill of the metadata store, which comes back from a copy.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/egrethoist/egrethoist/platform/standin"
	"github.com/egrethoist/egrethoist/review/harness"
)

const (
	host         = "book.example"
	oldService   = "dispatch"
	newService   = "dispatch-next"
	revoked      = "guest"
	away         = 700 * time.Millisecond
	startTime    = 10 * time.Second // in which the gateways must have started
	requestEvery = 20 * time.Millisecond
	// configBound is the longest time in which the configuration must apply: configApplyMs, stretched by skewMaxMs as while the store is not stable.
	configBound = 7 * time.Second
	judged      = 8 * time.Second
)

func main() {
	code, err := run()
	if err != nil {
		fmt.Fprintln(os.Stderr, "case could not run:", err)
		code = harness.ExitNotRun
	}
	os.Exit(code)
}

// check counts the requests that are handled as only the older configuration allows.
type check struct {
	mu       sync.Mutex
	record   *harness.Record
	from     time.Time // requests sent from here on are judged; zero: none yet
	sent     map[string]time.Time
	judged   int
	broken   []string
	runByNew int
}

func (c *check) ran(s *harness.PlainServer, id, tenant string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.from.IsZero() || c.sent[id].Before(c.from) {
		return
	}
	c.judged++
	switch {
	case tenant == revoked:
		c.broken = append(c.broken, fmt.Sprintf("request %s is run by %s with a key that was taken away", id, s.ID))
	case s.Service == oldService:
		c.broken = append(c.broken, fmt.Sprintf("request %s is run by %s of the old service", id, s.ID))
	default:
		c.runByNew++
		return
	}
	c.record.Printf("RULE CONFIG: %s", c.broken[len(c.broken)-1])
}

func config(version uint64, service string, tenants ...string) standin.Config {
	c := standin.Config{
		Version: version, Limits: standin.Limits{HeaderBytes: 16384, BodyBytes: 1 << 20, HeaderMs: 3000, IdleMs: 30000},
		Services: []standin.Service{{Name: oldService, MaxConns: 110}, {Name: newService, MaxConns: 110}},
		Routes:   []standin.Route{{Name: "book", Host: host, Prefix: "/book/", Kind: "non_idempotent", TimeoutMs: 4000, TargetLatencyMs: 300, Service: service, MaxAttempts: 1}},
	}
	for _, name := range tenants {
		c.Workspaces = append(c.Workspaces, standin.Workspace{Name: name, Keys: []string{"key-" + name}})
	}
	return c
}

func run() (int, error) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	trouble := os.Getenv("TROUBLE") != "0"
	dir, err := os.MkdirTemp("", "review-1-")
	if err != nil {
		return 0, err
	}
	defer os.RemoveAll(dir)
	record, err := harness.NewRecord(filepath.Join("review", "1", "record.txt"))
	if err != nil {
		return 0, err
	}
	defer record.Close()
	c := &check{record: record, sent: map[string]time.Time{}}
	store := harness.NewDrillStore(record)
	address, err := harness.Serve(store)
	if err != nil {
		return 0, err
	}
	servers := 0
	addServer := func(service string) error {
		servers++
		return harness.StartPlainServer(store, &harness.PlainServer{
			ID: fmt.Sprintf("i-%02d", servers), Service: service, Zone: harness.Zones[servers%3], Record: record, OnRun: c.ran,
		})
	}
	store.Put("op/config", config(3, oldService, "mill", revoked))
	for range 3 {
		if err := addServer(oldService); err != nil {
			return 0, err
		}
		if err := addServer(newService); err != nil {
			return 0, err
		}
	}
	if harness.Done(ctx, 2*time.Second) {
		return 0, ctx.Err()
	}
	copied := time.Now() // the copy is as old as this: some seconds at the drill
	var gateways []*harness.Gateway
	for i, zone := range harness.Zones {
		g, err := harness.StartGateway(dir, fmt.Sprintf("front-%s-%d", zone, i), zone, address)
		if err != nil {
			return 0, err
		}
		defer g.Kill()
		gateways = append(gateways, g)
	}
	callers := harness.NewCallers(record)
	n := 0
	load := func(length time.Duration) bool {
		for end := time.Now().Add(length); time.Now().Before(end); {
			n++
			id := fmt.Sprintf("%016x", 0xb0000000+n)
			c.mu.Lock()
			c.sent[id] = time.Now()
			c.mu.Unlock()
			tenant := "mill"
			if n%5 == 0 {
				tenant = revoked
			}
			callers.SendAs(ctx, id, gateways[n%3].Front, standin.Call{Host: host, Path: "/book/x", Body: "{}", Key: "key-" + tenant, Patience: 4 * time.Second})
			if harness.Done(ctx, requestEvery) {
				return false
			}
		}
		return true
	}
	if !store.Await("egret/instances/", len(gateways), startTime) || !store.Await("egret/locks/", 1, startTime) {
		return 0, fmt.Errorf("the gateways have not started")
	}
	if harness.Done(ctx, 1200*time.Millisecond) || !load(500*time.Millisecond) {
		return 0, ctx.Err()
	}
	four := config(4, oldService, "mill", revoked)
	four.Routes[0].TimeoutMs = 3900
	store.Put("op/config", four)
	if !load(1500 * time.Millisecond) {
		return 0, ctx.Err()
	}
	if trouble {
		go store.Drill(away, time.Since(copied))
	}
	if !load(away + 500*time.Millisecond) {
		return 0, ctx.Err()
	}
	revision := store.Put("op/config", config(9, newService, "mill"))
	record.Printf("configuration 9 is acknowledged at revision %d: the route goes to %s, the key of %s is taken away", revision, newService, revoked)
	if !load(4 * time.Second) {
		return 0, ctx.Err()
	}
	for range 4 { // ordinary writes, by which the store's revision grows beyond the one that the gateways had
		if err := addServer(newService); err != nil {
			return 0, err
		}
	}
	if !load(configBound) {
		return 0, ctx.Err()
	}
	c.mu.Lock()
	c.from = time.Now()
	c.mu.Unlock()
	record.Printf("requests from here on are judged; the store is at revision %d", store.Revision())
	if !load(judged) {
		return 0, ctx.Err()
	}
	callers.Wait()
	for _, g := range gateways {
		for _, text := range []string{"metadata store", "configuration in force", "older than the known"} {
			for _, line := range g.Log(text) {
				record.Printf("log of %s: %s", g.Name, line)
			}
		}
		if g.Unexpected.Load() {
			return 0, fmt.Errorf("gateway %s has ended by itself: %s", g.Name, g.LastLine())
		}
	}
	fmt.Printf("trouble %t: %d requests sent, %d answered 200; of %d judged runs %d are by configuration 9; CONFIG broken %d times\n", trouble, callers.Sent.Load(), callers.OK.Load(), c.judged, c.runByNew, len(c.broken))
	for i, text := range c.broken {
		if i < 3 {
			fmt.Println("  " + text)
		}
	}
	if len(c.broken) > 0 {
		return harness.ExitBroken, nil
	}
	if c.judged == 0 {
		return 0, fmt.Errorf("no request is judged")
	}
	return harness.ExitHeld, nil
}
