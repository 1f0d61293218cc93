package hotpath

import (
	"container/heap"
	"time"
)

// event is a function to run at a virtual time.
type event struct {
	at  time.Duration
	seq int
	fn  func()
}

// events is a heap, ordered by time, then by creation.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

// timeline runs events on virtual time.
type timeline struct {
	now     time.Duration
	seq     int
	pending events
}

// epoch is the wall-clock time at virtual time zero.
var epoch = time.Unix(1_700_000_000, 0)

// clock returns the virtual time as a wall-clock time.
func (t *timeline) clock() time.Time { return epoch.Add(t.now) }

func (t *timeline) after(d time.Duration, fn func()) {
	t.seq++
	heap.Push(&t.pending, event{at: t.now + max(0, d), seq: t.seq, fn: fn})
}

// run executes all events up to and including end.
func (t *timeline) run(end time.Duration) {
	for len(t.pending) > 0 && t.pending[0].at <= end {
		e := heap.Pop(&t.pending).(event)
		t.now = e.at
		e.fn()
	}
	t.now = end
}
