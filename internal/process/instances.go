package process

import (
	"context"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/egrethoist/egrethoist/internal/distribution/plan"
	"github.com/egrethoist/egrethoist/internal/entry"
	"github.com/egrethoist/egrethoist/internal/platform"
	"github.com/egrethoist/egrethoist/internal/subset"
	"github.com/egrethoist/egrethoist/internal/world"
)

// Period and bound of reading the platform's instance list.
const (
	listPeriod  = 5 * time.Second
	listTimeout = 2 * time.Second
)

// roleEntry is the role of entry instances in the platform's list.
const roleEntry = "entry"

// Instances follows the platform's lagging list of instances.
type Instances struct {
	source platform.InstanceList
	region string
	world  func() *world.World
	list   atomic.Pointer[instanceList]
}

// instanceList is one reading of the list, with regions as the world of that time names them.
type instanceList struct {
	world    *world.World
	entries  []plan.Peer
	members  []subset.Member
	all      []platform.Instance
	sequence uint64
}

// NewInstances returns a list that is empty until Run has read it. An instance whose failure domain the world
// doesn't know counts to region, the own one: before the first configuration nobody takes itself for the only entry.
func NewInstances(source platform.InstanceList, region string, world func() *world.World) *Instances {
	l := &Instances{source: source, region: region, world: world}
	l.list.Store(&instanceList{})
	return l
}

// Entries returns the entry instances as last listed, and the number of that listing.
func (l *Instances) Entries() ([]plan.Peer, uint64) {
	cur := l.current()
	return cur.entries, cur.sequence
}

// Reading returns the last reading in the form that entries use.
func (l *Instances) Reading() entry.Instances {
	cur := l.current()
	return entry.Instances{Sequence: cur.sequence, Entries: cur.members, All: cur.all}
}

// current returns the last reading. A new world may name other regions although the list hasn't changed.
func (l *Instances) current() *instanceList {
	cur, w := l.list.Load(), l.world()
	if cur.world == w {
		return cur
	}
	next := l.resolve(cur.all, cur.sequence, w)
	// If Run has stored a newer reading meanwhile, that one stays and the next call resolves it.
	l.list.CompareAndSwap(cur, next)
	return next
}

// Run reads the list until ctx ends. While it can't be read the last one stays.
func (l *Instances) Run(ctx context.Context) error {
	tick := time.NewTicker(listPeriod)
	defer tick.Stop()
	failing := false
	for {
		err := l.read(ctx)
		if failed := err != nil; failed != failing && ctx.Err() == nil {
			failing = failed
			klog.InfoS("instance list", "readable", !failed, "err", err)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

func (l *Instances) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	instances, sequence, err := l.source.List(ctx)
	if err != nil {
		return err
	}
	l.list.Store(l.resolve(instances, sequence, l.world()))
	return nil
}

func (l *Instances) resolve(instances []platform.Instance, sequence uint64, w *world.World) *instanceList {
	next := &instanceList{world: w, sequence: sequence, all: instances}
	for _, in := range instances {
		if in.Role != roleEntry {
			continue
		}
		region := l.regionOf(w, in.FailureDomain)
		if !in.Leaving {
			next.members = append(next.members, subset.Member{Name: in.Name, FailureDomain: in.FailureDomain, Region: region})
		}
		next.entries = append(next.entries, plan.Peer{
			Name:    in.Name,
			Region:  region,
			Address: in.Address,
			Role:    plan.RoleEntry,
			Leaving: in.Leaving,
		})
	}
	return next
}

func (l *Instances) regionOf(w *world.World, failureDomain string) string {
	if w == nil || w.FailureDomains[failureDomain] == nil {
		return l.region
	}
	return w.FailureDomains[failureDomain].Region
}
