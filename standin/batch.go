package standin

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"github.com/laureltally/laureltally/engine"
)

// batch simulates the continuous batching of an engine. The running requests share
// one token rate. Requests beyond the limit wait, ordered by priority and then by
// arrival.
type batch struct {
	limit           int
	tokensPerSecond float64
	reportLag       time.Duration

	mu      sync.Mutex
	running int
	peak    int
	seq     uint64
	waiting batchQueue
	history []engine.LoadReport
}

func newBatch(limit int, tokensPerSecond float64, reportLag time.Duration) *batch {
	return &batch{limit: limit, tokensPerSecond: tokensPerSecond, reportLag: reportLag}
}

// acquire waits until the request can join the batch or ctx ends.
func (b *batch) acquire(ctx context.Context, priority int) error {
	b.mu.Lock()
	if b.running < b.limit {
		b.running++
		b.recordLoad()
		b.mu.Unlock()
		return nil
	}
	b.seq++
	w := &batchWaiter{priority: priority, seq: b.seq, ready: make(chan struct{})}
	heap.Push(&b.waiting, w)
	b.recordLoad()
	b.mu.Unlock()
	select {
	case <-w.ready:
		return nil
	case <-ctx.Done():
		b.cancel(w)
		return ctx.Err()
	}
}

// cancel removes a waiter from the queue, or from the batch if it has joined it in
// the meantime.
func (b *batch) cancel(w *batchWaiter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if w.index < 0 {
		b.releaseLocked()
		return
	}
	heap.Remove(&b.waiting, w.index)
	b.recordLoad()
}

// release ends a running request and admits the next waiter.
func (b *batch) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.releaseLocked()
}

func (b *batch) releaseLocked() {
	if b.waiting.Len() > 0 {
		close(heap.Pop(&b.waiting).(*batchWaiter).ready)
	} else {
		b.running--
	}
	b.recordLoad()
}

// tokenInterval returns the current time between two tokens of one request.
func (b *batch) tokenInterval() time.Duration {
	if b.tokensPerSecond <= 0 {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Duration(float64(b.running) / b.tokensPerSecond * float64(time.Second))
}

func (b *batch) peakRunning() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.peak
}

// recordLoad adds the current load to the history. The caller holds mu.
func (b *batch) recordLoad() {
	now := time.Now()
	b.peak = max(b.peak, b.running)
	r := engine.LoadReport{AsOf: now, Running: b.running, Waiting: b.waiting.Len()}
	if b.running > 0 {
		r.TokensPerSecond = b.tokensPerSecond
	}
	b.history = append(b.history, r)
	b.trim(now)
}

// trim drops the history that the delayed report no longer needs. The caller holds
// mu.
func (b *batch) trim(now time.Time) {
	for len(b.history) > 1 && !b.history[1].AsOf.After(now.Add(-b.reportLag)) {
		b.history = b.history[1:]
	}
}

// report returns the load as of reportLag ago.
func (b *batch) report() engine.LoadReport {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.trim(now)
	then := now.Add(-b.reportLag)
	if len(b.history) == 0 || b.history[0].AsOf.After(then) {
		return engine.LoadReport{AsOf: then}
	}
	r := b.history[0]
	r.AsOf = then
	return r
}
