package fairness

import (
	"slices"
	"time"

	"github.com/egrethoist/egrethoist/internal/world"
)

// flow is the queue and the accounting state of one workspace.
type flow[T any] struct {
	name      string
	weight    int
	startTag  float64 // virtual start time of its next item, in seconds per unit of weight
	queues    [numClasses][]*Item[T]
	backlog   [numClasses]time.Duration
	running   int
	heapIndex [numClasses]int // positions in the heaps of active flows; -1 if absent
}

func (f *flow[T]) numItems() int { return len(f.queues[0]) + len(f.queues[1]) }

// holdsMoreThan reports whether f has more waiting items for its weight than g. Ties are broken by name.
func (f *flow[T]) holdsMoreThan(g *flow[T]) bool {
	a, b := f.numItems()*g.weight, g.numItems()*f.weight
	return a > b || a == b && f.name < g.name
}

// evictionCandidate returns the newest draft, or the newest quick check if no draft is waiting.
func (f *flow[T]) evictionCandidate() *Item[T] {
	q := f.queues[world.PriorityDraft]
	if len(q) == 0 {
		q = f.queues[world.PriorityQuick]
	}
	return q[len(q)-1]
}

// dequeue removes a waiting item, which is usually the first of its class.
func (f *flow[T]) dequeue(it *Item[T]) {
	q := f.queues[it.Class]
	if q[0] == it {
		q[0] = nil
		f.queues[it.Class] = q[1:]
	} else {
		i := slices.Index(q, it)
		f.queues[it.Class] = slices.Delete(q, i, i+1)
	}
	f.backlog[it.Class] -= it.Cost
}

// flowHeap orders the workspaces with waiting items of one class by start tag, then by name. It implements heap.Interface.
type flowHeap[T any] struct {
	class int
	flows []*flow[T]
}

func (h *flowHeap[T]) Len() int { return len(h.flows) }

func (h *flowHeap[T]) Less(i, j int) bool {
	a, b := h.flows[i], h.flows[j]
	return a.startTag < b.startTag || a.startTag == b.startTag && a.name < b.name
}

func (h *flowHeap[T]) Swap(i, j int) {
	h.flows[i], h.flows[j] = h.flows[j], h.flows[i]
	h.flows[i].heapIndex[h.class] = i
	h.flows[j].heapIndex[h.class] = j
}

func (h *flowHeap[T]) Push(x any) {
	f := x.(*flow[T])
	f.heapIndex[h.class] = len(h.flows)
	h.flows = append(h.flows, f)
}

func (h *flowHeap[T]) Pop() any {
	last := len(h.flows) - 1
	f := h.flows[last]
	h.flows[last] = nil
	h.flows = h.flows[:last]
	f.heapIndex[h.class] = -1
	return f
}

// deadlineHeap orders the waiting items by the latest start time that still meets their deadline. It implements heap.Interface.
type deadlineHeap[T any] []*Item[T]

func (h deadlineHeap[T]) Len() int { return len(h) }

func (h deadlineHeap[T]) Less(i, j int) bool {
	a, b := h[i].latestStart(), h[j].latestStart()
	return a.Before(b) || a.Equal(b) && h[i].seq < h[j].seq
}

func (it *Item[T]) latestStart() time.Time { return it.Deadline.Add(-it.Cost) }

func (h deadlineHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].deadlineIndex, h[j].deadlineIndex = i, j
}

func (h *deadlineHeap[T]) Push(x any) {
	it := x.(*Item[T])
	it.deadlineIndex = len(*h)
	*h = append(*h, it)
}

func (h *deadlineHeap[T]) Pop() any {
	last := len(*h) - 1
	it := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return it
}
