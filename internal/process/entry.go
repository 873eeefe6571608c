package process

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/egrethoist/egrethoist/internal/burn/store"
	"github.com/egrethoist/egrethoist/internal/distribution/plan"
	"github.com/egrethoist/egrethoist/internal/entry"
	"github.com/egrethoist/egrethoist/internal/mtls"
	"github.com/egrethoist/egrethoist/internal/settings"
	"github.com/egrethoist/egrethoist/internal/statusz"
)

var errStopping = errors.New("stopping")

// RunEntry runs an entry instance until a planned stop has ended or an actor fails.
func RunEntry(s *settings.Entry) error {
	var instances *Instances
	p, err := New(Options{
		Settings: s.Process,
		Self:     plan.Peer{Name: s.Name, Region: s.Region, Address: s.ListenPeers.String(), Role: plan.RoleEntry},
		Entries: func() ([]plan.Peer, uint64) {
			return instances.Entries()
		},
	})
	if err != nil {
		return err
	}
	instances = NewInstances(p.Instances, s.Region, p.Config.Current)
	p.Add(instances.Run)
	counted := store.NewRecorder()
	p.Add(store.NewWriter(store.WriterOptions{
		Name:     s.Name + "@" + strconv.FormatInt(time.Now().UnixNano(), 36),
		KV:       p.Platform,
		Recorder: counted,
		Metrics:  p.Scope,
		Seed:     rand.Uint64(),
	}).Run)
	metrics := p.Metrics
	if s.Admin.IsValid() {
		metrics = nil // callers need not see the names of workspaces
	}
	e, err := entry.New(entry.Options{
		Name:           s.Name,
		FailureDomain:  s.FailureDomain,
		Region:         s.Region,
		Config:         p.Config,
		Instances:      instances.Reading,
		ClientTLS:      p.TLSFunc(mtls.RoleSidecar),
		Metrics:        p.Scope,
		MetricsHandler: metrics,
		Burn:           counted,
	})
	if err != nil {
		return err
	}
	p.Describe = func(s *statusz.Process) { describeEntry(e, s) }
	p.Add(e.Run)
	if err := p.ServeCallers(s.Listen, e.Handler()); err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.Handle(p.ConfigHandler())
	if err := p.ServePeers(s.ListenPeers, mux); err != nil {
		return err
	}
	if err := p.ServeAdmin(func() error { return readyEntry(e) }); err != nil {
		return err
	}
	return p.Run(func(ctx context.Context) error { return e.Shutdown(ctx) })
}

func readyEntry(e *entry.Entry) error {
	if e.Stopping() {
		return errStopping
	}
	return nil
}
