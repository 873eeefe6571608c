package gateway

import (
	"context"
	"math"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"github.com/egrethoist/egrethoist/internal/delegate"
	"github.com/egrethoist/egrethoist/internal/loadshare"
	"github.com/egrethoist/egrethoist/internal/routing"
)

const (
	// gossipFresh is how long an instance's last message holds while all broadcast to all, treeFresh while hubs sum up:
	// some periods of either.
	directMaxAge = time.Second
	treeMaxAge   = 500 * time.Millisecond
	// maxDatagram is the size up to which a message travels in one piece.
	maxDatagram = 1400
)

// GossipOptions configure a Gossip.
type GossipOptions struct {
	State  *State
	Cache  *CacheTracker
	Self   delegate.Member
	Listen func(address string) (net.PacketConn, error) // nil: UDP
}

// Gossip exchanges with the other instances which work each has sent to which target, how its fetches from stores went,
// which targets announced that they leave, and which named a rate limit. Questions for grants travel on its connection. Datagrams carry the whole state of targets at a steady rate; a lost
// one is made good by the next.
type Gossip struct {
	state       *State
	cache       *CacheTracker
	self        delegate.Member
	listen      func(address string) (net.PacketConn, error)
	sender      uint64
	direct      *loadshare.Table  // of all instances, in a small fleet
	tree        *loadshare.Tables // in a large one
	currentPlan atomic.Pointer[loadshare.Plan]
	lastSent    []loadshare.Load // this instance's work in its last message

	mu sync.Mutex // guards the rest
	// fetches collects what hubs pass on of fetches since their last message: each is to count once.
	fetches struct{ domain, others loadshare.Sum }
}

// NewGossip returns a gossip of an instance on its address.
func NewGossip(o GossipOptions) *Gossip {
	if o.Listen == nil {
		o.Listen = func(address string) (net.PacketConn, error) { return net.ListenPacket("udp4", address) }
	}
	return &Gossip{
		state: o.State, cache: o.Cache, self: o.Self, listen: o.Listen, sender: loadshare.SenderOf(o.Self.Name),
		direct: loadshare.NewTable(directMaxAge), tree: loadshare.NewTables(treeMaxAge),
	}
}

// Run sends and receives until ctx ends.
func (g *Gossip) Run(ctx context.Context) error {
	conn, err := g.listen(g.self.Address)
	if err != nil {
		return trace.Wrap(err, "listen for load messages")
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	g.updatePlan()
	g.state.grantService.setConn(conn)
	go g.receive(conn)
	// Messages of an earlier life of this process must count as older.
	sequence := uint64(time.Now().UnixNano())
	timer := time.NewTimer(g.currentPlan.Load().Period)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
		}
		plan, instances := g.updatePlan()
		sequence++
		g.broadcast(conn, plan, instances, sequence, time.Now())
		timer.Reset(plan.Period)
	}
}

// makePlan returns the plan for the present instances, and their number.
func (g *Gossip) updatePlan() (*loadshare.Plan, int) {
	members := g.state.Members()
	plan, before := loadshare.MakePlan(g.self, members), g.currentPlan.Load()
	if before == nil || before.Direct != plan.Direct || before.Hub != plan.Hub {
		klog.InfoS("load messages", "instances", len(members), "direct", plan.Direct, "hub", plan.Hub, "period", plan.Period)
	}
	g.currentPlan.Store(&plan)
	return &plan, len(members)
}

// broadcast sends the messages of the plan and applies the others' work to the targets.
func (g *Gossip) broadcast(conn net.PacketConn, plan *loadshare.Plan, instances int, number uint64, now time.Time) {
	message := &loadshare.Message{
		Sender: g.sender, Number: number, Members: 1, Fetches: g.cache.takeUnsentFetches(), Leaving: g.state.leavingToAnnounce(now),
		Limits: g.state.limits.observations.ToAnnounce(now), Loads: g.ownLoads(),
	}
	send(conn, plan.Own, message)
	switch {
	case plan.Direct:
		all := g.direct.All(now)
		g.applyPeerLoads(all.Loads, all.Members+1, instances)
	case plan.Hub:
		g.broadcastSums(conn, plan, instances, message, now)
	default:
		total := g.tree.First(loadshare.Total, plan.Hubs, now)
		if total == nil {
			total = &loadshare.Sum{Members: 1} // nothing is known but the own work
		}
		g.applyPeerLoads(total.Without(g.lastSent), total.Members, instances)
	}
	g.lastSent = message.Loads
}

// broadcastSums sends the sums of the domain and of all instances, if no other hub does.
func (g *Gossip) broadcastSums(conn net.PacketConn, plan *loadshare.Plan, instances int, own *loadshare.Message, now time.Time) {
	domain, total := g.tree.HubSums(plan, own.Sum(), now)
	g.mu.Lock()
	domainFetches := loadshare.Add(&g.fetches.domain, &loadshare.Sum{Fetches: own.Fetches})
	allFetches := loadshare.Add(domainFetches, &g.fetches.others)
	g.fetches.domain, g.fetches.others = loadshare.Sum{}, loadshare.Sum{}
	g.mu.Unlock()
	g.applyPeerLoads(total.Without(own.Loads), total.Members, instances)
	if !g.tree.IsActive(plan, g.sender, now) {
		return
	}
	send(conn, plan.HubAddresses, sumMessage(loadshare.Domain, own, domain, domainFetches))
	send(conn, plan.PeerAddresses, sumMessage(loadshare.Total, own, total, allFetches))
}

func sumMessage(kind loadshare.Kind, own *loadshare.Message, sum, fetches *loadshare.Sum) *loadshare.Message {
	return &loadshare.Message{
		Sender: own.Sender, Number: own.Number, Kind: kind, Members: uint16(min(sum.Members, math.MaxUint16)),
		Fetches: fetches.Fetches, Leaving: sum.Leaving, Limits: sum.Limits, Loads: sum.Loads,
	}
}

func send(conn net.PacketConn, to []string, message *loadshare.Message) {
	pieces := message.Split(maxDatagram)
	for _, peer := range to {
		address, err := net.ResolveUDPAddr("udp4", peer)
		if err != nil {
			continue // the instance's record names no address that can be reached
		}
		for _, piece := range pieces {
			_, _ = conn.WriteTo(piece, address) // lost messages are made good by the next
		}
	}
}

func (g *Gossip) receive(conn net.PacketConn) {
	buffer := make([]byte, 1<<16)
	for {
		n, from, err := conn.ReadFrom(buffer)
		if err != nil {
			return // closed at the end of Run
		}
		if g.state.grantService.handleDatagram(buffer[:n], from) {
			continue
		}
		message, err := loadshare.Parse(buffer[:n])
		if err != nil {
			klog.V(1).InfoS("load message dropped", "err", err.Error())
			continue
		}
		g.handleMessage(message, time.Now())
	}
}

// take takes in a message or a piece of one.
func (g *Gossip) handleMessage(m *loadshare.Message, now time.Time) {
	plan := g.currentPlan.Load()
	table := g.tree[m.Kind]
	if plan.Direct && m.Kind == loadshare.Own {
		table = g.direct
	}
	g.state.learnLeaving(m.Leaving, now)
	g.state.learnLimits(m.Limits, now)
	if !table.Take(m, now) || !g.hasNewFetches(plan, m, now) {
		return
	}
	g.cache.addPeerFetches(m.Fetches, now)
	g.mu.Lock()
	defer g.mu.Unlock()
	switch m.Kind {
	case loadshare.Own:
		g.fetches.domain = *loadshare.Add(&g.fetches.domain, &loadshare.Sum{Fetches: m.Fetches})
	case loadshare.Domain:
		g.fetches.others = *loadshare.Add(&g.fetches.others, &loadshare.Sum{Fetches: m.Fetches})
	}
}

// counts reports whether the fetches of a message are new, and did not come by another hub already.
func (g *Gossip) hasNewFetches(plan *loadshare.Plan, m *loadshare.Message, now time.Time) bool {
	switch m.Kind {
	case loadshare.Domain:
		for _, hubs := range plan.Domains {
			if slices.Contains(hubs, m.Sender) {
				return g.tree.Prefers(loadshare.Domain, hubs, m.Sender, now)
			}
		}
		return false
	case loadshare.Total:
		return !plan.Hub && g.tree.Prefers(loadshare.Total, plan.Hubs, m.Sender, now)
	}
	return true
}

// own returns this instance's work at each engine.
func (g *Gossip) ownLoads() []loadshare.Load {
	v := g.state.current.Load()
	if v == nil {
		return nil
	}
	var out []loadshare.Load
	for _, sv := range v.services {
		if sv.Engine == nil {
			continue
		}
		for _, t := range sv.orderedTargets {
			for u := range routing.Urgencies {
				if pending, held := t.stats.OwnPending(u), t.stats.OwnHeld(u); pending > 0 || held > 0 {
					out = append(out, loadshare.Load{Target: t.idHash, Urgency: uint8(u), Pending: uint32(pending), Held: uint32(held)})
				}
			}
		}
	}
	return out
}

// apply sets the others' work at each target. heard is the number of instances that it is the work of, this one included.
func (g *Gossip) applyPeerLoads(loads []loadshare.Load, reporting, instances int) {
	v := g.state.current.Load()
	if v == nil {
		return
	}
	scale := max(float64(instances)/float64(max(reporting, 1)), 1)
	byTarget := make(map[uint64]*routing.Others, len(loads))
	for _, l := range loads {
		o := byTarget[l.Target]
		if o == nil {
			o = &routing.Others{Scale: scale}
			byTarget[l.Target] = o
		}
		u := min(int(l.Urgency), routing.Urgencies-1)
		o.Pending[u] += int(l.Pending)
		o.Held[u] += int(l.Held)
	}
	noLoad := &routing.Others{Scale: scale}
	for _, sv := range v.services {
		if sv.Engine == nil {
			continue
		}
		for _, t := range sv.orderedTargets {
			if o := byTarget[t.idHash]; o != nil {
				t.stats.SetOthers(o)
			} else {
				t.stats.SetOthers(noLoad)
			}
		}
	}
}
