package soak

import (
	"io"
	"testing"
	"time"

	"github.com/egrethoist/egrethoist/platform/standin"
)

// fixture is a checker with the initial configuration, which has been in force for a minute.
type fixture struct {
	*checker
	t *testing.T
}

// newFixture returns a checker without recorded requests.
func newFixture(t *testing.T) *fixture {
	f := &fleet{opts: Options{Instances: 1}}
	h := newHistory()
	c := f.initialConfig()
	h.configs = append(h.configs, configVersion{c, time.Now().Add(-time.Minute)})
	return &fixture{newChecker(newDisturbances(), h, bounds), t}
}

// send records a new attempt of the named class through instance front-0.
func (s *fixture) send(name, id string) *attempt {
	for i := range classes {
		if classes[i].name == name {
			a := &attempt{class: &classes[i], instance: "front-0", sent: time.Now(), call: standin.Call{
				ID: id, Host: host, Path: classes[i].path, Key: keys[0].key, Output: 3, Patience: classes[i].patience,
			}}
			if classes[i].stream {
				a.call.Model = model
			}
			s.recordSend(a)
			return a
		}
	}
	s.t.Fatalf("class %q does not exist", name)
	return nil
}

// runOf returns an unmodified run of the attempt at a target.
func (s *fixture) runOf(a *attempt, target string) standin.Run {
	return standin.UnmodifiedRun(&a.call, target, a.class.service, domains[0], keys[0].workspace, time.Now())
}

// execute reports the arrival of a run and the run itself.
func (s *fixture) execute(r standin.Run) { s.Arrived(r); s.Ran(r) }

const stamp = "stamp"

// reply returns the reply to the attempt with the given status.
func reply(a *attempt, status int) standin.Reply {
	return standin.Reply{Status: status, ID: a.call.ID, Stamp: stamp, RetryAfter: "0.1"}
}

// Guards against undetected and misattributed violations: each case violates the guarantee of one rule, or none if the rule is
// empty, and the checker must report just that rule.
func TestCheckerReportsEachViolation(t *testing.T) {
	past := time.Now().Add(-time.Minute)
	for _, c := range []struct {
		rule   string
		record func(s *fixture)
	}{
		{"", func(s *fixture) {
			a := s.send("book", "1")
			s.execute(s.runOf(a, "t"))
			s.Answered(standin.Answer{ID: "1", Stamp: stamp, Status: 200, Body: "b"})
			s.checkReply(a, reply(a, 200), "b", nil)
		}},
		{"", func(s *fixture) {
			a := s.send("plan", "1") // repeatable: a second run is allowed
			s.execute(s.runOf(a, "t"))
			s.execute(s.runOf(a, "u"))
		}},
		{"TWICE", func(s *fixture) {
			a := s.send("check", "1")
			s.execute(s.runOf(a, "t"))
			s.execute(s.runOf(a, "u"))
		}},
		{"REFUSED", func(s *fixture) {
			a := s.send("book", "1")
			s.execute(s.runOf(a, "t"))
			s.checkReply(a, reply(a, 503), "", nil)
		}},
		{"REFUSED", func(s *fixture) {
			a := s.send("book", "1")
			s.checkReply(a, reply(a, 429), "", nil)
			s.execute(s.runOf(a, "t"))
		}},
		{"MIXED", func(s *fixture) {
			a := s.send("book", "1")
			s.execute(s.runOf(a, "t"))
			s.Answered(standin.Answer{ID: "1", Stamp: stamp, Status: 200, Body: "whole"})
			s.checkReply(a, reply(a, 200), "who", nil)
		}},
		{"MIXED", func(s *fixture) {
			a := s.send("look", "1")
			s.execute(s.runOf(a, "t"))
			r := reply(a, 200)
			r.ID = "2"
			s.checkReply(a, r, "", nil)
		}},
		{"ORDER", func(s *fixture) {
			a := s.send("plan", "1")
			s.execute(s.runOf(a, "t"))
			s.Answered(standin.Answer{ID: "1", Stamp: stamp, Status: 200, Stream: true})
			s.checkReply(a, reply(a, 200), standin.Event("1", 1, "v1")+standin.Event("1", 3, "v1"), nil)
		}},
		{"ORDER", func(s *fixture) {
			a := s.send("plan", "1")
			s.execute(s.runOf(a, "t"))
			s.disturbances.begin("t")()
			s.checkReply(a, reply(a, 200), standin.Event("1", 1, "v1")+standin.Event("1", 2, "v2"), io.ErrUnexpectedEOF)
		}},
		{"ORDER", func(s *fixture) {
			a := s.send("plan", "1")
			a.call.Resume, a.call.Resumes, a.software = 1, "0", "v1"
			s.execute(s.runOf(a, "t"))
			s.Answered(standin.Answer{ID: "1", Stamp: stamp, Status: 200, Stream: true})
			s.checkReply(a, reply(a, 200), standin.Event("1", 2, "v2"), nil)
		}},
		{"ORDER", func(s *fixture) { // the answer to the attempt to resume was written into the stream
			a := s.cutThenAnswer(500, "failed")
			s.checkReply(a, reply(a, 200), standin.Event("1", 1, "v1")+"failed", nil)
		}},
		{"ORDER", func(s *fixture) { // the stream was ended as complete instead
			a := s.cutThenAnswer(200, "")
			s.checkReply(a, reply(a, 200), standin.Event("1", 1, "v1"), nil)
		}},
		{"", func(s *fixture) { // the stream was broken off
			a := s.cutThenAnswer(500, "failed")
			s.disturbances.begin("t")()
			s.checkReply(a, reply(a, 200), standin.Event("1", 1, "v1"), io.ErrUnexpectedEOF)
		}},
		{"", func(s *fixture) { s.answerInstead("plan", 500, "failed", "failed", nil) }},
		{"", func(s *fixture) { s.answerInstead("plan", 404, "failed", "failed", nil) }},
		{"", func(s *fixture) { s.answerInstead("plan", 429, "failed", "failed", nil) }},
		{"REFUSED", func(s *fixture) { s.answerInstead("check", 429, "failed", "failed", nil) }},
		{"", func(s *fixture) { s.answerInstead("plan", 200, "", "", nil) }},
		{"", func(s *fixture) { s.answerInstead("plan", 200, "failed", "fail", io.ErrUnexpectedEOF) }},
		{"MIXED", func(s *fixture) { s.answerInstead("plan", 500, "failed", "fail", nil) }},
		{"MIXED", func(s *fixture) { s.answerInstead("plan", 200, "failed", "failed"+standin.Event("1", 1, "v1"), nil) }},
		{"MIXED", func(s *fixture) { // events after the answer of a target that sent no stream
			s.answerInstead("plan", 200, "failed", "failed"+standin.Event("1", 1, "v1"), io.ErrUnexpectedEOF)
		}},
		{"UNASKED", func(s *fixture) { s.Arrived(standin.Run{ID: "9", Target: "t", At: time.Now()}) }},
		{"UNASKED", func(s *fixture) {
			a := s.send("book", "1")
			r := s.runOf(a, "t")
			r.Path = "/book/2"
			s.execute(r)
		}},
		{"UNASKED", func(s *fixture) {
			a := s.send("book", "1")
			r := s.runOf(a, "t")
			r.Workspace = keys[1].workspace
			s.execute(r)
		}},
		{"ROUTE", func(s *fixture) {
			a := s.send("book", "1")
			r := s.runOf(a, "t")
			r.Service = plainNext
			s.execute(r)
		}},
		{"CONFIG", func(s *fixture) {
			next := s.history.configs[0].config
			next.Workspaces = nil
			s.history.configs = append(s.history.configs, configVersion{next, time.Now().Add(-2 * bounds.ConfigApply)})
			a := s.send("book", "1")
			s.execute(s.runOf(a, "t"))
		}},
		{"DRAIN", func(s *fixture) {
			s.history.leaving["t"] = past
			s.execute(s.runOf(s.send("book", "1"), "t"))
		}},
		{"EVAC", func(s *fixture) {
			s.history.evacuated[domains[0]] = past
			s.execute(s.runOf(s.send("book", "1"), "t"))
		}},
		{"", func(s *fixture) { // the instance was disturbed and may not know of the evacuation
			s.disturbances.add("front-0", past, time.Now())
			s.history.evacuated[domains[0]] = past
			s.execute(s.runOf(s.send("book", "1"), "t"))
		}},
		{"VERSION", func(s *fixture) {
			s.history.weightVersions = []requestedWeights{{2, past}}
			s.execute(s.runOf(s.send("plan", "1"), "t"))
		}},
		{"VERSION", func(s *fixture) { // the instance was down when the weights were requested
			s.history.weightVersions = []requestedWeights{{2, past}}
			s.disturbances.add("front-0", past.Add(-time.Second), past.Add(time.Second))
			s.execute(s.runOf(s.send("plan", "1"), "t"))
		}},
		{"VERSION", func(s *fixture) { // later ones were requested meanwhile
			s.history.weightVersions = []requestedWeights{{2, past}, {3, time.Now()}}
			s.execute(s.runOf(s.send("plan", "1"), "t"))
		}},
		{"", func(s *fixture) { // the instance has just been disturbed
			s.history.weightVersions = []requestedWeights{{2, past}}
			s.disturbances.add("front-0", past, time.Now())
			s.execute(s.runOf(s.send("plan", "1"), "t"))
		}},
		{"ONE", func(s *fixture) {
			s.Ordered(standin.Order{Target: "t", Holder: "a", Token: 5, At: time.Now()})
			s.Ordered(standin.Order{Target: "t", Holder: "b", Token: 4, At: time.Now()})
		}},
		{"LOST", func(s *fixture) {
			a := s.send("book", "1")
			s.history.recordStop("front-0")
			s.execute(s.runOf(a, "t"))
			s.checkReply(a, standin.Reply{}, "", errTest)
		}},
		{"LOST", func(s *fixture) { s.closeUnanswered(s.sendWhole(0)) }},
		{"LOST", func(s *fixture) { // neither a stall of this machine nor the store closes a connection
			s.disturbances.begin(allParts)
			s.disturbances.begin(metaStorePart)
			s.closeUnanswered(s.sendWhole(0))
		}},
		{"LOST", func(s *fixture) { s.closeUnanswered(s.sendWhole(5500 * time.Millisecond)) }}, // in the last sixth, but no target was at work
		{"", func(s *fixture) { // a target was at work in the last sixth
			a := s.sendWhole(5500 * time.Millisecond)
			a.sent = a.sent.Add(-3 * time.Second)
			s.execute(s.runOf(a, "t"))
			s.closeUnanswered(a)
		}},
		{"LOST", func(s *fixture) { // taken too late to be excused
			a := s.sendWhole(5500 * time.Millisecond)
			s.execute(s.runOf(a, "t"))
			s.closeUnanswered(a)
		}},
		{"", func(s *fixture) { s.closeUnanswered(s.send("book", "1")) }}, // the close was seen, or crossed the request
		{"", func(s *fixture) { // the instance was killed
			a := s.sendWhole(0)
			s.disturbances.begin(a.instance)
			s.closeUnanswered(a)
		}},
		{"", func(s *fixture) { // at the deadline
			a := s.sendWhole(0)
			a.sent = a.sent.Add(-a.call.Patience)
			s.closeUnanswered(a)
		}},
		{"", func(s *fixture) { s.checkReply(s.sendWhole(0), standin.Reply{Status: 408, RetryAfter: "0"}, "", nil) }},
		{"", func(s *fixture) { s.checkReply(s.sendWhole(0), standin.Reply{Status: 503, RetryAfter: "0"}, "", nil) }},
		{"REFUSED", func(s *fixture) { // taken for unread, but it runs
			a := s.sendWhole(0)
			s.checkReply(a, standin.Reply{Status: 408, RetryAfter: "0"}, "", nil)
			s.execute(s.runOf(a, "t"))
		}},
		{"DENIED", func(s *fixture) {
			a := s.send("book", "1")
			s.checkReply(a, standin.Reply{Status: 401}, "", nil)
		}},
		{"RETRY", func(s *fixture) {
			a := s.send("book", "1")
			s.checkReply(a, standin.Reply{Status: 503}, "", nil)
		}},
		{"BUDGET", func(s *fixture) {
			for i := range 100 {
				a := s.send("look", string(rune('a'+i)))
				s.execute(s.runOf(a, "t"))
				s.execute(s.runOf(a, "u"))
			}
			s.checkRetryBudget()
		}},
		{"DRAIN", func(s *fixture) { // announced only in an answer, without the metadata store
			s.disturbances.add(metaStorePart, past, time.Now())
			s.relayLeaving("front-0", past.Add(40*time.Second))
			s.execute(s.runOf(s.send("book", "2"), "t"))
		}},
		{"", func(s *fixture) { // announced to another instance
			s.relayLeaving("front-1", past)
			s.execute(s.runOf(s.send("book", "2"), "t"))
		}},
		{"", func(s *fixture) { // the instance was restarted since
			s.relayLeaving("front-0", past)
			s.disturbances.add(processPart("front-0"), past.Add(time.Second), past.Add(2*time.Second))
			s.execute(s.runOf(s.send("book", "2"), "t"))
		}},
		{"", func(s *fixture) { // sent within the drain bound
			s.relayLeaving("front-0", time.Now().Add(-bounds.Drain/2))
			s.execute(s.runOf(s.send("book", "2"), "t"))
		}},
		{"BUDGET", func(s *fixture) { s.pauseAndSend("front-0", "t", 3) }},
		{"", func(s *fixture) { s.pauseAndSend("front-0", "t", maxPauseArrivals) }},
		{"", func(s *fixture) { s.pauseAndSend("front-0", "u", 3) }},
		{"", func(s *fixture) { s.pauseAndSend("front-1", "t", 3) }},
		{"", func(s *fixture) { // the instance was frozen since
			s.disturbances.add(processPart("front-0"), time.Now().Add(-time.Second), time.Now().Add(-time.Millisecond))
			s.pauseAndSend("front-0", "t", 3)
		}},
		{"LIMIT", func(s *fixture) { s.limitAndSend("front-0", "t", 12) }},
		{"", func(s *fixture) { s.limitAndSend("front-0", "t", 11) }}, // allowed: 1.5 times what the limit permits, and 5 more
		{"", func(s *fixture) { s.limitAndSend("front-0", "u", 12) }},
		{"", func(s *fixture) { s.limitAndSend("front-1", "t", 12) }},
		{"", func(s *fixture) { // the instance was restarted since
			s.disturbances.add(processPart("front-0"), time.Now().Add(100*time.Millisecond), time.Now().Add(200*time.Millisecond))
			s.limitAndSend("front-0", "t", 12)
		}},
		{"FAILBACK", func(s *fixture) {
			for i := range 50 {
				r := s.runOf(s.send("plan", string(rune('a'+i))), "t")
				r.Cold = true
				s.execute(r)
			}
			s.checkColdRate()
		}},
	} {
		s := newFixture(t)
		c.record(s)
		if c.rule == "" && len(s.violationCounts) > 0 || c.rule != "" && (s.violationCounts[c.rule] == 0 || len(s.violationCounts) != 1) {
			t.Errorf("want violations of rule %q only, got %v", c.rule, s.violations)
		}
	}
}

// sendWhole records an attempt that is sent whole on a direct connection, the given time after SIGTERM if it is not zero.
func (s *fixture) sendWhole(afterSignal time.Duration) *attempt {
	a := s.send("book", "1")
	a.conn = "kept"
	s.recordSentWhole([]*attempt{a})
	if afterSignal > 0 {
		s.history.plannedStops[a.instance] = []time.Time{a.sent.Add(-afterSignal)}
	}
	return a
}

// closeUnanswered records that the connection of an attempt ends without an answer.
func (s *fixture) closeUnanswered(a *attempt) { s.checkReply(a, standin.Reply{}, "", errTest) }

// cutThenAnswer records a stream that target t begins and cuts, after which target u answers the attempt to resume it with something else.
func (s *fixture) cutThenAnswer(status int, body string) *attempt {
	a := s.send("plan", "1")
	s.execute(s.runOf(a, "t"))
	s.Answered(standin.Answer{ID: "1", Target: "t", Stamp: stamp, Status: 200, Stream: true})
	s.execute(s.runOf(a, "u"))
	s.Answered(standin.Answer{ID: "1", Target: "u", Stamp: "other", Status: status, Body: body, Resume: "1"})
	return a
}

// answerInstead records that a disturbed target answers the request for a new stream with something else, of which the caller receives a
// status that is right, the given body, and an error if the body is cut.
func (s *fixture) answerInstead(class string, status int, sent, received string, err error) {
	a := s.send(class, "1")
	s.execute(s.runOf(a, "t"))
	s.disturbances.begin("t")()
	s.Answered(standin.Answer{ID: "1", Target: "t", Stamp: stamp, Status: status, Body: sent})
	r := reply(a, status)
	r.RetryAfter = ""
	s.checkReply(a, r, received, err)
}

// relayLeaving makes an instance relay an answer in which target t announces that it leaves, as of the given time.
func (s *fixture) relayLeaving(instance string, at time.Time) {
	a := s.send("book", "1")
	a.instance = instance
	s.execute(s.runOf(a, "t"))
	s.Answered(standin.Answer{ID: "1", Target: "t", Stamp: stamp, Status: 200})
	r := reply(a, 200)
	r.Leaving = true
	s.recordResponseHead(a, r)
	s.signals.leaving[instanceTarget{instance, "t"}] = at
}

// pauseAndSend makes target t request a pause from an instance and sends n requests through front-0 to a target two seconds later.
func (s *fixture) pauseAndSend(instance, target string, n int) {
	a := s.send("book", "0")
	a.instance = instance
	s.Paused(standin.Pause{ID: "0", Target: "t", Duration: time.Minute, At: time.Now().Add(-2 * time.Second)})
	for i := range n {
		s.execute(s.runOf(s.send("book", string(rune('1'+i))), target))
	}
}

// limitAndSend makes target t announce a limit of one request per second to an instance and sends n requests through front-0 to a
// target later.
func (s *fixture) limitAndSend(instance, target string, n int) {
	a := s.send("book", "0")
	a.instance = instance
	s.execute(s.runOf(a, "t"))
	s.Answered(standin.Answer{ID: "0", Target: "t", Stamp: stamp, Status: 200})
	s.signals.limits.LimitSet("t", 1, time.Now().Add(-2*bounds.RecoveryTime))
	r := reply(a, 200)
	r.Limited = true
	s.recordResponseHead(a, r)
	for i := range n {
		run := s.runOf(s.send("book", string(rune('a'+i))), target)
		run.At = time.Now().Add(time.Second)
		s.execute(run)
	}
}

// testError is an error with a constant text.
type testError string

func (e testError) Error() string { return string(e) }

const errTest = testError("connection closed")

// Guards against fault plans that differ between runs with the same seed, kinds of fault that are never drawn, and faults that
// start so late that the final checks run among them.
func TestFaultPlanIsDeterministic(t *testing.T) {
	seen := map[string]bool{}
	for seed := range uint64(50) {
		first, second := planFaults(seed, 45*time.Second, nil), planFaults(seed, 45*time.Second, nil)
		if len(first) == 0 || len(first) != len(second) {
			t.Fatalf("seed %d: plans with %d and %d faults, want equal numbers above zero", seed, len(first), len(second))
		}
		for i, f := range first {
			if f != second[i] {
				t.Fatalf("seed %d: fault %d differs between two plans", seed, i)
			}
			if f.offset > 45*time.Second-finalQuietTime {
				t.Errorf("seed %d: fault %v in the quiet time at the end", seed, f)
			}
			seen[f.kind] = true
		}
	}
	if len(seen) != len(faultKinds) {
		t.Errorf("drawn: %d of %d kinds of fault", len(seen), len(faultKinds))
	}
}

// A caller that takes up a stream waits only for what is left of its patience: that its answer ends then is no loss.
func TestEndAtDeadlineIsNoLoss(t *testing.T) {
	for patience, want := range map[time.Duration]int{0: 0, time.Hour: 1} {
		s := &fixture{newChecker(newDisturbances(), newHistory(), bounds), t}
		a := s.send("plan", "1")
		a.call.Resume, a.call.Resumes, a.call.Patience = 1, "0", patience
		s.execute(s.runOf(a, "t"))
		s.checkReply(a, standin.Reply{}, "", errTest)
		if got := s.violationCounts["LOST"]; got != want {
			t.Errorf("patience %v: %d requests lost, want %d", patience, got, want)
		}
	}
}

// Guards against undetected violations of the bounds of rollouts: each case is the end of one rollout with requests that reached its targets.
func TestCheckerReportsRollouts(t *testing.T) {
	for _, c := range []struct {
		name            string
		bad             bool
		state           string
		took            time.Duration
		exposed, others int
		late            time.Duration // of the last exposed request, from the order
		violated        bool
	}{
		{"good, done", false, "done", 4 * time.Second, 200, 100, time.Second, false},
		{"good, never done", false, "running", rolloutRamp + rolloutLateness, 20, 100, time.Second, true},
		{"good, rolled back", false, "rolled_back", time.Second, 20, 100, 0, true},
		{"bad, rolled back", true, "rolled_back", 2 * time.Second, 55, 500, time.Second, false},
		{"bad, done", true, "done", 2 * time.Second, 55, 500, time.Second, true},
		{"bad, too many requests", true, "rolled_back", 2 * time.Second, 70, 500, time.Second, true},
		{"bad, late request", true, "rolled_back", 2 * time.Second, 55, 500, bounds.Rollback + time.Second, true},
		{"new request after the rollback", true, "rolled_back", 2 * time.Second, 10, 100, 3 * time.Second, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newFixture(t)
			ordered := time.Now().Add(-time.Minute)
			s.recordRollout(&rollout{version: "v2", bad: c.bad, new: map[string]bool{"new": true}, ordered: ordered, ended: ordered.Add(c.took), state: c.state})
			for i := range c.exposed + c.others {
				a := s.send("book", string(rune('a'+i)))
				r := s.runOf(a, "old")
				r.At = ordered.Add(time.Second / 2)
				if i < c.exposed {
					r.Target = "new"
				}
				if i == c.exposed-1 && c.late > 0 {
					r.At = ordered.Add(c.late)
				}
				a.sent = r.At
				s.Arrived(r)
			}
			s.checkRollouts()
			if got := s.violationCounts["ROLLOUT"] > 0; got != c.violated || len(s.violationCounts) > 1 {
				t.Errorf("violations %v", s.violations)
			}
		})
	}
}
