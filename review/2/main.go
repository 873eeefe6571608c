// Command 2 shows that the cached prompts of a tenant stay open to other tenants after a configuration has isolated it.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/egrethoist/egrethoist/platform/standin"
	"github.com/egrethoist/egrethoist/review/harness"
)

const (
	engines       = 4
	storeCapacity = 400_000
	sharedParts   = 6
	partTokens    = 8610
	events        = 6
	requestEvery  = 40 * time.Millisecond
	startTime     = 10 * time.Second
	// applyTime is configApplyMs and a margin.
	applyTime = 3 * time.Second
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
	d, err := harness.NewDeployment(harness.DeploymentOptions{Case: "2", Engines: engines, StoreCapacity: storeCapacity})
	if err != nil {
		return 0, err
	}
	defer d.Close()
	registered := func() bool {
		for _, g := range d.Gateways {
			if _, ok := d.Meta.Lookup("egret/instances/" + g.Name); !ok {
				return false
			}
		}
		return true
	}
	for end := time.Now().Add(startTime); !registered(); {
		if time.Now().After(end) {
			return 0, fmt.Errorf("the gateways have not started")
		}
		if harness.Done(ctx, 50*time.Millisecond) {
			return 0, ctx.Err()
		}
	}
	if harness.Done(ctx, 3*time.Second) {
		return 0, ctx.Err()
	}
	n := 0
	// load sends a tenant's requests. Their prompts begin with one of some parts that many requests share.
	load := func(tenant string, length time.Duration) bool {
		for end := time.Now().Add(length); time.Now().Before(end); {
			n++
			d.Plan(ctx, tenant, n%len(d.Gateways), fmt.Sprintf("5c1e%02x", n%sharedParts), fmt.Sprintf("own%06x", n), partTokens, events)
			if harness.Done(ctx, requestEvery) {
				return false
			}
		}
		return true
	}
	const owner, other = "mill", "buyer"
	if !load(owner, 3*time.Second) {
		return 0, ctx.Err()
	}
	d.Callers.Wait()
	next := d.Config
	next.Version = 4
	next.Workspaces = nil
	for _, name := range harness.Tenants {
		next.Workspaces = append(next.Workspaces, standin.Workspace{Name: name, Keys: []string{"key-" + name}, Isolated: trouble && name == owner})
	}
	d.Operator.Configure(next)
	d.Record.Printf("configuration %d is acknowledged; %s is isolated: %t", next.Version, owner, trouble)
	if harness.Done(ctx, applyTime) {
		return 0, ctx.Err()
	}
	if trouble {
		d.Directory.Isolate(owner)
	}
	d.Record.Printf("requests from here on are judged")
	if !load(other, 3*time.Second) {
		return 0, ctx.Err()
	}
	d.Callers.Wait()
	if err := d.CheckGateways("configuration in force"); err != nil {
		return 0, err
	}
	return d.Verdict("WALL", trouble)
}
