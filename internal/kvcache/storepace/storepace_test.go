package storepace

import (
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Unix(1_800_000_000, 0)

const tolerance = 280 * time.Millisecond

// simulateLink runs fetches, perSecond of them each second, over a link that completes capacity fetches per second, one
// after the other. It returns the largest delay in the second half of the run.
func simulateLink(length time.Duration, perSecond, capacity float64, allow func(now time.Time) bool, done func(delay time.Duration, now time.Time)) (maxDelay time.Duration) {
	linkFreeAt := time.Duration(0)
	for at := time.Duration(0); at < length; at += time.Duration(float64(time.Second) / perSecond) {
		if !allow(start.Add(at)) {
			continue
		}
		begin := max(linkFreeAt, at)
		linkFreeAt = begin + time.Duration(float64(time.Second)/capacity)
		delay := linkFreeAt - at
		if at > length/2 {
			maxDelay = max(maxDelay, delay)
		}
		done(delay, start.Add(at))
	}
	return maxDelay
}

// A store's link is loaded with twice the fetches that it can complete, as after it became four times slower. Without a
// throttle each fetch waits longer than the one before; with it, delays must stay near the tolerance.
func TestThrottleBoundsDelayOfSlowLink(t *testing.T) {
	unthrottled := simulateLink(10*time.Second, 60, 30, func(time.Time) bool { return true }, func(time.Duration, time.Time) {})
	p := New(start)
	r := rand.New(rand.NewPCG(1, 2))
	throttled := simulateLink(10*time.Second, 60, 30,
		func(now time.Time) bool { return p.Allow(r.Float64(), now) },
		func(delay time.Duration, now time.Time) { p.AddLocal(delay, tolerance, now) })
	if unthrottled < 4*time.Second {
		t.Errorf("delay %v without a throttle: the load does not overload the link", unthrottled)
	}
	if throttled > 4*tolerance {
		t.Errorf("throttled fetches are delayed by up to %v, want %v at most", throttled, 4*tolerance)
	}
}

// Many instances fetch from one slow store, each about once in two seconds. Alone, an instance sees at most one fetch;
// when they share samples, they must throttle the store within two seconds.
func TestInstancesDetectSlowStoreTogether(t *testing.T) {
	const instances, window, maxShare = 24, 2 * time.Second, 0.5
	share := func(sharing bool) float64 {
		throttles := make([]*Throttle, instances)
		for i := range throttles {
			throttles[i] = New(start)
		}
		const tick = 230 * time.Millisecond // between the messages of an instance
		for at := time.Duration(0); at < window; at += tick {
			now := start.Add(at)
			for i, p := range throttles {
				if (int(at/tick)+i)%9 == 0 {
					p.AddLocal(2*tolerance, tolerance, now)
				}
			}
			for i, p := range throttles {
				s := p.TakeUnsent()
				for j, other := range throttles {
					if sharing && i != j {
						other.AddRemote(s, now.Add(time.Millisecond))
					}
				}
			}
		}
		sum := 0.0
		for _, p := range throttles {
			sum += p.Share()
		}
		return sum / instances
	}
	if alone := share(false); alone <= maxShare {
		t.Errorf("share %.2f without sharing samples: the scenario needs no sharing", alone)
	}
	if together := share(true); together > maxShare {
		t.Errorf("share %.2f after %v with shared samples, want half at most", together, window)
	}
}

// A slow store has recovered, but hardly anything is fetched from it any more. The few fetches that still go there must
// suffice to raise the share again.
func TestShareRecoversWithFewSamples(t *testing.T) {
	p := New(start)
	now := start
	for range 100 {
		now = now.Add(50 * time.Millisecond)
		p.AddLocal(3*tolerance, tolerance, now)
	}
	recovered := now
	for p.Share() < 0.9 {
		now = now.Add(time.Second / 2)
		p.AddLocal(0, tolerance, now)
		if now.Sub(recovered) > 4*time.Second {
			t.Fatalf("share %.2f four seconds after the store recovered", p.Share())
		}
	}
}

// Guards against sending a sample twice, and against passing on samples of other instances.
func TestUnsentSamplesAreTakenOnce(t *testing.T) {
	p := New(start)
	p.AddLocal(tolerance, tolerance, start)
	p.AddLocal(3*tolerance, tolerance, start)
	p.AddRemote(DelaySamples{Count: 5, Mean: 1}, start)
	if s := p.TakeUnsent(); s.Count != 2 || s.Mean != 2 {
		t.Errorf("%+v, want two samples with a mean of 2", s)
	}
	if s := p.TakeUnsent(); s.Count != 0 {
		t.Errorf("%+v returned twice", s)
	}
}

// Guards against a store that stays throttled forever because nothing is fetched from it.
func TestShareRecoversWithoutSamples(t *testing.T) {
	p := New(start)
	now := start
	for range 200 {
		now = now.Add(50 * time.Millisecond)
		p.AddLocal(time.Second, tolerance, now)
	}
	if p.Share() != minShare {
		t.Fatalf("share %v, want %v", p.Share(), minShare)
	}
	if !p.Allow(0.9, now.Add(10*time.Second)) {
		t.Error("still throttled ten seconds later")
	}
}
