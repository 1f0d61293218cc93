package standin

// batchQueue implements heap.Interface over waiters.
type batchQueue []*batchWaiter

func (q batchQueue) Len() int { return len(q) }

func (q batchQueue) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority < q[j].priority
	}
	return q[i].seq < q[j].seq
}

func (q batchQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

func (q *batchQueue) Push(x any) {
	w := x.(*batchWaiter)
	w.index = len(*q)
	*q = append(*q, w)
}

func (q *batchQueue) Pop() any {
	last := len(*q) - 1
	w := (*q)[last]
	*q = (*q)[:last]
	w.index = -1
	return w
}
