// Package standin serves stand-ins for all that the system meets but does not own: the platform, and the targets
// that a manifest declares. It is for trials by hand with separate processes and keeps nothing.
package standin

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/gravitational/trace"

	fakeengine "github.com/egrethoist/egrethoist/internal/fake/engine"
	"github.com/egrethoist/egrethoist/internal/fake/plain"
	"github.com/egrethoist/egrethoist/internal/kvcache/block"
	"github.com/egrethoist/egrethoist/internal/mtls"
	"github.com/egrethoist/egrethoist/internal/peer"
	"github.com/egrethoist/egrethoist/internal/platform"
	"github.com/egrethoist/egrethoist/internal/platform/memory"
	"github.com/egrethoist/egrethoist/internal/platform/rpc"
	"github.com/egrethoist/egrethoist/internal/world"
)

// Options of the stand-ins.
type Options struct {
	KV           string  // address of the platform's stand-in, IP:port; empty serves none
	WritesPerSec float64 // rates of the key-value service; zero is unbounded
	ReadsPerSec  float64
	ListLag      time.Duration // of the instance list
	PortOffset   int           // a target listens this far above the port of its sidecar; zero serves none
	// MaxModelBatch bounds the requests that a fake engine runs at once; zero takes the service's limit.
	MaxModelBatch int
	Stores        []string // kept-cache stores to serve, each at its declared address; AllStores serves all
	// TLS makes the platform and the stores show certificates and demand those of their peers; nil serves plain HTTP.
	TLS *mtls.Source
}

// AllStores stands for every store of the manifest.
const AllStores = "all"

// Server is one listener with what it serves.
type Server struct {
	Name     string
	Listener net.Listener
	http     *http.Server
}

// Run serves until Stop.
func (s *Server) Run() error {
	err := s.http.Serve(s.Listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return trace.Wrap(err, "serving %v", s.Name)
}

// Stop closes the listener and every connection.
func (s *Server) Stop(error) { _ = s.http.Close() }

// Listen opens the listeners of the platform and of every target of the world. On an error none stays open.
func Listen(w *world.World, opts Options) ([]*Server, error) {
	l := &listening{world: w, opts: opts}
	if err := l.all(); err != nil {
		for _, s := range l.servers {
			_ = s.Listener.Close()
		}
		return nil, err
	}
	return l.servers, nil
}

// listening gathers servers while they are opened.
type listening struct {
	world   *world.World
	opts    Options
	servers []*Server
}

func (l *listening) all() error {
	if l.opts.KV != "" {
		if err := l.addSecure("platform", l.opts.KV, l.platform(), mtls.RoleEntry, mtls.RoleSidecar, mtls.RoleOperator); err != nil {
			return err
		}
	}
	if err := l.stores(); err != nil {
		return err
	}
	if l.opts.PortOffset == 0 {
		return nil
	}
	for _, svc := range l.world.Services {
		if err := l.targets(svc); err != nil {
			return err
		}
	}
	return nil
}

func (l *listening) add(name, address string, h http.Handler) error {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return trace.Wrap(err, "listening for %v at %v", name, address)
	}
	s := &Server{Name: name, Listener: listener, http: peer.NewServer(h, nil)}
	l.servers = append(l.servers, s)
	return nil
}

// addSecure is add for what takes TLS, where it is wanted, from peers of some roles.
func (l *listening) addSecure(name, address string, h http.Handler, accept ...mtls.Role) error {
	if err := l.add(name, address, h); err != nil || l.opts.TLS == nil {
		return err
	}
	s := l.servers[len(l.servers)-1]
	s.Listener = tls.NewListener(s.Listener, l.opts.TLS.ServerConfig(accept...))
	return nil
}

// platform serves the key-value service, the instance list with every target, and the weights.
func (l *listening) platform() http.Handler {
	list := memory.NewInstances(l.opts.ListLag)
	for _, t := range l.world.Targets {
		list.Put(platform.Instance{Name: t.Name, FailureDomain: t.FailureDomain, Address: t.Sidecar, Role: "target"})
	}
	weights := memory.NewWeightStore()
	for _, v := range l.world.WeightVersions {
		weights.Put(platform.Weights{Version: v.Name, Bytes: v.Bytes})
	}
	kv := memory.NewKV(memory.Options{WritesPerSec: l.opts.WritesPerSec, ReadsPerSec: l.opts.ReadsPerSec})
	return rpc.NewHandler(rpc.Platform{KV: kv, Instances: list, Weights: weights})
}

// targets serves every target of a service. They share what the targets of a service share.
func (l *listening) targets(svc *world.Service) error {
	loaders := fakeengine.NewLoaders(svc.Cold.Loaders)
	store := plain.NewStore()
	for _, t := range svc.Targets {
		address, err := TargetAddress(t, l.opts.PortOffset)
		if err != nil {
			return err
		}
		var h http.Handler = plain.New(plain.Options{Store: store})
		if svc.Kind == world.KindModel {
			o := EngineOptions(svc, t)
			o.Loaders = loaders
			if l.opts.MaxModelBatch > 0 {
				o.MaxBatch = l.opts.MaxModelBatch
			}
			h = fakeengine.New(o)
		}
		if err := l.add(t.Name, address, h); err != nil {
			return err
		}
	}
	return nil
}

// TargetAddress returns where the stand-in of a target listens: beside its sidecar, offset ports higher.
func TargetAddress(t *world.Target, offset int) (string, error) {
	at, err := netip.ParseAddrPort(t.Sidecar)
	if err != nil {
		return "", trace.BadParameter("address of the sidecar of target %v: %v", t.Name, err)
	}
	port := int(at.Port()) + offset
	if port < 1 || port > 65535 {
		return "", trace.BadParameter("target %v: port %v is out of range", t.Name, port)
	}
	return netip.AddrPortFrom(at.Addr(), uint16(port)).String(), nil
}

// EngineOptions returns the options of the fake engine of a target as its service declares it. Its blocks have
// the identities that the system computes.
func EngineOptions(svc *world.Service, t *world.Target) fakeengine.Options {
	return fakeengine.Options{
		Name:        t.Name,
		Version:     svc.WeightVersion,
		MaxBatch:    svc.MaxInFlight,
		BlockTokens: svc.BlockTokens,
		BlockBytes:  svc.BlockBytes,
		Cold:        fakeengine.Cold{InFlight: svc.Cold.InFlight},
		ChecksFence: svc.FencesOrders,
		BlockIDs:    BlockIDs(svc),
	}
}

// BlockIDs returns how the system computes the identities of a prompt's blocks for a service.
func BlockIDs(svc *world.Service) func(version, salt string, prompt []byte) []string {
	return func(version, salt string, prompt []byte) []string {
		ids := block.Chain(block.NewSeed(svc.Name, version, salt), prompt, block.WindowBytes(svc.BlockTokens))
		out := make([]string, len(ids))
		for i, id := range ids {
			out[i] = id.Hex()
		}
		return out
	}
}
