package loadshare

import (
	"sync"
	"time"

	"github.com/egrethoist/egrethoist/internal/workspaceshare"
)

// UsageSum is the usage of several instances, decayed to one time.
type UsageSum struct {
	Usage    []workspaceshare.Usage
	NewestAt time.Time // when the newest message was received; zero if there is none
}

// UsageTables holds the last usage messages of each kind by sender. Fragments are replaced one by one, so a lost one only
// leaves older usage of its workspaces. It is safe for concurrent use.
type UsageTables struct {
	mu      sync.Mutex
	senders [numKinds]map[uint64]*usageSender
}

type usageSender struct {
	fragments []usageFragment // by index
	newestAt  time.Time
}

type usageFragment struct {
	sequence   uint64
	receivedAt time.Time // zero: none received
	usage      []workspaceshare.Usage
}

// NewUsageTables returns empty tables.
func NewUsageTables() *UsageTables {
	t := &UsageTables{}
	for i := range t.senders {
		t.senders[i] = map[uint64]*usageSender{}
	}
	return t
}

// Receive adds a fragment, unless a newer one of its index was received before.
func (t *UsageTables) Receive(m *UsageMessage, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.senders[m.Kind][m.Sender]
	if s == nil || now.Sub(s.newestAt) >= workspaceshare.MaxAge {
		s = &usageSender{}
		t.senders[m.Kind][m.Sender] = s
	}
	if len(s.fragments) != int(m.Fragments) {
		for _, f := range s.fragments {
			if f.sequence > m.Sequence {
				return // the message is older than the one with another number of fragments
			}
		}
		s.fragments = make([]usageFragment, m.Fragments)
	}
	if f := &s.fragments[m.Fragment]; m.Sequence > f.sequence {
		*f = usageFragment{sequence: m.Sequence, receivedAt: now, usage: m.Usage}
		s.newestAt = now
	}
}

// Sum returns the usage of all instances that send their own, and forgets those whose usage is too old.
func (t *UsageTables) Sum(now time.Time) UsageSum {
	t.mu.Lock()
	defer t.mu.Unlock()
	sums := make([]UsageSum, 0, len(t.senders[Own]))
	for sender, s := range t.senders[Own] {
		if now.Sub(s.newestAt) >= workspaceshare.MaxAge {
			delete(t.senders[Own], sender)
			continue
		}
		sums = append(sums, s.aged(now))
	}
	return AddUsage(sums...)
}

// HubSums returns the usage of a hub's failure domain and of all instances. own is the hub's own usage.
func (t *UsageTables) HubSums(p *Plan, own []workspaceshare.Usage, now time.Time) (domain, total UsageSum) {
	t.mu.Lock()
	defer t.mu.Unlock()
	sums := []UsageSum{{Usage: own}}
	for _, peer := range p.Peers {
		if s := t.senders[Own][peer]; s != nil {
			sums = append(sums, s.aged(now))
		}
	}
	domain = AddUsage(sums...)
	sums = []UsageSum{domain}
	for _, hubs := range p.DomainHubs {
		sums = append(sums, t.newest(Domain, hubs, now))
	}
	return domain, AddUsage(sums...)
}

// Total returns the newest usage of all instances from one of the hubs.
func (t *UsageTables) Total(hubs []uint64, now time.Time) UsageSum {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.newest(Total, hubs, now)
}

// newest returns the newest message of a kind from one of the senders. t.mu must be held.
func (t *UsageTables) newest(k Kind, senders []uint64, now time.Time) UsageSum {
	var newest *usageSender
	for _, sender := range senders {
		if s := t.senders[k][sender]; s != nil && (newest == nil || s.newestAt.After(newest.newestAt)) {
			newest = s
		}
	}
	if newest == nil {
		return UsageSum{}
	}
	return newest.aged(now)
}

// aged returns the usage decayed to now, without fragments that are too old.
func (s *usageSender) aged(now time.Time) UsageSum {
	out := UsageSum{NewestAt: s.newestAt}
	if now.Sub(s.newestAt) >= workspaceshare.MaxAge {
		return UsageSum{}
	}
	for _, f := range s.fragments {
		age := now.Sub(f.receivedAt)
		if f.receivedAt.IsZero() || age >= workspaceshare.MaxAge {
			continue
		}
		for _, u := range f.usage {
			out.Usage = append(out.Usage, u.Aged(age))
		}
	}
	return out
}

// AddUsage sums up usage by workspace.
func AddUsage(sums ...UsageSum) UsageSum {
	out := UsageSum{}
	index := map[workspaceshare.Key]int{}
	for _, s := range sums {
		if s.NewestAt.After(out.NewestAt) {
			out.NewestAt = s.NewestAt
		}
		for _, u := range s.Usage {
			if i, ok := index[u.Key]; ok {
				out.Usage[i].Asked += u.Asked
				out.Usage[i].Used += u.Used
				continue
			}
			index[u.Key] = len(out.Usage)
			out.Usage = append(out.Usage, u)
		}
	}
	return out
}

// Without returns the usage minus that of one instance, clamped at zero: the instance may have sent it after the sum was made.
func (s UsageSum) Without(own []workspaceshare.Usage) UsageSum {
	byKey := make(map[workspaceshare.Key]workspaceshare.Usage, len(own))
	for _, u := range own {
		byKey[u.Key] = u
	}
	out := UsageSum{NewestAt: s.NewestAt, Usage: make([]workspaceshare.Usage, 0, len(s.Usage))}
	for _, u := range s.Usage {
		o := byKey[u.Key]
		u.Asked, u.Used = max(u.Asked-o.Asked, 0), max(u.Used-o.Used, 0)
		if u.Asked > 0 {
			out.Usage = append(out.Usage, u)
		}
	}
	return out
}
