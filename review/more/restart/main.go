// Command restart shows that gateways which have not noticed a short restart of a KV-cache store save parts to it, while others that have not
// noticed it either have requests fetch these parts.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/egrethoist/egrethoist/review/harness"
)

const (
	engines      = 12
	capacity     = 900_000 // tokens of the KV-cache store
	partTokens   = 704
	restarts     = 8
	down         = 600 * time.Millisecond
	between      = 7 * time.Second
	newPartEvery = 100 * time.Millisecond
	shortEvents  = 4
)

func main() {
	code, err := run()
	if err != nil {
		fmt.Fprintln(os.Stderr, "case could not run:", err)
		code = harness.ExitNotRun
	}
	os.Exit(code)
}

func run() (int, error) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	trouble := os.Getenv("TROUBLE") != "0"
	d, err := harness.NewDeployment(harness.DeploymentOptions{Case: "more/restart", Engines: engines, StoreCapacity: capacity})
	if err != nil {
		return 0, err
	}
	defer d.Close()
	if harness.Done(ctx, 2*time.Second) {
		return 0, ctx.Err()
	}
	rng := rand.New(rand.NewPCG(1, 1))
	var mu sync.Mutex
	burst := func(zone, part, n int) {
		for range n {
			mu.Lock()
			own := fmt.Sprintf("%x", 1<<40+rng.Int64N(1<<30))
			mu.Unlock()
			d.Plan(ctx, harness.Tenants[0], zone, fmt.Sprintf("%x", 0xc000+part), own, partTokens, shortEvents)
		}
	}
	begun := time.Now()
	done, part := 0, 0
	for time.Since(begun) < (restarts+1)*between {
		part++
		p := part
		burst(0, p, 4) // a document that is new in one zone
		for _, later := range []time.Duration{1200 * time.Millisecond, 1350 * time.Millisecond} {
			time.AfterFunc(later, func() { // and popular in the others soon after
				burst(1, p, 8)
				burst(2, p, 8)
			})
		}
		if harness.Done(ctx, newPartEvery) {
			return 0, ctx.Err()
		}
		if trouble && time.Since(begun) > time.Duration(done+1)*between {
			done++
			d.Record.Printf("the KV-cache store falls silent, and comes back empty after %v", down)
			d.Link.Silence()
			go func() {
				d.Parts.Restart(down)
				d.Link.Restore()
				d.Record.Printf("the KV-cache store is back")
			}()
		}
	}
	time.Sleep(1500 * time.Millisecond)
	d.Callers.Wait()
	if err := d.CheckGateways("KV-cache store"); err != nil {
		return 0, err
	}
	return d.Verdict("MIXED", trouble)
}
