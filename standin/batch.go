package standin

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"github.com/laureltally/laureltally/engine"
)

// batch is the continuous batch of an engine. Its requests share one token
// rate, and those beyond its limit wait by priority and then by arrival.
type batch struct {
	limit     int
	perSecond float64
	lag       time.Duration

	mu      sync.Mutex
	running int
	peak    int
	seq     uint64
	waiting batchQueue
	history []engine.LoadReport
}

func newBatch(limit int, perSecond float64, lag time.Duration) *batch {
	return &batch{limit: limit, perSecond: perSecond, lag: lag}
}

// enter waits for a place in the batch.
func (b *batch) enter(ctx context.Context, priority int) error {
	b.mu.Lock()
	if b.running < b.limit {
		b.running++
		b.note()
		b.mu.Unlock()
		return nil
	}
	b.seq++
	w := &batchWaiter{priority: priority, seq: b.seq, ready: make(chan struct{})}
	heap.Push(&b.waiting, w)
	b.note()
	b.mu.Unlock()
	select {
	case <-w.ready:
		return nil
	case <-ctx.Done():
		b.abandon(w)
		return ctx.Err()
	}
}

// abandon takes a waiter out, or gives back the place that it just got.
func (b *batch) abandon(w *batchWaiter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if w.index < 0 {
		b.release()
		return
	}
	heap.Remove(&b.waiting, w.index)
	b.note()
}

// leave gives back a place.
func (b *batch) leave() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.release()
}

func (b *batch) release() {
	if b.waiting.Len() > 0 {
		close(heap.Pop(&b.waiting).(*batchWaiter).ready)
	} else {
		b.running--
	}
	b.note()
}

// step returns the time between two tokens of one request now.
func (b *batch) step() time.Duration {
	if b.perSecond <= 0 {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Duration(float64(b.running) / b.perSecond * float64(time.Second))
}

func (b *batch) peakRunning() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.peak
}

// note records the load. The caller holds mu.
func (b *batch) note() {
	now := time.Now()
	b.peak = max(b.peak, b.running)
	r := engine.LoadReport{AsOf: now, Running: b.running, Waiting: b.waiting.Len()}
	if b.running > 0 {
		r.TokensPerSecond = b.perSecond
	}
	b.history = append(b.history, r)
	b.trim(now)
}

// trim keeps what the lagging report still needs. The caller holds mu.
func (b *batch) trim(now time.Time) {
	for len(b.history) > 1 && !b.history[1].AsOf.After(now.Add(-b.lag)) {
		b.history = b.history[1:]
	}
}

// report returns the load as of one lag ago.
func (b *batch) report() engine.LoadReport {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.trim(now)
	then := now.Add(-b.lag)
	if len(b.history) == 0 || b.history[0].AsOf.After(then) {
		return engine.LoadReport{AsOf: then}
	}
	r := b.history[0]
	r.AsOf = then
	return r
}
