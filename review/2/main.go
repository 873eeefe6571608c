// Command 2 shows that requests use the cached parts that another tenant's requests made, though the configuration in force isolates that tenant.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/egrethoist/egrethoist/review/harness"
)

const (
	engines      = 6
	capacity     = 200_000 // tokens of the KV-cache store
	partTokens   = 704
	parts        = 40
	requestEvery = 30 * time.Millisecond
	before       = 8 * time.Second
	apply        = 4 * time.Second // twice configApplyMs
	after        = 6 * time.Second
	events       = 4
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
	d, err := harness.NewDeployment(harness.DeploymentOptions{Case: "2", Engines: engines, StoreCapacity: capacity})
	if err != nil {
		return 0, err
	}
	defer d.Close()
	rng := rand.New(rand.NewPCG(1, 1))
	load := func(length time.Duration, tenant string) bool {
		for end := time.Now().Add(length); time.Now().Before(end); {
			d.Plan(ctx, tenant, rng.IntN(len(d.Gateways)), fmt.Sprintf("%x", 0xc000+rng.IntN(parts)), fmt.Sprintf("%x", 1<<40+rng.Int64N(1<<30)), partTokens, events)
			if harness.Done(ctx, requestEvery) {
				return false
			}
		}
		return true
	}
	first, second := harness.Tenants[0], harness.Tenants[1]
	if harness.Done(ctx, 2*time.Second) || !load(before, first) {
		return 0, ctx.Err()
	}
	d.Callers.Wait()
	d.Config.Version = 5
	if trouble {
		d.Config.Workspaces[0].Isolated = true
	}
	d.Operator.Configure(d.Config)
	d.Record.Printf("configuration 5 is acknowledged; tenant %s is isolated: %t", first, trouble)
	if harness.Done(ctx, apply) {
		return 0, ctx.Err()
	}
	if trouble {
		d.Directory.Isolate(first)
	}
	d.Record.Printf("requests from here on are judged")
	if !load(after, second) {
		return 0, ctx.Err()
	}
	d.Callers.Wait()
	if err := d.CheckGateways("configuration in force"); err != nil {
		return 0, err
	}
	return d.Verdict("WALL", trouble)
}
