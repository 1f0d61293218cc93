package response

import (
	"context"

	"github.com/laureltally/laureltally/wire"
)

// Writer puts one answer into a Registry. It is for one goroutine at a time.
type Writer struct {
	registry *Registry
	buffer   *buffer
}

// Head sets the status and header of the answer, once and before any byte.
// Otherwise it returns an *EndedError.
func (w *Writer) Head(status int, header map[string][]string) error {
	w.registry.mu.Lock()
	defer w.registry.mu.Unlock()
	b := w.buffer
	if b.head != nil || b.last != nil {
		return &EndedError{Attempt: b.attempt}
	}
	b.head = &wire.Head{Attempt: b.attempt, Status: status, Header: header}
	b.wake()
	return nil
}

// Write appends p. It waits as Registry describes and then returns
// *NoReaderError, *CapacityError or the context's error; how much of p was
// taken before that is the first result, in bytes.
func (w *Writer) Write(ctx context.Context, p []byte) (int, error) {
	written := 0
	for len(p) > 0 {
		n := min(len(p), w.chunk())
		if err := w.registry.add(ctx, w.buffer, p[:n]); err != nil {
			return written, err
		}
		written += n
		p = p[n:]
	}
	return written, nil
}

// chunk is the size of a segment, in bytes. A tail has several, because only
// whole segments are dropped.
func (w *Writer) chunk() int { return w.buffer.segmentBytes }

// End marks the answer whole. An answer ends once; a second end of any sort is
// an *EndedError.
func (w *Writer) End() error {
	w.registry.mu.Lock()
	length := w.buffer.written
	w.registry.mu.Unlock()
	return w.registry.end(w.buffer, &wire.End{Attempt: w.buffer.attempt, Length: length})
}

// Abort marks the answer as one that cannot be completed.
func (w *Writer) Abort(code wire.Code, detail string) error {
	return w.registry.end(w.buffer, &wire.Abort{Attempt: w.buffer.attempt, Code: code, Detail: detail})
}

// Refuse ends the attempt without an answer. Readers get the refusal.
func (w *Writer) Refuse(refusal wire.Refusal) error {
	refusal.Attempt = w.buffer.attempt
	return w.registry.end(w.buffer, &refusal)
}
