package process

import (
	"context"
	"errors"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/egrethoist/egrethoist/gen/egret/v1/egretv1connect"
	"github.com/egrethoist/egrethoist/internal/distribution/plan"
	"github.com/egrethoist/egrethoist/internal/engine/httpengine"
	"github.com/egrethoist/egrethoist/internal/kvcache/keeper"
	"github.com/egrethoist/egrethoist/internal/kvcache/transfer"
	"github.com/egrethoist/egrethoist/internal/mtls"
	"github.com/egrethoist/egrethoist/internal/peer"
	"github.com/egrethoist/egrethoist/internal/settings"
	"github.com/egrethoist/egrethoist/internal/sidecar"
	"github.com/egrethoist/egrethoist/internal/world"
)

var errNoService = errors.New("the configuration does not declare the service")

// configWait is the period at which a starting sidecar looks for its first configuration.
const configWait = 50 * time.Millisecond

// RunSidecar runs the process beside a target until a planned stop has ended or an actor fails.
func RunSidecar(s *settings.Sidecar) error {
	p, err := New(Options{
		Settings: s.Process,
		Self:     plan.Peer{Name: s.Target, Region: s.Region, Address: s.Listen.String(), Role: plan.RoleSidecar},
	})
	if err != nil {
		return err
	}
	h := &sidecarHost{process: p, settings: s, started: make(chan struct{})}
	p.Describe = h.describe
	p.Add(h.run)
	mux := sidecarMux(h)
	mux.Handle(p.ConfigHandler())
	if err := p.ServePeers(s.Listen, mux); err != nil {
		return err
	}
	if err := p.ServeAdmin(h.ready); err != nil {
		return err
	}
	return p.Run(h.shutdown)
}

// sidecarMux admits callers by role. Sidecars take keys over from each other, and ask which revision a former home acts
// on; everything else is for entries.
func sidecarMux(h http.Handler) *http.ServeMux {
	mux := http.NewServeMux()
	mux.Handle(egretv1connect.SidecarServiceFenceProcedure, mtls.RequireRole(h, mtls.RoleSidecar))
	mux.Handle(egretv1connect.SidecarServicePingProcedure, mtls.RequireRole(h, mtls.RoleSidecar, mtls.RoleEntry))
	mux.Handle("/", mtls.RequireRole(h, mtls.RoleEntry))
	return mux
}

// sidecarHost starts the sidecar once the configuration tells the kind of its service. Until then it only
// exchanges configurations.
type sidecarHost struct {
	process  *Process
	settings *settings.Sidecar
	started  chan struct{} // closed once what follows is set
	sidecar  *sidecar.Sidecar
	handler  http.Handler
}

func (h *sidecarHost) run(ctx context.Context) error {
	svc, err := h.awaitService(ctx)
	if err != nil {
		return nil // the process stops
	}
	incarnation := uint64(time.Now().UnixNano())
	o := sidecar.Options{
		Name:        h.settings.Target,
		Service:     h.settings.Service,
		Incarnation: incarnation,
		Config:      h.process.Config,
		KV:          h.process.Platform,
		Instances:   h.process.Instances,
		ClientTLS:   h.process.TLSFunc(mtls.RoleSidecar),
		Metrics:     h.process.Scope,
	}
	h.attach(&o, svc)
	sc, err := sidecar.New(o)
	if err != nil {
		return err
	}
	h.sidecar = sc
	h.handler = sc.Handler()
	close(h.started)
	return sc.Run(ctx)
}

// attach gives the sidecar its target and, for models, its cache.
func (h *sidecarHost) attach(o *sidecar.Options, svc *world.Service) {
	backend := httpengine.Options{Address: h.settings.Engine.String()}
	if svc.Kind != world.KindModel {
		o.Target = httpengine.New(backend)
		return
	}
	m := httpengine.NewModel(backend)
	o.Target, o.Model = m, m
	o.NewCache = func(queue func() time.Duration) (sidecar.Cache, error) {
		return keeper.New(keeper.Options{
			Target:    h.settings.Target,
			Service:   h.settings.Service,
			Model:     m,
			Config:    h.process.Config.Current,
			Dial:      h.dialStore,
			QueueWait: queue,
			Metrics:   h.process.Scope,
		})
	}
}

// dialStore returns a client whose exports have a connection of their own, so that fetches do not wait behind them.
func (h *sidecarHost) dialStore(s *world.Store) transfer.Store {
	return transfer.NewRemote(h.storeClient(s, nil)).WithExports(h.storeClient(s, transfer.DialExport))
}

func (h *sidecarHost) storeClient(s *world.Store, dial peer.DialFunc) egretv1connect.StoreServiceClient {
	c := peer.NewClient(peer.Options{Addr: s.Address, Dial: dial, TLS: h.process.TLSFunc(mtls.RoleStore)})
	return egretv1connect.NewStoreServiceClient(c, c.URL(), connect.WithGRPC(), peer.BlockOptions())
}

func (h *sidecarHost) awaitService(ctx context.Context) (*world.Service, error) {
	tick := time.NewTicker(configWait)
	defer tick.Stop()
	for {
		if w := h.process.Config.Current(); w != nil && w.Services[h.settings.Service] != nil {
			return w.Services[h.settings.Service], nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-tick.C:
		}
	}
}

func (h *sidecarHost) ready() error {
	select {
	case <-h.started:
		return nil
	default:
		return errNoService
	}
}

// ServeHTTP passes calls on to the sidecar.
func (h *sidecarHost) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if err := h.ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	h.handler.ServeHTTP(w, r)
}

func (h *sidecarHost) shutdown(ctx context.Context) error {
	if h.ready() != nil {
		return nil
	}
	return h.sidecar.Shutdown(ctx)
}
