package replay

import (
	"container/heap"
	"time"
)

// event is a function that is run at a point of virtual time.
type event struct {
	at  time.Time
	seq uint64
	run func(now time.Time)
}

// events is a heap of events, the earliest first. Events of the same time run in
// the order of their scheduling.
type events struct {
	heap []event
	seq  uint64
}

var _ heap.Interface = (*events)(nil)

// Len implements sort.Interface.
func (e *events) Len() int { return len(e.heap) }

// Less implements sort.Interface.
func (e *events) Less(i, j int) bool {
	a, b := e.heap[i], e.heap[j]
	if a.at.Equal(b.at) {
		return a.seq < b.seq
	}
	return a.at.Before(b.at)
}

// Swap implements sort.Interface.
func (e *events) Swap(i, j int) { e.heap[i], e.heap[j] = e.heap[j], e.heap[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { e.heap = append(e.heap, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := len(e.heap) - 1
	v := e.heap[last]
	e.heap = e.heap[:last]
	return v
}

// at schedules an event.
func (e *events) at(t time.Time, run func(now time.Time)) {
	e.seq++
	heap.Push(e, event{at: t, seq: e.seq, run: run})
}

// run runs all events up to and including the time end.
func (e *events) run(end time.Time) {
	for len(e.heap) > 0 && !e.heap[0].at.After(end) {
		v := heap.Pop(e).(event)
		v.run(v.at)
	}
}
