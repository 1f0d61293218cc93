package decisionlog

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// slowWriter blocks until its gate is closed.
type slowWriter struct {
	mu   sync.Mutex
	text bytes.Buffer
	gate chan struct{}
}

func (w *slowWriter) Write(b []byte) (int, error) {
	<-w.gate
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(b)
}

func TestWriterNeverBlocksAndCountsDroppedLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &slowWriter{gate: make(chan struct{})}
		w := New(out, Options{QueueBytes: 1000, LinesPerSecond: 1 << 20})
		line := strings.Repeat("x", 99) + "\n"
		for range 50 {
			time.Sleep(time.Second)
			if _, err := fmt.Fprint(w, line); err != nil {
				t.Fatal(err)
			}
		}
		if w.Dropped() == 0 {
			t.Error("nothing was dropped while the output was blocked")
		}
		close(out.gate)
		if err := w.Close(); err != nil {
			t.Fatal(err)
		}
		lines := strings.Count(out.text.String(), line)
		if uint64(lines)+w.Dropped() != 50 || !strings.Contains(out.text.String(), "log lines dropped") {
			t.Errorf("%d lines written, %d dropped", lines, w.Dropped())
		}
	})
}

func TestWriterLimitsRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &slowWriter{gate: make(chan struct{})}
		close(out.gate)
		w := New(out, Options{LinesPerSecond: 10})
		for range 30 {
			time.Sleep(10 * time.Millisecond)
			fmt.Fprintln(w, "a line")
		}
		if err := w.Close(); err != nil {
			t.Fatal(err)
		}
		if n := strings.Count(out.text.String(), "a line"); n < 10 || n > 14 {
			t.Errorf("%d lines in 0.3 s at 10 lines/s with a burst of 10", n)
		}
	})
}
