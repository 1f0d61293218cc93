package decisionlog

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// Writer queues whole lines for another writer. Write never blocks on it.
type Writer struct {
	out  io.Writer
	opts Options

	mu      sync.Mutex
	queue   []byte
	spare   []byte
	tokens  float64
	refill  time.Time
	dropped uint64
	total   uint64
	closed  bool
	wake    chan struct{}
	done    chan struct{}
}

// New returns a Writer to out. The caller ends it with Close.
func New(out io.Writer, o Options) *Writer {
	o = o.withDefaults()
	w := &Writer{
		out: out, opts: o,
		tokens: float64(o.LinesPerSecond), refill: o.Now(),
		wake: make(chan struct{}, 1), done: make(chan struct{}),
	}
	go w.run()
	return w
}

// Write queues one line, or drops it if the queue is full or lines come too
// fast. It never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || !w.admit(len(line)) {
		w.dropped++
		w.total++
		return len(line), nil
	}
	first := len(w.queue) == 0
	w.queue = append(w.queue, line...)
	if first {
		select {
		case w.wake <- struct{}{}:
		default:
		}
	}
	return len(line), nil
}

// Dropped is how many lines were dropped so far.
func (w *Writer) Dropped() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.total
}

// Close writes what is queued and stops.
func (w *Writer) Close() error {
	w.mu.Lock()
	if w.closed {
		w.mu.Unlock()
		return nil
	}
	w.closed = true
	w.mu.Unlock()
	close(w.wake)
	<-w.done
	return nil
}

// admit takes a line's share of the rate and of the queue.
func (w *Writer) admit(n int) bool {
	now := w.opts.Now()
	rate := float64(w.opts.LinesPerSecond)
	if dt := now.Sub(w.refill); dt > 0 {
		w.tokens = min(rate, w.tokens+dt.Seconds()*rate)
		w.refill = now
	}
	if w.tokens < 1 || len(w.queue)+n > w.opts.QueueBytes {
		return false
	}
	w.tokens--
	return true
}

// run writes batches, so that many lines cost one call.
func (w *Writer) run() {
	defer close(w.done)
	for range w.wake {
		if !w.isClosed() {
			time.Sleep(w.opts.FlushInterval)
		}
		w.flush()
	}
	w.flush()
}

func (w *Writer) isClosed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.closed
}

func (w *Writer) flush() {
	w.mu.Lock()
	batch, dropped := w.queue, w.dropped
	w.queue, w.dropped = w.spare[:0], 0
	w.mu.Unlock()
	if dropped > 0 {
		batch = fmt.Appendf(batch, "{\"level\":\"warn\",\"message\":\"log lines dropped\",\"fields\":{\"lines\":%d}}\n", dropped)
	}
	if len(batch) > 0 {
		// A log that can't be written has nowhere to be reported.
		_, _ = w.out.Write(batch)
	}
	w.mu.Lock()
	w.spare = batch[:0]
	w.mu.Unlock()
}
