package agent

import (
	"context"
	"sync"
	"time"

	"github.com/laureltally/laureltally/admission"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/wire"
)

// admitter drives an admission.Queue: it hands its actions to the goroutines
// that wait for them and calls Tick when it is due.
type admitter struct {
	now func() time.Time

	mu      sync.Mutex
	queue   *admission.Queue
	waiting map[ident.Attempt]chan admission.Action
	timer   *time.Timer
}

func newAdmitter(q *admission.Queue, now func() time.Time) *admitter {
	return &admitter{now: now, queue: q, waiting: make(map[ident.Attempt]chan admission.Action)}
}

// enter waits for a place. It returns nil when the item was admitted, after
// which leave must be called, and otherwise the refusal.
func (a *admitter) enter(ctx context.Context, it admission.Item) *wire.Refusal {
	decided := make(chan admission.Action, 1)
	a.do(func(now time.Time) []admission.Action {
		a.waiting[it.ID] = decided
		return a.queue.Offer(now, it)
	})
	select {
	case action := <-decided:
		return refusalOf(it.ID, action)
	case <-ctx.Done():
	}
	a.abandon(it.ID)
	return &wire.Refusal{Attempt: it.ID, Code: wire.CodeCanceled, Run: wire.RunStateNotRun, Detail: "the caller is gone"}
}

// abandon forgets an item, whether it still waits or was admitted just now.
func (a *admitter) abandon(id ident.Attempt) {
	a.do(func(now time.Time) []admission.Action {
		delete(a.waiting, id)
		return a.queue.Cancel(now, id)
	})
}

func refusalOf(id ident.Attempt, action admission.Action) *wire.Refusal {
	r, refused := action.(admission.Refuse)
	if !refused {
		return nil
	}
	return &wire.Refusal{Attempt: id, Code: r.Code, Run: wire.RunStateNotRun, RetryAfter: r.RetryAfter, Detail: "the upstream cannot take the request"}
}

// leave frees the place of an admitted item.
func (a *admitter) leave(id ident.Attempt, r admission.Result) {
	a.do(func(now time.Time) []admission.Action { return a.queue.Finish(now, id, r) })
}

// stats returns a snapshot of the queue.
func (a *admitter) stats() admission.Stats {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.queue.Stats()
}

// waitingByPriority counts the waiting items of each priority.
func (a *admitter) waitingByPriority() []int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.queue.WaitingByPriority()
}

// do runs one event of the queue and carries out what follows.
func (a *admitter) do(event func(now time.Time) []admission.Action) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	a.deliver(event(now))
	a.schedule(now)
}

func (a *admitter) deliver(actions []admission.Action) {
	for _, action := range actions {
		id := idOf(action)
		if decided, ok := a.waiting[id]; ok {
			delete(a.waiting, id)
			decided <- action
		}
	}
}

func idOf(action admission.Action) ident.Attempt {
	switch v := action.(type) {
	case admission.Admit:
		return v.ID
	case admission.Refuse:
		return v.ID
	default:
		return ""
	}
}

// schedule arms the timer for the queue's next deadline.
func (a *admitter) schedule(now time.Time) {
	due, ok := a.queue.NextTick(now)
	if !ok {
		return
	}
	wait := max(due.Sub(now), 0)
	if a.timer == nil {
		a.timer = time.AfterFunc(wait, a.tick)
		return
	}
	a.timer.Reset(wait)
}

func (a *admitter) tick() {
	a.do(func(now time.Time) []admission.Action { return a.queue.Tick(now) })
}
