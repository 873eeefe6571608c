package dev

import (
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/gravitational/trace"

	"github.com/egrethoist/egrethoist/examples"
	fakeengine "github.com/egrethoist/egrethoist/internal/fake/engine"
	"github.com/egrethoist/egrethoist/internal/fleet"
	"github.com/egrethoist/egrethoist/internal/httpclient"
	"github.com/egrethoist/egrethoist/internal/manifest"
	"github.com/egrethoist/egrethoist/internal/platform/memory"
	"github.com/egrethoist/egrethoist/internal/world"
)

// Options of a development system.
type Options struct {
	Manifest string // path; empty takes the Loblolly sample
	Entries  int
	Network  fleet.Network // nil is loopback
}

// Fleet is a development system with a caller's API key.
type Fleet struct {
	*fleet.Fleet
	Key    string
	client *http.Client // of the caller
}

// Start starts entries, sidecars and stand-ins for every target of the manifest.
func Start(opts Options) (*Fleet, *Report, error) {
	if opts.Entries < 1 {
		return nil, nil, trace.BadParameter("%d entries: at least one is needed", opts.Entries)
	}
	name, src, err := read(opts.Manifest)
	if err != nil {
		return nil, nil, err
	}
	w, errs := manifest.Parse(name, src)
	if errs != nil {
		return nil, nil, trace.Wrap(errs)
	}
	w.Revision.Number = 1
	if opts.Network == nil {
		opts.Network = fleet.Loopback{}
	}
	f, err := fleet.Start(fleet.Options{
		World:     w,
		FreePorts: true,
		Network:   opts.Network,
		KV:        memory.NewKV(memory.Options{}),
		Entries:   fleet.SpreadEntries(w, opts.Entries),
		Engine:    func(*world.Target) fakeengine.Options { return quickEngine() },
	})
	if err != nil {
		return nil, nil, err
	}
	report := &Report{
		Manifest: name,
		Revision: w.Revision.Number,
		Entries:  len(f.Entries),
		Targets:  len(f.Targets),
		Failures: []string{},
	}
	client := &http.Client{Transport: httpclient.New(&http.Transport{DialContext: opts.Network.Dialer("caller")})}
	return &Fleet{Fleet: f, Key: examples.DevKey(w), client: client}, report, nil
}

// Close ends the caller's connections and all processes.
func (f *Fleet) Close() {
	f.client.CloseIdleConnections()
	f.Fleet.Close()
}

func read(path string) (string, []byte, error) {
	if path == "" {
		return "examples/loblolly.jsonc", examples.Loblolly, nil
	}
	src, err := os.ReadFile(path)
	return path, src, trace.ConvertSystemError(err)
}

// quickEngine answers fast enough to try things by hand.
func quickEngine() fakeengine.Options {
	return fakeengine.Options{PrefillPerSec: 20_000, PrefillChunk: 2048, DecodeStep: 10 * time.Millisecond}
}

// Help tells how to send a first request.
func (f *Fleet) Help() string {
	model := ""
	for _, s := range f.World().Services {
		if s.Kind == world.KindModel {
			model = s.Name
		}
	}
	return fmt.Sprintf(`%d entries and %d targets are ready. Try:

curl -sN %s/v1/completions -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' \
  -d '{"model":"%s","prompt":"Which loads still fit today?","max_tokens":16,"stream":true}'

Stop with Ctrl-C.`, len(f.Entries), len(f.Targets), f.Entries[0].URL, f.Key, model)
}
