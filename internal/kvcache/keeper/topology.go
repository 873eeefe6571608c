package keeper

import (
	"time"

	"github.com/egrethoist/egrethoist/internal/kvcache/block"
	"github.com/egrethoist/egrethoist/internal/kvcache/linkbudget"
	"github.com/egrethoist/egrethoist/internal/kvcache/placement"
	"github.com/egrethoist/egrethoist/internal/kvcache/transfer"
	"github.com/egrethoist/egrethoist/internal/world"
)

// remoteStore is a store with this sidecar's client and link for it.
type remoteStore struct {
	config *world.Store
	rpc    transfer.Store // reused while the address stays the same
	client *transfer.Client
	link   *link
}

// topology is an immutable snapshot of the configuration with the clients and links built from it.
type topology struct {
	world      *world.World
	service    *world.Service // nil if the configuration lacks the service
	targets    *placement.Group
	stores     *placement.Group
	byName     map[string]*remoteStore
	links      map[string]*link
	acceptsNew bool // the target accepts new requests
}

// newTopology builds the topology of a configuration, reusing the clients and links of the old topology that have not
// changed.
func newTopology(w *world.World, opts *Options, old *topology) *topology {
	s := &topology{world: w, service: w.Services[opts.Service], byName: map[string]*remoteStore{}, links: map[string]*link{}}
	if s.service == nil {
		return s
	}
	if t := w.Targets[opts.Target]; t != nil {
		s.acceptsNew = w.TakesNewWork(t)
	}
	s.targets = TargetGroup(s.service)
	s.stores = StoreGroup(w, s.service)
	for _, name := range s.service.Stores {
		config := w.Stores[name]
		if config == nil {
			continue
		}
		s.byName[name] = s.remoteStore(config, opts, old)
	}
	return s
}

// TargetGroup returns the targets of a service for ranking; entries and sidecars must use the same group. Drained targets
// stay in the group, so that a drain does not move the homes of other prompts.
func TargetGroup(svc *world.Service) *placement.Group {
	var members []placement.Member
	for _, t := range svc.Targets {
		members = append(members, placement.Member{Name: t.Name, FailureDomain: t.FailureDomain})
	}
	return placement.NewGroup(members)
}

// StoreGroup returns the stores of a service for ranking, weighted by capacity in bytes; entries and sidecars must use the
// same group.
func StoreGroup(w *world.World, svc *world.Service) *placement.Group {
	var members []placement.Member
	for _, name := range svc.Stores {
		if st := w.Stores[name]; st != nil {
			// Blocks in memory are also on disk, if the store has one.
			capacity := max(st.DiskBytes, st.MemoryBytes)
			members = append(members, placement.Member{Name: name, FailureDomain: st.FailureDomain, Weight: float64(capacity)})
		}
	}
	return placement.NewGroup(members)
}

// remoteStore returns the entry of a store, with the client of the old topology if its address is unchanged.
func (s *topology) remoteStore(config *world.Store, opts *Options, old *topology) *remoteStore {
	st := &remoteStore{config: config, link: s.link(config.Link, old)}
	var previous *remoteStore
	if old != nil {
		previous = old.byName[config.Name]
	}
	if previous == nil || previous.config.Address != config.Address {
		st.rpc = opts.Dial(config)
		st.client = s.newClient(st)
		return st
	}
	st.rpc, st.client = previous.rpc, previous.client
	if maxBlockBytes(old.service) != maxBlockBytes(s.service) {
		st.client = s.newClient(st) // the block size limit of a client is fixed at creation
	}
	return st
}

// newClient returns a client of a store with the block size limit of the service.
func (s *topology) newClient(st *remoteStore) *transfer.Client {
	return transfer.New(st.config.Name, st.rpc, transfer.Options{MaxBlockBytes: maxBlockBytes(s.service)})
}

// maxBlockBytes returns the block size of a service in bytes, or the default limit if it is not configured.
func maxBlockBytes(svc *world.Service) int {
	if svc.BlockBytes > 0 {
		return svc.BlockBytes
	}
	return transfer.DefaultMaxBlockBytes
}

// defaultLinkRate is the assumed rate of a link without a configured one, in bytes per second.
const defaultLinkRate = 1e9

// link returns the link with a name, shared by all stores behind it. A link whose configuration is unchanged is taken from
// the old topology, with its measurements.
func (s *topology) link(name string, old *topology) *link {
	if l := s.links[name]; l != nil {
		return l
	}
	config := s.world.Links[name]
	if old != nil && old.links[name] != nil && sameLink(config, old.world.Links[name]) {
		s.links[name] = old.links[name]
		s.links[name].setUsers(len(s.service.Targets))
		return s.links[name]
	}
	o := linkbudget.Options{BytesPerSec: defaultLinkRate, Users: len(s.service.Targets)}
	if config != nil && config.BytesPerSec > 0 {
		o.BytesPerSec, o.Delay = float64(config.BytesPerSec), config.Delay
	}
	l := &link{budget: linkbudget.New(o, time.Now())}
	s.links[name] = l
	return l
}

// sameLink reports whether two link configurations are equal; nil is equal to nil only.
func sameLink(a, b *world.Link) bool {
	return a == b || a != nil && b != nil && *a == *b
}

// rankedStores returns the names of the stores for a prompt, most preferred first.
func (s *topology) rankedStores(head block.ID) []string {
	if s.stores == nil {
		return nil
	}
	var names []string
	for _, member := range s.stores.RankReplicas(head, len(s.byName), nil) {
		names = append(names, s.stores.Members()[member].Name)
	}
	return names
}
