package storepace

import (
	"math/rand/v2"
	"testing"
	"time"
)

var epoch = time.Unix(1_800_000_000, 0)

const bearable = 280 * time.Millisecond

// slowLink is a store's link that carries so many fetches a second, one after the other, under a load above that.
func slowLink(length time.Duration, perSecond, carries float64, allow func(now time.Time) bool, done func(late time.Duration, now time.Time)) (worst time.Duration) {
	free := time.Duration(0)
	for at := time.Duration(0); at < length; at += time.Duration(float64(time.Second) / perSecond) {
		if !allow(epoch.Add(at)) {
			continue
		}
		begin := max(free, at)
		free = begin + time.Duration(float64(time.Second)/carries)
		late := free - at
		if at > length/2 {
			worst = max(worst, late)
		}
		done(late, epoch.Add(at))
	}
	return worst
}

// A store's link turns four times slower under a load of twice what it then carries. Unpaced, each fetch waits longer
// than the one before; paced, waits stay near what is bearable.
func TestSlowStoreLink(t *testing.T) {
	unpaced := slowLink(10*time.Second, 60, 30, func(time.Time) bool { return true }, func(time.Duration, time.Time) {})
	p := New(epoch)
	r := rand.New(rand.NewPCG(1, 2))
	paced := slowLink(10*time.Second, 60, 30,
		func(now time.Time) bool { return p.Allow(r.Float64(), now) },
		func(late time.Duration, now time.Time) { p.Add(late, bearable, now) })
	if unpaced < 4*time.Second {
		t.Errorf("unpaced %v: the load does not show the pattern", unpaced)
	}
	if paced > 4*bearable {
		t.Errorf("paced fetches wait up to %v, want %v at most", paced, 4*bearable)
	}
}

func TestRecovers(t *testing.T) {
	p := New(epoch)
	for range 200 {
		p.Add(time.Second, bearable, epoch)
	}
	if p.Share() != leastShare {
		t.Fatalf("share %v, want %v", p.Share(), leastShare)
	}
	if !p.Allow(0.9, epoch.Add(10*time.Second)) {
		t.Error("still paced ten seconds later")
	}
}
