package returns

import (
	"time"

	"github.com/egrethoist/egrethoist/internal/kvcache/block"
	"github.com/egrethoist/egrethoist/internal/kvcache/linkbudget"
	"github.com/egrethoist/egrethoist/internal/kvcache/placement"
	"github.com/egrethoist/egrethoist/internal/kvcache/retention"
)

// offer hands what a target holds of a prompt to its export queue.
func (r *run) offer(t *target, number int) {
	g := t.given[number]
	if g == nil {
		return // the target restarted
	}
	chain := r.trace.prompts[number].chain[:g.blocks]
	head, ok := placement.Head(chain)
	if !ok {
		return
	}
	held, _ := t.index.Prefix(chain)
	t.queue.Truncate(head, held)
	if held == 0 {
		return
	}
	worth := retention.ValueInputs{
		RecomputeTime:    time.Duration(float64(r.c.BlockTokens) / r.c.PrefillRate * float64(time.Second)),
		ReuseProbability: t.returns.ReuseProbability(r.workspace(number), g.returns),
		Bytes:            r.c.BlockBytes,
	}
	var stores []string
	for _, at := range r.group.RankReplicas(head, len(r.stores), nil) {
		stores = append(stores, r.group.Members()[at].Name)
	}
	t.queue.Offer(retention.Prompt{
		Head: head, Chain: chain[:held], Workspace: r.workspace(number), Version: version,
		Reuses: g.returns, Stores: stores, Value: worth.Value(), LastUse: g.last,
	}, g.kept)
}

// exporting is one go of a target's export.
type exporting struct {
	r           *run
	t           *target
	job         retention.Job
	store       int
	start       int // blocks of the prompt before the job's
	n           int
	left        int64 // bytes of the block under way
	incarnation int
	restarts    int
}

// residency is how long an unused block stays in a target's cache.
func (r *run) residency(t *target) time.Duration {
	if len(t.cache.held) < t.cache.capacity*9/10 || t.sequence == 0 {
		return 0
	}
	perSec := float64(t.sequence) / 2 / (r.now.Seconds() + 1) // half of the events are evictions
	return time.Duration(float64(t.cache.capacity) / perSec * float64(time.Second))
}

// export starts the next go unless one is under way.
func (r *run) export(t *target) {
	if t.exporting || t.gone {
		return
	}
	job, ok := t.queue.Next(r.wall(), r.residency(t), exportRun)
	if !ok {
		return
	}
	x := &exporting{r: r, t: t, job: job, store: r.storeNamed(job.Store), restarts: t.restarts}
	for x.start < len(job.Prompt.Chain) && job.Prompt.Chain[x.start] != job.Blocks[0] {
		x.start++
	}
	t.exporting = true
	r.after(2*r.c.OneWay, x.begin)
}

func (r *run) storeNamed(name string) int {
	for i, s := range r.stores {
		if s.declared.Name == name {
			return i
		}
	}
	panic("unknown store " + name)
}

func (x *exporting) begin() {
	s := x.r.stores[x.store]
	if s.down {
		x.t.queue.MarkFailed(s.declared.Name, x.r.wall())
		x.end()
		return
	}
	x.incarnation = s.incarnation
	if x.t.seen[x.store] != s.incarnation {
		x.t.seen[x.store] = s.incarnation
		x.t.queue.MarkRestarted(s.declared.Name)
		x.end()
		return
	}
	if held := s.held(x.job.Prompt.Chain); held > x.start {
		x.t.queue.MarkExported(x.job.Prompt.Head, x.job.StoreIndex, held)
		x.end()
		return
	} else if held < x.start {
		x.t.queue.MarkDropped(x.job, held, x.r.wall())
		x.end()
		return
	}
	x.next()
}

// next sends the next block once the link's budget allows.
func (x *exporting) next() {
	r, s := x.r, x.r.stores[x.store]
	if x.t.restarts != x.restarts {
		return // the target is gone, and with it this export
	}
	if x.n == len(x.job.Blocks) {
		x.done()
		return
	}
	link := x.t.links[x.store]
	if wait := link.Take(r.wall(), x.job.Urgency.Class(), r.c.BlockBytes); wait > 0 {
		r.after(wait, x.next)
		return
	}
	if !x.t.index.Contains(x.job.Blocks[x.n]) {
		x.t.queue.Truncate(x.job.Prompt.Head, x.start+x.n)
		x.done()
		return
	}
	x.left = r.c.BlockBytes
	x.send(s)
}

// send sends what the link takes of the rest of a block. After a piece that met a queue it asks the store first.
func (x *exporting) send(s *storeSim) {
	r, asked := x.r, x.r.now
	link := x.t.links[x.store]
	if link.NeedsProbe(r.wall()) && x.job.Urgency.Class() == linkbudget.Background && !s.down {
		r.after(2*r.c.OneWay+s.link.queue(), func() {
			link.ObserveProbe(r.wall(), r.now-asked)
			x.resume(s)
		})
		return
	}
	s.link.export(x.left, func(sent *sending) {
		link.Observe(r.wall(), x.job.Urgency.Class(), sent.piece, r.now-sent.begun)
		x.left -= sent.bytes
		if x.left == 0 {
			r.after(r.c.OneWay, func() { x.arrived(s) })
			return
		}
		x.resume(s)
	})
}

// resume goes on with a block once the link's budget allows. The block has been taken from the budget.
func (x *exporting) resume(s *storeSim) {
	if x.t.restarts != x.restarts {
		return
	}
	if wait := x.t.links[x.store].Take(x.r.wall(), x.job.Urgency.Class(), 0); wait > 0 {
		x.r.after(wait, func() { x.resume(s) })
		return
	}
	x.send(s)
}

// arrived lets the store decide on a block.
func (x *exporting) arrived(s *storeSim) {
	r := x.r
	if s.down || s.incarnation != x.incarnation {
		x.t.queue.MarkFailed(s.declared.Name, r.wall())
		x.end()
		return
	}
	item := retention.Item{
		ID: x.job.Blocks[x.n], Parent: x.parent(), Workspace: x.job.Prompt.Workspace, Version: version,
		Bytes: r.c.BlockBytes, Value: x.job.Prompt.Value, Replica: x.job.Replica,
	}
	if !s.table.Offer(item, r.wall(), r.rng).Admitted {
		x.t.queue.MarkFull(x.job, r.wall())
		x.done()
		return
	}
	x.n++
	x.next()
}

func (x *exporting) parent() block.ID {
	if x.n > 0 {
		return x.job.Blocks[x.n-1]
	}
	return x.job.Parent
}

func (x *exporting) done() {
	if x.n > 0 {
		x.t.queue.MarkExported(x.job.Prompt.Head, x.job.StoreIndex, x.start+x.n)
	}
	x.end()
}

func (x *exporting) end() {
	if x.t.restarts != x.restarts {
		return
	}
	x.t.exporting = false
	x.r.export(x.t)
}

// exportAll is the plain cache's export: every block at once, one behind the other.
func (r *run) exportAll(t *target, number int, chain []block.ID, from int) {
	head, ok := placement.Head(chain)
	if !ok {
		return
	}
	s := r.stores[r.group.RankReplicas(head, 1, nil)[0]]
	for from < len(chain) && s.table.Contains(chain[from]) {
		from++
	}
	if from == len(chain) || s.down {
		return
	}
	incarnation := s.incarnation
	s.link.export(r.c.BlockBytes, func(*sending) {
		if s.down || s.incarnation != incarnation {
			return
		}
		item := retention.Item{ID: chain[from], Workspace: r.workspace(number), Version: version, Bytes: r.c.BlockBytes, Value: 1}
		if from > 0 {
			item.Parent = chain[from-1]
		}
		s.table.Offer(item, r.wall(), r.rng)
		r.exportAll(t, number, chain, from+1)
	})
}
