package loadshare

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/egrethoist/egrethoist/internal/delegate"
)

const (
	// maxDirectInstances is the fleet size up to which each instance sends its messages to all others. In a larger fleet an instance
	// would receive too many messages, or too old ones at a longer period.
	maxDirectInstances = 16
	// basePeriod is the time between two messages of an instance. It is about the time to a first token.
	basePeriod = 100 * time.Millisecond
	// directPeriodPerPeer is the minimum period per other instance while all instances send to all others.
	directPeriodPerPeer = 10 * time.Millisecond
)

// Plan determines the messages that an instance sends and their recipients. In a large fleet each instance sends its own work to the
// hubs of its failure domain. The hubs exchange the sums of their domains and send the total to the instances of their domain. So the
// work of an instance reaches all others within a few periods, and the number of messages between failure domains does not grow with
// the number of instances in them.
type Plan struct {
	Direct        bool          // small fleet: every instance sends to all others
	Period        time.Duration // between two messages
	OwnRecipients []string      // addresses that this instance's own work is sent to
	Hubs          []uint64      // hubs of the own domain, the preferred one first
	IsHub         bool          // whether this instance is one of Hubs

	// Set only for hubs.
	Peers              []uint64            // the other instances of the domain
	PeerAddresses      []string            // addresses of Peers
	DomainHubs         map[string][]uint64 // hubs of each other domain, the preferred one first
	RemoteHubAddresses []string            // addresses of the hubs of all other domains
}

// SenderID returns the hash that identifies an instance in messages.
func SenderID(name string) uint64 { return xxhash.Sum64String(name) }

// NewPlan returns the plan of self, which need not be among the members yet.
func NewPlan(self delegate.Member, members []delegate.Member) Plan {
	if len(members) <= maxDirectInstances {
		p := Plan{Direct: true, Period: max(basePeriod, time.Duration(len(members)-1)*directPeriodPerPeer)}
		for _, m := range members {
			if m.Name != self.Name && m.Address != "" {
				p.OwnRecipients = append(p.OwnRecipients, m.Address)
			}
		}
		slices.Sort(p.OwnRecipients)
		return p
	}
	p := Plan{Period: basePeriod}
	for _, h := range delegate.Choose(delegate.AggregateLoads, self.Domain, members) {
		p.Hubs = append(p.Hubs, SenderID(h.Name))
		if h.Name == self.Name {
			p.IsHub = true
			continue
		}
		p.OwnRecipients = append(p.OwnRecipients, h.Address)
	}
	if p.IsHub {
		p.addHubRoutes(self, members)
	}
	return p
}

// addHubRoutes sets the fields that only hubs need.
func (p *Plan) addHubRoutes(self delegate.Member, members []delegate.Member) {
	p.DomainHubs = map[string][]uint64{}
	for _, m := range members {
		if m.Domain == self.Domain {
			if m.Name != self.Name {
				p.Peers = append(p.Peers, SenderID(m.Name))
				p.PeerAddresses = append(p.PeerAddresses, m.Address)
			}
			continue
		}
		if _, added := p.DomainHubs[m.Domain]; added {
			continue
		}
		p.DomainHubs[m.Domain] = nil
		for _, h := range delegate.Choose(delegate.AggregateLoads, m.Domain, members) {
			p.DomainHubs[m.Domain] = append(p.DomainHubs[m.Domain], SenderID(h.Name))
			p.RemoteHubAddresses = append(p.RemoteHubAddresses, h.Address)
		}
	}
}

// Tables holds the last messages of each kind. It is safe for concurrent use.
type Tables [numKinds]*Table

// NewTables returns tables that drop a sender after ttl without a complete message.
func NewTables(ttl time.Duration) *Tables {
	t := new(Tables)
	for i := range t {
		t[i] = NewTable(ttl)
	}
	return t
}

// LatestPreferred returns the last message of the first of the senders that has an unexpired one, nil if none has.
func (t *Tables) LatestPreferred(k Kind, senders []uint64, now time.Time) *Sum {
	for _, s := range senders {
		if sums := t[k].Latest([]uint64{s}, now); len(sums) > 0 {
			return sums[0]
		}
	}
	return nil
}

// IsPreferred reports whether sender is among senders and none before it has an unexpired message.
func (t *Tables) IsPreferred(k Kind, senders []uint64, sender uint64, now time.Time) bool {
	for _, s := range senders {
		if s == sender {
			return true
		}
		if len(t[k].Latest([]uint64{s}, now)) > 0 {
			return false
		}
	}
	return false
}

// HubSums returns the sums over a hub's failure domain and over all instances. own is the hub's own work.
func (t *Tables) HubSums(p *Plan, own *Sum, now time.Time) (domain, total *Sum) {
	domain = Add(append(t[Own].Latest(p.Peers, now), own)...)
	sums := []*Sum{domain}
	for _, hubs := range p.DomainHubs {
		if s := t.LatestPreferred(Domain, hubs, now); s != nil {
			sums = append(sums, s)
		}
	}
	return domain, Add(sums...)
}

// IsActiveHub reports whether the hub self has to send the sums: no hub preferred to it has an unexpired message.
func (t *Tables) IsActiveHub(p *Plan, self uint64, now time.Time) bool {
	return t.IsPreferred(Total, p.Hubs, self, now)
}
