package fleet

import (
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/egrethoist/egrethoist/gen/egret/v1/egretv1connect"
	fakestore "github.com/egrethoist/egrethoist/internal/fake/store"
	"github.com/egrethoist/egrethoist/internal/kvcache/keeper"
	"github.com/egrethoist/egrethoist/internal/kvcache/transfer"
	"github.com/egrethoist/egrethoist/internal/peer"
	"github.com/egrethoist/egrethoist/internal/sidecar"
	"github.com/egrethoist/egrethoist/internal/world"
)

// StoreNode is the stand-in of one kept-cache store.
type StoreNode struct {
	Store *fakestore.Store
	Link  *fakestore.Link
	addr  string
	proc  *process
}

// Kill ends the store as a crash would.
func (n *StoreNode) Kill() { n.proc.kill() }

// startStores starts every declared store. Stores on one declared link share its rate.
func (f *Fleet) startStores() error {
	if f.opts.NoCache {
		return nil
	}
	links := map[string]*fakestore.Link{}
	for name, declared := range f.world.Stores {
		if links[declared.Link] == nil {
			links[declared.Link] = newLink(f.world.Links[declared.Link])
		}
		n, err := f.startStore(declared, links[declared.Link])
		if err != nil {
			return err
		}
		f.Stores[name] = n
	}
	return nil
}

// fallbackRate stands for a link that is not declared, in bytes per second.
const fallbackRate = 1e9

func newLink(l *world.Link) *fakestore.Link {
	if l == nil {
		return fakestore.NewLink(fallbackRate, 0)
	}
	return fakestore.NewLink(float64(l.BytesPerSec), l.Delay)
}

func (f *Fleet) startStore(declared *world.Store, link *fakestore.Link) (*StoreNode, error) {
	o := fakestore.Options{MemoryBytes: declared.MemoryBytes, DiskBytes: declared.DiskBytes}
	if f.opts.Store != nil {
		o = f.opts.Store(declared)
	}
	o.Link = link
	o.Weight = f.workspaceWeight
	o.Seed = f.opts.Seed
	addr := declared.Address
	if f.opts.FreePorts {
		addr = "127.0.0.1:0"
	}
	l, err := f.opts.Network.Listen(declared.Name, addr)
	if err != nil {
		return nil, err
	}
	n := &StoreNode{Store: fakestore.New(o), Link: link, addr: l.Addr().String()}
	mux := http.NewServeMux()
	mux.Handle(egretv1connect.NewStoreServiceHandler(fakestore.NewHandler(n.Store)))
	n.proc = f.serve(l, mux, nil)
	return n, nil
}

func (f *Fleet) workspaceWeight(workspace string) float64 {
	if ws := f.world.Workspaces[workspace]; ws != nil {
		return float64(ws.Weight)
	}
	return 1
}

// storeClients are the connections of one sidecar to the stores.
type storeClients struct {
	mu      sync.Mutex
	clients []*peer.Client
}

func (n *TargetNode) newCache(queue func() time.Duration) (sidecar.Cache, error) {
	return keeper.New(keeper.Options{
		Target:    n.Target.Name,
		Service:   n.Target.Service,
		Model:     n.model,
		Config:    n.Config.Current,
		Dial:      n.dialStore,
		QueueWait: queue,
		Metrics:   n.fleet.opts.Metrics,
	})
}

// dialStore returns a client whose exports have a connection of their own, so that fetches do not wait behind them.
func (n *TargetNode) dialStore(s *world.Store) transfer.Store {
	return transfer.NewRemote(n.storeClient(s)).WithExports(n.storeClient(s))
}

func (n *TargetNode) storeClient(s *world.Store) egretv1connect.StoreServiceClient {
	c := peer.NewClient(peer.Options{
		Addr: n.fleet.Stores[s.Name].addr,
		Dial: n.fleet.opts.Network.Dialer(n.Target.Name),
	})
	n.stores.mu.Lock()
	defer n.stores.mu.Unlock()
	n.stores.clients = append(n.stores.clients, c)
	return egretv1connect.NewStoreServiceClient(c, c.URL(), connect.WithGRPC(), peer.BlockOptions())
}

func (n *TargetNode) closeStores() {
	n.stores.mu.Lock()
	defer n.stores.mu.Unlock()
	for _, c := range n.stores.clients {
		c.Close()
	}
	n.stores.clients = nil
}
