package soak

import (
	"testing"
	"time"

	"github.com/egrethoist/egrethoist/platform/standin"
)

// stage is a ledger with one configuration in force, and one request of each class under way.
type stage struct {
	*ledger
	t *testing.T
}

func newStage(t *testing.T) *stage {
	f := &fleet{opts: Options{Instances: 1}}
	h := newHistory()
	c := f.firstConfig()
	h.configs = append(h.configs, version{c, time.Now().Add(-time.Minute)})
	return &stage{newLedger(newCalm(), h, bounds), t}
}

func (s *stage) ask(name, id string) *attempt {
	for i := range classes {
		if classes[i].name == name {
			a := &attempt{class: &classes[i], instance: "front-0", sent: time.Now(), call: standin.Call{
				ID: id, Host: host, Path: classes[i].path, Key: keys[0].key, Output: 3,
			}}
			if classes[i].stream {
				a.call.Model = model
			}
			s.begin(a)
			return a
		}
	}
	s.t.Fatalf("no class %q", name)
	return nil
}

// run returns the run of the request as it was sent.
func (s *stage) run(a *attempt, target string) standin.Run {
	return standin.UnmodifiedRun(&a.call, target, a.class.service, domains[0], keys[0].workspace, time.Now())
}

func (s *stage) execute(r standin.Run) { s.Arrived(r); s.Ran(r) }

const stamp = "stamp"

func reply(a *attempt, status int) standin.Reply {
	return standin.Reply{Status: status, ID: a.call.ID, Stamp: stamp, RetryAfter: "0.1"}
}

// Each case breaks one promise; the ledger must name just that one.
func TestLedgerSeesEachBrokenPromise(t *testing.T) {
	past := time.Now().Add(-time.Minute)
	for _, c := range []struct {
		rule string
		play func(s *stage)
	}{
		{"", func(s *stage) {
			a := s.ask("book", "1")
			s.execute(s.run(a, "t"))
			s.Answered(standin.Answer{ID: "1", Stamp: stamp, Status: 200, Body: "b"})
			s.end(a, reply(a, 200), "b", nil)
		}},
		{"", func(s *stage) {
			a := s.ask("plan", "1") // resumable: a second run is allowed
			s.execute(s.run(a, "t"))
			s.execute(s.run(a, "u"))
		}},
		{"TWICE", func(s *stage) {
			a := s.ask("check", "1")
			s.execute(s.run(a, "t"))
			s.execute(s.run(a, "u"))
		}},
		{"REFUSED", func(s *stage) {
			a := s.ask("book", "1")
			s.execute(s.run(a, "t"))
			s.end(a, reply(a, 503), "", nil)
		}},
		{"REFUSED", func(s *stage) {
			a := s.ask("book", "1")
			s.end(a, reply(a, 429), "", nil)
			s.execute(s.run(a, "t"))
		}},
		{"MIXED", func(s *stage) {
			a := s.ask("book", "1")
			s.execute(s.run(a, "t"))
			s.Answered(standin.Answer{ID: "1", Stamp: stamp, Status: 200, Body: "whole"})
			s.end(a, reply(a, 200), "who", nil)
		}},
		{"MIXED", func(s *stage) {
			a := s.ask("look", "1")
			s.execute(s.run(a, "t"))
			r := reply(a, 200)
			r.ID = "2"
			s.end(a, r, "", nil)
		}},
		{"ORDER", func(s *stage) {
			a := s.ask("plan", "1")
			s.execute(s.run(a, "t"))
			s.Answered(standin.Answer{ID: "1", Stamp: stamp, Status: 200})
			s.end(a, reply(a, 200), standin.Event("1", 1)+standin.Event("1", 3), nil)
		}},
		{"UNASKED", func(s *stage) { s.Arrived(standin.Run{ID: "9", Target: "t", At: time.Now()}) }},
		{"UNASKED", func(s *stage) {
			a := s.ask("book", "1")
			r := s.run(a, "t")
			r.Path = "/book/2"
			s.execute(r)
		}},
		{"UNASKED", func(s *stage) {
			a := s.ask("book", "1")
			r := s.run(a, "t")
			r.Workspace = keys[1].workspace
			s.execute(r)
		}},
		{"ROUTE", func(s *stage) {
			a := s.ask("book", "1")
			r := s.run(a, "t")
			r.Service = plainNext
			s.execute(r)
		}},
		{"CONFIG", func(s *stage) {
			next := s.world.configs[0].config
			next.Workspaces = nil
			s.world.configs = append(s.world.configs, version{next, time.Now().Add(-2 * bounds.ConfigApply)})
			a := s.ask("book", "1")
			s.execute(s.run(a, "t"))
		}},
		{"DRAIN", func(s *stage) {
			s.world.leaving["t"] = past
			s.execute(s.run(s.ask("book", "1"), "t"))
		}},
		{"EVAC", func(s *stage) {
			s.world.evacuated[domains[0]] = past
			s.execute(s.run(s.ask("book", "1"), "t"))
		}},
		{"", func(s *stage) { // the instance could not know
			s.calm.note("front-0", past, time.Now())
			s.world.evacuated[domains[0]] = past
			s.execute(s.run(s.ask("book", "1"), "t"))
		}},
		{"VERSION", func(s *stage) {
			s.world.weights, s.world.named = 2, past
			s.execute(s.run(s.ask("plan", "1"), "t"))
		}},
		{"ONE", func(s *stage) {
			s.Ordered(standin.Order{Target: "t", Holder: "a", Token: 5, At: time.Now()})
			s.Ordered(standin.Order{Target: "t", Holder: "b", Token: 4, At: time.Now()})
		}},
		{"LOST", func(s *stage) {
			a := s.ask("book", "1")
			s.world.stopping("front-0")
			s.execute(s.run(a, "t"))
			s.end(a, standin.Reply{}, "", errTest)
		}},
		{"DENIED", func(s *stage) {
			a := s.ask("book", "1")
			s.end(a, standin.Reply{Status: 401}, "", nil)
		}},
		{"RETRY", func(s *stage) {
			a := s.ask("book", "1")
			s.end(a, standin.Reply{Status: 503}, "", nil)
		}},
		{"BUDGET", func(s *stage) {
			for i := range 100 {
				a := s.ask("look", string(rune('a'+i)))
				s.execute(s.run(a, "t"))
				s.execute(s.run(a, "u"))
			}
			s.judgeRetries()
		}},
		{"DRAIN", func(s *stage) { // said by an answer alone, the store away
			s.calm.note(metaStore, past, time.Now())
			s.tellLeaving("front-0", past.Add(40*time.Second))
			s.execute(s.run(s.ask("book", "2"), "t"))
		}},
		{"", func(s *stage) { // said to another instance
			s.tellLeaving("front-1", past)
			s.execute(s.run(s.ask("book", "2"), "t"))
		}},
		{"", func(s *stage) { // restarted since
			s.tellLeaving("front-0", past)
			s.calm.note(processOf("front-0"), past.Add(time.Second), past.Add(2*time.Second))
			s.execute(s.run(s.ask("book", "2"), "t"))
		}},
		{"", func(s *stage) { // sent within the bound
			s.tellLeaving("front-0", time.Now().Add(-bounds.Drain/2))
			s.execute(s.run(s.ask("book", "2"), "t"))
		}},
		{"BUDGET", func(s *stage) { s.pauseAndSend("front-0", "t", 3) }},
		{"", func(s *stage) { s.pauseAndSend("front-0", "t", pauseArrivals) }},
		{"", func(s *stage) { s.pauseAndSend("front-0", "u", 3) }},
		{"", func(s *stage) { s.pauseAndSend("front-1", "t", 3) }},
		{"", func(s *stage) { // frozen since
			s.calm.note(processOf("front-0"), time.Now().Add(-time.Second), time.Now().Add(-time.Millisecond))
			s.pauseAndSend("front-0", "t", 3)
		}},
		{"LIMIT", func(s *stage) { s.limitAndSend("front-0", "t", 12) }},
		{"", func(s *stage) { s.limitAndSend("front-0", "t", 11) }}, // one and a half times what the limit allows, and five
		{"", func(s *stage) { s.limitAndSend("front-0", "u", 12) }},
		{"", func(s *stage) { s.limitAndSend("front-1", "t", 12) }},
		{"", func(s *stage) { // restarted since
			s.calm.note(processOf("front-0"), time.Now().Add(100*time.Millisecond), time.Now().Add(200*time.Millisecond))
			s.limitAndSend("front-0", "t", 12)
		}},
		{"FAILBACK", func(s *stage) {
			for i := range 50 {
				r := s.run(s.ask("plan", string(rune('a'+i))), "t")
				r.Cold = true
				s.execute(r)
			}
			s.judgeCold()
		}},
	} {
		s := newStage(t)
		c.play(s)
		if c.rule == "" && len(s.rules) > 0 || c.rule != "" && (s.rules[c.rule] == 0 || len(s.rules) != 1) {
			t.Errorf("want %q, got %v", c.rule, s.violations)
		}
	}
}

// tellLeaving makes an instance pass on that target t leaves.
func (s *stage) tellLeaving(instance string, at time.Time) {
	a := s.ask("book", "1")
	a.instance = instance
	s.execute(s.run(a, "t"))
	s.Answered(standin.Answer{ID: "1", Target: "t", Stamp: stamp, Status: 200})
	r := reply(a, 200)
	r.Leaving = true
	s.passedOn(a, r)
	s.wishes.leaving[pair{instance, "t"}] = at
}

// pauseAndSend makes target t ask an instance for a pause, and sends requests to a target two seconds later.
func (s *stage) pauseAndSend(instance, target string, n int) {
	a := s.ask("book", "0")
	a.instance = instance
	s.Paused(standin.Pause{ID: "0", Target: "t", Duration: time.Minute, At: time.Now().Add(-2 * time.Second)})
	for i := range n {
		s.execute(s.run(s.ask("book", string(rune('1'+i))), target))
	}
}

// limitAndSend makes target t name a limit of one request a second to an instance, and sends requests to a target later.
func (s *stage) limitAndSend(instance, target string, n int) {
	a := s.ask("book", "0")
	a.instance = instance
	s.execute(s.run(a, "t"))
	s.Answered(standin.Answer{ID: "0", Target: "t", Stamp: stamp, Status: 200})
	s.wishes.limits.LimitSet("t", 1, time.Now().Add(-2*bounds.RecoveryTime))
	r := reply(a, 200)
	r.Limited = true
	s.passedOn(a, r)
	for i := range n {
		run := s.run(s.ask("book", string(rune('a'+i))), target)
		run.At = time.Now().Add(time.Second)
		s.execute(run)
	}
}

type testError string

func (e testError) Error() string { return string(e) }

const errTest = testError("connection closed")

// The same seed plays the same faults, and every kind comes up.
func TestPlanIsSeeded(t *testing.T) {
	seen := map[string]bool{}
	for seed := range uint64(50) {
		one, two := plan(seed, 45*time.Second), plan(seed, 45*time.Second)
		if len(one) == 0 || len(one) != len(two) {
			t.Fatalf("seed %d: %d and %d faults", seed, len(one), len(two))
		}
		for i, f := range one {
			if f != two[i] {
				t.Fatalf("seed %d: fault %d differs", seed, i)
			}
			if f.at > 45*time.Second-calmTime {
				t.Errorf("seed %d: %v in the calm before the end", seed, f)
			}
			seen[f.kind] = true
		}
	}
	if len(seen) != len(kinds) {
		t.Errorf("%d of %d kinds came up", len(seen), len(kinds))
	}
}
