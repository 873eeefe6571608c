package plan

import (
	"container/heap"
	"encoding/binary"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/egrethoist/egrethoist/internal/revision"
	"github.com/egrethoist/egrethoist/internal/world"
)

// full runs the simulation with the fleet size expected within two years, and also the alternative strategies.
var full = flag.Bool("fleet.full", false, "simulate 660 entries and 3,200 sidecars, and compare the ways")

// Number of regions, and the time within which every process must have a new revision.
const (
	fleetRegions     = 7
	convergenceLimit = 5 * time.Second
)

var fleetEntries, fleetSidecars = 66, 320

func TestMain(m *testing.M) {
	flag.Parse()
	if *full {
		fleetEntries, fleetSidecars = 660, 3200
	}
	os.Exit(m.Run())
}

// Parameters of the network and of the code that uses a Planner.
const (
	localDelay  = time.Millisecond // one way
	remoteDelay = 40 * time.Millisecond
	lossRate    = 0.01 // share of exchanges that time out
	timeout     = 2 * time.Second
	watchWait   = 2 * time.Second
	maxBackoff  = 2 * time.Second
)

// strategy is one of the propagation strategies that are compared.
type strategy struct {
	name                                    string
	watch, push, antiEntropy, requestStamps bool
	allWatch                                bool // every process watches the key-value service
}

var defaultStrategy = strategy{name: "few watchers, push and anti-entropy", watch: true, push: true, antiEntropy: true}

// simNode is a simulated process.
type simNode struct {
	Peer
	planner     *Planner
	tracker     *revision.Tracker
	confirmedAt time.Time
	backoff     time.Duration
}

// event is a function that runs at a simulated time; seq orders events of the same time.
type event struct {
	at  time.Time
	seq int
	do  func()
}

// events is a heap.Interface ordered by time.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(v any)   { *e = append(*e, v.(event)) }
func (e *events) Pop() any {
	old := *e
	v := old[len(old)-1]
	*e = old[:len(old)-1]
	return v
}

// fleet is a discrete-event simulation of all processes and the key-value service.
type fleet struct {
	strategy       strategy
	rng            *rand.Rand
	now            time.Time
	seq            int
	queue          events
	nodes          []*simNode
	byAddr         map[string]*simNode
	history        []world.Revision
	blockedWatches map[int]func() // wake functions of pending watches

	kvDown                      bool
	isolated                    string // region partitioned from the others
	noKV                        string // region that can't reach the key-value service
	reads, exchanges, transfers int
	peakBlockedWatches          int
}

func newFleet(s strategy, seed uint64) *fleet {
	f := &fleet{strategy: s, rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(0, 0), byAddr: map[string]*simNode{}}
	var peers []Peer
	for i := range fleetEntries + fleetSidecars {
		p := Peer{Name: fmt.Sprint("node-", i), Region: fmt.Sprint("region-", i%fleetRegions), Address: fmt.Sprint(i)}
		if i >= fleetEntries {
			p.Role = RoleSidecar
		}
		peers = append(peers, p)
	}
	f.apply()
	for _, p := range peers {
		n := &simNode{Peer: p, planner: New(p, Options{}), tracker: revision.NewTracker(0), confirmedAt: f.now}
		n.planner.SetPeers(peers)
		n.tracker.Propose(f.latestLineage(0))
		f.nodes = append(f.nodes, n)
		f.byAddr[p.Address] = n
		f.schedule(time.Duration(f.rng.Int64N(int64(DefaultPeriod))), func() { f.runPeriod(n) })
		if s.watch && n.planner.IsWatcher() || s.allWatch {
			f.schedule(0, func() { f.watch(n) })
		}
	}
	return f
}

// schedule runs do after d of simulated time.
func (f *fleet) schedule(d time.Duration, do func()) {
	f.seq++
	heap.Push(&f.queue, event{f.now.Add(d), f.seq, do})
}

// runUntil runs events up to end, or until done (unless nil) reports true.
func (f *fleet) runUntil(end time.Time, done func() bool) {
	for len(f.queue) > 0 && f.queue[0].at.Before(end) && (done == nil || !done()) {
		e := heap.Pop(&f.queue).(event)
		f.now = e.at
		e.do()
	}
}

// apply creates the next revision and wakes the pending watches.
func (f *fleet) apply() {
	var r world.Revision
	if n := len(f.history); n > 0 {
		r.Parent = f.history[n-1].Digest
	}
	r.Number = uint64(len(f.history) + 1)
	binary.BigEndian.PutUint64(r.Digest[:], r.Number)
	f.history = append(f.history, r)
	for _, id := range slices.Sorted(maps.Keys(f.blockedWatches)) {
		f.schedule(localDelay, f.blockedWatches[id])
	}
	f.blockedWatches = map[int]func(){}
}

// latestLineage returns the newest revision with its ancestors down to number oldest.
func (f *fleet) latestLineage(oldest uint64) revision.Lineage {
	return f.lineageOf(uint64(len(f.history)), oldest)
}

// lineageOf returns a revision with its ancestors down to number oldest.
func (f *fleet) lineageOf(number, oldest uint64) revision.Lineage {
	lineage := revision.Lineage{Revision: f.history[number-1]}
	for n := number - 1; n > 0 && n >= oldest; n-- {
		lineage.Ancestors = append(lineage.Ancestors, f.history[n-1].Digest)
	}
	return lineage
}

func (f *fleet) reachesKV(n *simNode) bool { return !f.kvDown && n.Region != f.noKV }

// watch reads the head on n, and again when it changes or after watchWait.
func (f *fleet) watch(n *simNode) {
	f.reads++
	if !f.reachesKV(n) {
		n.backoff = min(max(2*n.backoff, 500*time.Millisecond), maxBackoff)
		f.schedule(n.backoff/2+time.Duration(f.rng.Int64N(int64(n.backoff))), func() { f.watch(n) })
		return
	}
	n.backoff = 0
	f.propose(n, f.latestLineage(n.tracker.Current().Number), true)
	f.seq++
	id, woken := f.seq, false
	wake := func() {
		if !woken {
			woken = true
			delete(f.blockedWatches, id)
			f.watch(n)
		}
	}
	f.blockedWatches[id] = wake
	f.peakBlockedWatches = max(f.peakBlockedWatches, len(f.blockedWatches))
	f.schedule(watchWait, wake)
}

// propose offers a revision to n, which pushes it to peers if it accepts it. confirms is set for reads of the head.
func (f *fleet) propose(n *simNode, lineage revision.Lineage, confirms bool) {
	if confirms {
		n.confirmedAt = f.now
	}
	if n.tracker.Propose(lineage) != revision.Accept || !f.strategy.push {
		return
	}
	for _, p := range n.planner.PushPeers(f.now, f.rng) {
		f.exchange(n, p, true)
	}
}

// runPeriod runs the periodic work of n and schedules the next period.
func (f *fleet) runPeriod(n *simNode) {
	f.schedule(DefaultPeriod, func() { f.runPeriod(n) })
	if f.strategy.antiEntropy {
		if p, ok := n.planner.NextPartner(f.now, f.rng); ok {
			f.exchange(n, p, false)
		}
		if n.planner.ShouldReadHead(f.now.Sub(n.confirmedAt), true, f.rng) {
			f.reads++
			if f.reachesKV(n) {
				f.propose(n, f.latestLineage(n.tracker.Current().Number), true)
			}
		}
	}
	if f.strategy.requestStamps && n.Role == RoleSidecar {
		f.exchangeRequestStamps(n)
	}
}

// exchangeRequestStamps simulates one period of requests to a sidecar, which carry stamps of entries in its region. One
// sidecar in twenty gets no requests.
func (f *fleet) exchangeRequestStamps(n *simNode) {
	const perSecond = 5 // 18,000 requests per second over 3,200 sidecars
	if rendezvousWeight("idle", n.Name)%20 == 0 {
		return
	}
	for range perSecond {
		e := f.nodes[f.rng.IntN(fleetEntries)]
		if e.Region == n.Region && e.tracker.Current() != n.tracker.Current() {
			f.exchange(e, n.Peer, false)
		}
	}
}

// exchange simulates an exchange between two processes; with push, the first message carries the new revision.
func (f *fleet) exchange(from *simNode, p Peer, push bool) {
	f.exchanges++
	to := f.byAddr[p.Address]
	delay := localDelay
	if from.Region != to.Region {
		delay = remoteDelay
	}
	cut := from.Region != to.Region && (from.Region == f.isolated || to.Region == f.isolated)
	if cut || f.rng.Float64() < lossRate {
		f.schedule(timeout, func() { from.planner.RecordFailure(f.now, p.Address) })
		return
	}
	sent := from.tracker.Current().Number
	f.schedule(delay, func() {
		held := to.tracker.Current().Number
		f.mergeConfirmations(from, to)
		if push && sent > held {
			f.transfer(to, sent)
		}
		now := to.tracker.Current().Number
		f.schedule(delay, func() {
			from.planner.RecordSuccess(p.Address)
			switch own := from.tracker.Current().Number; {
			case now > own:
				f.transfer(from, now)
			case now < own:
				f.schedule(delay, func() { f.transfer(to, own) })
			}
		})
	})
}

// mergeConfirmations gives both processes the later confirmation time if they have the same revision.
func (f *fleet) mergeConfirmations(a, b *simNode) {
	if a.tracker.Current() != b.tracker.Current() {
		return
	}
	latest := a.confirmedAt
	if b.confirmedAt.After(latest) {
		latest = b.confirmedAt
	}
	a.confirmedAt, b.confirmedAt = latest, latest
}

// transfer delivers a revision to a process.
func (f *fleet) transfer(to *simNode, number uint64) {
	f.transfers++
	f.propose(to, f.lineageOf(number, to.tracker.Current().Number), false)
}

// measureConvergence applies a change and returns the times until 50 %, 99 % and 100 % of the processes outside region
// except had it. A zero time means not within limit.
func (f *fleet) measureConvergence(limit time.Duration, except string) (p50, p99, all time.Duration) {
	f.apply()
	start, number := f.now, uint64(len(f.history))
	countUpdated := func() (n, total int) {
		for _, node := range f.nodes {
			if node.Region == except {
				continue
			}
			total++
			if node.tracker.Current().Number == number {
				n++
			}
		}
		return n, total
	}
	const step = 5 * time.Millisecond
	for elapsed := step; elapsed <= limit; elapsed += step {
		f.runUntil(start.Add(elapsed), nil)
		f.now = start.Add(elapsed)
		n, total := countUpdated()
		if p50 == 0 && n*2 >= total {
			p50 = elapsed
		}
		if p99 == 0 && n*100 >= total*99 {
			p99 = elapsed
		}
		if n == total {
			return p50, p99, elapsed
		}
	}
	return p50, p99, 0
}

// TestFleetConvergence guards against slow propagation of a revision to a large fleet, also after outages of the
// key-value service and partitions of a region.
func TestFleetConvergence(t *testing.T) {
	const limit = 60 * time.Second
	for _, tc := range []struct {
		name         string
		strategy     strategy
		setup        func(f *fleet)
		beforeChange func(f *fleet) // runs just before the change
		except       string
		bound        time.Duration
	}{
		{name: "chosen", strategy: defaultStrategy, bound: convergenceLimit},
		{name: "chosen, service down for 10 min until the change", strategy: defaultStrategy, bound: convergenceLimit,
			setup:        func(f *fleet) { f.kvDown = true; f.runUntil(f.now.Add(10*time.Minute), nil) },
			beforeChange: func(f *fleet) { f.kvDown = false }},
		{name: "chosen, one region can't reach the service", strategy: defaultStrategy, bound: convergenceLimit,
			setup: func(f *fleet) { f.noKV = "region-3"; f.runUntil(f.now.Add(time.Minute), nil) }},
		{name: "chosen, one region partitioned from the others", strategy: defaultStrategy, bound: convergenceLimit,
			setup: func(f *fleet) { f.isolated = "region-3"; f.runUntil(f.now.Add(time.Minute), nil) }},
		{name: "chosen, one region partitioned and without the service: the others", strategy: defaultStrategy, bound: convergenceLimit, except: "region-3",
			setup: func(f *fleet) { f.isolated, f.noKV = "region-3", "region-3"; f.runUntil(f.now.Add(time.Minute), nil) }},
		{name: "chosen, that region returns with the change", strategy: defaultStrategy, bound: convergenceLimit,
			setup: func(f *fleet) {
				f.isolated, f.noKV = "region-3", "region-3"
				f.runUntil(f.now.Add(time.Minute), nil)
				f.measureConvergence(limit, "region-3")
			},
			beforeChange: func(f *fleet) { f.isolated, f.noKV = "", "" }},
		{name: "all watch", strategy: strategy{allWatch: true}},
		{name: "few watchers, anti-entropy only", strategy: strategy{watch: true, antiEntropy: true}},
		{name: "few watchers, push only", strategy: strategy{watch: true, push: true}},
		{name: "few watchers, stamps on requests only", strategy: strategy{watch: true, requestStamps: true}},
	} {
		if tc.bound == 0 && !*full {
			continue // alternative strategy
		}
		t.Run(tc.name, func(t *testing.T) {
			f := newFleet(tc.strategy, 20261203)
			f.runUntil(f.now.Add(10*time.Second), nil)
			if tc.setup != nil {
				tc.setup(f)
			}
			from, reads, exchanges := f.now, f.reads, f.exchanges
			f.runUntil(f.now.Add(10*time.Second), nil)
			secs := f.now.Sub(from).Seconds()
			idleReads, idleExchanges := float64(f.reads-reads)/secs, float64(f.exchanges-exchanges)/secs/float64(len(f.nodes))
			if tc.beforeChange != nil {
				tc.beforeChange(f)
			}
			f.transfers = 0
			p50, p99, all := f.measureConvergence(limit, tc.except)
			t.Logf("p50 %v, p99 %v, all %v (0: not within %v); idle: %.1f reads/s, %d blocked watches, %.2f exchanges/s per process; %.2f transfers per process",
				p50, p99, all, limit, idleReads, f.peakBlockedWatches, idleExchanges, float64(f.transfers)/float64(len(f.nodes)))
			if tc.bound > 0 && (all == 0 || all > tc.bound) {
				t.Errorf("revision in force on all processes after %v, want at most %v", all, tc.bound)
			}
		})
	}
}
