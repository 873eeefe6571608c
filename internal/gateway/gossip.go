package gateway

import (
	"context"
	"net"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gravitational/trace"
	"k8s.io/klog/v2"

	"github.com/egrethoist/egrethoist/internal/loadshare"
	"github.com/egrethoist/egrethoist/internal/routing"
)

const (
	// gossipLeast is the shortest time between two messages of an instance: a first token takes about as long.
	gossipLeast = 100 * time.Millisecond
	// gossipPerPeer is the time between messages for each other instance, so that the messages that an instance
	// receives stay at a hundred a second.
	gossipPerPeer = 10 * time.Millisecond
	// gossipFresh is how long an instance's last message holds.
	gossipFresh = time.Second
	// maxDatagram is the size up to which a message travels in one piece.
	maxDatagram = 1400
)

// Gossip tells the other instances what this one has sent to which target, how its fetches from stores went and which targets
// told it that they leave, and takes in what they tell. Datagrams carry the whole state of targets at a steady rate; a lost one is made good by the next.
type Gossip struct {
	state   *State
	keeper  *Keeper
	address string
	self    uint64
	table   *loadshare.Table
}

// NewGossip returns a gossip on a UDP address.
func NewGossip(state *State, keeper *Keeper, name, address string) *Gossip {
	return &Gossip{state: state, keeper: keeper, address: address, self: xxhash.Sum64String(name), table: loadshare.NewTable(gossipFresh)}
}

// Run sends and receives until ctx ends.
func (g *Gossip) Run(ctx context.Context) error {
	local, err := net.ResolveUDPAddr("udp4", g.address)
	if err != nil {
		return trace.Wrap(err, "address for load messages")
	}
	conn, err := net.ListenUDP("udp4", local)
	if err != nil {
		return trace.Wrap(err, "listen for load messages")
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	go g.receive(conn)
	// Messages of an earlier life of this process must count as older.
	number := uint64(time.Now().UnixNano())
	timer := time.NewTimer(gossipLeast)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
		}
		peers := g.state.Peers()
		number++
		g.send(conn, peers, number)
		g.apply(len(peers), time.Now())
		timer.Reset(max(gossipLeast, time.Duration(len(peers))*gossipPerPeer))
	}
}

func (g *Gossip) receive(conn *net.UDPConn) {
	buffer := make([]byte, 1<<16)
	for {
		n, err := conn.Read(buffer)
		if err != nil {
			return // closed at the end of Run
		}
		message, err := loadshare.Parse(buffer[:n])
		if err != nil {
			klog.V(1).InfoS("load message dropped", "err", err.Error())
			continue
		}
		now := time.Now()
		if g.table.Take(message, now) {
			g.keeper.fetchedByOthers(message.Fetches, now)
			g.state.toldLeaving(message.Leaving, now)
		}
	}
}

func (g *Gossip) send(conn *net.UDPConn, peers []string, number uint64) {
	message := (&loadshare.Message{Sender: g.self, Number: number, Fetches: g.keeper.unsentFetches(), Leaving: g.state.leavingToTell(time.Now()), Loads: g.own()}).Append(nil)
	if len(message) > maxDatagram {
		// Idle targets are not in it, so only an overload of many targets at once makes it longer. The kernel cuts it up.
		klog.V(1).InfoS("long load message", "bytes", len(message))
	}
	for _, peer := range peers {
		address, err := net.ResolveUDPAddr("udp4", peer)
		if err != nil {
			continue // the instance's record names no address that can be reached
		}
		_, _ = conn.WriteToUDP(message, address) // lost messages are made good by the next
	}
}

// own returns this instance's work at each engine.
func (g *Gossip) own() []loadshare.Load {
	v := g.state.current.Load()
	if v == nil {
		return nil
	}
	var out []loadshare.Load
	for _, sv := range v.services {
		if sv.Engine == nil {
			continue
		}
		for _, t := range sv.order {
			for u := range routing.Urgencies {
				if pending, held := t.stats.OwnPending(u), t.stats.OwnHeld(u); pending > 0 || held > 0 {
					out = append(out, loadshare.Load{Target: t.hash, Urgency: uint8(u), Pending: uint32(pending), Held: uint32(held)})
				}
			}
		}
	}
	return out
}

// apply gives each target what the others tell of it.
func (g *Gossip) apply(peers int, now time.Time) {
	v := g.state.current.Load()
	if v == nil {
		return
	}
	sums, heard := g.table.Sums(now)
	scale := max(float64(peers+1)/float64(heard+1), 1)
	for _, sv := range v.services {
		if sv.Engine == nil {
			continue
		}
		for _, t := range sv.order {
			o := &routing.Others{Scale: scale}
			for _, l := range sums[t.hash] {
				u := min(int(l.Urgency), routing.Urgencies-1)
				o.Pending[u] += int(l.Pending)
				o.Held[u] += int(l.Held)
			}
			t.stats.SetOthers(o)
		}
	}
}
