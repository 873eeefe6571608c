package targetlimit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/egrethoist/egrethoist/internal/delegate"
	"github.com/egrethoist/egrethoist/internal/departure"
)

// The platform's bound on the requests to a target with a limit: in any boundWindow at most boundFactor times the limit, plus
// boundSlack requests.
const (
	boundWindow = 4 * time.Second
	boundFactor = 1.5
	boundSlack  = 5
)

// maxInWindow returns the largest number of grants in any boundWindow.
func maxInWindow(grants []time.Time) int {
	out, from := 0, 0
	for i, at := range grants {
		for at.Sub(grants[from]) >= boundWindow {
			from++
		}
		out = max(out, i-from+1)
	}
	return out
}

// Guards against exceeding the platform's bound when owner and standby grant requests and control-plane calls at the same time, each as
// many as it can, at low and high rates and after an idle period.
func TestOwnerAndStandbyStayWithinBound(t *testing.T) {
	for _, rate := range []float64{minRate, 0.5, 1, 2, 4.3, 40, 1000} {
		owner, standby := NewLimiter(), NewLimiter()
		var grants []time.Time
		now := start
		for step := range 20_000 {
			now = now.Add(time.Millisecond)
			if step == 10_000 {
				now = now.Add(10 * time.Minute)
			}
			for range 1 + int(rate/100) {
				for _, request := range []GrantRequest{{Role: Owner}, {Role: Owner, Control: true}, {Role: Standby}, {Role: Standby, Control: true}} {
					request.PerSecond = rate
					limiter := owner
					if request.Role == Standby {
						limiter = standby
					}
					if ok, _ := limiter.Take(request, now); ok {
						grants = append(grants, now)
					}
				}
			}
		}
		limit := rate
		if rate == minRate {
			limit = 0 // minRate also applies to a limit of zero
		}
		if got, allowed := maxInWindow(grants), boundFactor*boundWindow.Seconds()*limit+boundSlack; float64(got) > allowed {
			t.Errorf("limit %v: %d grants in %v, want at most %v", limit, got, boundWindow, allowed)
		}
		if got := float64(len(grants)) / 20; got < 0.9*rate {
			t.Errorf("limit %v: %.2f grants per second, want at least 90%% of the limit", rate, got)
		}
	}
}

// A new owner must delay its first grant, since requests granted by the previous owner are still on their way. After that it must
// grant without further delay. An instance without a role must not grant.
func TestNewOwnerDelaysFirstGrant(t *testing.T) {
	limiter := NewLimiter()
	firstGrant := time.Duration(0)
	for d := time.Duration(0); d < 3*time.Second && firstGrant == 0; d += 10 * time.Millisecond {
		if ok, wait := limiter.Take(GrantRequest{PerSecond: 10, Role: Owner}, start.Add(d)); ok {
			firstGrant = d
		} else if wait <= 0 {
			t.Fatalf("denied after %v without a positive wait", d)
		}
	}
	if firstGrant < handoverDelay || firstGrant > handoverDelay+200*time.Millisecond {
		t.Errorf("first grant after %v, want the handover delay", firstGrant)
	}
	if ok, _ := limiter.Take(GrantRequest{PerSecond: 10, Role: NoRole}, start.Add(time.Minute)); ok {
		t.Error("an instance without a role granted a request")
	}
}

// Guards against a burst after the limit is lowered: tokens saved up at the higher rate must be discarded.
func TestLowerLimitAppliesImmediately(t *testing.T) {
	limiter := NewLimiter()
	limiter.Take(GrantRequest{PerSecond: 1000, Role: Owner}, start)
	now, granted := start.Add(10*time.Second), 0
	for range 100 {
		if ok, _ := limiter.Take(GrantRequest{PerSecond: 2, Role: Owner}, now); ok {
			granted++
		}
	}
	if granted != 1 {
		t.Errorf("%d grants at once at 2 requests per second, want 1", granted)
	}
}

// Under overload with two ranks, the more urgent requests must get most of the grants without starving the others.
func TestUrgentRequestsArePreferred(t *testing.T) {
	limiter, rng := NewLimiter(), rand.New(rand.NewPCG(1, 1))
	granted := [2]int{}
	nextTry := [2][20]time.Time{} // time of the next try of each caller, by rank
	for now := start; now.Before(start.Add(100 * time.Second)); now = now.Add(5 * time.Millisecond) {
		for _, n := range rng.Perm(40) {
			rank, caller := n%2, n/2
			if now.Before(nextTry[rank][caller]) {
				continue
			}
			ok, wait := limiter.Take(GrantRequest{PerSecond: 10, Role: Owner, Rank: 4 * rank}, now)
			if ok {
				granted[rank]++
			}
			nextTry[rank][caller] = now.Add(wait + time.Duration(rng.IntN(100))*time.Millisecond)
		}
	}
	if total := granted[0] + granted[1]; total < 900 || granted[1] < total/20 || granted[1] > total/4 {
		t.Errorf("%d urgent and %d other requests granted in 100 s at 10 per second", granted[0], granted[1])
	}
}

// Guards against reserving capacity for urgent requests while none are waiting.
func TestLowerRanksGetFullRateWithoutContention(t *testing.T) {
	limiter := NewLimiter()
	granted := 0
	for d := time.Duration(0); d < 20*time.Second; d += 20 * time.Millisecond {
		if ok, _ := limiter.Take(GrantRequest{PerSecond: 10, Role: Owner, Rank: 9}, start.Add(d)); ok {
			granted++
		}
	}
	if granted < 180 {
		t.Errorf("%d grants in 20 s at 10 per second, want at least 180", granted)
	}
}

// Control-plane calls must be granted while requests use up the whole rate, and must leave most of it to the requests.
func TestControlCallsAreNotStarved(t *testing.T) {
	for _, rate := range []float64{minRate, 4} {
		limiter := NewLimiter()
		control, requests := 0, 0
		for d := time.Duration(0); d < 40*time.Second; d += 20 * time.Millisecond {
			if ok, _ := limiter.Take(GrantRequest{PerSecond: rate, Role: Owner}, start.Add(d)); ok {
				requests++
			}
			if ok, _ := limiter.Take(GrantRequest{PerSecond: rate, Role: Owner, Control: true}, start.Add(d)); ok {
				control++
			}
		}
		if control < 5 || float64(requests) < 0.3*rate*40 && rate > minRate {
			t.Errorf("%v per second: %d control-plane calls and %d requests in 40 s", rate, control, requests)
		}
	}
}

// Every instance must select the same owner and standby, and a joining member must take over only its share of the targets.
func TestOwnersAreStable(t *testing.T) {
	members := func(n int) []delegate.Member {
		var out []delegate.Member
		for i := range n {
			out = append(out, delegate.Member{Name: fmt.Sprintf("m%d", i), Address: "10.0.0.1:1"})
		}
		return append(out, delegate.Member{Name: "unreachable"})
	}
	before, after := NewGrantors(members(30)), NewGrantors(members(31))
	owned, moved := map[string]int{}, 0
	for i := range departure.Incarnation(3000) {
		owner, standby := SelectGrantors(i, before)
		owned[owner.Name]++
		if owner == standby || RoleOf(owner.Name, i, before) != Owner || RoleOf(standby.Name, i, before) != Standby || RoleOf("unreachable", i, before) != NoRole {
			t.Fatal("RoleOf disagrees with SelectGrantors")
		}
		if next, _ := SelectGrantors(i, after); next.Name != owner.Name {
			moved++
			if next.Name != "m30" {
				t.Fatalf("target %d moved from %s to %s, want m30", i, owner.Name, next.Name)
			}
		}
	}
	if moved > 200 {
		t.Errorf("%d of 3000 targets moved to one of 31 instances, want at most 200", moved)
	}
	for name, n := range owned {
		if n < 50 || n > 160 {
			t.Errorf("%s owns %d of 3000 targets, want 50 to 160", name, n)
		}
	}
	if owner, standby := SelectGrantors(1, NewGrantors(members(1))); owner == nil || standby != nil {
		t.Error("a single instance is not the owner, or has a standby")
	}
	if owner, _ := SelectGrantors(1, nil); owner != nil {
		t.Error("got an owner without any instance")
	}
}

// Messages must survive a round trip, and malformed ones must be rejected: the UDP port receives datagrams from anywhere.
func TestMessages(t *testing.T) {
	q := GrantQuery{Nonce: 1 << 63, Rank: 7, Control: true, Announcement: Announcement{Incarnation: 9, Active: true, PerSecond: 4.5, Age: 1500 * time.Millisecond}}
	if got, err := ParseGrantQuery(q.Append(nil)); err != nil || got != q {
		t.Errorf("%+v, %v", got, err)
	}
	q.Active, q.EndedAgo = false, 3*time.Second
	if got, err := ParseGrantQuery(q.Append(nil)); err != nil || got != q {
		t.Errorf("%+v, %v", got, err)
	}
	r := GrantReply{Nonce: 5, Granted: true, Role: Standby, Wait: 40 * time.Millisecond}
	if got, err := ParseGrantReply(r.Append(nil)); err != nil || got != r {
		t.Errorf("%+v, %v", got, err)
	}
	nan := q.Append(nil)
	copy(nan[19:], []byte{0x7f, 0xc0, 0, 0})
	for _, raw := range [][]byte{nil, {queryByte}, {replyByte}, q.Append(nil)[:20], append(q.Append(nil), 0), r.Append(nil)[:5], nan} {
		if _, err := ParseGrantQuery(raw); err == nil {
			t.Errorf("malformed query %x accepted", raw)
		}
		if _, err := ParseGrantReply(raw); err == nil {
			t.Errorf("malformed reply %x accepted", raw)
		}
	}
}

// The backlog must follow the ratio of refusals to grants, and decay.
func TestBacklog(t *testing.T) {
	var stats GrantStats
	if got := stats.Backlog(start); got != 0 {
		t.Errorf("backlog %v without refusals, want 0", got)
	}
	for i := range 20 {
		now := start.Add(time.Duration(i) * 100 * time.Millisecond)
		stats.RecordGrant(now)
		stats.RecordRefusal(now)
		stats.RecordRefusal(now)
	}
	if got := stats.Backlog(start.Add(2 * time.Second)); got < 1500*time.Millisecond || got > 2500*time.Millisecond {
		t.Errorf("backlog %v with two refusals for each grant, want 1.5s to 2.5s", got)
	}
	if got := stats.Backlog(start.Add(time.Minute)); got > time.Millisecond {
		t.Errorf("backlog %v a minute later, want at most 1ms", got)
	}
}

// Guards against reports starving orders (found by the soak test, seed 9112). Before a target is ordered to load weights, its report is
// fetched. With a limit in force, the report used up the only control-plane grant each time, so that the order was sent only after the
// limit had ended.
func TestOrdersAreNotStarvedByReports(t *testing.T) {
	for _, c := range []struct {
		rate     float64
		maxDelay time.Duration
	}{{minRate, 10 * time.Second}, {1, 4 * time.Second}, {6, 2 * time.Second}} {
		limiter := NewLimiter()
		orderedAfter := time.Duration(-1)
		for d := time.Duration(0); d < 20*time.Second && orderedAfter < 0; d += 10 * time.Millisecond {
			now := start.Add(d)
			limiter.Take(GrantRequest{PerSecond: c.rate, Role: Owner}, now)
			if d%(150*time.Millisecond) == 0 {
				limiter.Take(GrantRequest{PerSecond: c.rate, Role: Owner, Control: true, Rank: NumRanks - 1}, now)
				if ok, _ := limiter.Take(GrantRequest{PerSecond: c.rate, Role: Owner, Control: true}, now); ok {
					orderedAfter = d
				}
			}
		}
		if orderedAfter < 0 || orderedAfter > c.maxDelay {
			t.Errorf("%v per second: order granted after %v, want at most %v", c.rate, orderedAfter, c.maxDelay)
		}
	}
}
