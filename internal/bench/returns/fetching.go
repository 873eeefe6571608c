package returns

import (
	"time"

	"github.com/egrethoist/egrethoist/internal/kvcache/block"
	"github.com/egrethoist/egrethoist/internal/kvcache/fetch"
	"github.com/egrethoist/egrethoist/internal/kvcache/linkbudget"
)

// fetching is one request's fetch at a sidecar.
type fetching struct {
	r       *run
	t       *target
	q       *request
	chain   []block.ID
	cached  int    // leading blocks that the sidecar takes to be at the target
	have    []bool // blocks that have been fetched
	stores  []int  // positions in the run's stores, best first
	asking  bool   // a store has not answered yet
	readers []*reader
	taken   []bool        // blocks that a reader has claimed
	held    int           // leading blocks that the readers' stores hold
	behind  time.Duration // time of the links that exports took meanwhile
	ended   bool
	done    func()
}

// reader reads the blocks of a fetch from one store.
type reader struct {
	f           *fetching
	store       int
	held        int
	incarnation int
	run         []int // blocks claimed and not yet asked for
	at          int   // block under way, or -1
	begun       bool  // a run has been read
	sending     *sending
	last        time.Duration // when the last block arrived or the reader began
	ended       bool
}

// ask asks the next of the prompt's stores from the i-th on. The policy asks a second one, once the first has
// answered, if enough blocks are left.
func (f *fetching) ask(i int) {
	r := f.r
	for ; i < len(f.stores) && f.cached < len(f.chain); i++ {
		at := f.stores[i]
		if f.t.queue.IsDown(r.stores[at].declared.Name, r.wall()) || !f.worth(at) {
			continue
		}
		f.asking = true
		r.after(2*r.c.OneWay, func() { f.answered(at, i+1) })
		return
	}
	if len(f.reading()) == 0 {
		f.end()
	}
}

// worth reports whether a store should be asked.
func (f *fetching) worth(at int) bool {
	in := f.input(len(f.chain), at)
	switch {
	case f.r.variant == Plain:
		return len(f.readers) == 0
	case len(f.readers) == 0:
		return fetch.Decide(in).FetchBlocks > 0
	}
	return len(f.readers) == 1 && fetch.UseSecondStore(in)
}

// answered takes a store's answer and begins to read from it.
func (f *fetching) answered(at, next int) {
	r, s := f.r, f.r.stores[at]
	f.asking = false
	if f.ended {
		return
	}
	if s.down {
		f.t.queue.MarkFailed(s.declared.Name, r.wall())
		f.ask(next)
		return
	}
	held := s.held(f.chain)
	for _, id := range f.chain[:held] {
		s.table.Touch(id, r.wall())
	}
	if g := f.t.given[f.q.prompt]; at == f.stores[0] && g != nil {
		g.kept = held
	}
	if held <= f.cached {
		f.ask(next)
		return
	}
	if len(f.readers) == 0 {
		f.taken = make([]bool, len(f.chain))
		f.have = make([]bool, len(f.chain))
	}
	f.held = max(f.held, held)
	rd := &reader{f: f, store: at, held: held, incarnation: s.incarnation, last: r.now}
	f.readers = append(f.readers, rd)
	f.ask(next)
	rd.next()
}

// input is what the decision needs now, if stores are read from together.
func (f *fetching) input(held int, stores ...int) fetch.Input {
	r := f.r
	rate := 0.0
	for _, at := range stores {
		rate += 1 / f.t.links[at].Estimate(r.wall(), r.c.BlockBytes).Seconds()
	}
	return fetch.Input{
		Blocks: len(f.chain), CachedBlocks: f.cached, StoredBlocks: held,
		TailTokens:  f.q.tokens - len(f.chain)*r.c.BlockTokens,
		BlockTokens: r.c.BlockTokens,
		PrefillRate: r.c.PrefillRate / float64(len(f.t.cpu.jobs)+1),
		BlockTime:   time.Duration(float64(time.Second) / rate),
	}
}

// reading returns the stores of the readers that have not ended.
func (f *fetching) reading() []int {
	var stores []int
	for _, rd := range f.readers {
		if !rd.ended {
			stores = append(stores, rd.store)
		}
	}
	return stores
}

// claim takes the next run of blocks that no reader has and the store holds.
func (rd *reader) claim() {
	f := rd.f
	var free []int
	for at := f.cached; at < rd.held; at++ {
		if !f.taken[at] {
			free = append(free, at)
		}
	}
	if f.asking || len(f.reading()) > 1 {
		free = free[:min(fetch.RunLength(rd.held-f.cached), len(free))]
	}
	for _, at := range free {
		f.taken[at] = true
	}
	rd.run = free
}

// next fetches the next block if it is still worth it.
func (rd *reader) next() {
	f, r := rd.f, rd.f.r
	rd.at = -1
	if f.ended || rd.ended {
		return
	}
	in := f.input(f.held, f.reading()...)
	if r.variant == Policy && fetch.Decide(in).FetchBlocks == 0 {
		r.tally.givenUp++
		f.end()
		return
	}
	if len(rd.run) > 0 {
		rd.send(in)
		return
	}
	rd.claim()
	switch {
	case len(rd.run) == 0: // what is left is under way
	case rd.begun: // another call to the store
		rd.at = rd.run[0]
		r.after(2*r.c.OneWay, func() {
			if !f.ended && !rd.ended {
				rd.send(in)
			}
		})
	default:
		rd.begun = true
		rd.send(in)
	}
}

// send has the store send the next block of the run.
func (rd *reader) send(in fetch.Input) {
	f, r := rd.f, rd.f.r
	at := rd.run[0]
	rd.at, rd.run = at, rd.run[1:]
	rd.sending = r.stores[rd.store].link.fetch(r.c.BlockBytes, func(behind time.Duration) {
		f.behind += behind
		r.after(r.c.OneWay+r.c.DiskDelay, func() { rd.arrived(at) })
		rd.next()
	})
	if r.variant == Policy {
		patience := fetch.BlockTimeout(in, f.held-f.cached)
		if len(f.reading()) > 1 {
			patience = min(patience, fetch.SwitchTimeout(in))
		}
		rd.watch(at, patience)
	}
}

// watch gives the reader up when its block does not arrive for too long.
func (rd *reader) watch(at int, patience time.Duration) {
	f, r := rd.f, rd.f.r
	since := max(rd.last, r.now)
	r.after(patience, func() {
		if f.ended || rd.ended || f.have[at] {
			return
		}
		f.t.links[rd.store].ObserveStalled(r.wall(), r.c.BlockBytes, r.now-since)
		r.tally.givenUp++
		rd.end(at)
	})
}

// arrived takes a block into the target's cache.
func (rd *reader) arrived(at int) {
	f, r, s := rd.f, rd.f.r, rd.f.r.stores[rd.store]
	if f.ended || rd.ended {
		return
	}
	if s.down || s.incarnation != rd.incarnation || !s.table.Contains(f.chain[at]) {
		// The guards of the transfer drop the block; another store gives it, or it is computed.
		r.tally.dropped++
		if s.down {
			f.t.queue.MarkFailed(s.declared.Name, r.wall())
		}
		rd.end(at)
		return
	}
	f.t.links[rd.store].Observe(r.wall(), linkbudget.Deadline, r.c.BlockBytes, r.now-rd.last)
	rd.last = r.now
	f.t.cache.add(&r.trace.prompts[f.q.prompt], at, at+1, f.t.tell)
	f.have[at] = true
	for f.cached < f.held && f.have[f.cached] {
		f.cached++
	}
	if f.cached >= f.held {
		f.end()
	}
}

// end gives the reader's blocks to the other, and ends the fetch if that can't give the next one.
func (rd *reader) end(lost int) {
	f := rd.f
	rd.ended = true
	rd.cancel()
	back := append(rd.run, lost)
	if rd.at >= 0 {
		back = append(back, rd.at)
	}
	for _, at := range back {
		f.taken[at] = f.have[at]
	}
	f.held = 0
	for _, other := range f.readers {
		if !other.ended {
			f.held = max(f.held, other.held)
		}
	}
	if f.cached >= f.held && !f.asking {
		f.end()
		return
	}
	for _, other := range f.readers {
		if !other.ended && other.at < 0 {
			other.next()
		}
	}
}

func (rd *reader) cancel() {
	if rd.sending != nil {
		rd.f.r.stores[rd.store].link.cancel(rd.sending)
	}
}

func (f *fetching) end() {
	if f.ended {
		return
	}
	f.ended = true
	for _, rd := range f.readers {
		rd.cancel()
	}
	f.t.fetches--
	f.compute()
}
