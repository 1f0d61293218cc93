package loadlimit

import "container/heap"

// waiter is a queued request. seq keeps equal requests in the order of arrival.
type waiter struct {
	req Request
	seq uint64
}

// queue is a heap of queued requests, most urgent first.
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
		return earlierDeadline(a.req, b.req)
	}
	return a.seq < b.seq
}

// earlierDeadline reports whether a's deadline comes before b's, which must
// differ. No deadline comes last.
func earlierDeadline(a, b Request) bool {
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
