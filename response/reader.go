package response

import (
	"context"
	"io"

	"github.com/laureltally/laureltally/wire"
)

// Reader takes one answer out of a Registry, message by message. It is for one
// goroutine at a time, except that Close may be called from another.
type Reader struct {
	registry *Registry
	buffer   *buffer
	// offset is the next byte to hand out. The registry's lock guards the
	// fields below too.
	offset   int64
	headDone bool
	lastDone bool
	err      error
}

// Next waits for the next message: a Head if the reader started at offset zero,
// Chunks of at most wire.ChunkBytes, and one End, Abort or Refusal. After that
// it returns io.EOF. Other errors are the context's and *SlowReaderError.
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

// poll returns the next message, or nothing if there is none yet.
func (r *Reader) poll() (wire.Message, error) {
	b := r.buffer
	switch {
	case r.err != nil:
		return nil, r.err
	case r.lastDone:
		return nil, io.EOF
	case !r.headDone && b.head != nil:
		r.headDone = true
		return b.head, nil
	case r.headDone && r.offset < b.written:
		return r.chunk(), nil
	case b.last != nil:
		r.lastDone = true
		return b.last, nil
	default:
		return nil, nil
	}
}

func (r *Reader) chunk() *wire.Chunk {
	data := r.buffer.at(r.offset)
	m := &wire.Chunk{Attempt: r.buffer.attempt, Offset: r.offset, Data: data}
	r.offset += int64(len(data))
	r.buffer.wake()
	return m
}

// Close detaches the reader, so that the writer no longer waits for it.
func (r *Reader) Close() {
	r.registry.mu.Lock()
	defer r.registry.mu.Unlock()
	if r.err == nil && !r.lastDone {
		r.err = io.ErrClosedPipe
	}
	delete(r.buffer.readers, r)
	r.buffer.wake()
}
