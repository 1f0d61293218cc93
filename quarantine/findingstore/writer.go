package findingstore

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/laureltally/laureltally/internal/wait"
	"github.com/laureltally/laureltally/metastore"
	"github.com/laureltally/laureltally/quarantine"
)

const (
	// maxQueued bounds the findings that wait to be stored. After a loss of power many
	// servers have crashed, and none of that matters.
	maxQueued = 8
	// writeInterval is the minimum time between two findings that a Writer stores.
	writeInterval = 500 * time.Millisecond
	// writeTimeout bounds the calls that store one.
	writeTimeout = 2 * time.Second
)

// FullError means that too many findings wait to be stored.
type FullError struct{}

func (*FullError) Error() string { return "too many findings wait to be stored" }

// Writer stores findings one after the other, at a bounded rate. Create one with NewWriter.
type Writer struct {
	store metastore.Store
	queue chan quarantine.News
	// failed is called with the error of each finding that is not stored.
	failed func(error)
}

// NewWriter returns a Writer, which is idle until Run. Failed is called with the error of each
// finding that is not stored.
func NewWriter(s metastore.Store, failed func(error)) *Writer {
	return &Writer{store: s, queue: make(chan quarantine.News, maxQueued), failed: failed}
}

// Add queues findings. It does not wait.
func (w *Writer) Add(n quarantine.News) {
	if n.Empty() {
		return
	}
	select {
	case w.queue <- n:
	default:
		w.failed(&FullError{})
	}
}

// Run stores what is queued until ctx ends.
func (w *Writer) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case n := <-w.queue:
			if err := w.write(ctx, n); err != nil {
				w.failed(err)
			}
			_ = wait.Sleep(ctx, writeInterval)
		}
	}
}

// write stores crashes and quarantines. What is sound is not stored.
func (w *Writer) write(ctx context.Context, n quarantine.News) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	var failed error
	for _, c := range n.Crashes {
		failed = errors.Join(failed, SaveCrash(ctx, w.store, c))
	}
	for _, h := range n.Holds {
		failed = errors.Join(failed, SaveHold(ctx, w.store, h))
	}
	if failed != nil {
		return fmt.Errorf("store findings: %w", failed)
	}
	return nil
}
