package agent

import (
	"context"
	"sync"
	"time"

	"github.com/laureltally/laureltally/admission"
	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/wire"
)

// admitter drives an admission.Queue: it delivers the queue's actions to the
// goroutines that wait for them and calls Tick when it is due.
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

// admit blocks until the item is admitted or refused. It returns nil if the
// item was admitted, after which finish must be called, and otherwise the
// refusal.
func (a *admitter) admit(ctx context.Context, it admission.Item) *wire.Refusal {
	decided := make(chan admission.Action, 1)
	a.apply(func(now time.Time) []admission.Action {
		a.waiting[it.ID] = decided
		return a.queue.Offer(now, it)
	})
	select {
	case action := <-decided:
		return refusalFromAction(it.ID, action)
	case <-ctx.Done():
	}
	a.cancel(it.ID)
	return &wire.Refusal{Attempt: it.ID, Code: wire.CodeCanceled, Run: wire.RunStateNotRun, Detail: "the caller is gone"}
}

// cancel removes an item that waits or has just been admitted.
func (a *admitter) cancel(id ident.Attempt) {
	a.apply(func(now time.Time) []admission.Action {
		delete(a.waiting, id)
		return a.queue.Cancel(now, id)
	})
}

func refusalFromAction(id ident.Attempt, action admission.Action) *wire.Refusal {
	r, refused := action.(admission.Refuse)
	if !refused {
		return nil
	}
	return &wire.Refusal{Attempt: id, Code: r.Code, Run: wire.RunStateNotRun, RetryAfter: r.RetryAfter, Detail: "the upstream cannot take the request"}
}

// finish records the result of an admitted item, which then no longer counts
// against the concurrency limit.
func (a *admitter) finish(id ident.Attempt, r admission.Result) {
	a.apply(func(now time.Time) []admission.Action { return a.queue.Finish(now, id, r) })
}

// stats returns a snapshot of the queue.
func (a *admitter) stats() admission.Stats {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.queue.Stats()
}

// waitingByPriority returns the number of waiting items per priority.
func (a *admitter) waitingByPriority() []int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.queue.WaitingByPriority()
}

// apply runs one event on the queue, delivers the resulting actions and
// reschedules the timer.
func (a *admitter) apply(event func(now time.Time) []admission.Action) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	a.deliver(event(now))
	a.schedule(now)
}

func (a *admitter) deliver(actions []admission.Action) {
	for _, action := range actions {
		id := attemptOf(action)
		if decided, ok := a.waiting[id]; ok {
			delete(a.waiting, id)
			decided <- action
		}
	}
}

func attemptOf(action admission.Action) ident.Attempt {
	switch v := action.(type) {
	case admission.Admit:
		return v.ID
	case admission.Refuse:
		return v.ID
	default:
		return ""
	}
}

// schedule sets the timer to the queue's next tick.
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
	a.apply(func(now time.Time) []admission.Action { return a.queue.Tick(now) })
}
