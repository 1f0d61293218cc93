package response

import (
	"context"

	"github.com/laureltally/laureltally/wire"
)

// Writer adds one response to a Registry. It must be used by one goroutine at a
// time.
type Writer struct {
	registry *Registry
	buffer   *buffer
}

// Head sets the status and header of the response. It must be called once,
// before any byte is written; otherwise it returns an *EndedError.
func (w *Writer) Head(status int, header map[string][]string) error {
	w.registry.mu.Lock()
	defer w.registry.mu.Unlock()
	b := w.buffer
	if b.head != nil || b.final != nil {
		return &EndedError{Attempt: b.attempt}
	}
	b.head = &wire.Head{Attempt: b.attempt, Status: status, Header: header}
	b.notify()
	return nil
}

// Write appends p. It blocks as described at Registry and may return
// *NoReaderError, *CapacityError or the context's error. The first result is
// the number of bytes written before that.
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

// chunk returns the size of a segment, in bytes. A tail has several segments,
// because only whole segments are dropped.
func (w *Writer) chunk() int { return w.buffer.segmentBytes }

// End completes the response. A response ends once; a second End, Abort or
// Refuse returns an *EndedError.
func (w *Writer) End() error { return w.end(false) }

// EndUnmarked is like End for a response that may have been broken off, as only the end of the
// upstream's connection marked its end.
func (w *Writer) EndUnmarked() error { return w.end(true) }

func (w *Writer) end(unmarked bool) error {
	w.registry.mu.Lock()
	length := w.buffer.written
	w.registry.mu.Unlock()
	return w.registry.end(w.buffer, &wire.End{Attempt: w.buffer.attempt, Length: length, Unmarked: unmarked})
}

// Abort ends the response as incomplete.
func (w *Writer) Abort(code wire.Code, detail string) error {
	return w.registry.end(w.buffer, &wire.Abort{Attempt: w.buffer.attempt, Code: code, Detail: detail})
}

// Refuse ends the attempt without a response. Readers get the refusal.
func (w *Writer) Refuse(refusal wire.Refusal) error {
	refusal.Attempt = w.buffer.attempt
	return w.registry.end(w.buffer, &refusal)
}
