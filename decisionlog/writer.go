package decisionlog

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// Writer queues whole lines for another writer. Write never blocks on that writer.
type Writer struct {
	out  io.Writer
	opts Options

	mu         sync.Mutex
	queue      []byte
	spare      []byte
	tokens     float64
	refilledAt time.Time
	dropped    uint64
	total      uint64
	closed     bool
	queued     chan struct{}
	done       chan struct{}
}

// New returns a Writer to out. The caller must call Close to stop it.
func New(out io.Writer, o Options) *Writer {
	o = o.withDefaults()
	w := &Writer{
		out: out, opts: o,
		tokens: float64(o.LinesPerSecond), refilledAt: o.Now(),
		queued: make(chan struct{}, 1), done: make(chan struct{}),
	}
	go w.run()
	return w
}

// Write queues one line, or drops it if the queue is full or the rate limit is
// exceeded. It never fails.
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
		case w.queued <- struct{}{}:
		default:
		}
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (w *Writer) Dropped() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.total
}

// Close writes the queued lines and stops the Writer.
func (w *Writer) Close() error {
	w.mu.Lock()
	if w.closed {
		w.mu.Unlock()
		return nil
	}
	w.closed = true
	w.mu.Unlock()
	close(w.queued)
	<-w.done
	return nil
}

// admit takes a token from the rate limiter and reports whether a line of n bytes
// fits the rate and the queue.
func (w *Writer) admit(n int) bool {
	now := w.opts.Now()
	rate := float64(w.opts.LinesPerSecond)
	if dt := now.Sub(w.refilledAt); dt > 0 {
		w.tokens = min(rate, w.tokens+dt.Seconds()*rate)
		w.refilledAt = now
	}
	if w.tokens < 1 || len(w.queue)+n > w.opts.QueueBytes {
		return false
	}
	w.tokens--
	return true
}

// run writes queued lines in batches, to save write calls.
func (w *Writer) run() {
	defer close(w.done)
	for range w.queued {
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
		// A failure to write the log can't be reported anywhere.
		_, _ = w.out.Write(batch)
	}
	w.mu.Lock()
	w.spare = batch[:0]
	w.mu.Unlock()
}
