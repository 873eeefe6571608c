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
	// directTTL is how long the last message of an instance is valid while all instances broadcast to all, and hierarchicalTTL while
	// hubs send sums: a few broadcast periods of either mode.
	directTTL       = time.Second
	hierarchicalTTL = 500 * time.Millisecond
	// maxDatagram is the size in bytes above which a message is split into fragments, so that datagrams fit into a usual MTU.
	maxDatagram = 1400
)

// GossipOptions configure a Gossip.
type GossipOptions struct {
	State  *State
	Cache  *CacheTracker
	Self   delegate.Member
	Listen func(address string) (net.PacketConn, error) // nil: UDP
}

// Gossip exchanges state with the other instances by UDP: the work that each has sent to each target, the delays of fetches from
// KV-cache stores, the targets that have announced that they leave, and the rate limits of targets. Each datagram carries complete
// state rather than changes, so a lost one is corrected by the next. Grant queries and replies, and the messages on quarantined parts of
// prompts, use the same connection.
type Gossip struct {
	state        *State
	cache        *CacheTracker
	self         delegate.Member
	listen       func(address string) (net.PacketConn, error)
	sender       uint64
	direct       *loadshare.Table  // last messages of all instances, in a small fleet
	hierarchical *loadshare.Tables // last messages of domain members and hubs, in a large fleet
	currentPlan  atomic.Pointer[loadshare.Plan]
	lastSent     []loadshare.Load // this instance's own work in its last message

	sending  sync.Mutex     // guards conn, sequence and left, and is held while messages are sent
	conn     net.PacketConn // nil until Run listens
	sequence uint64         // of the last message
	left     bool           // Leave was called

	mu sync.Mutex // guards the rest
	// fetches collects the fetch reports that a hub forwards in its next message. They are cleared when sent, so that each report
	// counts once.
	fetches struct{ domain, others loadshare.Sum }
}

// NewGossip returns the gossip of an instance, which will listen on the address of o.Self.
func NewGossip(o GossipOptions) *Gossip {
	if o.Listen == nil {
		o.Listen = func(address string) (net.PacketConn, error) { return net.ListenPacket("udp4", address) }
	}
	return &Gossip{
		state: o.State, cache: o.Cache, self: o.Self, listen: o.Listen, sender: loadshare.SenderID(o.Self.Name),
		direct: loadshare.NewTable(directTTL), hierarchical: loadshare.NewTables(hierarchicalTTL),
	}
}

// Run sends and receives messages until ctx ends. It returns an error if it can't listen, otherwise the context's error.
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
	g.state.quarantine.setConn(conn)
	g.state.streams.setConn(conn)
	g.state.rollouts.setConn(conn)
	go g.receive(conn)
	go g.state.quarantine.run(ctx)
	go g.state.rollouts.run(ctx)
	g.sending.Lock()
	// Sequence numbers must exceed those that this instance sent before a restart.
	g.conn, g.sequence = conn, uint64(time.Now().UnixNano())
	g.sending.Unlock()
	timer := time.NewTimer(g.currentPlan.Load().Period)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
		}
		plan, instances := g.updatePlan()
		g.sending.Lock()
		if !g.left {
			g.sequence++
			g.broadcast(conn, plan, instances, g.sequence, time.Now())
		}
		g.sending.Unlock()
		timer.Reset(plan.Period)
	}
}

// Leave tells the other instances that this one stops, so that it no longer counts once its record is gone, and what it was last told by
// targets. It sends nothing after that.
func (g *Gossip) Leave() {
	g.sending.Lock()
	defer g.sending.Unlock()
	plan := g.currentPlan.Load()
	if g.left || g.conn == nil || plan == nil {
		return
	}
	g.left = true
	g.sequence++
	now := time.Now()
	send(g.conn, plan.OwnRecipients, &loadshare.Message{
		Sender: g.sender, Sequence: g.sequence, Leaving: g.state.leavingToAnnounce(now), Limits: g.state.limits.tracker.Announcements(now),
	})
}

// updatePlan recomputes the broadcast plan for the present instances. It returns the plan and the number of instances.
func (g *Gossip) updatePlan() (*loadshare.Plan, int) {
	members := g.state.Members()
	plan, previous := loadshare.NewPlan(g.self, members), g.currentPlan.Load()
	if previous == nil || previous.Direct != plan.Direct || previous.IsHub != plan.IsHub {
		klog.InfoS("load messages", "instances", len(members), "direct", plan.Direct, "hub", plan.IsHub, "period", plan.Period)
	}
	g.currentPlan.Store(&plan)
	return &plan, len(members)
}

// broadcast sends this instance's message and, as a hub, the sums. It then updates the targets with the work that the other
// instances have reported.
func (g *Gossip) broadcast(conn net.PacketConn, plan *loadshare.Plan, instances int, sequence uint64, now time.Time) {
	message := &loadshare.Message{
		Sender: g.sender, Sequence: sequence, Members: 1, Fetches: g.cache.takeUnsentFetches(), Leaving: g.state.leavingToAnnounce(now),
		Limits: g.state.limits.tracker.Announcements(now), Loads: g.ownLoads(),
	}
	send(conn, plan.OwnRecipients, message)
	switch {
	case plan.Direct:
		all := g.direct.Sum(now)
		g.applyPeerLoads(all.Loads, all.Members+1, instances)
	case plan.IsHub:
		g.broadcastSums(conn, plan, instances, message, now)
	default:
		total := g.hierarchical.LatestPreferred(loadshare.Total, plan.Hubs, now)
		if total == nil {
			total = &loadshare.Sum{Members: 1} // only this instance's own work is known
		}
		g.applyPeerLoads(total.Without(g.lastSent), total.Members, instances)
	}
	g.lastSent = message.Loads
	g.state.shares.broadcast(conn, plan, g.sender, sequence, plan.IsHub && g.hierarchical.IsActiveHub(plan, g.sender, now), now)
}

// broadcastSums sends the sums of the failure domain to the other hubs and the sums of all instances to the members of the domain,
// unless another hub of the domain is the active one.
func (g *Gossip) broadcastSums(conn net.PacketConn, plan *loadshare.Plan, instances int, ownMessage *loadshare.Message, now time.Time) {
	domain, total := g.hierarchical.HubSums(plan, ownMessage.Sum(), now)
	g.mu.Lock()
	domainFetches := loadshare.Add(&g.fetches.domain, &loadshare.Sum{Fetches: ownMessage.Fetches})
	allFetches := loadshare.Add(domainFetches, &g.fetches.others)
	g.fetches.domain, g.fetches.others = loadshare.Sum{}, loadshare.Sum{}
	g.mu.Unlock()
	g.applyPeerLoads(total.Without(ownMessage.Loads), total.Members, instances)
	if !g.hierarchical.IsActiveHub(plan, g.sender, now) {
		return
	}
	send(conn, plan.RemoteHubAddresses, sumMessage(loadshare.Domain, ownMessage, domain, domainFetches))
	send(conn, plan.PeerAddresses, sumMessage(loadshare.Total, ownMessage, total, allFetches))
}

// sumMessage returns a message of a hub with a sum of loads. fetches are the fetch reports to forward.
func sumMessage(kind loadshare.Kind, ownMessage *loadshare.Message, sum, fetches *loadshare.Sum) *loadshare.Message {
	return &loadshare.Message{
		Sender: ownMessage.Sender, Sequence: ownMessage.Sequence, Kind: kind, Members: uint16(min(sum.Members, math.MaxUint16)),
		Fetches: fetches.Fetches, Leaving: sum.Leaving, Limits: sum.Limits, Loads: sum.Loads,
	}
}

// send sends a message to the addresses, split into as many fragments as it needs.
func send(conn net.PacketConn, to []string, message *loadshare.Message) {
	fragments := message.Split(maxDatagram)
	for _, peer := range to {
		address, err := net.ResolveUDPAddr("udp4", peer)
		if err != nil {
			continue // the instance's record has no valid address
		}
		for _, fragment := range fragments {
			_, _ = conn.WriteTo(fragment, address) // a lost message is corrected by the next one
		}
	}
}

// receive processes datagrams until the connection is closed.
func (g *Gossip) receive(conn net.PacketConn) {
	buffer := make([]byte, 1<<16)
	for {
		n, from, err := conn.ReadFrom(buffer)
		if err != nil {
			return // closed at the end of Run
		}
		if g.state.grantService.handleDatagram(buffer[:n], from) || g.state.quarantine.handleDatagram(buffer[:n], from) || g.state.streams.handleDatagram(buffer[:n], from) ||
			g.state.shares.handleDatagram(buffer[:n], from) || g.state.rollouts.handleDatagram(buffer[:n], from) {
			continue
		}
		message, err := loadshare.Parse(buffer[:n])
		if err != nil {
			klog.V(1).InfoS("invalid load message dropped", "err", err.Error())
			continue
		}
		g.handleMessage(message, time.Now())
	}
}

// handleMessage processes a message or a fragment of one.
func (g *Gossip) handleMessage(m *loadshare.Message, now time.Time) {
	if m.Kind == loadshare.Own && m.Members == 0 {
		g.state.hearing.forget(m.Sender) // sent by Leave
	} else {
		g.state.hearing.record(m.Sender, now)
	}
	plan := g.currentPlan.Load()
	table := g.hierarchical[m.Kind]
	if plan.Direct && m.Kind == loadshare.Own {
		table = g.direct
	}
	g.state.learnLeaving(m.Leaving, now)
	g.state.learnLimits(m.Limits, now)
	if !table.Receive(m, now) || !g.hasNewFetches(plan, m, now) {
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

// hasNewFetches reports whether the fetch reports of a message are to be counted, because they do not also arrive through another
// hub.
func (g *Gossip) hasNewFetches(plan *loadshare.Plan, m *loadshare.Message, now time.Time) bool {
	switch m.Kind {
	case loadshare.Domain:
		for _, hubs := range plan.DomainHubs {
			if slices.Contains(hubs, m.Sender) {
				return g.hierarchical.IsPreferred(loadshare.Domain, hubs, m.Sender, now)
			}
		}
		return false
	case loadshare.Total:
		return !plan.IsHub && g.hierarchical.IsPreferred(loadshare.Total, plan.Hubs, m.Sender, now)
	}
	return true
}

// ownLoads returns the work that this instance has at each engine target, by urgency.
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
			for u := range routing.UrgencyLevels {
				if pending, inFlight := t.stats.OwnPendingTokens(u), t.stats.OwnHeldTokens(u); pending > 0 || inFlight > 0 {
					out = append(out, loadshare.Load{Target: t.idHash, Urgency: uint8(u), PendingPrefill: uint32(pending), InFlight: uint32(inFlight)})
				}
			}
		}
	}
	return out
}

// applyPeerLoads sets the work of the other instances at each engine target. reporting is the number of instances, including this
// one, whose work the loads cover: the loads are scaled up to all instances.
func (g *Gossip) applyPeerLoads(loads []loadshare.Load, reporting, instances int) {
	v := g.state.current.Load()
	if v == nil {
		return
	}
	scale := max(float64(instances)/float64(max(reporting, 1)), 1)
	now := time.Now()
	byTarget := make(map[uint64]*routing.PeerLoad, len(loads))
	for _, l := range loads {
		load := byTarget[l.Target]
		if load == nil {
			load = &routing.PeerLoad{Scale: scale}
			byTarget[l.Target] = load
		}
		u := min(int(l.Urgency), routing.UrgencyLevels-1)
		load.PendingTokens[u] += int(l.PendingPrefill)
		load.HeldTokens[u] += int(l.InFlight)
	}
	noLoad := &routing.PeerLoad{Scale: scale}
	for _, sv := range v.services {
		if sv.Engine == nil {
			continue
		}
		for _, t := range sv.orderedTargets {
			if load := byTarget[t.idHash]; load != nil {
				t.stats.SetPeerLoad(load)
			} else {
				t.stats.SetPeerLoad(noLoad)
			}
			t.speed.ObservePrefill(t.stats.PendingTokens(routing.UrgencyLevels-1) > 0, now)
		}
	}
}
