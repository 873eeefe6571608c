// Command token shows that two gateways give orders under one fencing token after a drill of the metadata store, which comes back from a copy.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/egrethoist/egrethoist/platform/standin"
	"github.com/egrethoist/egrethoist/review/harness"
)

const (
	lockKey  = "egret/locks/orders"
	service  = "planner"
	model    = "m"
	engines  = 4
	loadTime = 1800 * time.Millisecond
	away     = 700 * time.Millisecond
	// startTime is the time in which the gateways must have started, and given the first order.
	startTime = 10 * time.Second
)

func main() {
	code, err := run()
	if err != nil {
		fmt.Fprintln(os.Stderr, "case could not run:", err)
		code = harness.ExitNotRun
	}
	os.Exit(code)
}

// check knows which holders have given orders to each engine under each fencing token.
type check struct {
	mu      sync.Mutex
	record  *harness.Record
	holders map[string][]string // by engine and token
	tokens  []uint64
	orders  int
	broken  []string
}

func (c *check) ordered(e *harness.Engine, holder string, token uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.orders++
	c.tokens = append(c.tokens, token)
	key := fmt.Sprintf("%s %d", e.ID, token)
	if slices.Contains(c.holders[key], holder) {
		return
	}
	c.holders[key] = append(c.holders[key], holder)
	if len(c.holders[key]) == 2 {
		c.broken = append(c.broken, fmt.Sprintf("engine %s gets orders of %s and %s under fencing token %d", e.ID, c.holders[key][0], c.holders[key][1], token))
		c.record.Printf("RULE ONE: %s", c.broken[len(c.broken)-1])
	}
}

func (c *check) firstToken() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.tokens) == 0 {
		return 0
	}
	return c.tokens[0]
}

func run() (int, error) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	trouble := os.Getenv("TROUBLE") != "0"
	dir, err := os.MkdirTemp("", "review-token-")
	if err != nil {
		return 0, err
	}
	defer os.RemoveAll(dir)
	record, err := harness.NewRecord(filepath.Join("review", "more", "token", "record.txt"))
	if err != nil {
		return 0, err
	}
	defer record.Close()
	c := &check{record: record, holders: map[string][]string{}}
	store := harness.NewDrillStore(record)
	address, err := harness.Serve(store)
	if err != nil {
		return 0, err
	}
	store.Put("op/config", standin.Config{
		Version: 3, Limits: standin.Limits{HeaderBytes: 16384, BodyBytes: 1 << 20, HeaderMs: 3000, IdleMs: 30000},
		Services: []standin.Service{
			{Name: service, MaxConns: 620, Engine: &standin.Engine{Slots: 128, CapacityTokens: 130_000, MaxReaders: 1, Models: []standin.Model{{Name: model}}}},
			{Name: "dispatch", MaxConns: 110},
		},
		Routes: []standin.Route{{Name: "plan", Host: "plans.example", Prefix: "/plan/", Kind: "streaming", TimeoutMs: 15000, TargetLatencyMs: 800, Service: service, MaxAttempts: 2, Resumable: true, StickySessions: true}},
	})
	for i := range engines {
		e := &harness.Engine{ID: fmt.Sprintf("i-%02d", i), Zone: harness.Zones[i%3], Service: service, Model: model, LoadTime: loadTime, Record: record, OnOrder: c.ordered}
		if err := harness.StartEngine(store, e); err != nil {
			return 0, err
		}
	}
	plain := &harness.PlainServer{ID: "i-90", Service: "dispatch", Zone: harness.Zones[0], Record: record}
	if err := harness.StartPlainServer(store, plain); err != nil {
		return 0, err
	}
	if harness.Done(ctx, 2*time.Second) {
		return 0, ctx.Err()
	}
	var gateways []*harness.Gateway
	addGateway := func(zone string) error {
		g, err := harness.StartGateway(dir, fmt.Sprintf("front-%s-%d", zone, len(gateways)+1), zone, address)
		if err != nil {
			return err
		}
		gateways = append(gateways, g)
		return nil
	}
	defer func() {
		for _, g := range gateways {
			g.Kill()
		}
	}()
	copied := time.Now() // the copy is as old as this: some seconds at the drill
	for i := range 4 {
		if err := addGateway(harness.Zones[i%len(harness.Zones)]); err != nil {
			return 0, err
		}
	}
	if !store.Await("egret/instances/", len(gateways), startTime) || !store.Await(lockKey, 1, startTime) {
		return 0, fmt.Errorf("the gateways have not started")
	}
	if harness.Done(ctx, time.Second) {
		return 0, ctx.Err()
	}
	store.Put("op/version/"+model, map[string]any{"model": model, "version": 2})
	first := uint64(0)
	for end := time.Now().Add(startTime); first == 0; first = c.firstToken() {
		if harness.Done(ctx, 100*time.Millisecond) || time.Now().After(end) {
			return 0, fmt.Errorf("no order before the drill")
		}
	}
	if harness.Done(ctx, time.Second) {
		return 0, ctx.Err()
	}
	drilled := make(chan struct{})
	go func() {
		defer close(drilled)
		if !trouble {
			return
		}
		store.Drill(away, time.Since(copied))
		// Servers change their entries at any time. Here one does so until the store is about to give out the revision of the old lock again.
		store.SetBeforeTxn(func(keys []string) {
			for slices.Contains(keys, lockKey) && store.Revision()+1 < first {
				plain.Report(store, "ready")
			}
		})
	}()
	if harness.Done(ctx, away/2) {
		return 0, ctx.Err()
	}
	if err := addGateway(harness.Zones[1]); err != nil { // a machine that starts meanwhile
		return 0, err
	}
	<-drilled
	if harness.Done(ctx, 5*time.Second) {
		return 0, ctx.Err()
	}
	store.Put("op/version/"+model, map[string]any{"model": model, "version": 3})
	if harness.Done(ctx, 15*time.Second) {
		return 0, ctx.Err()
	}
	for _, g := range gateways {
		for _, text := range []string{"\"lock ", "order to load weights", "metadata store"} {
			for _, line := range g.Log(text) {
				record.Printf("log of %s: %s", g.Name, line)
			}
		}
		if g.Unexpected.Load() {
			return 0, fmt.Errorf("gateway %s has ended by itself: %s", g.Name, g.LastLine())
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	slices.Sort(c.tokens)
	fmt.Printf("trouble %t: %d orders under the fencing tokens %v; ONE broken %d times\n", trouble, c.orders, slices.Compact(c.tokens), len(c.broken))
	for _, text := range c.broken {
		fmt.Println("  " + text)
	}
	if len(c.broken) > 0 {
		return harness.ExitBroken, nil
	}
	return harness.ExitHeld, nil
}
