package returns

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/egrethoist/egrethoist/internal/kvcache/index"
	"github.com/egrethoist/egrethoist/internal/kvcache/linkbudget"
	"github.com/egrethoist/egrethoist/internal/kvcache/placement"
	"github.com/egrethoist/egrethoist/internal/routing"
)

// Variant is a way to serve the trace.
type Variant string

// Variants.
const (
	Policy Variant = "policy" // the decision packages as the processes use them
	Naive  Variant = "naive"  // least loaded target, no kept cache
	Plain  Variant = "plain"  // kept cache that always fetches, exports at once and evicts by last use
	Oracle Variant = "oracle" // unlimited cache, free links, exact loads
)

// Case is what happens half-way through the trace.
type Case string

// Cases.
const (
	Base         Case = "base"
	StoreDies    Case = "store_dies"    // the first store, for ten minutes; it comes back empty
	SlowLink     Case = "slow_link"     // both links fall to a tenth for a quarter of an hour
	DomainLeaves Case = "domain_leaves" // with targets and a store, for a quarter of an hour; it comes back empty
)

// Times of the cases.
const (
	storeAway    = 10 * time.Minute
	linkSlow     = 15 * time.Minute
	domainAway   = 15 * time.Minute
	leaveNotice  = 60 * time.Second // from the order to leave until the instances are gone
	configSpread = 2 * time.Second  // until every entry has the order
	outGrace     = 5 * time.Second  // after which new work is a violation
)

// Periods of the sidecars.
const (
	reportPeriod  = time.Second
	eventPeriod   = 250 * time.Millisecond
	summaryPeriod = 10 * time.Second
	exportRun     = 8 // blocks of one go
)

// Deadline is the time to the first token that a return should keep.
const Deadline = 1200 * time.Millisecond

// run is one variant serving one trace.
type run struct {
	clock
	trace   *Trace
	c       *Customer
	variant Variant
	happens Case
	rng     *rand.Rand
	targets []*target
	stores  []*storeSim
	group   *placement.Group // of stores
	homes   *placement.Group // of targets
	entries []*entry
	tally   tally
}

// entry is one entry instance.
type entry struct {
	view   *placement.View
	router *routing.Router
	snap   *routing.Snapshot
	rng    *rand.Rand
}

// Run serves a trace.
func Run(t *Trace, v Variant, happens Case) Result {
	r := newRun(t, v, happens)
	for i := range t.requests {
		q := &t.requests[i]
		r.after(q.at, func() { r.arrive(q) })
	}
	r.after(0, r.tick)
	if r.keeps() {
		r.after(0, r.hear)
		r.after(0, r.summarise)
	}
	r.plan()
	r.clock.run(t.horizon + time.Hour) // what runs at the end may finish
	return r.result()
}

func newRun(t *Trace, v Variant, happens Case) *run {
	c := t.customer
	// The order of placement.Group, so that positions mean the same.
	c.Stores = slices.SortedFunc(slices.Values(c.Stores), func(a, b Store) int { return cmp.Compare(a.Name, b.Name) })
	r := &run{trace: t, c: &c, variant: v, happens: happens, rng: rand.New(rand.NewPCG(11, 13))}
	var stores, targets []placement.Member
	for _, s := range c.Stores {
		sim := newStoreSim(s, v == Plain, s.DiskBytes)
		sim.link = newLink(&r.clock, s.LinkPerSec, t.warmup, v == Policy)
		r.stores = append(r.stores, sim)
		stores = append(stores, placement.Member{Name: s.Name, FailureDomain: s.Domain, Weight: float64(s.DiskBytes)})
	}
	for i := range c.Targets {
		r.targets = append(r.targets, r.newTarget(i))
		targets = append(targets, placement.Member{Name: r.targets[i].name, FailureDomain: r.targets[i].domain})
	}
	r.group, r.homes = placement.NewGroup(stores), placement.NewGroup(targets)
	for i := range c.Entries {
		r.entries = append(r.entries, r.newEntry(uint64(i)))
	}
	return r
}

func (r *run) newTarget(i int) *target {
	t := &target{number: i, name: fmt.Sprintf("%s-%02d", r.c.Service, i), domain: r.c.Domains[i%len(r.c.Domains)]}
	t.cpu.clock = &r.clock
	t.index = index.New(index.Options{})
	t.restart(r.c)
	t.seen = make([]int, len(r.c.Stores))
	for _, s := range r.c.Stores {
		t.links = append(t.links, linkbudget.New(linkbudget.Options{
			BytesPerSec: s.LinkPerSec, Delay: r.c.OneWay, Users: r.c.Targets,
		}, r.wall()))
	}
	return t
}

func (r *run) newEntry(seed uint64) *entry {
	e := &entry{rng: rand.New(rand.NewPCG(seed, 17))}
	e.view = placement.NewView(r.homes, r.group, placement.NewRecentTargets(1<<16, r.wall()))
	samples := 0 // the default
	if r.variant == Naive {
		samples = len(r.targets)
	}
	e.router = routing.New(routing.Options{Samples: samples})
	var candidates []routing.Candidate
	for _, t := range r.targets {
		candidates = append(candidates, routing.Candidate{
			Target: t.name, FailureDomain: t.domain, Phase: routing.PhaseWarm, LinkAlive: true,
			Versions: []string{version}, OneWayDelay: r.c.OneWay,
		})
	}
	e.snap = routing.NewSnapshot(r.c.Service, 1, candidates, nil)
	return e
}

// plan schedules what the case brings.
func (r *run) plan() {
	half := r.trace.warmup + (r.trace.horizon-r.trace.warmup)/2
	switch r.happens {
	case StoreDies:
		r.after(half, func() { r.storeDown(r.stores[0]) })
		r.after(half+storeAway, func() { r.storeUp(r.stores[0]) })
	case SlowLink:
		r.after(half, func() { r.scaleLinks(0.1) })
		r.after(half+linkSlow, func() { r.scaleLinks(10) })
	case DomainLeaves:
		domain := r.c.Stores[0].Domain
		r.after(half, func() { r.order(domain, true) })
		r.after(half+leaveNotice, func() { r.leave(domain) })
		r.after(half+domainAway, func() { r.comeBack(domain) })
	}
}

func (r *run) storeDown(s *storeSim) {
	s.down = true
	s.lose(r.variant == Plain, s.declared.DiskBytes)
}

func (r *run) storeUp(s *storeSim) { s.down = false }

func (r *run) scaleLinks(by float64) {
	for _, s := range r.stores {
		s.link.scale(by)
	}
}

// order takes a failure domain out or back in; entries follow one after the other.
func (r *run) order(domain string, out bool) {
	for _, t := range r.targets {
		if t.domain != domain {
			continue
		}
		t.out, t.outSince = out, r.now
		if out {
			t.queue.StartLeaving()
		}
	}
	for _, e := range r.entries {
		r.after(time.Duration(r.rng.Int64N(int64(configSpread))), func() {
			for _, t := range r.targets {
				if t.domain == domain {
					e.snap = e.snap.WithCandidate(t.name, func(c *routing.Candidate) { c.Disabled = out })
				}
			}
		})
	}
}

// leave removes the instances of a failure domain.
func (r *run) leave(domain string) {
	for _, t := range r.targets {
		if t.domain == domain {
			r.tally.cut += len(t.cpu.jobs) + t.fetches
			t.gone = true
			t.restart(r.c)
		}
	}
	for _, s := range r.stores {
		if s.declared.Domain == domain {
			r.storeDown(s)
		}
	}
}

func (r *run) comeBack(domain string) {
	for _, t := range r.targets {
		if t.domain == domain {
			t.gone = false
		}
	}
	for _, s := range r.stores {
		if s.declared.Domain == domain {
			r.storeUp(s)
		}
	}
	r.order(domain, false)
}

// tick brings reports and cache events, and starts exports.
func (r *run) tick() {
	for _, t := range r.targets {
		for _, e := range r.entries {
			r.report(t, e)
		}
		if r.variant == Policy {
			r.export(t)
		}
	}
	if r.now < r.trace.horizon {
		r.after(reportPeriod, r.tick)
	}
}

// hear brings the targets' cache events to their sidecars.
func (r *run) hear() {
	for _, t := range r.targets {
		t.hear(r.wall(), r.rng)
	}
	if r.now < r.trace.horizon {
		r.after(eventPeriod, r.hear)
	}
}

// keeps reports whether the variant has a kept cache.
func (r *run) keeps() bool { return r.variant == Policy || r.variant == Plain }

// concurrent is the number of prefills that a target runs well at once.
const concurrent = 16

func (r *run) report(t *target, e *entry) {
	stats := e.snap.Candidate(t.name).Stats
	running := len(t.cpu.jobs)
	stats.Report(routing.Load{
		Incarnation: 1, Sequence: uint64(r.now/reportPeriod) + 1, Limit: concurrent,
		InFlight: running + t.fetches, ReceivedAt: r.wall(),
	})
	// Prefills that run at once share the target's speed.
	stats.SetPrefillRate(r.c.PrefillRate / float64(running+1))
}

// summarise sends the targets' exceptions to the entries.
func (r *run) summarise() {
	changes := map[string][]placement.SummaryEntry{}
	for _, t := range r.targets {
		encoded := placement.EncodeSummary(placement.NonOwnedPrompts(r.homes, t.name, r.heldPrompts(t)))
		held, err := placement.DecodeSummary(encoded)
		if err != nil {
			r.tally.violate("summary: " + err.Error())
		}
		changes[t.name] = held
		r.tally.summaryBytes += int64(len(encoded))
	}
	for _, e := range r.entries {
		e.view = e.view.WithSummaries(changes)
	}
	if r.now < r.trace.horizon {
		r.after(summaryPeriod, r.summarise)
	}
}

// heldPrompts returns what a target holds of the prompts that its sidecar remembers, and forgets the others.
func (r *run) heldPrompts(t *target) []placement.CachedPrompt {
	var held []placement.CachedPrompt
	for number, g := range t.given {
		if g.gone {
			continue
		}
		chain := r.trace.prompts[number].chain[:g.blocks]
		head, ok := placement.Head(chain)
		if !ok {
			continue
		}
		n := t.heldOf(chain)
		t.queue.Truncate(head, n)
		g.gone = n == 0 && r.wall().Sub(g.last) > summaryPeriod
		if n >= placement.HeadBlocks {
			held = append(held, placement.CachedPrompt{Head: head, Blocks: n})
		}
	}
	return held
}
