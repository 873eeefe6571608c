// Command egret-standin serves stand-ins for the platform and for the targets of a manifest, for trials by hand
// with separate processes. It keeps nothing and must never serve real work.
package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"

	"github.com/integrii/flaggy"
	"github.com/oklog/run"

	"github.com/egrethoist/egrethoist/internal/manifest"
	"github.com/egrethoist/egrethoist/internal/mtls"
	"github.com/egrethoist/egrethoist/internal/standin"
)

const version = "0.1.0"

func main() {
	file, stores := "", standin.AllStores
	opts := standin.Options{KV: "127.0.0.1:7000", PortOffset: 1000, ListLag: 2 * time.Second}
	var keys mtls.Options
	flaggy.SetName("egret-standin")
	flaggy.SetDescription("serves stand-ins for the platform and for a manifest's targets. " +
		"A stand-in is for trials only: it keeps nothing, and its answers are made up")
	flaggy.SetVersion(version)
	flaggy.String(&file, "m", "manifest", "manifest whose targets are served")
	flaggy.String(&opts.KV, "k", "kv", "address of the platform's stand-in; empty serves none")
	flaggy.Int(&opts.PortOffset, "o", "port-offset", "a target listens so many ports above its sidecar; 0 serves none")
	flaggy.Float64(&opts.WritesPerSec, "", "writes", "writes a second that the key-value service takes; 0 is unbounded")
	flaggy.Float64(&opts.ReadsPerSec, "", "reads", "reads a second that the key-value service takes; 0 is unbounded")
	flaggy.Duration(&opts.ListLag, "", "list-lag", "lag of the instance list")
	flaggy.Int(&opts.MaxModelBatch, "", "batch", "requests that a fake engine runs at once; 0 takes the service's limit")
	flaggy.String(&stores, "", "stores", "kept-cache stores to serve, by name with commas between; all or none")
	flaggy.String(&keys.Cert, "", "tls-cert", "certificate of the platform and the stores; with it they speak mutual TLS")
	flaggy.String(&keys.Key, "", "tls-key", "its key")
	flaggy.String(&keys.CA, "", "tls-ca", "authorities of their peers")
	flaggy.Parse()
	if stores != "none" {
		opts.Stores = strings.Split(stores, ",")
	}
	if err := serve(file, opts, keys); err != nil {
		fmt.Fprintln(os.Stderr, "egret-standin:", err)
		os.Exit(1)
	}
}

// keysPeriod is the time between two readings of the TLS files.
const keysPeriod = time.Minute

func serve(file string, opts standin.Options, keys mtls.Options) error {
	src, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	w, errs := manifest.Parse(file, src)
	if errs != nil {
		return errs
	}
	var g run.Group
	if keys != (mtls.Options{}) {
		if opts.TLS, err = mtls.New(keys); err != nil {
			return err
		}
		ctx, cancel := context.WithCancel(context.Background())
		g.Add(func() error { return opts.TLS.Run(ctx, keysPeriod) }, func(error) { cancel() })
	}
	servers, err := standin.Listen(w, opts)
	if err != nil {
		return err
	}
	for _, s := range servers {
		fmt.Printf("%s at %s\n", s.Name, s.Listener.Addr())
		g.Add(s.Run, s.Stop)
	}
	g.Add(run.SignalHandler(context.Background(), os.Interrupt, syscall.SIGTERM))
	if err := g.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "egret-standin:", err)
	}
	return nil
}
