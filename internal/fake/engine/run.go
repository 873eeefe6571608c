package engine

import (
	"cmp"
	"slices"
	"time"
)

// run is one completion in the engine. Its fields are guarded by Engine.mu.
type run struct {
	exec     *Execution
	chain    []string // identities of the prompt's whole blocks
	prefill  int      // prompt tokens still to compute
	produced int      // output tokens ready, counted from the start of the text
	max      int
	wake     chan struct{} // a token is ready or the run has ended
	over     bool
}

func (r *run) notify() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// enqueue adds a run and makes sure that the engine steps.
func (e *Engine) enqueue(r *run) {
	e.waiting = append(e.waiting, r)
	slices.SortStableFunc(e.waiting, func(a, b *run) int { return cmp.Compare(a.exec.Priority, b.exec.Priority) })
	if !e.stepping {
		e.stepping = true
		e.work.Go(e.step)
	}
}

// finish ends a run once. The caller removes it from the queues.
func (e *Engine) finish(r *run, outcome Outcome) {
	if r.over {
		return
	}
	r.over = true
	r.exec.Outcome = outcome
	r.exec.End = time.Now()
	r.exec.OutputTokens = r.produced - r.exec.ResumeFrom
	e.inFlight--
	if outcome == OutcomeCompleted {
		e.completed++
		e.cold = e.cold && e.completed < e.opts.Cold.Requests
	}
	r.notify()
}

// cancel ends a run whose caller has gone or whose stream was cut.
func (e *Engine) cancel(r *run, outcome Outcome) {
	e.mu.Lock()
	defer e.mu.Unlock()
	same := func(x *run) bool { return x == r }
	e.waiting = slices.DeleteFunc(e.waiting, same)
	e.running = slices.DeleteFunc(e.running, same)
	e.finish(r, outcome)
}

// batch is the work of one step.
type batch struct {
	decode  []*run
	prefill []share
	time    time.Duration
}

type share struct {
	run    *run
	tokens int
}

// step runs batches until nothing is left to do.
func (e *Engine) step() {
	for {
		b, ok := e.plan()
		if !ok {
			return
		}
		time.Sleep(b.time)
		e.awaitThaw()
		e.apply(b)
	}
}

func (e *Engine) awaitThaw() {
	e.mu.Lock()
	thaw := e.thaw
	e.mu.Unlock()
	<-thaw
}

// plan admits waiting runs and chooses the next batch.
func (e *Engine) plan() (batch, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for len(e.waiting) > 0 && len(e.running) < e.opts.MaxBatch {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.start(r)
	}
	if len(e.running) == 0 {
		e.stepping = false
		return batch{}, false
	}
	var b batch
	var prefills []*run
	for _, r := range e.running {
		if r.prefill > 0 {
			prefills = append(prefills, r)
		} else {
			b.decode = append(b.decode, r)
		}
	}
	b.prefill = shares(prefills, e.opts.PrefillChunk)
	b.time = e.stepTime(b)
	return b, true
}

// start looks the prompt up in the prefix cache. The last prompt token is always computed.
func (e *Engine) start(r *run) {
	e.running = append(e.running, r)
	hit := e.cache.matched(r.chain)
	for _, d := range r.chain[:hit] {
		e.checkHit(d, r.exec)
	}
	prompt := r.exec.PromptTokens + r.exec.ResumeFrom
	r.exec.CachedTokens = min(hit*e.opts.BlockTokens, max(prompt-1, 0))
	r.prefill = max(prompt-r.exec.CachedTokens, 1)
}

// checkHit counts a cached block that a request must never meet.
func (e *Engine) checkHit(digest string, x *Execution) {
	entry, _ := e.cache.get(digest)
	if entry.salt != x.Salt || entry.version != x.Version {
		e.counts.ForeignUse++
	}
	if e.imported[digest] {
		e.counts.WrongBlock++
	}
}

// shares splits a step's prefill budget evenly among the runs of the most urgent priority, and what they leave
// among the next.
func shares(runs []*run, budget int) []share {
	slices.SortStableFunc(runs, func(a, b *run) int { return cmp.Compare(a.exec.Priority, b.exec.Priority) })
	var out []share
	for len(runs) > 0 && budget > 0 {
		n := 1
		for n < len(runs) && runs[n].exec.Priority == runs[0].exec.Priority {
			n++
		}
		for i, r := range runs[:n] {
			tokens := min(r.prefill, (budget+n-i-1)/(n-i))
			budget -= tokens
			if tokens > 0 {
				out = append(out, share{run: r, tokens: tokens})
			}
		}
		runs = runs[n:]
	}
	return out
}

func (e *Engine) stepTime(b batch) time.Duration {
	var prompt int
	for _, s := range b.prefill {
		prompt += s.tokens
	}
	seconds := float64(prompt) / e.opts.PrefillPerSec
	if n := len(b.decode); n > 0 {
		seconds += (e.opts.DecodeStep + time.Duration(n-1)*e.opts.DecodeStream).Seconds()
	}
	return time.Duration(seconds * e.slowdown() * float64(time.Second))
}

// slowdown returns the factor on the step time in force.
func (e *Engine) slowdown() float64 {
	f := max(e.faults.Slow, 1)
	if e.cold {
		f *= max(e.opts.Cold.Slowdown, 1)
	}
	return f
}

// apply enters the results of a batch, except for runs that ended meanwhile.
func (e *Engine) apply(b batch) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range b.prefill {
		e.applyPrefill(s)
	}
	for _, r := range b.decode {
		e.applyToken(r)
	}
	e.running = slices.DeleteFunc(e.running, func(r *run) bool { return r.over })
}

func (e *Engine) applyPrefill(s share) {
	r := s.run
	if r.over {
		return
	}
	r.prefill -= s.tokens
	r.exec.Computed += s.tokens
	if r.prefill > 0 {
		return
	}
	e.cache.store(r.chain, r.exec.Version, r.exec.Salt)
	e.applyToken(r) // a prefill yields the first token
}

func (e *Engine) applyToken(r *run) {
	if r.over {
		return
	}
	if r.produced < r.max {
		r.produced++
	}
	if r.produced >= r.max {
		e.finish(r, OutcomeCompleted)
		return
	}
	r.notify()
}
