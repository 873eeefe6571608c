package trial

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/egrethoist/egrethoist/internal/targetlimit"
)

// senders decides whether an instance may send a request to the limited target now.
type senders func(instance int, now time.Time) bool

// tokenBuckets gives each of the first instances a bucket of an equal share of the rate, with one request of burst; the others send
// nothing.
func tokenBuckets(instances int, rate float64) senders {
	type bucket struct {
		tokens float64
		filled time.Time
	}
	list := make([]bucket, instances)
	for i := range list {
		list[i] = bucket{1, epoch}
	}
	return func(instance int, now time.Time) bool {
		if instance >= instances {
			return false
		}
		b := &list[instance]
		b.tokens = min(1, b.tokens+now.Sub(b.filled).Seconds()*rate/float64(instances))
		b.filled = now
		if b.tokens < 1 {
			return false
		}
		b.tokens--
		return true
	}
}

// granted lets one instance grant the requests of all.
func granted(rate float64) senders {
	grants := targetlimit.NewLimiter()
	return func(_ int, now time.Time) bool {
		ok, _ := grants.Take(targetlimit.GrantRequest{Incarnation: 1, PerSecond: rate, Role: targetlimit.Owner}, now)
		return ok
	}
}

// Which policy keeps a target within the rate that it names, summed over all instances, and uses that rate up? Requests come at random
// to all instances alike, or to one alone.
func TestPoliciesForALimitedTarget(t *testing.T) {
	const (
		rate, load = 2.0, 40.0
		window     = 4 * time.Second
		allowed    = 1.5*4*rate + 5 // the platform's bound
		length     = 60 * time.Second
	)
	const few = 5 // senders whose bursts the slack of the bound bears
	play := func(instances int, uneven bool, may senders) (most int, used float64) {
		rng := rand.New(rand.NewPCG(1, uint64(instances)))
		var sent []time.Time
		from := 0
		for now := epoch; now.Before(epoch.Add(length)); now = now.Add(time.Duration(rng.ExpFloat64() / load * float64(time.Second))) {
			instance := rng.IntN(instances)
			if uneven {
				instance = instances - 1
			}
			if !may(instance, now) {
				continue
			}
			sent = append(sent, now)
			for now.Sub(sent[from]) >= window {
				from++
			}
			most = max(most, len(sent)-from)
		}
		return most, float64(len(sent)) / (rate * length.Seconds())
	}
	for _, n := range []int{3, 12, 36, 68} {
		for _, uneven := range []bool{false, true} {
			equal, equalUsed := play(n, uneven, tokenBuckets(n, rate))
			chosen, chosenUsed := play(n, uneven, tokenBuckets(min(n, few), rate))
			one, oneUsed := play(n, uneven, granted(rate))
			t.Logf("%d instances, one has all requests: %v; most in %v, part of the rate used: equal shares %d, %.2f; %d senders %d, %.2f; grants %d, %.2f; allowed %v",
				n, uneven, window, equal, equalUsed, min(n, few), chosen, chosenUsed, one, oneUsed, allowed)
			if float64(one) > allowed || oneUsed < 0.9 {
				t.Errorf("%d instances: grants let %d requests through in %v, allowed %v, and use %.2f of the rate", n, one, window, allowed, oneUsed)
			}
			if n >= 36 && !uneven && float64(equal) <= allowed {
				t.Errorf("%d instances: equal shares keep the bound (%d): the reason for grants is gone", n, equal)
			}
		}
	}
}
