package response

import (
	"context"
	"sync"
	"time"

	"github.com/laureltally/laureltally/ident"
	"github.com/laureltally/laureltally/wire"
)

// Registry holds the answers of an agent's attempts. It is safe for concurrent
// use.
//
// A writer waits while the next bytes would push out any of the half tail behind
// a live reader's offset, or bytes that it has not taken; after Options.Stall the
// slowest reader is detached instead.
// With no reader attached a writer goes on until the tail is full. Then an
// answer begun with Keep loses its oldest bytes, so that the upstream's work is
// carried to its end; any other waits for a reader, and after Options.Stall
// fails with *NoReaderError, on which the agent cancels the work.
type Registry struct {
	opts Options

	mu      sync.Mutex
	buffers map[ident.Attempt]*buffer
	// ended lists the ended answers, oldest end first.
	ended []*buffer
	total int64
	// freed is closed and replaced whenever total falls.
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

// Begin starts the answer of an attempt. An attempt begun before gives an
// *EndedError.
func (r *Registry) Begin(a ident.Attempt) (*Writer, error) {
	return r.begin(newBuffer(a, false, r.opts.Retention, r.opts.TailBytes))
}

// BeginRetained starts an answer that is kept for keepFor after its end, and whose
// writer never fails for want of a reader. It serves claimed and non-idempotent
// attempts.
func (r *Registry) BeginRetained(a ident.Attempt, keepFor time.Duration) (*Writer, error) {
	return r.begin(newBuffer(a, true, keepFor, r.opts.TailBytes))
}

func (r *Registry) begin(b *buffer) (*Writer, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sweep()
	if _, ok := r.buffers[b.attempt]; ok {
		return nil, &EndedError{Attempt: b.attempt}
	}
	r.buffers[b.attempt] = b
	return &Writer{registry: r, buffer: b}, nil
}

// Attach returns a reader of the attempt's answer from offset on, in bytes. The
// Head comes first if the offset is zero. Errors are *GoneError, *DroppedError
// and *OffsetError. The caller closes the reader.
func (r *Registry) Attach(a ident.Attempt, offset int64) (*Reader, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sweep()
	b, ok := r.buffers[a]
	if !ok {
		return nil, &GoneError{Attempt: a}
	}
	if offset < 0 || offset > b.written {
		return nil, &OffsetError{Attempt: a, Offset: offset, Written: b.written}
	}
	if offset < b.base {
		return nil, &DroppedError{Attempt: a, Offset: offset, Oldest: b.base}
	}
	reader := &Reader{registry: r, buffer: b, offset: offset, headDone: offset > 0}
	b.readers[reader] = struct{}{}
	b.wake()
	return reader, nil
}

// Expire drops the ended answers whose retention is over. Begin and Attach do so
// too.
func (r *Registry) Expire() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sweep()
}

// Bytes returns how many bytes of answers are kept.
func (r *Registry) Bytes() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.total
}

func (r *Registry) sweep() {
	now := r.opts.Now()
	live := r.ended[:0]
	for _, b := range r.ended {
		if now.Sub(b.endedAt) < b.keepFor || len(b.readers) > 0 {
			live = append(live, b)
			continue
		}
		r.forget(b)
	}
	clear(r.ended[len(live):])
	r.ended = live
}

func (r *Registry) forget(b *buffer) {
	delete(r.buffers, b.attempt)
	r.release(b.kept())
}

func (r *Registry) release(n int64) {
	if n == 0 {
		return
	}
	r.total -= n
	close(r.freed)
	r.freed = make(chan struct{})
}

// evict forgets ended answers without readers, oldest first and those begun
// without Keep before the others, until n more bytes fit.
func (r *Registry) evict(n int64) {
	for _, keep := range []bool{false, true} {
		live := r.ended[:0]
		for _, b := range r.ended {
			if r.total+n > r.opts.TotalBytes && b.keep == keep && len(b.readers) == 0 {
				r.forget(b)
				continue
			}
			live = append(live, b)
		}
		clear(r.ended[len(live):])
		r.ended = live
	}
}

// add appends p to b, waiting for space as the type's comment says.
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

// addWithin appends p to b, or returns true if there was no space for
// Options.Stall.
func (r *Registry) addWithin(ctx context.Context, b *buffer, p []byte) (stalled bool, err error) {
	stall, cancel := context.WithTimeout(ctx, r.opts.Stall)
	defer cancel()
	for {
		if b.last != nil {
			return false, &EndedError{Attempt: b.attempt}
		}
		if r.fits(b, int64(len(p))) {
			b.add(p)
			r.total += int64(len(p))
			b.wake()
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

// droppable returns the offset below which b may lose bytes. With live readers
// that is half a tail behind the slowest, so that what was handed to a
// connection which then went silent can be read again.
func (r *Registry) droppable(b *buffer) int64 {
	low, reading := b.slowest()
	switch {
	case reading:
		return low - r.opts.TailBytes/2
	case b.keep:
		return b.written
	default:
		return b.base
	}
}

// fits makes room for n more bytes of b and tells whether there is enough.
func (r *Registry) fits(b *buffer, n int64) bool {
	limit := r.droppable(b)
	r.release(b.dropTo(limit, max(0, r.opts.TailBytes-n)))
	if b.kept()+n > r.opts.TailBytes && b.kept() > 0 {
		return false
	}
	if r.total+n > r.opts.TotalBytes {
		r.evict(n)
	}
	if r.total+n > r.opts.TotalBytes {
		r.release(b.dropTo(limit, 0))
	}
	return r.total+n <= r.opts.TotalBytes
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

// stalled decides what gives way when a writer has waited for Options.Stall:
// the slowest readers if they are the obstacle, the answer itself otherwise.
func (r *Registry) stalled(b *buffer, n int64) error {
	low, reading := b.slowest()
	if b.kept()+n <= r.opts.TailBytes {
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
	b.wake()
	return nil
}

func (r *Registry) end(b *buffer, last wire.Message) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if b.last != nil {
		return &EndedError{Attempt: b.attempt}
	}
	b.last = last
	b.endedAt = r.opts.Now()
	r.ended = append(r.ended, b)
	b.wake()
	return nil
}
