package hotpath

import (
	"time"

	"github.com/laureltally/laureltally/admission"
	"github.com/laureltally/laureltally/ident"
)

// queue is the part of admission.Queue that an upstream uses.
type queue interface {
	Offer(now time.Time, it admission.Item) []admission.Action
	Finish(now time.Time, id ident.Attempt, r admission.Result) []admission.Action
	Cancel(now time.Time, id ident.Attempt) []admission.Action
	Tick(now time.Time) []admission.Action
	NextTick(now time.Time) (time.Time, bool)
	Stats() admission.Stats
}

// fifo is the baseline queue, without admission control, priorities and deadlines.
type fifo struct {
	limit   int
	running map[ident.Attempt]bool
	waiting []ident.Attempt
}

func newFIFO(limit int) *fifo {
	return &fifo{limit: limit, running: make(map[ident.Attempt]bool)}
}

// Offer implements queue.
func (f *fifo) Offer(now time.Time, it admission.Item) []admission.Action {
	f.waiting = append(f.waiting, it.ID)
	return f.Tick(now)
}

// Finish implements queue.
func (f *fifo) Finish(now time.Time, id ident.Attempt, _ admission.Result) []admission.Action {
	delete(f.running, id)
	return f.Tick(now)
}

// Cancel implements queue.
func (f *fifo) Cancel(now time.Time, id ident.Attempt) []admission.Action {
	return f.Finish(now, id, admission.Failed)
}

// Tick implements queue.
func (f *fifo) Tick(time.Time) []admission.Action {
	var actions []admission.Action
	for len(f.waiting) > 0 && len(f.running) < f.limit {
		id := f.waiting[0]
		f.waiting = f.waiting[1:]
		f.running[id] = true
		actions = append(actions, admission.Admit{ID: id})
	}
	return actions
}

// NextTick implements queue.
func (f *fifo) NextTick(time.Time) (time.Time, bool) { return time.Time{}, false }

// Stats implements queue.
func (f *fifo) Stats() admission.Stats {
	return admission.Stats{Running: len(f.running), Waiting: len(f.waiting), Limit: f.limit}
}
