package returns

import (
	"time"

	"github.com/egrethoist/egrethoist/internal/kvcache/block"
	"github.com/egrethoist/egrethoist/internal/kvcache/placement"
	"github.com/egrethoist/egrethoist/internal/routing"
)

// arrive places a request at an entry.
func (r *run) arrive(q *request) {
	if q.measure {
		r.tally.offered++
	}
	if r.variant == Oracle {
		r.serve(q, r.leastLoaded(), nil)
		return
	}
	r.place(q, nil)
}

// place picks a target as an entry does.
func (r *run) place(q *request, tried []string) {
	e := r.entries[q.entry]
	chain := r.chain(q)
	req := &routing.Request{Version: version, PromptTokens: q.tokens, Tried: tried}
	var lookup placement.Lookup
	if r.variant != Naive {
		lookup = e.view.Lookup(chain, func(name string) bool { return !e.snap.Candidate(name).Disabled })
		if lookup.HasHead {
			req.Prefix = placement.NewPrefix(lookup, placement.PrefixOptions{
				BlockTokens: r.c.BlockTokens, BlockTime: r.declaredTransfer(), RoundTrip: 2 * r.c.OneWay,
			})
		}
	}
	choice, err := e.router.Pick(req, e.snap, e.rng, r.wall())
	if err != nil {
		r.tally.refuse(q)
		return
	}
	best := choice.Best().Candidate
	e.view.RecordSent(&lookup, best.Target, r.wall())
	best.Stats.Start()
	t := r.target(best.Target)
	start := r.now
	r.after(r.c.OneWay, func() {
		if t.gone {
			best.Stats.Finish(0)
			r.place(q, append(tried, best.Target)) // the connection failed: not run
			return
		}
		r.serve(q, t, func() { best.Stats.Finish(r.now - start) })
	})
}

// declaredTransfer is the time that an entry expects one block to take.
func (r *run) declaredTransfer() time.Duration {
	return time.Duration(float64(r.c.BlockBytes) / r.c.Stores[0].LinkPerSec * float64(time.Second))
}

func (r *run) target(name string) *target {
	for _, t := range r.targets {
		if t.name == name {
			return t
		}
	}
	panic("unknown target " + name)
}

func (r *run) leastLoaded() *target {
	var best *target
	for _, t := range r.targets {
		if !t.out && (best == nil || len(t.cpu.jobs) < len(best.cpu.jobs)) {
			best = t
		}
	}
	return best
}

func (r *run) chain(q *request) []block.ID {
	return r.trace.prompts[q.prompt].chain[:r.trace.blocks(q)]
}

// serve runs a request at a target: the sidecar fetches, then the engine computes.
func (r *run) serve(q *request, t *target, done func()) {
	if t.out && r.now-t.outSince > outGrace {
		r.tally.violate("new work for a target that is out")
	}
	f := &fetching{r: r, t: t, q: q, chain: r.chain(q), done: done}
	if !r.keeps() {
		f.compute()
		return
	}
	head, ok := placement.Head(f.chain)
	if !ok {
		f.compute()
		return
	}
	r.note(t, q)
	f.cached, _ = t.index.Prefix(f.chain)
	f.stores = r.group.RankReplicas(head, len(r.stores), nil)
	t.fetches++
	f.ask(0)
}

// note records at the sidecar that the target is given a prompt.
func (r *run) note(t *target, q *request) {
	g := t.given[q.prompt]
	if g == nil {
		g = &given{}
		t.given[q.prompt] = g
	} else {
		g.returns++
	}
	g.gone = false
	g.blocks, g.last = r.trace.blocks(q), r.wall()
	t.returns.Observe(r.workspace(q.prompt), g.returns)
}

func (r *run) workspace(prompt int) string {
	return r.c.Workspaces[r.trace.prompts[prompt].workspace].Name
}

// compute runs the prefill of what the engine lacks.
func (f *fetching) compute() {
	r, p := f.r, &f.r.trace.prompts[f.q.prompt]
	held := f.t.cache.prefix(p, len(f.chain))
	if r.variant == Oracle {
		held = f.q.known / r.c.BlockTokens
	}
	lacking := f.q.tokens - held*r.c.BlockTokens
	work := time.Duration(float64(lacking) / r.c.PrefillRate * float64(time.Second))
	f.t.cpu.add(work, func() { f.finish(held) })
}

// finish takes the first token and stores the prompt's blocks.
func (f *fetching) finish(held int) {
	r := f.r
	f.t.cache.add(&r.trace.prompts[f.q.prompt], 0, len(f.chain), f.t.tell)
	ttft := r.now - f.q.at + r.c.OneWay
	if r.variant == Oracle {
		ttft += r.c.OneWay // its requests were placed without the way there
	}
	r.tally.finish(f.q, ttft, max(f.q.known-held*r.c.BlockTokens, 0), f.behind)
	if f.done != nil {
		f.done()
	}
	switch r.variant {
	case Policy:
		r.after(reportPeriod, func() { r.offer(f.t, f.q.prompt) })
	case Plain:
		r.exportAll(f.t, f.q.prompt, f.chain, 0)
	}
}
