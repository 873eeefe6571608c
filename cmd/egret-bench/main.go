// Command egret-bench is the load and experiment tool.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/integrii/flaggy"
	"k8s.io/klog/v2"

	"github.com/egrethoist/egrethoist/internal/bench"
)

const version = "0.1.0"

// Exit codes.
const (
	exitViolation = 1
	exitFailed    = 2
)

func main() {
	opts := bench.Options{Customer: "loblolly", Seed: 1, Progress: os.Stderr}
	var name, duration, output, report string
	output = "json"
	flaggy.SetName("egret-bench")
	flaggy.SetDescription("runs experiments: " + names())
	flaggy.SetVersion(version)
	flaggy.AddPositionalValue(&name, "experiment", 1, true, "name of the experiment, or all")
	flaggy.String(&opts.Customer, "c", "customer", "loblolly or sangam")
	flaggy.UInt64(&opts.Seed, "s", "seed", "seed of arrivals, choices and faults")
	flaggy.String(&duration, "d", "duration", "length of the load, such as 10s (default: the experiment's own)")
	flaggy.String(&output, "o", "output", "json or text")
	flaggy.String(&report, "r", "report", "file to write the report to, besides standard output")
	flaggy.String(&opts.Plots, "p", "plots", "directory for SVG plots of the sweeps of returns; without it no sweeps are run")
	flaggy.StringSlice(&opts.Targets, "t", "target", "base URL of a running entry, for mix; may be repeated")
	flaggy.String(&opts.Key, "k", "key", "API key towards the targets")
	flaggy.Parse()
	if len(opts.Targets) > 0 && (opts.Key == "" || name != "mix") {
		fmt.Fprintln(os.Stderr, "egret-bench: --target goes with the experiment mix and needs --key")
		os.Exit(exitFailed)
	}
	quietLogs()
	if duration != "" {
		d, err := time.ParseDuration(duration)
		if err != nil || d <= 0 {
			fmt.Fprintf(os.Stderr, "egret-bench: duration %q is not a positive duration\n", duration)
			os.Exit(exitFailed)
		}
		opts.Duration = d
	}
	if output != "json" && output != "text" {
		fmt.Fprintf(os.Stderr, "egret-bench: output %q is neither json nor text\n", output)
		os.Exit(exitFailed)
	}
	os.Exit(run(name, opts, output, report))
}

func names() string {
	out := ""
	for _, e := range bench.Experiments() {
		out += e.Name + ", "
	}
	return out + bench.Slopes().Name + ", all"
}

// quietLogs keeps the lines of the processes under test away from the report.
func quietLogs() {
	var flags flag.FlagSet
	klog.InitFlags(&flags)
	flags.Set("logtostderr", "false")
	flags.Set("alsologtostderr", "false")
	flags.Set("stderrthreshold", "FATAL")
	klog.SetOutput(io.Discard)
}

func run(name string, opts bench.Options, output, file string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	experiments := bench.Experiments()
	if name != "all" {
		e, err := bench.Find(name)
		if err != nil {
			fmt.Fprintln(os.Stderr, "egret-bench:", err)
			return exitFailed
		}
		experiments = []bench.Experiment{e}
	}
	code := 0
	for _, e := range experiments {
		r, err := e.Run(ctx, opts)
		if err != nil {
			fmt.Fprintf(os.Stderr, "egret-bench: %s: %v\n", e.Name, err)
			return exitFailed
		}
		if !r.OK {
			code = exitViolation
		}
		if err := print(r, output, file); err != nil {
			fmt.Fprintln(os.Stderr, "egret-bench:", err)
			return exitFailed
		}
	}
	return code
}

func print(r *bench.Report, output, file string) error {
	text := []byte(r.Text())
	if output == "json" {
		var err error
		if text, err = json.MarshalIndent(r, "", "  "); err != nil {
			return err
		}
		text = append(text, '\n')
	}
	if _, err := os.Stdout.Write(text); err != nil {
		return err
	}
	if file == "" {
		return nil
	}
	f, err := os.OpenFile(file, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return err
	}
	defer f.Close()
	_, err = f.Write(text)
	return err
}
