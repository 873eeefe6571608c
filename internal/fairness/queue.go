// Package fairness implements the request queue that a sidecar keeps for its target. Workspaces share the target by weight, with
// start-time fair queueing over the predicted service time, which is corrected once the actual one is known. Quick checks have
// priority over long drafts, which keep a bounded share. The queue is bounded, and a request that cannot meet its deadline is refused
// on arrival.
package fairness

import (
	"cmp"
	"container/heap"
	"math"
	"time"

	"github.com/egrethoist/egrethoist/internal/world"
)

// numClasses is the number of priority classes.
const numClasses = int(world.PriorityDraft) + 1

// Options configures a Queue. Zero values select the defaults of the package.
type Options struct {
	MaxItems     int           // maximum number of waiting items
	DraftShare   float64       // share of service time that drafts get while quick checks wait
	QuickReserve float64       // share of the slots kept free of drafts while quick checks arrive
	QuickWindow  time.Duration // how long after the last quick check the reserve applies
	Burst        time.Duration // maximum service time that an idle workspace saves up
}

// Defaults of Options.
const (
	defaultMaxItems     = 256
	defaultDraftShare   = 0.3
	defaultQuickReserve = 0.2
	defaultQuickWindow  = 10 * time.Second
	defaultBurst        = 5 * time.Second
)

// Refusal is the reason why an item was not queued. RefusalNone means that it was queued.
type Refusal int

// Causes of refusal.
const (
	RefusalNone     Refusal = iota
	RefusalFull             // the queue is full, and the workspace already has its share of it
	RefusalDeadline         // the item cannot finish before its deadline
)

// Item is a waiting request. The queue owns it from Enqueue until Next, Expire or Clear returns it, Cancel removes it, or a Decision
// contains it as displaced.
type Item[T any] struct {
	Value     T
	Workspace string
	Weight    int // weight of the workspace; at least 1
	Class     world.Priority
	Cost      time.Duration // predicted service time in one slot
	Deadline  time.Time     // zero is none

	seq           uint64
	state         itemState
	deadlineIndex int // position in the deadline heap, if it has a deadline
	flow          *flow[T]
	chargedCost   time.Duration
}

type itemState int

const (
	stateDetached itemState = iota
	stateQueued
	stateRunning
)

// Decision is the result of Enqueue.
type Decision[T any] struct {
	Refusal       Refusal
	Displaced     *Item[T]      // item that was removed to make room; it did not run
	EstimatedWait time.Duration // of the enqueued or refused item
}

// Queue orders the work of one target. It is not safe for concurrent use.
type Queue[T any] struct {
	opts         Options
	slots        int
	seq          uint64
	virtualTime  float64 // highest start tag of the items handed out, in seconds per unit of weight
	flows        map[string]*flow[T]
	activeFlows  [numClasses]flowHeap[T]
	deadlines    deadlineHeap[T]
	numItems     int
	activeWeight int                       // sum over the workspaces with waiting items
	backlog      [numClasses]time.Duration // predicted service time of the waiting items
	running      [numClasses]int
	draftCredit  float64 // service time in seconds by which drafts are behind their share
	lastQuickAt  time.Time
	waitFactor   [numClasses]float64 // correction of estimated waits, raised by items that expire
}

// Factors by which an expired item raises the wait factor of its class and an item that runs lowers it, and its maximum. The minimum is 1.
const (
	waitFactorIncrease = 1.1
	waitFactorDecay    = 0.98
	maxWaitFactor      = 4.0
)

// adjustWaitFactor multiplies the wait factor of a class, within 1 and maxWaitFactor.
func (q *Queue[T]) adjustWaitFactor(class world.Priority, factor float64) {
	q.waitFactor[class] = min(max(1, q.waitFactor[class]*factor), maxWaitFactor)
}

// New returns an empty queue.
func New[T any](opts Options) *Queue[T] {
	opts.MaxItems = cmp.Or(opts.MaxItems, defaultMaxItems)
	opts.DraftShare = cmp.Or(opts.DraftShare, defaultDraftShare)
	opts.QuickReserve = cmp.Or(opts.QuickReserve, defaultQuickReserve)
	opts.QuickWindow = cmp.Or(opts.QuickWindow, defaultQuickWindow)
	opts.Burst = cmp.Or(opts.Burst, defaultBurst)
	q := &Queue[T]{opts: opts, slots: 1, flows: map[string]*flow[T]{}}
	for class := range q.activeFlows {
		q.activeFlows[class].class = class
		q.waitFactor[class] = 1
	}
	return q
}

// SetSlots sets the number of requests that the target runs concurrently.
func (q *Queue[T]) SetSlots(n int) { q.slots = max(n, 1) }

// Len returns the number of waiting items.
func (q *Queue[T]) Len() int { return q.numItems }

// Running returns the number of items handed out by Next and not yet done.
func (q *Queue[T]) Running() int {
	return q.running[world.PriorityQuick] + q.running[world.PriorityDraft]
}

// EstimateWait returns an upper estimate of the wait of a new item of a class whose workspace has nothing else queued. The estimate
// made by Enqueue also takes the workspace into account.
func (q *Queue[T]) EstimateWait(class world.Priority) time.Duration {
	return q.backlogAhead(class) / time.Duration(q.slots)
}

// backlogAhead returns the service time of the waiting items that may run before a new item of the class.
func (q *Queue[T]) backlogAhead(class world.Priority) time.Duration {
	if class == world.PriorityQuick {
		return q.backlog[world.PriorityQuick]
	}
	return q.backlog[world.PriorityQuick] + q.backlog[world.PriorityDraft]
}

// Enqueue queues the item or refuses it. It may displace an item of another workspace. A refused item did not run.
func (q *Queue[T]) Enqueue(it *Item[T], now time.Time) Decision[T] {
	it.Weight = max(it.Weight, 1)
	it.Cost = max(it.Cost, time.Microsecond)
	wait := time.Duration(float64(q.estimateItemWait(it)) * q.waitFactor[it.Class])
	if it.missesDeadline(now.Add(wait)) {
		return Decision[T]{Refusal: RefusalDeadline, EstimatedWait: wait}
	}
	var displaced *Item[T]
	if q.numItems >= q.opts.MaxItems {
		displaced = q.makeRoom(it)
		if displaced == nil {
			return Decision[T]{Refusal: RefusalFull, EstimatedWait: wait}
		}
	}
	q.push(it, now)
	return Decision[T]{Displaced: displaced, EstimatedWait: wait}
}

// missesDeadline reports whether the item cannot finish before its deadline if it starts at the given time.
func (it *Item[T]) missesDeadline(start time.Time) bool {
	return !it.Deadline.IsZero() && start.Add(it.Cost).After(it.Deadline)
}

// estimateItemWait returns a wait that the item is unlikely to undercut by much: the time to serve the backlog of its workspace at the
// workspace's share of the target, or the whole backlog if that is less.
func (q *Queue[T]) estimateItemWait(it *Item[T]) time.Duration {
	ownBacklog := q.ownBacklogAhead(it)
	totalWeight := q.activeWeight
	if f := q.flows[it.Workspace]; f == nil || f.numItems() == 0 {
		totalWeight += it.Weight
	}
	// The own backlog always runs first. Items of other workspaces run in between only once the saved burst is used up.
	contended := max(0, ownBacklog-q.savedBurst(it.Workspace))
	sharedWait := ownBacklog + time.Duration(float64(contended)*float64(totalWeight-it.Weight)/float64(it.Weight))
	return min(sharedWait, q.backlogAhead(it.Class)) / time.Duration(q.slots)
}

// ownBacklogAhead returns the service time of the waiting items of the same workspace that run before the item.
func (q *Queue[T]) ownBacklogAhead(it *Item[T]) time.Duration {
	f := q.flows[it.Workspace]
	if f == nil {
		return 0
	}
	ownBacklog := f.backlog[world.PriorityQuick]
	if it.Class != world.PriorityQuick {
		ownBacklog += f.backlog[world.PriorityDraft]
	}
	return ownBacklog
}

// savedBurst returns the service time that a workspace has saved up while idle and gets ahead of others.
func (q *Queue[T]) savedBurst(workspace string) time.Duration {
	f := q.flows[workspace]
	if f == nil {
		return q.opts.Burst
	}
	return time.Duration(max(0, q.virtualTime-f.startTag) * float64(f.weight) * float64(time.Second))
}

// makeRoom displaces an item in favor of the new item it: the newest one of the workspace that has the most waiting items for its
// weight, drafts first. It returns nil if the workspace of the new item would not have fewer items for its weight than that workspace.
func (q *Queue[T]) makeRoom(it *Item[T]) *Item[T] {
	ownItems := 0
	if f := q.flows[it.Workspace]; f != nil {
		ownItems = f.numItems()
	}
	if (ownItems+1)*q.activeWeight > q.opts.MaxItems*it.Weight {
		return nil // over its share: refused without a scan of the flows
	}
	var heaviest *flow[T]
	for _, f := range q.flows {
		if f.numItems() > 0 && (heaviest == nil || f.holdsMoreThan(heaviest)) {
			heaviest = f
		}
	}
	if heaviest == nil || heaviest.numItems()*it.Weight <= (ownItems+1)*heaviest.weight {
		return nil
	}
	victim := heaviest.evictionCandidate()
	q.remove(victim)
	return victim
}

// push adds the item to the flow of its workspace, the heaps and the totals.
func (q *Queue[T]) push(it *Item[T], now time.Time) {
	f := q.flows[it.Workspace]
	if f == nil {
		f = &flow[T]{name: it.Workspace, heapIndex: [numClasses]int{-1, -1}, startTag: math.Inf(-1)} // a new workspace has its full burst
		q.flows[it.Workspace] = f
	}
	if f.numItems() == 0 {
		f.weight = it.Weight
		f.startTag = max(f.startTag, q.minStartTag(f)) // bounds the burst that an idle workspace saves up
		q.activeWeight += f.weight
	}
	q.seq++
	it.seq, it.flow, it.state = q.seq, f, stateQueued
	f.queues[it.Class] = append(f.queues[it.Class], it)
	f.backlog[it.Class] += it.Cost
	q.backlog[it.Class] += it.Cost
	q.numItems++
	if f.heapIndex[it.Class] < 0 {
		heap.Push(&q.activeFlows[it.Class], f)
	}
	q.fixHeaps(f)
	if !it.Deadline.IsZero() {
		heap.Push(&q.deadlines, it)
	}
	if it.Class == world.PriorityQuick {
		q.lastQuickAt = now
	}
}

// Next hands out the item to run next; false if there is none that may run now. The caller must have a free slot and must call Done
// when the item has ended. It should call Expire first, since Next does not check deadlines.
func (q *Queue[T]) Next(now time.Time) (*Item[T], bool) {
	class, ok := q.pickClass(now)
	if !ok {
		return nil, false
	}
	f := q.activeFlows[class].flows[0]
	it := f.queues[class][0]
	contended := len(q.activeFlows[world.PriorityQuick].flows) > 0 && len(q.activeFlows[world.PriorityDraft].flows) > 0
	if contended {
		q.updateDraftCredit(it)
	}
	q.remove(it)
	it.state = stateRunning
	q.adjustWaitFactor(it.Class, waitFactorDecay)
	it.chargedCost = it.Cost
	q.running[class]++
	f.running++
	q.virtualTime = max(q.virtualTime, f.startTag)
	f.startTag += it.Cost.Seconds() / float64(f.weight)
	q.fixHeaps(f)
	return it, true
}

// pickClass returns the class to run next: quick checks, unless drafts are behind their share.
func (q *Queue[T]) pickClass(now time.Time) (int, bool) {
	quick, draft := int(world.PriorityQuick), int(world.PriorityDraft)
	hasQuick := len(q.activeFlows[quick].flows) > 0
	hasDraft := len(q.activeFlows[draft].flows) > 0 && q.draftAllowed(now)
	switch {
	case hasDraft && (!hasQuick || q.draftCredit > 0):
		return draft, true
	case hasQuick:
		return quick, true
	}
	return 0, false
}

// draftAllowed reports whether a draft may run. While quick checks arrive, some slots are kept free of drafts, since a draft occupies
// its slot for a long time.
func (q *Queue[T]) draftAllowed(now time.Time) bool {
	return !q.quickIsRecent(now) || q.running[world.PriorityDraft] < q.draftSlots(now)
}

// draftSlots returns the number of slots that drafts may occupy.
func (q *Queue[T]) draftSlots(now time.Time) int {
	if !q.quickIsRecent(now) {
		return q.slots
	}
	reserve := int(float64(q.slots)*q.opts.QuickReserve + 1)
	return max(1, q.slots-reserve)
}

// quickIsRecent reports whether a quick check was enqueued within QuickWindow.
func (q *Queue[T]) quickIsRecent(now time.Time) bool {
	return !q.lastQuickAt.IsZero() && now.Sub(q.lastQuickAt) <= q.opts.QuickWindow
}

// updateDraftCredit updates the credit of drafts for an item that runs while both classes wait.
func (q *Queue[T]) updateDraftCredit(it *Item[T]) {
	cost := it.Cost.Seconds()
	if it.Class == world.PriorityDraft {
		q.draftCredit -= cost
		return
	}
	q.draftCredit += cost * q.opts.DraftShare / (1 - q.opts.DraftShare)
}

// Done ends an item that Next handed out, and corrects the start tag of its workspace by the actual service time.
func (q *Queue[T]) Done(it *Item[T], actual time.Duration) {
	if it.state != stateRunning {
		return
	}
	it.state = stateDetached
	q.running[it.Class]--
	f := it.flow
	f.running--
	f.startTag += (actual - it.chargedCost).Seconds() / float64(f.weight)
	q.fixHeaps(f)
	q.dropIdleFlow(f)
}

// minStartTag returns the start tag of a workspace that has saved up its full burst.
func (q *Queue[T]) minStartTag(f *flow[T]) float64 {
	return q.virtualTime - q.opts.Burst.Seconds()/float64(f.weight)
}

// dropIdleFlow drops the flow of an idle workspace that has its full burst again, and resets all flows when the queue is empty and
// nothing is running.
func (q *Queue[T]) dropIdleFlow(f *flow[T]) {
	if f.numItems() == 0 && f.running == 0 && f.startTag <= q.minStartTag(f) {
		delete(q.flows, f.name)
	}
	if q.numItems == 0 && q.Running() == 0 {
		clear(q.flows)
		q.virtualTime, q.draftCredit = 0, 0
	}
}

// Cancel removes a waiting item. It returns false if the item is not waiting.
func (q *Queue[T]) Cancel(it *Item[T]) bool {
	if it.state != stateQueued {
		return false
	}
	q.remove(it)
	q.dropIdleFlow(it.flow)
	return true
}

// Expire removes and returns the items that can no longer meet their deadline, in the order of their latest start times.
func (q *Queue[T]) Expire(now time.Time) []*Item[T] {
	var expired []*Item[T]
	for len(q.deadlines) > 0 && q.deadlines[0].missesDeadline(now) {
		it := q.deadlines[0]
		q.adjustWaitFactor(it.Class, waitFactorIncrease)
		q.remove(it)
		q.dropIdleFlow(it.flow)
		expired = append(expired, it)
	}
	return expired
}

// remove removes a waiting item from its flow, the heaps and the totals.
func (q *Queue[T]) remove(it *Item[T]) {
	f := it.flow
	f.dequeue(it)
	q.backlog[it.Class] -= it.Cost
	q.numItems--
	it.state = stateDetached
	if !it.Deadline.IsZero() {
		heap.Remove(&q.deadlines, it.deadlineIndex)
	}
	if len(f.queues[it.Class]) == 0 {
		heap.Remove(&q.activeFlows[it.Class], f.heapIndex[it.Class])
	}
	if f.numItems() == 0 {
		q.activeWeight -= f.weight
	}
	if len(q.activeFlows[world.PriorityDraft].flows) == 0 {
		q.draftCredit = 0
	}
}

// fixHeaps restores the heap order after the start tag of a workspace has changed.
func (q *Queue[T]) fixHeaps(f *flow[T]) {
	for class, index := range f.heapIndex {
		if index >= 0 {
			heap.Fix(&q.activeFlows[class], index)
		}
	}
}
