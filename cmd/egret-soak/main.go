// Command egret-soak runs the gateway as real processes under randomized faults and checks that the platform's guarantees hold.
// It prints one line per seed, and for a seed with violations also the faults and the violations. It exits with status 1 if any
// seed fails or the command is interrupted.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/integrii/flaggy"

	"github.com/egrethoist/egrethoist/internal/soak"
)

func main() {
	o := soak.Options{Length: 45 * time.Second, Program: "target/egret-gateway", Instances: 4, Engines: 6, Plain: 3, Stores: 2, Callers: 24, Dir: os.TempDir()}
	seeds, parallel := 1, 1
	flaggy.SetName("egret-soak")
	flaggy.SetDescription("runs real gateways under randomized faults and checks what callers and targets see")
	flaggy.UInt64(&o.Seed, "s", "seed", "first seed")
	flaggy.Int(&seeds, "n", "seeds", "number of seeds, one after the other")
	flaggy.Int(&parallel, "p", "parallel", "seeds played side by side")
	flaggy.Duration(&o.Length, "l", "length", "length of a run")
	flaggy.String(&o.Program, "", "program", "the gateway's binary")
	flaggy.Int(&o.Instances, "", "instances", "gateway processes")
	flaggy.Int(&o.Engines, "", "engines", "model engines")
	flaggy.Int(&o.Plain, "", "plain", "targets of each plain service")
	flaggy.Int(&o.Callers, "", "callers", "callers")
	flaggy.StringSlice(&o.Faults, "", "fault", "kind of fault, for each that is to be injected; default: all")
	flaggy.String(&o.Dir, "", "dir", "folder for the logs of runs with a broken promise")
	flaggy.Parse()

	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	var failed atomic.Int64
	var next atomic.Uint64
	var all sync.WaitGroup
	for range parallel {
		all.Go(func() {
			for ctx.Err() == nil {
				i := next.Add(1) - 1
				if i >= uint64(seeds) {
					return
				}
				if !runSeed(ctx, o, o.Seed+i) {
					failed.Add(1)
				}
			}
		})
	}
	all.Wait()
	fmt.Printf("%d seeds, %d with a broken promise\n", seeds, failed.Load())
	if failed.Load() > 0 || ctx.Err() != nil {
		os.Exit(1)
	}
}

// runSeed runs one seed, prints its result and reports whether it passed.
func runSeed(ctx context.Context, o soak.Options, seed uint64) bool {
	o.Seed = seed
	var faults []string
	o.OnFault = func(text string) { faults = append(faults, text) }
	r, err := soak.Run(ctx, o)
	if err != nil {
		fmt.Printf("seed %d: %v\n", seed, err)
		return false
	}
	fmt.Printf("seed %d: %d faults, %d requests, %d served, %d refused, %d failed, %d of %d streams went on, %d sent at stops, %d stalls, broken: %v\n", seed, r.Faults, r.Requests, r.Served, r.Refused, r.Failed, r.WentOn, r.TakeUps,
		r.AtStops, r.Stalls, r.Rules)
	if len(r.ErrorLines) > 0 {
		fmt.Println("  lines of level ERROR in the logs:", r.ErrorLines)
	}
	if len(r.Violations) == 0 {
		return true
	}
	if len(r.Lost) > 0 {
		fmt.Println("  LOST by the use of the connection:", r.Lost)
	}
	for _, text := range faults {
		fmt.Println("  fault", text)
	}
	for _, v := range r.Violations {
		fmt.Printf("  %6.2fs %s: %s\n", v.At.Seconds(), v.Rule, v.Text)
	}
	fmt.Println("  logs:", r.Logs)
	return false
}
