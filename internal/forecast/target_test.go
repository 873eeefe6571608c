package forecast

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// TestReportedSpeedIsDiscounted guards against acting on an old figure: targets are slowed for some hundred ms only.
func TestReportedSpeedIsDiscounted(t *testing.T) {
	s, target := NewService(50_000), new(Target)
	if s.Active(start) {
		t.Error("active before the first report")
	}
	s.Report(target, 2.5, start)
	s.Report(target, 1, start.Add(-time.Millisecond))
	for _, test := range []struct {
		age      time.Duration
		min, max float64
	}{{0, 2.5, 2.5}, {100 * time.Millisecond, 2, 2.2}, {300 * time.Millisecond, 1.5, 1.6}, {2 * time.Second, 1, 1.01}} {
		slowdown, age := s.Slowdown(target, start.Add(test.age))
		if slowdown < test.min || slowdown > test.max || age != test.age {
			t.Errorf("%.3f at an age of %v after %v, want %.2f to %.2f", slowdown, age, test.age, test.min, test.max)
		}
	}
	if active, changed := s.ActiveChanged(start); !active || !changed {
		t.Error("the begin of the activity is not told")
	}
	if active, changed := s.ActiveChanged(start); !active || changed {
		t.Error("the begin of the activity is told twice")
	}
	if !s.Active(start.Add(time.Hour)) {
		t.Error("a service whose targets report their speed is no longer active")
	}
	for _, odd := range []float64{0, -1, math.NaN()} {
		if fresh := NewService(50_000); true {
			if fresh.Report(new(Target), odd, start); fresh.Active(start) {
				t.Errorf("active after a report of %v", odd)
			}
		}
	}
	s.Report(target, math.Inf(1), start)
	if slowdown, _ := s.Slowdown(target, start); slowdown > maxSlowdown {
		t.Errorf("slowdown %v", slowdown)
	}
}

// serve has targets answer requests in turn, each slowed by its factor, and returns how often the service became or ceased to be active.
func serve(s *Service, targets []Target, factor func(i int) float64, answers int, rng *rand.Rand) (changes int) {
	now, active := start, false
	for n := range answers {
		i := n % len(targets)
		w, took := sample(rng)
		w.Slowdown, _ = s.Slowdown(&targets[i], now)
		s.AddRatio(&targets[i], s.AddFirst(w, time.Duration(float64(took)*factor(i))), false, now)
		now = now.Add(5 * time.Millisecond)
		if s.Active(now) != active {
			active, changes = !active, changes+1
		}
	}
	return changes
}

// TestTargetsThatDifferForGood guards against taking targets for equal of which every third one is 1.3 times slower.
func TestTargetsThatDifferForGood(t *testing.T) {
	s, targets := NewService(50_000), make([]Target, 9)
	factor := func(i int) float64 { return 1 + 0.3*float64(i%3/2) }
	changes := serve(s, targets, factor, 9*400, rand.New(rand.NewPCG(4, 4)))
	now := start.Add(9 * 400 * 5 * time.Millisecond)
	if !s.Active(now) || changes != 1 {
		t.Fatalf("active: %v after %d changes", s.Active(now), changes)
	}
	usual, _ := s.Slowdown(&targets[0], now)
	slow, age := s.Slowdown(&targets[2], now)
	if ratio := slow / usual; ratio < 1.2 || ratio > 1.4 || age >= 0 {
		t.Errorf("slowdowns %.2f and %.2f (age %v)", usual, slow, age)
	}
}

// TestEqualTargetsStayInactive guards against services whose targets are equal being served differently by chance.
func TestEqualTargetsStayInactive(t *testing.T) {
	for seed := range uint64(5) {
		s, targets := NewService(50_000), make([]Target, 100)
		if changes := serve(s, targets, func(int) float64 { return 1 }, 100*150, rand.New(rand.NewPCG(seed, 5))); changes > 0 {
			t.Errorf("seed %d: %d changes", seed, changes)
		}
		if slowdown, _ := s.Slowdown(&targets[0], start); slowdown != 1 {
			t.Errorf("seed %d: slowdown %v", seed, slowdown)
		}
	}
}

// TestDifferenceIsForgotten guards against a service that stays active after its slow target has gone.
func TestDifferenceIsForgotten(t *testing.T) {
	s, targets := NewService(50_000), make([]Target, 9)
	rng := rand.New(rand.NewPCG(6, 6))
	serve(s, targets, func(i int) float64 { return 1 + 0.5*float64(i/8) }, 9*300, rng)
	now := start.Add(9 * 300 * 5 * time.Millisecond)
	if !s.Active(now) {
		t.Fatal("not active with a slow target")
	}
	if !s.Active(now.Add(keepActive/2)) || s.Active(now.Add(keepActive+time.Second)) {
		t.Error("not kept for a minute")
	}
}

func TestPrefillShare(t *testing.T) {
	var target Target
	if share := target.PrefillShare(start); share != 0 {
		t.Errorf("%v before the first observation", share)
	}
	for ms := range 10_000 {
		target.ObservePrefill(ms%10 < 3, start.Add(time.Duration(ms)*time.Millisecond))
	}
	if share := target.PrefillShare(start.Add(10 * time.Second)); share < 0.25 || share > 0.35 {
		t.Errorf("%.2f, want 0.3", share)
	}
	if share := target.PrefillShare(start.Add(30 * time.Second)); share > 0.01 {
		t.Errorf("%.2f after 20 s without prompts", share)
	}
}
