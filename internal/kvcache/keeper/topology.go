package keeper

import (
	"time"

	"github.com/egrethoist/egrethoist/internal/kvcache/block"
	"github.com/egrethoist/egrethoist/internal/kvcache/linkbudget"
	"github.com/egrethoist/egrethoist/internal/kvcache/placement"
	"github.com/egrethoist/egrethoist/internal/kvcache/transfer"
	"github.com/egrethoist/egrethoist/internal/world"
)

// remoteStore is one store as this sidecar uses it.
type remoteStore struct {
	declared *world.Store
	calls    transfer.Store // dialled once for an address
	client   *transfer.Client
	link     *link
}

// topology is an immutable picture of the configuration for requests and exports.
type topology struct {
	world    *world.World
	service  *world.Service
	targets  *placement.Group
	stores   *placement.Group
	byName   map[string]*remoteStore
	links    map[string]*link
	takesNew bool
}

// newTopology builds the picture of a configuration and keeps the clients and links of the one before.
func newTopology(w *world.World, opts *Options, old *topology) *topology {
	s := &topology{world: w, service: w.Services[opts.Service], byName: map[string]*remoteStore{}, links: map[string]*link{}}
	if s.service == nil {
		return s
	}
	if t := w.Targets[opts.Target]; t != nil {
		s.takesNew = w.TakesNewWork(t)
	}
	s.targets = TargetGroup(s.service)
	s.stores = StoreGroup(w, s.service)
	for _, name := range s.service.Stores {
		declared := w.Stores[name]
		if declared == nil {
			continue
		}
		s.byName[name] = s.remoteStore(declared, opts, old)
	}
	return s
}

// TargetGroup returns the targets of a service as entries and sidecars have to rank them. Drained targets
// stay in the group, so that a drain does not move the homes of other prompts.
func TargetGroup(svc *world.Service) *placement.Group {
	var members []placement.Member
	for _, t := range svc.Targets {
		members = append(members, placement.Member{Name: t.Name, FailureDomain: t.FailureDomain})
	}
	return placement.NewGroup(members)
}

// StoreGroup returns the stores of a service as entries and sidecars have to rank them, weighted by capacity.
func StoreGroup(w *world.World, svc *world.Service) *placement.Group {
	var members []placement.Member
	for _, name := range svc.Stores {
		if st := w.Stores[name]; st != nil {
			// What lies in memory lies on disk as well, if there is one.
			capacity := max(st.DiskBytes, st.MemoryBytes)
			members = append(members, placement.Member{Name: name, FailureDomain: st.FailureDomain, Weight: float64(capacity)})
		}
	}
	return placement.NewGroup(members)
}

func (s *topology) remoteStore(declared *world.Store, opts *Options, old *topology) *remoteStore {
	st := &remoteStore{declared: declared, link: s.link(declared.Link, old)}
	var before *remoteStore
	if old != nil {
		before = old.byName[declared.Name]
	}
	if before == nil || before.declared.Address != declared.Address {
		st.calls = opts.Dial(declared)
		st.client = s.newClient(st)
		return st
	}
	st.calls, st.client = before.calls, before.client
	if maxBlock(old.service) != maxBlock(s.service) {
		st.client = s.newClient(st) // a client refuses blocks longer than those that it was made for
	}
	return st
}

func (s *topology) newClient(st *remoteStore) *transfer.Client {
	return transfer.New(st.declared.Name, st.calls, transfer.Options{MaxBlockBytes: maxBlock(s.service)})
}

func maxBlock(svc *world.Service) int {
	if svc.BlockBytes > 0 {
		return svc.BlockBytes
	}
	return transfer.DefaultMaxBlockBytes
}

// fallbackRate stands for a link whose rate is not declared, in bytes per second.
const fallbackRate = 1e9

// link returns the part in a link, one for all stores behind it.
func (s *topology) link(name string, old *topology) *link {
	if l := s.links[name]; l != nil {
		return l
	}
	declared := s.world.Links[name]
	if old != nil && old.links[name] != nil && sameLink(declared, old.world.Links[name]) {
		s.links[name] = old.links[name]
		s.links[name].setUsers(len(s.service.Targets))
		return s.links[name]
	}
	o := linkbudget.Options{BytesPerSec: fallbackRate, Users: len(s.service.Targets)}
	if declared != nil && declared.BytesPerSec > 0 {
		o.BytesPerSec, o.Delay = float64(declared.BytesPerSec), declared.Delay
	}
	l := &link{budget: linkbudget.New(o, time.Now())}
	s.links[name] = l
	return l
}

func sameLink(a, b *world.Link) bool {
	return a == b || a != nil && b != nil && *a == *b
}

// storesOf returns the names of the stores of a prompt, best first.
func (s *topology) storesOf(head block.ID) []string {
	if s.stores == nil {
		return nil
	}
	var names []string
	for _, at := range s.stores.RankReplicas(head, len(s.byName), nil) {
		names = append(names, s.stores.Members()[at].Name)
	}
	return names
}
