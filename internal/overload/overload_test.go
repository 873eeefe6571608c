package overload

import (
	"math/rand/v2"
	"testing"
	"time"
)

func rng() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

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

// load is one engine that reads prompts one after the other, and callers that come at a fixed rate.
type simulatedEngine struct {
	requestRate  float64
	promptTokens int
	prefillRate  float64 // tokens a second
	objective    time.Duration
	timeout      time.Duration
}

// serve returns the shares of requests answered in time, late, and refused at once. admit decides by the predicted wait.
func (l simulatedEngine) simulate(duration time.Duration, admit func(wait, read time.Duration) bool) (inTime, late, refused float64) {
	free, n := time.Duration(0), 0.0
	read := time.Duration(float64(l.promptTokens) / l.prefillRate * float64(time.Second))
	for at := time.Duration(0); at < duration; at += time.Duration(float64(time.Second) / l.requestRate) {
		n++
		begin := max(free, at)
		predicted := begin + read - at
		if !admit(begin-at, read) {
			refused++
			continue
		}
		if begin-at > l.timeout {
			continue // dropped from the queue unread
		}
		free = begin + read
		if predicted <= l.objective {
			inTime++
		} else if predicted <= l.timeout {
			late++
		}
	}
	return inTime / n, late / n, refused / n
}

// A quarter of the engines goes dark at high load: the rest gets a third more than it can read. Without admission every
// queue grows to the callers' patience and nearly all answers are late. With it, most are in time and the rest is refused
// at once.
func TestQuarterOfEnginesDown(t *testing.T) {
	l := simulatedEngine{requestRate: 20, promptTokens: 4600, prefillRate: 70_000, objective: 800 * time.Millisecond, timeout: 3 * time.Second}
	unbounded, _, _ := l.simulate(20*time.Second, func(_, _ time.Duration) bool { return true })
	r := rng()
	bounded, late, refused := l.simulate(20*time.Second, func(wait, read time.Duration) bool {
		return Decide(Request{QueueWait: wait, PrefillTime: read, Objective: l.objective, Remaining: l.timeout}, r).Admit
	})
	if unbounded > 0.4 {
		t.Errorf("%.2f in time without admission: the load does not show the pattern", unbounded)
	}
	if bounded < 0.7 || late > 0 {
		t.Errorf("in time %.2f, late %.2f, refused %.2f; want 0.7 in time and none late", bounded, late, refused)
	}
}

// Pattern: a large fleet at high load. Each of 68 instances has a request at few of the targets only, so one that decides by
// its own requests alone, and takes a target where it has none for idle, admits nearly all and every queue grows. What the
// instances tell each other is what must count.
func TestLargeFleetAtHighLoad(t *testing.T) {
	const (
		instances, targets = 68, 20
		perSecond          = 400.0
		read               = 4600 * time.Second / 70_000 // tokens, and tokens a second
		objective          = 600 * time.Millisecond
		timeout            = 12 * time.Second
		duration           = 20 * time.Second
	)
	simulate := func(idle func(own, all int) bool) (inTime, late, refused float64) {
		r := rand.New(rand.NewPCG(3, 4))
		type sent struct {
			instance int
			end      time.Duration
		}
		queues := make([][]sent, targets)
		n := 0.0
		for at := time.Duration(0); at < duration; at += time.Duration(float64(time.Second) / perSecond) {
			n++
			from, to := r.IntN(instances), r.IntN(targets)
			q := queues[to]
			for len(q) > 0 && q[0].end <= at {
				q = q[1:]
			}
			own, begin := 0, at
			for _, s := range q {
				begin = s.end
				if s.instance == from {
					own++
				}
			}
			predicted := begin + read - at
			if Decide(Request{QueueWait: begin - at, PrefillTime: read, Objective: objective, Remaining: timeout, Priority: 1, TargetIdle: idle(own, len(q))}, r).Admit {
				q = append(q, sent{from, begin + read})
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
		t.Errorf("%.2f in time by the own requests alone: the load does not show the pattern", ownOnly)
	}
	if inTime < 0.7 || late > 0 {
		t.Errorf("in time %.2f, late %.2f, refused %.2f; want 0.7 in time and none late", inTime, late, refused)
	}
}

func TestIdleTargetAlwaysGetsRequest(t *testing.T) {
	if !Decide(Request{QueueWait: time.Hour, Objective: time.Second, Remaining: time.Second, TargetIdle: true}, rng()).Admit {
		t.Error("an idle target gets nothing, so nothing is ever learned of it")
	}
}

// Pattern: prompts of very different length at a load that the engine just bears. The longest tenth must not be refused far
// more often than the others: its own reading is no queue.
func TestLongPromptsAreNotStarved(t *testing.T) {
	const (
		objective = 800 * time.Millisecond
		timeout   = 15 * time.Second
		rate      = 66_000.0 // tokens a second
		duration  = 200 * time.Second
	)
	r := rand.New(rand.NewPCG(5, 6))
	var offered, admitted [2]float64 // all, and the longest
	free := time.Duration(0)
	for at := time.Duration(0); at < duration; at += time.Duration(r.ExpFloat64() * float64(160*time.Millisecond)) {
		tokens, long := 3000+r.IntN(9000), r.IntN(10) == 0
		if long {
			tokens = 22_000 + r.IntN(6000)
		}
		read := time.Duration(float64(tokens) / rate * float64(time.Second))
		wait := max(free-at, 0)
		ok := Decide(Request{QueueWait: wait, PrefillTime: read, Objective: objective, Remaining: timeout, Priority: 2}, r).Admit
		if ok {
			free = max(free, at) + read
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
