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

const treeFresh = 500 * time.Millisecond

// instance is one of a simulated fleet.
type instance struct {
	delegate.Member
	sender   uint64
	plan     Plan
	tables   *Tables
	number   uint64
	work     uint32 // tokens at the one target
	sent     int
	received int
	down     bool
}

// fleet plays the messages of a fleet under virtual time, all in step.
type fleet struct {
	now   time.Time
	list  []*instance
	at    map[string]*instance
	rng   *rand.Rand
	loss  float64
	apart string // a failure domain that is cut off
}

func newFleet(n, domains int) *fleet {
	f := &fleet{now: epoch, at: map[string]*instance{}, rng: rand.New(rand.NewPCG(1, 2))}
	for i := range n {
		m := delegate.Member{Name: fmt.Sprint("front-", i), Domain: fmt.Sprint("d", i%domains), Address: fmt.Sprint("10.0.0.", i, ":1")}
		in := &instance{Member: m, sender: SenderOf(m.Name), tables: NewTables(treeFresh), work: uint32(1000 + i)}
		f.list, f.at[m.Address] = append(f.list, in), in
	}
	f.plan()
	return f
}

func (f *fleet) plan() {
	var members []delegate.Member
	for _, in := range f.list {
		members = append(members, in.Member)
	}
	for _, in := range f.list {
		in.plan = MakePlan(in.Member, members)
	}
}

func (f *fleet) send(from *instance, to []string, m *Message) {
	for _, address := range to {
		in := f.at[address]
		from.sent++
		if in.down || f.rng.Float64() < f.loss || (in.Domain == f.apart) != (from.Domain == f.apart) {
			continue
		}
		in.received++
		parsed, err := Parse(m.Append(nil))
		if err != nil {
			panic(err)
		}
		in.tables[m.Kind].Take(parsed, f.now)
	}
}

// step plays one period.
func (f *fleet) step() {
	f.now = f.now.Add(period)
	for _, in := range f.list {
		if in.down {
			continue
		}
		in.number++
		own := &Message{Sender: in.sender, Number: in.number, Members: 1, Pieces: 1, Loads: []Load{{Target: 9, Held: in.work}}}
		f.send(in, in.plan.Own, own)
		if !in.plan.Hub || !in.tables.IsActive(&in.plan, in.sender, f.now) {
			continue
		}
		domain, total := in.tables.HubSums(&in.plan, own.Sum(), f.now)
		f.send(in, in.plan.HubAddresses, &Message{Sender: in.sender, Number: in.number, Kind: Domain, Pieces: 1, Members: uint16(domain.Members), Loads: domain.Loads})
		f.send(in, in.plan.PeerAddresses, &Message{Sender: in.sender, Number: in.number, Kind: Total, Pieces: 1, Members: uint16(total.Members), Loads: total.Loads})
	}
}

func (f *fleet) run(d time.Duration) {
	for range d / period {
		f.step()
	}
}

// known returns the work of others that an instance knows of, and of how many instances it is, itself included.
func (f *fleet) known(in *instance) (held uint32, members int) {
	own := []Load{{Target: 9, Held: in.work}}
	var s *Sum
	if in.plan.Hub {
		_, s = in.tables.HubSums(&in.plan, &Sum{Members: 1, Loads: own}, f.now)
	} else if s = in.tables.First(Total, in.plan.Hubs, f.now); s == nil {
		return 0, 1
	}
	for _, l := range s.Without(own) {
		held += l.Held
	}
	return held, s.Members
}

// all returns what the instances of some domains but one hold, and their number.
func (f *fleet) all(but *instance, domain func(string) bool) (held uint32, members int) {
	for _, in := range f.list {
		if in.down || !domain(in.Domain) {
			continue
		}
		members++
		if in != but {
			held += in.work
		}
	}
	return held, members
}

func (f *fleet) check(t *testing.T, what string, domain func(seen, from string) bool) {
	t.Helper()
	for _, in := range f.list {
		if in.down {
			continue
		}
		held, members := f.known(in)
		wantHeld, wantMembers := f.all(in, func(d string) bool { return domain(d, in.Domain) })
		if held != wantHeld || members != wantMembers {
			t.Fatalf("%s: %s (hub: %v) knows of %d tokens at %d instances, want %d at %d", what, in.Name, in.plan.Hub, held, members, wantHeld, wantMembers)
		}
	}
}

func everywhere(string, string) bool { return true }

// Pattern: a large fleet at high load. Each instance knows the work of all others that is older than four periods, and the
// messages of an instance do not grow with the fleet but with its failure domain.
func TestTreeTellsAll(t *testing.T) {
	for _, c := range []struct{ instances, domains int }{{30, 3}, {68, 5}, {300, 5}, {660, 17}} {
		f := newFleet(c.instances, c.domains)
		f.run(2 * time.Second)
		f.check(t, "at rest", everywhere)
		for _, in := range f.list {
			in.work += 500
		}
		f.run(4 * period)
		f.check(t, "four periods after a change", everywhere)
		for _, in := range f.list {
			in.sent, in.received = 0, 0
		}
		f.run(time.Second)
		busiest, usual := 0, 0
		for _, in := range f.list {
			busiest = max(busiest, in.sent, in.received)
			if !in.plan.Hub {
				usual = max(usual, in.sent+in.received)
			}
		}
		most := (c.instances+c.domains-1)/c.domains + 2*c.domains // its domain, and the hubs of the others
		if periods := int(time.Second / period); busiest > most*periods || usual > 4*periods {
			t.Errorf("%d instances: %d messages a second at the busiest hub, %d at others", c.instances, busiest, usual)
		}
	}
}

// A hub that dies or freezes is replaced by the other one of its domain as soon as its messages are old, before the record of
// the dead one has lapsed.
func TestSecondHubTakesOver(t *testing.T) {
	f := newFleet(68, 5)
	f.run(time.Second)
	for _, in := range f.list {
		if in.plan.Hub && in.plan.Hubs[0] == in.sender {
			in.down = true
		}
	}
	f.run(treeFresh + 6*period)
	f.check(t, "without all first hubs", everywhere)
	for _, in := range f.list {
		in.down = false
	}
	f.run(time.Second)
	f.check(t, "after their return", everywhere)
	for _, in := range f.list {
		in.sent = 0
	}
	f.run(time.Second)
	for _, in := range f.list {
		if in.plan.Hub && in.plan.Hubs[0] != in.sender && in.sent > 2*int(time.Second/period) {
			t.Errorf("second hub %s speaks on beside the first", in.Name)
		}
	}
}

// A domain that is cut off knows its own work, the others theirs, and each says of how many instances that is.
func TestDomainCutOff(t *testing.T) {
	f := newFleet(68, 5)
	f.run(time.Second)
	f.apart = "d2"
	f.run(treeFresh + 6*period)
	f.check(t, "cut off", func(seen, from string) bool { return (seen == "d2") == (from == "d2") })
	f.apart = ""
	f.run(time.Second)
	f.check(t, "healed", everywhere)
}

// A process that restarts with an old view of the members, or two that disagree on them, make sums smaller, never larger.
func TestDisagreementNeverCountsTwice(t *testing.T) {
	f := newFleet(68, 5)
	f.loss = 0.1
	var some []delegate.Member
	for _, in := range f.list[:50] {
		some = append(some, in.Member)
	}
	for i, in := range f.list {
		if i%3 == 0 {
			in.plan = MakePlan(in.Member, some)
		}
	}
	for range 40 {
		f.step()
		for _, in := range f.list {
			held, _ := f.known(in)
			if most, _ := f.all(in, func(string) bool { return true }); held > most {
				t.Fatalf("%s knows of %d tokens, there are %d", in.Name, held, most)
			}
		}
	}
}

func TestSmallFleetTellsDirectly(t *testing.T) {
	f := newFleet(directMost, 3)
	for _, in := range f.list {
		if !in.plan.Direct || len(in.plan.Own) != directMost-1 || slices.Contains(in.plan.Own, in.Address) {
			t.Fatalf("plan %+v", in.plan)
		}
	}
	if p := MakePlan(delegate.Member{Name: "new", Domain: "d0"}, nil); !p.Direct || len(p.Own) != 0 {
		t.Errorf("plan of an instance that knows no other: %+v", p)
	}
}

func TestAddAndWithout(t *testing.T) {
	sum := Add(
		&Sum{Members: 1, Leaving: []uint64{5}, Fetches: []Fetches{{Store: 3, Count: 1, Strain: 100}}, Loads: []Load{{Target: 9, Held: 10}, {Target: 9, Urgency: 2, Pending: 7}}},
		&Sum{Members: 2, Leaving: []uint64{5, 6}, Fetches: []Fetches{{Store: 3, Count: 3, Strain: 20}}, Loads: []Load{{Target: 9, Held: 5}}},
	)
	if sum.Members != 3 || len(sum.Leaving) != 2 || len(sum.Fetches) != 1 || sum.Fetches[0].Count != 4 || sum.Fetches[0].Strain != 40 {
		t.Errorf("sum %+v", sum)
	}
	rest := sum.Without([]Load{{Target: 9, Held: 12}, {Target: 9, Urgency: 2, Pending: 100}, {Target: 8, Held: 1}})
	if len(rest) != 1 || rest[0] != (Load{Target: 9, Held: 3}) {
		t.Errorf("without the own: %v", rest)
	}
}

// A message of many targets travels in pieces. It counts once all are there, in any order, and a lost piece spoils only it.
func TestPieces(t *testing.T) {
	const limit = 1400
	rapid.Check(t, func(t *rapid.T) {
		m := &Message{Sender: 7, Number: 9, Members: 68, Kind: Total, Fetches: []Fetches{{Store: 1, Count: 2}}, Leaving: []uint64{4}}
		for i := range rapid.IntRange(0, 400).Draw(t, "loads") {
			m.Loads = append(m.Loads, Load{Target: uint64(i), Held: 1 << 31, Pending: 1 << 31})
		}
		pieces := m.Split(limit)
		table := NewTable(time.Second)
		whole := false
		for _, i := range rapid.Permutation(seq(len(pieces))).Draw(t, "order") {
			if len(pieces[i]) > limit {
				t.Fatalf("piece of %d bytes", len(pieces[i]))
			}
			p, err := Parse(pieces[i])
			if err != nil {
				t.Fatal(err)
			}
			if whole {
				t.Fatal("whole before the last piece")
			}
			whole = table.Take(p, epoch)
		}
		all := table.All(epoch)
		if !whole || all.Members != 68 || len(all.Loads) != len(m.Loads) || len(all.Fetches) != 1 || len(all.Leaving) != 1 {
			t.Fatalf("whole %v: %d members, %d loads of %d", whole, all.Members, len(all.Loads), len(m.Loads))
		}
		if len(pieces) > 1 {
			m.Number++
			lost, _ := Parse(m.Split(limit)[0])
			if table.Take(lost, epoch) || len(table.All(epoch).Loads) != len(m.Loads) {
				t.Fatal("a piece alone takes the place of a whole message")
			}
		}
	})
}

func seq(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}
