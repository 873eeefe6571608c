// Command 3 shows that an unanswered publication of the rollout state, which the platform's store executes late, makes gateways fetch parts
// that the rollout leader frees.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/egrethoist/egrethoist/review/harness"
)

const (
	engines      = 12
	capacity     = 60_000 // tokens of the KV-cache store
	partTokens   = 704
	partsBefore  = 36 // shared parts that callers ask for before the version is named
	partsAfter   = 100
	warmUp       = 8 * time.Second
	rolloutTime  = 15 * time.Second // observed after the version is named
	lateBy       = 4 * time.Second
	requestEvery = 5 * time.Millisecond
	shortEvents  = 4
	longEvents   = 3300 // of 4 ms each
	transfer     = 0    // nothing besides what the stand-in takes, 60 ms
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
	d, err := harness.NewDeployment(harness.DeploymentOptions{Case: "3", Engines: engines, StoreCapacity: capacity, Transfer: transfer})
	if err != nil {
		return 0, err
	}
	defer d.Close()
	var armed, lost atomic.Bool
	d.Meta.SetLose(func(keys map[string][]byte) (time.Duration, bool) {
		var state struct{ Loading []string }
		value, ok := keys["egret/loading"]
		if !ok || json.Unmarshal(value, &state) != nil || len(state.Loading) == 0 || !armed.Load() || !lost.CompareAndSwap(false, true) {
			return 0, false
		}
		return lateBy, true
	})
	rng := rand.New(rand.NewPCG(1, 1))
	request := func(pool, events int) {
		d.Plan(ctx, harness.Tenants[0], rng.IntN(len(d.Gateways)), fmt.Sprintf("%x", 0xc000+rng.IntN(pool)), fmt.Sprintf("%x", 1<<40+rng.Int64N(1<<30)), partTokens, events)
	}
	load := func(length time.Duration, pool int) bool {
		for end := time.Now().Add(length); time.Now().Before(end); {
			request(pool, shortEvents)
			if harness.Done(ctx, requestEvery) {
				return false
			}
		}
		return true
	}
	if harness.Done(ctx, 2*time.Second) || !load(warmUp, partsBefore) {
		return 0, ctx.Err()
	}
	for range 3 * engines { // long plans, which engines finish before they load other weights
		request(partsBefore, longEvents)
	}
	if !load(500*time.Millisecond, partsBefore) {
		return 0, ctx.Err()
	}
	d.Record.Printf("weights 2 are named")
	armed.Store(trouble)
	d.Operator.SetWeightVersion(harness.Model, 2)
	if !load(rolloutTime, partsAfter) {
		return 0, ctx.Err()
	}
	d.Callers.Wait()
	if err := d.CheckGateways("parts of retired weights freed"); err != nil {
		return 0, err
	}
	if trouble && !lost.Load() {
		return 0, errors.New("no publication to lose")
	}
	return d.Verdict("MIXED", trouble)
}
