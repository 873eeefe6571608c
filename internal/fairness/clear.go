package fairness

// Clear removes and returns all waiting items, in no particular order.
func (q *Queue[T]) Clear() []*Item[T] {
	var out []*Item[T]
	for _, f := range q.flows {
		for class := range f.queues {
			out = append(out, f.queues[class]...)
		}
	}
	for _, it := range out {
		q.remove(it)
		q.dropIdleFlow(it.flow)
	}
	return out
}
