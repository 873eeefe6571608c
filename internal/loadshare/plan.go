package loadshare

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/egrethoist/egrethoist/internal/delegate"
)

const (
	// directMost is the number of instances up to which each broadcasts to all others: beyond it the messages that an instance
	// receives would either be too many or too old.
	directMost = 16
	// period is the time between two messages of an instance: a first token takes about as long.
	period = 100 * time.Millisecond
	// directPerPeer is the least period for each other instance while all broadcast to all.
	directPerPeer = 10 * time.Millisecond
)

// Plan is which messages an instance sends where. In a large fleet each sends its own work to the hubs of its failure domain,
// these exchange the sums of their domains, and send the total to their domain. So an instance knows of all others within a few
// periods, and the messages between failure domains do not grow with the instances in them.
type Plan struct {
	Direct bool // all broadcast to all
	Period time.Duration
	Own    []string // addresses that get the own work
	Hubs   []uint64 // senders of the sum of all work, the preferred one first
	Hub    bool     // this instance is one of them

	// Only for hubs.
	Peers         []uint64            // the other instances of the domain
	PeerAddresses []string            // their addresses
	Domains       map[string][]uint64 // senders of the sums of the other domains, the preferred one first
	HubAddresses  []string            // addresses of the other domains' hubs
}

// SenderOf returns the name of an instance in messages.
func SenderOf(name string) uint64 { return xxhash.Sum64String(name) }

// MakePlan returns the plan of self, which need not be among the members yet.
func MakePlan(self delegate.Member, members []delegate.Member) Plan {
	if len(members) <= directMost {
		p := Plan{Direct: true, Period: max(period, time.Duration(len(members)-1)*directPerPeer)}
		for _, m := range members {
			if m.Name != self.Name && m.Address != "" {
				p.Own = append(p.Own, m.Address)
			}
		}
		slices.Sort(p.Own)
		return p
	}
	p := Plan{Period: period}
	for _, h := range delegate.Choose(delegate.AggregateLoads, self.Domain, members) {
		p.Hubs = append(p.Hubs, SenderOf(h.Name))
		if h.Name == self.Name {
			p.Hub = true
			continue
		}
		p.Own = append(p.Own, h.Address)
	}
	if p.Hub {
		p.addDomains(self, members)
	}
	return p
}

// addDomains fills in what only hubs need.
func (p *Plan) addDomains(self delegate.Member, members []delegate.Member) {
	p.Domains = map[string][]uint64{}
	for _, m := range members {
		if m.Domain == self.Domain {
			if m.Name != self.Name {
				p.Peers = append(p.Peers, SenderOf(m.Name))
				p.PeerAddresses = append(p.PeerAddresses, m.Address)
			}
			continue
		}
		if _, done := p.Domains[m.Domain]; done {
			continue
		}
		p.Domains[m.Domain] = nil
		for _, h := range delegate.Choose(delegate.AggregateLoads, m.Domain, members) {
			p.Domains[m.Domain] = append(p.Domains[m.Domain], SenderOf(h.Name))
			p.HubAddresses = append(p.HubAddresses, h.Address)
		}
	}
}

// Tables are the last messages of each kind. They are safe for concurrent use.
type Tables [numKinds]*Table

// NewTables returns tables that drop a sender whose last message is older than fresh.
func NewTables(fresh time.Duration) *Tables {
	t := new(Tables)
	for i := range t {
		t[i] = NewTable(fresh)
	}
	return t
}

// First returns the last sum of the first of some senders with a fresh message, nil if there is none.
func (t *Tables) First(k Kind, senders []uint64, now time.Time) *Sum {
	for _, s := range senders {
		if found := t[k].Latest([]uint64{s}, now); len(found) > 0 {
			return found[0]
		}
	}
	return nil
}

// Prefers reports whether a sender is the first of some that has a fresh message.
func (t *Tables) Prefers(k Kind, senders []uint64, sender uint64, now time.Time) bool {
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

// HubSums returns the sums of a hub's domain and of all instances. own is its own work.
func (t *Tables) HubSums(p *Plan, own *Sum, now time.Time) (domain, total *Sum) {
	domain = Add(append(t[Own].Latest(p.Peers, now), own)...)
	all := []*Sum{domain}
	for _, hubs := range p.Domains {
		if s := t.First(Domain, hubs, now); s != nil {
			all = append(all, s)
		}
	}
	return domain, Add(all...)
}

// IsActive reports whether a hub is the one that sends the sums now: no hub before it has a fresh message.
func (t *Tables) IsActive(p *Plan, self uint64, now time.Time) bool {
	return t.Prefers(Total, p.Hubs, self, now)
}
