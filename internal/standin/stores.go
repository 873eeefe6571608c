package standin

import (
	"maps"
	"net/http"
	"slices"

	"github.com/gravitational/trace"

	"github.com/egrethoist/egrethoist/gen/egret/v1/egretv1connect"
	fakestore "github.com/egrethoist/egrethoist/internal/fake/store"
	"github.com/egrethoist/egrethoist/internal/mtls"
	"github.com/egrethoist/egrethoist/internal/world"
)

// stores serves the chosen kept-cache stores. Those on one declared link share its rate.
func (l *listening) stores() error {
	links := map[string]*fakestore.Link{}
	for _, name := range l.storeNames() {
		s := l.world.Stores[name]
		if s == nil {
			return trace.NotFound("the manifest declares no store %v", name)
		}
		if links[s.Link] == nil {
			declared := l.world.Links[s.Link]
			links[s.Link] = fakestore.NewLink(float64(declared.BytesPerSec), declared.Delay)
		}
		if err := l.addSecure(name, s.Address, l.store(s, links[s.Link]), mtls.RoleSidecar); err != nil {
			return err
		}
	}
	return nil
}

func (l *listening) storeNames() []string {
	if len(l.opts.Stores) != 1 || l.opts.Stores[0] != AllStores {
		return l.opts.Stores
	}
	return slices.Sorted(maps.Keys(l.world.Stores))
}

func (l *listening) store(s *world.Store, link *fakestore.Link) http.Handler {
	store := fakestore.New(fakestore.Options{
		MemoryBytes: s.MemoryBytes,
		DiskBytes:   s.DiskBytes,
		Link:        link,
		Weight:      l.workspaceWeight,
	})
	mux := http.NewServeMux()
	mux.Handle(egretv1connect.NewStoreServiceHandler(fakestore.NewHandler(store)))
	return mux
}

func (l *listening) workspaceWeight(name string) float64 {
	if ws := l.world.Workspaces[name]; ws != nil {
		return float64(ws.Weight)
	}
	return 1
}
