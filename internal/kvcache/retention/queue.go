package retention

import (
	"cmp"
	"slices"
	"time"

	"github.com/egrethoist/egrethoist/internal/kvcache/block"
	"github.com/egrethoist/egrethoist/internal/kvcache/linkbudget"
)

// Urgency is the priority of an export.
type Urgency int

// Urgencies of exports, least urgent first.
const (
	WhenIdle       Urgency = iota // export only over an otherwise idle link
	BeforeEviction                // the target is about to evict the blocks
	BeforeLeaving                 // the target is leaving
)

// Class returns the priority class of an export on the link.
func (u Urgency) Class() linkbudget.Class {
	if u == WhenIdle {
		return linkbudget.Background
	}
	return linkbudget.Urgent
}

// Prompt is a prompt in a target's cache that may be exported.
type Prompt struct {
	Head      block.ID
	Chain     []block.ID
	Workspace string
	Salt      string
	Version   string
	Reuses    int      // number of requests that reused the prompt
	Stores    []string // stores that should hold its copies, best first
	Value     float64  // of one block, see ValueInputs.Value
	LastUse   time.Time
}

// QueueOptions configure a Queue. Zero fields select the defaults.
type QueueOptions struct {
	MaxPrompts       int
	EvictionLead     time.Duration // an export becomes urgent this long before the expected eviction
	ReplicaMinReuses int           // number of reuses from which a prompt gets a second copy
	RefusalBackoff   time.Duration // how long after a refusal a store is offered only more valuable prompts
	FailureBackoff   time.Duration // how long a store is not used after a failure
}

// Defaults of QueueOptions.
const (
	DefaultMaxPrompts       = 1024
	DefaultEvictionLead     = 20 * time.Second
	DefaultReplicaMinReuses = 1
	DefaultRefusalBackoff   = 30 * time.Second
	DefaultFailureBackoff   = 5 * time.Second
)

// Job is one export to run now: consecutive blocks of one prompt to one store.
type Job struct {
	Prompt     Prompt
	Store      string
	Blocks     []block.ID
	Parent     block.ID // block before the first of Blocks, or the zero ID if there is none
	Urgency    Urgency
	StoreIndex int  // index of Store in Prompt.Stores
	Replica    bool // another store already holds a first copy
}

// queuedPrompt is a prompt with the state of its copies.
type queuedPrompt struct {
	prompt         Prompt
	exportedBlocks []int // number of leading blocks exported, by index in Prompt.Stores
}

// storeState is what recent exports have shown about a store.
type storeState struct {
	refusals  [2]refusal // of first copies and of replicas
	downUntil time.Time
}

// refusal is the recent rejection of prompts by a full store.
type refusal struct {
	maxValue float64 // highest value of a rejected prompt
	until    time.Time
}

// Queue holds the prompts that a sidecar may export, and selects the next export. It is not safe for concurrent
// use.
type Queue struct {
	opts    QueueOptions
	prompts map[block.ID]*queuedPrompt // all prompts, by head
	active  map[block.ID]*queuedPrompt // prompts with blocks left to export, by head
	stores  map[string]*storeState
	leaving bool
}

// NewQueue returns an empty queue.
func NewQueue(opts QueueOptions) *Queue {
	if opts.MaxPrompts == 0 {
		opts.MaxPrompts = DefaultMaxPrompts
	}
	if opts.EvictionLead == 0 {
		opts.EvictionLead = DefaultEvictionLead
	}
	if opts.ReplicaMinReuses == 0 {
		opts.ReplicaMinReuses = DefaultReplicaMinReuses
	}
	if opts.RefusalBackoff == 0 {
		opts.RefusalBackoff = DefaultRefusalBackoff
	}
	if opts.FailureBackoff == 0 {
		opts.FailureBackoff = DefaultFailureBackoff
	}
	return &Queue{opts: opts, prompts: map[block.ID]*queuedPrompt{}, active: map[block.ID]*queuedPrompt{}, stores: map[string]*storeState{}}
}

// Len returns the number of prompts in the queue, including those that are fully exported.
func (q *Queue) Len() int { return len(q.prompts) }

// Offer adds a prompt or updates it. exported is the number of leading blocks that its first store is known to hold. If
// the queue exceeds MaxPrompts, the least valuable prompt is dropped. A prompt without blocks or stores is ignored.
func (q *Queue) Offer(p Prompt, exported int) {
	if len(p.Chain) == 0 || len(p.Stores) == 0 {
		return
	}
	old := q.prompts[p.Head]
	n := &queuedPrompt{prompt: p, exportedBlocks: make([]int, len(p.Stores))}
	n.exportedBlocks[0] = exported
	if old != nil && slices.Equal(old.prompt.Stores, p.Stores) {
		common := block.CommonPrefix(old.prompt.Chain, p.Chain)
		for i, d := range old.exportedBlocks {
			n.exportedBlocks[i] = max(n.exportedBlocks[i], min(d, common))
		}
	}
	q.prompts[p.Head] = n
	q.updateActive(n)
	if len(q.prompts) > q.opts.MaxPrompts {
		q.dropLeastValuable()
	}
}

// dropLeastValuable removes the least valuable prompt.
func (q *Queue) dropLeastValuable() {
	var worst *queuedPrompt
	for _, p := range q.prompts {
		if worst == nil || lessValuable(p, worst) {
			worst = p
		}
	}
	q.drop(worst.prompt.Head)
}

func (q *Queue) drop(head block.ID) {
	delete(q.prompts, head)
	delete(q.active, head)
}

// updateActive adds a prompt to the active ones if one of its wanted copies is incomplete, and removes it otherwise.
func (q *Queue) updateActive(p *queuedPrompt) {
	for c := range min(q.wantedCopies(p), len(p.exportedBlocks)) {
		if p.exportedBlocks[c] < len(p.prompt.Chain) {
			q.active[p.prompt.Head] = p
			return
		}
	}
	delete(q.active, p.prompt.Head)
}

// wantedCopies returns the number of copies that a prompt should have.
func (q *Queue) wantedCopies(p *queuedPrompt) int {
	if !q.leaving && p.prompt.Reuses >= q.opts.ReplicaMinReuses {
		return 2
	}
	return 1
}

// lessValuable orders by value, then by a hash of the head, so that the order is deterministic.
func lessValuable(a, b *queuedPrompt) bool {
	return cmp.Or(cmp.Compare(a.prompt.Value, b.prompt.Value),
		cmp.Compare(a.prompt.Head.Hash(), b.prompt.Head.Hash())) < 0
}

// Truncate removes the blocks of a prompt from index from on, which the target no longer holds. A prompt without blocks is
// dropped.
func (q *Queue) Truncate(head block.ID, from int) {
	p := q.prompts[head]
	if p == nil || from >= len(p.prompt.Chain) {
		return
	}
	p.prompt.Chain = p.prompt.Chain[:from]
	q.updateActive(p)
	if from == 0 {
		q.drop(head)
	}
}

// DropVersion removes the prompts of a weight version, whose blocks are useless once the weights were replaced.
func (q *Queue) DropVersion(version string) {
	for head, p := range q.prompts {
		if p.prompt.Version == version {
			q.drop(head)
		}
	}
}

// StartLeaving makes every export urgent because the target is leaving. Second copies are no longer exported.
func (q *Queue) StartLeaving() { q.leaving = true }

// MarkFull records that a job's store is full and refused the job's blocks.
func (q *Queue) MarkFull(job Job, now time.Time) {
	r := &q.storeState(job.Store).refusals[refusalIndex(job.Replica)]
	if now.After(r.until) {
		r.maxValue = 0
	}
	r.maxValue = max(r.maxValue, job.Prompt.Value)
	r.until = now.Add(q.opts.RefusalBackoff)
}

// refusalIndex returns the index into storeState.refusals.
func refusalIndex(replica bool) int {
	if replica {
		return 1
	}
	return 0
}

// MarkDropped records that a job's store, in the same incarnation, holds only the first held blocks of the job's prompt,
// fewer than were exported. The store evicted the others for more valuable blocks. Sending them again at once would
// only evict others in turn, so this counts as a refusal.
func (q *Queue) MarkDropped(job Job, held int, now time.Time) {
	if p := q.prompts[job.Prompt.Head]; p != nil && job.StoreIndex < len(p.exportedBlocks) {
		p.exportedBlocks[job.StoreIndex] = held
		q.updateActive(p)
	}
	q.MarkFull(job, now)
}

// MarkFailed records that a store did not respond.
func (q *Queue) MarkFailed(store string, now time.Time) {
	q.storeState(store).downUntil = now.Add(q.opts.FailureBackoff)
}

// IsDown reports whether a store failed within the last FailureBackoff.
func (q *Queue) IsDown(store string, now time.Time) bool {
	s := q.stores[store]
	return s != nil && now.Before(s.downUntil)
}

// storeState returns the state of a store, and creates it if needed.
func (q *Queue) storeState(name string) *storeState {
	s := q.stores[name]
	if s == nil {
		s = &storeState{}
		q.stores[name] = s
	}
	return s
}

// MarkRestarted records that a store restarted as a new incarnation and lost its contents. Prompts that are still in the
// target's cache are exported to it again.
func (q *Queue) MarkRestarted(store string) {
	for _, p := range q.prompts {
		for i, s := range p.prompt.Stores {
			if s == store {
				p.exportedBlocks[i] = 0
			}
		}
		q.updateActive(p)
	}
}

// MarkExported records that the store at storeIndex of a prompt's Stores holds the prompt's first blocks, exported of them.
func (q *Queue) MarkExported(head block.ID, storeIndex, exported int) {
	p := q.prompts[head]
	if p == nil || storeIndex >= len(p.exportedBlocks) {
		return
	}
	p.exportedBlocks[storeIndex] = max(p.exportedBlocks[storeIndex], exported)
	q.updateActive(p)
}

// Next returns the next export, of at most maxBlocks blocks: by urgency, then first copies before second ones, then by
// value. residency is how long an unused block stays in the target's cache; zero means unknown. Next returns false if
// there is nothing to export.
func (q *Queue) Next(now time.Time, residency time.Duration, maxBlocks int) (Job, bool) {
	var best *queuedPrompt
	var bestStore int
	var bestReplica bool
	var bestUrgency Urgency
	for _, p := range q.active {
		c, replica, ok := q.nextCopy(p, now)
		if !ok {
			continue
		}
		u := q.urgency(p, replica, now, residency)
		better := best == nil || u > bestUrgency
		if !better && u == bestUrgency {
			better = bestReplica && !replica || bestReplica == replica && lessValuable(best, p)
		}
		if better {
			best, bestStore, bestReplica, bestUrgency = p, c, replica, u
		}
	}
	if best == nil {
		return Job{}, false
	}
	return best.job(bestStore, bestReplica, bestUrgency, maxBlocks), true
}

// nextCopy returns the index of the first store that accepts a prompt and has no complete copy of it, and whether
// another store already holds one. Stores that are down or refuse the prompt are skipped in favour of the next.
func (q *Queue) nextCopy(p *queuedPrompt, now time.Time) (storeIndex int, replica, ok bool) {
	complete, wanted := 0, q.wantedCopies(p)
	for c, store := range p.prompt.Stores {
		if complete == wanted {
			break
		}
		if !q.accepts(store, p.prompt.Value, complete > 0, now) {
			continue
		}
		if p.exportedBlocks[c] < len(p.prompt.Chain) {
			return c, complete > 0, true
		}
		complete++
	}
	return 0, false, false
}

// accepts reports whether a store is up and has not recently refused blocks of this value, as far as is known.
func (q *Queue) accepts(store string, value float64, replica bool, now time.Time) bool {
	s := q.stores[store]
	if s == nil {
		return true
	}
	r := s.refusals[refusalIndex(replica)]
	return !now.Before(s.downUntil) && (!now.Before(r.until) || value > r.maxValue)
}

// urgency returns the urgency of exporting a prompt. Replicas are exported only when the link is idle, unless the target
// is leaving.
func (q *Queue) urgency(p *queuedPrompt, replica bool, now time.Time, residency time.Duration) Urgency {
	switch {
	case q.leaving:
		return BeforeLeaving
	case replica || residency == 0:
		return WhenIdle
	case p.prompt.LastUse.Add(residency - q.opts.EvictionLead).Before(now):
		return BeforeEviction
	}
	return WhenIdle
}

// job returns the export of up to maxBlocks blocks that the store at storeIndex lacks.
func (p *queuedPrompt) job(storeIndex int, replica bool, u Urgency, maxBlocks int) Job {
	from := p.exportedBlocks[storeIndex]
	to := min(len(p.prompt.Chain), from+maxBlocks)
	j := Job{Prompt: p.prompt, Store: p.prompt.Stores[storeIndex], Blocks: p.prompt.Chain[from:to], Urgency: u, StoreIndex: storeIndex, Replica: replica}
	if from > 0 {
		j.Parent = p.prompt.Chain[from-1]
	}
	return j
}
