package overload

import (
	"math/rand/v2"
	"testing"
	"time"
)

func rng() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// Requests must be refused if their first token would miss the latency objective or the deadline of the caller, less
// urgent ones first, and long prompts not only because of their own prefill time.
func TestDecide(t *testing.T) {
	const objective = 800 * time.Millisecond
	for _, c := range []struct {
		name      string
		wait      time.Duration
		prefill   time.Duration
		remaining time.Duration
		priority  int
		admit     bool
	}{
		{"short queue", 300 * time.Millisecond, 0, 3 * time.Second, 0, true},
		{"queue beyond the objective", 900 * time.Millisecond, 0, 3 * time.Second, 0, false},
		{"queue and reading beyond the objective", 500 * time.Millisecond, 400 * time.Millisecond, 3 * time.Second, 0, false},
		{"less urgent gives way first", 700 * time.Millisecond, 0, 15 * time.Second, 1, false},
		{"more urgent still goes", 700 * time.Millisecond, 0, 3 * time.Second, 0, true},
		{"caller gives up before", 300 * time.Millisecond, 0, 200 * time.Millisecond, 0, false},
		{"caller gives up while it is read", 100 * time.Millisecond, 150 * time.Millisecond, 200 * time.Millisecond, 0, false},
		{"long prompt that leaves some time", 150 * time.Millisecond, 400 * time.Millisecond, 15 * time.Second, 2, true},
		{"long prompt at a long queue", 250 * time.Millisecond, 400 * time.Millisecond, 15 * time.Second, 2, false},
		{"prompt longer than the objective, short queue", 100 * time.Millisecond, 900 * time.Millisecond, 15 * time.Second, 2, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			v := Decide(Request{QueueWait: c.wait, PrefillTime: c.prefill, Objective: objective, Remaining: c.remaining, Priority: c.priority}, rng())
			if v.Admit != c.admit {
				t.Errorf("admit %v, want %v", v.Admit, c.admit)
			}
			if !v.Admit && (v.RetryAfter < minRetryAfter || v.RetryAfter > 2*maxRetryAfter) {
				t.Errorf("retry after %v", v.RetryAfter)
			}
		})
	}
}

// simulatedEngine is one engine that prefills prompts one after the other, with requests arriving at a fixed rate.
type simulatedEngine struct {
	requestRate  float64
	promptTokens int
	prefillRate  float64 // tokens per second
	objective    time.Duration
	timeout      time.Duration
}

// simulate returns the fractions of requests whose first token comes in time, comes late, or that are refused at once.
// admit decides by the predicted queue wait and prefill time.
func (e simulatedEngine) simulate(duration time.Duration, admit func(wait, prefill time.Duration) bool) (inTime, late, refused float64) {
	freeAt, n := time.Duration(0), 0.0
	prefill := time.Duration(float64(e.promptTokens) / e.prefillRate * float64(time.Second))
	for at := time.Duration(0); at < duration; at += time.Duration(float64(time.Second) / e.requestRate) {
		n++
		start := max(freeAt, at)
		predicted := start + prefill - at
		if !admit(start-at, prefill) {
			refused++
			continue
		}
		if start-at > e.timeout {
			continue // timed out in the queue, before its prefill
		}
		freeAt = start + prefill
		if predicted <= e.objective {
			inTime++
		} else if predicted <= e.timeout {
			late++
		}
	}
	return inTime / n, late / n, refused / n
}

// Guards against late responses when a quarter of the engines fails at high load and the others get a third more prompts
// than they can prefill. Without admission every queue grows up to the callers' timeout and nearly all responses are
// late. With it most are in time and the others are refused at once.
func TestQuarterOfEnginesDown(t *testing.T) {
	engine := simulatedEngine{requestRate: 20, promptTokens: 4600, prefillRate: 70_000, objective: 800 * time.Millisecond, timeout: 3 * time.Second}
	withoutAdmission, _, _ := engine.simulate(20*time.Second, func(_, _ time.Duration) bool { return true })
	r := rng()
	inTime, late, refused := engine.simulate(20*time.Second, func(wait, prefill time.Duration) bool {
		return Decide(Request{QueueWait: wait, PrefillTime: prefill, Objective: engine.objective, Remaining: engine.timeout}, r).Admit
	})
	if withoutAdmission > 0.4 {
		t.Errorf("%.2f in time without admission: the load does not reproduce the overload", withoutAdmission)
	}
	if inTime < 0.7 || late > 0 {
		t.Errorf("in time %.2f, late %.2f, refused %.2f; want 0.7 in time and none late", inTime, late, refused)
	}
}

// Guards against overload in a large fleet at high load. Each of 68 instances has requests at only a few of the targets.
// An instance that treats every target without requests of its own as idle admits nearly all requests, and every queue
// grows. TargetIdle must take the load reported by the other instances into account.
func TestLargeFleetAtHighLoad(t *testing.T) {
	const (
		instances, targets = 68, 20
		requestRate        = 400.0
		prefill            = 4600 * time.Second / 70_000 // prompt tokens / prefill rate in tokens per second
		objective          = 600 * time.Millisecond
		timeout            = 12 * time.Second
		duration           = 20 * time.Second
	)
	simulate := func(idle func(own, all int) bool) (inTime, late, refused float64) {
		r := rand.New(rand.NewPCG(3, 4))
		type queued struct {
			instance int
			end      time.Duration
		}
		queues := make([][]queued, targets)
		n := 0.0
		for at := time.Duration(0); at < duration; at += time.Duration(float64(time.Second) / requestRate) {
			n++
			from, to := r.IntN(instances), r.IntN(targets)
			q := queues[to]
			for len(q) > 0 && q[0].end <= at {
				q = q[1:]
			}
			own, start := 0, at
			for _, s := range q {
				start = s.end
				if s.instance == from {
					own++
				}
			}
			predicted := start + prefill - at
			if Decide(Request{QueueWait: start - at, PrefillTime: prefill, Objective: objective, Remaining: timeout, Priority: 1, TargetIdle: idle(own, len(q))}, r).Admit {
				q = append(q, queued{from, start + prefill})
				if predicted <= objective {
					inTime++
				} else {
					late++
				}
			} else {
				refused++
			}
			queues[to] = q
		}
		return inTime / n, late / n, refused / n
	}
	ownOnly, _, _ := simulate(func(own, _ int) bool { return own == 0 })
	inTime, late, refused := simulate(func(_, all int) bool { return all == 0 })
	if ownOnly > 0.4 {
		t.Errorf("%.2f in time with only own requests counted: the load does not reproduce the overload", ownOnly)
	}
	if inTime < 0.7 || late > 0 {
		t.Errorf("in time %.2f, late %.2f, refused %.2f; want 0.7 in time and none late", inTime, late, refused)
	}
}

// Guards against excluding a target for ever because of an outdated estimate: only a response can correct it.
func TestIdleTargetAlwaysGetsRequest(t *testing.T) {
	if !Decide(Request{QueueWait: time.Hour, Objective: time.Second, Remaining: time.Second, TargetIdle: true}, rng()).Admit {
		t.Error("an idle target gets no request, so its estimates are never updated")
	}
}

// Guards against refusing mostly long prompts when the engine is close to its capacity. Their own prefill time is not
// queue wait, so the longest tenth must be admitted almost as often as all requests.
func TestLongPromptsAreNotStarved(t *testing.T) {
	const (
		objective   = 800 * time.Millisecond
		timeout     = 15 * time.Second
		prefillRate = 66_000.0 // tokens per second
		duration    = 200 * time.Second
	)
	r := rand.New(rand.NewPCG(5, 6))
	var offered, admitted [2]float64 // of all requests, and of the longest tenth
	freeAt := time.Duration(0)
	for at := time.Duration(0); at < duration; at += time.Duration(r.ExpFloat64() * float64(160*time.Millisecond)) {
		tokens, long := 3000+r.IntN(9000), r.IntN(10) == 0
		if long {
			tokens = 22_000 + r.IntN(6000)
		}
		prefill := time.Duration(float64(tokens) / prefillRate * float64(time.Second))
		wait := max(freeAt-at, 0)
		ok := Decide(Request{QueueWait: wait, PrefillTime: prefill, Objective: objective, Remaining: timeout, Priority: 2}, r).Admit
		if ok {
			freeAt = max(freeAt, at) + prefill
		}
		for i, counts := range []bool{true, long} {
			if counts {
				offered[i]++
				if ok {
					admitted[i]++
				}
			}
		}
	}
	all, longest := admitted[0]/offered[0], admitted[1]/offered[1]
	if longest < 0.75*all {
		t.Errorf("%.2f of the longest tenth admitted, %.2f of all", longest, all)
	}
}
