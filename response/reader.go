package response

import (
	"context"
	"io"

	"github.com/laureltally/laureltally/wire"
)

// Reader reads one response from a Registry, message by message. It must be
// used by one goroutine at a time, but Close may be called from another.
type Reader struct {
	registry *Registry
	buffer   *buffer
	// offset is that of the next byte to return. The registry's lock guards this
	// and the following fields.
	offset    int64
	headSent  bool
	finalSent bool
	err       error
}

// Next blocks until the next message: a Head if the reader started at offset
// zero, Chunks of at most wire.ChunkBytes, and one End, Abort or Refusal. After
// that it returns io.EOF. Other errors are the context's, *SlowReaderError and,
// after Close, io.ErrClosedPipe.
func (r *Reader) Next(ctx context.Context) (wire.Message, error) {
	r.registry.mu.Lock()
	defer r.registry.mu.Unlock()
	for {
		if m, err := r.poll(); m != nil || err != nil {
			return m, err
		}
		changed := r.buffer.changed
		r.registry.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		}
		r.registry.mu.Lock()
		if err := ctx.Err(); err != nil {
			return nil, err
		}
	}
}

// poll returns the next message, or nil if there is none yet.
func (r *Reader) poll() (wire.Message, error) {
	b := r.buffer
	switch {
	case r.err != nil:
		return nil, r.err
	case r.finalSent:
		return nil, io.EOF
	case !r.headSent && b.head != nil:
		r.headSent = true
		return b.head, nil
	case r.headSent && r.offset < b.written:
		return r.chunk(), nil
	case b.final != nil:
		r.finalSent = true
		return b.final, nil
	default:
		return nil, nil
	}
}

func (r *Reader) chunk() *wire.Chunk {
	data := r.buffer.bytesAt(r.offset)
	m := &wire.Chunk{Attempt: r.buffer.attempt, Offset: r.offset, Data: data}
	r.offset += int64(len(data))
	r.buffer.notify()
	return m
}

// Close detaches the reader, so that the writer no longer waits for it.
func (r *Reader) Close() {
	r.registry.mu.Lock()
	defer r.registry.mu.Unlock()
	if r.err == nil && !r.finalSent {
		r.err = io.ErrClosedPipe
	}
	delete(r.buffer.readers, r)
	r.buffer.notify()
}
