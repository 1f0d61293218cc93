package originstore

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"sync"
	"time"

	"github.com/laureltally/laureltally/internal/wait"
	"github.com/laureltally/laureltally/metastore"
	"github.com/laureltally/laureltally/resume"
)

const (
	// writeInterval is the minimum time between two writes of a Writer: a crash of all
	// processes loses the streams of that time.
	writeInterval = 250 * time.Millisecond
	// maxRetryInterval is the maximum time between two writes while they fail.
	maxRetryInterval = 4 * time.Second
	// chunkAge is how long streams are added to a chunk. Each write repeats all of it.
	chunkAge = 2 * time.Second
	// maxChunk bounds the streams of a chunk, which take 11 bytes each, and maxPending those
	// that wait for the next write.
	maxChunk, maxPending = 1 << 16, 1 << 15
	// callTimeout bounds one step: a write, and the deletion of what is old.
	callTimeout = 2 * time.Second
	// lastTimeout bounds the last write of a process that stops.
	lastTimeout = 500 * time.Millisecond
	// orphanAge is the age from which on chunks of writers that have ended are deleted.
	orphanAge = 10 * time.Minute
)

// Options configures a Writer.
type Options struct {
	Store metastore.Store
	// Name makes the keys of the writer's chunks differ from those of all others, those of
	// earlier lives of its process included.
	Name string
	Now  func() time.Time
	// Failed is called with the error of each step that failed. What it could not store is
	// tried again.
	Failed func(error)
}

// Writer stores the versions that began streams. Add is safe for concurrent use.
type Writer struct {
	o     Options
	added chan struct{}

	mu      sync.Mutex
	pending map[resume.StreamKey]string
	// dropped counts the streams that found too many pending.
	dropped int

	// The rest belongs to Run.
	current *chunk
	// closed holds the chunks that are complete, oldest first.
	closed []*chunk
	// chunks counts the keys that were used.
	chunks int
	pruned bool
}

// chunk is an object in the store. Version is zero before it was written.
type chunk struct {
	key     string
	version metastore.Version
	streams map[resume.StreamKey]string
	begunAt time.Time
	// dirty is set while streams wait to be written.
	dirty bool
}

// expiresAt returns when nobody resumes the chunk's streams any more.
func (c *chunk) expiresAt() time.Time { return c.begunAt.Add(chunkAge + retention) }

// NewWriter returns a Writer, which stores nothing until Run.
func NewWriter(o Options) *Writer {
	return &Writer{o: o, added: make(chan struct{}, 1), pending: make(map[resume.StreamKey]string)}
}

// Add records the version that began a stream. It does not wait.
func (w *Writer) Add(key resume.StreamKey, software string) {
	w.mu.Lock()
	if len(w.pending) < maxPending {
		w.pending[key] = software
	} else {
		w.dropped++
	}
	w.mu.Unlock()
	wait.Notify(w.added)
}

// Run stores streams until ctx ends, and then those that are left.
func (w *Writer) Run(ctx context.Context) {
	pause := writeInterval
	for {
		expiry, stop := w.expiry()
		select {
		case <-ctx.Done():
		case <-w.added:
		case <-expiry:
		}
		stop()
		if ctx.Err() != nil {
			w.writeLast(context.WithoutCancel(ctx))
			return
		}
		if err := w.step(ctx); err != nil {
			w.o.Failed(err)
			pause = min(2*pause, maxRetryInterval)
			wait.Notify(w.added)
		} else {
			pause = writeInterval
		}
		_ = wait.Sleep(ctx, pause)
	}
}

// writeLast writes what is left when the process stops.
func (w *Writer) writeLast(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, lastTimeout)
	defer cancel()
	now := w.o.Now()
	if err := errors.Join(w.take(now), w.write(ctx, now)); err != nil {
		w.o.Failed(err)
	}
}

// expiry returns a channel that fires when the oldest chunk has to be deleted, or nil.
func (w *Writer) expiry() (at <-chan time.Time, stop func()) {
	oldest := w.current
	if len(w.closed) > 0 {
		oldest = w.closed[0]
	}
	if oldest == nil {
		return nil, func() {}
	}
	t := time.NewTimer(oldest.expiresAt().Sub(w.o.Now()))
	return t.C, func() { t.Stop() }
}

// step writes what is pending and deletes what is old.
func (w *Writer) step(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	now := w.o.Now()
	err := errors.Join(w.take(now), w.write(ctx, now))
	for err == nil && len(w.closed) > 0 && !now.Before(w.closed[0].expiresAt()) {
		if err = w.remove(ctx, w.closed[0]); err == nil {
			w.closed = w.closed[1:]
		}
	}
	if err == nil && !w.pruned {
		err = w.prune(ctx, now)
		w.pruned = err == nil
	}
	return err
}

// take moves what is pending to the current chunk. It returns a *FullError if streams were
// dropped.
func (w *Writer) take(now time.Time) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if c := w.current; c != nil && now.Sub(c.begunAt) >= chunkAge {
		switch {
		case !c.dirty:
			c.streams = nil
			w.closed, w.current = append(w.closed, c), nil
		case !now.Before(c.expiresAt()):
			// The store has been away for longer than anybody resumes these.
			w.current = nil
		}
	}
	if len(w.pending) > 0 && w.current == nil {
		w.current = &chunk{key: w.nextKey(), streams: make(map[resume.StreamKey]string), begunAt: now}
	}
	if c := w.current; len(w.pending) > 0 && len(c.streams)+len(w.pending) <= maxChunk {
		maps.Copy(c.streams, w.pending)
		c.dirty = true
		w.pending = make(map[resume.StreamKey]string)
	}
	if n := w.dropped; n > 0 {
		w.dropped = 0
		return &FullError{Streams: n}
	}
	return nil
}

func (w *Writer) nextKey() string {
	w.chunks++
	return fmt.Sprintf("%s%s-%d", prefix, w.o.Name, w.chunks)
}

// write writes the current chunk if it has changed. After a failure, which may have written it, the
// next attempt writes all of it under another key.
func (w *Writer) write(ctx context.Context, now time.Time) error {
	c := w.current
	if c == nil || !c.dirty {
		return nil
	}
	value, err := encodeChunk(c.streams, now)
	if err != nil {
		return err
	}
	version, err := w.o.Store.Put(ctx, c.key, value, c.version)
	if err != nil {
		c.key, c.version = w.nextKey(), 0
		return fmt.Errorf("store streams: %w", err)
	}
	c.version, c.dirty = version, false
	return nil
}

// remove deletes a chunk. One that has changed is not the writer's any more: the store was
// restored from an older copy.
func (w *Writer) remove(ctx context.Context, c *chunk) error {
	err := w.o.Store.Delete(ctx, c.key, c.version)
	var conflict *metastore.ConflictError
	if err != nil && !errors.As(err, &conflict) {
		return fmt.Errorf("delete streams: %w", err)
	}
	return nil
}

// prune deletes the chunks of writers that have ended long ago.
func (w *Writer) prune(ctx context.Context, now time.Time) error {
	objects, _, err := w.o.Store.List(ctx, prefix)
	if err != nil {
		return fmt.Errorf("list streams: %w", err)
	}
	for _, o := range objects {
		at, err := decodeChunk(o.Value, func(resume.StreamKey, string) {})
		if err != nil || now.Sub(at) < orphanAge {
			continue
		}
		if err := w.remove(ctx, &chunk{key: o.Key, version: o.Version}); err != nil {
			return err
		}
	}
	return nil
}
