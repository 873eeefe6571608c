// Command egret-dev runs a whole system on loopback in one process, with stand-ins for the targets.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"syscall"
	"time"

	"github.com/integrii/flaggy"
	"github.com/oklog/run"

	"github.com/egrethoist/egrethoist/internal/dev"
)

const version = "0.1.0"

func main() {
	opts := dev.Options{Entries: 2}
	once := false
	flaggy.SetName("egret-dev")
	flaggy.SetDescription("runs a whole system on loopback with stand-ins for its targets")
	flaggy.SetVersion(version)
	flaggy.String(&opts.Manifest, "m", "manifest", "manifest to apply (default: the Loblolly sample)")
	flaggy.Int(&opts.Entries, "e", "entries", "number of entry instances")
	flaggy.Bool(&once, "", "once", "run one scenario, print what happened as JSON and exit")
	flaggy.Parse()
	if err := start(opts, once); err != nil {
		fmt.Fprintln(os.Stderr, "egret-dev:", err)
		os.Exit(1)
	}
}

const startLimit = time.Minute

func start(opts dev.Options, once bool) error {
	f, report, err := dev.Start(opts)
	if err != nil {
		return err
	}
	defer f.Close()
	ctx, cancel := context.WithTimeout(context.Background(), startLimit)
	defer cancel()
	if err := f.WaitReady(ctx); err != nil {
		return err
	}
	if once {
		return runOnce(ctx, f, report)
	}
	fmt.Println(f.Help())
	var g run.Group
	g.Add(run.SignalHandler(context.Background(), os.Interrupt, syscall.SIGTERM))
	if err := g.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "egret-dev:", err)
	}
	return nil
}

func runOnce(ctx context.Context, f *dev.Fleet, report *dev.Report) error {
	dev.Run(ctx, f, report)
	out := json.NewEncoder(os.Stdout)
	out.SetIndent("", "  ")
	if err := out.Encode(report); err != nil {
		return err
	}
	if !report.OK {
		return fmt.Errorf("%d checks failed", len(report.Failures))
	}
	return nil
}
