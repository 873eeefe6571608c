package loadshare

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/egrethoist/egrethoist/internal/delegate"
)

const treeTTL = 500 * time.Millisecond

// instance is an instance of a simulated fleet.
type instance struct {
	delegate.Member
	sender   uint64
	plan     Plan
	tables   *Tables
	sequence uint64
	work     uint32 // tokens in flight at the only target
	sent     int    // messages
	received int    // messages
	down     bool
}

// fleet simulates the messages of a fleet in virtual time. All instances send at the same times.
type fleet struct {
	now         time.Time
	instances   []*instance
	byAddress   map[string]*instance
	rng         *rand.Rand
	loss        float64 // probability that a message is lost
	partitioned string  // failure domain that is cut off; empty if none
}

func newFleet(n, domains int) *fleet {
	f := &fleet{now: epoch, byAddress: map[string]*instance{}, rng: rand.New(rand.NewPCG(1, 2))}
	for i := range n {
		m := delegate.Member{Name: fmt.Sprint("front-", i), Domain: fmt.Sprint("d", i%domains), Address: fmt.Sprint("10.0.0.", i, ":1")}
		in := &instance{Member: m, sender: SenderID(m.Name), tables: NewTables(treeTTL), work: uint32(1000 + i)}
		f.instances, f.byAddress[m.Address] = append(f.instances, in), in
	}
	f.updatePlans()
	return f
}

func (f *fleet) updatePlans() {
	var members []delegate.Member
	for _, in := range f.instances {
		members = append(members, in.Member)
	}
	for _, in := range f.instances {
		in.plan = NewPlan(in.Member, members)
	}
}

func (f *fleet) send(from *instance, to []string, m *Message) {
	for _, address := range to {
		in := f.byAddress[address]
		from.sent++
		if in.down || f.rng.Float64() < f.loss || (in.Domain == f.partitioned) != (from.Domain == f.partitioned) {
			continue
		}
		in.received++
		parsed, err := Parse(m.Append(nil))
		if err != nil {
			panic(err)
		}
		in.tables[m.Kind].Receive(parsed, f.now)
	}
}

// step simulates one period.
func (f *fleet) step() {
	f.now = f.now.Add(basePeriod)
	for _, in := range f.instances {
		if in.down {
			continue
		}
		in.sequence++
		own := &Message{Sender: in.sender, Sequence: in.sequence, Members: 1, Fragments: 1, Loads: []Load{{Target: 9, InFlight: in.work}}}
		f.send(in, in.plan.OwnRecipients, own)
		if !in.plan.IsHub || !in.tables.IsActiveHub(&in.plan, in.sender, f.now) {
			continue
		}
		domain, total := in.tables.HubSums(&in.plan, own.Sum(), f.now)
		f.send(in, in.plan.RemoteHubAddresses, &Message{Sender: in.sender, Sequence: in.sequence, Kind: Domain, Fragments: 1, Members: uint16(domain.Members), Loads: domain.Loads})
		f.send(in, in.plan.PeerAddresses, &Message{Sender: in.sender, Sequence: in.sequence, Kind: Total, Fragments: 1, Members: uint16(total.Members), Loads: total.Loads})
	}
}

func (f *fleet) run(d time.Duration) {
	for range d / basePeriod {
		f.step()
	}
}

// observedWork returns the tokens of other instances that an instance knows of, and the number of instances included, with itself.
func (f *fleet) observedWork(in *instance) (inFlight uint32, members int) {
	own := []Load{{Target: 9, InFlight: in.work}}
	var s *Sum
	if in.plan.IsHub {
		_, s = in.tables.HubSums(&in.plan, &Sum{Members: 1, Loads: own}, f.now)
	} else if s = in.tables.LatestPreferred(Total, in.plan.Hubs, f.now); s == nil {
		return 0, 1
	}
	for _, l := range s.Without(own) {
		inFlight += l.InFlight
	}
	return inFlight, s.Members
}

// expectedWork returns the tokens of all instances in the selected domains except one, and the number of instances, with that one.
func (f *fleet) expectedWork(except *instance, domain func(string) bool) (inFlight uint32, members int) {
	for _, in := range f.instances {
		if in.down || !domain(in.Domain) {
			continue
		}
		members++
		if in != except {
			inFlight += in.work
		}
	}
	return inFlight, members
}

func (f *fleet) check(t *testing.T, situation string, domain func(seen, from string) bool) {
	t.Helper()
	for _, in := range f.instances {
		if in.down {
			continue
		}
		inFlight, members := f.observedWork(in)
		wantInFlight, wantMembers := f.expectedWork(in, func(d string) bool { return domain(d, in.Domain) })
		if inFlight != wantInFlight || members != wantMembers {
			t.Fatalf("%s: %s (hub: %v) knows of %d tokens of %d instances, want %d of %d", situation, in.Name, in.plan.IsHub, inFlight, members, wantInFlight, wantMembers)
		}
	}
}

func anyDomain(string, string) bool { return true }

// In a large fleet, a change of work must reach all instances within four periods, and the number of messages of an instance must grow
// with its failure domain and the number of domains, not with the fleet.
func TestTreeDistributesAllWork(t *testing.T) {
	for _, c := range []struct{ instances, domains int }{{30, 3}, {68, 5}, {300, 5}, {660, 17}} {
		f := newFleet(c.instances, c.domains)
		f.run(2 * time.Second)
		f.check(t, "at rest", anyDomain)
		for _, in := range f.instances {
			in.work += 500
		}
		f.run(4 * basePeriod)
		f.check(t, "four periods after a change", anyDomain)
		for _, in := range f.instances {
			in.sent, in.received = 0, 0
		}
		f.run(time.Second)
		busiestHub, busiestOther := 0, 0
		for _, in := range f.instances {
			busiestHub = max(busiestHub, in.sent, in.received)
			if !in.plan.IsHub {
				busiestOther = max(busiestOther, in.sent+in.received)
			}
		}
		maxPerPeriod := (c.instances+c.domains-1)/c.domains + 2*c.domains // the instances of its domain, and the hubs of the other domains
		if periods := int(time.Second / basePeriod); busiestHub > maxPerPeriod*periods || busiestOther > 4*periods {
			t.Errorf("%d instances: %d messages per second at the busiest hub, %d at the busiest other instance", c.instances, busiestHub, busiestOther)
		}
	}
}

// When a hub dies or freezes, the second hub of its domain must take over as soon as the messages of the first have expired, without
// waiting for its instance record to expire. It must stop when the first hub returns.
func TestSecondHubTakesOver(t *testing.T) {
	f := newFleet(68, 5)
	f.run(time.Second)
	for _, in := range f.instances {
		if in.plan.IsHub && in.plan.Hubs[0] == in.sender {
			in.down = true
		}
	}
	f.run(treeTTL + 6*basePeriod)
	f.check(t, "without all first hubs", anyDomain)
	for _, in := range f.instances {
		in.down = false
	}
	f.run(time.Second)
	f.check(t, "after their return", anyDomain)
	for _, in := range f.instances {
		in.sent = 0
	}
	f.run(time.Second)
	for _, in := range f.instances {
		if in.plan.IsHub && in.plan.Hubs[0] != in.sender && in.sent > 2*int(time.Second/basePeriod) {
			t.Errorf("second hub %s still sends sums although the first has returned", in.Name)
		}
	}
}

// During a partition, each side must know the work of its own instances and count only these.
func TestPartitionedDomain(t *testing.T) {
	f := newFleet(68, 5)
	f.run(time.Second)
	f.partitioned = "d2"
	f.run(treeTTL + 6*basePeriod)
	f.check(t, "cut off", func(seen, from string) bool { return (seen == "d2") == (from == "d2") })
	f.partitioned = ""
	f.run(time.Second)
	f.check(t, "healed", anyDomain)
}

// Guards against counting work twice when instances have different views of the members, for example after a restart with an old view:
// sums may become smaller, never larger.
func TestDifferingPlansNeverCountTwice(t *testing.T) {
	f := newFleet(68, 5)
	f.loss = 0.1
	var known []delegate.Member
	for _, in := range f.instances[:50] {
		known = append(known, in.Member)
	}
	for i, in := range f.instances {
		if i%3 == 0 {
			in.plan = NewPlan(in.Member, known)
		}
	}
	for range 40 {
		f.step()
		for _, in := range f.instances {
			inFlight, _ := f.observedWork(in)
			if total, _ := f.expectedWork(in, func(string) bool { return true }); inFlight > total {
				t.Fatalf("%s knows of %d tokens, but there are only %d", in.Name, inFlight, total)
			}
		}
	}
}

func TestSmallFleetBroadcastsDirectly(t *testing.T) {
	f := newFleet(maxDirectInstances, 3)
	for _, in := range f.instances {
		if !in.plan.Direct || len(in.plan.OwnRecipients) != maxDirectInstances-1 || slices.Contains(in.plan.OwnRecipients, in.Address) {
			t.Fatalf("plan %+v", in.plan)
		}
	}
	if p := NewPlan(delegate.Member{Name: "new", Domain: "d0"}, nil); !p.Direct || len(p.OwnRecipients) != 0 {
		t.Errorf("plan of an instance without known members: %+v", p)
	}
}

func TestAddAndWithout(t *testing.T) {
	sum := Add(
		&Sum{Members: 1, Leaving: []uint64{5}, Fetches: []Fetches{{Store: 3, Count: 1, LatenessRatio: 100}}, Loads: []Load{{Target: 9, InFlight: 10}, {Target: 9, Urgency: 2, PendingPrefill: 7}}},
		&Sum{Members: 2, Leaving: []uint64{5, 6}, Fetches: []Fetches{{Store: 3, Count: 3, LatenessRatio: 20}}, Loads: []Load{{Target: 9, InFlight: 5}}},
	)
	if sum.Members != 3 || len(sum.Leaving) != 2 || len(sum.Fetches) != 1 || sum.Fetches[0].Count != 4 || sum.Fetches[0].LatenessRatio != 40 {
		t.Errorf("sum %+v", sum)
	}
	rest := sum.Without([]Load{{Target: 9, InFlight: 12}, {Target: 9, Urgency: 2, PendingPrefill: 100}, {Target: 8, InFlight: 1}})
	if len(rest) != 1 || rest[0] != (Load{Target: 9, InFlight: 3}) {
		t.Errorf("loads without the own ones: %v", rest)
	}
}

// A message that exceeds a datagram is sent in fragments. It must take effect once all have arrived, in any order, and an incomplete
// message must not affect the last complete one.
func TestFragments(t *testing.T) {
	const maxBytes = 1400
	rapid.Check(t, func(t *rapid.T) {
		m := &Message{Sender: 7, Sequence: 9, Members: 68, Kind: Total, Fetches: []Fetches{{Store: 1, Count: 2}}, Leaving: []uint64{4}}
		for i := range rapid.IntRange(0, 400).Draw(t, "loads") {
			m.Loads = append(m.Loads, Load{Target: uint64(i), InFlight: 1 << 31, PendingPrefill: 1 << 31})
		}
		fragments := m.Split(maxBytes)
		table := NewTable(time.Second)
		complete := false
		for _, i := range rapid.Permutation(indices(len(fragments))).Draw(t, "order") {
			if len(fragments[i]) > maxBytes {
				t.Fatalf("fragment of %d bytes", len(fragments[i]))
			}
			p, err := Parse(fragments[i])
			if err != nil {
				t.Fatal(err)
			}
			if complete {
				t.Fatal("complete before the last fragment")
			}
			complete = table.Receive(p, epoch)
		}
		all := table.Sum(epoch)
		if !complete || all.Members != 68 || len(all.Loads) != len(m.Loads) || len(all.Fetches) != 1 || len(all.Leaving) != 1 {
			t.Fatalf("complete %v: %d members, %d loads of %d", complete, all.Members, len(all.Loads), len(m.Loads))
		}
		if len(fragments) > 1 {
			m.Sequence++
			lost, _ := Parse(m.Split(maxBytes)[0])
			if table.Receive(lost, epoch) || len(table.Sum(epoch).Loads) != len(m.Loads) {
				t.Fatal("a single fragment replaced a complete message")
			}
		}
	})
}

func indices(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}
