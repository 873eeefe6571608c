package quarantine

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

// blameScenario is a simulated day of requests, deadly parts and ordinary crashes.
type blameScenario struct {
	name         string
	gateways     int
	targets      int
	perSecond    float64
	subjects     int           // sound parts shared by few requests each
	systems      int           // sound parts shared by many requests
	deadly       int           // deadly parts
	deadlyShare  float64       // of all requests
	sharedLikely bool          // deadly requests have a sound subject as well
	crashEvery   time.Duration // between rounds of ordinary crashes; zero: none
	crashShare   float64       // of the targets that crash in a round
	crashSpread  time.Duration // time over which the crashes of a round are spread
	cutGateway   bool          // one gateway exchanges no messages
	plain        bool          // targets answer when they have run a request; the parts stand for whole requests, subjects for those that many callers send
	unique       float64       // share of the sound requests that are never sent again, only if plain
}

// blameResult is the outcome of a scenario.
type blameResult struct {
	sound, refused     int // sound requests, and those refused because of a quarantine
	quarantined        int // sound parts that were ever quarantined
	deadlyCrashes      []int
	ordinaryCrashes    int
	mostCrashesPerPart int
}

// simulated is the state of a scenario under virtual time.
type simulated struct {
	blameScenario
	rng      *rand.Rand
	now      time.Time
	queue    simQueue
	trackers []*Tracker
	targets  []*simTarget
	crashes  map[string]int
	result   blameResult
	blamed   map[Part]bool
	holders  uint64
}

type simTarget struct {
	incarnation uint64
	downUntil   time.Time
	running     map[*simRequest]bool
}

type simRequest struct {
	gateway   int
	id        uint32
	parts     []Part
	deadly    string
	attempts  int
	target    *simTarget
	begunAt   time.Time // of the answer; zero before
	probe     []Part
	holder    uint64
	waitUntil time.Time
}

type simEvent struct {
	at  time.Time
	seq int
	do  func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func (s *simulated) after(d time.Duration, do func()) {
	s.holders++
	heap.Push(&s.queue, simEvent{s.now.Add(d), int(s.holders), do})
}

const simMessageDelay, simDay = 3 * time.Millisecond, 60 * time.Second

// simulateBlame plays a scenario.
func simulateBlame(c blameScenario, seed uint64) blameResult {
	s := &simulated{blameScenario: c, rng: rand.New(rand.NewPCG(seed, 30)), now: epoch, crashes: map[string]int{}, blamed: map[Part]bool{}}
	for range c.gateways {
		s.trackers = append(s.trackers, NewTracker(epoch))
	}
	for range c.targets {
		s.targets = append(s.targets, &simTarget{incarnation: s.rng.Uint64(), running: map[*simRequest]bool{}})
	}
	var arrive func()
	arrive = func() {
		s.send(s.newRequest())
		s.after(time.Duration(s.rng.ExpFloat64()/c.perSecond*float64(time.Second)), arrive)
	}
	s.after(0, arrive)
	var round func()
	round = func() {
		for _, t := range s.targets {
			if s.rng.Float64() < c.crashShare {
				s.after(time.Duration(s.rng.Int64N(int64(c.crashSpread)+1)), func() { s.crash(t, "") })
			}
		}
		s.after(c.crashEvery, round)
	}
	if c.crashEvery > 0 {
		s.after(c.crashEvery, round)
	}
	for len(s.queue) > 0 && s.queue[0].at.Before(epoch.Add(simDay)) {
		next := heap.Pop(&s.queue).(simEvent)
		s.now = next.at
		next.do()
	}
	for i := range c.deadly {
		n := s.crashes[fmt.Sprintf("d%d", i)]
		s.result.deadlyCrashes = append(s.result.deadlyCrashes, n)
		s.result.mostCrashesPerPart = max(s.result.mostCrashesPerPart, n)
	}
	s.result.quarantined, s.result.ordinaryCrashes = len(s.blamed), s.crashes[""]
	return s.result
}

func (s *simulated) newRequest() *simRequest {
	r := &simRequest{gateway: s.rng.IntN(s.gateways), id: s.rng.Uint32()}
	if s.plain {
		name := fmt.Sprintf("u%d", s.rng.IntN(s.subjects))
		switch {
		case s.now.After(epoch.Add(4*time.Second)) && s.rng.Float64() < s.deadlyShare:
			r.deadly = fmt.Sprintf("d%d", s.rng.IntN(s.deadly))
			name = r.deadly
		case s.rng.Float64() < s.unique:
			name = fmt.Sprintf("n%d", r.id)
		}
		if r.deadly == "" {
			s.result.sound++
		}
		r.parts = []Part{{ID: requestPrefix + name}}
		return r
	}
	r.parts = append(r.parts, part(fmt.Sprintf("s%d", s.rng.IntN(s.systems))))
	subject := part(fmt.Sprintf("u%d", s.rng.IntN(s.subjects)))
	if s.now.After(epoch.Add(4*time.Second)) && s.rng.Float64() < s.deadlyShare {
		r.deadly = fmt.Sprintf("d%d", s.rng.IntN(s.deadly))
		if s.sharedLikely {
			r.parts = append(r.parts, subject)
		}
		r.parts = append(r.parts, part(r.deadly))
		return r
	}
	s.result.sound++
	r.parts = append(r.parts, subject)
	return r
}

// send sends a request to a target if its gateway allows it.
func (s *simulated) send(r *simRequest) {
	t := s.trackers[r.gateway]
	for _, q := range t.Quarantines() {
		for _, p := range q.Parts {
			if strings.TrimPrefix(p.ID, requestPrefix)[0] != 'd' && len(q.Parts) == 1 {
				s.blamed[p] = true
			}
		}
	}
	switch d := t.Check(r.parts, 1, s.now); d.Verdict {
	case Refuse:
		if r.deadly == "" {
			s.result.refused++
		}
		return
	case Wait:
		if r.waitUntil.IsZero() {
			r.waitUntil = s.now.Add(200 * time.Millisecond)
		}
		if s.now.Before(r.waitUntil) {
			s.after(5*time.Millisecond, func() { s.send(r) })
		} else if r.deadly == "" {
			s.result.refused++
		}
		return
	case Probe:
		s.holders++
		r.probe, r.holder = d.Parts, s.holders
		t.Claim(d.Parts, r.holder, s.now)
		s.tell(r.gateway, func(other *Tracker) { other.LearnClaim(d.Parts, r.holder, s.now) })
		s.after(20*time.Millisecond, func() {
			if !t.Holds(r.probe, r.holder, s.now) {
				r.probe = nil
				s.send(r)
				return
			}
			s.start(r)
		})
		return
	}
	s.start(r)
}

// tell delivers a message to all other gateways.
func (s *simulated) tell(from int, do func(*Tracker)) {
	for i, t := range s.trackers {
		if i == from || s.cutGateway && (i == 0 || from == 0) {
			continue
		}
		s.after(simMessageDelay, func() { do(t) })
	}
}

// start sends a request to a random target that is up.
func (s *simulated) start(r *simRequest) {
	r.attempts++
	t := s.targets[s.rng.IntN(len(s.targets))]
	for s.now.Before(t.downUntil) {
		t = s.targets[s.rng.IntN(len(s.targets))]
	}
	r.target, r.begunAt = t, time.Time{}
	t.running[r] = true
	s.after(time.Duration(30+s.rng.IntN(200))*time.Millisecond, func() {
		if r.target != t || !t.running[r] {
			return
		}
		r.begunAt = s.now
		if r.deadly != "" {
			s.after(time.Duration(s.rng.IntN(120))*time.Millisecond, func() {
				if t.running[r] {
					s.crash(t, r.deadly)
				}
			})
			return
		}
		rest := time.Duration(100+s.rng.IntN(1500)) * time.Millisecond
		if s.plain {
			rest = 0
		}
		s.after(rest, func() {
			if t.running[r] && r.target == t {
				delete(t.running, r)
				s.answered(r)
			}
		})
	})
}

func (s *simulated) answered(r *simRequest) {
	at := s.now
	announce, _ := s.trackers[r.gateway].RecordServed(r.parts, at)
	for _, p := range announce {
		s.tell(r.gateway, func(other *Tracker) { other.LearnServed(p, at, s.now) })
	}
	s.endProbe(r)
}

func (s *simulated) endProbe(r *simRequest) {
	if r.probe == nil {
		return
	}
	probe, holder := r.probe, r.holder
	r.probe = nil
	s.trackers[r.gateway].Release(probe, holder, s.now)
	s.tell(r.gateway, func(other *Tracker) { other.Release(probe, holder, s.now) })
}

// crash ends a target; its gateways report what it was answering and try the cut requests once more.
func (s *simulated) crash(t *simTarget, deadly string) {
	if s.now.Before(t.downUntil) {
		return
	}
	s.crashes[deadly]++
	incarnation, at, cut := t.incarnation, s.now, t.running
	t.incarnation, t.downUntil, t.running = s.rng.Uint64(), s.now.Add(3*time.Second), map[*simRequest]bool{}
	reports := make([]Crash, s.gateways)
	for _, r := range sortRequests(cut) {
		r.target = nil
		if r.begunAt.IsZero() && !s.plain {
			continue
		}
		for _, p := range r.parts {
			suspect := Suspect{Part: p, Request: r.id, Weak: !s.plain && at.Sub(r.begunAt) > 100*time.Millisecond}
			if served, ok := s.trackers[r.gateway].LastServed(p, at); ok {
				suspect.ServedAt = served
			}
			reports[r.gateway].Suspects = append(reports[r.gateway].Suspects, suspect)
		}
	}
	for g, report := range reports {
		if len(report.Suspects) == 0 && len(cut) == 0 {
			continue
		}
		report.Incarnation, report.At = incarnation, at
		s.after(simMessageDelay, func() {
			s.learn(g, report)
			s.tell(g, func(other *Tracker) {
				for i, candidate := range s.trackers {
					if candidate == other {
						s.learn(i, report)
					}
				}
			})
		})
	}
	for _, r := range sortRequests(cut) {
		s.after(25*time.Millisecond, func() {
			s.endProbe(r)
			if r.attempts < 2 {
				s.send(r)
			}
		})
	}
}

func (s *simulated) learn(g int, c Crash) {
	answered, changes := s.trackers[g].LearnCrash(c, 1, s.now)
	if len(changes) > 0 {
		s.recall(g)
	}
	for _, p := range answered {
		if at, ok := s.trackers[g].LastServed(p, s.now); ok {
			s.tell(g, func(other *Tracker) { other.LearnServed(p, at, s.now) })
		}
	}
}

// recall takes back the requests of a gateway whose answers have not begun and that must not run now.
func (s *simulated) recall(g int) {
	for _, t := range s.targets {
		for _, r := range sortRequests(t.running) {
			if r.gateway != g || !r.begunAt.IsZero() || r.probe != nil || s.trackers[g].Check(r.parts, 1, s.now).Verdict == Allow {
				continue
			}
			delete(t.running, r)
			r.target = nil
			if r.attempts < 2 {
				s.after(0, func() { s.send(r) })
			} else if r.deadly == "" {
				s.result.refused++
			}
		}
	}
}

var blameScenarios = []blameScenario{
	{name: "ordinary crashes, one in five every 6 s", gateways: 5, targets: 18, perSecond: 100, subjects: 400, systems: 1, crashEvery: 6 * time.Second, crashShare: 0.2, crashSpread: 500 * time.Millisecond},
	{name: "ordinary crashes, few subjects", gateways: 5, targets: 18, perSecond: 100, subjects: 20, systems: 1, crashEvery: 6 * time.Second, crashShare: 0.2, crashSpread: 500 * time.Millisecond},
	{name: "ordinary crashes, each subject new", gateways: 5, targets: 18, perSecond: 100, subjects: 1 << 30, systems: 1, crashEvery: 6 * time.Second, crashShare: 0.2, crashSpread: 500 * time.Millisecond},
	{name: "a third at once", gateways: 12, targets: 36, perSecond: 200, subjects: 400, systems: 3, crashEvery: 8 * time.Second, crashShare: 0.33},
	{name: "rolling crashes, three a second", gateways: 5, targets: 60, perSecond: 100, subjects: 1000, systems: 3, crashEvery: 333 * time.Millisecond, crashShare: 1.0 / 60},
	{name: "one deadly part", gateways: 5, targets: 18, perSecond: 100, subjects: 400, systems: 1, deadly: 1, deadlyShare: 0.05},
	{name: "one deadly part beside sound subjects", gateways: 5, targets: 18, perSecond: 100, subjects: 400, systems: 1, deadly: 1, deadlyShare: 0.05, sharedLikely: true},
	{name: "five deadly parts beside sound subjects", gateways: 12, targets: 60, perSecond: 300, subjects: 1000, systems: 3, deadly: 5, deadlyShare: 0.05, sharedLikely: true},
	{name: "one deadly part, ordinary crashes", gateways: 5, targets: 18, perSecond: 100, subjects: 400, systems: 1, deadly: 1, deadlyShare: 0.05, sharedLikely: true, crashEvery: 6 * time.Second, crashShare: 0.2, crashSpread: 500 * time.Millisecond},
	{name: "one deadly part, a gateway cut off", gateways: 5, targets: 18, perSecond: 100, subjects: 400, systems: 1, deadly: 1, deadlyShare: 0.05, sharedLikely: true, cutGateway: true},
	{name: "plain, ordinary crashes, one in five every 6 s", plain: true, unique: 0.5, gateways: 5, targets: 18, perSecond: 100, subjects: 20, crashEvery: 6 * time.Second, crashShare: 0.2, crashSpread: 500 * time.Millisecond},
	{name: "plain, a third at once", plain: true, unique: 0.5, gateways: 12, targets: 36, perSecond: 200, subjects: 20, crashEvery: 8 * time.Second, crashShare: 0.33},
	{name: "plain, rolling crashes, three a second", plain: true, unique: 0.5, gateways: 5, targets: 60, perSecond: 100, subjects: 20, crashEvery: 333 * time.Millisecond, crashShare: 1.0 / 60},
	{name: "plain, each request new, rolling crashes", plain: true, unique: 1, gateways: 5, targets: 60, perSecond: 100, subjects: 1, crashEvery: 333 * time.Millisecond, crashShare: 1.0 / 60},
	{name: "plain, one deadly request, four targets", plain: true, unique: 0.5, gateways: 5, targets: 4, perSecond: 60, subjects: 20, deadly: 1, deadlyShare: 0.03},
	{name: "plain, five deadly requests", plain: true, unique: 0.5, gateways: 12, targets: 60, perSecond: 300, subjects: 50, deadly: 5, deadlyShare: 0.05},
	{name: "plain, one deadly request, ordinary crashes", plain: true, unique: 0.5, gateways: 5, targets: 18, perSecond: 100, subjects: 20, deadly: 1, deadlyShare: 0.05, crashEvery: 6 * time.Second, crashShare: 0.2, crashSpread: 500 * time.Millisecond},
	{name: "one deadly part, 60 gateways", gateways: 60, targets: 100, perSecond: 300, subjects: 2000, systems: 3, deadly: 1, deadlyShare: 0.02, sharedLikely: true},
}

// A deadly part must be found before it crashes five targets, and sound parts must not be blamed for the crashes, neither for those of deadly
// parts that they are used with nor for ordinary ones.
func TestRateOfFalseBlame(t *testing.T) {
	const seeds = 4
	for _, c := range blameScenarios {
		t.Run(c.name, func(t *testing.T) {
			var total blameResult
			most := 0
			for seed := range uint64(seeds) {
				r := simulateBlame(c, seed)
				total.sound, total.refused, total.quarantined = total.sound+r.sound, total.refused+r.refused, total.quarantined+r.quarantined
				total.ordinaryCrashes += r.ordinaryCrashes
				most = max(most, r.mostCrashesPerPart)
				total.deadlyCrashes = append(total.deadlyCrashes, r.deadlyCrashes...)
			}
			t.Logf("%d sound requests, %d refused, %d sound parts quarantined; %d ordinary crashes; crashes of each deadly part %v",
				total.sound, total.refused, total.quarantined, total.ordinaryCrashes, total.deadlyCrashes)
			limit := 4
			if c.cutGateway {
				limit *= 2 // it and the others are fleets of their own
			}
			if most > limit {
				t.Errorf("a deadly part crashed %d targets, want at most %d", most, limit)
			}
			if share := float64(total.refused) / float64(total.sound); share > 1e-3 {
				t.Errorf("%d of %d sound requests were refused, want at most one in a thousand", total.refused, total.sound)
			}
		})
	}
}

// sortRequests returns requests in an order that does not change from run to run.
func sortRequests(set map[*simRequest]bool) []*simRequest {
	return slices.SortedFunc(maps.Keys(set), func(a, b *simRequest) int { return cmp.Compare(a.id, b.id) })
}
