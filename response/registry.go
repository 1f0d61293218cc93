package response

import (
	"context"
	"sync"
	"time"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/wire"
)

// Registry holds the responses of an agent's attempts. It is safe for
// concurrent use.
//
// A writer blocks while its next bytes would displace bytes that an attached
// reader has not read yet, or the last half tail of those that it has read.
// After Options.Stall the slowest reader is detached instead. With no reader
// attached, a writer continues until the tail is full. Then a response started
// with BeginRetained drops its oldest bytes, so that the upstream's work can
// complete. Any other waits for a reader, and after Options.Stall fails with
// *NoReaderError, on which the agent cancels the work. A writer that waits only
// because of Options.TotalBytes fails with *CapacityError after Options.Stall.
type Registry struct {
	opts Options

	mu      sync.Mutex
	buffers map[ident.Attempt]*buffer
	// ended lists the ended responses in the order in which they ended.
	ended      []*buffer
	totalBytes int64
	// freed is closed and replaced whenever totalBytes decreases.
	freed chan struct{}
}

// New returns an empty registry.
func New(o Options) *Registry {
	return &Registry{
		opts:    o.withDefaults(),
		buffers: make(map[ident.Attempt]*buffer),
		freed:   make(chan struct{}),
	}
}

// Begin starts the response of an attempt. A second response for the same
// attempt gives an *EndedError.
func (r *Registry) Begin(a ident.Attempt) (*Writer, error) {
	return r.begin(newBuffer(a, false, r.opts.Retention, r.opts.TailBytes))
}

// BeginRetained starts a response that is retained for retention after its end
// and whose writer does not fail for lack of a reader. It is meant for claimed
// and non-idempotent attempts.
func (r *Registry) BeginRetained(a ident.Attempt, retention time.Duration) (*Writer, error) {
	return r.begin(newBuffer(a, true, retention, r.opts.TailBytes))
}

func (r *Registry) begin(b *buffer) (*Writer, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expireLocked()
	if _, ok := r.buffers[b.attempt]; ok {
		return nil, &EndedError{Attempt: b.attempt}
	}
	r.buffers[b.attempt] = b
	return &Writer{registry: r, buffer: b}, nil
}

// Attach returns a reader of the attempt's response from offset on, in bytes.
// The Head comes first if the offset is zero. Errors are *NotFoundError,
// *DroppedError and *OffsetError. The caller must close the reader.
func (r *Registry) Attach(a ident.Attempt, offset int64) (*Reader, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expireLocked()
	b, ok := r.buffers[a]
	if !ok {
		return nil, &NotFoundError{Attempt: a}
	}
	if offset < 0 || offset > b.written {
		return nil, &OffsetError{Attempt: a, Offset: offset, Written: b.written}
	}
	if offset < b.start {
		return nil, &DroppedError{Attempt: a, Offset: offset, Oldest: b.start}
	}
	reader := &Reader{registry: r, buffer: b, offset: offset, headSent: offset > 0}
	b.readers[reader] = struct{}{}
	b.notify()
	return reader, nil
}

// Expire drops the ended responses whose retention has passed. Begin and Attach
// do so too.
func (r *Registry) Expire() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expireLocked()
}

// Bytes returns the number of retained bytes of all responses.
func (r *Registry) Bytes() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.totalBytes
}

func (r *Registry) expireLocked() {
	now := r.opts.Now()
	remaining := r.ended[:0]
	for _, b := range r.ended {
		if now.Sub(b.endedAt) < b.retention || len(b.readers) > 0 {
			remaining = append(remaining, b)
			continue
		}
		r.remove(b)
	}
	clear(r.ended[len(remaining):])
	r.ended = remaining
}

func (r *Registry) remove(b *buffer) {
	delete(r.buffers, b.attempt)
	r.free(b.size())
}

func (r *Registry) free(n int64) {
	if n == 0 {
		return
	}
	r.totalBytes -= n
	close(r.freed)
	r.freed = make(chan struct{})
}

// evict removes ended responses without readers until n more bytes fit: oldest
// first, and those started with Begin before those started with BeginRetained.
func (r *Registry) evict(n int64) {
	for _, retain := range []bool{false, true} {
		remaining := r.ended[:0]
		for _, b := range r.ended {
			if r.totalBytes+n > r.opts.TotalBytes && b.retain == retain && len(b.readers) == 0 {
				r.remove(b)
				continue
			}
			remaining = append(remaining, b)
		}
		clear(r.ended[len(remaining):])
		r.ended = remaining
	}
}

// add appends p to b, waiting for space as described at Registry.
func (r *Registry) add(ctx context.Context, b *buffer, p []byte) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	for {
		stalled, err := r.addWithin(ctx, b, p)
		if !stalled {
			return err
		}
		if err := r.stalled(b, int64(len(p))); err != nil {
			return err
		}
	}
}

// addWithin appends p to b, or returns true if there was no space within
// Options.Stall.
func (r *Registry) addWithin(ctx context.Context, b *buffer, p []byte) (stalled bool, err error) {
	stall, cancel := context.WithTimeout(ctx, r.opts.Stall)
	defer cancel()
	for {
		if b.final != nil {
			return false, &EndedError{Attempt: b.attempt}
		}
		if r.makeRoom(b, int64(len(p))) {
			b.add(p)
			r.totalBytes += int64(len(p))
			b.notify()
			return false, nil
		}
		if r.wait(stall, b) {
			continue
		}
		if err := ctx.Err(); err != nil {
			return false, err
		}
		return true, nil
	}
}

// droppable returns the offset before which bytes of b may be dropped. With
// readers attached, that is half a tail before the slowest one, so that bytes
// lost with its connection can be read again.
func (r *Registry) droppable(b *buffer) int64 {
	low, reading := b.slowestOffset()
	switch {
	case reading:
		return low - r.opts.TailBytes/2
	case b.retain:
		return b.written
	default:
		return b.start
	}
}

// makeRoom drops bytes to fit n more bytes of b and reports whether they fit.
func (r *Registry) makeRoom(b *buffer, n int64) bool {
	limit := r.droppable(b)
	r.free(b.dropBefore(limit, max(0, r.opts.TailBytes-n)))
	if b.size()+n > r.opts.TailBytes && b.size() > 0 {
		return false
	}
	if r.totalBytes+n > r.opts.TotalBytes {
		r.evict(n)
	}
	if r.totalBytes+n > r.opts.TotalBytes {
		r.free(b.dropBefore(limit, 0))
	}
	return r.totalBytes+n <= r.opts.TotalBytes
}

// wait blocks until something changed, or returns false when ctx ends. The lock
// is held on entry and on return.
func (r *Registry) wait(ctx context.Context, b *buffer) bool {
	changed, freed := b.changed, r.freed
	r.mu.Unlock()
	defer r.mu.Lock()
	select {
	case <-changed:
		return true
	case <-freed:
		return true
	case <-ctx.Done():
		return false
	}
}

// stalled is called after a writer has waited for Options.Stall. It detaches the
// slowest readers if they block the writer, and otherwise returns the error of
// the write.
func (r *Registry) stalled(b *buffer, n int64) error {
	low, reading := b.slowestOffset()
	if b.size()+n <= r.opts.TailBytes {
		return &CapacityError{Attempt: b.attempt, Limit: r.opts.TotalBytes}
	}
	if !reading {
		return &NoReaderError{Attempt: b.attempt}
	}
	for reader := range b.readers {
		if reader.offset == low {
			reader.err = &SlowReaderError{Attempt: b.attempt, Offset: low}
			delete(b.readers, reader)
		}
	}
	b.notify()
	return nil
}

func (r *Registry) end(b *buffer, final wire.Message) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if b.final != nil {
		return &EndedError{Attempt: b.attempt}
	}
	b.final = final
	b.endedAt = r.opts.Now()
	r.ended = append(r.ended, b)
	b.notify()
	return nil
}
