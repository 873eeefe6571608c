package targetlimit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/egrethoist/egrethoist/internal/delegate"
	"github.com/egrethoist/egrethoist/internal/departure"
)

// window, factor and slack are the platform's bound on what a target that names a limit gets.
const (
	window = 4 * time.Second
	factor = 1.5
	slack  = 5
)

// most returns the most grants in one window.
func most(grants []time.Time) int {
	out, from := 0, 0
	for i, at := range grants {
		for at.Sub(grants[from]) >= window {
			from++
		}
		out = max(out, i-from+1)
	}
	return out
}

// An owner and a stand-in that both grant as fast as they are asked, requests and calls of the control plane, must stay within the
// platform's bound together, at any rate, also after a rest.
func TestOwnerAndStandInStayWithinTheBound(t *testing.T) {
	for _, rate := range []float64{floorRate, 0.5, 1, 2, 4.3, 40, 1000} {
		owner, standIn := NewGrants(), NewGrants()
		var grants []time.Time
		now := start
		for step := range 20_000 {
			now = now.Add(time.Millisecond)
			if step == 10_000 {
				now = now.Add(10 * time.Minute)
			}
			for range 1 + int(rate/100) {
				for _, ask := range []Ask{{Role: Owner}, {Role: Owner, Control: true}, {Role: StandIn}, {Role: StandIn, Control: true}} {
					ask.PerSecond = rate
					g := owner
					if ask.Role == StandIn {
						g = standIn
					}
					if ok, _ := g.Take(ask, now); ok {
						grants = append(grants, now)
					}
				}
			}
		}
		limit := rate
		if rate == floorRate {
			limit = 0 // the floor stands in for it
		}
		if got, allowed := most(grants), factor*window.Seconds()*limit+slack; float64(got) > allowed {
			t.Errorf("limit %v: %d grants in %v, allowed %v", limit, got, window, allowed)
		}
		if got := float64(len(grants)) / 20; got < 0.9*rate {
			t.Errorf("limit %v: %.2f grants a second", rate, got)
		}
	}
}

// A new owner must grant nothing at first: what the one before it granted is still under way. The rate must be used up afterwards.
func TestNewOwnerWaits(t *testing.T) {
	g := NewGrants()
	first := time.Duration(0)
	for d := time.Duration(0); d < 3*time.Second && first == 0; d += 10 * time.Millisecond {
		if ok, wait := g.Take(Ask{PerSecond: 10, Role: Owner}, start.Add(d)); ok {
			first = d
		} else if wait <= 0 {
			t.Fatalf("denied with no time to ask again after %v", d)
		}
	}
	if first < handOver || first > handOver+200*time.Millisecond {
		t.Errorf("first grant after %v", first)
	}
	if ok, _ := g.Take(Ask{PerSecond: 10, Role: NoRole}, start.Add(time.Minute)); ok {
		t.Error("an instance without a role grants")
	}
}

// A change of the limit must hold at once: what was saved up at a higher rate is gone.
func TestLowerLimitHoldsAtOnce(t *testing.T) {
	g := NewGrants()
	g.Take(Ask{PerSecond: 1000, Role: Owner}, start)
	now, got := start.Add(10*time.Second), 0
	for range 100 {
		if ok, _ := g.Take(Ask{PerSecond: 2, Role: Owner}, now); ok {
			got++
		}
	}
	if got != 1 {
		t.Errorf("%d grants at once at 2 a second", got)
	}
}

// Pattern: more urgent and less urgent requests ask for more than a target takes. The urgent ones come first, and the others are not
// starved.
func TestUrgentRequestsComeFirst(t *testing.T) {
	g, rng := NewGrants(), rand.New(rand.NewPCG(1, 1))
	got := [2]int{}
	next := [2][20]time.Time{} // callers of each rank, by when they ask again
	for now := start; now.Before(start.Add(100 * time.Second)); now = now.Add(5 * time.Millisecond) {
		for _, n := range rng.Perm(40) {
			rank, caller := n%2, n/2
			if now.Before(next[rank][caller]) {
				continue
			}
			ok, wait := g.Take(Ask{PerSecond: 10, Role: Owner, Rank: 4 * rank}, now)
			if ok {
				got[rank]++
			}
			next[rank][caller] = now.Add(wait + time.Duration(rng.IntN(100))*time.Millisecond)
		}
	}
	if total := got[0] + got[1]; total < 900 || got[1] < total/20 || got[1] > total/4 {
		t.Errorf("%d urgent and %d other requests granted in 100 s at 10 a second", got[0], got[1])
	}
}

// Without urgent requests that wait, the others get all there is.
func TestNothingIsHeldBackForNobody(t *testing.T) {
	g := NewGrants()
	got := 0
	for d := time.Duration(0); d < 20*time.Second; d += 20 * time.Millisecond {
		if ok, _ := g.Take(Ask{PerSecond: 10, Role: Owner, Rank: 9}, start.Add(d)); ok {
			got++
		}
	}
	if got < 180 {
		t.Errorf("%d grants in 20 s at 10 a second", got)
	}
}

// Calls of the control plane must come through while requests take all there is, and must leave most of the rate to them.
func TestControlCallsComeThrough(t *testing.T) {
	for _, rate := range []float64{floorRate, 4} {
		g := NewGrants()
		control, requests := 0, 0
		for d := time.Duration(0); d < 40*time.Second; d += 20 * time.Millisecond {
			if ok, _ := g.Take(Ask{PerSecond: rate, Role: Owner}, start.Add(d)); ok {
				requests++
			}
			if ok, _ := g.Take(Ask{PerSecond: rate, Role: Owner, Control: true}, start.Add(d)); ok {
				control++
			}
		}
		if control < 5 || float64(requests) < 0.3*rate*40 && rate > floorRate {
			t.Errorf("%v a second: %d control calls and %d requests in 40 s", rate, control, requests)
		}
	}
}

// All instances must choose alike, and a member that comes or goes must move few targets.
func TestOwnersAreStable(t *testing.T) {
	members := func(n int) []delegate.Member {
		var out []delegate.Member
		for i := range n {
			out = append(out, delegate.Member{Name: fmt.Sprintf("m%d", i), Address: "10.0.0.1:1"})
		}
		return append(out, delegate.Member{Name: "unreachable"})
	}
	before, after := Grantors(members(30)), Grantors(members(31))
	owned, moved := map[string]int{}, 0
	for i := range departure.Incarnation(3000) {
		owner, standIn := Choose(i, before)
		owned[owner.Name]++
		if owner == standIn || RoleOf(owner.Name, i, before) != Owner || RoleOf(standIn.Name, i, before) != StandIn || RoleOf("unreachable", i, before) != NoRole {
			t.Fatal("roles differ from the choice")
		}
		if next, _ := Choose(i, after); next.Name != owner.Name {
			moved++
			if next.Name != "m30" {
				t.Fatalf("target %d moves from %s to %s", i, owner.Name, next.Name)
			}
		}
	}
	if moved > 200 {
		t.Errorf("%d of 3000 targets move to one of 31 instances", moved)
	}
	for name, n := range owned {
		if n < 50 || n > 160 {
			t.Errorf("%s owns %d of 3000", name, n)
		}
	}
	if owner, standIn := Choose(1, Grantors(members(1))); owner == nil || standIn != nil {
		t.Error("a lone instance is not the owner")
	}
	if owner, _ := Choose(1, nil); owner != nil {
		t.Error("nobody owns")
	}
}

// Messages must come back as they were sent, and malformed ones must be dropped: a port gets datagrams from anywhere.
func TestMessages(t *testing.T) {
	q := Question{Nonce: 1 << 63, Rank: 7, Control: true, Announcement: Announcement{Incarnation: 9, Named: true, PerSecond: 4.5, Age: 1500 * time.Millisecond}}
	if got, err := ParseQuestion(q.Append(nil)); err != nil || got != q {
		t.Errorf("%+v, %v", got, err)
	}
	q.Named, q.EndedAgo = false, 3*time.Second
	if got, err := ParseQuestion(q.Append(nil)); err != nil || got != q {
		t.Errorf("%+v, %v", got, err)
	}
	r := Reply{Nonce: 5, Granted: true, Role: StandIn, Wait: 40 * time.Millisecond}
	if got, err := ParseReply(r.Append(nil)); err != nil || got != r {
		t.Errorf("%+v, %v", got, err)
	}
	nan := q.Append(nil)
	copy(nan[19:], []byte{0x7f, 0xc0, 0, 0})
	for _, raw := range [][]byte{nil, {questionByte}, {replyByte}, q.Append(nil)[:20], append(q.Append(nil), 0), r.Append(nil)[:5], nan} {
		if _, err := ParseQuestion(raw); err == nil {
			t.Errorf("question %x accepted", raw)
		}
		if _, err := ParseReply(raw); err == nil {
			t.Errorf("reply %x accepted", raw)
		}
	}
}

// The time over which refused callers return must follow from how many were refused and how many are granted.
func TestBacklog(t *testing.T) {
	var f Flow
	if got := f.Backlog(start); got != 0 {
		t.Errorf("%v without refusals", got)
	}
	for i := range 20 {
		now := start.Add(time.Duration(i) * 100 * time.Millisecond)
		f.Granted(now)
		f.Refused(now)
		f.Refused(now)
	}
	if got := f.Backlog(start.Add(2 * time.Second)); got < 1500*time.Millisecond || got > 2500*time.Millisecond {
		t.Errorf("%v though two are refused for each that is granted", got)
	}
	if got := f.Backlog(start.Add(time.Minute)); got > time.Millisecond {
		t.Errorf("%v a minute later", got)
	}
}

// Soak seed 9112: a look at a target that is to load weights asks for its report and then gives the order. Where the target names a limit, the
// report took the only call of the control plane each time, and the order came after the limit had ended.
func TestOrdersAreNotStarvedByReports(t *testing.T) {
	for _, c := range []struct {
		rate float64
		most time.Duration
	}{{floorRate, 10 * time.Second}, {1, 4 * time.Second}, {6, 2 * time.Second}} {
		g := NewGrants()
		ordered := time.Duration(-1)
		for d := time.Duration(0); d < 20*time.Second && ordered < 0; d += 10 * time.Millisecond {
			now := start.Add(d)
			g.Take(Ask{PerSecond: c.rate, Role: Owner}, now)
			if d%(150*time.Millisecond) == 0 {
				g.Take(Ask{PerSecond: c.rate, Role: Owner, Control: true, Rank: Ranks - 1}, now)
				if ok, _ := g.Take(Ask{PerSecond: c.rate, Role: Owner, Control: true}, now); ok {
					ordered = d
				}
			}
		}
		if ordered < 0 || ordered > c.most {
			t.Errorf("%v a second: ordered after %v, want %v at most", c.rate, ordered, c.most)
		}
	}
}
