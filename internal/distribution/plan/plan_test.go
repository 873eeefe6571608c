package plan

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// entries returns n entries in two regions.
func entries(n int) []Peer {
	var list []Peer
	for i := range n {
		name := fmt.Sprint("entry-", i)
		list = append(list, Peer{Name: name, Region: fmt.Sprint("r", i%2), Address: name})
	}
	return list
}

// watchers returns the names of the entries that consider themselves watchers.
func watchers(list []Peer) map[string]bool {
	set := map[string]bool{}
	for _, p := range list {
		planner := New(p, Options{})
		planner.SetPeers(list)
		if !p.Leaving && planner.IsWatcher() {
			set[p.Name] = true
		}
	}
	return set
}

// TestWatchersAreReplaced guards against a region with too few watchers, or with a new set of watchers, after one of
// them leaves.
func TestWatchersAreReplaced(t *testing.T) {
	list := entries(40)
	before := watchers(list)
	if len(before) != 2*DefaultWatchersPerRegion {
		t.Fatalf("%d watchers in two regions", len(before))
	}
	for i := range list {
		if !before[list[i].Name] {
			continue
		}
		list[i].Leaving = true
		after := watchers(list)
		kept := 0
		for name := range after {
			if before[name] {
				kept++
			}
		}
		if len(after) != len(before) || kept != len(before)-1 {
			t.Errorf("without %s: %d watchers, %d of them kept", list[i].Name, len(after), kept)
		}
		list[i].Leaving = false
	}
}

// TestUnconfirmedReadsDoNotGrowWithTheFleet guards against overload of the key-value service by entries with an
// unconfirmed revision.
func TestUnconfirmedReadsDoNotGrowWithTheFleet(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for _, n := range []int{20, 200, 600} {
		list := entries(n)
		reads := 0
		const periods = 200
		for _, p := range list {
			planner := New(p, Options{})
			planner.SetPeers(list)
			for range periods {
				if planner.ShouldReadHead(DefaultUnconfirmedAfter, true, rng) {
					reads++
				}
			}
			if planner.ShouldReadHead(0, true, rng) {
				t.Fatal("an entry with a confirmed revision reads")
			}
		}
		if perPeriod := float64(reads) / periods; perPeriod > 2*DefaultWatchersPerRegion+1 {
			t.Errorf("%d entries: %.1f reads per period", n, perPeriod)
		}
	}
}

// TestStampsTriggerOneExchangePerPeriod guards against an exchange for every request from a peer with another revision.
func TestStampsTriggerOneExchangePerPeriod(t *testing.T) {
	p := New(Peer{Name: "self"}, Options{})
	now := time.Unix(0, 0)
	if !p.ShouldPull(now, "a") || p.ShouldPull(now.Add(DefaultPeriod/2), "a") || !p.ShouldPull(now.Add(DefaultPeriod), "a") {
		t.Error("want one exchange per period with a peer that is ahead")
	}
	if p.ShouldPush(now, "b") || p.ShouldPush(now.Add(DefaultPeriod/2), "b") || !p.ShouldPush(now.Add(DefaultPeriod), "b") {
		t.Error("want an exchange with a peer that is behind after one period")
	}
}

// TestSuspectedPeersAreAvoided guards against exchanges with failed peers while others work, and against no exchange at
// all when every peer has failed.
func TestSuspectedPeersAreAvoided(t *testing.T) {
	p := New(Peer{Name: "self", Region: "r0"}, Options{Partners: 2})
	p.SetPeers([]Peer{{Name: "a", Region: "r0", Address: "a"}, {Name: "b", Region: "r0", Address: "b"}})
	rng := rand.New(rand.NewPCG(1, 1))
	now := time.Unix(0, 0)
	p.RecordFailure(now, "a")
	for range 20 {
		if q, _ := p.NextPartner(now, rng); q.Name != "b" {
			t.Fatal("a suspected peer was chosen")
		}
	}
	p.RecordFailure(now, "b")
	if _, ok := p.NextPartner(now, rng); !ok {
		t.Error("no peer was chosen although all are suspected")
	}
}

// TestPartnersMatchFullSort compares highestRanked with a sort of all peers.
func TestPartnersMatchFullSort(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	for _, n := range []int{0, 1, 5, 6, 7, 300} {
		var peers []Peer
		for i := range n {
			peers = append(peers, Peer{Name: fmt.Sprint("target-", i), Address: fmt.Sprint("10.0.0.1:", i), Role: RoleSidecar})
		}
		rng.Shuffle(n, func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
		p := New(Peer{Name: "entry-1"}, Options{})
		got := p.highestRanked(peers, 6)
		slices.SortFunc(peers, func(a, b Peer) int {
			return cmp.Or(cmp.Compare(rendezvousWeight("entry-1", b.Name), rendezvousWeight("entry-1", a.Name)), cmp.Compare(a.Name, b.Name))
		})
		if want := peers[:min(n, 6)]; !slices.Equal(got, want) {
			t.Errorf("%d peers: partners %v, want %v", n, got, want)
		}
	}
}
