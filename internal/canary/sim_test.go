package canary

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"sync"
	"testing"
	"time"
)

// simBad is a kind of bad version. Zero is a good one.
type simBad struct {
	name   string
	fail   float64 // share of answers that fail
	slow   float64 // share of answers that are slowBy times slower
	slowBy float64
	from   float64 // when it begins, as a fraction of the time to the deadline
	route  string  // only there; empty: everywhere
	load   bool    // only while the target gets at least two thirds of what an old one does
	atFull bool    // begins with the first second in which it gets most requests
}

var simBads = []simBad{
	{name: "all fail", fail: 1},
	{name: "30 % fail", fail: 0.3},
	{name: "10 % fail", fail: 0.1},
	{name: "all 4 times slower", slow: 1, slowBy: 4},
	{name: "40 % 5 times slower", slow: 0.4, slowBy: 5},
	{name: "30 % fail from half time", fail: 0.3, from: 0.5},
	{name: "30 % fail from 85 %", fail: 0.3, from: 0.85},
	{name: "all fail from the switch on", fail: 1, atFull: true},
	{name: "30 % fail under load", fail: 0.3, load: true},
	{name: "half fail on one route of a fifth", fail: 0.5, route: "post"},
	{name: "30 % fail on idempotent requests", fail: 0.3, route: "get"},
}

// simFault is an ordinary trouble.
type simFault struct {
	name string
	set  func(s *sim)
}

var simFaults = []simFault{
	{"none", func(*sim) {}},
	{"an old target fails", func(s *sim) { s.targets["old0"].fail = 0.4 }},
	{"old targets fail", func(s *sim) {
		for i := range simOld {
			s.targets[fmt.Sprint("old", i)].fail = 0.03
		}
		for i := range simOld {
			s.targets[fmt.Sprint("new", i)].fail = 0.03 // what calls them fails
		}
	}},
	{"one new target is an outlier", func(s *sim) { s.targets["new1"].fail = 0.3 }},
	{"one new target is slow", func(s *sim) { s.targets["new0"].slowBy = 5 }},
	{"cold start", func(s *sim) { s.coldUntil = 4 * time.Second }},
	{"load burst", func(s *sim) {
		s.burstAt = time.Duration(s.rng.Float64()*10) * time.Second
		s.burstFor = 1500 * time.Millisecond
	}},
	{"a new target crashes", func(s *sim) { s.crash("new2", time.Duration(s.rng.Float64()*11e9)) }},
	{"instances restart", func(s *sim) {
		for i := range 3 {
			at := time.Duration(s.rng.Float64() * 10e9)
			s.at(at, func() {
				for a := range s.instances[i].attempts {
					a.cancel()
				}
				s.instances[i] = s.newInstance(i)
			})
		}
	}},
	{"the owner is lost", func(s *sim) { s.at(time.Duration(s.rng.Float64()*9e9), s.loseOwner) }},
	{"an instance is cut off", func(s *sim) {
		at := time.Duration(s.rng.Float64() * 9e9)
		s.at(at, func() { s.instances[4].cut = true })
		s.at(at+1500*time.Millisecond, func() { s.instances[4].cut = false })
	}},
}

const (
	simOld    = 12
	simRamp   = 12 * time.Second
	simFleet  = 6
	simTick   = 5 * time.Millisecond
	simLonger = 5 * time.Second // after the deadline
)

type simEvent struct {
	at time.Duration
	n  int
	do func()
}

type simEvents []simEvent

func (e simEvents) Len() int { return len(e) }
func (e simEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].n < e[j].n
}
func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

type simTarget struct {
	id, version string
	fail        float64
	slowBy      float64
	downUntil   time.Duration
	inFlight    map[*simCall]bool
	recent      float64 // decayed arrivals
	recentAt    time.Duration
}

type simCall struct {
	finish func(failed bool)
	done   bool
}

type simInstance struct {
	*Instance
	incarnation uint64
	sequence    uint64
	cut         bool
	toldAt      time.Duration
}

// sim plays one rollout with real instances and owners, and a modelled network, store and targets.
type sim struct {
	rng       *rand.Rand
	now       time.Duration
	events    simEvents
	pushed    int
	rate      float64
	style     Style
	bad       simBad
	instances [simFleet]*simInstance
	targets   map[string]*simTarget
	policy    *Policy
	token     uint64
	record    Record
	pending   Phase // being committed

	coldUntil         time.Duration
	burstAt, burstFor time.Duration
	fullAt            time.Duration

	requests, exposed, badAnswers int // until the deadline
	afterDone                     int // requests to old targets after done
	runningAtDone                 int
	endedAt                       time.Duration
	fiftieth, lastExposed         time.Duration
	firstBad                      time.Duration
}

var simStart = time.Unix(1_700_000_000, 0)

func (s *sim) time() time.Time { return simStart.Add(s.now) }

func (s *sim) at(t time.Duration, do func()) {
	s.pushed++
	heap.Push(&s.events, simEvent{at: max(t, s.now), n: s.pushed, do: do})
}

func newSim(seed uint64, rate float64, style Style, bad simBad) *sim {
	s := &sim{rng: rand.New(rand.NewPCG(seed, 7)), rate: rate, style: style, bad: bad, targets: map[string]*simTarget{}, burstAt: -time.Hour, fullAt: -1}
	for i := range simOld {
		for _, version := range []string{"old", "new"} {
			id := fmt.Sprint(version, i)
			s.targets[id] = &simTarget{id: id, version: version, slowBy: 1, inFlight: map[*simCall]bool{}}
		}
	}
	s.record = Record{Order: 1, Target: "new", Old: []string{"old"}, Phase: PhaseRamp, StartedMs: simStart.UnixMilli(), DeadlineMs: simStart.Add(simRamp).UnixMilli()}
	for i := range s.instances {
		s.instances[i] = s.newInstance(i)
	}
	s.newOwner(true)
	s.at(0, s.tick)
	return s
}

func (s *sim) newInstance(n int) *simInstance {
	i := &simInstance{Instance: NewInstance("s", s.rng), incarnation: s.rng.Uint64()}
	record := s.record
	i.Update(&record, nil, []string{"old", "new"}, s.time())
	return i
}

func (s *sim) newOwner(fresh bool) {
	s.token++
	s.policy = NewPolicy(Bounds{ExposeShare: 0.1, ExposeSlack: 50, Rollback: 5 * time.Second}, Start{
		Order: Order{Service: "s", Target: "new", Ramp: simRamp, Revision: 1}, Epoch: s.record.StartedMs, Started: simStart, Deadline: simStart.Add(simRamp),
		Phase: s.record.Phase, Fresh: fresh, Style: s.style,
	}, s.time())
}

func (s *sim) loseOwner() {
	s.policy = nil
	s.pending = ""
	s.at(s.now+1500*time.Millisecond, func() { s.newOwner(false) })
}

func (s *sim) crash(id string, at time.Duration) {
	s.at(at, func() {
		t := s.targets[id]
		t.downUntil = s.now + 2*time.Second
		for c := range t.inFlight {
			c.finish(true)
		}
	})
}

func (s *sim) newTargets() (out []string) {
	for i := range simOld {
		if id := fmt.Sprint("new", i); s.targets[id].downUntil <= s.now {
			out = append(out, id)
		}
	}
	return out
}

// delay is the way of a datagram; false if it is lost.
func (s *sim) delay() (time.Duration, bool) {
	return time.Duration(1+s.rng.IntN(4)) * time.Millisecond, s.rng.Float64() > 0.02
}

// tick sends requests, reports and decisions.
func (s *sim) tick() {
	for n := s.poisson(s.rate * simTick.Seconds()); n > 0; n-- {
		s.call(s.rng.IntN(simFleet))
	}
	for n := range s.instances {
		i := s.instances[n]
		i.Tick(s.time())
		if since := s.now - i.toldAt; since >= 200*time.Millisecond || since >= 25*time.Millisecond && (i.Urgent() || i.phase() == PhaseSwitch) {
			i.toldAt = s.now
			s.report(n, i)
		}
	}
	if s.now%(50*time.Millisecond) == 0 {
		s.decide()
	}
	if s.now < simRamp+simLonger {
		s.at(s.now+simTick, s.tick)
	}
}

func (s *sim) poisson(mean float64) int {
	n, p, limit := 0, s.rng.Float64(), math.Exp(-mean)
	for p > limit {
		n++
		p *= s.rng.Float64()
	}
	return n
}

func (s *sim) report(n int, i *simInstance) {
	r, ok := i.Report(s.time())
	d, arrives := s.delay()
	if !ok || i.cut || !arrives {
		return
	}
	i.sequence++
	r.Instance, r.Incarnation, r.Sequence = fmt.Sprint(n), i.incarnation, i.sequence
	s.at(s.now+d, func() {
		if s.policy != nil {
			s.policy.Observe(r, s.time())
			if s.policy != nil {
				s.decide()
				s.permit(n, s.policy.Next(s.input(), s.time()))
			}
		}
	})
}

func (s *sim) input() Input {
	in := Input{NewTargets: s.newTargets(), OldTargets: simOld}
	for n := range simFleet {
		in.Instances = append(in.Instances, fmt.Sprint(n))
	}
	return in
}

func (s *sim) permit(n int, d Decision) {
	p := PermitOf("s", s.record.StartedMs, s.token, s.record.Phase, d, simStart.Add(simRamp), time.Second, s.time())
	if delay, arrives := s.delay(); arrives {
		s.at(s.now+delay, func() {
			if !s.instances[n].cut {
				s.instances[n].TakePermit(p, s.time())
			}
		})
	}
}

func (s *sim) permitAll(d Decision) {
	for n := range s.instances {
		s.permit(n, d)
	}
}

// decide commits what the owner has decided.
func (s *sim) decide() {
	if s.policy == nil {
		return
	}
	d := s.policy.Next(s.input(), s.time())
	if d.Phase == s.record.Phase || s.pending != "" {
		return
	}
	s.pending = d.Phase
	if d.Stop != "" {
		s.permitAll(d)
	}
	owner := s.policy
	s.at(s.now+time.Duration(4+s.rng.IntN(15))*time.Millisecond, func() {
		if s.policy != owner {
			return
		}
		s.pending = ""
		s.record.Phase = d.Phase
		s.policy.Committed(d.Phase, s.time())
		if d.Phase.Final() {
			s.endedAt = s.now
			for _, t := range s.targets {
				if t.version == "old" && d.Phase == PhaseDone {
					s.runningAtDone += len(t.inFlight)
				}
			}
		}
		s.permitAll(s.policy.Next(s.input(), s.time()))
		for n := range s.instances {
			s.at(s.now+time.Duration(20+s.rng.IntN(300))*time.Millisecond, func() {
				if !s.instances[n].cut {
					record := s.record
					s.instances[n].Update(&record, nil, []string{"old", "new"}, s.time())
				}
			})
		}
	})
}

// call is one request at an instance.
func (s *sim) call(n int) {
	i := s.instances[n]
	route, median, total := "get", 0.02, 0.0
	switch u := s.rng.Float64(); {
	case u > 0.9:
		route, median, total = "chat", 0.08, 0.2+s.rng.ExpFloat64()*0.5
	case u > 0.7:
		route, median = "post", 0.04
	}
	c := i.Choose(route, !i.cut, s.time())
	version := "old"
	if len(c.Versions) > 0 {
		version = c.Versions[0]
	}
	if s.now < simRamp {
		s.requests++
	}
	s.send(i, version, route, median, total, c)
}

func (s *sim) send(i *simInstance, version, route string, median, total float64, c Choice) {
	t := s.pick(i, version)
	if t == nil {
		i.Return(c, route)
		return
	}
	call := &simCall{}
	attempt, ok := i.Begin(Key{Version: version, Route: route, Target: t.id}, c.Exposed, false, version == "new" && s.now < s.coldUntil, !i.cut, func() { call.finish(true) }, s.time())
	began := s.now
	call.finish = func(failed bool) {
		if call.done {
			return
		}
		call.done = true
		delete(t.inFlight, call)
		took := s.now - began
		first := took
		if total > 0 {
			first = min(first, time.Duration(median*1e9))
		}
		i.End(attempt, &Answer{Failed: failed, First: first, Total: took}, s.time())
	}
	if !ok {
		call.done = true
		i.End(attempt, nil, s.time())
		return
	}
	t.inFlight[call] = true
	failed, latency := s.play(t, version, route, median)
	if version == "old" && s.record.Phase == PhaseDone {
		s.afterDone++
	}
	median = latency
	s.at(s.now+time.Duration(latency*1e9), func() { i.GotFirst(attempt) })
	s.at(s.now+time.Duration((latency+total)*1e9), func() { call.finish(failed) })
}

// play returns how a target answers, and counts what a bad version gets.
func (s *sim) play(t *simTarget, version, route string, median float64) (failed bool, latency float64) {
	decay := math.Exp(-float64(s.now-t.recentAt) / 500e6)
	t.recent, t.recentAt = t.recent*decay+1, s.now
	latency = median * math.Exp(0.4*s.rng.NormFloat64()) * t.slowBy
	if s.now >= s.burstAt && s.now < s.burstAt+s.burstFor {
		latency *= 3
	}
	failed = s.rng.Float64() < t.fail+0.001
	if version != "new" {
		return failed, latency
	}
	if s.now < s.coldUntil {
		latency *= 3
	}
	if s.now < simRamp {
		s.exposed++
	}
	if s.record.Phase == PhaseSwitch && s.fullAt < 0 {
		s.fullAt = s.now
	}
	b := &s.bad
	active := b.name != "" && (b.route == "" || b.route == route) && float64(s.now) >= b.from*float64(simRamp) &&
		(!b.load || t.recent >= 2.0/3*0.5*s.rate/simOld) && (!b.atFull || s.fullAt >= 0)
	isBad := false
	if active && s.rng.Float64() < b.fail {
		failed, isBad = true, true
	}
	if active && s.rng.Float64() < b.slow {
		latency, isBad = latency*b.slowBy, true
	}
	if isBad {
		if s.badAnswers++; s.badAnswers == 1 {
			s.firstBad = s.now
		}
		if s.badAnswers == 50 {
			s.fiftieth = s.now + time.Duration(latency*1e9)
		}
	}
	s.lastExposed = s.now
	return failed, latency
}

func (s *sim) pick(i *simInstance, version string) *simTarget {
	var usable []*simTarget
	rank := 0
	for n := range simOld {
		id := fmt.Sprint(version, n)
		t := s.targets[id]
		if t.downUntil > s.now {
			continue
		}
		if version == "new" {
			rank++
			if !i.WorksInRamp(id, rank-1) {
				continue
			}
		}
		usable = append(usable, t)
	}
	if len(usable) == 0 {
		return nil
	}
	return usable[s.rng.IntN(len(usable))]
}

func (s *sim) run() {
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.do()
	}
}

// playAll plays several rollouts, some at a time.
func playAll(n int, prepare func(n int) *sim) []*sim {
	out := make([]*sim, n)
	var playing sync.WaitGroup
	slots := make(chan struct{}, runtime.GOMAXPROCS(0))
	for i := range n {
		slots <- struct{}{}
		playing.Go(func() {
			s := prepare(i)
			s.run()
			s.events, s.instances, s.targets = nil, [simFleet]*simInstance{}, nil
			out[i] = s
			<-slots
		})
	}
	playing.Wait()
	return out
}

var simStyles = []struct {
	style Style
	name  string
}{{StyleFixed, "fixed share"}, {StyleGrowing, "grows with evidence"}, {StyleByRoute, "fixed, more on small routes"}}

// simulated returns the number of rollouts to simulate: fewer under the race detector, where each takes forty times as long.
func simulated(full, withRace int) int {
	if raceEnabled {
		return withRace
	}
	return full
}

// No good version may be rolled back, whatever ordinary trouble there is, and each must be done by its deadline.
func TestGoodRolloutsComplete(t *testing.T) {
	rollouts := simulated(1000, 30)
	for _, style := range simStyles {
		if style.style != StyleByRoute && !testing.Verbose() {
			continue
		}
		back, late, took, afterDone, running := 0, 0, time.Duration(0), 0, 0
		causes := map[string]int{}
		for n, s := range playAll(rollouts, func(n int) *sim {
			s := newSim(uint64(n), []float64{20, 50, 100}[n/len(simFaults)%3], style.style, simBad{})
			simFaults[n%len(simFaults)].set(s)
			return s
		}) {
			fault := simFaults[n%len(simFaults)]
			switch {
			case s.record.Phase == PhaseRolledBack:
				back++
				causes[fault.name+": "+s.policy.stopped]++
			case s.record.Phase != PhaseDone || s.endedAt > simRamp:
				late++
				causes[fault.name+": late "+string(s.record.Phase)]++
			default:
				took += s.endedAt
			}
			afterDone += s.afterDone
			running += s.runningAtDone
		}
		t.Logf("%-28s %d rolled back, %d late, done after %.2f s; to old targets after done: %d, running there at done: %d", style.name, back, late,
			took.Seconds()/float64(rollouts), afterDone, running)
		if style.style == StyleByRoute && (back > 0 || late > 0 || afterDone > 0 || running > 0) {
			t.Errorf("of %d good rollouts %d were rolled back, %d late, %d requests after done, %d running at done: %v", rollouts, back, late, afterDone, running, causes)
		}
	}
}

// Each kind of bad version must be rolled back within the bounds.
func TestBadVersionsAreRolledBack(t *testing.T) {
	rollouts := simulated(12, 1)
	for _, bad := range simBads {
		for _, style := range simStyles {
			if style.style != StyleByRoute && !testing.Verbose() {
				continue
			}
			for _, rate := range []float64{30, 100, 300} {
				missed, worst, over, exposed, after, took := 0, 0.0, 0, 0, time.Duration(0), time.Duration(0)
				for _, s := range playAll(rollouts, func(n int) *sim { return newSim(uint64(n), rate, style.style, bad) }) {
					if s.record.Phase != PhaseRolledBack {
						missed++
					} else {
						took += s.endedAt - s.firstBad
					}
					exposed += s.exposed
					used := (float64(s.exposed) - 50) / float64(s.requests)
					worst = max(worst, used)
					if used > 0.1 {
						over++
					}
					if s.badAnswers >= 50 {
						after = max(after, s.lastExposed-s.fiftieth)
					}
				}
				t.Logf("%-34s %-28s %3.0f/s: %d of %d missed, %4.0f exposed, share beyond slack %5.1f %%, after the 50th bad answer %.2f s, rolled back after %.2f s",
					bad.name, style.name, rate, missed, rollouts, float64(exposed)/float64(rollouts), 100*worst, after.Seconds(), took.Seconds()/float64(max(rollouts-missed, 1)))
				if style.style == StyleByRoute && (over > 0 || after > 5*time.Second) {
					t.Errorf("%s at %.0f/s: %d over the bound, %v after the 50th bad answer", bad.name, rate, over, after)
				}
			}
		}
	}
}
