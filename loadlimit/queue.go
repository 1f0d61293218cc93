package loadlimit

import "container/heap"

// waiter is a request that waits. Seq keeps equal requests in order of arrival.
type waiter struct {
	req Request
	seq uint64
}

// queue is a heap of waiters, most urgent first.
type queue []waiter

var _ heap.Interface = (*queue)(nil)

// Len implements sort.Interface.
func (q queue) Len() int { return len(q) }

// Less implements sort.Interface: by priority, then deadline, then arrival.
func (q queue) Less(i, j int) bool {
	a, b := q[i], q[j]
	if a.req.Priority != b.req.Priority {
		return a.req.Priority < b.req.Priority
	}
	if !a.req.Deadline.Equal(b.req.Deadline) {
		return sooner(a.req, b.req)
	}
	return a.seq < b.seq
}

// sooner compares two different deadlines; none comes last.
func sooner(a, b Request) bool {
	if a.Deadline.IsZero() || b.Deadline.IsZero() {
		return !a.Deadline.IsZero()
	}
	return a.Deadline.Before(b.Deadline)
}

// Swap implements sort.Interface.
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *queue) Push(x any) { *q = append(*q, x.(waiter)) }

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	last := len(*q) - 1
	w := (*q)[last]
	*q = (*q)[:last]
	return w
}
